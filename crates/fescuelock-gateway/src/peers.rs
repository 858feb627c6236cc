//! Reports between nodes: load, outcomes and evidence, as datagrams.
//!
//! A report holds the newest state, so a lost one is made good by the next and a silent link holds
//! nothing back. Nodes find each other by the records that they write to the store, and by the
//! reports that they get.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fescuelock_platform::records::NodeRecord;
use fescuelock_policy::rollout::{Counts, Stage, Tally};
use fescuelock_store::Error as StoreError;
use fescuelock_store::resources::{Collection, SharedResources};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::beliefs::Beliefs;
use crate::fleet::PeerLoad;
use crate::member::Load;
use crate::rollouts::{Origin, RolloutNews};

/// Interval of reports, in milliseconds.
///
/// It is shorter than most prompts take to read, so the loads of other nodes are known before the
/// next request of the same kind is placed.
const REPORT_INTERVAL_MS: u64 = 350;

/// One report in this many passes on what other nodes have counted of roll-outs, so that a node that
/// has just started learns what ended runs had found.
const RELAY_EVERY: u64 = 4;

/// Nodes that get one report. In a larger fleet each report goes to some of them at random.
const REPORT_FANOUT: usize = 16;

/// Largest report, in bytes.
const REPORT_MAX_BYTES: usize = 16 << 10;

/// Time without a report after which a node is no longer sent to, in milliseconds.
const SILENT_MS: u64 = 10_000;

/// Time without a report after which a node no longer counts, in milliseconds. Bounds that are
/// shared by all nodes count them for longer than they are likely to be away.
const FORGOTTEN_MS: u64 = 60_000;

/// Interval at which a node that could not register tries again, in milliseconds.
const REGISTER_INTERVAL_MS: u64 = 1_000;

/// Time without a report after which a node is not expected to act for the fleet, in milliseconds.
const ACTING_MS: u64 = 1_500;

/// `Report` is what a node tells the others. Field names are short as they travel often.
#[derive(Debug, Serialize, Deserialize)]
struct Report {
    /// Name of the node.
    #[serde(rename = "n")]
    name: String,
    /// Its address for reports.
    #[serde(rename = "a")]
    address: SocketAddr,
    /// Whether it reaches the store.
    #[serde(rename = "s")]
    reaches_store: bool,
    /// Upstream hash, requests in flight, queue in milliseconds, answers and failures.
    #[serde(rename = "u")]
    upstreams: Vec<(u64, u32, u32, u32, u32)>,
    /// Roll-outs under way.
    #[serde(rename = "r")]
    rollouts: Vec<RolloutReport>,
}

/// `RolloutReport` is what a node has seen of a roll-out.
#[derive(Debug, Serialize, Deserialize)]
struct RolloutReport {
    #[serde(rename = "p")]
    pool: u64,
    #[serde(rename = "v")]
    version: u64,
    #[serde(rename = "e")]
    elapsed_ms: u64,
    /// The stage as a number.
    #[serde(rename = "s")]
    stage: u8,
    #[serde(rename = "b")]
    is_bad: bool,
    /// Run, route and the counts of [`Tally`] in their order.
    #[serde(rename = "t")]
    tallies: Vec<(u64, u64, [u32; 10])>,
}

/// `Peer` is another node.
#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heard_ms: Option<u64>,
    known_ms: u64,
    reaches_store: bool,
}

/// `Peers` exchanges reports with the other nodes.
pub struct Peers {
    beliefs: Arc<Beliefs>,
    socket: UdpSocket,
    address: SocketAddr,
    known: Mutex<BTreeMap<String, Peer>>,
}

impl Peers {
    /// Opens the socket for reports on the first free port of the node's range.
    pub async fn open(beliefs: Arc<Beliefs>) -> std::io::Result<Self> {
        let (first, last) = beliefs.settings.node_ports;
        let mut failure = std::io::Error::from(std::io::ErrorKind::AddrNotAvailable);
        for port in first..=last {
            match UdpSocket::bind((beliefs.settings.ip.as_str(), port)).await {
                Ok(socket) => {
                    let address = socket.local_addr()?;
                    return Ok(Peers { beliefs, socket, address, known: Mutex::default() });
                }
                Err(error) => failure = error,
            }
        }
        Err(failure)
    }

