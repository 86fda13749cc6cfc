//! Messages of configuration pulls between VMs, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use super::payload::Payload;
use crate::{
    config::{ContentHash, MAX_ENCODED_BYTES},
    name::Name,
    vm::Vm,
};

/// Maximum length of a response: the largest full configuration, and room for the rest
/// of the message.
pub const MAX_PULL_RESPONSE_BYTES: usize = MAX_ENCODED_BYTES + 1024;

/// Requests what is newer than the requester's version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PullRequest {
    pub(super) deployment: Name,
    /// VM that sends the request.
    pub(super) requester: Vm,
    /// Version and content hash to which deltas may apply, or `None` to request the full
    /// configuration.
    pub(super) base: Option<(u64, ContentHash)>,
    /// Version that the response has to exceed.
    pub(super) newer_than: Option<u64>,
}

/// Response to a [`PullRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum PullResponse {
    /// The peer has nothing newer, or belongs to another deployment.
    NoUpdate,
    /// Encoded deltas from the base to the newest version, the oldest first.
    Deltas(Vec<Payload>),
    /// The encoded full configuration.
    Full { hash: ContentHash, payload: Payload },
    /// The peer has used up its bandwidth. It has `version`, and so will `holders`, which
    /// it has served.
    Redirect { version: u64, holders: Vec<Vm> },
}

/// As [`PullResponse`], but borrows the payloads that are kept for many responses.
#[derive(Debug, Serialize)]
pub(super) enum PullResponseRef<'a> {
    NoUpdate,
    Deltas(Vec<&'a Payload>),
    Full { hash: ContentHash, payload: &'a Payload },
    Redirect { version: u64, holders: Vec<Vm> },
}

impl PullResponseRef<'_> {
    /// Returns the approximate length of the response.
    pub(super) fn len(&self) -> usize {
        match self {
            PullResponseRef::NoUpdate | PullResponseRef::Redirect { .. } => 0,
            PullResponseRef::Deltas(deltas) => deltas.iter().map(|delta| delta.len()).sum(),
            PullResponseRef::Full { payload, .. } => payload.len(),
        }
    }
}

/// Decodes a response; `None` if it is damaged or too long.
pub(super) fn decode_response(bytes: &[u8]) -> Option<PullResponse> {
    if bytes.len() > MAX_PULL_RESPONSE_BYTES {
        return None;
    }
    let (response, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(response)
}
