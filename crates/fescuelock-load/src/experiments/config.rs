//! Propagation of the rules under concurrent edits, stalled watches, stale reads and an outage of
//! the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuelock_operators::{Error as OperatorsError, edit};
use fescuelock_standin::faults::PlatformFaults;
use hdrhistogram::Histogram;
use rand::RngExt;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::Result;
use crate::caller::ChatRequest;
use crate::cluster::{Cluster, ClusterOptions};
use crate::experiments::ExperimentOptions;
use crate::experiments::traffic::{Collector, NodeDirectory, rng, runtime};
use crate::samples::{CHEAP_TEAM, NEXT_VERSION, SampleOptions, rule, rules, with_rollout};

/// Number of nodes, as in today's deployments.
const NODES: usize = 9;
/// Number of callers, whose requests show which versions receive work.
const CALLERS: u64 = 8;
/// Number of operators who edit the rules concurrently.
const OPERATORS: u64 = 2;
/// Interval at which the generation of every node is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 5;
/// Time allowed for the last edit to take effect on every node.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Port below those of the stand-ins, which are numbered upwards.
const BASE_PORT: u16 = 19_400;

/// `AcceptedEdit` is an edit that the platform has accepted.
struct AcceptedEdit {
    generation: u64,
    at: Instant,
    withdraws: Option<bool>,
}

/// `GenerationMonitor` tracks the generation of the rules that each node uses.
#[derive(Default)]
struct GenerationMonitor {
    highest: Vec<u64>,
    reverts: u64,
    in_force_everywhere_at: BTreeMap<u64, Instant>,
}

impl GenerationMonitor {
    fn poll(&mut self, cluster: &Cluster) {
        self.highest.resize(NODES, 0);
        for node in 0..NODES {
            let generation = cluster.node(node).map_or(0, |running| running.status().generation);
            self.reverts += u64::from(generation < self.highest[node]);
            self.highest[node] = self.highest[node].max(generation);
        }
        let lowest = self.highest.iter().copied().min().unwrap_or(0);
        self.in_force_everywhere_at.entry(lowest).or_insert_with(Instant::now);
    }

    /// Returns when a generation, or a later one, was first seen on every node.
    fn in_force_at(&self, generation: u64) -> Option<Instant> {
        self.in_force_everywhere_at.range(generation..).map(|(_, at)| *at).min()
    }
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
    let cluster = Cluster::start(ClusterOptions {
        nodes: NODES,
        rules: with_rollout(&rules(&sample), 50),
        seed: options.seed,
        ..ClusterOptions::default()
    })
    .await?;
    let cluster = Arc::new(cluster);
    let directory = NodeDirectory::new(&cluster);
    let accepted = Collector::default();
    let conflicts = Collector::default();
    let mut tasks: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(send_chats(directory.clone(), options.seed, caller)))
        .collect();
    for operator in 0..OPERATORS {
        let cluster = Arc::clone(&cluster);
        let (accepted, conflicts) = (accepted.clone(), conflicts.clone());
        let directory = directory.clone();
        let seed = options.seed;
        tasks.push(tokio::spawn(async move {
            edit_repeatedly(&cluster, &directory, &accepted, &conflicts, seed, operator).await;
        }));
    }

    let mut monitor = GenerationMonitor::default();
    let phase = Duration::from_secs(options.phase_s);
    let platform = &cluster.deployment.platform;
    let silent_watches_faults =
        PlatformFaults { silent_watches: true, ..PlatformFaults::default() };
    let stale_reads_faults = PlatformFaults { stale_reads: true, ..silent_watches_faults.clone() };
    let outage = PlatformFaults { outage: true, ..PlatformFaults::default() };
    for faults in [
        PlatformFaults::default(),
        silent_watches_faults,
        stale_reads_faults,
        outage,
        PlatformFaults::default(),
    ] {
        platform.set_faults(faults);
        monitor_for(&cluster, &mut monitor, phase).await;
    }
    directory.stop();
    monitor_for(&cluster, &mut monitor, SETTLE_TIME).await;
    for task in tasks {
        // A task that panics shows up as missing edits.
        let _ = task.await;
    }
    let report = evaluate(&cluster, &monitor, &accepted.take(), conflicts.take().len(), options);
    Ok(report)
}

