//! Questions that VMs put to each other over TCP, encoded with `postcard`.

use std::net::SocketAddr;

use pistachiotrack_core::{config::MAX_VALUE_BYTES, name::Name};
use serde::{Deserialize, Serialize};

/// Asks for what is newer than the configuration held.
pub(crate) const CONFIG_PATH: &str = "/pistachiotrack/v1/peer/config";
/// Tells a shard's new owner what its old one knew.
pub(crate) const HAND_OVER_PATH: &str = "/pistachiotrack/v1/peer/hand-over";
/// Asks whether an endpoint can be reached.
pub(crate) const REACH_PATH: &str = "/pistachiotrack/v1/peer/reach";
/// Largest message. A configuration may be larger in `postcard` than its JSON
/// value is, but not by this much.
pub(crate) const MAX_MESSAGE_BYTES: usize = 2 * MAX_VALUE_BYTES;

/// Asks whether the VM reaches an endpoint of the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ReachQuestion {
    /// Name of the endpoint.
    pub(crate) endpoint: Name,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
}

/// Whether the VM reaches the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReachAnswer {
    /// A connection opened.
    Reached,
    /// No connection opened in time.
    Unreachable,
    /// The VM's configuration has no such endpoint.
    Unknown,
}
