//! The ports of the daemon and the handlers of their requests.

use std::sync::Arc;

use tokio::{net::TcpListener, sync::watch};

use super::Daemon;
use crate::serving::{
    admin, connection_limits::Senders, entries, listener::Listener, peer_service, proxy,
};

/// Maximum number of concurrent connections to the admin port.
const MAX_ADMIN_CONNECTIONS: usize = 32;

impl Daemon {
    pub(super) fn spawn_listeners(
        &self,
        caller: TcpListener,
        peer: TcpListener,
        admin: TcpListener,
        stopping: &watch::Receiver<bool>,
    ) {
        let limits = &self.context.settings.limits;
        let callers = self.listener(caller, limits.caller_connections, Senders::Callers, stopping);
        tokio::spawn(callers.serve(Arc::clone(&self.context), proxy::handle_caller));
        let peers = self.listener(peer, limits.peer_connections, Senders::Vms, stopping);
        let fleet = self.fleet.clone();
        let handler = move |context, request| peer_service::handle(context, fleet.clone(), request);
        tokio::spawn(peers.serve(Arc::clone(&self.context), handler));
        let operators = self.listener(admin, MAX_ADMIN_CONNECTIONS, Senders::Callers, stopping);
        let fleet = self.fleet.clone();
        let handler = move |context, request| admin::handle(context, fleet.clone(), request);
        tokio::spawn(operators.serve(Arc::clone(&self.context), handler));
    }

    pub(super) fn spawn_platform_listeners(
        &self,
        readiness: Option<TcpListener>,
        directory: Option<TcpListener>,
        stopping: &watch::Receiver<bool>,
    ) {
        let max_connections = self.context.settings.limits.caller_connections;
        if let Some(socket) = readiness {
            let listener = self.listener(socket, max_connections, Senders::Callers, stopping);
            tokio::spawn(listener.serve(Arc::clone(&self.context), entries::readiness));
        }
        if let Some(socket) = directory {
            let listener = self.listener(socket, max_connections, Senders::Callers, stopping);
            tokio::spawn(listener.serve(Arc::clone(&self.context), entries::handle));
        }
    }

    fn listener(
        &self,
        socket: TcpListener,
        max_connections: usize,
        senders: Senders,
        stopping: &watch::Receiver<bool>,
    ) -> Listener {
        let (stopping, connections) = (stopping.clone(), self.connections.clone());
        Listener { socket, max_connections, senders, stopping, connections }
    }
}
