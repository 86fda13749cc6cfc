//! Encoded values, compressed if that reduces the time of their transfer.

use std::{
    borrow::Cow,
    io::{Read, Write},
};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::config::MAX_ENCODED_BYTES;

/// Length from which a value is compressed. Shorter ones fit into one or two packets
/// with or without compression.
const COMPRESS_FROM_BYTES: usize = 2_048;
/// Maximum length of an uncompressed value: the longest configuration and a version.
const MAX_PAYLOAD_BYTES: usize = MAX_ENCODED_BYTES + 16;

/// An encoded value.
///
/// Rules repeat the names of hosts and services, so many new rules shrink to a fraction
/// when compressed. This matters on the link of a VM that all others pull from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Payload {
    /// The uncompressed value.
    Plain(Vec<u8>),
    /// The value as a raw deflate stream. It has no checksum; the receiver compares
    /// the content hash.
    Deflated(Vec<u8>),
}

impl Payload {
    /// Encodes a configuration or delta, followed by the version of the operators' part if there
    /// is one. VMs that don't know the version ignore what follows.
    pub(super) fn encode(
        value: &impl Serialize,
        operators_version: Option<u64>,
    ) -> Option<Payload> {
        let mut bytes = postcard::to_stdvec(value).ok()?;
        if let Some(version) = operators_version {
            bytes = postcard::to_extend(&version, bytes).ok()?;
        }
        Some(Payload::new(bytes))
    }

    /// Decodes a value and the version of the operators' part.
    pub(super) fn decode_as<T: DeserializeOwned>(&self) -> Option<(T, Option<u64>)> {
        let bytes = self.decode()?;
        let (value, rest) = postcard::take_from_bytes(&bytes).ok()?;
        Some((value, postcard::from_bytes(rest).ok()))
    }

    fn new(bytes: Vec<u8>) -> Payload {
        if bytes.len() < COMPRESS_FROM_BYTES {
            return Payload::Plain(bytes);
        }
        match deflate(&bytes) {
            Ok(compressed) if compressed.len() < bytes.len() => Payload::Deflated(compressed),
            // Incompressible bytes grow. Writing to memory doesn't fail.
            _ => Payload::Plain(bytes),
        }
    }

    /// Returns the encoded value, or `None` if the stream is damaged or longer than
    /// any valid value.
    fn decode(&self) -> Option<Cow<'_, [u8]>> {
        match self {
            Payload::Plain(bytes) => Some(Cow::Borrowed(bytes)),
            Payload::Deflated(compressed) => inflate(compressed).map(Cow::Owned),
        }
    }

    /// Returns the number of bytes on the network.
    pub(super) fn len(&self) -> usize {
        let (Payload::Plain(bytes) | Payload::Deflated(bytes)) = self;
        bytes.len()
    }
}

fn deflate(bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses a deflate stream. A few bytes of it can expand to gigabytes, so no more
/// is read than the largest configuration takes.
fn inflate(compressed: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let limit = MAX_PAYLOAD_BYTES as u64 + 1;
    DeflateDecoder::new(compressed).take(limit).read_to_end(&mut bytes).ok()?;
    (bytes.len() <= MAX_PAYLOAD_BYTES).then_some(bytes)
}
