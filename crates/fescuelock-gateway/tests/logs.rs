//! Log lines are rate-limited, dropped lines are counted, and a stalled reader can't block a node.

use std::io::Error;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use fescuelock_gateway::log::LogBuffer;
use fescuelock_gateway::trace::Trace;
use slog::info;
use tokio::io::AsyncWrite;
use tokio::time::{Instant, sleep};

/// Upper bound on the log volume of a node under any load, in bytes per second, as documented for
/// operators.
const LOG_BYTES_PER_S_MAX: usize = 45_000;

/// `StalledOutput` is an output that never accepts data, as if its reader had stalled.
struct StalledOutput;

impl AsyncWrite for StalledOutput {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Poll::Pending
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Pending
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Pending
    }
}

/// `FullOutput` is an output on a disk that is full for the first few writes. It takes half of each of
/// them.
#[derive(Clone, Default)]
struct FullOutput {
    written: Arc<Mutex<Vec<u8>>>,
    failures: usize,
}

impl AsyncWrite for FullOutput {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let is_full = self.failures > 0;
        self.failures = self.failures.saturating_sub(1);
        let taken = if is_full { bytes.len() / 2 } else { bytes.len() };
        self.written.lock().expect("no test panics here").extend_from_slice(&bytes[..taken]);
        Poll::Ready(if is_full { Err(Error::other("disk full")) } else { Ok(taken) })
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Logs a refused request with one decision.
fn log_refusal(logger: &slog::Logger, id: u64) {
    let mut trace = Trace::new(logger, &format!("{id:016x}"), Instant::now());
    trace.set_route(4, "route", 1_500);
    trace.add(
        "refused",
        "AtCapacity(40.0), AdmissionContext { waited_ms: 0.0, target_ms: 1500.0 }".to_owned(),
    );
    trace.finish("refused", 503, 1);
}

#[tokio::test(start_paused = true)]
async fn log_volume_limited() {
    let log_buffer = LogBuffer::default();
    let logger = log_buffer.logger("edge-1");
    let (mut written_bytes, mut written, mut dropped) = (0, 0, 0);
    // A node refuses 1,000 requests per second for a minute.
    for id in 0..60_000 {
        log_refusal(&logger, id);
        sleep(Duration::from_millis(1)).await;
        if id % 200 == 199 {
            let (bytes, count) = log_buffer.drain_lines();
            written_bytes += bytes.len();
            written += bytes.iter().filter(|byte| **byte == b'\n').count();
            dropped += count.total();
        }
    }
    assert!(written_bytes <= 60 * LOG_BYTES_PER_S_MAX, "{written_bytes}");
    assert_eq!(written as u64 + dropped, 2 * 60_000);
    assert_eq!(log_buffer.dropped_total(), dropped);
    // The rate limit of one kind of line doesn't drop lines of the other kinds.
    info!(logger, "configuration adopted"; "version" => 5);
    assert!(
        String::from_utf8(log_buffer.drain_lines().0).unwrap().contains("configuration adopted")
    );
}

#[tokio::test(start_paused = true)]
async fn stalled_output_ignored() {
    let log_buffer = LogBuffer::default();
    let logger = log_buffer.logger("edge-1");
    let writer = tokio::spawn(log_buffer.clone().write_out(StalledOutput, logger.clone()));
    let started = std::time::Instant::now();
    for id in 0..20_000 {
        log_refusal(&logger, id);
        sleep(Duration::from_millis(10)).await;
    }
    // Measured in real time: no call waited for the reader. The buffer stays within its limit.
    assert!(started.elapsed() < Duration::from_secs(10));
    assert!(!writer.is_finished());
    let (waiting, dropped) = log_buffer.drain_lines();
    assert!(waiting.len() <= 256 << 10, "{}", waiting.len());
    assert!(dropped.buffer_full > 0);
    writer.abort();
}

/// A disk that was full for a moment ended the log of a node that ran on.
#[tokio::test(start_paused = true)]
async fn output_full_for_while() {
    let log_buffer = LogBuffer::default();
    let logger = log_buffer.logger("edge-1");
    let output = FullOutput { failures: 3, ..FullOutput::default() };
    let writer = tokio::spawn(log_buffer.clone().write_out(output.clone(), logger.clone()));
    for id in 0..20 {
        log_refusal(&logger, id);
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_secs(1)).await;
    writer.abort();
    let written = output.written.lock().expect("the writer does not panic").clone();
    let text = String::from_utf8(written).expect("the log is text");
    let is_whole = |line: &&str| line.starts_with('{') && line.ends_with('}');
    let whole: Vec<&str> = text.lines().filter(is_whole).collect();
    for id in 0..20 {
        let id = format!("{id:016x}");
        let ends = whole.iter().filter(|line| line.contains("request ended") && line.contains(&id));
        assert!(ends.count() > 0, "request {id} is missing: {text}");
    }
    assert_eq!(whole.iter().filter(|line| line.contains("log output failed")).count(), 1, "{text}");
}
