//! A TCP stream that tracks whether any byte of an exchange was written, fails the first write if it
//! comes too late, and ends when bytes arrive that are neither an answer nor data of one.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use pistachiotrack_core::time::Time;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::runtime::{clock::Clock, timer::PauseGate};

/// No byte of the exchange was written.
const NOT_WRITTEN: u8 = 0;
/// A byte of the exchange is being written or was written.
const WRITTEN: u8 = 1;
/// No byte of the exchange was written and none will be.
const CLOSED: u8 = 2;

/// State of the current exchange of a connection.
///
/// A request must not be reported as not run after a part of it was sent, and must not be sent
/// after its time limit; otherwise a booking could run twice. The check is therefore made in the
/// write call itself, after all queues and buffers, and code that reports a request as unsent
/// closes the guard first.
#[derive(Debug)]
pub(crate) struct ExchangeGuard {
    clock: Clock,
    gate: PauseGate,
    not_after_us: AtomicU64,
    state: AtomicU8,
    too_late: AtomicBool,
    /// Bytes that may still arrive before the answer starts or goes on.
    left_beside_data_bytes: AtomicU64,
    max_beside_data_bytes: u64,
}

impl ExchangeGuard {
    /// Creates the guard of a connection on which nothing was written.
    ///
    /// At most `max_beside_data_bytes` are read before an answer starts, and from there to its data,
    /// and between two parts of that. Otherwise an endpoint that sends interim answers or the digits of
    /// a chunk's size without end would keep this VM busy until the time limit.
    pub(crate) fn new(
        clock: Clock,
        gate: PauseGate,
        max_beside_data_bytes: u64,
    ) -> Arc<ExchangeGuard> {
        Arc::new(ExchangeGuard {
            clock,
            gate,
            not_after_us: AtomicU64::new(0),
            state: AtomicU8::new(NOT_WRITTEN),
            too_late: AtomicBool::new(false),
            left_beside_data_bytes: AtomicU64::new(max_beside_data_bytes),
            max_beside_data_bytes,
        })
    }

    /// Starts an exchange whose first byte may be written until `not_after`.
    pub(crate) fn begin(&self, not_after: Time) {
        self.not_after_us.store(not_after.as_micros(), Ordering::Release);
        self.on_progress();
        self.state.store(NOT_WRITTEN, Ordering::Release);
    }

    /// Records that the answer of the exchange has started, or that a part of its body has arrived.
    pub(crate) fn on_progress(&self) {
        self.left_beside_data_bytes.store(self.max_beside_data_bytes, Ordering::Release);
    }

    /// Closes the exchange and returns whether it is certain that no byte of it was or will be
    /// sent.
    pub(crate) fn close(&self) -> bool {
        let previous =
            self.state.compare_exchange(NOT_WRITTEN, CLOSED, Ordering::AcqRel, Ordering::Acquire);
        previous != Err(WRITTEN)
    }

    /// Returns whether the first write failed because it came too late.
    pub(crate) fn was_too_late(&self) -> bool {
        self.too_late.load(Ordering::Acquire)
    }

    /// Returns whether the next write is the first of the exchange.
    fn before_write(&self) -> io::Result<bool> {
        if self.state.load(Ordering::Acquire) == WRITTEN {
            return Ok(false);
        }
        let now = self.clock.now();
        let too_late = now.as_micros() > self.not_after_us.load(Ordering::Acquire);
        if too_late || self.gate.is_closed(now) {
            self.too_late.store(true, Ordering::Release);
            return Err(io::Error::other("time limit for sending has passed"));
        }
        self.state
            .compare_exchange(NOT_WRITTEN, WRITTEN, Ordering::AcqRel, Ordering::Acquire)
            .map_err(|_| io::Error::other("exchange was abandoned"))?;
        Ok(true)
    }

    fn after_read(&self, bytes: u64) -> io::Result<()> {
        let subtract = |left: u64| left.checked_sub(bytes);
        self.left_beside_data_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, subtract)
            .map(drop)
            .map_err(|_| io::Error::other("too many bytes beside the data of an answer"))
    }

    fn after_write(&self, first: bool, result: &Poll<io::Result<usize>>) {
        let written = matches!(result, Poll::Ready(Ok(bytes)) if *bytes > 0);
        if first && !written {
            self.state.store(NOT_WRITTEN, Ordering::Release);
        }
    }
}

/// A TCP stream with an [`ExchangeGuard`].
#[derive(Debug)]
pub(crate) struct GuardedStream {
    inner: TcpStream,
    guard: Arc<ExchangeGuard>,
}

impl GuardedStream {
    /// Creates a stream that checks its writes with `guard`.
    pub(crate) fn new(inner: TcpStream, guard: Arc<ExchangeGuard>) -> GuardedStream {
        GuardedStream { inner, guard }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &result {
            self.guard.after_read((buf.filled().len() - filled) as u64)?;
        }
        result
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let first = self.guard.before_write()?;
        let result = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.guard.after_write(first, &result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = self.guard.before_write()?;
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, slices);
        self.guard.after_write(first, &result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
