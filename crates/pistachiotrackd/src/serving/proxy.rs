//! Handles requests at the VM that receives them.

use std::{convert::Infallible, sync::Arc};

use hyper::{Request, Response, StatusCode, body::Incoming};
use pistachiotrack_core::{
    copies::{Copies, Undispatched},
    header,
    name::Name,
    prior_attempts::PriorAttempts,
    reachability::EndpointReach,
    refusal::{Execution, Reason},
    request::{Class, RequestId},
    service::Service,
    time::Time,
};

use crate::{
    config::view::FleetView,
    formats::{
        dialect::{Dialect, NativeDialect},
        headers,
        inbound::Inbound,
        peer_result::{PeerRefusal, PeerResult},
    },
    request::{
        answer::{self, PendingRefusal, Served},
        body::AnswerBody,
        forward::{self, ForwardError, Forwarded},
        in_flight::{InFlightGuard, RequestSource},
    },
    serving::{
        context::Context,
        entries, hand_off, local_dispatch,
        receive::{receive, receive_forwarded},
        refusal_log::{self, RefusalRecipient},
        relay_server,
    },
    stats::metrics::Event,
};

/// Prefix of the paths that the daemon answers itself.
const RESERVED_PATH_PREFIX: &str = "/pistachiotrack/";
/// Number of attempts of a route from which on one is kept back from the owner. With fewer, the
/// owner could not try a second endpoint.
const MIN_ATTEMPTS_TO_KEEP_ONE: u32 = 3;

/// Handles a request from a caller.
pub(crate) async fn handle_caller(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    if request.uri().path() == header::ENTRIES_PATH {
        return Ok(entries::answer(&context, &request.into_parts().0));
    }
    if request.uri().path().starts_with(RESERVED_PATH_PREFIX) {
        return Ok(answer::plain(StatusCode::NOT_FOUND));
    }
    context.metrics.count(Event::Request);
    let received = context.clock.now();
    let number = context.next_request();
    let id = context.dialect.request_id(request.headers()).map(Name::from);
    let id = id.unwrap_or_else(|| context.fleet_id(number));
    let in_flight = context.in_flight.add(number, &id, RequestSource::Caller);
    let served = tokio::select! {
        biased;
        served = receive_and_serve(&context, request, number, &id) => served,
        () = context.stop.grace_over() => cut(&context, &in_flight),
    };
    count_answer(&context, &served);
    let response = served.answer.unwrap_or_else(|refused| {
        refusal_log::on_refusal(
            &context,
            &id,
            received,
            &refused.refusal,
            RefusalRecipient::Caller,
        );
        let response = context.dialect.write_refusal(Some(&id), &refused.refusal, refused.status);
        response.map(AnswerBody::whole)
    });
    Ok(response.map(|body| body.of_request(in_flight)))
}

async fn receive_and_serve(
    context: &Arc<Context>,
    request: Request<Incoming>,
    number: RequestId,
    id: &Name,
) -> Served {
    let received = context.clock.now();
    let undispatched = Undispatched::on_arrival();
    let inbound = match receive(context, request, number, id).await {
        Ok(inbound) => inbound,
        Err(rejection) => return rejection.refuse(undispatched),
    };
    let (customer, class) = (inbound.route.customer.clone(), inbound.route.class);
    let served = serve(context, Arc::new(inbound), undispatched).await;
    record_latency(context, &customer, class, received, &served);
    served
}

/// Refuses a request that is still at work when this VM has to exit. It may have run.
fn cut(context: &Context, in_flight: &InFlightGuard) -> Served {
    in_flight.log_cut(context.stop.elapsed(context.clock.now()));
    let copies = Copies::from(Undispatched::on_arrival());
    Served::refused(copies.refuse_as_unknown(Reason::Stopping))
}

/// Handles a request that another VM forwards.
pub(crate) async fn handle_peer(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    context.metrics.count(Event::PeerRequest);
    if request.headers().contains_key(header::VIA) {
        return Ok(relay_server::handle(&context, request).await);
    }
    let received = context.clock.now();
    let number = context.next_request();
    let id = headers::text(request.headers(), header::REQUEST_ID)
        .map_or_else(|| context.fleet_id(number), Name::from);
    let in_flight = context.in_flight.add(number, &id, RequestSource::Vm);
    let (served, attempts) = tokio::select! {
        biased;
        served = receive_and_serve_forwarded(&context, request, number, &id) => served,
        () = context.stop.grace_over() => (cut(&context, &in_flight), PriorAttempts::default()),
    };
    let endpoint_time_us = served.endpoint_time.map(|time| time.as_micros() as u64);
    let (result, mut response) = match served.answer {
        Ok(response) => {
            let leaving_endpoint = served.leaving_endpoint;
            (PeerResult::Answered { endpoint_time_us, leaving_endpoint }, response)
        }
        Err(PendingRefusal { refusal, status }) => {
            refusal_log::on_refusal(&context, &id, received, &refusal, RefusalRecipient::Peer);
            let result = PeerRefusal::new(&context.me.name, &id, &refusal, attempts);
            let response = NativeDialect.write_refusal(Some(&id), &refusal, status);
            (PeerResult::Refused(result), response.map(AnswerBody::whole))
        }
    };
    result.write_to(response.headers_mut());
    Ok(response.map(|body| body.of_request(in_flight)))
}

