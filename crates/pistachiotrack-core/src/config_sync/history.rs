//! The last few deltas, for peers that are a few versions behind.

use std::collections::VecDeque;

use super::packed::Packed;
use crate::config::{ContentHash, Delta};

const MAX_STEPS: usize = 32;
const MAX_BYTES: usize = 256 * 1024;

/// A delta in its encoded form.
#[derive(Clone, Debug)]
pub(super) struct Step {
    base_version: u64,
    base: ContentHash,
    version: u64,
    encoded: Packed,
}

impl Step {
    /// Keeps `delta`, whose encoding is `encoded`.
    pub(super) fn new(delta: &Delta, encoded: Packed) -> Step {
        Step { base_version: delta.base_version, base: delta.base, version: delta.version, encoded }
    }
}

/// Consecutive deltas up to the version in force.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    steps: VecDeque<Step>,
    bytes: usize,
}

impl History {
    /// Adds the step to the newest version.
    pub(super) fn push(&mut self, step: Step) {
        if self.steps.back().is_some_and(|last| last.version != step.base_version) {
            self.clear();
        }
        self.bytes += step.encoded.len();
        self.steps.push_back(step);
        while self.steps.len() > MAX_STEPS || self.bytes > MAX_BYTES {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.bytes -= oldest.encoded.len();
        }
    }

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        self.steps.clear();
        self.bytes = 0;
    }

    /// Returns the encoded deltas from a version to the newest, if known.
    pub(super) fn since(&self, version: u64, content: ContentHash) -> Option<Vec<&Packed>> {
        let first = self
            .steps
            .iter()
            .position(|step| step.base_version == version && step.base == content)?;
        Some(self.steps.iter().skip(first).map(|step| &step.encoded).collect())
    }
}
