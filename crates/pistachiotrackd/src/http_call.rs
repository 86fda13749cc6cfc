//! One HTTP exchange on a connection of its own, for control.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use crate::socket;

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The other end can't be reached.
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The exchange broke.
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    /// The answer was cut short.
    #[error("body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The answer is longer than allowed.
    #[error("body is longer than {0} bytes")]
    TooLong(usize),
    /// No answer began in time.
    #[error("no answer within {}ms", .0.as_millis())]
    NoAnswer(Duration),
    /// An answer began and then stood still.
    #[error("nothing more of the body within {}ms", .0.as_millis())]
    Stalled(Duration),
    /// The body took too long as a whole.
    #[error("body not complete within {}ms", .0.as_millis())]
    Unfinished(Duration),
}

/// How long the parts of an answer may take.
///
/// Failure guarded against: one limit for the whole answer is right for small ones, and
/// a large one that comes steadily over a slow link never gets to its end. It shows as a
/// source that times out again and again while it is well. The guard holds because only
/// silence counts soon.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time allowed until the head of the answer is there.
    pub head: Duration,
    /// Time allowed from one piece of the body to the next.
    pub piece: Duration,
    /// Time allowed for the whole body.
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
    let (answer, _closes) = open(address, request).await?;
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|error| body_error(error, max_bytes))?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// Sends `request` to `address` and returns the answer with its whole body, which may
/// take long as long as it comes steadily.
///
/// # Errors
///
/// Returns an error if the exchange fails, the body exceeds `max_bytes`, or a part of
/// the answer takes longer than `pace` allows.
pub async fn call_paced(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
    pace: Pace,
) -> Result<Response<Bytes>, CallError> {
    let answer = timeout(pace.head, open(address, request)).await;
    let (answer, _closes) = answer.map_err(|_| CallError::NoAnswer(pace.head))??;
    let (head, body) = answer.into_parts();
    let body = timeout(pace.body, collect(body, max_bytes, pace.piece)).await;
    let body = body.map_err(|_| CallError::Unfinished(pace.body))??;
    Ok(Response::from_parts(head, body))
}

async fn open(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, AbortOnDrop), CallError> {
    let stream = TcpStream::connect(address).await?;
    socket::configure_outgoing(&stream)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let closes = AbortOnDrop(connection.abort_handle());
    Ok((sender.send_request(request).await?, closes))
}

async fn collect(body: Incoming, max_bytes: usize, piece: Duration) -> Result<Bytes, CallError> {
    let mut body = Limited::new(body, max_bytes);
    let mut collected = BytesMut::new();
    loop {
        let frame = timeout(piece, body.frame()).await;
        let Some(frame) = frame.map_err(|_| CallError::Stalled(piece))? else { break };
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

/// Ends a connection's task together with the exchange.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
