//! Requests whose engine falls silent, with a second engine to be asked beside it.

mod common;

use std::time::Duration;

use common::TestCluster;
use fescuelock_load::caller::{ChatRequest, Reply};
use fescuelock_load::cluster::ClusterOptions;
use fescuelock_load::samples::{CHEAP_TEAM, CHEAP_VERSION, SampleOptions, rule, rules};
use fescuelock_standin::engine::Run;
use fescuelock_standin::faults::EngineFaults;
use fescuelock_store::bills::{Ledger, read_ledger};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Number of tokens before the silence.
const TOKENS_BEFORE: u64 = 7;
/// Time after which a silence counts in the tests, in milliseconds.
const IDLE_MS: u64 = 15_000;
/// Time from the start of a request until its first engine is silent, in milliseconds.
const SETTLE_MS: u64 = 5_000;

/// `Trial` is a stream whose first engine has fallen silent.
struct Trial {
    test_cluster: TestCluster,
    caller: JoinHandle<(Reply, Duration)>,
}

fn silence(pause_ms: u64) -> EngineFaults {
    EngineFaults { pause_after_tokens: Some(TOKENS_BEFORE), pause_ms, ..EngineFaults::default() }
}

fn late(late_ms: u64) -> EngineFaults {
    EngineFaults { late_ms, ..EngineFaults::default() }
}

impl Trial {
    /// Starts a request at an engine with `first` faults. Engines that are asked later have
    /// `second` faults.
    async fn start(
        chat: ChatRequest,
        options: ClusterOptions,
        first: EngineFaults,
        second: EngineFaults,
    ) -> Trial {
        let rules = rules(&SampleOptions::default());
        let options = ClusterOptions { nodes: 1, rules, ..options };
        let test_cluster = TestCluster::start_with(options).await;
        test_cluster.engine_faults(&first);
        let caller = test_cluster.caller(0, CHEAP_TEAM);
        let caller = tokio::spawn(async move {
            let started = Instant::now();
            let reply = caller.chat(&chat).await;
            (reply, started.elapsed())
        });
        sleep(Duration::from_millis(SETTLE_MS)).await;
        assert_eq!(test_cluster.engine_runs().len(), 1, "one engine got the request");
        test_cluster.engine_faults(&second);
        Trial { test_cluster, caller }
    }

    async fn start_stream(first: EngineFaults, second: EngineFaults) -> Trial {
        Trial::start(stream(), ClusterOptions::default(), first, second).await
    }

    /// Waits for the end of the caller, and until all engines have noticed what was cancelled.
    async fn finish(&mut self) -> (Reply, Duration) {
        let ended = (&mut self.caller).await.expect("the caller ends");
        sleep(Duration::from_secs(400)).await;
        ended
    }

    /// Returns the runs of all engines, the first one first.
    fn runs(&self) -> Vec<Run> {
        let mut runs = self.test_cluster.engine_runs();
        runs.sort_by_key(|run| run.at);
        runs
    }

    fn counter(&self, name: &str) -> u64 {
        let node = self.test_cluster.cluster.node(0).expect("the node runs");
        node.status().counters.get(name).copied().unwrap_or(0)
    }

    /// Returns the number of output tokens in each bill.
    async fn billed_tokens(&mut self) -> Vec<u64> {
        self.test_cluster.cluster.drain_node(0).await;
        let store = self.test_cluster.cluster.store.as_ref();
        let ledger: Ledger = read_ledger(store).await.expect("the bills are read");
        ledger.bills.values().map(|bill| bill.usage.output_tokens).collect()
    }
}

fn stream() -> ChatRequest {
    ChatRequest {
        prompt: "silent".to_owned(),
        tokens: 20,
        stream: true,
        timeout_ms: 600_000,
        ..ChatRequest::default()
    }
}

/// A stream waited for a silent engine although another one could go on.
#[tokio::test(start_paused = true)]
async fn second_takes_over() {
    let mut trial = Trial::start_stream(silence(300_000), EngineFaults::default()).await;
    let (reply, elapsed) = trial.finish().await;
    assert!(reply.is_ok() && reply.tokens == 20, "{reply:?}");
    assert!(elapsed.as_millis() < u128::from(IDLE_MS + 1_000), "{elapsed:?}");
    let runs = trial.runs();
    assert_eq!((runs.len(), runs[0].finished, runs[1].finished), (2, false, true));
    assert_eq!((trial.counter("silences"), trial.counter("silences.replaced")), (1, 1));
    assert_eq!(trial.billed_tokens().await, [20]);
}

/// An engine that went on had been dropped for one that had not begun to answer.
#[tokio::test(start_paused = true)]
async fn first_goes_on() {
    let mut trial = Trial::start_stream(silence(20_000), late(10_000)).await;
    let (reply, elapsed) = trial.finish().await;
    assert!(reply.is_ok() && reply.tokens == 20, "{reply:?}");
    assert!(elapsed.as_millis() < 21_000, "{elapsed:?}");
    let runs = trial.runs();
    assert_eq!((runs.len(), runs[0].finished, runs[1].finished), (2, true, false));
    assert_eq!((trial.counter("silences"), trial.counter("silences.ended")), (1, 1));
    assert_eq!(trial.counter("upstream.failures"), 0, "a sound engine was avoided");
    assert_eq!(trial.billed_tokens().await, [20]);
}

