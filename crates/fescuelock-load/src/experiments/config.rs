//! Edits that race, watches that fall silent and an outage of the platform.

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
use crate::caller::Chat;
use crate::cluster::{Cluster, ClusterOptions};
use crate::experiments::ExperimentOptions;
use crate::experiments::traffic::{Directory, Record, rng, runtime};
use crate::samples::{CHEAP_TEAM, NEXT_VERSION, SampleOptions, rule, rules, with_rollout};

/// Nodes of the deployment, as many as a deployment has today.
const NODES: usize = 9;
/// Callers whose requests show which versions take work.
const CALLERS: u64 = 8;
/// Operators who edit the rules at the same time.
const OPERATORS: u64 = 2;
/// Interval at which the generation of every node is read, in milliseconds.
const LOOK_MS: u64 = 5;
/// Time for the last edit to be in force everywhere.
const SETTLE: Duration = Duration::from_secs(10);
/// First port of the stand-ins.
const FIRST_PORT: u16 = 19_400;

/// `Accepted` is an edit that the platform has taken.
struct Accepted {
    generation: u64,
    at: Instant,
    withdraws: Option<bool>,
}

/// `Watcher` reads the generations in force.
#[derive(Default)]
struct Watcher {
    highest: Vec<u64>,
    reverts: u64,
    reached: BTreeMap<u64, Instant>,
}

impl Watcher {
    fn look(&mut self, cluster: &Cluster) {
        self.highest.resize(NODES, 0);
        for node in 0..NODES {
            let generation = cluster.node(node).map_or(0, |running| running.status().generation);
            self.reverts += u64::from(generation < self.highest[node]);
            self.highest[node] = self.highest[node].max(generation);
        }
        let everywhere = self.highest.iter().copied().min().unwrap_or(0);
        self.reached.entry(everywhere).or_insert_with(Instant::now);
    }

    /// Returns when a generation was in force on every node.
    fn in_force_at(&self, generation: u64) -> Option<Instant> {
        self.reached.range(generation..).map(|(_, at)| *at).min()
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
    let sample = SampleOptions { first_port: FIRST_PORT, ..SampleOptions::default() };
    let cluster = Cluster::start(ClusterOptions {
        nodes: NODES,
        rules: with_rollout(&rules(&sample), 50),
        seed: options.seed,
        ..ClusterOptions::default()
    })
    .await?;
    let cluster = Arc::new(cluster);
    let directory = Directory::new(&cluster);
    let accepted = Record::default();
    let conflicts = Record::default();
    let mut tasks: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(ask(directory.clone(), options.seed, caller)))
        .collect();
    for operator in 0..OPERATORS {
        let cluster = Arc::clone(&cluster);
        let (accepted, conflicts) = (accepted.clone(), conflicts.clone());
        let directory = directory.clone();
        let seed = options.seed;
        tasks.push(tokio::spawn(async move {
            operate(&cluster, &directory, &accepted, &conflicts, seed, operator).await;
        }));
    }

    let mut watcher = Watcher::default();
    let phase = Duration::from_secs(options.phase_s);
    let platform = &cluster.deployment.platform;
    let silent = PlatformFaults { silent_watches: true, ..PlatformFaults::default() };
    let stale = PlatformFaults { stale_reads: true, ..silent.clone() };
    let outage = PlatformFaults { outage: true, ..PlatformFaults::default() };
    for faults in [PlatformFaults::default(), silent, stale, outage, PlatformFaults::default()] {
        platform.set_faults(faults);
        watch(&cluster, &mut watcher, phase).await;
    }
    directory.stop();
    watch(&cluster, &mut watcher, SETTLE).await;
    for task in tasks {
        // A task that panics is seen in the missing edits.
        let _ = task.await;
    }
    let report = judge(&cluster, &watcher, &accepted.take(), conflicts.take().len(), options);
    Ok(report)
}

