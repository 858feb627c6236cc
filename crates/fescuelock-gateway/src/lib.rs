//! The reverse proxy of a node: routes requests by host and path and forwards bodies unchanged.
//!
//! [`node::Node`] starts the servers and background tasks. A request is read in [`handler`] and
//! processed in [`serve`]; streams are forwarded in [`relay`]. [`fleet`] holds a node's view of the
//! upstreams, and [`placement`] selects one of them for each request. Requests that find none with
//! capacity wait in [`waiting_room`]. [`watcher`] updates this view
//! from the object store, [`peers`] from the reports of other nodes.

pub mod crashes;
pub mod dispatch;
pub mod error_response;
pub mod errors;
pub mod escalate;
pub mod event_reader;
pub mod fleet;
pub mod handler;
pub mod hedge;
pub mod leaving;
pub mod limits;
pub mod log;
pub mod metrics;
pub mod node;
pub mod node_state;
pub mod pauses;
pub mod peers;
pub mod placement;
pub mod queue;
pub mod rates;
pub mod readiness;
pub mod rejections;
pub mod relay;
pub mod report;
pub mod rollouts;
pub mod serve;
pub mod store_changes;
pub mod trace;
pub mod unread_collections;
pub mod upstream;
pub mod waiting_room;
pub mod watcher;

pub use errors::{Error, Result};
