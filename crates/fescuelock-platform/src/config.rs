//! Follows the rules object and puts each new generation in force.

use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::config::{Adoption, ConfigCell};
use fescuelock_core::counters::{Counter, Counters};
use fescuelock_core::ids::Generation;
use fescuelock_core::rules;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use crate::Result;
use crate::objects::{Object, ObjectVersion, RULES_KEY, SharedStore};

/// `FollowerOptions` configures how the rules are followed.
#[derive(Debug, Clone)]
pub struct FollowerOptions {
    /// Longest time that one watch waits, in milliseconds. Defaults to 2,000.
    ///
    /// A watch that has gone silent is noticed after this time and the time of a call.
    pub watch_wait_ms: u64,
    /// Pause after a failed call, in milliseconds. Defaults to 500.
    pub retry_ms: u64,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        FollowerOptions { watch_wait_ms: 2_000, retry_ms: 500 }
    }
}

/// `Follower` keeps the configuration of one node up to date.
pub struct Follower {
    /// The platform.
    pub store: SharedStore,
    /// Where the configuration is put in force.
    pub config: Arc<ConfigCell>,
    /// Counters of the node.
    pub counters: Counters,
    /// Log of the node.
    pub logger: Logger,
    /// Options.
    pub options: FollowerOptions,
}

impl Follower {
    /// Follows the rules until the task is dropped.
    pub async fn run(self) {
        let mut seen = None;
        let mut reachable = true;
        loop {
            let read = self.read(seen).await;
            if read.is_ok() != reachable {
                reachable = read.is_ok();
                info!(self.logger, "platform reachability changed"; "reachable" => reachable);
            }
            match read {
                Ok(Some(object)) => {
                    seen = seen.max(Some(object.version));
                    self.offer(&object);
                }

                // An object that does not exist yet answers at once.
                Ok(None) if seen.is_none() => self.pause().await,

                Ok(None) => {}

                Err(_) => self.pause().await,
            }
        }
    }

    /// Waits for a change. A watch that fails or falls silent is followed by a plain read.
    async fn read(&self, seen: Option<ObjectVersion>) -> Result<Option<Object>> {
        match self.store.watch(RULES_KEY, seen, self.options.watch_wait_ms).await {
            Ok(read) => Ok(read),
            Err(_) => self.store.get(RULES_KEY).await,
        }
    }

    /// Puts an object's rules in force if they are valid and newer.
    pub fn offer(&self, object: &Object) {
        let ObjectVersion(version) = object.version;
        let generation = Generation(version);
        let text = String::from_utf8_lossy(&object.body);
        let report = rules::check(&text, generation);
        let first_error = report.errors().next().map(ToString::to_string);
        let Some(view) = report.view else {
            self.counters.count(Counter::ConfigInvalid);
            warn!(self.logger, "configuration is not valid";
                "generation" => version, "error" => first_error.unwrap_or_default());
            return;
        };
        match self.config.adopt(view) {
            Adoption::Adopted => {
                self.counters.count(Counter::ConfigAdopted);
                info!(self.logger, "configuration in force"; "generation" => version);
            }

            Adoption::Current => {}

            Adoption::Stale => {
                self.counters.count(Counter::ConfigStale);
                warn!(self.logger, "stale configuration dropped"; "generation" => version);
            }
        }
    }

    async fn pause(&self) {
        sleep(Duration::from_millis(self.options.retry_ms)).await;
    }
}
