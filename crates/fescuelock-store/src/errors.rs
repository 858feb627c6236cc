//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` is the reason why a call to the platform failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The object's version does not satisfy the condition of the write.
    #[error("write conflict: the object has changed")]
    Conflict,
    /// The platform rejected the call, so it had no effect.
    #[error("the platform rejected the call with HTTP status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// No response was received. A write may or may not have taken effect.
    #[error("no response from the platform: {0}")]
    NoAnswer(fescuelock_http::Error),
    /// The response is larger than what is read of one. The same request gets it again.
    #[error("the response from the platform is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The platform no longer has the changes since the given revision. The collection must be
    /// listed again.
    #[error("the changes since the given revision have expired")]
    RevisionExpired,
    /// The listing cannot be read to its end. What was read of it is not the whole collection.
    #[error("the listing cannot be read to its end: {0}")]
    IncompleteListing(String),
    /// The response could not be decoded.
    #[error("malformed response from the platform: {0}")]
    Malformed(String),
}

impl Error {
    /// Returns whether the platform has answered with something that cannot be read. The platform is
    /// available, and the same request is likely to get the same answer.
    pub fn is_unreadable(&self) -> bool {
        match self {
            Error::TooLarge { .. } | Error::IncompleteListing(_) | Error::Malformed(_) => true,

            Error::Conflict
            | Error::Refused { .. }
            | Error::NoAnswer(_)
            | Error::RevisionExpired => false,
        }
    }
}

impl From<fescuelock_http::Error> for Error {
    fn from(error: fescuelock_http::Error) -> Self {
        match error {
            fescuelock_http::Error::TooLarge { limit_bytes } => Error::TooLarge { limit_bytes },
            other => Error::NoAnswer(other),
        }
    }
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
