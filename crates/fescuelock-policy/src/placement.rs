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
//!
//! Plain calls are placed by the probability that their answer is late. All nodes derive the same
//! split of a service's calls from the speeds of its upstreams and the arrival rate, and draw from
//! it. Load reports are older than a call takes: in replays, nodes that chose by the reported load
//! of each upstream made twice as many calls late at a busy service as a draw by speed alone.

use crate::service_time::ServiceTime;

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
    choose_cheapest_two(candidates, target_ms, options).map(|(first, _)| first)
}

/// Returns the index of the candidate with the lowest cost and that of the next one, if there is one,
/// or `None` without candidates.
pub fn choose_cheapest_two(
    candidates: &[Candidate],
    target_ms: f64,
    options: &PlacementOptions,
) -> Option<(usize, Option<usize>)> {
    let mut first: Option<(f64, usize)> = None;
    let mut second: Option<(f64, usize)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let cost = placement_cost(candidate, target_ms, options);
        let is_below = |known: Option<(f64, usize)>| known.is_none_or(|(least, _)| cost < least);
        if is_below(first) {
            second = first.replace((cost, index));
        } else if is_below(second) {
            second = Some((cost, index));
        }
    }
    first.map(|(_, first)| (first, second.map(|(_, second)| second)))
}

/// `PlainCandidate` is an upstream of a plain service that may take the request.
#[derive(Debug, Clone, Copy)]
pub struct PlainCandidate {
    /// Distribution of the upstream's service time.
    pub service_time: ServiceTime,
    /// Requests that the upstream processes concurrently.
    pub slots: f64,
    /// Requests in flight from this node.
    pub own_in_flight: f64,
    /// Mean number of requests in flight from other nodes over some seconds.
    pub peer_in_flight: f64,
    /// Hash of the upstream's availability zone.
    pub zone: u64,
}

/// `PlainOptions` configures the placement of plain calls.
#[derive(Debug, Clone)]
pub struct PlainOptions {
    /// Share of a request's value that is lost if its answer is late. Defaults to 0.7.
    pub late_loss: f64,
    /// Cost of the traffic to another availability zone, as a share of the request's value.
    pub cross_zone_cost_share: f64,
    /// Expected loss, as a share of the request's value, below which an upstream is not relieved.
    /// Defaults to 0.0007: one late answer in a thousand.
    pub negligible_loss: f64,
}

impl Default for PlainOptions {
    fn default() -> Self {
        PlainOptions { late_loss: 0.7, cross_zone_cost_share: 0.0, negligible_loss: 0.000_7 }
    }
}

/// Largest number of steps in which a split is adapted to the expected losses.
const SPLIT_STEPS_MAX: usize = 24;

/// Number of evaluations of an upstream's loss for one placement, about 0.1 microseconds each.
const SPLIT_EVALUATIONS: usize = 96;

/// First step of the logarithm of an upstream's share.
const SPLIT_STEP: f64 = 0.5;

/// Factor from one step to the next. All steps together change the ratio of two shares by up to
/// e^6.6, so that hardly any request goes to an upstream that is much too slow.
const SPLIT_STEP_FACTOR: f64 = 0.85;

/// Difference of an upstream's loss from the mean loss that leads to a full step, as a share of the
/// request's value. In replays, 0.005 left 10% more calls late.
const SPLIT_LOSS_SCALE: f64 = 0.002;

/// Occupancy of a service above which its calls begin to be split by the speed of its upstreams
/// rather than equally. Below it, a slow phase of 2.5 times the usual time fills no upstream.
const SPLIT_BUSY_FROM: f64 = 0.3;

/// Occupancy of a service from which its calls are split by the speed of its upstreams.
const SPLIT_BUSY_TO: f64 = 0.5;

