//! Links between nodes: membership, replicated bills, relayed rules and authentication keys.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::TestCluster;
use fescuelock_core::session::SigningKey;
use fescuelock_core::units::Usage;
use fescuelock_http::net::Network;
use fescuelock_load::caller::ChatRequest;
use fescuelock_load::samples::CHEAP_TEAM;
use fescuelock_nodes::Error;
use fescuelock_nodes::link::{HandshakeHello, Link, NodeKeys};
use fescuelock_nodes::members::{Member, MemberState, Members};
use fescuelock_nodes::messages::{BillReplica, Message, encode};
use fescuelock_router::node::Node;
use fescuelock_standin::faults::PlatformFaults;
use fescuelock_store::bills::{Bill, read_ledger};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tokio::time::{Instant, sleep};

/// Time for links to open and for membership tables to converge.
const SETTLE_TIME: Duration = Duration::from_secs(10);

fn chat(index: usize) -> ChatRequest {
    ChatRequest { prompt: format!("bill {index}"), ..ChatRequest::default() }
}

fn alive(test_cluster: &TestCluster, node: usize) -> u64 {
    test_cluster.cluster.node(node).expect("the node runs").status().nodes_alive
}

#[tokio::test(start_paused = true)]
async fn membership_converges() {
    let test_cluster = TestCluster::start(12, "").await;
    sleep(SETTLE_TIME).await;
    for node in 0..12 {
        assert_eq!(alive(&test_cluster, node), 12);
        let links = test_cluster.cluster.node(node).expect("runs").status().links;
        assert!((1..=12).contains(&links), "{links} links");
    }
}

#[tokio::test(start_paused = true)]
async fn links_bounded() {
    let test_cluster = TestCluster::start(40, "").await;
    sleep(4 * SETTLE_TIME).await;
    let links: Vec<u64> =
        (0..40).map(|node| test_cluster.cluster.node(node).expect("runs").status().links).collect();
    let total: u64 = links.iter().sum();
    assert!(total <= 40 * 9, "{links:?}");
    assert!(links.iter().all(|&links| links >= 3), "{links:?}");
    assert!((0..40).all(|node| alive(&test_cluster, node) == 40));
}

#[tokio::test(start_paused = true)]
async fn node_failure_detected() {
    let mut test_cluster = TestCluster::start(5, "").await;
    sleep(SETTLE_TIME).await;
    test_cluster.cluster.kill_node(2);
    sleep(2 * SETTLE_TIME).await;
    for node in [0, 1, 3, 4] {
        assert_eq!(alive(&test_cluster, node), 4);
    }
    test_cluster.cluster.start_node(2).await.expect("the node starts");
    sleep(SETTLE_TIME).await;
    for node in 0..5 {
        assert_eq!(alive(&test_cluster, node), 5);
    }
}

