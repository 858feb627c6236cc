//! Claims: for a non-idempotent call with an idempotency key, the single attempt that may be sent.
//!
//! A claim is recorded in the platform before the call is sent. One object holds all claims of a
//! shard, and one task per shard batches this node's operations into a single conditional write. If
//! the response to a write is lost, the task reads the shard again and looks for the nonce.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fescuelock_core::claim_key::ClaimKey;
use fescuelock_core::clock::Clock;
use fescuelock_core::counters::{Counter, Counters};
use fescuelock_core::tasks::TaskGroup;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::availability::Availability;
use crate::bills::BillRecorder;
use crate::claim_record::{ClaimRecord, ClaimState, Operation, Shard, StoredResult};
use crate::objects::{Condition, ObjectVersion, SharedStore};
use crate::{Error, Result};

/// Key prefix of the objects that hold claims.
pub const CLAIMS_PREFIX: &str = "claims/";

/// `ClaimOptions` configures the recording of claims.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// Name of this node in its claim records.
    pub node: String,
    /// Number of objects over which claims are sharded. Must be the same on all nodes. Defaults to
    /// 64.
    pub shards: u16,
    /// Time for which operations are collected into one write, in milliseconds. Defaults to 5.
    pub group_window_ms: u64,
    /// Timeout of recording a claim, in milliseconds. Defaults to 2,000.
    pub claim_timeout_ms: u64,
    /// Time for which claims are kept, in milliseconds. Defaults to one hour.
    pub retention_ms: u64,
    /// Initial delay before a write is retried, in milliseconds. It doubles with each consecutive
    /// failure. Defaults to 20.
    pub retry_ms: u64,
    /// Maximum delay between retries, in milliseconds. Defaults to 1,000.
    pub retry_max_ms: u64,
    /// Maximum time for which a response is delayed until its result is recorded, in milliseconds.
    /// Defaults to 500.
    pub finish_wait_ms: u64,
    /// Maximum number of operations queued for one shard. Defaults to 1,024.
    pub queue_max: usize,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        ClaimOptions {
            node: "node".to_owned(),
            shards: 64,
            group_window_ms: 5,
            claim_timeout_ms: 2_000,
            retention_ms: 3_600_000,
            retry_ms: 20,
            retry_max_ms: 1_000,
            finish_wait_ms: 500,
            queue_max: 1_024,
        }
    }
}

/// `Claim` is the right to send a call once, until it expires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    key: ClaimKey,
    nonce: String,
    valid_until: Instant,
}

impl Claim {
    /// Returns whether the call may still be sent. It may not if the process was suspended for so
    /// long that the claim has expired.
    pub fn is_valid(&self) -> bool {
        Instant::now() < self.valid_until
    }
}

/// `ClaimOutcome` is the outcome of an attempt to claim a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The call may be sent once.
    Granted(Claim),
    /// Another attempt holds the claim and has no recorded result yet.
    InProgress,
    /// The call has finished with the given result.
    Finished(StoredResult),
    /// The key was used for a different request.
    FingerprintMismatch,
    /// The claim could not be recorded in time. The call must not be sent.
    Unavailable,
}

/// `ClaimStore` records the claims of one node in the platform.
#[derive(Clone)]
pub struct ClaimStore {
    inner: Arc<Inner>,
}

struct Inner {
    store: SharedStore,
    clock: Clock,
    options: ClaimOptions,
    counters: Counters,
    tasks: TaskGroup,
    bills: BillRecorder,
    availability: Availability,
    shards: Mutex<HashMap<u16, mpsc::Sender<QueuedOperation>>>,
    pending: AtomicUsize,
}

/// `PendingGuard` counts an operation as pending until it is recorded or abandoned.
struct PendingGuard {
    inner: Arc<Inner>,
}

impl PendingGuard {
    fn start(inner: &Arc<Inner>) -> Self {
        inner.pending.fetch_add(1, Ordering::AcqRel);
        PendingGuard { inner: Arc::clone(inner) }
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.inner.pending.fetch_sub(1, Ordering::AcqRel);
    }
}

/// `QueuedOperation` is an operation in the queue of its shard.
struct QueuedOperation {
    key: ClaimKey,
    operation: Operation,
    deadline: Option<Instant>,
    reply: Option<oneshot::Sender<ClaimState>>,
    is_written: bool,
    _pending: PendingGuard,
}

impl ClaimStore {
    /// Creates the claims of a node.
    pub fn new(
        store: SharedStore,
        clock: Clock,
        options: ClaimOptions,
        counters: Counters,
        tasks: TaskGroup,
        bills: BillRecorder,
        availability: Availability,
    ) -> Self {
        let shards = Mutex::default();
        let pending = AtomicUsize::new(0);
        let inner =
            Inner { store, clock, options, counters, tasks, bills, availability, shards, pending };
        ClaimStore { inner: Arc::new(inner) }
    }

