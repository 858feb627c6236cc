//! Bills that a node holds for others until they are recorded.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::messages::{HeldBill, HeldId};

/// Bills that are held for one node at most. More are not acknowledged.
const HELD_MAX: usize = 20_000;

/// `Origin` is what is held for one start of a node.
#[derive(Debug, Default)]
struct Origin {
    bills: BTreeMap<HeldId, HeldBill>,
    lost_at: Option<Instant>,
}

/// `HeldBills` is what a node holds for others.
#[derive(Debug, Default)]
pub struct HeldBills {
    origins: BTreeMap<String, Origin>,
}

impl HeldBills {
    /// Holds bills of a node. Returns `false` if there is no room for them.
    pub fn hold(&mut self, node: &str, bills: Vec<HeldBill>) -> bool {
        let origin = self.origins.entry(node.to_owned()).or_default();
        if origin.bills.len() + bills.len() > HELD_MAX {
            return false;
        }
        origin.bills.extend(bills.into_iter().map(|bill| (bill.id(), bill)));
        true
    }

    /// Forgets bills that their node has recorded.
    pub fn release(&mut self, node: &str, ids: &[HeldId]) {
        if let Some(origin) = self.origins.get_mut(node) {
            for id in ids {
                origin.bills.remove(id);
            }
        }
    }

    /// Notes that the link to a node was lost.
    pub fn lose(&mut self, node: &str, now: Instant) {
        if let Some(origin) = self.origins.get_mut(node) {
            origin.lost_at.get_or_insert(now);
        }
    }

    /// Takes the bills of nodes whose links were lost before the given time, to be recorded here.
    ///
    /// A node that still lives records them too: bills merge by their request.
    pub fn take_over(&mut self, lost_before: Instant) -> Vec<HeldBill> {
        let is_lost =
            |origin: &Origin| origin.lost_at.is_some_and(|lost_at| lost_at <= lost_before);
        self.origins
            .extract_if(.., |_, origin| is_lost(origin))
            .flat_map(|(_, origin)| origin.bills.into_values())
            .collect()
    }

    /// Takes all bills, when this node stops.
    pub fn take_all(&mut self) -> Vec<HeldBill> {
        std::mem::take(&mut self.origins)
            .into_values()
            .flat_map(|origin| origin.bills.into_values())
            .collect()
    }
}
