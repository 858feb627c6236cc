//! Evidence that a prompt segment crashes the engines that begin a response to it.
//!
//! Handles requests of one kind that crash one engine after the other. Each crash interrupts many
//! requests, and most of them are innocent, so a segment is judged by what lived rather than by
//! what died: a response that began on an engine clears all segments of its prompt, as a crashing
//! segment ends every engine before that. What remains are segments whose requests were waiting
//! for their first events each time an engine ended. Of these, the fewest that explain all crashes
//! are rejected; segments that only accompanied them are not. Segments that were in the same
//! crashes cannot be told apart, so only prompts that hold all of them are rejected.
//!
//! Each node records what it sees and merges what others report, so all nodes come to the same
//! verdict. Times are exchanged as ages, since clocks differ between nodes.

mod exchange;

use std::collections::{BTreeSet, HashMap};

pub use exchange::{RejectionRecord, ReportedCrash, SegmentReport};

use crate::prompt::Prompt;

/// Number of events after which a response counts as begun. A crash may follow the first event.
pub const BEGUN_EVENTS: u64 = 2;

/// Number of engines that one request may end before it counts as the cause and is not sent again.
pub const CRASHES_PER_REQUEST_MAX: u32 = 2;

/// Crashes at which a segment is rejected if at least [`REPORTERS_MIN`] nodes saw them.
const REJECTION_CRASHES: usize = 3;

/// Crashes at which a segment is rejected if a single node saw all of them. Its own network may be
/// the cause, so it needs more evidence, but the segment must be rejected before the fifth crash.
const REJECTION_CRASHES_ONE_NODE: usize = 4;

/// Number of nodes that must have seen crashes for a rejection after [`REJECTION_CRASHES`].
const REPORTERS_MIN: usize = 2;

/// Time within which the ends of several engines count as one crash, in milliseconds. Engines that
/// end together have a common cause, such as the loss of an availability zone.
const COMMON_CAUSE_MS: i64 = 200;

/// Time before a crash within which a begun response still speaks for a segment, in milliseconds.
const RECENTLY_BEGUN_MS: i64 = 10_000;

/// Time after the last crash until one request is sent as a trial, in milliseconds.
const TRIAL_DELAY_MS: i64 = 20_000;

/// Factor by which the delay of the trial grows with each further crash.
const TRIAL_DELAY_FACTOR: i64 = 3;

/// Longest delay of a trial, in milliseconds.
const TRIAL_DELAY_MAX_MS: i64 = 600_000;

/// Shortest Retry-After time of a rejected request, in milliseconds. When a trial is due, a few
/// seconds pass until another node makes it and its result is known.
const RETRY_AFTER_MIN_MS: u64 = 5_000;

/// Time by which each further rank is behind in taking an overdue trial, in milliseconds.
const TRIAL_RANK_DELAY_MS: i64 = 10_000;

/// Crashes after which no further trials are made: of the three requests that may reach engines
/// after the fifth crash, two are spent on trials.
const TRIAL_CRASHES_MAX: usize = 7;

/// Time after the last request with a rejected segment until the verdict ends, in milliseconds.
const VERDICT_RETENTION_MS: i64 = 120_000;

/// Time after the last crash until a segment that was not rejected is no longer suspected, in
/// milliseconds.
const SUSPICION_RETENTION_MS: i64 = 30_000;

/// Time for which news about a segment is repeated in reports, in milliseconds.
const NEWS_MS: i64 = 3_000;

/// Maximum number of crashes kept for one segment.
const CRASHES_MAX: usize = 16;

/// Maximum number of segments with crashes.
const SEGMENTS_MAX: usize = 256;

/// Maximum number of segments whose last begun response is remembered.
const BEGUN_SEGMENTS_MAX: usize = 4_096;

/// `SegmentState` is the verdict on a prompt segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SegmentState {
    /// Nothing speaks against the segment.
    Clear,
    /// Engines ended while requests with the segment waited for their first events.
    Suspected,
    /// The segment crashes engines.
    Rejected,
}

