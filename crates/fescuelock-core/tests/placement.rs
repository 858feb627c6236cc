//! The choice of versions and upstreams, and its confirmation before a request is sent.

use std::collections::BTreeMap;

use fescuelock_core::ids::Generation;
use fescuelock_core::placement::{
    LocalUpstreamState, Target, VersionRequirements, Workload, choose_upstream, choose_version,
    confirm_placement,
};
use fescuelock_core::refusal::Refusal;
use fescuelock_core::rules::{ConfigSnapshot, check};
use fescuelock_core::units::Usage;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of placements from which the share of each version is measured.
const PLACEMENTS: u32 = 10_000;

const RULES: &str = "\
zone a region=r  # asked by Ann
zone b region=r  # asked by Ann
zone c region=s  # asked by Ann
model m  # asked by Ann
version m/cheap input_cost=10 output_cost=20 quality=0.8  # asked by Ann
version m/next input_cost=1 output_cost=2 quality=0.99  # asked by Ann
version m/dear input_cost=100 output_cost=200 quality=0.95  # asked by Ann
rollout m/next from=m/cheap percent=20  # asked by Ann
upstream a1 zone=a address=127.0.0.1:1 serves=m/cheap,m/next concurrency=2  # asked by Ann
upstream b1 zone=b address=127.0.0.1:2 serves=m/cheap,m/dear concurrency=2  # asked by Ann
upstream c1 zone=c address=127.0.0.1:3 serves=m/cheap,m/dear concurrency=2  # asked by Ann
team t quality=0.7  # asked by Ann
allow t m  # asked by Ann
";

fn snapshot(extra: &str) -> ConfigSnapshot {
    check(&format!("{RULES}{extra}"), Generation(1)).snapshot.expect("the rules are valid")
}

fn requirements(snapshot: &ConfigSnapshot, quality_min: f64) -> VersionRequirements {
    VersionRequirements {
        team: snapshot.teams.find("t").expect("the team is declared"),
        target: Target::Any,
        quality_min,
        expected: Usage { input_tokens: 100, output_tokens: 100 },
    }
}

fn version_counts(snapshot: &ConfigSnapshot, quality_min: f64) -> BTreeMap<String, u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut version_counts = BTreeMap::new();
    for _ in 0..PLACEMENTS {
        let version = choose_version(snapshot, &requirements(snapshot, quality_min), &mut rng)
            .expect("a version meets the minimum quality");
        *version_counts.entry(snapshot.versions.at(version).name.clone()).or_insert(0) += 1;
    }
    version_counts
}

fn placed_upstream(
    snapshot: &ConfigSnapshot,
    home: &str,
    load: impl Fn(&str) -> LocalUpstreamState,
) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let workload = Workload::Version(snapshot.versions.find("m/cheap").expect("declared"));
    let load = |key| load(&snapshot.upstreams.at(key).name);
    let key = choose_upstream(snapshot, workload, snapshot.zones.find(home), &[], load, &mut rng)?;
    Some(snapshot.upstreams.at(key).name.clone())
}

#[test]
fn cheapest_version() {
    let version_counts = version_counts(&snapshot(""), 0.9);
    assert_eq!(version_counts, BTreeMap::from([("m/dear".to_owned(), PLACEMENTS)]));
}

#[test]
fn rollout_share() {
    let version_counts = version_counts(&snapshot(""), 0.7);
    let share = f64::from(version_counts["m/next"]) / f64::from(PLACEMENTS);
    assert!((0.18..0.22).contains(&share), "{version_counts:?}");
    assert_eq!(version_counts.len(), 2);
}

#[test]
fn rollout_withdrawn() {
    let version_counts = version_counts(&snapshot("withdraw m/next  # asked by Ann: bad\n"), 0.7);
    assert_eq!(version_counts, BTreeMap::from([("m/cheap".to_owned(), PLACEMENTS)]));
}

#[test]
fn quality_refused() {
    let snapshot = snapshot("");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let refused = choose_version(&snapshot, &requirements(&snapshot, 0.97), &mut rng);
    assert_eq!(refused, Err(Refusal::QualityUnmet("0.97".to_owned())));
}

#[test]
fn nearest_zone_first() {
    assert_eq!(
        placed_upstream(&snapshot(""), "a", |_| LocalUpstreamState::default()).as_deref(),
        Some("a1")
    );
}

#[test]
fn spill_to_region() {
    let full = |name: &str| LocalUpstreamState {
        in_flight: if name == "a1" { 2 } else { 0 },
        is_suspect: false,
    };
    assert_eq!(placed_upstream(&snapshot(""), "a", full).as_deref(), Some("b1"));
}

#[test]
fn suspect_avoided() {
    let is_suspect = |name: &str| LocalUpstreamState { in_flight: 0, is_suspect: name != "c1" };
    assert_eq!(placed_upstream(&snapshot(""), "a", is_suspect).as_deref(), Some("c1"));
    let all = |_: &str| LocalUpstreamState { in_flight: 0, is_suspect: true };
    assert_eq!(placed_upstream(&snapshot(""), "a", all).as_deref(), Some("a1"));
}

#[test]
fn zone_out() {
    let snapshot = snapshot("zone-out a  # asked by Ann\nzone-out b  # asked by Ann\n");
    assert_eq!(
        placed_upstream(&snapshot, "a", |_| LocalUpstreamState::default()).as_deref(),
        Some("c1")
    );
    assert!(confirm_placement(&snapshot, "t", "m/cheap", "a1").is_err());
    assert!(confirm_placement(&snapshot, "t", "m/cheap", "c1").is_ok());
}

#[test]
fn leaving_refused() {
    let mut snapshot = snapshot("");
    assert!(confirm_placement(&snapshot, "t", "m/cheap", "a1").is_ok());
    snapshot.leaving_addresses = vec!["127.0.0.1:1".to_owned()];
    assert!(confirm_placement(&snapshot, "t", "m/cheap", "a1").is_err());
}

#[test]
fn withdrawn_refused() {
    let snapshot = snapshot("withdraw m/cheap  # asked by Ann: bad\n");
    assert_eq!(
        confirm_placement(&snapshot, "t", "m/cheap", "a1"),
        Err(Refusal::VersionWithdrawn("m/cheap".to_owned()))
    );
}

#[test]
fn other_version() {
    assert!(confirm_placement(&snapshot(""), "t", "m/dear", "a1").is_err());
}
