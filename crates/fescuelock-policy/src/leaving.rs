//! Remembers which incarnations of upstreams are leaving.
//!
//! Handles upstreams that shut down while their records still say that they are ready, because the
//! store is unavailable or because they never report it there. An upstream says so in its answers,
//! and it never takes that back, so the fact ends with the incarnation. The memory outlasts the
//! record, which may disappear and return.
//!
//! The fact travels in the reports between nodes. Reports may come twice, late or in any order. They
//! name an incarnation, so they say nothing about a later one.

use std::collections::{BTreeMap, HashSet};

use crate::placement::hash_name;
use crate::upstream::UpstreamRecord;

/// Time for which an incarnation is remembered after its last statement or the end of its record, in
/// milliseconds. It is longer than upstreams take to stop.
pub const RETENTION_MS: i64 = 600_000;

/// Time after an upstream's statement for which it counts on nodes that know it from a report only,
/// in milliseconds. A report that isn't true holds no longer.
pub const REPORTED_RETENTION_MS: i64 = 60_000;

/// Time for which news are repeated in reports, in milliseconds.
const NEWS_MS: i64 = 3_000;

/// Maximum number of incarnations in one report.
pub const REPORTS_MAX: usize = 64;

/// Maximum number of incarnations that are remembered.
pub const ENTRIES_MAX: usize = 4_096;

/// `Incarnation` identifies a process of an upstream, from its start to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incarnation {
    /// Hash that is the same on all nodes.
    pub hash: u64,
    /// Whether the time of the start is known. Without it, a later process of the same service under
    /// the same id and address can't be told from an earlier one.
    pub has_start: bool,
}

impl Incarnation {
    /// Returns the incarnation that a record describes.
    pub fn of(record: &UpstreamRecord) -> Self {
        let UpstreamRecord { id, pool, address, started_at_ms, .. } = record;
        let name = match started_at_ms {
            Some(started_at_ms) => format!("{id}\n{pool}\n{started_at_ms}"),
            None => format!("{id}\n{pool}\n{address}"),
        };
        Incarnation { hash: hash_name(&name), has_start: started_at_ms.is_some() }
    }
}

/// `LeavingSource` tells from where a node knows that an upstream is leaving. A later variant
/// outweighs an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeavingSource {
    /// A report of another node.
    Report,
    /// The upstream's record in the store. The other nodes read it there.
    Store,
    /// An answer of the upstream.
    Answer,
}

/// `LeavingReport` is what a node tells others of an incarnation that is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingReport {
    /// See [`Incarnation::hash`].
    pub incarnation: u64,
    /// Time since the answer that stated it, in milliseconds.
    pub age_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    source: LeavingSource,
    /// Time of the last statement.
    stated_ms: i64,
    /// Time at which the incarnation was last known to have a record.
    listed_ms: i64,
    /// Time at which the fact became known here, if other nodes should be told.
    news_ms: Option<i64>,
    /// Whether the start became known after the last statement, so that it may be that of a later
    /// process.
    is_start_inferred: bool,
}

impl Entry {
    /// Returns whether the entry counts. One that does not is the same as none until it is removed.
    fn holds(&self, now_ms: i64) -> bool {
        now_ms < self.holds_until_ms()
    }

    fn holds_until_ms(&self) -> i64 {
        match self.source {
            LeavingSource::Report => self.stated_ms + REPORTED_RETENTION_MS,
            LeavingSource::Store | LeavingSource::Answer => {
                self.stated_ms.max(self.listed_ms) + RETENTION_MS
            }
        }
    }
}

/// `LeavingUpstreams` holds the incarnations that a node knows to be leaving, by hash.
#[derive(Debug, Default)]
pub struct LeavingUpstreams {
    entries: BTreeMap<u64, Entry>,
    /// Hash from which the next report starts, so that all entries get their turn.
    next_reported: u64,
}

impl LeavingUpstreams {
    /// Records that an incarnation is leaving, by its own answer or its record. Returns whether
    /// that is new.
    ///
    /// `is_listed_leaving` tells whether the store says so too; then the other nodes need no report.
    pub fn record(
        &mut self,
        incarnation: u64,
        source: LeavingSource,
        is_listed_leaving: bool,
        now_ms: u64,
    ) -> bool {
        let now_ms = to_signed(now_ms);
        let entry = Entry {
            source,
            stated_ms: now_ms,
            listed_ms: now_ms,
            news_ms: (!is_listed_leaving).then_some(now_ms),
            is_start_inferred: false,
        };
        match self.entries.get_mut(&incarnation) {
            Some(known) if known.holds(now_ms) => {
                known.source = known.source.max(source);
                known.stated_ms = known.stated_ms.max(now_ms);
                known.is_start_inferred = false;
                known.news_ms = known.news_ms.filter(|_| !is_listed_leaving);
                false
            }
            _ => self.insert(incarnation, entry),
        }
    }

