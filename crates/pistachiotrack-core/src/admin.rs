//! Responses of the daemon's admin port, shown by the command-line tool.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Response to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The responding VM.
    pub vm: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Life cycle state: `starting`, `serving`, `leaving` or `stopped`.
    pub state: Name,
    /// Deployment that the VM serves.
    pub deployment: Name,
    /// Version of the active configuration, if any.
    pub config_version: Option<u64>,
    /// Why the newest published configuration was rejected, if it was.
    pub config_error: Option<String>,
    /// Time since the last response of the platform's configuration service.
    pub platform_age_ms: Option<u64>,
    /// Time since the configuration is known to have been the newest one, if API keys are
    /// required and the VM has a bound for it.
    #[serde(default)]
    pub config_confirmed_age_ms: Option<u64>,
    /// Shards that the VM owns, as `service/index`.
    pub shards: Vec<Name>,
    /// Number of known live VMs, including this one.
    pub live_vms: u32,
    /// Counters since the start of the daemon.
    pub counters: Vec<Counter>,
}

/// Element of the response to `GET /customers`: the rate limit of a customer and its use at the
/// VM. Only customers with requests in the last seconds are listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// Name of the customer.
    pub customer: Name,
    /// Limit in requests per second, over the whole fleet.
    pub requests_per_second: f64,
    /// Requests beyond that which may come at once.
    pub burst_requests: f64,
    /// Requests that the customer could send at once now; below 0 after an excess.
    pub tokens: f64,
    /// Requests admitted by the VM since it began to count.
    pub admitted: u64,
    /// Requests beyond the limit that the VM has refused since then.
    pub refused: u64,
}

/// A counter of the daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counter {
    /// Name of the counter.
    pub name: Name,
    /// Value since the start of the daemon.
    pub value: u64,
}

/// Element of the response to `GET /endpoints`: an endpoint of a shard that the VM owns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Service of the endpoint.
    pub service: Name,
    /// Name of the endpoint.
    pub endpoint: Name,
    /// State: `healthy`, `suspect`, `ejected`, `trial`, `slow_start`,
    /// `draining` or `held_by_floor`.
    pub state: Name,
    /// Requests in flight.
    pub in_flight: u32,
    /// Current limit of requests in flight.
    pub limit: u32,
    /// Requests per second that the endpoint accepts from all VMs, if it announces a limit.
    #[serde(default)]
    pub rate_limit: Option<f64>,
    /// Time for which the endpoint accepts no requests from the VM, if it has asked for that.
    #[serde(default)]
    pub refuses_ms: Option<u64>,
    /// Speed relative to the mean of the service while at most two thirds of the slots are in use,
    /// if it is estimated: 0.5 if its answers take twice as long.
    #[serde(default)]
    pub relative_speed: Option<f64>,
    /// The same while more of the slots are in use.
    #[serde(default)]
    pub relative_speed_nearly_full: Option<f64>,
    /// Evidence against the endpoint, as a log-likelihood ratio.
    pub evidence: f64,
    /// Reason of the last ejection.
    pub reason: Option<Name>,
    /// Mode in which the VM serves the shard: `owner` or `careful`.
    #[serde(default = "default_mode")]
    pub mode: Name,
}

fn default_mode() -> Name {
    Name::from("owner")
}

/// Element of the response to `GET /members`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the VM.
    pub vm: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// State: `alive`, `suspect`, `leaving` or `dead`.
    pub state: Name,
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Configuration version that the VM last reported.
    pub config_version: Option<u64>,
}

/// Element of the response to `GET /histograms`: latencies of one customer and class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramStatus {
    /// Name of the customer.
    pub customer: Name,
    /// Request class.
    pub class: Name,
    /// Number of requests.
    pub count: u64,
    /// Median time to the response head.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Element of the response to `GET /quarantine`: a request that crashed endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// Fingerprint of the request.
    pub request: Name,
    /// State: `suspected` or `held`.
    pub state: Name,
    /// Number of crashes counted.
    pub crashes: u32,
    /// Number of trials.
    pub trials: u32,
    /// Time until the next trial, if the request is held back.
    pub retry_after_ms: Option<u64>,
}
