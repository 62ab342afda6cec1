//! Published routes from end to end, against a store and endpoints that misbehave, on a paused clock.
#![allow(clippy::unwrap_used)]

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use havengrade_core::published::{
    directory::{DirectoryEvent, ListedEndpoint},
    rollout::{RolloutOrder, RolloutOutcome, RolloutStatus},
    route::PublishedService,
    withdrawal_policy::WithdrawalPolicy,
};
use havengrade_dev::{
    fabric::Fabric as _,
    stand_in::{
        memory_store::MemoryStore,
        published::{LAST_CHUNK, Replies, Reply, event, signed, signed_late},
    },
};
use havengrade_router::{published::ports::OperatorEvent, settings::Settings};
use support::published::{
    Bench, CALLERS, FAILED, NOT_RUN, ROUTER, event_ids, get, listed, publication, read_all, request, status, stream,
};
use tokio::{
    io::AsyncWriteExt as _,
    time::{Instant, sleep},
};

#[tokio::test(start_paused = true)]
async fn a_request_passes_unchanged() {
    let bench = Bench::start(vec![vec![signed("done")]]).await;
    let more = "x-own: 1\r\nkeep-alive: 5\r\nhavengrade-account: thief\r\nhavengrade-endpoint: other\r\n";
    let answer = bench.ask(&request("POST", "/once/a%20b?q=1", "r1", more, "body")).await;
    assert_eq!(status(&answer), "200");
    assert!(answer.contains("havengrade-signature: s") && answer.ends_with("done"));
    let seen = &bench.log_of(0)[0];
    assert!(seen.head.starts_with("POST /once/a%20b?q=1 HTTP/1.1\r\n"));
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.header("x-own"), Some("1"));
    assert_eq!(seen.header("host"), Some("office.example"));
    assert_eq!(seen.header("havengrade-account"), Some("gate"));
    assert_eq!(seen.header("havengrade-endpoint"), Some("e0"));
    assert_eq!(seen.header("havengrade-key"), None, "the key is not shown to endpoints");
    assert_eq!(seen.header("keep-alive"), None);
    assert!(seen.header("havengrade-time-left-ms").unwrap().parse::<u64>().unwrap() <= 9000);
}

#[tokio::test(start_paused = true)]
async fn a_vm_that_starts_reads_requests_once_it_knows_where_they_go() {
    let store = MemoryStore::default();
    store.set_slow(Duration::from_millis(60));
    let bench = Bench::begin(vec![Replies::default()], store).await;
    assert_eq!(status(&bench.ask(&get("/read/", "r1")).await), "200");
}

#[tokio::test(start_paused = true)]
async fn callers_wait_for_a_start_that_takes_as_long_as_they_surely_do() {
    let store = MemoryStore::default();
    store.set_slow(Duration::from_millis(110));
    let bench = Bench::begin(vec![Replies::default()], store).await;
    assert_eq!(status(&bench.ask(&get("/read/", "r1")).await), "200");
}

#[tokio::test(start_paused = true)]
async fn a_vm_that_starts_after_a_roll_out_knows_its_end_before_the_first_request() {
    let store = MemoryStore::default();
    store.set_slow(Duration::from_millis(20));
    let duration = Duration::from_secs(20);
    let order = RolloutOrder { service: "events".into(), version: "v1".into(), duration };
    store.operate(OperatorEvent::Rollout(order));
    store.write_status(RolloutStatus {
        service: "events".into(),
        version: "v1".into(),
        outcome: RolloutOutcome::Succeeded,
    });
    let bench = Bench::begin(vec![Replies::default(), Replies::default()], store).await;
    bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, 1, "v0")));
    for id in 0..8 {
        assert_eq!(status(&bench.ask(&get("/read/", &format!("r{id}"))).await), "200");
    }
    assert_eq!(bench.log_of(0).len(), 8, "the old version gets nothing");
}

