//! How this VM leaves the fleet.

use kameo::message::{Context, Message};
use pistachiotrack_core::{service::Service, time::Time};
use tokio::sync::mpsc;

use super::Fleet;

/// Hands this VM's shards over, then tells the other VMs that it is stopping.
///
/// Failure guarded against: a shard's heir hears that the owner leaves and takes
/// requests while the hand-over is still on its way. It shows as a booking that is
/// sent to an endpoint which the old owner had ejected. The guard holds because
/// nobody hears of the leaving before the heirs have the hand-over, or can't be
/// reached; what changes meanwhile follows in a second one.
pub(crate) struct Leave;

impl Message<Leave> for Fleet {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        let Some(fleet) = self.actor_ref.upgrade() else { return };
        let mut handed_over = self.hand_over_ahead(self.context.clock.now());
        tokio::spawn(async move {
            // Ends when the last hand-over has dropped its sender.
            handed_over.recv().await;
            // The fleet actor stops only with the process.
            let _ = fleet.tell(AnnounceLeaving).try_send();
        });
    }
}

/// Tells the other VMs that this one is stopping.
struct AnnounceLeaving;

impl Message<AnnounceLeaving> for Fleet {
    type Reply = ();

    async fn handle(&mut self, _: AnnounceLeaving, _: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let actions = self.membership.leave(now);
        self.apply_membership(now, actions);
        self.ownership.set_leaving(true);
        self.update_ownership(now);
    }
}

impl Fleet {
    /// Hands the shards over that this VM owns alone, while it still owns them;
    /// the channel closes when all heirs have been told or given up.
    fn hand_over_ahead(&self, now: Time) -> mpsc::Receiver<()> {
        let (told, all_told) = mpsc::channel(1);
        let Some(active) = &self.active else { return all_told };
        let heirs = self.ownership.successors(now, &active.config, self.membership.members());
        for (shard, heir) in heirs {
            if active.service(&shard.service).is_some_and(Service::is_shared) {
                continue;
            }
            if let Some(heir) = self.membership.member(&heir) {
                self.context.shards.hand_over(&shard, heir.vm.clone(), Some(told.clone()));
            }
        }
        all_told
    }
}
