//! Tools for operators: the node's admin endpoints and the command-line client.
//!
//! [`admin`] holds the admin endpoints of a node. [`edit`], [`fleet`], [`explain`], [`merge`] and
//! [`commands`] make up the `fescuelock` client.

pub mod admin;
pub mod commands;
pub mod edit;
pub mod errors;
pub mod explain;
pub mod fleet;
pub mod merge;

pub use errors::{Error, Result};
