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
//! A segment that all prompts share is in every crash, whatever the cause. So crashes of a segment
//! with which a response began shortly before tell something only once other prompts, without it,
//! run well while its own do not.
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

/// Crashes at which a segment is rejected although a response with it began shortly before, or
/// although other segments explain its crashes. The limit on requests after a segment's fifth crash
/// leaves no room for more.
const REJECTION_CRASHES_MAX: usize = 5;

/// Number of nodes that must have seen crashes for a rejection after [`REJECTION_CRASHES`].
const REPORTERS_MIN: usize = 2;

/// Time within which the ends of several engines count as one crash, in milliseconds. Engines that
/// end together have a common cause, such as the loss of an availability zone.
const COMMON_CAUSE_MS: i64 = 200;

/// Time before a crash within which a begun response still speaks for a segment, in milliseconds.
/// In replays with 10 s, segments of one request in ten seconds were rejected for unrelated crashes.
const RECENTLY_BEGUN_MS: i64 = 60_000;

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

/// Time after the last crash until evidence on a segment that was not rejected is dropped, unless a
/// response with the segment begins before, in milliseconds.
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
    /// Whether a response with the segment began within [`RECENTLY_BEGUN_MS`] before the last crash.
    has_recently_begun: bool,
    /// Whether this node saw a response begin after the first crash. It was one without the segment,
    /// since a response with it would have cleared it.
    has_contrast: bool,
    /// Engines that ended.
    engines: BTreeSet<u64>,
}

impl Tally {
    /// Returns whether the crashes can speak against the segment: it was in no response shortly
    /// before, or other prompts were answered since. A segment that all prompts share is in each
    /// crash, whatever the cause.
    fn is_telling(&self) -> bool {
        !self.has_recently_begun || self.has_contrast
    }

    /// Returns whether crashes suffice to reject a segment, in a fleet of some nodes.
    fn is_sufficient(&self, nodes: usize) -> bool {
        let has_reporters = self.reporters >= REPORTERS_MIN.min(nodes);
        match self.has_recently_begun {
            true => self.has_contrast && self.crashes >= REJECTION_CRASHES_MAX,
            false if has_reporters => self.crashes >= REJECTION_CRASHES,
            false => self.crashes >= REJECTION_CRASHES_ONE_NODE,
        }
    }

    /// Returns whether the crashes of a segment that is clear may still have it rejected: others may
    /// have to run well before they tell anything, or the segment that explains them may turn out
    /// to be another one.
    fn is_open(&self) -> bool {
        match self.has_recently_begun {
            true => self.crashes > 0,
            false => self.crashes > 1,
        }
    }

    /// Returns whether the segment is suspected.
    fn is_suspicious(&self) -> bool {
        self.is_telling() && (self.crashes > 1 || !self.has_recently_begun)
    }
}

