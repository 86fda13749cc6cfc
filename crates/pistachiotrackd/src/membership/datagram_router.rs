//! Receives the datagrams of other VMs and passes them to their handlers.

use std::sync::Arc;

use kameo::actor::ActorRef;
use pistachiotrack_core::message::MAX_DATAGRAM_BYTES;
use tokio::{net::UdpSocket, sync::watch};

use crate::{
    config::view::FleetView,
    membership::fleet::{Datagram, Fleet, LEASE_TAG, LeaseDatagram},
    peers::{
        customer_limits::{CustomerLimits, USAGE_TAG},
        quarantine::{QUARANTINE_TAG, QuarantineManager},
        shard_update_link::{SHARD_DATAGRAM_TAGS, ShardUpdateLink},
    },
    shards::shard_table::ShardTable,
    stats::{
        metrics::{Event, Metrics},
        traffic::{Topic, Traffic},
    },
};

/// Handlers of received datagrams, and what is needed to count datagrams.
pub(crate) struct DatagramHandlers {
    /// Handles datagrams of the membership and of the configuration's lease.
    pub(crate) fleet: ActorRef<Fleet>,
    /// Handles datagrams of other dispatchers.
    pub(crate) shards: Arc<ShardTable>,
    /// Decodes datagrams of other dispatchers.
    pub(crate) link: Arc<ShardUpdateLink>,
    /// Handles datagrams about requests that crash endpoints.
    pub(crate) quarantine: Arc<QuarantineManager>,
    /// Handles reports of what VMs have admitted for customers.
    pub(crate) customer_limits: Arc<CustomerLimits>,
    /// Latest snapshot of the fleet.
    pub(crate) view: watch::Receiver<Arc<FleetView>>,
    /// Counters.
    pub(crate) metrics: Arc<Metrics>,
    /// Counts of sent and received messages.
    pub(crate) traffic: Arc<Traffic>,
}

/// Receives datagrams and passes them on by their first byte: those of other dispatchers
/// to the shards, those of the quarantine to its gate, all others to the fleet actor.
pub(crate) async fn receive(socket: Arc<UdpSocket>, handlers: DatagramHandlers) {
    let DatagramHandlers { fleet, shards, link, quarantine, customer_limits, .. } = &handlers;
    let DatagramHandlers { view, metrics, traffic, .. } = &handlers;
    // One byte more than the maximum, to detect datagrams that are too large.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let view = Arc::clone(&view.borrow());
                let bytes = &buffer[..length];
                if bytes.first().is_some_and(|tag| SHARD_DATAGRAM_TAGS.contains(tag)) {
                    let datagram = link.receive(from, bytes);
                    let topic = datagram
                        .as_ref()
                        .map_or(Topic::ShardUpdate, |datagram| datagram.content.topic());
                    traffic.received(topic, view.locality(from), length);
                    match datagram {
                        Ok(datagram) => shards.on_peer_update(&view, from, datagram),
                        Err(error) => {
                            metrics.count(Event::ShardDatagramDropped);
                            link.log_dropped(from, &error);
                        }
                    }
                    continue;
                }
                if bytes.first() == Some(&QUARANTINE_TAG) {
                    traffic.received(Topic::Quarantine, view.locality(from), length);
                    quarantine.receive(from, bytes);
                    continue;
                }
                if bytes.first() == Some(&USAGE_TAG) {
                    traffic.received(Topic::CustomerUsage, view.locality(from), length);
                    customer_limits.receive(from, bytes);
                    continue;
                }
                if bytes.first() == Some(&LEASE_TAG) {
                    traffic.received(Topic::Lease, view.locality(from), length);
                    let bytes = bytes.to_vec();
                    if fleet.tell(LeaseDatagram { from, bytes }).try_send().is_err() {
                        return;
                    }
                    continue;
                }
                traffic.received(Topic::Membership, view.locality(from), length);
                if length > MAX_DATAGRAM_BYTES {
                    continue;
                }
                let bytes = bytes.to_vec();
                if fleet.tell(Datagram { from, bytes }).try_send().is_err() {
                    return;
                }
            }
            // An earlier send to a stopped VM is reported here as a refused connection.
            Err(error) => log::debug!("event=datagram_failed error={:?}", error.to_string()),
        }
    }
}
