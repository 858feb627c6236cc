//! Decides whether the answer of a small model is kept or escalated to a larger model.
//!
//! Handles a load burst of all kinds of requests. At low load, a doubtful answer justifies a run of
//! the largest model. As prefill queues grow, the same engine time is worth more to the queued
//! requests, so the value per engine millisecond that an escalation must reach rises until only the
//! smallest models run.

/// `EscalationCandidate` is an answer that may be escalated to a larger model.
#[derive(Debug, Clone, Copy)]
pub struct EscalationCandidate {
    /// Confidence of the small model in its answer, from 0 to 1.
    pub confidence: f64,
    /// Value of a good answer.
    pub value: f64,
    /// Cost of the run of the larger model, in the unit of the value.
    pub cost: f64,
    /// Engine time of the run of the larger model, in milliseconds.
    pub engine_ms: f64,
    /// Time until the first event of the larger model, in milliseconds from now.
    pub first_event_ms: f64,
    /// Time left until the latency objective, in milliseconds.
    pub target_left_ms: f64,
}

/// `EscalationOptions` configures the escalation of answers.
#[derive(Debug, Clone)]
pub struct EscalationOptions {
    /// Share of an answer's value that is lost if the answer is poor. Defaults to 0.95, from the
    /// operators' accounting of poor answers.
    pub poor_loss: f64,
    /// Share of an answer's value that is lost if the answer is late. Defaults to 0.7, from the
    /// operators' accounting of late answers.
    pub late_loss: f64,
    /// Mean engine queue, as a share of the latency objective, at which the price of engine time
    /// equals the mean value per engine millisecond of recent candidates. Defaults to 0.7: together
    /// with the prefill of the prompt itself, such a queue makes answers late.
    pub queue_reference_share: f64,
    /// Exponent with which the price of engine time grows with the queue. Defaults to 4: queues
    /// well below the latency objective cost almost nothing, and beyond it every added request
    /// makes an answer late.
    pub queue_exponent: i32,
    /// Confidence from which an answer is always kept. Defaults to 0.95.
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

/// `EngineTimePrice` derives the price of engine time from the value of recent escalation
/// candidates and from the queues of the engines.
#[derive(Debug, Clone, Default)]
pub struct EngineTimePrice {
    /// Moving average of the value per engine millisecond of recent candidates.
    value_per_engine_ms: f64,
    candidate_count: u32,
}

/// Weight of a new candidate in the moving average of the value per engine millisecond.
///
/// The average covers about 20 candidates, a few seconds of traffic on a small router VM.
const CANDIDATE_WEIGHT: f64 = 0.05;

impl EngineTimePrice {
    /// Records a candidate, whether it was kept or escalated.
    pub fn observe(&mut self, candidate: &EscalationCandidate, options: &EscalationOptions) {
        let value_per_engine_ms =
            candidate.net_gain(options).max(0.0) / candidate.engine_ms.max(1.0);
        self.candidate_count = self.candidate_count.saturating_add(1);
        // The first candidates are averaged with equal weights, so that none of them dominates the
        // price for long.
        let weight = CANDIDATE_WEIGHT.max(1.0 / f64::from(self.candidate_count));
        self.value_per_engine_ms += weight * (value_per_engine_ms - self.value_per_engine_ms);
    }

    /// Returns the price of an engine millisecond.
    ///
    /// `queue_share` is the mean queue of the engines as a share of the latency objective.
    pub fn per_engine_ms(&self, queue_share: f64, options: &EscalationOptions) -> f64 {
        let queue_ratio = queue_share / options.queue_reference_share;
        self.value_per_engine_ms * queue_ratio.powi(options.queue_exponent)
    }
}

impl EscalationCandidate {
    /// Returns the expected gain of a run of the larger model, after its cost and before the price
    /// of engine time.
    pub fn net_gain(&self, options: &EscalationOptions) -> f64 {
        let poor_probability = (1.0 - self.confidence).clamp(0.0, 1.0);
        let late_penalty = match self.first_event_ms > self.target_left_ms {
            true => options.late_loss,
            false => 0.0,
        };
        // Escalation recovers the expected loss of a poor answer, but a late answer loses value
        // even if it is good.
        self.value * (poor_probability * options.poor_loss - late_penalty) - self.cost
    }
}

/// Returns whether an answer is escalated to a larger model.
pub fn should_escalate(
    candidate: &EscalationCandidate,
    price_per_ms: f64,
    options: &EscalationOptions,
) -> bool {
    candidate.confidence < options.sufficient_confidence
        && candidate.net_gain(options) > price_per_ms * candidate.engine_ms
}
