//! What VMs ask each other about the configuration, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use super::payload::Payload;
use crate::{
    config::{ContentHash, MAX_ENCODED_BYTES},
    name::Name,
    vm::Vm,
};

/// Longest answer that is decoded: the whole of the largest configuration, and the
/// frame around it.
pub const MAX_PULL_RESPONSE_BYTES: usize = MAX_ENCODED_BYTES + 1024;

/// Asks for what is newer than the version held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PullRequest {
    pub(super) deployment: Name,
    /// The VM that asks.
    pub(super) requester: Vm,
    /// Version and content held, or `None` to ask for the whole.
    pub(super) base: Option<(u64, ContentHash)>,
    /// Version that the requester is looking for.
    pub(super) newer_than: Option<u64>,
}

/// Answers a [`PullRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum PullResponse {
    /// The peer has nothing newer, or belongs to another deployment.
    NoUpdate,
    /// Encoded deltas from the version held to the newest, the oldest first.
    Deltas(Vec<Payload>),
    /// The whole configuration, encoded.
    Full { hash: ContentHash, payload: Payload },
    /// The peer has answered as many as its link carries; it has `version`, and so
    /// will these VMs that it has answered.
    Redirect { version: u64, holders: Vec<Vm> },
}

/// As [`PullResponse`], without owning what is kept for many answers.
#[derive(Debug, Serialize)]
pub(super) enum PullResponseRef<'a> {
    NoUpdate,
    Deltas(Vec<&'a Payload>),
    Full { hash: ContentHash, payload: &'a Payload },
    Redirect { version: u64, holders: Vec<Vm> },
}

impl PullResponseRef<'_> {
    /// Returns about how many bytes the answer takes.
    pub(super) fn len(&self) -> usize {
        match self {
            PullResponseRef::NoUpdate | PullResponseRef::Redirect { .. } => 0,
            PullResponseRef::Deltas(deltas) => deltas.iter().map(|delta| delta.len()).sum(),
            PullResponseRef::Full { payload, .. } => payload.len(),
        }
    }
}
