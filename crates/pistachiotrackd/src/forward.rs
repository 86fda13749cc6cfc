//! Sends a request on to the VM that owns its shard: one hop, never two.

use std::{sync::Arc, time::Duration};

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
    exchange::{self, BegunAnswer, ExchangeError, RequestHead, Target},
    headers,
    inbound::Inbound,
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
    let target = Target {
        address: owner.peer_address,
        choice: ConnectionChoice::Lively,
        budget: PEER_BUDGET,
        not_after: inbound.deadline,
        time_limit: inbound.deadline + OWNER_GRACE,
    };
    let head = request_head(context, inbound);
    let answer = exchange::run(&context.peers, context.clock, target, head, &inbound.body).await?;
    Ok(served(context, answer))
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
    let body =
        AnswerBody::relayed(&parts, body, connection, Arc::clone(&context.peers), idle_limit, None);
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
