//! State updates between the VMs that dispatch for one shard.
//!
//! Each VM maintains the view that a single owner would have: how many requests are in flight at
//! each endpoint, and how those of the other VMs ended. A lost update leaves the view slightly
//! stale until the next one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    DispatchConditions, QueueSummary, RequestCounts, Shard, ShardAction, state::AttemptState,
};
use crate::{
    hash,
    name::Name,
    ownership::ShardId,
    rate_limit::RateUpdate,
    request::{AttemptId, Class, FIRST_FAILURE_STATUS},
    retry::RetryRights,
    time::Time,
};

/// Time after which another VM's count of requests in flight expires. A VM that has crashed sends
/// no further update; few requests take longer than this.
const PEER_COUNT_TTL: Duration = Duration::from_secs(3);

/// Maximum number of endpoints in one message: each takes about 20 bytes of the 1,200 that a
/// message may have.
const MAX_ENDPOINTS_PER_UPDATE: usize = 32;

/// Hash of an endpoint's name. It replaces the longer name in messages between VMs that have the
/// same configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointKey([u8; 8]);

impl EndpointKey {
    /// Returns the key of an endpoint.
    pub fn of(endpoint: &str) -> EndpointKey {
        EndpointKey(hash::mix(hash::fnv(endpoint.as_bytes())).to_le_bytes())
    }
}

/// An update from one VM to the others that dispatch for the same shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardUpdate {
    /// The shard.
    pub shard: ShardId,
    /// The sender's requests that have completed since its last update.
    pub request_counts: RequestCounts,
    /// Rights to send retries that the sender would give to others.
    pub spare_retries: RetryRights,
    /// Number of VMs that the sender knows, if it has joined the fleet.
    pub known_vms: Option<u32>,
    /// Endpoints whose state has changed.
    pub endpoints: Vec<EndpointUpdate>,
    /// What the sender has queued, if the service has a queue over the fleet.
    pub queue: Option<QueueSummary>,
}

/// An update on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests that the sender has in flight there.
    pub in_flight: u32,
    /// How one of them has just been answered, if one was.
    pub ended: Option<EndedAttempt>,
    /// The rate limit that the endpoint announces, if it does.
    pub rate: Option<RateUpdate>,
    /// Whether the endpoint has said that it is leaving.
    pub leaving: bool,
}

/// The end of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// Class of the request.
    pub class: Class,
    /// What the endpoint did.
    pub result: AttemptResult,
    /// Time from the dispatch to the head of the answer, or to the broken connection.
    pub latency_us: u64,
    /// Time since then.
    pub age_us: u64,
    /// Conditions at the dispatch, if the time is evidence about the endpoint's speed.
    pub conditions: Option<DispatchConditions>,
}

/// Unreported change of an endpoint: the end of an attempt there and its time, if one has ended.
type EndpointChange = (Name, Option<(EndedAttempt, Time)>);

/// Result of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// It answered.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// It closed or reset the connection.
    Broken,
    /// Another endpoint answered at its address.
    Misdirected,
}

impl AttemptResult {
    /// Returns whether the endpoint failed the request.
    pub fn is_failure(self) -> bool {
        !matches!(self, AttemptResult::Answered { status } if status < FIRST_FAILURE_STATUS)
    }
}

impl ShardUpdate {
    /// Removes what broken connections seem to show about endpoints.
    ///
    /// They show nothing while this VM may have lost its own paths to all of them, and other VMs
    /// would avoid sound endpoints.
    #[must_use]
    pub fn without_broken_connections(mut self) -> ShardUpdate {
        for update in &mut self.endpoints {
            update.ended = update.ended.filter(|ended| ended.result != AttemptResult::Broken);
        }
        self
    }
}

