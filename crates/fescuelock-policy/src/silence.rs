//! Verdicts on upstreams that send nothing for a while.
//!
//! Handles sound upstreams that fall silent for a second or two and go on, all requests of an
//! engine or of a whole service at once, as well as upstreams that never go on. Three verdicts are
//! kept apart: when a request is sent to a second upstream ([`HedgeTimeouts`]), when an upstream
//! gets no new requests ([`Silence::accepts`]), and when its silence counts as a failure
//! ([`Silence::take_loss`]). [`WaitLimits`] tells when a request that has no deadline ends.

/// Time for which requests have waited in a silence from which it counts as a failure of the upstream,
/// in milliseconds. It is longer than keep-alive probes need to detect that a peer has gone.
const LOSS_MS: u64 = 3_000;

/// Interval at which a silent upstream gets one new request, in milliseconds. A request that is
/// answered ends the silence.
const PROBE_INTERVAL_MS: u64 = 500;

/// Interval at which a second send that was not possible is tried again, in milliseconds.
pub const SECOND_SEND_RETRY_INTERVAL_MS: u64 = 100;

/// Share of a service's upstreams above which their silence is no reason to prefer others.
const SILENT_IGNORED_ABOVE_SHARE: f64 = 0.5;

/// Time between two checks from which the node itself is taken to have been stopped, in
/// milliseconds.
const OWN_STOP_MIN_MS: u64 = 500;

/// `HedgeTimeouts` configures when a request is sent to a second upstream.
#[derive(Debug, Clone, Copy)]
pub struct HedgeTimeouts {
    /// Time for which the upstream has sent nothing for any request, in milliseconds.
    pub silence_ms: u64,
    /// Time for which the request has got nothing, although the upstream still responds to others,
    /// in milliseconds.
    pub response_ms: u64,
}

/// `HedgeCause` is the reason to send a request to a second upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeCause {
    /// The first upstream sends nothing for any request.
    UpstreamSilent,
    /// The first upstream responds to other requests, but not to this one.
    RequestUnanswered,
}

/// `HedgeCheck` is whether a request is to be sent to a second upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeCheck {
    /// Not before this time has passed, in milliseconds.
    WaitMs(u64),
    /// It may be sent now.
    Due(HedgeCause),
}

impl HedgeTimeouts {
    /// Returns whether a request that has got nothing since `since_ms` is to be sent to a second
    /// upstream. `last_byte_ms` is the time at which its upstream sent something for any request;
    /// `None` if the upstream is not known any more, which says nothing about its silence.
    pub fn check(&self, since_ms: u64, last_byte_ms: Option<u64>, now_ms: u64) -> HedgeCheck {
        let waited_ms = now_ms.saturating_sub(since_ms);
        let silent_ms = last_byte_ms.map(|last_ms| now_ms.saturating_sub(last_ms.max(since_ms)));
        match silent_ms {
            Some(silent_ms) if silent_ms >= self.silence_ms => {
                HedgeCheck::Due(HedgeCause::UpstreamSilent)
            }

            _ if waited_ms >= self.response_ms => HedgeCheck::Due(HedgeCause::RequestUnanswered),

            silent_ms => {
                let until_response_ms = self.response_ms - waited_ms;
                let until_silence_ms = silent_ms.map(|silent_ms| self.silence_ms - silent_ms);
                HedgeCheck::WaitMs(
                    until_silence_ms.map_or(until_response_ms, |ms| ms.min(until_response_ms)),
                )
            }
        }
    }
}

/// `WaitLimits` configures how long a request waits for its upstreams. The time starts anew with each
/// byte for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLimits {
    /// Time after which a second upstream is asked beside the first one, in milliseconds.
    pub second_send_ms: u64,
    /// Time after which a request ends for which no second upstream is to be had, in milliseconds. It
    /// never ends before `second_send_ms`.
    pub end_ms: u64,
}

/// `WaitCheck` is what to do for a request that waits for its upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitCheck {
    /// Wait until something arrives, and for this time at most, in milliseconds.
    WaitMs(u64),
    /// Ask a second upstream. The first one is kept.
    SendSecond,
    /// End the request without an answer.
    End,
}

