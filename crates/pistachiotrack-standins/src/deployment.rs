//! The platform and the endpoints of a deployment, with its example configuration.

use std::{sync::Arc, time::Instant};

use anyhow::Context;
use pistachiotrack_core::{config::Config, ownership::shard_count};

use crate::{
    endpoint::{Endpoint, EndpointSettings},
    execution_counter::ExecutionCounter,
    platform::Platform,
    workload::{SIGMA, ServiceWork, TIMELITEN, TLMOCNIK},
};

/// The example deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Rosters of court interpreters.
    Tlmocnik,
    /// Meetings at job centres.
    Timeliten,
}

impl Kind {
    /// Both deployments.
    pub const ALL: [Kind; 2] = [Kind::Timeliten, Kind::Tlmocnik];

    /// Returns the workload.
    pub fn work(self) -> &'static [ServiceWork] {
        match self {
            Kind::Tlmocnik => TLMOCNIK,
            Kind::Timeliten => TIMELITEN,
        }
    }

    /// Returns the example configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the example is not valid.
    pub fn config(self) -> anyhow::Result<Config> {
        let (file, json) = match self {
            Kind::Tlmocnik => (
                "tlmocnik.config.json",
                include_bytes!("../../../examples/tlmocnik.config.json").as_slice(),
            ),
            Kind::Timeliten => (
                "timeliten.config.json",
                include_bytes!("../../../examples/timeliten.config.json").as_slice(),
            ),
        };
        Ok(Config::parse(file, json)?)
    }
}

/// A running platform with running endpoints.
#[derive(Debug)]
pub struct Deployment {
    /// Which deployment.
    pub kind: Kind,
    /// The first published configuration, with the endpoints' actual addresses.
    pub config: Config,
    /// The platform.
    pub platform: Platform,
    /// The endpoints, in the order of the configuration.
    pub endpoints: Vec<Endpoint>,
    /// Executions recorded by the endpoints.
    pub execution_counter: Arc<ExecutionCounter>,
    /// Bound of the VMs' lease on the configuration, if they have one.
    pub key_max_age_s: Option<f64>,
    /// Time that the VMs have for a stop, if it isn't their default.
    pub stop_grace_s: Option<f64>,
    /// Shortest time for which VMs that stop still accept connections, if it isn't their default.
    pub entry_drain_ms: Option<u64>,
}

impl Deployment {
    /// Starts the endpoints and a platform that serves their configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the example is not valid or a port can't be bound.
    pub async fn start(kind: Kind, seed: u64) -> anyhow::Result<Deployment> {
        let mut config = kind.config()?;
        let execution_counter = Arc::new(ExecutionCounter::default());
        let mut endpoints = Vec::new();
        for service in &mut config.services {
            let median_ms = kind
                .work()
                .iter()
                .find(|work| work.service == service.name.as_str())
                .map(|work| work.median_ms)
                .with_context(|| format!("no workload for service {}", service.name))?;
            for endpoint in &mut service.endpoints {
                let settings = EndpointSettings {
                    name: endpoint.name.to_string(),
                    slots: endpoint.slots,
                    median_ms,
                    sigma: SIGMA,
                    seed: seed + endpoints.len() as u64,
                    ..EndpointSettings::default()
                };
                let running = Endpoint::start(settings, Arc::clone(&execution_counter)).await?;
                endpoint.address = running.address();
                endpoints.push(running);
            }
        }
        let platform = Platform::start(&config.deployment).await?;
        platform.publish(&config)?;
        Ok(Deployment {
            kind,
            config,
            platform,
            endpoints,
            execution_counter,
            key_max_age_s: None,
            stop_grace_s: None,
            entry_drain_ms: None,
        })
    }

    /// Returns an endpoint by name.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none of that name.
    pub fn endpoint(&self, name: &str) -> anyhow::Result<&Endpoint> {
        self.endpoints
            .iter()
            .find(|endpoint| endpoint.name() == name)
            .with_context(|| format!("no endpoint named {name}"))
    }

    /// Returns the number of shards of all services.
    pub fn shards(&self) -> usize {
        self.config.services.iter().map(|service| shard_count(service) as usize).sum()
    }

    /// Returns the largest number of requests in flight at an endpoint beyond its slots.
    pub fn slot_overshoot(&self) -> u32 {
        let settings = self.config.services.iter().flat_map(|service| &service.endpoints);
        let overshoot = self
            .endpoints
            .iter()
            .zip(settings)
            .map(|(endpoint, settings)| endpoint.counts().peak.saturating_sub(settings.slots));
        overshoot.max().unwrap_or(0)
    }

    /// Returns the times at which requests arrived at an endpoint, from `since` on.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none of that name.
    pub fn arrivals_since(&self, name: &str, since: Instant) -> anyhow::Result<Vec<Instant>> {
        Ok(self.endpoint(name)?.arrivals_since(since))
    }
}
