//! Keyed bookings with duplicates through all nodes, while nodes are killed and the platform loses
//! answers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fescuelock_standin::faults::{EngineFaults, PlatformFaults};
use fescuelock_store::bills::read_ledger;
use rand::RngExt;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::Result;
use crate::caller::{Call, Reply};
use crate::cluster::{Cluster, ClusterOptions};
use crate::experiments::ExperimentOptions;
use crate::experiments::traffic::{Directory, Record, rng, runtime};
use crate::samples::{CHEAP_TEAM, SampleOptions, rules};

/// Nodes of the deployment, as many as a deployment has today.
const NODES: usize = 9;
/// Callers that send one booking after the other.
const CALLERS: u64 = 24;
/// Share of platform writes whose answer is lost.
const LOST_ANSWER_SHARE: f64 = 0.05;
/// Share of service calls whose answer is lost.
const LOST_CALL_SHARE: f64 = 0.02;
/// Time after which a caller repeats a booking through another node, in milliseconds.
const PATIENCE_MS: u64 = 150;
/// Largest number of attempts of one booking.
const ATTEMPTS_MAX: u32 = 4;
/// First port of the stand-ins.
const FIRST_PORT: u16 = 19_200;

/// `Attempt` is one try of a booking.
struct Attempt {
    key: String,
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
    let sample = SampleOptions { first_port: FIRST_PORT, ..SampleOptions::default() };
    let mut cluster = Cluster::start(ClusterOptions {
        nodes: NODES,
        rules: rules(&sample),
        seed: options.seed,
        adjust: |settings| {
            settings.path.answer_timeout_ms = 1_000;
            settings.platform_call_timeout_ms = 300;
            settings.path.claim_wait_ms = 500;
        },
        ..ClusterOptions::default()
    })
    .await?;
    for service in cluster.deployment.services.values() {
        service.set_faults(EngineFaults {
            lost_answer_share: LOST_CALL_SHARE,
            late_ms: 20,
            ..EngineFaults::default()
        });
    }
    let losing =
        PlatformFaults { lost_answer_share: LOST_ANSWER_SHARE, ..PlatformFaults::default() };
    cluster.deployment.platform.set_faults(losing);

    let directory = Directory::new(&cluster);
    let attempts = Record::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(book(directory.clone(), attempts.clone(), options.seed, caller)))
        .collect();
    let kills = kill_nodes(&mut cluster, &directory, options).await?;
    directory.finish(callers).await;
    cluster.deployment.platform.set_faults(PlatformFaults::default());
    let calls = cluster.deployment.platform.counts();
    for node in 0..NODES {
        cluster.drain_node(node).await;
    }
    let figures = judge(&cluster, attempts.take()).await?;
    let mut report = json!({
        "experiment": "once",
        "seed": options.seed,
        "nodes": NODES,
        "kills": kills,
        "store_calls_per_s_max": calls.per_s_max,
        "store_writes": calls.writes,
        "store_conflicts": calls.conflicts,
    });
    merge(&mut report, figures);
    cluster.stop();
    Ok(report)
}

/// Kills a random node again and again, and starts another in its place.
async fn kill_nodes(
    cluster: &mut Cluster,
    directory: &Directory,
    options: &ExperimentOptions,
) -> Result<u64> {
    let mut rng = rng(options.seed, u64::MAX);
    let until = Instant::now() + Duration::from_secs(options.phase_s);
    let mut kills = 0;
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.random_range(50..300))).await;
        let node = rng.random_range(0..NODES);
        cluster.kill_node(node);
        // Callers find out by themselves: the balancer notices later.
        sleep(Duration::from_millis(rng.random_range(10..100))).await;
        directory.update(cluster);
        cluster.start_node(node).await?;
        directory.update(cluster);
        kills += 1;
    }
    Ok(kills)
}

/// Books one pane after the other, and repeats what stays without an answer.
async fn book(directory: Directory, record: Record<Attempt>, seed: u64, caller: u64) {
    let mut rng = rng(seed, caller);
    let mut number = 0;
    while directory.is_open() {
        number += 1;
        let key = format!("{caller}-{number}");
        let mut running = Vec::new();
        for _ in 0..ATTEMPTS_MAX {
            let sender = directory.caller(CHEAP_TEAM, &mut rng);
            let call = Call {
                body: format!("pane {key}"),
                idempotency_key: Some(key.clone()),
                limit_ms: 5_000,
                ..Call::default()
            };
            let (key, record) = (key.clone(), record.clone());
            let mut attempt = tokio::spawn(async move {
                let reply = sender.call(&call).await;
                let done = reply.status == 200;
                record.add(Attempt { key, reply });
                done
            });
            let patience = Duration::from_millis(rng.random_range(0..PATIENCE_MS));
            match tokio::time::timeout(patience, &mut attempt).await {
                Ok(Ok(true)) => break,
                Ok(_) => {}
                Err(_) => running.push(attempt),
            }
        }
        for attempt in running {
            // A caller that panics is seen in the missing attempts.
            let _ = attempt.await;
        }
    }
}

/// Compares what callers were told with what the service did and what was billed.
async fn judge(cluster: &Cluster, attempts: Vec<Attempt>) -> Result<Value> {
    let mut runs = BTreeMap::<String, u64>::new();
    for run in cluster.deployment.services.values().flat_map(|service| service.runs()) {
        *runs.entry(run.request).or_default() += 1;
    }
    let ledger = read_ledger(cluster.store.as_ref()).await?;
    let billed: BTreeSet<String> = ledger.bills.keys().map(ToString::to_string).collect();

    let mut keys = BTreeMap::<&str, Vec<&Reply>>::new();
    for attempt in &attempts {
        keys.entry(&attempt.key).or_default().push(&attempt.reply);
    }
    let told =
        |replies: &[&Reply], outcome: &str| replies.iter().any(|reply| reply.outcome == outcome);
    let mut false_not_run = 0u64;
    let mut unbilled = 0u64;
    let mut answered = 0u64;
    for replies in keys.values() {
        let id = replies.iter().map(|reply| &reply.request_id).find(|id| !id.is_empty());
        let ran = id.is_some_and(|id| runs.contains_key(id));
        let all_not_run = replies.iter().all(|reply| reply.outcome == "not_run");
        false_not_run += u64::from(ran && all_not_run);
        if told(replies, "ran") {
            answered += 1;
            unbilled += u64::from(!id.is_some_and(|id| billed.contains(id)));
        }
    }
    let count =
        |outcome: &str| attempts.iter().filter(|attempt| attempt.reply.outcome == outcome).count();
    Ok(json!({
        "bookings": keys.len(),
        "attempts": attempts.len(),
        "answered": answered,
        "ran": runs.len(),
        "ran_twice": runs.values().filter(|&&count| count > 1).count(),
        "false_not_run": false_not_run,
        "billed_twice": ledger.differing,
        "duplicate_records": ledger.duplicates,
        "unbilled": unbilled,
        "unknown": count("unknown"),
        "not_run": count("not_run"),
        "no_answer": count(""),
    }))
}

/// Adds the fields of one JSON object to another.
fn merge(into: &mut Value, from: Value) {
    if let (Value::Object(into), Value::Object(from)) = (into, from) {
        into.extend(from);
    }
}
