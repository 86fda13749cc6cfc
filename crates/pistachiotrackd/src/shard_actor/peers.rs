//! What other VMs tell a shard, and what it tells them on its own.

use std::net::SocketAddr;

use kameo::message::{Context, Message};
use pistachiotrack_core::{health::PathAnswer, name::Name, shard::ShardHandOver, vm::Vm};
use tokio::sync::mpsc;

use super::ShardActor;
use crate::{
    hand_over,
    shard_update_link::{ShardDatagram, ShardMessage},
};

/// Takes what another VM that dispatches for the shard tells.
pub(crate) struct PeerNews {
    /// Address of the VM.
    pub(crate) address: SocketAddr,
    /// What it tells.
    pub(crate) datagram: ShardDatagram,
}

impl Message<PeerNews> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: PeerNews, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.last_use = now;
        self.heard = now;
        let ShardDatagram { from, content, .. } = message.datagram;
        let actions = match content {
            ShardMessage::Update(news) => self.shard.on_update(now, &from, &news),
            ShardMessage::Snapshot(picture) => self.shard.on_snapshot(now, &picture),
            ShardMessage::SnapshotRequest(_) => {
                self.news.send_snapshot(message.address, self.shard.snapshot(now));
                Vec::new()
            }
        };
        self.apply(actions);
    }
}

/// Tells what VMs elsewhere say about an endpoint.
pub(crate) struct PathChecked {
    /// The endpoint.
    pub(crate) endpoint: Name,
    /// What they say.
    pub(crate) answer: PathAnswer,
    /// VMs that reach it.
    pub(crate) witnesses: Vec<Name>,
}

impl Message<PathChecked> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: PathChecked, _: &mut Context<Self, ()>) {
        log::info!(
            "event=path_checked service={} endpoint={} answer={:?} witnesses={:?}",
            self.id.service,
            message.endpoint,
            message.answer,
            message.witnesses
        );
        let now = self.clock.now();
        // Where several VMs dispatch, those that reach the endpoint use it.
        let actions = match message.witnesses.is_empty() || self.shard.is_shared() {
            true => self.shard.on_path_answer(now, &message.endpoint, message.answer),
            false => self.shard.on_relays(now, &message.endpoint, message.witnesses),
        };
        self.apply(actions);
    }
}

/// Hands the shard over to its new owner.
pub(crate) struct HandOverTo {
    /// The new owner.
    pub(crate) to: Vm,
    /// Dropped when the new owner has been told, or can't be.
    pub(crate) told: Option<mpsc::Sender<()>>,
}

impl Message<HandOverTo> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: HandOverTo, _: &mut Context<Self, ()>) {
        let HandOverTo { to, told } = message;
        let hand_over = self.shard.hand_over(self.clock.now());
        tokio::spawn(async move {
            hand_over::send(to, hand_over).await;
            drop(told);
        });
    }
}

/// Takes what the shard's old owner knew.
pub(crate) struct TakeHandOver(pub(crate) ShardHandOver);

impl Message<TakeHandOver> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: TakeHandOver, _: &mut Context<Self, ()>) {
        let actions = self.shard.on_hand_over(self.clock.now(), &message.0);
        self.apply(actions);
    }
}
