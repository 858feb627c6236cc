//! The membership table, whose merge gives the same result in any order of the updates.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

/// `MemberState` is the state of a node. Within one incarnation, a later variant overrides an
/// earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The node is alive.
    #[serde(rename = "a")]
    Alive,
    /// Another node could not reach it. The node refutes this with a higher incarnation.
    #[serde(rename = "s")]
    Suspect,
    /// The suspicion was not refuted in time.
    #[serde(rename = "d")]
    Dead,
    /// The node announced that it is shutting down.
    #[serde(rename = "l")]
    Left,
}

/// `Member` is one entry of the membership table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Id of the node.
    #[serde(rename = "n")]
    pub node: String,
    /// Address on which the node accepts links.
    #[serde(rename = "a")]
    pub address: String,
    /// Availability zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Increases with each start of the node and with each refutation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// State of the node.
    #[serde(rename = "s")]
    pub state: MemberState,
}

impl Member {
    /// Returns whether this entry overrides another entry of the same node.
    fn supersedes(&self, other: &Member) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// `Members` is the membership table as one node knows it.
#[derive(Debug, Clone)]
pub struct Members {
    own: String,
    table: BTreeMap<String, Member>,
}

impl Members {
    /// Creates a table that holds only the node itself.
    pub fn new(own: Member) -> Self {
        let name = own.node.clone();
        Members { own: name.clone(), table: BTreeMap::from([(name, own)]) }
    }

    /// Merges entries and returns those that changed the table, for forwarding.
    ///
    /// A suspicion of the node itself is refuted with a higher incarnation.
    pub fn merge(&mut self, entries: Vec<Member>) -> Vec<Member> {
        let mut updates = Vec::new();
        for entry in entries {
            if entry.node == self.own {
                updates.extend(self.refute(&entry));
                continue;
            }
            let is_newer = self.table.get(&entry.node).is_none_or(|known| entry.supersedes(known));
            if is_newer {
                self.table.insert(entry.node.clone(), entry.clone());
                updates.push(entry);
            }
        }
        updates
    }

    /// Sets the state of another node in its current incarnation. Returns the changed entries.
    pub fn set_state(&mut self, node: &str, state: MemberState) -> Vec<Member> {
        let marked = self.table.get(node).cloned().map(|member| Member { state, ..member });
        marked.map_or_else(Vec::new, |member| self.merge(vec![member]))
    }

    /// Marks this node as leaving and returns its entry.
    pub fn leave(&mut self) -> Vec<Member> {
        let own = self.table.get_mut(&self.own).expect("the table holds the node itself");
        own.state = MemberState::Left;
        vec![own.clone()]
    }

    /// Returns the entry of a node.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.table.get(node)
    }

    /// Iterates over all entries, including the node's own.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.table.values()
    }

    /// Iterates over the other nodes that are alive or suspected.
    pub fn active_peers(&self) -> impl Iterator<Item = &Member> {
        self.table
            .values()
            .filter(|member| member.node != self.own && member.state <= MemberState::Suspect)
    }

    /// Returns the number of nodes that are alive or suspected, including this one.
    pub fn alive_count(&self) -> usize {
        self.active_peers().count() + 1
    }

    /// Returns a hash of the table, for finding out whether two tables are equal.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for member in self.table.values() {
            member.hash(&mut hasher);
        }
        hasher.finish()
    }

    fn refute(&mut self, report: &Member) -> Option<Member> {
        let own = self.table.get_mut(&self.own).expect("the table holds the node itself");
        if own.state == MemberState::Left || !report.supersedes(own) {
            return None;
        }
        own.incarnation = report.incarnation + 1;
        Some(own.clone())
    }
}
