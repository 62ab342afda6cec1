//! An endpoint that runs part of its requests and answers 503: what are callers told whose requests run once at most?

use std::{
    collections::HashSet,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::time::sleep;

use crate::{
    http::{End, Head, connect, exchange},
    names::name,
    site::{Reply, Site, config, has_trouble, request, route, signed},
};

/// Endpoints, of which the first one fails part of its requests.
const ENDPOINTS: u16 = 8;
/// The failing endpoint.
const FAILING: &str = "e-0";
/// Of so many requests, it fails two.
const PERIOD: u32 = 5;
/// Orders of callers, and the time between two of them.
const ORDERS: u32 = 600;
const PAUSE: Duration = Duration::from_millis(40);
/// Time limit of the route, and of callers.
const TIME_LIMIT_MS: u64 = 1500;
/// Attempts of a caller at one order.
const ATTEMPTS: u32 = 2;
/// Statuses that tell a caller that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Runs the case.
pub async fn run(record: &str) -> ExitCode {
    let runs: Arc<Mutex<HashSet<String>>> = Arc::default();
    let (ran, arrivals) = (runs.clone(), AtomicU32::new(0));
    let answering = Arc::new(move |own: &str, head: &Head| -> Reply {
        ran.lock().expect("no panic").insert(head.get(name("id")).to_owned());
        let fails = has_trouble() && own == FAILING && arrivals.fetch_add(1, Ordering::Relaxed) % PERIOD < 2;
        Reply::Whole(signed(own, head, if fails { 503 } else { 200 }, if fails { b"failed" } else { b"done" }).into())
    });
    let config = config(1, &[route("pledge", "non_idempotent", 1, TIME_LIMIT_MS)]);
    let Some(site) = Site::start(record, &config, ENDPOINTS, 2, answering).await else { return ExitCode::from(2) };
    let (mut untrue, mut doubled, mut served) = (0, 0, 0);
    for order in 0..ORDERS {
        let mut runs_of_order = 0;
        for attempt in 0..ATTEMPTS {
            let id = format!("order-{order}-{attempt}");
            let vm = &site.vms[(order % 2) as usize];
            let Ok(mut conn) = connect(vm.callers()).await else { return ExitCode::from(2) };
            let sent = request(&id, "POST", "/pledge/1", TIME_LIMIT_MS, b"an order");
            let answer = exchange(&mut conn, &sent, Duration::from_millis(TIME_LIMIT_MS)).await;
            let has_run = runs.lock().expect("no panic").contains(&id);
            runs_of_order += u32::from(has_run);
            let is_promise = answer.end == End::Whole && PROMISES.contains(&answer.status);
            let signature = answer.head.get(name("signature"));
            site.record.line(&format!(
                "{id} at vm-{}: {} {:?}, signature {signature:?}; ran: {has_run}",
                vm.settings.index, answer.status, answer.end
            ));
            untrue += u32::from(is_promise && has_run);
            served += u32::from(answer.status == 200);
            // A caller repeats such a request only where it was promised that it has not run.
            if !is_promise {
                break;
            }
        }
        doubled += u32::from(runs_of_order > 1);
        sleep(PAUSE).await;
    }
    let text = format!(
        "{served} of {ORDERS} orders served; {untrue} attempts were told that they had not run, though they had; \
         {doubled} orders ran twice"
    );
    site.record.line(&text);
    println!("{text}");
    ExitCode::from(u8::from(untrue > 0))
}
