//! Runs of a fleet under a schedule of faults, on a paused clock, recorded as a history.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use futures::future::join_all;
use havengrade_router::{platform::Stream, settings::Settings, shared::lock};
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use serde::{Deserialize, Serialize};
use tokio::{sync::Mutex, time::sleep};

use crate::{
    caller::{Ask, Caller, Got},
    fabric::{Fabric, Host, Pipes},
    fleet::{Fleet, FleetError, FleetOptions, log_host, router_host, vm_list_host, vm_name},
    history::{Content, Event, Recorder},
    scenario::{CHEAP, CHEAP_NEXT, CRATES, EVENTS, STRONG},
    stand_in::{EngineFault, LogFault, ServiceFault, expected_answer},
};

/// Host from which callers call.
const CALLERS: Host = 250;

/// A schedule of faults over some traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Seed of the traffic.
    pub seed: u64,
    /// Number of VMs.
    pub vms: u8,
    /// Number of requests.
    pub requests: u64,
    /// Time over which they are spread, in milliseconds.
    pub span_ms: u64,
    /// The faults.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds; it has a meaning only for some.
    #[serde(default)]
    pub for_ms: u64,
    /// What happens.
    pub kind: FaultKind,
    /// VM that it is about, counted from 0.
    #[serde(default)]
    pub vm: u8,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The log service refuses every call.
    LogDown,
    /// The log service never answers.
    LogSilent,
    /// The log service takes 400 ms longer.
    LogSlow,
    /// Appends take effect, but their answers are lost.
    LogLosesAnswers,
    /// A VM dies, and is replaced when the fault is over.
    KillVm,
    /// A VM is cut off from everything, as if it were paused.
    Freeze,
    /// Other VMs don't hear a VM.
    CutFromPeers,
    /// A VM doesn't hear other VMs.
    CutToPeers,
    /// A VM doesn't hear the log service.
    CutFromLog,
    /// An engine dies.
    KillEngine,
    /// Streams break and must be resumed or moved.
    BreakStreams,
    /// Services run calls whose answers are lost.
    LoseAnswers,
    /// A version is withdrawn.
    Withdraw,
    /// An engine reports that it leaves.
    Leave,
    /// A VM is drained and replaced.
    Drain,
    /// The VM list doesn't answer.
    ListAway,
    /// All VMs are replaced, one after another.
    ReplaceAll,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 17] = [
        Self::LogDown,
        Self::LogSilent,
        Self::LogSlow,
        Self::LogLosesAnswers,
        Self::KillVm,
        Self::Freeze,
        Self::CutFromPeers,
        Self::CutToPeers,
        Self::CutFromLog,
        Self::KillEngine,
        Self::BreakStreams,
        Self::LoseAnswers,
        Self::Withdraw,
        Self::Leave,
        Self::Drain,
        Self::ListAway,
        Self::ReplaceAll,
    ];
}

/// A run in progress.
struct Run {
    schedule: Schedule,
    pipes: Pipes,
    fleet: Mutex<Fleet>,
    recorder: Recorder,
    origin: tokio::time::Instant,
    next_id: AtomicU64,
    starts: std::sync::Mutex<Vec<u64>>,
}

/// Time after the span in which requests that are still open may be asked again.
const AFTERMATH: Duration = Duration::from_secs(60);

/// Runs a schedule; the clock must be paused for it to take no time.
///
/// # Errors
///
/// [`FleetError`] where the fleet does not start.
pub async fn run(schedule: &Schedule) -> Result<Vec<Event>, FleetError> {
    let pipes = Pipes::default();
    let options = FleetOptions {
        fabric: Arc::new(pipes.clone()),
        routers: schedule.vms,
        engines: 6,
        seed: schedule.seed,
        origin: SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
        tune,
    };
    let fleet = Fleet::start(options).await?;
    // Heartbeats go round once before anything goes wrong.
    sleep(Duration::from_secs(2)).await;
    let run = Arc::new(Run {
        schedule: schedule.clone(),
        pipes,
        fleet: Mutex::new(fleet),
        recorder: Recorder::default(),
        origin: tokio::time::Instant::now(),
        next_id: AtomicU64::new(0),
        starts: std::sync::Mutex::new(vec![0; usize::from(schedule.vms)]),
    });
    run.note_allowed();
    let faults = join_all(schedule.fault.iter().map(|fault| run.cause(fault.clone())));
    let requests = join_all((0..schedule.requests).map(|number| run.request(number)));
    let watch = run.watch();
    tokio::join!(faults, requests, watch);
    Ok(run.finish().await)
}

fn tune(settings: &mut Settings) {
    settings.claims.abandoned_s = 10;
    settings.drain.limit_s = 120;
}