/// A stream whose engines are all silent ends with an error, after all time that is allowed.
#[tokio::test(start_paused = true)]
async fn both_silent() {
    let never = EngineFaults { silent: true, ..EngineFaults::default() };
    let mut trial = Trial::start_stream(silence(300_000), never).await;
    let (reply, elapsed) = trial.finish().await;
    assert!(!reply.complete, "{reply:?}");
    assert_eq!((reply.outcome.as_str(), reply.code.as_str()), ("unknown", "answer_timeout"));
    assert_eq!(reply.tokens, TOKENS_BEFORE);
    // The idle timeout and the time for the head of an answer.
    assert_eq!(elapsed.as_secs(), 75);
    assert!(trial.runs().iter().all(|run| !run.finished));
    assert_eq!((trial.counter("silences.lost"), trial.counter("streams.cut")), (1, 1));
}

/// Engines went on with a request whose caller had left.
#[tokio::test(start_paused = true)]
async fn caller_leaves() {
    let chat = ChatRequest { timeout_ms: 17_000, ..stream() };
    let options = ClusterOptions::default();
    let mut trial = Trial::start(chat, options, silence(20_000), late(10_000)).await;
    let (reply, _) = trial.finish().await;
    assert!(!reply.complete && reply.tokens == TOKENS_BEFORE, "{reply:?}");
    let runs = trial.runs();
    assert_eq!((runs.len(), runs[0].finished, runs[1].finished), (2, false, false));
    assert_eq!(trial.counter("streams.abandoned"), 1);
    assert_eq!(trial.billed_tokens().await, [TOKENS_BEFORE]);
}

/// A silent stream of a withdrawn version was cut, as no other engine may go on with it.
#[tokio::test(start_paused = true)]
async fn withdrawn_goes_on() {
    let mut trial = Trial::start_stream(silence(20_000), EngineFaults::default()).await;
    let withdraw = rule(&format!("withdraw {CHEAP_VERSION}"));
    trial.test_cluster.edit(|text| format!("{text}{withdraw}")).await;
    let (reply, _) = trial.finish().await;
    assert!(reply.is_ok() && reply.tokens == 20, "{reply:?}");
    assert_eq!(trial.runs().len(), 1, "a withdrawn version got a new request");
}

/// A stream that was cut after its silence got no other engine, as the one that had been asked beside
/// the silent one counted as tried.
#[tokio::test(start_paused = true)]
async fn cancelled_asked_again() {
    let cut = EngineFaults { cut_after_tokens: Some(TOKENS_BEFORE + 1), ..silence(20_000) };
    let mut trial = Trial::start_stream(cut, late(10_000)).await;
    let (reply, _) = trial.finish().await;
    assert!(reply.is_ok() && reply.tokens == 20, "{reply:?}");
    assert_eq!(trial.runs().len(), 3);
    assert_eq!(trial.billed_tokens().await, [20]);
}

/// A request was lost whose engine answered after the next one had been asked.
#[tokio::test(start_paused = true)]
async fn head_kept() {
    for chat in [stream(), ChatRequest { stream: false, ..stream() }] {
        let options = ClusterOptions {
            adjust_settings: |settings| settings.requests.answer_timeout_ms = 10_000,
            ..ClusterOptions::default()
        };
        let mut trial = Trial::start(chat, options, late(12_000), late(300_000)).await;
        let (reply, elapsed) = trial.finish().await;
        assert!(reply.is_ok() && reply.tokens == 20, "{reply:?}");
        assert_eq!(elapsed.as_secs(), 12);
        let runs = trial.runs();
        assert_eq!((runs.len(), runs[0].finished, runs[1].finished), (2, true, false));
        assert_eq!(trial.counter("upstream.failures"), 0, "a sound engine was avoided");
        assert_eq!(trial.billed_tokens().await, [20]);
    }
}

/// A request without a head got no other engine until its time was over.
#[tokio::test(start_paused = true)]
async fn head_from_second() {
    let options = ClusterOptions {
        adjust_settings: |settings| settings.requests.answer_timeout_ms = 10_000,
        ..ClusterOptions::default()
    };
    let mut trial = Trial::start(stream(), options, late(300_000), late(1_000)).await;
    let (reply, elapsed) = trial.finish().await;
    assert!(reply.is_ok() && reply.tokens == 20, "{reply:?}");
    assert_eq!(elapsed.as_secs(), 11);
    let runs = trial.runs();
    assert_eq!((runs.len(), runs[0].finished, runs[1].finished), (2, false, true));
    assert_eq!(trial.billed_tokens().await, [20]);
}
