//! Decision logic of the router as pure functions over plain data.
//!
//! Nothing here performs I/O or reads a clock: callers pass times in milliseconds of a monotonic
//! clock. The documentation of each module names the load pattern that its decision handles.

pub mod admission;
pub mod answer_identity;
pub mod answer_time;
pub mod cold_start;
pub mod crash_evidence;
pub mod deployment;
pub mod escalation;
pub mod event_stream;
pub mod fair_share;
pub mod health;
pub mod leaving;
pub mod listing;
pub mod missed_change;
pub mod node;
pub mod pause;
pub mod placement;
pub mod prefill_time;
pub mod prompt;
pub mod report_merge;
pub mod request_cost;
pub mod restored_store;
pub mod retry_budget;
pub mod rollout;
pub mod service_time;
pub mod silence;
pub mod stated_limit;
pub mod store_reads;
pub mod upstream;
pub mod upstream_speed;
pub mod waiting_queue;
pub mod watch_batching;
