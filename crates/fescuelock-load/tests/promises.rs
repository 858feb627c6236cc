//! Stateful property test of the system's guarantees against a simple oracle.
//!
//! Three nodes and simulated upstreams and platform run in memory on a paused clock. Random
//! requests, duplicates, faults, edits, kills and replacements overlap. `FESCUELOCK_SEED` and
//! `FESCUELOCK_CASES` override the seed and the number of cases that CI uses.

mod common;
#[path = "promises/model.rs"]
mod model;
#[path = "promises/oracle.rs"]
mod oracle;
#[path = "promises/system.rs"]
mod system;

use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::prop_state_machine;
use system::System;

/// Reads a number from an environment variable, or returns the default.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(env_number("FESCUELOCK_SEED", 1)),
        cases: u32::try_from(env_number("FESCUELOCK_CASES", 48)).expect("a small number of cases"),
        max_shrink_iters: 200,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn invariants_hold(sequential 1..60 => System);
}
