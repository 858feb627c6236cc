//! The encoded form of the reports that nodes exchange.

use std::net::SocketAddr;

use fescuelock_policy::crash_evidence::{Crash, ReportedCrash, SegmentReport};
use fescuelock_policy::rollout::{Counts, Stage, Tally};
use serde::{Deserialize, Serialize};

use crate::rollouts::{RolloutUpdate, TallyKey};

/// `Report` is the message that a node sends to the others. Encoded field names are short because
/// reports are frequent.
#[derive(Debug, Serialize, Deserialize)]
pub struct Report {
    /// Name of the sending node.
    #[serde(rename = "n")]
    pub name: String,
    /// Address at which the sender receives reports.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Availability zone of the sender. Older versions send none.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether the sender reaches the store.
    #[serde(rename = "s")]
    pub reaches_store: bool,
    /// Hash of the upstream's id, requests in flight, queueing time in milliseconds, answers and
    /// failures.
    #[serde(rename = "u")]
    pub upstreams: Vec<(u64, u32, u32, u32, u32)>,
    /// Roll-outs in progress.
    #[serde(rename = "r")]
    pub rollouts: Vec<RolloutReport>,
    /// Evidence on prompt segments that crash engines. Older versions send none.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub segments: Vec<EncodedSegment>,
    /// Limits that upstreams state: hash of the upstream's incarnation, requests per second or
    /// `None` if it states none any more, and age in milliseconds. Older versions send none.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<(u64, Option<f64>, u32)>,
    /// Upstreams that are leaving: hash of the upstream's incarnation, and age in milliseconds.
    /// Older versions send none.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<(u64, u32)>,
    /// Era and number of the revision of the latest change that the sender has read, for each watched
    /// collection of the store. Older versions send none.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub store_changes: Vec<(u64, u64)>,
    /// Whether the sender watches the current state of the store in a fleet in which not all nodes do.
    /// Older versions send none.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_store_reader: bool,
    /// Work per team, see [`Rates::teams`](crate::rates::Rates::teams). In some of the reports; older
    /// versions send none.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<(u64, u32)>,
    /// Speed of upstreams, see [`Rates::speeds`](crate::rates::Rates::speeds). In some of the reports;
    /// older versions send none.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<(u32, i32, u32)>,
}

impl Report {
    /// Builds a report of a node that holds nothing beside the node's name and address.
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Report {
            name: name.to_owned(),
            address,
            zone: None,
            reaches_store: false,
            upstreams: Vec::new(),
            rollouts: Vec::new(),
            segments: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
            store_changes: Vec::new(),
            is_store_reader: false,
            teams: Vec::new(),
            speeds: Vec::new(),
        }
    }
}

/// `EncodedSegment` is the encoded form of a [`SegmentReport`].
#[derive(Debug, Serialize, Deserialize)]
pub struct EncodedSegment {
    /// Id of the segment.
    #[serde(rename = "i")]
    pub segment: u64,
    /// See [`SegmentReport::begun_age_ms`].
    #[serde(rename = "b")]
    pub begun_age_ms: Option<u32>,
    /// See [`SegmentReport::requested_age_ms`].
    #[serde(rename = "q")]
    pub requested_age_ms: u32,
    /// See [`SegmentReport::trial_age_ms`].
    #[serde(rename = "t")]
    pub trial_age_ms: Option<u32>,
    /// Engine, reporting node and age in milliseconds of each crash.
    #[serde(rename = "c")]
    pub crashes: Vec<(u64, u64, u32)>,
}

