//! Notices that the peer of a connection has closed it, also while unread bytes wait on it.

use std::{
    future::poll_fn,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Poll, ready},
    time::Duration,
};

use futures_util::FutureExt;
use tokio::{io::Interest, net::TcpStream};

/// Interval at which a connection is checked for its peer's close.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Bytes that are read at once from a connection that is about to be closed.
const DRAIN_BUFFER_BYTES: usize = 4 * 1024;
/// Bytes after which a peer that sends on without end is cut off.
const MAX_DRAIN_BYTES: usize = 256 * 1024;

/// A TCP stream that the server of its connection and a monitor share.
#[derive(Clone, Debug)]
pub(crate) struct SharedStream(Arc<Mutex<TcpStream>>);

impl SharedStream {
    /// Creates a stream that can be shared.
    pub(crate) fn new(stream: TcpStream) -> SharedStream {
        SharedStream(Arc::new(Mutex::new(stream)))
    }

    /// Returns the stream, which must not be held across an await.
    pub(crate) fn lock(&self) -> MutexGuard<'_, TcpStream> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Monitors the peer of a connection.
///
/// The HTTP server reads no further request before it has answered the one before, so that it doesn't
/// reach the end of the stream behind the bytes of further requests.
#[derive(Clone, Debug)]
pub(crate) struct PeerMonitor(SharedStream);

impl PeerMonitor {
    /// Creates a monitor of the peer of `stream`.
    pub(crate) fn new(stream: SharedStream) -> PeerMonitor {
        PeerMonitor(stream)
    }

    /// Waits until the peer has closed the connection.
    pub(crate) async fn closed(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.is_closed() {
                return;
            }
        }
    }

    /// Reads and drops what the peer still sends, until it closes the connection, for `limit` or up to
    /// [`MAX_DRAIN_BYTES`].
    ///
    /// If a connection is closed while bytes wait that nobody has read, the system resets it and drops
    /// what it hasn't sent yet, which may be the end of the last answer.
    pub(crate) async fn drain(&self, limit: Duration) {
        let mut left_bytes = MAX_DRAIN_BYTES;
        let drained = poll_fn(|cx| {
            loop {
                let stream = self.0.lock();
                ready!(stream.poll_read_ready(cx))?;
                match stream.try_read(&mut [0; DRAIN_BUFFER_BYTES]) {
                    Ok(0) => return Poll::Ready(io::Result::Ok(())),
                    Ok(bytes) if bytes >= left_bytes => return Poll::Ready(Ok(())),
                    Ok(bytes) => left_bytes -= bytes,
                    Err(error) if error.kind() != io::ErrorKind::WouldBlock => {
                        return Poll::Ready(Err(error));
                    }
                    Err(_) => {}
                }
            }
        });
        // All answers have been written, so that no end of the connection is an error.
        let _ = tokio::time::timeout(limit, drained).await;
    }

    /// Lets the connection be reset when it is closed, so that its peer takes no answer for complete
    /// that ends with the connection.
    pub(crate) fn reset(&self) {
        if let Err(error) = self.0.lock().set_zero_linger() {
            log::warn!("event=connection_not_reset error={:?}", error.to_string());
        }
    }

    /// Returns the number of bytes that the peer has sent and nobody has read.
    pub(crate) fn unread_bytes(&self) -> u64 {
        // An error means that the connection is gone, and nothing can be read from it.
        rustix::io::ioctl_fionread(&*self.0.lock()).unwrap_or_default()
    }

    fn is_closed(&self) -> bool {
        // The state is known without waiting if there is anything to read, which the end of the
        // stream is, too.
        let state = self.0.lock().ready(Interest::READABLE).now_or_never();
        state.is_some_and(|state| state.is_ok_and(|state| state.is_read_closed()))
    }
}
