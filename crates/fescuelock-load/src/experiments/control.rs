//! Cost of the control plane per node: CPU time, memory, messages and platform calls, idle and with
//! changes of the rules.

use std::time::Duration;

use fescuelock_operators::admin::resident_kib;
use fescuelock_standin::deployment::DeploymentOptions;
use fescuelock_standin::platform::CallCounts;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::Result;
use crate::cluster::{Cluster, ClusterOptions};
use crate::experiments::ExperimentOptions;
use crate::experiments::traffic::runtime;
use crate::samples::{SampleOptions, rules};

/// Number of upstreams that the sample rules declare besides the idle engines.
const SAMPLE_UPSTREAMS: usize = 6;
/// Rate of changes to the rules in the phase with changes.
const CHANGES_PER_S: u64 = 1;
/// Time for the nodes' links and tables to settle before the first phase, in milliseconds.
const SETTLE_MS: u64 = 14_000;
/// Clock ticks per second in which `/proc/self/stat` counts CPU time.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// `ResourceSample` is a reading of all cumulative resource counters.
struct ResourceSample {
    at: Instant,
    cpu_s: f64,
    link_bytes: u64,
    calls: CallCounts,
}

impl ResourceSample {
    fn read(cluster: &Cluster) -> Self {
        let nodes = (0..cluster.len()).filter_map(|index| cluster.node(index));
        ResourceSample {
            at: Instant::now(),
            cpu_s: cpu_time_s().unwrap_or(0.0),
            link_bytes: nodes.map(|node| node.status().link_bytes_sent).sum(),
            calls: cluster.deployment.platform.counts(),
        }
    }

    /// Returns the rates per second and node between two readings.
    fn rates_since(&self, before: &ResourceSample, nodes: usize) -> Value {
        let elapsed_s = self.at.duration_since(before.at).as_secs_f64();
        let nodes = nodes as f64;
        let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / elapsed_s;
        let link = rate(self.link_bytes, before.link_bytes) / nodes;
        let store = rate(self.calls.bytes, before.calls.bytes) / nodes;
        json!({
            "cpu_pct_per_node": (self.cpu_s - before.cpu_s) / elapsed_s / nodes * 100.0,
            "link_bytes_per_s_per_node": link,
            "store_bytes_per_s_per_node": store,
            "bytes_per_s_per_node": link + store,
            "store_reads_per_s": rate(self.calls.reads, before.calls.reads),
            "store_writes_per_s": rate(self.calls.writes, before.calls.writes),
        })
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
    let idle_engines = options.upstreams.saturating_sub(SAMPLE_UPSTREAMS);
    let sample = SampleOptions { idle_engines, ..SampleOptions::default() };
    let text = rules(&sample);
    let rules_bytes = text.len();
    let cluster_options = ClusterOptions {
        nodes: 0,
        rules: text,
        seed: options.seed,
        deployment: DeploymentOptions { upstreams: false, ..DeploymentOptions::default() },
        ..ClusterOptions::default()
    };
    let mut cluster = Cluster::start(cluster_options).await?;
    let rss_before_kib = resident_kib().unwrap_or(0);
    cluster.add_nodes(options.nodes).await?;
    sleep(Duration::from_millis(SETTLE_MS)).await;
    let rss_kib = resident_kib().unwrap_or(0).saturating_sub(rss_before_kib);
    let nodes_known: Vec<u64> = (0..options.nodes)
        .filter_map(|index| cluster.node(index))
        .map(|node| node.status().nodes_alive)
        .collect();
    let links: u64 = (0..options.nodes)
        .filter_map(|index| cluster.node(index))
        .map(|node| node.status().links)
        .sum();

    let phase = Duration::from_secs(options.phase_s);
    let before = ResourceSample::read(&cluster);
    sleep(phase).await;
    let idle = ResourceSample::read(&cluster);
    let mut in_force_ms = Vec::new();
    for number in 0..options.phase_s * CHANGES_PER_S {
        let started = Instant::now();
        let applied = cluster.edit(|text| with_change_comment(text, number)).await?;
        cluster.wait_until_in_force(applied.generation).await;
        in_force_ms.push(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX));
        let rest = Duration::from_millis(1_000 / CHANGES_PER_S).checked_sub(started.elapsed());
        sleep(rest.unwrap_or_default()).await;
    }
    let changed = ResourceSample::read(&cluster);
    let report = json!({
        "experiment": "control",
        "seed": options.seed,
        "nodes": options.nodes,
        "upstreams": options.upstreams,
        "rules_bytes": rules_bytes,
        "links_per_node": links as f64 / options.nodes as f64,
        "nodes_known_min": nodes_known.iter().min(),
        "rss_mib_per_node": rss_kib as f64 / 1_024.0 / options.nodes as f64,
        "idle": idle.rates_since(&before, options.nodes),
        "changes_per_s": CHANGES_PER_S,
        "with_changes": changed.rates_since(&idle, options.nodes),
        "in_force_ms_max": in_force_ms.iter().max(),
        "store_calls_per_s_max": cluster.deployment.platform.counts().per_s_max,
    });
    cluster.stop();
    Ok(report)
}

/// Returns a rules text whose change comment is replaced by a new one.
fn with_change_comment(text: &str, number: u64) -> String {
    let kept = text.lines().filter(|line| !line.starts_with("# change "));
    let mut changed: String = kept.map(|line| format!("{line}\n")).collect();
    changed.push_str(&format!("# change {number}\n"));
    changed
}

/// Returns the CPU time of this process in seconds, or `None` if it cannot be read.
fn cpu_time_s() -> Option<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The process name is in parentheses and may contain spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / CLOCK_TICKS_PER_S)
}