#[tokio::test(start_paused = true)]
async fn suspicion_refuted() {
    let test_cluster = TestCluster::start(5, "").await;
    sleep(SETTLE_TIME).await;
    for node in 0..5 {
        let address = test_cluster.cluster.node(node).expect("runs").nodes_address().to_owned();
        test_cluster.network.stall_connections(&address);
    }
    sleep(2 * SETTLE_TIME).await;
    for node in 0..5 {
        assert_eq!(alive(&test_cluster, node), 5);
        assert!(test_cluster.cluster.node(node).expect("runs").status().links > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn bills_taken_over() {
    let mut test_cluster = TestCluster::start(3, "").await;
    sleep(SETTLE_TIME).await;
    let mut billed = BTreeSet::new();
    for index in 0..20 {
        let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&chat(index)).await;
        assert!(reply.is_ok());
        billed.insert(reply.request_id);
    }
    test_cluster.cluster.kill_node(0);
    sleep(SETTLE_TIME).await;
    let ledger = read_ledger(test_cluster.cluster.store.as_ref()).await.expect("bills are read");
    let recorded: BTreeSet<String> = ledger.bills.keys().map(ToString::to_string).collect();
    assert_eq!(recorded, billed);
}

#[tokio::test(start_paused = true)]
async fn bill_holder_killed() {
    let mut test_cluster = TestCluster::start(3, "").await;
    sleep(SETTLE_TIME).await;
    for index in 0..20 {
        assert!(test_cluster.caller(0, CHEAP_TEAM).chat(&chat(index)).await.is_ok());
    }
    test_cluster.cluster.kill_node(1);
    test_cluster.cluster.kill_node(2);
    for index in 20..40 {
        assert!(test_cluster.caller(0, CHEAP_TEAM).chat(&chat(index)).await.is_ok());
    }
    sleep(SETTLE_TIME).await;
    let ledger = read_ledger(test_cluster.cluster.store.as_ref()).await.expect("bills are read");
    assert_eq!(ledger.bills.len(), 40);
}

#[tokio::test(start_paused = true)]
async fn rules_relayed() {
    let mut test_cluster = TestCluster::start(3, "").await;
    sleep(SETTLE_TIME).await;
    test_cluster.platform_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    sleep(SETTLE_TIME).await;
    // During an outage of the platform, a new node takes its rules from other nodes, but only if
    // several hold the same ones.
    let others: Vec<String> = [1, 2]
        .map(|node| test_cluster.cluster.node(node).expect("runs").nodes_address().to_owned())
        .to_vec();
    let generation = test_cluster.cluster.node(1).expect("runs").status().generation;
    test_cluster.cluster.kill_node(0);
    let mut settings = test_cluster.cluster.settings(0);
    settings.mesh.seeds = others;
    let environment = test_cluster.cluster.environment();
    let node = Node::start(settings, environment).await.expect("the node starts");
    tokio::time::timeout(SETTLE_TIME, node.wait_until_ready()).await.expect("the node gets ready");
    assert_eq!(node.status().generation, generation);
}

#[tokio::test(start_paused = true)]
async fn rules_from_peer() {
    let test_cluster = TestCluster::start(3, "").await;
    sleep(SETTLE_TIME).await;
    // With stale reads and silent watches, a node learns of a change only from a peer.
    test_cluster.platform_faults(PlatformFaults {
        silent_watches: true,
        stale_reads: true,
        ..PlatformFaults::default()
    });
    sleep(SETTLE_TIME).await;
    let before = test_cluster.cluster.node(0).expect("runs").status().generation;
    test_cluster.platform_faults(PlatformFaults::default());
    let started = Instant::now();
    test_cluster.edit(|text| format!("{text}# edit\n")).await;
    assert!(started.elapsed() < Duration::from_secs(7));
    assert!(test_cluster.cluster.node(0).expect("runs").status().generation > before);
}

fn hello(node: &str, key: &str) -> HandshakeHello {
    HandshakeHello { node: node.to_owned(), nonce: 7, key: key.to_owned() }
}

fn keys(name: &str, secret: &[u8]) -> NodeKeys {
    NodeKeys { keys: vec![SigningKey { name: name.to_owned(), secret: secret.to_vec() }] }
}

#[tokio::test(start_paused = true)]
async fn wrong_key() {
    let test_cluster = TestCluster::start(1, "").await;
    let node = test_cluster.cluster.node(0).expect("the node runs");
    for (name, secret) in [("sample", b"wrong secret wrong"), ("other", b"fedcba9876543210xx")] {
        let io = test_cluster.network.connect(node.nodes_address()).await.expect("connects");
        let dialled = Link::dial(io, &keys(name, secret), hello("intruder", name)).await;
        assert!(
            matches!(
                dialled,
                Err(Error::Unauthenticated | Error::Closed | Error::ConnectionFailed(_))
            ),
            "a node with a wrong key opened a link"
        );
    }
    sleep(Duration::from_secs(1)).await;
    assert_eq!(alive(&test_cluster, 0), 1);
    assert_eq!(node.status().counters["links.refused"], 2);
}

fn member(node: u8, incarnation: u64, state: MemberState) -> Member {
    Member {
        node: format!("node-{node}"),
        address: format!("127.0.0.1:{node}"),
        zone: "zone".to_owned(),
        incarnation,
        state,
    }
}

fn any_member() -> impl Strategy<Value = Member> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left),
    ];
    (1u8..6, 0u64..4, state).prop_map(|(node, incarnation, state)| member(node, incarnation, state))
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    #[test]
    fn merge_order_independent(entries in proptest::collection::vec(any_member(), 0..40)) {
        let own = member(0, 1, MemberState::Alive);
        let mut forward = Members::new(own.clone());
        forward.merge(entries.clone());
        let mut backward = Members::new(own);
        for entry in entries.into_iter().rev() {
            backward.merge(vec![entry.clone()]);
            backward.merge(vec![entry]);
        }
        prop_assert_eq!(forward.digest(), backward.digest());
    }

    #[test]
    fn own_state_refuted(incarnation in 0u64..10, suspicion in 0u64..10) {
        let mut members = Members::new(member(0, incarnation, MemberState::Alive));
        members.merge(vec![member(0, suspicion, MemberState::Suspect)]);
        let own = members.get("node-0").expect("the table holds the node itself");
        prop_assert_eq!(own.state, MemberState::Alive);
        prop_assert!(own.incarnation > suspicion || suspicion < incarnation);
    }
}

#[test]
fn bill_messages_small() {
    let bill = Bill {
        request: "0123456789abcdef0123456789abcdef".parse().expect("a request id"),
        team: "estimators-piedmont".to_owned(),
        serving: "draft/medium-5".to_owned(),
        usage: Usage { input_tokens: 1_500, output_tokens: 700 },
        cost_micros: 1_290,
        at_ms: 1_796_000_000_000,
    };
    let size = |message: &Message| encode(message).expect("it is encoded").len();
    let hold = size(&Message::Replicate(100_000, vec![BillReplica::from(&bill)]));
    let held = size(&Message::ReplicateAck(100_000));
    let release = size(&Message::Release(vec![bill.request.into()]));
    println!("hold {hold}, held {held}, release {release} bytes");
    // The budget for control traffic is 3 KB/s per node at 14 requests per second.
    assert!(14 * (hold + held + release) <= 3_000);
}
