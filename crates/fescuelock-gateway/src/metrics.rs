//! Latency histograms and labelled counts, served as text beside the counters.
//!
//! Latencies are published as counts by upper bounds, which add up over nodes.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Mutex, PoisonError};

use fescuelock_core::counters::{Counter, Counters};
use hdrhistogram::Histogram;

/// Largest latency that is told apart, in milliseconds.
const LATENCY_MAX_MS: u64 = 60_000;

/// Upper bounds of the published counts, in milliseconds: three to a decade.
const BOUNDS_MS: [u64; 15] =
    [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000, LATENCY_MAX_MS];

/// `Timing` lists what is measured in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timing {
    /// Time from a request's arrival to the first event of its stream.
    FirstEvent,
    /// Time from a request's arrival to its whole answer.
    Answer,
    /// Time for which a request waited for an upstream with room.
    QueueWait,
    /// Time of a call of the store that does not wait for changes.
    StoreCall,
}

/// `Tally` lists what is counted under labels.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tally {
    /// Requests that were refused, by reason.
    Refusals,
    /// Requests that ended without an upstream's answer, by reason.
    Failures,
    /// Streams by the size of the model that made them, 0 being the smallest.
    ModelSizes,
    /// Ejections of upstreams, by service.
    Ejections,
}

/// `Gauge` lists what is read when metrics are asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gauge {
    /// Requests in flight.
    RequestsInFlight,
    /// Requests that wait for an upstream.
    RequestsWaiting,
    /// Upstreams that take new work.
    UpstreamsReady,
    /// Nodes that are known, with this one.
    NodesKnown,
    /// Version of the configuration in force. 0 before the first.
    ConfigurationVersion,
    /// Age of the oldest load that placement still counts on, in milliseconds.
    LoadsAgeMs,
    /// Time since the store last answered any call, in milliseconds.
    StoreAgeMs,
    /// Log lines that were left out since the start.
    LogLinesLeftOut,
}

impl Timing {
    /// All timings.
    pub const ALL: [Timing; 4] =
        [Timing::FirstEvent, Timing::Answer, Timing::QueueWait, Timing::StoreCall];

    /// Returns the name under which the timing is published.
    pub fn name(self) -> &'static str {
        match self {
            Timing::FirstEvent => "first_event_ms",
            Timing::Answer => "answer_ms",
            Timing::QueueWait => "queue_wait_ms",
            Timing::StoreCall => "store_call_ms",
        }
    }
}

impl Tally {
    /// All tallies.
    pub const ALL: [Tally; 4] =
        [Tally::Refusals, Tally::Failures, Tally::ModelSizes, Tally::Ejections];

    /// Returns the name under which the tally is published.
    pub fn name(self) -> &'static str {
        match self {
            Tally::Refusals => "refusals",
            Tally::Failures => "failures",
            Tally::ModelSizes => "model_sizes",
            Tally::Ejections => "ejections",
        }
    }
}

impl Gauge {
    /// All gauges.
    pub const ALL: [Gauge; 8] = [
        Gauge::RequestsInFlight,
        Gauge::RequestsWaiting,
        Gauge::UpstreamsReady,
        Gauge::NodesKnown,
        Gauge::ConfigurationVersion,
        Gauge::LoadsAgeMs,
        Gauge::StoreAgeMs,
        Gauge::LogLinesLeftOut,
    ];

    /// Returns the name under which the gauge is published.
    pub fn name(self) -> &'static str {
        match self {
            Gauge::RequestsInFlight => "requests_in_flight",
            Gauge::RequestsWaiting => "requests_waiting",
            Gauge::UpstreamsReady => "upstreams_ready",
            Gauge::NodesKnown => "nodes_known",
            Gauge::ConfigurationVersion => "configuration_version",
            Gauge::LoadsAgeMs => "loads_age_ms",
            Gauge::StoreAgeMs => "store_age_ms",
            Gauge::LogLinesLeftOut => "log_lines_left_out",
        }
    }
}

/// `Metrics` holds histograms and labelled counts.
#[derive(Default)]
pub struct Metrics {
    tables: Mutex<Tables>,
}

#[derive(Default)]
struct Tables {
    latencies: BTreeMap<(Timing, String), Histogram<u32>>,
    counts: BTreeMap<(Tally, String), u64>,
}

impl Metrics {
    /// Notes a latency under labels.
    pub fn note_ms(&self, timing: Timing, labels: &[(&str, &str)], latency_ms: u64) {
        let mut tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        let histogram = tables.latencies.entry((timing, join(labels))).or_insert_with(|| {
            Histogram::new_with_max(LATENCY_MAX_MS, 2).expect("the bounds of histograms are valid")
        });
        histogram.saturating_record(latency_ms);
    }

    /// Counts an event under labels.
    pub fn count(&self, tally: Tally, labels: &[(&str, &str)]) {
        let mut tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        *tables.counts.entry((tally, join(labels))).or_default() += 1;
    }

    /// Writes everything as text.
    pub fn render(&self, counters: &Counters, gauges: &[(Gauge, f64)]) -> String {
        let mut text = String::new();
        let mut line = |name: &str, labels: &str, value: &dyn std::fmt::Display| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "fescuelock_{}{labels} {value}", name.replace('.', "_"));
        };
        for &counter in Counter::ALL {
            line(counter.name(), "", &counters.value(counter));
        }
        for (gauge, value) in gauges {
            line(gauge.name(), "", value);
        }
        let tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        for ((tally, labels), count) in &tables.counts {
            line(tally.name(), &format!("{{{labels}}}"), count);
        }
        for ((timing, labels), histogram) in &tables.latencies {
            let name = timing.name();
            let mut up_to = 0;
            let mut values = histogram.iter_recorded().peekable();
            for bound_ms in BOUNDS_MS {
                while let Some(value) =
                    values.next_if(|value| value.value_iterated_to() <= bound_ms)
                {
                    up_to += value.count_since_last_iteration();
                }
                let labels = format!("{{{labels},le=\"{bound_ms}\"}}");
                line(&format!("{name}_bucket"), &labels, &up_to);
            }
            line(&format!("{name}_count"), &format!("{{{labels}}}"), &histogram.len());
        }
        text
    }
}

/// Writes labels as they are published.
fn join(labels: &[(&str, &str)]) -> String {
    let written = labels.iter().map(|(name, value)| format!("{name}=\"{value}\""));
    written.collect::<Vec<_>>().join(",")
}
