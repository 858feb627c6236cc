//! Throughput, overhead and memory of one node, against the engine stand-in called directly.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fescuelock_http::net::Tcp;
use fescuelock_operators::fleet::Fleet;
use fescuelock_router::node::{Node, Running};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::caller::{Caller, Chat, Reply};
use crate::cluster::{Cluster, ClusterOptions};
use crate::experiments::ExperimentOptions;
use crate::samples::{CHEAP_TEAM, CHEAP_VERSION, SampleOptions, key_of, rules};
use crate::{Error, Result};

/// Worker threads of the node.
const NODE_THREADS: usize = 4;
/// Worker threads of the stand-ins.
const STANDIN_THREADS: usize = 3;
/// Worker threads of the callers.
const CALLER_THREADS: usize = 3;
/// Callers that send small requests without a pause.
const SMALL_CALLERS: usize = 64;
/// Streams that are open at once.
const STREAMS: usize = 500;
/// Tokens of a stream in the measurement of throughput.
const STREAM_TOKENS: u64 = 400;
/// Requests per second at which overhead is measured: half of the stated target.
const OVERHEAD_RATE_PER_S: u64 = 2_500;
/// Pairs of requests in a block whose quantiles are compared.
const BLOCK_PAIRS: usize = 500;
/// Length of the pass that opens connections.
const WARM_UP: Duration = Duration::from_secs(1);
/// First port of the stand-ins.
const FIRST_PORT: u16 = 19_100;

/// `Tally` counts what came back.
#[derive(Default)]
struct Tally {
    requests: AtomicU64,
    ok: AtomicU64,
    wrong_version: AtomicU64,
    truncated: AtomicU64,
    misdelivered: AtomicU64,
    tokens: AtomicU64,
    failures: Mutex<BTreeMap<String, u64>>,
}

impl Tally {
    fn add(&self, reply: &Reply) {
        if !reply.is_ok() {
            let mut failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
            *failures.entry(format!("{} {}", reply.status, reply.code)).or_default() += 1;
        }
        let add = |counter: &AtomicU64, condition: bool| {
            counter.fetch_add(u64::from(condition), Ordering::Relaxed);
        };
        add(&self.requests, true);
        add(&self.ok, reply.is_ok());
        add(&self.wrong_version, reply.is_ok() && reply.version != CHEAP_VERSION);
        add(&self.truncated, reply.status == 200 && !reply.is_ok() && !reply.foreign);
        add(&self.misdelivered, reply.foreign);
        self.tokens.fetch_add(reply.tokens, Ordering::Relaxed);
    }
}

/// `Bench` is a node with its stand-ins and callers, each on threads of its own.
struct Bench {
    callers: Runtime,
    // Runtimes and parts that live in this process. Dropping them would stop the deployment.
    _hosted: Option<Hosted>,
    targets: Targets,
    tally: Arc<Tally>,
}

/// `Hosted` is a node with its stand-ins in this process.
struct Hosted {
    _standins: Runtime,
    _node_runtime: Runtime,
    _cluster: Cluster,
    _node: Node<Running>,
}

/// `Targets` are the addresses that the callers use.
#[derive(Debug, Clone)]
pub struct Targets {
    /// The node, for callers.
    pub callers: String,
    /// The node, for operators.
    pub operators: String,
    /// The engine that is called directly.
    pub engine: String,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns the error of the part that could not be started.
pub fn run(options: &ExperimentOptions) -> Result<Value> {
    let phase = Duration::from_secs(options.phase_s);
    let bench = Bench::start(options)?;
    // Memory comes first: the later phases leave freed memory with the allocator.
    let rss_kib = bench.open_streams();
    let overhead = bench.overhead(phase);
    let small = bench.small_requests(phase);
    let streamed = bench.streams(phase);
    let rss_after_kib = bench.callers.block_on(bench.resident_kib());
    let tally = &bench.tally;
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let (through, direct) = (&overhead.through_us, &overhead.direct_us);
    Ok(json!({
        "experiment": "path",
        "seed": options.seed,
        "node_threads": NODE_THREADS,
        "requests": count(&tally.requests),
        "ok": count(&tally.ok),
        "wrong_version": count(&tally.wrong_version),
        "truncated": count(&tally.truncated),
        "misdelivered": count(&tally.misdelivered),
        "failures": &*tally.failures.lock().unwrap_or_else(PoisonError::into_inner),
        // Medians over blocks, so that a stall of the machine counts once.
        "overhead_p50_us": median(&overhead.p50_blocks_us),
        "overhead_p99_us": median(&overhead.p99_blocks_us),
        "overhead_blocks": overhead.p99_blocks_us.len(),
        "overhead_p99_whole_us": difference(through, direct, 0.99),
        "through_p50_us": through.value_at_quantile(0.50),
        "through_p99_us": through.value_at_quantile(0.99),
        "direct_p50_us": direct.value_at_quantile(0.50),
        "direct_p99_us": direct.value_at_quantile(0.99),
        "overhead_rate_per_s": OVERHEAD_RATE_PER_S,
        "requests_per_s": small.round(),
        "tokens_per_s": streamed.round(),
        "open_streams": STREAMS,
        "rss_mib": rss_kib as f64 / 1_024.0,
        "rss_after_load_mib": rss_after_kib as f64 / 1_024.0,
        // Where all share a process, its memory is an upper bound of the node's.
        "rss_of": if options.targets.is_some() { "node" } else { "node, stand-ins and callers" },
    }))
}

impl Bench {
    fn start(options: &ExperimentOptions) -> Result<Self> {
        let callers = runtime(CALLER_THREADS)?;
        let (hosted, targets) = match &options.targets {
            Some(targets) => (None, targets.clone()),

            None => {
                let (hosted, targets) = Hosted::start(options.seed)?;
                (Some(hosted), targets)
            }
        };
        Ok(Bench { callers, _hosted: hosted, targets, tally: Arc::default() })
    }