async fn monitor_for(cluster: &Cluster, monitor: &mut GenerationMonitor, length: Duration) {
    let until = Instant::now() + length;
    while Instant::now() < until {
        monitor.poll(cluster);
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Withdraws and restores a version and adds comments, concurrently with other operators.
async fn edit_repeatedly(
    cluster: &Cluster,
    directory: &NodeDirectory,
    accepted: &Collector<AcceptedEdit>,
    conflicts: &Collector<()>,
    seed: u64,
    operator: u64,
) {
    let mut rng = rng(seed, 1_000 + operator);
    let withdraw = rule(&format!("withdraw {NEXT_VERSION}"));
    let mut number = 0;
    while directory.is_running() {
        sleep(Duration::from_millis(rng.random_range(50..400))).await;
        let Ok(Some(current)) = edit::read_stored_rules(cluster.store.as_ref()).await else {
            continue;
        };
        number += 1;
        let toggles = rng.random_bool(0.3);
        let (text, withdraws) = match (toggles, current.text.contains(&withdraw)) {
            (true, true) => (current.text.replace(&withdraw, ""), Some(false)),
            (true, false) => (format!("{}{withdraw}", current.text), Some(true)),
            (false, _) => (format!("{}# note {operator} {number}\n", current.text), None),
        };
        // The delay between read and write lets another operator's edit come in between.
        sleep(Duration::from_millis(rng.random_range(0..50))).await;
        match edit::apply(cluster.store.as_ref(), &text, Some(current.generation)).await {
            Ok(applied) => accepted.add(AcceptedEdit {
                generation: applied.generation,
                at: Instant::now(),
                withdraws,
            }),

            Err(OperatorsError::Conflict { .. }) => conflicts.add(()),

            Err(_) => {}
        }
    }
}

/// Sends requests that every version in service may answer.
async fn send_chats(directory: NodeDirectory, seed: u64, caller: u64) {
    let mut rng = rng(seed, caller);
    let mut number = 0;
    while directory.is_running() {
        number += 1;
        let chat = ChatRequest {
            model: "draft".to_owned(),
            prompt: format!("ask {caller} {number}"),
            ..ChatRequest::default()
        };
        directory.caller(CHEAP_TEAM, &mut rng).chat(&chat).await;
        sleep(Duration::from_millis(5)).await;
    }
}

fn evaluate(
    cluster: &Cluster,
    monitor: &GenerationMonitor,
    accepted: &[AcceptedEdit],
    conflicts: usize,
    options: &ExperimentOptions,
) -> Value {
    let mut in_force_ms = latency_histogram();
    let mut never_in_force = 0u64;
    for edit in accepted {
        match monitor.in_force_at(edit.generation) {
            Some(at) => {
                let elapsed_ms = at.saturating_duration_since(edit.at).as_millis();
                in_force_ms.saturating_record(u64::try_from(elapsed_ms).unwrap_or(u64::MAX));
            }
            None => never_in_force += 1,
        }
    }
    let seconds = |ms: u64| ms as f64 / 1_000.0;
    json!({
        "experiment": "config",
        "seed": options.seed,
        "nodes": NODES,
        "edits": accepted.len(),
        "conflicts": conflicts,
        "reverts": monitor.reverts,
        "never_in_force": never_in_force,
        "in_force_s_p50": seconds(in_force_ms.value_at_quantile(0.50)),
        "in_force_s_p99": seconds(in_force_ms.value_at_quantile(0.99)),
        "in_force_s_max": seconds(in_force_ms.max()),
        "withdrawals": accepted.iter().filter(|edit| edit.withdraws == Some(true)).count(),
        "work_on_withdrawn_after_s": work_after_withdrawal_s(cluster, accepted),
        "store_calls_per_s_max": cluster.deployment.platform.counts().per_s_max,
    })
}

/// Returns the longest time, in seconds, after a withdrawal at which the version still received
/// work.
fn work_after_withdrawal_s(cluster: &Cluster, accepted: &[AcceptedEdit]) -> f64 {
    let runs: Vec<Instant> = cluster
        .deployment
        .engines
        .values()
        .flat_map(|engine| engine.runs())
        .filter(|run| run.target == NEXT_VERSION)
        .map(|run| run.at)
        .collect();
    let mut sorted: Vec<&AcceptedEdit> = accepted.iter().collect();
    sorted.sort_by_key(|edit| edit.generation);
    let mut longest = Duration::ZERO;
    for (index, withdrawal) in
        sorted.iter().enumerate().filter(|(_, edit)| edit.withdraws == Some(true))
    {
        let restored =
            sorted[index..].iter().find(|edit| edit.withdraws == Some(false)).map(|edit| edit.at);
        let longest_delay = runs
            .iter()
            .filter(|&&at| at > withdrawal.at && restored.is_none_or(|restored| at < restored))
            .map(|at| at.saturating_duration_since(withdrawal.at))
            .max();
        longest = longest.max(longest_delay.unwrap_or_default());
    }
    longest.as_secs_f64()
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000, 3).expect("the bounds are valid")
}
