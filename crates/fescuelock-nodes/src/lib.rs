//! The mesh of router nodes: links, membership and replication of bills.
//!
//! [`mesh`] keeps a bounded number of links open, [`link`] is one authenticated connection,
//! [`members`] is the mergeable membership table and [`replicas`] keeps replicas of other nodes'
//! bills until they are recorded.

pub mod errors;
pub mod link;
pub mod members;
pub mod mesh;
pub mod messages;
pub mod replicas;
mod state;

pub use errors::{Error, Result};
