//! Collections of the store that this node needs and has not read to their end yet.

use std::sync::{Mutex, PoisonError};

use fescuelock_store::resources::Collection;

use crate::store_changes::WATCHED;

/// `UnreadCollections` holds the collections that a node has to read before it can serve.
///
/// A node that has read only a part, or nothing, of a collection knows nothing of what it lacks: an
/// upstream, an order or a verdict that it has not read may exist.
#[derive(Debug)]
pub struct UnreadCollections {
    unread: Mutex<Vec<Collection>>,
}

impl Default for UnreadCollections {
    fn default() -> Self {
        let unread = WATCHED.into_iter().chain([Collection::RejectedPrompts]).collect();
        UnreadCollections { unread: Mutex::new(unread) }
    }
}

impl UnreadCollections {
    /// Adds a collection that the node needs as well.
    pub fn require(&self, collection: Collection) {
        self.with(|unread| unread.push(collection));
    }

    /// Records that a collection has been read to its end and applied. Returns whether it is the first
    /// time.
    pub fn record_read(&self, collection: Collection) -> bool {
        self.with(|unread| {
            let before = unread.len();
            unread.retain(|other| *other != collection);
            unread.len() < before
        })
    }

    /// Returns whether a collection has not been read yet.
    pub fn contains(&self, collection: Collection) -> bool {
        self.with(|unread| unread.contains(&collection))
    }

    /// Returns whether all collections have been read.
    pub fn is_empty(&self) -> bool {
        self.with(|unread| unread.is_empty())
    }

    /// Returns the labels of the collections that have not been read yet.
    pub fn labels(&self) -> Vec<&'static str> {
        self.with(|unread| unread.iter().map(|collection| collection.label()).collect())
    }

    fn with<T>(&self, use_unread: impl FnOnce(&mut Vec<Collection>) -> T) -> T {
        use_unread(&mut self.unread.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
