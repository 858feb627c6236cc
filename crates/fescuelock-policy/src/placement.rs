//! Selects the upstream with the lowest cost for a request.
//!
//! Handles uneven load across many nodes. The cost of a candidate is the sum of the expected loss
//! from missing the latency objective, engine time, occupancy, the prefill of the uncached part of
//! the prompt, and the traffic between availability zones. Answering earlier than the objective
//! gains nothing, so an upstream with a warm prefix cache wins until its queue puts the objective
//! at risk.
//!
//! Requests that share a prompt prefix are placed on the same engine, which all nodes find by
//! rendezvous hashing. A shared prefix is thus prefilled once for many requests, without
//! coordination between nodes.

/// `Candidate` is an upstream that may take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Expected time to the complete answer, or to the first event of a stream, in milliseconds.
    pub expected_ms: f64,
    /// Engine time that the request takes there, in milliseconds.
    pub engine_ms: f64,
    /// Cost of the prefill there, as a share of the request's value.
    pub prefill_cost_share: f64,
    /// Whether the upstream is in another availability zone.
    pub is_cross_zone: bool,
    /// Requests in flight divided by the requests that the upstream processes concurrently.
    pub occupancy: f64,
}

/// `PlacementOptions` configures the cost of a placement.
#[derive(Debug, Clone)]
pub struct PlacementOptions {
    /// Cost of an upstream in another availability zone, as a share of the request's value.
    /// Defaults to 0.03: the traffic of a long prompt at the highest known price between
    /// availability zones.
    pub cross_zone_cost_share: f64,
    /// Share of a request's value that is lost if its answer is late. Defaults to 0.7.
    pub late_loss: f64,
    /// Expected time, as a share of the latency objective, above which a late answer becomes
    /// likely. Defaults to 0.5: the known queue lengths are some hundred milliseconds old.
    pub late_risk_from_share: f64,
    /// Cost of an occupancy of 1, as a share of the request's value. Defaults to 0.01.
    pub occupancy_cost_share: f64,
    /// Cost of a run whose engine time equals the latency objective, as a share of the request's
    /// value. Defaults to 0.2.
    pub engine_time_cost_share: f64,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        PlacementOptions {
            cross_zone_cost_share: 0.03,
            late_loss: 0.7,
            late_risk_from_share: 0.5,
            occupancy_cost_share: 0.01,
            engine_time_cost_share: 0.2,
        }
    }
}

/// Returns the cost of placing a request on a candidate, as a share of the request's value.
pub fn placement_cost(candidate: &Candidate, target_ms: f64, options: &PlacementOptions) -> f64 {
    let target_ms = target_ms.max(1.0);
    let target_share = candidate.expected_ms / target_ms;
    let lateness = ((target_share - options.late_risk_from_share)
        / (1.0 - options.late_risk_from_share))
        .max(0.0);
    // Lateness is 0 up to `late_risk_from_share` and 1 at the objective. Its cost grows
    // quadratically up to the objective, and linearly with a slope of 0.1 beyond it, so that the
    // least late candidate is chosen.
    let late_cost =
        options.late_loss * lateness.min(1.0) * lateness.min(1.0) + 0.1 * (lateness - 1.0).max(0.0);
    let cross_zone_cost = if candidate.is_cross_zone { options.cross_zone_cost_share } else { 0.0 };
    late_cost
        + cross_zone_cost
        + options.engine_time_cost_share * candidate.engine_ms / target_ms
        + options.occupancy_cost_share * candidate.occupancy
        + candidate.prefill_cost_share
}

/// Returns the index of the candidate with the lowest cost, or `None` without candidates.
pub fn choose_cheapest(
    candidates: &[Candidate],
    target_ms: f64,
    options: &PlacementOptions,
) -> Option<usize> {
    let costs = candidates.iter().map(|candidate| placement_cost(candidate, target_ms, options));
    costs.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// Returns the index of the upstream that all nodes choose for a prompt segment by rendezvous
/// hashing, given the hashes of the upstreams' ids.
pub fn choose_by_hash(segment: u64, upstreams: impl Iterator<Item = u64>) -> Option<usize> {
    let scores = upstreams.map(|upstream| hash_pair(segment, upstream));
    scores.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// Hashes a pair of ids to a number in [0, 1) that is the same on every node. Serves as the score
/// of rendezvous hashing, where the lowest wins, and as a fixed draw for a session.
pub fn hash_pair(a: u64, b: u64) -> f64 {
    let mut mixed = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    // The upper 53 bits fill the mantissa of an `f64`.
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns a hash of a name that is the same on every node (64-bit FNV-1a).
pub fn hash_name(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
