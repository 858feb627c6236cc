//! A graceful shutdown interrupts no request and loses no bill.

mod common;

use std::time::Duration;

use common::TestCluster;
use fescuelock_http::net::Network;
use fescuelock_load::caller::{ChatRequest, ServiceCall};
use fescuelock_load::cluster::ClusterOptions;
use fescuelock_load::samples::{CHEAP_TEAM, GOOD_TEAM, api_key_of};
use fescuelock_router::node::DrainOutcome;
use fescuelock_standin::deployment::DeploymentOptions;
use fescuelock_standin::engine::EngineOptions;
use fescuelock_standin::faults::{EngineFaults, PlatformFaults};
use fescuelock_store::bills::read_ledger;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// Starts a deployment whose engines take one second per token.
async fn slow_cluster() -> TestCluster {
    let engine = EngineOptions { token_gap_us: 1_000_000, ..EngineOptions::default() };
    let deployment = DeploymentOptions { engine, ..DeploymentOptions::default() };
    TestCluster::start_with(ClusterOptions { nodes: 1, deployment, ..ClusterOptions::default() })
        .await
}

#[tokio::test(start_paused = true)]
async fn streams_finish() {
    let mut test_cluster = slow_cluster().await;
    let streams: Vec<_> = (0..10)
        .map(|index| {
            let caller = test_cluster.caller(0, CHEAP_TEAM);
            let chat = ChatRequest {
                prompt: format!("drain {index}"),
                tokens: 30,
                stream: index % 2 == 0,
                ..ChatRequest::default()
            };
            tokio::spawn(async move { caller.chat(&chat).await })
        })
        .collect();
    sleep(Duration::from_secs(5)).await;
    let drained = test_cluster.cluster.drain_node(0).await.expect("the node ran");
    assert_eq!(drained, DrainOutcome { requests_cut: 0, bills_lost: 0 });
    for stream in streams {
        let reply = stream.await.expect("the caller ends");
        assert!(reply.is_ok(), "{reply:?}");
    }
    let ledger =
        read_ledger(test_cluster.cluster.store.as_ref()).await.expect("the bills are read");
    assert_eq!(ledger.bills.len(), 10);
}

#[tokio::test(start_paused = true)]
async fn drain_bounded() {
    let mut test_cluster = slow_cluster().await;
    let caller = test_cluster.caller(0, CHEAP_TEAM);
    let chat =
        ChatRequest { tokens: 200, stream: true, timeout_ms: 600_000, ..ChatRequest::default() };
    let stream = tokio::spawn(async move { caller.chat(&chat).await });
    sleep(Duration::from_secs(1)).await;
    let drained = test_cluster.cluster.drain_node(0).await.expect("the node ran");
    assert_eq!(drained.requests_cut, 1);
    assert!(!stream.await.expect("the caller ends").complete);
}

#[tokio::test(start_paused = true)]
async fn claims_flushed() {
    let mut test_cluster = TestCluster::start(2, "").await;
    test_cluster.service_faults(&EngineFaults { late_ms: 2_000, ..EngineFaults::default() });
    let call = ServiceCall { idempotency_key: Some("k".to_owned()), ..ServiceCall::default() };
    let caller = test_cluster.caller(0, GOOD_TEAM);
    let sent = call.clone();
    let first = tokio::spawn(async move { caller.call(&sent).await });
    sleep(Duration::from_millis(500)).await;
    test_cluster.cluster.drain_node(0).await;
    assert_eq!(first.await.expect("the caller ends").status, 200);
    let duplicate = test_cluster.caller(1, GOOD_TEAM).call(&call).await;
    assert!(duplicate.replayed, "{duplicate:?}");
}

#[tokio::test(start_paused = true)]
async fn bills_wait_for_platform() {
    let mut test_cluster = TestCluster::start(1, "").await;
    test_cluster.platform_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    for index in 0..10 {
        let chat = ChatRequest { prompt: format!("outage {index}"), ..ChatRequest::default() };
        assert!(test_cluster.caller(0, CHEAP_TEAM).chat(&chat).await.is_ok());
    }
    let node = test_cluster.cluster.remove_node(0).expect("the node runs");
    let draining = tokio::spawn(node.drain().finish());
    sleep(Duration::from_secs(20)).await;
    test_cluster.platform_faults(PlatformFaults::default());
    let drained = draining.await.expect("the drain ends");
    assert_eq!(drained, DrainOutcome { requests_cut: 0, bills_lost: 0 });
    let ledger =
        read_ledger(test_cluster.cluster.store.as_ref()).await.expect("the bills are read");
    assert_eq!(ledger.bills.len(), 10);
}

#[tokio::test(start_paused = true)]
async fn lost_bill_answer() {
    let mut test_cluster = TestCluster::start(1, "").await;
    test_cluster
        .platform_faults(PlatformFaults { lost_answer_share: 0.8, ..PlatformFaults::default() });
    for index in 0..20 {
        let chat = ChatRequest { prompt: format!("lost {index}"), ..ChatRequest::default() };
        assert!(test_cluster.caller(0, CHEAP_TEAM).chat(&chat).await.is_ok());
        sleep(Duration::from_millis(700)).await;
    }
    test_cluster.cluster.drain_node(0).await;
    let ledger =
        read_ledger(test_cluster.cluster.store.as_ref()).await.expect("the bills are read");
    assert_eq!((ledger.bills.len(), ledger.duplicates), (20, 0), "{ledger:?}");
}

#[tokio::test(start_paused = true)]
async fn keyed_billed_once() {
    let mut test_cluster = TestCluster::start(2, "").await;
    for index in 0..10 {
        let chat = ChatRequest {
            prompt: "keyed".to_owned(),
            idempotency_key: Some("k".to_owned()),
            ..ChatRequest::default()
        };
        assert!(test_cluster.caller(index % 2, CHEAP_TEAM).chat(&chat).await.is_ok());
    }
    test_cluster.cluster.drain_node(0).await;
    test_cluster.cluster.drain_node(1).await;
    let ledger =
        read_ledger(test_cluster.cluster.store.as_ref()).await.expect("the bills are read");
    assert_eq!(ledger.bills.len(), 1);
}

/// A request whose head was partly received when connections began to close was cut while an engine
/// was at work on it.
#[tokio::test(start_paused = true)]
async fn late_head_cut() {
    let mut test_cluster = slow_cluster().await;
    let node = test_cluster.cluster.remove_node(0).expect("the node runs");
    let address = node.callers_address().to_owned();
    let mut connection = test_cluster.network.connect(&address).await.expect("the node listens");
    let draining = tokio::spawn(node.drain().finish());
    // The node stops accepting connections and starts to close them after 100 ms.
    sleep(Duration::from_millis(90)).await;
    let body = json!({
        "model": "auto", "max_tokens": 3, "messages": [{ "role": "user", "content": "late" }],
    });
    let body = body.to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n",
        api_key_of(CHEAP_TEAM),
        body.len()
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(20)).await;
    connection.write_all(format!("\r\n{body}").as_bytes()).await.unwrap();
    let mut response = Vec::new();
    connection.read_to_end(&mut response).await.unwrap();
    let response = String::from_utf8_lossy(&response);
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert_eq!(test_cluster.engine_runs().len(), 1);
    let drained = draining.await.expect("the drain ends");
    assert_eq!(drained, DrainOutcome { requests_cut: 0, bills_lost: 0 });
}
