//! Communication with upstreams: model engines and plain HTTP services.
//!
//! [`registry`] tracks the connections, load and health of each upstream, [`dispatch`] sends one
//! attempt, [`chat`] builds engine requests and validates complete answers, and [`events`] parses
//! streamed answers.

pub mod chat;
pub mod dispatch;
pub mod errors;
pub mod events;
pub mod registry;

pub use errors::{Error, Result};
