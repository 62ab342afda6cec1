//! The traffic of a run: callers who ask until they are answered.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use tokio::time::sleep;

use super::{AFTERMATH, CALLERS, Run};
use crate::{
    caller::{Ask, Caller, Got},
    fabric::Fabric as _,
    fleet::{router_host, vm_name},
    history::{Content, Event},
    scenario::{CHEAP, CHEAP_NEXT, CRATES, EVENTS, STRONG},
    stand_in::expected_answer,
};

impl Run {
    /// A caller's request, asked again until it is answered or the run ends.
    pub(super) async fn request(self: &Arc<Self>, number: u64) {
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
        let asked = tokio::time::timeout(LIMIT, caller.ask(address, ask)).await;
        let sent = !matches!(&asked, Ok(Err(error)) if error.is_known_not_sent());
        let mut got = asked.ok().and_then(Result::ok);
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
            self.recorder.note(Event::Lost { at_ms, id, sent });
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
