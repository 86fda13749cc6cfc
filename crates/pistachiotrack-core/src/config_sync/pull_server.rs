//! How much of its link a VM spends on answering others, and whom it has answered.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, seq::IteratorRandom};

use super::{
    ConfigSync,
    wire::{PullRequest, PullResponseRef},
};
use crate::{time::Time, vm::Vm};

/// Bytes that may be answered at once after a pause. A change of one endpoint, some
/// 300 bytes, thus goes to 200 VMs without any wait.
const BURST_BYTES: f64 = 64.0 * 1024.0;
/// Answered VMs remembered.
const MAX_RECENT_PEERS: usize = 64;
/// Time after which a VM that was sent elsewhere asks again, on average: what an answer
/// of 64 kB takes on a link of 10 Mbit/s.
pub(super) const REDIRECT_DELAY: Duration = Duration::from_millis(50);
/// Answered VMs named to one that has to ask elsewhere.
const REDIRECT_PEERS: usize = 8;

/// The answers of one VM about the version in force.
///
/// Failure guarded against: a large change is announced by one VM, all others ask
/// it, and its link is full for seconds. It shows as requests routed by the old
/// version, and as pulls without an answer. The guard holds because a VM answers no
/// more than its link carries and names VMs that it has answered: their number
/// doubles with each round.
#[derive(Clone, Debug)]
pub(super) struct PullServer {
    bytes_per_second: f64,
    /// Bytes that may be answered now; below zero after a long answer.
    available_bytes: f64,
    refilled_at: Time,
    recent_peers: VecDeque<Vm>,
}

impl PullServer {
    pub(super) fn new(bytes_per_second: u64) -> PullServer {
        PullServer {
            bytes_per_second: bytes_per_second as f64,
            available_bytes: BURST_BYTES,
            refilled_at: Time::ZERO,
            recent_peers: VecDeque::new(),
        }
    }

    /// Returns whether a VM may be answered now; otherwise it has to ask elsewhere.
    pub(super) fn has_capacity(&mut self, now: Time) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.bytes_per_second;
        self.refilled_at = now;
        self.available_bytes = (self.available_bytes + refill).min(BURST_BYTES);
        self.available_bytes > 0.0
    }

    /// Notes an answer that brings `requester` to the version in force.
    pub(super) fn record_response(&mut self, requester: Vm, bytes: usize) {
        self.available_bytes -= bytes as f64;
        self.recent_peers.retain(|vm| vm.name != requester.name);
        if self.recent_peers.len() == MAX_RECENT_PEERS {
            self.recent_peers.pop_front();
        }
        self.recent_peers.push_back(requester);
    }

    /// Returns some of the VMs answered, other than `requester`.
    pub(super) fn sample_recent_peers(&self, requester: &Vm, rng: &mut impl Rng) -> Vec<Vm> {
        self.recent_peers
            .iter()
            .filter(|vm| vm.name != requester.name)
            .cloned()
            .sample(rng, REDIRECT_PEERS)
    }

    /// Forgets whom it answered: they no longer have the version in force.
    pub(super) fn on_activated(&mut self) {
        self.recent_peers.clear();
    }
}

impl ConfigSync {
    /// Answers a peer's question, or sends the peer to others if this VM answers as
    /// many as its link carries.
    ///
    /// # Errors
    ///
    /// Returns an error if the question can't be decoded.
    pub fn handle_pull(&mut self, now: Time, request: &[u8]) -> Result<Vec<u8>, postcard::Error> {
        let pull: PullRequest = postcard::from_bytes(request)?;
        let bytes = self.response_to(&pull).len();
        if bytes > 0 && !self.pull_server.has_capacity(now) {
            let version = self.version().unwrap_or_default();
            let holders = self.pull_server.sample_recent_peers(&pull.requester, &mut self.rng);
            return postcard::to_stdvec(&PullResponseRef::Redirect { version, holders });
        }
        let encoded = postcard::to_stdvec(&self.response_to(&pull))?;
        if bytes > 0 {
            self.pull_server.record_response(pull.requester, bytes);
        }
        Ok(encoded)
    }

    fn response_to(&self, request: &PullRequest) -> PullResponseRef<'_> {
        if request.deployment != self.deployment {
            return PullResponseRef::NoUpdate;
        }
        self.store.respond(request)
    }
}
