//! What happens to a request at the VM that it comes in at.

use std::{
    convert::Infallible,
    sync::{Arc, OnceLock},
    time::Duration,
};

use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::HOST,
    http::{request, uri::Authority},
};
use pistachiotrack_core::{
    copies::{Copies, Undispatched},
    hash, header,
    name::Name,
    ownership::{ShardId, rendezvous_shard, shard_count},
    refusal::{Execution, Reason},
    request::{Class, DEFAULT_MAX_ATTEMPTS, RequestId},
    rule::{RequestAttributes, Route, RuleAction},
    service::Service,
    shard::ShardMode,
    time::Time,
};

use crate::{
    answer::{self, NO_CONFIG_RETRY_MS, Refused},
    arrival::Arrival,
    body::AnswerBody,
    context::Context,
    dialect::{Dialect, OwnDialect, RequestFacts},
    entries,
    forward::{self, ForwardError, Forwarded},
    forwarded_route::ForwardedRoute,
    headers,
    inbound::{Inbound, MAX_DEADLINE, caller_deadline, origin_form},
    metrics::Event,
    peer_word::{PeerWord, RefusalWord},
    refusal_log::{self, Audience},
    rejection::Rejection,
    request_body::{BodyLimits, RequestBody, RequestBodyError},
    request_task::{self, Served},
    view::{ActiveConfig, FleetView},
    witness,
};

/// Start of the paths that the daemon answers by itself.
const OWN_PATHS: &str = "/pistachiotrack/";

/// Answers a caller.
pub(crate) async fn handle_caller(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    if request.uri().path() == header::ENTRIES_PATH {
        return Ok(entries::answer(&context, &request.into_parts().0));
    }
    if request.uri().path().starts_with(OWN_PATHS) {
        return Ok(answer::plain(StatusCode::NOT_FOUND));
    }
    context.metrics.count(Event::Request);
    let received = context.clock.now();
    let number = context.next_request();
    let id = context.dialect.request_id(request.headers()).map(Name::from);
    let id = id.unwrap_or_else(|| context.fleet_id(number));
    let held = Undispatched::on_arrival();
    let served = match receive(&context, request, number, &id).await {
        Ok(inbound) => {
            let (customer, class) = (inbound.route.customer.clone(), inbound.route.class);
            let served = serve(&context, inbound, held).await;
            measure(&context, &customer, class, received, &served);
            served
        }
        Err(rejection) => rejection.refuse(held),
    };
    count_answer(&context, &served);
    Ok(served.answer.unwrap_or_else(|refused| {
        refusal_log::on_refusal(&context, &id, received, &refused.refusal, Audience::Caller);
        let response = context.dialect.write_refusal(Some(&id), &refused.refusal, refused.status);
        response.map(AnswerBody::whole)
    }))
}

/// Answers another VM that sends on a request.
pub(crate) async fn handle_peer(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    context.metrics.count(Event::PeerRequest);
    if request.headers().contains_key(header::VIA) {
        return Ok(witness::handle(&context, request).await);
    }
    let received = context.clock.now();
    let number = context.next_request();
    let id = headers::text(request.headers(), header::REQUEST_ID)
        .map_or_else(|| context.fleet_id(number), Name::from);
    let held = Undispatched::on_arrival();
    let served = match receive_forwarded(&context, request, number, &id).await {
        Ok(inbound) => serve_here(&context, inbound, held.into()).await,
        Err(rejection) => rejection.refuse(held),
    };
    let endpoint_time_us = served.endpoint_time.map(|time| time.as_micros() as u64);
    let (word, mut response) = match served.answer {
        Ok(response) => (PeerWord::Answered { endpoint_time_us }, response),
        Err(Refused { refusal, status }) => {
            refusal_log::on_refusal(&context, &id, received, &refusal, Audience::Peer);
            let word = RefusalWord::new(&context.me.name, &id, &refusal);
            let response = OwnDialect.write_refusal(Some(&id), &refusal, status);
            (PeerWord::Refused(word), response.map(AnswerBody::whole))
        }
    };
    word.mark(response.headers_mut());
    Ok(response)
}

