//! Datagrams between VMs that dispatch for the same services side by side.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use pistachiotrack_core::{
    hash,
    health::EndpointEstimate,
    message::MAX_DATAGRAM_BYTES,
    name::Name,
    ownership::ShardId,
    rate_limit::RateUpdate,
    retry::{SendCounts, VisibleDispatchers},
    shard::{EndpointKey, ShardSnapshot, ShardUpdate, Subscribers},
    time::Time,
    vm::Vm,
};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::watch};

use crate::{
    clock::Clock,
    traffic::{Locality, Topic, Traffic},
    udp,
    view::FleetView,
};

/// First bytes of these datagrams in all versions; those of the membership begin with
/// others.
pub(crate) const SHARD_DATAGRAM_TAGS: RangeInclusive<u8> = 0x80..=0x8f;
/// First byte in this version.
const SHARD_DATAGRAM_TAG: u8 = 0x82;
/// Time between two lines about datagrams that are not used.
const UNUSED_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Dispatchers that are asked for a picture.
const ASKED: usize = 2;
/// Endpoints in one datagram with a picture: each takes about 20 bytes of the 1,200
/// that one may have.
const BELIEFS_PER_DATAGRAM: usize = 40;
/// Endpoints that name a limit in one datagram with a picture: each takes about 25 bytes.
const RATES_PER_DATAGRAM: usize = 32;

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ShardDatagram {
    deployment: u64,
    /// Sender.
    pub(crate) from: Name,
    /// What it tells.
    pub(crate) content: ShardMessage,
}

/// What VMs that dispatch side by side tell each other.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ShardMessage {
    /// What the sender does and sees.
    Update(ShardUpdate),
    /// The sender has just begun with a shard and asks for a picture of it.
    SnapshotRequest(ShardId),
    /// What the sender believes of the endpoints.
    Snapshot(ShardSnapshot),
}

impl ShardMessage {
    /// Returns the shard that it is about.
    pub(crate) fn shard(&self) -> &ShardId {
        match self {
            ShardMessage::Update(news) => &news.shard,
            ShardMessage::SnapshotRequest(shard) => shard,
            ShardMessage::Snapshot(picture) => &picture.shard,
        }
    }

    /// Returns under which topic it is counted.
    pub(crate) fn topic(&self) -> Topic {
        match self {
            ShardMessage::Update(_) => Topic::ShardUpdate,
            ShardMessage::SnapshotRequest(_) | ShardMessage::Snapshot(_) => Topic::ShardSnapshot,
        }
    }
}

/// Tells the other dispatchers of a service what this VM does and sees.
#[derive(Debug)]
pub(crate) struct ShardUpdateLink {
    me: Vm,
    deployment: u64,
    clock: Clock,
    socket: Arc<UdpSocket>,
    view: watch::Receiver<Arc<FleetView>>,
    traffic: Arc<Traffic>,
    guests: Mutex<Subscribers>,
    unused_logged_at: Mutex<Option<Time>>,
}

/// Why a datagram is not used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ShardDatagramError {
    /// It is of another version.
    #[error("version {0:#x}, not {SHARD_DATAGRAM_TAG:#x}")]
    Version(u8),
    /// It is empty or longer than any VM sends.
    #[error("{0} bytes")]
    Length(usize),
    /// It can't be read.
    #[error("can't be read: {0}")]
    Unreadable(#[from] postcard::Error),
    /// It comes from another deployment, or from this VM.
    #[error("sent by {0}")]
    Sender(Name),
}

impl ShardUpdateLink {
    /// Creates a link over the socket that the membership uses too.
    pub(crate) fn new(
        me: Vm,
        deployment: &str,
        clock: Clock,
        socket: Arc<UdpSocket>,
        view: watch::Receiver<Arc<FleetView>>,
        traffic: Arc<Traffic>,
    ) -> ShardUpdateLink {
        let deployment = hash::fnv(deployment.as_bytes());
        ShardUpdateLink {
            me,
            deployment,
            clock,
            socket,
            view,
            traffic,
            guests: Mutex::default(),
            unused_logged_at: Mutex::default(),
        }
    }

    /// Tells the other dispatchers, and the guests.
    pub(crate) fn broadcast(&self, news: ShardUpdate) {
        let service = news.shard.service.clone();
        let Some(bytes) = self.encode(ShardMessage::Update(news)) else { return };
        let view = Arc::clone(&self.view.borrow());
        let dispatchers = view.ownership.dispatchers(&service);
        for vm in dispatchers.iter().filter(|vm| vm.name != self.me.name) {
            self.send(vm.peer_address, &bytes, Topic::ShardUpdate, self.place(vm));
        }
        let now = self.clock.now();
        let mut guests = self.guests.lock().unwrap_or_else(PoisonError::into_inner);
        for address in guests.recipients(now) {
            if dispatchers.iter().all(|vm| vm.peer_address != address) {
                // Guests are of this data centre.
                self.send(address, &bytes, Topic::ShardUpdate, Locality::Near);
            }
        }
    }

    fn place(&self, vm: &Vm) -> Locality {
        Locality::of(&vm.data_centre, &self.me.data_centre)
    }

    fn send(&self, to: SocketAddr, bytes: &[u8], topic: Topic, place: Locality) {
        udp::send(&self.socket, to, bytes, &self.traffic, (topic, place));
    }

