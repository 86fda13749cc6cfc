//! The UDP link that membership messages travel on.

use std::{io, net::SocketAddr, sync::Arc};

use kameo::actor::ActorRef;
use tokio::net::UdpSocket;

use crate::fleet::{Datagram, Fleet};

/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Passes every datagram that comes in to the fleet actor.
pub(crate) async fn receive(socket: Arc<UdpSocket>, fleet: ActorRef<Fleet>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let bytes = buffer[..length].to_vec();
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
pub(crate) fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    match socket.try_send_to(bytes, to) {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
        Err(error) => {
            log::debug!("event=datagram_failed to={to} error={:?}", error.to_string());
        }
    }
}
