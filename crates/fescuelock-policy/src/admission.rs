//! What becomes of a request that cannot start now.
//!
//! Answers load beyond the room at the upstreams: a request waits only if it is likely to start
//! while an answer is still worth having; otherwise it is refused at once, with a time to return
//! that is spread over the time in which room is expected.

/// `Situation` is what is known when a request finds no upstream with room.
#[derive(Debug, Clone, Copy)]
pub struct Situation {
    /// Time until an upstream is expected to have room, in milliseconds, if any is.
    pub room_in_ms: Option<f64>,
    /// Time that the request has waited, in milliseconds.
    pub waited_ms: f64,
    /// Latency objective, in milliseconds.
    pub target_ms: f64,
    /// Time that is left to the caller, in milliseconds.
    pub left_ms: f64,
    /// Requests of the same or a higher rank that wait already.
    pub ahead: usize,
}

/// `Admission` is the decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// The request waits for at most the given time, in milliseconds.
    Wait(f64),
    /// The request is refused; the caller may return after the given time, in milliseconds.
    Refuse(f64),
}

/// `AdmissionOptions` configures the decision.
#[derive(Debug, Clone)]
pub struct AdmissionOptions {
    /// Share of the latency objective that a request may wait without a place. Defaults to 0.125:
    /// a caller that is refused that soon has time to return.
    pub wait_max_target_share: f64,
    /// Requests that may wait on one node. Defaults to 64.
    pub queue_length_max: usize,
    /// Shortest time after which a refused caller returns, in milliseconds. Defaults to 50.
    pub retry_after_min_ms: f64,
    /// Time over which returns are spread when it is not known when there will be room, in
    /// milliseconds. Defaults to 1,000.
    pub retry_jitter_ms: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        AdmissionOptions {
            wait_max_target_share: 0.125,
            queue_length_max: 64,
            retry_after_min_ms: 50.0,
            retry_jitter_ms: 1_000.0,
        }
    }
}

/// Largest share of the time left that a caller waits before it returns.
const RETRY_AFTER_SHARE_MAX: f64 = 1.0 / 3.0;

/// Decides whether a request waits or is refused. `draw` is a random number from 0 up to 1.
pub fn decide(situation: &Situation, options: &AdmissionOptions, draw: f64) -> Admission {
    let wait_max_ms = options.wait_max_target_share * situation.target_ms - situation.waited_ms;
    let starts_in_time = match situation.room_in_ms {
        Some(room_in_ms) => room_in_ms <= wait_max_ms,
        None => false,
    };
    if starts_in_time && situation.ahead < options.queue_length_max && wait_max_ms > 0.0 {
        return Admission::Wait(wait_max_ms);
    }
    Admission::Refuse(return_after_ms(situation, options, draw))
}

/// Returns the time after which a refused caller may return, in milliseconds.
pub fn return_after_ms(situation: &Situation, options: &AdmissionOptions, draw: f64) -> f64 {
    let earliest_ms = situation.room_in_ms.unwrap_or(0.0).max(options.retry_after_min_ms);
    let jitter_ms = options.retry_jitter_ms.min(situation.target_ms);
    let latest_ms = (situation.left_ms * RETRY_AFTER_SHARE_MAX).max(0.0);
    (earliest_ms + draw * jitter_ms).min(latest_ms)
}
