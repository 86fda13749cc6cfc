//! One HTTP/1.1 connection of this VM to an endpoint or to another VM.

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
    clock::Clock,
    guarded_stream::{ExchangeGuard, GuardedStream},
    request_body::SendBody,
    settings::Limits,
    socket,
    timer::PauseGate,
};

/// An open connection. Dropping it closes the socket at once, which is how an
/// endpoint learns that a request was cancelled.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Address of the other end.
    pub(crate) address: SocketAddr,
    /// Sends requests.
    pub(crate) sender: SendRequest<SendBody>,
    /// Knows what was written.
    pub(crate) guard: Arc<ExchangeGuard>,
    /// Moment at which the connection was opened.
    pub(crate) opened: Time,
    /// Moment of the last whole answer, if there was one.
    pub(crate) last_answer: Option<Time>,
    driver: AbortHandle,
    _open: OpenCount,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Counts an open connection while it lives.
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

/// What is needed to open connections.
#[derive(Clone, Debug)]
pub(crate) struct Connector {
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Gate that shuts after a pause.
    pub(crate) gate: PauseGate,
    /// Limits of the daemon.
    pub(crate) limits: Arc<Limits>,
    /// Address that connections come from; the system chooses where it is
    /// missing.
    pub(crate) source: Option<IpAddr>,
}

/// Why no connection could be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    /// The other end refused or can't be reached.
    #[error("connect to {address}: {source}")]
    Io {
        /// The other end.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The other end did not answer in time.
    #[error("connect to {address}: no answer within {}ms", limit.as_millis())]
    TimedOut {
        /// The other end.
        address: SocketAddr,
        /// Time allowed.
        limit: Duration,
    },
    /// The connection closed at once.
    #[error("connect to {address}: {source}")]
    Handshake {
        /// The other end.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
}

impl Connector {
    /// Opens a TCP connection, from the source address where there is one.
    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let Some(source) = self.source else { return TcpStream::connect(address).await };
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(address).await
    }

    /// As [`Connector::connect`], within `limit` and the time that the settings allow.
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

    /// Opens a connection to `address` before `give_up`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection does not open; nothing was sent.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        open: OpenCount,
        give_up: Time,
    ) -> Result<Connection, ConnectError> {
        let stream = self.connect_within(address, give_up.since(self.clock.now())).await?;
        socket::configure_outgoing(&stream)
            .map_err(|source| ConnectError::Io { address, source })?;
        let guard = ExchangeGuard::new(self.clock, self.gate.clone());
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
            driver: driver.abort_handle(),
            _open: open,
        })
    }
}
