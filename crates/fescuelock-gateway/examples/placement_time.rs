//! Measures the time of one placement in a fleet of the design size, 2,600 engines in 11 zones, and
//! among the three upstreams of a plain service.

use std::sync::Arc;
use std::time::Instant;

use fescuelock_core::rules::ScoringWeights;
use fescuelock_gateway::fleet::Fleet;
use fescuelock_gateway::placement::PlacementRequest;
use fescuelock_policy::deployment::{RetrySafety, Route, UpstreamPool};
use fescuelock_policy::node::NodeSettings;
use fescuelock_policy::prompt::{Prompt, PromptSegment};
use fescuelock_policy::upstream::{UpstreamRecord, UpstreamState};
use fescuelock_standin::memory::MemoryNetwork;

const PLACEMENTS: u64 = 20_000;

fn record(index: u64, pool: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("i-{pool}-{index}"),
        pool: pool.to_owned(),
        address: format!("10.2.{}.{}:80", index / 250, index % 250),
        zone: format!("zone-{}", index % 11),
        version: "v1".to_owned(),
        slots: 16,
        state: UpstreamState::Ready,
        warmup_left_ms: 0,
        started_at_ms: Some(1_790_000_000_000 + index),
    }
}

fn main() {
    let network = Arc::new(MemoryNetwork::default());
    let settings = NodeSettings {
        name: "edge-1".to_owned(),
        zone: "zone-1".to_owned(),
        ..NodeSettings::default()
    };
    let mut fleet = Fleet::new(network, &settings, ScoringWeights::default(), 1);
    for index in 0..2_600 {
        fleet.upsert(record(index, "engines"), true, 0, 0);
    }
    for index in 0..3 {
        fleet.upsert(record(index, "desk"), true, 0, 0);
    }
    let route = Route {
        name: "route".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/".to_owned(),
        retry_safety: RetrySafety::Idempotent,
        timeout_ms: 4_000,
        target_ms: 1_000,
        event_gap_target_ms: 200,
        priority: 0,
        attempts_max: 3,
        pools: Vec::new(),
        models_by_size: Vec::new(),
        allowed_regions: Vec::new(),
        allows_anonymous: false,
    };
    for (pool, model) in [("engines", Some("small")), ("desk", None)] {
        let pool = UpstreamPool {
            name: pool.to_owned(),
            warmup_ms: 0,
            warmup_per_s: 0.0,
            models: Vec::new(),
        };
        let started = Instant::now();
        for index in 0..PLACEMENTS {
            let prompt = Prompt {
                input_tokens: 826,
                output_max_tokens: 300,
                segments: vec![
                    PromptSegment { id: index % 40, tokens: 400 },
                    PromptSegment { id: 1_000 + index, tokens: 426 },
                ],
                ..Prompt::default()
            };
            let request = PlacementRequest {
                route: &route,
                pool: &pool,
                model,
                prompt: &prompt,
                session: index,
                allowed_regions: &[],
                tried: &[],
                target_left_ms: 1_000.0,
                value: prompt.value(),
                body_bytes: 3_300,
                has_crashed: false,
                is_trial: false,
                is_hedge: false,
                is_estimate: false,
            };
            std::hint::black_box(fleet.place(&request, index)).expect("there is an upstream");
        }
        let per_placement_us = started.elapsed().as_secs_f64() * 1e6 / PLACEMENTS as f64;
        println!("{}: {per_placement_us:.1} microseconds per placement", pool.name);
    }
}
