//! Load generator and experiments: deployments in one process, clients that verify every answer,
//! and the experiments that measure the router.

pub mod caller;
pub mod cluster;
pub mod demo;
pub mod errors;
pub mod experiments;
pub mod samples;

pub use errors::{Error, Result};