/// `PromptVerdict` tells how a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptVerdict {
    /// To any engine.
    Allowed,
    /// Only to the engine that all nodes choose for the suspected segment, so that at most one
    /// engine at a time is at risk.
    Careful {
        /// The suspected segment.
        segment: u64,
    },
    /// To none.
    Rejected {
        /// The rejected segment.
        segment: u64,
        /// Time until the next trial of the segment or the earliest end of the verdict, in
        /// milliseconds.
        retry_after_ms: u64,
    },
}

/// `Crash` is the end of an engine while a request waited there for its first events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the engine's incarnation.
    pub engine: u64,
    /// Hash of the name of the node that saw the crash.
    pub reporter: u64,
}

/// `SegmentChange` is a change of the verdict on a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentChange {
    /// Id of the segment.
    pub segment: u64,
    /// New verdict.
    pub state: SegmentState,
    /// Number of crashes that speak against the segment.
    pub crashes: usize,
    /// Number of nodes that saw them.
    pub reporters: usize,
    /// Other segments that cannot be told apart from this one. Only prompts that hold all of them
    /// are rejected.
    pub inseparable: Vec<u64>,
}

/// `Suspect` is the evidence on one segment.
#[derive(Debug)]
struct Suspect {
    crashes: Vec<(Crash, i64)>,
    last_crash_ms: i64,
    last_requested_ms: i64,
    trial_ms: Option<i64>,
    last_news_ms: i64,
    announced: SegmentState,
}

/// `Tally` counts the crashes that speak against a segment.
#[derive(Debug, Clone, Default)]
struct Tally {
    /// Number of crashes. Engines that ended within [`COMMON_CAUSE_MS`] count as one.
    crashes: usize,
    reporters: usize,
    first_ms: i64,
    /// Engines that ended.
    engines: BTreeSet<u64>,
}

/// `CrashEvidence` holds a node's evidence on prompt segments.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    node: u64,
    /// Time at which a response with a segment last began, by segment.
    begun_ms: HashMap<u64, i64>,
    suspects: HashMap<u64, Suspect>,
    /// Number of nodes in the fleet, including this one.
    nodes: usize,
    /// Groups of segments; prompts that hold all segments of a group are rejected.
    rejected: Vec<BTreeSet<u64>>,
    /// Segments that are suspected.
    suspected: BTreeSet<u64>,
}

impl CrashEvidence {
    /// Builds the empty evidence of a node, given the hash of its name.
    pub fn new(node: u64) -> Self {
        CrashEvidence { node, nodes: 1, ..CrashEvidence::default() }
    }

    /// Sets the number of nodes in the fleet, including this one.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// Records that a response to a prompt has begun and its engine lives. Clears the segments of
    /// the prompt, and returns whether one of them was suspected.
    pub fn record_begun(&mut self, prompt: &Prompt, now_ms: u64) -> bool {
        let now_ms = to_signed(now_ms);
        let mut has_news = false;
        for segment in prompt.shared_segments() {
            let previous_ms = self.begun_ms.get(&segment.id).copied();
            self.set_begun(segment.id, now_ms);
            match self.suspects.get_mut(&segment.id) {
                Some(suspect) if previous_ms < Some(suspect.last_crash_ms) => {
                    suspect.last_news_ms = now_ms;
                    has_news = true;
                }

                _ => {}
            }
        }
        if has_news {
            self.judge();
        }
        has_news
    }

    /// Records that an engine ended while a request of this node waited there for its first events.
    pub fn record_crash(&mut self, engine: u64, prompt: &Prompt, now_ms: u64) {
        let now_ms = to_signed(now_ms);
        let crash = Crash { engine, reporter: self.node };
        for segment in prompt.shared_segments() {
            let suspect = self.suspect_mut(segment.id, now_ms);
            suspect.last_requested_ms = now_ms;
            suspect.add_crash(crash, now_ms, now_ms);
        }
        self.judge();
    }

