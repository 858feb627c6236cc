//! Requests to engines and their complete (unstreamed) answers, in the chat-completions API.

use fescuelock_core::ids::RequestId;
use fescuelock_core::rules::ResponseIdSource;
use fescuelock_core::units::Usage;
use fescuelock_http::body::Body;
use http::{Method, Request, header};
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::{Error, Result};

/// Path of the chat-completions endpoint.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Header that carries the id of the request. Engines echo it in the id of the answer.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// `EngineRequest` is a chat-completions request to an engine.
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
    /// Maximum number of output tokens, if the caller set one.
    pub max_tokens: Option<u64>,
    /// All other fields of the caller's request, passed through unchanged.
    pub rest: Map<String, Value>,
}

/// `Continuation` is the part of an interrupted answer that was already forwarded to the caller.
#[derive(Debug, Clone, Default)]
pub struct Continuation {
    /// The forwarded text.
    pub text: String,
    /// The number of forwarded tokens.
    pub tokens: u64,
}

impl EngineRequest {
    /// Builds the HTTP request. With a continuation, it asks for the rest of an interrupted answer.
    pub fn to_http(&self, continuation: Option<&Continuation>) -> http::Result<Request<Body>> {
        let mut fields = self.rest.clone();
        let mut messages = self.messages.clone();
        let mut max_tokens = self.max_tokens;
        if let Some(forwarded) = continuation {
            messages.push(json!({ "role": "assistant", "content": forwarded.text }));
            fields.insert("continue_final_message".to_owned(), Value::Bool(true));
            fields.insert("add_generation_prompt".to_owned(), Value::Bool(false));
            max_tokens = max_tokens.map(|limit| limit.saturating_sub(forwarded.tokens).max(1));
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
            .body(Body::buffered(Value::Object(fields).to_string()))
    }
}

/// `ChatCompletion` holds the fields of an unstreamed answer that the router reads.
#[derive(Debug, Deserialize)]
struct ChatCompletion {
    id: String,
    choices: Vec<Value>,
    usage: Usage,
}

/// Checks that a complete answer is valid and belongs to the request, and returns its usage.
///
/// # Errors
///
/// Returns [`Error::IdMismatch`] if the answer carries another request's id, and
/// [`Error::Malformed`] if it does not follow the chat-completions API.
pub fn validate_completion(body: &[u8], id: RequestId, ids: ResponseIdSource) -> Result<Usage> {
    let answer: ChatCompletion =
        serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))?;
    if ids == ResponseIdSource::Echoed && !answer.id.contains(&id.to_string()) {
        return Err(Error::IdMismatch);
    }
    match answer.choices.is_empty() {
        true => Err(Error::Malformed("the answer has no choice".to_owned())),
        false => Ok(answer.usage),
    }
}
