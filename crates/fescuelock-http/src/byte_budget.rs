//! The byte budget of a process: what it may hold for callers, and who holds it.
//!
//! Handles callers that together send or leave unread more than the VM can hold. A holder takes a
//! [`ByteLease`] before it reads and gives it back on drop. If the budget is short, the request body
//! that has made no progress for longest ends first, if it is stalled; else the one that asks.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::connections::{ConnectionEntry, ConnectionTable, ConnectionTableOptions};

/// Memory of the program itself at the design size, in bytes: 22 MB were measured with 600
/// connections, and 2,600 upstreams take some megabytes.
const PROGRAM_BYTES: u64 = 24 << 20;

/// Share of the memory beside the program that the budget covers. The rest is for connections and for
/// what the allocator does not give back.
const BUDGET_SHARE: f64 = 0.5;

/// Share of the memory beside the program that buffers of connections may take.
const CONNECTIONS_SHARE: f64 = 0.25;

/// Budget if the memory of the VM is not stated, in bytes. 4,096 requests with bodies of 1 MiB and
/// answers of as much fit.
const DEFAULT_TOTAL_BYTES: u64 = 16 << 30;

/// Body or answer that may use the reserve, in bytes. Prompts of 12,000 tokens fit.
const SMALL_BYTES: u64 = 64 << 10;

/// Bytes of a body that count as progress. A caller that sends one byte at a time makes progress
/// slowly.
const PROGRESS_BYTES: usize = 16 << 10;

/// Time without progress after which a body may be ended in favour of others, in milliseconds. A busy
/// node with a tenth of a core reads a connection again within this time.
const STALL_MIN_MS: u64 = 250;

/// Timeout for a body that was ended, or a slow reader that was closed, to give back what it holds, in
/// milliseconds.
const GIVE_BACK_TIMEOUT_MS: u64 = 100;

/// Number of times that a body tries to get a lease.
const LEASE_ATTEMPTS_MAX: usize = 20;

/// Bytes that a body asks for at least, in bytes.
const GROWTH_STEP_BYTES: u64 = 8 << 10;

/// Time over which the rate of returned bytes is measured, in milliseconds.
const RETURN_WINDOW_MS: u64 = 1_000;

/// Bounds on the expected time until the budget has room, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (200, 2_000);

/// `Holder` is what bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// Request bodies, from their first byte until the request has ended, also while it waits.
    RequestBodies,
    /// Answers that are held until callers have read them.
    Answers,
    /// Events of streams that callers have not read yet.
    Events,
    /// Buffers of callers' connections, at [`CONNECTION_BYTES`](crate::connections::CONNECTION_BYTES)
    /// each.
    Connections,
}

impl Holder {
    /// All holders.
    pub const ALL: [Holder; 4] =
        [Holder::RequestBodies, Holder::Answers, Holder::Events, Holder::Connections];

    /// Returns the name of the holder in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Holder::RequestBodies => "request_bodies",
            Holder::Answers => "answers",
            Holder::Events => "events",
            Holder::Connections => "connections",
        }
    }
}

/// `ByteBudgetOptions` sets the size of a budget and of its parts.
#[derive(Debug, Clone)]
pub struct ByteBudgetOptions {
    /// Bytes that request bodies, answers and events may hold together. Defaults to 16 GiB.
    pub total_bytes: u64,
    /// Share of the total that request bodies may hold. Defaults to 0.625, so that answers to the
    /// requests have room.
    pub bodies_share: f64,
    /// Share of each part that is left for bodies and answers of up to `small_bytes`. Defaults to
    /// 0.25.
    pub small_share: f64,
    /// Largest body or answer that may use the share for small ones, in bytes. Defaults to 64 KiB.
    pub small_bytes: u64,
    /// Share of the request bodies that one team may hold, if a team is given. Defaults to 0.5.
    pub team_share: f64,
    /// Bounds on the connections of callers.
    pub connections: ConnectionTableOptions,
}

impl Default for ByteBudgetOptions {
    fn default() -> Self {
        ByteBudgetOptions {
            total_bytes: DEFAULT_TOTAL_BYTES,
            bodies_share: 0.625,
            small_share: 0.25,
            small_bytes: SMALL_BYTES,
            team_share: 0.5,
            connections: ConnectionTableOptions::default(),
        }
    }
}

