//! Stateful fuzzing of the promises against an oracle that keeps only sets.
//!
//! Three nodes and the stand-ins run in memory on a paused clock. Random requests, duplicates,
//! faults, edits, kills and replacements overlap. `FESCUELOCK_SEED` and `FESCUELOCK_CASES` choose
//! other runs than the one of CI.

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

/// Reads a number from the environment.
fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(number("FESCUELOCK_SEED", 1)),
        cases: u32::try_from(number("FESCUELOCK_CASES", 48)).expect("a small number of cases"),
        max_shrink_iters: 200,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn promises_hold(sequential 1..60 => System);
}
