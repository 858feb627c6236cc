//! Only events of the answer itself are passed on to the caller of a stream.

use fescuelock_core::claim_key::ClaimKey;
use fescuelock_core::rules::ResponseIdSource;
use fescuelock_upstreams::events::StreamReader;

fn reader() -> (StreamReader, String) {
    let id = ClaimKey::of("team", "key").request_id();
    (StreamReader::new(id, ResponseIdSource::Echoed), id.to_string())
}

fn token(id: &str) -> String {
    format!("data: {{\"id\":\"{id}\",\"choices\":[{{\"delta\":{{\"content\":\"a\"}}}}]}}\n\n")
}

#[test]
fn text_in_stream() {
    for text in [
        "Internal Server Error\n\n",
        "{\"error\": \"overloaded\"}\n\n",
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n\n\n",
        "content-type: text/plain\ncontent-length: 0\n\n",
    ] {
        let (mut reader, id) = reader();
        assert!(reader.read(token(&id).as_bytes()).is_ok());
        assert!(reader.read(text.as_bytes()).is_err(), "{text:?}");
    }
}

/// An event of another answer was passed on if its data was not in its first line.
#[test]
fn foreign_named_event() {
    let (mut reader, id) = reader();
    assert!(reader.read(format!("event: token\n{}", token("other")).as_bytes()).is_err());
    let own = format!("event: token\nid: 1\n{}", token(&id));
    assert_eq!(reader.read(own.as_bytes()).expect("an own event").events, own.as_bytes());
}

#[test]
fn comments_passed_on() {
    let (mut reader, _) = reader();
    for text in [": keep-alive\n\n", "retry: 3000\n\n", "\n\n"] {
        assert_eq!(reader.read(text.as_bytes()).expect("no event").events, text.as_bytes());
    }
}
