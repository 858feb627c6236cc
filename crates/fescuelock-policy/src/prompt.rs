//! Prompt of a generation: its size and the segments that it shares with other prompts.

/// `PromptSegment` is a segment of a prompt that an engine may hold in its prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Id of the segment.
    pub id: u64,
    /// Length of the segment in tokens.
    pub tokens: u32,
}

/// `Prompt` describes the work of a generation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model that the caller requested, or `None` if the router selects it.
    pub model: Option<String>,
    /// Number of input tokens.
    pub input_tokens: u32,
    /// Most tokens to generate.
    pub output_max_tokens: u32,
    /// Caller's estimate of the tokens to generate, if given.
    pub output_hint_tokens: Option<u32>,
    /// Segments in the order of the prompt. The last one is specific to the request or its session.
    pub segments: Vec<PromptSegment>,
}

/// Value of a generated token relative to an input token, as in the operators' accounting of value.
/// Prices of models use another ratio, see `ModelCost::cost_per_ktoken`.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;

/// Value of 1,000 weighted tokens, in units of request value, see [`Prompt::value`].
///
/// The unit is arbitrary: values are compared only with each other and with the prices of models.
/// The rules file scales values by priority.
const VALUE_PER_KTOKEN: f64 = 0.3;

/// Mean share of the token limit that answers use, for prompts without an estimate.
const OUTPUT_MAX_SHARE_DEFAULT: f64 = 1.0 / 3.0;

/// Weight of the caller's estimate against the mean. Estimates are right at the median but often
/// far off.
const HINT_WEIGHT: f64 = 0.6;

impl Prompt {
    /// Returns the expected number of generated tokens.
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

    /// Returns the estimated value of a good answer to the caller, the request value. It is
    /// proportional to the weighted number of tokens, and prices of models use the same unit.
    pub fn value(&self) -> f64 {
        let weighted = f64::from(self.input_tokens) + OUTPUT_TOKEN_WEIGHT * self.output_tokens();
        VALUE_PER_KTOKEN * weighted / 1_000.0
    }

    /// Returns the segments that other prompts may share: all but the last one.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the ids of the shared segments as text for the log, or `-` if there are none.
    pub fn shared_segments_text(&self) -> String {
        let ids: Vec<String> =
            self.shared_segments().iter().map(|segment| format!("{:x}", segment.id)).collect();
        if ids.is_empty() { "-".to_owned() } else { ids.join(" ") }
    }

    /// Returns the number of tokens in segments that other prompts may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_segments().iter().map(|segment| segment.tokens).sum()
    }

    /// Returns the id of the last segment that other prompts may share, for placement by cache
    /// affinity.
    pub fn affinity_id(&self) -> Option<u64> {
        match self.segments.as_slice() {
            [] => None,
            [only] => Some(only.id),
            [.., shared, _] => Some(shared.id),
        }
    }
}
