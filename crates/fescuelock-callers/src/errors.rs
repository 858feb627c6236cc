//! The error type of this crate. Parsing a request fails only with a refusal.

pub use fescuelock_core::refusal::Refusal as Error;

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
