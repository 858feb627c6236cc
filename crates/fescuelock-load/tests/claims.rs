//! Non-idempotent calls with an idempotency key run at most once.

mod common;

use std::time::Duration;

use common::TestCluster;
use fescuelock_load::caller::ServiceCall;
use fescuelock_load::cluster::ClusterOptions;
use fescuelock_load::samples::{CHEAP_TEAM, GOOD_TEAM};
use fescuelock_standin::faults::{EngineFaults, PlatformFaults};
use http::Method;
use tokio::time::sleep;

fn order(key: &str) -> ServiceCall {
    ServiceCall {
        body: "one pane".to_owned(),
        idempotency_key: Some(key.to_owned()),
        timeout_ms: 300_000,
        ..ServiceCall::default()
    }
}

#[tokio::test(start_paused = true)]
async fn duplicate_replayed() {
    let test_cluster = TestCluster::start(2, "").await;
    let first = test_cluster.caller(0, GOOD_TEAM).call(&order("k")).await;
    let second = test_cluster.caller(1, GOOD_TEAM).call(&order("k")).await;
    assert_eq!((first.status, second.status), (200, 200));
    assert!(!first.replayed && second.replayed);
    assert_eq!(first.text, second.text);
    assert_eq!(first.request_id, second.request_id);
    assert_eq!(test_cluster.service_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn concurrent_duplicates() {
    let test_cluster = TestCluster::start(3, "").await;
    test_cluster.service_faults(&EngineFaults { late_ms: 500, ..EngineFaults::default() });
    let callers: Vec<_> = (0..9)
        .map(|index| {
            let caller = test_cluster.caller(index % 3, GOOD_TEAM);
            tokio::spawn(async move { caller.call(&order("k")).await })
        })
        .collect();
    for caller in callers {
        let reply = caller.await.expect("the caller ends");
        assert_eq!((reply.status, reply.outcome.as_str()), (200, "ran"), "{reply:?}");
    }
    assert_eq!(test_cluster.service_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn first_node_killed() {
    let mut test_cluster = TestCluster::start(2, "").await;
    test_cluster.service_faults(&EngineFaults { late_ms: 3_000, ..EngineFaults::default() });
    let caller = test_cluster.caller(0, GOOD_TEAM);
    let first = tokio::spawn(async move { caller.call(&order("k")).await });
    sleep(Duration::from_millis(1_000)).await;
    test_cluster.cluster.kill_node(0);
    let second = test_cluster.caller(1, GOOD_TEAM).call(&order("k")).await;
    assert_eq!((second.status, second.code.as_str()), (409, "already_attempted"));
    assert_eq!(second.outcome, "unknown");
    assert_eq!(first.await.expect("the caller ends").status, 0);
    assert_eq!(test_cluster.service_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_platform_answer() {
    let test_cluster = TestCluster::start(2, "").await;
    test_cluster
        .platform_faults(PlatformFaults { lost_answer_share: 0.7, ..PlatformFaults::default() });
    let mut ran = 0;
    for index in 0..20 {
        let key = format!("k{index}");
        let first = test_cluster.caller(0, GOOD_TEAM).call(&order(&key)).await;
        let second = test_cluster.caller(1, GOOD_TEAM).call(&order(&key)).await;
        for reply in [&first, &second] {
            let status_and_outcome = (reply.status, reply.outcome.as_str());
            let allowed =
                matches!(status_and_outcome, (200, "ran") | (503, "not_run") | (409, "unknown"));
            assert!(allowed, "{reply:?}");
        }
        let runs = test_cluster.service_runs().len() - ran;
        assert!(runs <= 1, "{key} ran {runs} times");
        let answered = first.outcome == "ran" || second.outcome == "ran";
        assert_eq!(runs == 1, answered, "{first:?} {second:?}");
        ran += runs;
    }
    assert!(ran > 0, "no call ran");
}

#[tokio::test(start_paused = true)]
async fn refused_during_outage() {
    let test_cluster = TestCluster::start(1, "").await;
    test_cluster.platform_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    let reply = test_cluster.caller(0, GOOD_TEAM).call(&order("k")).await;
    assert_eq!((reply.status, reply.code.as_str()), (503, "claim_unavailable"));
    assert_eq!(reply.outcome, "not_run");
    // Requests that need no claim are still served.
    let lookup = ServiceCall { method: Method::GET, ..order("k") };
    assert_eq!(test_cluster.caller(0, GOOD_TEAM).call(&lookup).await.status, 200);
    let unkeyed = ServiceCall { idempotency_key: None, ..order("") };
    assert_eq!(test_cluster.caller(0, GOOD_TEAM).call(&unkeyed).await.status, 200);
    assert_eq!(test_cluster.service_runs().len(), 1);

    test_cluster.platform_faults(PlatformFaults::default());
    sleep(Duration::from_secs(5)).await;
    assert_eq!(test_cluster.caller(0, GOOD_TEAM).call(&order("k")).await.status, 200);
    assert_eq!(test_cluster.service_runs().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn unreachable_claim_released() {
    let test_cluster = TestCluster::start(2, "").await;
    let drain =
        "drain booking-0  # asked by a test: away\ndrain booking-1  # asked by a test: away\n";
    test_cluster.edit(|text| format!("{text}{drain}")).await;
    let reply = test_cluster.caller(0, GOOD_TEAM).call(&order("k")).await;
    assert_eq!((reply.status, reply.outcome.as_str()), (503, "not_run"));
    test_cluster.edit(|text| text.replace(drain, "")).await;
    let reply = test_cluster.caller(1, GOOD_TEAM).call(&order("k")).await;
    assert_eq!((reply.status, reply.outcome.as_str()), (200, "ran"));
    assert_eq!(test_cluster.service_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn key_reused() {
    let test_cluster = TestCluster::start(2, "").await;
    assert_eq!(test_cluster.caller(0, GOOD_TEAM).call(&order("k")).await.status, 200);
    let other = ServiceCall { body: "two panes".to_owned(), ..order("k") };
    let reply = test_cluster.caller(1, GOOD_TEAM).call(&other).await;
    assert_eq!((reply.status, reply.code.as_str()), (422, "key_reused"));
    assert_eq!(test_cluster.service_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn keys_per_team() {
    let test_cluster = TestCluster::start(1, "").await;
    let first = test_cluster.caller(0, GOOD_TEAM).call(&order("k")).await;
    let second = test_cluster.caller(0, CHEAP_TEAM).call(&order("k")).await;
    assert!(!second.replayed);
    assert_ne!(first.request_id, second.request_id);
    assert_eq!(test_cluster.service_runs().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn lost_upstream_answer() {
    let test_cluster = TestCluster::start_with(ClusterOptions {
        nodes: 2,
        adjust_settings: |settings| settings.requests.answer_timeout_ms = 500,
        ..ClusterOptions::default()
    })
    .await;
    test_cluster
        .service_faults(&EngineFaults { lost_answer_share: 1.0, ..EngineFaults::default() });
    let first = test_cluster.caller(0, GOOD_TEAM).call(&order("k")).await;
    assert_eq!((first.outcome.as_str(), first.code.as_str()), ("unknown", "answer_timeout"));
    test_cluster.service_faults(&EngineFaults::default());
    let second = test_cluster.caller(1, GOOD_TEAM).call(&order("k")).await;
    assert_eq!((second.outcome.as_str(), second.code.as_str()), ("unknown", "already_attempted"));
    assert_eq!(test_cluster.service_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn idempotent_retried() {
    let test_cluster = TestCluster::start(1, "").await;
    test_cluster.cluster.deployment.services["booking-0"]
        .set_faults(EngineFaults { crossed: true, ..EngineFaults::default() });
    for index in 0..10 {
        let path = format!("/services/booking/notes/{index}");
        let call = ServiceCall { method: Method::PUT, path, ..ServiceCall::default() };
        assert_eq!(test_cluster.caller(0, GOOD_TEAM).call(&call).await.status, 200);
    }
}

#[tokio::test(start_paused = true)]
async fn claim_writes_batched() {
    let test_cluster = TestCluster::start_with(ClusterOptions {
        nodes: 1,
        adjust_settings: |settings| settings.claims.shards = 1,
        ..ClusterOptions::default()
    })
    .await;
    let before = test_cluster.cluster.deployment.platform.counts().writes;
    let callers: Vec<_> = (0..50)
        .map(|index| {
            let caller = test_cluster.caller(0, GOOD_TEAM);
            tokio::spawn(async move { caller.call(&order(&format!("k{index}"))).await })
        })
        .collect();
    for caller in callers {
        assert_eq!(caller.await.expect("the caller ends").status, 200);
    }
    sleep(Duration::from_secs(1)).await;
    let writes = test_cluster.cluster.deployment.platform.counts().writes - before;
    // Unbatched, a claim and a result for each of the 50 calls would take 100 writes.
    assert!(writes <= 20, "{writes} writes");
}
