//! The upstreams' side: model engines and plain services.
//!
//! [`registry`] keeps what a node knows of each upstream, [`dispatch`] sends one attempt, [`chat`]
//! writes requests to engines and [`events`] reads their streams.

pub mod chat;
pub mod dispatch;
pub mod errors;
pub mod events;
pub mod registry;

pub use errors::{Error, Result};
