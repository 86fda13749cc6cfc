//! What VMs ask each other about the configuration, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use super::packed::Packed;
use crate::{
    config::{ContentHash, MAX_ENCODED_BYTES},
    name::Name,
    vm::Vm,
};

/// Longest answer that is decoded: the whole of the largest configuration, and the
/// frame around it.
pub const MAX_ANSWER_BYTES: usize = MAX_ENCODED_BYTES + 1024;

/// Asks for what is newer than the version held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Question {
    pub(super) deployment: Name,
    /// The VM that asks.
    pub(super) asker: Vm,
    /// Version and content held, or `None` to ask for the whole.
    pub(super) held: Option<(u64, ContentHash)>,
    /// Version that the asker is looking for.
    pub(super) newer_than: Option<u64>,
}

/// Answers a [`Question`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Answer {
    /// The peer has nothing newer, or belongs to another deployment.
    Nothing,
    /// Encoded deltas from the version held to the newest, the oldest first.
    Deltas(Vec<Packed>),
    /// The whole configuration, encoded.
    Whole { content: ContentHash, config: Packed },
    /// The peer has answered as many as its link carries; it has `version`, and so
    /// will these VMs that it has answered.
    Elsewhere { version: u64, holders: Vec<Vm> },
}

/// As [`Answer`], without owning what is kept for many answers.
#[derive(Debug, Serialize)]
pub(super) enum AnswerRef<'a> {
    Nothing,
    Deltas(Vec<&'a Packed>),
    Whole { content: ContentHash, config: &'a Packed },
    Elsewhere { version: u64, holders: Vec<Vm> },
}

impl AnswerRef<'_> {
    /// Returns about how many bytes the answer takes.
    pub(super) fn len(&self) -> usize {
        match self {
            AnswerRef::Nothing | AnswerRef::Elsewhere { .. } => 0,
            AnswerRef::Deltas(deltas) => deltas.iter().map(|delta| delta.len()).sum(),
            AnswerRef::Whole { config, .. } => config.len(),
        }
    }
}
