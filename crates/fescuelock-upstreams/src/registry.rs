//! Connections, load and health of each upstream, as seen by this node.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fescuelock_core::arena::ArenaKey;
use fescuelock_core::ids::{Generation, UpstreamKey};
use fescuelock_core::placement::LocalUpstreamState;
use fescuelock_core::rules::{ConfigSnapshot, Protocol, Upstream};
use fescuelock_http::net::SharedNetwork;
use fescuelock_http::pool::{HttpVersion, Pool, PoolOptions};
use fescuelock_policy::pause::{Pause, PauseChange};
use tokio::time::Instant;

/// `RegistryOptions` configures connections to upstreams and how long failed ones are avoided.
#[derive(Debug, Clone)]
pub struct RegistryOptions {
    /// Timeout for opening a connection, in milliseconds. Defaults to 1,000.
    pub connect_timeout_ms: u64,
    /// Time for which an upstream is avoided after a failure, in milliseconds. Defaults to 1,000.
    pub suspect_ms: u64,
}

impl Default for RegistryOptions {
    fn default() -> Self {
        RegistryOptions { connect_timeout_ms: 1_000, suspect_ms: 1_000 }
    }
}

/// `UpstreamHandle` is the connection pool, load and health of one upstream on this node.
pub struct UpstreamHandle {
    /// Name of the upstream.
    pub name: String,
    /// Pool of connections to the upstream.
    pub pool: Pool,
    protocol: Protocol,
    in_flight: AtomicU32,
    suspect_until_ms: AtomicU64,
    pause: Mutex<Pause>,
}

/// `InFlightGuard` counts one request as in flight on an upstream until it is dropped.
pub struct InFlightGuard {
    handle: Arc<UpstreamHandle>,
}

/// `SendAfterPause` describes a send to an upstream that may have paused.
#[derive(Debug, Clone, Copy)]
pub struct SendAfterPause {
    /// Time of the send since the start of the registry, in milliseconds.
    pub sent_ms: u64,
    /// Whether it is the first one after a pause.
    pub is_first: bool,
}

/// `Registry` tracks the upstreams of the current configuration.
pub struct Registry {
    network: SharedNetwork,
    options: RegistryOptions,
    started: Instant,
    table: Mutex<Arc<UpstreamTable>>,
}

/// `UpstreamTable` holds the upstreams of one configuration, indexed by that configuration's keys.
#[derive(Default)]
pub struct UpstreamTable {
    generation: Generation,
    handles: Vec<Arc<UpstreamHandle>>,
}

impl Registry {
    /// Builds an empty registry.
    pub fn new(network: SharedNetwork, options: RegistryOptions) -> Self {
        Registry { network, options, started: Instant::now(), table: Mutex::default() }
    }

    /// Returns the upstreams of a configuration. An upstream whose address and protocol stay the
    /// same keeps its connections, load and health when the configuration changes.
    pub fn table_for(&self, snapshot: &ConfigSnapshot) -> Arc<UpstreamTable> {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        if table.generation != snapshot.generation {
            *table = Arc::new(self.build_table(&table, snapshot));
        }
        Arc::clone(&table)
    }

    /// Returns the load of an upstream.
    pub fn load(&self, table: &UpstreamTable, key: UpstreamKey) -> LocalUpstreamState {
        let handle = table.upstream_handle(key);
        LocalUpstreamState {
            in_flight: handle.in_flight.load(Ordering::Relaxed),
            is_suspect: handle.suspect_until_ms.load(Ordering::Relaxed) > self.elapsed_ms(),
        }
    }

