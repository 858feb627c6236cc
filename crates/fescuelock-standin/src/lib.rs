//! Stand-ins: fake servers for the platform, model engines, plain HTTP services and the rating
//! service.
//!
//! All of them run in one process and count the requests they receive. [`faults`] can be injected
//! while they run. [`memory`] is an in-memory network for tests that run on a paused clock.

pub mod control;
pub mod deployment;
pub mod engine;
pub mod errors;
pub mod faults;
pub mod memory;
pub mod platform;
pub mod rating;
pub mod reply;
pub mod scripted;
pub mod service;

pub use errors::{Error, Result};
