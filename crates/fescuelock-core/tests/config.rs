//! The generation of the active configuration never decreases.

use fescuelock_core::config::{Adoption, ConfigCell};
use fescuelock_core::ids::Generation;
use fescuelock_core::rules::ConfigSnapshot;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn snapshot(generation: u64) -> ConfigSnapshot {
    ConfigSnapshot { generation: Generation(generation), ..ConfigSnapshot::default() }
}

#[test]
fn lower_generation_stale() {
    let cell = ConfigCell::default();
    assert_eq!(cell.adopt(snapshot(5)), Adoption::Adopted);
    assert_eq!(cell.adopt(snapshot(4)), Adoption::Stale);
    assert_eq!(cell.adopt(snapshot(5)), Adoption::Current);
    assert_eq!(cell.current().generation, Generation(5));
}

#[test]
fn leaving_addresses_kept() {
    let cell = ConfigCell::default();
    cell.adopt(snapshot(1));
    cell.set_leaving_addresses(vec!["127.0.0.1:1".to_owned()]);
    cell.adopt(snapshot(2));
    assert_eq!(cell.current().leaving_addresses, ["127.0.0.1:1"]);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    #[test]
    fn generation_never_decreases(generations in proptest::collection::vec(0u64..50, 1..100)) {
        let cell = ConfigCell::default();
        let mut highest = 0;
        for generation in generations {
            cell.adopt(snapshot(generation));
            highest = highest.max(generation);
            prop_assert_eq!(cell.current().generation, Generation(highest));
        }
    }
}
