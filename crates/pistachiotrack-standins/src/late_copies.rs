//! Copies of refusals that an endpoint sends late, where the answer to the next request on the
//! connection is expected.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use pistachiotrack_core::header;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Largest share of an endpoint's answers that it sends a second time, in percent.
const MAX_SHARE_PERCENT: u64 = 3;

/// Which answers an endpoint repeats.
#[derive(Debug, Default)]
pub(crate) struct LateCopies {
    is_active: AtomicBool,
    answers: AtomicU64,
    repeated: AtomicU64,
}

impl LateCopies {
    /// Repeats refusals from now on, or no longer.
    pub(crate) fn set_active(&self, is_active: bool) {
        self.is_active.store(is_active, Ordering::Relaxed);
        if is_active {
            self.answers.store(0, Ordering::Relaxed);
            self.repeated.store(0, Ordering::Relaxed);
        }
    }

    /// Counts an answer and returns whether it is repeated.
    fn take(&self, answer: &[u8]) -> bool {
        let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let next = self.repeated.load(Ordering::Relaxed) + 1;
        let repeats = self.is_active.load(Ordering::Relaxed)
            && next * 100 <= answers * MAX_SHARE_PERCENT
            && is_refusal(answer);
        if repeats {
            self.repeated.store(next, Ordering::Relaxed);
        }
        repeats
    }
}

fn is_refusal(answer: &[u8]) -> bool {
    let name = header::NOT_RUN.as_bytes();
    answer.windows(name.len()).any(|part| part.eq_ignore_ascii_case(name))
}

/// An endpoint's side of a connection.
#[derive(Debug)]
pub(crate) struct RepeatingStream {
    inner: TcpStream,
    copies: Arc<LateCopies>,
    /// What was written since the last request arrived.
    last_answer: Vec<u8>,
    /// The rest of a copy that is sent before the next answer.
    copy: Vec<u8>,
}

impl RepeatingStream {
    pub(crate) fn new(inner: TcpStream, copies: Arc<LateCopies>) -> RepeatingStream {
        RepeatingStream { inner, copies, last_answer: Vec::new(), copy: Vec::new() }
    }
}

impl AsyncRead for RepeatingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > filled && !self.last_answer.is_empty() {
            let answer = std::mem::take(&mut self.last_answer);
            if self.copies.take(&answer) {
                self.copy = answer;
            }
        }
        result
    }
}

impl AsyncWrite for RepeatingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let RepeatingStream { inner, last_answer, copy, .. } = &mut *self;
        while !copy.is_empty() {
            let written = std::task::ready!(Pin::new(&mut *inner).poll_write(cx, copy))?;
            copy.drain(..written);
        }
        let written = std::task::ready!(Pin::new(inner).poll_write(cx, bytes))?;
        last_answer.extend_from_slice(&bytes[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
