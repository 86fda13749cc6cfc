//! Pulls of newer configurations from other VMs.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use kameo::message::{Context as MessageContext, Message};
use pistachiotrack_core::{name::Name, vm::Vm};

use super::Fleet;
use crate::{
    formats::peer_message::CONFIG_PATH,
    peers::peer_client,
    stats::traffic::{Locality, Topic},
};

/// Timeout of a configuration pull from a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles another VM's pull request for a newer configuration; replies `None`
/// if the request can't be decoded.
pub(crate) struct HandlePull(pub(crate) Bytes);

impl Message<HandlePull> for Fleet {
    type Reply = Option<Vec<u8>>;

    async fn handle(
        &mut self,
        message: HandlePull,
        _: &mut MessageContext<Self, Self::Reply>,
    ) -> Option<Vec<u8>> {
        self.sync.handle_pull(self.clock.now(), &message.0).ok()
    }
}

/// Result of a configuration pull from another VM.
pub(crate) struct PullFinished {
    /// The VM that the request was sent to.
    pub(crate) vm: Name,
    /// Its encoded response; `None` if the pull failed.
    pub(crate) response: Option<Bytes>,
}

impl Message<PullFinished> for Fleet {
    type Reply = ();

    async fn handle(&mut self, message: PullFinished, _: &mut MessageContext<Self, ()>) {
        let now = self.clock.now();
        let actions = self.sync.on_pull_response(now, &message.vm, message.response.as_deref());
        self.apply_config(now, actions);
    }
}

impl Fleet {
    pub(super) fn pull(&self, vm: Vm, request: Vec<u8>) {
        let Some(fleet) = self.actor_ref.upgrade() else { return };
        let traffic = Arc::clone(&self.traffic);
        let locality = Locality::of(&vm.data_centre, &self.me.data_centre);
        tokio::spawn(async move {
            traffic.sent(Topic::Configuration, locality, request.len());
            let response =
                peer_client::send_request(vm.peer_address, CONFIG_PATH, request, PULL_TIMEOUT);
            let response = response
                .await
                .inspect(|response| {
                    traffic.received(Topic::Configuration, locality, response.len())
                })
                .inspect_err(|error| {
                    let error = error.to_string();
                    log::warn!("event=config_pull_failed vm={} error={error:?}", vm.name);
                })
                .ok();
            // The fleet actor stops only with the process.
            let _ = fleet.tell(PullFinished { vm: vm.name, response }).try_send();
        });
    }
}
