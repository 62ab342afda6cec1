//! Bad input at every port: a clear error, nothing run, and the router keeps serving.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use bytes::Bytes;
use havengrade_dev::{
    caller::{Ask, Got},
    scenario::EVENTS,
    stand_in::expected_answer,
};
use havengrade_router::traffic::RunState;
use http_body_util::Full;
use hyper::{Request, header::HeaderValue};
use support::{Bench, chat, check_in};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Changes a request and sends it.
async fn send(bench: &Bench, account: &str, ask: &Ask, change: impl FnOnce(&mut Request<Full<Bytes>>)) -> Got {
    let caller = bench.caller(account);
    let mut request = caller.request(bench.callers_port(0), ask);
    change(&mut request);
    caller.send(bench.callers_port(0), request).await.unwrap()
}

fn assert_problem(got: &Got, status: u16, kind: &str) {
    let problem = got.problem().unwrap_or_else(|| panic!("{got:?}"));
    assert_eq!((got.status.as_u16(), problem.kind.as_str()), (status, kind), "{problem:?}");
    assert_eq!(got.header("content-type"), "application/problem+json");
    assert_eq!(problem.run_state, RunState::NotRun);
    assert!(!problem.detail.is_empty());
}

async fn assert_serves(bench: &Bench) {
    let got = bench.ask("harvest", 0, &chat("lot-question", "still there?")).await;
    let version = got.header("x-havengrade-version").to_owned();
    assert_eq!(got.text(), Some(expected_answer(&version, "still there?")));
}

