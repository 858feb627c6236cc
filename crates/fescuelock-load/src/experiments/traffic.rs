//! Callers that follow the nodes in service, shared by experiments with deaths and replacements.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use fescuelock_http::net::SharedNetwork;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;

use crate::Result;
use crate::caller::Caller;
use crate::cluster::Cluster;
use crate::samples::key_of;

/// `Directory` is the balancer's view: the callers' addresses of the nodes in service.
#[derive(Clone)]
pub struct Directory {
    network: SharedNetwork,
    addresses: Arc<RwLock<Vec<String>>>,
    stopped: Arc<AtomicBool>,
}

impl Directory {
    /// Builds the directory of a cluster.
    pub fn new(cluster: &Cluster) -> Self {
        Directory {
            network: cluster.network(),
            addresses: Arc::new(RwLock::new(cluster.callers_addresses())),
            stopped: Arc::default(),
        }
    }

    /// Takes over the nodes that are in service now.
    pub fn update(&self, cluster: &Cluster) {
        let mut addresses = self.addresses.write().unwrap_or_else(PoisonError::into_inner);
        *addresses = cluster.callers_addresses();
    }

    /// Builds a caller of a team at a random node.
    pub fn caller(&self, team: &str, rng: &mut ChaCha8Rng) -> Caller {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        let index = rng.random_range(0..addresses.len().max(1));
        let address = addresses.get(index).map_or("127.0.0.1:1", String::as_str);
        Caller::new(self.network.clone(), address, &key_of(team))
    }

    /// Tells callers to send nothing more.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Tells callers to send nothing more, and waits for their last answers.
    pub async fn finish(&self, callers: Vec<JoinHandle<()>>) {
        self.stop();
        for caller in callers {
            // A caller that panics is seen in what it did not record.
            let _ = caller.await;
        }
    }

    /// Tells whether callers should go on.
    pub fn is_open(&self) -> bool {
        !self.stopped.load(Ordering::Relaxed)
    }
}

/// `Record` collects what tasks report.
pub struct Record<T> {
    items: Arc<Mutex<Vec<T>>>,
}

impl<T> Clone for Record<T> {
    fn clone(&self) -> Self {
        Record { items: Arc::clone(&self.items) }
    }
}

impl<T> Default for Record<T> {
    fn default() -> Self {
        Record { items: Arc::default() }
    }
}

impl<T> Record<T> {
    /// Adds an item.
    pub fn add(&self, item: T) {
        self.items.lock().unwrap_or_else(PoisonError::into_inner).push(item);
    }

    /// Takes all items.
    pub fn take(&self) -> Vec<T> {
        std::mem::take(&mut *self.items.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Builds the random numbers of one task.
pub fn rng(seed: u64, task: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(task))
}

/// Builds the runtime of an experiment.
///
/// # Errors
///
/// Returns the error of the system.
pub fn runtime() -> Result<Runtime> {
    Ok(Builder::new_multi_thread().enable_all().build()?)
}