    /// Records the claim of a call, or returns the state of an earlier attempt.
    pub async fn claim(&self, key: ClaimKey, nonce: String, fingerprint: String) -> ClaimOutcome {
        let inner = &self.inner;
        if !inner.availability.is_available() {
            return ClaimOutcome::Unavailable;
        }
        let record = ClaimRecord {
            nonce: nonce.clone(),
            node: inner.options.node.clone(),
            claimed_ms: inner.clock.now_ms(),
            fingerprint,
            result: None,
        };
        // The claim expires for its holder long before any node may remove its record.
        let valid_until = Instant::now() + Duration::from_millis(inner.options.retention_ms / 2);
        match inner.submit_and_wait(key, Operation::Claim(record)).await {
            Some(ClaimState::Granted) => {
                inner.counters.count(Counter::Claims);
                ClaimOutcome::Granted(Claim { key, nonce, valid_until })
            }

            Some(ClaimState::InProgress) => ClaimOutcome::InProgress,

            Some(ClaimState::Finished(result)) => ClaimOutcome::Finished(result),

            Some(ClaimState::FingerprintMismatch) => ClaimOutcome::FingerprintMismatch,

            // The shard's task releases a claim that it may have recorded.
            Some(ClaimState::Unclaimed) | None => ClaimOutcome::Unavailable,
        }
    }

    /// Returns the result of a call that another attempt has claimed, or `None` before it is
    /// recorded.
    pub async fn find_result(&self, key: ClaimKey) -> Option<StoredResult> {
        match self.inner.submit_and_wait(key, Operation::Read).await {
            Some(ClaimState::Finished(result)) => Some(result),
            _ => None,
        }
    }

    /// Stores the result of a call with its bill.
    ///
    /// Returns once the result is recorded, or after a bounded time, in which case it is recorded
    /// later, as soon as the platform accepts the write.
    pub async fn finish(&self, claim: Claim, result: StoredResult) {
        let operation = Operation::Finish { nonce: claim.nonce, result };
        let (reply, recorded) = oneshot::channel();
        let wait = Duration::from_millis(self.inner.options.finish_wait_ms);
        let recording = async {
            self.inner.submit(claim.key, operation, Some(reply)).await;
            recorded.await
        };
        // After a timeout, the result stays in the queue of its shard.
        let _ = timeout(wait, recording).await;
    }

    /// Releases the claim of a call that was never sent, as soon as the platform accepts the write.
    pub async fn release(&self, claim: Claim) {
        self.inner.submit(claim.key, Operation::Release { nonce: claim.nonce }, None).await;
    }

    /// Waits until no operation is pending.
    pub async fn flush(&self) {
        while self.inner.pending.load(Ordering::Acquire) > 0 {
            sleep(Duration::from_millis(self.inner.options.retry_ms)).await;
        }
    }
}

impl Inner {
    /// Submits an operation and waits for the state of the claim. Returns `None` after the timeout.
    async fn submit_and_wait(
        self: &Arc<Self>,
        key: ClaimKey,
        operation: Operation,
    ) -> Option<ClaimState> {
        let (reply, state) = oneshot::channel();
        let deadline = Instant::now() + Duration::from_millis(self.options.claim_timeout_ms);
        let queued = QueuedOperation {
            key,
            operation,
            deadline: Some(deadline),
            reply: Some(reply),
            is_written: false,
            _pending: PendingGuard::start(self),
        };
        let round_trip = async {
            self.shard(key).send(queued).await.ok()?;
            state.await.ok()
        };
        timeout_at(deadline, round_trip).await.ok().flatten()
    }

    /// Submits an operation without a deadline, which is retried until it is recorded.
    async fn submit(
        self: &Arc<Self>,
        key: ClaimKey,
        operation: Operation,
        reply: Option<oneshot::Sender<ClaimState>>,
    ) {
        let _pending = PendingGuard::start(self);
        let queued =
            QueuedOperation { key, operation, deadline: None, reply, is_written: false, _pending };
        // Waits while the queue is full, which bounds the memory use in a long outage.
        let _ = self.shard(key).send(queued).await;
    }

    /// Returns the queue of a key's shard, and starts the shard's task on first use.
    fn shard(self: &Arc<Self>, key: ClaimKey) -> mpsc::Sender<QueuedOperation> {
        let index = key.shard(self.options.shards);
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = shards.entry(index).or_insert_with(|| {
            let (sender, queue) = mpsc::channel(self.options.queue_max);
            let writer = ShardWriter {
                inner: Arc::clone(self),
                object_key: format!("{CLAIMS_PREFIX}{index:05}"),
                queue,
                cached: None,
            };
            self.tasks.spawn(writer.run());
            sender
        });
        sender.clone()
    }
}