    /// Asks the dispatchers nearby for a picture of a shard; returns whether there are
    /// any.
    ///
    /// Failure guarded against: a VM that has just started sends its first
    /// bookings to endpoints that the others know to fail. It shows as failures
    /// after each restart. The guard holds because the answer comes within a
    /// round trip, before most requests.
    pub(crate) fn request_snapshot(&self, shard: &ShardId) -> bool {
        let Some(bytes) = self.encode(ShardMessage::SnapshotRequest(shard.clone())) else {
            return false;
        };
        let view = Arc::clone(&self.view.borrow());
        let dispatchers = view.ownership.dispatchers(&shard.service);
        let others = dispatchers.iter().filter(|vm| vm.name != self.me.name);
        let (near, far): (Vec<&Vm>, Vec<&Vm>) =
            others.partition(|vm| vm.data_centre == self.me.data_centre);
        let asked: Vec<&Vm> = near.into_iter().chain(far).take(ASKED).collect();
        for vm in &asked {
            self.send(vm.peer_address, &bytes, Topic::ShardSnapshot, self.place(vm));
        }
        !asked.is_empty()
    }

    /// Sends a picture to the VM at an address, in as many datagrams as it takes.
    pub(crate) fn send_snapshot(&self, to: SocketAddr, mut picture: ShardSnapshot) {
        let place = self.view.borrow().locality(to);
        let beliefs = std::mem::take(&mut picture.estimates);
        let mut parts: Vec<&[EndpointEstimate]> = beliefs.chunks(BELIEFS_PER_DATAGRAM).collect();
        if parts.is_empty() {
            // The VM that asks waits for an answer, and may need the retries sent.
            parts.push(&[]);
        }
        let rates = std::mem::take(&mut picture.rate_limits);
        for beliefs in parts {
            let sent = std::mem::take(&mut picture.sent);
            self.send_snapshot_part(to, place, picture.shard.clone(), beliefs, sent, &[]);
        }
        for rates in rates.chunks(RATES_PER_DATAGRAM) {
            self.send_snapshot_part(to, place, picture.shard.clone(), &[], Vec::new(), rates);
        }
    }

    fn send_snapshot_part(
        &self,
        to: SocketAddr,
        place: Locality,
        shard: ShardId,
        beliefs: &[EndpointEstimate],
        sent: Vec<SendCounts>,
        rates: &[(EndpointKey, RateUpdate)],
    ) {
        let (beliefs, rates) = (beliefs.to_vec(), rates.to_vec());
        let part = ShardSnapshot { shard, estimates: beliefs, sent, rate_limits: rates };
        if let Some(bytes) = self.encode(ShardMessage::Snapshot(part)) {
            self.send(to, &bytes, Topic::ShardSnapshot, place);
        }
    }

    fn encode(&self, content: ShardMessage) -> Option<Vec<u8>> {
        let from = self.me.name.clone();
        let datagram = ShardDatagram { deployment: self.deployment, from, content };
        postcard::to_extend(&datagram, vec![SHARD_DATAGRAM_TAG])
            .inspect_err(|error| log::error!("event=news_not_encoded error={error:?}"))
            .ok()
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not for this VM to believe.
    pub(crate) fn receive(
        &self,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<ShardDatagram, ShardDatagramError> {
        let (tag, content) = bytes.split_first().ok_or(ShardDatagramError::Length(0))?;
        if *tag != SHARD_DATAGRAM_TAG {
            return Err(ShardDatagramError::Version(*tag));
        }
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(ShardDatagramError::Length(bytes.len()));
        }
        let datagram: ShardDatagram = postcard::from_bytes(content)?;
        if datagram.deployment != self.deployment || datagram.from == self.me.name {
            return Err(ShardDatagramError::Sender(datagram.from));
        }
        let mut guests = self.guests.lock().unwrap_or_else(PoisonError::into_inner);
        guests.record_update(self.clock.now(), from, || self.is_nearby(from));
        Ok(datagram)
    }

    /// Says that a datagram was not used, once in a while.
    pub(crate) fn log_unused(&self, from: SocketAddr, error: &ShardDatagramError) {
        let now = self.clock.now();
        let mut logged_at = self.unused_logged_at.lock().unwrap_or_else(PoisonError::into_inner);
        if logged_at.is_none_or(|at| now.since(at) >= UNUSED_LOG_INTERVAL) {
            *logged_at = Some(now);
            log::warn!("event=news_unused from={from} error={:?}", error.to_string());
        }
    }

    /// Returns whether the VM at an address is in this VM's data centre, as far as is
    /// known.
    fn is_nearby(&self, address: SocketAddr) -> bool {
        let view = self.view.borrow();
        let member = view.members.iter().find(|member| member.vm.peer_address == address);
        member.is_none_or(|member| member.vm.data_centre == self.me.data_centre)
    }

    /// Returns which VMs dispatch for a service, as far as this VM knows.
    pub(crate) fn dispatchers(&self, service: &str) -> VisibleDispatchers {
        let view = self.view.borrow();
        let dispatchers = view.ownership.dispatchers(service);
        VisibleDispatchers {
            count: dispatchers.len() as u32,
            is_member: dispatchers.iter().any(|vm| vm.name == self.me.name),
        }
    }
}