    /// Writes this node's record and reads those of the others, once.
    pub async fn register(&self, store: &SharedResources) {
        let name = &self.beliefs.settings.name;
        let zone = self.beliefs.settings.zone.clone();
        let record = NodeRecord { address: self.address.to_string(), zone };
        loop {
            let created = store.create(Collection::Nodes, name, record.encode()).await;
            let listed = match created {
                // The record of this node's last run says the same.
                Ok(()) | Err(StoreError::Conflict) => store.list(Collection::Nodes).await,
                Err(error) => Err(error),
            };
            match listed {
                Ok(listing) => {
                    let listed = listing.resources.len();
                    for resource in listing.resources {
                        match NodeRecord::decode(&resource.name, &resource.spec) {
                            Ok(record) => self.learn(&resource.name, &record.address),
                            Err(error) => {
                                warn!(self.beliefs.logger, "node record unusable";
                                    "name" => resource.name, "error" => %error);
                            }
                        }
                    }
                    info!(self.beliefs.logger, "nodes listed"; "nodes" => listed,
                        "revision" => listing.revision);
                    return;
                }

                Err(error) => {
                    warn!(self.beliefs.logger, "node not registered"; "error" => %error);
                    sleep(Duration::from_millis(REGISTER_INTERVAL_MS)).await;
                }
            }
        }
    }

    /// Sends reports until the task is dropped.
    pub async fn report(&self) {
        for round in 0_u64.. {
            let jitter = 0.9 + 0.2 * self.beliefs.draw();
            sleep(Duration::from_millis((REPORT_INTERVAL_MS as f64 * jitter) as u64)).await;
            let mut targets = self.targets();
            while targets.len() > REPORT_FANOUT {
                let drawn = (self.beliefs.draw() * targets.len() as f64) as usize;
                targets.swap_remove(drawn.min(targets.len() - 1));
            }
            let Some(bytes) = self.encode(round.is_multiple_of(RELAY_EVERY)) else {
                continue;
            };
            for target in targets {
                // A datagram that cannot be sent is made good by the next.
                let _ = self.socket.send_to(&bytes, target).await;
            }
        }
    }

