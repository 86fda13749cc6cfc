//! One request and the head of its answer on one connection.

use std::{net::SocketAddr, sync::Arc};

use hyper::{
    HeaderMap, Method, Request, Uri, Version, body::Incoming, client::conn::TrySendError,
    http::response::Parts,
};
use pistachiotrack_core::{request::ConnectionChoice, time::Time};
use tokio::sync::Notify;

use crate::{
    clock::Clock,
    connection::Connection,
    connection_pool::{CheckedOut, CheckoutError, ConnectionPool},
    request_body::{RequestBody, SendBody},
};

/// Where and when a request is sent.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Address of the other end.
    pub(crate) address: SocketAddr,
    /// What the connection must be like.
    pub(crate) choice: ConnectionChoice,
    /// Connections that may be open to the address.
    pub(crate) budget: u32,
    /// Moment after which not even the first byte may be written.
    pub(crate) not_after: Time,
    /// Moment at which the exchange is given up.
    pub(crate) time_limit: Time,
    /// Gives it up sooner.
    pub(crate) abandon: AbandonSignal,
}

/// Ends an exchange without an answer as if its time had passed.
#[derive(Clone, Debug, Default)]
pub(crate) struct AbandonSignal(Arc<Notify>);

impl AbandonSignal {
    /// Ends the exchange, now or as soon as it has a connection.
    pub(crate) fn trigger(&self) {
        self.0.notify_one();
    }
}

/// Head of a request as it is sent.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// Headers.
    pub(crate) headers: HeaderMap,
}

/// An answer that has begun.
#[derive(Debug)]
pub(crate) struct StartedAnswer {
    /// Status and headers.
    pub(crate) parts: Parts,
    /// The body, still arriving.
    pub(crate) body: Incoming,
    /// Connection that it arrives on.
    pub(crate) connection: Connection,
    /// Whether the connection was opened for this exchange.
    pub(crate) fresh: bool,
    /// Moment at which the request was handed to the connection.
    pub(crate) sent: Time,
    /// Moment at which the answer began.
    pub(crate) started_at: Time,
}

/// Why no answer began.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No connection could be had; nothing was sent.
    #[error(transparent)]
    NoConnection(#[from] CheckoutError),
    /// The connection closed before the first byte was written.
    #[error("connection closed before the first byte")]
    ClosedUnsent,
    /// The moment for the first byte had passed; nothing was sent.
    #[error("too late to send")]
    TooLate,
    /// The request's body has been sent before; nothing was sent.
    #[error("body can't be sent again")]
    BodyConsumed,
    /// The caller's body broke off.
    #[error("caller's body broke off")]
    CallerBody {
        /// Whether bytes may have been sent.
        sent: bool,
    },
    /// The connection broke after bytes may have been sent.
    #[error("connection broke")]
    Broken {
        /// Whether the connection was opened for this exchange.
        fresh: bool,
    },
    /// No answer began before the time limit; bytes may have been sent.
    #[error("no answer in time")]
    TimedOut {
        /// Whether the connection was opened for this exchange.
        fresh: bool,
    },
}

impl ExchangeError {
    /// Returns whether it is certain that no byte left this VM.
    pub(crate) fn is_unsent(&self) -> bool {
        match self {
            ExchangeError::NoConnection(_)
            | ExchangeError::ClosedUnsent
            | ExchangeError::TooLate
            | ExchangeError::BodyConsumed => true,
            ExchangeError::CallerBody { sent } => !sent,
            ExchangeError::Broken { .. } | ExchangeError::TimedOut { .. } => false,
        }
    }
}

impl ExchangeError {
    /// Failure guarded against: something between the two ends has lost track
    /// of all connections that were open at some moment. It shows as silence on
    /// one pooled connection after the other, each of which costs a request.
    /// The guard holds because the first one that fails closes the others.
    fn invalidates_idle_connections(&self) -> bool {
        matches!(
            self,
            ExchangeError::Broken { fresh: false } | ExchangeError::TimedOut { fresh: false }
        )
    }
}

/// Sends a request and returns the answer when it has begun.
///
/// A pooled connection that turns out to be closed before any byte was written
/// is replaced by a new one; nothing else is tried twice.
///
/// # Errors
///
/// Returns an error that says whether bytes may have been sent.
pub(crate) async fn run(
    pool: &ConnectionPool,
    clock: Clock,
    target: Target,
    head: RequestHead,
    body: &RequestBody,
) -> Result<StartedAnswer, ExchangeError> {
    let mut choice = target.choice;
    loop {
        let checked_out =
            pool.check_out(target.address, choice, target.budget, target.time_limit).await?;
        let fresh = checked_out.fresh;
        let result = send(clock, &target, checked_out, head.clone(), body).await;
        match result {
            Err(ExchangeError::ClosedUnsent) if !fresh && body.is_available() => {
                choice = ConnectionChoice::Fresh;
            }
            Err(error) if error.invalidates_idle_connections() => {
                pool.close_idle(target.address);
                return Err(error);
            }
            result => return result,
        }
    }
}

async fn send(
    clock: Clock,
    target: &Target,
    checked_out: CheckedOut,
    head: RequestHead,
    body: &RequestBody,
) -> Result<StartedAnswer, ExchangeError> {
    let CheckedOut { mut connection, fresh } = checked_out;
    let Some(send_body) = body.take() else { return Err(ExchangeError::BodyConsumed) };
    let request = request(head, send_body);
    connection.guard.begin(target.not_after);
    let sent = clock.now();
    let answer = connection.sender.try_send_request(request);
    let answer = tokio::time::timeout_at(clock.instant(target.time_limit), async {
        tokio::select! {
            biased;
            answer = answer => Some(answer),
            () = target.abandon.0.notified() => None,
        }
    })
    .await
    .unwrap_or_default();
    match answer {
        Some(Ok(response)) => {
            let (parts, incoming) = response.into_parts();
            Ok(StartedAnswer {
                parts,
                body: incoming,
                connection,
                fresh,
                sent,
                started_at: clock.now(),
            })
        }
        Some(Err(error)) => Err(failure(&connection, fresh, error, body)),
        None if connection.guard.close() => Err(ExchangeError::TooLate),
        None => Err(ExchangeError::TimedOut { fresh }),
    }
}

fn failure(
    connection: &Connection,
    fresh: bool,
    mut error: TrySendError<Request<SendBody>>,
    body: &RequestBody,
) -> ExchangeError {
    if let Some(request) = error.take_message() {
        body.restore(request.into_body());
    }
    let sent = !connection.guard.close();
    if error.error().is_user() {
        return ExchangeError::CallerBody { sent };
    }
    if sent {
        return ExchangeError::Broken { fresh };
    }
    if connection.guard.was_blocked() {
        return ExchangeError::TooLate;
    }
    ExchangeError::ClosedUnsent
}

fn request(head: RequestHead, body: SendBody) -> Request<SendBody> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method;
    *request.uri_mut() = head.uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = head.headers;
    request
}
