//! One request and the head of its answer on a connection.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Request, Uri, Version, body::Incoming, client::conn::TrySendError,
    http::response::Parts,
};
use pistachiotrack_core::{
    endpoint_notice::EndpointNotice,
    request::{ConnectionChoice, Outcome, is_final_status},
    time::Time,
};
use tokio::sync::Notify;

use crate::{
    connections::{
        carried_requests::SentRequest,
        connection::Connection,
        connection_pool::{CheckedOut, CheckoutError, ConnectionPool},
    },
    formats::{
        dialect::{AnswerKind, AnswerMetadata, Dialect, OutgoingMetadata},
        framing::{self, AnswerFraming, UnsupportedCoding},
        headers,
        request_body::{RequestBody, SendBody},
    },
    peers::endpoint_notices::EndpointGate,
    runtime::clock::Clock,
};

/// Limits of the body of a refusal that is read so that its connection can be reused.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(5);
const REFUSAL_BODY_BYTES: usize = 16 * 1024;

/// Destination and time limits of a request.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Address of the peer.
    pub(crate) address: SocketAddr,
    /// Which connections may be used.
    pub(crate) choice: ConnectionChoice,
    /// The request; `None` for a health check.
    pub(crate) request: Option<SentRequest>,
    /// Maximum number of open connections to the address.
    pub(crate) budget: u32,
    /// Time after which the first byte may no longer be written.
    pub(crate) not_after: Time,
    /// Time at which the exchange is abandoned.
    pub(crate) time_limit: Time,
    /// Abandons the exchange earlier.
    pub(crate) abandon: AbandonSignal,
    /// Checked just before the request is sent, if it goes to an endpoint.
    pub(crate) gate: Option<EndpointGate>,
}

/// Abandons an exchange without an answer as if its time limit had passed.
#[derive(Clone, Debug, Default)]
pub(crate) struct AbandonSignal(Arc<Notify>);

impl AbandonSignal {
    /// Abandons the exchange, now or as soon as it has a connection.
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

/// An answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct StartedAnswer {
    /// Status and headers, without those that apply to the connection.
    pub(crate) parts: Parts,
    /// How the end of the body is found.
    pub(crate) framing: AnswerFraming,
    /// The body, still arriving.
    pub(crate) body: Incoming,
    /// Connection of the exchange.
    pub(crate) connection: Connection,
    /// Whether the connection was opened for this exchange.
    pub(crate) fresh: bool,
    /// Time at which the request was passed to the connection.
    pub(crate) sent: Time,
    /// Time at which the head of the answer arrived.
    pub(crate) started_at: Time,
}

/// Why no answer was received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No connection was available; nothing was sent.
    #[error(transparent)]
    NoConnection(#[from] CheckoutError),
    /// The connection closed before the first byte was written.
    #[error("connection closed before the first byte was written")]
    ClosedUnsent,
    /// The endpoint accepts no requests from this VM now; nothing was sent.
    #[error("endpoint accepts no requests: {0}")]
    Closed(EndpointNotice),
    /// The time limit for the first byte had passed; nothing was sent.
    #[error("time limit for sending has passed")]
    TooLate,
    /// The request's body has already been sent and can't be sent again; nothing was sent.
    #[error("request body can't be sent again")]
    BodyConsumed,
    /// Reading the caller's body failed.
    #[error("reading the caller's body failed")]
    CallerBody {
        /// Whether bytes may have been sent.
        sent: bool,
    },
    /// The connection failed after bytes may have been sent.
    #[error("connection failed after bytes may have been sent")]
    Broken {
        /// Whether the connection was opened for this exchange.
        fresh: bool,
    },
    /// The peer sent bytes that can't be read as an answer.
    #[error("bytes that are no answer: {0}")]
    Unreadable(hyper::Error),
    /// The answer has a status that no final answer has.
    #[error("{status} is not the status of a final answer")]
    NoFinalStatus {
        /// HTTP status.
        status: u16,
    },
    /// The answer's body can't be decoded.
    #[error(transparent)]
    Undecodable(#[from] UnsupportedCoding),
    /// No answer started before the time limit; bytes may have been sent.
    #[error("no answer within the time limit")]
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
            | ExchangeError::Closed(_)
            | ExchangeError::TooLate
            | ExchangeError::BodyConsumed => true,
            ExchangeError::CallerBody { sent } => !sent,
            ExchangeError::Broken { .. }
            | ExchangeError::Unreadable(_)
            | ExchangeError::NoFinalStatus { .. }
            | ExchangeError::Undecodable(_)
            | ExchangeError::TimedOut { .. } => false,
        }
    }
}

impl ExchangeError {
    /// Returns whether the peer sent what is no answer.
    pub(crate) fn is_malformed_answer(&self) -> bool {
        matches!(
            self,
            ExchangeError::Unreadable(_)
                | ExchangeError::NoFinalStatus { .. }
                | ExchangeError::Undecodable(_)
        )
    }

    /// Returns whether the idle connections to the address should be closed.
    ///
    /// A middlebox (firewall, NAT) on the path can drop the state of all connections at once. Each
    /// pooled connection would then fail in turn and cost a request. The first failure on a
    /// pooled connection therefore closes the other idle ones.
    fn invalidates_idle_connections(&self) -> bool {
        matches!(
            self,
            ExchangeError::Broken { fresh: false } | ExchangeError::TimedOut { fresh: false }
        )
    }
}

