//! Fair shares of teams by measured work.
//!
//! Handles a team that sends many times its usual load. While requests of several teams wait for the same
//! upstreams, each team may use as much as it needs up to a common level, weighted by priority; a team
//! above the level is over its share. What the others leave unused goes to whoever asks for it.
//!
//! Work is a decaying sum, so a team that was idle has no claim on past capacity and one that has just
//! ended its burst pays for it for a few seconds at most. The work of all nodes counts if it is known, and
//! this node's own work otherwise.

use std::collections::HashMap;

/// Time constant of the decay of measured work, in milliseconds. A share should follow a burst within
/// some objectives, which are 0.15 to 4 s.
const WORK_DECAY_MS: f64 = 2_000.0;

/// Age at which the work of all nodes no longer counts, in milliseconds. Reports are a few hundred
/// milliseconds apart, and the oldest load in use is to be 1.5 s old.
const FLEET_WORK_MAX_AGE_MS: u64 = 3_000;

/// Most teams that are tracked. Those with the least work are forgotten first.
const TEAMS_MAX: usize = 256;

/// Work that a team always may use, as a share of what it would get if all were served equally often. By
/// the rules of load management no team is served less than a quarter as often as requests overall.
const PROPORTIONAL_SHARE_MIN: f64 = 0.3;

/// Weight of a team without a priority: that of the second rank, so that the first one is above it.
const WEIGHT_DEFAULT: f64 = 0.5;

/// Smallest weight of a team. The first rank has four times as much.
const WEIGHT_MIN: f64 = 0.25;

/// Returns the weight of a team in the sharing of capacity. Priority 0 is the highest.
pub fn team_weight(priority: Option<u32>) -> f64 {
    priority.map_or(WEIGHT_DEFAULT, |priority| (1.0 / (1.0 + f64::from(priority))).max(WEIGHT_MIN))
}

/// `DecayingSum` is a sum of work that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingSum {
    sum_ms: f64,
    updated_ms: u64,
}

impl DecayingSum {
    fn add(&mut self, work_ms: f64, now_ms: u64) {
        self.sum_ms = self.value_ms(now_ms) + work_ms;
        self.updated_ms = now_ms;
    }

    fn value_ms(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.sum_ms * (-elapsed_ms / WORK_DECAY_MS).exp()
    }

    /// Returns the work in milliseconds per second.
    fn rate_ms_per_s(&self, now_ms: u64) -> f64 {
        self.value_ms(now_ms) / WORK_DECAY_MS * 1_000.0
    }
}

/// `TeamWork` is what one team asks for and gets.
#[derive(Debug, Clone, Copy, Default)]
struct TeamWork {
    weight: Option<f64>,
    started: DecayingSum,
    offered: DecayingSum,
    fleet_ms_per_s: f64,
}

/// `TeamUse` is the capacity that a team uses and needs, in milliseconds of work per second.
#[derive(Debug, Clone, Copy)]
struct TeamUse {
    team: u64,
    weight: f64,
    used: f64,
    needed: f64,
}

/// `TeamShares` holds the work of the teams at the upstreams of one service.
#[derive(Debug, Clone, Default)]
pub struct TeamShares {
    teams: HashMap<u64, TeamWork>,
    fleet_set_ms: Option<u64>,
}

impl TeamShares {
    /// Sets the weight of a team, which is [`team_weight`] of its priority.
    pub fn set_weight(&mut self, team: u64, weight: f64, now_ms: u64) {
        self.entry(team, now_ms).weight = Some(weight);
    }

    /// Records work of a team that starts at an upstream, in milliseconds.
    pub fn record_work(&mut self, team: u64, work_ms: f64, now_ms: u64) {
        self.entry(team, now_ms).started.add(work_ms, now_ms);
    }

    /// Records work that a team asks for, whether it is served or not, in milliseconds.
    pub fn record_offered(&mut self, team: u64, work_ms: f64, now_ms: u64) {
        self.entry(team, now_ms).offered.add(work_ms, now_ms);
    }

    /// Returns this node's work by team, in milliseconds per second, without idle teams.
    pub fn own_work(&self, now_ms: u64) -> Vec<(u64, u32)> {
        let rates = self
            .teams
            .iter()
            .map(|(&team, work)| (team, work.started.rate_ms_per_s(now_ms).round() as u32));
        let mut rates: Vec<(u64, u32)> = rates.filter(|(_, rate)| *rate > 0).collect();
        rates.sort_unstable();
        rates
    }

