//! Parsed options of each command.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use pistachiotrack_core::{request::Class, rule::QueueWaitCondition};

/// Timeout of a request if the command line sets none.
pub(crate) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Length of a window of `contention` if the command line sets none.
pub(crate) const DEFAULT_WINDOW_S: u32 = 2;

/// Settings of `check`.
#[derive(Debug)]
pub(crate) struct CheckConfig {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Configuration files.
    pub(crate) files: Vec<PathBuf>,
}

/// Settings of `explain`.
#[derive(Debug)]
pub(crate) struct ExplainConfig {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Configuration file with the rules.
    pub(crate) file: PathBuf,
    /// Customer that the caller names.
    pub(crate) customer: String,
    /// File with the caller's API key.
    pub(crate) api_key_file: Option<PathBuf>,
    /// Host of the request.
    pub(crate) host: String,
    /// HTTP method of the request.
    pub(crate) method: String,
    /// Path of the request, without query.
    pub(crate) path: String,
    /// Headers of the request: lower-case name and value.
    pub(crate) headers: Vec<(String, String)>,
    /// Class that the caller requests.
    pub(crate) class: Class,
    /// Service that the caller requests.
    pub(crate) service: Option<String>,
    /// Data centre of the VM that receives the request.
    pub(crate) data_centre: String,
    /// Services assumed to be at their floor.
    pub(crate) services_at_floor: Vec<String>,
    /// Assumed queue waits by service; other services have none.
    pub(crate) queue_waits: Vec<QueueWaitCondition>,
}

/// Page of the admin port to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum View {
    /// State, configuration version, shards and counters of each VM.
    Status,
    /// Health and load of the endpoints, from the owners of their shards.
    Endpoints,
    /// The same, from every VM that reports the endpoint.
    AllEndpoints,
    /// Members of the fleet as each VM reports them.
    Members,
    /// Rate limits of customers and their use.
    Customers,
    /// Requests during which endpoints crashed.
    Quarantine,
    /// Latencies by customer and class.
    Histograms,
    /// Latency added by the fleet: the part not spent at an endpoint.
    AddedHistograms,
}

/// Settings of `status`, `endpoints`, `members`, `customers`, `quarantine` and `histograms`.
#[derive(Debug)]
pub(crate) struct ViewConfig {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Page to show.
    pub(crate) view: View,
    /// Admin addresses of the VMs.
    pub(crate) admin_addresses: Vec<SocketAddr>,
    /// Timeout for each address.
    pub(crate) timeout: Duration,
}

/// Settings of `entries`.
#[derive(Debug)]
pub(crate) struct EntriesConfig {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Caller address of the VM.
    pub(crate) vm_address: SocketAddr,
    /// Service to request the entry addresses of.
    pub(crate) service: String,
    /// Customer on whose behalf the request is sent.
    pub(crate) customer: String,
    /// Timeout of the request.
    pub(crate) timeout: Duration,
}

/// Settings of `trace`.
#[derive(Debug)]
pub(crate) struct TraceConfig {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Identity of the request.
    pub(crate) request: String,
    /// Log files of VMs; standard input if there are none.
    pub(crate) files: Vec<PathBuf>,
}

/// Settings of `contention`.
#[derive(Debug)]
pub(crate) struct ContentionConfig {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Length of a window in seconds.
    pub(crate) window_s: u32,
    /// Log files of VMs; standard input if there are none.
    pub(crate) files: Vec<PathBuf>,
}