    fn caller(&self) -> Arc<Caller> {
        Arc::new(Caller::new(Tcp::shared(), &self.targets.callers, &key_of(CHEAP_TEAM)))
    }

    /// Asks the node for its resident memory in KiB.
    async fn resident_kib(&self) -> u64 {
        let addresses = vec![self.targets.operators.clone()];
        let fleet = Fleet { network: Tcp::shared(), addresses, key: None };
        let reports = fleet.status().await;
        let status = reports.into_iter().find_map(|report| report.status.ok());
        status.and_then(|status| status.rss_kib).unwrap_or(0)
    }

    /// Sends small requests without a pause and returns how many a second were answered.
    fn small_requests(&self, phase: Duration) -> f64 {
        self.closed_loop("small", SMALL_CALLERS, phase, |prompt| Chat {
            prompt,
            tokens: 4,
            ..Chat::default()
        })
        .0
    }

    /// Reads streams without a pause and returns the tokens a second.
    fn streams(&self, phase: Duration) -> f64 {
        self.closed_loop("stream", STREAMS, phase, |prompt| Chat {
            prompt,
            tokens: STREAM_TOKENS,
            stream: true,
            ..Chat::default()
        })
        .1
    }

    /// Lets callers send one request after the other. Returns requests and tokens a second.
    fn closed_loop(
        &self,
        name: &'static str,
        callers: usize,
        phase: Duration,
        build: fn(String) -> Chat,
    ) -> (f64, f64) {
        let tokens_before = self.tally.tokens.load(Ordering::Relaxed);
        let requests_before = self.tally.requests.load(Ordering::Relaxed);
        let started = Instant::now();
        self.callers.block_on(async {
            let mut tasks = Vec::new();
            for number in 0..callers {
                let caller = self.caller();
                let tally = Arc::clone(&self.tally);
                tasks.push(tokio::spawn(async move {
                    let mut index = 0;
                    while started.elapsed() < phase {
                        let reply = caller.chat(&build(format!("{name} {number} {index}"))).await;
                        tally.add(&reply);
                        index += 1;
                    }
                }));
            }
            for task in tasks {
                // A caller that panics is seen in the missing requests.
                let _ = task.await;
            }
        });
        let elapsed_s = started.elapsed().as_secs_f64();
        let tokens = self.tally.tokens.load(Ordering::Relaxed) - tokens_before;
        let requests = self.tally.requests.load(Ordering::Relaxed) - requests_before;
        (requests as f64 / elapsed_s, tokens as f64 / elapsed_s)
    }

    /// Sends requests at a fixed rate, in turn through the node and straight to the engine, so that
    /// both meet the same noise of the machine.
    fn overhead(&self, phase: Duration) -> Overhead {
        let through = self.caller();
        let direct = Arc::new(Caller::new(Tcp::shared(), &self.targets.engine, "none"));
        // The first pass opens the connections and is not counted.
        self.open_loop([&through, &direct], WARM_UP);
        let replies = self.open_loop([&through, &direct], phase);
        let mut overhead = Overhead::default();
        for block in replies.chunks(2 * BLOCK_PAIRS) {
            overhead.add_block(block);
        }
        for reply in replies.iter().step_by(2) {
            self.tally.add(reply);
        }
        overhead
    }

