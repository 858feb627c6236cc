//! The table of nodes, which merges in any order to the same result.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

/// `MemberState` is what is known of a node. Later states win over earlier ones of an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The node lives.
    #[serde(rename = "a")]
    Alive,
    /// Another node could not reach it. It may refute this with a higher incarnation.
    #[serde(rename = "s")]
    Suspect,
    /// The suspicion was not refuted in time.
    #[serde(rename = "d")]
    Dead,
    /// The node said that it stops.
    #[serde(rename = "l")]
    Left,
}

/// `Member` is one entry of the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Id of the node.
    #[serde(rename = "n")]
    pub node: String,
    /// Address for other nodes.
    #[serde(rename = "a")]
    pub address: String,
    /// Availability zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Grows with each start of the node and with each refutation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// What is known of the node.
    #[serde(rename = "s")]
    pub state: MemberState,
}

impl Member {
    /// Tells whether this entry replaces another of the same node.
    fn supersedes(&self, other: &Member) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// `Members` is the table of one node.
#[derive(Debug, Clone)]
pub struct Members {
    own: String,
    table: BTreeMap<String, Member>,
}

impl Members {
    /// Starts a table with the node itself.
    pub fn new(own: Member) -> Self {
        let name = own.node.clone();
        Members { own: name.clone(), table: BTreeMap::from([(name, own)]) }
    }

    /// Merges entries and returns those that were news, for forwarding.
    ///
    /// A suspicion of the node itself is refuted with a higher incarnation.
    pub fn merge(&mut self, entries: Vec<Member>) -> Vec<Member> {
        let mut news = Vec::new();
        for entry in entries {
            if entry.node == self.own {
                news.extend(self.refute(&entry));
                continue;
            }
            let is_news = self.table.get(&entry.node).is_none_or(|known| entry.supersedes(known));
            if is_news {
                self.table.insert(entry.node.clone(), entry.clone());
                news.push(entry);
            }
        }
        news
    }

    /// Changes the state of another node at its present incarnation, and returns the news.
    pub fn mark(&mut self, node: &str, state: MemberState) -> Vec<Member> {
        let marked = self.table.get(node).cloned().map(|member| Member { state, ..member });
        marked.map_or_else(Vec::new, |member| self.merge(vec![member]))
    }

    /// Notes that this node stops, and returns the news.
    pub fn leave(&mut self) -> Vec<Member> {
        let own = self.table.get_mut(&self.own).expect("the table holds the node itself");
        own.state = MemberState::Left;
        vec![own.clone()]
    }

    /// Finds an entry.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.table.get(node)
    }

    /// Iterates over all entries, the node's own among them.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.table.values()
    }

    /// Iterates over the other nodes that live or are only suspected.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.table
            .values()
            .filter(|member| member.node != self.own && member.state <= MemberState::Suspect)
    }

    /// Returns the number of nodes that live, this one among them.
    pub fn alive(&self) -> usize {
        self.others().count() + 1
    }

    /// Returns a digest that two equal tables share.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for member in self.table.values() {
            member.hash(&mut hasher);
        }
        hasher.finish()
    }

    fn refute(&mut self, claim: &Member) -> Option<Member> {
        let own = self.table.get_mut(&self.own).expect("the table holds the node itself");
        if own.state == MemberState::Left || !claim.supersedes(own) {
            return None;
        }
        own.incarnation = claim.incarnation + 1;
        Some(own.clone())
    }
}
