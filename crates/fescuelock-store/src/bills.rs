//! Billing records: one per request, written in batches and merged by request id.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fescuelock_core::counters::{Counter, Counters};
use fescuelock_core::ids::RequestId;
use fescuelock_core::units::Usage;
use fescuelock_http::net::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use crate::availability::Availability;
use crate::claim_record::Shard;
use crate::claims::CLAIMS_PREFIX;
use crate::objects::{Condition, ObjectStore, SharedStore};
use crate::{Error, Result};

/// Key prefix of the objects that hold bills.
const BILLS_PREFIX: &str = "bills/";

/// `Bill` is the billing record of one request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Id of the request. All duplicates of a request with an idempotency key share one id.
    #[serde_as(as = "DisplayFromStr")]
    pub request: RequestId,
    /// Name of the team.
    pub team: String,
    /// Name of the version, or `service:` and the name of the service.
    pub serving: String,
    /// Input and output tokens.
    pub usage: Usage,
    /// Cost in millionths of the deployment's currency.
    pub cost_micros: u64,
    /// Time at which the response ended, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// `BillReplicator` replicates bills to another VM until they are recorded, so that they survive the
/// loss of this one.
pub trait BillReplicator: Send + Sync {
    /// Replicates a bill. Returns, within a bounded time, whether the replica was acknowledged.
    fn replicate<'a>(&'a self, bill: &'a Bill) -> BoxFuture<'a, bool>;

    /// Releases the replicas of bills that are recorded.
    fn release(&self, bills: &[Bill]);
}

/// `BillRecorderOptions` configures the recording of bills.
#[derive(Debug, Clone)]
pub struct BillRecorderOptions {
    /// Name of this node.
    pub node: String,
    /// Random id that distinguishes this run of the node from all others.
    pub boot_id: String,
    /// Maximum time that a bill waits for its batch to fill, in milliseconds. Defaults to 500.
    pub flush_ms: u64,
    /// Maximum number of bills in one object. Defaults to 1,000.
    pub batch_max: usize,
    /// Number of unrecorded bills at which the node refuses new requests. Defaults to 100,000.
    pub backlog_max: usize,
    /// Delay before a failed write is retried, in milliseconds. Defaults to 500.
    pub retry_ms: u64,
}

impl Default for BillRecorderOptions {
    fn default() -> Self {
        BillRecorderOptions {
            node: "node".to_owned(),
            boot_id: "0".to_owned(),
            flush_ms: 500,
            batch_max: 1_000,
            backlog_max: 100_000,
            retry_ms: 500,
        }
    }
}

/// `Command` is a message to the task that writes the bills.
enum Command {
    Bill(Box<Bill>),
    Flush(oneshot::Sender<()>),
}

/// `BillRecorder` queues the bills of one node for writing.
#[derive(Clone)]
pub struct BillRecorder {
    commands: mpsc::UnboundedSender<Command>,
    backlog: Arc<AtomicUsize>,
    backlog_max: usize,
    replicator: Option<Arc<dyn BillReplicator>>,
    counters: Counters,
}

/// `BillWriter` writes the bills of one node in batches.
pub struct BillWriter {
    store: SharedStore,
    options: BillRecorderOptions,
    counters: Counters,
    commands: mpsc::UnboundedReceiver<Command>,
    backlog: Arc<AtomicUsize>,
    replicator: Option<Arc<dyn BillReplicator>>,
    availability: Availability,
    next_batch: u64,
}

/// Creates the recorder of a node and its writer, which must be run in a task.
pub fn bill_recorder(
    store: SharedStore,
    options: BillRecorderOptions,
    counters: Counters,
    replicator: Option<Arc<dyn BillReplicator>>,
    availability: Availability,
) -> (BillRecorder, BillWriter) {
    let (sender, commands) = mpsc::unbounded_channel();
    let backlog = Arc::new(AtomicUsize::new(0));
    let recorder = BillRecorder {
        commands: sender,
        backlog: Arc::clone(&backlog),
        backlog_max: options.backlog_max,
        replicator: replicator.clone(),
        counters: counters.clone(),
    };
    let writer = BillWriter {
        store,
        options,
        counters,
        commands,
        backlog,
        replicator,
        availability,
        next_batch: 0,
    };
    (recorder, writer)
}

impl BillRecorder {
    /// Queues a bill, and replicates it to another VM until its batch is written.
    pub async fn record_replicated(&self, bill: Bill) {
        // The bill is queued first, so that a failing replication cannot lose it.
        self.record(bill.clone());
        if let Some(replicator) = &self.replicator
            && replicator.replicate(&bill).await
        {
            self.counters.count(Counter::BillsHeld);
        }
    }

    /// Queues a bill for the next batch.
    pub fn record(&self, bill: Bill) {
        self.backlog.fetch_add(1, Ordering::Relaxed);
        // Fails only after the writer's task has ended, at the end of the node.
        let _ = self.commands.send(Command::Bill(Box::new(bill)));
    }

    /// Returns whether the backlog is full, in which case the node should refuse new requests.
    pub fn is_backlog_full(&self) -> bool {
        self.backlog.load(Ordering::Relaxed) >= self.backlog_max
    }

