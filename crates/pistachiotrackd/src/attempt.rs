//! One dispatch of a request to an endpoint.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http_body_util::BodyExt;
use hyper::body::Body;
use pistachiotrack_core::{
    name::Name,
    request::{ConnectionChoice, EndpointReport, Outcome, remaining},
    shard::{Dispatch, SelectionDetails},
};

use crate::{
    connection_pool::{CheckoutError, ConnectionPool},
    context::Context,
    dialect::{AnswerKind, AnswerMetadata, OutgoingMetadata},
    exchange::{self, AbandonSignal, ExchangeError, RequestHead, StartedAnswer, Target},
    inbound::Inbound,
    relay_client,
};

/// Time for which the rest of a refusal's body is waited for.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(5);

/// How an attempt ended, or how its answer began.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    /// Endpoint that was asked.
    pub(crate) endpoint: Name,
    /// Its address, unless it was asked through another VM.
    pub(crate) address: Option<SocketAddr>,
    /// Why the endpoint was chosen.
    pub(crate) selection: SelectionDetails,
    /// Time from the dispatch to the outcome.
    pub(crate) took: Duration,
    /// What the shard is told.
    pub(crate) outcome: Outcome,
    /// What the endpoint reports.
    pub(crate) report: EndpointReport,
    /// The answer, if the outcome is that it began.
    pub(crate) answer: Option<Box<StartedAnswer>>,
    /// Pool that the answer's connection belongs to.
    pub(crate) pool: Arc<ConnectionPool>,
}

/// Sends the request of `inbound` as `dispatch` says.
pub(crate) async fn run(
    context: Arc<Context>,
    inbound: Arc<Inbound>,
    dispatch: Dispatch,
    budget: u32,
    abandon: AbandonSignal,
) -> AttemptEnd {
    let started_at = context.clock.now();
    let choice = connection_choice(&inbound, dispatch.connection);
    let metadata = OutgoingMetadata {
        request_id: Some(&inbound.fleet_id),
        endpoint: &dispatch.endpoint,
        time_left: remaining(inbound.deadline, context.clock.now()),
    };
    let head = request_head(&context, &inbound, metadata);
    let (pool, result) = match &dispatch.via {
        None => {
            let target = Target {
                address: dispatch.address,
                choice,
                budget,
                not_after: dispatch.not_after,
                time_limit: dispatch.time_limit,
                abandon,
            };
            let pool = &context.endpoints;
            let result = exchange::run(pool, context.clock, target, head, &inbound.body).await;
            (pool, result.map_err(|error| (outcome_of_error(&error), error.to_string())))
        }
        Some(relay) => {
            let result =
                relay_client::send(&context, relay, &dispatch, choice, head, &inbound.body).await;
            let result = result.map_err(|error| (error.outcome(), error.to_string()));
            (&context.peers, result)
        }
    };
    let read = |answer: &StartedAnswer| context.dialect.read_answer(&answer.parts, metadata);
    let result = result.map(|answer| (read(&answer), answer));
    let mut end = AttemptEnd {
        endpoint: dispatch.endpoint.clone(),
        address: dispatch.via.is_none().then_some(dispatch.address),
        selection: dispatch.selection,
        took: context.clock.now().since(started_at),
        outcome: Outcome::NotSent,
        report: EndpointReport::default(),
        answer: None,
        pool: Arc::clone(pool),
    };
    match result {
        Ok((metadata, answer)) => end.set_answer(metadata, answer).await,
        Err((outcome, error)) => {
            log::debug!(
                "event=attempt_failed request={} endpoint={} via={} error={error:?}",
                inbound.fleet_id,
                end.endpoint,
                dispatch.via.as_deref().unwrap_or_default()
            );
            end.outcome = outcome;
        }
    }
    end
}

/// Failure guarded against: a booking is written to a connection that something
/// between the two ends has forgotten, and nobody can tell whether it ran. It
/// shows as a request without an answer. The guard holds because a request that
/// must not be repeated never uses a connection that has been silent for long.
fn connection_choice(inbound: &Inbound, choice: ConnectionChoice) -> ConnectionChoice {
    match choice {
        ConnectionChoice::Any if !inbound.route.idempotent => ConnectionChoice::RecentlyUsed,
        choice => choice,
    }
}

fn request_head(
    context: &Context,
    inbound: &Inbound,
    metadata: OutgoingMetadata<'_>,
) -> RequestHead {
    let mut fields = inbound.headers.clone();
    context.dialect.write_request(&mut fields, metadata);
    RequestHead { method: inbound.method.clone(), uri: inbound.uri.clone(), headers: fields }
}

impl AttemptEnd {
    /// Takes an answer.
    ///
    /// Failure guarded against: an endpoint's late answer to an earlier request, or
    /// bytes that follow a whole answer, arrive where the next answer is due, and a
    /// caller gets another one's roster. It shows as an answer that bears another
    /// request's identity. The guard holds because such an answer is dropped with its
    /// connection, and its request counts as possibly run.
    async fn set_answer(&mut self, metadata: AnswerMetadata, answer: StartedAnswer) {
        self.outcome = outcome_of_answer(metadata.kind, &answer);
        self.report = metadata.report;
        match metadata.kind {
            AnswerKind::Answer => self.answer = Some(Box::new(answer)),
            AnswerKind::NotRun => return_connection(&self.pool, answer).await,
            AnswerKind::WrongEndpoint | AnswerKind::Unrelated => {}
        }
    }
}

/// Keeps the connection of a refusal if its short body is there already.
pub(crate) async fn return_connection(pool: &ConnectionPool, mut answer: StartedAnswer) {
    while !answer.body.is_end_stream() {
        let frame = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, answer.body.frame()).await;
        if !matches!(frame, Ok(Some(Ok(_)))) {
            return;
        }
    }
    pool.check_in(answer.connection);
}

/// Returns what a shard is told of an answer that has begun.
pub(crate) fn outcome_of_answer(kind: AnswerKind, answer: &StartedAnswer) -> Outcome {
    let fresh_connection = answer.fresh;
    match kind {
        AnswerKind::Answer => {
            Outcome::Answered { status: answer.parts.status.as_u16(), fresh_connection }
        }
        AnswerKind::NotRun => Outcome::Shed,
        AnswerKind::WrongEndpoint => Outcome::Misdirected,
        AnswerKind::Unrelated => Outcome::Broken { fresh_connection },
    }
}

/// Returns what a shard is told of a failed exchange.
pub(crate) fn outcome_of_error(error: &ExchangeError) -> Outcome {
    match error {
        ExchangeError::NoConnection(CheckoutError::Connect(_)) | ExchangeError::ClosedUnsent => {
            Outcome::ConnectFailed
        }
        ExchangeError::NoConnection(CheckoutError::OverBudget { .. })
        | ExchangeError::TooLate
        | ExchangeError::BodyConsumed
        | ExchangeError::CallerBody { sent: false } => Outcome::NotSent,
        ExchangeError::CallerBody { sent: true } => Outcome::Cancelled,
        ExchangeError::Broken { fresh } => Outcome::Broken { fresh_connection: *fresh },
        ExchangeError::TimedOut { fresh } => Outcome::TimedOut { fresh_connection: *fresh },
    }
}
