//! Settings of a deployment whose endpoints come from a registry.

use pistachiotrack_core::{
    config::MAX_VALUE_BYTES,
    data_centre::DataCentre,
    registry_view::RegistryViewSettings,
    service::{Contention, RetryLimit},
};
use serde::Deserialize;

/// Parts of the configuration that a registry doesn't contain.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RegistrySettings {
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Number of VMs of each data centre that dispatch for a service.
    pub dispatchers_per_data_centre: u32,
    /// Percentage of a service's endpoints that stay in rotation whatever their health.
    pub floor_percent: u32,
    /// Sensitivity of failure detection, from 0 (fewest false ejections) to 1 (fastest
    /// detection).
    pub sensitivity: f64,
    /// Maximum number of requests that wait for a slot.
    pub queue_limit: u32,
    /// Time for which callers may cache an entry response.
    pub entry_lifetime_ms: u64,
    /// Retries per request, over the whole fleet.
    pub retry_ratio: f64,
    /// Additional retries per window, over the whole fleet.
    pub retry_slack: f64,
    /// Length of the retry window.
    pub retry_window_s: f64,
    /// Mechanisms of all services for times in which endpoints have too few slots.
    pub contention: Contention,
    /// Maximum size of a value in the registry.
    pub value_bytes: usize,
    /// Time between two heartbeats with which an endpoint renews its entry. An entry expires after
    /// three heartbeats without one.
    pub heartbeat_s: f64,
}

impl Default for RegistrySettings {
    fn default() -> RegistrySettings {
        RegistrySettings {
            data_centres: Vec::new(),
            dispatchers_per_data_centre: 4,
            floor_percent: 50,
            sensitivity: 1.0,
            queue_limit: 256,
            entry_lifetime_ms: 1_000,
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window_s: 10.0,
            contention: Contention::default(),
            value_bytes: MAX_VALUE_BYTES,
            heartbeat_s: 1.5,
        }
    }
}

impl RegistrySettings {
    /// Returns the settings of the registry view.
    pub fn view_settings(&self) -> RegistryViewSettings {
        RegistryViewSettings {
            floor_percent: self.floor_percent,
            heartbeat_ms: (self.heartbeat_s * 1000.0) as u64,
            ..RegistryViewSettings::default()
        }
    }

    /// Returns the retry limit of the whole fleet.
    pub fn retry_limit(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.retry_ratio,
            slack: self.retry_slack as u32,
            window_ms: (self.retry_window_s * 1000.0) as u64,
        }
    }

    /// Returns the first field with an invalid value, and what is wrong with it.
    pub(super) fn problem(&self) -> Option<(&'static str, String)> {
        let fraction = 0.0..=1.0;
        if self.floor_percent > 100 {
            let problem = format!("{} is above 100", self.floor_percent);
            return Some(("registry.floor_percent", problem));
        }
        let outside = |value: f64| format!("{value} is not between 0 and 1");
        if !fraction.contains(&self.sensitivity) {
            return Some(("registry.sensitivity", outside(self.sensitivity)));
        }
        if !fraction.contains(&self.retry_ratio) {
            return Some(("registry.retry_ratio", outside(self.retry_ratio)));
        }
        if self.retry_slack < 0.0 || self.retry_window_s <= 0.0 {
            let (slack, window_s) = (self.retry_slack, self.retry_window_s);
            let problem = format!("{slack} in {window_s} s is no limit");
            return Some(("registry.retry_slack", problem));
        }
        if self.heartbeat_s <= 0.0 {
            return Some(("registry.heartbeat_s", format!("{} is not above 0", self.heartbeat_s)));
        }
        if self.value_bytes == 0 {
            return Some(("registry.value_bytes", "0 is not above 0".to_owned()));
        }
        None
    }
}
