//! What callers may send, as operators promise it to them.

use serde::{Deserialize, Serialize};

/// Limits that callers of a deployment have been told; a VM serves whatever keeps to them.
///
/// `None` stands for a limit of which callers have been told nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Maximum size of the head of a request.
    pub header_bytes: Option<u64>,
    /// Maximum size of the body of a request.
    pub body_bytes: Option<u64>,
    /// Time that the head of a request may take.
    pub header_timeout_ms: Option<u64>,
    /// Time that a connection may be idle.
    pub idle_timeout_ms: Option<u64>,
}
