//! Endpoints: the back ends that do the work.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// An endpoint as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique name within the deployment.
    pub name: Name,
    /// Address that the endpoint serves HTTP on.
    pub address: SocketAddr,
    /// Data centre that the endpoint runs in.
    pub data_centre: Name,
    /// Requests that the endpoint can work on at the same time.
    pub slots: u32,
    /// Connections that the endpoint accepts from the whole fleet.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether the endpoint is leaving and must get no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Connections an endpoint accepts where the configuration doesn't say.
pub const DEFAULT_CONNECTIONS: u32 = 400;

fn default_connections() -> u32 {
    DEFAULT_CONNECTIONS
}
