//! The links of one node: which links to keep open, message exchange and handling of lost links.

mod exchange;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fescuelock_core::counters::{Counter, Counters};
use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::net::{BoxFuture, BoxIo, Listener, SharedNetwork};
use fescuelock_store::bills::{Bill, BillReplicator};
use rand::Rng;
use slog::{Logger, debug, info};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::Error;
use crate::link::{HandshakeHello, Link, NodeKeys};
use crate::members::MemberState;
use crate::messages::{Message, ReplicaId};
use crate::state::{LinkHandle, MeshState};

/// Time to wait for newer rules from the platform before requesting them from another node, in
/// milliseconds.
const RULES_REQUEST_DELAY_MS: u64 = 1_000;
/// Maximum number of outgoing messages queued for one link. More are dropped; a blocked link
/// times out.
const LINK_QUEUE_CAPACITY: usize = 256;

/// `MeshOptions` configures the mesh of a node.
#[derive(Clone)]
pub struct MeshOptions {
    /// Id of the node.
    pub node: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Start time of the node in milliseconds since the Unix epoch. It makes this run's membership
    /// entry override those of earlier runs.
    pub incarnation: u64,
    /// Keys with which nodes authenticate to each other.
    pub keys: NodeKeys,
    /// Addresses at which to discover other nodes, in addition to those that the platform lists.
    pub seeds: Vec<String>,
    /// Number of links that this node opens and keeps open. On average, other nodes open as many
    /// to it. Defaults to 4.
    pub links: usize,
    /// Interval between heartbeats on each link, in milliseconds. Defaults to 1,000.
    pub heartbeat_ms: u64,
    /// Time without a message after which a link is closed, in milliseconds. Defaults to 3,000.
    pub silence_ms: u64,
    /// Time that a suspected node has to refute the suspicion, in milliseconds. Defaults to 5,000.
    pub suspicion_ms: u64,
    /// Timeout of the replication of a bill to another node, in milliseconds. Defaults to 50.
    pub hold_timeout_ms: u64,
    /// Time after the loss of a link until this node records the replicated bills of its peer, in
    /// milliseconds. Defaults to 3,000.
    pub take_over_ms: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for MeshOptions {
    fn default() -> Self {
        MeshOptions {
            node: "node".to_owned(),
            zone: String::new(),
            incarnation: 0,
            keys: NodeKeys::default(),
            seeds: Vec::new(),
            links: 4,
            heartbeat_ms: 1_000,
            silence_ms: 3_000,
            suspicion_ms: 5_000,
            hold_timeout_ms: 50,
            take_over_ms: 3_000,
            seed: 0,
        }
    }
}

/// `LocalNode` gives the mesh access to the node that it belongs to.
pub trait LocalNode: Send + Sync + 'static {
    /// Returns the generation of the active rules.
    fn generation(&self) -> u64;

    /// Returns the generation and the text of the active rules.
    fn rules(&self) -> Option<(u64, String)>;

    /// Returns whether the platform is reachable.
    fn is_platform_reachable(&self) -> bool;

    /// Offers the rules of a higher generation, received from another node.
    fn offer_rules(&self, generation: u64, text: &str);

    /// Records a replicated bill of a node whose link was lost.
    fn record_taken_over(&self, bill: Bill);
}

/// `Mesh` manages the links of one node.
#[derive(Clone)]
pub struct Mesh {
    inner: Arc<Inner>,
}

struct Inner {
    network: SharedNetwork,
    options: MeshOptions,
    counters: Counters,
    logger: Logger,
    tasks: TaskGroup,
    state: Mutex<MeshState>,
    bytes_sent: AtomicU64,
}

impl Mesh {
    /// Creates the mesh of a node. No connection is opened before [`Mesh::run`].
    pub fn new(
        network: SharedNetwork,
        address: &str,
        options: MeshOptions,
        counters: Counters,
        logger: Logger,
        tasks: TaskGroup,
    ) -> Self {
        let state = MeshState::new(address, &options);
        let inner = Inner {
            network,
            options,
            counters,
            logger,
            tasks,
            state: Mutex::new(state),
            bytes_sent: AtomicU64::new(0),
        };
        Mesh { inner: Arc::new(inner) }
    }

