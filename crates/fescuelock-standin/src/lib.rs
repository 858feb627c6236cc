//! Small stand-ins for the platform, model engines, plain services and the rating service.
//!
//! All of them run in one process and count what reaches them. Their [`faults`] can be switched
//! while they run. [`memory`] is a network without sockets for tests on a paused clock.

pub mod control;
pub mod deployment;
pub mod engine;
pub mod errors;
pub mod faults;
pub mod memory;
pub mod platform;
pub mod rating;
pub mod reply;
pub mod service;

pub use errors::{Error, Result};
