//! Short forms of the stand-ins' answers.

use fescuelock_http::body::Body;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// Answers with a JSON body.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Answers with a status alone.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Returns a field of a query string.
pub fn query<'a>(uri: &'a http::Uri, name: &str) -> Option<&'a str> {
    uri.query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
