//! Runs routers of two builds beside each other before one set of stand-ins, and checks that they serve and learn from each other.
//!
//! Started by hand with the paths of two `havengrade-router` programs and a directory for settings and logs:
//!
//! ```sh
//! cargo run --release -p havengrade_dev --example mixed_routers -- OLD NEW DIRECTORY
//! ```
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::PathBuf,
    pin::pin,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use havengrade_core::{
    config::{Change, ChangeRecord, ConfigRecord, Item, Rollout, RolloutState, ScopedChange},
    membership::ListedVm,
};
use havengrade_dev::{
    caller::{Ask, Caller, Got},
    fabric::{Fabric as _, Loopback},
    fleet::{Fleet, FleetOptions, router_host, vm_name},
    processes::{Findings, RouterProcess},
    scenario::{CHEAP, CHEAP_NEXT, EVENTS, OPERATOR},
};
use havengrade_router::{net::SystemNetwork, platform::LogStream, settings::Settings};
use serde_json::json;
use tokio::{select, time::sleep};

const PORTS: Loopback = Loopback { port_base: 24000 };
const VMS: u8 = 4;
/// Time in which a change has reached all routers.
const SETTLED: Duration = Duration::from_secs(4);

/// The stand-ins and the routers of a run.
struct Run {
    fleet: Fleet,
    routers: Vec<RouterProcess>,
    programs: [PathBuf; 2],
    directory: PathBuf,
    findings: Findings,
    requests: u64,
}

impl Run {
    async fn start(programs: [PathBuf; 2], directory: PathBuf) -> Self {
        let options =
            FleetOptions { fabric: Arc::new(PORTS), routers: 0, engines: 6, seed: 1, origin: SystemTime::now(), tune };
        let fleet = Fleet::start(options).await.unwrap();
        fleet.vm_list.change(|listing| listing.entries = (0..VMS).map(listed).collect());
        // The list lags; routers that start after it find each other at once.
        sleep(SETTLED).await;
        let mut run =
            Self { fleet, routers: Vec::new(), programs, directory, findings: Findings::default(), requests: 0 };
        run.start_routers([0, 1, 0, 1]);
        run
    }

    fn start_routers(&mut self, builds: [usize; VMS as usize]) {
        self.routers.clear();
        for (index, build) in (0..VMS).zip(builds) {
            let router = self.launch(index, build);
            self.routers.push(router);
        }
    }

    fn launch(&self, index: u8, build: usize) -> RouterProcess {
        let settings = settings_text(&self.fleet.settings(index));
        RouterProcess::start(&self.programs[build], &vm_name(index), &settings, &self.directory).unwrap()
    }

    /// Waits until all routers answer a check-in; gives how long that took.
    async fn wait_ready(&mut self) -> Option<Duration> {
        let began = Instant::now();
        for index in 0..VMS {
            loop {
                let key = self.next_id("ready");
                let got = self.ask("gate", index, &check_in(&key)).await;
                if got.is_some_and(|got| got.status == 200) {
                    break;
                }
                sleep(Duration::from_millis(50)).await;
                if began.elapsed() > Duration::from_secs(30) {
                    return None;
                }
            }
        }
        Some(began.elapsed())
    }

    fn next_id(&mut self, kind: &str) -> String {
        self.requests += 1;
        format!("{kind}-{}", self.requests)
    }

    async fn ask(&self, account: &str, index: u8, ask: &Ask) -> Option<Got> {
        let caller = Caller::new(Arc::new(SystemNetwork), account);
        caller.ask_until_answered(callers_port(index), ask).await.ok()
    }

    /// Sends chats to all routers in turn; gives how many each version answered, and the failures.
    async fn chat_all(&mut self, requests: usize) -> (BTreeMap<String, usize>, Vec<String>) {
        let (mut served, mut failed) = (BTreeMap::new(), Vec::new());
        for index in (0..VMS).cycle().take(requests) {
            let prompt = self.next_id("question");
            let got = self.ask("harvest", index, &chat("lot-question", &prompt)).await;
            match got.filter(|got| got.status == 200) {
                Some(got) => *served.entry(got.header("x-havengrade-version").to_owned()).or_default() += 1,
                None => failed.push(format!("router {index}: {prompt}")),
            }
        }
        (served, failed)
    }

    async fn check_served(&mut self, when: &str) {
        let (served, failed) = self.chat_all(100).await;
        let seen = format!("served {served:?}, failed {failed:?}");
        self.findings.check(&format!("{when}: all chats are answered"), failed.is_empty(), &seen);
    }

