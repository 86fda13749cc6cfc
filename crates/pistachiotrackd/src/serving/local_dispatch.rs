//! Dispatches a request from this VM.

use std::sync::Arc;

use pistachiotrack_core::{copies::Copies, refusal::Reason, shard::ShardMode};

use crate::{
    formats::inbound::Inbound,
    request::{
        answer::{NO_CONFIG_RETRY_MS, Served},
        request_task,
    },
    serving::context::Context,
};

/// Serves a request with this VM's actor of the shard.
pub(crate) async fn serve(context: &Arc<Context>, inbound: Arc<Inbound>, copies: Copies) -> Served {
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
    request_task::serve(&context.requests, shard, inbound, copies).await
}
