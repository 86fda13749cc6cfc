//! Fingerprints that identify equal requests.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::hash;

/// Hash of a request's content; equal requests have the same fingerprint on every VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request that consists of `parts`, in this order.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Fingerprint {
        let add = |state, part: &[u8]| {
            let length = part.len() as u64;
            hash::fnv_from(hash::fnv_from(state, &length.to_le_bytes()), part)
        };
        Fingerprint(hash::mix(parts.into_iter().fold(hash::fnv(&[]), add)))
    }

    /// Returns the hash that selects a VM for the request.
    pub fn placement(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
