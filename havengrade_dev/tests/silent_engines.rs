//! Engines that fall silent while they answer, on a paused clock.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use havengrade_dev::{
    caller::{Ask, Got},
    fabric::Host,
    fleet::router_host,
    scenario::CHEAP,
    stand_in::expected_answer,
};
use support::{Bench, ONCE, chat, start_with_once};
use tokio::time::{Instant, sleep};

/// Time after which an answer has begun and is not complete.
const BEGUN_AFTER: Duration = Duration::from_millis(16);
const ENGINES: [&str; 6] = ["engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6"];

fn engine_host(engine: &str) -> Host {
    let number: Host = engine.trim_start_matches("engine-").parse().unwrap();
    9 + number
}

/// Makes engines silent in both directions.
fn silence<'a>(bench: &Bench, engines: impl IntoIterator<Item = &'a str>) {
    for engine in engines {
        bench.pipes.cut(router_host(0), engine_host(engine));
        bench.pipes.cut(engine_host(engine), router_host(0));
    }
}

/// Sends a request; once its answer has begun, the given engines are silent for a time.
async fn ask_through_silence(
    bench: &Bench,
    account: &str,
    ask: &Ask,
    silence_time: Duration,
    silent: impl Fn(&Bench) -> Vec<&'static str>,
) -> Got {
    let trouble = async {
        sleep(BEGUN_AFTER).await;
        silence(bench, silent(bench));
        sleep(silence_time).await;
        bench.pipes.mend();
    };
    tokio::join!(bench.ask(account, 0, ask), trouble).0
}

fn once(prompt: &str, stream: bool) -> Ask {
    Ask { key: Some(prompt.into()), stream, ..chat(ONCE, prompt) }
}

/// Guards against an answer that is given up for a silence of its engine although no other engine may run the request.
#[tokio::test(start_paused = true)]
async fn a_request_that_may_not_be_repeated_outlives_the_silence_of_its_engine() {
    let bench = start_with_once().await;
    for (silent_s, stream) in [(3, true), (9, true), (9, false)] {
        let prompt = format!("which lot, {silent_s} {stream}");
        let silent_for = Duration::from_secs(silent_s);
        let got = ask_through_silence(&bench, ONCE, &once(&prompt, stream), silent_for, |_| ENGINES.to_vec()).await;
        assert_eq!(got.text(), Some(expected_answer(CHEAP, &prompt)), "silent for {silent_s} s: {got:?}");
        sleep(Duration::from_secs(6)).await;
    }
    let started = bench.fleet.engines.values().flat_map(|engine| engine.started()).count();
    assert_eq!(started, 3, "each request ran once");
}

/// Guards against an answer that is given up for a silence of its engine while no other engine is there to continue it.
#[tokio::test(start_paused = true)]
async fn a_request_outlives_the_silence_of_all_engines() {
    let bench = start_with_once().await;
    for stream in [true, false] {
        let ask = Ask { stream, ..chat("lot-question", "ripe?") };
        let silent_for = Duration::from_secs(6);
        let got = ask_through_silence(&bench, "harvest", &ask, silent_for, |_| ENGINES.to_vec()).await;
        assert_eq!(got.text(), Some(expected_answer(CHEAP, "ripe?")), "{got:?}");
        sleep(Duration::from_secs(6)).await;
    }
}

/// Guards against a request that waits for a silent engine until its deadline although another one could go on with it.
#[tokio::test(start_paused = true)]
async fn a_request_leaves_a_silent_engine_where_another_one_is_there() {
    let bench = start_with_once().await;
    let sent = Instant::now();
    let ask = Ask { stream: true, ..chat("lot-question", "ripe?") };
    let busy = |bench: &Bench| ENGINES.into_iter().filter(|id| bench.fleet.engines[*id].load() > 0).collect();
    let answered = async {
        let got = bench.ask("harvest", 0, &ask).await;
        (got, sent.elapsed())
    };
    let trouble = async {
        sleep(BEGUN_AFTER).await;
        let busy: Vec<&str> = busy(&bench);
        assert_eq!(busy.len(), 1);
        silence(&bench, busy);
    };
    let ((got, took), ()) = tokio::join!(answered, trouble);
    assert_eq!(got.text(), Some(expected_answer(CHEAP, "ripe?")), "{got:?}");
    assert!(took < Duration::from_secs(5), "took {took:?}");
}
