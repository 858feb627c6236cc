//! Placement: the choice of a model version and of an upstream for each request.

use rand::{Rng, RngExt};

use crate::ids::{Generation, ModelKey, ServiceKey, TeamKey, UpstreamKey, VersionKey, ZoneKey};
use crate::refusal::Refusal;
use crate::rules::ConfigSnapshot;
use crate::units::Usage;

/// `Target` is the model or version that a caller requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Any model that the team may use.
    Any,
    /// Any version of the given model.
    Model(ModelKey),
    /// The given version.
    Version(VersionKey),
}

/// `VersionRequirements` lists the requirements by which [`choose_version`] selects a version.
#[derive(Debug, Clone, Copy)]
pub struct VersionRequirements {
    /// The team that is billed.
    pub team: TeamKey,
    /// The model or version that the caller requested.
    pub target: Target,
    /// The minimum quality that the caller accepts, from 0 to 1.
    pub quality_min: f64,
    /// Expected number of prompt and completion tokens, from which the cost is estimated.
    pub expected: Usage,
}

/// `Workload` is what an upstream must serve to be eligible for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// A version of a model.
    Version(VersionKey),
    /// A plain service.
    Service(ServiceKey),
}

/// `LocalUpstreamState` is what this node itself knows about an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct LocalUpstreamState {
    /// Requests that this node has in flight to the upstream.
    pub in_flight: u32,
    /// Whether the node avoids the upstream because a recent connection or request to it failed.
    pub is_suspect: bool,
}

/// `Permit` allows a request to be sent to an upstream under one generation of the rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permit {
    /// Generation of the rules against which the placement was confirmed.
    pub generation: Generation,
    /// Name of the upstream.
    pub upstream: String,
}

/// Returns the cheapest version that the team may use and that meets the minimum quality.
///
/// A version that the caller named is returned whatever its quality. A version under roll-out
/// receives its percentage of the requests of its predecessor; its own quality is not compared with
/// the minimum.
///
/// # Errors
///
/// Returns the refusal for the requirement that no version meets.
pub fn choose_version(
    snapshot: &ConfigSnapshot,
    requirements: &VersionRequirements,
    rng: &mut impl Rng,
) -> Result<VersionKey, Refusal> {
    if let Target::Version(version) = requirements.target {
        return check_version(snapshot, requirements.team, version).map(|()| version);
    }
    let team = snapshot.teams.at(requirements.team);
    let mut requested =
        team.versions.iter().copied().filter(|&key| matches_target(snapshot, requirements, key));
    if requested.clone().next().is_none() {
        return Err(Refusal::Forbidden(target_name(snapshot, requirements.target)));
    }
    // A version under roll-out gets requests only as a percentage of its predecessor's.
    let eligible = requested.clone().filter(|&key| {
        let version = snapshot.versions.at(key);
        version.rollout.is_none()
            && version.quality >= requirements.quality_min
            && snapshot.is_in_service(key)
    });
    let cheapest = eligible.min_by_key(|&key| {
        let version = snapshot.versions.at(key);
        (version.price.cost_micros(requirements.expected), key)
    });
    match cheapest {
        Some(version) => Ok(apply_rollout(snapshot, requirements, version, rng)),

        None if requested.any(|key| snapshot.is_in_service(key)) => {
            Err(Refusal::QualityUnmet(format!("{}", requirements.quality_min)))
        }

        None => Err(Refusal::NoUpstream(target_name(snapshot, requirements.target))),
    }
}

/// Checks that a version may take new requests of a team.
///
/// # Errors
///
/// Returns the refusal if the team may not use the version, or if it is withdrawn or unavailable.
pub fn check_version(
    snapshot: &ConfigSnapshot,
    team: TeamKey,
    version: VersionKey,
) -> Result<(), Refusal> {
    let name = || snapshot.versions.at(version).name.clone();
    match snapshot.teams.at(team).versions.contains(&version) {
        false => Err(Refusal::Forbidden(name())),

        true if snapshot.versions.at(version).is_withdrawn => {
            Err(Refusal::VersionWithdrawn(name()))
        }

        true if !snapshot.has_available_upstream(version) => Err(Refusal::NoUpstream(name())),

        true => Ok(()),
    }
}

