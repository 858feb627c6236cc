//! Latency histograms, labelled counters and gauges, exported as text in the style of Prometheus.
//!
//! Latencies are exported as cumulative bucket counts, which can be summed over nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::sync::{Mutex, PoisonError};

use fescuelock_core::counters::{Counter, Counters};
use hdrhistogram::Histogram;

/// Largest latency that histograms resolve, in milliseconds. Longer ones count as this.
const LATENCY_MAX_MS: u64 = 60_000;

/// Upper bounds of the exported buckets, in milliseconds: three per decade, and the largest
/// latency.
const BUCKET_BOUNDS_MS: [u64; 15] =
    [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000, LATENCY_MAX_MS];

/// Most teams with labels of their own. A node exports two counters for each team, route and state.
const TEAM_LABELS_MAX: usize = 32;

/// Label of the other teams together.
const TEAM_LABEL_OTHERS: &str = "others";

/// `LatencyHistogram` identifies a latency histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LatencyHistogram {
    /// Time from a request's arrival to the first event of its stream.
    FirstEvent,
    /// Time from a request's arrival to its whole answer.
    Answer,
    /// Time for which a request waited for an upstream with capacity.
    QueueWait,
    /// Duration of a call to the store. Watches are excluded, since they wait for changes.
    StoreCall,
    /// Predicted cost of requests over what they took, in percent instead of milliseconds.
    PredictedOverActual,
}

/// `LabelledCounter` identifies a labelled counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LabelledCounter {
    /// Requests that were refused, by reason.
    Refusals,
    /// Requests that ended without an upstream's answer, by reason.
    Failures,
    /// Streams, by the size rank of the model that generated them, 0 being the smallest.
    ModelSizes,
    /// Ejections of upstreams, by service.
    Ejections,
    /// Changes of the verdict on a prompt segment, by the new state.
    SegmentVerdicts,
    /// Changes of the limits that upstreams state, by the new state.
    LimitChanges,
    /// Silences of upstreams, by state: begun, ended without loss, or lost.
    Silences,
    /// Second sends beside an attempt whose upstream is silent, by outcome.
    SecondSends,
    /// Pauses of upstreams, by state: begun, lengthened or ended.
    Pauses,
    /// Upstreams that were found to be leaving, and ends of that, by state and cause.
    LeavingChanges,
    /// Requests that were answered before they were read, by how the rest of the request and the
    /// connection ended.
    UnreadRequests,
    /// Watches of the store that were repeated because another node had read a change that they
    /// missed, by collection.
    WatchRepeats,
    /// Answers of the store to a list or watch that could not be read, by collection and call.
    UnreadableAnswers,
    /// Reports sent to other nodes, by kind and by whether the recipient is in the same zone.
    ReportsSent,
    /// Bytes of the reports sent to other nodes, without the headers of UDP and IP, by the same
    /// labels.
    ReportBytesSent,
    /// Requests by route, team and state: admitted, waiting or refused for lack of capacity.
    TeamRequests,
    /// Expected work of these requests in milliseconds, by the same labels.
    TeamWork,
}

/// `Gauge` identifies a value that is read when metrics are scraped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gauge {
    /// Requests in flight.
    RequestsInFlight,
    /// Requests that wait for an upstream with capacity.
    RequestsWaiting,
    /// Upstreams that accept new requests.
    UpstreamsReady,
    /// Known nodes, including this one.
    NodesKnown,
    /// Version of the configuration in force. 0 before the first.
    ConfigurationVersion,
    /// Age of the oldest load report that placement still uses, in milliseconds.
    LoadsAgeMs,
    /// Median age of the load reports that placement uses, in milliseconds.
    LoadsMedianAgeMs,
    /// Share of the other nodes whose load is known.
    LoadCoverage,
    /// Time since the last successful list or watch call to the store, in milliseconds.
    StoreAgeMs,
    /// 1 if this node watches the current state of the store, 0 if it may watch a copy.
    StoreReader,
    /// Log lines that were dropped since the start.
    LogLinesDropped,
    /// Prompt segments that are rejected because they crash engines.
    SegmentsRejected,
    /// Upstreams that state a limit.
    UpstreamsLimited,
    /// Upstreams that want nothing from this node for a time.
    UpstreamsPaused,
    /// Upstreams that are known to be leaving.
    UpstreamsLeaving,
    /// Collections of the store that the node needs and has not read to their end yet.
    CollectionsUnread,
    /// Bytes of request bodies, also of requests that wait.
    RequestBodyBytes,
    /// Bytes of answers that callers have not read yet.
    AnswerBytes,
    /// Bytes of events that callers have not read yet.
    EventBytes,
    /// Bytes that buffers of callers' connections may take.
    ConnectionBytes,
    /// Connections of callers.
    CallerConnections,
    /// Request bodies that were refused for lack of memory since the start.
    BodiesRefused,
    /// Request bodies that were ended in favour of others since the start.
    BodiesEnded,
    /// Connections that were closed since they were idle for longest, since the start.
    IdleConnectionsClosed,
    /// Connections that were closed since their callers did not read, since the start.
    SlowReadersClosed,
}

