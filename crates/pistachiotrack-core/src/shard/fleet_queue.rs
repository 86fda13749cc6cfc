//! The queue of this VM as part of a queue over all dispatchers of the service.

use std::{collections::BTreeSet, time::Duration};

use super::{
    PeerQueues, QueueSummary, Shard, ShardAction, ShardUpdate,
    peer_queues::{ClassSummary, DeferralCounts, QueueHead, SlotDecision, used_permille},
    state::PendingRequest,
};
use crate::{
    name::Name,
    request::{Class, RequestId},
    time::Time,
};

/// Maximum time between two summaries while requests are queued.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(100);
/// Bits of the first sequence number of a process; small numbers take fewer bytes.
const MAX_FIRST_SEQUENCE: u32 = 0xfff;

/// This VM's queued requests by class, and the queues of its peers.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetQueue {
    is_enabled: bool,
    peers: PeerQueues,
    /// Queued requests by the latest time at which they can be dispatched.
    by_class: [BTreeSet<(Time, RequestId)>; Class::ALL.len()],
    /// Sum over the same requests of 1/time, with the time in seconds from their arrival until
    /// their latest dispatch.
    inverse_times: [f64; Class::ALL.len()],
    next_sequence: u32,
    /// When the last summary was sent.
    summary_sent_at: Option<Time>,
    /// Whether the last summary that was sent had queued requests.
    peers_expect_requests: bool,
    /// Time at which the slots that are left to peers are used, if any are.
    deferred_until: Option<Time>,
}

/// What is queued over all dispatchers, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetQueueStatus {
    /// Requests that are queued at this VM.
    pub queued: u64,
    /// Requests that are queued at its peers, as far as it knows.
    pub queued_at_peers: u64,
    /// How often slots were left to peers.
    pub deferrals: DeferralCounts,
}

impl FleetQueue {
    /// Creates the state of a shard.
    ///
    /// Sequence numbers begin with a number of the process's own. Peers ignore those that begin
    /// lower than the last one from before a restart until that summary has expired.
    pub(super) fn new(seed: u64) -> FleetQueue {
        FleetQueue { next_sequence: seed as u32 & MAX_FIRST_SEQUENCE, ..FleetQueue::default() }
    }

    /// Switches the queue over the fleet on or off.
    pub(super) fn set_enabled(&mut self, is_enabled: bool) {
        if !is_enabled {
            self.peers.clear();
            self.deferred_until = None;
        }
        self.is_enabled = is_enabled;
    }

    pub(super) fn insert(&mut self, id: RequestId, pending: &PendingRequest) {
        let class = pending.request.class as usize;
        if self.by_class[class].insert((pending.not_after, id)) {
            self.inverse_times[class] += inverse_time(pending);
        }
    }

    pub(super) fn remove(&mut self, id: RequestId, pending: &PendingRequest) {
        let class = pending.request.class as usize;
        if self.by_class[class].remove(&(pending.not_after, id)) {
            self.inverse_times[class] -= inverse_time(pending);
        }
        if self.by_class[class].is_empty() {
            self.inverse_times[class] = 0.0;
        }
    }

    /// Drops what has expired during a pause, and does not count the pause as a deferral.
    pub(super) fn on_pause(&mut self, now: Time) {
        self.peers.remove_expired(now);
        self.peers.on_queue_empty();
        self.deferred_until = None;
    }

    /// Applies the summary of another VM.
    pub(super) fn on_summary(&mut self, now: Time, from: &Name, summary: Option<QueueSummary>) {
        if let (true, Some(summary)) = (self.is_enabled, summary) {
            self.peers.on_summary(now, from, summary);
        }
    }

    /// Returns the time of a new request relative to the mean of the queued ones of its class.
    ///
    /// Requests are served when they have used about the same fraction of their time, so a request
    /// with half the time waits half as long. The harmonic mean over the queue is the mean over
    /// the arrivals, since requests with more time are in the queue for longer.
    fn relative_time(&self, class: Class, time: Duration) -> f64 {
        let queued = &self.by_class[class as usize];
        if queued.is_empty() {
            return 1.0;
        }
        time.as_secs_f64() * self.inverse_times[class as usize] / queued.len() as f64
    }

