//! Structured logs in text or JSON.

use std::io::stderr;

use slog::{Drain, Logger, o};

use crate::settings::LogForm;

/// Builds the logger of a node. Its lines go to standard error.
pub fn logger(form: LogForm, node: &str) -> Logger {
    let drain = match form {
        LogForm::Text => {
            let decorator = slog_term::PlainDecorator::new(stderr());
            let format = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(format).build()
        }

        LogForm::Json => {
            let format = slog_json::Json::default(stderr()).fuse();
            slog_async::Async::new(format).build()
        }
    };
    Logger::root(drain.fuse(), o!("node" => node.to_owned()))
}

/// Builds a logger that drops all lines.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
