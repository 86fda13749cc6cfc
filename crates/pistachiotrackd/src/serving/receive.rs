//! Receives requests: identifies the caller, finds the route, and refuses what can't be served.

use std::{
    fmt::Display,
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

use hyper::{
    HeaderMap, Method, Request,
    body::Incoming,
    header::HOST,
    http::{request, uri::Authority},
};
use pistachiotrack_core::{
    authentication::{Caller, KeyPolicy},
    customer::Customer,
    hash, header,
    name::Name,
    ownership::{ShardId, rendezvous_shard, shard_count},
    refusal::Reason,
    request::{DEFAULT_MAX_ATTEMPTS, RequestId},
    rule::{RequestAttributes, Route, RuleAction},
    service::Service,
    time::Time,
    transfers::TransferId,
};

use crate::{
    config::view::{ActiveConfig, FleetView},
    connections::arrival::Arrival,
    formats::{
        dialect::{HeaderError, RequestMetadata},
        forwarded_route::ForwardedRoute,
        framing, headers,
        inbound::{Inbound, MAX_DEADLINE, caller_deadline, origin_form},
        request_body::{BodyLimits, RequestBody, RequestBodyError},
        transferred_copy::TransferredCopy,
    },
    request::{rejection::Rejection, stop_monitor::RequestTime},
    serving::{
        caller_check::{check_caller, identify},
        connection_limits::Senders,
        context::Context,
    },
    shards::shard_actor::RefusedBefore,
    stats::work_times::RequestKind,
};

/// Receives a caller's request and routes it.
///
/// # Errors
///
/// Returns why the request is refused.
pub(crate) async fn receive(
    context: &Context,
    request: Request<Incoming>,
    id: RequestId,
    fleet_id: &Name,
) -> Result<Inbound, Rejection> {
    let (mut parts, body) = request.into_parts();
    let received = arrival(context, &parts);
    check_method(&parts.method, fleet_id)?;
    check_framing(&parts.headers, fleet_id)?;
    headers::strip_from_caller(&mut parts.headers);
    let mut metadata =
        context.dialect.read_request(&parts).map_err(|error| malformed(fleet_id, &error))?;
    let time_left = metadata.time_left.map(|left| left.min(MAX_DEADLINE));
    let deadline = time_left.map(|left| received + left);
    let (view, has_lease) = confirmed_view(context, received, time_left).await;
    let Some(active) = &view.active else { return Err(Rejection::no_config()) };
    let config = active.index();
    let policy = context.key_policy(config);
    match policy {
        KeyPolicy::Required => metadata.customer = None,
        KeyPolicy::Revoked | KeyPolicy::Ignored => {
            check_names_customer(context, &metadata, fleet_id)?;
        }
    }
    let identified = identify(context, policy, config, &mut parts.headers);
    let customer = identified.ok().map(|customer| &customer.name).or(metadata.customer.as_ref());
    let rule = decide(customer, &metadata, context, active, &parts);
    let route = match rule {
        Some(RuleAction::Route(route)) => route,
        Some(RuleAction::Refuse(refuse)) => return Err(Rejection::by_rule(refuse)),
        None => return Err(Reason::Rule.into()),
    };
    let caller = Caller::on_route(policy, route, identified);
    check_caller(context, config, &caller, has_lease, fleet_id)?;
    let split_hash = hash::mix(hash::fnv(fleet_id.as_bytes()));
    let Some(service) = active.service(route.service_for(split_hash)) else {
        return Err(Reason::Rule.into());
    };
    let key = headers::text(&parts.headers, header::IDEMPOTENCY_KEY);
    let forwarded_route = ForwardedRoute {
        shard: choose_shard(context, &view, service, key, id),
        // If callers give no customer, requests are accounted to the service.
        customer: caller.customer().or(metadata.customer.as_ref()).unwrap_or(&service.name).clone(),
        identified: caller.customer().cloned(),
        class: caller.class().or(route.class).unwrap_or(metadata.class),
        idempotent: route.idempotent,
        hedge: route.hedge,
        max_attempts: route.attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS),
    };
    let limit = received + Duration::from_millis(timeout_ms(route, service));
    let deadline = deadline.map_or(limit, |deadline| deadline.min(limit));
    let time = RequestTime { deadline, kind: Some(RequestKind::of(&forwarded_route)) };
    let time = limit_to_stop(context, time, &parts.headers)?;
    let deadline = time.deadline;
    if let Caller::Customer(customer) = caller {
        check_limit(context, customer, config.version, fleet_id, &forwarded_route.shard)?;
    }
    check_not_expired_in_pause(context, &parts, deadline)?;
    let body = read_body(context, body, time, &parts.headers).await?;
    let named_customer = forwarded_route.identified.clone().or(metadata.customer);
    let inbound = Inbound {
        id,
        fleet_id: fleet_id.clone(),
        transfer_id: TransferId(context.fleet_id(id)),
        config_version: Some(active.config.version),
        route: forwarded_route,
        method: parts.method.clone(),
        uri: origin_form(&parts),
        headers: parts.headers,
        body,
        deadline,
        named_customer,
        copy: TransferredCopy::default(),
        attempts: Mutex::default(),
        fingerprint: OnceLock::new(),
    };
    check_not_quarantined(context, inbound)
}

