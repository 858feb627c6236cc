//! The tokens of an answer and what they cost.

use bytes::Bytes;
use serde_json::{Value, json as value};
use sha2::{Digest, Sha256};

use super::Job;

pub(super) fn usage(job: &Job, tokens: u64) -> Value {
    value!({
        "prompt_tokens": job.input_tokens,
        "completion_tokens": tokens,
        "total_tokens": job.input_tokens + tokens,
    })
}

pub(super) fn token_event(job: &Job, index: u64) -> Bytes {
    let text = token_text(&job.tag, index);
    Bytes::from(format!(
        "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":\"{}\",\
         \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\
         \"finish_reason\":null}}]}}\n\n",
        job.answer_id, job.model
    ))
}

pub(super) fn token_text(tag: &str, index: u64) -> String {
    format!("{tag}-{index} ")
}

pub(super) fn tag_of(prompt: &str) -> String {
    hex::encode(&Sha256::digest(prompt.as_bytes())[..4])
}