impl Shard {
    /// Applies an update of another VM that dispatches for this shard.
    ///
    /// Answers and broken connections count as evidence. A missing answer does not because the
    /// other VM's own network path may be at fault. Broken connections are included because
    /// endpoints can have episodes in which they reset connections, and each VM would otherwise
    /// detect each episode by a failed request of its own.
    ///
    /// An endpoint that is not in this VM's configuration is ignored.
    pub fn on_update(&mut self, now: Time, from: &Name, update: &ShardUpdate) -> Vec<ShardAction> {
        if update.shard != self.id {
            return Vec::new();
        }
        self.failure_rate.on_peer_counts(update.request_counts);
        self.fleet_queue.on_summary(now, from, update.queue);
        if let Some(budget) = self.retry_budget.fleet() {
            budget.on_peer_spare(now, from, update.spare_retries);
            budget.on_peer_known_vms(now, from, update.known_vms);
        }
        for entry in &update.endpoints {
            if let Some(endpoint) = self.pool.endpoint_by_key(entry.endpoint) {
                self.on_endpoint_update(now, from, &endpoint, entry);
            }
        }
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    fn on_endpoint_update(
        &mut self,
        now: Time,
        from: &Name,
        endpoint: &Name,
        update: &EndpointUpdate,
    ) {
        let until = now + PEER_COUNT_TTL;
        self.pool.set_peer_in_flight(now, endpoint, from, update.in_flight, until);
        self.on_peer_rate_limit(now, from, endpoint, update);
        if update.leaving {
            self.on_peer_said_leaving(now, endpoint);
        }
        let Some(ended) = update.ended else { return };
        let sent_at =
            now.before(Duration::from_micros(ended.age_us.saturating_add(ended.latency_us)));
        self.pool.on_peer_request_received(endpoint, sent_at);
        let actions = self.health.on_peer_attempt_ended(now, endpoint, ended);
        self.on_health_actions(now, actions);
        if !ended.result.is_failure() {
            self.latency.record(Duration::from_micros(ended.latency_us));
            self.pool.on_peer_answer(now, endpoint, ended);
        }
    }

    /// Queues a failure for the other VMs as soon as it is known, so that their next requests
    /// avoid the endpoint.
    pub(super) fn queue_failure_report(&mut self, attempt: AttemptId) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        if !state.unreported.is_some_and(|(result, _)| result.is_failure()) {
            return;
        }
        let unreported = state.unreported.take();
        let state = state.clone();
        self.queue_ended_attempt(&state, unreported);
    }

    /// Queues the end of an attempt for the other VMs.
    pub(super) fn queue_attempt_end(&mut self, state: &AttemptState) {
        self.queue_ended_attempt(state, state.unreported);
    }

    fn queue_ended_attempt(
        &mut self,
        state: &AttemptState,
        unreported: Option<(AttemptResult, Time)>,
    ) {
        let Some((result, ended_at)) = unreported.filter(|_| self.is_shared) else { return };
        if state.request.is_none() {
            return;
        }
        let latency_us = ended_at.since(state.dispatched_at).as_micros() as u64;
        let conditions = self.pool.speed_conditions(state);
        let ended = EndedAttempt { class: state.class, result, latency_us, age_us: 0, conditions };
        self.ended_attempts.push((state.endpoint.clone(), ended, ended_at));
    }

    /// Broadcasts the changes of the current event to the other VMs.
    pub(super) fn broadcast_updates(&mut self, now: Time) {
        let changed = self.pool.take_changed_endpoints();
        if !self.is_shared {
            return;
        }
        let ended = std::mem::take(&mut self.ended_attempts);
        let mut changes: Vec<EndpointChange> =
            ended.into_iter().map(|(endpoint, ended, at)| (endpoint, Some((ended, at)))).collect();
        for endpoint in changed {
            if changes.iter().all(|(name, _)| *name != endpoint) {
                changes.push((endpoint, None));
            }
        }
        let (spare_retries, known_vms) = (self.spare_retries(now), self.known_vms());
        for part in changes.chunks(MAX_ENDPOINTS_PER_UPDATE) {
            let queue = self.take_queue_summary(now);
            let endpoint = |(name, ended): &EndpointChange| EndpointUpdate {
                endpoint: EndpointKey::of(name),
                in_flight: self.pool.in_flight_at(name),
                ended: ended.map(|(ended, at)| EndedAttempt {
                    age_us: now.since(at).as_micros() as u64,
                    ..ended
                }),
                rate: self.pool.rate_update(now, name),
                leaving: self.pool.has_said_leaving(now, name),
            };
            let endpoints = part.iter().map(endpoint).collect();
            let (shard, request_counts) = (self.id.clone(), self.failure_rate.take_unreported());
            self.pending_actions.push(ShardAction::Broadcast(ShardUpdate {
                shard,
                request_counts,
                spare_retries,
                known_vms,
                endpoints,
                queue,
            }));
        }
        self.broadcast_queue_summary(now);
    }
}
