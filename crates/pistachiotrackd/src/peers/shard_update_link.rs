//! Datagrams between VMs that dispatch for the same services.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use pistachiotrack_core::{
    hash,
    message::MAX_DATAGRAM_BYTES,
    name::Name,
    ownership::ShardId,
    retry::{RightsGrant, RightsRequest, VisibleDispatchers},
    shard::{ShardSnapshot, ShardUpdate, Subscribers},
    time::Time,
    vm::Vm,
};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::watch};

use crate::{
    config::view::FleetView,
    formats::reach_view::ReachView,
    peers::udp,
    runtime::clock::Clock,
    stats::traffic::{Locality, Topic, Traffic},
};

/// First bytes of these datagrams in all protocol versions; membership datagrams begin
/// with other bytes.
pub(crate) const SHARD_DATAGRAM_TAGS: RangeInclusive<u8> = 0x80..=0x8f;
/// First byte in this protocol version.
const SHARD_DATAGRAM_TAG: u8 = 0x86;
/// Minimum interval of log lines about dropped datagrams.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Number of dispatchers that a snapshot is requested from.
const SNAPSHOT_SOURCES: usize = 2;
/// A datagram between dispatchers.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ShardDatagram {
    deployment: u64,
    /// Sender.
    pub(crate) from: Name,
    /// Message.
    pub(crate) content: ShardMessage,
}

/// Messages between VMs that dispatch for the same shard.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ShardMessage {
    /// State update of the sender.
    Update(ShardUpdate),
    /// Request for a snapshot; sent by a VM that has just started to dispatch for a shard.
    SnapshotRequest(ShardId),
    /// The sender's state of the shard.
    Snapshot(ShardSnapshot),
    /// Request for rights to send retries.
    RightsRequest {
        /// Shard whose retries are limited.
        shard: ShardId,
        /// The request.
        request: RightsRequest,
    },
    /// Answer to it.
    RightsGrant {
        /// Shard of the request.
        shard: ShardId,
        /// Rights that the sender has given.
        grant: RightsGrant,
    },
}

impl ShardMessage {
    /// Returns the shard that the message is about.
    pub(crate) fn shard(&self) -> &ShardId {
        match self {
            ShardMessage::Update(update) => &update.shard,
            ShardMessage::SnapshotRequest(shard) => shard,
            ShardMessage::Snapshot(snapshot) => &snapshot.shard,
            ShardMessage::RightsRequest { shard, .. } | ShardMessage::RightsGrant { shard, .. } => {
                shard
            }
        }
    }

    /// Returns the topic under which the message is counted.
    pub(crate) fn topic(&self) -> Topic {
        match self {
            ShardMessage::Update(_) => Topic::ShardUpdate,
            ShardMessage::SnapshotRequest(_) | ShardMessage::Snapshot(_) => Topic::ShardSnapshot,
            ShardMessage::RightsRequest { .. } | ShardMessage::RightsGrant { .. } => {
                Topic::RetryRights
            }
        }
    }
}

/// Exchanges state updates with the other dispatchers of a service.
#[derive(Debug)]
pub(crate) struct ShardUpdateLink {
    me: Vm,
    deployment: u64,
    clock: Clock,
    socket: Arc<UdpSocket>,
    view: watch::Receiver<Arc<FleetView>>,
    reach: watch::Receiver<ReachView>,
    traffic: Arc<Traffic>,
    subscribers: Mutex<Subscribers>,
    drop_logged_at: Mutex<Option<Time>>,
}

/// Why a datagram is dropped.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ShardDatagramError {
    /// It has another protocol version.
    #[error("datagram has version {0:#x}, expected {SHARD_DATAGRAM_TAG:#x}")]
    Version(u8),
    /// It is empty or exceeds the maximum length.
    #[error("datagram has an invalid length of {0} bytes")]
    Length(usize),
    /// It can't be decoded.
    #[error("datagram can't be decoded: {0}")]
    Unreadable(#[from] postcard::Error),
    /// It comes from another deployment, or from this VM.
    #[error("datagram comes from unexpected sender {0}")]
    Sender(Name),
}

impl ShardUpdateLink {
    /// Creates a link that sends over the membership socket.
    pub(crate) fn new(
        me: Vm,
        deployment: &str,
        clock: Clock,
        socket: Arc<UdpSocket>,
        view: watch::Receiver<Arc<FleetView>>,
        reach: watch::Receiver<ReachView>,
        traffic: Arc<Traffic>,
    ) -> ShardUpdateLink {
        let deployment = hash::fnv(deployment.as_bytes());
        ShardUpdateLink {
            me,
            deployment,
            clock,
            socket,
            view,
            reach,
            traffic,
            subscribers: Mutex::default(),
            drop_logged_at: Mutex::default(),
        }
    }

    /// Sends an update to the other dispatchers and the subscribers.
    pub(crate) fn broadcast(&self, update: ShardUpdate) {
        let is_in_doubt = self.reach.borrow().is_in_doubt;
        let update = if is_in_doubt { update.without_broken_connections() } else { update };
        let service = update.shard.service.clone();
        let Some(bytes) = self.encode(ShardMessage::Update(update)) else { return };
        let view = Arc::clone(&self.view.borrow());
        let dispatchers = view.ownership.dispatchers(&service);
        for vm in dispatchers.iter().filter(|vm| vm.name != self.me.name) {
            self.send(vm.peer_address, &bytes, Topic::ShardUpdate, self.locality(vm));
        }
        let now = self.clock.now();
        let mut subscribers = self.subscribers.lock().unwrap_or_else(PoisonError::into_inner);
        for address in subscribers.recipients(now) {
            if dispatchers.iter().all(|vm| vm.peer_address != address) {
                // Subscribers are in this data centre.
                self.send(address, &bytes, Topic::ShardUpdate, Locality::Near);
            }
        }
    }

