//! A stand-in for plain services and for the home-grown scripts.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
    time::Duration,
};

use async_trait::async_trait;
use havengrade_router::shared::lock;
use hyper::StatusCode;
use serde_json::{Value, json as value};
use tokio::time::sleep;

use super::server::{Call, Handler, Reply, json};

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceFault {
    /// It runs, but its answer is lost.
    LosesAnswer,
    /// It runs, but answers only after so long.
    Slow(Duration),
}

/// A call that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Idempotency key of the call; empty where it had none.
    pub key: String,
    /// Id of the request.
    pub request_id: String,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    answers: BTreeMap<String, Value>,
    faults: VecDeque<ServiceFault>,
    leaving: bool,
    in_progress: u32,
}

/// A plain service.
pub struct ServiceStandIn {
    name: String,
    deduplicates: bool,
    takes: Duration,
    state: Mutex<State>,
}

impl ServiceStandIn {
    /// A service whose calls take so long, and that may recognise keys.
    pub fn new(name: &str, deduplicates: bool, takes: Duration) -> Self {
        Self { name: name.to_owned(), deduplicates, takes, state: Mutex::default() }
    }

    /// Makes the next calls go wrong, one after another.
    pub fn add_fault(&self, fault: ServiceFault) {
        lock(&self.state).faults.push_back(fault);
    }

    /// Makes the service report that it leaves.
    pub fn leave(&self) {
        lock(&self.state).leaving = true;
    }

    /// All calls that ran.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// Runs a call unless its key is recognised.
    fn run(&self, key: &str, request_id: &str, path: &str) -> Value {
        let mut state = lock(&self.state);
        if self.deduplicates
            && let Some(answer) = state.answers.get(key)
        {
            return answer.clone();
        }
        state.runs.push(Run { key: key.to_owned(), request_id: request_id.to_owned() });
        let number = state.runs.len();
        let text = format!("{} ran call {number}", self.name);
        let answer = if path == "/v1/chat/completions" {
            value!({ "choices": [{ "message": { "role": "assistant", "content": text } }] })
        } else {
            value!({ "service": self.name, "receipt": number, "key": key })
        };
        if !key.is_empty() {
            state.answers.insert(key.to_owned(), answer.clone());
        }
        answer
    }
}

#[async_trait]
impl Handler for ServiceStandIn {
    async fn handle(&self, call: Call) -> Reply {
        if call.path == "/load" {
            let state = lock(&self.state);
            return json(StatusCode::OK, &value!({ "load": state.in_progress, "leaving": state.leaving }));
        }
        let fault = {
            let mut state = lock(&self.state);
            state.in_progress += 1;
            state.faults.pop_front()
        };
        sleep(self.takes).await;
        let answer = self.run(call.header("idempotency-key"), call.header("x-request-id"), &call.path);
        if let Some(ServiceFault::Slow(by)) = fault {
            sleep(by).await;
        }
        lock(&self.state).in_progress -= 1;
        if fault == Some(ServiceFault::LosesAnswer) {
            return None;
        }
        json(StatusCode::OK, &answer)
    }
}
