//! Finds out whether an engine crashed under a request, and makes the evidence known to all nodes.

use std::sync::Arc;

use fescuelock_policy::crash_evidence::SegmentState;
use fescuelock_policy::prompt::Prompt;
use slog::{info, warn};

use crate::metrics::LabelledCounter;
use crate::node_state::NodeState;
use crate::upstream::UpstreamKey;

/// Timeout of the connection that tells a crashed engine from a lost connection, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 100;

/// Records the loss of a connection on which a request waited for its first events.
///
/// Returns whether the engine has ended: it accepts no new connection either.
pub async fn record_lost_request(
    node_state: &NodeState,
    prompt: &Prompt,
    key: UpstreamKey,
) -> bool {
    let probed = node_state
        .fleet()
        .upstream(key)
        .map(|upstream| (Arc::clone(&upstream.connections), upstream.incarnation_hash()));
    let Some((connections, engine)) = probed else {
        return false;
    };
    if let Ok(connection) = connections.open_within(PROBE_TIMEOUT_MS).await {
        connections.checkin(connection);
        return false;
    }
    let now_ms = node_state.now_ms();
    node_state.fleet().crash_evidence.record_crash(engine, prompt, now_ms);
    announce_verdicts(node_state);
    node_state.report_soon.notify_one();
    true
}

/// Records that the response to a prompt has begun and its engine lives.
pub fn record_begun(node_state: &NodeState, prompt: &Prompt) {
    let now_ms = node_state.now_ms();
    if node_state.fleet().crash_evidence.record_begun(prompt, now_ms) {
        announce_verdicts(node_state);
    }
}

/// Logs and counts the verdicts on prompt segments that have changed, and wakes the requests that
/// they concern.
pub fn announce_verdicts(node_state: &NodeState) {
    let now_ms = node_state.now_ms();
    let changes = node_state.fleet().crash_evidence.take_changes(now_ms);
    for change in &changes {
        let segment = format!("{:x}", change.segment);
        let state = match change.state {
            SegmentState::Clear => "cleared",
            SegmentState::Suspected => "suspected",
            SegmentState::Rejected => "rejected",
        };
        node_state.metrics.count(LabelledCounter::SegmentVerdicts, &[("state", state)]);
        match change.state {
            SegmentState::Clear => info!(node_state.logger, "prompt segment cleared";
                "segment" => segment),
            SegmentState::Suspected => info!(node_state.logger, "prompt segment suspected";
                "segment" => segment, "crashes" => change.crashes, "nodes" => change.reporters),
            SegmentState::Rejected => warn!(node_state.logger, "prompt segment rejected";
                "segment" => segment, "crashes" => change.crashes, "nodes" => change.reporters,
                "inseparable" => format!("{:x?}", change.inseparable)),
        }
    }
    if !changes.is_empty() {
        node_state.verdicts_changed.send_modify(|version| *version += 1);
    }
}

/// Waits until a segment of the prompt is rejected.
pub async fn wait_for_rejection(node_state: &NodeState, prompt: &Prompt) {
    let mut changed = node_state.verdicts_changed.subscribe();
    loop {
        if node_state.fleet().rejected_segment(prompt, node_state.now_ms()).is_some() {
            return;
        }
        if changed.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