impl Run {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn note_allowed(&self) {
        for account in ["gate", "archive", "harvest"] {
            let versions = vec!["swift@*".to_owned(), "sage@*".to_owned()];
            self.recorder.note(Event::Allowed { account: account.to_owned(), versions });
        }
    }

    /// Watches what each VM has in force, until the end of the run.
    async fn watch(&self) {
        const LOOK: Duration = Duration::from_millis(250);
        let end = Duration::from_millis(self.schedule.span_ms) + AFTERMATH;
        while self.origin.elapsed() < end {
            let fleet = self.fleet.lock().await;
            let now = fleet.clock().now();
            for (vm, router) in &fleet.routers {
                let shared = &router.context().shared;
                self.recorder.note(Event::InForce {
                    at_ms: self.now_ms(),
                    vm: vm.clone(),
                    run: shared.incarnation,
                    next: shared.config_next(),
                    open: shared.closed(now).is_none(),
                });
            }
            drop(fleet);
            sleep(LOOK).await;
        }
    }

    async fn cause(self: &Arc<Self>, fault: Fault) {
        sleep(Duration::from_millis(fault.at_ms)).await;
        let lasts = Duration::from_millis(fault.for_ms);
        match fault.kind {
            FaultKind::LogDown => self.log_fault(LogFault::Down, lasts).await,
            FaultKind::LogSilent => self.log_fault(LogFault::Silent, lasts).await,
            FaultKind::LogSlow => self.log_fault(LogFault::Slow(Duration::from_millis(400)), lasts).await,
            FaultKind::LogLosesAnswers => self.log_fault(LogFault::LosesAnswers, lasts).await,
            FaultKind::KillVm => self.kill_and_replace(fault.vm, lasts).await,
            FaultKind::Freeze => self.cut(&self.all_others(fault.vm), router_host(fault.vm), true, true, lasts).await,
            FaultKind::CutFromPeers => self.cut(&self.peers(fault.vm), router_host(fault.vm), true, false, lasts).await,
            FaultKind::CutToPeers => self.cut(&self.peers(fault.vm), router_host(fault.vm), false, true, lasts).await,
            FaultKind::CutFromLog => self.cut(&[log_host()], router_host(fault.vm), false, true, lasts).await,
            FaultKind::KillEngine => self.fleet.lock().await.kill_stand_in("engine-2"),
            FaultKind::BreakStreams => self.break_streams().await,
            FaultKind::LoseAnswers => self.lose_answers().await,
            FaultKind::Withdraw => self.withdraw().await,
            FaultKind::Leave => self.leave().await,
            FaultKind::Drain => self.drain(fault.vm).await,
            FaultKind::ListAway => {
                let vms: Vec<Host> = (0..self.schedule.vms).map(router_host).collect();
                self.cut(&vms, vm_list_host(), true, true, lasts).await;
            },
            FaultKind::ReplaceAll => {
                for vm in 0..self.schedule.vms {
                    self.kill_and_replace(vm, lasts / u32::from(self.schedule.vms)).await;
                }
            },
        }
    }

    async fn log_fault(&self, fault: LogFault, lasts: Duration) {
        let log = self.fleet.lock().await.log.clone();
        log.set_fault(fault);
        sleep(lasts).await;
        log.set_fault(LogFault::None);
    }

    async fn kill_and_replace(&self, vm: u8, lasts: Duration) {
        self.fleet.lock().await.kill_router(vm);
        sleep(lasts).await;
        self.restart(vm).await;
    }

    async fn restart(&self, vm: u8) {
        // Two faults may replace one VM at once; then the second finds its port taken and leaves it.
        let _ = self.fleet.lock().await.start_router(vm).await;
        lock(&self.starts)[usize::from(vm)] += 1;
    }

    fn peers(&self, vm: u8) -> Vec<Host> {
        (0..self.schedule.vms).filter(|other| *other != vm).map(router_host).collect()
    }

    fn all_others(&self, vm: u8) -> Vec<Host> {
        (1..=CALLERS).filter(|host| *host != router_host(vm)).collect()
    }

    /// Stops what a host sends to others, or others to it, for a time.
    async fn cut(&self, others: &[Host], host: Host, from: bool, to: bool, lasts: Duration) {
        for other in others {
            if from {
                self.pipes.cut(host, *other);
            }
            if to {
                self.pipes.cut(*other, host);
            }
        }
        sleep(lasts).await;
        self.pipes.mend_host(host);
    }

    async fn break_streams(&self) {
        let fleet = self.fleet.lock().await;
        for (number, engine) in (0..).zip(fleet.engines.values()) {
            engine.add_fault(EngineFault::BreaksAfter(2 + number));
            engine.add_fault(EngineFault::DiesAfter(3));
            engine.add_fault(EngineFault::Refuses);
        }
    }

