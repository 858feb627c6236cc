//! Splits an engine's stream of server-sent events without parsing the JSON of each token.

use bytes::{Bytes, BytesMut};
use fescuelock_core::ids::RequestId;
use fescuelock_core::rules::ResponseIdSource;
use fescuelock_core::units::Usage;
use memchr::memmem;
use serde::Deserialize;

use crate::chat::Continuation;
use crate::{Error, Result};

/// Maximum size of an event, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;
/// Separates events: an empty line.
const EVENT_DELIMITER: &[u8] = b"\n\n";
/// Name of the data field, at the start of an event.
const DATA_PREFIX: &[u8] = b"data:";
/// Starts of comments and of fields that the chat-completions API does not use.
const UNUSED_PREFIXES: [&[u8]; 4] = [b":", b"event:", b"id:", b"retry:"];
/// Data of the event that ends a stream.
const DONE_MARKER: &[u8] = b"[DONE]";

/// `EventBatch` holds the complete events found after a chunk of the stream was read.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// Complete events to forward to the caller.
    pub events: Bytes,
    /// Whether the `[DONE]` event was read.
    pub ended: bool,
}

/// `StreamReader` splits a stream into events and checks that all belong to one answer.
#[derive(Debug, Clone)]
pub struct StreamReader {
    expected_id: Option<Vec<u8>>,
    buffer: BytesMut,
    escaped_text: Vec<u8>,
    tokens: u64,
    has_finish_reason: bool,
    usage: Option<Usage>,
}

/// `UsageEvent` is the part of an event that reports the token usage of the answer.
#[derive(Debug, Deserialize)]
struct UsageEvent {
    usage: Option<Usage>,
}

/// `IdEvent` is the part of an event that carries the id of the answer.
#[derive(Debug, Deserialize)]
struct IdEvent {
    id: String,
}

impl StreamReader {
    /// Builds a reader for the answer to a request.
    pub fn new(id: RequestId, ids: ResponseIdSource) -> Self {
        let expected_id = match ids {
            ResponseIdSource::Echoed => Some(id.to_string().into_bytes()),
            ResponseIdSource::Own => None,
        };
        StreamReader {
            expected_id,
            buffer: BytesMut::new(),
            escaped_text: Vec::new(),
            tokens: 0,
            has_finish_reason: false,
            usage: None,
        }
    }

    /// Prepares to read the rest of an interrupted answer, keeping the text and tokens that were
    /// already forwarded.
    pub fn resume(&mut self, id: RequestId, ids: ResponseIdSource) {
        let fresh = StreamReader::new(id, ids);
        self.expected_id = fresh.expected_id;
        self.buffer.clear();
        self.has_finish_reason = false;
        self.usage = None;
    }

    /// Adds a chunk of the stream and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::IdMismatch`] if an event carries another answer's id, and
    /// [`Error::Malformed`] if an event does not follow the chat-completions API or is too large.
    pub fn read(&mut self, chunk: &[u8]) -> Result<EventBatch> {
        self.buffer.extend_from_slice(chunk);
        let Some(last) = memmem::rfind(&self.buffer, EVENT_DELIMITER) else {
            return match self.buffer.len() > EVENT_MAX_BYTES {
                true => Err(Error::Malformed("an event is too large".to_owned())),
                false => Ok(EventBatch::default()),
            };
        };
        let whole = self.buffer.split_to(last + EVENT_DELIMITER.len()).freeze();
        let mut forward_end = 0;
        let mut position = 0;
        while let Some(length) = memmem::find(&whole[position..], EVENT_DELIMITER) {
            let next = position + length + EVENT_DELIMITER.len();
            match self.read_event(&whole[position..position + length])? {
                EventKind::Content => forward_end = next,

                // The usage event and the `[DONE]` event come last, and the router writes its own.
                EventKind::Usage => {}

                EventKind::Done => {
                    return Ok(EventBatch { events: whole.slice(..forward_end), ended: true });
                }
            }
            position = next;
        }
        Ok(EventBatch { events: whole.slice(..forward_end), ended: false })
    }