fn measure(context: &Context, customer: &Name, class: Class, received: Time, served: &Served) {
    let total = context.clock.now().since(received);
    context.total_latency.record(customer, class, total);
    context.metrics.time(class, total);
    if let Some(endpoint_time) = served.endpoint_time {
        context.added_latency.record(customer, class, total.saturating_sub(endpoint_time));
    }
}

fn count_answer(context: &Context, served: &Served) {
    let event = match &served.answer {
        Ok(_) => Event::Answer,
        Err(refused) => match refused.refusal.execution() {
            Execution::NotRun => Event::RefusedNotRun,
            Execution::Unknown => Event::RefusedUnknown,
        },
    };
    context.metrics.count(event);
}

/// Takes in a caller's request and decides where it goes.
async fn receive(
    context: &Context,
    request: Request<Incoming>,
    id: RequestId,
    fleet_id: &Name,
) -> Result<Inbound, Rejection> {
    let (mut parts, body) = request.into_parts();
    let received = arrival(context, &parts);
    headers::strip_from_caller(&mut parts.headers);
    let asked = context.dialect.read_request(&parts).map_err(|error| {
        log::info!("event=request_malformed request={fleet_id} error={:?}", error.to_string());
        Reason::BadRequest
    })?;
    let time_left = asked.time_left.map(|left| left.min(MAX_DEADLINE));
    let deadline = time_left.map(|left| received + left);
    let view = view_with_config(context, received, time_left).await;
    let Some(active) = &view.active else { return Err(Rejection::no_config()) };
    let rule = decide(&asked, context, active, &parts);
    let route = match rule {
        Some(RuleAction::Route(route)) => route,
        Some(RuleAction::Refuse(refuse)) => return Err(Rejection::by_rule(refuse)),
        None => return Err(Reason::Rule.into()),
    };
    let draw = hash::mix(hash::fnv(fleet_id.as_bytes()));
    let Some(service) = active.service(route.service_for(draw)) else {
        return Err(Reason::Rule.into());
    };
    let key = headers::text(&parts.headers, header::IDEMPOTENCY_KEY);
    let forwarded_route = ForwardedRoute {
        shard: choose_shard(context, &view, service, key, id),
        // Where callers name no customer, work is accounted for by service.
        customer: asked.customer.clone().unwrap_or_else(|| service.name.clone()),
        class: route.class.unwrap_or(asked.class),
        idempotent: route.idempotent,
        hedge: route.hedge,
        max_attempts: route.attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS),
    };
    let limit = received + Duration::from_millis(timeout_ms(route, service));
    let deadline = deadline.map_or(limit, |deadline| deadline.min(limit));
    check_not_overslept(context, &parts, deadline)?;
    let body = read_body(context, body, deadline).await?;
    let named_customer = asked.customer;
    let inbound = Inbound {
        id,
        fleet_id: fleet_id.clone(),
        config_version: Some(active.config.version),
        route: forwarded_route,
        method: parts.method.clone(),
        uri: origin_form(&parts),
        headers: parts.headers,
        body,
        deadline,
        named_customer,
        fingerprint: OnceLock::new(),
    };
    check_not_held_back(context, inbound)
}

/// Part of a request's time for which it waits for the first configuration, as a
/// divisor; the rest is left to serve it.
const FIRST_CONFIG_DIVISOR: u32 = 4;

/// Returns the view of the fleet, in a VM that has just started as soon as there is a
/// configuration.
///
/// Failure guarded against: all VMs restart, and callers reach them before they have
/// the configuration. It shows as a burst of refusals, which most callers take for
/// final. The guard holds because the configuration comes within a fraction of a
/// second; later than that, requests are refused at once.
async fn view_with_config(
    context: &Context,
    received: Time,
    time_left: Option<Duration>,
) -> Arc<FleetView> {
    let wait = Duration::from_millis(context.settings.limits.first_config_wait_ms);
    let until = context.clock.started() + wait;
    let until = time_left.map_or(until, |left| until.min(received + left / FIRST_CONFIG_DIVISOR));
    let mut view = context.view.clone();
    let known = view.wait_for(|view| view.active.is_some());
    match tokio::time::timeout_at(context.clock.instant(until), known).await {
        Ok(Ok(view)) => Arc::clone(&view),
        Ok(Err(_)) | Err(_) => context.view(),
    }
}