    /// Marks an upstream as suspect after a failure, so that it is avoided for `suspect_ms`.
    pub fn mark_suspect(&self, handle: &UpstreamHandle) {
        let until_ms = self.elapsed_ms() + self.options.suspect_ms;
        handle.suspect_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Clears the suspicion of an upstream that answered.
    pub fn mark_healthy(&self, handle: &UpstreamHandle) {
        handle.suspect_until_ms.store(0, Ordering::Relaxed);
    }

    /// Records that an upstream asks for a pause of `pause_ms`, which is lengthened by a share that
    /// `spread` in [0, 1) determines.
    pub fn pause(
        &self,
        handle: &UpstreamHandle,
        pause_ms: u64,
        spread: f64,
    ) -> Option<PauseChange> {
        handle.pause().extend(pause_ms, spread, self.elapsed_ms())
    }

    /// Records an answer that is neither a rejection nor an error, to a request that was sent at
    /// `sent_ms` after the start of the registry.
    pub fn record_answer(&self, handle: &UpstreamHandle, sent_ms: u64) {
        handle.pause().record_answer(sent_ms, self.elapsed_ms());
    }

    /// Returns the time until a request may be sent to an upstream that paused, in milliseconds.
    pub fn pause_wait_ms(&self, handle: &UpstreamHandle) -> u64 {
        handle.pause().wait_ms(self.elapsed_ms())
    }

    /// Records a send, unless the upstream pauses.
    ///
    /// # Errors
    ///
    /// Returns the time until a request may be sent, in milliseconds.
    pub fn try_send(&self, handle: &UpstreamHandle) -> std::result::Result<SendAfterPause, u64> {
        let now_ms = self.elapsed_ms();
        let mut pause = handle.pause();
        match pause.wait_ms(now_ms) {
            0 => {
                pause.record_send(now_ms);
                let is_first = pause.take_ended(now_ms);
                Ok(SendAfterPause { sent_ms: now_ms, is_first })
            }

            wait_ms => Err(wait_ms),
        }
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn build_table(&self, old: &UpstreamTable, snapshot: &ConfigSnapshot) -> UpstreamTable {
        let known: HashMap<&str, &Arc<UpstreamHandle>> =
            old.handles.iter().map(|handle| (handle.name.as_str(), handle)).collect();
        let handles = snapshot.upstreams.iter().map(|(_, upstream)| {
            match known.get(upstream.name.as_str()) {
                Some(handle) if handle.has_same_endpoint(upstream) => Arc::clone(handle),
                _ => Arc::new(self.new_handle(upstream)),
            }
        });
        UpstreamTable { generation: snapshot.generation, handles: handles.collect() }
    }

    fn new_handle(&self, upstream: &Upstream) -> UpstreamHandle {
        let options = PoolOptions {
            version: match upstream.protocol {
                Protocol::Http1 => HttpVersion::Http1,
                Protocol::Http2 => HttpVersion::Http2,
            },
            connect_timeout_ms: self.options.connect_timeout_ms,
            ..PoolOptions::default()
        };
        UpstreamHandle {
            name: upstream.name.clone(),
            pool: Pool::new(Arc::clone(&self.network), upstream.address.clone(), options),
            protocol: upstream.protocol,
            in_flight: AtomicU32::new(0),
            suspect_until_ms: AtomicU64::new(0),
            pause: Mutex::default(),
        }
    }
}

impl UpstreamTable {
    /// Returns the upstream with the given key, which must be of the same configuration.
    pub fn upstream_handle(&self, key: UpstreamKey) -> &Arc<UpstreamHandle> {
        &self.handles[key.index()]
    }
}

impl UpstreamHandle {
    fn pause(&self) -> MutexGuard<'_, Pause> {
        self.pause.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_same_endpoint(&self, upstream: &Upstream) -> bool {
        self.pool.address() == upstream.address && self.protocol == upstream.protocol
    }
}

impl InFlightGuard {
    /// Starts to count a request.
    pub fn start(handle: &Arc<UpstreamHandle>) -> Self {
        handle.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { handle: Arc::clone(handle) }
    }

    /// Returns the upstream that the request is counted on.
    pub fn upstream_handle(&self) -> &Arc<UpstreamHandle> {
        &self.handle
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.handle.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
