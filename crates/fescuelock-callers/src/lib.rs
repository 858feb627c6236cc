//! The API for callers: requests, sessions, responses and error bodies.

pub mod errors;
pub mod headers;
pub mod intake;
pub mod request;
pub mod responses;

pub use errors::{Error, Result};
