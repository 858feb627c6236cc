//! A node as the links to other nodes see it.

use std::sync::Arc;

use fescuelock_core::config::ConfigCell;
use fescuelock_core::ids::Generation;
use fescuelock_nodes::mesh::{LocalNode, Mesh};
use fescuelock_store::bills::{Bill, Recorder};
use fescuelock_store::config::Adopter;
use fescuelock_store::vms::Vm;
use tokio::sync::watch;

/// `Local` is what the links to other nodes need of this one.
pub struct Local {
    /// The configuration in force.
    pub config: Arc<ConfigCell>,
    /// Puts rules in force.
    pub adopter: Arc<Adopter>,
    /// Records bills.
    pub bills: Recorder,
}

impl LocalNode for Local {
    fn generation(&self) -> u64 {
        self.config.current().generation.0
    }

    fn rules(&self) -> Option<(u64, String)> {
        self.adopter.current().map(|rules| (rules.generation, rules.text))
    }

    fn is_platform_reachable(&self) -> bool {
        self.adopter.is_reachable()
    }

    fn offer_rules(&self, generation: u64, text: &str) {
        // The first rules of a node come from the platform, unless it is away.
        if self.generation() > 0 || !self.adopter.is_reachable() {
            self.adopter.offer(generation, text);
        }
    }

    fn record_held(&self, bill: Bill) {
        self.bills.record(bill);
    }
}

/// Tells the other nodes of each generation that comes into force.
pub async fn announce(mesh: Mesh, mut generation: watch::Receiver<Generation>) {
    while generation.changed().await.is_ok() {
        let in_force = generation.borrow_and_update().0;
        mesh.announce(in_force);
    }
}

/// Takes over a list of VMs: which upstreams leave, and where other nodes may be found.
pub fn take_vms(vms: &[Vm], config: &ConfigCell, mesh: &Mesh) {
    let leaving = vms.iter().filter(|vm| vm.is_leaving_upstream());
    let mut leaving: Vec<String> = leaving.map(|vm| vm.address.clone()).collect();
    leaving.sort_unstable();
    config.set_leaving(leaving);
    mesh.set_seeds(vms.iter().filter_map(|vm| vm.nodes_address.clone()).collect());
}
