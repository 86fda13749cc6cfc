//! Endpoints: the back ends that run requests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// An endpoint in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique name within the deployment.
    pub name: Name,
    /// Address that the endpoint serves HTTP on.
    pub address: SocketAddr,
    /// Data centre that the endpoint runs in.
    pub data_centre: Name,
    /// Number of requests that the endpoint can run concurrently.
    pub slots: u32,
    /// Number of connections that the endpoint accepts from the whole fleet.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether the endpoint is draining and must get no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Default number of connections that an endpoint accepts.
pub const DEFAULT_CONNECTIONS: u32 = 400;

fn default_connections() -> u32 {
    DEFAULT_CONNECTIONS
}

/// Separator between the registered name of an endpoint and its incarnation.
const INCARNATION_SEPARATOR: char = '#';

/// Returns the name of one incarnation of an endpoint that registers itself.
///
/// An endpoint may restart under the same name, without any state from before. A
/// separate name for each incarnation keeps health estimates, requests in flight
/// and late answers of the old incarnation apart from the new one.
pub fn incarnation_name(registered: &str, started_unix_ms: Option<u64>) -> Name {
    match started_unix_ms {
        Some(started) => Name::from(format!("{registered}{INCARNATION_SEPARATOR}{started:x}")),
        // A separator at the end prevents one within the name from being parsed as ours.
        None if registered.contains(INCARNATION_SEPARATOR) => {
            Name::from(format!("{registered}{INCARNATION_SEPARATOR}"))
        }
        None => Name::from(registered),
    }
}

/// Returns the name under which an incarnation registered.
pub fn registered_name(incarnation: &str) -> &str {
    incarnation.rsplit_once(INCARNATION_SEPARATOR).map_or(incarnation, |(registered, _)| registered)
}

/// Returns when an incarnation started, in Unix milliseconds, if its name includes that.
pub fn started_unix_ms(incarnation: &str) -> Option<u64> {
    let (_, started) = incarnation.rsplit_once(INCARNATION_SEPARATOR)?;
    u64::from_str_radix(started, 16).ok()
}