/// Returns the share of a service's calls that each upstream should get, so that calls are late as
/// rarely as possible. `left_ms` is the time until their objective.
///
/// Zones with the same number of callers are assumed. The split starts from equal shares of the
/// zones, or from shares by speed if the service is busy, and moves from upstreams with a larger
/// expected loss to those with a smaller one. Only the arrival rate of the whole service is taken
/// from load reports: it hardly changes with the split, so that many nodes that react to the same
/// old figures don't drive each other back and forth.
pub fn split_plain(
    candidates: &[PlainCandidate],
    left_ms: f64,
    options: &PlainOptions,
) -> Vec<f64> {
    let total = |of: fn(&PlainCandidate) -> f64| candidates.iter().map(of).sum::<f64>();
    let in_flight = total(|candidate| candidate.own_in_flight + candidate.peer_in_flight);
    let occupancy = in_flight / total(|candidate| candidate.slots).max(1.0);
    let busy = ((occupancy - SPLIT_BUSY_FROM) / (SPLIT_BUSY_TO - SPLIT_BUSY_FROM)).clamp(0.0, 1.0);
    let peer_per_ms =
        total(|candidate| candidate.peer_in_flight / candidate.service_time.mean_ms.max(1.0));
    // A late call is still sent to where it ends soon.
    let left_ms =
        left_ms.max(ServiceTime::of_service(candidates.iter().map(|c| c.service_time)).mean_ms);
    let mut shares: Vec<f64> = candidates
        .iter()
        .map(|candidate| {
            let rate_per_ms = candidate.slots / candidate.service_time.mean_ms.max(1.0);
            let even_share = 1.0 / zone_size(candidates, candidate.zone);
            even_share.powf(1.0 - busy) * rate_per_ms.powf(busy)
        })
        .collect();
    let steps = (SPLIT_EVALUATIONS / candidates.len().max(1)).clamp(4, SPLIT_STEPS_MAX);
    let kept_loss = options.negligible_loss + options.cross_zone_cost_share;
    let mut step = SPLIT_STEP;
    for _ in 0..steps {
        normalize(&mut shares);
        let losses: Vec<f64> = candidates
            .iter()
            .zip(&shares)
            .map(|(candidate, share)| {
                let time = &candidate.service_time;
                let ahead = candidate.own_in_flight + peer_per_ms * share * time.mean_ms;
                let late_probability = time.late_probability(ahead, candidate.slots, left_ms);
                (options.late_loss * late_probability - kept_loss).max(0.0)
            })
            .collect();
        let mean_loss: f64 = losses.iter().zip(&shares).map(|(loss, share)| loss * share).sum();
        for (share, loss) in shares.iter_mut().zip(&losses) {
            let change = ((mean_loss - loss) / SPLIT_LOSS_SCALE).clamp(-1.0, 1.0);
            *share *= (step * change).exp();
        }
        step *= SPLIT_STEP_FACTOR;
    }
    normalize(&mut shares);
    shares
}

/// Draws an upstream for a plain call of a node in `zone`, so that all nodes together keep to the
/// shares of [`split_plain`] with the least traffic between zones. `draw` is uniform in `[0, 1)`.
///
/// A zone keeps its calls as far as its share allows, and the rest goes to the zones whose shares
/// exceed their own calls.
pub fn choose_plain(
    candidates: &[PlainCandidate],
    shares: &[f64],
    zone: u64,
    draw: f64,
) -> Option<usize> {
    let zone_share = |zone: u64| -> f64 {
        let in_zone = candidates.iter().zip(shares).filter(|(other, _)| other.zone == zone);
        in_zone.map(|(_, share)| share).sum()
    };
    let zones: f64 =
        candidates.iter().map(|candidate| 1.0 / zone_size(candidates, candidate.zone)).sum();
    let even_share = 1.0 / zones;
    let own_share = zone_share(zone);
    let weights: Vec<f64> = candidates
        .iter()
        .zip(shares)
        .map(|(candidate, share)| match zone_share(candidate.zone) {
            total if candidate.zone == zone => own_share.min(even_share) * share / total,
            total if own_share > 0.0 => (total - even_share).max(0.0) * share / total,
            // The node's own zone has no upstream.
            _ => *share,
        })
        .collect();
    // The zones with too small a share send the rest of their calls to those with a larger one.
    let kept: f64 = own_share.min(even_share);
    let surplus: f64 = weights.iter().sum::<f64>() - kept;
    let spill_factor = match own_share > 0.0 && surplus > 0.0 {
        true => (even_share - kept) / surplus,
        false => 1.0,
    };
    let weights: Vec<f64> = candidates
        .iter()
        .zip(weights)
        .map(|(candidate, weight)| match candidate.zone == zone {
            true => weight,
            false => weight * spill_factor,
        })
        .collect();
    (!weights.is_empty()).then(|| draw_weighted(&weights, draw))
}

/// Returns the number of candidates in a zone.
fn zone_size(candidates: &[PlainCandidate], zone: u64) -> f64 {
    candidates.iter().filter(|other| other.zone == zone).count() as f64
}

fn normalize(shares: &mut [f64]) {
    let sum: f64 = shares.iter().sum();
    shares.iter_mut().for_each(|share| *share /= sum.max(f64::MIN_POSITIVE));
}

/// Returns the index that a uniform draw in `[0, 1)` selects in proportion to the weights.
pub fn draw_weighted(weights: &[f64], draw: f64) -> usize {
    let mut left = draw * weights.iter().sum::<f64>();
    let selected = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    selected.unwrap_or_else(|| weights.len().saturating_sub(1))
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