#[tokio::test(start_paused = true)]
async fn requests_go_to_the_new_version_where_no_other_is_left() {
    let bench = Bench::start(vec![vec![], vec![]]).await;
    let order = RolloutOrder { service: "events".into(), version: "v2".into(), duration: Duration::from_secs(20) };
    bench.store.operate(OperatorEvent::Rollout(order));
    bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, 1, "v2")));
    bench.store.list(DirectoryEvent::Gone("e0".into()));
    sleep(Duration::from_millis(900)).await;
    for id in 0..8 {
        assert_eq!(status(&bench.ask(&get("/read/", &format!("r{id}"))).await), "200");
    }
}

#[tokio::test(start_paused = true)]
async fn a_session_whose_version_was_replaced_is_told_to_come_back_once_it_has_ended() {
    let bench = Bench::start(vec![vec![], vec![], vec![]]).await;
    let order = |version: &str| RolloutOrder {
        service: "events".into(),
        version: version.into(),
        duration: Duration::from_secs(20),
    };
    let ask = async |id: &str| bench.ask(&request("GET", "/read/", id, "havengrade-session: s1\r\n", "")).await;
    bench.store.list(DirectoryEvent::Gone("e1".into()));
    bench.store.list(DirectoryEvent::Gone("e2".into()));
    bench.store.operate(OperatorEvent::Rollout(order("v2")));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(status(&ask("r1").await), "200");
    // The first order ends, its old version is stopped, and another one follows at once.
    bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, 1, "v2")));
    bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, 2, "v3")));
    bench.store.list(DirectoryEvent::Gone("e0".into()));
    bench.store.operate(OperatorEvent::Rollout(order("v3")));
    sleep(Duration::from_millis(900)).await;
    let answer = ask("r2").await;
    assert!(answer.contains("session_version_gone"), "{answer}");
    let left = retry_after(&answer);
    assert!((3.5..4.5).contains(&left), "{left}");
    sleep(Duration::from_secs_f64(left + 0.1)).await;
    assert_eq!(status(&ask("r3").await), "200");
    assert_eq!((bench.log_of(0).len(), bench.log_of(1).len()), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn a_version_that_was_rolled_back_gets_nothing_even_where_no_other_is_left() {
    let bench = Bench::start(vec![vec![], vec![]]).await;
    let order = RolloutOrder { service: "events".into(), version: "v2".into(), duration: Duration::from_secs(20) };
    bench.store.write_status(RolloutStatus {
        service: "events".into(),
        version: "v2".into(),
        outcome: RolloutOutcome::RolledBack,
    });
    bench.store.operate(OperatorEvent::Rollout(order));
    bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, 1, "v2")));
    bench.store.list(DirectoryEvent::Gone("e0".into()));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(status(&bench.ask(&get("/read/", "r1")).await), "503");
    assert!(bench.arrivals().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_vm_that_starts_while_the_store_is_away_says_so_soon() {
    let store = MemoryStore::default();
    store.set_away(true);
    let bench = Bench::begin(vec![Replies::default()], store).await;
    let asked = Instant::now();
    let answer = bench.ask(&get("/read/", "r1")).await;
    assert!(status(&answer) == "503" && answer.contains("retry-after"), "{answer}");
    assert!(asked.elapsed() < Duration::from_millis(300), "{:?}", asked.elapsed());
    assert!(bench.arrivals().is_empty());
}

fn retry_after(answer: &str) -> f64 {
    let value = answer.split("retry-after: ").nth(1).and_then(|rest| rest.split("\r\n").next());
    value.and_then(|value| value.parse().ok()).unwrap()
}

#[tokio::test(start_paused = true)]
async fn callers_of_a_vm_without_the_store_are_told_to_come_back_later_and_not_all_at_once() {
    let store = MemoryStore::default();
    store.set_away(true);
    let bench = Bench::begin(vec![Replies::default()], store).await;
    let mut times = Vec::new();
    for id in 0..8 {
        times.push(retry_after(&bench.ask(&get("/read/", &format!("r{id}"))).await));
    }
    assert!(times.iter().all(|after| (1.0..=1.5).contains(after)), "{times:?}");
    assert!(times.iter().any(|after| *after != times[0]), "spread: {times:?}");
    sleep(Duration::from_secs(3)).await;
    let after = retry_after(&bench.ask(&get("/read/", "r9")).await);
    assert!(after >= 3.0, "an outage is expected to last as long again: {after}");
}

#[tokio::test(start_paused = true)]
async fn a_vm_that_started_without_the_store_serves_soon_after_its_return() {
    // The moment of the return falls anywhere between two questions to the store.
    for away_ms in [1000, 1130, 1260, 1390] {
        let store = MemoryStore::default();
        store.set_away(true);
        let bench = Bench::begin(vec![Replies::default()], store).await;
        sleep(Duration::from_millis(away_ms)).await;
        bench.store.set_away(false);
        sleep(Duration::from_millis(250)).await;
        assert_eq!(status(&bench.ask(&get("/read/", "r1")).await), "200", "away for {away_ms} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn unknown_routes_and_keys_are_refused() {
    let bench = Bench::start(vec![vec![]]).await;
    assert_eq!(status(&bench.ask(&get("/nowhere/", "r1")).await), "404");
    let foreign = get("/read/", "r2").replace("havengrade-key: k1", "havengrade-key: k9");
    assert_eq!(status(&bench.ask(&foreign).await), "401");
    assert!(bench.arrivals().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_head_that_can_be_read_in_two_ways_is_refused() {
    let bench = Bench::start(vec![vec![]]).await;
    let both = "POST /once/ HTTP/1.1\r\nhost: office.example\r\nhavengrade-request: r1\r\nhavengrade-key: k1\r\n\
                transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n\
                GET /read/ HTTP/1.1\r\nhost: office.example\r\nhavengrade-request: r2\r\nhavengrade-key: k1\r\n\r\n";
    for head in [both.to_owned(), both.replace("transfer-encoding: chunked\r\n", "content-length: 5\r\n")] {
        let answer = bench.ask(&head).await;
        assert!(answer.is_empty() || status(&answer) == "400", "{answer}");
        assert!(bench.arrivals().is_empty());
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_did_not_run_is_tried_elsewhere() {
    let bench = Bench::start(vec![vec![Reply::Write(NOT_RUN.into())], vec![Reply::Write(NOT_RUN.into())]]).await;
    let answer = bench.ask(&get("/once/", "r1")).await;
    assert_eq!(bench.arrivals().len(), 2);
    assert_eq!(status(&answer), "503", "both said that it did not run");
    assert!(answer.contains("retry-after: 0."));
    assert_eq!(status(&bench.ask(&get("/once/", "r2")).await), "200");
}

#[tokio::test(start_paused = true)]
async fn a_request_that_may_have_run_is_not_repeated_and_no_promise_is_made() {
    for reply in [Reply::Close(String::new()), Reply::Close("HTTP/1.1 200 OK\r\ncontent-".into())] {
        let bench = Bench::start(vec![vec![reply.clone()], vec![reply]]).await;
        let answer = bench.ask(&get("/once/", "r1")).await;
        assert_eq!(status(&answer), "502");
        assert!(!answer.contains("retry-after"));
        assert_eq!(bench.arrivals().len(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn a_body_that_breaks_off_is_no_answer() {
    let cut = "HTTP/1.1 200 OK\r\nhavengrade-request: {id}\r\nhavengrade-signature: s\r\ncontent-length: 9\r\n\r\nhalf";
    let bench = Bench::start(vec![vec![Reply::Close(cut.into())]]).await;
    assert_eq!(status(&bench.ask(&get("/once/", "r1")).await), "502");
    let bench = Bench::start(vec![vec![Reply::Close(cut.into())], vec![Reply::Close(cut.into())], vec![]]).await;
    let answer = bench.ask(&get("/read/", "r2")).await;
    assert!(status(&answer) == "200" && answer.ends_with("ok"), "{answer}");
}

#[tokio::test(start_paused = true)]
async fn a_failure_is_replaced_where_the_request_may_be_repeated() {
    let bench = Bench::start(vec![vec![Reply::Write(FAILED.into())], vec![Reply::Write(FAILED.into())], vec![]]).await;
    let answer = bench.ask(&get("/read/", "r1")).await;
    assert!(status(&answer) == "200" && answer.ends_with("ok"), "{answer}");
    let bench = Bench::start(vec![vec![Reply::Write(FAILED.into())], vec![Reply::Write(FAILED.into())]]).await;
    let answer = bench.ask(&get("/once/", "r2")).await;
    assert!(status(&answer) == "500" && answer.ends_with("bad"), "the endpoint's own answer: {answer}");
    assert_eq!(bench.arrivals().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_answer_to_another_request_is_never_passed_on() {
    let other =
        "HTTP/1.1 200 OK\r\nhavengrade-request: r0\r\nhavengrade-signature: s\r\ncontent-length: 5\r\n\r\nother";
    let bench = Bench::start(vec![vec![Reply::Write(other.into())]]).await;
    let answer = bench.ask(&get("/once/", "r1")).await;
    assert_eq!(status(&answer), "502");
    assert!(!answer.contains("other"));
}

#[tokio::test(start_paused = true)]
async fn an_unsigned_success_is_no_answer() {
    let unsigned = "HTTP/1.1 200 OK\r\nhavengrade-request: {id}\r\ncontent-length: 2\r\n\r\nno";
    let bench = Bench::start(vec![vec![Reply::Write(unsigned.into())]]).await;
    assert_eq!(status(&bench.ask(&get("/once/", "r1")).await), "502");
}

#[tokio::test(start_paused = true)]
async fn a_second_answer_on_a_connection_reaches_nobody() {
    let Reply::Write(one) = signed("one") else { unreachable!() };
    let bench = Bench::start(vec![vec![Reply::Write(format!("{one}{one}"))]]).await;
    assert!(bench.ask(&get("/read/", "r1")).await.ends_with("one"));
    let answer = bench.ask(&get("/read/", "r2")).await;
    assert!(answer.ends_with("ok"), "{answer}");
}

#[tokio::test(start_paused = true)]
async fn a_refused_connection_costs_no_try() {
    let bench = Bench::start(vec![vec![]]).await;
    for dead in 1..4 {
        bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, dead, "v1")));
    }
    sleep(Duration::from_secs(1)).await;
    for id in 0..10 {
        assert_eq!(status(&bench.ask(&get("/once/", &format!("r{id}"))).await), "200");
    }
}

#[tokio::test(start_paused = true)]
async fn a_withdrawn_key_is_refused_and_others_go_on() {
    let bench = Bench::start(vec![vec![]]).await;
    bench.store.operate(OperatorEvent::Publication(publication(2, &["k2"])));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(status(&bench.ask(&get("/read/", "r1")).await), "401");
    let renewed = get("/read/", "r2").replace("havengrade-key: k1", "havengrade-key: k2");
    assert_eq!(status(&bench.ask(&renewed).await), "200");
}

#[tokio::test(start_paused = true)]
async fn an_older_configuration_never_replaces_a_newer_one() {
    let bench = Bench::start(vec![vec![]]).await;
    bench.store.operate(OperatorEvent::Publication(publication(5, &["k2"])));
    bench.store.operate(OperatorEvent::Publication(publication(4, &["k1"])));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(status(&bench.ask(&get("/read/", "r1")).await), "401");
}

#[tokio::test(start_paused = true)]
async fn a_shorter_bound_on_withdrawn_keys_takes_effect_without_a_restart() {
    let bench = Bench::start(vec![vec![]]).await;
    let mut settings = Settings::default();
    settings.published.withdrawal_ms = 2000;
    bench.router.reload(&settings);
    bench.store.set_away(true);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(status(&bench.ask(&get("/read/", "r1")).await), "503");
}

#[tokio::test(start_paused = true)]
async fn connections_to_an_endpoint_stay_within_this_vms_share() {
    let late = signed_late("ok", Duration::from_secs(2));
    let bench = Bench::start_shared(2, vec![late; 4]).await;
    let mut limited = publication(2, &["k1"]);
    limited.services =
        vec![PublishedService { name: "events".into(), max_connections: 2, ..PublishedService::default() }];
    bench.store.operate(OperatorEvent::Publication(limited));
    sleep(Duration::from_millis(100)).await;
    let asks: Vec<String> = (0..5).map(|id| get("/once/", &format!("r{id}"))).collect();
    let asking = futures::future::join_all(asks.iter().map(|ask| bench.ask(ask)));
    let answers = asking.await;
    let refused = answers.iter().filter(|answer| status(answer) == "503").count();
    assert_eq!(refused, 1, "each endpoint takes two, and the fifth is told to come back: {answers:?}");
    assert_eq!(bench.arrivals().len(), 4);
}

#[tokio::test(start_paused = true)]
async fn keys_are_not_used_once_the_store_was_away_for_too_long() {
    let bench = Bench::start(vec![vec![]]).await;
    bench.store.set_away(true);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(status(&bench.ask(&get("/read/", "r1")).await), "200");
    sleep(Duration::from_secs(3)).await;
    let answer = bench.ask(&get("/read/", "r2")).await;
    assert_eq!(status(&answer), "503");
    assert!(retry_after(&answer) < 0.1, "nothing says that other VMs are cut off too");
    assert_eq!(status(&bench.ask(&get("/open/", "r3")).await), "200", "a public route needs no key");
    assert_eq!(status(&bench.ask(&get("/nowhere/", "r4")).await), "503", "the route may have been added since");
    assert!(!bench.is_ready().await);
    bench.store.set_away(false);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(status(&bench.ask(&get("/read/", "r5")).await), "200");
    assert!(bench.is_ready().await);
}

#[tokio::test(start_paused = true)]
async fn known_keys_are_served_while_the_store_is_away_where_operators_chose_so() {
    let bench = Bench::start(vec![vec![]]).await;
    let mut settings = Settings::default();
    settings.published.withdrawal = WithdrawalPolicy::WhenLearned;
    bench.router.reload(&settings);
    bench.store.set_away(true);
    sleep(Duration::from_secs(20)).await;
    assert_eq!(status(&bench.ask(&get("/read/", "r1")).await), "200");
    assert!(bench.is_ready().await);
    let unknown = get("/read/", "r2").replace("havengrade-key: k1", "havengrade-key: k2");
    assert_eq!(status(&bench.ask(&unknown).await), "503", "the key may have been added since");
    bench.store.operate(OperatorEvent::Publication(publication(2, &["k2"])));
    bench.store.set_away(false);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(status(&bench.ask(&get("/read/", "r3")).await), "401", "a withdrawal holds once it is learned");
}

#[tokio::test(start_paused = true)]
async fn a_leaving_endpoint_gets_nothing_new() {
    let bench = Bench::start(vec![vec![], vec![]]).await;
    let leaving = ListedEndpoint { is_leaving: true, ..listed(&bench.pipes, 0, "v1") };
    bench.store.list(DirectoryEvent::Seen(leaving));
    sleep(Duration::from_secs(1)).await;
    let before = bench.log_of(0).len();
    for id in 0..20 {
        assert_eq!(status(&bench.ask(&get("/read/", &format!("r{id}"))).await), "200");
    }
    assert_eq!(bench.log_of(0).len(), before);
}

#[tokio::test(start_paused = true)]
async fn a_caller_who_leaves_ends_the_work() {
    let bench = Bench::start(vec![vec![Reply::Hang]]).await;
    let mut connection = bench.connect(0).await;
    connection.write_all(get("/once/", "r1").as_bytes()).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    assert_eq!((bench.arrivals().len(), bench.endpoints[0].closed()), (1, 0));
    drop(connection);
    sleep(Duration::from_millis(400)).await;
    assert_eq!(bench.endpoints[0].closed(), 1);
}

/// Numbers of the events in an answer, in their order.

#[tokio::test(start_paused = true)]
async fn a_planned_stop_finishes_what_is_in_progress_and_takes_nothing_that_it_would_cut() {
    let slow = Reply::Pieces(vec![stream(1..=1, ""), event(2), LAST_CHUNK.into()], Duration::from_millis(900));
    let bench = Arc::new(Bench::start(vec![vec![slow]]).await);
    let asking = tokio::spawn({
        let bench = bench.clone();
        async move { bench.ask(&get("/stream/", "r1")).await }
    });
    sleep(Duration::from_millis(100)).await;
    let shared = &bench.router.context().shared;
    assert_eq!(bench.store.vms(), ["vm-1"]);
    shared.start_drain(shared.clock.now());
    assert!(!bench.is_ready().await);
    let answer = bench.ask(&get("/read/", "r2")).await;
    assert_eq!(status(&answer), "200", "callers come until the balancer has noticed");
    assert!(answer.contains("connection: close"));
    sleep(Duration::from_secs(3)).await;
    let answer = bench.ask(&get("/read/", "r3")).await;
    assert_eq!(status(&answer), "503", "it may take longer than the stop");
    assert_eq!(event_ids(&asking.await.unwrap()), [1, 2]);
    assert!(bench.router.wait_for_drain().await);
    assert!(bench.store.vms().is_empty(), "it has left the list of VMs");
}

#[tokio::test(start_paused = true)]
async fn a_bad_version_is_rolled_back_once_for_all() {
    let failing = |n: usize| vec![Reply::Write(FAILED.into()); n];
    let bench = Bench::start(vec![vec![], failing(400)]).await;
    bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, 1, "v2")));
    let duration = Duration::from_secs(20);
    let order = RolloutOrder { service: "events".into(), version: "v2".into(), duration };
    bench.store.operate(OperatorEvent::Rollout(order));
    sleep(Duration::from_secs(1)).await;
    for id in 0..120 {
        bench.ask(&get("/once/", &format!("r{id}"))).await;
        sleep(Duration::from_millis(30)).await;
    }
    let bad = bench.log_of(1).len();
    assert!((1..20).contains(&bad), "{bad} requests reached the bad version");
    sleep(Duration::from_secs(2)).await;
    let outcomes: Vec<_> = bench.store.statuses().into_iter().map(|status| status.outcome).collect();
    assert_eq!(outcomes.last(), Some(&RolloutOutcome::RolledBack));
    assert_eq!(outcomes.iter().filter(|outcome| **outcome == RolloutOutcome::RolledBack).count(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_whose_address_another_one_has_does_not_run_the_request() {
    let misdirected = "HTTP/1.1 421 Misdirected\r\nhavengrade-endpoint: other\r\ncontent-length: 0\r\n\r\n";
    let bench = Bench::start(vec![vec![Reply::Write(misdirected.into())], vec![]]).await;
    for id in 0..4 {
        assert_eq!(status(&bench.ask(&get("/once/", &format!("r{id}"))).await), "200");
    }
}

#[tokio::test(start_paused = true)]
async fn metrics_tell_the_ages_of_beliefs() {
    havengrade_router::metrics::install();
    let bench = Bench::start(vec![vec![]]).await;
    let address: SocketAddr = bench.pipes.address(ROUTER, 3);
    let mut connection = bench.pipes.network(CALLERS).connect(address).await.unwrap();
    connection.write_all(b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await.unwrap();
    let answer = read_all(&mut connection).await;
    assert_eq!(status(&answer), "200");
    for name in ["configuration_age_seconds", "endpoints_age_seconds", "vms_known", "configuration_version"] {
        assert!(answer.contains(name), "{name}: {answer}");
    }
}

/// Load: plain requests one after the other, so that the slow endpoint is idle as often as the fast one. Guards against an
/// idle slow endpoint that looks as good as an idle fast one.
#[tokio::test(start_paused = true)]
async fn plain_requests_go_to_the_faster_of_two_idle_endpoints() {
    let replies = |millis| (0..120).map(|_| signed_late("ok", Duration::from_millis(millis))).collect::<Vec<_>>();
    let bench = Bench::start(vec![replies(300), replies(50)]).await;
    let ask = async |name: &str, count: u32| {
        for id in 0..count {
            assert_eq!(status(&bench.ask(&get("/read/", &format!("{name}-{id}"))).await), "200");
        }
    };
    ask("first", 80).await;
    // The measurements are compared with those of all endpoints with each report.
    sleep(Duration::from_secs(2)).await;
    let before = bench.log_of(0).len();
    ask("later", 20).await;
    assert!(bench.log_of(0).len() <= before + 2, "{before} requests before, {} after", bench.log_of(0).len());
}
