//! Cost of a request, predicted before it runs.
//!
//! Handles generations whose length varies widely: work and memory are planned from the tokens that
//! past answers of the same route had, rather than from the caller's limit alone. The caller's
//! estimate is right at the median but often far off, so it is one input among several.

use std::collections::HashMap;

use crate::prefill_time::PrefillTimes;
use crate::prompt::Prompt;

/// Bounds of the histogram of actual over estimated output tokens. They are finer around 1, where
/// most answers with an estimate lie.
const RATIO_BOUNDS: [f64; 11] = [0.1, 0.2, 0.35, 0.5, 0.7, 0.9, 1.1, 1.5, 2.0, 3.0, 5.0];

/// Number of buckets of the histogram: one more than its bounds.
const BUCKETS: usize = RATIO_BOUNDS.len() + 1;

/// Number of samples that the prior counts for in the prediction of a route.
const PRIOR_COUNT: f64 = 8.0;

/// Assumed shares of the ratios in the buckets before the first answer: half the answers with an
/// estimate lie within 30% of it, and a tenth is more than twice as long.
const PRIOR_SHARES: [f64; BUCKETS] =
    [0.02, 0.04, 0.06, 0.08, 0.10, 0.15, 0.20, 0.15, 0.09, 0.06, 0.03, 0.02];

/// Half-life of observations, in milliseconds: some hundred answers of a route at a small node.
const HALF_LIFE_MS: f64 = 120_000.0;

/// Largest number of routes with observations. Beyond it, the one that was not observed for longest
/// is dropped.
const ROUTES_MAX: usize = 256;

/// Weight of an answer in the moving average of the time of plain calls.
const SERVICE_WEIGHT: f64 = 0.1;

/// Assumed time of a plain call before the first answer, in milliseconds. It is that of the known
/// plain services.
const SERVICE_DEFAULT_MS: f64 = 30.0;

/// `RequestCost` is the predicted cost of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequestCost {
    /// Engine time for the prompt tokens that are not cached, in milliseconds; 0 for plain calls.
    pub prefill_ms: f64,
    /// Estimate of the generated tokens by the prompt alone, see [`Prompt::output_tokens`].
    pub estimated_tokens: f64,
    /// Mean number of generated tokens.
    pub output_tokens: f64,
    /// Number of generated tokens that nine of ten answers don't exceed.
    pub output_tokens_p90: f64,
    /// Time of a plain call at an upstream, in milliseconds; 0 for generations.
    pub service_ms: f64,
    /// Memory at the engine for the whole prompt and the output, in tokens, that nine of ten requests
    /// don't exceed.
    pub memory_tokens: u64,
}

/// `ActualCost` is what a request took.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ActualCost {
    /// Generated tokens, or events of the stream if the tokens are unknown; `None` for plain calls
    /// and for streams that were not relayed from their first to their last event.
    pub output_tokens: Option<u32>,
    /// Time of a plain call at its upstream, in milliseconds.
    pub service_ms: Option<f64>,
}

/// `RequestCosts` holds what is known of the requests of each route.
#[derive(Debug, Default)]
pub struct RequestCosts {
    /// Prefill time per token of each model.
    pub prefill_times: PrefillTimes,
    routes: HashMap<u64, RouteCosts>,
}

/// `RouteCosts` holds the observations of one route.
#[derive(Debug, Clone, Copy)]
struct RouteCosts {
    /// Decaying number of answers by ratio of actual to estimated output tokens, with the prior.
    counts: [f64; BUCKETS],
    service_ms: f64,
    updated_ms: u64,
}

impl RequestCosts {
    /// Predicts the cost of a request of a route. `uncached_tokens` is the number of prompt tokens
    /// that the engine has to process. A plain call has an empty `model`.
    pub fn predict(
        &self,
        route: u64,
        prompt: &Prompt,
        uncached_tokens: u32,
        model: &str,
    ) -> RequestCost {
        let known = self.routes.get(&route).copied().unwrap_or_default();
        if model.is_empty() {
            return RequestCost { service_ms: known.service_ms, ..RequestCost::default() };
        }
        let output_max = f64::from(prompt.output_max_tokens);
        let estimate = prompt.output_tokens();
        let (mean, p90) = known.output_ratios(output_max / estimate.max(1.0));
        let output_tokens_p90 = estimate * p90;
        RequestCost {
            prefill_ms: self.prefill_times.prefill_ms(model, uncached_tokens),
            estimated_tokens: estimate,
            output_tokens: estimate * mean,
            output_tokens_p90,
            service_ms: 0.0,
            memory_tokens: u64::from(prompt.input_tokens) + output_tokens_p90.ceil() as u64,
        }
    }

    /// Records what a request took. `predicted` is its predicted cost.
    pub fn observe(
        &mut self,
        route: u64,
        predicted: &RequestCost,
        actual: &ActualCost,
        now_ms: u64,
    ) {
        if !self.routes.contains_key(&route) && self.routes.len() >= ROUTES_MAX {
            let oldest = self.routes.iter().min_by_key(|(_, known)| known.updated_ms);
            if let Some(oldest) = oldest.map(|(route, _)| *route) {
                self.routes.remove(&oldest);
            }
        }
        let known = self.routes.entry(route).or_default();
        known.decay(now_ms);
        if let Some(service_ms) = actual.service_ms {
            known.service_ms += SERVICE_WEIGHT * (service_ms - known.service_ms);
        }
        if let (Some(tokens), true) = (actual.output_tokens, predicted.estimated_tokens > 0.0) {
            let ratio = f64::from(tokens) / predicted.estimated_tokens;
            let bucket = RATIO_BOUNDS.iter().take_while(|bound| ratio > **bound).count();
            known.counts[bucket] += 1.0;
        }
    }
}

impl Default for RouteCosts {
    fn default() -> Self {
        RouteCosts {
            counts: PRIOR_SHARES.map(|share| share * PRIOR_COUNT),
            service_ms: SERVICE_DEFAULT_MS,
            updated_ms: 0,
        }
    }
}

impl RouteCosts {
    /// Decays the observations, but not the prior.
    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let kept_share = (-elapsed_ms / HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        for (count, share) in self.counts.iter_mut().zip(PRIOR_SHARES) {
            let prior = share * PRIOR_COUNT;
            *count = prior + (*count - prior) * kept_share;
        }
        self.updated_ms = now_ms;
    }

    /// Returns the mean and the 0.9 quantile of the ratio of actual to estimated output tokens, of
    /// which none is above `ratio_max`.
    fn output_ratios(&self, ratio_max: f64) -> (f64, f64) {
        let total: f64 = self.counts.iter().sum();
        let (mut sum, mut below, mut p90) = (0.0, 0.0, None);
        for (bucket, count) in self.counts.iter().enumerate() {
            let lower = bucket.checked_sub(1).map_or(0.0, |index| RATIO_BOUNDS[index]);
            let upper = RATIO_BOUNDS.get(bucket).copied().unwrap_or(2.0 * lower);
            sum += count * ((lower + upper) / 2.0).min(ratio_max);
            if p90.is_none() && below + count >= 0.9 * total {
                let part = (0.9 * total - below) / count;
                p90 = Some((lower + part * (upper - lower)).min(ratio_max));
            }
            below += count;
        }
        (sum / total, p90.unwrap_or(ratio_max))
    }
}