    fn queued_at_peers(&self, now: Time, class: Class) -> u64 {
        if self.is_enabled { self.peers.queued_up_to(now, class) } else { 0 }
    }
}

fn inverse_time(pending: &PendingRequest) -> f64 {
    1.0 / pending.not_after.since(pending.arrived).as_secs_f64().max(0.001)
}

impl Shard {
    /// Applies the names of this VM and of the dispatchers in its view.
    pub fn set_dispatcher_names(&mut self, me: &Name, dispatchers: &[Name]) {
        self.fleet_queue.peers.set_dispatchers(me, dispatchers);
    }

    /// Returns when the decision to leave slots to peers has to be made again.
    pub fn deferred_until(&self) -> Option<Time> {
        self.fleet_queue.deferred_until
    }

    /// Returns what is queued over all dispatchers, if the service has a queue over the fleet.
    pub fn fleet_queue_status(&self, now: Time) -> Option<FleetQueueStatus> {
        self.fleet_queue.is_enabled.then(|| FleetQueueStatus {
            queued: self.queue.len() as u64,
            queued_at_peers: self.fleet_queue.queued_at_peers(now, Class::Batch),
            deferrals: self.fleet_queue.peers.counts(),
        })
    }

    /// Returns the slots into which the counted queue drains, and the number of VMs among which
    /// rate limits are divided.
    ///
    /// Where peers' queues are counted, so are the slots that peers use.
    pub(super) fn draining_capacity(&self) -> (u32, u32) {
        if self.fleet_queue.is_enabled {
            (self.pool.fleet_capacity(), 1)
        } else {
            (self.pool.capacity(), self.dispatchers)
        }
    }

    /// Returns the expected queueing time of a new request.
    pub fn queue_wait(&self, now: Time) -> Duration {
        let at_peers = self.fleet_queue.queued_at_peers(now, Class::Batch);
        if self.queue.is_empty() && at_peers == 0 && self.pool.has_free_slot(now) {
            return Duration::ZERO;
        }
        self.drain_time(now, self.queue.len() as f64 + at_peers as f64 + 1.0)
    }

    /// Returns the expected queueing time of a customer's new request.
    ///
    /// `time` is the time until the request's latest dispatch.
    pub(super) fn expected_wait(
        &self,
        now: Time,
        customer: &Name,
        class: Class,
        time: Duration,
    ) -> Duration {
        let at_peers = self.fleet_queue.queued_at_peers(now, class);
        if self.queue.is_empty() && at_peers == 0 && self.pool.has_free_slot(now) {
            return Duration::ZERO;
        }
        let ahead = self.queue.requests_ahead(customer, class);
        if !self.fleet_queue.is_enabled {
            return self.drain_time(now, ahead);
        }
        let same_class = self.fleet_queue.by_class[class as usize].len() as f64;
        let urgent_at_peers = match class {
            Class::Interactive => 0,
            Class::Standard => self.fleet_queue.queued_at_peers(now, Class::Interactive),
            Class::Batch => self.fleet_queue.queued_at_peers(now, Class::Standard),
        };
        let same_class = same_class.min(ahead - 1.0) + (at_peers - urgent_at_peers) as f64;
        let relative_time = self.fleet_queue.relative_time(class, time);
        let others = ahead + at_peers as f64 - same_class;
        self.drain_time(now, others + same_class * relative_time)
    }

    /// Returns the time that a new request must have left beyond its expected wait, from the one
    /// without a queue over the fleet.
    ///
    /// What exceeds the reserve of a dispatch grows with the request's time. Were it the same for
    /// all, requests with little time would be refused at a shorter queue than others of their
    /// class.
    pub(super) fn fleet_reserve(
        &self,
        reserve: Duration,
        time_left: Duration,
        class: Class,
        time: Duration,
    ) -> Duration {
        if !self.fleet_queue.is_enabled {
            return reserve;
        }
        let of_dispatch = time_left.saturating_sub(time);
        let spare = reserve.saturating_sub(of_dispatch);
        of_dispatch + spare.mul_f64(self.fleet_queue.relative_time(class, time)).min(time / 2)
    }

