//! What the daemon's admin port answers and the command-line tool shows.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Answer of `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// VM that answers.
    pub vm: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Life cycle state: `starting`, `serving`, `leaving` or `stopped`.
    pub state: Name,
    /// Deployment served.
    pub deployment: Name,
    /// Version of the configuration in force, if any.
    pub config_version: Option<u64>,
    /// Why the newest published configuration was not accepted, if it wasn't.
    pub config_error: Option<String>,
    /// Time since the platform's configuration service last answered.
    pub platform_age_ms: Option<u64>,
    /// Shards owned, as `service/index`.
    pub shards: Vec<Name>,
    /// Live VMs known, this one included.
    pub live_vms: u32,
    /// Counters by name since the start of the daemon.
    pub counters: Vec<Counter>,
}

/// A counter of the daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counter {
    /// Name of the counter.
    pub name: Name,
    /// Value since the start of the daemon.
    pub value: u64,
}

/// One line of `GET /endpoints`: an endpoint of a shard that the VM owns.
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
    /// Limit of requests in flight.
    pub limit: u32,
    /// Requests a second that the endpoint takes from all VMs, if it names a limit.
    #[serde(default)]
    pub rate_limit: Option<f64>,
    /// Evidence against the endpoint, as a log-likelihood ratio.
    pub evidence: f64,
    /// Why it was last ejected.
    pub reason: Option<Name>,
    /// How far the VM goes with the shard: `owner` or `careful`.
    #[serde(default = "owner")]
    pub mode: Name,
}

fn owner() -> Name {
    Name::from("owner")
}

/// One line of `GET /members`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// VM.
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

/// One line of `GET /histograms`: latencies of one customer and class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramStatus {
    /// Customer.
    pub customer: Name,
    /// Class.
    pub class: Name,
    /// Requests counted.
    pub count: u64,
    /// Median time to the answer's head.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest.
    pub max_us: u64,
}

/// One line of `GET /quarantine`: a request under which endpoints ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// Fingerprint of the request.
    pub request: Name,
    /// State: `suspected` or `held`.
    pub state: Name,
    /// Endpoints that ended under it, as far as they are counted.
    pub crashes: u32,
    /// Times that it was tried again.
    pub trials: u32,
    /// Time until it may be tried again, if it is held back.
    pub retry_after_ms: Option<u64>,
}
