//! The placement decision: which version takes a request, and which upstream.

use rand::{Rng, RngExt};

use crate::ids::{Generation, ModelKey, ServiceKey, TeamKey, UpstreamKey, VersionKey, ZoneKey};
use crate::refusal::Refusal;
use crate::rules::View;
use crate::units::Usage;

/// `Target` is what a caller asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Any model that the team may use.
    Any,
    /// Any version of one model.
    Model(ModelKey),
    /// One version.
    Version(VersionKey),
}

/// `Demand` is the input of the choice of a version.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// The team that pays.
    pub team: TeamKey,
    /// What the caller asked for.
    pub target: Target,
    /// The least quality that the caller accepts, from 0 to 1.
    pub quality_min: f64,
    /// Expected tokens of prompt and answer.
    pub expected: Usage,
}

/// `Serving` is what an upstream must serve to take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Serving {
    /// A version of a model.
    Version(VersionKey),
    /// A plain service.
    Service(ServiceKey),
}

/// `Load` is what a node knows of an upstream's state.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Requests that this node has in flight there.
    pub in_flight: u32,
    /// Whether recent connections failed.
    pub suspect: bool,
}

/// `Permit` states that a request may be sent to an upstream under the named generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permit {
    /// Generation of the rules that the permit was confirmed against.
    pub generation: Generation,
    /// Name of the upstream.
    pub upstream: String,
}

/// Returns the cheapest version that the team may use and that meets the quality need.
///
/// A version under roll-out takes its share of the requests that would go to its predecessor.
///
/// # Errors
///
/// Returns the refusal that tells the caller which condition no version meets.
pub fn choose_version(
    view: &View,
    demand: &Demand,
    rng: &mut impl Rng,
) -> Result<VersionKey, Refusal> {
    if let Target::Version(version) = demand.target {
        return check_version(view, demand.team, version).map(|()| version);
    }
    let team = view.teams.at(demand.team);
    let mut asked = team.versions.iter().copied().filter(|&key| is_targeted(view, demand, key));
    if asked.clone().next().is_none() {
        return Err(Refusal::Forbidden(target_name(view, demand.target)));
    }
    // A version that is still rolled out is reached through its predecessor's share alone.
    let eligible = asked.clone().filter(|&key| {
        let version = view.versions.at(key);
        version.rollout.is_none()
            && version.quality >= demand.quality_min
            && view.is_in_service(key)
    });
    let cheapest = eligible.min_by_key(|&key| {
        let version = view.versions.at(key);
        (version.price.cost_micros(demand.expected), key)
    });
    match cheapest {
        Some(version) => Ok(apply_rollout(view, demand, version, rng)),

        None if asked.any(|key| view.is_in_service(key)) => {
            Err(Refusal::QualityUnmet(format!("{}", demand.quality_min)))
        }

        None => Err(Refusal::NoUpstream(target_name(view, demand.target))),
    }
}

/// Checks that a named version may take new work of a team.
///
/// # Errors
///
/// Returns why the version may not take it.
pub fn check_version(view: &View, team: TeamKey, version: VersionKey) -> Result<(), Refusal> {
    let name = || view.versions.at(version).name.clone();
    match view.teams.at(team).versions.contains(&version) {
        false => Err(Refusal::Forbidden(name())),

        true if view.versions.at(version).withdrawn => Err(Refusal::VersionWithdrawn(name())),

        true if !view.has_live_upstream(version) => Err(Refusal::NoUpstream(name())),

        true => Ok(()),
    }
}

