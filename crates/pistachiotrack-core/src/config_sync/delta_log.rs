//! The last few deltas, for peers that are a few versions behind.

use std::collections::VecDeque;

use super::payload::Payload;
use crate::config::{ContentHash, Delta};

const MAX_DELTAS: usize = 32;
const MAX_BYTES: usize = 256 * 1024;

/// A delta in its encoded form.
#[derive(Clone, Debug)]
pub(super) struct EncodedDelta {
    base_version: u64,
    base_hash: ContentHash,
    version: u64,
    payload: Payload,
}

impl EncodedDelta {
    /// Keeps `delta`, whose encoding is `encoded`.
    pub(super) fn new(delta: &Delta, payload: Payload) -> EncodedDelta {
        EncodedDelta {
            base_version: delta.base_version,
            base_hash: delta.base_hash,
            version: delta.version,
            payload,
        }
    }
}

/// Consecutive deltas up to the version in force.
#[derive(Clone, Debug, Default)]
pub(super) struct DeltaLog {
    deltas: VecDeque<EncodedDelta>,
    bytes: usize,
}

impl DeltaLog {
    /// Adds the step to the newest version.
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

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        self.deltas.clear();
        self.bytes = 0;
    }

    /// Returns the encoded deltas from a version to the newest, if known.
    pub(super) fn since(&self, version: u64, base_hash: ContentHash) -> Option<Vec<&Payload>> {
        let first = self
            .deltas
            .iter()
            .position(|delta| delta.base_version == version && delta.base_hash == base_hash)?;
        Some(self.deltas.iter().skip(first).map(|delta| &delta.payload).collect())
    }
}