    /// Returns how a request with a prompt may be sent.
    pub fn verdict(&self, prompt: &Prompt, now_ms: u64) -> PromptVerdict {
        if self.suspects.is_empty() {
            return PromptVerdict::Allowed;
        }
        let segments = prompt.shared_segments();
        let holds = |id: &u64| segments.iter().any(|segment| segment.id == *id);
        if let Some(group) = self.rejected.iter().find(|group| group.iter().all(holds)) {
            let segment = group.first().copied().unwrap_or_default();
            let trial_in_ms = match self.may_be_tried(segment) {
                true => self.trial_due_ms(segment) - to_signed(now_ms),
                false => VERDICT_RETENTION_MS,
            };
            let retry_after_ms = u64::try_from(trial_in_ms).unwrap_or(0).max(RETRY_AFTER_MIN_MS);
            return PromptVerdict::Rejected { segment, retry_after_ms };
        }
        // The last segments of a prompt are the most specific ones.
        let ids = segments.iter().rev().map(|segment| segment.id);
        match ids.max_by_key(|id| self.state(*id)) {
            Some(segment) if self.state(segment) > SegmentState::Clear => {
                PromptVerdict::Careful { segment }
            }

            _ => PromptVerdict::Allowed,
        }
    }

    /// Records that a request was rejected for a segment, which prolongs the verdict on the segment
    /// and on those that cannot be told apart from it.
    pub fn record_rejected_request(&mut self, segment: u64, now_ms: u64) {
        let mut segments = self.inseparable(segment);
        segments.push(segment);
        for segment in segments {
            if let Some(suspect) = self.suspects.get_mut(&segment) {
                suspect.last_requested_ms = to_signed(now_ms);
            }
        }
    }

    /// Takes the trial of a rejected segment: one request that may be sent to find out whether the
    /// segment still crashes engines. `rank` is this node's rank for the segment among all nodes.
    ///
    /// Returns whether this node may send one.
    pub fn take_trial(&mut self, segment: u64, rank: usize, now_ms: u64) -> bool {
        let now_ms = to_signed(now_ms);
        let rank_delay_ms = TRIAL_RANK_DELAY_MS.saturating_mul(i64::try_from(rank).unwrap_or(100));
        if !self.may_be_tried(segment)
            || now_ms < self.trial_due_ms(segment).saturating_add(rank_delay_ms)
        {
            return false;
        }
        let Some(suspect) = self.suspects.get_mut(&segment) else {
            return false;
        };
        suspect.trial_ms = Some(now_ms);
        suspect.last_news_ms = now_ms;
        true
    }

