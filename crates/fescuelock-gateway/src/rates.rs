//! Exchanges work per team and the speed of upstreams with the other nodes.
//!
//! They change more slowly than load, so only some of the reports hold them.

use std::collections::HashMap;

use fescuelock_policy::upstream_speed::SpeedSample;

use crate::fleet::Fleet;
use crate::node_state::NodeState;

/// Age at which the rates of another node no longer count, in milliseconds. In a fleet of 58 nodes three
/// quarters of the others are heard of within it.
const RATES_MAX_AGE_MS: u64 = 6_000;

/// Maximum number of teams and services in one report, at about 13 bytes each: those with the most work.
const TEAMS_MAX: usize = 64;

/// Maximum number of upstreams of which a report holds the speed, at about 10 bytes each: those with the
/// most samples, which are those of plain services.
const SPEEDS_MAX: usize = 16;

/// `Rates` is the work per team and the speed of upstreams as one node sees them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rates {
    /// Work in milliseconds per second, by hash of service and team. Empty while nothing waits.
    pub teams: Vec<(u64, u32)>,
    /// Samples of the speed of upstreams: low 32 bits of the hash of the upstream's id, sum of the
    /// logarithms of the ratios in hundredths, and count.
    pub speeds: Vec<(u32, i32, u32)>,
}

/// `PeerRates` holds the rates that other nodes have reported.
#[derive(Debug, Default)]
pub struct PeerRates {
    by_node: HashMap<u64, (u64, Rates)>,
}

impl PeerRates {
    /// Replaces the rates of another node, given the hash of its name.
    pub fn record(&mut self, node: u64, rates: Rates, now_ms: u64) {
        self.by_node.insert(node, (now_ms, rates));
    }

    /// Forgets the rates that are too old to count.
    fn expire(&mut self, now_ms: u64) {
        self.by_node.retain(|_, (at_ms, _)| now_ms.saturating_sub(*at_ms) < RATES_MAX_AGE_MS);
    }

    /// Returns the work by hash of service and team, and the number of nodes that it is the sum of.
    fn teams(&self) -> (HashMap<u64, f64>, usize) {
        let mut sums: HashMap<u64, f64> = HashMap::new();
        let reporting = self.by_node.values().filter(|(_, rates)| !rates.teams.is_empty());
        let mut nodes = 0;
        for (_, rates) in reporting {
            nodes += 1;
            for &(team, work) in &rates.teams {
                *sums.entry(team).or_default() += f64::from(work);
            }
        }
        (sums, nodes)
    }

    /// Returns the sums of the samples of each upstream.
    fn speeds(&self) -> HashMap<u32, SpeedSample> {
        let mut sums: HashMap<u32, SpeedSample> = HashMap::new();
        let reported = self.by_node.values().flat_map(|(_, rates)| &rates.speeds);
        for &(upstream, log_ratio_sum, count) in reported {
            let sum = sums.entry(upstream).or_default();
            sum.log_ratio_sum = sum.log_ratio_sum.saturating_add(log_ratio_sum);
            sum.count = sum.count.saturating_add(count);
        }
        sums
    }
}

/// Returns what this node reports of its own.
pub fn own(node_state: &NodeState) -> Rates {
    let now_ms = node_state.now_ms();
    let mut teams = match node_state.waiting_room.is_contended(now_ms) {
        true => node_state.waiting_room.own_work(now_ms),
        false => Vec::new(),
    };
    teams.sort_unstable_by_key(|(_, work)| std::cmp::Reverse(*work));
    teams.truncate(TEAMS_MAX);
    Rates { teams, speeds: own_speeds(&node_state.fleet(), now_ms) }
}

fn own_speeds(fleet: &Fleet, now_ms: u64) -> Vec<(u32, i32, u32)> {
    let samples = fleet.upstreams.values().filter_map(|upstream| {
        let sample = upstream.speed.own_report(now_ms)?;
        Some((upstream.hash as u32, sample.log_ratio_sum, sample.count))
    });
    let mut speeds: Vec<(u32, i32, u32)> = samples.collect();
    speeds.sort_unstable_by_key(|(.., count)| std::cmp::Reverse(*count));
    speeds.truncate(SPEEDS_MAX);
    speeds
}

/// Applies the rates of the other nodes to the shares of teams and to the speeds of upstreams. Without
/// any, this node goes by its own.
pub fn apply(node_state: &NodeState) {
    let now_ms = node_state.now_ms();
    let (teams, nodes, speeds) = {
        let mut peer_rates = node_state.peer_rates();
        peer_rates.expire(now_ms);
        let (teams, nodes) = peer_rates.teams();
        (teams, nodes, peer_rates.speeds())
    };
    let mut fleet = node_state.fleet();
    let known_nodes = fleet.node_count();
    if !speeds.is_empty() {
        for upstream in fleet.upstreams.values_mut() {
            if let Some(sample) = speeds.get(&(upstream.hash as u32)) {
                upstream.speed.set_reported(*sample, now_ms);
            }
        }
    }
    drop(fleet);
    if nodes == 0 {
        return;
    }
    let mut work = teams;
    for (team, own) in node_state.waiting_room.own_work(now_ms) {
        *work.entry(team).or_default() += f64::from(own);
    }
    let work: Vec<(u64, f64)> = work.into_iter().collect();
    let coverage = (nodes + 1) as f64 / known_nodes.max(nodes + 1) as f64;
    node_state.waiting_room.set_fleet_work(&work, coverage, now_ms);
}
