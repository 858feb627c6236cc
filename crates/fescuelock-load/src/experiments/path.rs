//! Throughput, overhead and memory of one node, compared with direct calls to the engine stand-in.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fescuelock_http::net::TcpNetwork;
use fescuelock_operators::fleet::Fleet;
use fescuelock_router::node::{Node, Running};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::caller::{Caller, ChatRequest, Reply};
use crate::cluster::{Cluster, ClusterOptions};
use crate::experiments::ExperimentOptions;
use crate::samples::{CHEAP_TEAM, CHEAP_VERSION, SampleOptions, api_key_of, rules};
use crate::{Error, Result};

/// Number of worker threads of the node.
const NODE_THREADS: usize = 4;
/// Number of worker threads of the stand-ins.
const STANDIN_THREADS: usize = 3;
/// Number of worker threads of the callers.
const CALLER_THREADS: usize = 3;
/// Number of callers that send small requests in a closed loop.
const SMALL_CALLERS: usize = 64;
/// Number of concurrently open streams.
const STREAMS: usize = 500;
/// Number of tokens of each stream.
const STREAM_TOKENS: u64 = 400;
/// Rate of requests through the node at which overhead is measured: half of the stated target.
const OVERHEAD_RATE_PER_S: u64 = 2_500;
/// Number of request pairs in a block, within which the quantiles are compared.
const PAIRS_PER_BLOCK: usize = 500;
/// Length of the warm-up that opens the connections.
const WARM_UP: Duration = Duration::from_secs(1);
/// Port below those of the stand-ins, which are numbered upwards.
const BASE_PORT: u16 = 19_100;

/// `ReplyCounters` counts replies by result.
#[derive(Default)]
struct ReplyCounters {
    requests: AtomicU64,
    ok: AtomicU64,
    wrong_version: AtomicU64,
    truncated: AtomicU64,
    misdelivered: AtomicU64,
    tokens: AtomicU64,
    failures: Mutex<BTreeMap<String, u64>>,
}

impl ReplyCounters {
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
        add(&self.truncated, reply.status == 200 && !reply.is_ok() && !reply.is_misdelivered);
        add(&self.misdelivered, reply.is_misdelivered);
        self.tokens.fetch_add(reply.tokens, Ordering::Relaxed);
    }
}

/// `Testbed` is a node with its stand-ins and callers, each on separate threads.
struct Testbed {
    callers: Runtime,
    // Held because dropping its runtimes would stop the deployment.
    _in_process: Option<InProcessNode>,
    targets: Targets,
    counters: Arc<ReplyCounters>,
}

/// `InProcessNode` is a node that runs with its stand-ins in this process.
struct InProcessNode {
    _standin_runtime: Runtime,
    _node_runtime: Runtime,
    _cluster: Cluster,
    _node: Node<Running>,
}

/// `Targets` are the addresses that the callers use.
#[derive(Debug, Clone)]
pub struct Targets {
    /// The node's address for callers.
    pub callers: String,
    /// The node's address for operators.
    pub operators: String,
    /// Address of the engine that is called directly.
    pub engine: String,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns the error of the part that could not be started.
pub fn run(options: &ExperimentOptions) -> Result<Value> {
    let phase = Duration::from_secs(options.phase_s);
    let testbed = Testbed::start(options)?;
    // Memory is measured first, because the allocator retains memory that later phases free.
    let rss_kib = testbed.open_streams();
    let overhead = testbed.overhead(phase);
    let requests_per_s = testbed.small_requests(phase);
    let tokens_per_s = testbed.streams(phase);
    let rss_after_kib = testbed.callers.block_on(testbed.resident_kib());
    let counters = &testbed.counters;
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let (through, direct) = (&overhead.through_us, &overhead.direct_us);
    Ok(json!({
        "experiment": "path",
        "seed": options.seed,
        "node_threads": NODE_THREADS,
        "requests": count(&counters.requests),
        "ok": count(&counters.ok),
        "wrong_version": count(&counters.wrong_version),
        "truncated": count(&counters.truncated),
        "misdelivered": count(&counters.misdelivered),
        "failures": &*counters.failures.lock().unwrap_or_else(PoisonError::into_inner),
        // Medians over blocks, so that a stall of the machine affects a single block.
        "overhead_p50_us": median(&overhead.p50_blocks_us),
        "overhead_p99_us": median(&overhead.p99_blocks_us),
        "overhead_blocks": overhead.p99_blocks_us.len(),
        "overhead_p99_whole_us": quantile_difference(through, direct, 0.99),
        "through_p50_us": through.value_at_quantile(0.50),
        "through_p99_us": through.value_at_quantile(0.99),
        "direct_p50_us": direct.value_at_quantile(0.50),
        "direct_p99_us": direct.value_at_quantile(0.99),
        "overhead_rate_per_s": OVERHEAD_RATE_PER_S,
        "requests_per_s": requests_per_s.round(),
        "tokens_per_s": tokens_per_s.round(),
        "open_streams": STREAMS,
        "rss_mib": rss_kib as f64 / 1_024.0,
        "rss_after_load_mib": rss_after_kib as f64 / 1_024.0,
        // In a shared process, the memory is an upper bound of the node's own.
        "rss_of": if options.targets.is_some() { "node" } else { "node, stand-ins and callers" },
    }))
}

impl Testbed {
    fn start(options: &ExperimentOptions) -> Result<Self> {
        let callers = runtime(CALLER_THREADS)?;
        let (in_process, targets) = match &options.targets {
            Some(targets) => (None, targets.clone()),

            None => {
                let (in_process, targets) = InProcessNode::start(options.seed)?;
                (Some(in_process), targets)
            }
        };
        Ok(Testbed { callers, _in_process: in_process, targets, counters: Arc::default() })
    }

