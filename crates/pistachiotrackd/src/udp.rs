//! The UDP link that membership messages travel on.

use std::{io, net::SocketAddr, sync::Arc};

use kameo::actor::ActorRef;
use pistachiotrack_core::message::MAX_DATAGRAM_BYTES;
use tokio::net::UdpSocket;

use crate::{
    context::Context,
    fleet::{Datagram, Fleet},
    metrics::Event,
    quarantine::QUARANTINE_TAG,
    shard_update_link::{SHARD_DATAGRAM_TAGS, ShardUpdateLink},
    traffic::{Locality, Topic, Traffic},
};

/// Passes the datagrams that come in to the fleet actor, and those of other
/// dispatchers to the shards.
pub(crate) async fn receive(
    socket: Arc<UdpSocket>,
    fleet: ActorRef<Fleet>,
    context: Arc<Context>,
    news: Arc<ShardUpdateLink>,
) {
    let traffic = &context.traffic;
    // One byte more than any VM sends shows a datagram that is too large.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let view = context.view();
                let bytes = &buffer[..length];
                if bytes.first().is_some_and(|tag| SHARD_DATAGRAM_TAGS.contains(tag)) {
                    let datagram = news.receive(from, bytes);
                    let topic =
                        datagram.as_ref().map_or(Topic::ShardUpdate, |it| it.content.topic());
                    traffic.received(topic, view.locality(from), length);
                    match datagram {
                        Ok(datagram) => context.shards.on_news(&view, from, datagram),
                        Err(error) => {
                            context.metrics.count(Event::ShardDatagramDropped);
                            news.log_dropped(from, &error);
                        }
                    }
                    continue;
                }
                if bytes.first() == Some(&QUARANTINE_TAG) {
                    traffic.received(Topic::Quarantine, view.locality(from), length);
                    context.quarantine.receive(from, bytes);
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
            // A send to a VM that is gone shows here as a refused connection.
            Err(error) => log::debug!("event=datagram_failed error={:?}", error.to_string()),
        }
    }
}

/// Sends a datagram and counts it; one that the system has no room for is lost, as any may
/// be.
pub(crate) fn send(
    socket: &UdpSocket,
    to: SocketAddr,
    bytes: &[u8],
    traffic: &Traffic,
    (topic, place): (Topic, Locality),
) {
    match socket.try_send_to(bytes, to) {
        Ok(sent) => traffic.sent(topic, place, sent),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
        Err(error) => {
            log::debug!("event=datagram_failed to={to} error={:?}", error.to_string());
        }
    }
}
