//! An HTTP/1.1 connection from this VM to an endpoint or to another VM.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use pistachiotrack_core::time::Time;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
};

use crate::{
    config::settings::Limits,
    connections::{
        carried_requests::CarriedRequests,
        guarded_stream::{ExchangeGuard, GuardedStream},
    },
    formats::request_body::SendBody,
    runtime::{clock::Clock, socket, timer::PauseGate},
};

/// Number of heads of the maximum size that may arrive beside the data of an answer: interim answers,
/// and the beginning of a body that is read together with the head.
const HEADS_BESIDE_DATA: u64 = 8;

/// An open connection. Dropping it closes the socket immediately, which signals to an endpoint
/// that its request was cancelled.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Address of the peer.
    pub(crate) address: SocketAddr,
    /// Sender of requests.
    pub(crate) sender: SendRequest<SendBody>,
    /// Tracks whether the current request was written.
    pub(crate) guard: Arc<ExchangeGuard>,
    /// Time at which the connection was opened.
    pub(crate) opened: Time,
    /// Time of the last complete answer, if there was one.
    pub(crate) last_answer: Option<Time>,
    /// Local port, by which both ends' logs name the connection.
    pub(crate) local_port: u16,
    /// Number of exchanges that were begun on it.
    pub(crate) exchanges: u32,
    /// Whether no further request may be sent on it.
    pub(crate) is_last_exchange: bool,
    /// Requests that may not be sent on it.
    pub(crate) carried: CarriedRequests,
    driver: AbortHandle,
    _open: OpenCount,
}

impl Connection {
    /// Returns a handle that breaks the connection.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.driver.clone()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Entry in the count of open connections, removed on drop.
#[derive(Debug)]
pub(crate) struct OpenCount(Arc<AtomicU32>);

impl OpenCount {
    /// Counts one more connection, unless `budget` connections are open.
    pub(crate) fn acquire(count: &Arc<AtomicU32>, budget: u32) -> Option<OpenCount> {
        count
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |open| {
                (open < budget).then_some(open + 1)
            })
            .ok()
            .map(|_| OpenCount(Arc::clone(count)))
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Opens connections.
#[derive(Clone, Debug)]
pub(crate) struct Connector {
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Gate that closes after a pause of the process.
    pub(crate) gate: PauseGate,
    /// Limits of the daemon.
    pub(crate) limits: Arc<Limits>,
    /// Source address of connections; the operating system chooses one if it is `None`.
    pub(crate) source: Option<IpAddr>,
}

/// Why no connection could be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    /// The peer refused the connection or can't be reached.
    #[error("connect to {address}: {source}")]
    Io {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The peer did not accept in time.
    #[error("connect to {address}: no answer within {}ms", limit.as_millis())]
    TimedOut {
        /// Address of the peer.
        address: SocketAddr,
        /// Time allowed.
        limit: Duration,
    },
    /// The connection closed immediately.
    #[error("connect to {address}: {source}")]
    Handshake {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
}

impl Connector {
    /// Opens a TCP connection, from the source address if one is set.
    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let Some(source) = self.source else { return TcpStream::connect(address).await };
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(address).await
    }

    /// Like [`Connector::connect`], limited by `limit` and by the connect timeout of the
    /// settings.
    async fn connect_within(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<TcpStream, ConnectError> {
        let limit = limit.min(Duration::from_millis(self.limits.connect_timeout_ms));
        tokio::time::timeout(limit, self.connect(address))
            .await
            .map_err(|_| ConnectError::TimedOut { address, limit })?
            .map_err(|source| ConnectError::Io { address, source })
    }

    /// Opens a TCP connection to `address` and closes it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection does not open.
    pub(crate) async fn try_connect(&self, address: SocketAddr) -> Result<(), ConnectError> {
        self.connect_within(address, Duration::MAX).await.map(drop)
    }

    /// Opens a connection to `address` before `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection does not open; nothing was sent.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        open: OpenCount,
        deadline: Time,
    ) -> Result<Connection, ConnectError> {
        let stream = self.connect_within(address, deadline.since(self.clock.now())).await?;
        socket::configure_outgoing(&stream)
            .map_err(|source| ConnectError::Io { address, source })?;
        let local_port = stream.local_addr().map_or(0, |address| address.port());
        let max_beside_data_bytes = self.limits.header_bytes as u64 * HEADS_BESIDE_DATA;
        let guard = ExchangeGuard::new(self.clock, self.gate.clone(), max_beside_data_bytes);
        let stream = GuardedStream::new(stream, Arc::clone(&guard));
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(self.limits.header_bytes)
            .max_headers(self.limits.header_count)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|source| ConnectError::Handshake { address, source })?;
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("event=connection_ended address={address} error={error:?}");
            }
        });
        Ok(Connection {
            address,
            sender,
            guard,
            opened: self.clock.now(),
            last_answer: None,
            local_port,
            exchanges: 0,
            is_last_exchange: false,
            carried: CarriedRequests::default(),
            driver: driver.abort_handle(),
            _open: open,
        })
    }
}
