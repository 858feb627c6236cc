//! Throughput, overhead and memory of one node, against the engine stand-in called directly.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fescuelock_http::net::Tcp;
use fescuelock_operators::admin::resident_kib;
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
const STANDIN_THREADS: usize = 2;
/// Worker threads of the callers.
const CALLER_THREADS: usize = 2;
/// Callers that send small requests without a pause.
const SMALL_CALLERS: usize = 64;
/// Streams that are open at once.
const STREAMS: usize = 500;
/// Tokens of a stream in the measurement of throughput.
const STREAM_TOKENS: u64 = 400;
/// Requests per second at which overhead is measured: half of the stated target.
const OVERHEAD_RATE_PER_S: u64 = 2_500;
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
}

impl Tally {
    fn add(&self, reply: &Reply) {
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
    _standins: Runtime,
    _node_runtime: Runtime,
    _cluster: Cluster,
    node: Node<Running>,
    engine_address: String,
    tally: Arc<Tally>,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns the error of the part that could not be started.
pub fn run(options: &ExperimentOptions) -> Result<Value> {
    let phase = Duration::from_secs(options.phase_s);
    let bench = Bench::start(options.seed)?;
    let small = bench.small_requests(phase);
    let streamed = bench.streams(phase);
    let (through, direct) = bench.overhead(phase);
    let rss_kib = bench.open_streams();
    let tally = &bench.tally;
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let overhead_us = |quantile: f64| {
        through.value_at_quantile(quantile).saturating_sub(direct.value_at_quantile(quantile))
    };
    Ok(json!({
        "experiment": "path",
        "seed": options.seed,
        "node_threads": NODE_THREADS,
        "requests": count(&tally.requests),
        "ok": count(&tally.ok),
        "wrong_version": count(&tally.wrong_version),
        "truncated": count(&tally.truncated),
        "misdelivered": count(&tally.misdelivered),
        "overhead_p50_us": overhead_us(0.50),
        "overhead_p99_us": overhead_us(0.99),
        "through_p50_us": through.value_at_quantile(0.50),
        "through_p99_us": through.value_at_quantile(0.99),
        "direct_p50_us": direct.value_at_quantile(0.50),
        "direct_p99_us": direct.value_at_quantile(0.99),
        "overhead_rate_per_s": OVERHEAD_RATE_PER_S,
        "requests_per_s": small.round(),
        "tokens_per_s": streamed.round(),
        "open_streams": STREAMS,
        // The node shares this process with the stand-ins and the callers: an upper bound.
        "rss_mib": rss_kib as f64 / 1_024.0,
        "rss_of": "node, stand-ins and callers in one process",
    }))
}

impl Bench {
    fn start(seed: u64) -> Result<Self> {
        let standins = runtime(STANDIN_THREADS)?;
        let node_runtime = runtime(NODE_THREADS)?;
        let callers = runtime(CALLER_THREADS)?;
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
        let engine_address = format!("127.0.0.1:{}", FIRST_PORT + 1);
        Ok(Bench {
            callers,
            _standins: standins,
            _node_runtime: node_runtime,
            _cluster: cluster,
            node,
            engine_address,
            tally: Arc::default(),
        })
    }

    fn caller(&self) -> Arc<Caller> {
        let address = self.node.callers_address();
        Arc::new(Caller::new(Tcp::shared(), address, &key_of(CHEAP_TEAM)))
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

    /// Sends requests at a fixed rate in turn through the node and straight to the engine.
    fn overhead(&self, phase: Duration) -> (Histogram<u64>, Histogram<u64>) {
        let through = self.caller();
        let direct = Arc::new(Caller::new(Tcp::shared(), &self.engine_address, "none"));
        let mut through_us = histogram();
        let mut direct_us = histogram();
        // The two alternate in short rounds, so that both meet the same noise of the machine.
        let rounds = 10;
        for round in 0..rounds {
            let length = phase / rounds;
            through_us += self.open_loop(&through, "auto", round, length, true);
            direct_us += self.open_loop(&direct, CHEAP_VERSION, round, length, false);
        }
        (through_us, direct_us)
    }

    fn open_loop(
        &self,
        caller: &Arc<Caller>,
        model: &'static str,
        round: u32,
        length: Duration,
        tallied: bool,
    ) -> Histogram<u64> {
        let mut latencies_us = histogram();
        let replies = self.callers.block_on(async {
            let mut ticks = interval(Duration::from_micros(1_000_000 / OVERHEAD_RATE_PER_S));
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            let started = Instant::now();
            let mut tasks = Vec::new();
            while started.elapsed() < length {
                ticks.tick().await;
                let caller = Arc::clone(caller);
                let prompt = format!("open {round} {}", tasks.len());
                let chat = Chat { prompt, tokens: 4, model: model.to_owned(), ..Chat::default() };
                tasks.push(tokio::spawn(async move { caller.chat(&chat).await }));
            }
            let mut replies = Vec::new();
            for task in tasks {
                replies.extend(task.await);
            }
            replies
        });
        for reply in replies {
            if tallied {
                self.tally.add(&reply);
            }
            latencies_us.saturating_record(reply.total_us.max(1));
        }
        latencies_us
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
            let rss_kib = resident_kib().unwrap_or(0);
            for task in tasks {
                // A caller that panics is seen in the missing requests.
                let _ = task.await;
            }
            rss_kib
        })
    }
}

fn runtime(threads: usize) -> Result<Runtime> {
    Ok(Builder::new_multi_thread().worker_threads(threads).enable_all().build()?)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
