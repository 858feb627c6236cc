//! A session stays on its model version and can be used only by its own team.

mod common;

use common::TestCluster;
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
async fn session_keeps_version() {
    let mut test_cluster = TestCluster::start(3, "").await;
    let first = test_cluster.caller(0, CHEAP_TEAM).chat(&chat("new", 0)).await;
    let session = first.session.clone().expect("a session is given");
    assert_eq!(first.version, CHEAP_VERSION);

    test_cluster.edit(|text| with_rollout(text, 100)).await;
    let fresh = test_cluster.caller(0, CHEAP_TEAM).chat(&chat("new", 1)).await;
    assert_eq!(fresh.version, NEXT_VERSION);
    // Replaces the nodes one after the other.
    for node in 0..3 {
        test_cluster.cluster.drain_node(node).await;
        test_cluster.cluster.start_node(node).await.expect("the node starts");
    }
    for index in 0..12 {
        let reply = test_cluster.caller(index % 3, CHEAP_TEAM).chat(&chat(&session, index)).await;
        assert!(reply.is_ok(), "{reply:?}");
        assert_eq!(reply.version, CHEAP_VERSION);
    }
}

#[tokio::test(start_paused = true)]
async fn withdrawn_version() {
    let test_cluster = TestCluster::start(2, "").await;
    let first = test_cluster.caller(0, CHEAP_TEAM).chat(&chat("new", 0)).await;
    let session = first.session.expect("a session is given");
    let withdraw = rule(&format!("withdraw {CHEAP_VERSION}"));
    test_cluster.edit(|text| format!("{text}{withdraw}")).await;
    let reply = test_cluster.caller(1, CHEAP_TEAM).chat(&chat(&session, 1)).await;
    assert_eq!((reply.status, reply.code.as_str()), (410, "version_withdrawn"));
    assert_eq!(reply.outcome, "not_run");
}

#[tokio::test(start_paused = true)]
async fn foreign_session() {
    let test_cluster = TestCluster::start(1, "").await;
    let first = test_cluster.caller(0, CHEAP_TEAM).chat(&chat("new", 0)).await;
    let session = first.session.expect("a session is given");
    let reply = test_cluster.caller(0, GOOD_TEAM).chat(&chat(&session, 1)).await;
    assert_eq!((reply.status, reply.code.as_str()), (403, "foreign_session"));
}

#[tokio::test(start_paused = true)]
async fn other_model() {
    let test_cluster = TestCluster::start(1, "").await;
    let first = test_cluster.caller(0, CHEAP_TEAM).chat(&chat("new", 0)).await;
    let session = first.session.expect("a session is given");
    let other = ChatRequest { model: NEXT_VERSION.to_owned(), ..chat(&session, 1) };
    let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&other).await;
    assert_eq!((reply.status, reply.code.as_str()), (400, "malformed_header"));
}