fn malformed(fleet_id: &Name, error: &impl Display) -> Reason {
    log::info!("event=request_malformed request={fleet_id} error={:?}", error.to_string());
    Reason::BadRequest
}

/// Refuses a request for a tunnel, which this VM doesn't offer: an endpoint's success would open one on
/// both connections, and its answer would be lost.
fn check_method(method: &Method, fleet_id: &Name) -> Result<(), Rejection> {
    if method != Method::CONNECT {
        return Ok(());
    }
    Err(malformed(fleet_id, &"method CONNECT isn't supported").into())
}

/// Refuses a request whose body would reach the endpoint in a coding that no header names.
fn check_framing(fields: &HeaderMap, fleet_id: &Name) -> Result<(), Rejection> {
    framing::check_request(fields).map_err(|error| malformed(fleet_id, &error).into())
}

/// Refuses a request without a customer if callers have to name one.
fn check_names_customer(
    context: &Context,
    metadata: &RequestMetadata,
    fleet_id: &Name,
) -> Result<(), Rejection> {
    if metadata.customer.is_some() || !context.dialect.requires_customer() {
        return Ok(());
    }
    let problem = "is missing".to_owned();
    Err(malformed(fleet_id, &HeaderError { header: header::CUSTOMER, problem }).into())
}

/// Refuses a request beyond its customer's rate limit.
///
/// The shard counts it as not served: no healthy endpoint may be left without requests while
/// many of a service's requests aren't served, for whatever reason.
fn check_limit(
    context: &Context,
    customer: &Customer,
    config_version: u64,
    fleet_id: &Name,
    shard: &ShardId,
) -> Result<(), Rejection> {
    let Err(over_limit) = context.customer_limits.admit(customer) else { return Ok(()) };
    log::info!(
        "event=over_limit request={fleet_id} customer={} config_version={config_version} \
         confirmed_age_ms={:?} retry_after_ms={}",
        customer.name,
        context.confirmed_age().map(|age| age.as_millis()),
        over_limit.retry_after.as_millis()
    );
    if let Some(shard) = context.shards.find(shard) {
        // A shard whose actor has stopped has no endpoints to choose from.
        let _ = shard.tell(RefusedBefore).try_send();
    }
    Err(Rejection::rate_limited(over_limit))
}

/// Divisor of a request's time that yields the maximum wait for the first configuration; the rest
/// remains to serve it.
const FIRST_CONFIG_DIVISOR: u32 = 4;

