//! The reverse proxy of a node: routes requests by host and path and forwards bodies unchanged.
//!
//! [`node::Node`] starts the servers and background tasks. A request is read in [`front`] and
//! processed in [`path`]; streams are forwarded in [`relay`]. [`fleet`] holds a node's view of the
//! upstreams, and [`choice`] selects one of them for each request. [`follow`] updates this view
//! from the object store, [`peers`] from the reports of other nodes.

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
