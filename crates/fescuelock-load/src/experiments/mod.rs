//! The experiments. Each returns its results as one JSON object.

pub mod config;
pub mod control;
pub mod once;
pub mod outage;
pub mod path;
pub mod replace;
pub mod slopes;
pub mod traffic;

use serde_json::Value;

use crate::Result;

/// `ExperimentOptions` are the options of all experiments.
#[derive(Debug, Clone)]
pub struct ExperimentOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of a measured phase, in seconds.
    pub phase_s: u64,
    /// Number of nodes, for experiments whose size can be chosen.
    pub nodes: usize,
    /// Number of upstreams, for experiments whose size can be chosen.
    pub upstreams: usize,
    /// Addresses of separately started processes. If `None`, everything runs in this process.
    pub targets: Option<path::Targets>,
}

/// `Experiment` is a named experiment.
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description of what it measures.
    pub about: &'static str,
    /// Function that runs it.
    pub run: fn(&ExperimentOptions) -> Result<Value>,
}

/// All experiments.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "path",
        about: "throughput, overhead and memory of one node",
        run: path::run,
    },
    Experiment {
        name: "once",
        about: "duplicate bookings while nodes are killed and responses of the platform are lost",
        run: once::run,
    },
    Experiment {
        name: "replace",
        about: "every node replaced under streaming load",
        run: replace::run,
    },
    Experiment {
        name: "config",
        about: "concurrent edits, stalled watches, stale reads and an outage",
        run: config::run,
    },
    Experiment {
        name: "outage",
        about: "a long outage of the platform under load, and the recovery",
        run: outage::run,
    },
    Experiment {
        name: "control",
        about: "control-plane cost per node, idle and with changes, at --nodes and --upstreams",
        run: control::run,
    },
    Experiment {
        name: "slopes",
        about: "`control` at four numbers of nodes and four of upstreams, with linear fits",
        run: slopes::run,
    },
];
