//! Datagrams between VMs beside those of the membership and of dispatchers: a first byte that
//! tells the kind, the deployment and the content.

use pistachiotrack_core::{hash, message::MAX_DATAGRAM_BYTES};
use serde::{Serialize, de::DeserializeOwned};

/// Why a datagram is not used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DatagramError {
    /// The datagram is longer than the maximum.
    #[error("datagram has {0} bytes, more than the maximum")]
    Length(usize),
    /// The datagram can't be decoded.
    #[error("datagram can't be decoded: {0}")]
    Unreadable(#[from] postcard::Error),
    /// The datagram comes from another deployment.
    #[error("datagram is from another deployment")]
    Deployment,
}

/// Encoder and decoder of one kind of datagrams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DatagramCodec {
    tag: u8,
    deployment: u64,
}

impl DatagramCodec {
    /// Creates the codec of the datagrams that start with `tag`.
    pub(crate) fn new(tag: u8, deployment: &str) -> DatagramCodec {
        DatagramCodec { tag, deployment: hash::fnv(deployment.as_bytes()) }
    }

    /// Encodes a datagram; a failure is logged.
    pub(crate) fn encode<T: Serialize>(&self, content: &T) -> Option<Vec<u8>> {
        postcard::to_extend(&(self.deployment, content), vec![self.tag])
            .inspect_err(|error| {
                log::error!("event=datagram_not_encoded tag={:#x} error={error:?}", self.tag);
            })
            .ok()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is invalid or comes from another deployment.
    pub(crate) fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Length(bytes.len()));
        }
        let content = bytes.get(1..).unwrap_or_default();
        let (deployment, content): (u64, T) = postcard::from_bytes(content)?;
        if deployment != self.deployment {
            return Err(DatagramError::Deployment);
        }
        Ok(content)
    }
}
