//! Token counts, prices and costs.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// `Usage` is the number of tokens that an engine processed for one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(rename = "prompt_tokens")]
    pub input_tokens: u64,
    /// Tokens of the completion.
    #[serde(rename = "completion_tokens")]
    pub output_tokens: u64,
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Usage) {
        self.input_tokens += other.input_tokens;
        self.output_tokens += other.output_tokens;
    }
}

/// `Price` is the price of a version, in millionths of the deployment's currency per 1,000 tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Price {
    /// Price of 1,000 prompt tokens, in micro-units.
    pub input_micros_per_ktoken: u64,
    /// Price of 1,000 completion tokens, in micro-units.
    pub output_micros_per_ktoken: u64,
}

impl Price {
    /// Returns the cost of the given usage in micro-units, rounded up.
    pub fn cost_micros(self, usage: Usage) -> u64 {
        let input = usage.input_tokens.saturating_mul(self.input_micros_per_ktoken);
        let output = usage.output_tokens.saturating_mul(self.output_micros_per_ktoken);
        input.saturating_add(output).div_ceil(1_000)
    }
}
