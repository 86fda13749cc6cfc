//! Encoded values, compressed where that saves time on the way.

use std::{
    borrow::Cow,
    io::{Read, Write},
};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use crate::config::MAX_ENCODED_BYTES;

/// Length from which on a value is compressed. Shorter ones fit into a packet or
/// two whether compressed or not.
const COMPRESS_FROM_BYTES: usize = 2_048;

/// An encoded value.
///
/// Rules repeat the names of hosts and services, so that many new ones are a fraction as
/// long once compressed, which matters on the link of a VM that all others ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Packed {
    /// The value as it is.
    Plain(Vec<u8>),
    /// The value as a raw deflate stream; whoever opens it compares the content.
    Deflated(Vec<u8>),
}

impl Packed {
    /// Packs an encoded value.
    pub(super) fn new(bytes: Vec<u8>) -> Packed {
        if bytes.len() < COMPRESS_FROM_BYTES {
            return Packed::Plain(bytes);
        }
        match deflate(&bytes) {
            Ok(deflated) if deflated.len() < bytes.len() => Packed::Deflated(deflated),
            // Random bytes grow; writing to memory doesn't fail.
            _ => Packed::Plain(bytes),
        }
    }

    /// Returns the encoded value, or `None` if the stream is damaged or longer than
    /// any sound value.
    pub(super) fn open(&self) -> Option<Cow<'_, [u8]>> {
        match self {
            Packed::Plain(bytes) => Some(Cow::Borrowed(bytes)),
            Packed::Deflated(deflated) => inflate(deflated).map(Cow::Owned),
        }
    }

    /// Returns the number of bytes that go over the network.
    pub(super) fn len(&self) -> usize {
        let (Packed::Plain(bytes) | Packed::Deflated(bytes)) = self;
        bytes.len()
    }
}

fn deflate(bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// A few bytes of deflate can stand for gigabytes, so that no more is read than the
/// largest configuration takes.
fn inflate(deflated: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let limit = MAX_ENCODED_BYTES as u64 + 1;
    DeflateDecoder::new(deflated).take(limit).read_to_end(&mut bytes).ok()?;
    (bytes.len() <= MAX_ENCODED_BYTES).then_some(bytes)
}
