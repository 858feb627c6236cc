//! All nodes together stay within the limit that an upstream states, and use it.

use std::collections::BTreeMap;

use fescuelock_policy::cold_start::node_rank;
use fescuelock_policy::stated_limit::{
    LimitChange, LimitReport, StatedLimit, allowed_in_window, node_rate_per_s,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of the window of the limit, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Time after the first statement from which the limit applies, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Hash of the upstream.
const UPSTREAM: u64 = 77;

/// `Day` describes a simulated day of a fleet whose nodes send whenever they may.
#[derive(Debug, Clone, Copy)]
struct Day {
    nodes: u64,
    per_s: f64,
    /// Whether nodes are added, killed and frozen, each more than once.
    has_disruptions: bool,
    seed: u64,
}

struct Node {
    limit: StatedLimit,
    members: Vec<u64>,
    /// The node's share of the limit, by its members.
    rate_per_s: f64,
    frozen_until_ms: u64,
}

impl Node {
    fn update_rate(&mut self, name: u64, per_s: f64) {
        let rank = node_rank(name, self.members.iter().copied(), UPSTREAM);
        self.rate_per_s = node_rate_per_s(per_s, rank, self.members.len());
    }
}

/// Plays a day in which an upstream states a limit from 2 s on, and returns the times at which it
/// gets requests. Nodes always have a request to send.
fn play(day: &Day) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(day.seed);
    let name = |index: u64| index * 7_919 + 13;
    let members: Vec<u64> = (0..day.nodes).map(name).collect();
    let new_node = |members: &[u64]| Node {
        limit: StatedLimit::default(),
        members: members.to_vec(),
        rate_per_s: 0.0,
        frozen_until_ms: 0,
    };
    let mut nodes: BTreeMap<u64, Node> =
        members.iter().map(|&name| (name, new_node(&members))).collect();
    let mut next_name = day.nodes;
    let mut sent = Vec::new();
    for now_ms in (2_000..40_000_u64).step_by(5) {
        if day.has_disruptions && now_ms.is_multiple_of(2_000) {
            let names: Vec<u64> = nodes.keys().copied().collect();
            for _ in 0..day.nodes.div_ceil(8) {
                let victim = names[rng.random_range(0..names.len())];
                match rng.random_range(0..3) {
                    0 => {
                        // A node is lost, and another one takes its place.
                        nodes.remove(&victim);
                        let added = name(next_name);
                        next_name += 1;
                        let known: Vec<u64> = nodes.keys().copied().chain([added]).collect();
                        nodes.insert(added, new_node(&known));
                    }
                    1 => {
                        if let Some(node) = nodes.get_mut(&victim) {
                            node.frozen_until_ms = now_ms + rng.random_range(500..4_000);
                        }
                    }
                    _ => {
                        // The process starts again under its name.
                        let known: Vec<u64> = nodes.keys().copied().collect();
                        nodes.insert(victim, new_node(&known));
                    }
                }
            }
        }
        // Reports reach all nodes within a second; lost nodes are remembered for longer.
        if now_ms.is_multiple_of(500) {
            let names: Vec<u64> = nodes.keys().copied().collect();
            let awake = nodes.iter_mut().filter(|(_, node)| now_ms >= node.frozen_until_ms);
            for (&name, node) in awake {
                node.members.extend(&names);
                node.members.sort_unstable();
                node.members.dedup();
                let report = LimitReport { per_s: Some(day.per_s), age_ms: 100 };
                node.limit.apply_report(&report, now_ms);
                node.update_rate(name, day.per_s);
            }
        }
        for node in nodes.values_mut() {
            if now_ms < node.frozen_until_ms || node.limit.per_s().is_none() {
                continue;
            }
            if node.limit.wait_ms(node.rate_per_s, now_ms) <= 0.0 {
                node.limit.take_token(node.rate_per_s, now_ms);
                // Requests are delayed in transit by different times.
                sent.push(now_ms + rng.random_range(0..200));
                node.limit.record_answer(Some(day.per_s), now_ms, now_ms);
            }
        }
    }
    sent.sort_unstable();
    sent
}

fn most_in_window(sent: &[u64]) -> usize {
    let applies: Vec<u64> =
        sent.iter().copied().filter(|&at_ms| at_ms >= 2_000 + CONTACT_MS).collect();
    let in_window = applies.iter().map(|&start_ms| {
        applies.iter().filter(|&&at_ms| at_ms >= start_ms && at_ms < start_ms + WINDOW_MS).count()
    });
    in_window.max().unwrap_or(0)
}

#[test]
fn limit_exceeded() {
    for nodes in [1, 8, 40, 195, 330] {
        for per_s in [0.3, 1.0, 2.1, 12.0, 60.0] {
            for has_disruptions in [false, true] {
                for seed in 1..=3 {
                    let day = Day { nodes, per_s, has_disruptions, seed };
                    let most = most_in_window(&play(&day));
                    let allowed = allowed_in_window(per_s);
                    assert!(most as f64 <= allowed, "{most} of {allowed} allowed: {day:?}");
                }
            }
        }
    }
}

#[test]
fn share_unused() {
    for nodes in [8, 40, 195, 330] {
        for per_s in [1.0, 2.1, 12.0] {
            let day = Day { nodes, per_s, has_disruptions: false, seed: 1 };
            let sent = play(&day).len() as f64;
            assert!(sent >= 0.7 * 38.0 * per_s, "{sent} requests in 38 s: {day:?}");
        }
    }
}

#[test]
fn limit_ended_by_silence() {
    let mut limit = StatedLimit::default();
    assert_eq!(limit.record_answer(Some(2.0), 900, 1_000), Some(LimitChange::Stated(2.0)));
    assert!(limit.wait_ms(0.5, 1_000) > 0.0, "the bucket is full at first");
    assert_eq!(limit.per_s(), Some(2.0));
    // An answer to an earlier request arrives late.
    assert_eq!(limit.record_answer(None, 990, 1_100), None);
    assert_eq!(limit.record_answer(Some(1.5), 1_200, 1_300), Some(LimitChange::Stated(1.5)));
    assert_eq!(limit.wait_ms(0.0, 600_000), f64::INFINITY, "a node that does not send");
    assert_eq!(limit.per_s(), Some(1.5), "a long silence");
    assert_eq!(limit.record_answer(None, 600_000, 600_050), Some(LimitChange::Ended));
    assert_eq!(limit.wait_ms(0.0, 600_050), 0.0);
}

#[test]
fn older_report() {
    let (mut first, mut second) = (StatedLimit::default(), StatedLimit::default());
    first.record_answer(Some(2.0), 900, 1_000);
    let stated = first.report(false, 1_100).expect("a new limit is reported");
    assert_eq!(second.apply_report(&stated, 5_000), Some(LimitChange::Stated(2.0)));
    second.record_answer(None, 6_000, 6_100);
    // The report of a node that has not heard of the end yet.
    let old = first.report(true, 3_000).expect("a limit in force is in full reports");
    assert_eq!(second.apply_report(&LimitReport { age_ms: 2_000, ..old }, 7_000), None);
    let ended = second.report(false, 6_200).expect("an ended limit is reported");
    assert_eq!(first.apply_report(&ended, 3_200), Some(LimitChange::Ended));
    assert_eq!(first.report(true, 60_000), None, "nothing to report without a limit");
}
