//! Rolling replacement of every node under streaming load.

use std::collections::BTreeSet;
use std::time::Duration;

use fescuelock_standin::deployment::DeploymentOptions;
use fescuelock_standin::engine::EngineOptions;
use fescuelock_store::bills::read_ledger;
use rand::RngExt;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::Result;
use crate::caller::{ChatRequest, Reply};
use crate::cluster::{Cluster, ClusterOptions};
use crate::experiments::ExperimentOptions;
use crate::experiments::traffic::{Collector, NodeDirectory, rng, runtime};
use crate::samples::{CHEAP_TEAM, SampleOptions, rules, with_rollout};

/// Number of nodes, as in today's deployments.
const NODES: usize = 9;
/// Number of callers, each with one session at a time.
const CALLERS: u64 = 100;
/// Port below those of the stand-ins, which are numbered upwards.
const BASE_PORT: u16 = 19_300;

/// `SessionTurn` is a reply within a session, with the version that the session is bound to.
struct SessionTurn {
    bound_version: String,
    reply: Reply,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns the error of the part that could not be started.
pub fn run(options: &ExperimentOptions) -> Result<Value> {
    runtime()?.block_on(measure(options))
}

async fn measure(options: &ExperimentOptions) -> Result<Value> {
    let sample = SampleOptions { base_port: BASE_PORT, ..SampleOptions::default() };
    let mut cluster = Cluster::start(ClusterOptions {
        nodes: NODES,
        rules: with_rollout(&rules(&sample), 50),
        seed: options.seed,
        deployment: DeploymentOptions {
            engine: EngineOptions {
                first_token_us: 20_000,
                token_gap_us: 10_000,
                ..EngineOptions::default()
            },
            ..DeploymentOptions::default()
        },
        adjust_settings: |settings| settings.shutdown.balancer_delay_ms = 300,
        ..ClusterOptions::default()
    })
    .await?;
    let directory = NodeDirectory::new(&cluster);
    let turns = Collector::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            tokio::spawn(run_sessions(directory.clone(), turns.clone(), options.seed, caller))
        })
        .collect();

    // The share of the new version changes while the nodes are replaced.
    let mut requests_cut = 0;
    let mut bills_lost = 0;
    let pause = Duration::from_secs(options.phase_s) / u32::try_from(NODES).unwrap_or(1);
    for node in 0..NODES {
        let leaving = cluster.remove_node(node);
        let draining = leaving.map(|leaving| tokio::spawn(leaving.drain().finish()));
        directory.update(&cluster);
        cluster.start_node(node).await?;
        directory.update(&cluster);
        let percent = [0, 50, 100][node % 3];
        cluster.edit(|text| with_rollout(text, percent)).await?;
        sleep(pause).await;
        if let Some(Ok(drained)) = match draining {
            Some(draining) => Some(draining.await),
            None => None,
        } {
            requests_cut += drained.requests_cut;
            bills_lost += drained.bills_lost;
        }
    }
    directory.stop_and_join(callers).await;
    for node in 0..NODES {
        if let Some(drained) = cluster.drain_node(node).await {
            requests_cut += drained.requests_cut;
            bills_lost += drained.bills_lost;
        }
    }
    let turns = turns.take();
    let ledger = read_ledger(cluster.store.as_ref()).await?;
    let billed: BTreeSet<String> = ledger.bills.keys().map(ToString::to_string).collect();
    let whole = turns.iter().filter(|turn| turn.reply.is_ok());
    let report = json!({
        "experiment": "replace",
        "seed": options.seed,
        "nodes_replaced": NODES,
        "requests": turns.len(),
        "ok": whole.clone().count(),
        "cut": turns.iter().filter(|turn| !turn.reply.is_ok()).count(),
        "session_moved": whole
            .clone()
            .filter(|turn| !turn.bound_version.is_empty() && turn.bound_version != turn.reply.version)
            .count(),
        "unbilled": whole.filter(|turn| !billed.contains(&turn.reply.request_id)).count(),
        "billed_twice": ledger.conflicting,
        "duplicate_records": ledger.duplicates,
        "billed_tokens": ledger.bills.values().map(|bill| bill.usage.output_tokens).sum::<u64>(),
        "engine_tokens": cluster
            .deployment
            .engines
            .values()
            .map(|engine| engine.report().output_tokens)
            .sum::<u64>(),
        "requests_cut_by_nodes": requests_cut,
        "bills_lost_by_nodes": bills_lost,
        "store_calls_per_s_max": cluster.deployment.platform.counts().per_s_max,
    });
    cluster.stop();
    Ok(report)
}

/// Runs sessions of 1 to 19 turns, one after the other.
async fn run_sessions(
    directory: NodeDirectory,
    collector: Collector<SessionTurn>,
    seed: u64,
    caller: u64,
) {
    let mut rng = rng(seed, caller);
    let mut number = 0;
    while directory.is_running() {
        let mut session = "new".to_owned();
        let mut bound_version = String::new();
        for _ in 0..rng.random_range(1..20) {
            number += 1;
            let chat = ChatRequest {
                prompt: format!("turn {caller} {number}"),
                tokens: rng.random_range(5..60),
                stream: true,
                session: Some(session.clone()),
                ..ChatRequest::default()
            };
            let reply = directory.caller(CHEAP_TEAM, &mut rng).chat(&chat).await;
            if let Some(token) = &reply.session {
                session.clone_from(token);
                bound_version.clone_from(&reply.version);
            }
            collector.add(SessionTurn { bound_version: bound_version.clone(), reply });
            if !directory.is_running() {
                return;
            }
        }
    }
}