    /// Spawns the tasks that accept links and keep this node's own links open.
    pub fn run(&self, listener: Box<dyn Listener>, node: Arc<impl LocalNode>) {
        let tasks = &self.inner.tasks;
        tasks.spawn(Arc::clone(&self.inner).accept_links(listener, Arc::clone(&node)));
        tasks.spawn(Arc::clone(&self.inner).keep_links(node));
    }

    /// Replaces the seeds that the platform lists. The configured seeds stay.
    pub fn set_seeds(&self, mut seeds: Vec<String>) {
        seeds.extend(self.inner.options.seeds.iter().cloned());
        self.inner.state().seeds = seeds;
    }

    /// Returns the number of nodes that are alive or suspected, including this one.
    pub fn alive_count(&self) -> usize {
        self.inner.state().members.alive_count()
    }

    /// Returns the number of open links.
    pub fn link_count(&self) -> usize {
        self.inner.state().links.len()
    }

    /// Returns the number of message bytes sent since the start.
    pub fn bytes_sent(&self) -> u64 {
        self.inner.bytes_sent.load(Ordering::Relaxed)
    }

    /// Announces a newly active generation at once, without waiting for the next heartbeat.
    pub fn announce(&self, generation: u64) {
        let mut state = self.inner.state();
        let heartbeat = state.heartbeat(generation);
        state.broadcast(&Message::Heartbeat(heartbeat), None);
    }

    /// Announces that this node is leaving, and returns the bills that it keeps for other nodes.
    pub fn leave(&self) -> Vec<Bill> {
        let mut state = self.inner.state();
        let updates = state.members.leave();
        state.broadcast(&Message::Members(updates), None);
        state.replicas.take_all().into_iter().map(Bill::from).collect()
    }
}

impl BillReplicator for Mesh {
    fn replicate<'a>(&'a self, bill: &'a Bill) -> BoxFuture<'a, bool> {
        Box::pin(self.inner.replicate(bill))
    }

    fn release(&self, bills: &[Bill]) {
        let mut state = self.inner.state();
        let mut by_replica_node = BTreeMap::<String, Vec<ReplicaId>>::new();
        for id in bills.iter().map(|bill| ReplicaId::from(bill.request)) {
            if let Some(replica_node) = state.replica_nodes.remove(&id) {
                by_replica_node.entry(replica_node).or_default().push(id);
            }
        }
        for (replica_node, ids) in by_replica_node {
            if let Some(handle) = state.links.get(&replica_node) {
                // Best effort: a bill that is not released is recorded twice but counted once.
                let _ = handle.queue.try_send(Message::Release(ids));
            }
        }
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, MeshState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hello(&self) -> HandshakeHello {
        let nonce = self.state().rng.next_u64();
        let key = self.options.keys.keys.first().map_or_else(String::new, |key| key.name.clone());
        HandshakeHello { node: self.options.node.clone(), nonce, key }
    }

    async fn accept_links(self: Arc<Self>, listener: Box<dyn Listener>, node: Arc<impl LocalNode>) {
        loop {
            match listener.accept().await {
                Ok(io) => {
                    self.tasks.spawn(Arc::clone(&self).accept_link(io, Arc::clone(&node)));
                }
                Err(_) => sleep(Duration::from_millis(self.options.heartbeat_ms)).await,
            }
        }
    }

    async fn accept_link(self: Arc<Self>, io: BoxIo, node: Arc<impl LocalNode>) {
        let hello = self.hello();
        match Link::accept(io, &self.options.keys, hello).await {
            Ok(link) => {
                let dialler = link.node.clone();
                self.serve(link, dialler, node).await;
            }
            Err(error) => self.record_refused(&error),
        }
    }

    /// Opens missing links, closes needless ones, expires suspicions and takes over the bills of
    /// lost nodes.
    async fn keep_links(self: Arc<Self>, node: Arc<impl LocalNode>) {
        let mut ticks = interval(Duration::from_millis(self.options.heartbeat_ms / 2 + 1));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            let addresses_to_dial = {
                let mut state = self.state();
                self.declare_dead(&mut state, now);
                state.close_unselected(&self.options.node, self.options.links, now);
                let addresses_to_dial =
                    state.addresses_to_dial(&self.options.node, self.options.links, now);
                let until = now + Duration::from_millis(self.options.silence_ms);
                for address in &addresses_to_dial {
                    state.dialling.insert(address.clone(), until);
                }
                addresses_to_dial
            };
            for address in addresses_to_dial {
                self.tasks.spawn(Arc::clone(&self).dial(address, Arc::clone(&node)));
            }
            let lost_before = now.checked_sub(Duration::from_millis(self.options.take_over_ms));
            let bills = match lost_before {
                Some(lost_before) => self.state().replicas.take_over(lost_before),
                None => Vec::new(),
            };
            for bill in bills {
                self.counters.count(Counter::BillsTakenOver);
                node.record_taken_over(bill.into());
            }
        }
    }

