//! Machines that were removed for good and replaced by others, some time before all machines lose power: are callers
//! served after that?

use std::{
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use serde_json::json;
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    http::{End, Head, connect, exchange},
    site::{Record, Reply, Site, config, has_trouble, machine_ip, request, route},
    store::Store,
    vm::{Vm, VmSettings},
};

/// Machines that stay.
const STAYING: u16 = 3;
/// Machines that come and are removed for good, one after another; so many at a time.
const REMOVED: u16 = 200;
const AT_A_TIME: usize = 40;
/// Endpoints, and the connections that each accepts.
const ENDPOINTS: u16 = 6;
const MAX_CONNECTIONS: u32 = 370;
/// Streams that callers begin each second, and the events of each.
const STREAMS_PER_S: u32 = 24;
const EVENTS: u32 = 20;
const PAUSE: Duration = Duration::from_millis(250);
/// Time limit of the route, and of callers.
const TIME_LIMIT_MS: u64 = 20_000;
/// Time for which callers begin streams, before the fault and after it.
const OBSERVED: Duration = Duration::from_secs(10);
/// Time for which the machines are down.
const DOWN: Duration = Duration::from_millis(1500);
/// Time after which callers must be served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// Part of the requests that must be served, as a divisor.
const MIN_PART: u32 = 4;
/// Longest time until a machine that starts is on the list of machines.
const REGISTRATION_TIME: Duration = Duration::from_secs(20);
/// The router's own list of machines.
const MACHINES: &str = "keyed.havengrade-vms";

/// Runs the case.
pub async fn run(record: &str) -> ExitCode {
    let answering = Arc::new(|_: &str, _: &Head| Reply::Events(EVENTS, PAUSE));
    let mut route = route("letter", "streaming", 3, TIME_LIMIT_MS);
    route["resumable"] = json!(true);
    route["gap_target_ms"] = json!(1200);
    let mut config = config(1, &[route]);
    config["services"][0]["maximum_connections"] = json!(MAX_CONNECTIONS);
    let Some(mut site) = Site::start(record, &config, ENDPOINTS, STAYING, answering).await else {
        return ExitCode::from(2);
    };
    let before = begin_streams(&site, "before").await;
    let registered = come_and_go(&site).await;
    site.record.line(&format!("{registered} machines were on the list and are gone"));
    if registered < REMOVED {
        return ExitCode::from(2);
    }
    site.record.line("all machines lose power");
    site.vms.iter_mut().for_each(Vm::kill);
    sleep(DOWN).await;
    let settings: Vec<VmSettings> = site.vms.iter().map(|vm| vm.settings.clone()).collect();
    site.vms.clear();
    site.vms.extend(settings.into_iter().map(|settings| Vm::start(VmSettings { is_first_start: false, ..settings })));
    let back = Instant::now();
    site.record.line("all machines are back");
    sleep_until(back + RECOVERY).await;
    let after = begin_streams(&site, "after").await;
    let text = format!(
        "{} of {} requests served before the fault, {} of {} from {} s after it",
        before.0,
        before.1,
        after.0,
        after.1,
        RECOVERY.as_secs()
    );
    site.record.line(&text);
    println!("{text}");
    if before.0 * MIN_PART < before.1 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(after.0 * MIN_PART < after.1))
}

/// Has machines come and be removed for good; returns how many of them were on the list.
async fn come_and_go(site: &Site) -> u16 {
    let places = Arc::new(Semaphore::new(AT_A_TIME));
    let mut machines = Vec::new();
    for index in STAYING..STAYING + REMOVED {
        let settings =
            VmSettings { index, ip: machine_ip(index), is_first_start: false, ..site.vms[0].settings.clone() };
        let place = places.clone().acquire_owned().await.expect("the semaphore stays open");
        let (store, record) = (site.store.clone(), site.record.clone());
        machines.push(tokio::spawn(async move {
            let is_registered = live_and_end(settings, &store, &record).await;
            drop(place);
            is_registered
        }));
    }
    let mut registered = 0;
    for machine in machines {
        registered += u16::from(machine.await.unwrap_or_default());
    }
    registered
}

/// Starts a machine, and removes it once it is on the list: by a kill, or without the disruption by a planned stop.
async fn live_and_end(settings: VmSettings, store: &Store, record: &Record) -> bool {
    let name = settings.name();
    let mut vm = Vm::start(settings);
    let is_registered = timeout(REGISTRATION_TIME, async {
        while !store.has_key(MACHINES, &name) {
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await
    .is_ok();
    if has_trouble() {
        vm.kill();
        record.line(&format!("{name} was killed and does not come back"));
        return is_registered;
    }
    vm.signal("TERM");
    while vm.is_running() {
        sleep(Duration::from_millis(50)).await;
    }
    record.line(&format!("{name} was stopped and does not come back"));
    is_registered
}

/// Begins streams at all machines in turn; returns how many of them were served, of how many.
async fn begin_streams(site: &Site, when: &str) -> (u32, u32) {
    let served = Arc::new(AtomicU32::new(0));
    let began = Instant::now();
    let mut callers = Vec::new();
    let all = STREAMS_PER_S * u32::try_from(OBSERVED.as_secs()).expect("a small number");
    for number in 0..all {
        sleep_until(began + Duration::from_secs(1) * number / STREAMS_PER_S).await;
        let to = [0, 1].map(|attempt| site.vms[(number + attempt) as usize % site.vms.len()].callers());
        let (served, record, id) = (served.clone(), site.record.clone(), format!("{when}-{number}"));
        callers.push(tokio::spawn(async move {
            served.fetch_add(u32::from(ask_twice(&id, to, &record).await), Ordering::Relaxed);
        }));
    }
    for caller in callers {
        // A caller that panicked was not served.
        let _ = caller.await;
    }
    (served.load(Ordering::Relaxed), all)
}

/// Asks for a stream, and once more at another machine where it was refused; returns whether it came whole.
async fn ask_twice(id: &str, to: [std::net::SocketAddr; 2], record: &Record) -> bool {
    for (attempt, to) in to.into_iter().enumerate() {
        let id = format!("{id}-{attempt}");
        let Ok(mut conn) = connect(to).await else {
            record.line(&format!("{id} at {to}: no connection"));
            continue;
        };
        let sent = request(&id, "POST", "/letter/1", TIME_LIMIT_MS, b"a letter");
        let answer = exchange(&mut conn, &sent, Duration::from_millis(TIME_LIMIT_MS)).await;
        let text = String::from_utf8_lossy(&answer.body[..answer.body.len().min(60)]).into_owned();
        record.line(&format!("{id} at {to}: {} {:?} {text:?}", answer.status, answer.end));
        if answer.status == 200 && answer.end == End::Whole {
            return true;
        }
        let rest: f64 = answer.head.get("retry-after").parse().unwrap_or_default();
        sleep(Duration::from_secs_f64(rest.clamp(0.0, 5.0))).await;
    }
    false
}
