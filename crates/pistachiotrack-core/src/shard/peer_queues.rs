//! Queues of the other VMs that dispatch for a shard, and the order of requests over all of them.

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use super::EndpointKey;
use crate::{name::Name, request::Class, time::Time};

/// Time after its last summary at which a VM's queue is dropped: it has died or is cut off.
const SUMMARY_TTL: Duration = Duration::from_secs(1);
/// Maximum number of VMs whose queues are recorded.
const MAX_PEERS: usize = 64;
/// Time for which a slot is left to peers, for each time that the requests ahead fill the free
/// slots. It covers the delay of an update between data centres, and of the request's dispatch.
const DEFERRAL_STEP: Duration = Duration::from_millis(10);
/// Longest time for which a slot is left to peers, so that no slot stays idle because of a VM that
/// doesn't use it. A request with less time left isn't deferred.
const MAX_DEFERRAL: Duration = Duration::from_millis(50);

/// Queued requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassSummary {
    /// Number of queued requests, saturating.
    pub queued: u16,
    /// Urgency of the first of them: the fraction of its time until its latest dispatch that it
    /// has waited, in thousandths.
    pub used_permille: u16,
}

/// Summary of one VM's queue. Values are absolute, so that a summary replaces all before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueSummary {
    /// Increases with each summary of a VM, and wraps around.
    pub sequence: u32,
    /// The classes, in the order of [`Class::ALL`].
    pub classes: [ClassSummary; Class::ALL.len()],
}

impl QueueSummary {
    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|class| class.queued == 0)
    }

    fn is_later_than(&self, other: &QueueSummary) -> bool {
        (self.sequence.wrapping_sub(other.sequence) as i32) > 0
    }
}

/// The place of a VM's queue among those of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueHead {
    /// Most urgent class of its requests.
    pub class: Class,
    /// Fraction of its time until its latest dispatch that the first request of that class has
    /// waited, in thousandths.
    pub used_permille: u16,
    /// Time until the latest dispatch of the VM's next request.
    pub time_left: Duration,
}

/// Returns the fraction of the time from `arrived` to `not_after` that has passed, in thousandths.
pub(super) fn used_permille(now: Time, arrived: Time, not_after: Time) -> u16 {
    let total = not_after.since(arrived).as_micros().max(1);
    (now.since(arrived).as_micros() * 1_000 / total).min(1_000) as u16
}

/// Result of the decision whether a slot may be used now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// This VM dispatches its next request.
    Dispatch,
    /// This VM leaves the free slots to its peers until a time.
    DeferUntil(Time),
}

/// Events of [`PeerQueues`] since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeferralCounts {
    /// Free slots, counted once for each endpoint and time, that were left to peers.
    pub deferred: u64,
    /// Times a slot was used by this VM after all because no peer had used it.
    pub unused: u64,
}

#[derive(Clone, Copy, Debug)]
struct PeerQueue {
    summary: QueueSummary,
    arrived_at: Time,
}

/// The queues of the other dispatchers, and the slots that are left to them.
#[derive(Clone, Debug, Default)]
pub struct PeerQueues {
    /// Name of this VM, once it is known.
    me: Option<Name>,
    peers: FxHashMap<Name, PeerQueue>,
    /// The VMs that dispatch for the service in this VM's view; none while it is unknown.
    dispatchers: Option<Vec<Name>>,
    /// Endpoints with a slot that this VM could have used, and since when. Times are recorded for
    /// each endpoint because a total of free slots would hide one that nobody uses while the
    /// others change.
    free_since: FxHashMap<EndpointKey, Time>,
    counts: DeferralCounts,
}

impl PeerQueues {
    /// Applies this VM's name and the names of the dispatchers in its view; others are dropped.
    pub fn set_dispatchers(&mut self, me: &Name, dispatchers: &[Name]) {
        if self.me.as_ref() == Some(me) && self.dispatchers.as_deref() == Some(dispatchers) {
            return;
        }
        self.me = Some(me.clone());
        self.peers.retain(|peer, _| dispatchers.contains(peer));
        self.dispatchers = Some(dispatchers.to_vec());
    }

