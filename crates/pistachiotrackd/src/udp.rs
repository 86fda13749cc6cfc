//! Sends and receives the datagrams between VMs.

use std::{io, net::SocketAddr, sync::Arc};

use kameo::actor::ActorRef;
use pistachiotrack_core::message::MAX_DATAGRAM_BYTES;
use tokio::net::UdpSocket;

use crate::{
    context::Context,
    customer_limits::USAGE_TAG,
    fleet::{Datagram, Fleet, LEASE_TAG, LeaseDatagram},
    metrics::Event,
    quarantine::QUARANTINE_TAG,
    shard_update_link::{SHARD_DATAGRAM_TAGS, ShardUpdateLink},
    traffic::{Locality, Topic, Traffic},
};

/// Receives datagrams and passes them on by their first byte: those of other dispatchers
/// to the shards, those of the quarantine to its gate, all others to the fleet actor.
pub(crate) async fn receive(
    socket: Arc<UdpSocket>,
    fleet: ActorRef<Fleet>,
    context: Arc<Context>,
    link: Arc<ShardUpdateLink>,
) {
    let traffic = &context.traffic;
    // One byte more than the maximum, to detect datagrams that are too large.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let view = context.view();
                let bytes = &buffer[..length];
                if bytes.first().is_some_and(|tag| SHARD_DATAGRAM_TAGS.contains(tag)) {
                    let datagram = link.receive(from, bytes);
                    let topic = datagram
                        .as_ref()
                        .map_or(Topic::ShardUpdate, |datagram| datagram.content.topic());
                    traffic.received(topic, view.locality(from), length);
                    match datagram {
                        Ok(datagram) => context.shards.on_peer_update(&view, from, datagram),
                        Err(error) => {
                            context.metrics.count(Event::ShardDatagramDropped);
                            link.log_dropped(from, &error);
                        }
                    }
                    continue;
                }
                if bytes.first() == Some(&QUARANTINE_TAG) {
                    traffic.received(Topic::Quarantine, view.locality(from), length);
                    context.quarantine.receive(from, bytes);
                    continue;
                }
                if bytes.first() == Some(&USAGE_TAG) {
                    traffic.received(Topic::CustomerUsage, view.locality(from), length);
                    context.customer_limits.receive(from, bytes);
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

/// Sends a datagram and counts it. It is dropped if the send buffer is full, as datagrams
/// may be lost anyway.
pub(crate) fn send(
    socket: &UdpSocket,
    to: SocketAddr,
    bytes: &[u8],
    traffic: &Traffic,
    (topic, locality): (Topic, Locality),
) {
    match socket.try_send_to(bytes, to) {
        Ok(sent) => traffic.sent(topic, locality, sent),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
        Err(error) => {
            log::debug!("event=datagram_failed to={to} error={:?}", error.to_string());
        }
    }
}
