//! What a node's view of the upstreams makes of those that pause.

use std::sync::Arc;

use fescuelock_core::rules::ScoringWeights;
use fescuelock_gateway::fleet::Fleet;
use fescuelock_gateway::upstream::UpstreamKey;
use fescuelock_policy::node::NodeSettings;
use fescuelock_policy::pause::Pause;
use fescuelock_policy::upstream::{UpstreamRecord, UpstreamState};
use fescuelock_standin::memory::MemoryNetwork;

const UPSTREAMS: u64 = 2_600;

fn record(index: u64) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("i-{index}"),
        pool: "engines".to_owned(),
        address: format!("10.2.0.1:{index}"),
        zone: "zone-a".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        state: UpstreamState::Ready,
        warmup_left_ms: 0,
        started_at_ms: Some(1_790_000_000_000 + index),
    }
}

/// The state of a pause was larger than the capacity plan says.
#[test]
fn state_grown() {
    assert_eq!(size_of::<Pause>(), 40);
}

/// The records of all upstreams expired during an outage of the store, and their pauses with them.
#[test]
fn all_records_gone() {
    let network = Arc::new(MemoryNetwork::default());
    let settings = NodeSettings { name: "edge-1".to_owned(), ..NodeSettings::default() };
    let mut fleet = Fleet::new(network, &settings, ScoringWeights::default(), 1);
    for index in 1..=UPSTREAMS {
        fleet.upsert(record(index), true, 0, 0);
        let upstream = fleet.upstream_mut(UpstreamKey(index)).expect("the upstream is known");
        upstream.pause.extend(8_000, 0.0, 0);
    }
    for round in 1..=3 {
        let now_ms = 1_000 * round;
        for index in 1..=UPSTREAMS {
            assert!(fleet.remove(&format!("i-{index}"), now_ms, now_ms));
        }
        assert_eq!(fleet.paused_count(now_ms), 0);
        for index in 1..=UPSTREAMS {
            fleet.upsert(record(index), false, 0, now_ms);
        }
        assert_eq!(fleet.paused_count(now_ms) as u64, UPSTREAMS, "round {round}");
    }
    // Another incarnation takes requests at once.
    fleet.remove("i-1", 4_000, 4_000);
    fleet.upsert(UpstreamRecord { started_at_ms: Some(9), ..record(1) }, false, 0, 4_000);
    assert_eq!(fleet.paused_count(4_000) as u64, UPSTREAMS - 1);
}
