//! Chat completion requests in the OpenAI-compatible JSON format.

use fescuelock_core::placement::Target;
use fescuelock_core::refusal::Refusal;
use fescuelock_core::rules::ConfigSnapshot;
use fescuelock_core::units::Usage;
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::Result;

/// Model name that leaves the choice of the model to the router.
pub const AUTO_MODEL: &str = "auto";
/// Number of output tokens that is assumed if the request sets no `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;
/// Approximate number of bytes of a prompt per token.
const BYTES_PER_TOKEN: usize = 4;

/// `ChatRequest` is a caller's request for a chat completion.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatRequest {
    /// `auto`, a model, or a version as `model/version`.
    pub model: String,
    /// The messages of the conversation.
    pub messages: Vec<Value>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of output tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// All other fields, which are passed to the engine unchanged.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Decodes a chat request.
///
/// # Errors
///
/// Returns [`Refusal::MalformedBody`] for invalid JSON, missing fields and empty `messages`.
pub fn parse_chat(body: &[u8]) -> Result<ChatRequest> {
    let request: ChatRequest =
        serde_json::from_slice(body).map_err(|error| Refusal::MalformedBody(error.to_string()))?;
    match request.messages.is_empty() {
        true => Err(Refusal::MalformedBody("`messages` is empty".to_owned())),
        false => Ok(request),
    }
}

/// Resolves the `model` field of a request to a placement target.
///
/// # Errors
///
/// Returns [`Refusal::UnknownModel`] for a name that is not in the rules.
pub fn resolve_target(snapshot: &ConfigSnapshot, model: &str) -> Result<Target> {
    if model == AUTO_MODEL {
        return Ok(Target::Any);
    }
    match (snapshot.versions.find(model), snapshot.models.find(model)) {
        (Some(version), _) => Ok(Target::Version(version)),
        (None, Some(model)) => Ok(Target::Model(model)),
        (None, None) => Err(Refusal::UnknownModel(model.to_owned())),
    }
}

/// Estimates the token usage of a request from the size of its body and `max_tokens`.
pub fn estimate_usage(request: &ChatRequest, body_bytes: usize) -> Usage {
    Usage {
        input_tokens: u64::try_from(body_bytes / BYTES_PER_TOKEN).unwrap_or(u64::MAX),
        output_tokens: request.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
    }
}
