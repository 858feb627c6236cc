//! Exchanges reports between nodes over UDP: load, request outcomes and roll-out statistics.
//!
//! Each report holds the sender's current state, so a lost report is superseded by the next one and
//! an unresponsive link delays no others. Nodes discover each other from the records that they
//! write to the store, and from the reports that they receive.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fescuelock_core::store_revision::StoreRevision;
use fescuelock_platform::records::NodeRecord;
use fescuelock_policy::crash_evidence::SegmentReport;
use fescuelock_policy::leaving::LeavingReport;
use fescuelock_policy::listing;
use fescuelock_policy::placement::hash_name;
use fescuelock_policy::report_merge::{REPORT_FANOUT, REPORT_INTERVAL_MS};
use fescuelock_policy::stated_limit::LimitReport;
use fescuelock_store::Error as StoreError;
use fescuelock_store::resources::{Collection, Listing, SharedResources};
use slog::{info, warn};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use crate::crashes;
use crate::fleet::UpstreamStats;
use crate::leaving;
use crate::limits;
use crate::metrics::LabelledCounter;
use crate::node_state::NodeState;
use crate::rates::{self, Rates};
use crate::report::{EncodedSegment, Report, RolloutReport};
use crate::upstream::Load;

/// Delay of a report with news, in milliseconds. It gathers what is learnt at about the same time.
const NEWS_DELAY_MS: u64 = 40;

/// One round of reports in this many also relays the roll-out counts of other nodes, so that a node
/// that has just started receives the counts of nodes that have stopped.
const FULL_REPORT_INTERVAL_ROUNDS: u64 = 4;

/// Size of the receive buffer, in bytes. It limits the size of a report.
pub const REPORT_MAX_BYTES: usize = 16 << 10;

/// Time without a report after which a node is sent no more reports, in milliseconds.
const PEER_INACTIVE_AFTER_MS: u64 = 10_000;

/// Time without a report after which a node is forgotten, in milliseconds. It is longer than nodes
/// are likely to be unreachable, so that limits shared among all nodes still count them.
const PEER_EXPIRY_MS: u64 = 60_000;

/// Delay before a failed registration is retried, in milliseconds.
const REGISTER_RETRY_DELAY_MS: u64 = 1_000;

/// Time without a report after which a node is no longer expected to write roll-out states, in
/// milliseconds.
const WRITER_REPORT_MAX_AGE_MS: u64 = 1_500;

/// `ReportContent` tells what a report holds beside the node's load.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ReportContent {
    /// News on prompts, limits and leaving upstreams.
    News,
    /// News, and the node's own counts of roll-outs.
    Own,
    /// All that the node knows of rejected prompts, limits, leaving upstreams and roll-outs.
    Full,
}

impl ReportContent {
    /// Returns the name of the kind of report in metrics.
    fn label(self) -> &'static str {
        match self {
            ReportContent::News => "news",
            ReportContent::Own => "own",
            ReportContent::Full => "full",
        }
    }
}

/// `ZoneRelation` tells whether a node is in the same availability zone as this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ZoneRelation {
    Same,
    Other,
    /// The node is known by reports of an older version only.
    Unknown,
}

impl ZoneRelation {
    /// Returns the relation of a node's zone to that of this node.
    fn of(zone: Option<&str>, own_zone: &str) -> Self {
        match zone {
            None => ZoneRelation::Unknown,
            Some(zone) if zone == own_zone => ZoneRelation::Same,
            Some(_) => ZoneRelation::Other,
        }
    }

    /// Returns the name of the relation in metrics.
    fn label(self) -> &'static str {
        match self {
            ZoneRelation::Same => "same",
            ZoneRelation::Other => "other",
            ZoneRelation::Unknown => "unknown",
        }
    }
}

/// `Recipient` is a node to which a report is sent.
#[derive(Debug, Clone, Copy)]
struct Recipient {
    address: SocketAddr,
    zone_relation: ZoneRelation,
}

