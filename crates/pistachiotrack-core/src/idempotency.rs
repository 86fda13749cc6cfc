//! Idempotency keys: joins duplicates of a request at the shard's owner.

use serde::{Deserialize, Serialize};

/// Largest body that is kept for duplicates.
pub const MAX_STORED_BODY_BYTES: usize = 16 * 1024;

/// An answer that is kept for duplicates of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header, if any.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}
