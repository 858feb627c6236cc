//! Requests to engines and their whole answers, in the published chat-completions form.

use fescuelock_core::ids::RequestId;
use fescuelock_core::rules::StreamIds;
use fescuelock_core::units::Usage;
use fescuelock_http::body::Body;
use http::{Method, Request, header};
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::{Error, Result};

/// Path of chat completions at an engine.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Header that carries the id of the request, which the engine repeats in the answer's id.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// `EngineRequest` is a chat request as an engine receives it.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Name of the version, as `model/version`.
    pub version: String,
    /// The messages of the conversation.
    pub messages: Vec<Value>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Largest number of answer tokens, if the caller gave one.
    pub max_tokens: Option<u64>,
    /// All other fields of the caller's request.
    pub rest: Map<String, Value>,
}

/// `Continuation` is what of an answer has already reached the caller.
#[derive(Debug, Clone, Default)]
pub struct Continuation {
    /// The text so far.
    pub text: String,
    /// The number of tokens so far.
    pub tokens: u64,
}

impl EngineRequest {
    /// Writes the request, or the request for the rest of an answer that was cut.
    pub fn to_http(&self, continuation: Option<&Continuation>) -> http::Result<Request<Body>> {
        let mut fields = self.rest.clone();
        let mut messages = self.messages.clone();
        let mut max_tokens = self.max_tokens;
        if let Some(done) = continuation {
            messages.push(json!({ "role": "assistant", "content": done.text }));
            fields.insert("continue_final_message".to_owned(), Value::Bool(true));
            fields.insert("add_generation_prompt".to_owned(), Value::Bool(false));
            max_tokens = max_tokens.map(|limit| limit.saturating_sub(done.tokens).max(1));
        }
        fields.insert("model".to_owned(), Value::from(self.version.clone()));
        fields.insert("messages".to_owned(), Value::from(messages));
        if let Some(limit) = max_tokens {
            fields.insert("max_tokens".to_owned(), Value::from(limit));
        }
        if self.stream {
            fields.insert("stream".to_owned(), Value::Bool(true));
            fields.insert("stream_options".to_owned(), json!({ "include_usage": true }));
        }
        Request::builder()
            .method(Method::POST)
            .uri(CHAT_PATH)
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, self.id.to_string())
            .body(Body::whole(Value::Object(fields).to_string()))
    }
}

/// `WholeAnswer` is the part of an unstreamed answer that the router reads.
#[derive(Debug, Deserialize)]
struct WholeAnswer {
    id: String,
    choices: Vec<Value>,
    usage: Usage,
}

/// Checks that a whole answer belongs to the request, and returns its usage.
///
/// # Errors
///
/// Returns [`Error::Crossed`] for the answer to another request and [`Error::Malformed`] for one
/// that is not of the published form.
pub fn check_whole(body: &[u8], id: RequestId, ids: StreamIds) -> Result<Usage> {
    let answer: WholeAnswer =
        serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))?;
    if ids == StreamIds::Echoed && !answer.id.contains(&id.to_string()) {
        return Err(Error::Crossed);
    }
    match answer.choices.is_empty() {
        true => Err(Error::Malformed("the answer has no choice".to_owned())),
        false => Ok(answer.usage),
    }
}
