//! Sends datagrams to other VMs.

use std::{io, net::SocketAddr};

use tokio::net::UdpSocket;

use crate::stats::traffic::{Locality, Topic, Traffic};

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
