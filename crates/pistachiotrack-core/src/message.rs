//! Datagrams between VMs, encoded with `postcard`.
//!
//! A datagram consists of a version byte, the deployment's hash, a checksum and the encoded
//! [`Datagram`]. It never exceeds [`MAX_DATAGRAM_BYTES`], so it fits into one packet on
//! every usual network path.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{hash, membership::MemberState, name::Name};

/// Version of the format; datagrams of another version are rejected.
pub const PROTOCOL_VERSION: u8 = 3;
/// Maximum size of a datagram that is sent or decoded.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum length of a name in a datagram.
pub const MAX_NAME_BYTES: usize = 128;

const HEADER_BYTES: usize = 9;
const LENGTH_PREFIX_BYTES: usize = 2;

/// Identity and status of a VM, which it sends in every datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the VM.
    pub name: Name,
    /// Incarnation of its daemon.
    pub incarnation: u64,
    /// Number of suspicions that this incarnation has refuted.
    pub refutation: u32,
    /// Whether it is shutting down gracefully.
    pub leaving: bool,
    /// Version of its active configuration.
    pub config_version: Option<u64>,
    /// Time since the platform's configuration service last responded to it.
    pub platform_age_ms: Option<u32>,
}

/// Addresses, data centre, uptime and capacity of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDetails {
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other VMs.
    pub peer_address: SocketAddr,
    /// Time for which it has been alive, as far as the sender knows.
    pub alive_ms: u32,
    /// Capacity, see [`Vm::capacity`](crate::vm::Vm::capacity).
    pub capacity: u32,
}

/// An update about one member, which is gossiped between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the member.
    pub name: Name,
    /// Incarnation that the update is about.
    pub incarnation: u64,
    /// Refutation number that the update is about.
    pub refutation: u32,
    /// State of the member.
    pub state: MemberState,
    /// Details of the member; set with [`MemberState::Alive`] and [`MemberState::Leaving`].
    pub details: Option<MemberDetails>,
}

/// Purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an [`Message::Ack`] from the target.
    Ping {
        /// Number repeated in the response.
        sequence: u32,
        /// Intended VM, since its address may belong to another one by now.
        target: Name,
        /// Incarnation of the target that the sender knows, 0 for none; a
        /// target with another one adds an update about itself to the response.
        known_incarnation: u64,
    },
    /// Acknowledges a ping.
    Ack {
        /// Number of the ping.
        sequence: u32,
    },
    /// Requests an indirect probe: the receiver pings the target.
    PingRequest {
        /// Number repeated in the response.
        sequence: u32,
        /// VM to ping.
        target: Name,
        /// Its address.
        address: SocketAddr,
        /// Incarnation of the target that the sender knows.
        known_incarnation: u64,
    },
    /// Reports that the target of a ping request responded.
    RelayedAck {
        /// Number of the ping request.
        sequence: u32,
        /// Identity in the target's response.
        subject: Identity,
        /// Update about itself in the target's response, if any.
        self_update: Option<Update>,
    },
    /// Reports that the target of a ping request has not responded so far.
    Nack {
        /// Number of the ping request.
        sequence: u32,
    },
    /// Requests a page of the member table.
    TableRequest {
        /// Last name of the previous page; `None` for the first page.
        after: Option<Name>,
    },
    /// A page of the member table, in the datagram's updates.
    TablePage {
        /// Value of `after` for the next page; `None` on the last page.
        next: Option<Name>,
    },
    /// Announces that the sender is shutting down gracefully.
    Leave,
    /// Announces the configuration version in the sender's identity, and nothing else.
    Announce,
    /// Announces whether the sender reaches endpoints.
    EndpointReach {
        /// Whether it reaches none, so that others should serve in its place.
        cut_off: bool,
    },
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sender.
    pub sender: Identity,
    /// Purpose.
    pub message: Message,
    /// Updates about members.
    pub updates: Vec<Update>,
}

