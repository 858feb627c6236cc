//! HTTP client connections, message bodies and the server loop, shared by all crates that use HTTP.
//!
//! All I/O goes through a [`net::Network`], so that tests can run a whole deployment in memory with
//! Tokio's clock paused.

pub mod body;
pub mod byte_budget;
pub mod client;
pub mod connections;
pub mod discard;
pub mod errors;
mod header_timer;
pub mod net;
pub mod panics;
pub mod pool;
pub mod request_body;
pub mod server;

pub use errors::{Error, Result};
