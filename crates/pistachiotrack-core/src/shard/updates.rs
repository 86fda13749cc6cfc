//! What VMs that dispatch for one shard side by side tell each other.
//!
//! Each keeps the picture that a single owner would have: how many requests are
//! in flight at each endpoint and how those of the others ended. What is lost on
//! the way leaves the picture a little old, never wrong for long.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{RequestCounts, Shard, ShardAction, state::AttemptState};
use crate::{
    hash,
    health::BeliefOf,
    name::Name,
    ownership::ShardId,
    rate_limit::RateNews,
    request::{AttemptId, Class, FIRST_FAILURE_STATUS},
    retry::{Sent, SentTotal},
    time::Time,
};

/// Time for which another VM's count of requests in flight is believed without a
/// newer one. A VM that dies tells nothing any more; few requests take longer.
const PEER_COUNT_TTL: Duration = Duration::from_secs(3);

/// Time for which requests wait for a picture: some round trips between data centres
/// of one region. A picture that is lost, or that nobody has, costs no more than that.
const SNAPSHOT_WAIT: Duration = Duration::from_millis(20);

/// Endpoints in one message: each takes some 20 bytes of the 1,200 that one may have.
const MAX_ENDPOINTS_PER_UPDATE: usize = 32;

/// An endpoint's name as it travels between VMs that have the same configuration: its hash,
/// which is shorter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointKey([u8; 8]);

impl EndpointKey {
    /// Returns the key of an endpoint.
    pub fn of(endpoint: &str) -> EndpointKey {
        EndpointKey(hash::mix(hash::fnv(endpoint.as_bytes())).to_le_bytes())
    }
}

/// What a VM tells the others that dispatch for the same shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardUpdate {
    /// The shard.
    pub shard: ShardId,
    /// The sender's requests that came to their end since it last told anything.
    pub request_counts: RequestCounts,
    /// All that the sender has sent as a dispatcher.
    pub sent: SentTotal,
    /// What has changed at the endpoints.
    pub endpoints: Vec<EndpointUpdate>,
}

/// What a VM tells of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests that the sender has in flight there.
    pub in_flight: u32,
    /// How one of them was just answered, if one was.
    pub ended: Option<EndedAttempt>,
    /// The limit that the endpoint names, if it does.
    pub rate: Option<RateNews>,
}

/// What a VM believes of a shard's endpoints, for one that has just begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSnapshot {
    /// The shard.
    pub shard: ShardId,
    /// The endpoints that it has seen at work.
    pub estimates: Vec<BeliefOf>,
    /// What all dispatchers have sent in the last window of the limit of retries,
    /// newest first; empty if the sender doesn't know.
    pub sent: Vec<Sent>,
    /// Endpoints that name a limit.
    pub rate_limits: Vec<(EndpointKey, RateNews)>,
}

/// How an endpoint answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// Class of the request.
    pub class: Class,
    /// What came of it.
    pub result: AttemptResult,
    /// Time from the dispatch to the head of the answer, or to the break.
    pub latency_us: u64,
    /// Time since then.
    pub age_us: u64,
}

/// What is to be told of an endpoint: how an attempt ended there and when, if one did.
type Unreported = (Name, Option<(EndedAttempt, Time)>);

/// What an endpoint did with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// It answered.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// It broke the connection.
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

