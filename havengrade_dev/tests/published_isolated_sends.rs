//! Claimed sends of suspected requests: orders of events in which a harmless request must be served while causes are
//! active.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use havengrade_core::{
    fingerprint::fingerprint,
    quarantine::{QuarantineReport, ReportedAnswer, ReportedCrash, ReportedQuarantineEntry},
};
use havengrade_dev::{
    fabric::{Fabric as _, Host, Pipes},
    stand_in::{
        frail::{FrailEndpoint, Frailty, Record},
        memory_store::MemoryStore,
    },
};
use havengrade_router::{
    clock::Clock,
    published::{ports::OperatorEvent, router::PublishedRouter},
    router::RouterEnvironment,
    settings::Settings,
};
use support::published::{CALLERS, FIRST_ENDPOINT, ROUTER, listed, publication, read_all, request, status};
use tokio::{
    io::AsyncWriteExt as _,
    runtime::Handle,
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Time in which a router finds its endpoints.
const START: Duration = Duration::from_secs(3);
/// Time for which callers wait.
const PATIENCE: Duration = Duration::from_secs(9);
/// Time in which requests that were sent one after the other have reached endpoints.
const STEP: Duration = Duration::from_millis(50);
/// A harmless request, which takes 1.2 s.
const HARMLESS: &str = "same 1200";
const CAUSE: &str = "deadly-1";

const FRAILTY: Frailty = Frailty {
    fuse: Duration::from_millis(60),
    most_wait: Duration::ZERO,
    answers_first: false,
    down: Duration::from_millis(2500),
    keeps_id: false,
};

/// Routers before endpoints that crash when they run a cause.
struct Bench {
    pipes: Pipes,
    store: MemoryStore,
    record: Arc<Mutex<Record>>,
    routers: Mutex<Vec<PublishedRouter>>,
    endpoints: Mutex<Vec<FrailEndpoint>>,
    frailty: Frailty,
}

impl Bench {
    async fn start(endpoints: Host, frailty: Frailty) -> Arc<Self> {
        let (pipes, store) = (Pipes::default(), MemoryStore::default());
        store.operate(OperatorEvent::Publication(publication(1, &["k1"])));
        let bench = Self {
            pipes,
            store,
            record: Arc::default(),
            routers: Mutex::default(),
            endpoints: Mutex::default(),
            frailty,
        };
        bench.add_router(ROUTER).await;
        for index in 0..endpoints {
            bench.add_endpoint(index).await;
        }
        sleep(START).await;
        Arc::new(bench)
    }

    async fn add_router(&self, host: Host) {
        let mut settings = Settings::default();
        settings.vm.id = format!("vm-{host}");
        settings.published.callers = Some(self.pipes.address(host, 0));
        settings.listen.peers = self.pipes.address(host, 1);
        settings.published.readiness = self.pipes.address(host, 2);
        settings.published.metrics = self.pipes.address(host, 3);
        let origin = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let clock = Clock::starting_at(origin);
        let parts = RouterEnvironment { network: self.pipes.network(host), clock, seed: u64::from(host) };
        let ports = self.store.ports(&settings.vm.id);
        let router = PublishedRouter::start(settings, parts, ports, &Handle::current()).await.unwrap();
        self.routers.lock().unwrap().push(router);
    }

    async fn add_endpoint(&self, index: Host) {
        let network = self.pipes.network(FIRST_ENDPOINT + index);
        let entry = listed(&self.pipes, index, "v1");
        let started = FrailEndpoint::start(network, entry, self.frailty, self.store.clone(), self.record.clone());
        let endpoint = started.await.unwrap();
        self.endpoints.lock().unwrap().push(endpoint);
    }

    /// Three endpoints with two requests in progress each, and a fourth one without any, which the next requests get
    /// until it has as many.
    async fn start_with_one_idle_endpoint(frailty: Frailty) -> Arc<Self> {
        let bench = Self::start(3, frailty).await;
        for index in 0..6 {
            // Routes without a repeat wait for the answer for as long as the caller does.
            drop(bench.send("/once/", format!("long-{index} 8500")));
            sleep(Duration::from_millis(1)).await;
        }
        bench.add_endpoint(3).await;
        sleep(Duration::from_millis(1500)).await;
        bench
    }

    fn send(self: &Arc<Self>, path: &'static str, body: impl Into<String>) -> JoinHandle<String> {
        let (bench, body) = (self.clone(), body.into());
        tokio::spawn(async move { bench.ask(path, &body).await })
    }

    async fn ask(&self, path: &str, body: &str) -> String {
        self.ask_router(ROUTER, path, body).await
    }

    async fn ask_router(&self, host: Host, path: &str, body: &str) -> String {
        let asked = async {
            let mut connection = self.pipes.network(CALLERS).connect(self.pipes.address(host, 0)).await.unwrap();
            connection.write_all(request("POST", path, "r1", "", body).as_bytes()).await.unwrap();
            read_all(&mut connection).await
        };
        timeout(PATIENCE, asked).await.unwrap_or_default()
    }

    fn report(&self, report: &QuarantineReport) {
        for router in self.routers.lock().unwrap().iter() {
            let shared = &router.context().shared;
            shared.quarantine().merge_report(report.clone(), shared.clock.now());
        }
    }

    /// Reports crashes 1.5 s ago at which a request was in progress, each after another run time, so that it is a
    /// suspect from the third on.
    fn report_crashes(&self, path: &str, body: &str, crashes: u32) {
        let crash = |index: u32| ReportedCrash {
            fingerprint: fingerprint_of(path, body),
            endpoint: format!("{body}-{index}"),
            version: fingerprint(&[b"v1"]),
            ran_for: Duration::from_millis(100) * (1 + 3 * index),
            age: Duration::from_millis(1500),
            request: None,
        };
        self.report(&QuarantineReport { crashes: (0..crashes).map(crash).collect(), ..QuarantineReport::default() });
    }

    /// Reports that another VM has just claimed the send of a suspect.
    fn report_claim(&self, request: u64) {
        let held = ReportedQuarantineEntry {
            fingerprint: request,
            version: fingerprint(&[b"v1"]),
            first_crash_age: Duration::from_secs(5),
            quarantined_for: Duration::ZERO,
            remaining: Duration::from_secs(3600),
            trials: 0,
            last_trial_age: Some(Duration::ZERO),
            endpoint: None,
            is_stored: true,
        };
        self.report(&QuarantineReport { held: vec![held], ..QuarantineReport::default() });
    }

    /// Reports that another VM has just received a whole answer to a request.
    fn report_answer(&self, request: u64) {
        let answered = ReportedAnswer { fingerprint: request, version: fingerprint(&[b"v1"]), age: Duration::ZERO };
        self.report(&QuarantineReport { answered: vec![answered], ..QuarantineReport::default() });
    }

    fn sends_of(&self, body: &str) -> usize {
        self.record.lock().unwrap().taken.iter().filter(|taken| taken.body == body).count()
    }
}

fn fingerprint_of(path: &str, body: &str) -> u64 {
    fingerprint(&[b"POST", b"office.example", path.as_bytes(), b"gate", body.as_bytes()])
}

fn assert_served(answer: &str) {
    assert!(status(answer) == "200" && answer.contains("fine"), "{answer}");
}

/// The order that the others vary: the harmless suspect is sent while nothing else happens.
#[tokio::test(start_paused = true)]
async fn a_harmless_suspect_is_served_beside_long_requests() {
    let bench = Bench::start_with_one_idle_endpoint(FRAILTY).await;
    bench.report_crashes("/read/", HARMLESS, 3);
    assert_served(&bench.ask("/read/", HARMLESS).await);
}

/// Guards against a refusal because other suspects, which came later, are sent first again and again.
#[tokio::test(start_paused = true)]
async fn a_harmless_suspect_that_waited_first_is_sent_before_later_ones() {
    let bench = Bench::start(8, FRAILTY).await;
    bench.report_crashes("/read/", HARMLESS, 3);
    bench.report_claim(100);
    let waiting = bench.send("/read/", HARMLESS);
    for claimed in 101..105 {
        sleep(Duration::from_millis(1800)).await;
        bench.report_claim(claimed);
    }
    assert_served(&waiting.await.unwrap());
}

/// Guards against a claimed send to an endpoint at which a request with two crashes is in progress.
#[tokio::test(start_paused = true)]
async fn a_claimed_send_avoids_the_endpoint_of_a_request_with_two_crashes() {
    let frailty = Frailty { fuse: Duration::from_millis(900), ..FRAILTY };
    let bench = Bench::start_with_one_idle_endpoint(frailty).await;
    bench.report_crashes("/once/", CAUSE, 2);
    bench.report_crashes("/read/", HARMLESS, 3);
    drop(bench.send("/once/", CAUSE));
    sleep(STEP).await;
    assert_served(&bench.ask("/read/", HARMLESS).await);
}

/// Guards against a request with two crashes that is sent to the endpoint of a claimed send.
#[tokio::test(start_paused = true)]
async fn a_request_with_two_crashes_avoids_the_endpoint_of_a_claimed_send() {
    let bench = Bench::start_with_one_idle_endpoint(FRAILTY).await;
    bench.report_crashes("/once/", CAUSE, 2);
    bench.report_crashes("/read/", HARMLESS, 3);
    let claimed = bench.send("/read/", HARMLESS);
    sleep(STEP).await;
    drop(bench.send("/once/", CAUSE));
    assert_served(&claimed.await.unwrap());
}

/// Guards against a cause without any crash yet that is sent to the endpoint of a claimed send.
#[tokio::test(start_paused = true)]
async fn a_request_without_crashes_avoids_the_endpoint_of_a_claimed_send() {
    let bench = Bench::start_with_one_idle_endpoint(FRAILTY).await;
    bench.report_crashes("/read/", HARMLESS, 3);
    let claimed = bench.send("/read/", HARMLESS);
    sleep(STEP).await;
    drop(bench.send("/once/", CAUSE));
    assert_served(&claimed.await.unwrap());
}

/// Guards against two suspects at one endpoint where the claimed send of the first one lasts for over two seconds.
#[tokio::test(start_paused = true)]
async fn a_claimed_send_avoids_the_endpoint_of_one_that_runs_for_over_two_seconds() {
    let frailty = Frailty { fuse: Duration::from_millis(2800), ..FRAILTY };
    let bench = Bench::start_with_one_idle_endpoint(frailty).await;
    bench.report_crashes("/once/", CAUSE, 3);
    bench.report_crashes("/read/", HARMLESS, 3);
    drop(bench.send("/once/", CAUSE));
    sleep(STEP).await;
    assert_served(&bench.ask("/read/", HARMLESS).await);
}

/// Guards against two suspects at one endpoint where the store answers both claims before either is known to the VM.
#[tokio::test(start_paused = true)]
async fn two_claims_at_a_slow_store_do_not_send_two_suspects_to_one_endpoint() {
    let frailty = Frailty { fuse: Duration::from_millis(800), ..FRAILTY };
    let bench = Bench::start_with_one_idle_endpoint(frailty).await;
    bench.report_crashes("/once/", CAUSE, 3);
    bench.report_crashes("/read/", HARMLESS, 3);
    bench.store.set_slow(Duration::from_millis(700));
    drop(bench.send("/once/", CAUSE));
    sleep(Duration::from_millis(500)).await;
    assert_served(&bench.ask("/read/", HARMLESS).await);
}

/// Guards against two suspects at one endpoint where the report on the first claim does not arrive in time.
#[tokio::test(start_paused = true)]
async fn two_claims_of_vms_whose_reports_are_late_do_not_send_two_suspects_to_one_endpoint() {
    let frailty = Frailty { fuse: Duration::from_millis(1000), ..FRAILTY };
    let bench = Bench::start(3, frailty).await;
    bench.add_router(ROUTER + 1).await;
    sleep(START).await;
    for index in 0..6 {
        drop(bench.send("/once/", format!("long-{index} 8500")));
        sleep(Duration::from_millis(1)).await;
    }
    bench.add_endpoint(3).await;
    sleep(Duration::from_millis(1500)).await;
    bench.report_crashes("/once/", CAUSE, 3);
    bench.report_crashes("/read/", HARMLESS, 3);
    bench.pipes.cut(ROUTER, ROUTER + 1);
    drop(bench.send("/once/", CAUSE));
    sleep(Duration::from_millis(500)).await;
    assert_served(&bench.ask_router(ROUTER + 1, "/read/", HARMLESS).await);
}

/// Guards against a refusal at the first failed claim, although the store is back long before the caller gives up.
#[tokio::test(start_paused = true)]
async fn a_harmless_suspect_is_served_once_the_store_is_back() {
    let bench = Bench::start(8, FRAILTY).await;
    bench.report_crashes("/read/", HARMLESS, 3);
    bench.store.set_away(true);
    let waiting = bench.send("/read/", HARMLESS);
    sleep(Duration::from_secs(1)).await;
    bench.store.set_away(false);
    assert_served(&waiting.await.unwrap());
}

/// Guards against a held back harmless request since its only endpoint was restarting when its turn came.
#[tokio::test(start_paused = true)]
async fn a_harmless_suspect_is_served_after_the_only_endpoint_has_restarted() {
    let frailty = Frailty { down: Duration::from_millis(1300), ..FRAILTY };
    let bench = Bench::start(1, frailty).await;
    bench.report_crashes("/read/", HARMLESS, 3);
    drop(bench.send("/once/", CAUSE));
    sleep(Duration::from_millis(100)).await;
    let first = bench.ask("/read/", HARMLESS).await;
    assert!(!first.contains("quarantined"), "{first}");
    sleep(Duration::from_secs(3)).await;
    assert_served(&bench.ask("/read/", HARMLESS).await);
}

/// Guards against two sends of a suspect of which many callers ask at the same moment.
#[tokio::test(start_paused = true)]
async fn a_suspect_that_comes_five_times_at_once_is_sent_once_until_it_is_answered() {
    let bench = Bench::start(8, FRAILTY).await;
    bench.report_crashes("/read/", HARMLESS, 3);
    let callers: Vec<_> = (0..5).map(|_| bench.send("/read/", HARMLESS)).collect();
    sleep(Duration::from_millis(1000)).await;
    assert_eq!(bench.sends_of(HARMLESS), 1);
    for caller in callers {
        assert_served(&caller.await.unwrap());
    }
}

/// Guards against a refusal when others' turn may end two seconds later at the latest, which is after the caller's time,
/// although it ends sooner.
#[tokio::test(start_paused = true)]
async fn a_harmless_suspect_waits_for_a_turn_that_may_end_early() {
    let bench = Bench::start(8, FRAILTY).await;
    bench.report_crashes("/read/", HARMLESS, 3);
    bench.report_claim(100);
    let waiting = bench.send("/read/", HARMLESS);
    for claimed in 101..104 {
        sleep(Duration::from_millis(1900)).await;
        bench.report_claim(claimed);
    }
    sleep(Duration::from_millis(500)).await;
    (100..104).for_each(|claimed| bench.report_answer(claimed));
    assert_served(&waiting.await.unwrap());
}

/// Guards against a refusal while the claimed send of the same request runs at another VM, which frees it in time.
#[tokio::test(start_paused = true)]
async fn a_caller_waits_for_the_outcome_of_a_send_that_another_vm_claimed() {
    let harmless = "same 200";
    let bench = Bench::start(8, FRAILTY).await;
    bench.report_crashes("/read/", harmless, 3);
    bench.report_claim(100);
    let waiting = bench.send("/read/", harmless);
    for claimed in 101..104 {
        sleep(Duration::from_millis(1900)).await;
        bench.report_claim(claimed);
    }
    sleep(Duration::from_millis(300)).await;
    bench.report_claim(fingerprint_of("/read/", harmless));
    sleep(Duration::from_millis(900)).await;
    bench.report_answer(fingerprint_of("/read/", harmless));
    assert_served(&waiting.await.unwrap());
}

/// Guards against a refusal because each turn is won by another one of eight causes that came later.
#[tokio::test(start_paused = true)]
async fn a_harmless_suspect_is_sent_before_causes_that_came_later() {
    let frailty = Frailty { fuse: Duration::from_millis(1400), ..FRAILTY };
    let bench = Bench::start(12, frailty).await;
    let causes: Vec<String> = (0..8).map(|number| format!("deadly-{number}")).collect();
    bench.report_crashes("/read/", HARMLESS, 3);
    causes.iter().for_each(|cause| bench.report_crashes("/once/", cause, 3));
    bench.report_claim(100);
    let waiting = bench.send("/read/", HARMLESS);
    sleep(Duration::from_millis(500)).await;
    let sent: Vec<_> = causes.iter().map(|cause| bench.send("/once/", cause.clone())).collect();
    assert_served(&waiting.await.unwrap());
    drop(sent);
}
