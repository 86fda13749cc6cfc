//! Wake-up of a shard when it may use slots that it has left to other VMs.

use kameo::message::{Context, Message};

use super::ShardActor;

/// Makes the shard decide again whether it may use free slots.
struct DeferralEnded;

impl Message<DeferralEnded> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, _: DeferralEnded, _: &mut Context<Self, ()>) {
        self.wake_at = None;
        let actions = self.shard.on_tick(self.clock.now());
        self.apply(actions);
    }
}

impl ShardActor {
    /// Schedules a wake-up for the end of a deferral, which is shorter than the interval of ticks.
    pub(super) fn schedule_wake(&mut self) {
        let Some(at) = self.shard.deferred_until() else { return };
        if self.wake_at.is_some_and(|scheduled| scheduled <= at) {
            return;
        }
        let Some(shard) = self.actor_ref.upgrade() else { return };
        self.wake_at = Some(at);
        let instant = self.clock.instant(at);
        tokio::spawn(async move {
            tokio::time::sleep_until(instant).await;
            // A stopped shard has no queued requests.
            let _ = shard.tell(DeferralEnded).try_send();
        });
    }
}
