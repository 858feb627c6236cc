//! The state that all links of one node share: membership, open links and bill replicas.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::members::{Member, MemberState, Members};
use crate::mesh::MeshOptions;
use crate::messages::{Heartbeat, Message, ReplicaId};
use crate::replicas::BillReplicas;

/// Age beyond which a link that neither node selects is closed, in milliseconds.
const UNSELECTED_LINK_MAX_AGE_MS: u64 = 10_000;

/// `MeshState` is the state that all links of a node share.
pub struct MeshState {
    /// The membership table.
    pub members: Members,
    /// Open links by the peer's id.
    pub links: BTreeMap<String, LinkHandle>,
    /// Addresses that are being dialled, each with the time until which it is not dialled again.
    pub dialling: BTreeMap<String, Instant>,
    /// Suspected nodes, each with the time at which the suspicion began.
    pub suspected: HashMap<String, Instant>,
    /// Replicas of other nodes' bills.
    pub replicas: BillReplicas,
    /// Node that keeps the replica of each unrecorded bill of this node.
    pub replica_nodes: BTreeMap<ReplicaId, String>,
    /// Replications that wait for an acknowledgement, by message number.
    pub pending_acks: HashMap<u64, oneshot::Sender<()>>,
    /// Generation of the rules that each other node last reported.
    pub generations: BTreeMap<String, u64>,
    /// Time at which another node was first seen with newer rules.
    pub behind_since: Option<Instant>,
    /// Addresses at which to discover other nodes.
    pub seeds: Vec<String>,
    /// Last number that was assigned to a link or a replication.
    pub last_number: u64,
    /// Random number generator of the mesh.
    pub rng: ChaCha8Rng,
}

/// `LinkHandle` sends messages to the task of one link.
#[derive(Clone)]
pub struct LinkHandle {
    /// Distinguishes this link from others to the same node.
    pub number: u64,
    /// Time at which the link was opened.
    pub opened: Instant,
    /// Queue of outgoing messages.
    pub queue: mpsc::Sender<Message>,
}

impl MeshState {
    /// Creates a state that knows only the node itself.
    pub fn new(address: &str, options: &MeshOptions) -> Self {
        let own = Member {
            node: options.node.clone(),
            address: address.to_owned(),
            zone: options.zone.clone(),
            incarnation: options.incarnation,
            state: MemberState::Alive,
        };
        MeshState {
            members: Members::new(own),
            links: BTreeMap::new(),
            dialling: BTreeMap::new(),
            suspected: HashMap::new(),
            replicas: BillReplicas::default(),
            replica_nodes: BTreeMap::new(),
            pending_acks: HashMap::new(),
            generations: BTreeMap::new(),
            behind_since: None,
            seeds: options.seeds.clone(),
            last_number: 0,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// Builds a heartbeat from the current state.
    pub fn heartbeat(&self, generation: u64) -> Heartbeat {
        Heartbeat { generation, members_digest: self.members.digest() }
    }

    /// Queues a message on every link except that to `except`.
    pub fn broadcast(&mut self, message: &Message, except: Option<&str>) {
        for (node, handle) in &self.links {
            if Some(node.as_str()) != except {
                // A message for a full queue is dropped; a link that slow fails by its timeout.
                let _ = handle.queue.try_send(message.clone());
            }
        }
    }

    /// Merges entries into the membership table and forwards those that changed it.
    pub fn merge(&mut self, entries: Vec<Member>, from: Option<&str>, now: Instant) {
        let updates = self.members.merge(entries);
        for member in &updates {
            match member.state {
                MemberState::Suspect => {
                    self.suspected.entry(member.node.clone()).or_insert(now);
                }
                _ => {
                    self.suspected.remove(&member.node);
                }
            }
        }
        if !updates.is_empty() {
            self.broadcast(&Message::Members(updates), from);
        }
    }

    /// Closes old links that neither node selects, such as those to seeds.
    pub fn close_unselected(&mut self, own: &str, links: usize, now: Instant) {
        let mut names: Vec<&str> =
            self.members.active_peers().map(|other| other.node.as_str()).collect();
        names.push(own);
        let age_max = Duration::from_millis(UNSELECTED_LINK_MAX_AGE_MS);
        let unselected: Vec<String> = self
            .links
            .iter()
            .filter(|(_, handle)| now.duration_since(handle.opened) > age_max)
            .map(|(peer, _)| peer)
            .filter(|peer| !is_selected(&names, own, peer, links))
            .filter(|peer| !is_selected(&names, peer, own, links))
            .cloned()
            .collect();
        for peer in unselected {
            self.links.remove(&peer);
        }
    }

    /// Returns the addresses to dial: nodes that this one selects but has no link to, and a seed.
    pub fn addresses_to_dial(&mut self, own: &str, links: usize, now: Instant) -> Vec<String> {
        let mut by_hash: Vec<(u64, &Member)> = self
            .members
            .active_peers()
            .map(|member| (rendezvous_hash(own, &member.node), member))
            .collect();
        by_hash.sort_by_key(|(weight, _)| *weight);
        let unlinked = by_hash
            .iter()
            .take(links)
            .filter(|(_, member)| !self.links.contains_key(&member.node))
            .map(|(_, member)| member.address.clone());
        let mut addresses_to_dial: Vec<String> = unlinked.collect();
        // One seed without a known node is dialled per call, which also rejoins the halves of a
        // network partition.
        let known: Vec<&str> = self
            .members
            .iter()
            .filter(|member| member.node == own || member.state <= MemberState::Suspect)
            .map(|member| member.address.as_str())
            .collect();
        let unknown: Vec<String> =
            self.seeds.iter().filter(|seed| !known.contains(&seed.as_str())).cloned().collect();
        if !unknown.is_empty() {
            let index = self.rng.random_range(0..unknown.len());
            addresses_to_dial.push(unknown[index].clone());
        }
        self.dialling.retain(|_, until| *until > now);
        addresses_to_dial.retain(|address| !self.dialling.contains_key(address));
        addresses_to_dial
    }
}

/// Returns whether `from` opens a link to `to`, which it does if `to` is among the `links` nodes
/// with the lowest rendezvous hashes.
fn is_selected(names: &[&str], from: &str, to: &str, links: usize) -> bool {
    let peer_hash = rendezvous_hash(from, to);
    let lower = names
        .iter()
        .filter(|name| **name != from && **name != to)
        .filter(|name| rendezvous_hash(from, name) < peer_hash);
    lower.count() < links
}

/// Returns the rendezvous hash of a pair of nodes, which is the same in every process.
pub fn rendezvous_hash(own: &str, other: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (own, other).hash(&mut hasher);
    hasher.finish()
}
