//! Traffic shared by the experiments: callers that follow the running nodes, and result collection.

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
use crate::samples::api_key_of;

/// `NodeDirectory` stands for a load balancer: it holds the addresses of the nodes that callers may
/// use, and tells callers when to stop.
#[derive(Clone)]
pub struct NodeDirectory {
    network: SharedNetwork,
    addresses: Arc<RwLock<Vec<String>>>,
    stopped: Arc<AtomicBool>,
}

impl NodeDirectory {
    /// Creates the directory of a cluster with its running nodes.
    pub fn new(cluster: &Cluster) -> Self {
        NodeDirectory {
            network: cluster.network(),
            addresses: Arc::new(RwLock::new(cluster.caller_addresses())),
            stopped: Arc::default(),
        }
    }

    /// Replaces the addresses by those of the nodes that are running now.
    pub fn update(&self, cluster: &Cluster) {
        let mut addresses = self.addresses.write().unwrap_or_else(PoisonError::into_inner);
        *addresses = cluster.caller_addresses();
    }

    /// Creates a caller of a team that sends to a random node.
    pub fn caller(&self, team: &str, rng: &mut ChaCha8Rng) -> Caller {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        let index = rng.random_range(0..addresses.len().max(1));
        let address = addresses.get(index).map_or("127.0.0.1:1", String::as_str);
        Caller::new(self.network.clone(), address, &api_key_of(team))
    }

    /// Tells callers to stop sending requests.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Tells callers to stop sending requests and waits until their tasks have ended.
    pub async fn stop_and_join(&self, callers: Vec<JoinHandle<()>>) {
        self.stop();
        for caller in callers {
            // A task that panics shows up as missing items in its collector.
            let _ = caller.await;
        }
    }

    /// Returns whether callers should continue to send requests.
    pub fn is_running(&self) -> bool {
        !self.stopped.load(Ordering::Relaxed)
    }
}

/// `Collector` collects the results of concurrent tasks.
pub struct Collector<T> {
    items: Arc<Mutex<Vec<T>>>,
}

impl<T> Clone for Collector<T> {
    fn clone(&self) -> Self {
        Collector { items: Arc::clone(&self.items) }
    }
}

impl<T> Default for Collector<T> {
    fn default() -> Self {
        Collector { items: Arc::default() }
    }
}

impl<T> Collector<T> {
    /// Adds an item.
    pub fn add(&self, item: T) {
        self.items.lock().unwrap_or_else(PoisonError::into_inner).push(item);
    }

    /// Removes and returns all items.
    pub fn take(&self) -> Vec<T> {
        std::mem::take(&mut *self.items.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Creates a task's random number generator from the seed of the experiment.
pub fn rng(seed: u64, task: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(task))
}

/// Creates the Tokio runtime of an experiment.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn runtime() -> Result<Runtime> {
    Ok(Builder::new_multi_thread().enable_all().build()?)
}
