//! The error type of this crate: a caller's request fails here only by refusal.

pub use fescuelock_core::refusal::Refusal as Error;

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