/// `Peer` is what this node knows of another node.
#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    /// Availability zone of the node, if its record or a report named it.
    zone: Option<String>,
    /// Time of the last report from the node, in milliseconds, if there was one.
    last_report_ms: Option<u64>,
    /// Time at which the node was first known, in milliseconds.
    discovered_ms: u64,
    /// Whether the node reaches the store, as of its last report.
    reaches_store: bool,
}

/// `Peers` exchanges reports with the other nodes.
pub struct Peers {
    node_state: Arc<NodeState>,
    socket: UdpSocket,
    address: SocketAddr,
    peers: Mutex<BTreeMap<String, Peer>>,
}

impl Peers {
    /// Binds the UDP socket for reports to the first free port of the node's range.
    pub async fn bind_socket(node_state: Arc<NodeState>) -> std::io::Result<Self> {
        let (first, last) = node_state.settings.node_ports;
        let mut failure = std::io::Error::from(std::io::ErrorKind::AddrNotAvailable);
        for port in first..=last {
            match UdpSocket::bind((node_state.settings.ip.as_str(), port)).await {
                Ok(socket) => {
                    let address = socket.local_addr()?;
                    return Ok(Peers { node_state, socket, address, peers: Mutex::default() });
                }
                Err(error) => failure = error,
            }
        }
        Err(failure)
    }

    /// Returns the address at which this node receives reports.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes this node's record to the store and reads those of the other nodes, and writes it again
    /// each time that the store came back from an older copy.
    pub async fn keep_registered(&self, store: &SharedResources) {
        let name = &self.node_state.settings.name;
        let zone = self.node_state.settings.zone.clone();
        let record = NodeRecord { address: self.address.to_string(), zone };
        let mut eras = store.eras();
        self.register(store, &record).await;
        eras.mark_unchanged();
        while eras.changed().await.is_ok() {
            let delay_ms = self.node_state.draw_write_delay_ms();
            sleep(Duration::from_millis(delay_ms)).await;
            loop {
                match store.create(Collection::Nodes, name, record.encode()).await {
                    Ok(()) => {
                        info!(self.node_state.logger, "node record written again";
                            "era" => *eras.borrow());
                        break;
                    }

                    Err(StoreError::Conflict) => break,

                    Err(error) => {
                        warn!(self.node_state.logger,
                            "cannot write this node's record again, retrying"; "error" => %error);
                        sleep(Duration::from_millis(REGISTER_RETRY_DELAY_MS)).await;
                    }
                }
            }
        }
    }

    /// Writes this node's record to the store and reads those of the other nodes. Retries until
    /// both succeed once.
    async fn register(&self, store: &SharedResources, record: &NodeRecord) {
        let name = &self.node_state.settings.name;
        let mut unreadable_answers = 0;
        loop {
            let created = match store.create(Collection::Nodes, name, record.encode()).await {
                // An earlier run of this node wrote the same record.
                Ok(()) | Err(StoreError::Conflict) => Ok(()),
                Err(error) => Err(error),
            };
            // The store may reject writes and serve reads.
            let listed = store.list(Collection::Nodes).await;
            let listed = listed.map(|listing| self.apply_listing(listing));
            match created.and(listed) {
                Ok(()) => return,

                Err(error) => {
                    warn!(self.node_state.logger,
                        "cannot register this node in the store or list the other nodes, retrying";
                        "error" => %error);
                    unreadable_answers += u32::from(error.is_unreadable());
                    let delay_ms =
                        REGISTER_RETRY_DELAY_MS.max(listing::repeat_delay_ms(unreadable_answers));
                    sleep(Duration::from_millis(delay_ms)).await;
                }
            }
        }
    }

