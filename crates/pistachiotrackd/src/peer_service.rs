//! Answers the questions of other VMs.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use kameo::actor::ActorRef;
use pistachiotrack_core::{
    ownership::shard_count,
    shard::{ShardHandOver, ShardMode},
};
use tokio::net::TcpStream;

use crate::{
    answer,
    body::AnswerBody,
    context::Context,
    fleet::{Fleet, HandlePull},
    peer_message::{
        CONFIG_PATH, HAND_OVER_PATH, MAX_MESSAGE_BYTES, REACH_PATH, ReachRequest, ReachResponse,
    },
    proxy,
    shard_actor::TakeHandOver,
    shard_table::shard_name,
    traffic::{Locality, Topic},
    view::ActiveConfig,
};

/// Time allowed for a connection to an endpoint that another VM asks about.
const REACH_TIMEOUT: Duration = Duration::from_millis(400);
/// Time allowed for another VM to send its question.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers another VM: a question, or a request that it sends on.
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
    let asked = topics.into_iter().find(|(known, _)| *known == path);
    let Some((path, topic)) = asked else { return proxy::handle_peer(context, request).await };
    let Some(question) = read(request.into_body()).await else {
        return Ok(answer::plain(StatusCode::BAD_REQUEST));
    };
    // The address of a TCP connection is not the one that VMs are known by.
    context.traffic.received(topic, Locality::Unknown, question.len());
    let reply = match path {
        CONFIG_PATH => pull(&fleet, question).await,
        HAND_OVER_PATH => take_hand_over(&context, &question),
        _ => reach(&context, &question).await,
    };
    if let Ok(reply) = &reply {
        context.traffic.sent(topic, Locality::Unknown, reply.len());
    }
    Ok(reply.map_or_else(answer::plain, answer::octets))
}

async fn read(body: Incoming) -> Option<Bytes> {
    let whole = Limited::new(body, MAX_MESSAGE_BYTES).collect();
    let whole = tokio::time::timeout(READ_TIMEOUT, whole).await.ok()?.ok()?;
    Some(whole.to_bytes())
}

async fn pull(fleet: &ActorRef<Fleet>, question: Bytes) -> Result<Vec<u8>, StatusCode> {
    match fleet.ask(HandlePull(question)).await {
        Ok(Some(reply)) => Ok(reply),
        Ok(None) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn take_hand_over(context: &Context, message: &[u8]) -> Result<Vec<u8>, StatusCode> {
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
    actor.tell(TakeHandOver(hand_over)).try_send().map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(Vec::new())
}

async fn reach(context: &Context, question: &[u8]) -> Result<Vec<u8>, StatusCode> {
    let question: ReachRequest =
        postcard::from_bytes(question).map_err(|_| StatusCode::BAD_REQUEST)?;
    let known = context.view().active.as_ref().is_some_and(|active| has(active, &question));
    let reply = if known { connect(&question).await } else { ReachResponse::Unknown };
    postcard::to_stdvec(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

/// Returns whether the configuration has the endpoint that is asked about, so
/// that a stray message can't have this VM connect to anything else.
fn has(active: &ActiveConfig, question: &ReachRequest) -> bool {
    let mut endpoints = active.config.services.iter().flat_map(|service| &service.endpoints);
    endpoints.any(|known| known.name == question.endpoint && known.address == question.address)
}

async fn connect(question: &ReachRequest) -> ReachResponse {
    match tokio::time::timeout(REACH_TIMEOUT, TcpStream::connect(question.address)).await {
        Ok(Ok(_)) => ReachResponse::Reached,
        _ => ReachResponse::Unreachable,
    }
}
