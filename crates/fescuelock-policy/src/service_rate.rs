//! How fast engines read prompts, learned from the time to the first event.
//!
//! Answers slow engines and unlike models: queues are estimated in milliseconds of work rather
//! than in requests, so that one long prompt weighs as much as many short ones.

use std::collections::HashMap;

/// Reading time of a token before anything was measured, in milliseconds.
///
/// Within a factor of a few of current accelerators; the first answers correct it.
const TOKEN_DEFAULT_MS: f64 = 0.02;

/// Time to the first event that does not depend on the prompt, in milliseconds: one step and a
/// round trip between availability zones.
const FIRST_EVENT_OVERHEAD_MS: f64 = 40.0;

/// Fewest uncached tokens of a request that tells the reading rate.
const SAMPLE_MIN_TOKENS: u32 = 300;

/// Weight of a sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Largest factor by which one sample may differ from the mean and still count in full.
const SAMPLE_RATIO_MAX: f64 = 3.0;

/// `ServiceRates` holds the reading rates of models.
#[derive(Debug, Clone, Default)]
pub struct ServiceRates {
    token_ms_by_model: HashMap<String, f64>,
}

impl ServiceRates {
    /// Returns the time that engines need to read a prompt, in milliseconds.
    pub fn read_ms(&self, model: &str, tokens: u32) -> f64 {
        self.token_ms_by_model.get(model).copied().unwrap_or(TOKEN_DEFAULT_MS) * f64::from(tokens)
    }

    /// Returns the expected time to the first event, in milliseconds.
    pub fn first_event_ms(&self, model: &str, tokens: u32, queue_ms: f64) -> f64 {
        FIRST_EVENT_OVERHEAD_MS + queue_ms + self.read_ms(model, tokens)
    }

    /// Learns from a first event that came `elapsed_ms` after the request was sent.
    ///
    /// Only requests that met no known queue tell the rate.
    pub fn learn(&mut self, model: &str, tokens: u32, queue_ms: f64, elapsed_ms: f64) {
        if tokens < SAMPLE_MIN_TOKENS || queue_ms > FIRST_EVENT_OVERHEAD_MS {
            return;
        }
        let sample = ((elapsed_ms - FIRST_EVENT_OVERHEAD_MS).max(1.0)) / f64::from(tokens);
        match self.token_ms_by_model.get_mut(model) {
            Some(token_ms) => {
                let lower = *token_ms / SAMPLE_RATIO_MAX;
                let upper = *token_ms * SAMPLE_RATIO_MAX;
                *token_ms += SAMPLE_WEIGHT * (sample.clamp(lower, upper) - *token_ms);
            }

            None => {
                self.token_ms_by_model.insert(model.to_owned(), sample);
            }
        }
    }
}
