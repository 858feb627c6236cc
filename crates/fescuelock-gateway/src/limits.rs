//! Logs and counts changes of the limits that upstreams state.

use fescuelock_policy::stated_limit::LimitChange;
use slog::info;

use crate::metrics::LabelledCounter;
use crate::node_state::NodeState;

/// Logs and counts a change of an upstream's limit. `source` tells where this node learnt it: from
/// an `answer` of the upstream or from a `report` of another node.
pub fn announce(node_state: &NodeState, upstream: &str, source: &str, change: LimitChange) {
    let state = match change {
        LimitChange::Stated(per_s) => {
            info!(node_state.logger, "upstream limit in force"; "upstream" => upstream,
                "per_s" => per_s, "source" => source);
            "in_force"
        }
        LimitChange::Ended => {
            info!(node_state.logger, "upstream limit ended"; "upstream" => upstream,
                "source" => source);
            "ended"
        }
    };
    node_state.metrics.count(LabelledCounter::LimitChanges, &[("state", state)]);
}