impl WaitLimits {
    /// Returns what to do for a request that has got nothing for `waited_ms`, and whose second send is
    /// not known to be impossible now.
    ///
    /// An attempt is kept until another one has an answer: a request without a second upstream waits
    /// for its first one until `end_ms`.
    pub fn check(&self, waited_ms: u64, may_send_second: bool) -> WaitCheck {
        let end_ms = self.end_ms.max(self.second_send_ms);
        match waited_ms {
            _ if waited_ms < self.second_send_ms => {
                WaitCheck::WaitMs(self.second_send_ms - waited_ms)
            }

            _ if may_send_second => WaitCheck::SendSecond,

            _ if waited_ms >= end_ms => WaitCheck::End,

            _ => WaitCheck::WaitMs(SECOND_SEND_RETRY_INTERVAL_MS.min(end_ms - waited_ms)),
        }
    }

    /// Returns the longest time for which an attempt may be kept, in milliseconds, if a request has
    /// at most `attempts_max` of them.
    pub fn longest_ms(&self, attempts_max: u32) -> u64 {
        self.end_ms.max(self.second_send_ms).saturating_mul(u64::from(attempts_max.max(1)))
    }
}

/// `Silence` is the state of an upstream that may be silent.
#[derive(Debug, Clone, Default)]
pub struct Silence {
    /// Start of the silence, in milliseconds.
    since_ms: Option<u64>,
    last_send_ms: u64,
    /// Time for which requests have waited in the silence, in milliseconds.
    waited_ms: u64,
    /// Time until which `waited_ms` is counted, in milliseconds.
    counted_until_ms: u64,
    is_loss: bool,
}

impl Silence {
    /// Records that a request has got nothing from the upstream since `since_ms`, its silence timeout
    /// ago, and no other request either since `last_byte_ms`. The time before the request is not part
    /// of the silence: the upstream may have been idle. Returns whether this begins a silence.
    pub fn begin(&mut self, since_ms: u64, last_byte_ms: u64, now_ms: u64) -> bool {
        let is_new = self.since_ms.is_none();
        if is_new {
            let since_ms = since_ms.max(last_byte_ms);
            *self = Silence {
                since_ms: Some(since_ms),
                last_send_ms: now_ms,
                waited_ms: now_ms.saturating_sub(since_ms),
                counted_until_ms: now_ms,
                is_loss: false,
            };
        }
        is_new
    }

    /// Records that the upstream has sent something. Returns the duration of the silence that this
    /// ends, in milliseconds.
    pub fn end(&mut self, now_ms: u64) -> Option<u64> {
        let since_ms = self.since_ms.take()?;
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Returns whether the upstream is silent.
    pub fn is_silent(&self) -> bool {
        self.since_ms.is_some()
    }

    /// Returns whether the upstream may get a new request: it is not silent, or a probe is due.
    pub fn accepts(&self, now_ms: u64) -> bool {
        !self.is_silent() || now_ms.saturating_sub(self.last_send_ms) >= PROBE_INTERVAL_MS
    }

    /// Records that a new request is sent.
    pub fn record_send(&mut self, now_ms: u64) {
        self.last_send_ms = now_ms;
    }

    /// Returns whether the silence has just become so long that it counts as a failure. To be called
    /// regularly with whether a request waits at the upstream: without one, the upstream has nothing
    /// to send.
    pub fn take_loss(&mut self, has_request: bool, now_ms: u64) -> bool {
        if has_request {
            self.waited_ms += now_ms.saturating_sub(self.counted_until_ms);
        }
        self.counted_until_ms = now_ms;
        let is_long = self.is_silent() && self.waited_ms >= LOSS_MS;
        let is_new = is_long && !self.is_loss;
        self.is_loss |= is_long;
        is_new
    }
}

/// Returns whether so many upstreams of a service are silent that no others can be preferred.
pub fn should_ignore_silence(silent: usize, total: usize) -> bool {
    silent as f64 > SILENT_IGNORED_ABOVE_SHARE * total as f64
}

/// Returns whether the node itself did not run between two checks. What upstreams have sent
/// meanwhile is unread, so that this time is no sign of their silence.
pub fn was_node_stopped(between_checks_ms: u64) -> bool {
    between_checks_ms >= OWN_STOP_MIN_MS
}
