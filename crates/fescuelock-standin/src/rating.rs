//! The rating service, which publishes ratings of answers after a delay.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fescuelock_http::body::Body;
use fescuelock_http::net::BoxFuture;
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::Handler;
use http::{Request, Response, StatusCode};
use serde::Serialize;
use tokio::time::Instant;

use crate::reply::{json_response, query_parameter, status_response};

/// `Rating` is the rating of one answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Rating {
    /// Sequence number of the rating, from 1.
    pub number: u64,
    /// Id of the rated request.
    pub request: String,
    /// Model version that answered.
    pub version: String,
    /// Whether the answer was good.
    pub good: bool,
}

/// `RatingStandin` is the stand-in for the rating service.
pub struct RatingStandin {
    delay_ms: u64,
    ratings: Mutex<Vec<(Instant, Rating)>>,
}

impl RatingStandin {
    /// Creates a service that publishes each rating after a delay in milliseconds.
    pub fn new(delay_ms: u64) -> Arc<Self> {
        Arc::new(RatingStandin { delay_ms, ratings: Mutex::default() })
    }

    /// Records the rating of an answer.
    pub fn rate(&self, request: String, version: String, good: bool) {
        let mut ratings = self.ratings.lock().unwrap_or_else(PoisonError::into_inner);
        let number = u64::try_from(ratings.len()).unwrap_or(u64::MAX) + 1;
        ratings.push((Instant::now(), Rating { number, request, version, good }));
    }

    /// Returns the published ratings whose sequence number is above the given one.
    pub fn after(&self, number: u64) -> Vec<Rating> {
        let ratings = self.ratings.lock().unwrap_or_else(PoisonError::into_inner);
        let delay = Duration::from_millis(self.delay_ms);
        let skipped = usize::try_from(number).unwrap_or(usize::MAX);
        ratings
            .iter()
            .skip(skipped)
            .take_while(|(at, _)| at.elapsed() >= delay)
            .map(|(_, rating)| rating.clone())
            .collect()
    }
}

impl Handler for RatingStandin {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match request.uri().path() {
                "/v1/ratings" => {
                    let after =
                        query_parameter(request.uri(), "after").and_then(|text| text.parse().ok());
                    json_response(StatusCode::OK, &self.after(after.unwrap_or(0)))
                }

                _ => status_response(StatusCode::NOT_FOUND),
            }
        })
    }
}
