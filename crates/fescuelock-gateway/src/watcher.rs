//! Watches the object store and applies changes to the node's state, with one task per collection.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuelock_core::counters::Counter;
use fescuelock_core::store_revision::StoreRevision;
use fescuelock_platform::{configuration, records, rollout};
use fescuelock_policy::listing;
use fescuelock_policy::missed_change::MissedChange;
use fescuelock_policy::restored_store::{self, RestoredHold};
use fescuelock_policy::store_reads::{CopyHold, ReadMode};
use fescuelock_policy::watch_batching::WatchBatching;
use fescuelock_store::Error as StoreError;
use fescuelock_store::resources::{
    Collection, Event, Listing, Resource, SharedResources, UnreadableResource,
};
use slog::{Logger, info, warn};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::crashes;
use crate::hedge;
use crate::leaving;
use crate::metrics::LabelledCounter;
use crate::node_state::NodeState;
use crate::pauses;

/// Longest wait of one watch call, in milliseconds. Long waits save calls; connections that stop
/// responding meanwhile are detected by keep-alive probes.
const WATCH_WAIT_MAX_MS: u64 = 25_000;

/// Share of the store's history retention that one watch may wait for. A watch that waits longer
/// than the history is retained fails with a loss of history, and the collection has to be listed
/// again.
const WATCH_HISTORY_SHARE: f64 = 0.8;

/// Shortest and longest delay before the retry of a failed call, in milliseconds, without jitter.
///
/// After an outage of the store, a node must remove the upstreams that have gone within a time
/// limit. The longest delay plus `Bounds::reregistration_ms`, the time that live upstreams have to
/// write their records again, must stay below this limit.
const RETRY_DELAY_RANGE_MS: (u64, u64) = (100, 700);

/// Number of resources on one page of a listing, which is one call.
const LIST_PAGE_RESOURCES: usize = 500;

/// Collection whose watcher probes the store during an outage. The other watchers wait until it
/// succeeds, so that a node makes one call at a time to a store that is not available.
const PROBE_COLLECTION: Collection = Collection::Upstreams;

/// Longest wait for a successful probe before another watcher retries on its own, in milliseconds.
/// The store may reject calls for one collection and serve those for another.
const PROBE_WAIT_MS: u64 = 5_000;

/// Length of the shortest outage in which records of live upstreams can expire, in milliseconds.
const EXPIRY_OUTAGE_MIN_MS: u64 = 1_500;

/// Longest time until all nodes have detected an outage of the store and reported it, in
/// milliseconds: the keep-alive timeout of unresponsive connections plus one report interval.
const PEER_DETECTION_MS: u64 = 3_600;

/// Age up to which another node's report that it reaches the store is trusted, in milliseconds.
const PEER_CONTACT_MAX_AGE_MS: u64 = 800;

/// Interval at which upstreams with missing records are checked for removal, in milliseconds.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 100;

/// Number of resources of one answer that are logged one by one if they cannot be used.
const UNUSABLE_LOGGED_MAX: usize = 5;

/// `CollectionWatcher` watches one collection of the store.
pub struct CollectionWatcher {
    /// State of the node, to which the changes are applied.
    pub node_state: Arc<NodeState>,
    /// Object store that holds the collection.
    pub store: SharedResources,
    /// The collection to watch.
    pub collection: Collection,
}

/// `Outage` tracks an outage of the store as one watcher sees it.
#[derive(Debug, Default)]
struct Outage {
    /// Time of the first failed call, while the outage lasts.
    since: Option<Instant>,
    /// Whether other nodes reached the store during the outage, so that it affects only this node.
    is_local: bool,
    /// Time until which upstreams with missing records are kept after a long outage, in
    /// milliseconds.
    keep_missing_until_ms: u64,
}

/// `WatchRepeat` tracks the repetition of a watch that missed a change.
#[derive(Debug, Default)]
struct WatchRepeat {
    /// Revision of the change that the last watch missed.
    missed: Option<StoreRevision>,
    /// Revision up to which reports of other nodes have been checked by a repeated watch.
    checked: StoreRevision,
}

/// `WatchProgress` is what a watcher keeps from one call to the next.
#[derive(Debug, Default)]
struct WatchProgress {
    outage: Outage,
    watch_batching: WatchBatching,
    repeat: WatchRepeat,
    restored_hold: RestoredHold,
    copy_hold: CopyHold,
    /// Number of answers that could not be read since the last watch that could.
    unreadable_answers: u32,
    /// Time at which the collection is listed again beside its watch, which goes on.
    listing_due: Option<Instant>,
}

