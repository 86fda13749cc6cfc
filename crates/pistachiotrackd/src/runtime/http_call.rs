//! An HTTP exchange on its own connection, for control traffic.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use pistachiotrack_core::request::is_final_status;
use tokio::{
    io::{AsyncRead, ReadBuf},
    net::{TcpStream, tcp::OwnedReadHalf},
    time::timeout,
};

use crate::{
    formats::framing::{AnswerFraming, UnsupportedCoding},
    runtime::socket,
};

/// Maximum number of bytes before an answer has started, and beside its body. Interim answers or
/// the digits of a chunk's size could otherwise be read without end.
const MAX_BYTES_BESIDE_BODY: u64 = 512 << 10;

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The peer can't be reached.
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The exchange failed.
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    /// The answer has a status that no final answer has.
    #[error("{0} is not the status of a final answer")]
    NoFinalStatus(u16),
    /// The answer's body can't be decoded.
    #[error(transparent)]
    Undecodable(#[from] UnsupportedCoding),
    /// The body of the answer is incomplete.
    #[error("body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The answer is longer than allowed.
    #[error("body is longer than {0} bytes")]
    TooLong(usize),
    /// No answer started in time.
    #[error("no answer within {}ms", .0.as_millis())]
    NoAnswer(Duration),
    /// No data arrived for too long after the answer had started.
    #[error("no further data of the body within {}ms", .0.as_millis())]
    Stalled(Duration),
    /// The complete body took too long.
    #[error("body not complete within {}ms", .0.as_millis())]
    Unfinished(Duration),
}

/// Time limits for the parts of an answer.
///
/// A single limit for the whole answer fits small answers, but a large one that arrives steadily
/// over a slow link would never complete, and its source would time out repeatedly although it is
/// healthy. The short limits therefore apply only to time without data.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// Time limit for the head of the answer.
    pub head: Duration,
    /// Time limit from one chunk of the body to the next.
    pub chunk: Duration,
    /// Time limit for the whole body.
    pub body: Duration,
}

/// Sends `request` to `address` and returns the answer with its whole body.
///
/// # Errors
///
/// Returns an error if the exchange fails or the body exceeds `max_bytes`.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> Result<Response<Bytes>, CallError> {
    let (answer, _connection) = open(address, request, max_bytes).await?;
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|error| body_error(error, max_bytes))?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// Sends `request` to `address` and returns the answer with its whole body. The body may take
/// long as long as data arrives steadily.
///
/// # Errors
///
/// Returns an error if the exchange fails, the body exceeds `max_bytes`, or a part of the answer
/// exceeds `timeouts`.
pub async fn call_with_timeouts(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
    timeouts: ResponseTimeouts,
) -> Result<Response<Bytes>, CallError> {
    let answer = timeout(timeouts.head, open(address, request, max_bytes)).await;
    let (answer, _connection) = answer.map_err(|_| CallError::NoAnswer(timeouts.head))??;
    let (head, body) = answer.into_parts();
    let body = timeout(timeouts.body, collect(body, max_bytes, timeouts.chunk)).await;
    let body = body.map_err(|_| CallError::Unfinished(timeouts.body))??;
    Ok(Response::from_parts(head, body))
}

async fn open(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> Result<(Response<Incoming>, AbortOnDrop), CallError> {
    let stream = TcpStream::connect(address).await?;
    socket::configure_outgoing(&stream)?;
    let left_bytes = Arc::new(AtomicU64::new(MAX_BYTES_BESIDE_BODY));
    let (reader, writer) = stream.into_split();
    let reader = LimitedReader { inner: reader, left_bytes: Arc::clone(&left_bytes) };
    let stream = tokio::io::join(reader, writer);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let connection = AbortOnDrop(connection.abort_handle());
    let method = request.method().clone();
    let answer = sender.send_request(request).await?;
    left_bytes.store(2 * max_bytes as u64 + MAX_BYTES_BESIDE_BODY, Ordering::Release);
    let status = answer.status().as_u16();
    if !is_final_status(status) {
        return Err(CallError::NoFinalStatus(status));
    }
    // The HTTP client reads a body with another coding than chunks until the connection ends.
    let (mut head, body) = answer.into_parts();
    AnswerFraming::take_from(&method, &mut head)?;
    Ok((Response::from_parts(head, body), connection))
}

async fn collect(body: Incoming, max_bytes: usize, chunk: Duration) -> Result<Bytes, CallError> {
    let mut body = Limited::new(body, max_bytes);
    let mut collected = BytesMut::new();
    loop {
        let frame = timeout(chunk, body.frame()).await;
        let Some(frame) = frame.map_err(|_| CallError::Stalled(chunk))? else { break };
        let frame = frame.map_err(|error| body_error(error, max_bytes))?;
        if let Some(data) = frame.data_ref() {
            collected.extend_from_slice(data);
        }
    }
    Ok(collected.freeze())
}

fn body_error(error: Box<dyn std::error::Error + Send + Sync>, max_bytes: usize) -> CallError {
    match error.is::<LengthLimitError>() {
        true => CallError::TooLong(max_bytes),
        false => CallError::Body(error),
    }
}

/// Aborts the task of a connection on drop.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The reading half of a TCP stream, which fails when too many bytes have been read.
struct LimitedReader {
    inner: OwnedReadHalf,
    left_bytes: Arc<AtomicU64>,
}

impl AsyncRead for LimitedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let bytes = (buf.filled().len() - filled) as u64;
        let subtract = |left: u64| left.checked_sub(bytes);
        match self.left_bytes.fetch_update(Ordering::AcqRel, Ordering::Acquire, subtract) {
            Ok(_) => result,
            Err(_) => Poll::Ready(Err(io::Error::other("too many bytes beside the body"))),
        }
    }
}
