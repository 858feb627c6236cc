//! The prompt of a generation: its size and the parts that it shares with others.

/// `PromptPart` is a part of a prompt that an engine may hold in its prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// `Prompt` describes the work that a generation asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model that the caller named, or `None` if the router chooses it.
    pub model: Option<String>,
    /// Tokens to read.
    pub input_tokens: u32,
    /// Most tokens to generate.
    pub output_max_tokens: u32,
    /// The caller's estimate of the tokens to generate, if it gave one.
    pub output_hint_tokens: Option<u32>,
    /// Parts in their order. The last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

/// Tokens to read that weigh as much as one generated token.
///
/// The deployments' accounting counts a generated token as ten read ones.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;

/// Value of 1,000 weighted tokens, in units of a request's worth.
///
/// Only relations between requests and to the models' prices matter; operators steer it by the
/// rules file.
const VALUE_PER_KTOKEN: f64 = 0.3;

/// Share of the most tokens to generate that answers have on average, where no estimate is given.
const OUTPUT_MAX_SHARE_DEFAULT: f64 = 1.0 / 3.0;

/// Part of an estimate that is believed. The rest is taken from the average, as estimates are right
/// at the median but often far off.
const HINT_WEIGHT: f64 = 0.6;

impl Prompt {
    /// Returns the expected number of tokens to generate.
    pub fn output_tokens(&self) -> f64 {
        let output_max = f64::from(self.output_max_tokens);
        let average = output_max * OUTPUT_MAX_SHARE_DEFAULT;
        match self.output_hint_tokens {
            Some(hint) => {
                let hint = f64::from(hint).min(output_max);
                HINT_WEIGHT * hint + (1.0 - HINT_WEIGHT) * average
            }
            None => average,
        }
    }

    /// Returns an estimate of what a good answer is worth to its caller.
    pub fn value(&self) -> f64 {
        let weighted = f64::from(self.input_tokens) + OUTPUT_TOKEN_WEIGHT * self.output_tokens();
        VALUE_PER_KTOKEN * weighted / 1_000.0
    }

    /// Returns the tokens of the parts that other requests share.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts.iter().take(shared).map(|part| part.tokens).sum()
    }

    /// Returns the id of the last part that other requests share, for placement near its cache.
    pub fn subject(&self) -> Option<u64> {
        match self.parts.as_slice() {
            [] => None,
            [only] => Some(only.id),
            [.., shared, _] => Some(shared.id),
        }
    }
}