/// Returns the upstream to try next: the nearest zone first, the less loaded of two random ones.
pub fn choose_upstream(
    view: &View,
    serving: Serving,
    home: Option<ZoneKey>,
    tried: &[UpstreamKey],
    load: impl Fn(UpstreamKey) -> Load,
    rng: &mut impl Rng,
) -> Option<UpstreamKey> {
    let open: Vec<UpstreamKey> = view
        .upstreams_of(serving)
        .iter()
        .copied()
        .filter(|key| view.is_live(*key) && !tried.contains(key))
        .collect();
    // Suspect upstreams are used only when there is no other.
    let healthy: Vec<UpstreamKey> =
        open.iter().copied().filter(|&key| !load(key).suspect).collect();
    let usable = if healthy.is_empty() { open } else { healthy };

    let with_room = |key: &UpstreamKey| load(*key).in_flight < view.upstreams.at(*key).concurrency;
    let nearest = usable.iter().filter(|key| with_room(key)).map(|&key| distance(view, home, key));
    let group: Vec<UpstreamKey> = match nearest.min() {
        Some(nearest) => usable
            .into_iter()
            .filter(|key| with_room(key) && distance(view, home, *key) == nearest)
            .collect(),

        // All are full: the engine's own queue decides, and any zone will do.
        None => usable,
    };
    let first = *pick(&group, rng)?;
    let second = *pick(&group, rng)?;
    let pressure = |key: UpstreamKey| {
        f64::from(load(key).in_flight) / f64::from(view.upstreams.at(key).concurrency.max(1))
    };
    if pressure(second) < pressure(first) { Some(second) } else { Some(first) }
}

/// Confirms, against the view now in force, that an upstream may take a request of a team.
///
/// This is called just before the bytes go out. Names are used because keys belong to one view.
///
/// # Errors
///
/// Returns why the request may no longer be sent there.
pub fn confirm(view: &View, team: &str, serving: &str, upstream: &str) -> Result<Permit, Refusal> {
    let team_key = view.teams.find(team).ok_or(Refusal::UnknownKey)?;
    let serving_key = match view.find_serving(serving) {
        Some(Serving::Version(version)) => {
            check_version(view, team_key, version)?;
            Serving::Version(version)
        }

        Some(Serving::Service(service)) if view.teams.at(team_key).services.contains(&service) => {
            Serving::Service(service)
        }

        _ => return Err(Refusal::Forbidden(serving.to_owned())),
    };
    match view.upstreams.find(upstream) {
        Some(key) if view.is_live(key) && view.upstreams_of(serving_key).contains(&key) => {
            Ok(Permit { generation: view.generation, upstream: upstream.to_owned() })
        }

        _ => Err(Refusal::NoUpstream(serving.to_owned())),
    }
}

/// Moves a request to a version under roll-out when the draw falls into its share.
fn apply_rollout(
    view: &View,
    demand: &Demand,
    predecessor: VersionKey,
    rng: &mut impl Rng,
) -> VersionKey {
    let team = view.teams.at(demand.team);
    let mut draw = rng.random_range(0.0..100.0);
    for &candidate in &team.versions {
        let share = match view.versions.at(candidate).rollout {
            Some(rollout) if rollout.from == predecessor && view.is_in_service(candidate) => {
                rollout.percent
            }
            _ => continue,
        };
        if draw < share {
            return candidate;
        }
        draw -= share;
    }
    predecessor
}

/// Tells whether a version is among those that the caller asked for.
fn is_targeted(view: &View, demand: &Demand, version: VersionKey) -> bool {
    match demand.target {
        Target::Any => true,
        Target::Model(model) => view.versions.at(version).model == model,
        Target::Version(wanted) => wanted == version,
    }
}

/// Returns the name of a target for messages.
fn target_name(view: &View, target: Target) -> String {
    match target {
        Target::Any => "auto".to_owned(),
        Target::Model(model) => view.models.at(model).name.clone(),
        Target::Version(version) => view.versions.at(version).name.clone(),
    }
}

/// Returns 0 for the same availability zone, 1 for the same region and 2 for all others.
fn distance(view: &View, home: Option<ZoneKey>, upstream: UpstreamKey) -> u8 {
    let zone = view.upstreams.at(upstream).zone;
    match home {
        Some(home) if home == zone => 0,
        Some(home) if view.zones.at(home).region == view.zones.at(zone).region => 1,
        _ => 2,
    }
}

/// Picks one item at random.
fn pick<'a, T>(items: &'a [T], rng: &mut impl Rng) -> Option<&'a T> {
    match items.len() {
        0 => None,
        count => items.get(rng.random_range(0..count)),
    }
}
