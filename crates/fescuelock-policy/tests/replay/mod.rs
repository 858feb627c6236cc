//! Simulates a load pattern on engines that each process their queue in order.

use fescuelock_policy::escalation::{
    EngineTimePrice, EscalationCandidate as Answer, EscalationOptions, should_escalate,
};
use fescuelock_policy::placement::{Candidate, PlacementOptions, choose_cheapest};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of simulated engines.
const ENGINES: usize = 12;
/// Part of the time to the first event besides queue and prefill, in milliseconds.
const START_MS: f64 = 40.0;
/// Share of its value that a poor answer earns.
const POOR_ANSWER_SHARE: f64 = 0.05;
/// Share of its value that a late answer earns.
const LATE_ANSWER_SHARE: f64 = 0.3;

/// `RequestClass` is a class of requests with its rate and value.
#[derive(Debug, Clone, Copy)]
pub struct RequestClass {
    pub per_s: f64,
    pub value: f64,
    pub target_ms: f64,
    pub deadline_ms: f64,
    /// Engine time on the small model and on the large model, in milliseconds.
    pub small_ms: f64,
    pub large_ms: f64,
    /// Cost of the large model.
    pub cost: f64,
}

/// Requests of high value that take much engine time.
pub const HIGH_VALUE: RequestClass = RequestClass {
    per_s: 15.0,
    value: 4.6,
    target_ms: 3_000.0,
    deadline_ms: 25_000.0,
    small_ms: 50.0,
    large_ms: 420.0,
    cost: 0.6,
};
/// Requests of medium value that take little engine time and have a long deadline.
pub const MEDIUM_VALUE: RequestClass = RequestClass {
    per_s: 19.0,
    value: 1.5,
    target_ms: 1_500.0,
    deadline_ms: 20_000.0,
    small_ms: 4.0,
    large_ms: 36.0,
    cost: 0.12,
};
/// Requests of low value with a short deadline.
pub const LOW_VALUE: RequestClass = RequestClass {
    per_s: 20.0,
    value: 0.48,
    target_ms: 1_500.0,
    deadline_ms: 5_000.0,
    small_ms: 10.0,
    large_ms: 100.0,
    cost: 0.1,
};
pub const CLASSES: [RequestClass; 3] = [HIGH_VALUE, MEDIUM_VALUE, LOW_VALUE];

/// `EscalationRule` decides which answers are escalated.
#[derive(Debug, Clone, Copy)]
pub enum EscalationRule {
    /// Escalates below a fixed confidence.
    FixedThreshold(f64),
    /// Escalates by value, cost and queue.
    Priced,
}

/// `LoadPattern` changes the traffic and the engines between `from_ms` and `to_ms`.
#[derive(Debug, Clone, Copy)]
pub struct LoadPattern {
    /// Factor on the request rate of each class during that time, in the order of [`CLASSES`].
    pub rate_factors: [f64; 3],
    pub from_ms: f64,
    pub to_ms: f64,
    /// Engines that are lost during that time.
    pub lost_engines: usize,
    /// Factor by which every third engine is slower during that time.
    pub slowdown_factor: f64,
}

/// Load without a change.
pub const STEADY_LOAD: LoadPattern = LoadPattern {
    rate_factors: [1.0; 3],
    from_ms: 0.0,
    to_ms: 0.0,
    lost_engines: 0,
    slowdown_factor: 1.0,
};

