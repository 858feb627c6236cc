//! The links of one node: which it keeps, what goes over them and what follows from their loss.

mod exchange;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fescuelock_core::counters::{Counter, Counters};
use fescuelock_core::tasks::Tasks;
use fescuelock_http::net::{BoxFuture, BoxIo, Listener, SharedNetwork};
use fescuelock_store::bills::{Bill, BillHolder};
use rand::Rng;
use slog::{Logger, debug, info};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::Error;
use crate::link::{Introduction, Link, NodeKeys};
use crate::members::MemberState;
use crate::messages::{HeldId, Message};
use crate::state::{Handle, State};

/// Time for which rules are awaited from the platform before another node is asked, in
/// milliseconds.
const RULES_DELAY_MS: u64 = 1_000;
/// Messages that wait for one link at most. A link that is slower is closed.
const QUEUE_MAX: usize = 256;

/// `MeshOptions` configures the links of a node.
#[derive(Clone)]
pub struct MeshOptions {
    /// Id of the node.
    pub node: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Tells this start of the node from earlier ones: milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Keys that nodes prove to each other.
    pub keys: NodeKeys,
    /// Addresses at which other nodes are looked for, besides those that the platform lists.
    pub seeds: Vec<String>,
    /// Links that this node keeps open by itself. Others open as many to it, on average. Defaults
    /// to 4.
    pub links: usize,
    /// Interval of heartbeats on each link, in milliseconds. Defaults to 1,000.
    pub heartbeat_ms: u64,
    /// Silence after which a link is dropped, in milliseconds. Defaults to 3,000.
    pub silence_ms: u64,
    /// Time for a suspected node to refute, in milliseconds. Defaults to 5,000.
    pub suspicion_ms: u64,
    /// Time for another node to take a bill, in milliseconds. Defaults to 50.
    pub hold_timeout_ms: u64,
    /// Time after a lost link at which the bills of its node are recorded here, in milliseconds.
    /// Defaults to 3,000.
    pub take_over_ms: u64,
    /// Seed of the node's choices.
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

/// `LocalNode` is what the links need of the node that they belong to.
pub trait LocalNode: Send + Sync + 'static {
    /// Returns the generation of the rules in force.
    fn generation(&self) -> u64;

    /// Returns the text of the rules in force with its generation.
    fn rules(&self) -> Option<(u64, String)>;

    /// Tells whether the platform answers.
    fn is_platform_reachable(&self) -> bool;

    /// Takes the rules of a higher generation from another node.
    fn offer_rules(&self, generation: u64, text: &str);

    /// Records the bill of a node that has died.
    fn record_held(&self, bill: Bill);
}

/// `Mesh` is the set of links of one node.
#[derive(Clone)]
pub struct Mesh {
    inner: Arc<Inner>,
}

struct Inner {
    network: SharedNetwork,
    options: MeshOptions,
    counters: Counters,
    logger: Logger,
    tasks: Tasks,
    state: Mutex<State>,
    bytes_sent: AtomicU64,
}

impl Mesh {
    /// Builds the links of a node. No connection is opened before [`Mesh::run`].
    pub fn new(
        network: SharedNetwork,
        address: &str,
        options: MeshOptions,
        counters: Counters,
        logger: Logger,
        tasks: Tasks,
    ) -> Self {
        let state = State::new(address, &options);
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

    /// Accepts links and keeps its own ones open until the node's tasks end.
    pub fn run(&self, listener: Box<dyn Listener>, node: Arc<impl LocalNode>) {
        let tasks = &self.inner.tasks;
        tasks.spawn(Arc::clone(&self.inner).accept_links(listener, Arc::clone(&node)));
        tasks.spawn(Arc::clone(&self.inner).keep_links(node));
    }

    /// Replaces the listed addresses at which other nodes are looked for.
    pub fn set_seeds(&self, mut seeds: Vec<String>) {
        seeds.extend(self.inner.options.seeds.iter().cloned());
        self.inner.state().seeds = seeds;
    }

    /// Returns the number of nodes that live, this one among them.
    pub fn alive(&self) -> usize {
        self.inner.state().members.alive()
    }

    /// Returns the number of open links.
    pub fn links(&self) -> usize {
        self.inner.state().links.len()
    }

    /// Returns the bytes of messages sent since the start.
    pub fn bytes_sent(&self) -> u64 {
        self.inner.bytes_sent.load(Ordering::Relaxed)
    }

    /// Tells the other nodes at once that a generation is in force here.
    pub fn announce(&self, generation: u64) {
        let mut state = self.inner.state();
        let heartbeat = state.heartbeat(generation);
        state.broadcast(&Message::Heartbeat(heartbeat), None);
    }

    /// Tells the other nodes that this one stops, and returns the bills that it holds for them.
    pub fn leave(&self) -> Vec<Bill> {
        let mut state = self.inner.state();
        let news = state.members.leave();
        state.broadcast(&Message::Members(news), None);
        state.held.take_all().into_iter().map(Bill::from).collect()
    }
}

impl BillHolder for Mesh {
    fn hold<'a>(&'a self, bill: &'a Bill) -> BoxFuture<'a, bool> {
        Box::pin(self.inner.hold(bill))
    }

