//! The callers' side: requests, sessions, answers and error bodies.

pub mod answer;
pub mod errors;
pub mod headers;
pub mod intake;
pub mod request;

pub use errors::{Error, Result};