impl ByteBudgetOptions {
    /// Derives the options from the memory of the VM in megabytes and its descriptors, each if
    /// stated.
    pub fn for_vm(memory_mb: Option<u64>, descriptors_max: Option<u64>) -> Self {
        let defaults = ByteBudgetOptions::default();
        let beside_program =
            memory_mb.map(|megabytes| (megabytes << 20).saturating_sub(PROGRAM_BYTES) as f64);
        let share = |share: f64| beside_program.map(|bytes| (bytes * share) as u64);
        ByteBudgetOptions {
            total_bytes: share(BUDGET_SHARE).unwrap_or(defaults.total_bytes),
            connections: ConnectionTableOptions::for_vm(share(CONNECTIONS_SHARE), descriptors_max),
            ..defaults
        }
    }
}

/// `ByteBudget` counts the bytes that a process holds for callers. Clones share one budget.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: ByteBudgetOptions,
    state: Mutex<State>,
    /// Notified whenever bytes are given back.
    returned: Notify,
    connections: ConnectionTable,
    refused: AtomicU64,
    ended: AtomicU64,
}

#[derive(Debug)]
struct State {
    /// Bytes held by each holder but connections, in the order of [`Holder::ALL`].
    held_bytes: [u64; 3],
    team_bytes: HashMap<u64, u64>,
    /// Request bodies that are being read.
    reading: HashMap<u64, Reading>,
    next_reading: u64,
    window_started: Instant,
    /// Bytes given back within the current window and the one before.
    returned_bytes: [u64; 2],
}

/// `Reading` is a request body that is being read.
#[derive(Debug)]
struct Reading {
    team: Option<u64>,
    held_bytes: u64,
    /// Time at which the body last made progress.
    progress_at: Instant,
    /// Cancelled to end the body in favour of others.
    ended: CancellationToken,
}

/// `Shortage` is what a lease has failed at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shortage {
    /// The budget.
    Budget,
    /// The share of a team.
    Team(u64),
}

/// `ByteLease` is a number of bytes of a budget, given back on drop.
#[derive(Debug)]
pub struct ByteLease {
    budget: ByteBudget,
    holder: Holder,
    team: Option<u64>,
    bytes: u64,
}

/// `LeasedBytes` holds bytes in memory and their lease.
struct LeasedBytes {
    bytes: Vec<u8>,
    _lease: ByteLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// `BodyReading` is the entry of a request body among those that are being read.
#[derive(Debug)]
pub(crate) struct BodyReading {
    lease: ByteLease,
    key: u64,
    unmarked_bytes: usize,
    ended: CancellationToken,
}

impl Default for ByteBudget {
    fn default() -> Self {
        ByteBudget::new(ByteBudgetOptions::default())
    }
}

impl ByteBudget {
    /// Builds a budget of which nothing is held.
    pub fn new(options: ByteBudgetOptions) -> Self {
        let connections = ConnectionTable::new(options.connections.clone());
        let state = State {
            held_bytes: [0; 3],
            team_bytes: HashMap::new(),
            reading: HashMap::new(),
            next_reading: 0,
            window_started: Instant::now(),
            returned_bytes: [0; 2],
        };
        ByteBudget {
            shared: Arc::new(Shared {
                options,
                state: Mutex::new(state),
                returned: Notify::new(),
                connections,
                refused: AtomicU64::new(0),
                ended: AtomicU64::new(0),
            }),
        }
    }

    /// Leases bytes. Returns `None` if the budget is short.
    pub fn try_lease(&self, holder: Holder, bytes: usize) -> Option<ByteLease> {
        self.try_lease_for(holder, None, bytes)
    }

    /// Leases bytes for a team, whose share is bounded. Returns `None` if the budget or the share is
    /// short.
    pub fn try_lease_for(
        &self,
        holder: Holder,
        team: Option<u64>,
        bytes: usize,
    ) -> Option<ByteLease> {
        let mut lease = ByteLease { budget: self.clone(), holder, team, bytes: 0 };
        lease.grow(bytes).then_some(lease)
    }

    /// Leases bytes for an answer. Waits while the budget is short, and closes the connections of
    /// callers that don't read theirs.
    pub async fn lease_answer(&self, bytes: usize) -> ByteLease {
        self.lease_unread(Holder::Answers, bytes).await
    }

    /// Leases bytes for events like [`ByteBudget::lease_answer`].
    pub async fn lease_events(&self, bytes: usize) -> ByteLease {
        self.lease_unread(Holder::Events, bytes).await
    }

    async fn lease_unread(&self, holder: Holder, bytes: usize) -> ByteLease {
        let mut lease = ByteLease { budget: self.clone(), holder, team: None, bytes: 0 };
        lease.grow_answer(bytes).await;
        lease
    }

    /// Returns the bytes that a holder holds.
    pub fn held_bytes(&self, holder: Holder) -> u64 {
        match holder {
            Holder::Connections => self.connections().held_bytes(),
            _ => self.state().held_bytes[holder as usize],
        }
    }

