//! Latest changes of the store's collections, as this node has read them and as others report them.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use fescuelock_core::store_revision::StoreRevision;
use fescuelock_store::resources::Collection;
use tokio::sync::watch;

/// Collections of the object store that a node watches, in the order in which reports name them.
pub const WATCHED: [Collection; 4] =
    [Collection::Deployment, Collection::Upstreams, Collection::Rollouts, Collection::Evacuations];

/// `StoreChanges` holds the revision of the latest change of each watched collection.
#[derive(Debug, Default)]
pub struct StoreChanges {
    read: Mutex<HashMap<Collection, StoreRevision>>,
    /// The latest of all nodes' reports.
    reported: watch::Sender<HashMap<Collection, StoreRevision>>,
}

impl StoreChanges {
    /// Records the revision of a change that this node has read.
    pub fn record_read(&self, collection: Collection, revision: StoreRevision) {
        let mut read = self.read.lock().unwrap_or_else(PoisonError::into_inner);
        let latest = read.entry(collection).or_default();
        *latest = revision.max(*latest);
    }

    /// Returns what this node reports to others: the revision of the latest change that it has read,
    /// for each of [`WATCHED`].
    pub fn own_report(&self) -> Vec<StoreRevision> {
        let read = self.read.lock().unwrap_or_else(PoisonError::into_inner);
        WATCHED.iter().map(|collection| read.get(collection).copied().unwrap_or_default()).collect()
    }

    /// Merges another node's report, which holds a revision for each of [`WATCHED`].
    pub fn apply_report(&self, revisions: &[StoreRevision]) {
        self.reported.send_if_modified(|reported| {
            let mut is_modified = false;
            for (collection, revision) in WATCHED.into_iter().zip(revisions) {
                let latest = reported.entry(collection).or_default();
                is_modified |= revision > latest;
                *latest = *revision.max(latest);
            }
            is_modified
        });
    }

    /// Returns a receiver of the latest changes that other nodes have reported.
    pub fn subscribe(&self) -> watch::Receiver<HashMap<Collection, StoreRevision>> {
        self.reported.subscribe()
    }
}