#[tokio::test(start_paused = true)]
async fn callers_get_a_clear_error_for_each_fault() {
    let bench = Bench::start(1).await;
    let lot = chat("lot-question", "ripe?");
    let got = send(&bench, "nobody", &lot, |_| {}).await;
    assert_problem(&got, 401, "unauthenticated");
    let got = send(&bench, "harvest", &lot, |request| drop(request.headers_mut().remove("authorization"))).await;
    assert_problem(&got, 401, "unauthenticated");
    let got = send(&bench, "harvest", &chat("no-such-class", "ripe?"), |_| {}).await;
    assert_problem(&got, 403, "unknown_class");
    let got = send(&bench, "harvest", &chat("archive-summary", "ripe?"), |_| {}).await;
    assert_problem(&got, 403, "class_not_allowed");
    let got = send(&bench, "harvest", &lot, |request| {
        *request.body_mut() = Full::from(r#"{"messages":[],"model":"oracle@9"}"#);
    })
    .await;
    assert_problem(&got, 403, "version_not_allowed");
    let got = send(&bench, "harvest", &lot, |request| *request.body_mut() = Full::from("{\"messages\":")).await;
    assert_problem(&got, 400, "malformed_body");
    let got = send(&bench, "gate", &Ask { key: None, ..check_in("") }, |_| {}).await;
    assert_problem(&got, 400, "idempotency_key_needed");
    let got = send(&bench, "gate", &check_in(&"k".repeat(300)), |_| {}).await;
    assert_problem(&got, 400, "bad_header");
    let got = send(&bench, "gate", &Ask { attempt: Some(0), ..check_in("ticket") }, |_| {}).await;
    assert_problem(&got, 400, "bad_header");
    let got = send(&bench, "gate", &Ask { service: Some("nowhere".into()), ..check_in("t") }, |_| {}).await;
    assert_problem(&got, 404, "unknown_service");
    let got = send(&bench, "gate", &Ask { service: None, ..check_in("t2") }, |_| {}).await;
    assert_problem(&got, 400, "wrong_path");
    let got = send(&bench, "harvest", &Ask { session: Some("k1.00.00".into()), ..chat("day-log", "x") }, |_| {}).await;
    assert_problem(&got, 400, "bad_session");
    let got = send(&bench, "harvest", &lot, |request| {
        *request.uri_mut() = format!("http://{}/v2/x", bench.callers_port(0)).parse().unwrap();
    })
    .await;
    assert_problem(&got, 404, "unknown_path");
    assert_serves(&bench).await;
    assert_eq!(bench.fleet.log.bills().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn too_large_input_is_refused_by_its_limit() {
    let bench = Bench::start_tuned(1, |settings| settings.limits.max_body_bytes = 1000).await;
    let got = send(&bench, "harvest", &chat("lot-question", &"x".repeat(2000)), |_| {}).await;
    assert_problem(&got, 413, "body_too_large");
    let got = send(&bench, "harvest", &chat("lot-question", "x"), |request| {
        let long = HeaderValue::from_str(&"y".repeat(17 << 10)).unwrap();
        request.headers_mut().insert("x-long", long);
    })
    .await;
    assert_problem(&got, 431, "headers_too_large");
    // What does not even fit the buffer is refused by the library, without a body.
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "z".repeat(64 << 10));
    let answer = bench.raw(0, 0, head.as_bytes()).await;
    assert!(answer.starts_with(b"HTTP/1.1 431"));
    assert_serves(&bench).await;
}

#[tokio::test(start_paused = true)]
async fn slow_and_half_closed_callers_do_no_harm() {
    let bench = Bench::start(1).await;
    let mut slow = bench.open(0, 0).await;
    let head = "POST /v1/services/events HTTP/1.1\r\nhost: x\r\nauthorization: Bearer gate.demo\r\n\
                x-havengrade-class: check-in\r\nidempotency-key: slow\r\ncontent-length: 10\r\n\r\n12";
    slow.write_all(head.as_bytes()).await.unwrap();
    let mut buf = vec![0; 4096];
    let count = slow.read(&mut buf).await.unwrap();
    let answer = String::from_utf8_lossy(&buf[..count]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408") && answer.contains("\"run_state\":\"not_run\""), "{answer}");
    let body = r#"{"ticket":1}"#;
    let whole = format!(
        "POST /v1/services/{EVENTS} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer gate.demo\r\n\
         x-havengrade-class: check-in\r\nidempotency-key: half\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = bench.raw(0, 0, whole.as_bytes()).await;
    assert!(answer.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&answer));
    assert_eq!((bench.runs("slow"), bench.runs("half")), (0, 1));
    let mut idle = bench.open(0, 0).await;
    idle.write_all(b"GET /heal").await.unwrap();
    tokio::time::sleep(Duration::from_secs(11)).await;
    // A head that does not come in time ends its connection.
    let mut rest = Vec::new();
    let _ = idle.read_to_end(&mut rest).await;
    assert_serves(&bench).await;
}

#[tokio::test(start_paused = true)]
async fn garbage_and_oversized_frames_close_only_their_connection() {
    let bench = Bench::start(2).await;
    for port in [1, 2] {
        for bytes in
            [&b"\xff\xff\xff\xff then"[..], b"\x00\x00\x00\x05hello", b"\x00\x00\x00\x00", b"GET / HTTP/1.1\r\n\r\n"]
        {
            let answer = bench.raw(0, port, bytes).await;
            assert!(answer.is_empty(), "port {port}: {answer:?}");
        }
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert!(bench.is_open(0) && bench.is_open(1));
    assert_serves(&bench).await;
}

#[tokio::test(start_paused = true)]
async fn health_and_readiness_tell_what_they_promise() {
    let bench = Bench::start(1).await;
    for (path, status) in [("/healthz", 200), ("/readyz", 200), ("/metrics", 200)] {
        let request = havengrade_router::http::get(&format!("http://{}{path}", bench.callers_port(0)));
        let got = bench.caller("gate").send(bench.callers_port(0), request).await.unwrap();
        assert_eq!(got.status, status, "{path}");
    }
    bench.fleet.routers["vm-1"].context().shared.start_drain();
    let request = havengrade_router::http::get(&format!("http://{}/readyz", bench.callers_port(0)));
    let got = bench.caller("gate").send(bench.callers_port(0), request).await.unwrap();
    assert_eq!(got.status, 503);
}