/// `UnusableResources` counts the resources of one answer that cannot be used, and logs the first ones.
/// Another writer may have left any number of them.
#[derive(Debug, Default)]
struct UnusableResources {
    count: usize,
}

impl UnusableResources {
    /// Counts a resource. Returns whether it is to be logged.
    fn add(&mut self) -> bool {
        self.count += 1;
        self.count <= UNUSABLE_LOGGED_MAX
    }

    /// Logs how many resources were not logged one by one, at the end of the answer. `unseen` is the
    /// number of those that were not passed to [`UnusableResources::add`].
    fn finish(self, logger: &Logger, collection: Collection, unseen: usize) {
        let further = self.count.saturating_sub(UNUSABLE_LOGGED_MAX) + unseen;
        if further > 0 {
            warn!(logger, "further resources cannot be read"; "collection" => ?collection,
                "further" => further);
        }
    }
}

/// `Reading` tells how a resource was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    /// By the node's first listing of the upstreams, which may have started long before.
    FirstListing,
    /// By another listing.
    Listing,
    /// By a listing of a store that has come back from an older copy lately.
    Copy,
    /// As a change.
    Event,
}

impl CollectionWatcher {
    /// Watches the collection until the task is dropped.
    pub async fn run(self) {
        let mut progress = WatchProgress::default();
        let mut revision: Option<StoreRevision> = None;
        let mut failures = 0;
        loop {
            let is_listing_due = progress.listing_due.is_some_and(|due| due <= Instant::now());
            let watched_after = revision.filter(|_| !is_listing_due);
            let result = match watched_after {
                None => self.list(&mut progress).await.map(Some),
                Some(after) => self.watch(after, &mut progress).await,
            };
            if result.is_err() {
                progress.copy_hold.record_failure(self.node_state.now_ms());
            }
            match result {
                Ok(next) => {
                    revision = next;
                    failures = 0;
                }

                Err(StoreError::RevisionExpired) if revision.is_some() => {
                    info!(self.node_state.logger,
                        "watch history lost, listing the collection again";
                        "collection" => ?self.collection,
                        "revision" => revision.map(|revision| revision.number),
                        "era" => revision.map(|revision| revision.era));
                    revision = None;
                    sleep(Duration::from_millis(self.draw_list_delay_ms())).await;
                }

                Err(error) if error.is_unreadable() => {
                    self.record_unreadable(&mut progress, watched_after, &error);
                    let pause = self.draw_repeat_delay(&progress);
                    // The same watch would get the same answer. A listing comes in pages.
                    revision = revision.filter(|_| watched_after.is_none());
                    match revision {
                        Some(_) => progress.listing_due = Some(Instant::now() + pause),
                        None => sleep(pause).await,
                    }
                }

                Err(error) => {
                    self.record_failure(&mut progress.outage, &error);
                    let pause_ms = RETRY_DELAY_RANGE_MS
                        .0
                        .saturating_mul(1 << failures.min(8))
                        .min(RETRY_DELAY_RANGE_MS.1);
                    let jitter = 0.5 + self.node_state.draw();
                    sleep(Duration::from_millis((pause_ms as f64 * jitter) as u64)).await;
                    self.wait_for_probe().await;
                    failures += 1;
                }
            }
        }
    }

    /// Draws the delay before the collection is listed again, in milliseconds. All nodes lose the
    /// history at the same time; listings of upstreams take many calls in a large deployment.
    fn draw_list_delay_ms(&self) -> u64 {
        if self.collection != Collection::Upstreams {
            return 0;
        }
        let fleet = self.node_state.fleet();
        let (nodes, upstreams) = (fleet.node_count(), fleet.ids().len());
        drop(fleet);
        let bounds = self.node_state.bounds();
        let spread_max_ms = bounds.propagation_max_ms();
        let pages = upstreams.div_ceil(LIST_PAGE_RESOURCES).max(1);
        let spread_ms =
            restored_store::spread_ms(nodes, pages, bounds.store_reads_per_s, spread_max_ms);
        (spread_ms as f64 * self.node_state.draw()) as u64
    }

