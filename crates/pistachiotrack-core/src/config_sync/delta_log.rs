//! The most recent deltas, for peers that are a few versions behind.

use std::collections::VecDeque;

use super::payload::Payload;
use crate::config::{ContentHash, Delta};

const MAX_DELTAS: usize = 32;
const MAX_BYTES: usize = 256 * 1024;

/// A delta in encoded form.
#[derive(Clone, Debug)]
pub(super) struct EncodedDelta {
    base_version: u64,
    base_hash: ContentHash,
    version: u64,
    payload: Payload,
}

impl EncodedDelta {
    /// Creates the log entry of `delta`, whose encoding is `payload`.
    pub(super) fn new(delta: &Delta, payload: Payload) -> EncodedDelta {
        EncodedDelta {
            base_version: delta.base_version,
            base_hash: delta.base_hash,
            version: delta.version,
            payload,
        }
    }
}

/// Consecutive deltas up to the active version.
#[derive(Clone, Debug, Default)]
pub(super) struct DeltaLog {
    deltas: VecDeque<EncodedDelta>,
    bytes: usize,
}

impl DeltaLog {
    /// Appends the delta to the newest version. Drops the log if the delta doesn't
    /// follow the last one, and old deltas beyond the limits.
    pub(super) fn push(&mut self, delta: EncodedDelta) {
        if self.deltas.back().is_some_and(|last| last.version != delta.base_version) {
            self.clear();
        }
        self.bytes += delta.payload.len();
        self.deltas.push_back(delta);
        while self.deltas.len() > MAX_DELTAS || self.bytes > MAX_BYTES {
            let Some(oldest) = self.deltas.pop_front() else { break };
            self.bytes -= oldest.payload.len();
        }
    }

    /// Removes all deltas.
    pub(super) fn clear(&mut self) {
        self.deltas.clear();
        self.bytes = 0;
    }

    /// Returns the encoded deltas from a base to the newest version, if the base
    /// is in the log.
    pub(super) fn since(&self, version: u64, base_hash: ContentHash) -> Option<Vec<&Payload>> {
        let first = self
            .deltas
            .iter()
            .position(|delta| delta.base_version == version && delta.base_hash == base_hash)?;
        Some(self.deltas.iter().skip(first).map(|delta| &delta.payload).collect())
    }
}
