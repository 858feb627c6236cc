//! The router of an entry VM: settings, the request path and the life of a node.
//!
//! [`path`] follows a request from its head to its answer, [`relay`] forwards a stream and [`node`]
//! starts and stops all of it.

pub mod chat;
pub mod errors;
pub mod hosted;
mod local;
pub mod logs;
pub mod node;
pub mod path;
pub mod relay;
pub mod service;
pub mod settings;

pub use errors::{Error, Result};