    /// Draws the delay before the collection is listed again after answers that could not be read. All
    /// nodes may have received the same answer.
    fn draw_repeat_delay(&self, progress: &WatchProgress) -> Duration {
        let repeat_delay_ms = listing::repeat_delay_ms(progress.unreadable_answers);
        let jitter = 0.5 + self.node_state.draw();
        let spread_ms = match progress.unreadable_answers {
            0 | 1 => self.draw_list_delay_ms(),
            _ => 0,
        };
        Duration::from_millis((repeat_delay_ms as f64 * jitter) as u64 + spread_ms)
    }

    async fn list(&self, progress: &mut WatchProgress) -> Result<StoreRevision, StoreError> {
        let started = Instant::now();
        let listing = self.store.list(self.collection).await?;
        self.node_state.record_store_call("list", started);
        self.record_success(&mut progress.outage);
        let revision = listing.revision;
        let last_change = listing.resources.iter().map(|resource| resource.revision).max();
        self.node_state.store_changes.record_read(self.collection, last_change.unwrap_or_default());
        let now_ms = self.node_state.now_ms();
        let reading = match progress.restored_hold.record_listing(revision.era, now_ms) {
            true => Reading::Copy,
            false if self.node_state.unread_collections.contains(Collection::Upstreams) => {
                Reading::FirstListing
            }
            false => Reading::Listing,
        };
        if reading == Reading::Copy {
            warn!(self.node_state.logger, "store came back from an older copy";
                "collection" => ?self.collection, "era" => revision.era,
                "revision" => revision.number, "resources" => listing.resources.len());
        }
        self.apply_listing(listing, reading, &progress.outage);
        progress.listing_due = None;
        Ok(revision)
    }

    /// Waits for changes after a revision and applies them. Returns the revision to continue from, or
    /// `None` if the collection has to be listed again.
    async fn watch(
        &self,
        after: StoreRevision,
        progress: &mut WatchProgress,
    ) -> Result<Option<StoreRevision>, StoreError> {
        let listing_due = progress.listing_due;
        let WatchProgress { outage, watch_batching, repeat, restored_hold, copy_hold, .. } =
            progress;
        // After a failure, a watch that returns at once detects a recovery of the store soon.
        let bounds = self.node_state.bounds();
        let propagation_max_ms = bounds.propagation_max_ms();
        let history_ms = (bounds.history_ms as f64 * WATCH_HISTORY_SHARE) as u64;
        let wait_max_ms = WATCH_WAIT_MAX_MS.min(history_ms);
        let missed = repeat.missed.take();
        let (wait_ms, read_mode) = match (outage.since, missed) {
            (Some(_), _) | (_, Some(_)) => (0, ReadMode::Current),
            (None, None) => (
                watch_batching.next_wait_ms(propagation_max_ms, wait_max_ms),
                copy_hold.read_mode(
                    &self.node_state.store_readers(),
                    propagation_max_ms,
                    self.node_state.now_ms(),
                ),
            ),
        };
        let read_revision = repeat.checked.max(after);
        let mut outages = self.node_state.store_outages.subscribe();
        let mut eras = self.store.eras();
        if *eras.borrow() > after.era {
            return Err(StoreError::RevisionExpired);
        }
        let watching = match read_mode {
            ReadMode::Current => self.store.watch(self.collection, after, wait_ms),
            ReadMode::MayLag => self.store.watch_stale(self.collection, after, wait_ms),
        };
        let changes = tokio::select! {
            biased;
            changes = watching => changes?,
            () = self.wait_for_readers_silence(propagation_max_ms), if read_mode == ReadMode::MayLag => {
                return Ok(Some(after));
            }
            // The store may never answer a watch from before the end of the outage.
            Ok(()) = outages.changed() => return Ok(Some(after)),
            () = sleep_until(listing_due.unwrap_or_else(Instant::now)), if listing_due.is_some() => {
                return Ok(Some(after));
            }
            () = self.wait_for_hold_end(restored_hold) => {
                restored_hold.end();
                return Ok(None);
            }
            // Another call has found that the store came back from an older copy.
            Ok(_) = eras.wait_for(|era| *era > after.era) => return Err(StoreError::RevisionExpired),
            // A watch that does not wait is soon answered or given up.
            revision = self.wait_for_missed_change(read_revision, read_mode), if wait_ms > 0 => {
                info!(self.node_state.logger, "watch misses a change that another node has read";
                    "collection" => ?self.collection, "after" => %after, "revision" => %revision);
                if read_mode == ReadMode::MayLag {
                    copy_hold.record_failure(self.node_state.now_ms());
                }
                self.node_state.metrics.count(
                    LabelledCounter::WatchRepeats,
                    &[("collection", self.collection.label())],
                );
                repeat.missed = Some(revision);
                return Ok(Some(after));
            }
        };
        self.record_success(outage);
        // The store has answered up to now, so that what was reported needs no further call.
        repeat.checked = repeat.checked.max(missed.unwrap_or_default());
        self.node_state.store_changes.record_read(self.collection, changes.last_change);
        let has_changed = !changes.events.is_empty();
        if has_changed && read_mode == ReadMode::Current {
            self.announce_changes();
        }
        let mut is_attributed = true;
        let mut unusable = UnusableResources::default();
        for event in changes.events {
            match event {
                Event::Changed(resource) => self.apply(resource, Reading::Event, &mut unusable),
                Event::Removed(name) => self.remove(&name, outage),
                Event::Unreadable(unreadable) => {
                    is_attributed &= unreadable.name.is_some();
                    self.apply_unreadable(&unreadable, &mut unusable);
                }
            }
        }
        unusable.finish(&self.node_state.logger, self.collection, 0);
        if has_changed {
            let pause_ms =
                watch_batching.next_delay_ms(propagation_max_ms, self.node_state.now_ms());
            sleep(Duration::from_millis(pause_ms)).await;
        }
        match (is_attributed, listing_due) {
            // Any resource may have changed.
            (false, None) => {
                let reason = "a change does not tell which object it concerns".to_owned();
                self.record_unreadable(progress, Some(after), &StoreError::Malformed(reason));
                progress.listing_due = Some(Instant::now() + self.draw_repeat_delay(progress));
            }

            (true, None) => progress.unreadable_answers = 0,

            (_, Some(_)) => {}
        }
        Ok(Some(changes.revision.max(after)))
    }

