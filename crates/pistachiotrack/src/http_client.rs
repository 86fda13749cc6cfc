//! One `GET` over a connection of its own, with a time limit.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::{HeaderMap, Request, StatusCode, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

/// Largest answer that is read; a daemon's pages are far smaller.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why an address gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HttpError {
    /// No connection could be opened.
    #[error("{address}: can't connect: {cause}")]
    Connect { address: SocketAddr, cause: std::io::Error },
    /// The exchange did not end in time.
    #[error("{address}: no answer within {timeout_ms} ms")]
    TimedOut { address: SocketAddr, timeout_ms: u128 },
    /// The exchange broke off.
    #[error("{address}: answer broken off: {cause}")]
    Broken { address: SocketAddr, cause: String },
    /// The answer's status is not the wanted one.
    #[error("{address}: {path} answered {status}")]
    Status { address: SocketAddr, path: String, status: StatusCode },
    /// The answer's body is not what this version of the tool expects.
    #[error("{address}: {path}: unexpected answer: {cause}")]
    Body { address: SocketAddr, path: String, cause: serde_json::Error },
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Gets a path from an address.
///
/// # Errors
///
/// Returns an error that names the address when no whole answer came in time.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    headers: HeaderMap,
    timeout: Duration,
) -> Result<Answer, HttpError> {
    time::timeout(timeout, exchange(address, path, headers))
        .await
        .unwrap_or_else(|_| Err(HttpError::TimedOut { address, timeout_ms: timeout.as_millis() }))
}

async fn exchange(
    address: SocketAddr,
    path: &str,
    headers: HeaderMap,
) -> Result<Answer, HttpError> {
    let broken = |cause: String| HttpError::Broken { address, cause };
    let stream =
        TcpStream::connect(address).await.map_err(|cause| HttpError::Connect { address, cause })?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| broken(error.to_string()))?;
    // An error of the connection also ends the exchange below, which reports it.
    tokio::spawn(connection);

    let mut request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| broken(error.to_string()))?;
    request.headers_mut().extend(headers);
    let response = sender.send_request(request).await.map_err(|error| broken(error.to_string()))?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| broken(error.to_string()))?
        .to_bytes();
    Ok(Answer { status: head.status, headers: head.headers, body })
}