    /// Asks another dispatcher for rights to send retries.
    pub(crate) fn request_rights(&self, shard: &ShardId, to: &Name, request: RightsRequest) {
        let view = Arc::clone(&self.view.borrow());
        let dispatchers = view.ownership.dispatchers(&shard.service);
        let Some(vm) = dispatchers.iter().find(|vm| vm.name == *to) else { return };
        let content = ShardMessage::RightsRequest { shard: shard.clone(), request };
        if let Some(bytes) = self.encode(content) {
            self.send(vm.peer_address, &bytes, Topic::RetryRights, self.locality(vm));
        }
    }

    /// Sends rights to the VM at an address that has asked for them.
    pub(crate) fn send_rights(&self, to: SocketAddr, shard: &ShardId, grant: RightsGrant) {
        let content = ShardMessage::RightsGrant { shard: shard.clone(), grant };
        if let Some(bytes) = self.encode(content) {
            let locality = self.view.borrow().locality(to);
            self.send(to, &bytes, Topic::RetryRights, locality);
        }
    }

    fn locality(&self, vm: &Vm) -> Locality {
        Locality::of(&vm.data_centre, &self.me.data_centre)
    }

    fn send(&self, to: SocketAddr, bytes: &[u8], topic: Topic, locality: Locality) {
        udp::send(&self.socket, to, bytes, &self.traffic, (topic, locality));
    }

    /// Requests snapshots of a shard from other dispatchers, those in the same data
    /// centre first; returns whether there are any.
    ///
    /// Without a snapshot, a VM that has just started would send its first bookings
    /// to endpoints that the others know to fail, which causes failures after each
    /// restart. The snapshot arrives within a round trip, before most requests.
    pub(crate) fn request_snapshot(&self, shard: &ShardId) -> bool {
        let Some(bytes) = self.encode(ShardMessage::SnapshotRequest(shard.clone())) else {
            return false;
        };
        let view = Arc::clone(&self.view.borrow());
        let dispatchers = view.ownership.dispatchers(&shard.service);
        let others = dispatchers.iter().filter(|vm| vm.name != self.me.name);
        let (local, remote): (Vec<&Vm>, Vec<&Vm>) =
            others.partition(|vm| vm.data_centre == self.me.data_centre);
        let recipients: Vec<&Vm> = local.into_iter().chain(remote).take(SNAPSHOT_SOURCES).collect();
        for vm in &recipients {
            self.send(vm.peer_address, &bytes, Topic::ShardSnapshot, self.locality(vm));
        }
        !recipients.is_empty()
    }

    /// Sends a snapshot to the VM at an address, split into as many datagrams as needed, unless
    /// this VM reaches no endpoint: others know more about them.
    pub(crate) fn send_snapshot(&self, to: SocketAddr, snapshot: ShardSnapshot) {
        if self.reach.borrow().reach.is_cut_off() {
            return;
        }
        let locality = self.view.borrow().locality(to);
        for part in snapshot.into_parts() {
            if let Some(bytes) = self.encode(ShardMessage::Snapshot(part)) {
                self.send(to, &bytes, Topic::ShardSnapshot, locality);
            }
        }
    }

    fn encode(&self, content: ShardMessage) -> Option<Vec<u8>> {
        let from = self.me.name.clone();
        let datagram = ShardDatagram { deployment: self.deployment, from, content };
        postcard::to_extend(&datagram, vec![SHARD_DATAGRAM_TAG])
            .inspect_err(|error| log::error!("event=news_not_encoded error={error:?}"))
            .ok()
    }

    /// Decodes a datagram and checks its sender.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is invalid or not meant for this VM.
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
        let mut subscribers = self.subscribers.lock().unwrap_or_else(PoisonError::into_inner);
        subscribers.record_update(self.clock.now(), from, || self.is_in_same_data_centre(from));
        Ok(datagram)
    }

    /// Logs that a datagram was dropped; at most one line per interval.
    pub(crate) fn log_dropped(&self, from: SocketAddr, error: &ShardDatagramError) {
        let now = self.clock.now();
        let mut logged_at = self.drop_logged_at.lock().unwrap_or_else(PoisonError::into_inner);
        if logged_at.is_none_or(|at| now.since(at) >= DROP_LOG_INTERVAL) {
            *logged_at = Some(now);
            log::warn!("event=news_unused from={from} error={:?}", error.to_string());
        }
    }

    /// Returns whether the VM at an address is in this VM's data centre; true if its
    /// data centre is unknown.
    fn is_in_same_data_centre(&self, address: SocketAddr) -> bool {
        let view = self.view.borrow();
        let member = view.members.iter().find(|member| member.vm.peer_address == address);
        member.is_none_or(|member| member.vm.data_centre == self.me.data_centre)
    }

    /// Returns the names of this VM and of the dispatchers of a service in its view.
    pub(crate) fn dispatcher_names(&self, service: &str) -> (Name, Vec<Name>) {
        let view = self.view.borrow();
        let dispatchers = view.ownership.dispatchers(service);
        (self.me.name.clone(), dispatchers.iter().map(|vm| vm.name.clone()).collect())
    }

    /// Returns the dispatchers of a service in this VM's view.
    pub(crate) fn dispatchers(&self, service: &str) -> VisibleDispatchers {
        let view = self.view.borrow();
        let dispatchers = view.ownership.dispatchers(service);
        VisibleDispatchers {
            count: dispatchers.len() as u32,
            is_member: dispatchers.iter().any(|vm| vm.name == self.me.name),
            fleet: view.visible_fleet,
        }
    }
}