    /// Tells other nodes at once that there are changes, if they may be watching a copy of the store.
    fn announce_changes(&self) {
        let fleet = self.node_state.fleet();
        if fleet.has_store_readers() && fleet.is_store_reader() {
            self.node_state.report_soon.notify_one();
        }
    }

    /// Waits until orders that a copy of the store lacks are no longer held. Upstreams are held each
    /// by itself, and configurations are never taken back.
    async fn wait_for_hold_end(&self, restored_hold: &RestoredHold) {
        match (self.collection, restored_hold.left_ms(self.node_state.now_ms())) {
            (Collection::Rollouts | Collection::Evacuations, Some(left_ms)) => {
                sleep(Duration::from_millis(left_ms)).await;
            }

            _ => std::future::pending().await,
        }
    }

    /// Waits until no reader of the current state has reported for so long that this node has to read
    /// it. Readers may report meanwhile, and this node may become one.
    async fn wait_for_readers_silence(&self, propagation_max_ms: u64) {
        loop {
            let readers = self.node_state.store_readers();
            match readers.copy_usable_for_ms(propagation_max_ms, self.node_state.now_ms()) {
                0 => return,
                usable_ms => sleep(Duration::from_millis(usable_ms)).await,
            }
        }
    }

    /// Waits until a watch from a revision misses a change that another node has read for so long
    /// that it is to be repeated. Returns the revision of that change.
    async fn wait_for_missed_change(
        &self,
        read_revision: StoreRevision,
        read_mode: ReadMode,
    ) -> StoreRevision {
        let propagation_max_ms = self.node_state.bounds().propagation_max_ms();
        let mut changes = self.node_state.store_changes.subscribe();
        let mut missed_change = MissedChange::new(read_mode);
        loop {
            let reported =
                changes.borrow_and_update().get(&self.collection).copied().unwrap_or_default();
            let now_ms = self.node_state.now_ms();
            let repeat_in_ms =
                missed_change.repeat_in_ms(read_revision, reported, propagation_max_ms, now_ms);
            match repeat_in_ms {
                Some(0) => return reported,
                // What other nodes report meanwhile does not change when the watch is repeated.
                Some(wait_ms) => sleep(Duration::from_millis(wait_ms)).await,
                None if changes.changed().await.is_err() => return std::future::pending().await,
                None => {}
            }
        }
    }

