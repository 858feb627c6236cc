//! Whether an answer of a small model is kept or asked for again from a larger one.
//!
//! Answers a burst of all kinds of request: at low load a doubtful answer is worth a run of the
//! largest model; as prefill queues grow, the same engine time is worth more to the requests that
//! wait, so the bar rises by value per engine millisecond until only smallest models run.

/// `Candidate` describes one answer that may be asked for again.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The small model's opinion of its answer, from 0 to 1.
    pub confidence: f64,
    /// Worth of a good answer.
    pub value: f64,
    /// Price of the run of the larger model, in the same unit.
    pub cost: f64,
    /// Engine time of the run of the larger model, in milliseconds.
    pub engine_ms: f64,
    /// Time until the larger model's first event, in milliseconds, counted from now.
    pub start_ms: f64,
    /// Time that is left of the latency objective, in milliseconds.
    pub target_left_ms: f64,
}

/// `EscalationOptions` configures the decision.
#[derive(Debug, Clone)]
pub struct EscalationOptions {
    /// Share of an answer's worth that a poor answer loses. Defaults to 0.95, from the
    /// deployments' accounting of poor answers.
    pub poor_loss: f64,
    /// Share of an answer's worth that a late answer loses. Defaults to 0.7, from the deployments'
    /// accounting of late answers.
    pub late_loss: f64,
    /// Queue at engines, as a share of the latency objective, at which a run must be worth as much
    /// per engine millisecond as the average one. Defaults to 0.7: with the prompt's own reading
    /// time, that is where waits make answers late.
    pub queue_reference_share: f64,
    /// Power with which the price grows with the queue. Defaults to 4: waits well below the latency
    /// objective cost nothing, and beyond it every further one makes an answer late.
    pub queue_exponent: i32,
    /// Lowest confidence at which an answer is kept whatever it costs. Defaults to 0.95.
    pub sufficient_confidence: f64,
}

impl Default for EscalationOptions {
    fn default() -> Self {
        EscalationOptions {
            poor_loss: 0.95,
            late_loss: 0.7,
            queue_reference_share: 0.7,
            queue_exponent: 4,
            sufficient_confidence: 0.95,
        }
    }
}

/// `EngineTimePrice` prices engine time from what escalations were worth lately and how long
/// engines' queues are.
#[derive(Debug, Clone, Default)]
pub struct EngineTimePrice {
    /// Mean worth per engine millisecond of recent candidates.
    value_per_engine_ms: f64,
    candidate_count: u32,
}

/// Weight of a new candidate in the mean worth per engine millisecond.
///
/// About 20 candidates, some seconds of traffic on a small VM, make up the mean.
const CANDIDATE_WEIGHT: f64 = 0.05;

impl EngineTimePrice {
    /// Notes a candidate, kept or escalated.
    pub fn note(&mut self, candidate: &Candidate, options: &EscalationOptions) {
        let value_per_engine_ms =
            candidate.net_gain(options).max(0.0) / candidate.engine_ms.max(1.0);
        self.candidate_count = self.candidate_count.saturating_add(1);
        // The first candidates are averaged, so that one of them does not set the price for long.
        let weight = CANDIDATE_WEIGHT.max(1.0 / f64::from(self.candidate_count));
        self.value_per_engine_ms += weight * (value_per_engine_ms - self.value_per_engine_ms);
    }

    /// Returns the price of an engine millisecond.
    ///
    /// `queue_share` is the mean queue at the engines as a share of the latency objective.
    pub fn per_ms(&self, queue_share: f64, options: &EscalationOptions) -> f64 {
        let queue_ratio = queue_share / options.queue_reference_share;
        self.value_per_engine_ms * queue_ratio.powi(options.queue_exponent)
    }
}

impl Candidate {
    /// Returns what a run of the larger model is expected to add, before engine time is priced.
    pub fn net_gain(&self, options: &EscalationOptions) -> f64 {
        let poor_probability = (1.0 - self.confidence).clamp(0.0, 1.0);
        let late_penalty = match self.start_ms > self.target_left_ms {
            true => options.late_loss,
            false => 0.0,
        };
        // A kept answer earns what its quality earns; a late good one loses its lateness.
        self.value * (poor_probability * options.poor_loss - late_penalty) - self.cost
    }
}

/// Tells whether an answer is to be asked for again from a larger model.
pub fn should_escalate(
    candidate: &Candidate,
    price_per_ms: f64,
    options: &EscalationOptions,
) -> bool {
    candidate.confidence < options.sufficient_confidence
        && candidate.net_gain(options) > price_per_ms * candidate.engine_ms
}
