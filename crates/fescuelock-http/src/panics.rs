//! Panics while a request is handled.

use std::panic::AssertUnwindSafe;

use futures_util::FutureExt;

/// Runs a future and returns the message of its panic if it panics.
///
/// # Errors
///
/// Returns the message of the panic.
pub async fn catch<T>(future: impl Future<Output = T>) -> Result<T, String> {
    // What a request shares with others is behind locks whose poisoning is ignored, or atomic.
    match AssertUnwindSafe(future).catch_unwind().await {
        Ok(output) => Ok(output),

        Err(payload) => Err(match payload.downcast_ref::<&str>() {
            Some(message) => (*message).to_owned(),
            None => payload.downcast_ref::<String>().cloned().unwrap_or_default(),
        }),
    }
}
