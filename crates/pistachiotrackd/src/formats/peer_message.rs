//! Requests between VMs over TCP, encoded with `postcard`.

use std::net::SocketAddr;

use pistachiotrack_core::name::Name;
use serde::{Deserialize, Serialize};

/// Path of pull requests for a newer configuration.
pub(crate) const CONFIG_PATH: &str = "/pistachiotrack/v1/peer/config";
/// Path of hand-overs of a shard's state to its new owner.
pub(crate) const HAND_OVER_PATH: &str = "/pistachiotrack/v1/peer/hand-over";
/// Path of reachability checks of an endpoint.
pub(crate) const REACH_PATH: &str = "/pistachiotrack/v1/peer/reach";
/// Maximum size of a request, including hand-overs; pull responses have a limit of
/// their own. A hand-over of a shard with 1,000 endpoints takes some 100 kB.
pub(crate) const MAX_REQUEST_BYTES: usize = 2 << 20;

/// Requests a check whether the VM can connect to an endpoint of the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ReachRequest {
    /// Name of the endpoint.
    pub(crate) endpoint: Name,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
}

/// Result of a reachability check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReachResponse {
    /// A connection was established.
    Reached,
    /// No connection was established in time.
    Unreachable,
    /// The VM's configuration doesn't contain the endpoint, or it reaches no endpoint at all.
    Unknown,
}
