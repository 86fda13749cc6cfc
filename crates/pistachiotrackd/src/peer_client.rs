//! Puts questions to other VMs.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header::HOST};
use pistachiotrack_core::config_sync::MAX_PULL_RESPONSE_BYTES;

use crate::http_call::{self, CallError};

/// Why another VM gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// The exchange failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The question could not be built.
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
    /// It answered with an unexpected status.
    #[error("status {0}")]
    Status(StatusCode),
    /// It did not answer in time.
    #[error("no answer within {}ms", .0.as_millis())]
    TimedOut(Duration),
}

/// Sends an encoded question to the peer address of a VM.
///
/// # Errors
///
/// Returns an error if no whole answer comes within `timeout`.
pub(crate) async fn send_request(
    peer: SocketAddr,
    path: &str,
    question: Vec<u8>,
    timeout: Duration,
) -> Result<Bytes, PeerError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, peer.to_string())
        .body(Full::new(Bytes::from(question)))?;
    let call = http_call::call(peer, request, MAX_PULL_RESPONSE_BYTES);
    let answer = tokio::time::timeout(timeout, call).await;
    let answer = answer.map_err(|_| PeerError::TimedOut(timeout))??;
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        status => Err(PeerError::Status(status)),
    }
}
