//! The configuration in force on a node, which only ever moves forward.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::ids::Generation;
use crate::rules::View;

/// `Adoption` tells what became of an offered configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The configuration is now in force.
    Adopted,
    /// The configuration is the one in force.
    Current,
    /// The configuration is older than the one in force and was dropped.
    Stale,
}

/// `ConfigCell` holds the view in force. Reading it takes no lock.
#[derive(Debug)]
pub struct ConfigCell {
    current: ArcSwap<View>,
    adopting: Mutex<()>,
    generation: watch::Sender<Generation>,
}

impl Default for ConfigCell {
    fn default() -> Self {
        ConfigCell {
            current: ArcSwap::from_pointee(View::default()),
            adopting: Mutex::new(()),
            generation: watch::Sender::new(Generation::default()),
        }
    }
}

impl ConfigCell {
    /// Returns the view in force.
    pub fn current(&self) -> Arc<View> {
        self.current.load_full()
    }

    /// Tells what would become of a configuration of the given generation.
    pub fn judge(&self, generation: Generation) -> Adoption {
        match generation.cmp(&self.current.load().generation) {
            std::cmp::Ordering::Less => Adoption::Stale,
            std::cmp::Ordering::Equal => Adoption::Current,
            std::cmp::Ordering::Greater => Adoption::Adopted,
        }
    }

    /// Puts a view in force, unless the one in force is as new or newer.
    pub fn adopt(&self, mut view: View) -> Adoption {
        let _guard = self.adopting.lock().unwrap_or_else(PoisonError::into_inner);
        let judged = self.judge(view.generation);
        if judged == Adoption::Adopted {
            // The list of leaving VMs is not part of the rules and survives their change.
            view.leaving.clone_from(&self.current.load().leaving);
            let generation = view.generation;
            self.current.store(Arc::new(view));
            self.generation.send_replace(generation);
        }
        judged
    }

    /// Replaces the addresses of upstreams whose VMs the platform lists as leaving.
    pub fn set_leaving(&self, leaving: Vec<String>) {
        let _guard = self.adopting.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.current.load_full();
        if current.leaving == leaving {
            return;
        }
        let mut view = View::clone(&current);
        view.leaving = leaving;
        self.current.store(Arc::new(view));
    }

    /// Watches the generation in force.
    pub fn subscribe(&self) -> watch::Receiver<Generation> {
        self.generation.subscribe()
    }
}
