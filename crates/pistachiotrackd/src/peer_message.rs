//! Questions that VMs put to each other over TCP, encoded with `postcard`.

use std::net::SocketAddr;

use pistachiotrack_core::name::Name;
use serde::{Deserialize, Serialize};

/// Asks for what is newer than the configuration held.
pub(crate) const CONFIG_PATH: &str = "/pistachiotrack/v1/peer/config";
/// Tells a shard's new owner what its old one knew.
pub(crate) const HAND_OVER_PATH: &str = "/pistachiotrack/v1/peer/hand-over";
/// Asks whether an endpoint can be reached.
pub(crate) const REACH_PATH: &str = "/pistachiotrack/v1/peer/reach";
/// Largest question or hand-over; answers about the configuration have a limit of
/// their own. A hand-over of a shard with 1,000 endpoints takes some 100 kB.
pub(crate) const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Asks whether the VM reaches an endpoint of the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ReachRequest {
    /// Name of the endpoint.
    pub(crate) endpoint: Name,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
}

/// Whether the VM reaches the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReachResponse {
    /// A connection opened.
    Reached,
    /// No connection opened in time.
    Unreachable,
    /// The VM's configuration has no such endpoint.
    Unknown,
}