    /// Records the summary of a peer unless a later one has arrived already.
    pub fn on_summary(&mut self, now: Time, from: &Name, summary: QueueSummary) {
        self.remove_expired(now);
        let is_dispatcher = self.dispatchers.as_ref().is_none_or(|names| names.contains(from));
        let is_new = !self.peers.contains_key(from);
        if !is_dispatcher
            || self.me.as_ref() == Some(from)
            || is_new && self.peers.len() >= MAX_PEERS
        {
            return;
        }
        let recorded = self.peers.get(from);
        if recorded.is_none_or(|recorded| summary.is_later_than(&recorded.summary)) {
            self.peers.insert(from.clone(), PeerQueue { summary, arrived_at: now });
        }
    }

    /// Drops summaries that are too old, as after a pause.
    pub fn remove_expired(&mut self, now: Time) {
        self.peers.retain(|_, peer| now.since(peer.arrived_at) < SUMMARY_TTL);
    }

    /// Drops all peers and deferrals.
    pub fn clear(&mut self) {
        self.peers.clear();
        self.free_since.clear();
    }

    /// Ends all deferrals, since no request waits for a slot.
    pub fn on_queue_empty(&mut self) {
        self.free_since.clear();
    }

    /// Returns the number of requests that are queued at peers, of `class` and more urgent ones.
    pub fn queued_up_to(&self, now: Time, class: Class) -> u64 {
        let queued = |peer: &PeerQueue| -> u64 {
            peer.summary.classes[..=class as usize].iter().map(|it| u64::from(it.queued)).sum()
        };
        self.live(now).map(|(_, peer)| queued(peer)).sum()
    }

    /// Returns the number of requests that are queued at peers and precede `head`.
    ///
    /// Only the urgency of the first request of a class is known. Under load the others are
    /// spread evenly between it and none, so the number that precedes `head` is interpolated.
    pub fn requests_ahead(&self, now: Time, head: &QueueHead) -> u64 {
        let mut ahead = 0;
        for (name, peer) in self.live(now) {
            let (urgent, rest) = peer.summary.classes.split_at(head.class as usize);
            ahead += urgent.iter().map(|class| u64::from(class.queued)).sum::<u64>();
            let same = rest[0];
            let is_ahead =
                (same.used_permille, self.me.as_ref()) > (head.used_permille, Some(name));
            if same.queued > 0 && is_ahead {
                let used = u64::from(same.used_permille.max(1));
                let lead = u64::from(same.used_permille - head.used_permille);
                ahead += 1 + u64::from(same.queued - 1) * lead / used;
            }
        }
        ahead
    }

    /// Decides whether this VM may dispatch its next request to one of the free slots that the
    /// request accepts, given as endpoints with their number of free slots.
    ///
    /// A slot is left to peers for a time that grows with the number of their requests that
    /// precede, counted from the moment at which the slot could first have been used.
    pub fn may_dispatch(
        &mut self,
        now: Time,
        head: &QueueHead,
        free: &[(EndpointKey, u32)],
    ) -> SlotDecision {
        let free_slots: u64 = free.iter().map(|(_, slots)| u64::from(*slots)).sum();
        let ahead = self.requests_ahead(now, head);
        self.free_since.retain(|key, _| free.iter().any(|(free, _)| free == key));
        if ahead < free_slots || head.time_left < MAX_DEFERRAL || free_slots == 0 {
            return SlotDecision::Dispatch;
        }
        for (key, _) in free {
            if !self.free_since.contains_key(key) {
                self.free_since.insert(*key, now);
                self.counts.deferred += 1;
            }
        }
        let steps = u32::try_from(ahead / free_slots).unwrap_or(u32::MAX);
        let deferral = DEFERRAL_STEP.saturating_mul(steps).min(MAX_DEFERRAL);
        let first = self.free_since.values().min().copied().unwrap_or(now);
        if now >= first + deferral {
            self.counts.unused += 1;
            SlotDecision::Dispatch
        } else {
            SlotDecision::DeferUntil(first + deferral)
        }
    }

    /// Returns how often slots were left to peers.
    pub fn counts(&self) -> DeferralCounts {
        self.counts
    }

    fn live(&self, now: Time) -> impl Iterator<Item = (&Name, &PeerQueue)> {
        self.peers.iter().filter(move |(_, peer)| now.since(peer.arrived_at) < SUMMARY_TTL)
    }
}