/// Returns the view of the fleet; on a VM that has just started, waits for a configuration.
///
/// After a restart of all VMs, callers reach them before they have the configuration. Immediate
/// refusals would come in a burst, and most callers treat them as final. The configuration
/// arrives within a fraction of a second, so requests wait for it; after that, requests are
/// refused immediately.
async fn view_with_config(
    context: &Context,
    received: Time,
    time_left: Option<Duration>,
) -> Arc<FleetView> {
    let mut view = context.view.clone();
    let configured = async { view.wait_for(|view| view.active.is_some()).await.is_ok() };
    wait_after_start(context, received, time_left, configured).await;
    context.view()
}

/// Returns the view of the fleet, and whether this VM may decide on API keys with it.
///
/// The lease is checked before the view is taken: if a newer configuration became active in
/// between, the view contains it.
async fn confirmed_view(
    context: &Context,
    received: Time,
    time_left: Option<Duration>,
) -> (Arc<FleetView>, bool) {
    let view = view_with_config(context, received, time_left).await;
    if !view.active.as_ref().is_some_and(|active| active.config.api_keys_required) {
        return (view, true);
    }
    if !context.has_lease() {
        wait_for_lease(context, received, time_left).await;
    }
    let has_lease = context.has_lease();
    (context.view(), has_lease)
}

/// Waits for the lease on a VM that has just started, as for the first configuration.
async fn wait_for_lease(context: &Context, received: Time, time_left: Option<Duration>) {
    let mut lease = context.lease.clone();
    let confirmed = async { lease.wait_for(|_| context.has_lease()).await.is_ok() };
    wait_after_start(context, received, time_left, confirmed).await;
}

/// Waits until what a VM lacks after its start has `arrived`, or requests no longer wait for it. If the
/// VM stops, other VMs can serve them.
async fn wait_after_start(
    context: &Context,
    received: Time,
    time_left: Option<Duration>,
    arrived: impl Future<Output = bool>,
) {
    let until = first_config_deadline(context, received, time_left);
    tokio::select! {
        biased;
        // Whether it has arrived is checked by the caller.
        _ = tokio::time::timeout_at(context.clock.instant(until), arrived) => {}
        () = context.stop.begun() => {}
    }
}

/// Returns the time until which requests wait for what a VM lacks after its start.
fn first_config_deadline(context: &Context, received: Time, time_left: Option<Duration>) -> Time {
    let wait = Duration::from_millis(context.settings.limits.first_config_wait_ms);
    let until = context.clock.started() + wait;
    time_left.map_or(until, |left| until.min(received + left / FIRST_CONFIG_DIVISOR))
}

/// Returns the time from which a request's deadline is counted.
fn arrival(context: &Context, parts: &request::Parts) -> Time {
    parts.extensions.get().map_or_else(|| context.clock.now(), |Arrival(time)| *time)
}

/// Refuses a request whose deadline passed while this VM was paused.
fn check_not_expired_in_pause(
    context: &Context,
    parts: &request::Parts,
    deadline: Time,
) -> Result<(), Rejection> {
    let expired = parts.extensions.get::<Arrival>().is_some() && context.clock.now() >= deadline;
    if expired { Err(Reason::Paused.into()) } else { Ok(()) }
}

/// Returns `time` with a deadline within what a stop leaves, if one has begun.
///
/// # Errors
///
/// Returns why the request is refused: this VM, which is stopping, may have to cut it.
fn limit_to_stop(
    context: &Context,
    time: RequestTime,
    fields: &HeaderMap,
) -> Result<RequestTime, Rejection> {
    if context.stop.has_time_for(&time) {
        return Ok(RequestTime { deadline: context.stop.limit_deadline(time.deadline), ..time });
    }
    Err(stopping(fields))
}

/// Refuses a request that this VM, which is stopping, may have to cut. One with an idempotency key may
/// be a duplicate of a request that is at an endpoint.
fn stopping(fields: &HeaderMap) -> Rejection {
    match fields.contains_key(header::IDEMPOTENCY_KEY) {
        true => Rejection::stopping().of_possible_duplicate(),
        false => Rejection::stopping(),
    }
}

