//! JSON format of the chat API: requests, complete answers and streamed chunks.

use std::time::SystemTime;

use havengrade_core::cost::TokenUsage;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// A chat request; fields that the router doesn't read are forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Version that the caller requires; empty or `auto` leaves the choice to the router.
    #[serde(default)]
    pub model: Option<String>,
    /// Messages of the conversation.
    pub messages: Vec<Value>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// All other fields.
    #[serde(flatten)]
    pub other_fields: Map<String, Value>,
}

impl ChatRequest {
    /// Version that the caller requires, if any.
    pub(crate) fn version(&self) -> Option<String> {
        self.model.clone().filter(|model| !model.is_empty() && model != "auto")
    }

    /// Text of the conversation, for the rating service.
    pub(crate) fn prompt(&self) -> String {
        let text = |message: &Value| message.get("content").and_then(Value::as_str).unwrap_or_default().to_owned();
        self.messages.iter().map(text).collect::<Vec<_>>().join("\n")
    }

    /// Returns the request body for an engine, which continues the answer after `answer_prefix` if there is one.
    pub(crate) fn for_engine(&self, version: &str, answer_prefix: &str) -> Value {
        let mut messages = self.messages.clone();
        let mut body = Value::Object(self.other_fields.clone());
        if !answer_prefix.is_empty() {
            messages.push(json!({ "role": "assistant", "content": answer_prefix }));
            body["continue_final_message"] = Value::Bool(true);
        }
        body["model"] = Value::from(version);
        body["messages"] = Value::Array(messages);
        body["stream"] = Value::Bool(true);
        body["stream_options"] = json!({ "include_usage": true });
        body
    }
}

/// A chunk of an answer as an engine streams it.
#[derive(Debug, Deserialize)]
pub(crate) struct EngineChunk {
    #[serde(default)]
    choices: Vec<EngineChoice>,
    #[serde(default)]
    usage: Option<EngineUsage>,
}

#[derive(Debug, Deserialize)]
struct EngineChoice {
    #[serde(default)]
    delta: EngineDelta,
}

#[derive(Debug, Default, Deserialize)]
struct EngineDelta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct EngineUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

impl EngineChunk {
    pub(crate) fn content(&self) -> Option<&str> {
        self.choices.first()?.delta.content.as_deref().filter(|content| !content.is_empty())
    }

    pub(crate) fn usage(&self) -> Option<TokenUsage> {
        self.usage.map(|it| TokenUsage { input_tokens: it.prompt_tokens, output_tokens: it.completion_tokens })
    }
}

fn unix_seconds(at: SystemTime) -> u64 {
    at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// Returns a complete answer.
pub(crate) fn completion_json(id: &str, version: &str, content: &str, usage: &TokenUsage, at: SystemTime) -> Value {
    json!({
        "id": id,
        "object": "chat.completion",
        "created": unix_seconds(at),
        "model": version,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": "stop",
        }],
        "usage": {
            "prompt_tokens": usage.input_tokens,
            "completion_tokens": usage.output_tokens,
            "total_tokens": usage.input_tokens + usage.output_tokens,
        },
    })
}

/// Returns a chunk of a streamed answer; the last one has no content.
pub(crate) fn chunk_json(id: &str, version: &str, content: Option<&str>, at: SystemTime) -> Value {
    let (delta, finish_reason) = match content {
        Some(content) => (json!({ "content": content }), Value::Null),
        None => (json!({}), Value::from("stop")),
    };
    json!({
        "id": id,
        "object": "chat.completion.chunk",
        "created": unix_seconds(at),
        "model": version,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
    })
}

/// Returns the text of a stored answer.
pub(crate) fn completion_content(completion: &Value) -> &str {
    completion.pointer("/choices/0/message/content").and_then(Value::as_str).unwrap_or_default()
}
