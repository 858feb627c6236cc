//! HTTP interface that injects faults into running stand-ins and reports their counts.

use std::sync::Arc;

use fescuelock_http::body::{Body, read_all};
use fescuelock_http::net::BoxFuture;
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::Handler;
use http::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::platform::ListedVm;
use crate::reply::json_response;
use crate::{Error, Result};

/// Largest accepted request body, in bytes.
const REQUEST_MAX_BYTES: usize = 1 << 20;

/// `FaultOrder` is a request that replaces the faults of one stand-in.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultOrder {
    /// Name of the stand-in: `platform`, or the name of an upstream.
    target: String,
    /// The faults, in the target's format. Omitted fields turn their fault off.
    faults: Value,
}

/// `ControlApi` is the control interface for a person or script that tests a deployment.
pub struct ControlApi {
    /// The stand-ins that are controlled.
    pub deployment: Arc<Deployment>,
}

impl ControlApi {
    async fn answer(&self, request: Request<RequestBody>) -> Response<Body> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let body = read_all(request.into_body(), REQUEST_MAX_BYTES).await.unwrap_or_default();
        let result = match (&method, path.as_str()) {
            (&Method::POST, "/faults") => self.set_faults(&body),
            (&Method::POST, "/vms") => self.set_vms(&body),
            (&Method::GET, "/report") => Ok(self.report()),
            _ => Err(Error::UnknownTarget(path)),
        };
        match result {
            Ok(body) => json_response(StatusCode::OK, &body),
            Err(error) => {
                json_response(StatusCode::BAD_REQUEST, &json!({ "error": error.to_string() }))
            }
        }
    }

    fn set_faults(&self, body: &[u8]) -> Result<Value> {
        let order: FaultOrder = decode(body)?;
        let target = order.target.as_str();
        let engine = self.deployment.engines.get(target);
        let service = self.deployment.services.get(target);
        match (target, engine, service) {
            ("platform", _, _) => self.deployment.platform.set_faults(decode_value(order.faults)?),
            (_, Some(engine), _) => engine.set_faults(decode_value(order.faults)?),
            (_, _, Some(service)) => service.set_faults(decode_value(order.faults)?),
            _ => return Err(Error::UnknownTarget(order.target)),
        }
        Ok(json!({ "switched": order.target }))
    }

    fn set_vms(&self, body: &[u8]) -> Result<Value> {
        let vms: Vec<ListedVm> = decode(body)?;
        let count = vms.len();
        self.deployment.platform.set_vms(vms);
        Ok(json!({ "vms": count }))
    }

    fn report(&self) -> Value {
        let engines: Vec<Value> = self
            .deployment
            .engines
            .iter()
            .map(|(name, engine)| json!({ "name": name, "report": engine.report() }))
            .collect();
        let services: Vec<Value> = self
            .deployment
            .services
            .iter()
            .map(|(name, service)| json!({ "name": name, "runs": service.runs().len() }))
            .collect();
        json!({
            "platform": self.deployment.platform.counts(),
            "engines": engines,
            "services": services,
        })
    }
}

impl Handler for ControlApi {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(request).await })
    }
}

fn decode<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Faults(error.to_string()))
}

fn decode_value<T: for<'a> Deserialize<'a>>(body: Value) -> Result<T> {
    serde_json::from_value(body).map_err(|error| Error::Faults(error.to_string()))
}
