//! Decisions of the router as plain functions over plain data.
//!
//! Nothing here does I/O or reads a clock: callers pass times in milliseconds of a steady clock.
//! Each module names the load pattern that its decision answers.

pub mod admission;
pub mod deployment;
pub mod escalation;
pub mod gathering;
pub mod health;
pub mod node;
pub mod permits;
pub mod placement;
pub mod prompt;
pub mod retry_budget;
pub mod rollout;
pub mod service_rate;
pub mod upstream;
