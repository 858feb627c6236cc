//! HTTP connections, bodies and the server loop, shared by the packages that speak to a peer.
//!
//! All bytes go through a [`net::Network`], so a whole deployment can run in memory on a paused
//! clock.

pub mod body;
pub mod client;
pub mod errors;
pub mod net;
pub mod pool;
pub mod server;

pub use errors::{Error, Result};
