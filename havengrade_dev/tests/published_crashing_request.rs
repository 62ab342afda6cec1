//! A request that crashes each endpoint that runs it, which comes again and again, at any VM.
//!
//! Seen: within a minute 60 endpoints ended under one such request; it was sent 28 times more after all VMs had had three seconds to
//! learn of its third crash, and up to two thirds of all other requests failed meanwhile. How it came about: its caller repeated it at other
//! VMs, each time under another id, and each attempt was let in and retried as if it were the first. Cause: what a crash tells of the request
//! was held by the attempt that saw it, and ended with it. Proof: with one VM, one caller, no retry and no report lost, the endpoints
//! that end grow with the attempts below, without bound.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use havengrade_core::{
    fingerprint::fingerprint,
    published::route::{AnswerShape, PublishedRoute, Repeat},
    quarantine::{QuarantineEntry, QuarantineReport, ReportedQuarantineEntry},
};
use havengrade_dev::{
    fabric::{Fabric as _, Host},
    stand_in::frail::{FrailEndpoint, Frailty},
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use support::{
    frail_fleet::{FrailFleet, START, come_back_after, is_whole, reason},
    published::{CALLERS, publication, read_all, request, status},
};
use tokio::{
    io::AsyncWriteExt as _,
    task::JoinSet,
    time::{Instant, sleep},
};

/// Time that VMs have to learn of a crash from each other.
const CONTACT: Duration = Duration::from_secs(3);
/// Times that a request may be sent later than that after its third crash.
const MOST_SENT: usize = 3;
/// Time for which callers come.
const TRAFFIC: Duration = Duration::from_secs(24);
/// Time between two innocent requests.
const PERIOD: Duration = Duration::from_millis(25);

/// What a day is like.
#[derive(Clone, Copy, Debug)]
struct Day {
    name: &'static str,
    vms: Host,
    endpoints: Host,
    /// The path of the requests that crash endpoints.
    path: &'static str,
    /// How many different ones there are.
    deadly: u32,
    /// Time between two comings of each.
    every: Duration,
    /// VMs that each coming reaches at once.
    at_once: u32,
    frailty: Frailty,
    /// Of so many datagrams one gets through; 0 for all.
    one_datagram_of: u32,
    /// Time between two losses of a VM for good, each replaced at once.
    replaces_vms: Option<Duration>,
    /// When all VMs are killed at once, and start again.
    kills_all: Option<Duration>,
}

const DAY: Day = Day {
    name: "as seen",
    vms: 6,
    endpoints: 8,
    path: "/stream/",
    deadly: 1,
    every: Duration::from_millis(700),
    at_once: 1,
    frailty: Frailty {
        fuse: Duration::from_millis(60),
        most_wait: Duration::ZERO,
        answers_first: false,
        down: Duration::from_millis(2500),
        keeps_id: false,
    },
    one_datagram_of: 0,
    replaces_vms: None,
    kills_all: None,
};

fn days() -> Vec<Day> {
    let one_try = Frailty { fuse: Duration::from_millis(5), ..DAY.frailty };
    let keeps_id = Frailty { keeps_id: true, down: Duration::from_millis(1300), ..DAY.frailty };
    let answers_first = Frailty { answers_first: true, ..DAY.frailty };
    vec![
        DAY,
        Day { name: "one VM", vms: 1, ..DAY },
        Day { name: "one try a request", path: "/once/", frailty: one_try, ..DAY },
        Day { name: "whole answers", path: "/read/", ..DAY },
        Day { name: "after a first event", frailty: answers_first, ..DAY },
        Day { name: "endpoints that keep their id", frailty: keeps_id, ..DAY },
        Day { name: "four such requests", deadly: 4, endpoints: 12, every: Duration::from_millis(1500), ..DAY },
        Day { name: "callers that repeat at once", at_once: 5, endpoints: 18, every: Duration::from_secs(4), ..DAY },
        Day { name: "a request now and then", path: "/once/", every: Duration::from_secs(3), ..DAY },
        Day { name: "most reports lost", one_datagram_of: 4, ..DAY },
        Day { name: "VMs replaced meanwhile", replaces_vms: Some(Duration::from_millis(1500)), ..DAY },
        Day { name: "all VMs killed", kills_all: Some(Duration::from_secs(12)), ..DAY },
    ]
}

/// How an innocent request ended.
#[derive(Clone, Debug)]
struct Ended {
    at: Instant,
    body: String,
    /// The last answer's status and reason.
    answer: String,
}

struct Fleet {
    day: Day,
    vms: FrailFleet,
    ended: Mutex<Vec<Ended>>,
}

fn route_with_one_try(mut route: PublishedRoute) -> PublishedRoute {
    if route.shape == AnswerShape::Whole && route.repeat == Repeat::Never {
        route.max_tries = 1;
    }
    route
}

impl Fleet {
    async fn start(day: Day) -> (Arc<Self>, Vec<FrailEndpoint>) {
        let mut publication = publication(1, &["k1"]);
        publication.routes = publication.routes.into_iter().map(route_with_one_try).collect();
        let started = FrailFleet::start(day.vms, day.endpoints, day.frailty, day.one_datagram_of, publication);
        let (vms, endpoints) = started.await;
        (Arc::new(Self { day, vms, ended: Mutex::default() }), endpoints)
    }

    /// A caller with an innocent request, who comes back once, as he is told.
    async fn innocent(self: Arc<Self>, path: &'static str, more: &'static str, body: String, drawn: [u32; 2]) {
        let mut answer = String::new();
        for drawn in drawn {
            if let Some(host) = self.vms.host(drawn) {
                answer = self.vms.ask(host, path, more, &body).await;
            }
            if is_whole(&answer) {
                break;
            }
            sleep(come_back_after(&answer)).await;
        }
        let answer = if is_whole(&answer) { "whole".to_owned() } else { reason(&answer) };
        self.ended.lock().unwrap().push(Ended { at: Instant::now(), body, answer });
    }
}

/// Innocent requests all the time: most of them once, one of each shape again and again.
async fn innocents(fleet: Arc<Fleet>, seed: u64) {
    const SHAPES: [(&str, &str); 5] = [
        ("/read/", ""),
        ("/read/", "x-shape: chunked\r\n"),
        ("/read/", "x-shape: unframed\r\n"),
        ("/once/", ""),
        ("/stream/", ""),
    ];
    const WORK_MS: [u32; 3] = [15, 120, 1200];
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut callers = JoinSet::new();
    let begin = Instant::now();
    let mut number = 0;
    while begin.elapsed() < TRAFFIC {
        let (path, more) = SHAPES[rng.random_range(0..SHAPES.len())];
        let work = WORK_MS[rng.random_range(0..WORK_MS.len())];
        let is_same = rng.random_range(0..4) == 0;
        let body = if is_same { format!("same {work}") } else { format!("other-{number} {work}") };
        callers.spawn(fleet.clone().innocent(path, more, body, [rng.random(), rng.random()]));
        number += 1;
        sleep(PERIOD).await;
    }
    callers.join_all().await;
}

/// The requests that crash endpoints, all the time; their callers come back once, at another VM.
async fn deadly(fleet: Arc<Fleet>, number: u32, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut callers = JoinSet::new();
    let begin = Instant::now();
    let day = fleet.day;
    sleep(day.every.mul_f64(rng.random())).await;
    while begin.elapsed() < TRAFFIC {
        for _ in 0..day.at_once {
            let (fleet, drawn) = (fleet.clone(), [rng.random(), rng.random()]);
            callers.spawn(async move {
                for drawn in drawn {
                    let Some(host) = fleet.vms.host(drawn) else { continue };
                    let answer = fleet.vms.ask(host, day.path, "", &format!("deadly-{number}")).await;
                    sleep(come_back_after(&answer).min(Duration::from_secs(1))).await;
                }
            });
        }
        sleep(day.every).await;
    }
    callers.join_all().await;
}

/// What operators do meanwhile.
async fn operators(fleet: Arc<Fleet>) {
    let begin = Instant::now();
    if let Some(at) = fleet.day.kills_all {
        sleep(at).await;
        (0..fleet.day.vms).for_each(|_| fleet.vms.kill_oldest());
        for _ in 0..fleet.day.vms {
            fleet.vms.add().await;
        }
    }
    let Some(pause) = fleet.day.replaces_vms else { return };
    while begin.elapsed() < TRAFFIC {
        sleep(pause).await;
        fleet.vms.kill_oldest();
        fleet.vms.add().await;
    }
}

/// What is wrong with a day; nothing if all is as it should be.
async fn faults(day: Day, seed: u64) -> Vec<String> {
    let (fleet, _endpoints) = Fleet::start(day).await;
    let mut all = JoinSet::new();
    all.spawn(innocents(fleet.clone(), seed));
    for number in 0..day.deadly {
        all.spawn(deadly(fleet.clone(), number, seed * 100 + u64::from(number)));
    }
    all.spawn(operators(fleet.clone()));
    all.join_all().await;
    let record = fleet.vms.record.lock().unwrap().clone();
    let ended = fleet.ended.lock().unwrap().clone();
    let mut faults = Vec::new();
    let mut calm_since = None;
    for (body, ends) in record.ends_by_body() {
        let Some(third) = ends.get(2) else { continue };
        let sent = record.taken_after(body, *third + CONTACT);
        if sent > MOST_SENT {
            faults.push(format!("{body} was sent {sent} times more, {} endpoints ended", ends.len()));
        }
        calm_since = calm_since.max(Some(*third + CONTACT + day.frailty.down));
    }
    if record.ends.len() < 3 {
        faults.push("the day shows nothing: fewer than three endpoints ended".into());
    }
    let held: Vec<&Ended> = ended.iter().filter(|ended| ended.answer.contains("quarantined")).collect();
    if let Some(first) = held.first() {
        faults.push(format!("{} innocent requests were held back, such as {}", held.len(), first.body));
    }
    let disturbs = day.replaces_vms.is_some() || day.kills_all.is_some();
    let after = ended.iter().filter(|ended| !disturbs && calm_since.is_some_and(|since| ended.at > since + CONTACT));
    let failed: Vec<&Ended> = after.filter(|ended| ended.answer != "whole").collect();
    if let Some(first) = failed.first() {
        faults.push(format!(
            "{} innocent requests failed in calm, such as {}: {}",
            failed.len(),
            first.body,
            first.answer
        ));
    }
    let whole = ended.iter().filter(|ended| ended.answer == "whole").count();
    println!(
        "{} (seed {seed}): {} ends, {whole} of {} innocent requests whole; {faults:?}",
        day.name,
        record.ends.len(),
        ended.len()
    );
    faults
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_whoever_runs_it_is_not_sent_on_and_on() {
    let mut wrong = Vec::new();
    for day in days() {
        for seed in 1..=2 {
            let faults = faults(day, seed).await;
            wrong.extend(faults.into_iter().map(|fault| format!("{} (seed {seed}): {fault}", day.name)));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// A day on which requests wait at busy endpoints before they crash them.
fn waiting_day() -> Day {
    let frailty = Frailty {
        fuse: Duration::from_millis(40),
        most_wait: Duration::from_millis(1900),
        down: Duration::from_millis(3300),
        ..DAY.frailty
    };
    Day { name: "waiting", deadly: 8, endpoints: 10, every: Duration::from_secs(3), frailty, ..DAY }
}

/// Seen: requests were sent to endpoints four and seven times more after three seconds since the third end, 14 and 16 endpoints ended, on a day on which many different
/// requests end endpoints that are so busy that a request waits before it runs. How it comes about: what ended an endpoint did not break a shorter time after it was sent
/// than what was beside it. Cause: the time since a request was sent is taken for the time for which it ran. What speaks for it: without the waiting this day is as it
/// should be.
#[tokio::test(start_paused = true)]
async fn requests_that_wait_before_they_crash_endpoints_are_held_back_too() {
    let day = waiting_day();
    let mut wrong = Vec::new();
    for seed in 1..=3 {
        let faults = faults(day, seed).await;
        wrong.extend(faults.into_iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// With other seeds than the three above, a request was sent four to eight times more on 18 of 40 days. Callers came
/// back and attempts were retried while it was suspected and not judged, though all VMs knew of its crashes.
#[tokio::test(start_paused = true)]
async fn on_other_seeds_requests_that_wait_are_sent_no_more_often_either() {
    let mut wrong = Vec::new();
    for seed in 4..=13 {
        let faults = faults(waiting_day(), seed).await;
        let sent_on = faults.into_iter().filter(|fault| fault.contains("times more"));
        wrong.extend(sent_on.map(|fault| format!("seed {seed}: {fault}")));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Innocent requests that were in progress at three crashes are refused while the causes are told apart: mostly single
/// ones, whose turn for a claimed send does not come in time, or that break a second time.
#[tokio::test(start_paused = true)]
async fn on_fifty_seeds_no_innocent_request_is_held_back_beside_requests_that_wait() {
    let mut wrong = Vec::new();
    for seed in 1..=50 {
        let faults = faults(waiting_day(), seed).await;
        wrong.extend(faults.into_iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// On these two of seeds 51 to 100, callers of a frequent innocent request wait for its trial until they have no time
/// left.
#[tokio::test(start_paused = true)]
async fn on_two_further_seeds_no_frequent_innocent_request_is_held_back_beside_requests_that_wait() {
    let mut wrong = Vec::new();
    for seed in [76, 79] {
        let faults = faults(waiting_day(), seed).await;
        wrong.extend(faults.into_iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[tokio::test(start_paused = true)]
async fn while_the_store_is_away_a_held_request_is_refused_as_soon_as_its_trial_can_not_be_claimed() {
    let (fleet, _endpoints) = Fleet::start(DAY).await;
    let deadly = async |host| fleet.vms.ask(host, "/stream/", "", "deadly-1").await;
    deadly(1).await;
    fleet.vms.store.set_away(true);
    let ends = fleet.vms.record.lock().unwrap().ends.len();
    let begin = Instant::now();
    let answer = deadly(1).await;
    assert_eq!(reason(&answer), "503 quarantined");
    // It is judged a second after the last crash, and its trial is due two seconds later.
    assert!(begin.elapsed() < Duration::from_secs(4), "{:?}", begin.elapsed());
    assert_eq!(fleet.vms.record.lock().unwrap().ends.len(), ends, "no trial without the list");
}

/// What a request to `/read/` with this body is known by.
fn mark_of(body: &str) -> u64 {
    fingerprint(&[b"POST", b"office.example", b"/read/", b"gate", body.as_bytes()])
}

/// Lets a VM hear that an innocent request is held back, whose trial is due.
fn hold_at(fleet: &Fleet, vm: usize, body: &str) {
    hold_since(fleet, vm, body, Duration::from_secs(3));
}

/// Lets a VM hear that an innocent request has been held back for a time.
fn hold_since(fleet: &Fleet, vm: usize, body: &str, quarantined_for: Duration) {
    let held = ReportedQuarantineEntry {
        fingerprint: mark_of(body),
        version: fingerprint(&[b"v1"]),
        first_crash_age: Duration::from_secs(5),
        quarantined_for,
        remaining: Duration::from_secs(3600),
        trials: 0,
        last_trial_age: None,
        endpoint: None,
        is_stored: false,
    };
    let routers = fleet.vms.routers.lock().unwrap();
    let shared = &routers[vm].1.context().shared;
    let news = QuarantineReport { held: vec![held], ..QuarantineReport::default() };
    assert_eq!(shared.quarantine().merge_report(news, shared.clock.now()).len(), 1);
}

/// Seen: by reading the code. An innocent request that its trial had freed stayed on the list that outlasts all VMs, so that a start of all of
/// them held it back again, with its trial used up.
#[tokio::test(start_paused = true)]
async fn a_request_that_its_trial_has_freed_stays_free_after_a_start_of_all_vms() {
    let (fleet, _endpoints) = Fleet::start(DAY).await;
    hold_at(&fleet, 0, "same 15");
    // Time for the list to be written.
    sleep(Duration::from_secs(2)).await;
    let ask = async || fleet.vms.ask(fleet.vms.host(0).unwrap(), "/read/", "", "same 15").await;
    assert!(is_whole(&ask().await), "its trial");
    sleep(Duration::from_secs(2)).await;
    (0..DAY.vms).for_each(|_| fleet.vms.kill_oldest());
    for _ in 0..DAY.vms {
        fleet.vms.add().await;
    }
    sleep(START).await;
    let answer = ask().await;
    assert!(is_whole(&answer), "{answer}");
}

/// Seen: by reading the code. A VM that had not heard of a trial claimed it again every 0.3 s for six seconds, for each request.
#[tokio::test(start_paused = true)]
async fn a_vm_that_has_not_heard_of_a_trial_learns_of_it_by_its_claim() {
    let (fleet, _endpoints) = Fleet::start(Day { vms: 1, ..DAY }).await;
    let now = fleet.vms.routers.lock().unwrap()[0].1.context().shared.clock.now();
    hold_at(&fleet, 0, "same 15");
    fleet.vms.store.hold(QuarantineEntry {
        fingerprint: mark_of("same 15"),
        version: fingerprint(&[b"v1"]),
        first_crash: now - Duration::from_secs(65),
        since: now - Duration::from_secs(63),
        until: now + Duration::from_secs(3600),
        trials: 1,
        last_trial: Some(now - Duration::from_secs(60)),
        endpoint: None,
    });
    let begin = Instant::now();
    let answer = fleet.vms.ask(fleet.vms.host(0).unwrap(), "/read/", "", "same 15").await;
    assert_eq!(reason(&answer), "503 quarantined");
    assert!(begin.elapsed() < Duration::from_secs(1), "{:?}", begin.elapsed());
}

/// A trial was claimed before its endpoint was reached. Where the connection was refused the trial was used up, though
/// nothing had been sent, and the next one was due after ten minutes.
#[tokio::test(start_paused = true)]
async fn no_trial_is_used_up_while_no_endpoint_can_be_reached() {
    let (fleet, endpoints) = Fleet::start(Day { vms: 1, ..DAY }).await;
    hold_at(&fleet, 0, "same 15");
    drop(endpoints);
    let answer = fleet.vms.ask(fleet.vms.host(0).unwrap(), "/read/", "", "same 15").await;
    assert_eq!(status(&answer), "503", "{answer}");
    let entries = fleet.vms.routers.lock().unwrap()[0].1.context().shared.quarantine().entries();
    assert_eq!(entries.iter().map(|entry| entry.trials).collect::<Vec<_>>(), [0]);
}

/// A request that had waited for nearly all of its time claimed the trial; its caller left with the trial under way, so
/// that an innocent request was held back for another ten minutes.
#[tokio::test(start_paused = true)]
async fn a_request_that_would_be_cut_off_claims_no_trial() {
    let (fleet, _endpoints) = Fleet::start(Day { vms: 1, ..DAY }).await;
    hold_since(&fleet, 0, "same 1200", Duration::from_secs(1));
    let ask = async |id, time_left_ms| {
        let mut connection = fleet.vms.pipes.network(CALLERS).connect(fleet.vms.pipes.address(1, 0)).await.unwrap();
        let request = request("POST", "/read/", id, "", "same 1200").replace("ms: 9000", time_left_ms);
        connection.write_all(request.as_bytes()).await.unwrap();
        read_all(&mut connection).await
    };
    let begin = Instant::now();
    assert_eq!(reason(&ask("r1", "ms: 1200").await), "503 quarantined");
    assert!(begin.elapsed() < Duration::from_millis(100), "refused at once: {:?}", begin.elapsed());
    assert!(is_whole(&ask("r2", "ms: 9000").await), "the trial is left for a caller with more time");
}
