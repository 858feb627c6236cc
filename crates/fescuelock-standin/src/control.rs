//! Switches the faults of running stand-ins over HTTP.

use std::sync::Arc;

use fescuelock_http::body::{Body, read_all};
use fescuelock_http::net::BoxFuture;
use fescuelock_http::server::Handler;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json as value};

use crate::deployment::Deployment;
use crate::platform::ListedVm;
use crate::reply::json;
use crate::{Error, Result};

/// Largest request, in bytes.
const REQUEST_MAX_BYTES: usize = 1 << 20;

/// `FaultOrder` replaces the faults of one stand-in.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultOrder {
    /// `platform`, or the name of an upstream.
    target: String,
    /// The faults, in the form that the target takes. Fields left out are off.
    faults: Value,
}

/// `Control` answers the requests of a person or script that tests a deployment.
pub struct Control {
    /// The stand-ins.
    pub deployment: Arc<Deployment>,
}

impl Control {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let body = read_all(request.into_body(), REQUEST_MAX_BYTES).await.unwrap_or_default();
        let done = match (&method, path.as_str()) {
            (&Method::POST, "/faults") => self.set_faults(&body),
            (&Method::POST, "/vms") => self.set_vms(&body),
            (&Method::GET, "/report") => Ok(self.report()),
            _ => Err(Error::UnknownTarget(path)),
        };
        match done {
            Ok(body) => json(StatusCode::OK, &body),
            Err(error) => json(StatusCode::BAD_REQUEST, &value!({ "error": error.to_string() })),
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
        Ok(value!({ "switched": order.target }))
    }

    fn set_vms(&self, body: &[u8]) -> Result<Value> {
        let vms: Vec<ListedVm> = decode(body)?;
        let count = vms.len();
        self.deployment.platform.set_vms(vms);
        Ok(value!({ "vms": count }))
    }

    fn report(&self) -> Value {
        let engines: Vec<Value> = self
            .deployment
            .engines
            .iter()
            .map(|(name, engine)| value!({ "name": name, "report": engine.report() }))
            .collect();
        let services: Vec<Value> = self
            .deployment
            .services
            .iter()
            .map(|(name, service)| value!({ "name": name, "runs": service.runs().len() }))
            .collect();
        value!({
            "platform": self.deployment.platform.counts(),
            "engines": engines,
            "services": services,
        })
    }
}

impl Handler for Control {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(request).await })
    }
}

fn decode<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Faults(error.to_string()))
}

fn decode_value<T: for<'a> Deserialize<'a>>(body: Value) -> Result<T> {
    serde_json::from_value(body).map_err(|error| Error::Faults(error.to_string()))
}
