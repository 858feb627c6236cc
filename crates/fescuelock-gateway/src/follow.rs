//! Keeps what a node believes up to date with the object store: one task for each collection.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuelock_core::counters::Counter;
use fescuelock_platform::{configuration, orders, records};
use fescuelock_policy::gathering::Gathering;
use fescuelock_store::Error as StoreError;
use fescuelock_store::resources::{Collection, Event, Listing, Resource, SharedResources};
use slog::{info, warn};
use tokio::time::{Instant, sleep, timeout};

use crate::beliefs::Beliefs;

/// Longest wait of one watch, in milliseconds. Each watch is one call, so long ones are cheap;
/// connections that fall silent are noticed by their keep-alive probes.
const WATCH_WAIT_MAX_MS: u64 = 25_000;

/// Share of the store's history that one watch may wait for. A watch that waits for longer than the
/// history reaches back ends with a loss of history, and costs a listing.
const WATCH_HISTORY_SHARE: f64 = 0.8;

/// Shortest and longest pause after a failed call, in milliseconds.
///
/// With the time that upstreams have to write their records again, the longest stays below the time
/// after which a node that was turned away must know who has left.
const RETRY_MS: (u64, u64) = (100, 700);

/// Collection whose follower probes the store in an outage. The others wait until it gets an
/// answer, so that an outage costs a node one call at a time.
const PROBING: Collection = Collection::Upstreams;

/// Longest wait for the probe before another follower tries by itself, in milliseconds. The store
/// may refuse one kind of call and serve another.
const PROBE_WAIT_MS: u64 = 5_000;

/// Length of an outage from which records of upstreams may have lapsed, in milliseconds.
const LAPSE_MIN_MS: u64 = 1_500;

/// Time into an outage after which other nodes have noticed it too if it is one of the store, in
/// milliseconds: keep-alive probes of silent connections and one report.
const OTHERS_KNOW_MS: u64 = 3_600;

/// Age of another node's word on the store that is believed, in milliseconds.
const OTHERS_FRESH_MS: u64 = 800;

/// Interval at which upstreams that are missing are looked for, in milliseconds.
const GONE_INTERVAL_MS: u64 = 100;

/// `Follower` follows one collection.
pub struct Follower {
    /// What the node believes.
    pub beliefs: Arc<Beliefs>,
    /// The store.
    pub store: SharedResources,
    /// The collection.
    pub collection: Collection,
}

/// `Outage` tells since when the store has not answered, and when it last came back from a long
/// outage.
#[derive(Debug, Default)]
struct Outage {
    since: Option<Instant>,
    /// Whether other nodes reached the store meanwhile, so that only this one was turned away.
    is_own: bool,
    lapse_until_ms: u64,
}

impl Follower {
    /// Follows the collection until the task is dropped.
    pub async fn run(self) {
        let mut outage = Outage::default();
        let mut gathering = Gathering::default();
        let mut revision = None;
        let mut failures = 0;
        loop {
            let followed = match revision {
                None => self.list(&mut outage).await,
                Some(after) => self.watch(after, &mut outage, &mut gathering).await,
            };
            match followed {
                Ok(next) => {
                    revision = Some(next);
                    failures = 0;
                }

                Err(StoreError::HistoryLost) => {
                    info!(self.beliefs.logger, "history of the store lost";
                        "collection" => ?self.collection, "revision" => revision);
                    revision = None;
                }

                Err(error) => {
                    self.note_failure(&mut outage, &error);
                    let pause_ms = RETRY_MS.0.saturating_mul(1 << failures.min(8)).min(RETRY_MS.1);
                    let jitter = 0.5 + self.beliefs.draw();
                    sleep(Duration::from_millis((pause_ms as f64 * jitter) as u64)).await;
                    self.await_probe().await;
                    failures += 1;
                }
            }
        }
    }

    async fn list(&self, outage: &mut Outage) -> Result<u64, StoreError> {
        let started = Instant::now();
        let listing = self.store.list(self.collection).await?;
        self.beliefs.note_store_call("list", started);
        self.note_answer(outage);
        let revision = listing.revision;
        self.take_listing(listing, outage);
        Ok(revision)
    }

