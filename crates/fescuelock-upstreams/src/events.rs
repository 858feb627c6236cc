//! Reads an engine's stream of server-sent events without decoding each token.

use bytes::{Bytes, BytesMut};
use fescuelock_core::ids::RequestId;
use fescuelock_core::rules::StreamIds;
use fescuelock_core::units::Usage;
use memchr::memmem;
use serde::Deserialize;

use crate::chat::Continuation;
use crate::{Error, Result};

/// Largest event that is accepted, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;
/// Ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Begins the data of an event.
const DATA_PREFIX: &[u8] = b"data:";
/// The data of the event that ends a stream.
const END_MARKER: &[u8] = b"[DONE]";

/// `Batch` is what can be forwarded after a chunk of the stream was read.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Whole events for the caller.
    pub events: Bytes,
    /// Whether the end marker was read.
    pub ended: bool,
}

/// `StreamReader` splits a stream into events and checks that they belong to one request.
#[derive(Debug)]
pub struct StreamReader {
    expected_id: Option<Vec<u8>>,
    buffer: BytesMut,
    text: Vec<u8>,
    tokens: u64,
    finished: bool,
    usage: Option<Usage>,
}

/// `UsageEvent` is the event that closes the count of tokens.
#[derive(Debug, Deserialize)]
struct UsageEvent {
    usage: Option<Usage>,
}

/// `IdEvent` is the part of an event that names the answer.
#[derive(Debug, Deserialize)]
struct IdEvent {
    id: String,
}

impl StreamReader {
    /// Starts to read the answer to a request.
    pub fn new(id: RequestId, ids: StreamIds) -> Self {
        let expected_id = match ids {
            StreamIds::Echoed => Some(id.to_string().into_bytes()),
            StreamIds::Own => None,
        };
        StreamReader {
            expected_id,
            buffer: BytesMut::new(),
            text: Vec::new(),
            tokens: 0,
            finished: false,
            usage: None,
        }
    }

    /// Starts to read the rest of an answer that was cut, keeping what has been forwarded.
    pub fn resume(&mut self, id: RequestId, ids: StreamIds) {
        let fresh = StreamReader::new(id, ids);
        self.expected_id = fresh.expected_id;
        self.buffer.clear();
        self.finished = false;
        self.usage = None;
    }

    /// Takes a chunk of the stream and returns the events that are complete.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Crossed`] if an event carries another answer's id and [`Error::Malformed`]
    /// if an event is not of the published form.
    pub fn read(&mut self, chunk: &[u8]) -> Result<Batch> {
        self.buffer.extend_from_slice(chunk);
        let Some(last) = memmem::rfind(&self.buffer, EVENT_END) else {
            return match self.buffer.len() > EVENT_MAX_BYTES {
                true => Err(Error::Malformed("an event is too large".to_owned())),
                false => Ok(Batch::default()),
            };
        };
        let whole = self.buffer.split_to(last + EVENT_END.len()).freeze();
        let mut forward_end = 0;
        let mut position = 0;
        while let Some(length) = memmem::find(&whole[position..], EVENT_END) {
            let next = position + length + EVENT_END.len();
            match self.read_event(&whole[position..position + length])? {
                EventKind::Content => forward_end = next,

                // The usage event and the end marker come last and are written anew by the router.
                EventKind::Usage => {}

                EventKind::End => {
                    return Ok(Batch { events: whole.slice(..forward_end), ended: true });
                }
            }
            position = next;
        }
        Ok(Batch { events: whole.slice(..forward_end), ended: false })
    }

    /// Tells whether the engine gave a reason for the answer's end before the end marker.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the usage that the engine stated, or else the tokens that were counted.
    pub fn usage(&self) -> Usage {
        self.usage.unwrap_or(Usage { input_tokens: 0, output_tokens: self.tokens })
    }

    /// Tells whether the engine stated its usage.
    pub fn has_usage(&self) -> bool {
        self.usage.is_some()
    }

    /// Returns what has been forwarded, for a request for the rest.
    pub fn continuation(&self) -> Continuation {
        // The text is kept as it stood in the events, still escaped.
        let quoted = [b"\"", self.text.as_slice(), b"\""].concat();
        let text = serde_json::from_slice(&quoted).unwrap_or_default();
        Continuation { text, tokens: self.tokens }
    }

    fn read_event(&mut self, event: &[u8]) -> Result<EventKind> {
        let Some(data) = event.strip_prefix(DATA_PREFIX) else {
            // A comment or a field that the published form does not use.
            return Ok(EventKind::Content);
        };
        let data = data.trim_ascii();
        if data == END_MARKER {
            return Ok(EventKind::End);
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
        if let Some(text) = content_of(data) {
            self.text.extend_from_slice(text);
            self.tokens += 1;
        }
        if memmem::find(data, b"\"finish_reason\":\"").is_some() {
            self.finished = true;
        }
        Ok(EventKind::Content)
    }

    fn check_id(&mut self, data: &[u8]) -> Result<()> {
        match &self.expected_id {
            Some(id) if memmem::find(data, id).is_some() => Ok(()),

            Some(_) => Err(Error::Crossed),

            // The engine draws ids of its own: the first event's id binds all that follow.
            None => {
                let event: IdEvent = serde_json::from_slice(data)
                    .map_err(|error| Error::Malformed(error.to_string()))?;
                self.expected_id = Some(event.id.into_bytes());
                Ok(())
            }
        }
    }
}

/// `EventKind` tells what an event is for.
enum EventKind {
    Content,
    Usage,
    End,
}

/// Returns the text of an event, still escaped.
fn content_of(data: &[u8]) -> Option<&[u8]> {
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
