//! Sends another VM's request to an endpoint that the other VM can't reach.
//!
//! The owner has decided everything; this VM only lends its path. It never
//! sends the request to another VM, and not twice.

use std::{sync::Arc, time::Duration};

use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use pistachiotrack_core::{header, request::Outcome, time::Time};

use crate::{
    answer,
    attempt::outcome_of_error,
    body::{self, AnswerBody},
    context::Context,
    exchange::{self, AbandonSignal, ExchangeError, RequestHead, StartedAnswer, Target},
    headers,
    inbound::origin_form,
    proxy,
    relay_client::{RelayRequest, RelayResult},
    request_task,
};

/// Answers a VM that sends a request for an endpoint.
pub(crate) async fn handle(
    context: &Arc<Context>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let received = context.clock.now();
    let Some((order, budget)) = accept(context, request.headers()) else {
        return failed(RelayResult::Refused);
    };
    let time_limit = received + Duration::from_micros(order.time_limit_us);
    let target = Target {
        address: order.address,
        choice: order.choice(),
        budget,
        not_after: received + Duration::from_micros(order.not_after_us),
        time_limit,
        give_up: AbandonSignal::default(),
    };
    match run(context, request, target, time_limit).await {
        Ok(answer) => pass_on(context, answer),
        Err(end) => failed(end),
    }
}

/// Reads what is asked for and returns it with the connections that this VM
/// may have open to the endpoint; `None` if the configuration has no such
/// endpoint, so that a stray message can't have this VM send to anything else.
fn accept(context: &Context, fields: &HeaderMap) -> Option<(RelayRequest, u32)> {
    let order: RelayRequest = serde_json::from_str(headers::text(fields, header::VIA)?).ok()?;
    let view = context.view();
    let services = &view.active.as_ref()?.config.services;
    let mut endpoints = services.iter().flat_map(|service| &service.endpoints);
    let endpoint = endpoints.find(|endpoint| order.names(endpoint))?;
    let budget = request_task::endpoint_budget(&view, endpoint);
    Some((order, budget))
}

async fn run(
    context: &Context,
    request: Request<Incoming>,
    target: Target,
    time_limit: Time,
) -> Result<StartedAnswer, RelayResult> {
    let (mut parts, body) = request.into_parts();
    let id = headers::text(&parts.headers, header::REQUEST_ID).map(String::from);
    headers::strip_from_caller(&mut parts.headers);
    if let Some(id) = id {
        headers::set(&mut parts.headers, header::REQUEST_ID, &id);
    }
    let body =
        proxy::read_body(context, body, time_limit).await.map_err(|_| RelayResult::NotSent)?;
    let uri = origin_form(&parts);
    let head = RequestHead { method: parts.method, uri, headers: parts.headers };
    exchange::run(&context.endpoints, context.clock, target, head, &body).await.map_err(end)
}

fn end(error: ExchangeError) -> RelayResult {
    match outcome_of_error(&error) {
        Outcome::ConnectFailed | Outcome::Misdirected => RelayResult::ConnectFailed,
        Outcome::Broken { fresh_connection } => RelayResult::Broken { fresh: fresh_connection },
        Outcome::TimedOut { fresh_connection } => RelayResult::TimedOut { fresh: fresh_connection },
        outcome if outcome.certainly_not_run() => RelayResult::NotSent,
        _ => RelayResult::BodyBroken,
    }
}

fn pass_on(context: &Context, answer: StartedAnswer) -> Response<AnswerBody> {
    let StartedAnswer { mut parts, body, connection, fresh, .. } = answer;
    let idle_limit = Duration::from_millis(context.settings.limits.body_idle_ms);
    let pool = Arc::clone(&context.endpoints);
    let body = AnswerBody::relayed(&parts, body, connection, pool, idle_limit, false, None);
    headers::strip_from_endpoint(&mut parts.headers);
    RelayResult::Answered { fresh }.mark(&mut parts.headers);
    body::response(parts, body)
}

fn failed(end: RelayResult) -> Response<AnswerBody> {
    let mut response = answer::plain(StatusCode::SERVICE_UNAVAILABLE);
    end.mark(response.headers_mut());
    response
}
