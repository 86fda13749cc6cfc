//! Notices that an endpoint sends with its answers.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// What an endpoint asks of the VM that it answers. Unlike the rest of its report, a notice is
/// binding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotice {
    /// Whether it is leaving and must get no new requests.
    pub leaving: bool,
    /// Time for which it accepts no requests from this VM, if it refused one and gave a time.
    pub retry_after: Option<Duration>,
}

impl EndpointNotice {
    /// Returns whether the endpoint asks for nothing.
    pub fn is_empty(self) -> bool {
        self == EndpointNotice::default()
    }
}

/// Formats the notice as the key=value pairs of a log line.
impl fmt::Display for EndpointNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let retry_after_ms = self.retry_after.map(|retry_after| retry_after.as_millis());
        write!(f, "leaving={} retry_after_ms={retry_after_ms:?}", self.leaving)
    }
}
