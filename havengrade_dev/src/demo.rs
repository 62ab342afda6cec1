//! The demo: sample traffic of both users through a whole deployment, with a change on the way.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use comfy_table::{Table, presets};
use futures::{StreamExt as _, stream};
use havengrade_core::{
    billing::{Bill, Bills},
    ids::Micros,
};
use havengrade_router::net::SystemNetwork;
use serde::Serialize;
use snafu::{ResultExt as _, Snafu};

use crate::{
    caller::{Ask, Caller, Got},
    fabric::{Fabric, Loopback},
    fleet::{Fleet, FleetError, FleetOptions, router_host},
    scenario::{CHEAP, CRATES, EVENTS},
    stand_in::expected_answer,
};

/// Why the demo did not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// The deployment did not start.
    #[snafu(display("{source}"))]
    Start {
        /// Why.
        source: FleetError,
    },
}

/// What the demo is run with.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Number of routers.
    pub routers: u8,
    /// Number of requests.
    pub requests: usize,
    /// First port that is used.
    pub port_base: u16,
}

/// Requests that are in progress at once.
const AT_ONCE: usize = 16;

/// One line of the demo's table.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DemoRow {
    /// Request class.
    pub class: String,
    /// Version that answered; empty for plain services and scripts.
    pub version: String,
    /// Requests.
    pub requests: usize,
    /// Requests that got one whole answer.
    pub whole_answers: usize,
    /// Bills of these requests.
    pub bills: usize,
    /// Sum of the bills.
    pub cost_micros: Micros,
    /// Median time to the whole answer, in milliseconds.
    pub p50_ms: u64,
    /// Longest time to the whole answer, in milliseconds.
    pub max_ms: u64,
}

/// What the demo found.
#[derive(Clone, Debug, Serialize)]
pub struct DemoReport {
    /// Whether every request has exactly one whole answer and one bill.
    pub passed: bool,
    /// What was wrong.
    pub faults: Vec<String>,
    /// A line for each class and version.
    pub rows: Vec<DemoRow>,
    /// Time that the traffic took, in milliseconds.
    pub elapsed_ms: u64,
}

/// What happened to one request.
struct Served {
    ask: Ask,
    got: Result<Got, String>,
    elapsed: Duration,
    /// Whether it was sent after the change was in force everywhere.
    after_change: bool,
}

/// Starts the deployment of the demo.
///
/// # Errors
///
/// [`DemoError`] where it does not start.
pub async fn start(options: &DemoOptions) -> Result<Fleet, DemoError> {
    let fleet = FleetOptions {
        fabric: Arc::new(Loopback { port_base: options.port_base }),
        routers: options.routers,
        engines: 6,
        seed: 1,
        origin: SystemTime::now(),
        tune: |_| {},
    };
    Fleet::start(fleet).await.context(StartSnafu)
}

/// Address of a router for callers.
pub fn router_address(options: &DemoOptions, index: u8) -> SocketAddr {
    Loopback { port_base: options.port_base }.address(router_host(index), 0)
}

/// Sends the sample traffic, withdraws a version halfway, and checks answers and bills.
pub async fn run(fleet: &Fleet, options: &DemoOptions) -> DemoReport {
    let started = Instant::now();
    let half = options.requests / 2;
    let mut served = send_all(options, 0..half, false).await;
    fleet.withdraw_at_once("demo-withdraw", CHEAP);
    wait_withdrawn(fleet).await;
    served.extend(send_all(options, half..options.requests, true).await);
    let elapsed = started.elapsed();
    report(&served, &fleet.log.bills(), elapsed)
}

