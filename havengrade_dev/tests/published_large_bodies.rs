//! Many requests with large bodies at a VM with little memory.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use havengrade_dev::stand_in::published::{Reply, signed_late};
use havengrade_router::published::request_body::MAX_KEPT_BYTES;
use tokio::{io::AsyncWriteExt as _, time::sleep};

use support::published::{Bench, read_all, request, status};

const BODY_BYTES: usize = 1 << 20;
const REQUESTS: usize = 60;
const ANSWER_TIME: Duration = Duration::from_secs(2);

async fn ask_with_body(bench: &Bench, id: String) -> String {
    let mut connection = bench.connect(0).await;
    let text = request("POST", "/read/1", &id, "", &"b".repeat(BODY_BYTES));
    // A refusal comes before the body is read, and ends the connection.
    let _ = connection.write_all(text.as_bytes()).await;
    read_all(&mut connection).await
}

async fn ask_with_bodies(bench: &Bench, name: &str) -> Vec<String> {
    futures::future::join_all((0..REQUESTS).map(|index| ask_with_body(bench, format!("{name}-{index}")))).await
}

/// Guards against bodies whose sum is more than the memory of the VM.
///
/// Each body was bounded, their sum was not: 60 of them, kept until their answers ended, took more than twice what a VM
/// has, and the process was killed with all requests.
#[tokio::test(start_paused = true)]
async fn the_bodies_of_all_requests_together_are_bounded() {
    let replies: Vec<Reply> = vec![signed_late("done", ANSWER_TIME); 2 * REQUESTS];
    let bench = Bench::start_shared(8, replies).await;
    for name in ["first", "second"] {
        let (answers, kept) = tokio::join!(ask_with_bodies(&bench, name), async {
            sleep(ANSWER_TIME / 2).await;
            bench.arrivals().iter().filter(|id| id.starts_with(name)).count() * BODY_BYTES
        });
        assert!(kept <= MAX_KEPT_BYTES, "{kept} bytes are kept");
        let served = answers.iter().filter(|answer| status(answer) == "200").count();
        assert!(served * BODY_BYTES > MAX_KEPT_BYTES / 2, "{name}: only {served} served");
        let refused = answers.iter().filter(|answer| status(answer) == "503" && answer.contains("retry-after"));
        assert_eq!(served + refused.count(), REQUESTS, "{name}");
    }
    assert_eq!(bench.router.context().shared.request_bodies.kept_bytes(), 0);
}
