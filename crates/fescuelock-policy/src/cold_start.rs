//! Rate limit of a node for cold upstreams, which are those in their cold start.
//!
//! Handles an availability zone that returns after an outage with all its upstreams cold. The limit
//! holds for the whole fleet. Each node derives its share from its member list alone and does not
//! coordinate requests with other nodes, so the limit also holds while they are unreachable. In a
//! large fleet the share of a node would be below one request, so only the nodes that rank first
//! for an upstream may send to it.

use crate::placement::hash_pair;

/// `ColdStartLimit` is the fleet's limit on requests to one cold upstream.
#[derive(Debug, Clone, Copy)]
pub struct ColdStartLimit {
    /// Requests per second that the upstream can take.
    pub per_s: f64,
    /// Highest allowed multiple of the rate.
    pub overshoot: f64,
    /// Requests in any second that are allowed in addition to that multiple of the rate.
    pub slack: f64,
}

/// Fraction of the limit that is used. The rest covers requests that are delayed in transit and
/// arrive together, and nodes that are missing from a node's member list.
const RATE_MARGIN_FACTOR: f64 = 0.7;

/// Capacity of a node's token bucket, in requests.
const BURST_REQUESTS: f64 = 1.0;

/// Lowest sustained rate of a node that sends to a cold upstream, in requests per second.
const RATE_MIN_PER_S: f64 = 0.5;

/// `ColdStartRate` is the rate limit of one node for one cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartRate {
    /// Requests per second. 0 if the node sends nothing.
    pub per_s: f64,
}

/// Returns the rate limit of the node with rank `rank` among `nodes` nodes for an upstream.
///
/// In any second a node sends at most the capacity of its token bucket plus its rate, so the nodes
/// together stay within the usable fraction of the fleet's limit.
pub fn node_rate(limit: &ColdStartLimit, rank: usize, nodes: usize) -> ColdStartRate {
    let usable = RATE_MARGIN_FACTOR * (limit.per_s * limit.overshoot + limit.slack);
    let sending_nodes =
        (usable / (BURST_REQUESTS + RATE_MIN_PER_S)).floor().max(1.0).min(nodes.max(1) as f64);
    if rank as f64 >= sending_nodes {
        return ColdStartRate { per_s: 0.0 };
    }
    let sustained_per_s = (usable / sending_nodes - BURST_REQUESTS).max(0.0);
    ColdStartRate { per_s: sustained_per_s.min(limit.per_s / sending_nodes) }
}

/// Returns the rank of a node among all nodes for an upstream, by rendezvous hashing. The node with
/// the lowest score has rank 0.
pub fn node_rank(node: u64, others: impl Iterator<Item = u64>, upstream: u64) -> usize {
    let own = hash_pair(node, upstream);
    others.filter(|&other| other != node && hash_pair(other, upstream) < own).count()
}

/// `ColdStartBucket` is the token bucket of a node for one cold upstream.
#[derive(Debug, Clone, Default)]
pub struct ColdStartBucket {
    tokens: f64,
    refilled_ms: Option<u64>,
}

impl ColdStartBucket {
    /// Returns whether a request may be sent now.
    pub fn has_token(&self, rate: ColdStartRate, now_ms: u64) -> bool {
        self.available_tokens(rate, now_ms) >= 1.0
    }

    /// Takes the token for a request that is sent now.
    pub fn take_token(&mut self, rate: ColdStartRate, now_ms: u64) {
        self.tokens = self.available_tokens(rate, now_ms) - 1.0;
        self.refilled_ms = Some(now_ms);
    }

    fn available_tokens(&self, rate: ColdStartRate, now_ms: u64) -> f64 {
        if rate.per_s <= 0.0 {
            return 0.0;
        }
        match self.refilled_ms {
            Some(refilled_ms) => {
                let elapsed_s = now_ms.saturating_sub(refilled_ms) as f64 / 1_000.0;
                (self.tokens + elapsed_s * rate.per_s).min(BURST_REQUESTS)
            }

            None => BURST_REQUESTS,
        }
    }
}
