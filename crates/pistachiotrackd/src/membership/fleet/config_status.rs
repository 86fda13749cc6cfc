//! Status of the configuration sync for logs and metrics.

use std::{collections::BTreeSet, time::Duration};

use kameo::message::{Context as MessageContext, Message};
use pistachiotrack_core::{
    config::Config,
    config_sync::{ConfigSync, Role},
    name::Name,
    time::Time,
};

use super::Fleet;

/// Version lag after which a line is logged, and interval between two such lines.
const LAG_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Requests the status of the configuration sync.
pub(crate) struct GetConfigStatus;

/// Status of the configuration sync.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub(crate) struct ConfigStatus {
    /// Why the latest published configuration was rejected.
    pub(crate) error: Option<String>,
    /// Time since the last response of the platform's configuration service.
    pub(crate) platform_age_ms: Option<u64>,
    /// Time since a peer first reported a version that this VM doesn't hold.
    pub(crate) behind_ms: Option<u64>,
}

impl Message<GetConfigStatus> for Fleet {
    type Reply = ConfigStatus;

    async fn handle(
        &mut self,
        _: GetConfigStatus,
        _: &mut MessageContext<Self, ConfigStatus>,
    ) -> ConfigStatus {
        let now = self.clock.now();
        let lag = self.sync.version_lag();
        ConfigStatus {
            error: self.sync.last_error().map(ToString::to_string),
            platform_age_ms: self.sync.time_since_platform_response(now).map(millis),
            behind_ms: lag.map(|lag| millis(now.since(lag.since))),
        }
    }
}

/// Logs changes of the sync role, version lag, and what becomes active.
#[derive(Debug, Default)]
pub(super) struct ConfigLog {
    role: Option<Role>,
    lag_logged_at: Option<Time>,
    /// Services of the active configuration that have no endpoints.
    without_endpoints: BTreeSet<Name>,
}

impl ConfigLog {
    /// Logs a line when this VM's role in reading the platform changes, and at intervals while
    /// a version that peers report is missing.
    pub(super) fn on_tick(&mut self, now: Time, sync: &ConfigSync) {
        self.log_role(now, sync);
        self.log_lag(now, sync);
    }

    /// Logs that a configuration becomes active, and which services have no endpoints under it.
    pub(super) fn on_activate(&mut self, config: &Config) {
        log::info!(
            "event=config_in_force version={} rules={} customers={} api_keys_required={} endpoints={}",
            config.version,
            config.rules.len(),
            config.customers.len(),
            config.api_keys_required,
            config.services.iter().map(|service| service.endpoints.len()).sum::<usize>()
        );
        let empty = config.services.iter().filter(|service| service.endpoints.is_empty());
        let empty: BTreeSet<Name> = empty.map(|service| service.name.clone()).collect();
        for service in empty.difference(&self.without_endpoints) {
            log::warn!(
                "event=service_without_endpoints service={service} version={}",
                config.version
            );
        }
        self.without_endpoints = empty;
    }

    fn log_role(&mut self, now: Time, sync: &ConfigSync) {
        let role = sync.role();
        if std::mem::replace(&mut self.role, role) == role {
            return;
        }
        if let Some(role) = role {
            log::info!(
                "event=config_role role={} platform_age_ms={:?}",
                role.as_str(),
                sync.time_since_platform_response(now).map(millis)
            );
        }
    }

    fn log_lag(&mut self, now: Time, sync: &ConfigSync) {
        let Some(lag) = sync.version_lag() else { return };
        let logged_at = self.lag_logged_at.map_or(lag.since, |at| at.max(lag.since));
        if now.since(logged_at) < LAG_LOG_INTERVAL {
            return;
        }
        self.lag_logged_at = Some(now);
        log::warn!(
            "event=config_behind in_force={:?} heard={} behind_ms={} holders={} asking={}",
            sync.version(),
            lag.version,
            millis(now.since(lag.since)),
            lag.holder_count,
            lag.pulling_from.as_deref().unwrap_or("none")
        );
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