    fn release(&self, bills: &[Bill]) {
        let mut state = self.inner.state();
        let mut by_holder = BTreeMap::<String, Vec<HeldId>>::new();
        for id in bills.iter().map(|bill| HeldId::from(bill.request)) {
            if let Some(holder) = state.holders.remove(&id) {
                by_holder.entry(holder).or_default().push(id);
            }
        }
        for (holder, ids) in by_holder {
            if let Some(handle) = state.links.get(&holder) {
                // What is not released is recorded twice, and counts once.
                let _ = handle.queue.try_send(Message::Release(ids));
            }
        }
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn introduction(&self) -> Introduction {
        let nonce = self.state().rng.next_u64();
        let key = self.options.keys.keys.first().map_or_else(String::new, |key| key.name.clone());
        Introduction { node: self.options.node.clone(), nonce, key }
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
        let introduction = self.introduction();
        match Link::accept(io, &self.options.keys, introduction).await {
            Ok(link) => {
                let dialler = link.node.clone();
                self.serve(link, dialler, node).await;
            }
            Err(error) => self.note_refused(&error),
        }
    }

    /// Keeps links open, and acts on suspicions and lost nodes.
    async fn keep_links(self: Arc<Self>, node: Arc<impl LocalNode>) {
        let mut ticks = interval(Duration::from_millis(self.options.heartbeat_ms / 2 + 1));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            let wanted = {
                let mut state = self.state();
                self.bury(&mut state, now);
                state.prune(&self.options.node, self.options.links, now);
                let wanted = state.wanted(&self.options.node, self.options.links, now);
                let until = now + Duration::from_millis(self.options.silence_ms);
                for address in &wanted {
                    state.dialling.insert(address.clone(), until);
                }
                wanted
            };
            for address in wanted {
                self.tasks.spawn(Arc::clone(&self).dial(address, Arc::clone(&node)));
            }
            let lost_before = now.checked_sub(Duration::from_millis(self.options.take_over_ms));
            let bills = match lost_before {
                Some(lost_before) => self.state().held.take_over(lost_before),
                None => Vec::new(),
            };
            for bill in bills {
                self.counters.count(Counter::BillsTakenOver);
                node.record_held(bill.into());
            }
        }
    }

    /// Declares nodes dead whose suspicion was not refuted in time.
    fn bury(&self, state: &mut State, now: Instant) {
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
            let news = state.members.mark(&node, MemberState::Dead);
            state.broadcast(&Message::Members(news), None);
            info!(self.logger, "node declared dead"; "dead" => node);
        }
    }

    async fn dial(self: Arc<Self>, address: String, node: Arc<impl LocalNode>) {
        let opened = async {
            let limit = Duration::from_millis(self.options.silence_ms);
            let connected = timeout(limit, self.network.connect(&address)).await;
            let io =
                connected.map_err(|_| Error::Silent { limit_ms: self.options.silence_ms })??;
            Link::dial(io, &self.options.keys, self.introduction()).await
        };
        match opened.await {
            Ok(link) => {
                let dialler = self.options.node.clone();
                self.serve(link, dialler, node).await;
            }

            Err(error) => {
                debug!(self.logger, "cannot open a link"; "error" => error.to_string());
                self.suspect_address(&address);
            }
        }
    }

    fn suspect_address(&self, address: &str) {
        let mut state = self.state();
        let found = state.members.others().find(|member| member.address == address);
        if let Some(node) = found.map(|member| member.node.clone()) {
            self.suspect(&mut state, &node);
        }
    }

    fn suspect(&self, state: &mut State, node: &str) {
        let news = state.members.mark(node, MemberState::Suspect);
        if !news.is_empty() {
            state.suspected.insert(node.to_owned(), Instant::now());
            state.broadcast(&Message::Members(news), None);
        }
    }

    /// Serves one link until it fails.
    async fn serve(self: Arc<Self>, mut link: Link, dialler: String, node: Arc<impl LocalNode>) {
        let (queue, outgoing) = mpsc::channel(QUEUE_MAX);
        let peer = link.node.clone();
        let Some(number) = self.register(&peer, &dialler, queue) else {
            return;
        };
        self.counters.count(Counter::LinksOpened);
        let error = self.exchange(&mut link, outgoing, &node).await;
        let mut state = self.state();
        if state.links.get(&peer).is_some_and(|handle| handle.number == number) {
            state.links.remove(&peer);
            state.held.lose(&peer, Instant::now());
            self.counters.count(Counter::LinksLost);
            debug!(self.logger, "link lost"; "peer" => &peer, "error" => error.to_string());
        }
    }

    /// Enters a link among those that are open, unless a better one to the same node is.
    ///
    /// Of two links that both ends open at once, both keep the one that the lesser id dialled.
    fn register(&self, peer: &str, dialler: &str, queue: mpsc::Sender<Message>) -> Option<u64> {
        let own = self.options.node.as_str();
        let mut state = self.state();
        let is_preferred = dialler == own.min(peer);
        if peer == own || (!is_preferred && state.links.contains_key(peer)) {
            return None;
        }
        state.next_number += 1;
        let number = state.next_number;
        let table = state.members.iter().cloned().collect();
        // The queue is empty, so there is room.
        let _ = queue.try_send(Message::Members(table));
        let opened = Instant::now();
        state.links.insert(peer.to_owned(), Handle { number, opened, queue });
        Some(number)
    }
}