    async fn lose_answers(&self) {
        let fleet = self.fleet.lock().await;
        for service in fleet.services.values() {
            service.add_fault(ServiceFault::LosesAnswer);
            service.add_fault(ServiceFault::Slow(Duration::from_secs(8)));
        }
    }

    async fn withdraw(&self) {
        const PAUSE: Duration = Duration::from_millis(100);
        let log = self.fleet.lock().await.log.clone();
        // Nothing can be accepted while the log is away.
        while !log.takes_appends() {
            sleep(PAUSE).await;
        }
        self.fleet.lock().await.withdraw_at_once("withdraw", CHEAP);
        let offset = log.records(Stream::Config).len() as u64 - 1;
        // An operator is told "accepted" once a VM has read the change back.
        while !self.is_read(offset).await {
            sleep(PAUSE).await;
        }
        let at_ms = self.now_ms();
        self.recorder.note(Event::Withdrawn { at_ms, version: CHEAP.to_owned() });
        self.recorder.note(Event::Accepted { at_ms, offset });
    }

    async fn is_read(&self, offset: u64) -> bool {
        let fleet = self.fleet.lock().await;
        fleet.routers.values().any(|router| router.context().shared.config_next() > offset)
    }

    async fn leave(&self) {
        let fleet = self.fleet.lock().await;
        fleet.engines["engine-1"].leave();
        self.recorder.note(Event::Leaving { at_ms: self.now_ms(), endpoint: "engine-1".to_owned() });
    }

    async fn drain(&self, vm: u8) {
        const PAUSE: Duration = Duration::from_millis(100);
        // A process that is paused does not see the signal; requests on their way to it are not there yet.
        while self.pipes.is_host_cut(router_host(vm)) {
            sleep(PAUSE).await;
        }
        let taken = self.fleet.lock().await.routers.remove(&vm_name(vm));
        let Some(router) = taken else { return };
        router.context().shared.start_drain();
        self.recorder.note(Event::DrainBegan { at_ms: self.now_ms(), vm: vm_name(vm) });
        router.drained().await;
        self.recorder.note(Event::DrainEnded { at_ms: self.now_ms(), vm: vm_name(vm) });
        // Answers that are whole are still being written when the last request ends.
        sleep(Duration::from_millis(100)).await;
        router.stop().await;
        self.restart(vm).await;
    }