    /// Merges another node's reports. Returns the incarnations that were not known to be leaving.
    ///
    /// `is_listed_leaving` tells whether the store says of an incarnation that it is leaving; then
    /// the report is not passed on.
    pub fn apply_reports(
        &mut self,
        reports: &[LeavingReport],
        is_listed_leaving: impl Fn(u64) -> bool,
        now_ms: u64,
    ) -> Vec<u64> {
        let now_ms = to_signed(now_ms);
        let mut added = Vec::new();
        for report in reports.iter().take(REPORTS_MAX) {
            let stated_ms = now_ms - i64::from(report.age_ms);
            let incarnation = report.incarnation;
            match self.entries.get_mut(&incarnation) {
                Some(known) if known.holds(now_ms) => {
                    known.stated_ms = known.stated_ms.max(stated_ms);
                }

                _ if now_ms >= stated_ms + REPORTED_RETENTION_MS => {}

                _ => {
                    let entry = Entry {
                        source: LeavingSource::Report,
                        stated_ms,
                        listed_ms: stated_ms,
                        news_ms: (!is_listed_leaving(incarnation)).then_some(now_ms),
                        is_start_inferred: false,
                    };
                    if self.insert(incarnation, entry) {
                        added.push(incarnation);
                    }
                }
            }
        }
        added
    }

    /// Returns from where an incarnation is known to be leaving, if it is.
    pub fn source(&self, incarnation: u64, now_ms: u64) -> Option<LeavingSource> {
        let entry = self.entries.get(&incarnation)?;
        entry.holds(to_signed(now_ms)).then_some(entry.source)
    }

    /// Carries what is known of an incarnation over to the hash that it has since its record names
    /// its start.
    pub fn infer_start(&mut self, from: u64, to: u64) {
        if from != to
            && let Some(entry) = self.entries.remove(&from)
        {
            self.entries.entry(to).or_insert(Entry { is_start_inferred: true, ..entry });
        }
    }

    /// Forgets the incarnations whose time has passed, and returns them. `listed` holds those that
    /// have a record with the time of their start; they are remembered.
    pub fn expire(&mut self, listed: &HashSet<u64>, now_ms: u64) -> Vec<u64> {
        let now_ms = to_signed(now_ms);
        let mut expired = Vec::new();
        self.entries.retain(|incarnation, entry| {
            if listed.contains(incarnation) && !entry.is_start_inferred {
                entry.listed_ms = now_ms;
            }
            let is_held = entry.holds(now_ms);
            if !is_held {
                expired.push(*incarnation);
            }
            is_held
        });
        expired
    }

    /// Returns what other nodes should know: news, and in a full report all that was stated recently
    /// enough to count for them.
    pub fn reports(&mut self, is_full: bool, now_ms: u64) -> Vec<LeavingReport> {
        let now_ms = to_signed(now_ms);
        let report = |(&incarnation, entry): (&u64, &Entry)| {
            let news_ms = entry.news_ms?;
            let age_ms = (now_ms - entry.stated_ms).max(0);
            let is_due = is_full || now_ms - news_ms < NEWS_MS;
            (is_due && age_ms < REPORTED_RETENTION_MS).then(|| LeavingReport {
                incarnation,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            })
        };
        let later = self.entries.range(self.next_reported..);
        let entries = later.chain(self.entries.range(..self.next_reported));
        let reports: Vec<LeavingReport> = entries.filter_map(report).take(REPORTS_MAX).collect();
        if let Some(last) = reports.last() {
            self.next_reported = last.incarnation.wrapping_add(1);
        }
        reports
    }

    /// Returns the number of incarnations that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no incarnation is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Inserts an entry. If there are too many, the one that matters least makes room, which may be
    /// the new one. Returns whether the new one was inserted.
    fn insert(&mut self, incarnation: u64, entry: Entry) -> bool {
        let weight = |entry: &Entry| (entry.source, entry.holds_until_ms());
        let is_replaced = self.entries.contains_key(&incarnation);
        if self.entries.len() >= ENTRIES_MAX && !is_replaced {
            let least = self.entries.iter().min_by_key(|(_, known)| weight(known));
            let (&least, known) = least.expect("a full memory has entries");
            if weight(known) > weight(&entry) {
                return false;
            }
            self.entries.remove(&least);
        }
        self.entries.insert(incarnation, entry);
        true
    }
}

fn to_signed(at_ms: u64) -> i64 {
    i64::try_from(at_ms).unwrap_or(i64::MAX)
}
