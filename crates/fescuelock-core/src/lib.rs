//! The domain types of the fescuelock router: ids, units, rules, request outcomes and placement.
//!
//! This crate opens no network connections. The crates that talk to callers, upstreams, the
//! platform and operators build on it.

pub mod arena;
pub mod claim_key;
pub mod clock;
pub mod config;
pub mod counters;
pub mod errors;
pub mod ids;
pub mod outcome;
pub mod placement;
pub mod refusal;
pub mod rules;
pub mod session;
pub mod store_revision;
pub mod tasks;
pub mod units;

pub use errors::{Error, Result};
