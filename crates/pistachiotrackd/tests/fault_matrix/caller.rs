//! A caller: sends one request and says what became of it.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Request, body::Frame, client::conn::http1};
use hyper_util::rt::TokioIo;
use pistachiotrack_core::header;
use serde_json::Value;
use tokio::{net::TcpStream, sync::watch};

use super::ID;
use crate::testenv::CUSTOMER;

/// Deadline of every request.
pub(crate) const DEADLINE_MS: u64 = 1_500;

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Idempotent.
    Lookup,
    /// Not idempotent.
    Booking,
    /// Not idempotent, with a key, sent again by the rules for callers.
    KeyedBooking,
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// No connection; nothing was sent.
    NotConnected,
    /// The endpoint's own answer.
    Answered { status: u16, body: Bytes },
    /// A refusal.
    Refused { outcome: String, reason: String },
    /// The connection or the body broke off.
    Broken,
    /// Nothing at all for as long as the caller waits.
    Nothing,
}

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Its identity, the same for all sendings.
    pub(crate) id: String,
    /// Identity of this sending.
    pub(crate) sending: String,
    /// What it is.
    pub(crate) kind: Kind,
    /// Whether it is marked as sent before.
    pub(crate) repeat: bool,
    /// Address of the VM.
    pub(crate) address: SocketAddr,
    /// Time for which the caller waits for anything.
    pub(crate) patience: Duration,
    /// Holds the second half of a large body back while it is true.
    pub(crate) half: Option<watch::Receiver<bool>>,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    /// The request.
    pub(crate) call: Call,
    /// What became of it.
    pub(crate) outcome: Outcome,
}

impl Sent {
    /// Returns whether the endpoint's answer came and says that all is well.
    pub(crate) fn is_well(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { status: 200, .. })
    }
}

/// Sends a request.
pub(crate) async fn send(call: Call) -> Sent {
    let outcome =
        tokio::time::timeout(call.patience, exchange(&call)).await.unwrap_or(Outcome::Nothing);
    Sent { call, outcome }
}

async fn exchange(call: &Call) -> Outcome {
    let Ok(stream) = TcpStream::connect(call.address).await else { return Outcome::NotConnected };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return Outcome::NotConnected;
    };
    let driver = tokio::spawn(connection);
    let outcome = match sender.send_request(request(call)).await {
        Ok(response) => {
            let (parts, body) = response.into_parts();
            let text = |name| parts.headers.get(name).map(|v| v.to_str().unwrap().to_owned());
            match (text(header::OUTCOME), body.collect().await) {
                (_, Err(_)) => Outcome::Broken,
                (Some(outcome), _) => {
                    let reason = text(header::REASON).unwrap_or_default();
                    Outcome::Refused { outcome, reason }
                }
                (None, Ok(body)) => {
                    Outcome::Answered { status: parts.status.as_u16(), body: body.to_bytes() }
                }
            }
        }
        Err(_) => Outcome::Broken,
    };
    driver.abort();
    outcome
}

fn request(call: &Call) -> Request<UnsyncBoxBody<Bytes, Infallible>> {
    let path = if call.kind == Kind::Lookup { "/slots" } else { "/bookings" };
    let mut request = Request::post(path)
        .header("host", "fleet")
        .header(header::CUSTOMER, CUSTOMER)
        .header(header::DEADLINE_MS, DEADLINE_MS)
        .header(ID, &call.sending);
    if call.kind == Kind::KeyedBooking {
        request = request.header(header::IDEMPOTENCY_KEY, &call.id);
    }
    if call.repeat {
        request = request.header(header::REPEAT, "true");
    }
    request.body(body(call)).unwrap()
}

fn body(call: &Call) -> UnsyncBoxBody<Bytes, Infallible> {
    let Some(mut half) = call.half.clone() else {
        return Full::from(super::payload(&call.id)).boxed_unsync();
    };
    let part = Bytes::from(vec![b'.'; 128 * 1024]);
    let rest = part.clone();
    let second = stream::once(async move {
        let _ = half.wait_for(|held| !held).await;
        Ok(Frame::data(rest))
    });
    let parts = stream::iter([Ok(Frame::data(part))]).chain(second);
    BodyExt::boxed_unsync(StreamBody::new(parts.boxed()))
}

/// What callers got, counted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    /// Well answered by an endpoint.
    pub(crate) well: usize,
    /// Failed by an endpoint.
    pub(crate) failed: usize,
    /// Refused as not run.
    pub(crate) not_run: usize,
    /// Refused as unknown.
    pub(crate) unknown: usize,
    /// Broken off, or no connection.
    pub(crate) broken: usize,
    /// Nothing for as long as the caller waited.
    pub(crate) nothing: usize,
}

impl Tally {
    /// Counts an outcome.
    pub(crate) fn add(&mut self, outcome: &Outcome) {
        let count = match outcome {
            Outcome::Answered { status: 200, .. } => &mut self.well,
            Outcome::Answered { .. } => &mut self.failed,
            Outcome::Refused { outcome, .. } if outcome == "not-run" => &mut self.not_run,
            Outcome::Refused { .. } => &mut self.unknown,
            Outcome::NotConnected | Outcome::Broken => &mut self.broken,
            Outcome::Nothing => &mut self.nothing,
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
