//! Answers the load balancer's readiness checks and serves metrics.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use fescuelock_http::body::Body;
use fescuelock_http::byte_budget::Holder;
use fescuelock_http::net::BoxFuture;
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::Handler;
use fescuelock_platform::protocol;
use http::{Request, Response, StatusCode};

use crate::metrics::Gauge;
use crate::node_state::NodeState;

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// `ReadinessHandler` is the HTTP handler for readiness checks and for metrics.
pub struct ReadinessHandler {
    /// State of the node that is reported.
    pub node_state: Arc<NodeState>,
}

impl Handler for ReadinessHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let mut response = Response::new(Body::empty());
            match request.uri().path() {
                protocol::READINESS_PATH => {
                    if let Some(reason) = self.node_state.unready_reason() {
                        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                        *response.body_mut() = Body::buffered(reason);
                    }
                }

                METRICS_PATH => *response.body_mut() = Body::buffered(self.metrics()),

                _ => *response.status_mut() = StatusCode::NOT_FOUND,
            }
            response
        })
    }
}

impl ReadinessHandler {
    fn metrics(&self) -> String {
        let now_ms = self.node_state.now_ms();
        let fleet = self.node_state.fleet();
        let deployment = self.node_state.deployment();
        let store_ms = self.node_state.store_read_ms.load(Ordering::Relaxed);
        let budget = &self.node_state.budget;
        let (bodies_refused, bodies_ended) = budget.refused_bodies();
        let (idle_closed, slow_closed) = budget.connections().closed_counts();
        let value = |gauge| match gauge {
            Gauge::RequestsInFlight => self.node_state.in_flight.load(Ordering::Relaxed) as f64,
            Gauge::RequestsWaiting => self.node_state.waiting_room.len() as f64,
            Gauge::UpstreamsReady => fleet.ready_count(now_ms) as f64,
            Gauge::NodesKnown => fleet.node_count() as f64,
            Gauge::ConfigurationVersion => {
                deployment.as_ref().map_or(0.0, |deployment| deployment.version as f64)
            }
            Gauge::LoadsAgeMs => fleet.loads_age_ms(now_ms) as f64,
            Gauge::LoadsMedianAgeMs => fleet.loads_median_age_ms(now_ms) as f64,
            Gauge::LoadCoverage => fleet.load_coverage(now_ms),
            Gauge::StoreReader => f64::from(u8::from(fleet.is_store_reader())),
            Gauge::StoreAgeMs => now_ms.saturating_sub(store_ms) as f64,
            Gauge::SegmentsRejected => fleet.crash_evidence.rejected_count() as f64,
            Gauge::UpstreamsLimited => fleet.limited_count() as f64,
            Gauge::UpstreamsPaused => fleet.paused_count(now_ms) as f64,
            Gauge::UpstreamsLeaving => fleet.leaving_count() as f64,
            Gauge::CollectionsUnread => self.node_state.unread_collections.labels().len() as f64,
            Gauge::RequestBodyBytes => budget.held_bytes(Holder::RequestBodies) as f64,
            Gauge::AnswerBytes => budget.held_bytes(Holder::Answers) as f64,
            Gauge::EventBytes => budget.held_bytes(Holder::Events) as f64,
            Gauge::ConnectionBytes => budget.held_bytes(Holder::Connections) as f64,
            Gauge::CallerConnections => budget.connections().count() as f64,
            Gauge::BodiesRefused => bodies_refused as f64,
            Gauge::BodiesEnded => bodies_ended as f64,
            Gauge::IdleConnectionsClosed => idle_closed as f64,
            Gauge::SlowReadersClosed => slow_closed as f64,
            Gauge::LogLinesDropped => self.node_state.log_buffer.dropped_total() as f64,
        };
        let gauges = Gauge::ALL.map(|gauge| (gauge, value(gauge)));
        drop(fleet);
        self.node_state.metrics.render(&self.node_state.counters, &gauges)
    }
}