    /// Adds the nodes of a listing.
    fn apply_listing(&self, listing: Listing) {
        let listed = listing.resources.len();
        let unreadable = listing.unreadable.count();
        for resource in listing.resources {
            match NodeRecord::decode(&resource.name, &resource.spec) {
                Ok(record) => self.add_listed(&resource.name, &record),

                Err(error) => {
                    warn!(self.node_state.logger, "node record invalid, ignoring it";
                        "name" => resource.name, "error" => %error);
                }
            }
        }
        info!(self.node_state.logger, "nodes listed"; "nodes" => listed, "unreadable" => unreadable,
            "revision" => listing.revision.number);
        self.node_state.record_collection_read(Collection::Nodes);
    }

    /// Sends reports until the task is dropped.
    pub async fn send_reports(&self) {
        let mut round = 0_u64;
        let mut next_round = Instant::now() + self.draw_interval();
        loop {
            let news = timeout_at(next_round, self.node_state.report_soon.notified()).await;
            let content = match news {
                Ok(()) => {
                    sleep(Duration::from_millis(NEWS_DELAY_MS)).await;
                    ReportContent::News
                }
                Err(_) => {
                    next_round = Instant::now() + self.draw_interval();
                    round += 1;
                    match round.is_multiple_of(FULL_REPORT_INTERVAL_ROUNDS) {
                        true => ReportContent::Full,
                        false => ReportContent::Own,
                    }
                }
            };
            // The load of nodes from which nothing arrives any more fades out.
            let now_ms = self.node_state.now_ms();
            self.node_state.fleet().update_peer_loads(now_ms);
            rates::apply(&self.node_state);
            let mut recipients = self.expire_and_list_recipients();
            while recipients.len() > REPORT_FANOUT {
                let index = (self.node_state.draw() * recipients.len() as f64) as usize;
                recipients.swap_remove(index.min(recipients.len() - 1));
            }
            let Some(bytes) = self.encode(content) else {
                continue;
            };
            for recipient in &recipients {
                // A datagram that cannot be sent is superseded by the next report.
                let _ = self.socket.send_to(&bytes, recipient.address).await;
            }
            self.count_sent(content, bytes.len(), &recipients);
        }
    }

    /// Counts a report that was sent, by kind and zone of the recipients.
    fn count_sent(&self, content: ReportContent, bytes: usize, recipients: &[Recipient]) {
        let mut sent: BTreeMap<ZoneRelation, u64> = BTreeMap::new();
        for recipient in recipients {
            *sent.entry(recipient.zone_relation).or_default() += 1;
        }
        for (zone_relation, messages) in sent {
            let labels = [("kind", content.label()), ("zone", zone_relation.label())];
            let metrics = &self.node_state.metrics;
            metrics.add(LabelledCounter::ReportsSent, &labels, messages);
            metrics.add(LabelledCounter::ReportBytesSent, &labels, messages * bytes as u64);
        }
    }

    /// Draws the time until the next round of reports.
    fn draw_interval(&self) -> Duration {
        let jitter = 0.9 + 0.2 * self.node_state.draw();
        Duration::from_millis((REPORT_INTERVAL_MS as f64 * jitter) as u64)
    }

