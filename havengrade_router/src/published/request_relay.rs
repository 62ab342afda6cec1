//! Relays callers' requests to another VM while this one reaches no endpoint or may send nothing to those of a service,
//! and accepts those of other VMs.
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
    task::{Context, Poll, ready},
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use havengrade_core::{
    ids::{RequestId, ServiceId, VmId},
    published::{
        attempt::RunState,
        peers::Peer,
        send_budget::{HOLDERS, holders},
    },
};
use havengrade_rpc::{
    framed,
    reports::{StateHead, StateQuestion},
};
use http_body_util::BodyExt as _;
use hyper::{
    HeaderMap, Response,
    body::{Body, Frame, SizeHint},
    header::{HeaderName, HeaderValue},
    http::request,
};
use rand::seq::{IteratorRandom as _, SliceRandom as _};
use tokio::time::{Sleep, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    net::{BoxConnection, DatagramSocket, Listener, Network},
    published::{
        active_request::ActiveRequest,
        attempt::DEADLINE_SLACK,
        connection_pool::{ConnectionError, ConnectionPool, EndpointConnection, NotConnectedSnafu},
        context::PublishedContext,
        dialect::parse_decimal,
        endpoint_body::EndpointBody,
        outcomes::InProgressGuard,
        refusal::{AnswerBody, BodyError, Refusal},
        rewrite::{encode_relayed_answer, encode_relayed_request},
        state_server::MAX_FRAME_BYTES,
        stream_buffer::CallerConnection,
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
/// Largest number of VMs that are asked for a request for which this one finds no usable endpoint.
const MAX_OTHERS_ASKED: usize = 2;
/// Time for which a VM without a usable endpoint for a request is not asked for others of that service.
const NO_ENDPOINT_AVOID_TIME: Duration = Duration::from_millis(500);
/// Time for which a VM that refuses a relayed request by its own state is not asked for others of that service.
const REFUSED_AVOID_TIME: Duration = Duration::from_millis(500);
/// Largest number of connections on which a VM accepts requests of others.
const MAX_ACCEPTED_CONNECTIONS: usize = 1000;

/// Header of an answer to a VM that relayed a request: this VM reaches no endpoint either, and the request did not run.
const UNREACHABLE: HeaderName = HeaderName::from_static("havengrade-unreachable");

/// Header of an answer to a VM that relayed a request: this VM can't send it to any endpoint either, or refuses it by its
/// own state, for so many milliseconds, and it did not run.
const NO_ROOM_MS: HeaderName = HeaderName::from_static("havengrade-no-room-ms");

/// Header of a relayed request: attempts at endpoints before it was relayed.
pub(super) const SENT_ATTEMPTS: HeaderName = HeaderName::from_static("havengrade-sent-attempts");

/// Header of a relayed request: rejections a second that the endpoints of its service tolerate, if the VM that relays it
/// has heard that they are brittle. A VM that has no requests of that service does not hear it from them.
const TOLERATED_REJECTIONS: HeaderName = HeaderName::from_static("havengrade-tolerated-rejections");

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

/// Tells the VM that gets a relayed request whether the endpoints of its service are brittle.
pub(super) fn encode_tolerated_rejections(
    cx: &PublishedContext,
    headers: &mut HeaderMap,
    service: &str,
    now: SystemTime,
) {
    headers.remove(&TOLERATED_REJECTIONS);
    let tolerated = cx.shared.send_limits().brittle.tolerated_rejections(service, now);
    if let Some(Ok(value)) = tolerated.map(|tolerated| HeaderValue::from_str(&tolerated.to_string())) {
        headers.insert(TOLERATED_REJECTIONS, value);
    }
}

/// Takes from the headers of a relayed request what the other VM has heard of the endpoints of its service, before this VM
/// sends to them.
pub(super) fn learn_tolerated_rejections(
    cx: &PublishedContext,
    head: &mut request::Parts,
    service: &str,
    now: SystemTime,
) {
    let tolerated = parse_decimal(&head.headers, &TOLERATED_REJECTIONS);
    head.headers.remove(&TOLERATED_REJECTIONS);
    if head.extensions.get::<RelayedRequest>().is_some() && tolerated.is_some() {
        cx.shared.send_limits().brittle.record_answer(service, tolerated, now);
    }
}

/// Connections to other VMs for relayed requests, and those accepted from them.
pub struct RequestRelay {
    connections: ConnectionPool,
    /// VMs that accepted no requests, with the time until which they are not asked.
    avoided: Mutex<HashMap<VmId, SystemTime>>,
    /// VMs that can't send requests of a service either, with the time until which they are not asked for it.
    without_room: Mutex<HashMap<(VmId, ServiceId), SystemTime>>,
    accepted: Arc<AtomicUsize>,
}

impl RequestRelay {
    /// Creates a relay without connections.
    pub fn new(network: Arc<dyn Network>) -> Self {
        let connections = ConnectionPool::new(Arc::new(RelayNetwork(network)), CONNECT_TIMEOUT);
        Self { connections, avoided: Mutex::default(), without_room: Mutex::default(), accepted: Arc::default() }
    }

    /// Accepts a connection on which another VM relays requests, unless there are too many; dropping the guard ends it.
    pub(super) fn accept(&self) -> Option<AcceptedConnection> {
        let guard = AcceptedConnection(self.accepted.clone());
        (guard.0.fetch_add(1, Ordering::AcqRel) < MAX_ACCEPTED_CONNECTIONS).then_some(guard)
    }

    fn is_avoided(&self, vm: &str, now: SystemTime) -> bool {
        lock(&self.avoided).get(vm).is_some_and(|until| now < *until)
    }

    fn has_no_room(&self, vm: &str, service: &str, now: SystemTime) -> bool {
        let key = (vm.to_owned(), service.to_owned());
        lock(&self.without_room).get(&key).is_some_and(|until| now < *until)
    }

    /// VMs that lately could not send requests of a service.
    fn count_without_room(&self, service: &str, now: SystemTime) -> usize {
        let without_room = lock(&self.without_room);
        without_room.iter().filter(|((_, known), until)| known == service && now < **until).count()
    }

    fn record_no_room(&self, vm: &str, service: &str, until: SystemTime, now: SystemTime) {
        let mut without_room = lock(&self.without_room);
        without_room.retain(|_, until| now < *until);
        without_room.insert((vm.to_owned(), service.to_owned()), until);
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

/// Tells the VM that relayed a request that this one can't send it either, so that it asks another one.
pub(super) fn mark_not_accepted(answer: &mut Response<AnswerBody>, refusal: Refusal) {
    let no_room_for = match refusal {
        Refusal::EndpointsUnreachable => {
            answer.headers_mut().insert(UNREACHABLE, HeaderValue::from_static("1"));
            return;
        },
        Refusal::EndpointsAtLimit { retry_after } => retry_after,
        // The relaying VM has admitted the request: this one's configuration is an older one, or not confirmed.
        Refusal::NoRoute | Refusal::UnknownKey | Refusal::StaleConfig | Refusal::Starting | Refusal::Stopping => {
            REFUSED_AVOID_TIME
        },
        Refusal::NoEndpoint => NO_ENDPOINT_AVOID_TIME,
        _ => return,
    };
    let millis = u64::try_from(no_room_for.min(AVOID_TIME).as_millis()).unwrap_or(u64::MAX);
    answer.headers_mut().insert(NO_ROOM_MS, HeaderValue::from(millis));
}

/// Removes the headers of an endpoint's answer that only VMs may set.
pub(super) fn strip_relay_marks(headers: &mut HeaderMap) {
    headers.remove(&UNREACHABLE);
    headers.remove(&NO_ROOM_MS);
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

/// Sends a request through another VM and returns the answer with its body, which may be a stream. Asks these VMs one
/// after the other.
///
/// # Errors
///
/// [`RunState`] if no VM accepted it, or no answer came.
pub(super) async fn relay_request(
    cx: &PublishedContext,
    request: &ActiveRequest,
    targets: Vec<RelayTarget>,
    guard: &mut Option<InProgressGuard>,
) -> Result<Response<AnswerBody>, RunState> {
    let begun = cx.shared.clock.now();
    for (vm, address) in targets {
        if cx.shared.clock.now() >= begun + MAX_ASKING_TIME {
            break;
        }
        match send_through(cx, request, &vm, address).await {
            Ok((connection, response)) if response.headers().contains_key(&NO_ROOM_MS) => {
                record_no_room(cx, request, &vm, connection, response).await;
            },
            Ok((connection, response)) => {
                metrics::counter!("requests_relayed", "outcome" => "answered").increment(1);
                log::info!(
                    request = request.id.as_str(),
                    vm = vm.as_str(),
                    status = response.status().as_u16();
                    "request relayed to another VM"
                );
                return Ok(relayed_answer(cx, request, vm, connection, response, guard.take()));
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

/// Records that another VM can't send a request either, and keeps the connection to it.
async fn record_no_room(
    cx: &PublishedContext,
    request: &ActiveRequest,
    vm: &VmId,
    connection: EndpointConnection,
    response: Response<EndpointBody>,
) {
    let now = cx.shared.clock.now();
    let millis = response.headers().get(&NO_ROOM_MS).and_then(|value| value.to_str().ok()?.parse().ok());
    let no_room_for = Duration::from_millis(millis.unwrap_or_default()).min(AVOID_TIME);
    log::debug!(request = request.id.as_str(), vm = vm.as_str(); "request not relayed: the VM can't send it either");
    cx.shared.request_relay.record_no_room(vm, &request.service, now + no_room_for, now);
    if matches!(timeout(CONNECT_TIMEOUT, response.into_body().collect()).await, Ok(Ok(_))) {
        cx.shared.request_relay.connections.release(vm, connection, now);
    }
}

/// A VM that may be asked, and the address of its peer service.
pub(super) type RelayTarget = (VmId, SocketAddr);

/// The VMs to ask at the limits of endpoints: the holders of some of the service's endpoints, in random order.
pub(super) fn holder_targets(cx: &PublishedContext, request: &ActiveRequest, now: SystemTime) -> Vec<RelayTarget> {
    let usable = cx.shared.usable_endpoints.load();
    let listed = usable.get(&request.service).map(Vec::as_slice).unwrap_or_default();
    let endpoints = listed.iter().sample(&mut *cx.shared.reach.rng(), MAX_ASKED_VMS / HOLDERS);
    let me = &cx.shared.settings.vm;
    let peers = cx.shared.peers();
    let send_limits = cx.shared.send_limits();
    let mut targets: Vec<RelayTarget> = Vec::new();
    for endpoint in endpoints {
        let others = peers.all().map(|peer| (peer.vm.as_str(), peer.failure_domain.as_str()));
        let vms = others.chain([(me.id.as_str(), me.failure_domain.as_str())]);
        for vm in holders(vms, endpoint, send_limits.holder_round(endpoint, now)) {
            let is_asked = targets.iter().any(|(asked, _)| asked == vm);
            let peer = peers.all().find(|peer| peer.vm == vm && !is_asked);
            targets.extend(
                peer.filter(|peer| may_ask(cx, request, peer, now)).map(|peer| (peer.vm.clone(), peer.address)),
            );
        }
    }
    drop((peers, send_limits));
    targets.shuffle(&mut *cx.shared.reach.rng());
    targets
}

/// The VMs to ask where this one finds no usable endpoint of a service; none while others found none either, so that an
/// outage of the service does not multiply its requests.
pub(super) fn other_targets(cx: &PublishedContext, request: &ActiveRequest, now: SystemTime) -> Vec<RelayTarget> {
    let without_room = cx.shared.request_relay.count_without_room(&request.service, now);
    let mut targets = relay_targets(cx, request, now);
    targets.truncate(MAX_OTHERS_ASKED.saturating_sub(without_room));
    targets
}

fn may_ask(cx: &PublishedContext, request: &ActiveRequest, peer: &Peer, now: SystemTime) -> bool {
    let relay = &cx.shared.request_relay;
    !relay.is_avoided(&peer.vm, now) && !relay.has_no_room(&peer.vm, &request.service, now)
}

/// The VMs to ask where endpoints can't be reached, those of the own failure domain first, in random order.
pub(super) fn relay_targets(cx: &PublishedContext, request: &ActiveRequest, now: SystemTime) -> Vec<RelayTarget> {
    let domain = &cx.shared.settings.vm.failure_domain;
    let (mut near, mut far): (Vec<_>, Vec<_>) = {
        let peers = cx.shared.peers();
        let asked = peers.all().filter(|peer| may_ask(cx, request, peer, now));
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
) -> Result<(EndpointConnection, Response<EndpointBody>), ConnectionError> {
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
) -> Result<(EndpointConnection, Response<EndpointBody>), ConnectionError> {
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
    request: &ActiveRequest,
    vm: VmId,
    connection: EndpointConnection,
    response: Response<EndpointBody>,
    guard: Option<InProgressGuard>,
) -> Response<AnswerBody> {
    let (head, body) = response.into_parts();
    let left = request.time_left(cx.shared.clock.now()) + DEADLINE_SLACK;
    let caller = request.head.extensions.get::<CallerConnection>().cloned().unwrap_or_default();
    let read_limit = left + request.route.time_limit;
    let body = RelayedBody {
        cx: cx.clone(),
        request: request.id.clone(),
        vm,
        connection: Some(connection),
        body,
        time_limit: Box::pin(sleep(left)),
        _read_limit: AbortOnDropHandle::new(tokio::spawn(async move {
            sleep(read_limit).await;
            caller.close();
        })),
        _guard: guard,
    };
    Response::from_parts(encode_relayed_answer(head), body.boxed_unsync())
}

/// Body of an answer that another VM relays; dropping it before its end cancels the request there.
struct RelayedBody {
    cx: PublishedContext,
    request: RequestId,
    vm: VmId,
    connection: Option<EndpointConnection>,
    body: EndpointBody,
    /// Ends the body with an error where the other VM does not: a VM that is frozen or cut off sends no end.
    time_limit: Pin<Box<Sleep>>,
    /// Closes the connection of a caller who does not read, since the body is not polled then.
    _read_limit: AbortOnDropHandle<()>,
    _guard: Option<InProgressGuard>,
}

impl RelayedBody {
    /// Returns the connection of a complete answer to the pool.
    fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            let now = self.cx.shared.clock.now();
            self.cx.shared.request_relay.connections.release(&self.vm, connection, now);
        }
    }

    /// Closes the connection of an incomplete answer.
    fn close_connection(&mut self, reason: &BodyError) {
        self.connection = None;
        metrics::counter!("requests_relayed", "outcome" => "broken_off").increment(1);
        log::info!(
            request = self.request.as_str(),
            vm = self.vm.as_str();
            "answer of another VM broke off: {reason}"
        );
    }
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match Pin::new(&mut self.body).poll_frame(task) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                ready!(self.time_limit.as_mut().poll(task));
                Some(Err("the time limit was reached".into()))
            },
        };
        match &frame {
            Some(Ok(_)) => {},
            Some(Err(reason)) => self.close_connection(reason),
            None => self.release_connection(),
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
