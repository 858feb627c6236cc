//! The other nodes: links between routers, membership and what nodes hold for each other.
//!
//! [`mesh`] keeps a bounded number of links, [`link`] is one authenticated connection, [`members`]
//! is the mergeable table of nodes and [`held`] keeps the bills of others until they are recorded.

pub mod errors;
pub mod held;
pub mod link;
pub mod members;
pub mod mesh;
pub mod messages;
mod state;

pub use errors::{Error, Result};
