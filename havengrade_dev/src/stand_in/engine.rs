//! A stand-in for a model engine: continuous batching in simple form, streams that resume and cancel.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use futures::stream;
use havengrade_core::{ids::VersionId, secret::uniform_hash};
use havengrade_router::shared::lock;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Method, Response, StatusCode, body::Frame};
use serde_json::{Value, json as value};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use super::server::{Call, Handler, Reply, bytes, json};

/// Time that a token takes while the engine is empty.
const TOKEN_TIME: Duration = Duration::from_millis(2);
/// Time that a word of the prompt takes.
const PROMPT_WORD_TIME: Duration = Duration::from_micros(200);
/// Age of the load that is reported.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// What goes wrong with one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// The connection breaks after so many pieces; the stream goes on and can be resumed.
    BreaksAfter(usize),
    /// The connection and the stream itself end after so many pieces.
    DiesAfter(usize),
    /// The engine refuses for load.
    Refuses,
    /// The engine runs the request and answers with an error.
    Fails,
    /// The connection breaks before the first piece; the stream goes on, and the engine is too busy to resume it.
    BreaksAndRefuses,
}

/// A stream that was started.
#[derive(Clone, Debug)]
pub struct StartedStream {
    /// Id of the stream.
    pub stream: String,
    /// Version that it runs on.
    pub version: VersionId,
    /// When it was started.
    pub at: Instant,
}

/// The words of an answer, the same for the same version and prompt.
pub fn answer_tokens(version: &str, prompt: &str) -> Vec<String> {
    const SHORTEST: u64 = 8;
    const SPREAD: u64 = 24;
    let count = SHORTEST + uniform_hash(&[version, prompt]) % SPREAD;
    (0..count).map(|index| format!("{version}-{:04x} ", uniform_hash(&[prompt, &index.to_string()]) % 0xffff)).collect()
}

/// A whole answer, the same for the same version and prompt.
pub fn expected_answer(version: &str, prompt: &str) -> String {
    answer_tokens(version, prompt).concat()
}

/// A stream, as far as it has been generated.
struct Generation {
    tokens: Vec<String>,
    prompt_words: u64,
    made: watch::Sender<usize>,
    is_cancelled: watch::Sender<bool>,
}

#[derive(Default)]
struct State {
    streams: BTreeMap<String, Arc<Generation>>,
    waiting: BTreeSet<(u8, u64)>,
    running: u32,
    next_ticket: u64,
    loads: VecDeque<(Instant, u32)>,
    faults: VecDeque<EngineFault>,
    /// Streams that can't be resumed for load.
    refused_streams: BTreeSet<String>,
    started: Vec<StartedStream>,
    leaving: bool,
    /// Time for which the engine asks for rest, where it turns all streams away.
    rest: Option<Duration>,
    turned_away: Vec<Instant>,
}

/// A model engine.
pub struct EngineStandIn {
    versions: Vec<VersionId>,
    slots: u32,
    state: Mutex<State>,
    freed: watch::Sender<u64>,
}

impl EngineStandIn {
    /// An engine that has these versions loaded and runs so many streams at once.
    pub fn new(versions: Vec<VersionId>, slots: u32) -> Self {
        Self { versions, slots, state: Mutex::default(), freed: watch::Sender::new(0) }
    }

    /// Makes the next streams go wrong, one after another.
    pub fn add_fault(&self, fault: EngineFault) {
        lock(&self.state).faults.push_back(fault);
    }

    /// Makes the engine report that it leaves.
    pub fn leave(&self) {
        lock(&self.state).leaving = true;
    }

    /// Makes the engine turn all streams away and ask for so much rest each time.
    pub fn ask_for_rest(&self, rest: Duration) {
        lock(&self.state).rest = Some(rest);
    }

    /// When streams were turned away by an engine that asks for rest.
    pub fn turned_away(&self) -> Vec<Instant> {
        lock(&self.state).turned_away.clone()
    }

    /// All streams that were started.
    pub fn started(&self) -> Vec<StartedStream> {
        lock(&self.state).started.clone()
    }

    /// Streams that run or wait.
    pub fn load(&self) -> u32 {
        let state = lock(&self.state);
        state.running + u32::try_from(state.waiting.len()).unwrap_or(u32::MAX)
    }

