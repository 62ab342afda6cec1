//! The capacity tables: what each role costs at given sizes, from measured slopes.

mod rows;
mod sizes;

use std::fmt::Write as _;

use havengrade_router::settings::LogServiceSettings;

use self::rows::{Row, Side, idle_bytes, rows};
pub use self::sizes::Sizes;
use crate::measure::Slopes;

/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;
/// Bytes of a kilobyte.
const KILOBYTE: f64 = 1e3;
/// Endpoints of the fleets that were measured: six engines and three services.
const MEASURED_ENDPOINTS: f64 = 9.0;

impl Sizes {
    /// A deployment in which nothing happens.
    pub(crate) fn idle() -> Self {
        Self {
            name: String::new(),
            vms: 1.0,
            failure_domains: 1.0,
            endpoints: 0.0,
            versions: 0.0,
            classes: 0.0,
            accounts: 0.0,
            requests_per_second: 0.0,
            requests_per_day: 0.0,
            claimed_share: 0.0,
            horizon_s: 0.0,
            changes_per_day: 0.0,
            log_appends_per_second: 1.0,
            restarts_per_day: 0.0,
            budget_core: 1.0,
            budget_memory: 1.0,
            budget_bytes_per_second: 1.0,
        }
    }
}

/// Writes the tables in Markdown: the slopes, their check, and each deployment.
pub fn tables(slopes: &Slopes, sizes: &[Sizes]) -> String {
    let mut text = String::new();
    slope_table(&mut text, slopes);
    check_table(&mut text, slopes);
    for sizes in sizes {
        deployment(&mut text, slopes, sizes);
    }
    text
}

// Writing to a string can't fail, so the results of `writeln!` say nothing.

fn slope_table(text: &mut String, slopes: &Slopes) {
    text.push_str("### Slopes\n\n| slope | unit | of none | of each | per | residual |\n|---|---|--:|--:|---|--:|\n");
    for (name, it) in &slopes.slopes {
        let (base, slope) = (number(it.base), number(it.slope));
        let _ =
            writeln!(text, "| {name} | {} | {base} | {slope} | {} | {:.0}% |", it.unit, it.per, it.residual * 100.0);
    }
}

/// Predicted and measured bytes of idle fleets.
fn check_table(text: &mut String, slopes: &Slopes) {
    text.push_str("\n### Check: bytes a second that an idle VM reads\n\n");
    text.push_str("| VMs | predicted | measured | error |\n|--:|--:|--:|--:|\n");
    let Some(measured) = slopes.slopes.get("idle_bytes") else { return };
    for (vms, bytes) in &measured.points {
        let predicted = idle_bytes(slopes, *vms, MEASURED_ENDPOINTS);
        let error = (predicted / bytes - 1.0) * 100.0;
        let _ = writeln!(text, "| {vms} | {predicted:.0} | {bytes:.0} | {error:+.0}% |");
    }
}

fn deployment(text: &mut String, slopes: &Slopes, sizes: &Sizes) {
    let _ = writeln!(text, "\n### {}\n", sizes.name);
    text.push_str("| role | mechanism | memory MB | core % | KB/s |\n|---|---|--:|--:|--:|\n");
    let rows = rows(slopes, sizes);
    for side in [Side::Control, Side::Traffic] {
        let of_side: Vec<&Row> = rows.iter().filter(|row| row.side == side).collect();
        of_side.iter().for_each(|row| line(text, row.role, row.mechanism, row));
        let sum = Row {
            role: "",
            mechanism: "",
            is_built: true,
            side,
            memory: of_side.iter().map(|row| row.memory).sum(),
            core: of_side.iter().map(|row| row.core).sum(),
            bytes: of_side.iter().map(|row| row.bytes).sum(),
        };
        match side {
            Side::Control => {
                line(text, "**control**", &verdict(&sum, sizes), &sum);
            },
            Side::Traffic => line(text, "**traffic**", "grows with the requests", &sum),
        }
    }
    log_table(text, sizes);
    failures(text, slopes, sizes);
}

fn line(text: &mut String, role: &str, mechanism: &str, row: &Row) {
    let (memory, core, bytes) = (row.memory / MEGABYTE, row.core * 100.0, row.bytes / KILOBYTE);
    let unbuilt = if row.is_built { "" } else { " (not built)" };
    let _ = writeln!(text, "| {role} | {mechanism}{unbuilt} | {memory:.2} | {core:.3} | {bytes:.2} |");
}

fn verdict(sum: &Row, sizes: &Sizes) -> String {
    let over = [
        ("memory", sum.memory, sizes.budget_memory),
        ("core", sum.core, sizes.budget_core),
        ("bytes", sum.bytes, sizes.budget_bytes_per_second),
    ];
    let over: Vec<String> = over
        .iter()
        .filter(|(_, value, budget)| value > budget)
        .map(|(name, value, budget)| format!("{name} over budget {:.1} times", value / budget))
        .collect();
    if over.is_empty() { "within the budget".to_owned() } else { over.join(", ") }
}

/// What the log service sees.
fn log_table(text: &mut String, sizes: &Sizes) {
    let claimed = sizes.requests_per_second * sizes.claimed_share;
    let records = sizes.requests_per_second + claimed;
    let every_ms = sizes.vms / sizes.log_appends_per_second * 1000.0;
    let every_domain_ms = sizes.failure_domains / sizes.log_appends_per_second * 1000.0;
    let _ = writeln!(
        text,
        "\nLog: {records:.0} records a second in at most {:.0} appends; a VM may append every {every_ms:.0} ms (with one \
         appender a failure domain, which is not built, every {every_domain_ms:.0} ms), {:.0} records each; {:.0} waiting \
         reads.",
        sizes.log_appends_per_second,
        records / sizes.log_appends_per_second,
        sizes.vms * 2.0
    );
}

fn failures(text: &mut String, slopes: &Slopes, sizes: &Sizes) {
    let snapshot_every = LogServiceSettings::default().snapshot_every as f64;
    let snapshot = slopes.at("snapshot_bytes", sizes.endpoints);
    let start_bytes = snapshot + snapshot_every * slopes.per("change_bytes");
    let start_ms =
        (slopes.at("snapshot_time", sizes.endpoints) + snapshot_every * slopes.per("replay_time")).max(0.0) / 1000.0;
    let ledger = sizes.requests_per_day * sizes.claimed_share * sizes.horizon_s / 86_400.0;
    let ledger_s = ledger * slopes.per("ledger_time") / 1e6;
    let burst_ms = 30.0 * slopes.at("change_time", sizes.endpoints) / 1000.0;
    let _ = writeln!(
        text,
        "\n- A VM that starts reads {:.2} MB and works {start_ms:.0} ms until it takes requests; its ledger of {ledger:.0} \
         claims takes {ledger_s:.1} s more, during which it serves but may wait with claims.\n\
         - {:.0} starts a day read {:.1} MB of configuration an hour; all VMs at once read {:.0} MB.\n\
         - A burst of 30 changes in a second costs a VM {burst_ms:.1} ms and {:.1} KB.",
        start_bytes / MEGABYTE,
        sizes.restarts_per_day,
        sizes.restarts_per_day / 24.0 * start_bytes / MEGABYTE,
        sizes.vms * start_bytes / MEGABYTE,
        30.0 * slopes.per("change_bytes") / KILOBYTE
    );
}

fn number(value: f64) -> String {
    match value.abs() {
        large if large >= 100.0 => format!("{value:.0}"),
        middle if middle >= 0.1 => format!("{value:.2}"),
        _ => format!("{value:.6}"),
    }
}
