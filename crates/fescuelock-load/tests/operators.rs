//! The operators' interface of a node and the commands of its client.

mod common;

use common::TestCluster;
use fescuelock_core::ids::KeyHash;
use fescuelock_load::cluster::ClusterOptions;
use fescuelock_operators::Error;
use fescuelock_operators::commands::{self, OutputFormat};
use fescuelock_operators::fleet::Fleet;

fn fleet(test_cluster: &TestCluster, key: Option<&str>) -> Fleet {
    let nodes = (0..test_cluster.cluster.len()).filter_map(|node| test_cluster.cluster.node(node));
    Fleet {
        network: test_cluster.cluster.network(),
        addresses: nodes.map(|node| node.operators_address().to_owned()).collect(),
        key: key.map(str::to_owned),
    }
}

#[tokio::test(start_paused = true)]
async fn status_shown() {
    let test_cluster = TestCluster::start(2, "").await;
    let text = commands::status(&fleet(&test_cluster, None), OutputFormat::Text)
        .await
        .expect("nodes answer");
    assert_eq!(text.lines().filter(|line| line.contains(" ready ")).count(), 2, "{text}");
    let json = commands::status(&fleet(&test_cluster, None), OutputFormat::Json)
        .await
        .expect("nodes answer");
    let json: serde_json::Value = serde_json::from_str(&json).expect("valid JSON");
    assert_eq!(json["nodes"][1]["status"]["node"], "node-1");
}

#[tokio::test(start_paused = true)]
async fn operator_key_required() {
    let test_cluster = TestCluster::start_with(ClusterOptions {
        nodes: 1,
        adjust_settings: |settings| settings.operators_key_hash = Some(KeyHash::of("operator")),
        ..ClusterOptions::default()
    })
    .await;
    for key in [None, Some("wrong"), Some("sample-summaries")] {
        let refused = commands::status(&fleet(&test_cluster, key), OutputFormat::Text).await;
        assert!(matches!(refused, Err(Error::Node { .. })), "{key:?}");
    }
    assert!(
        commands::status(&fleet(&test_cluster, Some("operator")), OutputFormat::Text).await.is_ok()
    );
}

#[tokio::test(start_paused = true)]
async fn lagging_nodes_listed() {
    let test_cluster = TestCluster::start(2, "").await;
    let fleet = fleet(&test_cluster, None);
    let generation = test_cluster.cluster.node(0).expect("runs").status().generation;
    fleet.wait_until_active(generation, 1_000).await.expect("the generation is in force");
    let Err(Error::Lagging { nodes, .. }) = fleet.wait_until_active(generation + 1, 1_000).await
    else {
        panic!("no node has the next generation");
    };
    assert_eq!(nodes, fleet.addresses);
}

#[tokio::test(start_paused = true)]
async fn unreachable_node() {
    let test_cluster = TestCluster::start(1, "").await;
    let mut fleet = fleet(&test_cluster, None);
    fleet.addresses.push("127.0.0.1:9".to_owned());
    let text = commands::status(&fleet, OutputFormat::Text).await.expect("one node answers");
    assert!(text.contains("node 127.0.0.1:9: "), "{text}");
}

#[test]
fn exit_codes() {
    let invalid = commands::check("zone a\n", OutputFormat::Text).expect_err("no asker is named");
    assert_eq!(invalid.exit_code(), 3);
    let text = commands::describe_error(&invalid, OutputFormat::Text);
    assert!(text.starts_with("line 1: error: `zone`: needs a comment"), "{text}");
    let conflict = Error::Conflict { base: 1, current: 2, changes: Vec::new() };
    assert_eq!(conflict.exit_code(), 4);
}