    /// Returns the connections of callers.
    pub fn connections(&self) -> &ConnectionTable {
        &self.shared.connections
    }

    /// Returns the number of request bodies that were refused because the budget was short, and of
    /// those that were ended in favour of others.
    pub fn refused_bodies(&self) -> (u64, u64) {
        let Shared { refused, ended, .. } = &*self.shared;
        (refused.load(Ordering::Relaxed), ended.load(Ordering::Relaxed))
    }

    /// Returns the expected time until the budget has room for some bytes, in milliseconds, from the
    /// rate at which bytes were given back.
    pub fn expected_wait_ms(&self, bytes: u64) -> u64 {
        let mut state = self.state();
        state.roll_window();
        let returned_bytes = state.returned_bytes.iter().sum::<u64>().max(1);
        let elapsed_ms = RETURN_WINDOW_MS + state.window_started.elapsed().as_millis() as u64;
        let (min_ms, max_ms) = RETRY_AFTER_MS;
        (bytes.saturating_mul(elapsed_ms) / returned_bytes).clamp(min_ms, max_ms)
    }

    /// Lists a connection. Waits for a free place; the connection that has been idle for longest is
    /// closed for it, or else the request body that is stalled for longest is ended.
    pub(crate) async fn enter_connection(&self) -> ConnectionEntry {
        let end_stalled = || {
            self.end_stalled_body(None, Shortage::Budget);
        };
        self.connections().enter(end_stalled).await
    }

    /// Begins to read a request body.
    pub(crate) fn begin_body(&self, team: Option<u64>) -> BodyReading {
        let ended = CancellationToken::new();
        let mut state = self.state();
        let key = state.next_reading;
        state.next_reading += 1;
        let reading =
            Reading { team, held_bytes: 0, progress_at: Instant::now(), ended: ended.clone() };
        state.reading.insert(key, reading);
        drop(state);
        let holder = Holder::RequestBodies;
        let lease = ByteLease { budget: self.clone(), holder, team, bytes: 0 };
        BodyReading { lease, key, unmarked_bytes: 0, ended }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes bytes for a holder that already holds `held_bytes`.
    fn take(
        &self,
        holder: Holder,
        team: Option<u64>,
        held_bytes: u64,
        bytes: u64,
    ) -> Result<(), Shortage> {
        let options = &self.shared.options;
        let mut state = self.state();
        let is_small = held_bytes + bytes <= options.small_bytes;
        let usable = |total: f64| match is_small {
            true => total as u64,
            false => (total * (1.0 - options.small_share)) as u64,
        };
        let total = options.total_bytes as f64;
        let bodies = total * options.bodies_share;
        let all_bytes = state.held_bytes.iter().sum::<u64>() + bytes;
        let holder_bytes = state.held_bytes[holder as usize] + bytes;
        let is_over_bodies = holder == Holder::RequestBodies && holder_bytes > usable(bodies);
        if is_over_bodies || all_bytes > usable(total) {
            return Err(Shortage::Budget);
        }
        if let Some(team) = team {
            let team_bytes = state.team_bytes.get(&team).copied().unwrap_or_default() + bytes;
            if team_bytes > (bodies * options.team_share) as u64 {
                return Err(Shortage::Team(team));
            }
            state.team_bytes.insert(team, team_bytes);
        }
        state.held_bytes[holder as usize] = holder_bytes;
        Ok(())
    }

    fn give_back(&self, holder: Holder, team: Option<u64>, bytes: u64) {
        let mut state = self.state();
        state.held_bytes[holder as usize] -= bytes;
        if let Some(team) = team
            && let Some(team_bytes) = state.team_bytes.get_mut(&team)
        {
            *team_bytes -= bytes;
            if *team_bytes == 0 {
                state.team_bytes.remove(&team);
            }
        }
        state.roll_window();
        state.returned_bytes[1] += bytes;
        drop(state);
        self.shared.returned.notify_waiters();
    }

    /// Ends the body that has made no progress for longest, if it is stalled for longer than the one
    /// that asks. Returns whether bytes will be given back.
    fn end_stalled_body(&self, asking: Option<u64>, shortage: Shortage) -> bool {
        let state = self.state();
        let now = Instant::now();
        let stalled = |reading: &Reading| now.saturating_duration_since(reading.progress_at);
        let own = asking.and_then(|asking| state.reading.get(&asking));
        let own_stall = own.map_or(Duration::ZERO, stalled);
        let min_stall = own_stall.max(Duration::from_millis(STALL_MIN_MS));
        let others = state.reading.iter().filter(|(key, reading)| {
            let is_in_scope = match shortage {
                Shortage::Budget => true,
                Shortage::Team(team) => reading.team == Some(team),
            };
            Some(**key) != asking && is_in_scope && reading.held_bytes > 0
        });
        let longest = others.map(|(_, reading)| reading).max_by_key(|reading| {
            // What has been ended and not given back yet comes first.
            (reading.ended.is_cancelled(), stalled(reading))
        });
        match longest {
            Some(reading) if reading.ended.is_cancelled() => true,

            Some(reading) if stalled(reading) > min_stall => {
                reading.ended.cancel();
                self.shared.ended.fetch_add(1, Ordering::Relaxed);
                true
            }

            _ => false,
        }
    }
}

impl State {
    fn roll_window(&mut self) {
        let elapsed_ms = self.window_started.elapsed().as_millis() as u64;
        if elapsed_ms >= RETURN_WINDOW_MS {
            let recent = if elapsed_ms < 2 * RETURN_WINDOW_MS { self.returned_bytes[1] } else { 0 };
            self.returned_bytes = [recent, 0];
            self.window_started = Instant::now();
        }
    }
}

impl ByteLease {
    /// Adds bytes to the lease. Returns `false`, and changes nothing, if the budget is short.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.try_grow(bytes as u64).is_ok()
    }

