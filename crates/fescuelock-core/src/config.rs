//! The active configuration of a node, whose generation never decreases.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::ids::Generation;
use crate::rules::ConfigSnapshot;

/// `Adoption` is the result of offering a configuration to a [`ConfigCell`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The configuration is newer than the active one and replaces it.
    Adopted,
    /// The configuration has the generation of the active one, which stays.
    Current,
    /// The configuration is older than the active one and is ignored.
    Stale,
}

/// `ConfigCell` holds the active configuration snapshot. Reads are lock-free.
#[derive(Debug)]
pub struct ConfigCell {
    current: ArcSwap<ConfigSnapshot>,
    /// Serializes updates, so that no writer replaces a newer snapshot.
    update_lock: Mutex<()>,
    generation: watch::Sender<Generation>,
}

impl Default for ConfigCell {
    fn default() -> Self {
        ConfigCell {
            current: ArcSwap::from_pointee(ConfigSnapshot::default()),
            update_lock: Mutex::new(()),
            generation: watch::Sender::new(Generation::default()),
        }
    }
}

impl ConfigCell {
    /// Returns the active snapshot.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// Returns what [`ConfigCell::adopt`] would do with a configuration of the given generation.
    pub fn preview_adoption(&self, generation: Generation) -> Adoption {
        match generation.cmp(&self.current.load().generation) {
            std::cmp::Ordering::Less => Adoption::Stale,
            std::cmp::Ordering::Equal => Adoption::Current,
            std::cmp::Ordering::Greater => Adoption::Adopted,
        }
    }

    /// Activates a snapshot if its generation is higher than that of the active one.
    pub fn adopt(&self, mut snapshot: ConfigSnapshot) -> Adoption {
        let _guard = self.update_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let adoption = self.preview_adoption(snapshot.generation);
        if adoption == Adoption::Adopted {
            // The leaving VMs come from the platform's VM list and not from the rules: keep them.
            snapshot.leaving_addresses.clone_from(&self.current.load().leaving_addresses);
            let generation = snapshot.generation;
            self.current.store(Arc::new(snapshot));
            self.generation.send_replace(generation);
        }
        adoption
    }

    /// Sets the addresses of the upstreams whose VMs the platform lists as leaving.
    ///
    /// The generation stays the same, so subscribers are not notified.
    pub fn set_leaving_addresses(&self, leaving_addresses: Vec<String>) {
        let _guard = self.update_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.current.load_full();
        if current.leaving_addresses == leaving_addresses {
            return;
        }
        let mut snapshot = ConfigSnapshot::clone(&current);
        snapshot.leaving_addresses = leaving_addresses;
        self.current.store(Arc::new(snapshot));
    }

    /// Returns a receiver that is notified of each new active generation.
    pub fn subscribe(&self) -> watch::Receiver<Generation> {
        self.generation.subscribe()
    }
}