    /// The load some time ago, as the report shows it.
    fn lagging_load(&self) -> u32 {
        let load = self.load();
        let mut state = lock(&self.state);
        let now = Instant::now();
        state.loads.push_back((now, load));
        while state.loads.len() > 1 && state.loads[1].0 + REPORT_LAG <= now {
            state.loads.pop_front();
        }
        state.loads.front().map_or(load, |(_, load)| *load)
    }

    /// Waits for a slot; a lower priority goes first, then who came first.
    async fn enter(&self, priority: u8) {
        let ticket = {
            let mut state = lock(&self.state);
            state.next_ticket += 1;
            let ticket = (priority, state.next_ticket);
            state.waiting.insert(ticket);
            ticket
        };
        let mut freed = self.freed.subscribe();
        loop {
            {
                let mut state = lock(&self.state);
                if state.running < self.slots && state.waiting.first() == Some(&ticket) {
                    state.waiting.remove(&ticket);
                    state.running += 1;
                    break;
                }
            }
            let _ = freed.changed().await;
        }
        self.notify();
    }

    fn leave_slot(&self) {
        lock(&self.state).running -= 1;
        self.notify();
    }

    fn notify(&self) {
        self.freed.send_modify(|count| *count += 1);
    }

    async fn generate(self: Arc<Self>, generation: Arc<Generation>, priority: u8) {
        self.enter(priority).await;
        sleep(PROMPT_WORD_TIME * u32::try_from(generation.prompt_words).unwrap_or(u32::MAX)).await;
        for made in 1..=generation.tokens.len() {
            if *generation.is_cancelled.borrow() {
                break;
            }
            // A fuller batch makes each of its streams slower.
            let running = lock(&self.state).running;
            sleep(TOKEN_TIME + TOKEN_TIME * running / self.slots.max(1)).await;
            generation.made.send_replace(made);
        }
        self.leave_slot();
    }

