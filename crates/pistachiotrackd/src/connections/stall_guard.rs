//! A TCP stream that fails if a write makes no progress for too long, and whose peer can be monitored.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use futures_util::FutureExt;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

use crate::connections::arrival::ArrivalTracker;

/// Interval at which a connection is checked for its peer's close while bytes wait on it.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Notices that the peer of a connection has closed it, also while unread bytes wait on it.
///
/// A server reads no further request before it has answered the one before, so that it doesn't reach
/// the end of the stream behind those bytes.
#[derive(Clone, Debug)]
pub(crate) struct PeerMonitor(Arc<Mutex<TcpStream>>);

impl PeerMonitor {
    /// Waits until the peer has closed the connection.
    pub(crate) async fn closed(&self) {
        loop {
            tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
            if self.is_closed() {
                return;
            }
        }
    }

    fn is_closed(&self) -> bool {
        let state = lock(&self.0).ready(Interest::READABLE).now_or_never();
        state.is_some_and(|state| state.is_ok_and(|state| state.is_read_closed()))
    }
}

/// A TCP stream that fails if a write makes no progress for too long, and that tracks its reads.
///
/// A caller that stops reading its answer would block a slot of the endpoint forever with a
/// pending write. All pending writes therefore share a timer that only progress resets.
#[derive(Debug)]
pub(crate) struct StallGuard {
    inner: Arc<Mutex<TcpStream>>,
    limit: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
    arrivals: Arc<ArrivalTracker>,
}

impl StallGuard {
    /// Creates a stream that fails after `limit` without progress.
    pub(crate) fn new(
        inner: TcpStream,
        limit: Duration,
        arrivals: Arc<ArrivalTracker>,
    ) -> StallGuard {
        StallGuard { inner: Arc::new(Mutex::new(inner)), limit, stalled: None, arrivals }
    }

    /// Returns a monitor of the stream's peer.
    pub(crate) fn peer_monitor(&self) -> PeerMonitor {
        PeerMonitor(Arc::clone(&self.inner))
    }

    fn check<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stalled = None;
            return result;
        }
        let limit = self.limit;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for StallGuard {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut *lock(&self.inner)).poll_read(cx, buf);
        match &result {
            Poll::Pending => self.arrivals.on_drained(),
            Poll::Ready(_) => self.arrivals.on_bytes(),
        }
        result
    }
}

impl AsyncWrite for StallGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *lock(&self.inner)).poll_write(cx, bytes);
        self.check(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *lock(&self.inner)).poll_write_vectored(cx, slices);
        self.check(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        lock(&self.inner).is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.inner)).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.inner)).poll_shutdown(cx)
    }
}

fn lock(stream: &Mutex<TcpStream>) -> MutexGuard<'_, TcpStream> {
    stream.lock().unwrap_or_else(PoisonError::into_inner)
}
