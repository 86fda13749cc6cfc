//! The UDP link that membership messages travel on.

use std::{io, net::SocketAddr, sync::Arc};

use kameo::actor::ActorRef;
use pistachiotrack_core::message::MAX_DATAGRAM_BYTES;
use tokio::net::UdpSocket;

use crate::{
    context::Context,
    control_traffic::ControlTraffic,
    fleet::{Datagram, Fleet},
    news_link::{NEWS_TAG, NewsLink},
};

/// Passes the datagrams that come in to the fleet actor, and those of other
/// dispatchers to the shards.
pub(crate) async fn receive(
    socket: Arc<UdpSocket>,
    fleet: ActorRef<Fleet>,
    context: Arc<Context>,
    news: Arc<NewsLink>,
) {
    let traffic = &context.traffic;
    // One byte more than any VM sends shows a datagram that is too large.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                traffic.received(length);
                if length > MAX_DATAGRAM_BYTES {
                    continue;
                }
                let bytes = &buffer[..length];
                if bytes.first() == Some(&NEWS_TAG) {
                    if let Some(datagram) = news.receive(from, bytes) {
                        context.shards.on_news(&context.view(), from, datagram);
                    }
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

/// Sends a datagram; one that the system has no room for is lost, as any may be.
pub(crate) fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8], traffic: &ControlTraffic) {
    match socket.try_send_to(bytes, to) {
        Ok(sent) => traffic.sent(sent),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
        Err(error) => {
            log::debug!("event=datagram_failed to={to} error={:?}", error.to_string());
        }
    }
}