    /// A claimed request that is repeated at a router of the other build runs once and has one bill.
    async fn check_claims(&mut self) {
        for (first, second) in [(0, 1), (1, 0), (2, 3), (3, 2)] {
            let key = self.next_id("ticket");
            let answers =
                [self.ask("gate", first, &check_in(&key)).await, self.ask("gate", second, &check_in(&key)).await];
            let ok = answers.iter().flatten().filter(|got| got.status == 200).count();
            let services = self.fleet.services.values();
            let runs = services.flat_map(|service| service.runs()).filter(|run| run.key == key).count();
            let ids: Vec<&str> = answers.iter().flatten().map(|got| got.header("x-request-id")).collect();
            sleep(Duration::from_millis(500)).await;
            let bills = ids.iter().filter(|id| self.fleet.log.bills().get(id).is_some()).count();
            let seen = format!("{ok} answers, {runs} run, ids {ids:?} of which {bills} are billed");
            let holds = ok == 2 && runs == 1;
            self.findings.check(&format!("{key} at routers {first} and {second} runs once"), holds, &seen);
        }
    }

    /// A session that a router of one build opened keeps its version at a router of the other.
    async fn check_sessions(&mut self) {
        for (first, second) in [(0, 1), (1, 0)] {
            let opened = self.ask("harvest", first, &chat("day-log", "morning")).await.unwrap();
            let session = Some(opened.header("x-havengrade-session").to_owned());
            let next = Ask { session, ..chat("day-log", "noon") };
            let next = self.ask("harvest", second, &next).await.unwrap();
            let versions = [&opened, &next].map(|got| got.header("x-havengrade-version").to_owned());
            let holds = next.status == 200 && versions[0] == versions[1] && !versions[0].is_empty();
            let expected = format!("a session of router {first} goes on at router {second}");
            self.findings.check(&expected, holds, &format!("{} {versions:?}", next.status));
        }
    }

    /// A roll-out takes its next step by the evidence of routers of both builds.
    async fn check_rollout(&mut self) {
        let rollout = Rollout {
            id: "swift-2".into(),
            from: CHEAP.into(),
            to: CHEAP_NEXT.into(),
            steps: vec![500, 1000],
            step: 0,
            step_evidence: 20,
            state: RolloutState::Running,
        };
        let changes = json!([{ "base": "absent", "change": { "op": "put", "item": Item::Rollout(rollout) } }]);
        let changes: Vec<ScopedChange> = serde_json::from_value(changes).unwrap();
        assert!(matches!(changes[0].change, Change::Put { .. }));
        self.fleet.log.append_config(&ConfigRecord::Change(ChangeRecord {
            change_id: "begin".into(),
            author: OPERATOR.into(),
            reason: "new version".into(),
            at: SystemTime::now(),
            changes,
        }));
        sleep(SETTLED).await;
        let (served, failed) = self.chat_all(400).await;
        sleep(SETTLED).await;
        let records = self.fleet.log.records(LogStream::Config);
        let steps: Vec<&String> = records.iter().filter(|record| record.contains("step-swift-2")).collect();
        let others = records.iter().filter(|record| record.contains("swift-2")).count();
        let seen = format!("{served:?}, failed {failed:?}, {} records of {others}: {steps:?}", steps.len());
        let holds = failed.is_empty() && served.len() == 2 && others > 1;
        self.findings.check("a roll-out takes a step by the evidence of both builds", holds, &seen);
        let (served, failed) = self.chat_all(200).await;
        let seen = format!("{served:?}, failed {failed:?}");
        let holds = failed.is_empty() && served.keys().all(|known| known != CHEAP);
        self.findings.check("all routers use the new version after it", holds, &seen);
    }

    /// A request under which engines ended at a router of one build is refused at a router of the other.
    ///
    /// Engines that ended stay away, so this check comes last.
    async fn check_quarantine(&mut self, asked: u8, other: u8) {
        /// Time from the start of a request until its engine ends.
        const FUSE: Duration = Duration::from_millis(5);
        let prompt = self.next_id("deadly");
        let ask = chat("lot-question", &prompt);
        let idle: BTreeMap<String, usize> = self.started();
        let mut ended = BTreeSet::new();
        let mut last = String::new();
        for _ in 0..6 {
            let caller = Caller::new(Arc::new(SystemNetwork), "harvest");
            let mut asking = pin!(caller.ask(callers_port(asked), &ask));
            last = loop {
                select! {
                    biased;
                    got = &mut asking => break body_of(got.ok()),
                    () = sleep(FUSE) => {
                        let running = self.started().into_iter().filter(|(name, count)| idle[name] < *count);
                        let new: Vec<String> = running.map(|(name, _)| name).filter(|name| !ended.contains(name)).collect();
                        new.iter().for_each(|name| self.fleet.kill_stand_in(name));
                        ended.extend(new);
                    },
                }
            };
            if last.contains("quarantined") {
                break;
            }
            sleep(Duration::from_secs(1)).await;
        }
        sleep(SETTLED).await;
        let before: usize = self.started().values().sum();
        let got = body_of(self.ask("harvest", other, &ask).await);
        let sent = self.started().values().sum::<usize>() - before;
        let holds = ended.len() <= 3 && last.contains("quarantined") && got.contains("quarantined") && sent == 0;
        let expected = format!("a request that ended engines at router {asked} is refused at router {other}");
        self.findings.check(&expected, holds, &format!("{ended:?}; router {asked}: {last}; router {other}: {got}"));
    }