async fn watch(cluster: &Cluster, watcher: &mut Watcher, length: Duration) {
    let until = Instant::now() + length;
    while Instant::now() < until {
        watcher.look(cluster);
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// Withdraws a version and takes the withdrawal back, against other operators.
async fn operate(
    cluster: &Cluster,
    directory: &Directory,
    accepted: &Record<Accepted>,
    conflicts: &Record<()>,
    seed: u64,
    operator: u64,
) {
    let mut rng = rng(seed, 1_000 + operator);
    let withdraw = rule(&format!("withdraw {NEXT_VERSION}"));
    let mut number = 0;
    while directory.is_open() {
        sleep(Duration::from_millis(rng.random_range(50..400))).await;
        let Ok(Some(current)) = edit::current(cluster.store.as_ref()).await else {
            continue;
        };
        number += 1;
        let toggles = rng.random_bool(0.3);
        let (text, withdraws) = match (toggles, current.text.contains(&withdraw)) {
            (true, true) => (current.text.replace(&withdraw, ""), Some(false)),
            (true, false) => (format!("{}{withdraw}", current.text), Some(true)),
            (false, _) => (format!("{}# note {operator} {number}\n", current.text), None),
        };
        // A person takes a moment, in which the other may come first.
        sleep(Duration::from_millis(rng.random_range(0..50))).await;
        match edit::apply(cluster.store.as_ref(), &text, Some(current.generation)).await {
            Ok(applied) => accepted.add(Accepted {
                generation: applied.generation,
                at: Instant::now(),
                withdraws,
            }),

            Err(OperatorsError::Conflict { .. }) => conflicts.add(()),

            Err(_) => {}
        }
    }
}

/// Sends requests that any version in service may take.
async fn ask(directory: Directory, seed: u64, caller: u64) {
    let mut rng = rng(seed, caller);
    let mut number = 0;
    while directory.is_open() {
        number += 1;
        let chat = Chat {
            model: "draft".to_owned(),
            prompt: format!("ask {caller} {number}"),
            ..Chat::default()
        };
        directory.caller(CHEAP_TEAM, &mut rng).chat(&chat).await;
        sleep(Duration::from_millis(5)).await;
    }
}

fn judge(
    cluster: &Cluster,
    watcher: &Watcher,
    accepted: &[Accepted],
    conflicts: usize,
    options: &ExperimentOptions,
) -> Value {
    let mut in_force_ms = histogram();
    let mut never = 0u64;
    for edit in accepted {
        match watcher.in_force_at(edit.generation) {
            Some(at) => {
                let elapsed_ms = at.saturating_duration_since(edit.at).as_millis();
                in_force_ms.saturating_record(u64::try_from(elapsed_ms).unwrap_or(u64::MAX));
            }
            None => never += 1,
        }
    }
    let seconds = |ms: u64| ms as f64 / 1_000.0;
    json!({
        "experiment": "config",
        "seed": options.seed,
        "nodes": NODES,
        "edits": accepted.len(),
        "conflicts": conflicts,
        "reverts": watcher.reverts,
        "never_in_force": never,
        "in_force_s_p50": seconds(in_force_ms.value_at_quantile(0.50)),
        "in_force_s_p99": seconds(in_force_ms.value_at_quantile(0.99)),
        "in_force_s_max": seconds(in_force_ms.max()),
        "withdrawals": accepted.iter().filter(|edit| edit.withdraws == Some(true)).count(),
        "work_on_withdrawn_after_s": work_after_withdrawal_s(cluster, accepted),
        "store_calls_per_s_max": cluster.deployment.platform.counts().per_s_max,
    })
}

/// Returns the longest time after a withdrawal at which the version still received work.
fn work_after_withdrawal_s(cluster: &Cluster, accepted: &[Accepted]) -> f64 {
    let runs: Vec<Instant> = cluster
        .deployment
        .engines
        .values()
        .flat_map(|engine| engine.runs())
        .filter(|run| run.target == NEXT_VERSION)
        .map(|run| run.at)
        .collect();
    let mut sorted: Vec<&Accepted> = accepted.iter().collect();
    sorted.sort_by_key(|edit| edit.generation);
    let mut longest = Duration::ZERO;
    for (index, withdrawal) in
        sorted.iter().enumerate().filter(|(_, edit)| edit.withdraws == Some(true))
    {
        let restored =
            sorted[index..].iter().find(|edit| edit.withdraws == Some(false)).map(|edit| edit.at);
        let late = runs
            .iter()
            .filter(|&&at| at > withdrawal.at && restored.is_none_or(|restored| at < restored))
            .map(|at| at.saturating_duration_since(withdrawal.at))
            .max();
        longest = longest.max(late.unwrap_or_default());
    }
    longest.as_secs_f64()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000, 3).expect("the bounds are valid")
}