/// Returns the moment from which a request's deadline counts.
fn arrival(context: &Context, parts: &request::Parts) -> Time {
    parts.extensions.get().map_or_else(|| context.clock.now(), |Arrival(time)| *time)
}

/// Refuses a request whose deadline passed while this VM was paused.
fn check_not_overslept(
    context: &Context,
    parts: &request::Parts,
    deadline: Time,
) -> Result<(), Rejection> {
    let overslept = parts.extensions.get::<Arrival>().is_some() && context.clock.now() >= deadline;
    if overslept { Err(Reason::Paused.into()) } else { Ok(()) }
}

/// Refuses a request that is held back because endpoints end under it.
fn check_not_held_back(context: &Context, inbound: Inbound) -> Result<Inbound, Rejection> {
    match context.quarantine.held_for(&inbound) {
        Some(retry_after) => Err(Rejection::crashes_endpoints(retry_after)),
        None => Ok(inbound),
    }
}

fn timeout_ms(route: &Route, service: &Service) -> u64 {
    route.timeout_ms.unwrap_or(service.timeout_ms)
}

fn decide<'c>(
    asked: &RequestFacts,
    context: &Context,
    active: &'c ActiveConfig,
    parts: &request::Parts,
) -> Option<&'c RuleAction> {
    let fields = text_fields(&parts.headers);
    let host = host(parts);
    let subject = RequestAttributes {
        customer: asked.customer.as_deref().unwrap_or_default(),
        host: &host,
        method: parts.method.as_str(),
        path: parts.uri.path(),
        headers: &fields,
        class: asked.class,
        service: asked.service.as_deref(),
        data_centre: &context.me.data_centre,
    };
    active.rules.decide(&subject, &context.shards).map(|rule| &rule.then)
}

/// Returns the host that a request names, in lower case and without a port.
fn host(parts: &request::Parts) -> String {
    let named = headers::text(&parts.headers, HOST.as_str());
    let authority = parts.uri.authority().map(Authority::as_str).or(named).unwrap_or_default();
    let host = match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => authority,
    };
    host.to_ascii_lowercase()
}

fn text_fields(fields: &HeaderMap) -> Vec<(&str, &str)> {
    fields
        .iter()
        .filter_map(|(name, value)| value.to_str().ok().map(|value| (name.as_str(), value)))
        .collect()
}

/// Returns the shard of a service that takes a request: the one of its key; or
/// one that this VM owns, which saves the hop; or any.
fn choose_shard(
    context: &Context,
    view: &FleetView,
    service: &Service,
    key: Option<&str>,
    id: RequestId,
) -> ShardId {
    let count = shard_count(service);
    let shard = |index| ShardId { service: service.name.clone(), index };
    if count == 1 {
        return shard(0);
    }
    if let Some(key) = key {
        return shard(rendezvous_shard(key, count));
    }
    let first = (id.0 % u64::from(count)) as u32;
    let mut turned = (0..count).map(|offset| shard((first + offset) % count));
    let is_mine = |shard: &ShardId| {
        view.ownership.owner(shard).is_some_and(|owner| owner.name == context.me.name)
    };
    turned.find(is_mine).unwrap_or_else(|| shard(first))
}

pub(crate) async fn read_body(
    context: &Context,
    body: Incoming,
    deadline: Time,
) -> Result<RequestBody, Rejection> {
    let limits = &context.settings.limits;
    let limits = BodyLimits {
        body_bytes: limits.body_bytes,
        buffered_bytes: limits.buffered_body_bytes,
        idle: Duration::from_millis(limits.body_idle_ms),
    };
    let read = RequestBody::read(body, limits);
    match tokio::time::timeout_at(context.clock.instant(deadline), read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(RequestBodyError::TooLarge { .. })) => Err(Rejection::too_large()),
        Ok(Err(_)) => Err(Reason::BadRequest.into()),
        Err(_) => Err(Reason::DeadlinePassed.into()),
    }
}

