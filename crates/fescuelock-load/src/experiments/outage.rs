//! A long outage of the platform under load: what goes on, what is refused, and what its end costs.

use std::time::Duration;

use fescuelock_operators::admin::resident_kib;
use fescuelock_standin::faults::PlatformFaults;
use fescuelock_store::bills::read_ledger;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::Result;
use crate::caller::{Call, Chat, Reply};
use crate::cluster::{Cluster, ClusterOptions};
use crate::experiments::ExperimentOptions;
use crate::experiments::traffic::{Directory, Record, rng, runtime};
use crate::samples::{CHEAP_TEAM, SampleOptions, rules};

/// Nodes of the deployment, as many as a deployment has today.
const NODES: usize = 9;
/// Callers that send chats and bookings in turn.
const CALLERS: u64 = 32;
/// Pause of a caller between requests, in milliseconds.
const PAUSE_MS: u64 = 20;
/// Time for the platform to be caught up with.
const CATCH_UP: Duration = Duration::from_secs(5);
/// First port of the stand-ins.
const FIRST_PORT: u16 = 19_500;

/// `Sent` is a request with its answer.
struct Sent {
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
    let sample = SampleOptions { first_port: FIRST_PORT, ..SampleOptions::default() };
    let mut cluster = Cluster::start(ClusterOptions {
        nodes: NODES,
        rules: rules(&sample),
        seed: options.seed,
        ..ClusterOptions::default()
    })
    .await?;
    let directory = Directory::new(&cluster);
    let sent = Record::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(ask(directory.clone(), sent.clone(), options.seed, caller)))
        .collect();
    let phase = Duration::from_secs(options.phase_s);
    sleep(phase).await;
    let rss_before_kib = resident_kib().unwrap_or(0);
    let calls_before = cluster.deployment.platform.take_rate_max();
    let before = sent.take();

    let outage = PlatformFaults { outage: true, ..PlatformFaults::default() };
    cluster.deployment.platform.set_faults(outage);
    // Bookings that had their claim when the outage began are still answered.
    sleep(Duration::from_secs(1)).await;
    let at_edge = sent.take();
    sleep(4 * phase).await;
    let during = sent.take();
    let calls_during = cluster.deployment.platform.take_rate_max();
    let backlog: u64 = (0..NODES)
        .filter_map(|index| cluster.node(index))
        .map(|node| node.status().bills_backlog)
        .sum();
    let rss_end_kib = resident_kib().unwrap_or(0);

    cluster.deployment.platform.set_faults(PlatformFaults::default());
    sleep(CATCH_UP).await;
    let calls_after = cluster.deployment.platform.take_rate_max();
    let after = sent.take();
    directory.finish(callers).await;
    let last = sent.take();
    for node in 0..NODES {
        cluster.drain_node(node).await;
    }
    let ledger = read_ledger(cluster.store.as_ref()).await?;
    let all = [&before, &at_edge, &during, &after, &last];
    let unbilled = all
        .iter()
        .flat_map(|sent| sent.iter())
        .filter(|sent| sent.reply.is_ok() && !sent.reply.replayed)
        .filter(|sent| !is_billed(&ledger, &sent.reply.request_id))
        .count();
    let report = json!({
        "experiment": "outage",
        "seed": options.seed,
        "nodes": NODES,
        "outage_s": (4 * phase + Duration::from_secs(1)).as_secs(),
        "before": summary(&before),
        "during": summary(&during),
        "after": summary(&after),
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

async fn ask(directory: Directory, record: Record<Sent>, seed: u64, caller: u64) {
    let mut rng = rng(seed, caller);
    let mut number = 0u64;
    while directory.is_open() {
        number += 1;
        let is_booking = number.is_multiple_of(4);
        let sender = directory.caller(CHEAP_TEAM, &mut rng);
        let text = format!("outage {caller} {number}");
        let reply = match is_booking {
            true => {
                let idempotency_key = Some(text.clone());
                sender.call(&Call { body: text, idempotency_key, ..Call::default() }).await
            }
            false => sender.chat(&Chat { prompt: text, ..Chat::default() }).await,
        };
        record.add(Sent { is_booking, reply });
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

fn is_billed(ledger: &fescuelock_store::bills::Ledger, id: &str) -> bool {
    id.parse().is_ok_and(|id| ledger.bills.contains_key(&id))
}

/// Counts what callers were told.
fn summary(sent: &[Sent]) -> Value {
    let count = |is_booking: bool, wanted: &dyn Fn(&Reply) -> bool| {
        sent.iter().filter(|sent| sent.is_booking == is_booking && wanted(&sent.reply)).count()
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