    /// Declares nodes dead that have not refuted a suspicion in time.
    fn declare_dead(&self, state: &mut MeshState, now: Instant) {
        let limit = Duration::from_millis(self.options.suspicion_ms);
        let dead: Vec<String> = state
            .suspected
            .iter()
            .filter(|(_, since)| now.duration_since(**since) >= limit)
            .map(|(node, _)| node.clone())
            .collect();
        for node in dead {
            state.suspected.remove(&node);
            state.generations.remove(&node);
            let updates = state.members.set_state(&node, MemberState::Dead);
            state.broadcast(&Message::Members(updates), None);
            info!(self.logger, "suspected node did not refute in time; declared it dead";
                "dead" => node);
        }
    }

    async fn dial(self: Arc<Self>, address: String, node: Arc<impl LocalNode>) {
        let opened = async {
            let limit = Duration::from_millis(self.options.silence_ms);
            let connected = timeout(limit, self.network.connect(&address)).await;
            let io =
                connected.map_err(|_| Error::TimedOut { limit_ms: self.options.silence_ms })??;
            Link::dial(io, &self.options.keys, self.hello()).await
        };
        match opened.await {
            Ok(link) => {
                let dialler = self.options.node.clone();
                self.serve(link, dialler, node).await;
            }

            Err(error) => {
                debug!(self.logger, "cannot open a link; suspecting the node at this address";
                    "error" => error.to_string());
                self.suspect_address(&address);
            }
        }
    }

    fn suspect_address(&self, address: &str) {
        let mut state = self.state();
        let found = state.members.active_peers().find(|member| member.address == address);
        if let Some(node) = found.map(|member| member.node.clone()) {
            self.suspect(&mut state, &node);
        }
    }

    fn suspect(&self, state: &mut MeshState, node: &str) {
        let updates = state.members.set_state(node, MemberState::Suspect);
        if !updates.is_empty() {
            state.suspected.insert(node.to_owned(), Instant::now());
            state.broadcast(&Message::Members(updates), None);
        }
    }

    /// Runs one link until it fails or is closed.
    async fn serve(self: Arc<Self>, mut link: Link, dialler: String, node: Arc<impl LocalNode>) {
        let (queue, outgoing) = mpsc::channel(LINK_QUEUE_CAPACITY);
        let peer = link.node.clone();
        let Some(number) = self.register(&peer, &dialler, queue) else {
            return;
        };
        self.counters.count(Counter::LinksOpened);
        let error = self.exchange(&mut link, outgoing, &node).await;
        let mut state = self.state();
        if state.links.get(&peer).is_some_and(|handle| handle.number == number) {
            state.links.remove(&peer);
            state.replicas.mark_lost(&peer, Instant::now());
            self.counters.count(Counter::LinksLost);
            debug!(self.logger, "link lost; taking over the peer's unrecorded bills after a delay";
                "peer" => &peer, "error" => error.to_string());
        }
    }

    /// Registers an open link, unless a preferred link to the same node is open already.
    ///
    /// If two nodes dial each other at the same time, both keep the link dialled by the node with
    /// the lower id.
    fn register(&self, peer: &str, dialler: &str, queue: mpsc::Sender<Message>) -> Option<u64> {
        let own = self.options.node.as_str();
        let mut state = self.state();
        let is_preferred = dialler == own.min(peer);
        if peer == own || (!is_preferred && state.links.contains_key(peer)) {
            return None;
        }
        state.last_number += 1;
        let number = state.last_number;
        let table = state.members.iter().cloned().collect();
        // The new queue is empty, so this cannot fail.
        let _ = queue.try_send(Message::Members(table));
        let opened = Instant::now();
        state.links.insert(peer.to_owned(), LinkHandle { number, opened, queue });
        Some(number)
    }
}
