//! What the links of one node share: the table of nodes, the open links and what is held.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::held::HeldBills;
use crate::members::{Member, MemberState, Members};
use crate::mesh::MeshOptions;
use crate::messages::{Heartbeat, HeldId, Message};

/// Age at which a link that neither end wants is closed, in milliseconds.
const UNWANTED_MAX_MS: u64 = 10_000;

/// `State` is what the links of a node share.
pub struct State {
    /// The table of nodes.
    pub members: Members,
    /// Open links by node.
    pub links: BTreeMap<String, Handle>,
    /// Addresses that are being dialled, and until when they are not dialled again.
    pub dialling: BTreeMap<String, Instant>,
    /// Nodes that are suspected, and since when.
    pub suspected: HashMap<String, Instant>,
    /// Bills that are held for others.
    pub held: HeldBills,
    /// Who holds which bill of this node.
    pub holders: BTreeMap<HeldId, String>,
    /// Askers that wait for a bill to be held.
    pub waiting: HashMap<u64, oneshot::Sender<()>>,
    /// Generations that other nodes have told.
    pub generations: BTreeMap<String, u64>,
    /// Time since which another node has newer rules.
    pub behind_since: Option<Instant>,
    /// Addresses at which other nodes are looked for.
    pub seeds: Vec<String>,
    /// Last number that was given to a link or a bill.
    pub next_number: u64,
    /// Random numbers of the links.
    pub rng: ChaCha8Rng,
}

/// `Handle` leads to the task of one link.
#[derive(Clone)]
pub struct Handle {
    /// Tells this link from others to the same node.
    pub number: u64,
    /// Time of the opening.
    pub opened: Instant,
    /// Messages for the link.
    pub queue: mpsc::Sender<Message>,
}

impl State {
    /// Starts with the node itself alone.
    pub fn new(address: &str, options: &MeshOptions) -> Self {
        let own = Member {
            node: options.node.clone(),
            address: address.to_owned(),
            zone: options.zone.clone(),
            incarnation: options.incarnation,
            state: MemberState::Alive,
        };
        State {
            members: Members::new(own),
            links: BTreeMap::new(),
            dialling: BTreeMap::new(),
            suspected: HashMap::new(),
            held: HeldBills::default(),
            holders: BTreeMap::new(),
            waiting: HashMap::new(),
            generations: BTreeMap::new(),
            behind_since: None,
            seeds: options.seeds.clone(),
            next_number: 0,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// Builds the heartbeat of now.
    pub fn heartbeat(&self, generation: u64) -> Heartbeat {
        Heartbeat { generation, members_digest: self.members.digest() }
    }

    /// Queues a message on every link but one.
    pub fn broadcast(&mut self, message: &Message, except: Option<&str>) {
        for (node, handle) in &self.links {
            if Some(node.as_str()) != except {
                // A full queue ends the link at its next deadline.
                let _ = handle.queue.try_send(message.clone());
            }
        }
    }

    /// Merges entries of the table and forwards what is news.
    pub fn merge(&mut self, entries: Vec<Member>, from: Option<&str>, now: Instant) {
        let news = self.members.merge(entries);
        for member in &news {
            match member.state {
                MemberState::Suspect => {
                    self.suspected.entry(member.node.clone()).or_insert(now);
                }
                _ => {
                    self.suspected.remove(&member.node);
                }
            }
        }
        if !news.is_empty() {
            self.broadcast(&Message::Members(news), from);
        }
    }

    /// Closes links that neither end would open by itself, such as those to seeds.
    pub fn prune(&mut self, own: &str, links: usize, now: Instant) {
        let mut names: Vec<&str> = self.members.others().map(|other| other.node.as_str()).collect();
        names.push(own);
        let age_max = Duration::from_millis(UNWANTED_MAX_MS);
        let unwanted: Vec<String> = self
            .links
            .iter()
            .filter(|(_, handle)| now.duration_since(handle.opened) > age_max)
            .map(|(peer, _)| peer)
            .filter(|peer| !is_chosen(&names, own, peer, links))
            .filter(|peer| !is_chosen(&names, peer, own, links))
            .cloned()
            .collect();
        for peer in unwanted {
            self.links.remove(&peer);
        }
    }

    /// Returns the addresses of the nodes that this one should have links to and has not.
    pub fn wanted(&mut self, own: &str, links: usize, now: Instant) -> Vec<String> {
        let mut ranked: Vec<(u64, &Member)> =
            self.members.others().map(|member| (rank(own, &member.node), member)).collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        let missing = ranked
            .iter()
            .take(links)
            .filter(|(_, member)| !self.links.contains_key(&member.node))
            .map(|(_, member)| member.address.clone());
        let mut wanted: Vec<String> = missing.collect();
        // Seeds that no known node has are looked up one at a time, which also heals a cut.
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
            wanted.push(unknown[index].clone());
        }
        self.dialling.retain(|_, until| *until > now);
        wanted.retain(|address| !self.dialling.contains_key(address));
        wanted
    }
}

/// Tells whether a node opens a link to another by itself: whether the other is among its first.
fn is_chosen(names: &[&str], from: &str, to: &str, links: usize) -> bool {
    let own_rank = rank(from, to);
    let ahead = names
        .iter()
        .filter(|name| **name != from && **name != to)
        .filter(|name| rank(from, name) < own_rank);
    ahead.count() < links
}

/// Ranks a node among those that another may link to, the same in every process.
pub fn rank(own: &str, other: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (own, other).hash(&mut hasher);
    hasher.finish()
}
