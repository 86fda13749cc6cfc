//! Decoding of gzip bodies.

use std::io::Read;

use bytes::Bytes;
use flate2::read::MultiGzDecoder;

/// Why a compressed body can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum GzipError {
    /// The body isn't gzip, is damaged or is truncated.
    #[error("gzip: {0}")]
    Damaged(#[from] std::io::Error),
    /// The decoded body is longer than allowed.
    #[error("gzip: decodes to more than {0} bytes")]
    TooLarge(usize),
}

/// Decodes a gzip body to at most `max_bytes` bytes.
///
/// A few kilobytes can decode to gigabytes, exhaust the VM's memory and get the daemon killed by
/// the operating system. Decoding therefore stops one byte above the limit, and memory is
/// allocated only for decoded bytes.
///
/// # Errors
///
/// Returns an error if the body is damaged or the decoded body is longer than `max_bytes`.
pub fn decode(body: &[u8], max_bytes: usize) -> Result<Bytes, GzipError> {
    let mut decoded = Vec::new();
    MultiGzDecoder::new(body).take(max_bytes as u64 + 1).read_to_end(&mut decoded)?;
    if decoded.len() > max_bytes {
        return Err(GzipError::TooLarge(max_bytes));
    }
    Ok(decoded.into())
}