/// `CrashEvidence` holds a node's evidence on prompt segments.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    node: u64,
    /// Time at which a response with a segment last began, by segment.
    begun_ms: HashMap<u64, i64>,
    /// Time at which this node last saw a response begin.
    own_begun_ms: Option<i64>,
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
        self.own_begun_ms = Some(now_ms);
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
        self.rejected.iter().flatten().collect::<BTreeSet<_>>().len()
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
        let previous = std::mem::take(&mut self.rejected);
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
                .filter(|(_, tally)| tally.is_sufficient(self.nodes))
                .max_by_key(|(segment, tally)| {
                    (!tally.has_recently_begun, tally.engines.len(), tally.crashes, *segment)
                });
            let Some((_, worst)) = worst else {
                self.reject_accompanying(&previous);
                let suspected = tallies.iter().filter(|(_, tally)| tally.is_suspicious());
                self.suspected = suspected.map(|(segment, _)| *segment).collect();
                return;
            };
            let group = tallies.iter().filter(|(_, tally)| {
                tally.engines == worst.engines
                    && tally.has_recently_begun == worst.has_recently_begun
            });
            self.rejected.push(group.map(|(segment, _)| *segment).collect());
            explained.extend(worst.engines.iter().copied());
        }
    }

    /// Rejects segments although others explain their crashes: those that were in so many crashes
    /// and in no response that another segment in the same crashes is no excuse, and those that
    /// were rejected alone before. Sound requests with a segment are sent until then, so it has none.
    fn reject_accompanying(&mut self, previous: &[BTreeSet<u64>]) {
        let is_due = |segment: &u64| {
            let tally = self.tally(*segment, &BTreeSet::new());
            let alone = BTreeSet::from([*segment]);
            let was_rejected = previous.contains(&alone) && tally.is_sufficient(self.nodes);
            !tally.has_recently_begun
                && (tally.crashes >= REJECTION_CRASHES_MAX || was_rejected)
                && !self.rejected.contains(&alone)
        };
        let due: Vec<u64> = self.suspects.keys().copied().filter(is_due).collect();
        self.rejected.extend(due.into_iter().map(|segment| BTreeSet::from([segment])));
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
        let (first_ms, last_ms) =
            (ends_ms.values().min().copied(), ends_ms.values().max().copied());
        let crashes = count_apart(ends_ms.into_values().collect());
        Tally {
            crashes,
            reporters: reporters.len(),
            has_recently_begun: last_ms.zip(begun_ms).is_some_and(|(last_ms, begun_ms)| {
                last_ms.saturating_sub(begun_ms) < RECENTLY_BEGUN_MS
            }),
            has_contrast: first_ms
                .zip(self.own_begun_ms)
                .is_some_and(|(first_ms, own_begun_ms)| own_begun_ms > first_ms),
            engines,
        }
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
            SegmentState::Clear if self.tally(segment, &BTreeSet::new()).is_open() => {
                now_ms - suspect.last_crash_ms >= SUSPICION_RETENTION_MS
            }
            SegmentState::Clear => now_ms - suspect.last_news_ms >= NEWS_MS,
        }
    }

    fn set_begun(&mut self, segment: u64, at_ms: i64) {
        if self.begun_ms.len() >= BEGUN_SEGMENTS_MAX && !self.begun_ms.contains_key(&segment) {
            // The older half is dropped, and segments in constant use stay.
            let mut times_ms: Vec<i64> = self.begun_ms.values().copied().collect();
            let (_, median_ms, _) = times_ms.select_nth_unstable(BEGUN_SEGMENTS_MAX / 2);
            let median_ms = *median_ms;
            self.begun_ms.retain(|_, known_ms| *known_ms > median_ms);
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
        if self.crashes.len() >= CRASHES_MAX && !self.has_engine(crash.engine) {
            self.drop_repeated();
        }
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

    fn has_engine(&self, engine: u64) -> bool {
        self.crashes.iter().any(|(known, _)| known.engine == engine)
    }

    /// Makes room by dropping what the most nodes saw, if more than one did. Otherwise a segment
    /// that many nodes see would count fewer engines than those that only accompany it.
    fn drop_repeated(&mut self) {
        let count = |engine: u64| {
            let reports = self.crashes.iter().filter(|(known, _)| known.engine == engine);
            reports.count()
        };
        let most = (0..self.crashes.len()).max_by_key(|&index| count(self.crashes[index].0.engine));
        if let Some(index) = most.filter(|&index| count(self.crashes[index].0.engine) > 1) {
            self.crashes.remove(index);
        }
    }
}

/// Counts ends of engines. Those within [`COMMON_CAUSE_MS`] count as one.
fn count_apart(mut ends_ms: Vec<i64>) -> usize {
    ends_ms.sort_unstable();
    let mut count = 0;
    let mut counted_ms = i64::MIN / 2;
    for end_ms in ends_ms {
        if end_ms - counted_ms >= COMMON_CAUSE_MS {
            count += 1;
            counted_ms = end_ms;
        }
    }
    count
}

fn to_signed(at_ms: u64) -> i64 {
    i64::try_from(at_ms).unwrap_or(i64::MAX)
}