impl LatencyHistogram {
    /// All latency histograms.
    pub const ALL: [LatencyHistogram; 5] = [
        LatencyHistogram::FirstEvent,
        LatencyHistogram::Answer,
        LatencyHistogram::QueueWait,
        LatencyHistogram::StoreCall,
        LatencyHistogram::PredictedOverActual,
    ];

    /// Returns the exported name of the histogram, without its prefix.
    pub fn name(self) -> &'static str {
        match self {
            LatencyHistogram::FirstEvent => "first_event_ms",
            LatencyHistogram::Answer => "answer_ms",
            LatencyHistogram::QueueWait => "queue_wait_ms",
            LatencyHistogram::StoreCall => "store_call_ms",
            LatencyHistogram::PredictedOverActual => "predicted_over_actual_percent",
        }
    }
}

impl LabelledCounter {
    /// All labelled counters.
    pub const ALL: [LabelledCounter; 17] = [
        LabelledCounter::Refusals,
        LabelledCounter::Failures,
        LabelledCounter::ModelSizes,
        LabelledCounter::Ejections,
        LabelledCounter::SegmentVerdicts,
        LabelledCounter::LimitChanges,
        LabelledCounter::Silences,
        LabelledCounter::SecondSends,
        LabelledCounter::Pauses,
        LabelledCounter::LeavingChanges,
        LabelledCounter::UnreadRequests,
        LabelledCounter::WatchRepeats,
        LabelledCounter::UnreadableAnswers,
        LabelledCounter::ReportsSent,
        LabelledCounter::ReportBytesSent,
        LabelledCounter::TeamRequests,
        LabelledCounter::TeamWork,
    ];

    /// Returns the exported name of the counter, without its prefix.
    pub fn name(self) -> &'static str {
        match self {
            LabelledCounter::Refusals => "refusals",
            LabelledCounter::Failures => "failures",
            LabelledCounter::ModelSizes => "model_sizes",
            LabelledCounter::Ejections => "ejections",
            LabelledCounter::SegmentVerdicts => "segment_verdicts",
            LabelledCounter::LimitChanges => "limit_changes",
            LabelledCounter::Silences => "silences",
            LabelledCounter::SecondSends => "second_sends",
            LabelledCounter::Pauses => "pauses",
            LabelledCounter::LeavingChanges => "leaving_changes",
            LabelledCounter::UnreadRequests => "unread_requests",
            LabelledCounter::WatchRepeats => "watch_repeats",
            LabelledCounter::UnreadableAnswers => "unreadable_answers",
            LabelledCounter::ReportsSent => "reports_sent",
            LabelledCounter::ReportBytesSent => "report_bytes_sent",
            LabelledCounter::TeamRequests => "team_requests",
            LabelledCounter::TeamWork => "team_work_ms",
        }
    }
}

impl Gauge {
    /// All gauges.
    pub const ALL: [Gauge; 25] = [
        Gauge::RequestsInFlight,
        Gauge::RequestsWaiting,
        Gauge::UpstreamsReady,
        Gauge::NodesKnown,
        Gauge::ConfigurationVersion,
        Gauge::LoadsAgeMs,
        Gauge::LoadsMedianAgeMs,
        Gauge::LoadCoverage,
        Gauge::StoreAgeMs,
        Gauge::StoreReader,
        Gauge::LogLinesDropped,
        Gauge::SegmentsRejected,
        Gauge::UpstreamsLimited,
        Gauge::UpstreamsPaused,
        Gauge::UpstreamsLeaving,
        Gauge::CollectionsUnread,
        Gauge::RequestBodyBytes,
        Gauge::AnswerBytes,
        Gauge::EventBytes,
        Gauge::ConnectionBytes,
        Gauge::CallerConnections,
        Gauge::BodiesRefused,
        Gauge::BodiesEnded,
        Gauge::IdleConnectionsClosed,
        Gauge::SlowReadersClosed,
    ];

