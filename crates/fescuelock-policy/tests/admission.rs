//! Requests without an available upstream are queued only if they are likely to start in time.

use fescuelock_policy::admission::{Admission, AdmissionOptions, Situation, decide};

const CONTEXT: Situation = Situation {
    room_in_ms: Some(40.0),
    waited_ms: 0.0,
    target_ms: 1_500.0,
    left_ms: 5_000.0,
    ahead: 3,
};

fn decided(situation: Situation) -> Admission {
    decide(&situation, &AdmissionOptions::default(), 0.5)
}

#[test]
fn capacity_soon() {
    assert!(matches!(decided(CONTEXT), Admission::Wait(_)));
}

#[test]
fn no_capacity() {
    let cases = [
        Situation { room_in_ms: None, ..CONTEXT },
        Situation { room_in_ms: Some(900.0), ..CONTEXT },
        Situation { waited_ms: 200.0, ..CONTEXT },
        Situation { ahead: 1_000, ..CONTEXT },
    ];
    for situation in cases {
        assert!(matches!(decided(situation), Admission::Refuse(_)), "{situation:?}");
    }
}

#[test]
fn retry_jitter() {
    let refused = Situation { room_in_ms: None, ..CONTEXT };
    let times: Vec<f64> = [0.0, 0.3, 0.6, 0.9]
        .into_iter()
        .map(|draw| match decide(&refused, &AdmissionOptions::default(), draw) {
            Admission::Refuse(after_ms) => after_ms,
            Admission::Wait(_) => panic!("there is no room"),
        })
        .collect();
    assert!(times.is_sorted() && times[3] - times[0] > 500.0, "{times:?}");
    // The retry delay is at most a third of the time left until the caller's deadline.
    let short = Situation { left_ms: 300.0, ..refused };
    assert_eq!(decide(&short, &AdmissionOptions::default(), 0.9), Admission::Refuse(100.0));
}
