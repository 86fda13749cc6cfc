//! What VMs that dispatch for one shard side by side tell each other.
//!
//! Each keeps the picture that a single owner would have: how many requests are
//! in flight at each endpoint and how those of the others ended. What is lost on
//! the way leaves the picture a little old, never wrong for long.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Served, Shard, ShardAction, state::Attempt};
use crate::{
    hash,
    health::EndpointEstimate,
    name::Name,
    ownership::ShardId,
    rate_limit::RateUpdate,
    request::{AttemptId, Class, FIRST_FAILURE_STATUS},
    retry::{CumulativeCounts, SendCounts},
    time::Time,
};

/// Time for which another VM's count of requests in flight is believed without a
/// newer one. A VM that dies tells nothing any more; few requests take longer.
const COUNT_LIFETIME: Duration = Duration::from_secs(3);

/// Time for which requests wait for a picture: some round trips between data centres
/// of one region. A picture that is lost, or that nobody has, costs no more than that.
const PICTURE_WAIT: Duration = Duration::from_millis(20);

/// Endpoints in one message: each takes some 20 bytes of the 1,200 that one may have.
const MAX_ENDPOINTS: usize = 32;

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
pub struct ShardNews {
    /// The shard.
    pub shard: ShardId,
    /// The sender's requests that came to their end since it last told anything.
    pub finished: Served,
    /// All that the sender has sent as a dispatcher.
    pub sent: CumulativeCounts,
    /// What has changed at the endpoints.
    pub endpoints: Vec<EndpointNews>,
}

/// What a VM tells of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNews {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests that the sender has in flight there.
    pub in_flight: u32,
    /// How one of them was just answered, if one was.
    pub ended: Option<EndedAttempt>,
    /// The limit that the endpoint names, if it does.
    pub rate: Option<RateUpdate>,
}

/// What a VM believes of a shard's endpoints, for one that has just begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardPicture {
    /// The shard.
    pub shard: ShardId,
    /// The endpoints that it has seen at work.
    pub beliefs: Vec<EndpointEstimate>,
    /// What all dispatchers have sent in the last window of the limit of retries,
    /// newest first; empty if the sender doesn't know.
    pub sent: Vec<SendCounts>,
    /// Endpoints that name a limit.
    pub rates: Vec<(EndpointKey, RateUpdate)>,
}

/// How an endpoint answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// Class of the request.
    pub class: Class,
    /// What came of it.
    pub ending: Ending,
    /// Time from the dispatch to the head of the answer, or to the break.
    pub latency_us: u64,
    /// Time since then.
    pub age_us: u64,
}

/// What is to be told of an endpoint: how an attempt ended there and when, if one did.
type Untold = (Name, Option<(EndedAttempt, Time)>);

/// What an endpoint did with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
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

