//! Upstreams that fail more often than their peers are ejected for a limited time.

use fescuelock_policy::health::{Health, Outcome, should_ignore_ejections};

#[test]
fn single_failing_upstream() {
    let mut health = Health::default();
    for at_ms in [0, 10, 20, 30] {
        health.record(Outcome::Failed, 1.0, at_ms);
    }
    assert!(health.eject_if_outlier(0.05, 40));
    assert!(health.is_ejected(1_000));
    assert!(!health.is_ejected(1_600), "the first ejection is short");
}

#[test]
fn shared_failures() {
    let mut health = Health::default();
    for at_ms in 0..20 {
        health.record(Outcome::Failed, 1.0, at_ms);
        health.record(Outcome::Succeeded, 1.0, at_ms);
    }
    assert!(!health.eject_if_outlier(0.45, 40), "peers fail as often");
    assert!(health.eject_if_outlier(0.1, 40));
}

#[test]
fn unresponsive_upstream() {
    let mut health = Health::default();
    health.record(Outcome::Unresponsive, 1.0, 0);
    assert!(!health.eject_if_outlier(0.0, 1));
    health.record(Outcome::Unresponsive, 1.0, 2);
    assert!(health.eject_if_outlier(0.0, 3));
}

#[test]
fn flapping_upstream() {
    let mut health = Health::default();
    let mut now_ms = 0;
    let mut ejections_ms = Vec::new();
    for _ in 0..4 {
        while !health.eject_if_outlier(0.0, now_ms) {
            health.record(Outcome::Unresponsive, 1.0, now_ms);
        }
        let from_ms = now_ms;
        while health.is_ejected(now_ms) {
            now_ms += 100;
        }
        ejections_ms.push(now_ms - from_ms);
    }
    assert!(ejections_ms.is_sorted() && ejections_ms[3] >= 4 * ejections_ms[0], "{ejections_ms:?}");
}

#[test]
fn ejection_limit() {
    assert!(!should_ignore_ejections(2, 4));
    assert!(should_ignore_ejections(3, 4));
    assert!(should_ignore_ejections(1, 1));
}
