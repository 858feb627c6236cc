//! Keeps the verdicts on prompts that crash engines in the platform's store, for the case that all
//! nodes stop at the same time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fescuelock_platform::records;
use fescuelock_policy::cold_start::node_rank;
use fescuelock_policy::crash_evidence::RejectionRecord;
use fescuelock_policy::listing;
use fescuelock_policy::placement::hash_name;
use fescuelock_store::Error as StoreError;
use fescuelock_store::resources::{Collection, SharedResources};
use slog::{info, warn};
use tokio::time::sleep;

use crate::crashes::announce_verdicts;
use crate::node_state::NodeState;

/// Number of nodes that write and remove the record of a verdict, by their rank for it. Should one
/// stop before it writes, another does.
const WRITERS: usize = 2;

/// Delay before a failed call to the store is repeated, in milliseconds.
const RETRY_DELAY_MS: u64 = 1_000;

/// Reads the verdicts of earlier nodes, then keeps the records until the task is dropped.
pub async fn run(node_state: Arc<NodeState>, store: SharedResources) {
    let mut eras = store.eras();
    let mut recorded = adopt_records(&node_state, &store).await;
    eras.mark_unchanged();
    let mut changed = node_state.verdicts_changed.subscribe();
    loop {
        let is_done = write_records(&node_state, &store, &mut recorded).await;
        let retry_delay = sleep(Duration::from_millis(RETRY_DELAY_MS));
        tokio::select! {
            result = changed.changed() => match result {
                Ok(()) => {}
                Err(_) => return,
            },

            // The store came back from an older copy, which may lack records and hold others again.
            Ok(()) = eras.changed() => {
                let delay_ms = node_state.draw_write_delay_ms();
                sleep(Duration::from_millis(delay_ms)).await;
                recorded = list_records(&node_state, &store).await.into_keys().collect();
            }

            () = retry_delay, if !is_done => {}
        }
    }
}

/// Adopts the recorded verdicts. Returns their names.
async fn adopt_records(node_state: &NodeState, store: &SharedResources) -> BTreeSet<String> {
    let records = list_records(node_state, store).await;
    for (name, record) in &records {
        if let Some(record) = record {
            let now_ms = node_state.now_ms();
            node_state.fleet().crash_evidence.adopt_record(record, now_ms);
            info!(node_state.logger, "rejected prompt read from the store"; "segment" => name);
        }
    }
    announce_verdicts(node_state);
    node_state.record_collection_read(Collection::RejectedPrompts);
    records.into_keys().collect()
}

/// Lists the recorded verdicts by name, with `None` for those that cannot be decoded. Retries until it
/// succeeds.
async fn list_records(
    node_state: &NodeState,
    store: &SharedResources,
) -> BTreeMap<String, Option<RejectionRecord>> {
    let mut unreadable_answers = 0;
    loop {
        let error = match store.list_stale(Collection::RejectedPrompts).await {
            Ok(listing) => {
                let unreadable = listing.unreadable.count();
                if unreadable > 0 {
                    warn!(node_state.logger, "records of rejected prompts cannot be read, ignoring them";
                        "unreadable" => unreadable);
                }
                let records = listing.resources.into_iter().map(|resource| {
                    let record = records::decode_rejection(&resource.name, &resource.spec);
                    if let Err(error) = &record {
                        warn!(node_state.logger, "rejected prompt invalid, ignoring it";
                            "name" => &resource.name, "error" => %error);
                    }
                    (resource.name, record.ok())
                });
                return records.collect();
            }

            Err(error) => error,
        };
        warn!(node_state.logger, "cannot list rejected prompts in the store, retrying";
            "error" => %error);
        unreadable_answers += u32::from(error.is_unreadable());
        let delay_ms = RETRY_DELAY_MS.max(listing::repeat_delay_ms(unreadable_answers));
        sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Writes the records of new verdicts and removes those of verdicts that have ended.
///
/// Returns whether all calls succeeded.
async fn write_records(
    node_state: &NodeState,
    store: &SharedResources,
    recorded: &mut BTreeSet<String>,
) -> bool {
    let collection = Collection::RejectedPrompts;
    let verdicts = node_state.fleet().crash_evidence.rejection_records(node_state.now_ms());
    let mut names = BTreeSet::new();
    for verdict in &verdicts {
        let name = records::rejection_name(verdict);
        names.insert(name.clone());
        if recorded.contains(&name) || !is_writer(node_state, &name) {
            continue;
        }
        let created = store.create(collection, &name, records::encode_rejection(verdict)).await;
        match created {
            // Another node wrote the same record.
            Ok(()) | Err(StoreError::Conflict) => drop(recorded.insert(name)),
            Err(error) => return log_failure(node_state, &name, &error),
        }
    }
    let ended: Vec<String> = recorded.difference(&names).cloned().collect();
    for name in ended {
        if is_writer(node_state, &name)
            && let Err(error) = store.remove(collection, &name).await
        {
            return log_failure(node_state, &name, &error);
        }
        recorded.remove(&name);
    }
    true
}

/// Logs a failed write and returns `false`.
fn log_failure(node_state: &NodeState, name: &str, error: &StoreError) -> bool {
    warn!(node_state.logger, "cannot record a rejected prompt in the store, retrying";
        "segment" => name, "error" => %error);
    false
}

fn is_writer(node_state: &NodeState, name: &str) -> bool {
    let fleet = node_state.fleet();
    let nodes = fleet.node_hashes.iter().copied();
    node_rank(fleet.node_hash, nodes, hash_name(name)) < WRITERS
}
