//! From a request's arrival to its dispatch.

use std::time::Duration;

use super::{
    Dispatch, Grounds, Shard, ShardAction,
    pool::{Pick, Wanted},
    state::{Attempt, Live, Phase},
};
use crate::{
    admission::QueueEntry,
    health::{AttemptKind, HealthState},
    idempotency::Claim,
    name::Name,
    refusal::Reason,
    request::{AttemptId, Class, ConnectionChoice, RequestId, remaining},
    time::Time,
};

/// Multiple of the 95th percentile of the answer time that is left to a
/// request when it is dispatched, up to half of its time: a request that ends
/// at its deadline has held a slot for nothing.
const RESERVE_TIMES_P95: f64 = 1.5;
/// The same when it is admitted; more, since the expected wait is a mean.
const ADMIT_TIMES_P95: u32 = 2;
/// Multiple of the usual service time that a request on an endpoint under
/// trial must have left, so that a retry can still mend a failure.
const TRIAL_TIMES_USUAL: u32 = 4;
/// Time that it must have left while the usual service time is unknown.
const TRIAL_MIN_LEFT: Duration = Duration::from_millis(500);
/// Multiple of the 95th percentile after which an attempt that can be retried
/// is given up.
const GIVE_UP_TIMES_P95: u32 = 4;
/// Largest risk that a request takes while it can wait; an endpoint of which
/// nothing is known is below.
const PATIENT_RISK: f64 = 0.25;
/// Part of its time for which it waits, if it may run again and if it must not: the
/// first can be sent once more when it fails, the second is lost.
const PATIENCE_PARTS: (f64, f64) = (0.5, 0.85);
/// Requests that may always wait while it does.
const PATIENT_QUEUE: usize = 8;
/// Time after which it is looked at again whether a silent attempt can be given up.
const GIVE_UP_AGAIN_AFTER: Duration = Duration::from_millis(100);
/// Shortest age of an attempt at which a hedge is sent.
const MIN_HEDGE_AGE: Duration = Duration::from_millis(2);
/// Shortest time that a refused caller is asked to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Time that a caller is asked to wait while no endpoint gets work.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time allowed for a health check.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

impl Shard {
    /// Decides what becomes of a request that has just come.
    pub(super) fn intake(&mut self, now: Time, id: RequestId) {
        let Some(live) = self.live.get(&id) else { return };
        let request = &live.request;
        if request.idempotent {
            return self.admit(now, id);
        }
        let Some(key) = request.key.clone() else {
            if request.repeat {
                return self.refuse_as_run(now, id, Reason::NoRecord);
            }
            return self.admit(now, id);
        };
        let (customer, repeat, deadline) =
            (request.customer.clone(), request.repeat, request.deadline);
        match self.keys.claim(now, &customer, &key, id, repeat) {
            Claim::Run => {
                if let Some(live) = self.live.get_mut(&id) {
                    live.holds_key = true;
                }
                self.admit(now, id);
            }
            Claim::Join => {
                if let Some(live) = self.live.get_mut(&id) {
                    live.phase = Phase::Joined;
                    live.not_after = deadline;
                }
                self.expiry.insert((deadline, id));
            }
            Claim::Replay(answer) => {
                self.live.remove(&id);
                self.out.push(ShardAction::Replay { request: id, answer });
            }
            Claim::OutcomeUnknown => self.refuse_as_run(now, id, Reason::Duplicate),
            Claim::NoRecord => self.refuse_as_run(now, id, Reason::NoRecord),
            Claim::TableFull => self.refuse(now, id, Reason::QueueFull, None),
        }
    }

    fn admit(&mut self, now: Time, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let left = remaining(live.request.deadline, now);
        if left.is_zero() {
            return self.refuse(now, id, Reason::DeadlinePassed, None);
        }
        let answer_time = self.latency.p95().or(self.usual.value()).unwrap_or_default();
        live.not_after = now + (left - (answer_time.mul_f64(RESERVE_TIMES_P95)).min(left / 2));
        let (customer, class) = (live.request.customer.clone(), live.request.class);
        if self.pool.usable(live.request.idempotent) == 0 {
            let hint = self.retry_hint(NO_ENDPOINT_RETRY_AFTER);
            return self.refuse(now, id, Reason::NoEndpoint, hint);
        }
        let wait = self.expected_wait(now, &customer, class);
        let needed = wait + (answer_time * ADMIT_TIMES_P95).min(left / 2);
        if !wait.is_zero() && needed > left {
            let hint = self.retry_hint(needed - left);
            return self.refuse(now, id, Reason::WaitTooLong, hint);
        }
        let is_full = self.queue.len() >= self.queue_limit;
        if is_full && (!self.queue.is_empty() || !self.pool.has_free_slot(now)) {
            let hint = self.retry_hint(self.queue_wait(now));
            let Some(victim) = self.queue.eviction_candidate(&customer, class) else {
                return self.refuse(now, id, Reason::QueueFull, hint);
            };
            self.refuse(now, victim, Reason::QueueFull, hint);
        }
        self.enqueue(id);
    }

