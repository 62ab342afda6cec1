//! A manifest with many routes, all of them in use, while the figures of the VM are fetched: does it stay within its memory?

use std::{
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde_json::Value;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    http::{End, Head, connect, exchange},
    names::name,
    site::{Reply, Site, config, has_trouble, request, route, signed},
    template::common_fields,
};

/// Routes before the manifest grows, and those that it grows by.
const ROUTES: u64 = 8;
const MORE_ROUTES: u64 = 430;
/// Requests a second, and the callers that send them in turn.
const REQUESTS_PER_S: u32 = 130;
const CALLERS: u32 = 26;
/// Time between two fetches of the figures.
const FETCH_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which callers send requests.
const OBSERVED: Duration = Duration::from_secs(75);
/// Time limit of the routes, and of callers.
const TIME_LIMIT_MS: u64 = 1500;

/// Runs the case.
pub async fn run(record: &str) -> ExitCode {
    let arrivals = AtomicU64::new(0);
    let answering = Arc::new(move |own: &str, head: &Head| -> Reply {
        let number = arrivals.fetch_add(1, Ordering::Relaxed);
        Reply::Late(signed(own, head, 200, b"done").into(), work_time(number))
    });
    let Some(mut site) = Site::start(record, &config(1, &routes(ROUTES)), 4, 1, answering).await else {
        return ExitCode::from(2);
    };
    let all = if has_trouble() { ROUTES + MORE_ROUTES } else { ROUTES };
    site.store.put(name("operators"), "config", &config(2, &routes(all)));
    sleep(Duration::from_secs(2)).await;
    site.record.line(&format!("a configuration with {all} routes is in force"));
    let limit_mb: u64 = common_fields()["limits.memory_mb"].parse().expect("a number");
    let began = Instant::now();
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for caller in 0..CALLERS {
        tokio::spawn(call(site.vms[0].callers(), caller, all, began, sent.clone(), served.clone()));
    }
    let mut most = 0;
    let mut has_ended = false;
    while began.elapsed() < OBSERVED && !has_ended {
        let fetched = fetch(&site).await;
        has_ended = !site.vms[0].is_running();
        let bytes = site.vms[0].resident_bytes().unwrap_or_default();
        most = most.max(bytes);
        site.record.line(&format!(
            "{} requests sent, {} served, {fetched} bytes of figures, vm-0 keeps {} MB",
            sent.load(Ordering::Relaxed),
            served.load(Ordering::Relaxed),
            bytes >> 20
        ));
        sleep(FETCH_INTERVAL).await;
    }
    let text = format!(
        "vm-0 kept {} MB at most; its limit is {limit_mb} MB; {} of {} requests served",
        most >> 20,
        served.load(Ordering::Relaxed),
        sent.load(Ordering::Relaxed)
    );
    site.record.line(&text);
    println!("{text}");
    ExitCode::from(u8::from(has_ended || most > limit_mb << 20))
}

/// Time that an endpoint works on a request: 8 to 40 ms, and for one in sixteen 120 to 150 ms.
fn work_time(number: u64) -> Duration {
    let usual = 8 + number * 37 % 33;
    Duration::from_millis(if number.is_multiple_of(16) { 110 + usual } else { usual })
}

fn routes(count: u64) -> Vec<Value> {
    (0..count).map(|index| route(&format!("r{index}"), "idempotent", 2, TIME_LIMIT_MS)).collect()
}

/// Fetches the figures; returns their size.
async fn fetch(site: &Site) -> usize {
    let Ok(mut conn) = connect(site.vms[0].metrics()).await else { return 0 };
    exchange(&mut conn, b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n", FETCH_INTERVAL).await.body.len()
}

/// Sends requests to all routes in turn, at a caller's share of the rate.
async fn call(
    to: std::net::SocketAddr,
    caller: u32,
    routes: u64,
    began: Instant,
    sent: Arc<AtomicU64>,
    served: Arc<AtomicU64>,
) {
    let Ok(mut conn) = connect(to).await else { return };
    for turn in 0.. {
        let number = turn * CALLERS + caller;
        sleep_until(began + Duration::from_secs(1) * number / REQUESTS_PER_S).await;
        let path = format!("/r{}/1", u64::from(number) % routes);
        let wanted = request(&format!("r-{number}"), "GET", &path, TIME_LIMIT_MS, b"");
        sent.fetch_add(1, Ordering::Relaxed);
        let answer = exchange(&mut conn, &wanted, Duration::from_millis(TIME_LIMIT_MS)).await;
        served.fetch_add(u64::from(answer.status == 200 && answer.end == End::Whole), Ordering::Relaxed);
        if answer.end != End::Whole {
            let Ok(next) = connect(to).await else { return };
            conn = next;
        }
    }
}
