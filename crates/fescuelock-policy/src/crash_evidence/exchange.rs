//! The forms in which evidence on prompt segments reaches other nodes and outlasts them.

use std::collections::BTreeSet;

use super::{CRASHES_MAX, Crash, CrashEvidence, NEWS_MS, SegmentState, to_signed};

/// Age of a reported crash from which it is ignored, in milliseconds.
const CRASH_AGE_MAX_MS: u32 = 3_600_000;

/// Age that crashes get when a node reads them from a record, in milliseconds. The record does not
/// tell when they were, so any response that other nodes know to have begun speaks against them.
const RECORDED_CRASH_AGE_MS: i64 = 600_000;

/// Maximum number of segments in one report.
const REPORTED_SEGMENTS_MAX: usize = 16;

/// `ReportedCrash` is a crash in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedCrash {
    /// The crash.
    pub crash: Crash,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
}

/// `SegmentReport` is what a node tells others about a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentReport {
    /// Id of the segment.
    pub segment: u64,
    /// Time since a response with the segment last began anywhere, in milliseconds.
    pub begun_age_ms: Option<u32>,
    /// Time since a request with the segment last arrived anywhere, in milliseconds.
    pub requested_age_ms: u32,
    /// Time since the last trial of the segment, in milliseconds.
    pub trial_age_ms: Option<u32>,
    /// Crashes, oldest first.
    pub crashes: Vec<ReportedCrash>,
}

/// `RejectionRecord` is what outlasts the nodes of a verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectionRecord {
    /// Segments that are rejected together.
    pub segments: Vec<u64>,
    /// Crashes, oldest first.
    pub crashes: Vec<ReportedCrash>,
}

impl CrashEvidence {
    /// Returns what other nodes should know: news, and in a full report also all rejected segments
    /// for nodes that have just started.
    pub fn reports(&self, is_full: bool, now_ms: u64) -> Vec<SegmentReport> {
        let now_ms = to_signed(now_ms);
        let mut reported: Vec<(SegmentState, i64, u64)> = self
            .suspects
            .iter()
            .map(|(&segment, suspect)| (self.state(segment), suspect.last_news_ms, segment))
            .filter(|(state, last_news_ms, _)| {
                now_ms - last_news_ms < NEWS_MS || (is_full && *state == SegmentState::Rejected)
            })
            .collect();
        reported.sort_unstable_by(|a, b| b.cmp(a));
        reported.truncate(REPORTED_SEGMENTS_MAX);
        reported.into_iter().map(|(_, _, segment)| self.report(segment, now_ms)).collect()
    }

    /// Merges another node's reports. Returns whether they held news.
    pub fn apply_reports(&mut self, reports: &[SegmentReport], now_ms: u64) -> bool {
        let mut has_news = false;
        for report in reports.iter().take(REPORTED_SEGMENTS_MAX) {
            has_news |= self.merge(report, to_signed(now_ms));
        }
        if has_news {
            self.judge();
        }
        has_news
    }

