//! Pauses of one upstream towards one node.
//!
//! Handles an upstream that turns requests of a node away and states for how long it wants none.
//! The node sends it nothing until that time has passed, and then comes back step by step: with one
//! request, and with two more for each that is answered, so that what has waited does not arrive at
//! once.
//!
//! A pause ends by time alone. It belongs to one incarnation of the upstream and to one node, and is
//! not reported to other nodes.

/// Longest pause, in milliseconds. A longer one is cut to this length: the node would hardly learn
/// that it was a mistake.
pub const PAUSE_MAX_MS: u64 = 600_000;

/// Largest share of a pause by which a node lengthens it. Each node has its own share, so that nodes
/// that were turned away together do not return together.
const RETURN_SPREAD_SHARE: f64 = 0.1;

/// Largest time by which a node lengthens a pause, in milliseconds.
const RETURN_SPREAD_MAX_MS: f64 = 1_000.0;

/// Number of requests that may be sent when a pause has ended, before one of them is answered.
const RETURN_REQUESTS: u32 = 1;

/// Number of further requests that each answer allows: its own place and one more.
const REQUESTS_PER_ANSWER: u32 = 2;

/// Number of answers after which the return is complete. By then as many requests plus one are under
/// way.
const RETURN_ANSWERS: u32 = 15;

/// Interval at which a request may be sent during the return without an answer, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;

/// `PauseChange` is a change of a pause by an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseChange {
    /// A pause has begun. Holds the time until its end, in milliseconds.
    Begun(u64),
    /// The end of a pause was put off. Holds the time until its end, in milliseconds.
    Lengthened(u64),
}

/// `Pause` is the pause of one upstream towards this node, and the return after it.
#[derive(Debug, Clone, Default)]
pub struct Pause {
    /// End of the pause, in milliseconds; `None` without a pause and after a complete return.
    until_ms: Option<u64>,
    /// Whether the end of the pause has still to be reported by [`Pause::take_ended`].
    is_end_pending: bool,
    /// Number of requests that may be sent now, once the pause has ended.
    allowed_requests: u32,
    last_send_ms: u64,
    answers: u32,
}

/// Returns the length of the pause for which an upstream asks, in milliseconds.
///
/// `retry_after_ms` is what the answer states. Zero, a negative or infinite number and no number at
/// all ask for no pause.
pub fn requested_pause_ms(is_unavailable: bool, retry_after_ms: Option<f64>) -> Option<u64> {
    let stated_ms = retry_after_ms.filter(|stated_ms| stated_ms.is_finite() && *stated_ms > 0.0)?;
    is_unavailable.then_some((stated_ms.ceil() as u64).min(PAUSE_MAX_MS))
}

impl Pause {
    /// Records that an upstream asks for a pause of `pause_ms`. `spread` is the node's own number in
    /// [0, 1) by which it lengthens pauses.
    ///
    /// The later end counts. An earlier one changes nothing, since each statement holds for itself
    /// and answers on different connections may overtake each other.
    pub fn extend(&mut self, pause_ms: u64, spread: f64, now_ms: u64) -> Option<PauseChange> {
        let spread_ms = (pause_ms as f64 * RETURN_SPREAD_SHARE).min(RETURN_SPREAD_MAX_MS) * spread;
        let until_ms = now_ms + pause_ms + spread_ms as u64;
        let is_new = !self.is_paused(now_ms);
        if self.until_ms.is_some_and(|known_ms| known_ms >= until_ms) {
            return None;
        }
        *self = Pause {
            until_ms: Some(until_ms),
            is_end_pending: true,
            allowed_requests: RETURN_REQUESTS,
            last_send_ms: until_ms,
            answers: 0,
        };
        let left_ms = until_ms - now_ms;
        Some(if is_new { PauseChange::Begun(left_ms) } else { PauseChange::Lengthened(left_ms) })
    }

    /// Records an answer that is neither a rejection nor an error, to a request that was sent at
    /// `sent_ms`. Only requests that were sent after the pause say that the upstream can take more.
    pub fn record_answer(&mut self, sent_ms: u64, now_ms: u64) {
        match self.until_ms {
            Some(until_ms) if now_ms >= until_ms && sent_ms >= until_ms => {
                self.answers += 1;
                self.allowed_requests += REQUESTS_PER_ANSWER;
                if self.answers >= RETURN_ANSWERS {
                    *self = Pause { is_end_pending: self.is_end_pending, ..Pause::default() };
                }
            }

            _ => {}
        }
    }

    /// Returns whether the upstream wants nothing from this node now.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        self.until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Returns the time until a request may be sent, in milliseconds; 0 if it may now. An answer
    /// during the return shortens it.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        match self.until_ms {
            None => 0,
            Some(until_ms) if now_ms < until_ms => until_ms - now_ms,
            Some(_) if self.allowed_requests > 0 => 0,
            Some(_) => (self.last_send_ms + PROBE_INTERVAL_MS).saturating_sub(now_ms),
        }
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now_ms: u64) {
        self.allowed_requests = self.allowed_requests.saturating_sub(1);
        self.last_send_ms = now_ms;
    }

    /// Returns whether a pause has ended since the last call.
    pub fn take_ended(&mut self, now_ms: u64) -> bool {
        !self.is_paused(now_ms) && std::mem::take(&mut self.is_end_pending)
    }
}
