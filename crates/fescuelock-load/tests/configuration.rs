//! An accepted configuration is in force on all nodes within seconds and is never rolled back.

mod common;

use std::time::Duration;

use common::TestCluster;
use fescuelock_load::caller::ChatRequest;
use fescuelock_load::samples::{CHEAP_TEAM, CHEAP_VERSION, rule};
use fescuelock_operators::{Error, edit};
use fescuelock_standin::faults::PlatformFaults;
use fescuelock_standin::platform::ListedVm;
use tokio::time::{Instant, sleep, timeout};

/// Longest time from a change of the rules until it is in force on all nodes.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(7);

fn comment(number: usize) -> impl Fn(&str) -> String {
    move |text| format!("{text}# edit {number}\n")
}

#[tokio::test(start_paused = true)]
async fn in_force() {
    let test_cluster = TestCluster::start(3, "").await;
    let started = Instant::now();
    test_cluster.edit(comment(1)).await;
    assert!(started.elapsed() < Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn silent_watches() {
    let test_cluster = TestCluster::start(3, "").await;
    test_cluster
        .platform_faults(PlatformFaults { silent_watches: true, ..PlatformFaults::default() });
    sleep(Duration::from_secs(10)).await;
    let started = Instant::now();
    let edited = timeout(Duration::from_secs(60), test_cluster.edit(comment(1))).await;
    assert!(edited.is_ok() && started.elapsed() < IN_FORCE_LIMIT, "{:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn silent_links() {
    let test_cluster = TestCluster::start(3, "").await;
    test_cluster.network.stall_connections(&test_cluster.cluster.deployment.platform_address);
    let started = Instant::now();
    let edited = timeout(Duration::from_secs(60), test_cluster.edit(comment(1))).await;
    assert!(edited.is_ok() && started.elapsed() < IN_FORCE_LIMIT, "{:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn after_outage() {
    let test_cluster = TestCluster::start(3, "").await;
    let generation = test_cluster.edit(comment(1)).await;
    test_cluster.platform_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    sleep(Duration::from_secs(1_200)).await;
    for node in 0..3 {
        assert_eq!(test_cluster.cluster.node(node).expect("runs").status().generation, generation);
        let reply = test_cluster.caller(node, CHEAP_TEAM).chat(&ChatRequest::default()).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
    test_cluster.platform_faults(PlatformFaults::default());
    let started = Instant::now();
    test_cluster.edit(comment(2)).await;
    assert!(started.elapsed() < IN_FORCE_LIMIT);
}

#[tokio::test(start_paused = true)]
async fn unconfirmed_not_ready() {
    let mut test_cluster = TestCluster::start(1, "").await;
    test_cluster.platform_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    let node = test_cluster.cluster.launch_node(0).await.expect("the node starts");
    sleep(Duration::from_secs(5)).await;
    assert!(!node.status().ready);
    let reply = fescuelock_load::caller::Caller::new(
        test_cluster.cluster.network(),
        node.callers_address(),
        &fescuelock_load::samples::api_key_of(CHEAP_TEAM),
    )
    .chat(&ChatRequest::default())
    .await;
    assert_eq!((reply.status, reply.code.as_str()), (503, "not_ready"));
    test_cluster.platform_faults(PlatformFaults::default());
    timeout(IN_FORCE_LIMIT, node.wait_until_ready()).await.expect("the node gets ready");
}

#[tokio::test(start_paused = true)]
async fn concurrent_edits() {
    let test_cluster = TestCluster::start(1, "").await;
    let store = test_cluster.cluster.store.as_ref();
    let current = edit::read_stored_rules(store).await.expect("reads").expect("there are rules");
    let shown = edit::with_generation_line(&current);
    let mine = format!("{shown}# mine\n");
    let theirs = format!("{shown}# theirs\n");
    edit::apply(store, &theirs, None).await.expect("the first edit is applied");
    let refused = edit::apply(store, &mine, None).await;
    let Err(Error::Conflict { changes, .. }) = refused else {
        panic!("the second edit must be refused: {refused:?}");
    };
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].to_string(), "+ # theirs");
}

#[tokio::test(start_paused = true)]
async fn lost_apply_answer() {
    let test_cluster = TestCluster::start(1, "").await;
    test_cluster
        .platform_faults(PlatformFaults { lost_answer_share: 1.0, ..PlatformFaults::default() });
    let applied = test_cluster.cluster.edit(comment(1)).await.expect("the write took effect");
    test_cluster.platform_faults(PlatformFaults::default());
    let current =
        edit::read_stored_rules(test_cluster.cluster.store.as_ref()).await.expect("reads");
    assert_eq!(current.expect("there are rules").generation, applied.generation);
}

#[tokio::test(start_paused = true)]
async fn invalid_rules() {
    let test_cluster = TestCluster::start(1, "").await;
    let refused = test_cluster.cluster.edit(|text| format!("{text}frob\n")).await;
    assert!(refused.is_err());
    assert!(test_cluster.caller(0, CHEAP_TEAM).chat(&ChatRequest::default()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn withdrawn_version() {
    let test_cluster = TestCluster::start(3, "").await;
    let withdraw = rule(&format!("withdraw {CHEAP_VERSION}"));
    test_cluster.edit(|text| format!("{text}{withdraw}")).await;
    for node in 0..3 {
        let reply = test_cluster.caller(node, CHEAP_TEAM).chat(&ChatRequest::default()).await;
        assert!(reply.is_ok() && reply.version != CHEAP_VERSION, "{reply:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn leaving_upstream() {
    let test_cluster = TestCluster::start(1, "").await;
    let leaving = ListedVm {
        name: "cheap-0".to_owned(),
        address: "127.0.0.1:19001".to_owned(),
        role: "upstream".to_owned(),
        state: "leaving".to_owned(),
        nodes_address: None,
    };
    test_cluster.cluster.deployment.platform.set_vms(vec![leaving]);
    sleep(Duration::from_secs(3)).await;
    for index in 0..20 {
        let chat = ChatRequest { prompt: format!("leaving {index}"), ..ChatRequest::default() };
        assert!(test_cluster.caller(0, CHEAP_TEAM).chat(&chat).await.is_ok());
    }
    assert_eq!(test_cluster.cluster.deployment.engines["cheap-0"].runs().len(), 0);
}

#[tokio::test(start_paused = true)]
async fn zone_out() {
    let test_cluster = TestCluster::start(2, "").await;
    let out = rule("zone-out zone-0");
    test_cluster.edit(|text| format!("{text}{out}")).await;
    for index in 0..20 {
        let chat = ChatRequest { prompt: format!("out {index}"), ..ChatRequest::default() };
        assert!(test_cluster.caller(index % 2, CHEAP_TEAM).chat(&chat).await.is_ok());
    }
    assert_eq!(test_cluster.cluster.deployment.engines["cheap-0"].runs().len(), 0);
}
