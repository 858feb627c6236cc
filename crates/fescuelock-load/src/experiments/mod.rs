//! The experiments. Each returns its figures as one JSON object.

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

/// `ExperimentOptions` is what every experiment takes.
#[derive(Debug, Clone)]
pub struct ExperimentOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of a measured phase, in seconds.
    pub phase_s: u64,
    /// Nodes, for experiments whose size can be chosen.
    pub nodes: usize,
    /// Upstreams, for experiments whose size can be chosen.
    pub upstreams: usize,
    /// Processes that were started by hand. Without them, all parts run in this process.
    pub targets: Option<path::Targets>,
}

/// `Experiment` is an entry of the list of experiments.
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// What it measures.
    pub about: &'static str,
    /// Runs it.
    pub run: fn(&ExperimentOptions) -> Result<Value>,
}

/// Lists all experiments.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "path",
        about: "throughput, overhead and memory of one node",
        run: path::run,
    },
    Experiment {
        name: "once",
        about: "bookings with duplicates while nodes die and the platform loses answers",
        run: once::run,
    },
    Experiment {
        name: "replace",
        about: "every node replaced under streaming load",
        run: replace::run,
    },
    Experiment {
        name: "config",
        about: "racing edits, silent watches, stale reads and an outage",
        run: config::run,
    },
    Experiment {
        name: "outage",
        about: "a long outage of the platform under load, and its end",
        run: outage::run,
    },
    Experiment {
        name: "control",
        about: "what control costs a node, idle and with changes, at --nodes and --upstreams",
        run: control::run,
    },
    Experiment {
        name: "slopes",
        about: "control at four numbers of nodes and four of upstreams, with linear fits",
        run: slopes::run,
    },
];
