//! Duplicate bookings with idempotency keys through all nodes, while nodes are killed and responses
//! of the platform and the service are lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fescuelock_standin::faults::{EngineFaults, PlatformFaults};
use fescuelock_store::bills::read_ledger;
use rand::RngExt;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::Result;
use crate::caller::{Reply, ServiceCall};
use crate::cluster::{Cluster, ClusterOptions};
use crate::experiments::ExperimentOptions;
use crate::experiments::traffic::{Collector, NodeDirectory, rng, runtime};
use crate::samples::{CHEAP_TEAM, SampleOptions, rules};

/// Number of nodes, as in today's deployments.
const NODES: usize = 9;
/// Number of callers, each of which sends one booking after the other.
const CALLERS: u64 = 24;
/// Share of platform writes whose response is lost.
const LOST_WRITE_ANSWER_SHARE: f64 = 0.05;
/// Share of service calls whose response is lost.
const LOST_SERVICE_ANSWER_SHARE: f64 = 0.02;
/// Upper limit of the random delay after which an unanswered booking is sent again through another
/// node, in milliseconds.
const HEDGE_DELAY_MAX_MS: u64 = 150;
/// Largest number of attempts per booking.
const ATTEMPTS_MAX: u32 = 4;
/// Port below those of the stand-ins, which are numbered upwards.
const BASE_PORT: u16 = 19_200;

/// `BookingAttempt` is one attempt of a booking with its reply.
struct BookingAttempt {
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
    let sample = SampleOptions { base_port: BASE_PORT, ..SampleOptions::default() };
    let mut cluster = Cluster::start(ClusterOptions {
        nodes: NODES,
        rules: rules(&sample),
        seed: options.seed,
        adjust_settings: |settings| {
            settings.requests.answer_timeout_ms = 1_000;
            settings.platform_call_timeout_ms = 300;
            settings.requests.claim_wait_ms = 500;
        },
        ..ClusterOptions::default()
    })
    .await?;
    for service in cluster.deployment.services.values() {
        service.set_faults(EngineFaults {
            lost_answer_share: LOST_SERVICE_ANSWER_SHARE,
            late_ms: 20,
            ..EngineFaults::default()
        });
    }
    let lost_answers =
        PlatformFaults { lost_answer_share: LOST_WRITE_ANSWER_SHARE, ..PlatformFaults::default() };
    cluster.deployment.platform.set_faults(lost_answers);

    let directory = NodeDirectory::new(&cluster);
    let attempts = Collector::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            tokio::spawn(send_bookings(directory.clone(), attempts.clone(), options.seed, caller))
        })
        .collect();
    let kills = kill_nodes(&mut cluster, &directory, options).await?;
    directory.stop_and_join(callers).await;
    cluster.deployment.platform.set_faults(PlatformFaults::default());
    let calls = cluster.deployment.platform.counts();
    for node in 0..NODES {
        cluster.drain_node(node).await;
    }
    let figures = evaluate(&cluster, attempts.take()).await?;
    let mut report = json!({
        "experiment": "once",
        "seed": options.seed,
        "nodes": NODES,
        "kills": kills,
        "store_calls_per_s_max": calls.per_s_max,
        "store_writes": calls.writes,
        "store_conflicts": calls.conflicts,
    });
    extend_object(&mut report, figures);
    cluster.stop();
    Ok(report)
}

/// Repeatedly kills a random node and starts another in its place. Returns the number of kills.
async fn kill_nodes(
    cluster: &mut Cluster,
    directory: &NodeDirectory,
    options: &ExperimentOptions,
) -> Result<u64> {
    let mut rng = rng(options.seed, u64::MAX);
    let until = Instant::now() + Duration::from_secs(options.phase_s);
    let mut kills = 0;
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.random_range(50..300))).await;
        let node = rng.random_range(0..NODES);
        cluster.kill_node(node);
        // The directory is updated with a delay, as a load balancer detects a failed node late, so
        // callers meet failed connections.
        sleep(Duration::from_millis(rng.random_range(10..100))).await;
        directory.update(cluster);
        cluster.start_node(node).await?;
        directory.update(cluster);
        kills += 1;
    }
    Ok(kills)
}

/// Sends one booking after the other, each in up to `ATTEMPTS_MAX` attempts until one succeeds.
async fn send_bookings(
    directory: NodeDirectory,
    collector: Collector<BookingAttempt>,
    seed: u64,
    caller: u64,
) {
    let mut rng = rng(seed, caller);
    let mut number = 0;
    while directory.is_running() {
        number += 1;
        let key = format!("{caller}-{number}");
        let mut pending = Vec::new();
        for _ in 0..ATTEMPTS_MAX {
            let sender = directory.caller(CHEAP_TEAM, &mut rng);
            let call = ServiceCall {
                body: format!("pane {key}"),
                idempotency_key: Some(key.clone()),
                timeout_ms: 5_000,
                ..ServiceCall::default()
            };
            let (key, collector) = (key.clone(), collector.clone());
            let mut attempt = tokio::spawn(async move {
                let reply = sender.call(&call).await;
                let succeeded = reply.status == 200;
                collector.add(BookingAttempt { key, reply });
                succeeded
            });
            let hedge_delay = Duration::from_millis(rng.random_range(0..HEDGE_DELAY_MAX_MS));
            match tokio::time::timeout(hedge_delay, &mut attempt).await {
                Ok(Ok(true)) => break,
                Ok(_) => {}
                Err(_) => pending.push(attempt),
            }
        }
        for attempt in pending {
            // A task that panics shows up as missing attempts.
            let _ = attempt.await;
        }
    }
}

/// Compares the outcomes reported to callers with the service's executions and the bills.
async fn evaluate(cluster: &Cluster, attempts: Vec<BookingAttempt>) -> Result<Value> {
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
    let any_outcome =
        |replies: &[&Reply], outcome: &str| replies.iter().any(|reply| reply.outcome == outcome);
    let mut false_not_run = 0u64;
    let mut unbilled = 0u64;
    let mut answered = 0u64;
    for replies in keys.values() {
        let id = replies.iter().map(|reply| &reply.request_id).find(|id| !id.is_empty());
        let ran = id.is_some_and(|id| runs.contains_key(id));
        let all_not_run = replies.iter().all(|reply| reply.outcome == "not_run");
        false_not_run += u64::from(ran && all_not_run);
        if any_outcome(replies, "ran") {
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
        "billed_twice": ledger.conflicting,
        "duplicate_records": ledger.duplicates,
        "unbilled": unbilled,
        "unknown": count("unknown"),
        "not_run": count("not_run"),
        "no_answer": count(""),
    }))
}

/// Adds all fields of one JSON object to another.
fn extend_object(into: &mut Value, from: Value) {
    if let (Value::Object(into), Value::Object(from)) = (into, from) {
        into.extend(from);
    }
}
