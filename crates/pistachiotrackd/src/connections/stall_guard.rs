//! A TCP stream that fails if a write makes no progress for too long.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

use crate::connections::{
    arrival::ArrivalTracker,
    peer_monitor::{PeerMonitor, SharedStream},
};

/// A TCP stream that fails if a write makes no progress for too long, and that tracks its reads.
///
/// A caller that stops reading its answer would block a slot of the endpoint forever with a
/// pending write. All pending writes therefore share a timer that only progress resets.
#[derive(Debug)]
pub(crate) struct StallGuard {
    inner: SharedStream,
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
        StallGuard { inner: SharedStream::new(inner), limit, stalled: None, arrivals }
    }

    /// Returns a monitor of the stream's peer.
    pub(crate) fn peer_monitor(&self) -> PeerMonitor {
        PeerMonitor::new(self.inner.clone())
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
        let result = Pin::new(&mut *self.inner.lock()).poll_read(cx, buf);
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
        let result = Pin::new(&mut *self.inner.lock()).poll_write(cx, bytes);
        self.check(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.inner.lock()).poll_write_vectored(cx, slices);
        self.check(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.lock().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.inner.lock()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.inner.lock()).poll_shutdown(cx)
    }
}
