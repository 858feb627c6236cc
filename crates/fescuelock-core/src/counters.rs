//! Event counters of a node, kept in memory and also sent to StatsD by `cadence`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, StatsdClient};

/// Declares the [`Counter`] enum and the metric name of each variant.
macro_rules! counters {
    ($($(#[doc = $doc:literal])* $variant:ident => $name:literal,)*) => {
        /// `Counter` is a kind of event that a node counts.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Counter {
            $($(#[doc = $doc])* $variant,)*
        }

        impl Counter {
            /// All counters in the order of their discriminants.
            pub const ALL: &'static [Counter] = &[$(Counter::$variant,)*];

            /// Returns the metric name of the counter.
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
    /// Requests that an upstream ran and answered.
    RequestsRan => "requests.ran",
    /// Requests that were refused and not run.
    RequestsNotRun => "requests.not_run",
    /// Requests that ended with an unknown outcome.
    RequestsUnknown => "requests.unknown",
    /// Requests whose handling ended in a panic of the router.
    RequestsPanicked => "requests.panicked",
    /// Sends of a request after its first one.
    Retries => "retries",
    /// Interrupted streams that were resumed on another upstream.
    StreamsResumed => "streams.resumed",
    /// Streams that ended with an error after they had started.
    StreamsCut => "streams.cut",
    /// Streams whose caller disconnected before their end.
    StreamsAbandoned => "streams.abandoned",
    /// Silences of engines within a stream.
    Silences => "silences",
    /// Silences after which the engine went on with its stream.
    SilencesEnded => "silences.ended",
    /// Silences in which another engine went on with the stream.
    SilencesReplaced => "silences.replaced",
    /// Silences during which the stream was cut or ended, or its caller disconnected.
    SilencesLost => "silences.lost",
    /// Requests that were sent to another upstream beside one that was silent.
    SecondSends => "second_sends",
    /// Pauses for which upstreams asked.
    Pauses => "pauses",
    /// Pauses after which an upstream got its first request.
    PausesEnded => "pauses.ended",
    /// Connections opened to upstreams.
    UpstreamConnects => "upstream.connects",
    /// Failed connects to upstreams and requests that failed on a connection, including timeouts.
    UpstreamFailures => "upstream.failures",
    /// Responses that were dropped because they belonged to another request.
    AnswersCrossed => "upstream.answers_crossed",
    /// Configurations adopted.
    ConfigAdopted => "config.adopted",
    /// Configurations that were received as a patch to the active one.
    ConfigPatched => "config.patched",
    /// Invalid configurations received from the platform.
    ConfigInvalid => "config.invalid",
    /// Configurations that were ignored because their generation was lower than the active one.
    ConfigStale => "config.stale",
    /// Calls to the platform.
    PlatformCalls => "platform.calls",
    /// Failed calls to the platform.
    PlatformFailures => "platform.failures",
    /// Claims recorded for calls that may not be retried.
    Claims => "claims",
    /// Duplicate requests that were answered with the recorded result.
    ClaimsReplayed => "claims.replayed",
    /// Bills recorded.
    BillsRecorded => "bills.recorded",
    /// Bills replicated to another node, which holds them until their batch is written.
    BillsHeld => "bills.held",
    /// Bills of failed nodes that this node recorded in their place.
    BillsTakenOver => "bills.taken_over",
    /// Connections to other nodes that were opened or accepted.
    LinksOpened => "links.opened",
    /// Connections to other nodes that were lost.
    LinksLost => "links.lost",
    /// Connections refused because the peer failed to authenticate with a node key.
    LinksRefused => "links.refused",
}

/// `Counters` holds the counter values of one node. Clones share the values.
#[derive(Debug, Clone)]
pub struct Counters {
    counts: Arc<Vec<AtomicU64>>,
    statsd_client: Arc<StatsdClient>,
}

impl Counters {
    /// Builds counters that are also sent through the given StatsD client.
    pub fn new(statsd_client: StatsdClient) -> Self {
        let counts = Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect();
        Counters { counts: Arc::new(counts), statsd_client: Arc::new(statsd_client) }
    }

    /// Builds counters that are only kept in memory.
    pub fn in_memory() -> Self {
        Counters::new(StatsdClient::from_sink("fescuelock", cadence::NopMetricSink))
    }

    /// Increments a counter by one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds a number of events to a counter.
    pub fn add(&self, counter: Counter, events: u64) {
        self.counts[counter as usize].fetch_add(events, Ordering::Relaxed);
        // A failure to send a metric must not affect the request.
        let _ = self.statsd_client.count(counter.name(), i64::try_from(events).unwrap_or(i64::MAX));
    }

    /// Returns the number of events since the start of the node.
    pub fn value(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }
}