    /// Returns the exported name of the gauge, without its prefix.
    pub fn name(self) -> &'static str {
        match self {
            Gauge::RequestsInFlight => "requests_in_flight",
            Gauge::RequestsWaiting => "requests_waiting",
            Gauge::UpstreamsReady => "upstreams_ready",
            Gauge::NodesKnown => "nodes_known",
            Gauge::ConfigurationVersion => "configuration_version",
            Gauge::LoadsAgeMs => "loads_age_ms",
            Gauge::LoadsMedianAgeMs => "loads_median_age_ms",
            Gauge::LoadCoverage => "load_coverage",
            Gauge::StoreAgeMs => "store_age_ms",
            Gauge::StoreReader => "store_reader",
            Gauge::LogLinesDropped => "log_lines_left_out",
            Gauge::SegmentsRejected => "segments_rejected",
            Gauge::UpstreamsLimited => "upstreams_limited",
            Gauge::UpstreamsPaused => "upstreams_paused",
            Gauge::UpstreamsLeaving => "upstreams_leaving",
            Gauge::CollectionsUnread => "collections_unread",
            Gauge::RequestBodyBytes => "request_body_bytes",
            Gauge::AnswerBytes => "answer_bytes",
            Gauge::EventBytes => "event_bytes",
            Gauge::ConnectionBytes => "connection_bytes",
            Gauge::CallerConnections => "caller_connections",
            Gauge::BodiesRefused => "bodies_refused",
            Gauge::BodiesEnded => "bodies_ended",
            Gauge::IdleConnectionsClosed => "idle_connections_closed",
            Gauge::SlowReadersClosed => "slow_readers_closed",
        }
    }
}

/// `Metrics` holds the latency histograms and labelled counters of a node.
#[derive(Default)]
pub struct Metrics {
    series: Mutex<Series>,
}

#[derive(Default)]
struct Series {
    latencies: BTreeMap<(LatencyHistogram, String), Histogram<u32>>,
    counts: BTreeMap<(LabelledCounter, String), u64>,
    /// Teams with labels of their own.
    teams: BTreeSet<String>,
}

impl Metrics {
    /// Records a latency, in milliseconds, in the histogram with the given labels.
    pub fn record_ms(&self, timing: LatencyHistogram, labels: &[(&str, &str)], latency_ms: u64) {
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let histogram =
            series.latencies.entry((timing, format_labels(labels))).or_insert_with(|| {
                Histogram::new_with_max(LATENCY_MAX_MS, 2)
                    .expect("the bounds of histograms are valid")
            });
        histogram.saturating_record(latency_ms);
    }

    /// Records the ratio of a predicted to an actual value of a request.
    pub fn record_prediction(&self, route: &str, kind: &str, predicted: f64, actual: f64) {
        let percent = 100.0 * predicted / actual.max(f64::MIN_POSITIVE);
        let labels = [("route", route), ("kind", kind)];
        self.record_ms(LatencyHistogram::PredictedOverActual, &labels, percent as u64);
    }

    /// Increments the counter with the given labels.
    pub fn count(&self, labelled_counter: LabelledCounter, labels: &[(&str, &str)]) {
        self.add(labelled_counter, labels, 1);
    }

    /// Adds a number to the counter with the given labels.
    pub fn add(&self, labelled_counter: LabelledCounter, labels: &[(&str, &str)], added: u64) {
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        *series.counts.entry((labelled_counter, format_labels(labels))).or_default() += added;
    }

    /// Counts a request of a team with its expected work, in milliseconds. The number of teams with
    /// labels of their own is bounded.
    pub fn count_team(&self, route: &str, team: &str, state: &str, work_ms: f64) {
        let label = {
            let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
            if series.teams.len() < TEAM_LABELS_MAX && !series.teams.contains(team) {
                series.teams.insert(team.to_owned());
            }
            if series.teams.contains(team) { team } else { TEAM_LABEL_OTHERS }
        };
        let labels = [("route", route), ("team", label), ("state", state)];
        self.count(LabelledCounter::TeamRequests, &labels);
        self.add(LabelledCounter::TeamWork, &labels, work_ms.round() as u64);
    }

    /// Formats counters, gauges and histograms as text.
    pub fn render(&self, counters: &Counters, gauges: &[(Gauge, f64)]) -> String {
        let mut text = String::new();
        let mut line = |name: &str, labels: &str, value: &dyn std::fmt::Display| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "fescuelock_{}{labels} {value}", name.replace('.', "_"));
        };
        for &counter in Counter::ALL {
            line(counter.name(), "", &counters.value(counter));
        }
        for (gauge, value) in gauges {
            line(gauge.name(), "", value);
        }
        let series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        for ((labelled_counter, labels), count) in &series.counts {
            line(labelled_counter.name(), &format!("{{{labels}}}"), count);
        }
        for ((timing, labels), histogram) in &series.latencies {
            let name = timing.name();
            let mut cumulative = 0;
            let mut values = histogram.iter_recorded().peekable();
            for bound_ms in BUCKET_BOUNDS_MS {
                while let Some(value) =
                    values.next_if(|value| value.value_iterated_to() <= bound_ms)
                {
                    cumulative += value.count_since_last_iteration();
                }
                let labels = format!("{{{labels},le=\"{bound_ms}\"}}");
                line(&format!("{name}_bucket"), &labels, &cumulative);
            }
            line(&format!("{name}_count"), &format!("{{{labels}}}"), &histogram.len());
        }
        text
    }
}

/// Formats labels as `name="value"` pairs, separated by commas.
fn format_labels(labels: &[(&str, &str)]) -> String {
    let written = labels.iter().map(|(name, value)| format!("{name}=\"{value}\""));
    written.collect::<Vec<_>>().join(",")
}