/// `CachedShard` is the last known content and version of a shard.
struct CachedShard {
    version: Option<ObjectVersion>,
    shard: Shard,
}

/// `ShardWriter` applies the queued operations of one shard.
struct ShardWriter {
    inner: Arc<Inner>,
    object_key: String,
    queue: mpsc::Receiver<QueuedOperation>,
    cached: Option<CachedShard>,
}

impl ShardWriter {
    async fn run(mut self) {
        let mut batch = Vec::new();
        let mut failures = 0;
        loop {
            if batch.is_empty() {
                match self.queue.recv().await {
                    Some(queued) => batch.push(queued),
                    None => return,
                }
                sleep(Duration::from_millis(self.inner.options.group_window_ms)).await;
            }
            while let Ok(queued) = self.queue.try_recv() {
                batch.push(queued);
            }
            match self.commit(&mut batch).await {
                Ok(()) => failures = 0,

                Err(error) => {
                    self.cached = None;
                    // A conflict is no failure of the platform: another node wrote first.
                    failures = if matches!(error, Error::Conflict) { 0 } else { failures + 1 };
                    self.back_off(failures).await;
                }
            }
            batch = batch.into_iter().filter_map(QueuedOperation::unless_expired).collect();
        }
    }

    /// Waits before the next attempt, with exponential backoff and for an available platform.
    async fn back_off(&self, failures: u32) {
        let options = &self.inner.options;
        let pause_ms = options.retry_ms.saturating_mul(1 << failures.min(16));
        sleep(Duration::from_millis(pause_ms.min(options.retry_max_ms))).await;
        let name = format!("{} {}", options.node, self.object_key);
        self.inner.availability.wait_until_available(&name).await;
    }

    /// Applies a batch in one conditional write and delivers the resulting states.
    ///
    /// After an error the batch is kept: reading the shard again shows which operations took
    /// effect.
    async fn commit(&mut self, batch: &mut Vec<QueuedOperation>) -> Result<()> {
        let was_cached = self.cached.is_some();
        let mut current = match self.cached.take() {
            Some(cached) => cached,
            None => self.read().await?,
        };
        let options = &self.inner.options;
        let expired = current.shard.remove_expired(self.inner.clock.now_ms(), options.retention_ms);
        // The bills of expired claims must be kept. They are queued for recording before the claims
        // are removed; a bill that is recorded twice counts once.
        let mut changed = !expired.is_empty();
        for bill in expired {
            self.inner.bills.record(bill);
        }
        let mut states = Vec::with_capacity(batch.len());
        for queued in batch.iter() {
            let (state, queued_changed) = current.shard.apply(queued.key, &queued.operation);
            changed |= queued_changed;
            states.push(state);
        }
        if changed {
            let body = serde_json::to_vec(&current.shard)
                .map_err(|error| Error::Malformed(error.to_string()))?;
            let condition = Condition::at(current.version);
            batch.iter_mut().for_each(|queued| queued.is_written = true);
            let version = self.inner.store.put(&self.object_key, body.into(), condition).await?;
            current.version = Some(version);
        } else if was_cached {
            // Without a write, nothing proves that the cached shard is current. Retry with a read.
            return Err(Error::Conflict);
        }
        self.cached = Some(current);
        let applied = std::mem::take(batch);
        for (queued, state) in applied.into_iter().zip(states) {
            batch.extend(queued.deliver(state));
        }
        Ok(())
    }

    async fn read(&self) -> Result<CachedShard> {
        let object = self.inner.store.get(&self.object_key).await?;
        let shard = match &object {
            Some(object) => serde_json::from_slice(&object.body)
                .map_err(|error| Error::Malformed(error.to_string()))?,
            None => Shard::default(),
        };
        Ok(CachedShard { version: object.map(|object| object.version), shard })
    }
}

impl QueuedOperation {
    /// Returns the operation unless its deadline has passed. An expired claim that may have been
    /// written is replaced by its release.
    fn unless_expired(self) -> Option<QueuedOperation> {
        match self.deadline {
            Some(deadline) if deadline <= Instant::now() => self.into_release(),
            _ => Some(self),
        }
    }

    /// Delivers the state of the claim. A claim that was granted after its receiver had gone is
    /// replaced by its release.
    fn deliver(mut self, state: ClaimState) -> Option<QueuedOperation> {
        let is_granted = state == ClaimState::Granted;
        let is_delivered = self.reply.take().is_none_or(|reply| reply.send(state).is_ok());
        if is_granted && !is_delivered { self.into_release() } else { None }
    }

    fn into_release(self) -> Option<QueuedOperation> {
        match self.operation {
            Operation::Claim(claim) if self.is_written => Some(QueuedOperation {
                operation: Operation::Release { nonce: claim.nonce },
                deadline: None,
                reply: None,
                is_written: false,
                ..self
            }),

            _ => None,
        }
    }
}
