//! A TCP stream that knows whether any byte of an exchange was written, and
//! refuses to write the first one too late.

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

use crate::{clock::Clock, timer::PauseGate};

/// No byte of the exchange was written.
const UNTOUCHED: u8 = 0;
/// A byte of the exchange is being written or was written.
const TOUCHED: u8 = 1;
/// No byte of the exchange was written and none will be.
const SEALED: u8 = 2;

/// What is known about the present exchange of a connection.
///
/// Failure guarded against: a request is called not run although a part of it
/// left this VM, or is sent after its moment has passed. It shows as a booking
/// that runs twice. The guard holds because the check is made in the write
/// itself, after every queue and buffer in between, and because whoever calls a
/// request unsent seals the guard first.
#[derive(Debug)]
pub(crate) struct ExchangeGuard {
    clock: Clock,
    gate: PauseGate,
    not_after_us: AtomicU64,
    state: AtomicU8,
    held_back: AtomicBool,
}

impl ExchangeGuard {
    /// Creates the guard of a connection that has written nothing.
    pub(crate) fn new(clock: Clock, gate: PauseGate) -> Arc<ExchangeGuard> {
        Arc::new(ExchangeGuard {
            clock,
            gate,
            not_after_us: AtomicU64::new(0),
            state: AtomicU8::new(UNTOUCHED),
            held_back: AtomicBool::new(false),
        })
    }

    /// Begins an exchange whose first byte may be written until `not_after`.
    pub(crate) fn begin(&self, not_after: Time) {
        self.not_after_us.store(not_after.as_micros(), Ordering::Release);
        self.state.store(UNTOUCHED, Ordering::Release);
    }

    /// Ends the exchange and returns whether it is certain that no byte of it
    /// left this VM or ever will.
    pub(crate) fn seal(&self) -> bool {
        let sealed =
            self.state.compare_exchange(UNTOUCHED, SEALED, Ordering::AcqRel, Ordering::Acquire);
        sealed != Err(TOUCHED)
    }

    /// Returns whether the first byte was held back because it came too late.
    pub(crate) fn was_held_back(&self) -> bool {
        self.held_back.load(Ordering::Acquire)
    }

    /// Returns whether the write that follows is the first of the exchange.
    fn before_write(&self) -> io::Result<bool> {
        if self.state.load(Ordering::Acquire) == TOUCHED {
            return Ok(false);
        }
        let now = self.clock.now();
        let too_late = now.as_micros() > self.not_after_us.load(Ordering::Acquire);
        if too_late || self.gate.is_closed(now) {
            self.held_back.store(true, Ordering::Release);
            return Err(io::Error::other("too late to send"));
        }
        self.state
            .compare_exchange(UNTOUCHED, TOUCHED, Ordering::AcqRel, Ordering::Acquire)
            .map_err(|_| io::Error::other("exchange was given up"))?;
        Ok(true)
    }

    fn after_write(&self, first: bool, result: &Poll<io::Result<usize>>) {
        let written = matches!(result, Poll::Ready(Ok(bytes)) if *bytes > 0);
        if first && !written {
            self.state.store(UNTOUCHED, Ordering::Release);
        }
    }
}

/// A TCP stream under an [`ExchangeGuard`].
#[derive(Debug)]
pub(crate) struct GuardedStream {
    inner: TcpStream,
    guard: Arc<ExchangeGuard>,
}

impl GuardedStream {
    /// Puts a stream under a guard.
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
        Pin::new(&mut self.inner).poll_read(cx, buf)
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
