//! Demonstration of a deployment in one process with mixed traffic.

use std::collections::BTreeMap;

use fescuelock_operators::commands::{self, OutputFormat};
use http::Method;

use crate::Result;
use crate::caller::{Caller, ChatRequest, Reply, ServiceCall};
use crate::cluster::{Cluster, ClusterOptions};
use crate::samples::{
    CHEAP_ONLY_TEAM, CHEAP_TEAM, GOOD_TEAM, NEXT_VERSION, SampleOptions, api_key_of, rule, rules,
    with_rollout,
};

/// Requests of each kind that the demonstration sends.
const REQUESTS_PER_KIND: usize = 30;

/// Runs the demonstration and prints what happened.
///
/// # Errors
///
/// Returns the error of the part that could not be started.
pub async fn run() -> Result<()> {
    let text = rules(&SampleOptions::default());
    println!("Starting a platform, 4 engines, 2 booking VMs and 3 router nodes in this process.");
    let options = ClusterOptions { rules: text, ..ClusterOptions::default() };
    let mut cluster = Cluster::start(options).await?;
    println!("\nChat requests, each placed on the cheapest version that its team accepts:");
    send_chats(&cluster, CHEAP_TEAM, "auto").await;
    send_chats(&cluster, GOOD_TEAM, "auto").await;
    send_chats(&cluster, CHEAP_ONLY_TEAM, "draft/large-1").await;

    println!("\nBookings, each sent twice with one idempotency key through two nodes:");
    send_bookings(&cluster).await;

    println!("\nA roll-out: half of the cheap requests go to {NEXT_VERSION}.");
    let applied = cluster.edit(|text| with_rollout(text, 50)).await?;
    println!("{}", commands::describe_applied(&applied, OutputFormat::Text));
    cluster.wait_until_in_force(applied.generation).await;
    let session = start_session(&cluster).await;
    send_chats(&cluster, CHEAP_TEAM, "auto").await;

    println!("\nThe session's version is withdrawn:");
    let withdraw = rule(&format!("withdraw {}", session.version));
    let applied = cluster.edit(|text| format!("{text}{withdraw}")).await?;
    cluster.wait_until_in_force(applied.generation).await;
    let chat = ChatRequest {
        prompt: "after the withdrawal".to_owned(),
        session: session.session,
        ..ChatRequest::default()
    };
    let reply = caller(&cluster, 1, CHEAP_TEAM).chat(&chat).await;
    println!("  status {}, code {}, outcome {}", reply.status, reply.code, reply.outcome);
    send_chats(&cluster, CHEAP_TEAM, "auto").await;

    println!("\nOne node is killed and one is drained; requests go on through the last:");
    cluster.kill_node(0);
    let drained = cluster.drain_node(1).await;
    println!("  drained: {drained:?}");
    send_chats(&cluster, CHEAP_TEAM, "auto").await;
    if let Some(node) = cluster.remove_node(2) {
        node.drain().finish().await;
    }
    println!("\nBills:\n{}", commands::bills(cluster.store.as_ref(), OutputFormat::Text).await?);
    let counts = cluster.deployment.platform.counts();
    println!("Platform calls: {} reads, {} writes", counts.reads, counts.writes);
    cluster.stop();
    Ok(())
}

fn caller(cluster: &Cluster, node: usize, team: &str) -> Caller {
    let addresses = cluster.caller_addresses();
    Caller::new(cluster.network(), &addresses[node % addresses.len()], &api_key_of(team))
}

/// Sends chat requests, alternately streamed and not, through all nodes and prints the outcomes.
async fn send_chats(cluster: &Cluster, team: &str, model: &str) {
    let mut outcomes = BTreeMap::<String, u64>::new();
    let mut cost_micros = 0;
    for index in 0..REQUESTS_PER_KIND {
        let chat = ChatRequest {
            model: model.to_owned(),
            prompt: format!("{team} {model} {index}"),
            stream: index % 2 == 0,
            ..ChatRequest::default()
        };
        let reply = caller(cluster, index, team).chat(&chat).await;
        cost_micros += reply.cost_micros;
        *outcomes.entry(describe_reply(&reply)).or_default() += 1;
    }
    for (outcome, count) in outcomes {
        println!("  {team:<12} asked for {model:<14} {count:>3} x {outcome}");
    }
    println!("  {team:<12} paid {cost_micros} micro-units");
}

async fn send_bookings(cluster: &Cluster) {
    let mut replayed = 0;
    for index in 0..REQUESTS_PER_KIND {
        let call = ServiceCall {
            body: format!("pane {index}"),
            idempotency_key: Some(format!("order-{index}")),
            ..ServiceCall::default()
        };
        caller(cluster, index, GOOD_TEAM).call(&call).await;
        let duplicate = caller(cluster, index + 1, GOOD_TEAM).call(&call).await;
        replayed += u64::from(duplicate.replayed);
    }
    let ran: usize = cluster.deployment.services.values().map(|service| service.runs().len()).sum();
    println!(
        "  {} attempts, {ran} ran, {replayed} duplicates got the first answer",
        REQUESTS_PER_KIND * 2
    );
    let lookup = ServiceCall {
        method: Method::GET,
        path: "/services/booking/orders/1".to_owned(),
        ..ServiceCall::default()
    };
    let reply = caller(cluster, 0, GOOD_TEAM).call(&lookup).await;
    println!("  a lookup: status {}, outcome {}", reply.status, reply.outcome);
}

async fn start_session(cluster: &Cluster) -> Reply {
    let chat = ChatRequest {
        prompt: "first of a session".to_owned(),
        session: Some("new".to_owned()),
        ..ChatRequest::default()
    };
    let reply = caller(cluster, 0, CHEAP_TEAM).chat(&chat).await;
    println!("  a session starts on {}", reply.version);
    reply
}

fn describe_reply(reply: &Reply) -> String {
    match reply.is_ok() {
        true => format!("complete answer from {}", reply.version),
        false => format!("status {} {} ({})", reply.status, reply.code, reply.outcome),
    }
}
