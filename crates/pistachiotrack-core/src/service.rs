//! Services: sets of endpoints that serve the same requests.

use serde::{Deserialize, Serialize};

use crate::{endpoint::Endpoint, name::Name};

/// A service in the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name within the deployment.
    pub name: Name,
    /// Minimum number of endpoints kept in rotation, regardless of their health.
    pub floor: u32,
    /// Sensitivity of failure detection, from 0 (fewest false ejections) to 1
    /// (fastest detection).
    pub sensitivity: f64,
    /// Default timeout of a request if neither the caller nor a rule sets one.
    pub timeout_ms: u64,
    /// Maximum number of requests that wait for a slot.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Maximum number of endpoints in a shard.
    #[serde(default = "default_shard_endpoints")]
    pub shard_endpoints: u32,
    /// Number of VMs per data centre that dispatch to the endpoints concurrently
    /// and share their observations; 0 for a single owner of each shard.
    #[serde(default)]
    pub dispatchers_per_data_centre: u32,
    /// Limit of the retries that all VMs together may send; the default of the
    /// fleet if missing.
    #[serde(default)]
    pub retry_limit: Option<RetryLimit>,
    /// Mechanisms for times in which the endpoints have too few slots.
    #[serde(default)]
    pub contention: Contention,
    /// Path of the health check.
    #[serde(default = "default_probe_path")]
    pub probe_path: Name,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// Mechanisms of a service with several dispatchers for times in which its endpoints have too few
/// slots, each off unless set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Contention {
    /// Whether the dispatchers tell each other how many requests wait, and leave a free slot to
    /// the VM whose next request is ahead of the others.
    pub fleet_queue: bool,
    /// Whether a request that endpoints refused and that may not be sent again yet, because of
    /// the retry limit, is held until it may be, if there is time.
    pub hold_retries: bool,
    /// Whether the measured speed of endpoints decides among those of similar risk.
    pub endpoint_speed: bool,
}

/// Limit of the attempts that all VMs together send beyond the first of each request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryLimit {
    /// Retries allowed per request of the service, from 0 to 1.
    pub ratio: f64,
    /// Additional retries allowed in each window.
    pub slack: u32,
    /// Length of the window.
    pub window_ms: u64,
}

impl Service {
    /// Returns whether several VMs dispatch to the endpoints concurrently.
    pub fn is_shared(&self) -> bool {
        self.dispatchers_per_data_centre > 0
    }
}

/// Default maximum number of requests that wait for a slot.
pub const DEFAULT_QUEUE_LIMIT: u32 = 256;
/// Default maximum number of endpoints in a shard.
pub const DEFAULT_SHARD_ENDPOINTS: u32 = 64;
/// Default path of the health check.
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
