//! How many sends beyond the first of each request a node may make.
//!
//! Answers failing upstreams under load, where repeats would multiply the load: each node keeps to
//! its share of the fleet's bound, whatever the others do.

use std::collections::VecDeque;

/// `RetryLimit` is what the whole fleet may send beyond the first of each request in a window.
#[derive(Debug, Clone, Copy)]
pub struct RetryLimit {
    /// Extra sends for each request.
    pub ratio: f64,
    /// Extra sends of all nodes together, whatever the number of requests.
    pub extra_min: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Share of the bound that a node uses. The rest covers sends that cross the edge of a window on
/// their way.
const USED_SHARE: f64 = 0.93;

/// Share of the budget that escalations to larger models leave to repairs of failed requests.
const RECOVERY_RESERVE_SHARE: f64 = 0.15;

/// `RetryPurpose` tells what an extra send is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPurpose {
    /// The request would fail without it.
    Repair,
    /// The request has an answer, and a better one is wanted.
    Improvement,
}

/// `RetryBudget` counts the requests and extra sends of one service on one node.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<(u64, u32)>,
    extras: VecDeque<(u64, u32)>,
    request_count: u32,
    extra_count: u32,
}

/// Time that one entry of the counts covers, in milliseconds.
const BUCKET_MS: u64 = 250;

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn note_request(&mut self, now_ms: u64) {
        self.request_count += 1;
        push(&mut self.requests, now_ms);
    }

    /// Takes an extra send, if the budget has one for the purpose.
    pub fn take(
        &mut self,
        purpose: RetryPurpose,
        bound: &RetryLimit,
        nodes: usize,
        now_ms: u64,
    ) -> bool {
        let cutoff_ms = now_ms.saturating_sub(bound.window_ms);
        self.request_count -= expire(&mut self.requests, cutoff_ms);
        // The last event of a slice may be as much younger than its first.
        self.extra_count -= expire(&mut self.extras, cutoff_ms.saturating_sub(BUCKET_MS));
        let allowed = f64::from(self.request_count) * bound.ratio * USED_SHARE
            + bound.extra_min * USED_SHARE / nodes.max(1) as f64;
        let allowed = match purpose {
            RetryPurpose::Repair => allowed,
            RetryPurpose::Improvement => allowed * (1.0 - RECOVERY_RESERVE_SHARE),
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

/// Drops the slices before a time and returns how many events they held.
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