    /// Receives reports until the task is dropped.
    pub async fn receive_reports(&self) {
        let mut buffer = vec![0; REPORT_MAX_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => self.apply_datagram(&buffer[..length]),
                Err(error) => {
                    warn!(self.node_state.logger,
                        "cannot receive reports from other nodes, retrying";
                        "error" => %error);
                    sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
                }
            }
        }
    }

    /// Returns this node's rank for writing roll-out states: the number of live nodes that reach
    /// the store and whose names sort before this node's.
    pub fn rank(&self) -> usize {
        let now_ms = self.node_state.now_ms();
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let writers = peers.iter().filter(|(name, peer)| {
            **name < self.node_state.settings.name
                && peer.reaches_store
                && peer
                    .last_report_ms
                    .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < WRITER_REPORT_MAX_AGE_MS)
        });
        writers.count()
    }

    /// Removes nodes that have expired, and returns the others that are active.
    fn expire_and_list_recipients(&self) -> Vec<Recipient> {
        let now_ms = self.node_state.now_ms();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let age_ms =
            |peer: &Peer| now_ms.saturating_sub(peer.last_report_ms.unwrap_or(peer.discovered_ms));
        let before = peers.len();
        peers.retain(|_, peer| age_ms(peer) < PEER_EXPIRY_MS);
        if peers.len() != before {
            self.node_state.fleet().set_nodes(peers.keys().cloned(), now_ms);
        }
        peers
            .values()
            .filter(|peer| age_ms(peer) < PEER_INACTIVE_AFTER_MS)
            .map(|peer| Recipient {
                address: peer.address,
                zone_relation: ZoneRelation::of(
                    peer.zone.as_deref(),
                    &self.node_state.settings.zone,
                ),
            })
            .collect()
    }

    /// Adds a node that was listed in the store, if its address is valid.
    fn add_listed(&self, name: &str, record: &NodeRecord) {
        if let Ok(address) = record.address.parse() {
            self.upsert_peer(name, address, Some(&record.zone), None, true);
        }
    }

    /// Inserts or updates a node that was listed in the store, or that sent a report.
    fn upsert_peer(
        &self,
        name: &str,
        address: SocketAddr,
        zone: Option<&str>,
        last_report_ms: Option<u64>,
        reaches_store: bool,
    ) {
        if name == self.node_state.settings.name {
            return;
        }
        let discovered_ms = self.node_state.now_ms();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = !peers.contains_key(name);
        let peer = peers.entry(name.to_owned()).or_insert(Peer {
            address,
            zone: None,
            last_report_ms: None,
            discovered_ms,
            reaches_store,
        });
        peer.address = address;
        if zone.is_some() && peer.zone.as_deref() != zone {
            peer.zone = zone.map(str::to_owned);
        }
        peer.reaches_store = reaches_store;
        peer.last_report_ms = last_report_ms.or(peer.last_report_ms);
        if is_new && last_report_ms.is_some() {
            info!(self.node_state.logger, "node discovered by its report"; "peer" => name,
                "nodes" => peers.len() + 1);
        }
        if is_new {
            self.node_state.fleet().set_nodes(peers.keys().cloned(), discovered_ms);
        }
    }

    /// Encodes the report of this node's current state.
    fn encode(&self, content: ReportContent) -> Option<Vec<u8>> {
        let now_ms = self.node_state.now_ms();
        let rates = match content {
            ReportContent::News | ReportContent::Own => Rates::default(),
            ReportContent::Full => rates::own(&self.node_state),
        };
        let mut fleet = self.node_state.fleet();
        let upstreams = fleet.own_report(now_ms).into_iter().map(|(hash, stats)| {
            let queue_ms = stats.load.queue_ms.round() as u32;
            (hash, stats.load.in_flight, queue_ms, stats.answered, stats.failed)
        });
        let is_full = content == ReportContent::Full;
        // The counts of roll-outs are large and can wait for the next round.
        let rollouts = match content {
            ReportContent::News => Vec::new(),
            ReportContent::Own | ReportContent::Full => fleet.rollouts.updates(is_full, now_ms),
        };
        let segments = fleet.crash_evidence.reports(is_full, now_ms);
        let limits = fleet.limit_reports(is_full, now_ms).into_iter();
        let limits = limits.map(|(upstream, report)| (upstream, report.per_s, report.age_ms));
        let leaving = fleet.leaving_reports(is_full, now_ms).into_iter();
        let store_changes = self.node_state.store_changes.own_report().into_iter();
        let report = Report {
            name: self.node_state.settings.name.clone(),
            address: self.address,
            zone: Some(self.node_state.settings.zone.clone()),
            // A node that is shutting down leaves the writing of roll-out states to the others.
            reaches_store: self.node_state.reaches_store()
                && !self.node_state.stopping.is_cancelled(),
            upstreams: upstreams.collect(),
            rollouts: rollouts.into_iter().map(RolloutReport::from).collect(),
            segments: segments.into_iter().map(EncodedSegment::from).collect(),
            limits: limits.collect(),
            leaving: leaving.map(|report| (report.incarnation, report.age_ms)).collect(),
            store_changes: store_changes.map(|change| (change.era, change.number)).collect(),
            is_store_reader: self.node_state.reaches_store()
                && fleet.has_store_readers()
                && fleet.is_store_reader(),
            teams: rates.teams,
            speeds: rates.speeds,
        };
        let mut bytes = Vec::new();
        match ciborium::into_writer(&report, &mut bytes) {
            Ok(()) => Some(bytes),
            Err(error) => {
                warn!(self.node_state.logger,
                    "cannot encode this node's report, skipping one round";
                    "error" => %error);
                None
            }
        }
    }

    /// Decodes the report in a datagram and applies it to the node's state.
    fn apply_datagram(&self, bytes: &[u8]) {
        let report: Report = match ciborium::from_reader(bytes) {
            Ok(report) => report,
            Err(error) => {
                warn!(self.node_state.logger,
                    "report from another node invalid, ignoring it"; "error" => %error);
                return;
            }
        };
        let now_ms = self.node_state.now_ms();
        if report.reaches_store {
            self.node_state.peer_reached_store_ms.store(now_ms, Ordering::Relaxed);
        }
        let store_changes = report.store_changes.iter();
        let store_changes: Vec<StoreRevision> =
            store_changes.map(|&(era, number)| StoreRevision { era, number }).collect();
        self.node_state.store_changes.apply_report(&store_changes);
        if report.is_store_reader {
            self.node_state.store_reader_report_ms.store(now_ms, Ordering::Relaxed);
        }
        self.upsert_peer(
            &report.name,
            report.address,
            report.zone.as_deref(),
            Some(now_ms),
            report.reaches_store,
        );
        if !report.teams.is_empty() || !report.speeds.is_empty() {
            let rates = Rates { teams: report.teams, speeds: report.speeds };
            self.node_state.peer_rates().record(hash_name(&report.name), rates, now_ms);
        }
        let stats: HashMap<u64, UpstreamStats> = report
            .upstreams
            .into_iter()
            .map(|(hash, in_flight, queue_ms, answered, failed)| {
                let load = Load { in_flight, queue_ms: f64::from(queue_ms) };
                (hash, UpstreamStats { load, answered, failed })
            })
            .collect();
        let mut fleet = self.node_state.fleet();
        fleet.apply_report(&report.name, stats, now_ms);
        for rollout in report.rollouts {
            fleet.rollouts.apply_update(rollout.into(), now_ms);
        }
        let segments: Vec<SegmentReport> = report.segments.into_iter().map(Into::into).collect();
        let mut has_news = fleet.crash_evidence.apply_reports(&segments, now_ms);
        let limits = report.limits.into_iter();
        let limits: HashMap<u64, LimitReport> =
            limits.map(|(hash, per_s, age_ms)| (hash, LimitReport { per_s, age_ms })).collect();
        let limit_changes = fleet.apply_limit_reports(&limits, now_ms);
        let leaving_reports = report.leaving.into_iter();
        let leaving_reports: Vec<LeavingReport> = leaving_reports
            .map(|(incarnation, age_ms)| LeavingReport { incarnation, age_ms })
            .collect();
        has_news |= fleet.apply_leaving_reports(&leaving_reports, now_ms);
        drop(fleet);
        self.node_state.waiting_room.wake();
        leaving::announce(&self.node_state);
        for (upstream, change) in limit_changes {
            limits::announce(&self.node_state, &upstream, "report", change);
            has_news = true;
        }
        if has_news {
            crashes::announce_verdicts(&self.node_state);
            self.node_state.report_soon.notify_one();
        }
    }
}
