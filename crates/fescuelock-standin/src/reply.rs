//! Helpers for HTTP responses and query strings.

use fescuelock_http::body::Body;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// Builds a response with a JSON body.
pub fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::new(Body::buffered(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Builds a response with an empty body.
pub fn status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Returns the value of a query parameter, without percent-decoding.
pub fn query_parameter<'a>(uri: &'a http::Uri, name: &str) -> Option<&'a str> {
    uri.query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
