//! Retry budget of a node for retries and escalations.
//!
//! An extra send is any send of a request after its first one: a retry of a failed attempt, or an
//! escalation to a larger model.
//!
//! Handles failing upstreams under load, where retries would multiply the load. Each node keeps to
//! its share of the fleet's limit, whatever the other nodes do.

use std::collections::VecDeque;

/// `RetryLimit` is the fleet's limit on extra sends in a window.
#[derive(Debug, Clone, Copy)]
pub struct RetryLimit {
    /// Extra sends allowed per request.
    pub ratio: f64,
    /// Extra sends that all nodes together may make in a window in addition to the ratio, whatever
    /// the number of requests.
    pub allowance: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Fraction of the limit that a node uses. The rest covers extra sends that leave in one window and
/// arrive in the next.
const RETRY_MARGIN_FACTOR: f64 = 0.93;

/// Share of the budget that is reserved for retries of failed requests; escalations may not use it.
const RECOVERY_RESERVE_SHARE: f64 = 0.15;

/// Share of the budget that is reserved for retries of failed requests; second sends beside an
/// attempt that is under way may not use it.
const HEDGE_RESERVE_SHARE: f64 = 0.05;

/// `RetryPurpose` is the reason for an extra send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPurpose {
    /// The request would fail without it.
    Recovery,
    /// The request waits for an upstream that is silent and may still go on.
    Hedge,
    /// The request has an answer, and a larger model may give a better one.
    Escalation,
}

/// `RetryBudget` counts the requests and extra sends of one service on one node.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<(u64, u32)>,
    extras: VecDeque<(u64, u32)>,
    request_count: u32,
    extra_count: u32,
}

/// Time that one bucket of the sliding window covers, in milliseconds.
const BUCKET_MS: u64 = 250;

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, now_ms: u64) {
        self.request_count += 1;
        push(&mut self.requests, now_ms);
    }

    /// Takes an extra send from the budget. Returns whether the budget allows it for this purpose.
    pub fn try_acquire(
        &mut self,
        purpose: RetryPurpose,
        limit: &RetryLimit,
        nodes: usize,
        now_ms: u64,
    ) -> bool {
        let cutoff_ms = now_ms.saturating_sub(limit.window_ms);
        self.request_count -= expire(&mut self.requests, cutoff_ms);
        // The last event of a bucket may be up to `BUCKET_MS` younger than its start.
        self.extra_count -= expire(&mut self.extras, cutoff_ms.saturating_sub(BUCKET_MS));
        let allowed = f64::from(self.request_count) * limit.ratio * RETRY_MARGIN_FACTOR
            + limit.allowance * RETRY_MARGIN_FACTOR / nodes.max(1) as f64;
        let allowed = match purpose {
            RetryPurpose::Recovery => allowed,
            RetryPurpose::Hedge => allowed * (1.0 - HEDGE_RESERVE_SHARE),
            RetryPurpose::Escalation => allowed * (1.0 - RECOVERY_RESERVE_SHARE),
        };
        let granted = f64::from(self.extra_count + 1) <= allowed;
        if granted {
            self.extra_count += 1;
            push(&mut self.extras, now_ms);
        }
        granted
    }
}

fn push(buckets: &mut VecDeque<(u64, u32)>, now_ms: u64) {
    match buckets.back_mut() {
        Some((start_ms, count)) if now_ms.saturating_sub(*start_ms) < BUCKET_MS => *count += 1,
        _ => buckets.push_back((now_ms, 1)),
    }
}

/// Removes the buckets that start before `cutoff_ms` and returns the number of their events.
fn expire(buckets: &mut VecDeque<(u64, u32)>, cutoff_ms: u64) -> u32 {
    let mut expired = 0;
    while let Some(&(start_ms, count)) = buckets.front() {
        if start_ms >= cutoff_ms {
            break;
        }
        expired += count;
        buckets.pop_front();
    }
    expired
}