    fn caller(&self) -> Arc<Caller> {
        Arc::new(Caller::new(TcpNetwork::shared(), &self.targets.callers, &api_key_of(CHEAP_TEAM)))
    }

    /// Returns the node's resident memory in KiB, or 0 if it reports none.
    async fn resident_kib(&self) -> u64 {
        let addresses = vec![self.targets.operators.clone()];
        let fleet = Fleet { network: TcpNetwork::shared(), addresses, key: None };
        let reports = fleet.status().await;
        let status = reports.into_iter().find_map(|report| report.status.ok());
        status.and_then(|status| status.rss_kib).unwrap_or(0)
    }

    /// Sends small requests in a closed loop and returns the requests per second.
    fn small_requests(&self, phase: Duration) -> f64 {
        self.closed_loop("small", SMALL_CALLERS, phase, |prompt| ChatRequest {
            prompt,
            tokens: 4,
            ..ChatRequest::default()
        })
        .0
    }

    /// Reads streams in a closed loop and returns the tokens per second.
    fn streams(&self, phase: Duration) -> f64 {
        self.closed_loop("stream", STREAMS, phase, |prompt| ChatRequest {
            prompt,
            tokens: STREAM_TOKENS,
            stream: true,
            ..ChatRequest::default()
        })
        .1
    }

    /// Runs callers that each send their next request after the last reply. Returns requests and
    /// tokens per second.
    fn closed_loop(
        &self,
        name: &'static str,
        callers: usize,
        phase: Duration,
        build: fn(String) -> ChatRequest,
    ) -> (f64, f64) {
        let tokens_before = self.counters.tokens.load(Ordering::Relaxed);
        let requests_before = self.counters.requests.load(Ordering::Relaxed);
        let started = Instant::now();
        self.callers.block_on(async {
            let mut tasks = Vec::new();
            for number in 0..callers {
                let caller = self.caller();
                let counters = Arc::clone(&self.counters);
                tasks.push(tokio::spawn(async move {
                    let mut index = 0;
                    while started.elapsed() < phase {
                        let reply = caller.chat(&build(format!("{name} {number} {index}"))).await;
                        counters.add(&reply);
                        index += 1;
                    }
                }));
            }
            for task in tasks {
                // A task that panics shows up as missing requests.
                let _ = task.await;
            }
        });
        let elapsed_s = started.elapsed().as_secs_f64();
        let tokens = self.counters.tokens.load(Ordering::Relaxed) - tokens_before;
        let requests = self.counters.requests.load(Ordering::Relaxed) - requests_before;
        (requests as f64 / elapsed_s, tokens as f64 / elapsed_s)
    }

