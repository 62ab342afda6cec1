//! Formats the output of commands: tables for people, JSON for programs.

use comfy_table::{Table, presets};
use havengrade_rpc::operators::{AuditEntry, ChangeReply, FleetStatus, ItemDifference, Plan, ShownItem};
use serde_json::{Value, json};

use crate::cli::Format;

fn format_table(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header.to_vec());
    table.add_rows(rows);
    format!("{table}\n")
}

fn format_json(value: &Value) -> String {
    format!("{}\n", serde_json::to_string_pretty(value).unwrap_or_default())
}

/// Parses the JSON text of an item; an absent or malformed text becomes `null`.
fn parse_json(json: Option<&String>) -> Value {
    json.and_then(|json| serde_json::from_str(json).ok()).unwrap_or_default()
}

/// Formats the differences that a plan would make.
pub fn format_plan(plan: &Plan, format: Format) -> String {
    if format == Format::Json {
        let differences: Vec<Value> = plan
            .differences
            .iter()
            .map(|difference| {
                json!({
                    "kind": difference.kind, "name": difference.name,
                    "before": parse_json(difference.before_json.as_ref()),
                    "after": parse_json(difference.after_json.as_ref()),
                })
            })
            .collect();
        return format_json(&json!({ "differences": differences, "faults": plan.faults }));
    }
    if plan.differences.is_empty() {
        return "nothing to change\n".to_owned();
    }
    plan.differences.iter().map(format_difference).collect()
}

fn format_difference(difference: &ItemDifference) -> String {
    let (before, after) = (parse_json(difference.before_json.as_ref()), parse_json(difference.after_json.as_ref()));
    let sign = match (difference.before_json.is_some(), difference.after_json.is_some()) {
        (false, true) => '+',
        (true, false) => '-',
        _ => '~',
    };
    let mut text = format!("{sign} {} {}\n", difference.kind, difference.name);
    let empty = serde_json::Map::new();
    let (old, new) = (before.as_object().unwrap_or(&empty), after.as_object().unwrap_or(&empty));
    let mut fields: Vec<&String> = old.keys().chain(new.keys()).collect();
    fields.sort_unstable();
    fields.dedup();
    for field in fields {
        match (old.get(field), new.get(field)) {
            (Some(old), Some(new)) if old == new => {},
            (Some(old), Some(new)) => text.push_str(&format!("    {field}: {old} -> {new}\n")),
            (Some(old), None) => text.push_str(&format!("    {field}: {old} -> nothing\n")),
            (None, Some(new)) => text.push_str(&format!("    {field}: {new}\n")),
            (None, None) => {},
        }
    }
    text
}

/// Formats the outcome of an accepted change.
pub fn format_change(reply: &ChangeReply, format: Format) -> String {
    if format == Format::Json {
        return format_json(&json!({
            "status": "accepted", "change_id": reply.change_id, "offset": reply.offset, "in_force": reply.in_force,
            "live": reply.live, "lagging": reply.lagging,
        }));
    }
    let mut text = format!(
        "accepted at offset {}, in force on {} of {} live VMs (change id {})\n",
        reply.offset.unwrap_or_default(),
        reply.in_force,
        reply.live,
        reply.change_id
    );
    if !reply.lagging.is_empty() {
        text.push_str(&format!("not yet on: {}\n", reply.lagging.join(", ")));
    }
    text
}

/// Formats active configuration items.
pub fn format_items(items: &[ShownItem], format: Format) -> String {
    if format == Format::Json {
        let items: Vec<Value> = items
            .iter()
            .map(|item| {
                json!({
                    "kind": item.kind, "name": item.name, "offset": item.offset,
                    "item": parse_json(Some(&item.json)),
                })
            })
            .collect();
        return format_json(&Value::Array(items));
    }
    let to_row =
        |item: &ShownItem| vec![item.kind.clone(), item.name.clone(), format_number(item.offset), item.json.clone()];
    format_table(&["kind", "name", "offset", "item"], items.iter().map(to_row).collect())
}

/// Formats an optional number; an absent one becomes an empty cell.
fn format_number(number: Option<i64>) -> String {
    number.map(|number| number.to_string()).unwrap_or_default()
}

/// Formats the audit trail. JSON output has one object per line.
pub fn format_audit(entries: &[AuditEntry], format: Format) -> String {
    if format == Format::Json {
        let to_line = |entry: &AuditEntry| {
            let value = json!({
                "offset": entry.offset, "at_unix_ms": entry.at_unix_ms, "change_id": entry.change_id,
                "author": entry.author, "reason": entry.reason, "effect": entry.effect,
                "detail": entry.detail, "scopes": entry.scopes,
            });
            format!("{value}\n")
        };
        return entries.iter().map(to_line).collect();
    }
    let to_row = |entry: &AuditEntry| {
        vec![
            entry.offset.to_string(),
            entry.author.clone(),
            entry.effect.clone(),
            entry.reason.clone(),
            entry.scopes.join(", "),
            entry.detail.clone(),
        ]
    };
    format_table(&["offset", "author", "effect", "reason", "scopes", "detail"], entries.iter().map(to_row).collect())
}

/// Formats the state of all VMs.
pub fn format_status(status: &FleetStatus, format: Format) -> String {
    if format == Format::Json {
        let vms: Vec<Value> = status
            .vms
            .iter()
            .map(|vm| {
                json!({
                    "vm": vm.vm, "failure_domain": vm.failure_domain, "live": vm.live, "ready": vm.ready,
                    "draining": vm.draining, "revision": vm.revision, "staleness_ms": vm.staleness_ms,
                    "in_progress": vm.in_progress,
                })
            })
            .collect();
        return format_json(&json!({
            "answered_by": status.answered_by, "revision": status.revision, "log_reachable": status.log_reachable,
            "vms": vms,
        }));
    }
    let to_row = |vm: &havengrade_rpc::operators::VmStatus| {
        let state = match (vm.live, vm.draining, vm.ready) {
            (false, _, _) => "gone",
            (true, true, _) => "draining",
            (true, false, true) => "ready",
            (true, false, false) => "not ready",
        };
        vec![
            vm.vm.clone(),
            vm.failure_domain.clone(),
            state.to_owned(),
            format_number(vm.revision),
            format!("{} ms", vm.staleness_ms),
            vm.in_progress.to_string(),
        ]
    };
    let log = if status.log_reachable { "answers" } else { "does not answer" };
    let rows = status.vms.iter().map(to_row).collect();
    format!(
        "answered by {}; revision {}; the log service {log}\n{}",
        status.answered_by,
        format_number(status.revision),
        format_table(&["vm", "failure domain", "state", "revision", "staleness", "in progress"], rows)
    )
}
