//! Endpoints that run a request and answer with a status by which callers are guaranteed that it did not run.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use havengrade_core::published::route::{AnswerShape, Publication, Repeat};
use havengrade_dev::stand_in::{
    memory_store::MemoryStore,
    published::{Replies, Reply, signed},
};
use havengrade_router::published::{ports::OperatorEvent, router::PublishedRouter};
use tokio::time::sleep;

use support::published::{Bench, FIRST_ENDPOINT, ROUTER, get, publication, route, start_vm, status};

const ENDPOINTS: u16 = 3;
/// Route of whole answers whose requests run once at most.
const ONCE: &str = "/once/";
/// Route of streams that can't be resumed.
const TAIL: &str = "/tail/";
/// Route of requests that may run more than once.
const READ: &str = "/read/";
/// Statuses that guarantee that the request did not run.
const GUARANTEES: [&str; 3] = ["408 Late", "429 Many", "503 Full"];
/// Headers of an endpoint's failure, beside its status and the id of the request.
const HEADERS: [&str; 4] =
    ["", "retry-after: 1\r\n", "havengrade-signature: s\r\n", "havengrade-signature: s\r\nretry-after: 1\r\n"];

/// The usual configuration with a further route of streams that can't be resumed.
fn publication_with_tail() -> Publication {
    let mut publication = publication(2, &["k1"]);
    publication.routes.push(route("tail", TAIL, Repeat::Never, AnswerShape::Events { is_resumable: false }));
    publication
}

/// A failure of an endpoint that ran the request.
fn failure(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\nhavengrade-request: {{id}}\r\n{headers}content-length: 3\r\n\r\nbad")
}

/// Two VMs before endpoints that share their replies.
struct TwoVms {
    bench: Bench,
    replies: Replies,
    _other: PublishedRouter,
}

impl TwoVms {
    /// Starts both; where requests are relayed, the first one reaches no endpoint and knows it.
    async fn start(is_relayed: bool) -> Self {
        let replies = Replies::default();
        let bench = Bench::begin(vec![replies.clone(); usize::from(ENDPOINTS)], MemoryStore::default()).await;
        bench.store.operate(OperatorEvent::Publication(publication_with_tail()));
        let other = start_vm(&bench, 2, bench.network(2)).await;
        sleep(Duration::from_secs(3)).await;
        if is_relayed {
            for endpoint in FIRST_ENDPOINT..FIRST_ENDPOINT + ENDPOINTS {
                bench.pipes.cut(ROUTER, endpoint);
                bench.pipes.cut(endpoint, ROUTER);
            }
            assert_eq!(status(&bench.ask(&get(READ, "first")).await), "200");
        }
        Self { bench, replies, _other: other }
    }

    /// Sends a request of which each attempt gets this reply; returns the answer and the number of attempts.
    async fn ask(&self, path: &str, id: &str, reply: &str) -> (String, usize) {
        *self.replies.lock().unwrap() = vec![Reply::Write(reply.to_owned()); 3].into();
        let answer = self.bench.ask(&get(path, id)).await;
        self.replies.lock().unwrap().clear();
        let attempts = self.bench.arrivals().iter().filter(|arrived| *arrived == id).count();
        // Endpoints that fail are left out for a time.
        sleep(Duration::from_secs(3)).await;
        (answer, attempts)
    }
}

/// Guards against callers who send a request again that must not run twice, because the failure of the endpoint that ran
/// it told them that it had not run.
#[tokio::test(start_paused = true)]
async fn a_failure_after_a_run_does_not_guarantee_that_the_request_did_not_run() {
    for is_relayed in [false, true] {
        let vms = TwoVms::start(is_relayed).await;
        for path in [ONCE, TAIL] {
            for (number, code) in GUARANTEES.into_iter().enumerate() {
                for (more, headers) in HEADERS.into_iter().enumerate() {
                    let case = format!("{path} {code} {headers:?}, relayed: {is_relayed}");
                    let (answer, attempts) =
                        vms.ask(path, &format!("{path}{number}-{more}"), &failure(code, headers)).await;
                    assert_eq!(attempts, 1, "{case}");
                    assert_eq!(status(&answer), "502", "{case}: {answer}");
                    // An answer of the router's own carries neither the endpoint's signature nor a time to come back.
                    assert!(!answer.contains("signature") && !answer.contains("retry-after"), "{case}: {answer}");
                }
            }
        }
    }
}

/// Guards against failures of endpoints that are replaced although they guarantee nothing false.
#[tokio::test(start_paused = true)]
async fn other_failures_of_endpoints_are_returned_unchanged() {
    let vms = TwoVms::start(false).await;
    let signature = "havengrade-signature: s\r\n";
    let others = ["400 Bad", "404 Gone", "409 Conflict", "500 Failed", "502 Bad", "504 Late"];
    let cases = others.into_iter().flat_map(|code| [(ONCE, code), (TAIL, code), (READ, code)]);
    let repeatable = GUARANTEES.into_iter().map(|code| (READ, code));
    for (number, (path, code)) in cases.chain(repeatable).enumerate() {
        let (answer, _) = vms.ask(path, &format!("r{number}"), &failure(code, signature)).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {}", &code[..3])), "{path} {code}: {answer}");
        assert!(answer.contains(signature) && answer.ends_with("\r\n\r\nbad"), "{path} {code}: {answer}");
    }
}

/// Guards against an endpoint's rejection that counts as a run: the request is served by another endpoint.
#[tokio::test(start_paused = true)]
async fn a_rejected_request_is_still_sent_to_another_endpoint() {
    let vms = TwoVms::start(false).await;
    let marked = GUARANTEES.map(|code| (code, "havengrade-not-run: 1\r\n"));
    // 421 needs no header: whoever answers it is not the endpoint that the request was meant for.
    for (number, (code, headers)) in marked.into_iter().chain([("421 Misdirected", "")]).enumerate() {
        let rejection = failure(code, headers);
        *vms.replies.lock().unwrap() = vec![Reply::Write(rejection), signed("done")].into();
        let answer = vms.bench.ask(&get(ONCE, &format!("r{number}"))).await;
        assert!(status(&answer) == "200" && answer.ends_with("done"), "{code}: {answer}");
    }
}