    /// Drops evidence that has expired, and returns the verdicts that have changed since the last
    /// call.
    pub fn take_changes(&mut self, now_ms: u64) -> Vec<SegmentChange> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let now_ms = to_signed(now_ms);
        self.judge();
        let segments: Vec<u64> = self.suspects.keys().copied().collect();
        let mut changes = Vec::new();
        for segment in segments {
            let is_expired = self.is_expired(segment, now_ms);
            let state = match is_expired {
                true => SegmentState::Clear,
                false => self.state(segment),
            };
            let tally = self.tally(segment, &BTreeSet::new());
            let suspect = self.suspects.get_mut(&segment).expect("the segment was listed above");
            if suspect.announced != state {
                suspect.announced = state;
                changes.push(SegmentChange {
                    segment,
                    state,
                    crashes: tally.crashes,
                    reporters: tally.reporters,
                    inseparable: self.inseparable(segment),
                });
            }
            if is_expired {
                self.suspects.remove(&segment);
            }
        }
        self.judge();
        changes
    }

    /// Returns the number of rejected segments.
    pub fn rejected_count(&self) -> usize {
        self.rejected.iter().map(BTreeSet::len).sum()
    }

    /// Returns the verdict on a segment.
    pub fn state(&self, segment: u64) -> SegmentState {
        match () {
            () if self.rejected.iter().any(|group| group.contains(&segment)) => {
                SegmentState::Rejected
            }

            () if self.suspected.contains(&segment) => SegmentState::Suspected,

            () => SegmentState::Clear,
        }
    }

    /// Returns the other segments that cannot be told apart from a rejected one.
    fn inseparable(&self, segment: u64) -> Vec<u64> {
        let group = self.rejected.iter().find(|group| group.contains(&segment));
        let others = group.into_iter().flatten().filter(|other| **other != segment);
        others.copied().collect()
    }

    /// Rejects the fewest segments that explain the crashes, and suspects those of which crashes
    /// remain that these do not explain.
    fn judge(&mut self) {
        self.rejected.clear();
        self.suspected.clear();
        let mut explained = BTreeSet::new();
        loop {
            let tallies: Vec<(u64, Tally)> = self
                .suspects
                .keys()
                .map(|&segment| (segment, self.tally(segment, &explained)))
                .filter(|(_, tally)| tally.crashes > 0)
                .collect();
            let worst = tallies
                .iter()
                .filter(|(_, tally)| self.is_sufficient(tally))
                .max_by_key(|(segment, tally)| (tally.crashes, tally.engines.len(), *segment));
            let Some((_, worst)) = worst else {
                let is_suspected = |(segment, tally): &(u64, Tally)| {
                    (tally.crashes > 1 || !self.has_recently_begun(*segment, tally.first_ms))
                        .then_some(*segment)
                };
                self.suspected = tallies.iter().filter_map(is_suspected).collect();
                return;
            };
            let group = tallies.iter().filter(|(_, tally)| tally.engines == worst.engines);
            self.rejected.push(group.map(|(segment, _)| *segment).collect());
            explained.extend(worst.engines.iter().copied());
        }
    }

    /// Returns whether crashes suffice to reject a segment.
    fn is_sufficient(&self, tally: &Tally) -> bool {
        let has_reporters = tally.reporters >= REPORTERS_MIN.min(self.nodes);
        tally.crashes >= REJECTION_CRASHES_ONE_NODE
            || (tally.crashes >= REJECTION_CRASHES && has_reporters)
    }

    fn has_recently_begun(&self, segment: u64, crash_ms: i64) -> bool {
        let begun_ms = self.begun_ms.get(&segment);
        begun_ms.is_some_and(|begun_ms| crash_ms - begun_ms < RECENTLY_BEGUN_MS)
    }

    /// Counts the crashes since a response with the segment last began, without those of engines
    /// whose ends are explained.
    fn tally(&self, segment: u64, explained: &BTreeSet<u64>) -> Tally {
        let Some(suspect) = self.suspects.get(&segment) else {
            return Tally::default();
        };
        let begun_ms = self.begun_ms.get(&segment).copied();
        let mut ends_ms: HashMap<u64, i64> = HashMap::new();
        let mut reporters = BTreeSet::new();
        let counted = suspect.crashes.iter().filter(|(crash, at_ms)| {
            begun_ms.is_none_or(|begun_ms| *at_ms > begun_ms) && !explained.contains(&crash.engine)
        });
        for (crash, at_ms) in counted {
            reporters.insert(crash.reporter);
            let end_ms = ends_ms.entry(crash.engine).or_insert(*at_ms);
            *end_ms = (*end_ms).min(*at_ms);
        }
        let engines = ends_ms.keys().copied().collect();
        let mut ends_ms: Vec<i64> = ends_ms.into_values().collect();
        ends_ms.sort_unstable();
        let mut crashes = 0;
        let mut counted_ms = i64::MIN / 2;
        for &end_ms in &ends_ms {
            if end_ms - counted_ms >= COMMON_CAUSE_MS {
                crashes += 1;
                counted_ms = end_ms;
            }
        }
        let first_ms = ends_ms.first().copied().unwrap_or_default();
        Tally { crashes, reporters: reporters.len(), first_ms, engines }
    }

    /// Returns whether further trials of a segment may be made.
    fn may_be_tried(&self, segment: u64) -> bool {
        self.tally(segment, &BTreeSet::new()).crashes < TRIAL_CRASHES_MAX
    }

    /// Returns the time from which a trial of a segment may be made.
    fn trial_due_ms(&self, segment: u64) -> i64 {
        let Some(suspect) = self.suspects.get(&segment) else {
            return 0;
        };
        let further =
            self.tally(segment, &BTreeSet::new()).crashes.saturating_sub(REJECTION_CRASHES);
        let further = u32::try_from(further).unwrap_or(u32::MAX).min(8);
        let delay_ms = (TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR.pow(further)).min(TRIAL_DELAY_MAX_MS);
        let last_ms = suspect.last_crash_ms.max(suspect.trial_ms.unwrap_or(i64::MIN / 2));
        last_ms + delay_ms
    }

    fn is_expired(&self, segment: u64, now_ms: i64) -> bool {
        let Some(suspect) = self.suspects.get(&segment) else {
            return true;
        };
        match self.state(segment) {
            SegmentState::Rejected => {
                let last_ms = suspect.last_requested_ms.max(suspect.last_crash_ms);
                now_ms - last_ms >= VERDICT_RETENTION_MS
            }
            SegmentState::Suspected => now_ms - suspect.last_crash_ms >= SUSPICION_RETENTION_MS,
            SegmentState::Clear => now_ms - suspect.last_news_ms >= NEWS_MS,
        }
    }

    fn set_begun(&mut self, segment: u64, at_ms: i64) {
        if self.begun_ms.len() >= BEGUN_SEGMENTS_MAX && !self.begun_ms.contains_key(&segment) {
            self.begun_ms.retain(|_, known_ms| at_ms - *known_ms < RECENTLY_BEGUN_MS);
            if self.begun_ms.len() >= BEGUN_SEGMENTS_MAX {
                self.begun_ms.clear();
            }
        }
        let known_ms = self.begun_ms.entry(segment).or_insert(at_ms);
        *known_ms = (*known_ms).max(at_ms);
    }

    /// Returns the evidence on a segment, and makes room for it if it is new.
    fn suspect_mut(&mut self, segment: u64, now_ms: i64) -> &mut Suspect {
        if self.suspects.len() >= SEGMENTS_MAX && !self.suspects.contains_key(&segment) {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.last_crash_ms))
                .map(|(segment, _)| *segment);
            least.and_then(|least| self.suspects.remove(&least));
        }
        self.suspects.entry(segment).or_insert_with(|| Suspect {
            crashes: Vec::new(),
            last_crash_ms: i64::MIN / 2,
            last_requested_ms: i64::MIN / 2,
            trial_ms: None,
            last_news_ms: now_ms,
            announced: SegmentState::Clear,
        })
    }
}

impl Suspect {
    /// Adds a crash. Returns whether it was not known yet.
    fn add_crash(&mut self, crash: Crash, at_ms: i64, now_ms: i64) -> bool {
        self.last_crash_ms = self.last_crash_ms.max(at_ms);
        let is_full = self.crashes.len() >= CRASHES_MAX;
        match self.crashes.iter_mut().find(|(known, _)| *known == crash) {
            Some((_, known_ms)) => {
                *known_ms = (*known_ms).min(at_ms);
                false
            }

            None if is_full => false,

            None => {
                self.crashes.push((crash, at_ms));
                self.crashes.sort_unstable_by_key(|(_, at_ms)| *at_ms);
                self.last_news_ms = now_ms;
                true
            }
        }
    }
}

fn to_signed(at_ms: u64) -> i64 {
    i64::try_from(at_ms).unwrap_or(i64::MAX)
}