    /// Waits until the probing watcher's last call succeeded, or the wait for it times out.
    async fn wait_for_probe(&self) {
        if self.collection == PROBE_COLLECTION {
            return;
        }
        let mut probe_results = self.node_state.probe_succeeds.subscribe();
        let probe_succeeded = probe_results.wait_for(|succeeds| *succeeds);
        // On a timeout this watcher retries on its own.
        let _ = timeout(Duration::from_millis(PROBE_WAIT_MS), probe_succeeded).await;
    }

    /// Records an answer that cannot be read. The store is available; what is known of the collection
    /// stays.
    fn record_unreadable(
        &self,
        progress: &mut WatchProgress,
        watched_after: Option<StoreRevision>,
        error: &StoreError,
    ) {
        progress.unreadable_answers = progress.unreadable_answers.saturating_add(1);
        self.record_answer(&mut progress.outage);
        let call = if watched_after.is_some() { "watch" } else { "list" };
        self.node_state.metrics.count(
            LabelledCounter::UnreadableAnswers,
            &[("collection", self.collection.label()), ("call", call)],
        );
        warn!(self.node_state.logger,
            "answer of the store cannot be read, keeping what is known and listing the collection again";
            "collection" => ?self.collection, "call" => call,
            "in_a_row" => progress.unreadable_answers, "error" => %error);
    }

    fn record_failure(&self, outage: &mut Outage, error: &StoreError) {
        let duration = outage.since.map(|since| since.elapsed()).unwrap_or_default();
        // If connections hang instead of failing, nodes detect the outage at different times. Until
        // PEER_DETECTION_MS has passed, another node's report may precede its own detection.
        outage.is_local |= duration >= Duration::from_millis(PEER_DETECTION_MS)
            && self.node_state.peer_reaches_store(PEER_CONTACT_MAX_AGE_MS);
        if self.collection == PROBE_COLLECTION {
            self.node_state.probe_succeeds.send_replace(false);
        }
        if outage.since.is_none() {
            outage.since = Some(Instant::now());
            outage.is_local = false;
            self.node_state.failing_collections.fetch_add(1, Ordering::Relaxed);
            warn!(self.node_state.logger, "store lost"; "collection" => ?self.collection,
                "error" => %error);
        }
    }

    /// Records a call whose answer could be read.
    fn record_success(&self, outage: &mut Outage) {
        self.node_state.store_read_ms.store(self.node_state.now_ms(), Ordering::Relaxed);
        self.record_answer(outage);
    }

    /// Records that the store is available.
    fn record_answer(&self, outage: &mut Outage) {
        if self.collection == PROBE_COLLECTION {
            self.node_state.probe_succeeds.send_replace(true);
        }
        let Some(since) = outage.since.take() else {
            return;
        };
        let duration = since.elapsed();
        self.node_state.failing_collections.fetch_sub(1, Ordering::Relaxed);
        self.node_state.store_outages.send_modify(|outages| *outages += 1);
        info!(self.node_state.logger, "store regained"; "collection" => ?self.collection,
            "after_ms" => u64::try_from(duration.as_millis()).unwrap_or(u64::MAX));
        // Records of live upstreams don't expire in an outage that affects this node only, since
        // the upstreams still reach the store.
        if duration >= Duration::from_millis(EXPIRY_OUTAGE_MIN_MS) && !outage.is_local {
            outage.keep_missing_until_ms =
                self.node_state.now_ms() + self.node_state.bounds().reregistration_ms;
        }
    }

    /// Applies a listing of the whole collection. Resources that it lacks are removed, unless it is
    /// that of a copy.
    fn apply_listing(&self, listing: Listing, reading: Reading, outage: &Outage) {
        let names: HashSet<String> =
            listing.resources.iter().map(|resource| resource.name.clone()).collect();
        let mut unusable = UnusableResources::default();
        for unreadable in listing.unreadable.kept() {
            self.apply_unreadable(unreadable, &mut unusable);
        }
        let unseen = listing.unreadable.count() - listing.unreadable.kept().len();
        // An order that cannot be read has not been taken back. Of an upstream, no record is left that
        // names it.
        let may_include = |name: &str| listing.unreadable.may_include(name);
        match self.collection {
            Collection::Upstreams => {
                let known = self.node_state.fleet().ids();
                let hold_ms = match reading {
                    Reading::Copy => restored_store::MISSING_RECORD_HOLD_MS,
                    Reading::FirstListing | Reading::Listing | Reading::Event => 0,
                };
                let keep_until_ms =
                    outage.keep_missing_until_ms.max(self.node_state.now_ms() + hold_ms);
                for id in known.iter().filter(|id| !names.contains(*id)) {
                    self.remove_upstream(id, keep_until_ms);
                }
            }

            // What a copy lacks was not taken back.
            Collection::Rollouts if reading == Reading::Copy => {}

            Collection::Rollouts => {
                let is_listed = |name: &str| names.contains(name) || may_include(name);
                self.node_state.fleet().rollouts.retain(is_listed);
            }

            Collection::Evacuations => {
                let known = self.node_state.fleet().evacuated().clone();
                let is_kept = |zone: &String| reading == Reading::Copy || may_include(zone);
                self.set_evacuated(
                    names.into_iter().chain(known.into_iter().filter(is_kept)).collect(),
                );
            }

            Collection::Deployment | Collection::Nodes | Collection::RejectedPrompts => {}
        }
        for resource in listing.resources {
            self.apply(resource, reading, &mut unusable);
        }
        unusable.finish(&self.node_state.logger, self.collection, unseen);
        self.node_state.record_collection_read(self.collection);
    }

