//! Tells a shard's new owner what this VM knows of it.

use std::time::Duration;

use pistachiotrack_core::{shard::ShardHandOver, vm::Vm};

use crate::{peer_client, peer_message::HAND_OVER_PATH, shard_table::shard_name};

/// Tries before the hand-over is given up.
const TRIES: u32 = 3;
/// Time allowed for one try.
const TRY_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// Sends the hand-over to the new owner.
///
/// A hand-over that doesn't arrive costs time, not safety: an owner without one
/// starts with half of each endpoint's slots and learns the rest by itself.
pub(crate) async fn send(to: Vm, hand_over: ShardHandOver) {
    let shard = shard_name(&hand_over.shard);
    let message = match postcard::to_stdvec(&hand_over) {
        Ok(message) => message,
        Err(error) => {
            log::error!("event=hand_over_failed shard={shard} error={:?}", error.to_string());
            return;
        }
    };
    for tries in 1..=TRIES {
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
        tokio::time::sleep(PAUSE).await;
    }
}
