//! Messages between a shard and other VMs.

use std::net::SocketAddr;

use kameo::message::{Context, Message};
use pistachiotrack_core::{health::PathAnswer, name::Name, shard::ShardHandOver, vm::Vm};
use tokio::sync::mpsc;

use super::ShardActor;
use crate::peers::{
    hand_over,
    shard_update_link::{ShardDatagram, ShardMessage},
};

/// Applies an update from another dispatcher of the shard.
pub(crate) struct PeerUpdate {
    /// Address of the VM.
    pub(crate) address: SocketAddr,
    /// The update.
    pub(crate) datagram: ShardDatagram,
}

impl Message<PeerUpdate> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: PeerUpdate, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.last_use = now;
        self.last_update_at = now;
        let ShardDatagram { from, content, .. } = message.datagram;
        let actions = match content {
            ShardMessage::Update(update) => self.shard.on_update(now, &from, &update),
            ShardMessage::Snapshot(snapshot) => self.shard.on_snapshot(now, &snapshot),
            ShardMessage::SnapshotRequest(_) => {
                self.update_link.send_snapshot(message.address, self.shard.snapshot(now));
                Vec::new()
            }
            ShardMessage::RightsRequest { request, .. } => {
                if let Some(grant) = self.shard.on_rights_request(now, request) {
                    self.update_link.send_rights(message.address, &self.id, grant);
                }
                Vec::new()
            }
            ShardMessage::RightsGrant { grant, .. } => self.shard.on_rights_grant(now, grant),
        };
        self.apply(actions);
    }
}

/// Reports whether other VMs reach an endpoint.
pub(crate) struct PathChecked {
    /// The endpoint.
    pub(crate) endpoint: Name,
    /// Their combined answer.
    pub(crate) answer: PathAnswer,
    /// VMs that reach it.
    pub(crate) relays: Vec<Name>,
}

impl Message<PathChecked> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: PathChecked, _: &mut Context<Self, ()>) {
        log::info!(
            "event=path_checked service={} endpoint={} answer={:?} witnesses={:?}",
            self.id.service,
            message.endpoint,
            message.answer,
            message.relays
        );
        let now = self.clock.now();
        // If several VMs are dispatchers of the service, those that reach the endpoint use it.
        let actions = match message.relays.is_empty() || self.shard.is_shared() {
            true => self.shard.on_path_answer(now, &message.endpoint, message.answer),
            false => self.shard.on_relays(now, &message.endpoint, message.relays),
        };
        self.apply(actions);
    }
}

/// Reports that this VM reaches endpoints again after it reached none.
pub(crate) struct PathsRestored;

impl Message<PathsRestored> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, _: PathsRestored, _: &mut Context<Self, ()>) {
        let actions = self.shard.on_paths_restored(self.clock.now());
        self.apply(actions);
    }
}

/// Sends the shard's state to its new owner.
pub(crate) struct SendHandOver {
    /// The new owner.
    pub(crate) to: Vm,
    /// Dropped when the new owner has received the state, or can't be reached.
    pub(crate) done: Option<mpsc::Sender<()>>,
}

impl Message<SendHandOver> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: SendHandOver, _: &mut Context<Self, ()>) {
        let SendHandOver { to, done } = message;
        let hand_over = self.shard.hand_over(self.clock.now());
        tokio::spawn(async move {
            hand_over::send(to, hand_over).await;
            drop(done);
        });
    }
}

/// Applies the state sent by the shard's previous owner.
pub(crate) struct ReceiveHandOver(pub(crate) ShardHandOver);

impl Message<ReceiveHandOver> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: ReceiveHandOver, _: &mut Context<Self, ()>) {
        let actions = self.shard.on_hand_over(self.clock.now(), &message.0);
        self.apply(actions);
    }
}