    /// Sends requests at a fixed rate, alternately through the node and directly to the engine, so
    /// that both are exposed to the same noise of the machine.
    fn overhead(&self, phase: Duration) -> Overhead {
        let through = self.caller();
        let direct = Arc::new(Caller::new(TcpNetwork::shared(), &self.targets.engine, "none"));
        // The warm-up opens the connections; its replies are discarded.
        self.open_loop([&through, &direct], WARM_UP);
        let replies = self.open_loop([&through, &direct], phase);
        let mut overhead = Overhead::default();
        for block in replies.chunks(2 * PAIRS_PER_BLOCK) {
            overhead.add_block(block);
        }
        for reply in replies.iter().step_by(2) {
            self.counters.add(reply);
        }
        overhead
    }

    /// Sends requests at a fixed rate, alternately through the two callers, without waiting for
    /// replies. Returns the replies in the order of sending.
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
                let chat = ChatRequest {
                    prompt: format!("open {}", tasks.len()),
                    tokens: 4,
                    model: models[turn].to_owned(),
                    ..ChatRequest::default()
                };
                tasks.push(tokio::spawn(async move { caller.chat(&chat).await }));
            }
            let mut replies = Vec::new();
            for task in tasks {
                // Replies stay in the order of sending, so even ones belong to the first caller.
                replies.push(task.await.expect("a caller's task does not panic"));
            }
            replies
        })
    }

    /// Holds streams open and returns the node's resident memory in KiB.
    fn open_streams(&self) -> u64 {
        self.callers.block_on(async {
            let mut tasks = Vec::new();
            for number in 0..STREAMS {
                let caller = self.caller();
                let counters = Arc::clone(&self.counters);
                tasks.push(tokio::spawn(async move {
                    let chat = ChatRequest {
                        prompt: format!("open {number}"),
                        tokens: STREAM_TOKENS,
                        stream: true,
                        ..ChatRequest::default()
                    };
                    counters.add(&caller.chat(&chat).await);
                }));
            }
            sleep(Duration::from_millis(50)).await;
            let rss_kib = self.resident_kib().await;
            for task in tasks {
                // A task that panics shows up as missing requests.
                let _ = task.await;
            }
            rss_kib
        })
    }
}

impl InProcessNode {
    fn start(seed: u64) -> Result<(Self, Targets)> {
        let standin_runtime = runtime(STANDIN_THREADS)?;
        let node_runtime = runtime(NODE_THREADS)?;
        let sample = SampleOptions { base_port: BASE_PORT, ..SampleOptions::default() };
        let options = ClusterOptions { rules: rules(&sample), seed, ..ClusterOptions::default() };
        let mut cluster = standin_runtime.block_on(Cluster::start_without_nodes(options))?;
        let settings = cluster.settings(0);
        let environment = cluster.environment();
        let node = node_runtime.block_on(async {
            let node = Node::start(settings, environment).await?;
            node.wait_until_ready().await;
            Ok::<_, Error>(node)
        })?;
        let targets = Targets {
            callers: node.callers_address().to_owned(),
            operators: node.operators_address().to_owned(),
            engine: format!("127.0.0.1:{}", BASE_PORT + 1),
        };
        let in_process = InProcessNode {
            _standin_runtime: standin_runtime,
            _node_runtime: node_runtime,
            _cluster: cluster,
            _node: node,
        };
        Ok((in_process, targets))
    }
}

/// `Overhead` compares latencies through the node with those of direct calls to the engine.
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
    /// Adds a block of replies, which alternate between the node and direct calls.
    fn add_block(&mut self, block: &[Reply]) {
        let mut through_us = histogram();
        let mut direct_us = histogram();
        for pair in block.chunks_exact(2) {
            through_us.saturating_record(pair[0].total_us.max(1));
            direct_us.saturating_record(pair[1].total_us.max(1));
        }
        self.p50_blocks_us.push(quantile_difference(&through_us, &direct_us, 0.50));
        self.p99_blocks_us.push(quantile_difference(&through_us, &direct_us, 0.99));
        self.through_us += through_us;
        self.direct_us += direct_us;
    }
}

/// Returns by how much a quantile of one histogram exceeds that of another, or 0.
fn quantile_difference(above: &Histogram<u64>, below: &Histogram<u64>, quantile: f64) -> u64 {
    above.value_at_quantile(quantile).saturating_sub(below.value_at_quantile(quantile))
}

/// Returns the median (the upper one of two), or 0 if there are no figures.
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
