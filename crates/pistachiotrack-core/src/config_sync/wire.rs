//! What VMs ask each other about the configuration, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use crate::{
    config::{Config, ContentHash, MAX_VALUE_BYTES},
    name::Name,
};

/// Longest answer that is decoded: the whole of the largest value, which
/// `postcard` makes shorter than its JSON, and the frame around it.
pub const MAX_ANSWER_BYTES: usize = MAX_VALUE_BYTES + 1024;

/// Asks for what is newer than the version held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Question {
    pub(super) deployment: Name,
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
    Deltas(Vec<Vec<u8>>),
    /// The whole configuration.
    Whole { content: ContentHash, config: Config },
}

/// As [`Answer`], without owning the configuration.
#[derive(Debug, Serialize)]
pub(super) enum AnswerRef<'a> {
    Nothing,
    Deltas(Vec<&'a [u8]>),
    Whole { content: ContentHash, config: &'a Config },
}
