//! Replicas of other nodes' bills, kept until the bills are recorded in the platform.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::messages::{BillReplica, ReplicaId};

/// Maximum number of bills kept for one node. Bills beyond it are not acknowledged.
const REPLICAS_PER_NODE_MAX: usize = 20_000;

/// `NodeReplicas` holds the bill replicas of one run of a node.
#[derive(Debug, Default)]
struct NodeReplicas {
    bills: BTreeMap<ReplicaId, BillReplica>,
    lost_at: Option<Instant>,
}

/// `BillReplicas` holds the bill replicas of all other nodes.
#[derive(Debug, Default)]
pub struct BillReplicas {
    by_node: BTreeMap<String, NodeReplicas>,
}

impl BillReplicas {
    /// Stores bills of a node. Returns `false`, and stores none, if the node's limit is exceeded.
    pub fn store(&mut self, node: &str, bills: Vec<BillReplica>) -> bool {
        let replicas = self.by_node.entry(node.to_owned()).or_default();
        if replicas.bills.len() + bills.len() > REPLICAS_PER_NODE_MAX {
            return false;
        }
        replicas.bills.extend(bills.into_iter().map(|bill| (bill.id(), bill)));
        true
    }

    /// Removes bills that their own node has recorded.
    pub fn release(&mut self, node: &str, ids: &[ReplicaId]) {
        if let Some(replicas) = self.by_node.get_mut(node) {
            for id in ids {
                replicas.bills.remove(id);
            }
        }
    }

    /// Marks the link to a node as lost. The time of the first loss counts.
    pub fn mark_lost(&mut self, node: &str, now: Instant) {
        if let Some(replicas) = self.by_node.get_mut(node) {
            replicas.lost_at.get_or_insert(now);
        }
    }

    /// Removes and returns the bills of nodes whose links were lost at or before `lost_before`, for
    /// this node to record.
    ///
    /// A node that is still alive records them too. Duplicates are harmless, because bills are
    /// merged by request id.
    pub fn take_over(&mut self, lost_before: Instant) -> Vec<BillReplica> {
        let is_lost = |replicas: &NodeReplicas| {
            replicas.lost_at.is_some_and(|lost_at| lost_at <= lost_before)
        };
        self.by_node
            .extract_if(.., |_, replicas| is_lost(replicas))
            .flat_map(|(_, replicas)| replicas.bills.into_values())
            .collect()
    }

    /// Removes and returns all bills, for shutdown.
    pub fn take_all(&mut self) -> Vec<BillReplica> {
        std::mem::take(&mut self.by_node)
            .into_values()
            .flat_map(|replicas| replicas.bills.into_values())
            .collect()
    }
}
