//! Complete and correct answers despite cut streams, mismatched or late answers, silent engines.

mod common;

use common::TestCluster;
use fescuelock_load::caller::ChatRequest;
use fescuelock_load::cluster::ClusterOptions;
use fescuelock_load::samples::{CHEAP_TEAM, CHEAP_VERSION, SampleOptions, rule, rules};
use fescuelock_standin::faults::EngineFaults;
use fescuelock_store::bills::read_ledger;
use tokio::time::Instant;

fn stream(prompt: &str) -> ChatRequest {
    ChatRequest { prompt: prompt.to_owned(), tokens: 20, stream: true, ..ChatRequest::default() }
}

fn non_streaming(prompt: &str) -> ChatRequest {
    ChatRequest { stream: false, ..stream(prompt) }
}

/// Sets the faults of only the first engine of the cheap model.
fn set_first_engine_faults(test_cluster: &TestCluster, faults: EngineFaults) {
    test_cluster.cluster.deployment.engines["cheap-0"].set_faults(faults);
}

#[tokio::test(start_paused = true)]
async fn cut_resumed() {
    for cut_cleanly in [false, true] {
        let test_cluster = TestCluster::start(1, "").await;
        set_first_engine_faults(
            &test_cluster,
            EngineFaults { cut_after_tokens: Some(7), cut_cleanly, ..EngineFaults::default() },
        );
        for index in 0..20 {
            let reply =
                test_cluster.caller(0, CHEAP_TEAM).chat(&stream(&format!("cut {index}"))).await;
            assert!(reply.is_ok(), "{reply:?}");
            assert_eq!(reply.tokens, 20);
        }
        let node = test_cluster.cluster.node(0).expect("the node runs");
        assert!(node.status().counters["streams.resumed"] > 0);
        test_cluster.cluster.node(0).expect("the node runs");
    }
}

/// An engine that sent nothing for some seconds, before its answer or in a stream, was replaced
/// although it would have gone on.
#[tokio::test(start_paused = true)]
async fn silent_engine_kept() {
    for faults in [
        EngineFaults { late_ms: 3_000, ..EngineFaults::default() },
        EngineFaults { pause_after_tokens: Some(7), pause_ms: 3_000, ..EngineFaults::default() },
    ] {
        let test_cluster = TestCluster::start(1, "").await;
        test_cluster.engine_faults(&faults);
        let started = Instant::now();
        for chat in [stream("silent"), non_streaming("silent too")] {
            let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&chat).await;
            assert!(reply.is_ok(), "{reply:?}");
            assert_eq!(reply.tokens, 20);
        }
        assert!(started.elapsed().as_secs() >= 3, "the engine was silent");
        let node = test_cluster.cluster.node(0).expect("the node runs");
        let resumed = node.status().counters.get("streams.resumed").copied().unwrap_or(0);
        assert_eq!(resumed, 0);
    }
}

#[tokio::test(start_paused = true)]
async fn cut_everywhere() {
    let test_cluster = TestCluster::start(1, "").await;
    test_cluster
        .engine_faults(&EngineFaults { cut_after_tokens: Some(2), ..EngineFaults::default() });
    let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&stream("cut")).await;
    // The stream ends with an explicit error and is not closed cleanly.
    assert!(!reply.complete, "{reply:?}");
    assert_eq!((reply.outcome.as_str(), reply.code.as_str()), ("unknown", "answer_cut"));
    assert!(!reply.is_misdelivered);
}

#[tokio::test(start_paused = true)]
async fn crossed_answers() {
    let test_cluster = TestCluster::start(1, "").await;
    set_first_engine_faults(
        &test_cluster,
        EngineFaults { crossed: true, ..EngineFaults::default() },
    );
    for index in 0..10 {
        for chat in [stream(&format!("s {index}")), non_streaming(&format!("w {index}"))] {
            let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&chat).await;
            assert!(reply.is_ok(), "{reply:?}");
        }
    }
    let node = test_cluster.cluster.node(0).expect("the node runs");
    assert!(node.status().counters["upstream.answers_crossed"] > 0);
}