/// Refuses a request that is held in quarantine because it crashes endpoints.
fn check_not_quarantined(context: &Context, inbound: Inbound) -> Result<Inbound, Rejection> {
    match context.quarantine.remaining_hold(&inbound) {
        Some(retry_after) => Err(Rejection::crashes_endpoints(retry_after)),
        None => Ok(inbound),
    }
}

fn timeout_ms(route: &Route, service: &Service) -> u64 {
    route.timeout_ms.unwrap_or(service.timeout_ms)
}

fn decide<'c>(
    customer: Option<&Name>,
    metadata: &RequestMetadata,
    context: &Context,
    active: &'c ActiveConfig,
    parts: &request::Parts,
) -> Option<&'c RuleAction> {
    let fields = text_fields(&parts.headers);
    let host = host(parts);
    let attributes = RequestAttributes {
        customer: customer.map(Name::as_str).unwrap_or_default(),
        host: &host,
        method: parts.method.as_str(),
        path: parts.uri.path(),
        headers: &fields,
        class: metadata.class,
        service: metadata.service.as_deref(),
        data_centre: &context.me.data_centre,
    };
    active.rules.decide(&attributes, &*context.shards).map(|rule| &rule.then)
}

/// Returns the host of a request, in lower case and without a port.
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

/// Returns the shard of a service for a request: the shard of its idempotency key; otherwise one
/// that this VM owns, which saves a hop; otherwise any.
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
    let mut rotated = (0..count).map(|offset| shard((first + offset) % count));
    let is_mine = |shard: &ShardId| {
        view.ownership.owner(shard).is_some_and(|owner| owner.name == context.me.name)
    };
    rotated.find(is_mine).unwrap_or_else(|| shard(first))
}

/// Reads the body of a request with the header `fields`.
///
/// # Errors
///
/// Returns why the request is refused.
pub(crate) async fn read_body(
    context: &Context,
    body: Incoming,
    time: RequestTime,
    fields: &HeaderMap,
) -> Result<RequestBody, Rejection> {
    let limits = &context.settings.limits;
    let limits = BodyLimits {
        body_bytes: context.connection_limits(Senders::Callers).body_bytes,
        buffered_bytes: limits.buffered_body_bytes,
    };
    let read = RequestBody::read(body, limits);
    let read = tokio::select! {
        biased;
        read = tokio::time::timeout_at(context.clock.instant(time.deadline), read) => read,
        () = context.stop.without_time_for(time) => return Err(stopping(fields)),
    };
    match read {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(RequestBodyError::TooLarge { .. })) => Err(Rejection::too_large()),
        Ok(Err(_)) => Err(Reason::BadRequest.into()),
        Err(_) => Err(Reason::DeadlinePassed.into()),
    }
}

/// Receives a request that another VM forwards.
///
/// # Errors
///
/// Returns why the request is refused.
pub(crate) async fn receive_forwarded(
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
    check_method(&parts.method, fleet_id)?;
    let deadline =
        caller_deadline(&parts.headers, received).ok().flatten().ok_or_else(bad_request)?;
    let time = limit_to_stop(context, RequestTime::of_other_vm(deadline), &parts.headers)?;
    let deadline = time.deadline;
    check_not_expired_in_pause(context, &parts, deadline)?;
    let copy = TransferredCopy::read(&parts.headers);
    headers::strip_from_caller(&mut parts.headers);
    let body = read_body(context, body, time, &parts.headers).await?;
    // The VM at which the request entered has validated its head.
    let named_customer = route.identified.clone().or_else(|| {
        context.dialect.read_request(&parts).ok().and_then(|metadata| metadata.customer)
    });
    let inbound = Inbound {
        id,
        fleet_id: fleet_id.clone(),
        transfer_id: TransferId(context.fleet_id(id)),
        config_version: None,
        route,
        method: parts.method.clone(),
        uri: origin_form(&parts),
        headers: parts.headers,
        body,
        deadline,
        named_customer,
        attempts: Mutex::new(copy.prior.clone()),
        copy,
        fingerprint: OnceLock::new(),
    };
    check_not_quarantined(context, inbound)
}
