//! Limits on what arrives on a connection: those of the settings, raised to what operators promise
//! callers.

use std::time::Duration;

use pistachiotrack_core::{caller_limits::CallerLimits, config::MAX_DURATION_MS};

use crate::config::settings::Limits;

/// Maximum head size that operators can raise the settings to, since each connection may hold that much
/// in memory.
const MAX_HEADER_BYTES: u64 = 1 << 20;
/// Mean size that the fields of a head are expected to have at least. Operators limit the size of a head
/// only, and room for each field is allocated whenever a head is read.
const MIN_MEAN_FIELD_BYTES: usize = 32;
/// Size of what a VM adds to the head of a request that it sends to another VM.
const ADDED_HEADER_BYTES: usize = 16 * 1024;
/// Number of fields that it adds.
const ADDED_HEADER_COUNT: usize = 32;

/// Who sends requests on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Senders {
    /// Callers, operators and the platform.
    Callers,
    /// Other VMs, which pass on what callers have sent.
    Vms,
}

/// Limits on the requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Maximum size of a head.
    pub(crate) header_bytes: usize,
    /// Maximum number of fields of a head.
    pub(crate) header_count: usize,
    /// Timeout for the next head, which includes the time without a request.
    pub(crate) header_read_timeout: Duration,
    /// Maximum size of a body.
    pub(crate) body_bytes: u64,
}

impl ConnectionLimits {
    /// Returns the limits of a VM with these settings whose callers were promised `promised`; `None`
    /// before the first configuration.
    pub(crate) fn new(
        settings: &Limits,
        promised: Option<&CallerLimits>,
        senders: Senders,
    ) -> ConnectionLimits {
        let CallerLimits { header_bytes, body_bytes, header_timeout_ms, idle_timeout_ms } =
            promised.copied().unwrap_or_default();
        let promised_bytes = header_bytes.map(|bytes| bytes.min(MAX_HEADER_BYTES) as usize);
        // Which number of fields has been promised isn't known before the first configuration.
        let counted_bytes = match promised {
            None => settings.header_bytes,
            Some(_) => promised_bytes.unwrap_or_default(),
        };
        let promised_timeout_ms = header_timeout_ms
            .unwrap_or_default()
            .saturating_add(idle_timeout_ms.unwrap_or_default());
        let timeout_ms = settings.header_read_timeout_ms.max(promised_timeout_ms);
        let limits = ConnectionLimits {
            header_bytes: settings.header_bytes.max(promised_bytes.unwrap_or_default()),
            header_count: settings.header_count.max(counted_bytes / MIN_MEAN_FIELD_BYTES),
            header_read_timeout: Duration::from_millis(timeout_ms.min(MAX_DURATION_MS)),
            body_bytes: settings.body_bytes.max(body_bytes.unwrap_or_default()),
        };
        match senders {
            Senders::Callers => limits,
            Senders::Vms => ConnectionLimits {
                header_bytes: limits.header_bytes + ADDED_HEADER_BYTES,
                header_count: limits.header_count + ADDED_HEADER_COUNT,
                ..limits
            },
        }
    }

    /// Returns whether everything that `other` allows is allowed. A body's limit isn't the connection's.
    pub(crate) fn covers(&self, other: &ConnectionLimits) -> bool {
        self.header_bytes >= other.header_bytes
            && self.header_count >= other.header_count
            && self.header_read_timeout >= other.header_read_timeout
    }
}
