//! Hash of a configuration's content, to compare configurations.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::config::Config;

/// Hash of a configuration's encoding, the same on every VM.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ContentHash([u8; 16]);

impl ContentHash {
    /// Returns the hash of raw bytes.
    pub fn of_bytes(bytes: &[u8]) -> ContentHash {
        ContentHash(xxh3_128(bytes).to_le_bytes())
    }
}

impl fmt::Debug for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_le_bytes(self.0))
    }
}

/// Hash and length of a configuration's encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentSummary {
    /// Hash of the encoding.
    pub hash: ContentHash,
    /// Length of the encoding.
    pub encoded_bytes: usize,
}

impl ContentSummary {
    /// Computes the summary of `config`.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration can't be encoded.
    pub fn of(config: &Config) -> Result<ContentSummary, postcard::Error> {
        let bytes = postcard::to_stdvec(config)?;
        Ok(ContentSummary { hash: ContentHash::of_bytes(&bytes), encoded_bytes: bytes.len() })
    }
}
