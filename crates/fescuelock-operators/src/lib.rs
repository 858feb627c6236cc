//! The operators' side: the node's administrative interface and the command-line client.
//!
//! [`admin`] is what a node serves to operators. [`edit`], [`fleet`],
//! [`explain`], [`merge`] and [`commands`] are what the `fescuelock` client is made of.

pub mod admin;
pub mod commands;
pub mod edit;
pub mod errors;
pub mod explain;
pub mod fleet;
pub mod merge;

pub use errors::{Error, Result};