    fn start(self: &Arc<Self>, call: &Call) -> Reply {
        let Ok(body) = serde_json::from_slice::<Value>(&call.body) else {
            return bytes(StatusCode::BAD_REQUEST, "text/plain", "not JSON".into());
        };
        let version = body["model"].as_str().unwrap_or_default().to_owned();
        if !self.versions.contains(&version) {
            return bytes(StatusCode::BAD_REQUEST, "text/plain", "version not loaded".into());
        }
        if let Some(reply) = self.reject() {
            return reply;
        }
        let fault = lock(&self.state).faults.pop_front();
        if fault == Some(EngineFault::Refuses) {
            return bytes(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "busy".into());
        }
        let (prompt, beginning) = conversation(&body);
        let mut tokens = answer_tokens(&version, &prompt);
        let mut done = String::new();
        while !tokens.is_empty() && beginning.len() > done.len() {
            done.push_str(&tokens.remove(0));
        }
        let generation = Arc::new(Generation {
            tokens,
            prompt_words: prompt.split_whitespace().count() as u64,
            made: watch::Sender::new(0),
            is_cancelled: watch::Sender::new(false),
        });
        let id = call.header("x-stream-id").to_owned();
        let priority = call.header("x-priority").parse().unwrap_or(u8::MAX);
        {
            let mut state = lock(&self.state);
            state.started.push(StartedStream { stream: id.clone(), version, at: Instant::now() });
            state.streams.insert(id.clone(), generation.clone());
        }
        tokio::spawn(self.clone().generate(generation.clone(), priority));
        match fault {
            Some(EngineFault::DiesAfter(_)) => drop(lock(&self.state).streams.remove(&id)),
            Some(EngineFault::BreaksAndRefuses) => drop(lock(&self.state).refused_streams.insert(id)),
            Some(EngineFault::Fails) => {
                return bytes(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed".into());
            },
            Some(EngineFault::BreaksAfter(_) | EngineFault::Refuses) | None => {},
        }
        attach(generation, 0, fault)
    }

    /// The answer of an engine that asks for rest.
    fn reject(&self) -> Option<Reply> {
        let rest = {
            let mut state = lock(&self.state);
            let rest = state.rest?;
            state.turned_away.push(Instant::now());
            rest
        };
        Some(bytes(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "tired".into()).map(|mut reply| {
            reply.headers_mut().insert(hyper::header::RETRY_AFTER, rest.as_secs().into());
            reply
        }))
    }

    fn resume(&self, id: &str, from: usize) -> Reply {
        let state = lock(&self.state);
        if state.refused_streams.contains(id) {
            return bytes(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "busy".into());
        }
        match state.streams.get(id) {
            Some(generation) => attach(generation.clone(), from, None),
            None => bytes(StatusCode::NOT_FOUND, "text/plain", "no such stream".into()),
        }
    }

    fn cancel(&self, id: &str) -> Reply {
        if let Some(generation) = lock(&self.state).streams.get(id) {
            generation.is_cancelled.send_replace(true);
        }
        bytes(StatusCode::OK, "text/plain", Bytes::new())
    }
}

/// The prompt, and the beginning of the answer where the engine is to go on with one.
fn conversation(body: &Value) -> (String, String) {
    let mut messages = body["messages"].as_array().cloned().unwrap_or_default();
    let goes_on = body["continue_final_message"].as_bool().unwrap_or_default();
    let text = |message: &Value| message["content"].as_str().unwrap_or_default().to_owned();
    let beginning = if goes_on { messages.pop().as_ref().map(text).unwrap_or_default() } else { String::new() };
    (messages.iter().map(text).collect::<Vec<_>>().join("\n"), beginning)
}

/// How far a reader of a stream has come.
struct Reader {
    generation: Arc<Generation>,
    next: usize,
    breaks_at: Option<usize>,
    has_ended: bool,
}

fn attach(generation: Arc<Generation>, from: usize, fault: Option<EngineFault>) -> Reply {
    let breaks_at = match fault {
        Some(EngineFault::BreaksAfter(count) | EngineFault::DiesAfter(count)) => Some(count),
        Some(EngineFault::BreaksAndRefuses) => Some(0),
        Some(EngineFault::Refuses | EngineFault::Fails) | None => None,
    };
    let reader = Reader { generation, next: from, breaks_at, has_ended: false };
    let frames = stream::unfold(reader, |mut reader| async move {
        let frame = reader.read().await?;
        Some((frame, reader))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    Some(response)
}

impl Reader {
    async fn read(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        if self.has_ended {
            return None;
        }
        if self.breaks_at.is_some_and(|at| self.next >= at) {
            self.has_ended = true;
            return Some(Err(io::Error::from(io::ErrorKind::ConnectionReset)));
        }
        if self.next >= self.generation.tokens.len() {
            self.has_ended = true;
            return Some(Ok(Frame::data(self.last())));
        }
        let mut made = self.generation.made.subscribe();
        let _ = made.wait_for(|made| *made > self.next).await;
        let chunk = value!({ "choices": [{ "index": 0, "delta": { "content": self.generation.tokens[self.next] } }] });
        let event = format!("id: {}\ndata: {chunk}\n\n", self.next);
        self.next += 1;
        Some(Ok(Frame::data(Bytes::from(event))))
    }

    fn last(&self) -> Bytes {
        let usage = value!({
            "prompt_tokens": self.generation.prompt_words,
            "completion_tokens": self.generation.tokens.len(),
        });
        Bytes::from(format!("data: {}\n\ndata: [DONE]\n\n", value!({ "choices": [], "usage": usage })))
    }
}

/// An engine as a handler of calls.
pub(crate) struct EngineHandler(pub(crate) Arc<EngineStandIn>);

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(&self, call: Call) -> Reply {
        let engine = &self.0;
        if call.path == "/load" {
            let report = value!({ "load": engine.lagging_load(), "leaving": lock(&engine.state).leaving });
            return json(StatusCode::OK, &report);
        }
        let stream = call.path.strip_prefix("/v1/streams/");
        match (&call.method, stream) {
            (&Method::POST, None) => engine.start(&call),
            (&Method::GET, Some(id)) => engine.resume(id, usize::try_from(call.number("from")).unwrap_or_default()),
            (&Method::DELETE, Some(id)) => engine.cancel(id),
            _ => bytes(StatusCode::NOT_FOUND, "text/plain", "no such path".into()),
        }
    }
}
