//! Watches the rules object and activates each new generation.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fescuelock_core::config::{Adoption, ConfigCell};
use fescuelock_core::counters::{Counter, Counters};
use fescuelock_core::ids::Generation;
use fescuelock_core::rules::{self, Patch};
use slog::{Logger, info, warn};
use tokio::time::sleep;

use crate::Result;
use crate::objects::{ObjectVersion, PATCH_KEY, RULES_KEY, SharedStore};

/// `RulesWatcherOptions` configures the watch of the rules.
#[derive(Debug, Clone)]
pub struct RulesWatcherOptions {
    /// Maximum duration of one long poll, in milliseconds. Defaults to 2,000.
    ///
    /// A poll that gets no response is detected after this time plus the call timeout.
    pub watch_wait_ms: u64,
    /// Initial delay after a failed call, in milliseconds. It doubles with each consecutive
    /// failure. Defaults to 250.
    pub retry_ms: u64,
    /// Maximum delay between failed calls, in milliseconds. Defaults to 1,000.
    pub retry_max_ms: u64,
}

impl Default for RulesWatcherOptions {
    fn default() -> Self {
        RulesWatcherOptions { watch_wait_ms: 2_000, retry_ms: 250, retry_max_ms: 1_000 }
    }
}

/// `RulesLoader` activates rules, received from the platform or from another node.
pub struct RulesLoader {
    config: Arc<ConfigCell>,
    counters: Counters,
    logger: Logger,
    text: Mutex<Option<RulesText>>,
    is_reachable: AtomicBool,
}

/// `RulesText` is the source text of one generation of the rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RulesText {
    /// The generation.
    pub generation: u64,
    /// The text.
    pub text: String,
}

/// `SeenVersions` holds the newest versions of the objects that have been read.
#[derive(Debug, Default)]
struct SeenVersions {
    rules: Option<ObjectVersion>,
    patch: Option<ObjectVersion>,
}

/// `RulesWatcher` keeps the configuration of one node current.
pub struct RulesWatcher {
    /// The platform.
    pub store: SharedStore,
    /// Activates the rules.
    pub rules_loader: Arc<RulesLoader>,
    /// Options.
    pub options: RulesWatcherOptions,
}

impl RulesWatcher {
    /// Watches the rules until the task is aborted.
    pub async fn run(self) {
        let mut seen = SeenVersions::default();
        let mut failures = 0;
        loop {
            let read = match failures {
                0 => self.wait_for_change(&mut seen).await,
                // After a failure, a call without waiting detects at once that the platform is
                // available again; a long poll would delay that.
                _ => self.read_rules(&mut seen, 0).await,
            };
            self.rules_loader.set_reachable(read.is_ok());
            match read {
                // While no rules exist, the calls return at once, so the loop needs a delay.
                Ok(()) if seen.rules.is_none() => self.back_off(0).await,

                Ok(()) => failures = 0,

                Err(_) => {
                    self.back_off(failures).await;
                    failures += 1;
                }
            }
        }
    }

    /// Waits for a patch, and reads the full rules if none arrives or it cannot be applied.
    async fn wait_for_change(&self, seen: &mut SeenVersions) -> Result<()> {
        if seen.rules.is_none() {
            return self.read_rules(seen, 0).await;
        }
        // If the watch fails or times out, the rules are read directly.
        let watched = self.store.watch(PATCH_KEY, seen.patch, self.options.watch_wait_ms).await;
        let Ok(Some(object)) = watched else {
            let without_patch = matches!(watched, Ok(None)) && seen.patch.is_none();
            let wait_ms = if without_patch { self.options.watch_wait_ms } else { 0 };
            return self.read_rules(seen, wait_ms).await;
        };
        seen.patch = seen.patch.max(Some(object.version));
        match self.rules_loader.offer_patch(&object.body) {
            Some(generation) => {
                seen.rules = seen.rules.max(Some(ObjectVersion(generation)));
                Ok(())
            }

            None => self.read_rules(seen, 0).await,
        }
    }

