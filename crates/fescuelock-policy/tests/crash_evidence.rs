//! Prompt segments that crash engines are found and rejected, and no others are.

mod crash_fleet;

use crash_fleet::{CONTACT_MS, CRASHING, FleetOptions, FleetOutcome, play, prompt};
use fescuelock_policy::crash_evidence::{CrashEvidence, PromptVerdict, SegmentState};

/// Requests that may reach engines later than `CONTACT_MS` after the fifth crash.
const ARRIVALS_MAX: usize = 3;

const FLEETS: [FleetOptions; 4] = [
    FleetOptions { nodes: 8, engines: 18, requests_per_s: 80.0, ..DAY },
    FleetOptions { nodes: 40, engines: 60, requests_per_s: 250.0, ..DAY },
    FleetOptions { nodes: 195, engines: 117, requests_per_s: 370.0, ..DAY },
    FleetOptions { nodes: 330, engines: 260, requests_per_s: 600.0, ..DAY },
];

const DAY: FleetOptions = FleetOptions {
    nodes: 8,
    engines: 18,
    requests_per_s: 80.0,
    crashing_share: 0.02,
    has_one_subject: false,
    has_disruptions: false,
    uses_evidence: true,
    seed: 1,
};

fn late_arrivals(outcome: &FleetOutcome) -> usize {
    let Some(&fifth_ms) = outcome.crashes_ms.get(4) else {
        return 0;
    };
    let late = outcome.crashing_arrivals_ms.iter().filter(|&&at| at > fifth_ms + CONTACT_MS);
    late.count()
}

fn evidence(nodes: usize) -> CrashEvidence {
    let mut evidence = CrashEvidence::new(1);
    evidence.set_nodes(nodes);
    evidence
}

/// Passes all that one node knows on to another.
fn tell(from: &CrashEvidence, to: &mut CrashEvidence, now_ms: u64) {
    to.apply_reports(&from.reports(true, now_ms), now_ms);
}

#[test]
fn crashing_segment_sent_on() {
    for fleet in FLEETS {
        let outcome = play(&fleet);
        assert!(late_arrivals(&outcome) <= ARRIVALS_MAX, "{fleet:?}: {outcome:?}");
        let before = play(&FleetOptions { uses_evidence: false, ..fleet });
        assert!(late_arrivals(&before) > ARRIVALS_MAX, "the pattern crashes nothing: {fleet:?}");
        assert!(outcome.crashes_ms.len() * 4 < before.crashes_ms.len(), "{fleet:?}");
        assert_eq!(outcome.sound.1, 0, "sound requests refused: {fleet:?}");
    }
}

#[test]
fn evidence_lost_with_nodes() {
    for seed in 1..=4 {
        for fleet in FLEETS {
            let fleet = FleetOptions { has_disruptions: true, seed, ..fleet };
            let outcome = play(&fleet);
            assert!(late_arrivals(&outcome) <= ARRIVALS_MAX, "{fleet:?}: {outcome:?}");
            let (sound, refused) = outcome.sound;
            assert!(
                refused * 100 <= sound,
                "{refused} of {sound} sound requests refused: {fleet:?}"
            );
        }
    }
}

#[test]
fn companion_refused() {
    for seed in 1..=4 {
        for fleet in FLEETS {
            let outcome = play(&FleetOptions { has_one_subject: true, seed, ..fleet });
            let (companions, refused) = outcome.companions;
            assert!(companions > 5, "no companions: {fleet:?}");
            assert_eq!(refused, 0, "of {companions} companions: {fleet:?}");
            assert!(late_arrivals(&outcome) <= ARRIVALS_MAX, "{fleet:?}: {outcome:?}");
        }
    }
}

#[test]
fn inseparable_segments() {
    let mut evidence = evidence(1);
    for (engine, at_ms) in [(1, 1_000), (2, 2_000), (3, 3_000), (4, 4_000)] {
        evidence.record_crash(engine, &prompt(&[7, CRASHING], engine), at_ms);
    }
    let verdict =
        |evidence: &CrashEvidence, shared: &[u64]| evidence.verdict(&prompt(shared, 99), 5_000);
    assert!(matches!(verdict(&evidence, &[7, CRASHING]), PromptVerdict::Rejected { .. }));
    assert_eq!(verdict(&evidence, &[7]), PromptVerdict::Careful { segment: 7 });
    assert_eq!(verdict(&evidence, &[CRASHING, 8]), PromptVerdict::Careful { segment: CRASHING });
    // A response with one of them tells them apart.
    evidence.record_begun(&prompt(&[7], 100), 5_000);
    assert_eq!(verdict(&evidence, &[7]), PromptVerdict::Allowed);
    assert!(matches!(verdict(&evidence, &[CRASHING, 8]), PromptVerdict::Rejected { .. }));
}

