//! Pauses for which upstreams ask: their state over removals of records, their log lines and counts.

use std::collections::{BTreeMap, HashMap};

use fescuelock_policy::pause::{self, Pause, PauseChange};
use fescuelock_policy::placement::hash_pair;
use fescuelock_policy::upstream::{UpstreamRecord, is_same_incarnation};
use http::StatusCode;
use slog::info;

use crate::dispatch::UpstreamResponse;
use crate::fleet::Fleet;
use crate::metrics::LabelledCounter;
use crate::node_state::NodeState;
use crate::placement::PlacementRequest;
use crate::upstream::{Upstream, UpstreamKey};

/// Maximum number of removed upstreams of which the pause is kept. The records of all upstreams may
/// be gone at once, since they expire while the store is unavailable.
const REMOVED_MAX: usize = 4_096;

/// `RemovedUpstreams` keeps the pauses of upstreams whose records are gone, since a record may return
/// while the upstream runs on.
#[derive(Debug, Default)]
pub struct RemovedUpstreams {
    entries: BTreeMap<UpstreamKey, RemovedUpstream>,
    /// Key of the last removed upstream with an id.
    by_id: HashMap<String, UpstreamKey>,
}

#[derive(Debug)]
struct RemovedUpstream {
    record: UpstreamRecord,
    pause: Pause,
}

impl RemovedUpstreams {
    /// Keeps the pause of an upstream that is removed. The oldest entry without a pause makes room
    /// for it, or the oldest one.
    pub fn insert(&mut self, key: UpstreamKey, upstream: Upstream, now_ms: u64) {
        if self.entries.len() >= REMOVED_MAX {
            let order = |(&key, entry): (&UpstreamKey, &RemovedUpstream)| {
                (entry.pause.is_paused(now_ms), key)
            };
            if let Some((_, displaced)) = self.entries.iter().map(order).min()
                && let Some(entry) = self.entries.remove(&displaced)
                && self.by_id.get(&entry.record.id) == Some(&displaced)
            {
                self.by_id.remove(&entry.record.id);
            }
        }
        let Upstream { record, pause, .. } = upstream;
        self.by_id.insert(record.id.clone(), key);
        self.entries.insert(key, RemovedUpstream { record, pause });
    }

    /// Returns the record of the last upstream with an id that was removed.
    pub fn record_of(&self, id: &str) -> Option<&UpstreamRecord> {
        self.entries.get(self.by_id.get(id)?).map(|entry| &entry.record)
    }

    /// Returns the pause of an upstream that was removed and whose record is back.
    pub fn pause_of(&self, record: &UpstreamRecord) -> Option<Pause> {
        let entry = self.entries.get(self.by_id.get(&record.id)?)?;
        is_same_incarnation(&entry.record, record).then(|| entry.pause.clone())
    }
}

impl Fleet {
    /// Returns the pause of the upstream with a key, also if its record is gone or has returned
    /// meanwhile.
    fn pause_mut(&mut self, key: UpstreamKey) -> Option<&mut Pause> {
        if self.upstreams.contains_key(&key) {
            return self.upstreams.get_mut(&key).map(|upstream| &mut upstream.pause);
        }
        let entry = self.removed.entries.get_mut(&key)?;
        let returned = self.by_id.get(&entry.record.id);
        match returned.and_then(|returned| self.upstreams.get_mut(returned)) {
            Some(upstream) if is_same_incarnation(&entry.record, &upstream.record) => {
                Some(&mut upstream.pause)
            }
            _ => Some(&mut entry.pause),
        }
    }

    /// Returns the ids of the upstreams whose pause has just ended.
    fn take_ended_pauses(&mut self, now_ms: u64) -> Vec<String> {
        let ended = self.upstreams.values_mut().filter_map(|upstream| {
            upstream.pause.take_ended(now_ms).then(|| upstream.record.id.clone())
        });
        ended.collect()
    }

    /// Returns the number of upstreams that pause.
    pub fn paused_count(&self, now_ms: u64) -> usize {
        self.upstreams.values().filter(|upstream| upstream.pause.is_paused(now_ms)).count()
    }

    /// Returns the time until the first upstream takes the request again, in milliseconds, if all
    /// upstreams that could take it pause, whether it was tried there or not.
    pub fn paused_ms(&self, request: &PlacementRequest<'_>, now_ms: u64) -> Option<f64> {
        let request = PlacementRequest { tried: &[], ..*request };
        first_return_ms(self.eligible(&request, now_ms).into_iter(), now_ms)
    }
}

/// Returns the time until the first of the upstreams takes requests again, in milliseconds, if all
/// of them pause; `None` also if there are none.
pub fn first_return_ms<'a>(
    upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    now_ms: u64,
) -> Option<f64> {
    let waits = upstreams.map(|(_, upstream)| {
        upstream.pause.is_paused(now_ms).then(|| upstream.pause.wait_ms(now_ms) as f64)
    });
    let waits: Option<Vec<f64>> = waits.collect();
    waits?.into_iter().reduce(f64::min)
}

/// Records what an accepted response says about a pause of its upstream. Returns whether it asks for
/// one.
pub fn record_response(node_state: &NodeState, upstream_response: &UpstreamResponse) -> bool {
    let UpstreamResponse { parsed_headers, placement, status, elapsed_ms, .. } = upstream_response;
    if parsed_headers.is_misdirected {
        return false;
    }
    let is_unavailable = *status == StatusCode::SERVICE_UNAVAILABLE;
    let now_ms = node_state.now_ms();
    let mut fleet = node_state.fleet();
    let node_hash = fleet.node_hash;
    let Some(pause) = fleet.pause_mut(placement.key) else {
        return false;
    };
    match pause::requested_pause_ms(is_unavailable, parsed_headers.retry_after_ms) {
        Some(pause_ms) => {
            let spread = hash_pair(node_hash, placement.key.0);
            let change = pause.extend(pause_ms, spread, now_ms);
            drop(fleet);
            if let Some(change) = change {
                announce(node_state, &placement.id, change);
            }
            true
        }

        None => {
            if !status.is_server_error() && !parsed_headers.upstream_did_not_run {
                pause.record_answer(now_ms.saturating_sub(*elapsed_ms as u64), now_ms);
            }
            false
        }
    }
}

/// Logs and counts the pauses that have ended.
pub fn record_ended(node_state: &NodeState) {
    let ended = node_state.fleet().take_ended_pauses(node_state.now_ms());
    for id in ended {
        node_state.metrics.count(LabelledCounter::Pauses, &[("state", "ended")]);
        info!(node_state.logger, "upstream pause ended"; "upstream" => id);
    }
}

fn announce(node_state: &NodeState, upstream: &str, change: PauseChange) {
    let state = match change {
        PauseChange::Begun(left_ms) => {
            info!(node_state.logger, "upstream pause begun"; "upstream" => upstream,
                "left_ms" => left_ms);
            "begun"
        }
        PauseChange::Lengthened(left_ms) => {
            info!(node_state.logger, "upstream pause lengthened"; "upstream" => upstream,
                "left_ms" => left_ms);
            "lengthened"
        }
    };
    node_state.metrics.count(LabelledCounter::Pauses, &[("state", state)]);
}
