//! Splits a stream of server-sent events into complete events and tracks their ids.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Blank line that terminates an event. Only LF line ends are recognised, not CR LF.
const EVENT_TERMINATOR: &[u8] = b"\n\n";

/// Prefix of the line that holds an event's id.
const ID_PREFIX: &[u8] = b"id:";

/// Maximum size of a partial event in the buffer, in bytes. A larger event is forwarded in parts as
/// it arrives.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// `EventReader` buffers partial events, so that an interrupted stream ends between two events and
/// can be resumed there. Events larger than `EVENT_MAX_BYTES` are an exception.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    last_id: Option<u64>,
    event_count: u64,
}

impl EventReader {
    /// Creates a reader for a stream of which the caller already has the events up to `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        EventReader { last_id, ..EventReader::default() }
    }

    /// Adds a chunk of the stream and returns the events that are complete.
    ///
    /// Events with an id up to [`Self::last_id`] are duplicates and left out.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(chunk);
        let Some(last) = memmem::rfind(&self.buffer, EVENT_TERMINATOR) else {
            let length = if self.buffer.len() > EVENT_MAX_BYTES { self.buffer.len() } else { 0 };
            return self.buffer.split_to(length).freeze();
        };
        let complete = self.buffer.split_to(last + EVENT_TERMINATOR.len()).freeze();
        let mut unseen = BytesMut::new();
        let mut position = 0;
        let mut has_duplicates = false;
        while let Some(length) = memmem::find(&complete[position..], EVENT_TERMINATOR) {
            let next = position + length + EVENT_TERMINATOR.len();
            let event = &complete[position..next];
            match (event_id(event), self.last_id) {
                (Some(id), Some(last)) if id <= last => has_duplicates = true,

                (id, _) => {
                    self.last_id = id.or(self.last_id);
                    self.event_count += 1;
                    unseen.extend_from_slice(event);
                }
            }
            position = next;
        }
        if has_duplicates { unseen.freeze() } else { complete }
    }

    /// Discards the partial event of an interrupted stream before another upstream resumes it.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns whether the buffer holds a partial event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of events that were returned.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns the id of the last event that was returned and has one, or else the id passed to
    /// [`Self::new`].
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the id of an event, if it has one that is a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(ID_PREFIX))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
