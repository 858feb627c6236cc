//! Which upstream takes a request.
//!
//! Answers uneven load with many nodes: each candidate is priced by the worth that the request may
//! lose by lateness there, by what reading the uncached part of its prompt costs, and by bytes
//! between availability zones. Being early is worth nothing, so a warm cache wins until its queue
//! puts the latency objective at risk.
//!
//! Requests that share a prompt's parts meet at one engine, which all nodes find by rendezvous
//! hashing, so a part is read once for many requests without any exchange between nodes.

/// `Candidate` is an upstream that may take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Expected time until the request is answered, or its first event is out, in milliseconds.
    pub expected_ms: f64,
    /// Engine time that the request takes there, in milliseconds.
    pub engine_ms: f64,
    /// Price of reading the prompt there, as a share of the request's worth.
    pub read_share: f64,
    /// Whether the upstream is in another availability zone.
    pub is_remote: bool,
    /// Requests in flight over the requests that it works on at once.
    pub occupancy: f64,
}

/// `PlacementOptions` configures the prices.
#[derive(Debug, Clone)]
pub struct PlacementOptions {
    /// Share of a request's worth that a remote upstream costs. Defaults to 0.03: the bytes of a
    /// long prompt at the dearest known price between availability zones.
    pub remote_share: f64,
    /// Share of a request's worth that a late answer loses. Defaults to 0.7.
    pub late_loss: f64,
    /// Share of the latency objective from which lateness becomes likely. Defaults to 0.5: queues
    /// are known as they were some hundred milliseconds ago.
    pub late_risk_from_share: f64,
    /// Share of a request's worth that all of an upstream's occupancy costs. Defaults to 0.01.
    pub occupancy_cost_share: f64,
    /// Share of a request's worth that engine time as long as the latency objective costs.
    /// Defaults to 0.2.
    pub engine_time_cost_share: f64,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        PlacementOptions {
            remote_share: 0.03,
            late_loss: 0.7,
            late_risk_from_share: 0.5,
            occupancy_cost_share: 0.01,
            engine_time_cost_share: 0.2,
        }
    }
}

/// Returns what placing a request on a candidate costs, as a share of the request's worth.
pub fn placement_cost(candidate: &Candidate, target_ms: f64, options: &PlacementOptions) -> f64 {
    let target_ms = target_ms.max(1.0);
    let target_share = candidate.expected_ms / target_ms;
    let risk = ((target_share - options.late_risk_from_share)
        / (1.0 - options.late_risk_from_share))
        .max(0.0);
    // Beyond the objective the price goes on growing, so that the least late is taken.
    let late_cost = options.late_loss * risk.min(1.0) * risk.min(1.0) + 0.1 * (risk - 1.0).max(0.0);
    let cross_zone_cost = if candidate.is_remote { options.remote_share } else { 0.0 };
    late_cost
        + cross_zone_cost
        + options.engine_time_cost_share * candidate.engine_ms / target_ms
        + options.occupancy_cost_share * candidate.occupancy
        + candidate.read_share
}

/// Returns the index of the cheapest candidate.
pub fn choose(
    candidates: &[Candidate],
    target_ms: f64,
    options: &PlacementOptions,
) -> Option<usize> {
    let costs = candidates.iter().map(|candidate| placement_cost(candidate, target_ms, options));
    costs.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// Returns a number from 0 up to 1 that two ids always share, for rendezvous hashing.
pub fn rendezvous(a: u64, b: u64) -> f64 {
    let mut mixed = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    // The upper 53 bits fill the fraction of a double.
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns a stable hash of a name.
pub fn hash_name(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
