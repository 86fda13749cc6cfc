//! Datagrams between VMs, encoded with `postcard`.
//!
//! A datagram is one version byte, the deployment's hash, a checksum and the
//! encoded [`Datagram`]. It never exceeds [`MAX_DATAGRAM_BYTES`], so it fits
//! into one packet on every usual path.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{hash, membership::MemberState, name::Name};

/// Version of the format; datagrams of another version are refused.
pub const PROTOCOL_VERSION: u8 = 3;
/// Largest datagram that is sent or decoded.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Longest name that a datagram may carry.
pub const MAX_NAME_BYTES: usize = 128;

const HEADER_BYTES: usize = 9;
const LENGTH_PREFIX_BYTES: usize = 2;

/// What a VM says about itself in every datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the VM.
    pub name: Name,
    /// Incarnation of its daemon.
    pub incarnation: u64,
    /// Number of suspicions that this incarnation has refuted.
    pub refutation: u32,
    /// Whether it is stopping gracefully.
    pub leaving: bool,
    /// Configuration version that it holds.
    pub config_version: Option<u64>,
    /// Time since the platform's configuration service last answered it.
    pub platform_age_ms: Option<u32>,
}

/// Where a VM is and for how long it has been alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other VMs.
    pub peer_address: SocketAddr,
    /// Time for which it has been alive, as far as the teller knows.
    pub alive_ms: u32,
    /// How much it can do, as [`Vm::capacity`](crate::vm::Vm::capacity).
    pub capacity: u32,
}

/// A statement about one member, passed on from VM to VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the member.
    pub name: Name,
    /// Incarnation that the statement is about.
    pub incarnation: u64,
    /// Refutation number that the statement is about.
    pub refutation: u32,
    /// State stated.
    pub state: MemberState,
    /// Place of the member; given with [`MemberState::Alive`].
    pub place: Option<Place>,
}

/// Purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the target for an [`Message::Ack`].
    Ping {
        /// Number repeated in the answer.
        sequence: u32,
        /// VM meant, since its address may meanwhile belong to another one.
        target: Name,
        /// Incarnation of the target that the sender knows, 0 for none; a
        /// target with another one introduces itself.
        known_incarnation: u64,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        sequence: u32,
    },
    /// Asks a third VM to ping the target.
    PingRequest {
        /// Number repeated in the answer.
        sequence: u32,
        /// VM to ping.
        target: Name,
        /// Its address.
        address: SocketAddr,
        /// Incarnation of the target that the sender knows.
        known_incarnation: u64,
    },
    /// Tells that the target of a ping request answered.
    RelayedAck {
        /// Number of the ping request.
        sequence: u32,
        /// What the target said of itself.
        subject: Identity,
        /// How the target introduced itself, if it did.
        introduction: Option<Update>,
    },
    /// Tells that the target of a ping request has not answered so far.
    Nack {
        /// Number of the ping request.
        sequence: u32,
    },
    /// Asks for a page of the member table.
    TableRequest {
        /// Last name of the page before; `None` for the first page.
        after: Option<Name>,
    },
    /// A page of the member table, in the datagram's updates.
    TablePage {
        /// Name to ask on from; `None` on the last page.
        next: Option<Name>,
    },
    /// Tells that the sender is stopping gracefully.
    Leave,
    /// Tells the configuration version in the sender's identity, and nothing
    /// else.
    Announce,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sender.
    pub sender: Identity,
    /// Purpose.
    pub message: Message,
    /// Statements about members.
    pub updates: Vec<Update>,
}

/// Why a datagram is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// It is larger than any that a VM sends.
    #[error("datagram of {bytes} bytes is over {MAX_DATAGRAM_BYTES}")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// It ends before its content.
    #[error("datagram is cut short")]
    TooShort,
    /// It is of another protocol version.
    #[error("protocol version {0}, not {PROTOCOL_VERSION}")]
    Version(u8),
    /// It belongs to another deployment.
    #[error("datagram of another deployment")]
    Deployment,
    /// Its content was altered on the way.
    #[error("checksum does not match")]
    Checksum,
    /// Its content can't be encoded or decoded.
    #[error(transparent)]
    Content(#[from] postcard::Error),
    /// It carries a name over [`MAX_NAME_BYTES`].
    #[error("name of {bytes} bytes is over {MAX_NAME_BYTES}")]
    Name {
        /// Size of the name.
        bytes: usize,
    },
}

impl From<DatagramError> for postcard::Error {
    fn from(error: DatagramError) -> postcard::Error {
        match error {
            DatagramError::Content(error) => error,
            DatagramError::TooShort => postcard::Error::DeserializeUnexpectedEnd,
            DatagramError::Checksum => postcard::Error::DeserializeBadCrc,
            DatagramError::TooLarge { .. }
            | DatagramError::Version(_)
            | DatagramError::Deployment
            | DatagramError::Name { .. } => postcard::Error::DeserializeBadEncoding,
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
        Codec { deployment: fold(hash::fnv(deployment.as_bytes())) }
    }

    /// Encodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it is over [`MAX_DATAGRAM_BYTES`].
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
    /// Returns an error for anything that [`Codec::encode`] with the same
    /// deployment did not make.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLarge { bytes: bytes.len() });
        }
        let Some((header, content)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
            return Err(DatagramError::TooShort);
        };
        let [version, d0, d1, d2, d3, c0, c1, c2, c3] = *header;
        if version != PROTOCOL_VERSION {
            return Err(DatagramError::Version(version));
        }
        if u32::from_le_bytes([d0, d1, d2, d3]) != self.deployment {
            return Err(DatagramError::Deployment);
        }
        // A flipped bit in an incarnation would shut a VM out for good, since
        // the larger incarnation wins. The checksum refuses such a datagram.
        if u32::from_le_bytes([c0, c1, c2, c3]) != self.checksum(content) {
            return Err(DatagramError::Checksum);
        }
        let datagram: Datagram = postcard::from_bytes(content)?;
        check_names(&datagram)?;
        Ok(datagram)
    }

    fn checksum(&self, content: &[u8]) -> u32 {
        fold(hash::fnv_from(hash::mix(u64::from(self.deployment)), content))
    }
}

/// Returns the room for updates beside a datagram's own content.
pub fn room_for_updates(datagram: &Datagram) -> usize {
    let own = encoded_bytes(datagram);
    MAX_DATAGRAM_BYTES.saturating_sub(HEADER_BYTES + LENGTH_PREFIX_BYTES + own)
}

/// Returns the encoded size of a value, or `usize::MAX` if it has none.
pub fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}

fn check_names(datagram: &Datagram) -> Result<(), DatagramError> {
    let updates = datagram.updates.iter().map(|update| &update.name);
    let longest = updates.chain([&datagram.sender.name]).map(|name| name.len()).max();
    match longest {
        Some(bytes) if bytes > MAX_NAME_BYTES => Err(DatagramError::Name { bytes }),
        _ => Ok(()),
    }
}

fn fold(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}
