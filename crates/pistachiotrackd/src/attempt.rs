//! One dispatch of a request to an endpoint.

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt;
use hyper::{HeaderMap, StatusCode, body::Body};
use pistachiotrack_core::{
    header,
    name::Name,
    request::{ConnectionChoice, Outcome, Report, remaining},
    shard::Dispatch,
};

use crate::{
    connection_pool::{CheckoutError, ConnectionPool},
    context::Context,
    exchange::{self, BegunAnswer, ExchangeError, RequestHead, Target},
    headers,
    inbound::Inbound,
    via,
};

/// Time for which the rest of a refusal's body is waited for.
const SHED_BODY_WAIT: Duration = Duration::from_millis(5);

/// How an attempt ended, or how its answer began.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    /// Endpoint that was asked.
    pub(crate) endpoint: Name,
    /// What the shard is told.
    pub(crate) outcome: Outcome,
    /// What the endpoint reports.
    pub(crate) report: Report,
    /// The answer, if the outcome is that it began.
    pub(crate) answer: Option<Box<BegunAnswer>>,
    /// Pool that the answer's connection belongs to.
    pub(crate) pool: Arc<ConnectionPool>,
}

/// Sends the request of `inbound` as `dispatch` says.
pub(crate) async fn run(
    context: Arc<Context>,
    inbound: Arc<Inbound>,
    dispatch: Dispatch,
    budget: u32,
) -> AttemptEnd {
    let choice = connection_choice(&inbound, dispatch.connection);
    let head = request_head(&context, &inbound);
    let (pool, result) = match &dispatch.via {
        None => {
            let target = Target {
                address: dispatch.address,
                choice,
                budget,
                not_after: dispatch.not_after,
                time_limit: dispatch.time_limit,
            };
            let pool = &context.endpoints;
            let result = exchange::run(pool, context.clock, target, head, &inbound.body).await;
            (pool, result.map_err(|error| (outcome_of_error(&error), error.to_string())))
        }
        Some(witness) => {
            let result = via::send(&context, witness, &dispatch, choice, head, &inbound.body).await;
            let result = result.map_err(|error| (error.outcome(), error.to_string()));
            (&context.peers, result)
        }
    };
    let (endpoint, pool) = (dispatch.endpoint, Arc::clone(pool));
    match result {
        Ok(answer) if is_shed(&answer) => shed(pool, endpoint, answer).await,
        Ok(answer) => {
            let status = answer.parts.status.as_u16();
            let outcome = Outcome::Answered { status, fresh_connection: answer.fresh };
            let report = report(&answer.parts.headers);
            AttemptEnd { endpoint, outcome, report, answer: Some(Box::new(answer)), pool }
        }
        Err((outcome, error)) => {
            log::debug!(
                "event=attempt_failed request={} endpoint={} via={} error={error:?}",
                inbound.fleet_id,
                endpoint,
                dispatch.via.as_deref().unwrap_or_default()
            );
            AttemptEnd { endpoint, outcome, report: Report::default(), answer: None, pool }
        }
    }
}

/// Failure guarded against: a booking is written to a connection that something
/// between the two ends has forgotten, and nobody can tell whether it ran. It
/// shows as a request without an answer. The guard holds because a request that
/// must not be repeated never uses a connection that has been silent for long.
fn connection_choice(inbound: &Inbound, choice: ConnectionChoice) -> ConnectionChoice {
    match choice {
        ConnectionChoice::Any if !inbound.route.idempotent => ConnectionChoice::Lively,
        choice => choice,
    }
}

fn request_head(context: &Context, inbound: &Inbound) -> RequestHead {
    let mut fields = inbound.headers.clone();
    let left_ms = remaining(inbound.deadline, context.clock.now()).as_millis() as u64;
    headers::set_number(&mut fields, header::DEADLINE_MS, left_ms);
    headers::set(&mut fields, header::REQUEST_ID, &inbound.fleet_id);
    RequestHead { method: inbound.method.clone(), uri: inbound.uri.clone(), headers: fields }
}

fn is_shed(answer: &BegunAnswer) -> bool {
    answer.parts.status == StatusCode::SERVICE_UNAVAILABLE
        && headers::text(&answer.parts.headers, header::NOT_RUN) == Some("true")
}

/// Ends an exchange that the endpoint refused; its connection is kept if the
/// short body is there already.
async fn shed(pool: Arc<ConnectionPool>, endpoint: Name, mut answer: BegunAnswer) -> AttemptEnd {
    let report = report(&answer.parts.headers);
    while !answer.body.is_end_stream() {
        let frame = tokio::time::timeout(SHED_BODY_WAIT, answer.body.frame()).await;
        if !matches!(frame, Ok(Some(Ok(_)))) {
            break;
        }
    }
    if answer.body.is_end_stream() {
        pool.check_in(answer.connection);
    }
    AttemptEnd { endpoint, outcome: Outcome::Shed, report, answer: None, pool }
}

/// Returns what a shard is told of a failed exchange.
pub(crate) fn outcome_of_error(error: &ExchangeError) -> Outcome {
    match error {
        ExchangeError::NoConnection(CheckoutError::Connect(_)) | ExchangeError::ClosedUnsent => {
            Outcome::ConnectFailed
        }
        ExchangeError::NoConnection(CheckoutError::OverBudget { .. })
        | ExchangeError::TooLate
        | ExchangeError::BodyGone
        | ExchangeError::CallerBody { sent: false } => Outcome::NotSent,
        ExchangeError::CallerBody { sent: true } => Outcome::Cancelled,
        ExchangeError::Broken { fresh } => Outcome::Broken { fresh_connection: *fresh },
        ExchangeError::TimedOut { fresh } => Outcome::TimedOut { fresh_connection: *fresh },
    }
}

/// Returns what an endpoint reports about itself.
pub(crate) fn report(fields: &HeaderMap) -> Report {
    Report {
        in_flight: headers::text(fields, header::LOAD).and_then(|load| load.trim().parse().ok()),
        draining: headers::text(fields, header::DRAINING) == Some("true"),
    }
}
