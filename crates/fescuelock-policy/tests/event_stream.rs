//! Only events of the stream itself are passed on, and only its rest continues it.

use fescuelock_policy::answer_identity::AnswerIdentity;
use fescuelock_policy::event_stream::{
    ContinuationHead, EventCheck, StreamPosition, check_event, is_well_formed, may_continue,
};

const HEAD: ContinuationHead<'_> = ContinuationHead {
    status: 200,
    content_type: Some("text/event-stream"),
    is_encoded: false,
    identity: AnswerIdentity::Confirmed,
    has_request_id: true,
};

fn after(last: u64) -> StreamPosition {
    StreamPosition { last_id: Some(last), ..StreamPosition::default() }
}

#[test]
fn continuing_heads() {
    let untyped = ContinuationHead { content_type: None, ..HEAD };
    let with_charset =
        ContinuationHead { content_type: Some("Text/Event-Stream; charset=utf-8"), ..HEAD };
    let without_id =
        ContinuationHead { identity: AnswerIdentity::Unlabelled, has_request_id: false, ..HEAD };
    for head in [HEAD, untyped, with_charset, without_id] {
        assert!(may_continue(&head), "{head:?}");
    }
}

#[test]
fn other_heads() {
    let unlabelled = ContinuationHead { identity: AnswerIdentity::Unlabelled, ..HEAD };
    let foreign = ContinuationHead { identity: AnswerIdentity::Foreign, ..HEAD };
    let typed = ContinuationHead { content_type: Some("application/json"), ..HEAD };
    let encoded = ContinuationHead { is_encoded: true, ..HEAD };
    let failed = ContinuationHead { status: 500, ..HEAD };
    for head in [unlabelled, foreign, typed, encoded, failed] {
        assert!(!may_continue(&head), "{head:?}");
    }
}

#[test]
fn text_between_events() {
    for event in ["id: 5\ndata: 5\n\n", ": comment", "weight-versions: 2\nid: 5\ndata:\n\n"] {
        assert!(is_well_formed(event.as_bytes()), "{event:?}");
    }
    for text in [
        "Internal Server Error\n\n",
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\nid: 5\ndata: 5\n\n",
        "content-length: 0\r\n\r\nid: 5\ndata: 5\n\n",
        "{\"error\": \"overloaded\"}\n\n",
        "overloaded",
    ] {
        assert!(!is_well_formed(text.as_bytes()), "{text:?}");
    }
}

#[test]
fn events_in_order() {
    assert_eq!(check_event(b"id: 5\ndata: 5\n\n", &after(4)), EventCheck::Next(Some(5)));
    assert_eq!(check_event(b"id: 4\ndata: 4\n\n", &after(4)), EventCheck::Repeated);
    assert_eq!(check_event(b": comment\n\n", &after(4)), EventCheck::Next(None));
    let start = StreamPosition::default();
    assert_eq!(check_event(b"data: 1\n\n", &start), EventCheck::Next(None));
    assert_eq!(check_event(b"id: 1\ndata: 1\n\n", &start), EventCheck::Next(Some(1)));
}

#[test]
fn events_out_of_place() {
    for event in [
        "data: overloaded\n\n",
        "event: error\ndata: overloaded\n\n",
        "id: x\ndata: 5\n\n",
        "id: 5\ndata: 5\nid: 6\ndata: 6\n\n",
    ] {
        assert_eq!(check_event(event.as_bytes(), &after(4)), EventCheck::Invalid, "{event:?}");
    }
}

/// An engine that continues a stream must begin right after the last event, unless the ids had gaps
/// before.
#[test]
fn gap_after_resumption() {
    let resumed = StreamPosition { is_resumed: true, ..after(4) };
    assert_eq!(check_event(b"id: 7\ndata: 7\n\n", &resumed), EventCheck::Invalid);
    assert_eq!(check_event(b"id: 5\ndata: 5\n\n", &resumed), EventCheck::Next(Some(5)));
    assert_eq!(check_event(b"id: 7\ndata: 7\n\n", &after(4)), EventCheck::Next(Some(7)));
    let mut with_gaps = after(1);
    with_gaps.advance(4);
    assert!(with_gaps.has_gaps);
    let with_gaps = StreamPosition { is_resumed: true, ..with_gaps };
    assert_eq!(check_event(b"id: 7\ndata: 7\n\n", &with_gaps), EventCheck::Next(Some(7)));
}

/// A sound stream was cut at a block that holds no event: a reconnection time or only a blank line.
#[test]
fn blocks_without_event() {
    for block in ["retry: 3000\n\n", "\n\n", ": comment\nretry: 3000\n\n"] {
        assert_eq!(check_event(block.as_bytes(), &after(4)), EventCheck::Next(None), "{block:?}");
    }
    for block in ["retry: soon\n\n", "retry: 3000\ndata: overloaded\n\n", "content-length: 0\n\n"] {
        assert_eq!(check_event(block.as_bytes(), &after(4)), EventCheck::Invalid, "{block:?}");
    }
}
