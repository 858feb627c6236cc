//! Upstreams that fail more often than their peers are ejected for a limited time.

use fescuelock_policy::health::{Health, Outcome, is_panic};

#[test]
fn single_failing_upstream() {
    let mut health = Health::default();
    for at_ms in [0, 10, 20, 30] {
        health.note(Outcome::Failed, 1.0, at_ms);
    }
    assert!(health.judge(0.05, 40));
    assert!(health.is_ejected(1_000));
    assert!(!health.is_ejected(1_600), "the first ejection is short");
}

#[test]
fn shared_failures() {
    let mut health = Health::default();
    for at_ms in 0..20 {
        health.note(Outcome::Failed, 1.0, at_ms);
        health.note(Outcome::Answered, 1.0, at_ms);
    }
    assert!(!health.judge(0.45, 40), "peers fail as often");
    assert!(health.judge(0.1, 40));
}

#[test]
fn unresponsive_upstream() {
    let mut health = Health::default();
    health.note(Outcome::Silent, 1.0, 0);
    assert!(!health.judge(0.0, 1));
    health.note(Outcome::Silent, 1.0, 2);
    assert!(health.judge(0.0, 3));
}

#[test]
fn flapping_upstream() {
    let mut health = Health::default();
    let mut now_ms = 0;
    let mut times = Vec::new();
    for _ in 0..4 {
        while !health.judge(0.0, now_ms) {
            health.note(Outcome::Silent, 1.0, now_ms);
        }
        let from_ms = now_ms;
        while health.is_ejected(now_ms) {
            now_ms += 100;
        }
        times.push(now_ms - from_ms);
    }
    assert!(times.is_sorted() && times[3] >= 4 * times[0], "{times:?}");
}

#[test]
fn ejection_limit() {
    assert!(!is_panic(2, 4));
    assert!(is_panic(3, 4));
    assert!(is_panic(1, 1));
}
