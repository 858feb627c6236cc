//! Ordered, bounded queue of the requests of one service that wait for an upstream with capacity.
//!
//! Handles load above the capacity of a service's upstreams for up to some seconds. Room goes to the
//! request that needs it first, and not to the one that happens to ask at the right moment.
//!
//! Requests of teams over their fair share go last. Then requests are ordered by rank, callers that
//! return after a refusal go before new ones, and the earlier latest useful start and the longer wait
//! decide. All operations cost O(log n) in the number of entries, and are linear in the number of groups
//! of entries with the same rank, team and class.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Most entries that one call of [`WaitingQueue::take`] asks about. Each asks for a placement, which may
/// take 50 microseconds; entries of one class count once.
const START_CHECKS_MAX: usize = 8;

/// Most entries that one new entry may displace.
const DISPLACED_MAX: usize = 8;

/// `WaitingKey` identifies an entry of a [`WaitingQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitingKey(u64);

/// `WaitingEntry` describes a waiting request. The caller keeps what it stands for.
#[derive(Debug, Clone, Copy)]
pub struct WaitingEntry {
    /// Rank of the request. 0 is the highest.
    pub rank: u32,
    /// Hash of the team's name.
    pub team: u64,
    /// Class of the request: if one request of a class finds no upstream, no other one does.
    pub class: u64,
    /// Whether the caller returns after a refusal.
    pub is_returning: bool,
    /// Latest start that meets the latency objective, in milliseconds.
    pub target_start_ms: u64,
    /// Latest start of any use, in milliseconds. The entry expires after it.
    pub last_start_ms: u64,
    /// Memory that the request holds, in bytes.
    pub bytes: usize,
}

/// `WaitingLimits` bounds a queue, and tells when a new entry is expected to start.
#[derive(Debug, Clone)]
pub struct WaitingLimits {
    /// Most entries. Defaults to 512: a third of the requests that a node holds at once.
    pub entries_max: usize,
    /// Most bytes that all entries together hold. Defaults to 8 MiB, a fifteenth of the memory of the
    /// smallest node.
    pub bytes_max: usize,
    /// Current time, in milliseconds.
    pub now_ms: u64,
    /// Expected time until an upstream has free capacity, in milliseconds.
    pub first_room_ms: f64,
    /// Expected time between two starts at this node, in milliseconds, if requests have waited lately.
    pub room_interval_ms: Option<f64>,
}

impl Default for WaitingLimits {
    fn default() -> Self {
        WaitingLimits {
            entries_max: 512,
            bytes_max: 8 << 20,
            now_ms: 0,
            first_room_ms: 0.0,
            room_interval_ms: None,
        }
    }
}

/// `Offer` is the result of offering an entry to a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer {
    /// The entry waits.
    Queued(WaitingKey),
    /// The entry waits in place of entries of a lower rank or of teams over their share, which have been
    /// removed.
    Displaced(WaitingKey, Vec<WaitingKey>),
    /// The entry does not wait.
    Refused(OfferRefusal),
}

/// `OfferRefusal` is the reason why an entry does not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferRefusal {
    /// It is not expected to start in time.
    TooLate,
    /// The queue is full of entries that go before it or are its equals.
    QueueFull,
}

/// Order of entries of one group: whether it is new, its latest useful start in milliseconds, and the
/// number of the entry.
type Order = (bool, u64, u64);

/// `GroupKey` identifies the entries with the same rank, team and class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey {
    rank: u32,
    team: u64,
    class: u64,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    entry: WaitingEntry,
    /// Whether the start that meets the objective has passed.
    is_late: bool,
}

/// `WaitingQueue` orders the waiting requests of one service.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    slots: HashMap<u64, Slot>,
    groups: BTreeMap<GroupKey, BTreeSet<Order>>,
    /// Times at which the latest useful start of an entry passes, in milliseconds, by entry.
    due: BTreeSet<(u64, u64)>,
    over_share: HashSet<u64>,
    bytes: usize,
    next_number: u64,
}

impl WaitingEntry {
    fn group(&self) -> GroupKey {
        GroupKey { rank: self.rank, team: self.team, class: self.class }
    }
}

impl Slot {
    fn start_ms(&self) -> u64 {
        match self.is_late {
            true => self.entry.last_start_ms,
            false => self.entry.target_start_ms.min(self.entry.last_start_ms),
        }
    }

    fn order(&self, number: u64) -> Order {
        (!self.entry.is_returning, self.start_ms(), number)
    }
}

impl WaitingQueue {
    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the teams with waiting entries, in ascending order.
    pub fn teams(&self) -> Vec<u64> {
        let teams: BTreeSet<u64> = self.groups.keys().map(|group| group.team).collect();
        teams.into_iter().collect()
    }