    fn merge(&mut self, report: &SegmentReport, now_ms: i64) -> bool {
        let at = |age_ms: u32| now_ms - i64::from(age_ms);
        let told_begun_ms = report.begun_age_ms.map(at);
        let was_refuted = self.is_refuted(report.segment);
        if let Some(begun_ms) = told_begun_ms {
            self.set_begun(report.segment, begun_ms);
        }
        let begun_ms = self.begun_ms.get(&report.segment).copied();
        let recent: Vec<(Crash, i64)> = report
            .crashes
            .iter()
            .take(CRASHES_MAX)
            .filter(|reported| reported.age_ms < CRASH_AGE_MAX_MS)
            .map(|reported| (reported.crash, at(reported.age_ms)))
            .collect();
        let Some(last_crash_ms) = recent.iter().map(|(_, at_ms)| *at_ms).max() else {
            return false;
        };
        let is_refuted = begun_ms >= Some(last_crash_ms);
        if is_refuted && !self.suspects.contains_key(&report.segment) {
            // The sender doesn't know yet that the segment is clear, so it is told.
            if told_begun_ms < Some(last_crash_ms) {
                let suspect = self.suspect_mut(report.segment, now_ms);
                recent.iter().for_each(|&(crash, at_ms)| {
                    suspect.add_crash(crash, at_ms, now_ms);
                });
                return true;
            }
            return false;
        }
        let suspect = self.suspect_mut(report.segment, now_ms);
        let requested_ms = at(report.requested_age_ms);
        suspect.last_requested_ms = suspect.last_requested_ms.max(requested_ms);
        let trial_ms = report.trial_age_ms.map(at);
        let has_new_trial = trial_ms.is_some_and(|trial_ms| {
            suspect.trial_ms.is_none_or(|known| trial_ms > known + NEWS_MS)
        });
        if has_new_trial {
            suspect.trial_ms = trial_ms;
            suspect.last_news_ms = now_ms;
        }
        let mut has_news = has_new_trial;
        for (crash, at_ms) in recent {
            has_news |= suspect.add_crash(crash, at_ms, now_ms);
        }
        if is_refuted && !was_refuted {
            suspect.last_news_ms = now_ms;
            has_news = true;
        }
        has_news
    }

    /// Returns whether a response with a segment has begun since the last crash.
    fn is_refuted(&self, segment: u64) -> bool {
        let last_crash_ms = self.suspects.get(&segment).map(|suspect| suspect.last_crash_ms);
        self.begun_ms.get(&segment).copied() >= last_crash_ms
    }

    /// Returns the records of the verdicts in force.
    pub fn rejection_records(&self, now_ms: u64) -> Vec<RejectionRecord> {
        // Of a group with a segment that is also rejected alone, the latter says all.
        let is_needed = |group: &&BTreeSet<u64>| {
            !self.rejected.iter().any(|other| other.len() < group.len() && other.is_subset(group))
        };
        let records = self.rejected.iter().filter(is_needed).filter_map(|group| {
            let report = self.report(*group.first()?, to_signed(now_ms));
            let segments = group.iter().copied().collect();
            Some(RejectionRecord { segments, crashes: report.crashes })
        });
        records.collect()
    }

    /// Adopts the record of a verdict at the start of the node, unless it knows the segments.
    pub fn adopt_record(&mut self, record: &RejectionRecord, now_ms: u64) {
        let now_ms = to_signed(now_ms);
        let oldest_ms = record.crashes.iter().map(|reported| reported.age_ms).max().unwrap_or(0);
        for &segment in &record.segments {
            if self.suspects.contains_key(&segment) {
                continue;
            }
            let suspect = self.suspect_mut(segment, now_ms);
            suspect.last_requested_ms = now_ms;
            suspect.trial_ms = Some(now_ms);
            for reported in &record.crashes {
                // Other nodes may report the same crash with its real age.
                let crash = Crash { reporter: !reported.crash.reporter, ..reported.crash };
                let since_oldest_ms = i64::from(oldest_ms) - i64::from(reported.age_ms);
                let at_ms = now_ms - RECORDED_CRASH_AGE_MS + since_oldest_ms;
                suspect.add_crash(crash, at_ms, now_ms);
            }
        }
        self.judge();
    }

    fn report(&self, segment: u64, now_ms: i64) -> SegmentReport {
        let age_ms = |at_ms: i64| u32::try_from((now_ms - at_ms).max(0)).unwrap_or(u32::MAX);
        let suspect = self.suspects.get(&segment);
        let crashes = suspect.map_or(&[][..], |suspect| &suspect.crashes);
        SegmentReport {
            segment,
            begun_age_ms: self.begun_ms.get(&segment).map(|at_ms| age_ms(*at_ms)),
            requested_age_ms: suspect.map_or(0, |suspect| age_ms(suspect.last_requested_ms)),
            trial_age_ms: suspect.and_then(|suspect| suspect.trial_ms).map(age_ms),
            crashes: crashes
                .iter()
                .map(|&(crash, at_ms)| ReportedCrash { crash, age_ms: age_ms(at_ms) })
                .collect(),
        }
    }
}
