//! Which upstreams are left out for a while because they fail.
//!
//! Answers upstreams that fail part of their requests, fall silent or answer slowly while they
//! call themselves healthy: an upstream is judged against the others of its service, so errors that
//! all of them give do not take any of them out, and never are most of them left out at once.

/// Half-life of what is remembered of an upstream's outcomes, in milliseconds.
///
/// Long enough to see several requests of a small VM, short enough to forget within a failure's
/// usual length.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Fewest outcomes, after forgetting, by which an upstream is judged.
const OUTCOME_WEIGHT_MIN: f64 = 3.0;

/// Share of failures above that of its peers from which an upstream is left out.
const FAILURE_SHARE_EXCESS: f64 = 0.25;

/// Failures in a row without an answer after which an upstream is left out at once.
const CONSECUTIVE_UNRESPONSIVE_MAX: u32 = 2;

/// First time for which an upstream is left out, in milliseconds. It doubles with each repetition.
const EJECTION_BASE_MS: u64 = 1_500;

/// Longest time for which an upstream is left out, in milliseconds.
const EJECTION_MAX_MS: u64 = 12_000;

/// Time without an ejection after which the next is again short, in milliseconds.
const EJECTION_RESET_MS: u64 = 20_000;

/// Share of a service's upstreams that may be left out at once.
const EJECTED_SHARE_MAX: f64 = 0.5;

/// `Outcome` is how a request ended at an upstream, as far as its health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered.
    Answered,
    /// The upstream answered that it failed.
    Failed,
    /// The connection failed, or no answer came in time.
    Silent,
}

/// `Health` is what a node remembers of an upstream's outcomes.
#[derive(Debug, Clone, Default)]
pub struct Health {
    answered: f64,
    failed: f64,
    updated_ms: u64,
    consecutive_unresponsive: u32,
    ejected_until_ms: u64,
    recent_ejections: u32,
    last_ejected_ms: u64,
}

impl Health {
    /// Notes an outcome with a weight: 1 for an own request, less for what other nodes saw.
    pub fn note(&mut self, outcome: Outcome, weight: f64, now_ms: u64) {
        self.decay(now_ms);
        match outcome {
            Outcome::Answered => {
                self.answered += weight;
                self.consecutive_unresponsive = 0;
            }

            Outcome::Failed => self.failed += weight,

            Outcome::Silent => {
                self.failed += weight;
                self.consecutive_unresponsive += 1;
            }
        }
    }

    /// Returns the share of failures and the weight of outcomes that it is based on.
    pub fn failure_share(&self) -> (f64, f64) {
        let total = self.answered + self.failed;
        if total <= 0.0 { (0.0, 0.0) } else { (self.failed / total, total) }
    }

    /// Tells whether the upstream is left out now.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Leaves the upstream out if it does worse than its peers. Returns whether it was ejected.
    pub fn judge(&mut self, peer_failure_share: f64, now_ms: u64) -> bool {
        self.decay(now_ms);
        if self.is_ejected(now_ms) {
            return false;
        }
        let (share, outcome_weight) = self.failure_share();
        let is_outlier = outcome_weight >= OUTCOME_WEIGHT_MIN
            && share > peer_failure_share + FAILURE_SHARE_EXCESS;
        if !is_outlier && self.consecutive_unresponsive < CONSECUTIVE_UNRESPONSIVE_MAX {
            return false;
        }
        if now_ms.saturating_sub(self.last_ejected_ms) > EJECTION_RESET_MS {
            self.recent_ejections = 0;
        }
        let ejection_ms = EJECTION_BASE_MS.saturating_mul(1 << self.recent_ejections.min(8));
        self.ejected_until_ms = now_ms + ejection_ms.min(EJECTION_MAX_MS);
        self.recent_ejections += 1;
        self.last_ejected_ms = now_ms;
        // After its return the upstream is judged by what it does then.
        self.answered = 0.0;
        self.failed = 0.0;
        self.consecutive_unresponsive = CONSECUTIVE_UNRESPONSIVE_MAX.saturating_sub(1);
        true
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = now_ms;
        let factor = (-elapsed_ms / HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        self.answered *= factor;
        self.failed *= factor;
    }
}

/// Tells whether ejections are to be ignored because they would leave too few upstreams.
pub fn is_panic(ejected: usize, total: usize) -> bool {
    ejected as f64 > EJECTED_SHARE_MAX * total as f64
}
