//! The local node, as the mesh of links to other nodes accesses it.

use std::sync::Arc;

use fescuelock_core::config::ConfigCell;
use fescuelock_core::ids::Generation;
use fescuelock_nodes::mesh::{LocalNode, Mesh};
use fescuelock_store::bills::{Bill, BillRecorder};
use fescuelock_store::config::RulesLoader;
use fescuelock_store::vms::Vm;
use tokio::sync::watch;

/// `LocalState` gives the mesh access to the configuration and the bills of this node.
pub struct LocalState {
    /// The configuration in force.
    pub config: Arc<ConfigCell>,
    /// Applies new generations of the rules.
    pub rules_loader: Arc<RulesLoader>,
    /// Records bills.
    pub bills: BillRecorder,
}

impl LocalNode for LocalState {
    fn generation(&self) -> u64 {
        self.config.current().generation.0
    }

    fn rules(&self) -> Option<(u64, String)> {
        self.rules_loader.current().map(|rules| (rules.generation, rules.text))
    }

    fn is_platform_reachable(&self) -> bool {
        self.rules_loader.is_reachable()
    }

    fn offer_rules(&self, generation: u64, text: &str) {
        // A node takes its first rules from the platform, unless the platform is unreachable.
        if self.generation() > 0 || !self.rules_loader.is_reachable() {
            self.rules_loader.offer(generation, text);
        }
    }

    fn record_taken_over(&self, bill: Bill) {
        self.bills.record(bill);
    }
}

/// Announces each generation of the rules that comes into force to the other nodes.
pub async fn announce_generations(mesh: Mesh, mut generation: watch::Receiver<Generation>) {
    while generation.changed().await.is_ok() {
        let in_force = generation.borrow_and_update().0;
        mesh.announce(in_force);
    }
}

/// Applies a list of VMs: marks the upstreams that are leaving and sets the seed addresses of the
/// mesh.
pub fn apply_vms(vms: &[Vm], config: &ConfigCell, mesh: &Mesh) {
    let leaving = vms.iter().filter(|vm| vm.is_leaving_upstream());
    let mut leaving: Vec<String> = leaving.map(|vm| vm.address.clone()).collect();
    leaving.sort_unstable();
    config.set_leaving_addresses(leaving);
    mesh.set_seeds(vms.iter().filter_map(|vm| vm.nodes_address.clone()).collect());
}