    /// Sets the work by team of all nodes, in milliseconds per second. `coverage` is the share of the
    /// nodes that it comes from; the others are taken to be alike.
    pub fn set_fleet_work(&mut self, work_ms_per_s: &[(u64, f64)], coverage: f64, now_ms: u64) {
        // Values from other nodes may be implausible.
        let is_usable = |rate: f64| rate.is_finite() && rate >= 0.0;
        if !is_usable(coverage) || coverage <= 0.0 {
            return;
        }
        self.teams.values_mut().for_each(|work| work.fleet_ms_per_s = 0.0);
        for &(team, rate) in work_ms_per_s.iter().filter(|(_, rate)| is_usable(*rate)) {
            self.entry(team, now_ms).fleet_ms_per_s = rate / coverage.min(1.0);
        }
        self.fleet_set_ms = Some(now_ms);
    }

    /// Returns the age of the work of all nodes, in milliseconds, if it is known and recent enough to
    /// count.
    pub fn fleet_age_ms(&self, now_ms: u64) -> Option<u64> {
        let age_ms = now_ms.saturating_sub(self.fleet_set_ms?);
        (age_ms < FLEET_WORK_MAX_AGE_MS).then_some(age_ms)
    }

    /// Returns a team's part of all work, from 0 to 1.
    pub fn used_share(&self, team: u64, now_ms: u64) -> f64 {
        let uses = self.uses(now_ms);
        let total: f64 = uses.iter().map(|team_use| team_use.used).sum();
        let used = uses.iter().find(|team_use| team_use.team == team);
        used.map_or(0.0, |team_use| team_use.used / total.max(f64::MIN_POSITIVE))
    }

    /// Returns whether a team is over its share while the teams in `waiting` have waiting requests.
    pub fn is_over_share(&self, team: u64, waiting: &[u64], now_ms: u64) -> bool {
        self.over_share(waiting, now_ms).contains(&team)
    }

    /// Returns the teams that are over their share while the teams in `waiting` have waiting requests. It
    /// is empty if only one team waits.
    pub fn over_share(&self, waiting: &[u64], now_ms: u64) -> Vec<u64> {
        let Some(first) = waiting.first() else {
            return Vec::new();
        };
        if waiting.iter().all(|team| team == first) {
            return Vec::new();
        }
        let uses = self.uses(now_ms);
        let used: f64 = uses.iter().map(|team_use| team_use.used).sum();
        let needed: f64 = uses.iter().map(|team_use| team_use.needed).sum();
        let served_share = used / needed.max(f64::MIN_POSITIVE);
        let level = fair_level(&uses, used);
        let over = uses.iter().filter(|team_use| {
            let share = team_use.weight * level;
            let proportional = PROPORTIONAL_SHARE_MIN * team_use.needed * served_share;
            team_use.used > share.max(proportional)
        });
        over.map(|team_use| team_use.team).collect()
    }

    /// Returns what the teams use and need, in the fleet if known and at this node otherwise.
    fn uses(&self, now_ms: u64) -> Vec<TeamUse> {
        let is_fleet_known = self.fleet_age_ms(now_ms).is_some();
        let uses = self.teams.iter().map(|(&team, work)| {
            let started = work.started.rate_ms_per_s(now_ms);
            let offered = work.offered.rate_ms_per_s(now_ms).max(started);
            let used = if is_fleet_known { work.fleet_ms_per_s } else { started };
            // Only this node's own refusals are known. Callers spread over all nodes alike.
            let need_ratio = if started > 0.0 { offered / started } else { 1.0 };
            let needed = (used * need_ratio).max(offered);
            TeamUse { team, weight: work.weight.unwrap_or(WEIGHT_DEFAULT), used, needed }
        });
        uses.collect()
    }

    fn entry(&mut self, team: u64, now_ms: u64) -> &mut TeamWork {
        if self.teams.len() >= TEAMS_MAX && !self.teams.contains_key(&team) {
            let demand_ms = |work: &TeamWork| work.offered.value_ms(now_ms) + work.fleet_ms_per_s;
            let least = self.teams.iter().min_by(|a, b| demand_ms(a.1).total_cmp(&demand_ms(b.1)));
            if let Some(least) = least.map(|(&team, _)| team) {
                self.teams.remove(&least);
            }
        }
        self.teams.entry(team).or_default()
    }
}

/// Returns the work per weight up to which every team may use what it needs, so that all of `capacity`
/// is used: the level of weighted max-min fairness.
fn fair_level(uses: &[TeamUse], capacity: f64) -> f64 {
    let mut by_need: Vec<(f64, f64)> =
        uses.iter().map(|team_use| (team_use.needed / team_use.weight, team_use.weight)).collect();
    by_need.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut left = capacity;
    let mut weights: f64 = by_need.iter().map(|(_, weight)| weight).sum();
    for (need, weight) in by_need {
        let level = left / weights;
        if need > level {
            return level;
        }
        left -= need * weight;
        weights -= weight;
    }
    f64::INFINITY
}