#[tokio::test(start_paused = true)]
async fn late_answers() {
    let sample = SampleOptions { engines: 1, ..SampleOptions::default() };
    let test_cluster = TestCluster::start_with(ClusterOptions {
        nodes: 1,
        rules: rules(&sample),
        adjust_settings: |settings| settings.requests.answer_timeout_ms = 200,
        ..ClusterOptions::default()
    })
    .await;
    set_first_engine_faults(
        &test_cluster,
        EngineFaults { late_ms: 500, ..EngineFaults::default() },
    );
    let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&non_streaming("late")).await;
    assert_eq!((reply.outcome.as_str(), reply.code.as_str()), ("unknown", "answer_timeout"));
    // The late answer must not reach the requests that follow.
    set_first_engine_faults(&test_cluster, EngineFaults::default());
    for index in 0..5 {
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        let reply =
            test_cluster.caller(0, CHEAP_TEAM).chat(&non_streaming(&format!("next {index}"))).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn silent_connections() {
    let test_cluster = TestCluster::start(1, "").await;
    let caller = test_cluster.caller(0, CHEAP_TEAM);
    assert!(caller.chat(&non_streaming("before")).await.is_ok());
    for port in 19_001..=19_004 {
        test_cluster.network.stall_connections(&format!("127.0.0.1:{port}"));
    }
    // The pooled connections are silenced; a retry uses a new connection.
    for chat in [non_streaming("after"), stream("after")] {
        let reply = test_cluster
            .caller(0, CHEAP_TEAM)
            .chat(&ChatRequest { timeout_ms: 300_000, ..chat })
            .await;
        assert!(reply.is_ok(), "{reply:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn silent_mid_stream() {
    let test_cluster = TestCluster::start(1, "").await;
    test_cluster.engine_faults(&EngineFaults { silent: true, ..EngineFaults::default() });
    let chat = ChatRequest { timeout_ms: 1_000_000, ..stream("silent") };
    let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&chat).await;
    assert_eq!((reply.outcome.as_str(), reply.code.as_str()), ("unknown", "answer_timeout"));
}

#[tokio::test(start_paused = true)]
async fn resumed_billed_once() {
    let mut test_cluster = TestCluster::start(1, "").await;
    set_first_engine_faults(
        &test_cluster,
        EngineFaults { cut_after_tokens: Some(7), ..EngineFaults::default() },
    );
    for index in 0..10 {
        assert!(
            test_cluster
                .caller(0, CHEAP_TEAM)
                .chat(&stream(&format!("bill {index}")))
                .await
                .is_ok()
        );
    }
    test_cluster.cluster.drain_node(0).await;
    let ledger =
        read_ledger(test_cluster.cluster.store.as_ref()).await.expect("the bills are read");
    assert_eq!(ledger.bills.len(), 10);
    let billed: u64 = ledger.bills.values().map(|bill| bill.usage.output_tokens).sum();
    let generated: u64 = test_cluster.engine_runs().iter().map(|run| run.output_tokens).sum();
    assert_eq!((billed, generated), (200, 200));
}

#[tokio::test(start_paused = true)]
async fn withdrawn_not_resumed() {
    let test_cluster = TestCluster::start_with(ClusterOptions {
        nodes: 1,
        rules: rules(&SampleOptions::default()),
        deployment: fescuelock_standin::deployment::DeploymentOptions {
            engine: fescuelock_standin::engine::EngineOptions {
                token_gap_us: 1_000_000,
                ..Default::default()
            },
            ..Default::default()
        },
        ..ClusterOptions::default()
    })
    .await;
    test_cluster
        .engine_faults(&EngineFaults { cut_after_tokens: Some(10), ..EngineFaults::default() });
    let caller = test_cluster.caller(0, CHEAP_TEAM);
    let streaming = tokio::spawn(async move {
        caller.chat(&ChatRequest { timeout_ms: 600_000, ..stream("withdrawn") }).await
    });
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    let withdraw = rule(&format!("withdraw {CHEAP_VERSION}"));
    test_cluster.edit(|text| format!("{text}{withdraw}")).await;
    let runs = test_cluster.engine_runs().len();
    let reply = streaming.await.expect("the caller ends");
    assert!(!reply.complete && reply.outcome == "unknown", "{reply:?}");
    assert_eq!(
        test_cluster.engine_runs().len(),
        runs,
        "a withdrawn version received a new request"
    );
}

#[tokio::test(start_paused = true)]
async fn failure_names_no_version() {
    let test_cluster = TestCluster::start(1, "").await;
    test_cluster.engine_faults(&EngineFaults { crossed: true, ..EngineFaults::default() });
    let chat = ChatRequest { session: Some("new".to_owned()), ..non_streaming("crossed") };
    let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&chat).await;
    assert_eq!((reply.outcome.as_str(), reply.code.as_str()), ("unknown", "answer_invalid"));
    assert_eq!((reply.version.as_str(), reply.session), ("", None));
    assert_eq!(reply.request_id.len(), 32);
}

#[tokio::test(start_paused = true)]
async fn http2_engines() {
    let sample = SampleOptions { protocol: "http2".to_owned(), ..SampleOptions::default() };
    let test_cluster = TestCluster::start_with(ClusterOptions {
        nodes: 1,
        rules: rules(&sample),
        ..ClusterOptions::default()
    })
    .await;
    for index in 0..10 {
        for chat in [stream(&format!("s {index}")), non_streaming(&format!("w {index}"))] {
            let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&chat).await;
            assert!(reply.is_ok(), "{reply:?}");
        }
    }
}
