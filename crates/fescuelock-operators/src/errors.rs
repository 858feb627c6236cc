//! The error type of this crate.

use fescuelock_core::rules::{Change, Problem};
use thiserror::Error as ThisError;

/// `Error` lists why an operator's command did not do what it was asked for.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The rules have errors, and nothing was applied.
    #[error("the rules have errors; nothing was applied")]
    InvalidRules(Vec<Problem>),
    /// Another change was applied first, and nothing was overwritten.
    #[error(
        "the rules were changed to generation {current} after generation {base}; nothing was \
         applied"
    )]
    Conflict {
        /// Generation that the edit was based on.
        base: u64,
        /// Generation that is in the platform.
        current: u64,
        /// What the other change did.
        changes: Vec<Change>,
    },
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The platform could not be used.
    #[error("platform: {0}")]
    Platform(#[from] fescuelock_store::Error),
    /// A node could not be reached or answered with an error.
    #[error("node {address}: {reason}")]
    Node {
        /// Operators' address of the node.
        address: String,
        /// What went wrong.
        reason: String,
    },
    /// Some nodes did not follow in time.
    #[error("generation {generation} is not in force on {nodes:?}")]
    Lagging {
        /// The generation that was waited for.
        generation: u64,
        /// Addresses of the nodes that lag or did not answer.
        nodes: Vec<String>,
    },
    /// No log line tells how a request ended.
    #[error("no line among {lines} tells how {request} ended; nodes left out {left_out} lines")]
    NoRequest {
        /// Id of the request.
        request: String,
        /// Lines that were read.
        lines: u64,
        /// Lines that nodes say they left out.
        left_out: u64,
    },
    /// The platform holds no rules yet.
    #[error("no rules have been applied yet")]
    NoRules,
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit code of the command-line client for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::InvalidRules(_) => 3,
            Error::Conflict { .. } => 4,
            Error::Platform(_) => 5,
            Error::Node { .. } | Error::Lagging { .. } => 6,
            Error::File { .. } | Error::NoRules | Error::NoRequest { .. } => 1,
        }
    }
}
