//! Relays callers' requests to another VM while this one reaches no endpoint, and accepts those of other VMs.
//!
//! The other VM handles a relayed request as one of its own callers, except that it never relays it further.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use havengrade_core::{ids::VmId, published::attempt::RunState};
use havengrade_rpc::{
    framed,
    reports::{StateHead, StateQuestion},
};
use http_body_util::BodyExt as _;
use hyper::{
    Response,
    body::{Body, Frame, Incoming, SizeHint},
    header::{HeaderName, HeaderValue},
    http::request,
};
use rand::seq::SliceRandom as _;
use tokio::time::timeout;

use crate::{
    net::{BoxConnection, DatagramSocket, Listener, Network},
    published::{
        active_request::ActiveRequest,
        attempt::DEADLINE_SLACK,
        connection_pool::{ConnectionError, ConnectionPool, EndpointConnection, NotConnectedSnafu},
        context::PublishedContext,
        outcomes::InProgressGuard,
        refusal::{AnswerBody, BodyError},
        rewrite::{encode_relayed_answer, encode_relayed_request},
        state_server::MAX_FRAME_BYTES,
    },
    shared::lock,
};

/// Time limit for a connection to another VM and its answer whether it accepts requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest idle time of a connection to another VM that is used again.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Largest number of VMs that are asked for one request.
const MAX_ASKED_VMS: usize = 8;
/// Time after which no further VM is asked for a request; those that are cut off from this one don't answer.
const MAX_ASKING_TIME: Duration = Duration::from_millis(400);
/// Time for which a VM that accepts no requests is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Largest number of connections on which a VM accepts requests of others.
const MAX_ACCEPTED_CONNECTIONS: usize = 1000;

/// Header of an answer to a VM that relayed a request: this VM reaches no endpoint either, and the request did not run.
const UNREACHABLE: HeaderName = HeaderName::from_static("havengrade-unreachable");

/// Header of a relayed request: attempts at endpoints before it was relayed.
pub(super) const SENT_ATTEMPTS: HeaderName = HeaderName::from_static("havengrade-sent-attempts");

/// Marks a request that another VM relayed, in its extensions.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedRequest;

/// Takes the number of attempts before a request was relayed from its headers; 0 if it was not relayed.
pub(super) fn take_sent_attempts(head: &mut request::Parts) -> u32 {
    if head.extensions.get::<RelayedRequest>().is_none() {
        return 0;
    }
    let sent = head.headers.remove(&SENT_ATTEMPTS);
    sent.and_then(|sent| sent.to_str().ok()?.parse().ok()).unwrap_or_default()
}

/// Connections to other VMs for relayed requests, and those accepted from them.
pub struct RequestRelay {
    connections: ConnectionPool,
    /// VMs that accepted no requests, with the time until which they are not asked.
    avoided: Mutex<HashMap<VmId, SystemTime>>,
    accepted: Arc<AtomicUsize>,
}

impl RequestRelay {
    /// Creates a relay without connections.
    pub fn new(network: Arc<dyn Network>) -> Self {
        let connections = ConnectionPool::new(Arc::new(RelayNetwork(network)), CONNECT_TIMEOUT);
        Self { connections, avoided: Mutex::default(), accepted: Arc::default() }
    }

    /// Accepts a connection on which another VM relays requests, unless there are too many; dropping the guard ends it.
    pub(super) fn accept(&self) -> Option<AcceptedConnection> {
        let guard = AcceptedConnection(self.accepted.clone());
        (guard.0.fetch_add(1, Ordering::AcqRel) < MAX_ACCEPTED_CONNECTIONS).then_some(guard)
    }

    fn is_avoided(&self, vm: &str, now: SystemTime) -> bool {
        lock(&self.avoided).get(vm).is_some_and(|until| now < *until)
    }

    fn avoid(&self, vm: &VmId, now: SystemTime) {
        let mut avoided = lock(&self.avoided);
        avoided.retain(|_, until| now < *until);
        avoided.insert(vm.clone(), now + AVOID_TIME);
    }
}

/// Counts a connection on which another VM relays requests.
pub(super) struct AcceptedConnection(Arc<AtomicUsize>);

impl Drop for AcceptedConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Tells the VM that relayed a request that this one reaches no endpoint either, so that it asks another one.
pub(super) fn mark_unreachable(answer: &mut Response<AnswerBody>) {
    answer.headers_mut().insert(UNREACHABLE, HeaderValue::from_static("1"));
}

/// The question with which a VM asks whether another one accepts its callers' requests.
fn relay_question() -> StateQuestion {
    StateQuestion::new(String::new(), None, None, false, true, true)
}

/// Network whose connections lead to VMs that accept relayed requests.
struct RelayNetwork(Arc<dyn Network>);

#[async_trait]
impl Network for RelayNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxConnection> {
        let mut frames = framed(self.0.connect(to).await?, MAX_FRAME_BYTES);
        let question = havengrade_rpc::encode(&relay_question()).map_err(io::Error::other)?;
        frames.send(Bytes::from(question)).await?;
        let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        let head: StateHead = havengrade_rpc::decode(&frame).map_err(io::Error::other)?;
        if head.accepts_requests != Some(true) {
            return Err(io::Error::new(io::ErrorKind::ConnectionRefused, "the VM accepts no requests of others"));
        }
        Ok(frames.into_inner())
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        self.0.bind(at).await
    }

    async fn bind_datagrams(&self, at: SocketAddr) -> io::Result<Arc<dyn DatagramSocket>> {
        self.0.bind_datagrams(at).await
    }
}