    /// Reads the full rules if they have changed or change within `wait_ms`.
    async fn read_rules(&self, seen: &mut SeenVersions, wait_ms: u64) -> Result<()> {
        let watched = self.store.watch(RULES_KEY, seen.rules, wait_ms).await;
        let read = match watched {
            Ok(read) => read,
            Err(_) => self.store.get(RULES_KEY).await?,
        };
        if let Some(object) = read {
            seen.rules = seen.rules.max(Some(object.version));
            let text = String::from_utf8_lossy(&object.body);
            self.rules_loader.offer(object.version.0, &text);
        }
        Ok(())
    }

    async fn back_off(&self, doublings: u32) {
        let pause_ms = self.options.retry_ms.saturating_mul(1 << doublings.min(16));
        sleep(Duration::from_millis(pause_ms.min(self.options.retry_max_ms))).await;
    }
}

impl RulesLoader {
    /// Creates the component that activates the rules of one node.
    pub fn new(config: Arc<ConfigCell>, counters: Counters, logger: Logger) -> Self {
        let is_reachable = AtomicBool::new(true);
        RulesLoader { config, counters, logger, text: Mutex::default(), is_reachable }
    }

    /// Returns the active rules, or `None` before the first.
    pub fn current(&self) -> Option<RulesText> {
        self.text.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether the last read of the platform succeeded.
    pub fn is_reachable(&self) -> bool {
        self.is_reachable.load(Ordering::Relaxed)
    }

    fn set_reachable(&self, is_reachable: bool) {
        if self.is_reachable.swap(is_reachable, Ordering::Relaxed) != is_reachable {
            info!(self.logger, "reachability of the platform changed"; "reachable" => is_reachable);
        }
    }

    /// Activates rules if they are valid and newer than the active ones.
    pub fn offer(&self, version: u64, text: &str) {
        let generation = Generation(version);
        // Rules that are not newer need not be compiled.
        let expected = self.config.preview_adoption(generation);
        if expected != Adoption::Adopted {
            return self.record_adoption(expected, version);
        }
        let report = rules::check(text, generation);
        let first_error = report.errors().next().map(ToString::to_string);
        let Some(snapshot) = report.snapshot else {
            self.counters.count(Counter::ConfigInvalid);
            warn!(self.logger, "invalid configuration; keeping the active one";
                "generation" => version, "error" => first_error.unwrap_or_default());
            return;
        };
        let adopted = self.config.adopt(snapshot);
        if adopted == Adoption::Adopted {
            self.keep_text(RulesText { generation: version, text: text.to_owned() });
        }
        self.record_adoption(adopted, version);
    }

    fn record_adoption(&self, adoption: Adoption, version: u64) {
        match adoption {
            Adoption::Adopted => {
                self.counters.count(Counter::ConfigAdopted);
                info!(self.logger, "activated a new configuration"; "generation" => version);
            }

            Adoption::Current => {}

            Adoption::Stale => self.counters.count(Counter::ConfigStale),
        }
    }

    /// Applies a patch to the active rules and offers the result. Returns its generation, or the
    /// active one if that is as new.
    ///
    /// Returns `None` if the patch is not based on the active rules.
    fn offer_patch(&self, body: &[u8]) -> Option<u64> {
        let patch: Patch = serde_json::from_slice(body).ok()?;
        let current = self.current()?;
        if patch.generation <= current.generation {
            return Some(current.generation);
        }
        if patch.base != current.generation {
            return None;
        }
        let text = patch.apply(&current.text)?;
        self.offer(patch.generation, &text);
        self.counters.count(Counter::ConfigPatched);
        Some(patch.generation)
    }

    /// Keeps the text of the active rules, as the base of patches and for other nodes.
    fn keep_text(&self, rules: RulesText) {
        let mut text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        let is_newer = text.as_ref().is_none_or(|kept| kept.generation < rules.generation);
        if is_newer {
            *text = Some(rules);
        }
    }
}