async fn receive_and_serve_forwarded(
    context: &Arc<Context>,
    request: Request<Incoming>,
    number: RequestId,
    id: &Name,
) -> (Served, PriorAttempts) {
    let undispatched = Undispatched::on_arrival();
    match receive_forwarded(context, request, number, id).await {
        Ok(inbound) => {
            let serve =
                |inbound, undispatched| serve_forwarded(Arc::clone(context), inbound, undispatched);
            context.transfers.serve(Arc::new(inbound), undispatched, serve).await
        }
        Err(rejection) => (rejection.refuse(undispatched), PriorAttempts::default()),
    }
}

/// Serves a request that another VM has sent, unless a VM that reaches endpoints should get it.
async fn serve_forwarded(
    context: Arc<Context>,
    inbound: Arc<Inbound>,
    undispatched: Undispatched,
) -> Served {
    let is_cut_off = context.reach() == EndpointReach::CutOff;
    if is_cut_off && is_shared(&context.view(), &inbound) {
        return Served::refused(undispatched.refuse(Reason::NoEndpoint, None));
    }
    local_dispatch::serve(&context, inbound, undispatched.into()).await
}

fn record_latency(
    context: &Context,
    customer: &Name,
    class: Class,
    received: Time,
    served: &Served,
) {
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

/// Serves a caller's request: on this VM if it owns the shard, otherwise on the owner, otherwise
/// on this VM in careful mode.
async fn serve(
    context: &Arc<Context>,
    inbound: Arc<Inbound>,
    undispatched: Undispatched,
) -> Served {
    let owner = {
        let view = context.view();
        if is_shared(&view, &inbound) {
            drop(view);
            return hand_off::serve(context, inbound, undispatched).await;
        }
        let owner = view.ownership.owner(&inbound.route.shard);
        owner.filter(|owner| owner.name != context.me.name).cloned()
    };
    let Some(owner) = owner else {
        return local_dispatch::serve(context, inbound, undispatched.into()).await;
    };
    context.metrics.count(Event::Forwarded);
    let max_attempts = attempts_of_owner(&inbound);
    let forwarded =
        forward::send(&context.forwarder, &owner, &inbound, max_attempts, undispatched).await;
    let (error, copies) = match forwarded {
        Forwarded::Answered(served) => return served,
        Forwarded::Refused(refusal) if refusal.reason() == Reason::Stopping => {
            return match Undispatched::from_refusal(refusal) {
                Ok(request) => local_dispatch::serve(context, inbound, request.into()).await,
                Err(refusal) => Served::refused(refusal),
            };
        }
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
        return local_dispatch::serve(context, inbound, copies).await;
    }
    Served::refused(copies.refuse(Reason::AnswerLost, None))
}

/// Returns the number of attempts that a request's owner may make.
///
/// One of several is kept back, so that this VM can serve the request if the owner is lost with it.
fn attempts_of_owner(inbound: &Inbound) -> u32 {
    match inbound.route.max_attempts {
        attempts if attempts >= MIN_ATTEMPTS_TO_KEEP_ONE && inbound.is_repeatable() => attempts - 1,
        attempts => attempts,
    }
}

/// Returns whether a request may be served on this VM after forwarding it has failed.
///
/// The owner may have dispatched a booking before it became unreachable. If this VM dispatched it
/// again, it would run twice. A request that must not be repeated is therefore served here only
/// if no byte of it was sent to the owner.
fn may_serve_after(context: &Context, inbound: &Inbound, error: &ForwardError) -> bool {
    let has_attempt = inbound.attempts().possible_runs < inbound.route.max_attempts;
    if !has_attempt || !inbound.body.is_available() || context.clock.now() >= inbound.deadline {
        return false;
    }
    error.is_unsent()
        || inbound.route.idempotent && context.forwards.take_retry(context.clock.now())
}

/// Returns whether several VMs are dispatchers of a request's service. Any VM may then dispatch
/// too and sends updates to the others.
fn is_shared(view: &FleetView, inbound: &Inbound) -> bool {
    let service = &inbound.route.shard.service;
    view.active.as_ref().and_then(|active| active.service(service)).is_some_and(Service::is_shared)
}
