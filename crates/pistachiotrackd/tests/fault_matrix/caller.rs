//! A caller that sends one request and returns its outcome.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Request, body::Frame, client::conn::http1};
use hyper_util::rt::TokioIo;
use pistachiotrack_core::header;
use serde_json::Value;
use tokio::{net::TcpStream, sync::watch};

use super::ID_HEADER;
use crate::testenv::CUSTOMER;

/// Deadline of every request.
pub(crate) const DEADLINE_MS: u64 = 1_500;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Idempotent.
    Lookup,
    /// Not idempotent.
    Booking,
    /// Not idempotent, with an idempotency key; sent again as the rules for callers require.
    KeyedBooking,
}

/// Outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    /// The connection failed; nothing was sent.
    NotConnected,
    /// An endpoint answered.
    Answered { status: u16, body: Bytes },
    /// The fleet refused the request.
    Refused { outcome: String, reason: String },
    /// The connection or the body ended early.
    Broken,
    /// No outcome before the caller's timeout.
    TimedOut,
}

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// ID of the request, the same each time it is sent.
    pub(crate) id: String,
    /// ID of this sending of the request.
    pub(crate) send_id: String,
    /// Kind of the request.
    pub(crate) kind: RequestKind,
    /// Whether it is marked as a repetition.
    pub(crate) repeat: bool,
    /// Address of the VM.
    pub(crate) address: SocketAddr,
    /// Time after which the caller gives up.
    pub(crate) timeout: Duration,
    /// If set, the body is large and its second half is held back while the value is true.
    pub(crate) hold_second_half: Option<watch::Receiver<bool>>,
}

/// A request that was sent, and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    /// The request.
    pub(crate) call: Call,
    /// Outcome for the caller.
    pub(crate) outcome: CallerOutcome,
}

impl SentRequest {
    /// Returns whether an endpoint answered with status 200.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self.outcome, CallerOutcome::Answered { status: 200, .. })
    }
}

/// Sends a request.
pub(crate) async fn send(call: Call) -> SentRequest {
    let outcome = tokio::time::timeout(call.timeout, exchange(&call))
        .await
        .unwrap_or(CallerOutcome::TimedOut);
    SentRequest { call, outcome }
}

async fn exchange(call: &Call) -> CallerOutcome {
    let Ok(stream) = TcpStream::connect(call.address).await else {
        return CallerOutcome::NotConnected;
    };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return CallerOutcome::NotConnected;
    };
    let driver = tokio::spawn(connection);
    let outcome = match sender.send_request(request(call)).await {
        Ok(response) => {
            let (parts, body) = response.into_parts();
            let text = |name| parts.headers.get(name).map(|v| v.to_str().unwrap().to_owned());
            match (text(header::OUTCOME), body.collect().await) {
                (_, Err(_)) => CallerOutcome::Broken,
                (Some(outcome), _) => {
                    let reason = text(header::REASON).unwrap_or_default();
                    CallerOutcome::Refused { outcome, reason }
                }
                (None, Ok(body)) => {
                    CallerOutcome::Answered { status: parts.status.as_u16(), body: body.to_bytes() }
                }
            }
        }
        Err(_) => CallerOutcome::Broken,
    };
    driver.abort();
    outcome
}

fn request(call: &Call) -> Request<UnsyncBoxBody<Bytes, Infallible>> {
    let path = if call.kind == RequestKind::Lookup { "/slots" } else { "/bookings" };
    let mut request = Request::post(path)
        .header("host", "fleet")
        .header(header::CUSTOMER, CUSTOMER)
        .header(header::DEADLINE_MS, DEADLINE_MS)
        .header(ID_HEADER, &call.send_id);
    if call.kind == RequestKind::KeyedBooking {
        request = request.header(header::IDEMPOTENCY_KEY, &call.id);
    }
    if call.repeat {
        request = request.header(header::REPEAT, "true");
    }
    request.body(body(call)).unwrap()
}

fn body(call: &Call) -> UnsyncBoxBody<Bytes, Infallible> {
    let Some(mut held) = call.hold_second_half.clone() else {
        return Full::from(super::payload(&call.id)).boxed_unsync();
    };
    let part = Bytes::from(vec![b'.'; 128 * 1024]);
    let rest = part.clone();
    let second = stream::once(async move {
        let _ = held.wait_for(|held| !held).await;
        Ok(Frame::data(rest))
    });
    let parts = stream::iter([Ok(Frame::data(part))]).chain(second);
    BodyExt::boxed_unsync(StreamBody::new(parts.boxed()))
}

/// Counts of callers' outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutcomeCounts {
    /// Answered by an endpoint with status 200.
    pub(crate) succeeded: usize,
    /// Answered by an endpoint with another status.
    pub(crate) failed: usize,
    /// Refused as not run.
    pub(crate) not_run: usize,
    /// Refused with an unknown outcome.
    pub(crate) unknown: usize,
    /// Ended early, or no connection.
    pub(crate) broken: usize,
    /// No outcome before the caller's timeout.
    pub(crate) timed_out: usize,
}

impl OutcomeCounts {
    /// Counts an outcome.
    pub(crate) fn add(&mut self, outcome: &CallerOutcome) {
        let count = match outcome {
            CallerOutcome::Answered { status: 200, .. } => &mut self.succeeded,
            CallerOutcome::Answered { .. } => &mut self.failed,
            CallerOutcome::Refused { outcome, .. } if outcome == "not-run" => &mut self.not_run,
            CallerOutcome::Refused { .. } => &mut self.unknown,
            CallerOutcome::NotConnected | CallerOutcome::Broken => &mut self.broken,
            CallerOutcome::TimedOut => &mut self.timed_out,
        };
        *count += 1;
    }
}

/// Reads JSON from a VM's admin port.
pub(crate) async fn read(address: SocketAddr, path: &str) -> Option<Value> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let request = Request::get(path).header("host", "vm").body(Empty::<Bytes>::new()).ok()?;
    let response = sender.send_request(request).await.ok();
    let body = response?.into_body().collect().await.ok();
    driver.abort();
    serde_json::from_slice(&body?.to_bytes()).ok()
}