    /// Returns whether the free slots are left to peers whose requests precede this VM's next one.
    pub(super) fn defers_to_peers(&mut self, now: Time, id: RequestId) -> bool {
        if !self.fleet_queue.is_enabled {
            return false;
        }
        let Some(pending) = self.pending.get(&id) else { return false };
        // This VM's place among its peers is that of its most urgent request, as peers see it. The
        // next request can be less urgent, since some turns are reserved for those; its deferral
        // would hold up the urgent ones behind it.
        let by_class = &self.fleet_queue.by_class;
        let most_urgent = Class::ALL.into_iter().find(|it| !by_class[*it as usize].is_empty());
        let class = most_urgent.unwrap_or(pending.request.class);
        let used_permille = self.class_summary(now, class).used_permille;
        let head = QueueHead { class, used_permille, time_left: pending.not_after.since(now) };
        let free = self.pool.free_slots(now, self.max_risk(now, pending));
        let decision = self.fleet_queue.peers.may_dispatch(now, &head, &free);
        self.fleet_queue.deferred_until = match decision {
            SlotDecision::Dispatch => None,
            SlotDecision::DeferUntil(until) => Some(until),
        };
        self.fleet_queue.deferred_until.is_some()
    }

    /// Returns the summary for an update that is sent now.
    ///
    /// It is absent while the queue is empty and was empty in the last summary.
    pub(super) fn take_queue_summary(&mut self, now: Time) -> Option<QueueSummary> {
        let is_sent = self.fleet_queue.is_enabled && !self.queue.is_empty();
        if !is_sent && !self.fleet_queue.peers_expect_requests {
            return None;
        }
        let mut summary = QueueSummary::default();
        if is_sent {
            for class in Class::ALL {
                summary.classes[class as usize] = self.class_summary(now, class);
            }
        }
        let fleet_queue = &mut self.fleet_queue;
        summary.sequence = fleet_queue.next_sequence;
        fleet_queue.next_sequence = fleet_queue.next_sequence.wrapping_add(1);
        fleet_queue.summary_sent_at = Some(now);
        fleet_queue.peers_expect_requests = !summary.is_empty();
        Some(summary)
    }

    /// Broadcasts a summary by itself if one is due, and ends deferrals of an empty queue.
    pub(super) fn broadcast_queue_summary(&mut self, now: Time) {
        if self.queue.is_empty() {
            self.fleet_queue.peers.on_queue_empty();
            self.fleet_queue.deferred_until = None;
        }
        let fleet_queue = &self.fleet_queue;
        let is_old = fleet_queue.summary_sent_at.is_none_or(|at| now.since(at) >= SUMMARY_INTERVAL);
        let has_requests = fleet_queue.is_enabled && !self.queue.is_empty();
        let is_due = if has_requests { is_old } else { fleet_queue.peers_expect_requests };
        if !is_due {
            return;
        }
        let queue = self.take_queue_summary(now);
        let (spare_retries, known_vms) = (self.spare_retries(now), self.known_vms());
        self.pending_actions.push(ShardAction::Broadcast(ShardUpdate {
            shard: self.id.clone(),
            request_counts: self.failure_rate.take_unreported(),
            spare_retries,
            known_vms,
            endpoints: Vec::new(),
            queue,
        }));
    }

    fn class_summary(&self, now: Time, class: Class) -> ClassSummary {
        let queued = &self.fleet_queue.by_class[class as usize];
        // The next request is known; for other classes it is taken to be the one with the least
        // time left.
        let next = self.queue.peek().and_then(|id| self.pending.get(&id));
        let next = next.filter(|pending| pending.request.class == class);
        let first = || queued.first().and_then(|(_, id)| self.pending.get(id));
        let used = next
            .or_else(first)
            .map(|pending| used_permille(now, pending.arrived, pending.not_after));
        ClassSummary {
            queued: u16::try_from(queued.len()).unwrap_or(u16::MAX),
            used_permille: used.unwrap_or_default(),
        }
    }

    /// Returns whether requests are queued at peers, which a hedge would displace.
    pub(super) fn are_peers_queueing(&self, now: Time) -> bool {
        self.fleet_queue.queued_at_peers(now, Class::Batch) > 0
    }
}