    /// Sets the teams whose entries go last because the teams are over their fair share.
    pub fn set_over_share(&mut self, teams: impl IntoIterator<Item = u64>) {
        self.over_share = teams.into_iter().collect();
    }

    /// Returns the number of entries that go before a new entry, or are its equals in team share and rank.
    pub fn count_ahead(&self, entry: &WaitingEntry) -> usize {
        let precedence = self.precedence(&entry.group());
        let ahead = self.groups.iter().filter(|(group, _)| self.precedence(group) <= precedence);
        ahead.map(|(_, orders)| orders.len()).sum()
    }

    /// Returns the expected time until a new entry starts, in milliseconds.
    pub fn expected_wait_ms(&self, entry: &WaitingEntry, limits: &WaitingLimits) -> f64 {
        match (self.count_ahead(entry), limits.room_interval_ms) {
            (0, Some(interval_ms)) => interval_ms.min(limits.first_room_ms),
            (ahead, Some(interval_ms)) => (ahead + 1) as f64 * interval_ms,
            // Without any start to learn from, waiting shows how fast room comes.
            (_, None) => limits.first_room_ms,
        }
    }

    /// Adds an entry if it is expected to start in time and there is space. Entries of a lower rank or of
    /// teams over their share make space for it; its equals do not.
    pub fn offer(&mut self, entry: WaitingEntry, limits: &WaitingLimits) -> Offer {
        let expected_start_ms = limits.now_ms as f64 + self.expected_wait_ms(&entry, limits);
        if expected_start_ms > entry.last_start_ms as f64 {
            return Offer::Refused(OfferRefusal::TooLate);
        }
        let Some(displaced) = self.find_displaced(&entry, limits) else {
            return Offer::Refused(OfferRefusal::QueueFull);
        };
        for &key in &displaced {
            self.remove(key);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.bytes += entry.bytes;
        self.insert(number, Slot { entry, is_late: false });
        match displaced.is_empty() {
            true => Offer::Queued(WaitingKey(number)),
            false => Offer::Displaced(WaitingKey(number), displaced),
        }
    }

    /// Removes and returns the first entry of the order for which `can_start` returns true. Entries whose
    /// latest start has passed are left for [`WaitingQueue::expire`].
    pub fn take(
        &mut self,
        now_ms: u64,
        mut can_start: impl FnMut(WaitingKey, &WaitingEntry) -> bool,
    ) -> Option<WaitingKey> {
        self.advance(now_ms);
        let mut heads: Vec<((bool, u32), Order, u64)> = self
            .groups
            .iter()
            .filter_map(|(group, orders)| {
                let mut orders = orders.iter();
                let head =
                    orders.find(|order| self.slots[&order.2].entry.last_start_ms >= now_ms)?;
                Some((self.precedence(group), *head, group.class))
            })
            .collect();
        heads.sort_unstable();
        let mut full_classes: Vec<u64> = Vec::new();
        for (_, order, class) in heads {
            if full_classes.contains(&class) {
                continue;
            }
            if full_classes.len() >= START_CHECKS_MAX {
                break;
            }
            let key = WaitingKey(order.2);
            if can_start(key, &self.slots[&order.2].entry) {
                self.remove(key);
                return Some(key);
            }
            full_classes.push(class);
        }
        None
    }

    /// Removes and returns the entries that can no longer start in time.
    pub fn expire(&mut self, now_ms: u64) -> Vec<WaitingKey> {
        self.advance(now_ms);
        let due = self.due.iter().take_while(|(due_ms, _)| *due_ms < now_ms);
        let expired: Vec<WaitingKey> = due.map(|&(_, number)| WaitingKey(number)).collect();
        expired.iter().for_each(|&key| self.remove(key));
        expired
    }

    /// Returns the time after which the next entry is late or expires, in milliseconds.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.due.first().map(|&(due_ms, _)| due_ms)
    }

    /// Removes an entry, if it still waits.
    pub fn remove(&mut self, key: WaitingKey) {
        if let Some(slot) = self.detach(key.0) {
            self.bytes -= slot.entry.bytes;
        }
    }

    /// Returns what is compared first: whether the team is over its share, and the rank.
    fn precedence(&self, group: &GroupKey) -> (bool, u32) {
        (self.over_share.contains(&group.team), group.rank)
    }