    /// Puts a request into the queue, whatever the queue's limit.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        live.phase = Phase::Queued;
        let ticket = QueueEntry { deadline: live.request.deadline, request: id };
        self.queue.push(&live.request.customer, live.request.class, ticket);
        self.expiry.insert((live.not_after, id));
    }

    /// Returns the expected wait of a customer's new request.
    pub(super) fn expected_wait(&self, now: Time, customer: &Name, class: Class) -> Duration {
        if self.queue.is_empty() && self.pool.has_free_slot(now) {
            return Duration::ZERO;
        }
        self.drain_time(self.queue.requests_ahead(customer, class))
    }

    /// Returns the time in which so many requests leave the queue.
    pub(super) fn drain_time(&self, requests: f64) -> Duration {
        let usual = self.usual.value().unwrap_or_default();
        let limited = self.pool.limited_per_second() / f64::from(self.dispatchers);
        let capacity = self.pool.capacity();
        match (capacity, limited > 0.0) {
            (_, false) => usual.mul_f64(requests / f64::from(capacity.max(1))),
            (0, true) => Duration::from_secs_f64(requests / limited),
            // In the usual time, endpoints that name a limit take work beside the slots.
            (_, true) => {
                usual.mul_f64(requests / (f64::from(capacity) + usual.as_secs_f64() * limited))
            }
        }
    }

    /// Dispatches what waits as long as there are free slots.
    pub(super) fn dispatch_queue(&mut self, now: Time) {
        if self.awaits_picture(now) {
            return;
        }
        while let Some(id) = self.queue.peek() {
            let Some(live) = self.live.get(&id) else {
                self.queue.pop();
                continue;
            };
            if self.pool.usable(live.request.idempotent) == 0 {
                let hint = self.retry_hint(NO_ENDPOINT_RETRY_AFTER);
                self.refuse(now, id, Reason::NoEndpoint, hint);
                continue;
            }
            let Some(pick) = self.pick(now, id, true) else { return };
            self.queue.pop();
            if let Some(live) = self.live.get(&id) {
                self.expiry.remove(&(live.not_after, id));
            }
            self.start(now, id, pick);
        }
    }

    /// Sends a second attempt for requests whose first is slow.
    ///
    /// Only idle slots are used: while requests wait, a hedge would take the
    /// place of one that has not had its first attempt.
    pub(super) fn dispatch_hedges(&mut self, now: Time) {
        while let Some((at, id)) = self.hedges.first().copied() {
            if at > now {
                return;
            }
            self.hedges.pop_first();
            let is_due = self.live.get(&id).is_some_and(|live| {
                live.phase == Phase::Running
                    && live.in_flight.len() == 1
                    && live.may_be_sent()
                    && now < live.not_after
            });
            if !is_due || !self.queue.is_empty() {
                continue;
            }
            let Some(pick) = self.pick(now, id, false) else { continue };
            if pick.standing != HealthState::Trial && self.retries.take_spare(now) {
                self.start(now, id, pick);
            }
        }
    }

    fn pick(&mut self, now: Time, id: RequestId, allow_tried: bool) -> Option<Pick> {
        let live = self.live.get(&id)?;
        let left = remaining(live.request.deadline, now);
        let needed = self.usual.value().map_or(TRIAL_MIN_LEFT, |usual| usual * TRIAL_TIMES_USUAL);
        let may_try = live.tried.is_empty() && left >= needed && self.pool.usable(true) > 1;
        self.pool.pick(Wanted {
            idempotent: live.request.idempotent,
            may_try,
            tried: &live.tried,
            max_risk: self.max_risk(now, live),
            now,
            is_strained: self.mechanisms.coverage_on_failures && self.strain.is_strained(),
            allow_tried,
        })
    }

    /// Returns the largest risk that a request may be put to.
    ///
    /// A request is lost when it fails and has no attempt left, so it rather waits
    /// for an endpoint that has just answered, for a part of its time and as long
    /// as those that wait get their turn within it: beyond, all slots are needed. An
    /// endpoint that fails at once is always free, and would take in all that wait.
    fn max_risk(&self, now: Time, live: &Live) -> f64 {
        let part = if live.request.idempotent { PATIENCE_PARTS.0 } else { PATIENCE_PARTS.1 };
        let patience = live.not_after.since(live.arrived).mul_f64(part);
        let is_patient = self.mechanisms.wait_for_proven_endpoints
            && now.since(live.arrived) < patience
            && (self.queue.len() <= PATIENT_QUEUE || self.proven_drain_time() <= patience);
        if is_patient { PATIENT_RISK } else { 1.0 }
    }

    /// Returns the time in which the queue empties into this VM's part of the slots of
    /// endpoints that a patient request takes.
    ///
    /// Load: all callers come back at once after a loss of all VMs, so that dozens wait
    /// at each VM, while a third of the endpoints fails at once.
    fn proven_drain_time(&self) -> Duration {
        let slots = f64::from(self.pool.slots_within(PATIENT_RISK)) / f64::from(self.dispatchers);
        let usual = self.usual.value().unwrap_or_default();
        if slots == 0.0 { Duration::MAX } else { usual.mul_f64(self.queue.len() as f64 / slots) }
    }

    fn start(&mut self, now: Time, id: RequestId, pick: Pick) {
        let attempt = self.next_attempt_id();
        let give_up_at = self.give_up_at(now, id, pick.standing);
        let via = self.witness(&pick.name);
        let Some(live) = self.live.get_mut(&id) else { return };
        let kind = if pick.standing == HealthState::Trial {
            AttemptKind::Trial
        } else {
            AttemptKind::Request
        };
        // A witness ends an attempt by itself, so that its word is the endpoint's.
        let deadline = live.request.deadline;
        let time_limit = give_up_at.filter(|_| via.is_some()).unwrap_or(deadline);
        if let (Some(at), None) = (give_up_at, &via) {
            self.give_ups.insert((at, attempt));
        }
        let wants_fresh = self.health.wants_fresh_connection(&pick.name);
        let connection =
            if wants_fresh { ConnectionChoice::Fresh } else { connection(live, pick.standing) };
        if live.tried.is_empty() {
            self.retries.on_request(now);
        }
        live.phase = Phase::Running;
        live.in_flight.push(attempt);
        live.tried.push(pick.name.clone());
        live.sent += 1;
        let class = live.request.class;
        if live.request.idempotent
            && live.request.hedge
            && self.mechanisms.hedges
            && live.in_flight.len() == 1
            && let Some(age) = self.latency.p95()
        {
            self.hedges.insert((now + age.max(MIN_HEDGE_AGE), id));
        }
        self.attempts.insert(
            attempt,
            Attempt {
                request: Some(id),
                customer: Some(live.request.customer.clone()),
                endpoint: pick.name.clone(),
                via: via.clone(),
                kind,
                dispatched_at: now,
                time_limit,
                answered: false,
                is_given_up: false,
                class,
                untold: None,
            },
        );
        self.out.push(ShardAction::Dispatch(Dispatch {
            request: id,
            attempt,
            endpoint: pick.name.clone(),
            grounds: Grounds {
                choice: pick.choice,
                risk_permille: (self.health.risk(now, &pick.name) * 1_000.0) as u16,
                last_seen_ms_ago: self
                    .health
                    .last_observed_at(&pick.name)
                    .map(|seen| now.since(seen).as_millis() as u64),
            },
            address: pick.address,
            via: via.clone(),
            connection,
            not_after: live.not_after,
            time_limit,
        }));
        self.pool.acquire(now, &pick.name);
        self.health.on_dispatch(now, attempt, &pick.name, class, kind);
        if connection == ConnectionChoice::Fresh {
            self.health.on_fresh_connection(attempt);
        }
        if via.is_some() {
            self.health.on_sent_via_relay(attempt);
        }
    }

    /// Gives up attempts that have been silent for long, where others can follow.
    ///
    /// Failure guarded against: an attempt is broken off, and there is no time, no
    /// retry or no endpoint left for another. It shows as "unknown" long before the
    /// deadline while the endpoint is at work. The guard holds because the retry is
    /// taken from the budget before the attempt is given up, and an attempt without
    /// one goes on.
    pub(super) fn give_up_due(&mut self, now: Time) {
        while let Some((at, attempt)) = self.give_ups.first().copied() {
            if at > now {
                return;
            }
            self.give_ups.pop_first();
            let Some(request) = self.silent_request(now, attempt) else { continue };
            if self.pool.usable(true) > 1 && self.retries.take(now) {
                if let Some(of) = self.attempts.get_mut(&attempt) {
                    of.is_given_up = true;
                }
                self.out.push(ShardAction::GiveUp { request, attempt });
            } else {
                self.give_ups.insert((now + GIVE_UP_AGAIN_AFTER, attempt));
            }
        }
    }

    /// Returns the request of an attempt that is its only one and has brought no
    /// answer, if it may be sent to another endpoint.
    fn silent_request(&self, now: Time, attempt: AttemptId) -> Option<RequestId> {
        let of = self.attempts.get(&attempt).filter(|of| !of.answered)?;
        let request = of.request?;
        let live = self.live.get(&request)?;
        let may_follow = live.in_flight == [attempt] && live.may_be_sent() && now < live.not_after;
        may_follow.then_some(request)
    }

    /// Returns the moment from which on an attempt is better given up.
    ///
    /// An endpoint that hangs shows by silence until the deadline, when a
    /// retry is too late. An idempotent request that has another endpoint
    /// left is therefore given up halfway, unless that is within the usual
    /// latencies.
    fn give_up_at(&self, now: Time, id: RequestId, standing: HealthState) -> Option<Time> {
        let live = self.live.get(&id)?;
        let deadline = live.request.deadline;
        let can_retry = self.mechanisms.attempt_abandonment
            && live.request.idempotent
            && live.sent + 1 < live.request.max_attempts
            && self.pool.usable(true) > 1;
        if !can_retry {
            return None;
        }
        let half = remaining(deadline, now) / 2;
        let patience = self.latency.p95().map(|p95| p95 * GIVE_UP_TIMES_P95);
        let allowed = match patience {
            Some(patience) if standing == HealthState::Trial => half.min(patience),
            Some(patience) => half.max(patience),
            None => half,
        };
        let give_up_at = now + allowed;
        (give_up_at < live.not_after).then_some(give_up_at)
    }

    /// Sends a health check, if a slot is free for it.
    pub(super) fn start_probe(&mut self, now: Time, endpoint: Name) {
        let Some(address) = self.pool.address(&endpoint) else { return };
        if !self.pool.may_probe(&endpoint) {
            return;
        }
        let attempt = self.next_attempt_id();
        let time_limit = now + PROBE_TIMEOUT;
        self.pool.acquire(now, &endpoint);
        self.health.on_dispatch(now, attempt, &endpoint, Class::Batch, AttemptKind::Probe);
        self.out.push(ShardAction::Probe {
            attempt,
            endpoint: endpoint.clone(),
            address,
            path: self.probe_path.clone(),
            time_limit,
        });
        let probe = Attempt {
            request: None,
            customer: None,
            endpoint,
            via: None,
            kind: AttemptKind::Probe,
            dispatched_at: now,
            time_limit,
            answered: false,
            is_given_up: false,
            class: Class::Batch,
            untold: None,
        };
        self.attempts.insert(attempt, probe);
    }

    /// Returns a retry hint that spreads the callers that get it.
    pub(super) fn retry_hint(&mut self, wait: Duration) -> Option<u64> {
        let wait_ms = wait.max(MIN_RETRY_AFTER).as_millis() as u64;
        Some(wait_ms + self.pool.random_below(wait_ms / 2))
    }

    fn next_attempt_id(&mut self) -> AttemptId {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        attempt
    }
}

/// Returns what the connection of the next attempt must be like.
///
/// A pooled connection can have gone silent while the endpoint is well. A
/// request that must not be repeated would be lost on it with an unknown
/// outcome, so it gets one that has answered lately, or a new one if there
/// are doubts about the endpoint. A retry after a pooled connection failed
/// gets a new one, which tells the two causes apart.
fn connection(live: &Live, standing: HealthState) -> ConnectionChoice {
    let in_doubt =
        matches!(standing, HealthState::Suspect | HealthState::HeldByFloor | HealthState::Trial);
    if live.needs_fresh || standing == HealthState::Trial {
        ConnectionChoice::Fresh
    } else if live.request.idempotent {
        ConnectionChoice::Any
    } else if in_doubt {
        ConnectionChoice::Fresh
    } else {
        ConnectionChoice::RecentlyUsed
    }
}
