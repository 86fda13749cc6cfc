//! How much this VM says to and hears from the others and the platform.

use std::sync::atomic::{AtomicU64, Ordering};

use pistachiotrack_core::{admin::Counter, name::Name};

/// Counts control messages and their payload, without the heads of HTTP, TCP
/// and UDP: membership datagrams, configuration pulls and answers, hand-overs
/// that arrive, and reads of the platform.
#[derive(Debug, Default)]
pub(crate) struct ControlTraffic {
    messages_sent: AtomicU64,
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
}

impl ControlTraffic {
    /// Counts a message that was sent.
    pub(crate) fn sent(&self, bytes: usize) {
        self.messages_sent.fetch_add(1, Ordering::Relaxed);
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a message that was received.
    pub(crate) fn received(&self, bytes: usize) {
        self.bytes_received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the counters for the admin port.
    pub(crate) fn counters(&self) -> [Counter; 3] {
        let counter = |name: &str, value: &AtomicU64| Counter {
            name: Name::from(name),
            value: value.load(Ordering::Relaxed),
        };
        [
            counter("control_messages_sent", &self.messages_sent),
            counter("control_bytes_sent", &self.bytes_sent),
            counter("control_bytes_received", &self.bytes_received),
        ]
    }
}