    /// Applies the current state of one resource.
    fn apply(&self, resource: Resource, reading: Reading, unusable: &mut UnusableResources) {
        match self.collection {
            Collection::Deployment if resource.name == configuration::RESOURCE_NAME => {
                self.apply_deployment(&resource);
            }

            Collection::Upstreams => self.apply_upstream(&resource, reading, unusable),

            Collection::Rollouts => self.apply_rollout(&resource, reading, unusable),

            Collection::Evacuations => self.add_evacuated(&resource.name),

            Collection::Deployment | Collection::Nodes | Collection::RejectedPrompts => {}
        }
    }

    /// Applies a resource that cannot be decoded. It replaces an upstream, which is no longer used. Of
    /// an evacuation, the name is all that is needed. What is known of another resource stays.
    fn apply_unreadable(&self, unreadable: &UnreadableResource, unusable: &mut UnusableResources) {
        if unusable.add() {
            warn!(self.node_state.logger, "resource cannot be read"; "collection" => ?self.collection,
                "name" => unreadable.name.as_deref().unwrap_or_default(),
                "error" => &unreadable.reason);
        }
        match (self.collection, &unreadable.name) {
            (Collection::Upstreams, Some(name)) => {
                let now_ms = self.node_state.now_ms();
                self.node_state.fleet().remove(name, now_ms, now_ms);
            }

            (Collection::Evacuations, Some(name)) => self.add_evacuated(name),

            _ => {}
        }
    }

    fn apply_deployment(&self, resource: &Resource) {
        match configuration::decode(&resource.spec) {
            Ok(deployment) => {
                let version = deployment.version;
                let routes = deployment.routes.len();
                if self.node_state.apply_deployment(deployment) {
                    self.node_state.counters.count(Counter::ConfigAdopted);
                    info!(self.node_state.logger, "configuration adopted"; "version" => version,
                        "revision" => resource.revision.number, "routes" => routes);
                }
            }

            Err(error) => {
                self.node_state.counters.count(Counter::ConfigInvalid);
                warn!(self.node_state.logger, "configuration invalid, keeping the last valid one";
                    "revision" => resource.revision.number, "error" => %error);
            }
        }
    }

    fn apply_upstream(
        &self,
        resource: &Resource,
        reading: Reading,
        unusable: &mut UnusableResources,
    ) {
        match records::decode_upstream(&resource.name, &resource.spec) {
            Ok(record) => {
                let warmup_ms = self.node_state.warmup_ms(&record.pool);
                let now_ms = self.node_state.now_ms();
                let description = format!(
                    "{} {} version {} at {}, cold for {} ms",
                    record.pool, record.zone, record.version, record.address, record.warmup_left_ms
                );
                let is_first_list = reading == Reading::FirstListing;
                let changed = match reading {
                    Reading::Copy => {
                        self.node_state.fleet().upsert_copied(record, warmup_ms, now_ms)
                    }
                    Reading::FirstListing | Reading::Listing | Reading::Event => {
                        self.node_state.fleet().upsert(record, is_first_list, warmup_ms, now_ms)
                    }
                };
                self.node_state.waiting_room.wake();
                leaving::announce(&self.node_state);
                if let Some(change) = changed {
                    info!(self.node_state.logger, "upstream changed"; "upstream" => &resource.name,
                        "change" => change, "revision" => resource.revision.number, "as" => description);
                }
            }

            Err(error) => {
                if unusable.add() {
                    warn!(self.node_state.logger, "upstream record invalid, removing the upstream";
                        "upstream" => &resource.name, "revision" => resource.revision.number,
                        "error" => %error);
                }
                // An invalid record replaces the previous one, so its upstream is no longer used.
                let now_ms = self.node_state.now_ms();
                self.node_state.fleet().remove(&resource.name, now_ms, now_ms);
            }
        }
    }