/// Sends a request through another VM and returns the answer with its body, which may be a stream.
///
/// # Errors
///
/// [`RunState`] if no VM accepted it, or no answer came.
pub(super) async fn relay_request(
    cx: &PublishedContext,
    request: &ActiveRequest,
    guard: &mut Option<InProgressGuard>,
) -> Result<Response<AnswerBody>, RunState> {
    let begun = cx.shared.clock.now();
    for (vm, address) in relay_targets(cx, begun) {
        if cx.shared.clock.now() >= begun + MAX_ASKING_TIME {
            break;
        }
        match send_through(cx, request, &vm, address).await {
            Ok((connection, response)) => {
                metrics::counter!("requests_relayed", "outcome" => "answered").increment(1);
                log::info!(
                    request = request.id.as_str(),
                    vm = vm.as_str(),
                    status = response.status().as_u16();
                    "request relayed to another VM"
                );
                return Ok(relayed_answer(cx, vm, connection, response, guard.take()));
            },
            Err(ConnectionError::NotConnected { reason } | ConnectionError::NotSent { reason }) => {
                log::debug!(request = request.id.as_str(), vm = vm.as_str(); "request not relayed: {reason}");
                cx.shared.request_relay.avoid(&vm, cx.shared.clock.now());
            },
            Err(error) => {
                metrics::counter!("requests_relayed", "outcome" => "lost").increment(1);
                log::info!(request = request.id.as_str(), vm = vm.as_str(); "relayed request lost: {error}");
                return Err(RunState::MayHaveRun);
            },
        }
    }
    metrics::counter!("requests_relayed", "outcome" => "not_accepted").increment(1);
    Err(RunState::NotSent)
}

/// The VMs to ask, those of the own failure domain first, in random order.
fn relay_targets(cx: &PublishedContext, now: SystemTime) -> Vec<(VmId, SocketAddr)> {
    let domain = &cx.shared.settings.vm.failure_domain;
    let (mut near, mut far): (Vec<_>, Vec<_>) = {
        let peers = cx.shared.peers();
        let asked = peers.all().filter(|peer| !cx.shared.request_relay.is_avoided(&peer.vm, now));
        asked.cloned().partition(|peer| peer.failure_domain == *domain)
    };
    near.shuffle(&mut *cx.shared.reach.rng());
    far.shuffle(&mut *cx.shared.reach.rng());
    // Half of the places are left for other failure domains: the own one may be cut off as a whole.
    near.truncate(MAX_ASKED_VMS / 2);
    let targets = near.into_iter().chain(far).take(MAX_ASKED_VMS);
    targets.map(|peer| (peer.vm, peer.address)).collect()
}

async fn send_through(
    cx: &PublishedContext,
    request: &ActiveRequest,
    vm: &VmId,
    address: SocketAddr,
) -> Result<(EndpointConnection, Response<Incoming>), ConnectionError> {
    match send_over(cx, request, vm, address, MAX_IDLE).await {
        // The VM may have closed the idle connection.
        Err(ConnectionError::NotSent { .. }) => send_over(cx, request, vm, address, Duration::ZERO).await,
        answered => answered,
    }
}

/// Sends a request over a connection that was idle for less than `max_idle`, or a new one.
async fn send_over(
    cx: &PublishedContext,
    request: &ActiveRequest,
    vm: &VmId,
    address: SocketAddr,
    max_idle: Duration,
) -> Result<(EndpointConnection, Response<Incoming>), ConnectionError> {
    let pool = &cx.shared.request_relay.connections;
    let mut connection = pool.acquire(vm, address, max_idle, cx.shared.clock.now()).await?;
    let now = cx.shared.clock.now();
    let outgoing = encode_relayed_request(cx, request, now);
    let answered = timeout(request.time_left(now) + DEADLINE_SLACK, connection.send(outgoing)).await;
    let response = answered.unwrap_or(Err(ConnectionError::NoAnswer))?;
    if response.headers().contains_key(&UNREACHABLE) {
        return NotConnectedSnafu { reason: "the VM reaches no endpoint either" }.fail();
    }
    Ok((connection, response))
}

/// Builds the answer for the caller; its body returns the connection to the pool at its end.
fn relayed_answer(
    cx: &PublishedContext,
    vm: VmId,
    connection: EndpointConnection,
    response: Response<Incoming>,
    guard: Option<InProgressGuard>,
) -> Response<AnswerBody> {
    let (head, body) = response.into_parts();
    let body = RelayedBody { cx: cx.clone(), vm, connection: Some(connection), body, _guard: guard };
    Response::from_parts(encode_relayed_answer(head), body.boxed_unsync())
}

/// Body of an answer that another VM relays; dropping it before its end cancels the request there.
struct RelayedBody {
    cx: PublishedContext,
    vm: VmId,
    connection: Option<EndpointConnection>,
    body: Incoming,
    _guard: Option<InProgressGuard>,
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(task).map_err(BodyError::from);
        if matches!(polled, Poll::Ready(None))
            && let Some(connection) = self.connection.take()
        {
            let now = self.cx.shared.clock.now();
            self.cx.shared.request_relay.connections.release(&self.vm, connection, now);
        }
        polled
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