/// Returns the upstream to try next, or `None` if all available ones were tried.
///
/// Prefers upstreams with free capacity in the nearest zone, and picks the less loaded one of two
/// random choices.
pub fn choose_upstream(
    snapshot: &ConfigSnapshot,
    workload: Workload,
    home_zone: Option<ZoneKey>,
    tried: &[UpstreamKey],
    load: impl Fn(UpstreamKey) -> LocalUpstreamState,
    rng: &mut impl Rng,
) -> Option<UpstreamKey> {
    let candidates: Vec<UpstreamKey> = snapshot
        .upstreams_of(workload)
        .iter()
        .copied()
        .filter(|key| snapshot.is_available(*key) && !tried.contains(key))
        .collect();
    // Upstreams that recently failed are only used if there are no others.
    let healthy: Vec<UpstreamKey> =
        candidates.iter().copied().filter(|&key| !load(key).is_suspect).collect();
    let usable = if healthy.is_empty() { candidates } else { healthy };

    let has_capacity =
        |key: &UpstreamKey| load(*key).in_flight < snapshot.upstreams.at(*key).concurrency;
    let distances = usable
        .iter()
        .filter(|key| has_capacity(key))
        .map(|&key| zone_distance(snapshot, home_zone, key));
    let choices: Vec<UpstreamKey> = match distances.min() {
        Some(nearest) => usable
            .into_iter()
            .filter(|key| has_capacity(key) && zone_distance(snapshot, home_zone, *key) == nearest)
            .collect(),

        // All are at capacity, so the request waits in an engine's queue. The zone is ignored.
        None => usable,
    };
    let first = *pick_random(&choices, rng)?;
    let second = *pick_random(&choices, rng)?;
    let load_ratio = |key: UpstreamKey| {
        f64::from(load(key).in_flight) / f64::from(snapshot.upstreams.at(key).concurrency.max(1))
    };
    if load_ratio(second) < load_ratio(first) { Some(second) } else { Some(first) }
}

/// Confirms against the active snapshot that an upstream may take a request of a team.
///
/// Called immediately before the request is sent, possibly under a newer snapshot than the one that
/// placed it. Hence the arguments are names: keys are only valid within one snapshot.
///
/// # Errors
///
/// Returns the refusal if the request may no longer be sent to the upstream.
pub fn confirm_placement(
    snapshot: &ConfigSnapshot,
    team: &str,
    workload_name: &str,
    upstream: &str,
) -> Result<Permit, Refusal> {
    // A newer snapshot may have removed the team after the request was authenticated.
    let team_key = snapshot.teams.find(team).ok_or(Refusal::UnknownKey)?;
    let resolved_workload = match snapshot.find_workload(workload_name) {
        Some(Workload::Version(version)) => {
            check_version(snapshot, team_key, version)?;
            Workload::Version(version)
        }

        Some(Workload::Service(service))
            if snapshot.teams.at(team_key).services.contains(&service) =>
        {
            Workload::Service(service)
        }

        _ => return Err(Refusal::Forbidden(workload_name.to_owned())),
    };
    match snapshot.upstreams.find(upstream) {
        Some(key)
            if snapshot.is_available(key)
                && snapshot.upstreams_of(resolved_workload).contains(&key) =>
        {
            Ok(Permit { generation: snapshot.generation, upstream: upstream.to_owned() })
        }

        _ => Err(Refusal::NoUpstream(workload_name.to_owned())),
    }
}

/// Selects a version under roll-out instead of its predecessor for the roll-out's percentage of
/// requests.
fn apply_rollout(
    snapshot: &ConfigSnapshot,
    requirements: &VersionRequirements,
    predecessor: VersionKey,
    rng: &mut impl Rng,
) -> VersionKey {
    let team = snapshot.teams.at(requirements.team);
    let mut draw = rng.random_range(0.0..100.0);
    for &candidate in &team.versions {
        let percent_of_requests = match snapshot.versions.at(candidate).rollout {
            Some(rollout) if rollout.from == predecessor && snapshot.is_in_service(candidate) => {
                rollout.percent
            }
            _ => continue,
        };
        if draw < percent_of_requests {
            return candidate;
        }
        draw -= percent_of_requests;
    }
    predecessor
}

/// Returns `true` if the requested target includes the version.
fn matches_target(
    snapshot: &ConfigSnapshot,
    requirements: &VersionRequirements,
    version: VersionKey,
) -> bool {
    match requirements.target {
        Target::Any => true,
        Target::Model(model) => snapshot.versions.at(version).model == model,
        Target::Version(wanted) => wanted == version,
    }
}

/// Returns the name of a target for error messages.
fn target_name(snapshot: &ConfigSnapshot, target: Target) -> String {
    match target {
        Target::Any => "auto".to_owned(),
        Target::Model(model) => snapshot.models.at(model).name.clone(),
        Target::Version(version) => snapshot.versions.at(version).name.clone(),
    }
}

/// Returns 0 for the same availability zone, 1 for another one of the region and 2 otherwise.
fn zone_distance(
    snapshot: &ConfigSnapshot,
    home_zone: Option<ZoneKey>,
    upstream: UpstreamKey,
) -> u8 {
    let zone = snapshot.upstreams.at(upstream).zone;
    match home_zone {
        Some(home_zone) if home_zone == zone => 0,
        Some(home_zone)
            if snapshot.zones.at(home_zone).region == snapshot.zones.at(zone).region =>
        {
            1
        }
        _ => 2,
    }
}

/// Returns a uniformly random item, or `None` if there are no items.
fn pick_random<'a, T>(items: &'a [T], rng: &mut impl Rng) -> Option<&'a T> {
    match items.len() {
        0 => None,
        count => items.get(rng.random_range(0..count)),
    }
}
