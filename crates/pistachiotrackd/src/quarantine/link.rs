//! Datagrams about requests that crash endpoints.

use std::{net::SocketAddr, sync::Arc};

use pistachiotrack_core::{
    fingerprint::Fingerprint,
    hash,
    membership::MemberState,
    message::MAX_DATAGRAM_BYTES,
    name::Name,
    quarantine::{CrashUpdate, UpdateBatch},
    vm::Vm,
};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::watch};

use crate::{
    traffic::{Topic, Traffic},
    udp,
    view::FleetView,
};

/// First byte of these datagrams; those of the membership and of dispatchers begin with others.
pub(crate) const QUARANTINE_TAG: u8 = 0x90;

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
struct QuarantineDatagram {
    deployment: u64,
    notes: Vec<CrashUpdate>,
}

/// Why a datagram is not used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum QuarantineError {
    /// It is longer than any VM sends.
    #[error("{0} bytes")]
    Length(usize),
    /// It can't be read.
    #[error("can't be read: {0}")]
    Unreadable(#[from] postcard::Error),
    /// It comes from another deployment.
    #[error("of another deployment")]
    Deployment,
}

/// Tells other VMs about requests that crash endpoints.
#[derive(Debug)]
pub(crate) struct QuarantineLink {
    me: Name,
    deployment: u64,
    socket: Arc<UdpSocket>,
    view: watch::Receiver<Arc<FleetView>>,
    traffic: Arc<Traffic>,
}

impl QuarantineLink {
    /// Creates a link over the socket that the membership uses too.
    pub(crate) fn new(
        me: &Vm,
        deployment: &str,
        socket: Arc<UdpSocket>,
        view: watch::Receiver<Arc<FleetView>>,
        traffic: Arc<Traffic>,
    ) -> QuarantineLink {
        let deployment = hash::fnv(deployment.as_bytes());
        QuarantineLink { me: me.name.clone(), deployment, socket, view, traffic }
    }

    /// Tells the VMs that `telling` is for.
    pub(crate) fn tell(&self, telling: UpdateBatch) {
        let view = Arc::clone(&self.view.borrow());
        let (told, updates) = match telling {
            UpdateBatch::ForDispatchers { service, updates } => {
                let dispatchers = view.ownership.dispatchers(&service).iter();
                let others = dispatchers.filter(|vm| vm.name != self.me);
                (others.map(|vm| vm.peer_address).collect(), updates)
            }
            UpdateBatch::ForRandomVms { count, updates } => (random_members(&view, count), updates),
        };
        let Some(bytes) = self.encode(updates) else { return };
        for to in told {
            self.send(to, &bytes);
        }
    }

    /// Tells the VM at an address.
    pub(crate) fn answer(&self, to: SocketAddr, notes: Vec<CrashUpdate>) {
        if let Some(bytes) = self.encode(notes) {
            self.send(to, &bytes);
        }
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not for this VM to believe.
    pub(crate) fn read(&self, bytes: &[u8]) -> Result<Vec<CrashUpdate>, QuarantineError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(QuarantineError::Length(bytes.len()));
        }
        let content = bytes.get(1..).unwrap_or_default();
        let datagram: QuarantineDatagram = postcard::from_bytes(content)?;
        if datagram.deployment != self.deployment {
            return Err(QuarantineError::Deployment);
        }
        Ok(datagram.notes)
    }

    /// Returns whether trials of a request are up to this VM: of those that dispatch for its
    /// service side by side one tries it, and the owner where there are none.
    pub(crate) fn is_placed_here(&self, request: Fingerprint, service: &str) -> bool {
        let view = self.view.borrow();
        let dispatchers = view.ownership.dispatchers(service).iter();
        let score =
            |vm: &Vm| hash::rendezvous_score(request.placement(), hash::fnv(vm.name.as_bytes()));
        dispatchers.max_by_key(|vm| score(vm)).is_none_or(|vm| vm.name == self.me)
    }

    fn encode(&self, notes: Vec<CrashUpdate>) -> Option<Vec<u8>> {
        let datagram = QuarantineDatagram { deployment: self.deployment, notes };
        postcard::to_extend(&datagram, vec![QUARANTINE_TAG])
            .inspect_err(|error| log::error!("event=quarantine_not_encoded error={error:?}"))
            .ok()
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let place = self.view.borrow().locality(to);
        udp::send(&self.socket, to, bytes, &self.traffic, (Topic::Quarantine, place));
    }
}

fn random_members(view: &FleetView, count: usize) -> Vec<SocketAddr> {
    let alive = view.members.iter().filter(|member| member.state == MemberState::Alive);
    let addresses = alive.map(|member| member.vm.peer_address);
    addresses.sample(&mut rand::rng(), count)
}