    /// Returns the number of leased bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Keeps the lease until the last reference to the bytes is dropped.
    pub fn into_bytes(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(LeasedBytes { bytes, _lease: self })
    }

    /// Adds bytes to the lease of an answer. Waits while the budget is short, and closes the
    /// connections of callers that don't read theirs.
    pub(crate) async fn grow_answer(&mut self, bytes: usize) {
        while !self.grow(bytes) {
            let shared = Arc::clone(&self.budget.shared);
            let returned = shared.returned.notified();
            shared.connections.close_slowest_reader();
            // Another caller may become a slow reader without giving anything back.
            let _ = timeout(Duration::from_millis(GIVE_BACK_TIMEOUT_MS), returned).await;
        }
    }

    fn try_grow(&mut self, bytes: u64) -> Result<(), Shortage> {
        self.budget.take(self.holder, self.team, self.bytes, bytes)?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.give_back(self.holder, self.team, self.bytes);
        }
    }
}

impl BodyReading {
    /// Returns the token that is cancelled when the body is ended in favour of others.
    pub fn token(&self) -> CancellationToken {
        self.ended.clone()
    }

    /// Records that bytes have arrived.
    pub fn record_progress(&mut self, bytes: usize) {
        self.unmarked_bytes += bytes;
        if self.unmarked_bytes >= PROGRESS_BYTES {
            self.unmarked_bytes = 0;
            if let Some(reading) = self.lease.budget.state().reading.get_mut(&self.key) {
                reading.progress_at = Instant::now();
            }
        }
    }

    /// Leases more bytes, at the cost of bodies that are stalled. Returns `false` if there are none.
    pub async fn grow(&mut self, bytes: usize) -> bool {
        let shared = Arc::clone(&self.lease.budget.shared);
        for _ in 0..LEASE_ATTEMPTS_MAX {
            let returned = shared.returned.notified();
            let shortage = match self.lease.try_grow(bytes as u64) {
                Ok(()) => {
                    let mut state = self.lease.budget.state();
                    if let Some(reading) = state.reading.get_mut(&self.key) {
                        reading.held_bytes = self.lease.bytes;
                    }
                    return true;
                }
                Err(shortage) => shortage,
            };
            if !self.lease.budget.end_stalled_body(Some(self.key), shortage) {
                break;
            }
            tokio::select! {
                () = self.ended.cancelled() => break,
                _ = timeout(Duration::from_millis(GIVE_BACK_TIMEOUT_MS), returned) => {}
            }
        }
        shared.refused.fetch_add(1, Ordering::Relaxed);
        false
    }

    /// Ends the reading of a whole body and keeps its lease with its bytes.
    pub fn finish(mut self, bytes: Vec<u8>) -> Bytes {
        let empty = ByteLease {
            budget: self.lease.budget.clone(),
            holder: self.lease.holder,
            team: None,
            bytes: 0,
        };
        std::mem::replace(&mut self.lease, empty).into_bytes(bytes)
    }

    /// Returns the expected time until the budget has room for the body as far as it has arrived, in
    /// milliseconds.
    pub fn expected_wait_ms(&self) -> u64 {
        self.lease.budget.expected_wait_ms(self.lease.bytes.max(GROWTH_STEP_BYTES))
    }
}

impl Drop for BodyReading {
    fn drop(&mut self) {
        self.lease.budget.state().reading.remove(&self.key);
    }
}
