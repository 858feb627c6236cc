//! A response of the object API that comes once more, or late, is not taken for the response to
//! another call.

use std::sync::Arc;

use bytes::Bytes;
use fescuelock_core::counters::Counters;
use fescuelock_standin::memory::MemoryNetwork;
use fescuelock_standin::scripted::{ScriptedRequest, ScriptedServer, Step};
use fescuelock_store::http_store::{HttpStore, HttpStoreOptions};
use fescuelock_store::objects::{Condition, ObjectStore, ObjectVersion};

/// Address of the object API.
const ADDRESS: &str = "127.0.0.1:7400";

fn object(version: u64, body: &str) -> String {
    let tag = format!("etag: \"{version}\"\r\n");
    format!("HTTP/1.1 200 OK\r\n{tag}content-length: {}\r\n\r\n{body}", body.len())
}

/// Starts an object API that writes `stray` before its response to each further request on a
/// connection.
async fn start_store(stray: String, own: fn(&ScriptedRequest) -> String) -> HttpStore {
    let network = Arc::new(MemoryNetwork::default());
    let script = move |request: &ScriptedRequest| match request.earlier_requests {
        0 => vec![Step::Write(own(request))],
        _ => vec![Step::Write(stray.clone()), Step::Pause(15), Step::Write(own(request))],
    };
    ScriptedServer::start(&*network, ADDRESS, script).await.expect("the address is free");
    let options = HttpStoreOptions { address: ADDRESS.to_owned(), ..HttpStoreOptions::default() };
    HttpStore::new(network, options, Counters::in_memory())
}

/// A claim that the platform had refused counted as granted.
#[tokio::test(start_paused = true)]
async fn stray_claim() {
    let own = |request: &ScriptedRequest| match request.head.starts_with("GET") {
        true => object(3, "first"),
        false => "HTTP/1.1 412 Precondition Failed\r\ncontent-length: 0\r\n\r\n".to_owned(),
    };
    let store = start_store(object(5, ""), own).await;
    store.get("claims/1").await.expect("the first read");
    let written = store.put("claims/1", Bytes::from("mine"), Condition::Absent).await;
    assert!(written.is_err(), "{written:?}");
}

/// The result of another call was read as that of a duplicate.
#[tokio::test(start_paused = true)]
async fn stray_object() {
    let own = |request: &ScriptedRequest| match request.head.contains("claims/1") {
        true => object(3, "first"),
        false => object(4, "second"),
    };
    let store = start_store(object(3, "first"), own).await;
    store.get("claims/1").await.expect("the first read");
    let second = store.get("claims/2").await.expect("the second read").expect("there is one");
    assert_eq!(second.body, "second");
}

/// An object that an earlier watch had returned counted as changed, and one of another watch as the
/// watched one.
#[tokio::test(start_paused = true)]
async fn stray_watch() {
    let own = |request: &ScriptedRequest| match request.head.contains("config/rules") {
        true => object(6, "rules"),
        false => object(8, "patch"),
    };
    let store = start_store(object(6, "rules"), own).await;
    let first = store.watch("config/rules", None, 100).await.expect("a watch");
    assert_eq!(first.map(|object| object.body), Some(Bytes::from("rules")));
    let again = store.watch("config/rules", Some(ObjectVersion(6)), 100).await.expect("a watch");
    assert!(again.is_none(), "{again:?}");
    let patch = store.watch("config/patch", Some(ObjectVersion(5)), 100).await.expect("a watch");
    assert_eq!(patch.map(|object| object.body), Some(Bytes::from("patch")));
}
