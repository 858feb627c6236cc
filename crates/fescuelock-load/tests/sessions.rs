//! A session keeps its version, and belongs to its team.

mod common;

use common::Bed;
use fescuelock_load::caller::ChatRequest;
use fescuelock_load::samples::{
    CHEAP_TEAM, CHEAP_VERSION, GOOD_TEAM, NEXT_VERSION, rule, with_rollout,
};

fn chat(session: &str, index: usize) -> ChatRequest {
    ChatRequest {
        prompt: format!("session {index}"),
        session: Some(session.to_owned()),
        stream: index.is_multiple_of(2),
        ..ChatRequest::default()
    }
}

#[tokio::test(start_paused = true)]
async fn keeps_version() {
    let mut bed = Bed::start(3, "").await;
    let first = bed.caller(0, CHEAP_TEAM).chat(&chat("new", 0)).await;
    let session = first.session.clone().expect("a session is given");
    assert_eq!(first.version, CHEAP_VERSION);

    bed.edit(|text| with_rollout(text, 100)).await;
    let fresh = bed.caller(0, CHEAP_TEAM).chat(&chat("new", 1)).await;
    assert_eq!(fresh.version, NEXT_VERSION);
    // Every node is replaced one after the other.
    for node in 0..3 {
        bed.cluster.drain_node(node).await;
        bed.cluster.start_node(node).await.expect("the node starts");
    }
    for index in 0..12 {
        let reply = bed.caller(index % 3, CHEAP_TEAM).chat(&chat(&session, index)).await;
        assert!(reply.is_ok(), "{reply:?}");
        assert_eq!(reply.version, CHEAP_VERSION);
    }
}

#[tokio::test(start_paused = true)]
async fn withdrawn_version() {
    let bed = Bed::start(2, "").await;
    let first = bed.caller(0, CHEAP_TEAM).chat(&chat("new", 0)).await;
    let session = first.session.expect("a session is given");
    let withdraw = rule(&format!("withdraw {CHEAP_VERSION}"));
    bed.edit(|text| format!("{text}{withdraw}")).await;
    let reply = bed.caller(1, CHEAP_TEAM).chat(&chat(&session, 1)).await;
    assert_eq!((reply.status, reply.code.as_str()), (410, "version_withdrawn"));
    assert_eq!(reply.outcome, "not_run");
}

#[tokio::test(start_paused = true)]
async fn foreign_session() {
    let bed = Bed::start(1, "").await;
    let first = bed.caller(0, CHEAP_TEAM).chat(&chat("new", 0)).await;
    let session = first.session.expect("a session is given");
    let reply = bed.caller(0, GOOD_TEAM).chat(&chat(&session, 1)).await;
    assert_eq!((reply.status, reply.code.as_str()), (403, "foreign_session"));
}

#[tokio::test(start_paused = true)]
async fn other_model() {
    let bed = Bed::start(1, "").await;
    let first = bed.caller(0, CHEAP_TEAM).chat(&chat("new", 0)).await;
    let session = first.session.expect("a session is given");
    let other = ChatRequest { model: NEXT_VERSION.to_owned(), ..chat(&session, 1) };
    let reply = bed.caller(0, CHEAP_TEAM).chat(&other).await;
    assert_eq!((reply.status, reply.code.as_str()), (400, "malformed_header"));
}
