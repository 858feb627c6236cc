//! Collections of resources, each with a specification and a status, that can be listed and
//! watched.
//!
//! Each kind of backing store implements [`ResourceStore`].

use std::sync::Arc;

use fescuelock_core::store_revision::StoreRevision;
use fescuelock_http::net::BoxFuture;
use tokio::sync::watch;

use crate::Result;

/// Number of resources that cannot be decoded of which a listing keeps the names and reasons.
const UNREADABLE_KEPT_MAX: usize = 64;

/// Size up to which the name or the reason of such a resource is kept, in bytes.
const UNREADABLE_TEXT_MAX_BYTES: usize = 256;

/// `Collection` names a kind of resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Collection {
    /// The configuration of the deployment: routes, services, teams and limits.
    Deployment,
    /// The upstreams, each of which writes its own resource.
    Upstreams,
    /// Requests to roll out a new version of a service.
    Rollouts,
    /// Requests to stop sending traffic to an availability zone.
    Evacuations,
    /// The router's own nodes.
    Nodes,
    /// The router's verdicts on prompts that crash upstreams.
    RejectedPrompts,
}

impl Collection {
    /// Returns the name of the collection in metrics and texts.
    pub fn label(self) -> &'static str {
        match self {
            Collection::Deployment => "deployment",
            Collection::Upstreams => "upstreams",
            Collection::Rollouts => "rollouts",
            Collection::Evacuations => "evacuations",
            Collection::Nodes => "nodes",
            Collection::RejectedPrompts => "rejected_prompts",
        }
    }
}

/// `Resource` is the state of one resource at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resource {
    /// Name within the collection.
    pub name: String,
    /// Revision of the last change.
    pub revision: StoreRevision,
    /// The specification as JSON text.
    pub spec: String,
    /// The status as JSON text, `null` if there is none.
    pub status: String,
}

/// `UnreadableResource` is a resource that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableResource {
    /// Name within the collection, if that can be decoded.
    pub name: Option<String>,
    /// Reason for which the resource cannot be decoded.
    pub reason: String,
}

/// `UnreadableResources` holds the resources of a listing that cannot be decoded, up to a limit.
///
/// Another writer may have left any number of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreadableResources {
    kept: Vec<UnreadableResource>,
    count: usize,
}

impl UnreadableResources {
    /// Adds a resource. Its reason is cut, and a name that is too long to keep counts as unknown.
    pub fn push(&mut self, unreadable: UnreadableResource) {
        self.count += 1;
        if self.kept.len() < UNREADABLE_KEPT_MAX {
            let UnreadableResource { name, mut reason } = unreadable;
            let name = name.filter(|name| name.len() <= UNREADABLE_TEXT_MAX_BYTES);
            reason.truncate(reason.floor_char_boundary(UNREADABLE_TEXT_MAX_BYTES));
            self.kept.push(UnreadableResource { name, reason });
        }
    }

    /// Returns the number of resources.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the first of the resources.
    pub fn kept(&self) -> &[UnreadableResource] {
        &self.kept
    }

    /// Returns whether one of the resources may be that of a name.
    pub fn may_include(&self, name: &str) -> bool {
        let has_name = |unreadable: &UnreadableResource| {
            unreadable.name.as_ref().is_none_or(|known| known == name)
        };
        self.count > self.kept.len() || self.kept.iter().any(has_name)
    }
}

/// `Listing` is the full content of a collection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The resources.
    pub resources: Vec<Resource>,
    /// Resources that cannot be decoded.
    pub unreadable: UnreadableResources,
    /// Revision of the store from which to start a watch.
    pub revision: StoreRevision,
}

/// `Event` is one change in a collection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The resource was created or changed.
    Changed(Resource),
    /// The resource was removed.
    Removed(String),
    /// The resource was created, changed or removed, and cannot be decoded.
    Unreadable(UnreadableResource),
}

/// `Changes` is the result of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub events: Vec<Event>,
    /// Revision of the store from which to continue the watch.
    pub revision: StoreRevision,
    /// Revision of the latest of the changes, with number 0 if there are none.
    pub last_change: StoreRevision,
}

/// `ResourceStore` is the interface to collections of resources.
pub trait ResourceStore: Send + Sync {
    /// Lists the current content of a collection.
    fn list(&self, collection: Collection) -> BoxFuture<'_, Result<Listing>>;

    /// Lists the content of a collection as it is or was some seconds ago, which costs the store
    /// less than [`ResourceStore::list`].
    fn list_stale(&self, collection: Collection) -> BoxFuture<'_, Result<Listing>>;

    /// Waits until a collection changes after a revision, for at most `wait_ms` milliseconds.
    ///
    /// Fails with [`crate::Error::RevisionExpired`] if the changes since then are no longer available,
    /// also because the store has come back from an older copy.
    fn watch(
        &self,
        collection: Collection,
        after_revision: StoreRevision,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<Changes>>;

    /// Waits like [`ResourceStore::watch`] for changes in a copy of the collection that may be some
    /// seconds old, which costs the store less.
    fn watch_stale(
        &self,
        collection: Collection,
        after_revision: StoreRevision,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<Changes>>;

    /// Creates a resource with a specification in JSON. Fails with [`crate::Error::Conflict`] if it
    /// exists.
    fn create<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        spec: String,
    ) -> BoxFuture<'a, Result<()>>;

    /// Replaces a resource's status if the resource is still at the given revision. Fails with
    /// [`crate::Error::RevisionExpired`] if the revision is known to be of an earlier era.
    fn set_status<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        status: String,
        revision: StoreRevision,
    ) -> BoxFuture<'a, Result<()>>;

    /// Removes a resource. Succeeds if it does not exist.
    fn remove<'a>(&'a self, collection: Collection, name: &'a str) -> BoxFuture<'a, Result<()>>;

    /// Returns a receiver of the latest era that any answer of the store has named. It rises each
    /// time that the store comes back from an older copy.
    fn eras(&self) -> watch::Receiver<u64>;
}

/// `SharedResources` is a resource store shared between components.
pub type SharedResources = Arc<dyn ResourceStore>;
