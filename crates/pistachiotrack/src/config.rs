//! What each command was asked to do.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use pistachiotrack_core::{request::Class, rule::QueueWaitCondition};

/// Time allowed for an answer where the command line doesn't say.
pub(crate) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

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
    /// Customer of the request.
    pub(crate) customer: String,
    /// Host that the request names.
    pub(crate) host: String,
    /// HTTP method of the request.
    pub(crate) method: String,
    /// Path of the request, without query.
    pub(crate) path: String,
    /// Headers of the request: lower-case name and value.
    pub(crate) headers: Vec<(String, String)>,
    /// Class that the caller asks for.
    pub(crate) class: Class,
    /// Service that the caller names.
    pub(crate) service: Option<String>,
    /// Data centre of the VM that the request enters at.
    pub(crate) data_centre: String,
    /// Services to take as being at their floor.
    pub(crate) services_at_floor: Vec<String>,
    /// Expected queue waits to take as given; any other is none.
    pub(crate) queue_waits: Vec<QueueWaitCondition>,
}

/// Which page of the admin port to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum View {
    /// State, configuration version, shards and counters of each VM.
    Status,
    /// Health and load of the endpoints, from the owners of their shards.
    Endpoints,
    /// The same, from every VM that has an opinion.
    AllEndpoints,
    /// The fleet as each VM sees it.
    Members,
    /// Requests under which endpoints ended.
    Quarantine,
    /// Latencies by customer and class.
    Histograms,
    /// The part of the latencies that no endpoint had a hand in.
    AddedHistograms,
}

/// Settings of `status`, `endpoints`, `members`, `quarantine` and `histograms`.
#[derive(Debug)]
pub(crate) struct ViewConfig {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Page to show.
    pub(crate) view: View,
    /// Admin addresses to ask.
    pub(crate) admin_addresses: Vec<SocketAddr>,
    /// Time allowed for each address.
    pub(crate) timeout: Duration,
}

/// Settings of `entries`.
#[derive(Debug)]
pub(crate) struct EntriesConfig {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Caller address of the VM to ask.
    pub(crate) vm_address: SocketAddr,
    /// Service that the caller wants.
    pub(crate) service: String,
    /// Customer that the caller acts for.
    pub(crate) customer: String,
    /// Time allowed for the answer.
    pub(crate) timeout: Duration,
}

/// Settings of `trace`.
#[derive(Debug)]
pub(crate) struct TraceConfig {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Identity of the request.
    pub(crate) request: String,
    /// Files with the logs of VMs; the standard input if there are none.
    pub(crate) files: Vec<PathBuf>,
}
