//! Patches between generations of the rules text.

use fescuelock_core::rules::Patch;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[test]
fn one_line() {
    let old: String = (0..1_000).map(|line| format!("rule {line}\n")).collect();
    let new = old.replace("rule 500\n", "rule 500 changed\n");
    let patch = Patch::between(1, &old, 2, &new);
    assert_eq!(patch.hunks.len(), 1);
    assert_eq!(patch.apply(&old), Some(new));
}

#[test]
fn wrong_base() {
    let patch = Patch::between(1, "a\nb\n", 2, "a\nc\n");
    assert_eq!(patch.apply("x\nb\n"), None);
    assert_eq!(patch.apply(""), None);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    #[test]
    fn any_texts(old in "([ab]?\n?){0,12}", new in "([ab]?\n?){0,12}") {
        let patch = Patch::between(1, &old, 2, &new);
        prop_assert_eq!(patch.apply(&old), Some(new));
    }

    #[test]
    fn any_patch(
        text in "([ab]?\n?){0,12}",
        start in 0usize..20,
        removed in any::<usize>(),
        later in 0usize..20,
    ) {
        let mut patch = Patch::between(1, &text, 2, "a\n");
        for hunk in &mut patch.hunks {
            hunk.start = start;
            hunk.removed = removed;
        }
        patch.hunks.extend(patch.hunks.clone().into_iter().map(|mut hunk| {
            hunk.start = later;
            hunk
        }));
        // The patch yields the expected text or is rejected, and never panics.
        let applied = patch.apply(&text);
        prop_assert!(applied.is_none_or(|text| text == "a\n"));
    }
}
