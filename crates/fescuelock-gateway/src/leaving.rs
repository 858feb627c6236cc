//! Logs and counts which upstreams are leaving.

use fescuelock_policy::leaving::LeavingSource;
use slog::info;

use crate::metrics::LabelledCounter;
use crate::node_state::NodeState;

/// `LeavingChange` is a change of whether an upstream is known to be leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeavingChange {
    /// The upstream gets no new requests from now on.
    Begun {
        /// Id of the upstream.
        upstream: String,
        /// From where this node knows.
        source: LeavingSource,
    },
    /// The upstream has gone, or its id stands for another incarnation.
    Ended {
        /// Id of the upstream.
        upstream: String,
        /// Reason of the end.
        reason: LeavingEnd,
    },
}

/// `LeavingEnd` is the reason why an upstream is no longer known to be leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingEnd {
    /// Its record was removed.
    Removed,
    /// Its record names another incarnation.
    Replaced,
    /// Nothing has confirmed it for long.
    Expired,
}

/// Logs and counts the changes that were not announced yet.
pub fn announce(node_state: &NodeState) {
    let changes = node_state.fleet().take_leaving_changes();
    for change in changes {
        match change {
            LeavingChange::Begun { upstream, source } => {
                let source = match source {
                    LeavingSource::Report => "report",
                    LeavingSource::Store => "store",
                    LeavingSource::Answer => "answer",
                };
                info!(node_state.logger, "upstream leaving"; "upstream" => upstream,
                    "source" => source);
                let labels = [("state", "begun"), ("cause", source)];
                node_state.metrics.count(LabelledCounter::LeavingChanges, &labels);
            }

            LeavingChange::Ended { upstream, reason } => {
                let reason = match reason {
                    LeavingEnd::Removed => "removed",
                    LeavingEnd::Replaced => "replaced",
                    LeavingEnd::Expired => "expired",
                };
                info!(node_state.logger, "upstream no longer leaving"; "upstream" => upstream,
                    "reason" => reason);
                let labels = [("state", "ended"), ("cause", reason)];
                node_state.metrics.count(LabelledCounter::LeavingChanges, &labels);
            }
        }
    }
}
