//! One HTTP exchange on a connection of its own, for control.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

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
    /// The answer is too large or was cut short.
    #[error("body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
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
    let stream = TcpStream::connect(address).await?;
    socket::guard_outgoing(&stream)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let _closes = AbortOnDrop(connection.abort_handle());
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = Limited::new(body, max_bytes).collect().await.map_err(CallError::Body)?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// Ends a connection's task together with the exchange.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
