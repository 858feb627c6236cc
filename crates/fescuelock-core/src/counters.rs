//! Counters of a node, kept in memory for operators and sent on by `cadence`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, StatsdClient};

/// Declares the counters with their names.
macro_rules! counters {
    ($($(#[doc = $doc:literal])* $variant:ident => $name:literal,)*) => {
        /// `Counter` names an event that a node counts.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Counter {
            $($(#[doc = $doc])* $variant,)*
        }

        impl Counter {
            /// All counters in the order of their numbers.
            pub const ALL: &'static [Counter] = &[$(Counter::$variant,)*];

            /// Returns the name under which the counter is published.
            pub fn name(self) -> &'static str {
                match self {
                    $(Counter::$variant => $name,)*
                }
            }
        }
    };
}

counters! {
    /// Requests accepted from callers.
    Requests => "requests",
    /// Requests that an upstream answered.
    RequestsRan => "requests.ran",
    /// Requests refused as not run.
    RequestsNotRun => "requests.not_run",
    /// Requests that ended with an unknown outcome.
    RequestsUnknown => "requests.unknown",
    /// Attempts beyond the first of a request.
    Retries => "retries",
    /// Streams continued on another upstream after a cut.
    StreamsResumed => "streams.resumed",
    /// Streams that ended with an error after their start.
    StreamsCut => "streams.cut",
    /// Streams that the caller left before their end.
    StreamsAbandoned => "streams.abandoned",
    /// Connections opened to upstreams.
    UpstreamConnects => "upstream.connects",
    /// Connections to upstreams that failed or timed out.
    UpstreamFailures => "upstream.failures",
    /// Answers dropped because they belonged to another request.
    AnswersCrossed => "upstream.answers_crossed",
    /// Configurations adopted.
    ConfigAdopted => "config.adopted",
    /// Configurations that came as a patch to the one in force.
    ConfigPatched => "config.patched",
    /// Configurations from the platform that were not valid.
    ConfigInvalid => "config.invalid",
    /// Configurations that were offered with a lower generation.
    ConfigStale => "config.stale",
    /// Calls to the platform.
    PlatformCalls => "platform.calls",
    /// Calls to the platform that failed.
    PlatformFailures => "platform.failures",
    /// Claims recorded for calls that may not be repeated.
    Claims => "claims",
    /// Duplicates that were answered from a recorded result.
    ClaimsReplayed => "claims.replayed",
    /// Bills recorded.
    BillsRecorded => "bills.recorded",
    /// Bills that another node held when this one ended the answer.
    BillsHeld => "bills.held",
    /// Bills of lost nodes that were recorded here.
    BillsTakenOver => "bills.taken_over",
    /// Links to other nodes that were opened or accepted.
    LinksOpened => "links.opened",
    /// Links to other nodes that were lost.
    LinksLost => "links.lost",
    /// Links that were refused because the other end did not prove a node key.
    LinksRefused => "links.refused",
}

/// `Counters` holds the counts of one node.
#[derive(Debug, Clone)]
pub struct Counters {
    counts: Arc<Vec<AtomicU64>>,
    client: Arc<StatsdClient>,
}

impl Counters {
    /// Builds counters that are also sent through the given client.
    pub fn new(client: StatsdClient) -> Self {
        let counts = Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect();
        Counters { counts: Arc::new(counts), client: Arc::new(client) }
    }

    /// Builds counters that are kept in memory alone.
    pub fn in_memory() -> Self {
        Counters::new(StatsdClient::from_sink("fescuelock", cadence::NopMetricSink))
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Counts a number of events.
    pub fn add(&self, counter: Counter, events: u64) {
        self.counts[counter as usize].fetch_add(events, Ordering::Relaxed);
        // A metric that cannot be sent must not disturb the request it belongs to.
        let _ = self.client.count(counter.name(), i64::try_from(events).unwrap_or(i64::MAX));
    }

    /// Returns the count since the start of the node.
    pub fn value(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }
}