    /// Sends requests at a fixed rate to two callers in turn.
    fn open_loop(&self, callers: [&Arc<Caller>; 2], length: Duration) -> Vec<Reply> {
        let models = ["auto", CHEAP_VERSION];
        self.callers.block_on(async {
            let mut ticks = interval(Duration::from_micros(500_000 / OVERHEAD_RATE_PER_S));
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            let started = Instant::now();
            let mut tasks = Vec::new();
            while started.elapsed() < length {
                ticks.tick().await;
                let turn = tasks.len() % 2;
                let caller = Arc::clone(callers[turn]);
                let chat = Chat {
                    prompt: format!("open {}", tasks.len()),
                    tokens: 4,
                    model: models[turn].to_owned(),
                    ..Chat::default()
                };
                tasks.push(tokio::spawn(async move { caller.chat(&chat).await }));
            }
            let mut replies = Vec::new();
            for task in tasks {
                // The order of the replies tells which caller sent the request.
                replies.push(task.await.expect("a caller's task does not panic"));
            }
            replies
        })
    }

    /// Holds streams open and returns the resident memory of the process in KiB.
    fn open_streams(&self) -> u64 {
        self.callers.block_on(async {
            let mut tasks = Vec::new();
            for number in 0..STREAMS {
                let caller = self.caller();
                let tally = Arc::clone(&self.tally);
                tasks.push(tokio::spawn(async move {
                    let chat = Chat {
                        prompt: format!("open {number}"),
                        tokens: STREAM_TOKENS,
                        stream: true,
                        ..Chat::default()
                    };
                    tally.add(&caller.chat(&chat).await);
                }));
            }
            sleep(Duration::from_millis(50)).await;
            let rss_kib = self.resident_kib().await;
            for task in tasks {
                // A caller that panics is seen in the missing requests.
                let _ = task.await;
            }
            rss_kib
        })
    }
}

impl Hosted {
    fn start(seed: u64) -> Result<(Self, Targets)> {
        let standins = runtime(STANDIN_THREADS)?;
        let node_runtime = runtime(NODE_THREADS)?;
        let sample = SampleOptions { first_port: FIRST_PORT, ..SampleOptions::default() };
        let options = ClusterOptions { rules: rules(&sample), seed, ..ClusterOptions::default() };
        let mut cluster = standins.block_on(Cluster::start_platform(options))?;
        let settings = cluster.settings(0);
        let environment = cluster.environment();
        let node = node_runtime.block_on(async {
            let node = Node::start(settings, environment).await?;
            node.ready().await;
            Ok::<_, Error>(node)
        })?;
        let targets = Targets {
            callers: node.callers_address().to_owned(),
            operators: node.operators_address().to_owned(),
            engine: format!("127.0.0.1:{}", FIRST_PORT + 1),
        };
        let hosted = Hosted {
            _standins: standins,
            _node_runtime: node_runtime,
            _cluster: cluster,
            _node: node,
        };
        Ok((hosted, targets))
    }
}

/// `Overhead` compares latencies through the node with latencies straight to the engine.
struct Overhead {
    through_us: Histogram<u64>,
    direct_us: Histogram<u64>,
    p50_blocks_us: Vec<u64>,
    p99_blocks_us: Vec<u64>,
}

impl Default for Overhead {
    fn default() -> Self {
        Overhead {
            through_us: histogram(),
            direct_us: histogram(),
            p50_blocks_us: Vec::new(),
            p99_blocks_us: Vec::new(),
        }
    }
}

impl Overhead {
    /// Adds a block of replies, in turn through the node and straight to the engine.
    fn add_block(&mut self, block: &[Reply]) {
        let mut through_us = histogram();
        let mut direct_us = histogram();
        for pair in block.chunks_exact(2) {
            through_us.saturating_record(pair[0].total_us.max(1));
            direct_us.saturating_record(pair[1].total_us.max(1));
        }
        self.p50_blocks_us.push(difference(&through_us, &direct_us, 0.50));
        self.p99_blocks_us.push(difference(&through_us, &direct_us, 0.99));
        self.through_us += through_us;
        self.direct_us += direct_us;
    }
}

/// Returns by how much a quantile of one histogram is above that of another.
fn difference(above: &Histogram<u64>, below: &Histogram<u64>, quantile: f64) -> u64 {
    above.value_at_quantile(quantile).saturating_sub(below.value_at_quantile(quantile))
}

/// Returns the middle one of some figures.
fn median(figures: &[u64]) -> u64 {
    let mut sorted = figures.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied().unwrap_or(0)
}

fn runtime(threads: usize) -> Result<Runtime> {
    Ok(Builder::new_multi_thread().worker_threads(threads).enable_all().build()?)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
