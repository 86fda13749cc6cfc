//! The decision of the entry VM, as it travels with a forwarded request.

use pistachiotrack_core::{
    name::Name,
    ownership::ShardId,
    request::{Class, DEFAULT_MAX_ATTEMPTS},
};
use serde::{Deserialize, Serialize};

/// Where a request goes and how, taken once at the VM that it entered at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ForwardedRoute {
    /// Shard that the request goes to.
    pub(crate) shard: ShardId,
    /// Customer that pays for it.
    pub(crate) customer: Name,
    /// Priority.
    pub(crate) class: Class,
    /// Whether the request may be run more than once.
    pub(crate) idempotent: bool,
    /// Whether a second endpoint may be asked when the first is slow.
    pub(crate) hedge: bool,
    /// Endpoints that the request may be sent to.
    #[serde(default = "default_max_attempts")]
    pub(crate) max_attempts: u32,
}

fn default_max_attempts() -> u32 {
    DEFAULT_MAX_ATTEMPTS
}

impl ForwardedRoute {
    /// Returns the value of the header that carries the route.
    pub(crate) fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads the header that carries the route; `None` if it can't be read.
    pub(crate) fn decode(text: &str) -> Option<ForwardedRoute> {
        serde_json::from_str(text).ok()
    }
}