    /// Takes reports until the task is dropped.
    pub async fn listen(&self) {
        let mut buffer = vec![0; REPORT_MAX_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => self.take(&buffer[..length]),
                Err(error) => {
                    warn!(self.beliefs.logger, "report not received"; "error" => %error);
                    sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
                }
            }
        }
    }

    /// Returns how many nodes are to act for the fleet before this one.
    pub fn rank(&self) -> usize {
        let now_ms = self.beliefs.now_ms();
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let acting = known.iter().filter(|(name, peer)| {
            **name < self.beliefs.settings.name
                && peer.reaches_store
                && peer.heard_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < ACTING_MS)
        });
        acting.count()
    }

    fn targets(&self) -> Vec<SocketAddr> {
        let now_ms = self.beliefs.now_ms();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let age_ms = |peer: &Peer| now_ms.saturating_sub(peer.heard_ms.unwrap_or(peer.known_ms));
        let before = known.len();
        known.retain(|_, peer| age_ms(peer) < FORGOTTEN_MS);
        if known.len() != before {
            self.beliefs.fleet().set_nodes(known.keys().cloned());
        }
        known.values().filter(|peer| age_ms(peer) < SILENT_MS).map(|peer| peer.address).collect()
    }

    fn learn(&self, name: &str, address: &str) {
        if let Ok(address) = address.parse() {
            self.note(name, address, None, true);
        }
    }

    /// Notes a node that is known from its record, or heard.
    fn note(&self, name: &str, address: SocketAddr, heard_ms: Option<u64>, reaches_store: bool) {
        if name == self.beliefs.settings.name {
            return;
        }
        let known_ms = self.beliefs.now_ms();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = !known.contains_key(name);
        let peer = known.entry(name.to_owned()).or_insert(Peer {
            address,
            heard_ms: None,
            known_ms,
            reaches_store,
        });
        peer.address = address;
        peer.reaches_store = reaches_store;
        peer.heard_ms = heard_ms.or(peer.heard_ms);
        if is_new && heard_ms.is_some() {
            info!(self.beliefs.logger, "node known"; "peer" => name, "nodes" => known.len() + 1);
        }
        if is_new {
            self.beliefs.fleet().set_nodes(known.keys().cloned());
        }
    }

    fn encode(&self, of_all_origins: bool) -> Option<Vec<u8>> {
        let now_ms = self.beliefs.now_ms();
        let mut fleet = self.beliefs.fleet();
        let upstreams = fleet.own_report(now_ms).into_iter().map(|(hash, peer)| {
            let queue_ms = peer.load.queue_ms.round() as u32;
            (hash, peer.load.in_flight, queue_ms, peer.answered, peer.failed)
        });
        let rollouts = fleet.rollouts.news(of_all_origins, now_ms);
        let report = Report {
            name: self.beliefs.settings.name.clone(),
            address: self.address,
            // A node that stops leaves verdicts to the others.
            reaches_store: self.beliefs.reaches_store() && !self.beliefs.stopping.is_cancelled(),
            upstreams: upstreams.collect(),
            rollouts: rollouts.into_iter().map(RolloutReport::from).collect(),
        };
        let mut bytes = Vec::new();
        match ciborium::into_writer(&report, &mut bytes) {
            Ok(()) => Some(bytes),
            Err(error) => {
                warn!(self.beliefs.logger, "report not encoded"; "error" => %error);
                None
            }
        }
    }

    fn take(&self, bytes: &[u8]) {
        let report: Report = match ciborium::from_reader(bytes) {
            Ok(report) => report,
            Err(error) => {
                warn!(self.beliefs.logger, "report unusable"; "error" => %error);
                return;
            }
        };
        let now_ms = self.beliefs.now_ms();
        if report.reaches_store {
            self.beliefs.others_reached_ms.store(now_ms, Ordering::Relaxed);
        }
        self.note(&report.name, report.address, Some(now_ms), report.reaches_store);
        let loads: HashMap<u64, PeerLoad> = report
            .upstreams
            .into_iter()
            .map(|(hash, in_flight, queue_ms, answered, failed)| {
                let load = Load { in_flight, queue_ms: f64::from(queue_ms) };
                (hash, PeerLoad { load, answered, failed })
            })
            .collect();
        let mut fleet = self.beliefs.fleet();
        fleet.take_report(&report.name, loads, now_ms);
        for rollout in report.rollouts {
            fleet.rollouts.take_news(rollout.into(), now_ms);
        }
    }
}

impl From<RolloutNews> for RolloutReport {
    fn from(news: RolloutNews) -> Self {
        let tallies = news.tallies.iter();
        RolloutReport {
            pool: news.pool,
            version: news.version,
            elapsed_ms: news.elapsed_ms,
            stage: news.stage as u8,
            is_bad: news.is_bad,
            tallies: tallies
                .map(|(origin, tally)| (origin.run, origin.route, counts(tally)))
                .collect(),
        }
    }
}

impl From<RolloutReport> for RolloutNews {
    fn from(report: RolloutReport) -> Self {
        let tallies = report.tallies.into_iter();
        RolloutNews {
            pool: report.pool,
            version: report.version,
            elapsed_ms: report.elapsed_ms,
            stage: match report.stage {
                0 => Stage::Waiting,
                1 => Stage::Trial,
                2 => Stage::Load,
                _ => Stage::Takeover,
            },
            is_bad: report.is_bad,
            tallies: tallies
                .map(|(run, route, counts)| (Origin { run, route }, tally(counts)))
                .collect(),
        }
    }
}

fn counts(tally: &Tally) -> [u32; 10] {
    let Tally { new, old } = tally;
    [
        new.sends,
        new.answers,
        new.failures,
        new.paced,
        new.log_paces,
        old.sends,
        old.answers,
        old.failures,
        old.paced,
        old.log_paces,
    ]
}

fn tally(counts: [u32; 10]) -> Tally {
    let of = |first: usize| Counts {
        sends: counts[first],
        answers: counts[first + 1],
        failures: counts[first + 2],
        paced: counts[first + 3],
        log_paces: counts[first + 4],
    };
    Tally { new: of(0), old: of(5) }
}
