//! A long outage of the platform under load: which requests are served and refused, and the load
//! on the platform at its recovery.

use std::time::Duration;

use fescuelock_operators::admin::resident_kib;
use fescuelock_standin::faults::PlatformFaults;
use fescuelock_store::bills::read_ledger;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::Result;
use crate::caller::{ChatRequest, Reply, ServiceCall};
use crate::cluster::{Cluster, ClusterOptions};
use crate::experiments::ExperimentOptions;
use crate::experiments::traffic::{Collector, NodeDirectory, rng, runtime};
use crate::samples::{CHEAP_TEAM, SampleOptions, rules};

/// Number of nodes, as in today's deployments.
const NODES: usize = 9;
/// Number of callers, each of which sends three chats and then a booking.
const CALLERS: u64 = 32;
/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 20;
/// Time for the nodes to catch up with the platform after the outage.
const CATCH_UP_TIME: Duration = Duration::from_secs(5);
/// Port below those of the stand-ins, which are numbered upwards.
const BASE_PORT: u16 = 19_500;

/// `Exchange` is a request's kind with its reply.
struct Exchange {
    is_booking: bool,
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
        ..ClusterOptions::default()
    })
    .await?;
    let directory = NodeDirectory::new(&cluster);
    let exchanges = Collector::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            tokio::spawn(send_requests(directory.clone(), exchanges.clone(), options.seed, caller))
        })
        .collect();
    let phase = Duration::from_secs(options.phase_s);
    sleep(phase).await;
    let rss_before_kib = resident_kib().unwrap_or(0);
    let calls_before = cluster.deployment.platform.take_peak_calls_per_s();
    let before = exchanges.take();

    let outage = PlatformFaults { outage: true, ..PlatformFaults::default() };
    cluster.deployment.platform.set_faults(outage);
    // Bookings that had claimed their key before the outage are still answered, so the first
    // second is kept apart.
    sleep(Duration::from_secs(1)).await;
    let at_outage_start = exchanges.take();
    sleep(4 * phase).await;
    let during_outage = exchanges.take();
    let calls_during = cluster.deployment.platform.take_peak_calls_per_s();
    let backlog: u64 = (0..NODES)
        .filter_map(|index| cluster.node(index))
        .map(|node| node.status().bills_backlog)
        .sum();
    let rss_end_kib = resident_kib().unwrap_or(0);

    cluster.deployment.platform.set_faults(PlatformFaults::default());
    sleep(CATCH_UP_TIME).await;
    let calls_after = cluster.deployment.platform.take_peak_calls_per_s();
    let after = exchanges.take();
    directory.stop_and_join(callers).await;
    let at_end = exchanges.take();
    for node in 0..NODES {
        cluster.drain_node(node).await;
    }
    let ledger = read_ledger(cluster.store.as_ref()).await?;
    let all = [&before, &at_outage_start, &during_outage, &after, &at_end];
    let unbilled = all
        .iter()
        .flat_map(|group| group.iter())
        .filter(|exchange| exchange.reply.is_ok() && !exchange.reply.replayed)
        .filter(|exchange| !is_billed(&ledger, &exchange.reply.request_id))
        .count();
    let report = json!({
        "experiment": "outage",
        "seed": options.seed,
        "nodes": NODES,
        "outage_s": (4 * phase + Duration::from_secs(1)).as_secs(),
        "before": summarize(&before),
        "during": summarize(&during_outage),
        "after": summarize(&after),
        "unbilled": unbilled,
        "bills_waiting_at_end": backlog,
        "rss_growth_mib": (rss_end_kib as f64 - rss_before_kib as f64) / 1_024.0,
        "store_calls_per_s_max_before": calls_before,
        "store_calls_per_s_max_during": calls_during,
        "store_calls_per_s_max_after": calls_after,
    });
    cluster.stop();
    Ok(report)
}

async fn send_requests(
    directory: NodeDirectory,
    collector: Collector<Exchange>,
    seed: u64,
    caller: u64,
) {
    let mut rng = rng(seed, caller);
    let mut number = 0u64;
    while directory.is_running() {
        number += 1;
        let is_booking = number.is_multiple_of(4);
        let sender = directory.caller(CHEAP_TEAM, &mut rng);
        let text = format!("outage {caller} {number}");
        let reply = match is_booking {
            true => {
                let idempotency_key = Some(text.clone());
                sender
                    .call(&ServiceCall { body: text, idempotency_key, ..ServiceCall::default() })
                    .await
            }
            false => sender.chat(&ChatRequest { prompt: text, ..ChatRequest::default() }).await,
        };
        collector.add(Exchange { is_booking, reply });
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

fn is_billed(ledger: &fescuelock_store::bills::Ledger, id: &str) -> bool {
    id.parse().is_ok_and(|id| ledger.bills.contains_key(&id))
}

/// Counts the replies by kind of request and outcome.
fn summarize(exchanges: &[Exchange]) -> Value {
    let count = |is_booking: bool, wanted: &dyn Fn(&Reply) -> bool| {
        exchanges
            .iter()
            .filter(|exchange| exchange.is_booking == is_booking && wanted(&exchange.reply))
            .count()
    };
    json!({
        "chats": count(false, &|_| true),
        "chats_ok": count(false, &Reply::is_ok),
        "bookings": count(true, &|_| true),
        "bookings_ok": count(true, &Reply::is_ok),
        "bookings_not_run": count(true, &|reply| reply.outcome == "not_run"),
        "bookings_unknown": count(true, &|reply| reply.outcome == "unknown"),
    })
}
