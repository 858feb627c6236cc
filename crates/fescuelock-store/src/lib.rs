//! Access to the platform's store: objects, resources, VM list, configuration, claims and bills.
//!
//! All state that must be durable or consistent between nodes is kept in the platform's object API,
//! behind the [`objects::ObjectStore`] trait.

pub mod availability;
pub mod bills;
pub mod claim_record;
pub mod claims;
pub mod config;
pub mod errors;
pub mod http_store;
pub mod objects;
pub mod resources;
pub mod vms;

pub use errors::{Error, Result};
