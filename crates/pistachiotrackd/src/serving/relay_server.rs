//! Relays a request from another VM to an endpoint that the other VM can't reach.
//!
//! The owner has made all decisions; this VM only provides its network path. It never forwards
//! the request to another VM and never sends it twice.

use std::{sync::Arc, time::Duration};

use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, http::request::Parts};
use pistachiotrack_core::{header, name::Name, request::Outcome, time::Time};

use crate::{
    connections::{
        carried_requests::SentRequest,
        exchange::{
            self, AbandonSignal, ExchangeError, RequestHead, StartedAnswer, Target,
            outcome_of_error,
        },
    },
    formats::{
        dialect::{AnswerKind, OutgoingMetadata},
        headers,
        inbound::{MAX_DEADLINE, origin_form},
    },
    peers::endpoint_notices::NoticeSource,
    request::{
        answer,
        body::{self, AnswerBody, BodyTimeouts},
        connection_budget,
        in_flight::{RequestSource, Stage},
        relay_client::{RelayRequest, RelayResult},
        stop_monitor::RequestTime,
    },
    serving::{context::Context, receive},
};

/// Handles a request that another VM sends for an endpoint.
pub(crate) async fn handle(
    context: &Arc<Context>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let received = context.clock.now();
    if context.reach().is_cut_off() {
        return failure_response(RelayResult::Refused);
    }
    let Some((relay_request, service, budget)) = read_relay_request(context, request.headers())
    else {
        return failure_response(RelayResult::Refused);
    };
    let gate = context.notices.gate(&service, &relay_request.endpoint);
    let time_limit = received + Duration::from_micros(relay_request.time_limit_us);
    if !context.stop.has_time_for(&RequestTime::of_other_vm(time_limit)) {
        return failure_response(RelayResult::Refused);
    }
    let target = Target {
        address: relay_request.address,
        choice: relay_request.choice(),
        request: None,
        budget,
        not_after: received + Duration::from_micros(relay_request.not_after_us),
        time_limit,
        abandon: AbandonSignal::default(),
        gate: Some(gate.clone()),
    };
    let (parts, body) = request.into_parts();
    let id = request_id(context, &parts.headers);
    let number = context.next_request();
    let fleet_id = id.clone().unwrap_or_else(|| context.fleet_id(number));
    let in_flight = context.in_flight.add(number, &fleet_id, RequestSource::Vm);
    in_flight.set_stage(Stage::AtEndpoint(relay_request.endpoint.clone()));
    let deadline = received + request_time_left(context, &parts);
    let request = id.as_ref().map(|id| SentRequest::new(id, deadline));
    match run(context, parts, body, Target { request, ..target }, time_limit).await {
        Ok(answer) => {
            let metadata = OutgoingMetadata {
                request_id: id.as_ref(),
                endpoint: &relay_request.endpoint,
                time_left: time_limit.since(context.clock.now()),
                customer: None,
            };
            let metadata = exchange::read_answer(&*context.dialect, &answer, metadata);
            gate.record(metadata.notice(), NoticeSource::Relay);
            match metadata.kind {
                AnswerKind::Unrelated => {
                    failure_response(RelayResult::Broken { fresh: answer.fresh })
                }
                _ => pass_on(context, answer, time_limit).map(|body| body.of_request(in_flight)),
            }
        }
        Err(result) => failure_response(result),
    }
}

/// Returns the ID by which the endpoint's answer refers to the request.
fn request_id(context: &Context, fields: &HeaderMap) -> Option<Name> {
    let id = context.dialect.request_id(fields);
    id.or_else(|| headers::text(fields, header::REQUEST_ID)).map(Name::from)
}

/// Returns the time until the request's deadline, the longest possible if it doesn't state one.
fn request_time_left(context: &Context, parts: &Parts) -> Duration {
    let metadata = context.dialect.read_request(parts).ok();
    metadata.and_then(|metadata| metadata.time_left).unwrap_or(MAX_DEADLINE)
}

/// Parses the relay request and returns it with the endpoint's service and the number of
/// connections that this VM may have open to the endpoint.
///
/// Returns `None` if the configuration has no such endpoint, so that an invalid message can't make
/// this VM send requests to other addresses.
fn read_relay_request(context: &Context, fields: &HeaderMap) -> Option<(RelayRequest, Name, u32)> {
    let relay_request: RelayRequest =
        serde_json::from_str(headers::text(fields, header::VIA)?).ok()?;
    let view = context.view();
    let services = &view.active.as_ref()?.config.services;
    let (service, endpoint) = services.iter().find_map(|service| {
        let mut endpoints = service.endpoints.iter();
        Some((service, endpoints.find(|endpoint| relay_request.matches(endpoint))?))
    })?;
    let budget = connection_budget::endpoint_budget(&view, endpoint);
    Some((relay_request, service.name.clone(), budget))
}

async fn run(
    context: &Context,
    mut parts: Parts,
    body: Incoming,
    target: Target,
    time_limit: Time,
) -> Result<StartedAnswer, RelayResult> {
    let id = headers::text(&parts.headers, header::REQUEST_ID).map(String::from);
    headers::strip_from_caller(&mut parts.headers);
    if let Some(id) = &id {
        headers::set(&mut parts.headers, header::REQUEST_ID, id);
    }
    let time = RequestTime::of_other_vm(time_limit);
    let body = receive::read_body(context, body, time, &parts.headers)
        .await
        .map_err(|_| RelayResult::NotSent)?;
    let uri = origin_form(&parts);
    let head = RequestHead { method: parts.method, uri, headers: parts.headers };
    let address = target.address;
    let result = exchange::run(&context.endpoints, context.clock, target, head, &body).await;
    result.map_err(|error| {
        log::warn!(
            "event=relayed_request_failed request={} address={address} error={:?}",
            id.as_deref().unwrap_or_default(),
            error.to_string()
        );
        result_of_error(error)
    })
}

fn result_of_error(error: ExchangeError) -> RelayResult {
    if let ExchangeError::Closed(notice) = error {
        return RelayResult::Closed(notice);
    }
    match outcome_of_error(&error) {
        Outcome::ConnectFailed => RelayResult::ConnectFailed,
        Outcome::Broken { fresh_connection } => RelayResult::Broken { fresh: fresh_connection },
        Outcome::TimedOut { fresh_connection } => RelayResult::TimedOut { fresh: fresh_connection },
        outcome if outcome.certainly_not_run() => RelayResult::NotSent,
        _ => RelayResult::BodyBroken,
    }
}

fn pass_on(context: &Context, answer: StartedAnswer, time_limit: Time) -> Response<AnswerBody> {
    let StartedAnswer { mut parts, framing, body, connection, fresh, .. } = answer;
    let timeouts = BodyTimeouts::from(&context.settings.limits);
    let limits = timeouts.limits(context.clock.instant(time_limit));
    let pool = Arc::clone(&context.endpoints);
    let ends_by_closing = context.dialect.ends_answers_by_closing();
    let body =
        AnswerBody::streaming(framing, body, connection, pool, limits, ends_by_closing, None);
    headers::strip_from_endpoint(&mut parts.headers);
    RelayResult::Answered { fresh }.write_to(&mut parts.headers);
    body::response(parts, framing, body)
}

fn failure_response(result: RelayResult) -> Response<AnswerBody> {
    let mut response = answer::plain(StatusCode::SERVICE_UNAVAILABLE);
    result.write_to(response.headers_mut());
    response
}
