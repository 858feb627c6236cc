//! A response counts for a request only if it cannot be that of another one.

use fescuelock_policy::answer_identity::{AnswerIdentity, AnswerLabels, identify};

fn identity(
    request_id: Option<&str>,
    echoed_id: Option<&str>,
    is_connection_reused: bool,
) -> AnswerIdentity {
    identify(&AnswerLabels { request_id, echoed_id, is_connection_reused })
}

#[test]
fn own_id() {
    for is_connection_reused in [false, true] {
        let identity = identity(Some("a1"), Some("a1"), is_connection_reused);
        assert_eq!(identity, AnswerIdentity::Confirmed);
        assert!(identity.is_accepted());
    }
}

#[test]
fn another_id() {
    for is_connection_reused in [false, true] {
        assert!(!identity(Some("a1"), Some("a0"), is_connection_reused).is_accepted());
    }
}

#[test]
fn missing_id() {
    for (request_id, echoed_id) in [(Some("a1"), None), (None, Some("a0")), (None, None)] {
        assert!(identity(request_id, echoed_id, false).is_accepted());
        assert!(!identity(request_id, echoed_id, true).is_accepted());
    }
}

#[test]
fn kept_connections() {
    assert!(AnswerIdentity::Confirmed.may_keep_connection(false));
    assert!(!AnswerIdentity::Confirmed.may_keep_connection(true));
    assert!(!AnswerIdentity::Unlabelled.may_keep_connection(false));
    assert!(!AnswerIdentity::Foreign.may_keep_connection(false));
}
