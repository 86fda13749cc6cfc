//! Graceful leave of this VM.

use kameo::message::{Context, Message};
use pistachiotrack_core::{service::Service, time::Time};
use tokio::sync::mpsc;

use super::Fleet;

/// Hands this VM's shards over, then announces to the other VMs that it is leaving.
///
/// If the leave were announced first, a shard's successor could take requests
/// before the hand-over arrives, and send a booking to an endpoint that the old
/// owner had ejected. Hence the leave is announced only when each successor has
/// received the hand-over or can't be reached; changes in the meantime follow in a
/// second hand-over.
pub(crate) struct Leave;

impl Message<Leave> for Fleet {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        let Some(fleet) = self.actor_ref.upgrade() else { return };
        let mut handed_over = self.hand_over_exclusive_shards(self.clock.now());
        tokio::spawn(async move {
            // Returns when all hand-overs have dropped their senders.
            handed_over.recv().await;
            // The fleet actor stops only with the process.
            let _ = fleet.tell(AnnounceLeaving).try_send();
        });
    }
}

/// Announces to the other VMs that this one is leaving.
struct AnnounceLeaving;

impl Message<AnnounceLeaving> for Fleet {
    type Reply = ();

    async fn handle(&mut self, _: AnnounceLeaving, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let actions = self.membership.leave(now);
        self.apply_membership(now, actions);
        self.ownership.set_leaving(true);
        self.update_ownership(now);
    }
}

impl Fleet {
    /// Hands over the shards of which this VM is the only owner, while it still owns
    /// them; the channel closes when every hand-over was delivered or has failed.
    fn hand_over_exclusive_shards(&self, now: Time) -> mpsc::Receiver<()> {
        let (done, all_done) = mpsc::channel(1);
        let Some(active) = &self.active else { return all_done };
        let successors = self.ownership.successors(now, &active.config, self.membership.members());
        for (shard, successor) in successors {
            if active.service(&shard.service).is_some_and(Service::is_shared) {
                continue;
            }
            if let Some(successor) = self.membership.member(&successor) {
                self.shards.hand_over(&shard, successor.vm.clone(), Some(done.clone()));
            }
        }
        all_done
    }
}
