//! The router of an entry VM: settings, request handling and the lifecycle of a node.
//!
//! [`handler`] handles a request from its headers to its response, [`attempts`] sends it to upstreams,
//! [`relay`] forwards streams and [`node`] starts and stops a node.

pub mod attempts;
pub mod chat;
pub mod errors;
pub mod handler;
pub mod hosted;
mod local;
pub mod logs;
pub mod node;
pub mod relay;
mod segment;
pub mod service;
pub mod settings;

pub use errors::{Error, Result};