    /// Returns the number of bills that are not yet recorded.
    pub fn backlog(&self) -> usize {
        self.backlog.load(Ordering::Relaxed)
    }

    /// Waits until all bills queued so far are recorded.
    pub async fn flush(&self) {
        let (done, flushed) = oneshot::channel();
        if self.commands.send(Command::Flush(done)).is_ok() {
            // An error means that the writer was aborted, so there is nothing to wait for.
            let _ = flushed.await;
        }
    }
}

impl BillWriter {
    /// Writes batches until all recorders are dropped.
    pub async fn run(mut self) {
        while let Some(first) = self.commands.recv().await {
            let mut batch = Vec::new();
            let mut flushes = Vec::new();
            sort_command(first, &mut batch, &mut flushes);
            let flush_at = Instant::now() + Duration::from_millis(self.options.flush_ms);
            while batch.len() < self.options.batch_max && flushes.is_empty() {
                match timeout_at(flush_at, self.commands.recv()).await {
                    Ok(Some(command)) => sort_command(command, &mut batch, &mut flushes),
                    Ok(None) | Err(_) => break,
                }
            }
            if !batch.is_empty() {
                self.write(&batch).await;
            }
            for done in flushes {
                // The receiver may have stopped waiting.
                let _ = done.send(());
            }
        }
    }

    /// Writes one batch, retrying for as long as the platform is unavailable.
    async fn write(&mut self, batch: &[Bill]) {
        let options = &self.options;
        let key =
            format!("{BILLS_PREFIX}{}/{}-{:010}", options.node, options.boot_id, self.next_batch);
        self.next_batch += 1;
        let body = Bytes::from(encode(batch));
        loop {
            self.availability.wait_until_available(&options.node).await;
            match self.store.put(&key, body.clone(), Condition::Absent).await {
                // Only this writer uses the key: a conflict means an earlier attempt succeeded.
                Ok(_) | Err(Error::Conflict) => break,

                Err(_) => sleep(Duration::from_millis(self.options.retry_ms)).await,
            }
        }
        self.backlog.fetch_sub(batch.len(), Ordering::Relaxed);
        if let Some(replicator) = &self.replicator {
            replicator.release(batch);
        }
        let recorded = u64::try_from(batch.len()).unwrap_or(u64::MAX);
        self.counters.add(Counter::BillsRecorded, recorded);
    }
}

/// Adds a command's bill to the batch, or its sender to those that wait for the flush.
fn sort_command(command: Command, batch: &mut Vec<Bill>, flushes: &mut Vec<oneshot::Sender<()>>) {
    match command {
        Command::Bill(bill) => batch.push(*bill),
        Command::Flush(done) => flushes.push(done),
    }
}

/// Encodes bills as JSON Lines.
fn encode(batch: &[Bill]) -> Vec<u8> {
    let mut body = Vec::new();
    for bill in batch {
        serde_json::to_writer(&mut body, bill).expect("a bill can always be encoded as JSON");
        body.push(b'\n');
    }
    body
}

/// `Ledger` is the merged set of all bills.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Bills by request id.
    pub bills: BTreeMap<RequestId, Bill>,
    /// Number of duplicate records of a request.
    pub duplicates: u64,
    /// Number of duplicate records whose cost differs.
    pub conflicting: u64,
    /// Number of records that could not be decoded.
    pub malformed: u64,
    /// Number of objects that were listed, but not found. Their records are not in the set.
    pub missing: u64,
}

impl Ledger {
    /// Merges a record. Of the duplicates of a request, the earliest counts.
    pub fn merge(&mut self, bill: Bill) {
        match self.bills.get(&bill.request) {
            Some(known) => {
                self.duplicates += 1;
                self.conflicting += u64::from(known.cost_micros != bill.cost_micros);
                if (bill.at_ms, &bill.serving) < (known.at_ms, &known.serving) {
                    self.bills.insert(bill.request, bill);
                }
            }

            None => {
                self.bills.insert(bill.request, bill);
            }
        }
    }
}

/// Reads and merges all bills, including those that are still stored with claims.
///
/// # Errors
///
/// Returns the error of the first call that fails.
pub async fn read_ledger(store: &dyn ObjectStore) -> Result<Ledger> {
    let mut ledger = Ledger::default();
    for key in store.list(BILLS_PREFIX).await? {
        let Some(object) = store.get(&key).await? else {
            ledger.missing += 1;
            continue;
        };
        for line in object.body.split(|&byte| byte == b'\n').filter(|line| !line.is_empty()) {
            match serde_json::from_slice(line) {
                Ok(bill) => ledger.merge(bill),
                Err(_) => ledger.malformed += 1,
            }
        }
    }
    for key in store.list(CLAIMS_PREFIX).await? {
        let Some(object) = store.get(&key).await? else {
            ledger.missing += 1;
            continue;
        };
        match serde_json::from_slice::<Shard>(&object.body) {
            Ok(shard) => shard
                .claims
                .into_values()
                .filter_map(|record| record.result?.bill)
                .for_each(|bill| ledger.merge(bill)),

            Err(_) => ledger.malformed += 1,
        }
    }
    Ok(ledger)
}