/// Takes in a request that another VM sends on.
async fn receive_forwarded(
    context: &Context,
    request: Request<Incoming>,
    id: RequestId,
    fleet_id: &Name,
) -> Result<Inbound, Rejection> {
    let (mut parts, body) = request.into_parts();
    let received = arrival(context, &parts);
    let bad_request = || Rejection::from(Reason::BadRequest);
    let route = headers::text(&parts.headers, header::ROUTE)
        .and_then(ForwardedRoute::decode)
        .filter(|_| parts.headers.contains_key(header::HOP))
        .ok_or_else(bad_request)?;
    let deadline =
        caller_deadline(&parts.headers, received).ok().flatten().ok_or_else(bad_request)?;
    check_not_overslept(context, &parts, deadline)?;
    headers::strip_from_caller(&mut parts.headers);
    let body = read_body(context, body, deadline).await?;
    // The VM that the request entered at has judged its head.
    let named_customer = context.dialect.read_request(&parts).ok().and_then(|asked| asked.customer);
    let inbound = Inbound {
        id,
        fleet_id: fleet_id.clone(),
        config_version: None,
        route,
        method: parts.method.clone(),
        uri: origin_form(&parts),
        headers: parts.headers,
        body,
        deadline,
        named_customer,
        fingerprint: OnceLock::new(),
    };
    check_not_held_back(context, inbound)
}

/// Has a caller's request served: here if this VM owns the shard, else by the
/// owner, else here in careful mode.
async fn serve(context: &Arc<Context>, inbound: Inbound, held: Undispatched) -> Served {
    let owner = {
        let view = context.view();
        if is_shared(&view, &inbound) {
            return serve_here(context, inbound, held.into()).await;
        }
        let owner = view.ownership.owner(&inbound.route.shard);
        owner.filter(|owner| owner.name != context.me.name).cloned()
    };
    let Some(owner) = owner else { return serve_here(context, inbound, held.into()).await };
    context.metrics.count(Event::Forwarded);
    let (error, copies) = match forward::send(context, &owner, &inbound, held).await {
        Forwarded::Answered(served) => return served,
        Forwarded::Refused(refusal) => return Served::refused(refusal),
        Forwarded::Failed { error, copies } => (error, copies),
    };
    context.metrics.count(Event::ForwardFailed);
    log::info!(
        "event=forward_failed request={} owner={} error={:?}",
        inbound.fleet_id,
        owner.name,
        error.to_string()
    );
    if may_serve_after(context, &inbound, &error) {
        return serve_here(context, inbound, copies).await;
    }
    Served::refused(copies.refuse(Reason::AnswerLost, None))
}

/// Returns whether a request may be served here after sending it on has failed.
///
/// Failure guarded against: the owner dispatched a booking and then became
/// unreachable, and the entry VM dispatches it again. It shows as a doubled
/// booking. The guard holds because a request that must not be repeated is
/// served here only if no byte of it went to the owner.
fn may_serve_after(context: &Context, inbound: &Inbound, error: &ForwardError) -> bool {
    if !inbound.body.is_at_hand() || context.clock.now() >= inbound.deadline {
        return false;
    }
    error.is_unsent()
        || inbound.route.idempotent && context.forwards.take_retry(context.clock.now())
}

/// Returns whether several VMs dispatch for the service of a request. Any VM may
/// then do so too, and tells the others.
fn is_shared(view: &FleetView, inbound: &Inbound) -> bool {
    let service = &inbound.route.shard.service;
    view.active.as_ref().and_then(|active| active.service(service)).is_some_and(Service::is_shared)
}

/// Has a request served by this VM's actor of the shard.
async fn serve_here(context: &Arc<Context>, inbound: Inbound, copies: Copies) -> Served {
    let shard = {
        let view = context.view();
        let Some(active) = &view.active else {
            return Served::refused(copies.refuse(Reason::NoConfig, Some(NO_CONFIG_RETRY_MS)));
        };
        let owner = view.ownership.owner(&inbound.route.shard);
        let service = active.service(&inbound.route.shard.service);
        let mode = match owner.is_some_and(|owner| owner.name == context.me.name) {
            true => ShardMode::Owner,
            false => ShardMode::without_ownership(service),
        };
        context.shards.find_or_start(&inbound.route.shard, &active.config, mode)
    };
    request_task::serve(context, shard, inbound, copies).await
}