    /// Returns the entries that have to make space for a new one, or `None` if they would not suffice.
    fn find_displaced(
        &self,
        entry: &WaitingEntry,
        limits: &WaitingLimits,
    ) -> Option<Vec<WaitingKey>> {
        let mut excess_entries = (self.len() + 1).saturating_sub(limits.entries_max);
        let mut excess_bytes = (self.bytes + entry.bytes).saturating_sub(limits.bytes_max);
        if excess_entries == 0 && excess_bytes == 0 {
            return Some(Vec::new());
        }
        let precedence = self.precedence(&entry.group());
        let lower = self.groups.iter().filter(|(group, _)| self.precedence(group) > precedence);
        let mut candidates: Vec<((bool, u32), Order)> = lower
            .flat_map(|(group, orders)| {
                let last = orders.iter().rev().take(DISPLACED_MAX);
                last.map(|&order| (self.precedence(group), order))
            })
            .collect();
        candidates.sort_unstable();
        let mut displaced = Vec::new();
        for &(_, (_, _, number)) in candidates.iter().rev().take(DISPLACED_MAX) {
            displaced.push(WaitingKey(number));
            excess_entries = excess_entries.saturating_sub(1);
            excess_bytes = excess_bytes.saturating_sub(self.slots[&number].entry.bytes);
            if excess_entries == 0 && excess_bytes == 0 {
                return Some(displaced);
            }
        }
        None
    }

    /// Orders the entries by their last start once the start that meets the objective has passed.
    fn advance(&mut self, now_ms: u64) {
        let due = self.due.iter().take_while(|(due_ms, _)| *due_ms < now_ms);
        let late: Vec<u64> = due
            .map(|&(_, number)| number)
            .filter(|number| {
                let slot = &self.slots[number];
                !slot.is_late && slot.entry.last_start_ms > slot.start_ms()
            })
            .collect();
        for number in late {
            if let Some(slot) = self.detach(number) {
                self.insert(number, Slot { is_late: true, ..slot });
            }
        }
    }

    fn insert(&mut self, number: u64, slot: Slot) {
        self.due.insert((slot.start_ms(), number));
        self.groups.entry(slot.entry.group()).or_default().insert(slot.order(number));
        self.slots.insert(number, slot);
    }

    fn detach(&mut self, number: u64) -> Option<Slot> {
        let slot = self.slots.remove(&number)?;
        self.due.remove(&(slot.start_ms(), number));
        let group = slot.entry.group();
        if let Some(orders) = self.groups.get_mut(&group) {
            orders.remove(&slot.order(number));
            if orders.is_empty() {
                self.groups.remove(&group);
            }
        }
        Some(slot)
    }
}

/// Weight of a start in the moving average of [`RoomInterval`].
const INTERVAL_WEIGHT: f64 = 0.1;

/// Time without a start of a waiting request after which the interval is forgotten, in milliseconds.
/// Loads change within seconds, and a request without an estimate is queued.
const INTERVAL_RETENTION_MS: u64 = 5_000;

/// Number of mean intervals without a start after which the current one counts.
const OVERDUE_INTERVALS: f64 = 4.0;

/// `RoomInterval` learns the time between two starts at this node while requests wait.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoomInterval {
    mean_ms: f64,
    /// Time of the last sample, in milliseconds, if there was any.
    sampled_ms: Option<u64>,
    /// Time of the last start, in milliseconds, if requests have waited since.
    last_start_ms: Option<u64>,
}

impl RoomInterval {
    /// Records the start of a request. `is_contended` tells whether others wait.
    pub fn record_start(&mut self, is_contended: bool, now_ms: u64) {
        let known = self.interval_ms(now_ms).is_some();
        if let Some(last_ms) = self.last_start_ms {
            let sample_ms = now_ms.saturating_sub(last_ms) as f64;
            let weight = if known { INTERVAL_WEIGHT } else { 1.0 };
            self.mean_ms += weight * (sample_ms - self.mean_ms);
            self.sampled_ms = Some(now_ms);
        }
        // The time until the next start says nothing about room if nobody waits for it.
        self.last_start_ms = is_contended.then_some(now_ms);
    }

    /// Returns the expected time between two starts, in milliseconds, if requests have waited lately.
    pub fn interval_ms(&self, now_ms: u64) -> Option<f64> {
        let age_ms = now_ms.saturating_sub(self.sampled_ms?);
        let since_start_ms = self.last_start_ms.map_or(0, |last_ms| now_ms.saturating_sub(last_ms));
        match since_start_ms as f64 {
            _ if age_ms >= INTERVAL_RETENTION_MS => None,
            since_start_ms if since_start_ms > OVERDUE_INTERVALS * self.mean_ms.max(1.0) => {
                Some(since_start_ms)
            }
            _ => Some(self.mean_ms),
        }
    }
}
