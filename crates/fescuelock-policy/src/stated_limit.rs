//! Shares of the rate limit that an upstream states for all nodes together.
//!
//! Handles an upstream in need that accepts only a few requests per second while the fleet has
//! hundreds of nodes. A share of each node would be far below one request, so only the nodes that
//! rank first for the upstream send to it, each at its own share. Ranks follow from the member
//! list alone, as for cold upstreams, so the limit holds while nodes cannot reach each other.
//!
//! The statement travels in the reports between nodes. It ends with an answer that states no
//! limit, never by silence.

/// Multiple of the stated rate that an upstream may get, by the platform's contract.
const OVERSHOOT: f64 = 1.5;

/// Requests in a window that are allowed in addition, by the platform's contract.
const SLACK: f64 = 5.0;

/// Length of the window of the contract, in seconds.
const WINDOW_S: f64 = 4.0;

/// Fraction of the limit that is used. The rest covers requests that are delayed in transit and
/// arrive together, and nodes whose member lists differ.
const MARGIN_FACTOR: f64 = 0.75;

/// Capacity of a node's token bucket, in requests.
const BURST_REQUESTS: f64 = 1.0;

/// Time for which news about a limit is repeated in reports, in milliseconds.
const NEWS_MS: i64 = 3_000;

/// Returns the number of requests that an upstream may get in a window of the contract.
pub fn allowed_in_window(per_s: f64) -> f64 {
    per_s * WINDOW_S * OVERSHOOT + SLACK
}

/// Returns the requests per second that the node with rank `rank` among `nodes` nodes may send to
/// an upstream that states a limit of `per_s`. 0 if the node sends nothing.
///
/// In a window a node sends at most the capacity of its bucket plus its rate, so the nodes together
/// stay within the usable fraction of the limit.
pub fn node_rate_per_s(per_s: f64, rank: usize, nodes: usize) -> f64 {
    let usable = MARGIN_FACTOR * allowed_in_window(per_s);
    let sending_nodes = ((usable - per_s * WINDOW_S) / BURST_REQUESTS).floor();
    let sending_nodes = sending_nodes.clamp(1.0, nodes.max(1) as f64);
    if rank as f64 >= sending_nodes {
        return 0.0;
    }
    per_s / sending_nodes
}

/// `LimitReport` is what a node tells others about the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// The limit in requests per second; `None` if the upstream states none any more.
    pub per_s: Option<f64>,
    /// Time since the answer that stated so, in milliseconds.
    pub age_ms: u32,
}

/// `LimitChange` is a change of the limit that is in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// A limit is in force that was not before.
    Stated(f64),
    /// The upstream states no limit any more.
    Ended,
}

/// `StatedLimit` is the limit of one upstream as a node knows it, with the node's token bucket.
#[derive(Debug, Clone, Default)]
pub struct StatedLimit {
    per_s: Option<f64>,
    /// Time of the answer that stated so.
    stated_ms: Option<i64>,
    last_news_ms: i64,
    tokens: f64,
    refilled_ms: i64,
}

impl StatedLimit {
    /// Returns the limit in force, in requests per second.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Records what an answer stated. An answer to a request that was sent before the limit was
    /// last stated does not end it, since answers on different connections may overtake each other.
    pub fn record_answer(
        &mut self,
        per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let (sent_ms, now_ms) = (to_signed(sent_ms), to_signed(now_ms));
        match per_s {
            None if self.per_s.is_none() || self.stated_ms > Some(sent_ms) => None,
            _ => self.apply(per_s, now_ms, now_ms),
        }
    }

    /// Merges another node's report. The later answer counts.
    pub fn apply_report(&mut self, report: &LimitReport, now_ms: u64) -> Option<LimitChange> {
        let now_ms = to_signed(now_ms);
        let stated_ms = now_ms - i64::from(report.age_ms);
        match self.stated_ms {
            Some(known_ms) if known_ms >= stated_ms => None,
            _ => self.apply(report.per_s, stated_ms, now_ms),
        }
    }

    /// Returns what other nodes should know: news, and in a full report also a limit in force.
    pub fn report(&self, is_full: bool, now_ms: u64) -> Option<LimitReport> {
        let now_ms = to_signed(now_ms);
        let stated_ms = self.stated_ms?;
        let is_news = now_ms - self.last_news_ms < NEWS_MS;
        (is_news || (is_full && self.per_s.is_some())).then(|| LimitReport {
            per_s: self.per_s,
            age_ms: u32::try_from((now_ms - stated_ms).max(0)).unwrap_or(u32::MAX),
        })
    }

    /// Returns the time until this node may send a request at its rate, in milliseconds; 0 if it
    /// may now, infinity if it may not at all.
    pub fn wait_ms(&self, rate_per_s: f64, now_ms: u64) -> f64 {
        let missing = 1.0 - self.available_tokens(rate_per_s, now_ms);
        match () {
            () if self.per_s.is_none() || (missing <= 0.0 && rate_per_s > 0.0) => 0.0,
            () if rate_per_s <= 0.0 => f64::INFINITY,
            () => missing / rate_per_s * 1_000.0,
        }
    }

    /// Takes the token for a request that is sent now.
    pub fn take_token(&mut self, rate_per_s: f64, now_ms: u64) {
        self.tokens = self.available_tokens(rate_per_s, now_ms) - 1.0;
        self.refilled_ms = to_signed(now_ms);
    }

    fn apply(&mut self, per_s: Option<f64>, stated_ms: i64, now_ms: i64) -> Option<LimitChange> {
        let previous_per_s = std::mem::replace(&mut self.per_s, per_s);
        self.stated_ms = Some(stated_ms);
        match (previous_per_s, per_s) {
            (None, Some(per_s)) => {
                // The bucket starts empty, so that a change of the nodes that send adds no burst.
                self.tokens = 0.0;
                self.refilled_ms = now_ms;
                self.last_news_ms = now_ms;
                Some(LimitChange::Stated(per_s))
            }

            (Some(previous_per_s), Some(per_s)) if previous_per_s != per_s => {
                self.last_news_ms = now_ms;
                Some(LimitChange::Stated(per_s))
            }

            (Some(_), None) => {
                self.last_news_ms = now_ms;
                Some(LimitChange::Ended)
            }

            _ => None,
        }
    }

    /// Returns the tokens in the bucket. They are earned at the node's rate; a node that was not
    /// among those that send has none.
    fn available_tokens(&self, rate_per_s: f64, now_ms: u64) -> f64 {
        let elapsed_s = (to_signed(now_ms) - self.refilled_ms).max(0) as f64 / 1_000.0;
        (self.tokens + elapsed_s * rate_per_s).min(BURST_REQUESTS)
    }
}

fn to_signed(at_ms: u64) -> i64 {
    i64::try_from(at_ms).unwrap_or(i64::MAX)
}
