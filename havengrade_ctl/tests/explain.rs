//! `explain` reconstructs the outcome of requests from the log lines of several VMs.
#![allow(clippy::unwrap_used)]

use havengrade_ctl::explain::explain;

const LOGS: &str = r#"
12.5 vm-2 {"unix_ms":1200,"vm":"vm-2","level":"WARN","message":"request refused","request":"r1","reason":"lost","held_ms":140,"version":3,"config_age_ms":500}
{"unix_ms":1100,"vm":"vm-2","level":"INFO","message":"try failed: connection lost: closed","request":"r1","endpoint":"e1","tries":1}
{"unix_ms":1000,"vm":"vm-2","level":"INFO","message":"endpoints changed","gained":"e1@v2","lost":""}
{"unix_ms":1000,"vm":"vm-1","level":"INFO","message":"endpoints changed","gained":"other","lost":""}
not a line of a log
{"unix_ms":1300,"vm":"vm-1","level":"INFO","message":"request answered","request":"r2","endpoint":"e2","version":"v1","status":500,"took_ms":20}
{"unix_ms":1400,"vm":"vm-1","level":"INFO","message":"stream ended: the stream stalled","request":"r3","first_event_ms":90,"took_ms":2100,"resumed":1}
{"unix_ms":1500,"vm":"vm-1","level":"INFO","message":"try failed: full","request":"r4","endpoint":"e2","tries":1}
{"unix_ms":1600,"vm":"vm-1","level":"WARN","message":"request refused","request":"r5","reason":"stale_configuration","version":7,"config_age_ms":5200}
{"unix_ms":1700,"vm":"vm-1","level":"INFO","message":"endpoint names a limit","endpoint":"e2","per_s":1.2,"by":"vm"}
{"unix_ms":1800,"vm":"vm-1","level":"WARN","message":"request refused","request":"r6","reason":"endpoints_at_limit","held_ms":0}
{"unix_ms":1801,"vm":"vm-1","level":"WARN","message":"request refused","request":"r7","reason":"endpoints_leave","held_ms":0}
{"unix_ms":1802,"vm":"vm-1","level":"WARN","message":"request refused","request":"r8","reason":"domain_emptied","held_ms":0}
{"unix_ms":1803,"vm":"vm-1","level":"WARN","message":"request refused","request":"r9","reason":"shortage","held_ms":0}
"#;

fn cause(request: &str) -> String {
    let text = explain(LOGS, request);
    text.lines().last().unwrap().to_owned()
}

#[test]
fn lines_are_sorted_by_time_with_events_of_their_vm() {
    let text = explain(LOGS, "r1");
    let positions: Vec<usize> = ["believed endpoints changed", "try failed", "request refused", "cause:"]
        .map(|part| text.find(part).unwrap())
        .into();
    assert!(positions.is_sorted(), "{text}");
    assert!(!text.contains("gained=other"), "event of another VM is shown: {text}");
}

#[test]
fn each_outcome_has_its_cause() {
    assert!(cause("r1").contains("it may have run, after tries that failed: connection lost"));
    assert!(cause("r2").contains("endpoint e2 of version v1 answered 500 after 20 ms"));
    assert!(cause("r3").contains("the stream stalled after 2100 ms; first event after 90 ms, taken up again 1 times"));
    assert!(cause("r4").contains("the process may have ended, after tries that failed: full"));
    assert!(cause("r5").contains("version 7 was confirmed 5200 ms ago"));
    assert!(cause("r6").contains("at the limit that it named"));
    assert!(explain(LOGS, "r6").contains("believed endpoint names a limit"));
    assert!(cause("r7").contains("has said that it leaves"));
    assert!(cause("r8").contains("operators have emptied"));
    assert!(cause("r9").contains("short of capacity"));
}
