//! Routing decision of the entry VM, which is sent with a forwarded request.

use pistachiotrack_core::{
    name::Name,
    ownership::ShardId,
    request::{Class, DEFAULT_MAX_ATTEMPTS},
};
use serde::{Deserialize, Serialize};

/// Destination and options of a request, decided once by the VM at which it entered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ForwardedRoute {
    /// Shard that serves the request.
    pub(crate) shard: ShardId,
    /// Customer that the request is attributed to.
    pub(crate) customer: Name,
    /// Customer whose API key the caller sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) identified: Option<Name>,
    /// Priority.
    pub(crate) class: Class,
    /// Whether the request may be run more than once.
    pub(crate) idempotent: bool,
    /// Whether a second endpoint may be tried while the first is slow.
    pub(crate) hedge: bool,
    /// Maximum number of endpoints that the request is sent to.
    #[serde(default = "default_max_attempts")]
    pub(crate) max_attempts: u32,
}

fn default_max_attempts() -> u32 {
    DEFAULT_MAX_ATTEMPTS
}

impl ForwardedRoute {
    /// Returns the value of the route header.
    pub(crate) fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the route header; `None` if it is invalid.
    pub(crate) fn decode(text: &str) -> Option<ForwardedRoute> {
        serde_json::from_str(text).ok()
    }
}
