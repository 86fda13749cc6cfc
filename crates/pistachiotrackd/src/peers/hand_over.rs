//! Sends the state of a shard to its new owner.

use std::time::Duration;

use pistachiotrack_core::{shard::ShardHandOver, vm::Vm};

use crate::{
    formats::peer_message::HAND_OVER_PATH, peers::peer_client, stats::shard_status::shard_name,
};

/// Number of tries before the hand-over is abandoned.
const MAX_TRIES: u32 = 3;
/// Time limit of a single try.
const TRY_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends the hand-over to the new owner.
///
/// A lost hand-over costs time but not correctness: an owner without one starts with half of the
/// slots of each endpoint and builds up the remaining state itself.
pub(crate) async fn send(to: Vm, hand_over: ShardHandOver) {
    let shard = shard_name(&hand_over.shard);
    let message = match postcard::to_stdvec(&hand_over) {
        Ok(message) => message,
        Err(error) => {
            log::error!("event=hand_over_failed shard={shard} error={:?}", error.to_string());
            return;
        }
    };
    for tries in 1..=MAX_TRIES {
        let sent = peer_client::send_request(
            to.peer_address,
            HAND_OVER_PATH,
            message.clone(),
            TRY_TIMEOUT,
        );
        match sent.await {
            Ok(_) => {
                log::info!("event=hand_over_sent shard={shard} to={} tries={tries}", to.name);
                return;
            }
            Err(error) => {
                log::warn!(
                    "event=hand_over_failed shard={shard} to={} tries={tries} error={:?}",
                    to.name,
                    error.to_string()
                );
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