/// Simulates a load pattern and returns the net value of the answers as a share of the requested
/// value.
pub fn simulate(pattern: LoadPattern, rule: EscalationRule, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut free_at = [0.0_f64; ENGINES];
    let mut price = EngineTimePrice::default();
    let options = EscalationOptions::default();
    let (mut earned_value, mut requested_value) = (0.0, 0.0);
    let mut now = 0.0;
    while now < 34_000.0 {
        let is_in_pattern = (pattern.from_ms..pattern.to_ms).contains(&now);
        let rate = |class: usize| {
            CLASSES[class].per_s * if is_in_pattern { pattern.rate_factors[class] } else { 1.0 }
        };
        let total: f64 = (0..3).map(rate).sum();
        now += -(1.0 - rng.random_range(0.0..1.0_f64)).ln() * 1_000.0 / total;
        let mut remaining_rate = rng.random_range(0.0..total);
        let index = (0..3).find(|&class| {
            remaining_rate -= rate(class);
            remaining_rate < 0.0
        });
        let class = CLASSES[index.unwrap_or(2)];
        let usable = ENGINES - if is_in_pattern { pattern.lost_engines } else { 0 };
        let slowdown = |engine: usize| {
            if is_in_pattern && engine.is_multiple_of(3) { pattern.slowdown_factor } else { 1.0 }
        };
        let confidence = match rng.random_range(0.0..1.0) {
            draw if draw < 0.19 => rng.random_range(0.0..0.1),
            draw if draw < 0.45 => 1.0,
            _ => rng.random_range(0.1..1.0),
        };
        let is_poor = rng.random_range(0.0..1.0) >= confidence;
        requested_value += class.value;
        let small = place(&free_at[..usable], now, class, class.small_ms, slowdown);
        let processed_small_at = run(&mut free_at, small, now, class.small_ms * slowdown(small));
        let waiting = free_at[..usable].iter().map(|at| (at - now).max(0.0));
        let queue_ms = waiting.sum::<f64>() / usable as f64;
        let large = place(&free_at[..usable], processed_small_at, class, class.large_ms, slowdown);
        let first_event_ms = (free_at[large] - processed_small_at).max(0.0)
            + START_MS
            + class.large_ms * slowdown(large);
        let answer = Answer {
            confidence,
            value: class.value,
            cost: class.cost,
            engine_ms: class.large_ms,
            first_event_ms,
            target_left_ms: class.target_ms - (processed_small_at - now),
        };
        let escalates = match rule {
            EscalationRule::FixedThreshold(threshold) => confidence < threshold,
            EscalationRule::Priced => {
                let queue_share = queue_ms / MEDIUM_VALUE.target_ms;
                let per_ms = price.per_engine_ms(queue_share, &options);
                price.observe(&answer, &options);
                should_escalate(&answer, per_ms, &options)
            }
        };
        let (processed_at, is_poor) = match escalates {
            true => {
                earned_value -= class.cost;
                (
                    run(&mut free_at, large, processed_small_at, class.large_ms * slowdown(large)),
                    false,
                )
            }
            false => (processed_small_at, is_poor),
        };
        let elapsed = processed_at - now + START_MS;
        let on_time = match elapsed {
            elapsed if elapsed <= class.target_ms => 1.0,
            elapsed if elapsed <= class.deadline_ms => LATE_ANSWER_SHARE,
            _ => 0.0,
        };
        earned_value += class.value * on_time * if is_poor { POOR_ANSWER_SHARE } else { 1.0 };
    }
    earned_value / requested_value
}

fn place(
    free_at: &[f64],
    now: f64,
    class: RequestClass,
    engine_ms: f64,
    slowdown: impl Fn(usize) -> f64,
) -> usize {
    let candidates: Vec<Candidate> = free_at
        .iter()
        .enumerate()
        .map(|(engine, at)| Candidate {
            expected_ms: (at - now).max(0.0) + START_MS + engine_ms * slowdown(engine),
            engine_ms: engine_ms * slowdown(engine),
            prefill_cost_share: 0.0,
            is_cross_zone: engine % 4 != 0,
            occupancy: 0.0,
        })
        .collect();
    choose_cheapest(&candidates, class.target_ms, &PlacementOptions::default())
        .expect("at least one engine is usable")
}

fn run(free_at: &mut [f64], engine: usize, now: f64, work_ms: f64) -> f64 {
    free_at[engine] = free_at[engine].max(now) + work_ms;
    free_at[engine]
}
