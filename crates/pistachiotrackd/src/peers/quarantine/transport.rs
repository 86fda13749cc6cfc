//! Datagrams about requests that crash endpoints.

use std::{net::SocketAddr, sync::Arc};

use pistachiotrack_core::{
    fingerprint::Fingerprint,
    hash,
    membership::MemberState,
    name::Name,
    quarantine::{CrashUpdate, UpdateBatch},
    vm::Vm,
};
use rand::seq::IteratorRandom;
use tokio::{net::UdpSocket, sync::watch};

use crate::{
    config::view::FleetView,
    formats::datagram::{DatagramCodec, DatagramError},
    peers::udp,
    stats::traffic::{Topic, Traffic},
};

/// First byte of quarantine datagrams; datagrams of the membership and of dispatchers start with
/// other bytes.
pub(crate) const QUARANTINE_TAG: u8 = 0x90;

/// Sends updates about requests that crash endpoints to other VMs.
#[derive(Debug)]
pub(crate) struct QuarantineTransport {
    me: Name,
    codec: DatagramCodec,
    socket: Arc<UdpSocket>,
    view: watch::Receiver<Arc<FleetView>>,
    traffic: Arc<Traffic>,
}

impl QuarantineTransport {
    /// Creates a transport over the socket that the membership also uses.
    pub(crate) fn new(
        me: &Vm,
        deployment: &str,
        socket: Arc<UdpSocket>,
        view: watch::Receiver<Arc<FleetView>>,
        traffic: Arc<Traffic>,
    ) -> QuarantineTransport {
        let codec = DatagramCodec::new(QUARANTINE_TAG, deployment);
        QuarantineTransport { me: me.name.clone(), codec, socket, view, traffic }
    }

    /// Sends a batch to its recipients.
    pub(crate) fn send_batch(&self, batch: UpdateBatch) {
        let view = Arc::clone(&self.view.borrow());
        let (recipients, updates) = match batch {
            UpdateBatch::ForDispatchers { service, updates } => {
                let dispatchers = view.ownership.dispatchers(&service).iter();
                let others = dispatchers.filter(|vm| vm.name != self.me);
                (others.map(|vm| vm.peer_address).collect(), updates)
            }
            UpdateBatch::ForRandomVms { count, updates } => (random_members(&view, count), updates),
        };
        let Some(bytes) = self.codec.encode(&updates) else { return };
        for to in recipients {
            self.send(to, &bytes);
        }
    }

    /// Sends updates to the VM at an address.
    pub(crate) fn reply(&self, to: SocketAddr, updates: Vec<CrashUpdate>) {
        if let Some(bytes) = self.codec.encode(&updates) {
            self.send(to, &bytes);
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is invalid or comes from another deployment.
    pub(crate) fn read(&self, bytes: &[u8]) -> Result<Vec<CrashUpdate>, DatagramError> {
        self.codec.decode(bytes)
    }

    /// Returns whether this VM runs the trials of a request: of the dispatchers of its service
    /// one does, and the owner if there are no dispatchers.
    pub(crate) fn is_trial_owner(&self, request: Fingerprint, service: &str) -> bool {
        let view = self.view.borrow();
        let dispatchers = view.ownership.dispatchers(service).iter();
        let score =
            |vm: &Vm| hash::rendezvous_score(request.placement(), hash::fnv(vm.name.as_bytes()));
        dispatchers.max_by_key(|vm| score(vm)).is_none_or(|vm| vm.name == self.me)
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let locality = self.view.borrow().locality(to);
        udp::send(&self.socket, to, bytes, &self.traffic, (Topic::Quarantine, locality));
    }
}

fn random_members(view: &FleetView, count: usize) -> Vec<SocketAddr> {
    let alive = view.members.iter().filter(|member| member.state == MemberState::Alive);
    let addresses = alive.map(|member| member.vm.peer_address);
    addresses.sample(&mut rand::rng(), count)
}
