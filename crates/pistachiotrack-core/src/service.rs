//! Services: a set of endpoints that answer the same requests.

use serde::{Deserialize, Serialize};

use crate::{endpoint::Endpoint, name::Name};

/// A service as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name within the deployment.
    pub name: Name,
    /// Endpoints that must stay in rotation whatever their health.
    pub floor: u32,
    /// Detection setting from 0 (fewest false ejections) to 1 (fastest
    /// detection).
    pub sensitivity: f64,
    /// Time allowed for a request where neither caller nor rule says.
    pub timeout_ms: u64,
    /// Requests that may wait for a slot.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Endpoints of one shard at most.
    #[serde(default = "default_shard_endpoints")]
    pub shard_endpoints: u32,
    /// VMs of each data centre that dispatch to the endpoints side by side and
    /// tell each other what they see; 0 for a single owner of each shard.
    #[serde(default)]
    pub dispatchers_per_data_centre: u32,
    /// Retries that all VMs together may send; the default of the fleet where it
    /// is missing.
    #[serde(default)]
    pub retry_limit: Option<RetryLimit>,
    /// Path of the health check.
    #[serde(default = "default_probe_path")]
    pub probe_path: Name,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// Limit of what all VMs together send beyond the first attempt of each request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryLimit {
    /// Retries for each request of the service, from 0 to 1.
    pub ratio: f64,
    /// Retries besides in each window.
    pub slack: u32,
    /// Length of the window.
    pub window_ms: u64,
}

impl Service {
    /// Returns whether several VMs dispatch to the endpoints side by side.
    pub fn is_shared(&self) -> bool {
        self.dispatchers_per_data_centre > 0
    }
}

/// Requests that may wait where the configuration doesn't say.
pub const DEFAULT_QUEUE_LIMIT: u32 = 256;
/// Endpoints of a shard where the configuration doesn't say.
pub const DEFAULT_SHARD_ENDPOINTS: u32 = 64;
/// Path of the health check where the configuration doesn't say.
pub const DEFAULT_PROBE_PATH: &str = "/healthz";

fn default_queue_limit() -> u32 {
    DEFAULT_QUEUE_LIMIT
}

fn default_shard_endpoints() -> u32 {
    DEFAULT_SHARD_ENDPOINTS
}

fn default_probe_path() -> Name {
    Name::from(DEFAULT_PROBE_PATH)
}
