//! Client for requests to other VMs.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header::HOST};
use pistachiotrack_core::config_sync::MAX_PULL_RESPONSE_BYTES;

use crate::runtime::http_call::{self, CallError};

/// Maximum number of open connections to another VM for callers' requests.
pub(crate) const PEER_BUDGET: u32 = 256;

/// Why a request to another VM failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// The exchange failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The request can't be built.
    #[error("request can't be built: {0}")]
    Request(#[from] hyper::http::Error),
    /// The response has an unexpected status.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// No response arrived in time.
    #[error("no response within {}ms", .0.as_millis())]
    TimedOut(Duration),
}

/// Sends an encoded request to the peer address of a VM and returns the body of its response.
///
/// # Errors
///
/// Returns an error if no complete response arrives within `timeout`.
pub(crate) async fn send_request(
    peer: SocketAddr,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<Bytes, PeerError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, peer.to_string())
        .body(Full::new(Bytes::from(body)))?;
    let call = http_call::call(peer, request, MAX_PULL_RESPONSE_BYTES);
    let response = tokio::time::timeout(timeout, call).await;
    let response = response.map_err(|_| PeerError::TimedOut(timeout))??;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        status => Err(PeerError::Status(status)),
    }
}
