//! Structured log lines, bounded and without blocking.
//!
//! Each kind of line has a budget, so that a flood of one kind leaves room for the others, and what
//! is left out is counted by kind. Lines wait in memory for a task that writes them; a reader that
//! does not read stops only that task.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::{Drain, Logger, Never, OwnedKVList, Record, o, warn};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, sleep};

/// Bytes of lines that wait to be written. Further lines are left out and counted.
const BUFFER_MAX_BYTES: usize = 256 << 10;

/// Interval at which lines are written, in milliseconds. Writing in batches saves system calls.
const WRITE_INTERVAL_MS: u64 = 200;

/// Tag of the line at the end of a request.
pub const TAG_ENDED: &str = "ended";
/// Tag of the decisions about a request that failed, was late or was refused.
pub const TAG_DETAIL: &str = "detail";
/// Tag of the decisions about a request that was sampled.
pub const TAG_SAMPLE: &str = "sample";
/// Tag of lines that are never left out for their number: there are a few in a node's life.
pub const TAG_LIFE: &str = "life";

/// `Kind` is a kind of line with a budget of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Ended,
    Detail,
    Sample,
    Belief,
}

impl Kind {
    const ALL: [Kind; 4] = [Kind::Ended, Kind::Detail, Kind::Sample, Kind::Belief];

    /// Returns the kind of a tag, or `None` for lines without a budget.
    fn of(tag: &str) -> Option<Self> {
        match tag {
            TAG_LIFE => None,
            TAG_ENDED => Some(Kind::Ended),
            TAG_DETAIL => Some(Kind::Detail),
            TAG_SAMPLE => Some(Kind::Sample),
            _ => Some(Kind::Belief),
        }
    }

    /// Returns the lines a second that are written. A small VM serves up to some tens of requests a
    /// second; all kinds together come to about 40 KB a second, which collectors of logs take.
    fn per_s(self) -> f64 {
        match self {
            Kind::Ended => 60.0,
            Kind::Detail => 50.0,
            Kind::Sample => 5.0,
            Kind::Belief => 20.0,
        }
    }

    /// Returns the lines that are written at once after a quiet time: a second's worth of requests,
    /// and what a node learns of a large fleet at its start.
    fn burst(self) -> f64 {
        match self {
            Kind::Ended | Kind::Detail => self.per_s(),
            // All decisions about a few requests that end together.
            Kind::Sample => 20.0,
            Kind::Belief => 300.0,
        }
    }
}

/// `Budget` is what is left of a kind's lines.
#[derive(Debug, Clone, Copy)]
struct Budget {
    left: f64,
    updated: Instant,
}

/// `LeftOut` counts lines that were not written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeftOut {
    /// Ends of requests.
    pub ended: u64,
    /// Decisions about requests that failed, were late or were refused.
    pub detail: u64,
    /// Decisions about sampled requests.
    pub sample: u64,
    /// Changes of what the node believes.
    pub belief: u64,
    /// Lines of any kind for which the buffer had no room.
    pub unwritten: u64,
}

impl LeftOut {
    /// Returns the number of all lines.
    pub fn total(&self) -> u64 {
        self.ended + self.detail + self.sample + self.belief + self.unwritten
    }

    fn of(&mut self, kind: Kind) -> &mut u64 {
        match kind {
            Kind::Ended => &mut self.ended,
            Kind::Detail => &mut self.detail,
            Kind::Sample => &mut self.sample,
            Kind::Belief => &mut self.belief,
        }
    }
}

/// `Lines` holds log lines until they are written.
#[derive(Debug, Clone, Default)]
pub struct Lines {
    buffer: Arc<Mutex<Buffer>>,
}

#[derive(Debug, Default)]
struct Buffer {
    whole: Vec<u8>,
    line: Vec<u8>,
    budgets: [Option<Budget>; Kind::ALL.len()],
    left_out: LeftOut,
    left_out_total: u64,
}

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.line.extend_from_slice(bytes);
        if buffer.line.ends_with(b"\n") {
            let line = std::mem::take(&mut buffer.line);
            match buffer.whole.len() + line.len() <= BUFFER_MAX_BYTES {
                true => buffer.whole.extend_from_slice(&line),
                false => {
                    buffer.left_out.unwritten += 1;
                    buffer.left_out_total += 1;
                }
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// `Budgeted` passes on the lines that their kind's budget allows.
struct Budgeted<D> {
    lines: Lines,
    drain: D,
}

impl<D: Drain<Ok = (), Err = Never>> Drain for Budgeted<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        match Kind::of(record.tag()) {
            Some(kind) if !self.lines.take_budget(kind) => Ok(()),
            _ => self.drain.log(record, values),
        }
    }
}

impl Lines {
    /// Builds the logger that writes to these lines.
    pub fn logger(&self, node: &str) -> Logger {
        let format = slog_json::Json::default(self.clone());
        let drain = Budgeted { lines: self.clone(), drain: Mutex::new(format).fuse() };
        Logger::root(drain.fuse(), o!("node" => node.to_owned()))
    }

    /// Takes the lines that wait, and how many were left out since the last call.
    pub fn take(&self) -> (Vec<u8>, LeftOut) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        (std::mem::take(&mut buffer.whole), std::mem::take(&mut buffer.left_out))
    }

    /// Returns how many lines were left out since the start.
    pub fn left_out_total(&self) -> u64 {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner).left_out_total
    }

    /// Takes a line of a kind from its budget, or counts it as left out.
    fn take_budget(&self, kind: Kind) -> bool {
        let now = Instant::now();
        let burst = kind.burst();
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let budget =
            buffer.budgets[kind as usize].get_or_insert(Budget { left: burst, updated: now });
        let earned = now.saturating_duration_since(budget.updated).as_secs_f64() * kind.per_s();
        budget.left = (budget.left + earned).min(burst);
        budget.updated = now;
        if budget.left >= 1.0 {
            budget.left -= 1.0;
            return true;
        }
        *buffer.left_out.of(kind) += 1;
        buffer.left_out_total += 1;
        false
    }

    /// Writes lines until the task is dropped or the output is closed.
    pub async fn write_out(self, mut output: impl AsyncWrite + Unpin, logger: Logger) {
        loop {
            sleep(Duration::from_millis(WRITE_INTERVAL_MS)).await;
            let (lines, left_out) = self.take();
            if left_out.total() > 0 {
                warn!(logger, #TAG_LIFE, "log lines left out"; "ended" => left_out.ended,
                    "detail" => left_out.detail, "sample" => left_out.sample,
                    "belief" => left_out.belief, "unwritten" => left_out.unwritten);
            }
            if lines.is_empty() {
                continue;
            }
            let written = output.write_all(&lines).await;
            if written.is_err() || output.flush().await.is_err() {
                // The output is closed: there is no one to tell.
                return;
            }
        }
    }
}