    fn apply_rollout(
        &self,
        resource: &Resource,
        reading: Reading,
        unusable: &mut UnusableResources,
    ) {
        match rollout::decode_rollout(&resource.name, &resource.spec) {
            Ok(spec) => {
                let state = rollout::decode_rollout_state(&resource.status, &spec.version);
                let description = format!("{spec:?}");
                let resource_revision = (resource.name.clone(), resource.revision);
                let now_ms = self.node_state.now_ms();
                let mut fleet = self.node_state.fleet();
                let is_new = match reading {
                    Reading::Copy => {
                        fleet.rollouts.upsert_copied(spec, resource_revision, state, now_ms)
                    }
                    Reading::FirstListing | Reading::Listing | Reading::Event => {
                        fleet.rollouts.upsert(spec, resource_revision, state, now_ms)
                    }
                };
                drop(fleet);
                info!(self.node_state.logger, "roll-out"; "new" => is_new, "order" => description,
                    "state" => ?state, "revision" => resource.revision.number);
            }

            Err(error) => {
                if unusable.add() {
                    warn!(self.node_state.logger, "roll-out spec invalid, ignoring the change";
                        "name" => &resource.name, "revision" => resource.revision.number,
                        "error" => %error);
                }
            }
        }
    }

    fn remove(&self, name: &str, outage: &Outage) {
        match self.collection {
            // Records expire during an outage of the store; live upstreams write them again after it.
            Collection::Upstreams => self.remove_upstream(name, outage.keep_missing_until_ms),

            Collection::Rollouts => self.node_state.fleet().rollouts.remove(name),

            Collection::Evacuations => {
                let mut zones = self.node_state.fleet().evacuated().clone();
                zones.remove(name);
                self.set_evacuated(zones);
            }

            Collection::Deployment | Collection::Nodes | Collection::RejectedPrompts => {}
        }
    }

    /// Removes an upstream whose record is missing, at a given time or now if that has passed.
    fn remove_upstream(&self, id: &str, at_ms: u64) {
        let now_ms = self.node_state.now_ms();
        let remove_at_ms = at_ms.max(now_ms);
        if self.node_state.fleet().remove(id, remove_at_ms, now_ms) {
            info!(self.node_state.logger,
                "upstream record removed, removing the upstream after gone_in_ms";
                "upstream" => id, "gone_in_ms" => remove_at_ms - now_ms);
            self.node_state.waiting_room.wake();
        }
    }

    fn add_evacuated(&self, zone: &str) {
        let mut zones = self.node_state.fleet().evacuated().clone();
        zones.insert(zone.to_owned());
        self.set_evacuated(zones);
    }

    fn set_evacuated(&self, zones: HashSet<String>) {
        let warmup_ms = self.node_state.warmup_max_ms();
        let now_ms = self.node_state.now_ms();
        let mut fleet = self.node_state.fleet();
        if *fleet.evacuated() != zones {
            info!(self.node_state.logger, "zones out"; "zones" => ?zones);
            fleet.set_evacuated(zones, warmup_ms, now_ms);
            self.node_state.waiting_room.wake();
        }
    }
}

/// Removes upstreams whose records stay missing, until the task is dropped.
pub async fn remove_expired(node_state: Arc<NodeState>) {
    let mut checked_ms = node_state.now_ms();
    loop {
        sleep(Duration::from_millis(EXPIRY_CHECK_INTERVAL_MS)).await;
        let now_ms = node_state.now_ms();
        let since_check_ms = now_ms.saturating_sub(checked_ms);
        checked_ms = now_ms;
        crashes::announce_verdicts(&node_state);
        hedge::record_long_silences(&node_state, since_check_ms);
        pauses::record_ended(&node_state);
        let expired = node_state.fleet().remove_expired(now_ms);
        node_state.fleet().expire_leaving(now_ms);
        leaving::announce(&node_state);
        for id in expired {
            info!(node_state.logger,
                "upstream removed, record still missing after the store outage"; "upstream" => id);
        }
    }
}