    async fn watch(
        &self,
        after: u64,
        outage: &mut Outage,
        gathering: &mut Gathering,
    ) -> Result<u64, StoreError> {
        // After a failure a short wait shows soon that the store answers again.
        let history_ms = self.beliefs.bounds().history_ms as f64 * WATCH_HISTORY_SHARE;
        let wait_ms = match outage.since {
            Some(_) => 0,
            None => WATCH_WAIT_MAX_MS.min(history_ms as u64),
        };
        let changes = self.store.watch(self.collection, after, wait_ms).await?;
        self.note_answer(outage);
        let has_changed = !changes.events.is_empty();
        for event in changes.events {
            match event {
                Event::Changed(resource) => self.take(resource, false),
                Event::Removed(name) => self.remove(&name, outage),
            }
        }
        if has_changed {
            let in_force_ms = self.beliefs.bounds().in_force_ms();
            let pause_ms = gathering.pause_ms(in_force_ms, self.beliefs.now_ms());
            sleep(Duration::from_millis(pause_ms)).await;
        }
        Ok(changes.revision.max(after))
    }

    /// Waits while the follower that probes the store gets no answer.
    async fn await_probe(&self) {
        if self.collection == PROBING {
            return;
        }
        let mut answers = self.beliefs.probe_answers.subscribe();
        let answered = answers.wait_for(|answers| *answers);
        // Without an answer in time this follower tries by itself.
        let _ = timeout(Duration::from_millis(PROBE_WAIT_MS), answered).await;
    }

    fn note_failure(&self, outage: &mut Outage, error: &StoreError) {
        let lasted = outage.since.map(|since| since.elapsed()).unwrap_or_default();
        // Nodes notice a silent outage some time after each other.
        outage.is_own |= lasted >= Duration::from_millis(OTHERS_KNOW_MS)
            && self.beliefs.others_reach_store(OTHERS_FRESH_MS);
        if self.collection == PROBING {
            self.beliefs.probe_answers.send_replace(false);
        }
        if outage.since.is_none() {
            outage.since = Some(Instant::now());
            outage.is_own = false;
            self.beliefs.failing.fetch_add(1, Ordering::Relaxed);
            warn!(self.beliefs.logger, "store lost"; "collection" => ?self.collection,
                "error" => %error);
        }
    }

    fn note_answer(&self, outage: &mut Outage) {
        self.beliefs.store_answered_ms.store(self.beliefs.now_ms(), Ordering::Relaxed);
        if self.collection == PROBING {
            self.beliefs.probe_answers.send_replace(true);
        }
        let Some(since) = outage.since.take() else {
            return;
        };
        let lasted = since.elapsed();
        self.beliefs.failing.fetch_sub(1, Ordering::Relaxed);
        info!(self.beliefs.logger, "store regained"; "collection" => ?self.collection,
            "after_ms" => u64::try_from(lasted.as_millis()).unwrap_or(u64::MAX));
        // Records of upstreams that live do not lapse while the store serves others.
        if lasted >= Duration::from_millis(LAPSE_MIN_MS) && !outage.is_own {
            outage.lapse_until_ms = self.beliefs.now_ms() + self.beliefs.bounds().rejoin_ms;
        }
    }

    /// Takes a whole collection: what it lacks is removed.
    fn take_listing(&self, listing: Listing, outage: &Outage) {
        let names: HashSet<String> =
            listing.resources.iter().map(|resource| resource.name.clone()).collect();
        let is_first = !self.beliefs.has_upstreams.load(Ordering::Relaxed);
        match self.collection {
            Collection::Upstreams => {
                let missing = self.beliefs.fleet().ids();
                for id in missing.iter().filter(|id| !names.contains(*id)) {
                    self.remove(id, outage);
                }
            }

            Collection::Rollouts => {
                let names: Vec<String> = names.iter().cloned().collect();
                self.beliefs.fleet().rollouts.retain(&names);
            }

            Collection::Evacuations => self.set_evacuated(names),

            Collection::Deployment | Collection::Nodes => {}
        }
        for resource in listing.resources {
            self.take(resource, is_first);
        }
        if self.collection == Collection::Upstreams {
            self.beliefs.has_upstreams.store(true, Ordering::Relaxed);
        }
    }

    /// Takes one resource as it is now.
    fn take(&self, resource: Resource, is_first_list: bool) {
        match self.collection {
            Collection::Deployment if resource.name == configuration::RESOURCE => {
                self.take_deployment(&resource);
            }

            Collection::Upstreams => self.take_upstream(&resource, is_first_list),

            Collection::Rollouts => self.take_rollout(&resource),

            Collection::Evacuations => {
                let mut zones = self.beliefs.fleet().evacuated().clone();
                zones.insert(resource.name);
                self.set_evacuated(zones);
            }

            Collection::Deployment | Collection::Nodes => {}
        }
    }

