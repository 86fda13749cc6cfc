//! Listening sockets of the daemon.

use std::{
    net::SocketAddr,
    time::{SystemTime, UNIX_EPOCH},
};

use pistachiotrack_core::vm::Vm;
use tokio::net::{TcpListener, UdpSocket};

use super::StartError;
use crate::config::settings::Settings;

/// Maximum number of ports that are tried if the system chooses the peer port.
const MAX_PEER_PORT_TRIES: u32 = 16;

/// Listening sockets of the daemon.
pub(super) struct Sockets {
    pub(super) caller: TcpListener,
    pub(super) peer: TcpListener,
    pub(super) membership: UdpSocket,
    pub(super) admin: TcpListener,
    pub(super) readiness: Option<TcpListener>,
    pub(super) directory: Option<TcpListener>,
}

impl Sockets {
    /// Binds the addresses in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field whose address can't be bound.
    pub(super) async fn bind(settings: &Settings) -> Result<Sockets, StartError> {
        let caller = bind("caller_address", settings.caller_address).await?;
        let (peer, membership) = bind_peer(settings.peer_address).await?;
        let admin = bind("admin_address", settings.admin_address).await?;
        let readiness = bind_optional("readiness_address", settings.readiness_address).await?;
        let directory = bind_optional("directory_address", settings.directory_address).await?;
        Ok(Sockets { caller, peer, membership, admin, readiness, directory })
    }

    /// Returns the description of this VM, with the addresses that were bound.
    pub(super) fn vm(&self, settings: &Settings) -> Vm {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Vm {
            name: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: started.as_millis() as u64,
            caller_address: self.caller.local_addr().unwrap_or(settings.caller_address),
            peer_address: settings
                .advertised_peer_address
                .unwrap_or_else(|| self.peer.local_addr().unwrap_or(settings.peer_address)),
            capacity: settings.hardware.capacity(),
        }
    }
}

/// Binds the peer address for both protocols.
///
/// If the system chooses the port, it chooses one that is free for TCP but may be
/// in use for UDP; another port is tried in that case.
async fn bind_peer(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let mut tries = 1;
    loop {
        let peer = bind("peer_address", address).await?;
        let chosen = local_address("peer_address", &peer)?;
        match UdpSocket::bind(chosen).await {
            Ok(membership) => return Ok((peer, membership)),
            Err(_) if address.port() == 0 && tries < MAX_PEER_PORT_TRIES => tries += 1,
            Err(source) => {
                return Err(StartError::Bind { field: "peer_address", address: chosen, source });
            }
        }
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Bind { field, address, source })
}

async fn bind_optional(
    field: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<TcpListener>, StartError> {
    match address {
        Some(address) => bind(field, address).await.map(Some),
        None => Ok(None),
    }
}

/// Returns the local address of the socket bound for the settings' `field`.
pub(super) fn local_address(
    field: &'static str,
    socket: &TcpListener,
) -> Result<SocketAddr, StartError> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    socket.local_addr().map_err(|source| StartError::Bind { field, address: unknown, source })
}

/// Like [`local_address`], for an optional socket.
pub(super) fn optional_address(
    field: &'static str,
    socket: &Option<TcpListener>,
) -> Result<Option<SocketAddr>, StartError> {
    socket.as_ref().map(|socket| local_address(field, socket)).transpose()
}