    /// Tells whether the engine sent a finish reason. Without one, the answer is incomplete even if
    /// the `[DONE]` event was read.
    pub fn has_finish_reason(&self) -> bool {
        self.has_finish_reason
    }

    /// Returns the usage that the engine reported, or else the number of tokens that were read.
    pub fn usage(&self) -> Usage {
        self.usage.unwrap_or(Usage { input_tokens: 0, output_tokens: self.tokens })
    }

    /// Tells whether the engine reported its usage.
    pub fn has_usage(&self) -> bool {
        self.usage.is_some()
    }

    /// Returns the text and tokens read so far, for a request that continues the answer.
    pub fn continuation(&self) -> Continuation {
        // The text was collected from the events in its JSON-escaped form.
        let quoted = [b"\"", self.escaped_text.as_slice(), b"\""].concat();
        let text = serde_json::from_slice(&quoted).unwrap_or_default();
        Continuation { text, tokens: self.tokens }
    }

    fn read_event(&mut self, event: &[u8]) -> Result<EventKind> {
        let Some(data) = event_data(event)? else {
            return Ok(EventKind::Content);
        };
        let data = data.trim_ascii();
        if data == DONE_MARKER {
            return Ok(EventKind::Done);
        }
        self.check_id(data)?;
        if memmem::find(data, b"\"usage\":{").is_some() {
            let event: UsageEvent = serde_json::from_slice(data)
                .map_err(|error| Error::Malformed(error.to_string()))?;
            self.usage = event.usage;
            if memmem::find(data, b"\"choices\":[]").is_some() {
                return Ok(EventKind::Usage);
            }
        }
        if let Some(text) = delta_content(data) {
            self.escaped_text.extend_from_slice(text);
            self.tokens += 1;
        }
        if memmem::find(data, b"\"finish_reason\":\"").is_some() {
            self.has_finish_reason = true;
        }
        Ok(EventKind::Content)
    }

    fn check_id(&mut self, data: &[u8]) -> Result<()> {
        match &self.expected_id {
            Some(id) if memmem::find(data, id).is_some() => Ok(()),

            Some(_) => Err(Error::IdMismatch),

            // The engine generates its own ids: all later events must carry the first event's id.
            None => {
                let event: IdEvent = serde_json::from_slice(data)
                    .map_err(|error| Error::Malformed(error.to_string()))?;
                self.expected_id = Some(event.id.into_bytes());
                Ok(())
            }
        }
    }
}

/// `EventKind` tells what an event carries.
enum EventKind {
    Content,
    Usage,
    Done,
}

/// Returns the data of an event, or `None` if it consists of comments and of fields that the
/// chat-completions API does not use.
///
/// Stricter than the standard, which ignores unknown lines: the text of an error and the head of a
/// response consist of such lines.
fn event_data(event: &[u8]) -> Result<Option<&[u8]>> {
    let mut start = 0;
    for line in event.split(|&byte| byte == b'\n') {
        if line.starts_with(DATA_PREFIX) {
            return Ok(Some(&event[start + DATA_PREFIX.len()..]));
        }
        let is_known = UNUSED_PREFIXES.iter().any(|prefix| line.starts_with(prefix));
        if !line.is_empty() && !is_known {
            return Err(Error::Malformed("text in place of an event".to_owned()));
        }
        start += line.len() + 1;
    }
    Ok(None)
}

/// Returns the text of an event, still JSON-escaped.
fn delta_content(data: &[u8]) -> Option<&[u8]> {
    const FIELD: &[u8] = b"\"content\":\"";
    let start = memmem::find(data, FIELD)? + FIELD.len();
    let mut escaped = false;
    for (offset, &byte) in data[start..].iter().enumerate() {
        match byte {
            b'"' if !escaped => return Some(&data[start..start + offset]),
            b'\\' => escaped = !escaped,
            _ => escaped = false,
        }
    }
    None
}
