//! Signing and verification of session tokens.

use fescuelock_core::Error;
use fescuelock_core::ids::RequestId;
use fescuelock_core::session::{SessionBinding, SessionKeys, SigningKey};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn keys(names: &[&str]) -> SessionKeys {
    let keys = names.iter().map(|name| SigningKey {
        name: (*name).to_owned(),
        secret: format!("secret of {name}").into_bytes(),
    });
    SessionKeys::try_new(keys.collect()).expect("there is at least one key")
}

fn binding() -> SessionBinding {
    let session = RequestId::random(&mut ChaCha8Rng::seed_from_u64(1));
    SessionBinding { team: "t".to_owned(), version: "m/1".to_owned(), session }
}

#[test]
fn round_trip() {
    let token = keys(&["k"]).issue(&binding());
    assert_eq!(keys(&["k"]).verify("t", &token).expect("the token is valid"), binding());
}

#[test]
fn rotated_key() {
    let token = keys(&["old"]).issue(&binding());
    assert!(keys(&["new", "old"]).verify("t", &token).is_ok());
    assert!(matches!(keys(&["new"]).verify("t", &token), Err(Error::BadSignature)));
}

#[test]
fn foreign_team() {
    let token = keys(&["k"]).issue(&binding());
    assert!(matches!(keys(&["k"]).verify("other", &token), Err(Error::ForeignSession)));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    #[test]
    fn altered_token(position in 0usize..100, letter in "[0-9a-f.]") {
        let token = keys(&["k"]).issue(&binding());
        let position = position % token.len();
        let mut altered = token.clone();
        altered.replace_range(position..=position, &letter);
        prop_assume!(altered != token);
        prop_assert!(keys(&["k"]).verify("t", &altered).is_err());
    }

    #[test]
    fn any_text(text in ".{0,200}") {
        prop_assert!(keys(&["k"]).verify("t", &text).is_err());
    }
}
