//! Answers the load balancer's readiness checks and serves metrics.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use fescuelock_http::body::Body;
use fescuelock_http::net::BoxFuture;
use fescuelock_http::server::Handler;
use fescuelock_platform::protocol;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::beliefs::Beliefs;
use crate::metrics::Gauge;

/// Path that metrics are served at.
pub const METRICS_PATH: &str = "/metrics";

/// `Readiness` handles requests for readiness and metrics.
pub struct Readiness {
    /// The node's shared state.
    pub beliefs: Arc<Beliefs>,
}

impl Handler for Readiness {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let mut response = Response::new(Body::empty());
            match request.uri().path() {
                protocol::READINESS_PATH => {
                    if !self.beliefs.is_ready() {
                        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                    }
                }

                METRICS_PATH => *response.body_mut() = Body::whole(self.metrics()),

                _ => *response.status_mut() = StatusCode::NOT_FOUND,
            }
            response
        })
    }
}

impl Readiness {
    fn metrics(&self) -> String {
        let now_ms = self.beliefs.now_ms();
        let fleet = self.beliefs.fleet();
        let deployment = self.beliefs.deployment();
        let store_ms = self.beliefs.store_answered_ms.load(Ordering::Relaxed);
        let value = |gauge| match gauge {
            Gauge::RequestsInFlight => self.beliefs.in_flight.load(Ordering::Relaxed) as f64,
            Gauge::RequestsWaiting => self.beliefs.waiting.load(Ordering::Relaxed) as f64,
            Gauge::UpstreamsReady => fleet.ready_count(now_ms) as f64,
            Gauge::NodesKnown => fleet.node_count() as f64,
            Gauge::ConfigurationVersion => {
                deployment.as_ref().map_or(0.0, |deployment| deployment.version as f64)
            }
            Gauge::LoadsAgeMs => fleet.loads_age_ms(now_ms) as f64,
            Gauge::StoreAgeMs => now_ms.saturating_sub(store_ms) as f64,
            Gauge::LogLinesDropped => self.beliefs.lines.dropped_total() as f64,
        };
        let gauges = Gauge::ALL.map(|gauge| (gauge, value(gauge)));
        drop(fleet);
        self.beliefs.metrics.render(&self.beliefs.counters, &gauges)
    }
}
