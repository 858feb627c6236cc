//! The transparent front: requests are routed by host and path, and bodies pass unchanged.
//!
//! [`node::Node`] puts the parts together. A request is read in [`front`], carried out in
//! [`path`], and a stream is passed on in [`relay`]. What a node believes of the fleet is kept in
//! [`fleet`], from which [`choice`] takes an upstream; [`follow`] and [`peers`] keep it up to date.

pub mod answer;
pub mod beliefs;
pub mod choice;
pub mod dispatch;
pub mod errors;
pub mod escalate;
pub mod events;
pub mod fleet;
pub mod follow;
pub mod front;
pub mod log;
pub mod member;
pub mod metrics;
pub mod node;
pub mod path;
pub mod peers;
pub mod queue;
pub mod readiness;
pub mod relay;
pub mod rollouts;
pub mod trace;

pub use errors::{Error, Result};