    /// A caller's request, asked again until it is answered or the run ends.
    async fn request(self: &Arc<Self>, number: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.schedule.seed ^ (number << 20));
        sleep(Duration::from_millis(rng.random_range(0..self.schedule.span_ms.max(1)))).await;
        let (account, ask) = sample(number, &mut rng);
        let caller = Caller::new(self.pipes.network(CALLERS), account);
        let mut session = None;
        let turns = if ask.class == "day-log" { 3 } else { 1 };
        for turn in 0..turns {
            let ask = Ask { prompt: format!("{} turn {turn}", ask.prompt), session: session.clone(), ..ask.clone() };
            let request = number * 10 + turn;
            let Some(got) = self.until_answered(&caller, account, request, ask, &mut rng).await else { return };
            let token = got.header("x-havengrade-session");
            if !token.is_empty() {
                session = Some(token.to_owned());
            }
        }
    }

    async fn until_answered(
        &self,
        caller: &Caller,
        account: &str,
        request: u64,
        mut ask: Ask,
        rng: &mut ChaCha8Rng,
    ) -> Option<Got> {
        let end = Duration::from_millis(self.schedule.span_ms) + AFTERMATH;
        let mut attempt = 0;
        while self.origin.elapsed() < end {
            attempt += 1;
            if ask.key.is_some() {
                ask.attempt = Some(attempt);
            }
            let vm = rng.random_range(0..self.schedule.vms);
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            self.note_asked(id, request, account, &ask, attempt, vm);
            let got = self.ask(caller, vm, id, &ask).await;
            let pause = match &got {
                Some(got) if got.status.is_success() && got.status != 202 && content(&ask, got) == Content::Whole => {
                    return Some(got.clone());
                },
                Some(got) if got.problem().is_some_and(|problem| problem.kind == "session_ended") => return None,
                Some(got) => {
                    // A request that may not be repeated and may have run is left to a person in the end.
                    let is_lost = got.problem().is_some_and(|problem| problem.kind == "answer_lost");
                    if is_lost && attempt > 3 {
                        return None;
                    }
                    Duration::from_millis(500)
                },
                None => Duration::from_millis(300),
            };
            sleep(pause).await;
        }
        None
    }

    fn note_asked(&self, id: u64, request: u64, account: &str, ask: &Ask, attempt: u32, vm: u8) {
        self.recorder.note(Event::Asked {
            at_ms: self.now_ms(),
            id,
            request,
            account: account.to_owned(),
            class: ask.class.clone(),
            repeatable: ask.service.is_none(),
            key: ask.key.clone(),
            attempt,
            vm: vm_name(vm),
            session: ask.session.as_ref().map(|_| request / 10),
        });
    }

    /// Sends an attempt; while it is pending its answer is asked for at any VM.
    async fn ask(&self, caller: &Caller, vm: u8, id: u64, ask: &Ask) -> Option<Got> {
        const LIMIT: Duration = Duration::from_secs(15);
        const POLLS: u32 = 100;
        const PAUSE: Duration = Duration::from_millis(200);
        let address = self.pipes.address(router_host(vm), 0);
        let mut got = tokio::time::timeout(LIMIT, caller.ask(address, ask)).await.ok().and_then(Result::ok);
        for poll in 0..POLLS {
            let Some(pending) = got.as_ref().filter(|got| got.status == 202) else { break };
            let request_id = pending.header("x-request-id").to_owned();
            sleep(PAUSE).await;
            let other = u8::try_from((u32::from(vm) + poll) % u32::from(self.schedule.vms)).unwrap_or_default();
            let address = self.pipes.address(router_host(other), 0);
            let looked = tokio::time::timeout(LIMIT, caller.look_up(address, &request_id)).await;
            got = looked.ok().and_then(Result::ok).or(got);
        }
        let at_ms = self.now_ms();
        let Some(got) = got else {
            self.recorder.note(Event::Lost { at_ms, id });
            return None;
        };
        let version = Some(got.header("x-havengrade-version").to_owned()).filter(|version| !version.is_empty());
        self.recorder.note(Event::Answered {
            at_ms,
            id,
            status: got.status.as_u16(),
            run_state: got.problem().map(|problem| problem.run_state),
            request_id: got.header("x-request-id").to_owned(),
            version,
            content: content(ask, &got),
        });
        Some(got)
    }

    /// Ends the run and adds what endpoints and the log saw.
    async fn finish(&self) -> Vec<Event> {
        self.pipes.mend();
        sleep(AFTERMATH).await;
        let fleet = self.fleet.lock().await;
        for service in fleet.services.values() {
            for run in service.runs().into_iter().filter(|run| !run.key.is_empty()) {
                self.recorder.note(Event::Ran { key: run.key, request_id: run.request_id });
            }
        }
        for (endpoint, engine) in &fleet.engines {
            for started in engine.started() {
                let at_ms = u64::try_from(started.at.duration_since(self.origin).as_millis()).unwrap_or_default();
                let request_id = started.stream.rsplit_once('.').map_or("", |(id, _)| id).to_owned();
                let (endpoint, version) = (endpoint.clone(), started.version);
                self.recorder.note(Event::Started { at_ms, endpoint, request_id, version });
            }
        }
        for bill in fleet.log.bills().iter() {
            self.recorder.note(Event::Billed { bill: bill.clone() });
        }
        self.recorder.take()
    }
}

fn content(ask: &Ask, got: &Got) -> Content {
    if !got.status.is_success() || got.status == 202 {
        return Content::None;
    }
    if ask.service.is_some() {
        let is_own = ask.key.as_deref().is_some_and(|key| got.json()["key"] == key);
        return if is_own { Content::Whole } else { Content::Wrong };
    }
    let Some(text) = got.text() else { return Content::Broken };
    let is_own = [CHEAP, CHEAP_NEXT, STRONG].iter().any(|version| text == expected_answer(version, &ask.prompt));
    if is_own { Content::Whole } else { Content::Wrong }
}

/// A request of the traffic, and the client account that sends it.
fn sample(number: u64, rng: &mut ChaCha8Rng) -> (&'static str, Ask) {
    let prompt = format!("request {number}");
    let call = |class: &str, service: &str| Ask {
        class: class.to_owned(),
        service: Some(service.to_owned()),
        prompt: prompt.clone(),
        key: Some(format!("{class}-{number}")),
        ..Ask::default()
    };
    let chat = |class: &str| Ask { class: class.to_owned(), prompt: prompt.clone(), ..Ask::default() };
    match rng.random_range(0..8) {
        0 | 1 => ("gate", call("check-in", EVENTS)),
        2 => ("gate", call("pledge", EVENTS)),
        3 => ("harvest", call("bin-tag", CRATES)),
        4 => ("harvest", Ask { stream: true, ..chat("lot-question") }),
        5 => ("harvest", chat("day-log")),
        6 => ("harvest", Ask { patience_ms: Some(50), ..chat("season-summary") }),
        _ => ("archive", Ask { patience_ms: Some(50), ..chat("archive-summary") }),
    }
}
