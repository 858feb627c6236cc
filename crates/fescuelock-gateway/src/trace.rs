//! Collects the routing decisions about one request and logs them when it ends.

use http::StatusCode;
use slog::{Logger, info};
use tokio::time::Instant;

use crate::log::{TAG_DETAIL, TAG_ENDED, TAG_SAMPLE};

/// Among requests that were served on time, one in this many has its decisions logged. They are
/// selected by the hash of the request id, so all nodes select the same requests.
const SAMPLE_DIVISOR: u64 = 50;

/// `Trace` collects the log entries about one request: decisions, and events such as a lost
/// response.
#[derive(Debug)]
pub struct Trace {
    logger: Logger,
    id: String,
    route: String,
    arrived: Instant,
    target_ms: Option<u64>,
    configuration_version: u64,
    decisions: Vec<Decision>,
    is_finished: bool,
}

/// `Decision` is one decision about a request with its inputs, or one event with its details.
#[derive(Debug)]
struct Decision {
    at_ms: u64,
    name: &'static str,
    inputs: String,
}

impl Trace {
    /// Starts the trace of a request.
    pub fn new(logger: &Logger, id: &str, arrived: Instant) -> Self {
        Trace {
            logger: logger.clone(),
            id: id.to_owned(),
            route: String::new(),
            arrived,
            target_ms: None,
            configuration_version: 0,
            decisions: Vec::new(),
            is_finished: false,
        }
    }

    /// Sets the version of the configuration in force, the route, and its latency target in
    /// milliseconds.
    pub fn set_route(&mut self, configuration_version: u64, route: &str, target_ms: u64) {
        self.configuration_version = configuration_version;
        self.route = route.to_owned();
        self.target_ms = Some(target_ms);
    }

    /// Adds a decision or event with the time since arrival.
    pub fn add(&mut self, name: &'static str, inputs: String) {
        self.decisions.push(Decision { at_ms: self.elapsed_ms(), name, inputs });
    }

    /// Returns the time since the request arrived, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the request id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Logs the end of the request. Its decisions are logged as well if it failed, missed its
    /// latency target or is sampled.
    ///
    /// `first_response_ms` is the time from arrival to the first event or the whole response.
    pub fn finish(mut self, outcome: &'static str, status: u16, first_response_ms: u64) {
        self.log_end(outcome, status, first_response_ms);
    }

    fn log_end(&mut self, outcome: &'static str, status: u16, first_response_ms: u64) {
        self.is_finished = true;
        let logger = &self.logger;
        let is_late = self.target_ms.is_some_and(|target_ms| first_response_ms > target_ms);
        let is_served_on_time = outcome == "served" && !is_late;
        let hash = fescuelock_policy::placement::hash_name(&self.id);
        for decision in &self.decisions {
            let Decision { at_ms, name, inputs } = decision;
            match is_served_on_time {
                false => info!(logger, #TAG_DETAIL, "decision"; "request" => &self.id,
                    "at_ms" => at_ms, "what" => name, "inputs" => inputs),
                true if hash.is_multiple_of(SAMPLE_DIVISOR) => {
                    info!(logger, #TAG_SAMPLE, "decision";
                    "request" => &self.id, "at_ms" => at_ms, "what" => name, "inputs" => inputs)
                }
                true => break,
            }
        }
        info!(logger, #TAG_ENDED, "request ended"; "request" => &self.id, "route" => &self.route,
            "configuration" => self.configuration_version, "outcome" => outcome, "status" => status,
            "first_ms" => first_response_ms, "target_ms" => self.target_ms,
            "total_ms" => self.elapsed_ms(), "decisions" => self.decisions.len());
    }
}

impl Drop for Trace {
    /// Logs the end of a request that was dropped because its caller disconnected, the node shut
    /// down or its handling panicked.
    fn drop(&mut self) {
        if !self.is_finished {
            let elapsed_ms = self.elapsed_ms();
            match std::thread::panicking() {
                true => {
                    self.log_end("failed", StatusCode::INTERNAL_SERVER_ERROR.as_u16(), elapsed_ms)
                }
                false => self.log_end("abandoned", 0, elapsed_ms),
            }
        }
    }
}
