//! HTTP `GET` on a new connection, with a timeout.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::{HeaderMap, Request, StatusCode, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

/// Maximum size of a response body; a daemon's pages are far smaller.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Failure to get a usable response from an address.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HttpError {
    /// No connection could be opened.
    #[error("{address}: can't connect: {cause}")]
    Connect { address: SocketAddr, cause: std::io::Error },
    /// The whole exchange took longer than the timeout.
    #[error("{address}: no answer within {timeout_ms} ms")]
    TimedOut { address: SocketAddr, timeout_ms: u128 },
    /// The request couldn't be made, or the connection ended before the response did.
    #[error("{address}: answer broken off: {cause}")]
    Broken { address: SocketAddr, cause: String },
    /// The response has an unexpected status.
    #[error("{address}: {path} answered {status}")]
    Status { address: SocketAddr, path: String, status: StatusCode },
    /// The response's body is not in the format that this version of the tool expects.
    #[error("{address}: {path}: unexpected answer: {cause}")]
    Body { address: SocketAddr, path: String, cause: serde_json::Error },
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Requests a path from an address.
///
/// # Errors
///
/// Returns an error that names the address if no complete response arrives before the
/// timeout.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    headers: HeaderMap,
    timeout: Duration,
) -> Result<HttpResponse, HttpError> {
    time::timeout(timeout, exchange(address, path, headers))
        .await
        .unwrap_or_else(|_| Err(HttpError::TimedOut { address, timeout_ms: timeout.as_millis() }))
}

async fn exchange(
    address: SocketAddr,
    path: &str,
    headers: HeaderMap,
) -> Result<HttpResponse, HttpError> {
    let broken_error = |cause: String| HttpError::Broken { address, cause };
    let stream =
        TcpStream::connect(address).await.map_err(|cause| HttpError::Connect { address, cause })?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| broken_error(error.to_string()))?;
    // A connection error also ends the exchange below, which reports it.
    tokio::spawn(connection);

    let mut request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| broken_error(error.to_string()))?;
    request.headers_mut().extend(headers);
    let response =
        sender.send_request(request).await.map_err(|error| broken_error(error.to_string()))?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|error| broken_error(error.to_string()))?
        .to_bytes();
    Ok(HttpResponse { status: head.status, headers: head.headers, body })
}