/// Sends a request and returns the answer when its head has arrived.
///
/// What has another status than a final one, or a body that can't be decoded, is no answer: its
/// connection is closed, and the request counts as possibly run.
///
/// If a pooled connection turns out to be closed before any byte was written, a new one is used.
/// Nothing else is retried.
///
/// # Errors
///
/// Returns an error that indicates whether bytes may have been sent.
pub(crate) async fn run(
    pool: &ConnectionPool,
    clock: Clock,
    target: Target,
    head: RequestHead,
    body: &RequestBody,
) -> Result<StartedAnswer, ExchangeError> {
    let mut choice = target.choice;
    loop {
        let Target { address, request, budget, time_limit, .. } = target;
        let checked_out = pool.check_out(address, choice, request, budget, time_limit).await?;
        let fresh = checked_out.fresh;
        if let Some(gate) = &target.gate {
            gate.check().map_err(ExchangeError::Closed)?;
        }
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
    let method = head.method.clone();
    let request = request(head, send_body);
    connection.guard.begin(target.not_after);
    let sent = clock.now();
    connection.exchanges += 1;
    if let Some(request) = target.request {
        connection.carried.record(sent, request);
    }
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
        Some(Ok(response)) if !is_final_status(response.status().as_u16()) => {
            Err(ExchangeError::NoFinalStatus { status: response.status().as_u16() })
        }
        Some(Ok(response)) => {
            connection.guard.on_progress();
            let (mut parts, incoming) = response.into_parts();
            let framing = take_framing(&method, &mut parts, &mut connection)?;
            Ok(StartedAnswer {
                parts,
                framing,
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

/// Removes the headers that apply to the connection from the head of an answer, and returns how the
/// end of its body is found.
///
/// This happens before the head is read: an answer that names its endpoint's signature as a header
/// of the connection has none.
fn take_framing(
    method: &Method,
    parts: &mut Parts,
    connection: &mut Connection,
) -> Result<AnswerFraming, UnsupportedCoding> {
    let framing = AnswerFraming::take_from(method, parts)?;
    headers::strip_hop_by_hop(&mut parts.headers);
    if framing.is_ambiguous() {
        connection.is_last_exchange = true;
        log::warn!(
            "event=answer_framed_twice address={} local_port={} exchange={} used=chunks",
            connection.address,
            connection.local_port,
            connection.exchanges
        );
    }
    Ok(framing)
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
    if sent && error.error().is_parse() {
        return ExchangeError::Unreadable(error.into_error());
    }
    if sent {
        return ExchangeError::Broken { fresh };
    }
    if connection.guard.was_too_late() {
        return ExchangeError::TooLate;
    }
    ExchangeError::ClosedUnsent
}

fn request(head: RequestHead, body: SendBody) -> Request<SendBody> {
    let RequestHead { method, uri, headers: mut fields } = head;
    framing::write_request(&mut fields, &body);
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = fields;
    request
}

/// Returns the connection of a refusal to the pool if its short body has already arrived.
pub(crate) async fn return_connection(pool: &ConnectionPool, answer: StartedAnswer) {
    let StartedAnswer { body, connection, .. } = answer;
    let body = Limited::new(body, REFUSAL_BODY_BYTES).collect();
    if matches!(tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body).await, Ok(Ok(_))) {
        pool.check_in(connection);
    }
}

/// Reads the head of an endpoint's answer.
///
/// An endpoint can send an answer late, where the answer to a later request on its connection is
/// expected. A refusal shows that a request was not run only if it is certainly the answer to it:
/// if it states the request's ID, or is the first answer of a connection.
pub(crate) fn read_answer(
    dialect: &dyn Dialect,
    answer: &StartedAnswer,
    metadata: OutgoingMetadata<'_>,
) -> AnswerMetadata {
    let mut read = dialect.read_answer(&answer.parts, metadata);
    if dialect.answers_name_requests() && !read.names_request && !answer.fresh {
        read.kind = AnswerKind::Unrelated;
    }
    read
}

/// Returns the outcome of an attempt whose answer has started.
pub(crate) fn outcome_of_answer(metadata: &AnswerMetadata, answer: &StartedAnswer) -> Outcome {
    let fresh_connection = answer.fresh;
    match metadata.kind {
        AnswerKind::Answer => {
            Outcome::Answered { status: answer.parts.status.as_u16(), fresh_connection }
        }
        AnswerKind::NotRun => Outcome::Shed,
        AnswerKind::WrongEndpoint => {
            Outcome::Misdirected { states_not_run: metadata.states_not_run }
        }
        AnswerKind::Unrelated => Outcome::Broken { fresh_connection },
    }
}

/// Returns the outcome of a failed exchange.
pub(crate) fn outcome_of_error(error: &ExchangeError) -> Outcome {
    match error {
        ExchangeError::NoConnection(CheckoutError::Connect(_)) | ExchangeError::ClosedUnsent => {
            Outcome::ConnectFailed
        }
        ExchangeError::NoConnection(CheckoutError::OverBudget { .. })
        | ExchangeError::Closed(_)
        | ExchangeError::TooLate
        | ExchangeError::BodyConsumed
        | ExchangeError::CallerBody { sent: false } => Outcome::NotSent,
        ExchangeError::CallerBody { sent: true } => Outcome::Cancelled,
        // Unlike the end of an open connection they can't come from a device on the path.
        ExchangeError::Unreadable(_)
        | ExchangeError::NoFinalStatus { .. }
        | ExchangeError::Undecodable(_) => Outcome::Broken { fresh_connection: true },
        ExchangeError::Broken { fresh } => Outcome::Broken { fresh_connection: *fresh },
        ExchangeError::TimedOut { fresh } => Outcome::TimedOut { fresh_connection: *fresh },
    }
}