impl Ending {
    /// Returns whether the endpoint failed the request.
    pub fn is_failure(self) -> bool {
        !matches!(self, Ending::Answered { status } if status < FIRST_FAILURE_STATUS)
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
    pub fn on_news(&mut self, now: Time, from: &Name, news: &ShardNews) -> Vec<ShardAction> {
        if news.shard != self.id {
            return Vec::new();
        }
        self.strain.on_peer(news.finished);
        if let Some(budget) = self.retries.fleet() {
            budget.on_peer_counts(now, from, news.sent);
        }
        for told in &news.endpoints {
            if let Some(endpoint) = self.pool.name_of(told.endpoint) {
                self.on_endpoint_news(now, from, &endpoint, told);
            }
        }
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    fn on_endpoint_news(&mut self, now: Time, from: &Name, endpoint: &Name, told: &EndpointNews) {
        let until = now + COUNT_LIFETIME;
        self.pool.set_peer_count(now, endpoint, from, told.in_flight, until);
        self.on_rate_news(now, from, endpoint, told);
        let Some(ended) = told.ended else { return };
        let actions = self.health.on_peer_attempt_ended(now, endpoint, ended);
        self.on_health_actions(now, actions);
        if !ended.ending.is_failure() {
            self.latency.record(Duration::from_micros(ended.latency_us));
        }
    }

    /// Returns what this VM believes of the endpoints.
    pub fn picture(&mut self, now: Time) -> ShardPicture {
        let sent = self.retries.fleet().map(|budget| budget.history(now)).unwrap_or_default();
        let (beliefs, rates) = (self.health.estimates(now), self.pool.rate_limits(now));
        ShardPicture { shard: self.id.clone(), beliefs, sent, rates }
    }

    /// Notes that other VMs were asked for a picture; until one comes, or none can be
    /// expected any more, requests wait.
    ///
    /// Failure guarded against: a VM that callers seldom use knows nothing of the
    /// endpoints, and sends what it gets to any of them. It shows as many of these
    /// requests failing. The guard holds because the picture is there within a round
    /// trip. It is of no help in the first second after a loss of all VMs, when nobody
    /// knows more.
    pub fn on_picture_asked(&mut self, now: Time) {
        self.picture_due = self.mechanisms.snapshot_wait.then(|| now + PICTURE_WAIT);
    }

    pub(super) fn awaits_picture(&self, now: Time) -> bool {
        self.picture_due.is_some_and(|due| now < due)
    }

    /// Takes what another VM believes of the endpoints.
    pub fn on_picture(&mut self, now: Time, picture: &ShardPicture) -> Vec<ShardAction> {
        if picture.shard != self.id {
            return Vec::new();
        }
        self.picture_due = None;
        let actions = self.health.on_estimates(now, &picture.beliefs);
        self.on_health_actions(now, actions);
        if let Some(budget) = self.retries.fleet() {
            budget.on_history(now, &picture.sent);
        }
        self.on_rates(now, &picture.rates);
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    /// Tells of a failure at once: the next request of another VM should not be
    /// the one that finds it out.
    pub(super) fn tell_failure(&mut self, attempt: AttemptId) {
        let Some(of) = self.attempts.get_mut(&attempt) else { return };
        if !of.untold.is_some_and(|(ending, _)| ending.is_failure()) {
            return;
        }
        let untold = of.untold.take();
        let of = of.clone();
        self.note(&of, untold);
    }

    /// Notes the end of an attempt for the other VMs.
    pub(super) fn note_ended(&mut self, of: &Attempt) {
        self.note(of, of.untold);
    }

    fn note(&mut self, of: &Attempt, untold: Option<(Ending, Time)>) {
        let Some((ending, ended_at)) = untold.filter(|_| self.is_shared) else { return };
        if of.request.is_none() {
            return;
        }
        let latency_us = ended_at.since(of.dispatched_at).as_micros() as u64;
        let ended = EndedAttempt { class: of.class, ending, latency_us, age_us: 0 };
        self.ended.push((of.endpoint.clone(), ended, ended_at));
    }

    /// Tells the other VMs what has changed in the event that ends.
    pub(super) fn tell_news(&mut self, now: Time) {
        let changed = self.pool.take_changed();
        if !self.is_shared {
            return;
        }
        let ended = std::mem::take(&mut self.ended);
        let mut told: Vec<Untold> =
            ended.into_iter().map(|(endpoint, ended, at)| (endpoint, Some((ended, at)))).collect();
        for endpoint in changed {
            if told.iter().all(|(name, _)| *name != endpoint) {
                told.push((endpoint, None));
            }
        }
        let sent = self.retries.fleet().map(|budget| budget.total()).unwrap_or_default();
        for part in told.chunks(MAX_ENDPOINTS) {
            let endpoint = |(name, ended): &Untold| EndpointNews {
                endpoint: EndpointKey::of(name),
                in_flight: self.pool.in_flight_at(name),
                ended: ended.map(|(ended, at)| EndedAttempt {
                    age_us: now.since(at).as_micros() as u64,
                    ..ended
                }),
                rate: self.pool.rate_news(now, name),
            };
            let endpoints = part.iter().map(endpoint).collect();
            let (shard, finished) = (self.id.clone(), self.strain.take_untold());
            self.out.push(ShardAction::Tell(ShardNews { shard, finished, sent, endpoints }));
        }
    }
}