    fn take_deployment(&self, resource: &Resource) {
        match configuration::decode(&resource.spec) {
            Ok(deployment) => {
                let version = deployment.version;
                let routes = deployment.routes.len();
                if self.beliefs.adopt(deployment) {
                    self.beliefs.counters.count(Counter::ConfigAdopted);
                    info!(self.beliefs.logger, "configuration adopted"; "version" => version,
                        "revision" => resource.revision, "routes" => routes);
                }
            }

            Err(error) => {
                self.beliefs.counters.count(Counter::ConfigInvalid);
                warn!(self.beliefs.logger, "configuration invalid, the last one stays";
                    "revision" => resource.revision, "error" => %error);
            }
        }
    }

    fn take_upstream(&self, resource: &Resource, is_first_list: bool) {
        match records::decode_upstream(&resource.name, &resource.spec) {
            Ok(record) => {
                let warmup_ms = self.beliefs.warmup_ms(&record.pool);
                let now_ms = self.beliefs.now_ms();
                let described = format!(
                    "{} {} version {} at {}, cold for {} ms",
                    record.pool, record.zone, record.version, record.address, record.cold_left_ms
                );
                let changed = self.beliefs.fleet().upsert(record, is_first_list, warmup_ms, now_ms);
                if let Some(change) = changed {
                    info!(self.beliefs.logger, "upstream changed"; "upstream" => &resource.name,
                        "change" => change, "revision" => resource.revision, "as" => described);
                }
            }

            Err(error) => {
                warn!(self.beliefs.logger, "upstream record unusable";
                    "upstream" => &resource.name, "revision" => resource.revision,
                    "error" => %error);
                // A record that names no upstream to use ends the use of the one before.
                let now_ms = self.beliefs.now_ms();
                self.beliefs.fleet().remove(&resource.name, now_ms, now_ms);
            }
        }
    }

    fn take_rollout(&self, resource: &Resource) {
        match orders::decode_rollout(&resource.name, &resource.spec) {
            Ok(order) => {
                let state = orders::decode_rollout_state(&resource.status, &order.version);
                let described = format!("{order:?}");
                let origin = (resource.name.clone(), resource.revision);
                let now_ms = self.beliefs.now_ms();
                let is_new = self.beliefs.fleet().rollouts.upsert(order, origin, state, now_ms);
                info!(self.beliefs.logger, "roll-out"; "new" => is_new, "order" => described,
                    "state" => ?state, "revision" => resource.revision);
            }

            Err(error) => {
                warn!(self.beliefs.logger, "roll-out unusable"; "name" => &resource.name,
                    "revision" => resource.revision, "error" => %error);
            }
        }
    }

    fn remove(&self, name: &str, outage: &Outage) {
        match self.collection {
            Collection::Upstreams => {
                let now_ms = self.beliefs.now_ms();
                // Records lapse while the store is away; upstreams that live write them again.
                let gone_at_ms = outage.lapse_until_ms.max(now_ms);
                if self.beliefs.fleet().remove(name, gone_at_ms, now_ms) {
                    info!(self.beliefs.logger, "upstream missing"; "upstream" => name,
                        "gone_in_ms" => gone_at_ms - now_ms);
                }
            }

            Collection::Rollouts => self.beliefs.fleet().rollouts.remove(name),

            Collection::Evacuations => {
                let mut zones = self.beliefs.fleet().evacuated().clone();
                zones.remove(name);
                self.set_evacuated(zones);
            }

            Collection::Deployment | Collection::Nodes => {}
        }
    }

    fn set_evacuated(&self, zones: HashSet<String>) {
        let warmup_ms = self.beliefs.warmup_max_ms();
        let now_ms = self.beliefs.now_ms();
        let mut fleet = self.beliefs.fleet();
        if *fleet.evacuated() != zones {
            info!(self.beliefs.logger, "zones out"; "zones" => ?zones);
            fleet.set_evacuated(zones, warmup_ms, now_ms);
        }
    }
}

/// Drops upstreams that stay missing, until the task is dropped.
pub async fn drop_gone(beliefs: Arc<Beliefs>) {
    loop {
        sleep(Duration::from_millis(GONE_INTERVAL_MS)).await;
        let now_ms = beliefs.now_ms();
        let gone = beliefs.fleet().drop_gone(now_ms);
        for id in gone {
            info!(beliefs.logger, "upstream gone"; "upstream" => id);
        }
    }
}
