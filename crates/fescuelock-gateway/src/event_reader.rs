//! Splits a stream of server-sent events into complete events and tracks their ids.

use bytes::{Bytes, BytesMut};
use fescuelock_policy::event_stream::{
    self, ContinuationHead, EventCheck, StreamPosition, check_event,
};
use http::{HeaderMap, header};
use memchr::memmem;

use crate::dispatch::UpstreamResponse;
use crate::handler::RoutedRequest;

/// Blank line that terminates an event. Only LF line ends are recognised, not CR LF.
const EVENT_TERMINATOR: &[u8] = b"\n\n";

/// Maximum size of an event, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Returns whether a response may continue an interrupted stream.
pub fn may_continue(request: &RoutedRequest, upstream_response: &UpstreamResponse) -> bool {
    let headers = &upstream_response.headers;
    event_stream::may_continue(&ContinuationHead {
        status: upstream_response.status.as_u16(),
        content_type: content_type(headers),
        is_encoded: headers.contains_key(header::CONTENT_ENCODING),
        identity: upstream_response.identity,
        has_request_id: request.parsed_headers.request_id.is_some(),
    })
}

/// Returns whether a response says that it is a stream of events, and where its body ends.
pub fn states_end(headers: &HeaderMap) -> bool {
    let is_framed = headers.contains_key(header::TRANSFER_ENCODING)
        || headers.contains_key(header::CONTENT_LENGTH);
    is_framed && content_type(headers).is_some_and(event_stream::is_event_stream)
}

fn content_type(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok())
}

/// `EventReader` buffers partial events, so that an interrupted stream ends between two events and
/// can be resumed there. It returns only text that is an event of the stream.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    position: StreamPosition,
    event_count: u64,
    is_invalid: bool,
    states_end: bool,
}

impl EventReader {
    /// Creates a reader for a stream of which the caller already has the events up to `last_id`.
    ///
    /// `states_end` is explained at [`Self::resume`].
    pub fn new(last_id: Option<u64>, states_end: bool) -> Self {
        // How the events that the caller has were numbered is not known.
        let has_earlier = last_id.is_some();
        let position = StreamPosition { last_id, is_resumed: has_earlier, has_gaps: has_earlier };
        EventReader { position, states_end, ..EventReader::default() }
    }

    /// Adds a chunk of the stream and returns the events that are complete.
    ///
    /// Events with an id up to [`Self::last_id`] are duplicates and left out. Nothing is returned
    /// from the first text on that is not an event of the stream, see [`Self::is_invalid`].
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        if self.is_invalid {
            return Bytes::new();
        }
        self.buffer.extend_from_slice(chunk);
        let Some(last) = memmem::rfind(&self.buffer, EVENT_TERMINATOR) else {
            self.is_invalid = self.buffer.len() > EVENT_MAX_BYTES;
            return Bytes::new();
        };
        let complete = self.buffer.split_to(last + EVENT_TERMINATOR.len()).freeze();
        let mut unseen = BytesMut::new();
        let mut start = 0;
        let mut is_unchanged = true;
        while let Some(length) = memmem::find(&complete[start..], EVENT_TERMINATOR) {
            let next = start + length + EVENT_TERMINATOR.len();
            let event = &complete[start..next];
            match check_event(event, &self.position) {
                EventCheck::Next(id) => {
                    id.into_iter().for_each(|id| self.position.advance(id));
                    self.event_count += 1;
                    unseen.extend_from_slice(event);
                }

                EventCheck::Repeated => is_unchanged = false,

                EventCheck::Invalid => {
                    self.is_invalid = true;
                    return unseen.freeze();
                }
            }
            start = next;
        }
        if is_unchanged { complete } else { unseen.freeze() }
    }

    /// Discards the partial event of an interrupted stream before another upstream resumes it.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.is_invalid = false;
    }

    /// Prepares for the events of another engine, which must follow those before.
    ///
    /// `states_end` tells whether the response says that it is a stream and where it ends. Without
    /// that, a response without events is not one of which nothing was left.
    pub fn resume(&mut self, states_end: bool) {
        self.discard_partial();
        self.position.is_resumed = self.position.last_id.is_some();
        self.states_end = states_end;
    }

    /// Returns whether the engine sent text that is not an event of the stream.
    pub fn is_invalid(&self) -> bool {
        self.is_invalid
    }

    /// Returns whether the stream is complete if its body ends now.
    pub fn is_complete(&self) -> bool {
        let has_events = self.position.last_id.is_some() && !self.position.is_resumed;
        let has_nothing_left = self.position.is_resumed && self.states_end;
        !self.has_partial() && !self.is_invalid && (has_events || has_nothing_left)
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
        self.position.last_id
    }
}