async fn wait_withdrawn(fleet: &Fleet) {
    const PAUSE: Duration = Duration::from_millis(10);
    const LOOKS: u32 = 500;
    let is_withdrawn = || {
        let mut catalogs = fleet.routers.values().map(|router| router.context().shared.catalog.load());
        catalogs.all(|catalog| !catalog.config.is_active(CHEAP))
    };
    for _ in 0..LOOKS {
        if is_withdrawn() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn send_all(options: &DemoOptions, numbers: std::ops::Range<usize>, after_change: bool) -> Vec<Served> {
    let send = |number: usize| async move {
        let (account, ask) = sample(number);
        let router = u8::try_from(number % usize::from(options.routers)).unwrap_or_default();
        let caller = Caller::new(Arc::new(SystemNetwork), account);
        let started = Instant::now();
        let got = caller.ask_until_answered(router_address(options, router), &ask).await;
        Served { ask, got: got.map_err(|error| error.to_string()), elapsed: started.elapsed(), after_change }
    };
    stream::iter(numbers).map(send).buffer_unordered(AT_ONCE).collect().await
}

/// A request of the sample traffic, and the client account that sends it.
fn sample(number: usize) -> (&'static str, Ask) {
    let chat = |class: &str, stream: bool| Ask {
        class: class.to_owned(),
        prompt: format!("{class} number {number}"),
        stream,
        ..Ask::default()
    };
    let call = |class: &str, service: &str| Ask {
        class: class.to_owned(),
        service: Some(service.to_owned()),
        prompt: format!("{class} number {number}"),
        key: Some(format!("{class}-{number}")),
        ..Ask::default()
    };
    match number % 10 {
        0 | 1 => ("gate", call("check-in", EVENTS)),
        2 => ("gate", call("pledge", EVENTS)),
        3 => ("archive", Ask { patience_ms: Some(20), ..chat("archive-summary", false) }),
        4 => ("archive", chat("match-letter", false)),
        5 => ("harvest", call("bin-tag", CRATES)),
        6 => ("harvest", chat("lot-question", true)),
        7 => ("harvest", chat("lot-question", false)),
        8 => ("harvest", chat("day-log", true)),
        _ => ("harvest", Ask { patience_ms: Some(20), ..chat("season-summary", false) }),
    }
}

fn report(served: &[Served], bills: &Bills, elapsed: Duration) -> DemoReport {
    let mut rows: BTreeMap<(String, String), (DemoRow, Vec<u64>)> = BTreeMap::new();
    let mut faults = Vec::new();
    for one in served {
        let id = one.got.as_ref().map(|got| got.header("x-request-id").to_owned()).unwrap_or_default();
        let bill = bills.get(&id);
        let fault = fault_of(one, bill);
        let version = bill.and_then(|bill| bill.version.clone()).unwrap_or_default();
        let (row, times) = rows.entry((one.ask.class.clone(), version.clone())).or_default();
        row.class.clone_from(&one.ask.class);
        row.version = version;
        row.requests += 1;
        row.whole_answers += usize::from(fault.is_none());
        row.bills += usize::from(bill.is_some());
        row.cost_micros += bill.map_or(0, |bill| bill.cost);
        times.push(u64::try_from(one.elapsed.as_millis()).unwrap_or(u64::MAX));
        faults.extend(fault.map(|fault| format!("{}: {fault}", one.ask.prompt)));
    }
    if bills.len() != served.len() {
        faults.push(format!("{} requests have {} bills", served.len(), bills.len()));
    }
    let rows = rows.into_values().map(|(row, times)| with_times(row, times)).collect();
    let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    DemoReport { passed: faults.is_empty(), faults, rows, elapsed_ms }
}

fn with_times(mut row: DemoRow, mut times: Vec<u64>) -> DemoRow {
    times.sort_unstable();
    row.p50_ms = times.get(times.len() / 2).copied().unwrap_or_default();
    row.max_ms = times.last().copied().unwrap_or_default();
    row
}

/// What is wrong with a request's answer or bill, if anything is.
fn fault_of(served: &Served, bill: Option<&Bill>) -> Option<String> {
    let got = match &served.got {
        Ok(got) if got.status.is_success() => got,
        Ok(got) => return Some(format!("{} {}", got.status, String::from_utf8_lossy(&got.body))),
        Err(error) => return Some(error.clone()),
    };
    let Some(bill) = bill else { return Some("it has no bill".to_owned()) };
    let Some(version) = &bill.version else {
        let is_own = served.ask.key.as_deref().is_none_or(|key| got.json()["key"] == key);
        return (!is_own).then(|| "the answer is not its own".to_owned());
    };
    if served.after_change && version == CHEAP {
        return Some("a withdrawn version answered".to_owned());
    }
    let is_whole = got.text() == Some(expected_answer(version, &served.ask.prompt));
    (!is_whole).then(|| format!("the answer is not whole: {:?}", got.text()))
}

/// The report as a table for people.
pub fn table(report: &DemoReport) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(["class", "version", "requests", "whole", "bills", "cost (micros)", "p50 ms", "max ms"]);
    for row in &report.rows {
        table.add_row([
            row.class.clone(),
            row.version.clone(),
            row.requests.to_string(),
            row.whole_answers.to_string(),
            row.bills.to_string(),
            row.cost_micros.to_string(),
            row.p50_ms.to_string(),
            row.max_ms.to_string(),
        ]);
    }
    table.to_string()
}
