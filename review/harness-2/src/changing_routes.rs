//! Manifests that replace routes by others, while the figures of the VM are fetched: does a VM stay within its memory?

use std::{process::ExitCode, sync::Arc, time::Duration};

use serde_json::Value;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::{
    http::{End, Head, connect, exchange},
    names::name,
    site::{Reply, Site, config, has_trouble, request, route, signed},
    template::common_fields,
};

/// Routes that each configuration replaces.
const ROUTES: usize = 430;
/// Configurations, and the time between two of them.
const CHANGES: u64 = 54;
const INTERVAL: Duration = Duration::from_millis(1850);
/// Time between two fetches of the figures.
const FETCH_INTERVAL: Duration = Duration::from_secs(5);
/// Time after a change from which its routes are used: the bound within which it is in force.
const IN_FORCE: Duration = Duration::from_millis(400);
/// Time limit of the routes, and of callers.
const TIME_LIMIT_MS: u64 = 4000;

/// Runs the case.
pub async fn run(record: &str) -> ExitCode {
    // Every eighth request fails, as some of an application do.
    let answering = Arc::new(|own: &str, head: &Head| -> Reply {
        let status = if head.path().ends_with("/fail") { 500 } else { 200 };
        Reply::Whole(signed(own, head, status, b"hello").into())
    });
    let Some(mut site) = Site::start(record, &config(1, &routes(0)), 4, 2, answering).await else {
        return ExitCode::from(2);
    };
    let limit_mb: u64 = common_fields()["limits.memory_mb"].parse().expect("a number");
    let metrics = site.vms[0].metrics();
    let fetched = site.record.clone();
    let fetching = tokio::spawn(async move {
        loop {
            if let Ok(mut conn) = connect(metrics).await {
                let page = b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n";
                let answer = exchange(&mut conn, page, FETCH_INTERVAL).await;
                fetched.line(&format!("fetched {} bytes of figures", answer.body.len()));
            }
            sleep(FETCH_INTERVAL).await;
        }
    });
    let mut most = 0;
    let mut has_ended = false;
    let began = Instant::now();
    for change in 1..=CHANGES {
        let generation = if has_trouble() { change } else { 0 };
        site.store.put(name("operators"), "config", &config(change + 1, &routes(generation)));
        sleep(IN_FORCE).await;
        let until = began + INTERVAL * u32::try_from(change).expect("a small number");
        let (served, asked) = ask_all(&site, change, generation, until).await;
        has_ended |= !site.vms[0].is_running();
        let bytes = site.vms[0].resident_bytes().unwrap_or_default();
        most = most.max(bytes);
        site.record.line(&format!(
            "configuration {}: {asked} requests, {served} answered, vm-0 keeps {} MB",
            change + 1,
            bytes >> 20
        ));
        if has_ended || most > limit_mb << 20 {
            break;
        }
        sleep_until(until).await;
    }
    fetching.abort();
    let text = format!("vm-0 kept {} MB at most; its limit is {limit_mb} MB", most >> 20);
    site.record.line(&text);
    println!("{text}");
    ExitCode::from(u8::from(has_ended || most > limit_mb << 20))
}

/// The routes of a generation; each has names of its own.
fn routes(generation: u64) -> Vec<Value> {
    let path = |index| format!("g{generation}-{index}");
    (0..ROUTES).map(|index| route(&path(index), "idempotent", 1, TIME_LIMIT_MS)).collect()
}

/// Asks for something on each route of a generation; returns how many requests were answered by an endpoint, of how many.
async fn ask_all(site: &Site, change: u64, generation: u64, until: Instant) -> (usize, usize) {
    let (mut served, mut asked) = (0, 0);
    let Ok(mut conn) = connect(site.vms[0].callers()).await else { return (0, 0) };
    for index in 0..ROUTES {
        for end in ["read", "fail"].into_iter().take(1 + usize::from(index % 8 == 0)) {
            if Instant::now() >= until {
                return (served, asked);
            }
            let path = format!("/g{generation}-{index}/{end}");
            let id = format!("r-{change}-{index}-{end}");
            let request = request(&id, "GET", &path, TIME_LIMIT_MS, b"");
            asked += 1;
            let asking = exchange(&mut conn, &request, Duration::from_millis(TIME_LIMIT_MS));
            let answer = timeout(Duration::from_millis(TIME_LIMIT_MS), asking).await;
            match answer {
                Ok(answer) if answer.end == End::Whole => served += usize::from([200, 500].contains(&answer.status)),
                _ => {
                    site.record.line(&format!("{id} got no whole answer"));
                    match connect(site.vms[0].callers()).await {
                        Ok(next) => conn = next,
                        Err(_) => return (served, asked),
                    }
                },
            }
        }
    }
    (served, asked)
}
