//! When endpoints have had requests, as far as a VM knows.

use super::{Pool, PoolEntry};
use crate::{
    health::AttemptKind, name::Name, request::Outcome, shard::state::AttemptState, time::Time,
};

/// When an endpoint last received a request, and whether this VM reaches it.
///
/// An attempt that didn't arrive is no request to the endpoint. If it counted as one, a VM without
/// a path to the endpoint would keep those that have one from using it.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointUsage {
    /// When the last request was sent that has ended and may have arrived, from any VM.
    last_arrival_sent_at: Time,
    /// When this VM last sent it a request.
    pub(super) sent_at: Time,
    /// When an attempt of this VM last failed to reach it, unless one has reached it since.
    pub(super) unreached_at: Option<Time>,
}

impl Default for EndpointUsage {
    fn default() -> EndpointUsage {
        EndpointUsage { last_arrival_sent_at: Time::ZERO, sent_at: Time::ZERO, unreached_at: None }
    }
}

impl EndpointUsage {
    pub(super) fn on_sent(&mut self, now: Time) {
        self.sent_at = now;
    }

    /// Records that the endpoint has received a request that was sent at `sent_at`.
    pub(super) fn on_received(&mut self, sent_at: Time) {
        self.last_arrival_sent_at = self.last_arrival_sent_at.max(sent_at);
    }
}

/// Requests that another VM has in flight at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct PeerCount {
    pub(super) vm: Name,
    pub(super) in_flight: u32,
    /// When the last of them was sent.
    pub(super) last_sent_at: Time,
    /// When the count expires.
    pub(super) expires_at: Time,
}

impl PoolEntry {
    /// Returns when the last request was sent that has arrived or may still arrive.
    pub(super) fn last_used_at(&self) -> Time {
        let own = if self.in_flight > 0 { self.usage.sent_at } else { Time::ZERO };
        let peers = self.peer_counts.iter().map(|peer| peer.last_sent_at);
        peers.fold(self.usage.last_arrival_sent_at.max(own), Ord::max)
    }
}

impl Pool {
    /// Records whether an attempt of this VM has reached its endpoint.
    pub(in crate::shard) fn on_own_outcome(
        &mut self,
        now: Time,
        state: &AttemptState,
        outcome: Outcome,
    ) {
        let Some(entry) = self.endpoints.get_mut(&state.endpoint) else { return };
        match outcome {
            Outcome::ConnectFailed | Outcome::RelayFailed { sent: false } => {
                entry.usage.unreached_at = Some(now);
                return;
            }
            Outcome::Answered { .. } | Outcome::Shed | Outcome::Misdirected { .. } => {
                entry.usage.unreached_at = None;
            }
            _ => {}
        }
        if state.kind != AttemptKind::Probe && !outcome.never_arrived() {
            entry.usage.on_received(state.dispatched_at);
        }
    }

    /// Records that an endpoint has received a request of another VM.
    pub(in crate::shard) fn on_peer_request_received(&mut self, name: &str, sent_at: Time) {
        if let Some(entry) = self.endpoints.get_mut(name) {
            entry.usage.on_received(sent_at);
        }
    }
}
