//! Generates answer tokens, their stream events and the usage figures.

use bytes::Bytes;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::Completion;

pub(super) fn usage(completion: &Completion, tokens: u64) -> Value {
    json!({
        "prompt_tokens": completion.input_tokens,
        "completion_tokens": tokens,
        "total_tokens": completion.input_tokens + tokens,
    })
}

pub(super) fn token_event(completion: &Completion, index: u64) -> Bytes {
    let text = token_text(&completion.prompt_hash, index);
    Bytes::from(format!(
        "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":\"{}\",\
         \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\
         \"finish_reason\":null}}]}}\n\n",
        completion.answer_id, completion.model
    ))
}

pub(super) fn token_text(prompt_hash: &str, index: u64) -> String {
    format!("{prompt_hash}-{index} ")
}

pub(super) fn hash_prompt(prompt: &str) -> String {
    hex::encode(&Sha256::digest(prompt.as_bytes())[..4])
}
