//! A load on loopback that compares calls through one router with direct calls, in one run.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use futures::{StreamExt as _, stream};
use havengrade_router::{
    http::{ConnectionReuse, HttpClient, post},
    net::SystemNetwork,
};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, header::HeaderValue};
use serde::Serialize;
use serde_json::json;
use snafu::ResultExt as _;

use crate::{
    caller::{Ask, Caller},
    demo::{DemoError, StartSnafu},
    fabric::{Fabric, Loopback},
    fleet::{Fleet, FleetOptions, endpoint_address, router_host},
    scenario::{CHEAP, EVENTS},
};

/// What a load is run with.
#[derive(Clone, Copy, Debug)]
pub struct LoadOptions {
    /// Requests of each kind.
    pub requests: usize,
    /// Requests in progress at once.
    pub at_once: usize,
    /// First port that is used.
    pub port_base: u16,
}

/// Times of one kind of request, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Times {
    /// Requests a second.
    pub per_second: f64,
    /// Median to the first byte of the body.
    pub first_p50: u64,
    /// 99th percentile to the first byte of the body.
    pub first_p99: u64,
    /// Median to the whole answer.
    pub whole_p50: u64,
    /// 99th percentile to the whole answer.
    pub whole_p99: u64,
}

/// One kind of request, directly and through the router.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Comparison {
    /// Called directly.
    pub direct: Times,
    /// Called through the router.
    pub routed: Times,
    /// Routed requests a second as a share of direct ones.
    pub throughput_ratio: f64,
    /// Median to the first byte, routed over direct.
    pub first_p50_ratio: f64,
    /// 99th percentile to the first byte, routed over direct.
    pub first_p99_ratio: f64,
}

/// What a load found.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LoadReport {
    /// Streamed chats of an engine.
    pub chat: Comparison,
    /// Calls of a plain service that may not be repeated, each with a claim and a bill.
    pub claimed: Comparison,
    /// Records in the log for each append, over the whole run.
    pub records_per_append: f64,
}

/// Runs the load.
///
/// # Errors
///
/// [`DemoError`] where the deployment does not start.
pub async fn run(options: &LoadOptions) -> Result<LoadReport, DemoError> {
    let fabric = Loopback { port_base: options.port_base };
    let fleet = FleetOptions {
        fabric: Arc::new(fabric),
        routers: 1,
        engines: 3,
        seed: 1,
        origin: SystemTime::now(),
        tune: |settings| settings.limits.max_requests = 100_000,
    };
    let fleet = Fleet::start(fleet).await.context(StartSnafu)?;
    let router = fabric.address(router_host(0), 0);
    // The endpoints that the router chooses from get the direct calls in turn.
    let engines = ["engine-1", "engine-2"].map(|id| endpoint_address(&fabric, id));
    let events = ["events-1", "events-2"].map(|id| endpoint_address(&fabric, id));
    let chat = compare(options, &engines, router, chat_request).await;
    let claimed = compare(options, &events, router, claimed_request).await;
    let records = fleet.log.batched_records();
    let records_per_append = records as f64 / fleet.log.calls().appends.max(1) as f64;
    Ok(LoadReport { chat, claimed, records_per_append })
}

type MakeRequest = fn(SocketAddr, usize) -> Request<Full<Bytes>>;

async fn compare(options: &LoadOptions, direct: &[SocketAddr], routed: SocketAddr, make: MakeRequest) -> Comparison {
    let routed = &[routed];
    // A first round that is not counted fills pools and caches on both ways.
    let warm_up = LoadOptions { requests: options.requests / 10, ..*options };
    measure(&warm_up, direct, make, 0).await;
    measure(&warm_up, routed, make, options.requests).await;
    let direct = measure(options, direct, make, 2 * options.requests).await;
    let routed = measure(options, routed, make, 3 * options.requests).await;
    Comparison {
        direct,
        routed,
        throughput_ratio: routed.per_second / direct.per_second,
        first_p50_ratio: routed.first_p50 as f64 / direct.first_p50 as f64,
        first_p99_ratio: routed.first_p99 as f64 / direct.first_p99 as f64,
    }
}

async fn measure(options: &LoadOptions, to: &[SocketAddr], make: MakeRequest, first: usize) -> Times {
    let client = HttpClient::new(Arc::new(SystemNetwork), Duration::from_secs(1));
    let started = Instant::now();
    let numbers = stream::iter(first..first + options.requests);
    let call = |number: usize| {
        let to = to[number % to.len()];
        call(client.clone(), to, make(to, number))
    };
    let times: Vec<Option<(Duration, Duration)>> = numbers.map(call).buffer_unordered(options.at_once).collect().await;
    let elapsed = started.elapsed();
    let [mut first, mut whole] = [(); 2].map(|()| histogram());
    let done: Vec<_> = times.into_iter().flatten().collect();
    for (to_first, to_whole) in &done {
        first.saturating_record(u64::try_from(to_first.as_micros()).unwrap_or(u64::MAX));
        whole.saturating_record(u64::try_from(to_whole.as_micros()).unwrap_or(u64::MAX));
    }
    Times {
        per_second: done.len() as f64 / elapsed.as_secs_f64(),
        first_p50: first.value_at_quantile(0.5),
        first_p99: first.value_at_quantile(0.99),
        whole_p50: whole.value_at_quantile(0.5),
        whole_p99: whole.value_at_quantile(0.99),
    }
}

/// A histogram of times of up to a minute, in microseconds.
fn histogram() -> Histogram<u64> {
    const LONGEST: u64 = 60_000_000;
    Histogram::new_with_bounds(1, LONGEST, 3).unwrap_or_else(|_| unreachable!("the bounds are allowed"))
}

/// Times of a call that succeeded.
async fn call(client: HttpClient, to: SocketAddr, request: Request<Full<Bytes>>) -> Option<(Duration, Duration)> {
    const LIMIT: Duration = Duration::from_secs(30);
    let started = Instant::now();
    let response = client.send(to, request, ConnectionReuse::Allowed, LIMIT).await.ok()?;
    let is_success = response.status().is_success();
    let mut body = response.into_body();
    body.frame().await?.ok()?;
    let to_first = started.elapsed();
    body.collect().await.ok()?;
    is_success.then(|| (to_first, started.elapsed()))
}

fn chat_request(to: SocketAddr, number: usize) -> Request<Full<Bytes>> {
    let ask = Ask { class: "lot-question".into(), prompt: format!("lot {number}"), stream: true, ..Ask::default() };
    let mut request = Caller::new(Arc::new(SystemNetwork), "harvest").request(to, &ask);
    let body = json!({ "messages": [{ "role": "user", "content": ask.prompt }], "stream": true, "model": CHEAP });
    *request.body_mut() = Full::from(body.to_string());
    if let Ok(id) = HeaderValue::from_str(&format!("direct-{number}")) {
        request.headers_mut().insert("x-stream-id", id);
    }
    request
}

fn claimed_request(to: SocketAddr, number: usize) -> Request<Full<Bytes>> {
    let ask = Ask {
        class: "check-in".into(),
        service: Some(EVENTS.into()),
        key: Some(format!("load-{number}")),
        ..Ask::default()
    };
    let mut request = Caller::new(Arc::new(SystemNetwork), "gate").request(to, &ask);
    *request.body_mut() = post("http://x/", json!({ "ticket": number }).to_string()).into_body();
    request
}
