//! Handler of requests from other VMs.

use std::{convert::Infallible, sync::Arc, time::Duration};

use crate::{
    config::view::ActiveConfig,
    connections::connection_pool::Listening,
    formats::peer_message::{
        CONFIG_PATH, HAND_OVER_PATH, MAX_REQUEST_BYTES, REACH_PATH, ReachRequest, ReachResponse,
    },
    membership::fleet::{Fleet, HandlePull},
    request::{answer, body::AnswerBody},
    serving::{context::Context, proxy},
    shards::shard_actor::ReceiveHandOver,
    stats::{
        shard_status::shard_name,
        traffic::{Locality, Topic},
    },
};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use kameo::actor::ActorRef;
use pistachiotrack_core::{
    ownership::shard_count,
    shard::{ShardHandOver, ShardMode},
};

/// Timeout of the connection attempt of a reachability check.
const REACH_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for another VM to send the body of its request.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles a request from another VM: one between VMs, or a forwarded caller's request.
pub(crate) async fn handle(
    context: Arc<Context>,
    fleet: ActorRef<Fleet>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let path = request.uri().path();
    let topics = [
        (CONFIG_PATH, Topic::Configuration),
        (HAND_OVER_PATH, Topic::HandOver),
        (REACH_PATH, Topic::Reach),
    ];
    let matching = topics.into_iter().find(|(known, _)| *known == path);
    let Some((path, topic)) = matching else { return proxy::handle_peer(context, request).await };
    let Some(body) = read(request.into_body()).await else {
        return Ok(answer::plain(StatusCode::BAD_REQUEST));
    };
    // The remote address of a TCP connection isn't the peer address of a VM.
    context.traffic.received(topic, Locality::Unknown, body.len());
    let response = match path {
        CONFIG_PATH => pull(&fleet, body).await,
        HAND_OVER_PATH => receive_hand_over(&context, &body),
        _ => reach(&context, &body).await,
    };
    if let Ok(response) = &response {
        context.traffic.sent(topic, Locality::Unknown, response.len());
    }
    Ok(response.map_or_else(answer::plain, answer::octets))
}

async fn read(body: Incoming) -> Option<Bytes> {
    let whole = Limited::new(body, MAX_REQUEST_BYTES).collect();
    let whole = tokio::time::timeout(READ_TIMEOUT, whole).await.ok()?.ok()?;
    Some(whole.to_bytes())
}

async fn pull(fleet: &ActorRef<Fleet>, body: Bytes) -> Result<Vec<u8>, StatusCode> {
    match fleet.ask(HandlePull(body)).await {
        Ok(Some(response)) => Ok(response),
        Ok(None) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn receive_hand_over(context: &Context, message: &[u8]) -> Result<Vec<u8>, StatusCode> {
    let hand_over: ShardHandOver =
        postcard::from_bytes(message).map_err(|_| StatusCode::BAD_REQUEST)?;
    let view = context.view();
    let active = view.active.as_ref().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let shard = hand_over.shard.clone();
    let service = active.service(&shard.service).ok_or(StatusCode::NOT_FOUND)?;
    if shard.index >= shard_count(service) {
        return Err(StatusCode::NOT_FOUND);
    }
    log::info!("event=hand_over_received shard={}", shard_name(&shard));
    let mode = ShardMode::without_ownership(Some(service));
    let actor = context.shards.find_or_start(&shard, &active.config, mode);
    actor
        .tell(ReceiveHandOver(hand_over))
        .try_send()
        .map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(Vec::new())
}

async fn reach(context: &Context, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
    let request: ReachRequest = postcard::from_bytes(body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let is_configured =
        context.view().active.as_ref().is_some_and(|active| has_endpoint(active, &request));
    // A VM that reaches no endpoint can't tell whether this one accepts connections.
    let can_tell = is_configured && !context.reach().is_cut_off();
    let response = if can_tell { connect(context, &request).await } else { ReachResponse::Unknown };
    postcard::to_stdvec(&response).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

/// Returns whether the configuration contains the endpoint, so that a request can't
/// make this VM connect to any other address.
fn has_endpoint(active: &ActiveConfig, request: &ReachRequest) -> bool {
    let mut endpoints = active.config.services.iter().flat_map(|service| &service.endpoints);
    endpoints
        .any(|endpoint| endpoint.name == request.endpoint && endpoint.address == request.address)
}

async fn connect(context: &Context, request: &ReachRequest) -> ReachResponse {
    let listening = context.endpoints.listening(request.address);
    match tokio::time::timeout(REACH_TIMEOUT, listening).await {
        Ok(Listening::Open) => ReachResponse::Reached,
        _ => ReachResponse::Unreachable,
    }
}