impl Shard {
    /// Takes what another VM that dispatches for this shard tells.
    ///
    /// Answers and broken connections count as evidence; that another VM gets no
    /// answer at all may be the fault of its own path. Load: spells in which endpoints
    /// reset what they are sent. While breaks weren't told, each VM found each spell
    /// out by a request of its own.
    ///
    /// An endpoint that this VM's configuration doesn't have is left aside.
    pub fn on_update(&mut self, now: Time, from: &Name, update: &ShardUpdate) -> Vec<ShardAction> {
        if update.shard != self.id {
            return Vec::new();
        }
        self.failure_rate.on_peer_counts(update.request_counts);
        if let Some(budget) = self.retry_budget.fleet() {
            budget.on_peer(now, from, update.sent);
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
        let Some(ended) = update.ended else { return };
        let actions = self.health.on_peer_end(now, endpoint, ended);
        self.on_health_actions(now, actions);
        if !ended.result.is_failure() {
            self.latency.record(Duration::from_micros(ended.latency_us));
        }
    }

    /// Returns what this VM believes of the endpoints.
    pub fn snapshot(&mut self, now: Time) -> ShardSnapshot {
        let sent = self.retry_budget.fleet().map(|budget| budget.history(now)).unwrap_or_default();
        let (estimates, rate_limits) = (self.health.beliefs(now), self.pool.rate_limits(now));
        ShardSnapshot { shard: self.id.clone(), estimates, sent, rate_limits }
    }

    /// Notes that other VMs were asked for a picture; until one comes, or none can be
    /// expected any more, requests wait.
    ///
    /// Failure guarded against: a VM that callers seldom use knows nothing of the
    /// endpoints, and sends what it gets to any of them. It shows as many of these
    /// requests failing. The guard holds because the picture is there within a round
    /// trip. It is of no help in the first second after a loss of all VMs, when nobody
    /// knows more.
    pub fn on_snapshot_requested(&mut self, now: Time) {
        self.snapshot_deadline = self.mechanisms.picture_wait.then(|| now + SNAPSHOT_WAIT);
    }

    pub(super) fn awaits_snapshot(&self, now: Time) -> bool {
        self.snapshot_deadline.is_some_and(|due| now < due)
    }

    /// Takes what another VM believes of the endpoints.
    pub fn on_snapshot(&mut self, now: Time, snapshot: &ShardSnapshot) -> Vec<ShardAction> {
        if snapshot.shard != self.id {
            return Vec::new();
        }
        self.snapshot_deadline = None;
        let actions = self.health.on_beliefs(now, &snapshot.estimates);
        self.on_health_actions(now, actions);
        if let Some(budget) = self.retry_budget.fleet() {
            budget.on_history(now, &snapshot.sent);
        }
        self.on_snapshot_rate_limits(now, &snapshot.rate_limits);
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    /// Tells of a failure at once: the next request of another VM should not be
    /// the one that finds it out.
    pub(super) fn queue_failure_report(&mut self, attempt: AttemptId) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        if !state.unreported.is_some_and(|(result, _)| result.is_failure()) {
            return;
        }
        let unreported = state.unreported.take();
        let state = state.clone();
        self.queue_ended_attempt(&state, unreported);
    }

    /// Notes the end of an attempt for the other VMs.
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
        let ended = EndedAttempt { class: state.class, result, latency_us, age_us: 0 };
        self.ended_attempts.push((state.endpoint.clone(), ended, ended_at));
    }

    /// Tells the other VMs what has changed in the event that ends.
    pub(super) fn broadcast_updates(&mut self, now: Time) {
        let changed = self.pool.take_changed();
        if !self.is_shared {
            return;
        }
        let ended = std::mem::take(&mut self.ended_attempts);
        let mut changes: Vec<Unreported> =
            ended.into_iter().map(|(endpoint, ended, at)| (endpoint, Some((ended, at)))).collect();
        for endpoint in changed {
            if changes.iter().all(|(name, _)| *name != endpoint) {
                changes.push((endpoint, None));
            }
        }
        let sent = self.retry_budget.fleet().map(|budget| budget.total()).unwrap_or_default();
        for part in changes.chunks(MAX_ENDPOINTS_PER_UPDATE) {
            let endpoint = |(name, ended): &Unreported| EndpointUpdate {
                endpoint: EndpointKey::of(name),
                in_flight: self.pool.in_flight_at(name),
                ended: ended.map(|(ended, at)| EndedAttempt {
                    age_us: now.since(at).as_micros() as u64,
                    ..ended
                }),
                rate: self.pool.rate_update(now, name),
            };
            let endpoints = part.iter().map(endpoint).collect();
            let (shard, request_counts) = (self.id.clone(), self.failure_rate.take_unreported());
            self.pending_actions.push(ShardAction::Broadcast(ShardUpdate {
                shard,
                request_counts,
                sent,
                endpoints,
            }));
        }
    }
}
