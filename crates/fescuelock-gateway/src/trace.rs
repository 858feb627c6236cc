//! What was decided about one request, for the log.

use slog::{Logger, info};
use tokio::time::Instant;

use crate::log::{TAG_DETAIL, TAG_ENDED, TAG_SAMPLE};

/// One request in this many that was served on time has its decisions logged too.
const SAMPLE: u64 = 50;

/// `Trace` collects the decisions about one request.
#[derive(Debug)]
pub struct Trace {
    logger: Logger,
    id: String,
    route: String,
    arrived: Instant,
    target_ms: Option<u64>,
    configuration: u64,
    decisions: Vec<Decision>,
    is_finished: bool,
}

/// `Decision` is one decision with the inputs that led to it.
#[derive(Debug)]
struct Decision {
    at_ms: u64,
    what: &'static str,
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
            configuration: 0,
            decisions: Vec::new(),
            is_finished: false,
        }
    }

    /// Names the configuration that the request is served under, its route and its latency
    /// objective in milliseconds.
    pub fn set_route(&mut self, configuration: u64, route: &str, target_ms: u64) {
        self.configuration = configuration;
        self.route = route.to_owned();
        self.target_ms = Some(target_ms);
    }

    /// Adds a decision.
    pub fn add(&mut self, what: &'static str, inputs: String) {
        self.decisions.push(Decision { at_ms: self.elapsed_ms(), what, inputs });
    }

    /// Returns the time since the request arrived, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the id of the request.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Logs the end of the request: each decision of one that failed or was late, or is sampled.
    pub fn finish(mut self, outcome: &'static str, status: u16, first_ms: u64) {
        self.log_end(outcome, status, first_ms);
    }

    fn log_end(&mut self, outcome: &'static str, status: u16, first_ms: u64) {
        self.is_finished = true;
        let logger = &self.logger;
        let is_late = self.target_ms.is_some_and(|target_ms| first_ms > target_ms);
        let is_plain = outcome == "served" && !is_late;
        let hash = fescuelock_policy::placement::hash_name(&self.id);
        for decision in &self.decisions {
            let Decision { at_ms, what, inputs } = decision;
            match is_plain {
                false => info!(logger, #TAG_DETAIL, "decision"; "request" => &self.id,
                    "at_ms" => at_ms, "what" => what, "inputs" => inputs),
                true if hash.is_multiple_of(SAMPLE) => info!(logger, #TAG_SAMPLE, "decision";
                    "request" => &self.id, "at_ms" => at_ms, "what" => what, "inputs" => inputs),
                true => break,
            }
        }
        info!(logger, #TAG_ENDED, "request ended"; "request" => &self.id, "route" => &self.route,
            "configuration" => self.configuration, "outcome" => outcome, "status" => status,
            "first_ms" => first_ms, "target_ms" => self.target_ms,
            "total_ms" => self.elapsed_ms(), "decisions" => self.decisions.len());
    }
}

impl Drop for Trace {
    /// Logs the end of a request that is dropped because its caller left, or the node ended first.
    fn drop(&mut self) {
        if !self.is_finished {
            let elapsed_ms = self.elapsed_ms();
            self.log_end("abandoned", 0, elapsed_ms);
        }
    }
}