#[test]
fn zone_lost() {
    // All engines of a zone end together while the same prompts wait at each.
    let mut evidence = evidence(1);
    for engine in 0..12 {
        evidence.record_crash(engine, &prompt(&[3, 4], engine), 1_000 + engine * 15);
    }
    assert_eq!(evidence.state(4), SegmentState::Suspected);
    evidence.record_begun(&prompt(&[3, 4], 50), 1_500);
    assert_eq!(evidence.state(4), SegmentState::Clear);
}

#[test]
fn one_node_alone() {
    let (mut alone, mut other) = (evidence(2), CrashEvidence::new(2));
    other.set_nodes(2);
    for engine in 1..=3 {
        alone.record_crash(engine, &prompt(&[CRASHING], engine), engine * 1_000);
    }
    assert_eq!(alone.state(CRASHING), SegmentState::Suspected);
    tell(&alone, &mut other, 3_000);
    assert_eq!(other.state(CRASHING), SegmentState::Suspected);
    other.record_crash(4, &prompt(&[CRASHING], 4), 4_000);
    tell(&other, &mut alone, 4_000);
    assert_eq!(alone.state(CRASHING), SegmentState::Rejected);
    assert_eq!(other.state(CRASHING), SegmentState::Rejected);
}

#[test]
fn verdict_taken_back() {
    let mut evidence = evidence(1);
    for engine in 1..=4 {
        evidence.record_crash(engine, &prompt(&[CRASHING], engine), engine * 1_000);
    }
    let changes = evidence.take_changes(4_000);
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].state, changes[0].crashes), (SegmentState::Rejected, 4));
    // Requests with it prolong the verdict, and it ends after they stop.
    evidence.record_rejected_request(CRASHING, 100_000);
    assert!(evidence.take_changes(210_000).is_empty());
    let changes = evidence.take_changes(221_000);
    assert_eq!(changes[0].state, SegmentState::Clear);
    assert_eq!(evidence.verdict(&prompt(&[CRASHING], 9), 221_000), PromptVerdict::Allowed);
}

#[test]
fn trials_of_all_nodes() {
    let (mut first, mut second) = (evidence(2), CrashEvidence::new(2));
    second.set_nodes(2);
    for engine in 1..=2 {
        first.record_crash(engine, &prompt(&[CRASHING], engine), engine * 1_000);
        second.record_crash(engine + 2, &prompt(&[CRASHING], engine), engine * 1_000 + 500);
    }
    tell(&first, &mut second, 3_000);
    tell(&second, &mut first, 3_000);
    assert!(!first.take_trial(CRASHING, 0, 20_000), "too early");
    assert!(first.take_trial(CRASHING, 0, 65_000));
    assert!(!first.take_trial(CRASHING, 0, 65_100), "a second trial at once");
    tell(&first, &mut second, 65_100);
    assert!(!second.take_trial(CRASHING, 1, 80_000), "another node's trial at the same time");
    // The trial is answered, so the verdict ends everywhere.
    first.record_begun(&prompt(&[CRASHING], 90), 65_500);
    tell(&first, &mut second, 65_600);
    assert_eq!(second.state(CRASHING), SegmentState::Clear);
}

#[test]
fn trials_without_end() {
    let mut evidence = evidence(1);
    let mut now_ms = 0;
    for engine in 1..=6 {
        now_ms += 1_000;
        evidence.record_crash(engine, &prompt(&[CRASHING], engine), now_ms);
    }
    // Each trial ends one more engine.
    let mut trials = 0;
    for engine in 7..40 {
        now_ms += 3_600_000;
        if evidence.take_trial(CRASHING, 0, now_ms) {
            trials += 1;
            evidence.record_crash(engine, &prompt(&[CRASHING], engine), now_ms + 500);
        }
    }
    assert!(trials <= ARRIVALS_MAX, "{trials} trials");
    let verdict = evidence.verdict(&prompt(&[CRASHING], 50), now_ms);
    let is_invited_back = |retry_after_ms| retry_after_ms < 120_000;
    assert!(
        matches!(verdict, PromptVerdict::Rejected { retry_after_ms, .. }
            if !is_invited_back(retry_after_ms)),
        "{verdict:?}"
    );
}

#[test]
fn stale_report() {
    let (mut stale, mut current) = (evidence(2), CrashEvidence::new(2));
    current.set_nodes(2);
    for engine in 1..=4 {
        stale.record_crash(engine, &prompt(&[5], engine), engine * 1_000);
    }
    current.record_begun(&prompt(&[5], 9), 10_000);
    tell(&stale, &mut current, 10_500);
    assert_eq!(current.state(5), SegmentState::Clear, "crashes before a response that began");
    tell(&current, &mut stale, 10_600);
    assert_eq!(stale.state(5), SegmentState::Clear, "the stale node is told");
}
