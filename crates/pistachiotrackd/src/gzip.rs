//! Bodies that come compressed.

use std::io::Read;

use bytes::Bytes;
use flate2::read::MultiGzDecoder;

/// Why a compressed body can't be taken.
#[derive(Debug, thiserror::Error)]
pub enum GzipError {
    /// It isn't gzip, is damaged or was cut short.
    #[error("gzip: {0}")]
    Damaged(#[from] std::io::Error),
    /// It decodes to more than is allowed.
    #[error("gzip: decodes to more than {0} bytes")]
    TooLarge(usize),
}

/// Decodes a gzip body of at most `max_bytes` decoded bytes.
///
/// Failure guarded against: a few kilobytes can decode to gigabytes and take
/// all of the VM's memory. It shows as a daemon that the system ends. The guard
/// holds because decoding stops one byte above the limit, and memory is taken
/// only as bytes come out.
///
/// # Errors
///
/// Returns an error if the body is damaged or decodes to more.
pub fn decode(body: &[u8], max_bytes: usize) -> Result<Bytes, GzipError> {
    let mut decoded = Vec::new();
    MultiGzDecoder::new(body).take(max_bytes as u64 + 1).read_to_end(&mut decoded)?;
    if decoded.len() > max_bytes {
        return Err(GzipError::TooLarge(max_bytes));
    }
    Ok(decoded.into())
}