    /// Streams that each engine has started.
    fn started(&self) -> BTreeMap<String, usize> {
        self.fleet.engines.iter().map(|(name, engine)| (name.clone(), engine.started().len())).collect()
    }

    /// One router of each build ends without a planned stop and starts again.
    async fn check_restart(&mut self) {
        for (index, build) in [(0, 0), (3, 1)] {
            self.routers[usize::from(index)].kill().unwrap();
            self.routers[usize::from(index)] = self.launch(index, build);
        }
        let ready = self.wait_ready().await;
        self.findings.check("a router of each build is ready after a restart", ready.is_some(), &format!("{ready:?}"));
        self.check_served("after the restart").await;
    }

    /// All routers end; each starts with the other build's program and reads what that build wrote to the log.
    async fn check_swap(&mut self) {
        let before = self.fleet.log.bills().len();
        self.routers.clear();
        self.start_routers([1, 0, 1, 0]);
        let ready = self.wait_ready().await;
        let expected = "all routers start with the other build's program";
        self.findings.check(expected, ready.is_some(), &format!("{ready:?}, {before} bills before"));
        self.check_claims().await;
        let (served, failed) = self.chat_all(100).await;
        let holds = failed.is_empty() && served.keys().all(|known| known != CHEAP);
        self.findings.check("they know the roll-out's step", holds, &format!("{served:?}, failed {failed:?}"));
    }
}

fn tune(settings: &mut Settings) {
    settings.rating.sample = 1000;
}

fn listed(index: u8) -> ListedVm {
    ListedVm {
        id: vm_name(index),
        peer_address: PORTS.address(router_host(index), 2),
        failure_domain: format!("domain-{}", index + 1),
        leaving: false,
    }
}

/// The settings as a file.
fn settings_text(settings: &Settings) -> String {
    let operator = settings.operators.first().unwrap();
    format!(
        "[vm]\nid = \"{}\"\nfailure_domain = \"{}\"\n\n[listen]\ncallers = \"{}\"\noperators = \"{}\"\npeers = \"{}\"\n\n\
         [log_service]\naddress = \"{}\"\n\n[vm_list]\naddress = \"{}\"\n\n\
         [rating]\naddress = \"{}\"\nenabled = true\nsample = {}\n\n[logging]\nlevel = \"debug\"\n\n\
         [[operators]]\nname = \"{}\"\nkey_sha256 = \"{}\"\n",
        settings.vm.id,
        settings.vm.failure_domain,
        settings.listen.callers,
        settings.listen.operators,
        settings.listen.peers,
        settings.log_service.address,
        settings.vm_list.address,
        settings.rating.address,
        settings.rating.sample,
        operator.name,
        operator.key_sha256,
    )
}

fn body_of(got: Option<Got>) -> String {
    got.map(|got| String::from_utf8_lossy(&got.body).into_owned()).unwrap_or_default()
}

fn callers_port(index: u8) -> SocketAddr {
    PORTS.address(router_host(index), 0)
}

fn chat(class: &str, prompt: &str) -> Ask {
    Ask { class: class.into(), prompt: prompt.into(), ..Ask::default() }
}

fn check_in(key: &str) -> Ask {
    Ask {
        class: "check-in".into(),
        service: Some(EVENTS.into()),
        prompt: "ticket".into(),
        key: Some(key.into()),
        ..Ask::default()
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [old, new, directory] = arguments.as_slice() else {
        eprintln!("usage: mixed_routers OLD NEW DIRECTORY");
        return ExitCode::from(2);
    };
    let mut run = Run::start([old.clone(), new.clone()], directory.clone()).await;
    let ready = run.wait_ready().await;
    run.findings.check("routers of both builds are ready", ready.is_some(), &format!("{ready:?}"));
    run.check_served("at first").await;
    run.check_claims().await;
    run.check_sessions().await;
    run.check_rollout().await;
    run.check_restart().await;
    run.check_swap().await;
    run.check_quarantine(0, 1).await;
    println!("{} requests, {} expectations failed", run.requests, run.findings.failed());
    ExitCode::from(u8::from(run.findings.failed() > 0))
}