/// Reason why a datagram can't be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// It is larger than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram of {bytes} bytes exceeds the limit of {MAX_DATAGRAM_BYTES}")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// It is shorter than its header.
    #[error("datagram is truncated")]
    Truncated,
    /// It has another protocol version.
    #[error("protocol version {0} is not supported, expected {PROTOCOL_VERSION}")]
    UnsupportedVersion(u8),
    /// It belongs to another deployment.
    #[error("datagram belongs to another deployment")]
    WrongDeployment,
    /// Its content was corrupted in transit.
    #[error("checksum does not match")]
    Checksum,
    /// Its content can't be encoded or decoded.
    #[error(transparent)]
    Content(#[from] postcard::Error),
    /// It contains a name longer than [`MAX_NAME_BYTES`].
    #[error("name of {bytes} bytes exceeds the limit of {MAX_NAME_BYTES}")]
    NameTooLong {
        /// Size of the name.
        bytes: usize,
    },
}

impl From<DatagramError> for postcard::Error {
    fn from(error: DatagramError) -> postcard::Error {
        match error {
            DatagramError::Content(error) => error,
            DatagramError::Truncated => postcard::Error::DeserializeUnexpectedEnd,
            DatagramError::Checksum => postcard::Error::DeserializeBadCrc,
            DatagramError::TooLarge { .. }
            | DatagramError::UnsupportedVersion(_)
            | DatagramError::WrongDeployment
            | DatagramError::NameTooLong { .. } => postcard::Error::DeserializeBadEncoding,
        }
    }
}

/// Encoder and decoder of one deployment's datagrams.
#[derive(Clone, Debug)]
pub struct Codec {
    deployment: u32,
}

impl Codec {
    /// Creates the codec of a deployment.
    pub fn new(deployment: &str) -> Codec {
        Codec { deployment: fold_to_u32(hash::fnv(deployment.as_bytes())) }
    }

    /// Encodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it is larger than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, datagram: &Datagram) -> Result<Vec<u8>, DatagramError> {
        let mut bytes = Vec::with_capacity(128);
        bytes.push(PROTOCOL_VERSION);
        bytes.extend(self.deployment.to_le_bytes());
        bytes.extend([0; 4]);
        bytes = postcard::to_extend(datagram, bytes)?;
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLarge { bytes: bytes.len() });
        }
        let checksum = self.checksum(&bytes[HEADER_BYTES..]);
        bytes[HEADER_BYTES - 4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that were not produced by [`Codec::encode`] with the same
    /// deployment.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLarge { bytes: bytes.len() });
        }
        let Some((header, content)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
            return Err(DatagramError::Truncated);
        };
        let [version, d0, d1, d2, d3, c0, c1, c2, c3] = *header;
        if version != PROTOCOL_VERSION {
            return Err(DatagramError::UnsupportedVersion(version));
        }
        if u32::from_le_bytes([d0, d1, d2, d3]) != self.deployment {
            return Err(DatagramError::WrongDeployment);
        }
        // A flipped bit in an incarnation would exclude a VM permanently, since the larger
        // incarnation wins. The checksum rejects such a datagram.
        if u32::from_le_bytes([c0, c1, c2, c3]) != self.checksum(content) {
            return Err(DatagramError::Checksum);
        }
        let datagram: Datagram = postcard::from_bytes(content)?;
        check_names(&datagram)?;
        Ok(datagram)
    }

    fn checksum(&self, content: &[u8]) -> u32 {
        fold_to_u32(hash::fnv_from(hash::mix(u64::from(self.deployment)), content))
    }
}

/// Returns the number of bytes left for updates in a datagram.
pub fn room_for_updates(datagram: &Datagram) -> usize {
    let content = encoded_bytes(datagram);
    MAX_DATAGRAM_BYTES.saturating_sub(HEADER_BYTES + LENGTH_PREFIX_BYTES + content)
}

/// Returns the encoded size of a value, or `usize::MAX` if it can't be encoded.
pub fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}

fn check_names(datagram: &Datagram) -> Result<(), DatagramError> {
    let updates = datagram.updates.iter().map(|update| &update.name);
    let longest = updates.chain([&datagram.sender.name]).map(|name| name.len()).max();
    match longest {
        Some(bytes) if bytes > MAX_NAME_BYTES => Err(DatagramError::NameTooLong { bytes }),
        _ => Ok(()),
    }
}

fn fold_to_u32(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}
