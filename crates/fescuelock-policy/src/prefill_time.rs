//! Prefill time of prompts per model, learned from the time to the first event.
//!
//! Handles slow engines and models of different sizes: queues are estimated in milliseconds of work
//! rather than in requests, so that one long prompt weighs as much as many short ones.

use std::collections::HashMap;

/// Prefill time per token of a model without samples, in milliseconds.
///
/// Within a small factor of current accelerators. The first sample of a model replaces it.
const PREFILL_MS_PER_TOKEN_DEFAULT: f64 = 0.02;

/// Part of the time to the first event that does not depend on the prompt, in milliseconds: one
/// step of the engine and a round trip between availability zones.
const FIRST_EVENT_OVERHEAD_MS: f64 = 40.0;

/// Fewest uncached tokens of a request that is used as a sample.
const SAMPLE_MIN_TOKENS: u32 = 300;

/// Weight of a sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Largest ratio between a sample and the average; samples beyond it are clamped.
const SAMPLE_RATIO_MAX: f64 = 3.0;

/// Weight of a sample in the moving average of the times of a whole pool. The average covers the
/// requests of some tens of engines.
const POOL_SAMPLE_WEIGHT: f64 = 0.03;

/// Largest number of models and prompt lengths with a known ratio. Beyond it, further ones count with
/// the expected time.
const POOL_RATIOS_MAX: usize = 512;

/// `PrefillTimes` holds the prefill time per token of each model.
#[derive(Debug, Clone, Default)]
pub struct PrefillTimes {
    ms_per_token_by_model: HashMap<String, f64>,
    /// Moving average of the logarithm of actual over expected time to the first event, by hash of
    /// the model and binary logarithm of the number of uncached tokens.
    log_ratios: HashMap<(u64, u32), f64>,
}

impl PrefillTimes {
    /// Returns the time that engines need to prefill one token, in milliseconds.
    pub fn ms_per_token(&self, model: &str) -> f64 {
        self.ms_per_token_by_model.get(model).copied().unwrap_or(PREFILL_MS_PER_TOKEN_DEFAULT)
    }

    /// Returns the time that engines need to prefill a prompt, in milliseconds.
    pub fn prefill_ms(&self, model: &str, tokens: u32) -> f64 {
        self.ms_per_token(model) * f64::from(tokens)
    }

    /// Returns the expected time to the first event, in milliseconds, from the prefill time and the
    /// time in the engine's queue.
    pub fn first_event_ms(prefill_ms: f64, queue_ms: f64) -> f64 {
        FIRST_EVENT_OVERHEAD_MS + queue_ms + prefill_ms
    }

    /// Returns the time to the first event that engines of the pool take on average for a prompt of
    /// this length, in milliseconds, and updates it with a first event that arrived `elapsed_ms` after
    /// the request was sent. `model` is the hash of the model.
    ///
    /// Returns `None` for requests that had to wait in a known queue, which are no samples.
    pub fn observe_pool(
        &mut self,
        model: u64,
        tokens: u32,
        queue_ms: f64,
        expected_ms: f64,
        elapsed_ms: f64,
    ) -> Option<f64> {
        if queue_ms > FIRST_EVENT_OVERHEAD_MS || expected_ms <= 0.0 || elapsed_ms <= 0.0 {
            return None;
        }
        let sample = (elapsed_ms / expected_ms).ln();
        let key = (model, tokens.max(1).ilog2());
        let known = self.log_ratios.get(&key).copied();
        let log_ratio = known.unwrap_or(sample);
        if known.is_some() || self.log_ratios.len() < POOL_RATIOS_MAX {
            let limit = SAMPLE_RATIO_MAX.ln();
            let change = (sample - log_ratio).clamp(-limit, limit);
            self.log_ratios.insert(key, log_ratio + POOL_SAMPLE_WEIGHT * change);
        }
        Some(expected_ms * log_ratio.exp())
    }

    /// Updates the model's average prefill time with a first event that arrived `elapsed_ms` after
    /// the request was sent.
    ///
    /// Requests that had to wait in a known queue are not used as samples.
    pub fn observe(&mut self, model: &str, tokens: u32, queue_ms: f64, elapsed_ms: f64) {
        if tokens < SAMPLE_MIN_TOKENS || queue_ms > FIRST_EVENT_OVERHEAD_MS {
            return;
        }
        let sample_ms_per_token =
            ((elapsed_ms - FIRST_EVENT_OVERHEAD_MS).max(1.0)) / f64::from(tokens);
        match self.ms_per_token_by_model.get_mut(model) {
            Some(ms_per_token) => {
                let lower = *ms_per_token / SAMPLE_RATIO_MAX;
                let upper = *ms_per_token * SAMPLE_RATIO_MAX;
                *ms_per_token +=
                    SAMPLE_WEIGHT * (sample_ms_per_token.clamp(lower, upper) - *ms_per_token);
            }

            None => {
                self.ms_per_token_by_model.insert(model.to_owned(), sample_ms_per_token);
            }
        }
    }
}
