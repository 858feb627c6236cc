//! Starts the stand-ins of a whole deployment that a rules text describes.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuelock_core::ids::Generation;
use fescuelock_core::placement::Workload;
use fescuelock_core::rules::{self, ConfigSnapshot, Protocol};
use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::net::SharedNetwork;
use fescuelock_http::pool::HttpVersion;
use fescuelock_http::server::{Handler, Server, ServerOptions};
use tokio_util::sync::CancellationToken;

use crate::engine::{EngineOptions, EngineStandin};
use crate::platform::PlatformStandin;
use crate::rating::RatingStandin;
use crate::service::ServiceStandin;
use crate::{Error, Result};

/// `DeploymentOptions` configures the stand-ins of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentOptions {
    /// Address of the platform. Defaults to a free loopback port.
    pub platform_address: String,
    /// Options of all engines. Name and seed are set for each engine.
    pub engine: EngineOptions,
    /// Delay of ratings, in milliseconds. Defaults to 1,000.
    pub rating_delay_ms: u64,
    /// Whether engines and services are started besides the platform. Defaults to true.
    pub upstreams: bool,
    /// Seed of the randomly injected faults.
    pub seed: u64,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        DeploymentOptions {
            platform_address: "127.0.0.1:0".to_owned(),
            engine: EngineOptions::default(),
            rating_delay_ms: 1_000,
            upstreams: true,
            seed: 0,
        }
    }
}

/// `Deployment` is a set of running stand-ins.
pub struct Deployment {
    /// Address of the platform.
    pub platform_address: String,
    /// The platform.
    pub platform: Arc<PlatformStandin>,
    /// Engines by name.
    pub engines: BTreeMap<String, Arc<EngineStandin>>,
    /// VMs of plain services by name.
    pub services: BTreeMap<String, Arc<ServiceStandin>>,
    /// The rating service.
    pub rating: Arc<RatingStandin>,
    host: HandlerHost,
}

/// `HandlerHost` runs one HTTP server for each handler.
struct HandlerHost {
    network: SharedNetwork,
    tasks: TaskGroup,
    stop: CancellationToken,
}

impl Deployment {
    /// Starts the platform and, at the address of every upstream in the rules, a stand-in.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Rules`] for rules with errors and [`Error::Listen`] if an address cannot be
    /// listened on.
    pub async fn start(
        network: SharedNetwork,
        rules: &str,
        options: DeploymentOptions,
    ) -> Result<Self> {
        let report = rules::check(rules, Generation(1));
        let first_error = report.errors().next().map(ToString::to_string);
        let snapshot =
            report.snapshot.ok_or_else(|| Error::Rules(first_error.unwrap_or_default()))?;
        let host =
            HandlerHost { network, tasks: TaskGroup::default(), stop: CancellationToken::new() };
        let platform = PlatformStandin::new(options.seed);
        let platform_address = host
            .serve(&options.platform_address, HttpVersion::Http1, Arc::clone(&platform))
            .await?;
        let mut deployment = Deployment {
            platform_address,
            platform,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            rating: RatingStandin::new(options.rating_delay_ms),
            host,
        };
        if options.upstreams {
            deployment.start_upstreams(&snapshot, &options).await?;
        }
        Ok(deployment)
    }

    /// Serves a further handler and returns the address that it is bound to.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] if the address cannot be listened on.
    pub async fn serve(&self, address: &str, handler: Arc<impl Handler>) -> Result<String> {
        self.host.serve(address, HttpVersion::Http1, handler).await
    }

    /// Stops all stand-ins immediately, without waiting for open requests.
    pub fn stop(&self) {
        self.host.tasks.abort();
    }

    async fn start_upstreams(
        &mut self,
        snapshot: &ConfigSnapshot,
        options: &DeploymentOptions,
    ) -> Result<()> {
        for (seed, (key, upstream)) in (options.seed + 1..).zip(snapshot.upstreams.iter()) {
            let version = match upstream.protocol {
                Protocol::Http1 => HttpVersion::Http1,
                Protocol::Http2 => HttpVersion::Http2,
            };
            let is_service = snapshot.services.iter().any(|(service, _)| {
                snapshot.upstreams_of(Workload::Service(service)).contains(&key)
            });
            let name = upstream.name.clone();
            if is_service {
                let service = ServiceStandin::new(seed);
                self.host.serve(&upstream.address, version, Arc::clone(&service)).await?;
                self.services.insert(name, service);
            } else {
                let options = EngineOptions { name: name.clone(), seed, ..options.engine.clone() };
                let engine = EngineStandin::new(options, Some(Arc::clone(&self.rating)));
                self.host.serve(&upstream.address, version, Arc::clone(&engine)).await?;
                self.engines.insert(name, engine);
            }
        }
        Ok(())
    }
}

impl HandlerHost {
    async fn serve(
        &self,
        address: &str,
        version: HttpVersion,
        handler: Arc<impl Handler>,
    ) -> Result<String> {
        let listener = self
            .network
            .listen(address)
            .await
            .map_err(|source| Error::Listen { address: address.to_owned(), source })?;
        let bound_address = listener.address();
        let server = Server {
            options: ServerOptions { version, ..ServerOptions::default() }.shared(),
            tasks: self.tasks.clone(),
            stop: self.stop.clone(),
        };
        self.tasks.spawn(server.run(listener, handler));
        Ok(bound_address)
    }
}
