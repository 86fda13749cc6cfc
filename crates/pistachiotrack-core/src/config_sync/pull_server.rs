//! Responses to pulls, limited to a part of the link's bandwidth by a token bucket.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, seq::IteratorRandom};

use super::{
    ConfigSync,
    wire::{PullRequest, PullResponseRef},
};
use crate::{time::Time, vm::Vm};

/// Bytes that may be sent at once after an idle period. A change of one endpoint is
/// about 300 bytes long, so it reaches 200 VMs without any delay.
const BURST_BYTES: f64 = 64.0 * 1024.0;
/// Maximum number of recently served VMs to track.
const MAX_RECENT_PEERS: usize = 64;
/// Mean delay before a redirected VM asks again: the transfer time of a response of
/// 64 kB on a link of 10 Mbit/s.
pub(super) const REDIRECT_DELAY: Duration = Duration::from_millis(50);
/// Recently served VMs to name in a redirect.
const REDIRECT_PEERS: usize = 8;

/// The rate limit of one VM's responses to pulls, and the VMs served recently.
///
/// Without the limit, all VMs would pull a large change from the one VM that announces
/// it. Its link would be saturated for seconds, pulls would time out, and requests
/// would be routed by the old version meanwhile. With it, a VM sends no more than its
/// link carries and redirects other VMs to those it has served, so that the number of
/// servers doubles in each round.
#[derive(Clone, Debug)]
pub(super) struct PullServer {
    bytes_per_second: f64,
    /// Bytes that may be sent now; negative after a long response.
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

    /// Returns whether a pull may be served now; otherwise it is redirected.
    pub(super) fn has_capacity(&mut self, now: Time) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.bytes_per_second;
        self.refilled_at = now;
        self.available_bytes = (self.available_bytes + refill).min(BURST_BYTES);
        self.available_bytes > 0.0
    }

    /// Records a response that brings `requester` to the active version.
    pub(super) fn record_response(&mut self, requester: Vm, bytes: usize) {
        self.available_bytes -= bytes as f64;
        self.recent_peers.retain(|vm| vm.name != requester.name);
        if self.recent_peers.len() == MAX_RECENT_PEERS {
            self.recent_peers.pop_front();
        }
        self.recent_peers.push_back(requester);
    }

    /// Returns a random sample of the recently served VMs, without `requester`.
    pub(super) fn sample_recent_peers(&self, requester: &Vm, rng: &mut impl Rng) -> Vec<Vm> {
        self.recent_peers
            .iter()
            .filter(|vm| vm.name != requester.name)
            .cloned()
            .sample(rng, REDIRECT_PEERS)
    }

    /// Clears the recently served VMs, which don't have the new active version.
    pub(super) fn on_activated(&mut self) {
        self.recent_peers.clear();
    }
}

impl ConfigSync {
    /// Responds to a peer's pull, or redirects the peer to other VMs if this VM has
    /// used up its bandwidth.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be decoded.
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
