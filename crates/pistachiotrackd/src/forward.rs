//! Sends a request on to the VM that owns its shard: one hop, never two.

use std::{pin::pin, sync::Arc, time::Duration};

use futures_util::future::{Either, select};
use hyper::{HeaderMap, Response, header::HeaderName};
use pistachiotrack_core::{
    header,
    refusal::Execution,
    request::{ConnectionChoice, remaining},
    vm::Vm,
};

use crate::{
    body::{self, AnswerBody},
    context::Context,
    exchange::{self, BegunAnswer, ExchangeError, GiveUp, RequestHead, Target},
    headers,
    inbound::Inbound,
    metrics::Event,
    request_task::Served,
};

/// Time after the deadline for which the owner's own refusal is waited for.
const OWNER_GRACE: Duration = Duration::from_millis(750);
/// Connections that a VM may have open to another one.
pub(crate) const PEER_BUDGET: u32 = 256;
/// Between VMs: time in microseconds that the endpoint took to begin its
/// answer.
const ENDPOINT_TIME_US: HeaderName = HeaderName::from_static("pistachiotrack-endpoint-time-us");

/// Why the owner's answer could not be had.
#[derive(Debug, thiserror::Error)]
#[error("forward: {0}")]
pub(crate) struct ForwardError(#[from] ExchangeError);

impl ForwardError {
    /// Returns whether it is certain that no byte went to the owner.
    pub(crate) fn is_unsent(&self) -> bool {
        self.0.is_unsent()
    }

    /// Returns whether the request may have run.
    pub(crate) fn execution(&self) -> Execution {
        if self.is_unsent() { Execution::NotRun } else { Execution::Unknown }
    }
}

/// Sends a request on to `owner` and returns its answer.
///
/// # Errors
///
/// Returns an error that says whether bytes may have been sent.
pub(crate) async fn send(
    context: &Context,
    owner: &Vm,
    inbound: &Inbound,
) -> Result<Served, ForwardError> {
    let sent = context.clock.now();
    let answer = match inbound.route.idempotent && inbound.body.can_be_repeated() {
        true => exchange_watched(context, owner, inbound).await?,
        false => exchange(context, owner, inbound, ConnectionChoice::Lively).await?,
    };
    if !answer.parts.headers.contains_key(header::OUTCOME) {
        let latency = context.clock.now().since(sent);
        context.forwards.on_answer(&inbound.route.shard, latency);
    }
    Ok(served(context, answer))
}

/// Sends a request that may be repeated, and once more over a new connection if
/// the answer is long in coming.
///
/// Failure guarded against: something between two VMs has lost track of their
/// connections, and what is written to them vanishes. It shows as requests that
/// wait until their deadline although both VMs are well. The guard holds because
/// the answer on the new connection is taken, and the first connection and all
/// unused ones are closed then.
async fn exchange_watched(
    context: &Context,
    owner: &Vm,
    inbound: &Inbound,
) -> Result<BegunAnswer, ExchangeError> {
    let first = exchange(context, owner, inbound, ConnectionChoice::Lively);
    let mut first = pin!(first);
    let left = remaining(inbound.deadline, context.clock.now());
    let suspicion = context.forwards.suspicion(&inbound.route.shard).unwrap_or(left / 2);
    if let Ok(result) = tokio::time::timeout(suspicion, first.as_mut()).await {
        return result;
    }
    let now = context.clock.now();
    if now >= inbound.deadline || !context.forwards.take_retry(now) {
        return first.await;
    }
    context.metrics.count(Event::ForwardedAgain);
    let second = exchange(context, owner, inbound, ConnectionChoice::Fresh);
    match select(first, pin!(second)).await {
        Either::Left((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Ok(answer), _)) => {
            context.peers.close_idle(owner.peer_address);
            Ok(answer)
        }
        // No new connection opens: the owner is out of reach, and this VM
        // serves the request itself.
        Either::Right((Err(error), _)) if error.is_unsent() => Err(error),
        Either::Right((Err(_), first)) => first.await,
    }
}

async fn exchange(
    context: &Context,
    owner: &Vm,
    inbound: &Inbound,
    choice: ConnectionChoice,
) -> Result<BegunAnswer, ExchangeError> {
    let target = Target {
        address: owner.peer_address,
        choice,
        budget: PEER_BUDGET,
        not_after: inbound.deadline,
        time_limit: inbound.deadline + OWNER_GRACE,
        give_up: GiveUp::default(),
    };
    let head = request_head(context, inbound);
    exchange::run(&context.peers, context.clock, target, head, &inbound.body).await
}

fn request_head(context: &Context, inbound: &Inbound) -> RequestHead {
    let mut fields = inbound.headers.clone();
    let left_ms = remaining(inbound.deadline, context.clock.now()).as_millis() as u64;
    headers::set_number(&mut fields, header::DEADLINE_MS, left_ms);
    headers::set(&mut fields, header::REQUEST_ID, &inbound.fleet_id);
    headers::set(&mut fields, header::HOP, &context.me.name);
    headers::set(&mut fields, header::ROUTE, &inbound.route.encode());
    RequestHead { method: inbound.method.clone(), uri: inbound.uri.clone(), headers: fields }
}

fn served(context: &Context, answer: BegunAnswer) -> Served {
    let BegunAnswer { mut parts, body, connection, .. } = answer;
    let endpoint_time = take_endpoint_time(&mut parts.headers);
    let idle_limit = Duration::from_millis(context.settings.limits.body_idle_ms);
    let body = AnswerBody::relayed(
        &parts,
        body,
        connection,
        Arc::clone(&context.peers),
        idle_limit,
        false,
        None,
    );
    headers::strip_hop_by_hop(&mut parts.headers);
    Served { response: body::response(parts, body), endpoint_time }
}

/// Returns an answer for the VM that sent the request on, with the endpoint's
/// time, so that it can tell the fleet's part of the latency.
pub(crate) fn mark_endpoint_time(served: Served) -> Response<AnswerBody> {
    let mut response = served.response;
    if let Some(endpoint_time) = served.endpoint_time {
        let value = (endpoint_time.as_micros() as u64).into();
        response.headers_mut().insert(ENDPOINT_TIME_US, value);
    }
    response
}

fn take_endpoint_time(fields: &mut HeaderMap) -> Option<Duration> {
    let value = fields.remove(ENDPOINT_TIME_US)?;
    value.to_str().ok()?.parse().ok().map(Duration::from_micros)
}