/// `RolloutReport` is the encoded form of a [`RolloutUpdate`].
#[derive(Debug, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Hash of the service's name.
    #[serde(rename = "p")]
    pub pool: u64,
    /// Hash of the version.
    #[serde(rename = "v")]
    pub version: u64,
    /// Time since the start of the roll-out, in milliseconds.
    #[serde(rename = "e")]
    pub elapsed_ms: u64,
    /// The discriminant of [`Stage`].
    #[serde(rename = "s")]
    pub stage: u8,
    /// Whether the version gets no new requests.
    #[serde(rename = "b")]
    pub is_rejected: bool,
    /// Run id, route hash and the counts of [`Tally`] in the order of its fields.
    #[serde(rename = "t")]
    pub tallies: Vec<(u64, u64, [u32; 10])>,
    /// Slow samples of the new and the old version, for each of `tallies`. Older versions send
    /// none.
    #[serde(rename = "w", default)]
    pub slow_samples: Vec<(u32, u32)>,
}

impl From<SegmentReport> for EncodedSegment {
    fn from(report: SegmentReport) -> Self {
        let crashes = report.crashes.iter();
        EncodedSegment {
            segment: report.segment,
            begun_age_ms: report.begun_age_ms,
            requested_age_ms: report.requested_age_ms,
            trial_age_ms: report.trial_age_ms,
            crashes: crashes
                .map(|reported| (reported.crash.engine, reported.crash.reporter, reported.age_ms))
                .collect(),
        }
    }
}

impl From<EncodedSegment> for SegmentReport {
    fn from(encoded: EncodedSegment) -> Self {
        let crashes = encoded.crashes.into_iter();
        SegmentReport {
            segment: encoded.segment,
            begun_age_ms: encoded.begun_age_ms,
            requested_age_ms: encoded.requested_age_ms,
            trial_age_ms: encoded.trial_age_ms,
            crashes: crashes
                .map(|(engine, reporter, age_ms)| ReportedCrash {
                    crash: Crash { engine, reporter },
                    age_ms,
                })
                .collect(),
        }
    }
}

impl From<RolloutUpdate> for RolloutReport {
    fn from(update: RolloutUpdate) -> Self {
        let tallies = update.tallies.iter();
        RolloutReport {
            pool: update.pool,
            version: update.version,
            elapsed_ms: update.elapsed_ms,
            stage: update.stage as u8,
            is_rejected: update.is_rejected,
            slow_samples: tallies
                .clone()
                .map(|(_, tally)| (tally.new.slow_samples, tally.old.slow_samples))
                .collect(),
            tallies: tallies
                .map(|(key, tally)| (key.run_id, key.route, encode_counts(tally)))
                .collect(),
        }
    }
}

impl From<RolloutReport> for RolloutUpdate {
    fn from(report: RolloutReport) -> Self {
        let slow_samples = report.slow_samples.into_iter().chain(std::iter::repeat((0, 0)));
        let tallies = report.tallies.into_iter().zip(slow_samples);
        RolloutUpdate {
            pool: report.pool,
            version: report.version,
            elapsed_ms: report.elapsed_ms,
            stage: match report.stage {
                0 => Stage::Pending,
                1 => Stage::Canary,
                2 => Stage::Ramp,
                _ => Stage::Full,
            },
            is_rejected: report.is_rejected,
            tallies: tallies
                .map(|((run_id, route, counts), (new_slow, old_slow))| {
                    let mut tally = decode_counts(counts);
                    tally.new.slow_samples = new_slow;
                    tally.old.slow_samples = old_slow;
                    (TallyKey { run_id, route }, tally)
                })
                .collect(),
        }
    }
}

fn encode_counts(tally: &Tally) -> [u32; 10] {
    let Tally { new, old } = tally;
    [
        new.sends,
        new.answers,
        new.failures,
        new.latency_samples,
        new.log_latency_ratios,
        old.sends,
        old.answers,
        old.failures,
        old.latency_samples,
        old.log_latency_ratios,
    ]
}

fn decode_counts(counts: [u32; 10]) -> Tally {
    let of = |first: usize| Counts {
        sends: counts[first],
        answers: counts[first + 1],
        failures: counts[first + 2],
        latency_samples: counts[first + 3],
        log_latency_ratios: counts[first + 4],
        ..Counts::default()
    };
    Tally { new: of(0), old: of(5) }
}
