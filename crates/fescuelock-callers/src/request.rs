//! Chat requests in the published form.

use fescuelock_core::placement::Target;
use fescuelock_core::refusal::Refusal;
use fescuelock_core::rules::View;
use fescuelock_core::units::Usage;
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::Result;

/// Name under which callers leave the choice of the model to the router.
pub const AUTO_MODEL: &str = "auto";
/// Answer tokens that are expected if the caller gave no limit.
const OUTPUT_TOKENS_EXPECTED: u64 = 256;
/// Bytes of a prompt that make a token, about.
const BYTES_PER_TOKEN: usize = 4;

/// `ChatRequest` is a caller's request for a chat completion.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatRequest {
    /// `auto`, a model, or a version as `model/version`.
    pub model: String,
    /// The messages of the conversation.
    pub messages: Vec<Value>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Largest number of answer tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// All other fields, which are passed on.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Decodes a chat request.
///
/// # Errors
///
/// Returns [`Refusal::MalformedBody`] that tells what is wrong.
pub fn parse_chat(body: &[u8]) -> Result<ChatRequest> {
    let request: ChatRequest =
        serde_json::from_slice(body).map_err(|error| Refusal::MalformedBody(error.to_string()))?;
    match request.messages.is_empty() {
        true => Err(Refusal::MalformedBody("`messages` is empty".to_owned())),
        false => Ok(request),
    }
}

/// Finds what a request's model field asks for.
///
/// # Errors
///
/// Returns [`Refusal::UnknownModel`] for a name that the rules do not have.
pub fn target(view: &View, model: &str) -> Result<Target> {
    if model == AUTO_MODEL {
        return Ok(Target::Any);
    }
    match (view.versions.find(model), view.models.find(model)) {
        (Some(version), _) => Ok(Target::Version(version)),
        (None, Some(model)) => Ok(Target::Model(model)),
        (None, None) => Err(Refusal::UnknownModel(model.to_owned())),
    }
}

/// Estimates the tokens of a request from the size of its body.
pub fn expected_usage(request: &ChatRequest, body_bytes: usize) -> Usage {
    Usage {
        input_tokens: u64::try_from(body_bytes / BYTES_PER_TOKEN).unwrap_or(u64::MAX),
        output_tokens: request.max_tokens.unwrap_or(OUTPUT_TOKENS_EXPECTED),
    }
}
