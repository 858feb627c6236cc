//! Decides which events of an engine's stream may reach the caller, and which responses may continue
//! an interrupted stream.
//!
//! Load pattern: an engine fails while it streams, or in place of the rest of a stream that another
//! engine began, and its error text or the head of a response arrives where an event is due.

use crate::answer_identity::AnswerIdentity;

/// Media type of server-sent events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Name of the field that holds an event's id.
const ID_FIELD: &[u8] = b"id";

/// Name of the field that holds the time after which a client reconnects.
const RETRY_FIELD: &[u8] = b"retry";

/// `EventCheck` is the result of checking one event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventCheck {
    /// The event follows the ones before it. Holds its id, if it has one.
    Next(Option<u64>),
    /// The event was received before.
    Repeated,
    /// The text is not an event of this stream.
    Invalid,
}

/// `StreamPosition` is the place in a stream at which the next event is due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamPosition {
    /// Id of the last event.
    pub last_id: Option<u64>,
    /// Whether the next event is the first one of an engine that continues a stream.
    pub is_resumed: bool,
    /// Whether the ids so far had gaps or are not known, so that a gap says nothing about missing
    /// events.
    pub has_gaps: bool,
}

/// `ContinuationHead` describes the head of a response that is to continue a stream.
#[derive(Debug, Clone, Copy)]
pub struct ContinuationHead<'a> {
    /// Status code.
    pub status: u16,
    /// Media type, if one is given.
    pub content_type: Option<&'a str>,
    /// Whether the body is encoded, so that its bytes are not the engine's events.
    pub is_encoded: bool,
    /// Whether the response belongs to the request.
    pub identity: AnswerIdentity,
    /// Whether the request had an id that the engine should have repeated.
    pub has_request_id: bool,
}

/// Returns whether a response may continue an interrupted stream.
pub fn may_continue(head: &ContinuationHead<'_>) -> bool {
    let is_identified = match head.identity {
        AnswerIdentity::Confirmed => true,
        AnswerIdentity::Unlabelled => !head.has_request_id,
        AnswerIdentity::Foreign => false,
    };
    is_identified
        && (200..300).contains(&head.status)
        && !head.is_encoded
        && head.content_type.is_none_or(is_event_stream)
}

/// Returns whether a media type is that of server-sent events, with or without parameters.
pub fn is_event_stream(content_type: &str) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    media_type.eq_ignore_ascii_case(EVENT_STREAM_TYPE)
}

/// Returns whether the text between two blank lines consists of fields and comments of server-sent
/// events.
///
/// Stricter than the standard, which ignores unknown lines: the text of an error and the head of a
/// response consist of such lines.
pub fn is_well_formed(event: &[u8]) -> bool {
    event.split(|&byte| byte == b'\n').filter(|line| !line.is_empty()).all(|line| {
        let name_bytes = line.iter().position(|&byte| byte == b':');
        let is_name = |name: &[u8]| {
            name.iter().all(|byte| byte.is_ascii_lowercase() || *byte == b'-' || *byte == b'_')
        };
        // A comment has an empty name.
        name_bytes.is_some_and(|end| is_name(&line[..end])) && !line.contains(&b'\r')
    })
}

/// Checks one event, with or without the blank line that ends it, at a position of the stream.
///
/// Once a stream has ids, each event must have one, as the stream could not be resumed after an
/// event without. Comments, reconnection times and blank lines are no events.
pub fn check_event(event: &[u8], position: &StreamPosition) -> EventCheck {
    if !is_well_formed(event) {
        return EventCheck::Invalid;
    }
    let lines = event.split(|&byte| byte == b'\n').filter(|line| !line.is_empty());
    let holds_no_event = lines.clone().all(|line| line.starts_with(b":") || is_retry_time(line));
    let mut ids = lines.filter_map(|line| field_value(line, ID_FIELD));
    match (ids.next().map(parse_id), ids.next(), position.last_id) {
        (Some(Some(id)), None, Some(last)) if id <= last => EventCheck::Repeated,

        // The engine before numbered its events one by one, so events are missing here.
        (Some(Some(id)), None, Some(last))
            if position.is_resumed && !position.has_gaps && id > last + 1 =>
        {
            EventCheck::Invalid
        }

        (Some(Some(id)), None, _) => EventCheck::Next(Some(id)),

        (None, None, None) => EventCheck::Next(None),

        (None, None, Some(_)) if holds_no_event => EventCheck::Next(None),

        _ => EventCheck::Invalid,
    }
}

impl StreamPosition {
    /// Advances past an event with an id.
    pub fn advance(&mut self, id: u64) {
        self.has_gaps |= self.last_id.is_some_and(|last| id > last + 1);
        self.last_id = Some(id);
        self.is_resumed = false;
    }
}

fn is_retry_time(line: &[u8]) -> bool {
    field_value(line, RETRY_FIELD).is_some_and(|value| {
        let digits = value.trim_ascii();
        !digits.is_empty() && digits.iter().all(u8::is_ascii_digit)
    })
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    line.strip_prefix(name)?.strip_prefix(b":")
}

fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
