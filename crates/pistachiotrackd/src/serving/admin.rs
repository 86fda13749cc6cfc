//! Handler of the admin port, which operators' tools read.

use std::{convert::Infallible, sync::Arc};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use kameo::actor::ActorRef;
use pistachiotrack_core::{
    admin::{EndpointStatus, MemberStatus, Status},
    membership::MemberState,
    name::Name,
};

use crate::{
    membership::fleet::{ConfigStatus, Fleet, GetConfigStatus},
    request::{answer, body::AnswerBody},
    runtime::path_fault::UnknownPathFault,
    serving::{context::Context, exposition},
    shards::shard_actor::Endpoints,
    stats::shard_status::{held_retry_counters, retry_counters, shard_name},
};

/// Prefix of the paths that inject faults of the paths to endpoints.
const PATH_FAULTS: &str = "/faults/endpoint-paths/";

/// Handles a request to the admin port.
pub(crate) async fn handle(
    context: Arc<Context>,
    fleet: ActorRef<Fleet>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    if request.method() == Method::POST && context.settings.fault_injection {
        return Ok(answer::plain(inject_fault(&context, request.uri().path())));
    }
    if request.method() != Method::GET {
        return Ok(answer::plain(StatusCode::METHOD_NOT_ALLOWED));
    }
    Ok(match request.uri().path() {
        "/status" => answer::json(&status(&context, &fleet).await),
        "/endpoints" => answer::json(&endpoints(&context).await),
        "/members" => answer::json(&members(&context)),
        "/customers" => answer::json(&context.customer_limits.usage()),
        "/quarantine" => answer::json(&context.quarantine.statuses()),
        "/metrics" => metrics(&context, &fleet).await,
        "/histograms" => answer::json(&context.total_latency.statuses()),
        "/histograms/added" => answer::json(&context.added_latency.statuses()),
        "/histograms/queued" => answer::json(&context.queue_latency.statuses()),
        _ => answer::plain(StatusCode::NOT_FOUND),
    })
}

/// Injects a fault of the paths to endpoints, or ends it.
fn inject_fault(context: &Context, path: &str) -> StatusCode {
    let Some(name) = path.strip_prefix(PATH_FAULTS) else { return StatusCode::NOT_FOUND };
    let fault = match name {
        "none" => None,
        name => match name.parse() {
            Ok(fault) => Some(fault),
            Err(UnknownPathFault) => return StatusCode::NOT_FOUND,
        },
    };
    log::warn!("event=fault_injected paths={name}");
    context.endpoints.set_fault(fault);
    StatusCode::OK
}

/// Returns the counters and latencies in the text format of metrics collectors.
async fn metrics(context: &Arc<Context>, fleet: &ActorRef<Fleet>) -> Response<AnswerBody> {
    match exposition::text(context, config_status(fleet).await) {
        Ok(text) => answer::text(text),
        Err(error) => {
            log::error!("event=metrics_failed error={:?}", error.to_string());
            answer::plain(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Returns the state of the configuration sync; the default while the daemon stops.
async fn config_status(fleet: &ActorRef<Fleet>) -> ConfigStatus {
    fleet.ask(GetConfigStatus).await.unwrap_or_default()
}

async fn status(context: &Context, fleet: &ActorRef<Fleet>) -> Status {
    let view = context.view();
    let config = config_status(fleet).await;
    let mut shards: Vec<Name> = view.ownership.owned().map(shard_name).collect();
    shards.sort();
    let mut counters = context.metrics.counters();
    counters.extend(context.traffic.counters());
    counters.extend(retry_counters(context.shards.retries()));
    counters.extend(held_retry_counters(context.shards.held_retries()));
    Status {
        vm: context.me.name.clone(),
        data_centre: context.me.data_centre.clone(),
        state: Name::from(context.lifecycle_state().as_str()),
        deployment: context.settings.deployment.clone(),
        config_version: view.active.as_ref().map(|active| active.config.version),
        config_error: config.error,
        platform_age_ms: config.platform_age_ms,
        config_confirmed_age_ms: context.confirmed_age().map(|age| age.as_millis() as u64),
        shards,
        live_vms: view.live_vms(),
        counters,
    }
}

async fn endpoints(context: &Context) -> Vec<EndpointStatus> {
    let mut endpoints = Vec::new();
    for (_, shard) in context.shards.running() {
        // A shard whose actor has just stopped has no endpoints to list.
        endpoints.extend(shard.ask(Endpoints).await.unwrap_or_default());
    }
    endpoints.sort_by(|a, b| (&a.service, &a.endpoint).cmp(&(&b.service, &b.endpoint)));
    endpoints
}

fn members(context: &Context) -> Vec<MemberStatus> {
    let view = context.view();
    let mut members: Vec<MemberStatus> = view
        .members
        .iter()
        .map(|member| MemberStatus {
            vm: member.vm.name.clone(),
            data_centre: member.vm.data_centre.clone(),
            state: Name::from(state_name(member.state)),
            incarnation: member.vm.incarnation,
            config_version: member.config_version,
        })
        .collect();
    members.push(MemberStatus {
        vm: context.me.name.clone(),
        data_centre: context.me.data_centre.clone(),
        state: Name::from(state_name(MemberState::Alive)),
        incarnation: context.me.incarnation,
        config_version: view.active.as_ref().map(|active| active.config.version),
    });
    members.sort_by(|a, b| a.vm.cmp(&b.vm));
    members
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}
