//! Request dispatch: from the arrival of a request to its attempts.

use std::time::Duration;

use super::{
    Dispatch, SelectionDetails, Shard, ShardAction,
    pool::{Pick, PickCriteria},
    state::{AttemptState, PendingRequest, Phase},
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

/// Multiple of the 95th percentile of the answer time that must be left to a request when it is
/// dispatched, up to half of its time. A request that ends at its deadline has occupied a slot
/// for nothing.
const ANSWER_RESERVE_P95_FACTOR: f64 = 1.5;
/// The same at admission. It is higher because the expected wait is a mean.
const ADMISSION_RESERVE_P95_FACTOR: u32 = 2;
/// Multiple of the average slot time that a request must have left to be sent to an endpoint
/// under trial, so that there is time for a retry if it fails.
const TRIAL_SLOT_TIME_FACTOR: u32 = 4;
/// Time that it must have left while the average slot time is unknown.
const DEFAULT_TRIAL_TIME_LEFT: Duration = Duration::from_millis(500);
/// Highest risk that a request accepts while it can wait; an endpoint without any observations is
/// below it.
const MAX_RISK_WHILE_WAITING: f64 = 0.25;
/// Share of its time for which a request waits for a low-risk endpoint: if it may run again, and
/// if it must not. The first can be sent once more after a failure, the second is lost.
const LOW_RISK_WAIT_SHARES: (f64, f64) = (0.5, 0.85);
/// Queue length up to which requests always wait for a low-risk endpoint.
const LOW_RISK_WAIT_QUEUE_LEN: usize = 8;
/// Minimum age of an attempt at which a hedge is sent.
const MIN_HEDGE_AGE: Duration = Duration::from_millis(2);
/// Minimum time that a refused caller is asked to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Time since the last request that may run again after which a service counts as having none.
const IDEMPOTENT_REQUEST_MEMORY: Duration = Duration::from_secs(3);
/// Timeout of a health check.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

impl Shard {
    /// Processes a new request: checks its idempotency key and admits, joins, replays or refuses
    /// it.
    pub(super) fn process_request(&mut self, now: Time, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let request = &pending.request;
        if request.idempotent {
            return self.admit(now, id);
        }
        let Some(key) = request.key.clone() else {
            if request.repeat {
                return self.refuse_as_maybe_run(now, id, Reason::NoRecord);
            }
            return self.admit(now, id);
        };
        let (customer, repeat, deadline) =
            (request.customer.clone(), request.repeat, request.deadline);
        match self.keys.claim(now, &customer, &key, id, repeat) {
            Claim::Run => {
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.owns_key = true;
                }
                self.admit(now, id);
            }
            Claim::Join => {
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.phase = Phase::AwaitingOriginal;
                    pending.not_after = deadline;
                }
                self.dispatch_deadlines.insert((deadline, id));
            }
            Claim::Replay(answer) => {
                self.pending.remove(&id);
                self.pending_actions.push(ShardAction::Replay { request: id, answer });
            }
            Claim::OutcomeUnknown => self.refuse_as_maybe_run(now, id, Reason::Duplicate),
            Claim::NoRecord => self.refuse_as_maybe_run(now, id, Reason::NoRecord),
            Claim::TableFull => self.refuse(now, id, Reason::QueueFull, None),
        }
    }

    fn admit(&mut self, now: Time, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let time_left = remaining(pending.request.deadline, now);
        if time_left.is_zero() {
            return self.refuse(now, id, Reason::DeadlinePassed, None);
        }
        let answer_time = self.latency.p95().or(self.slot_time.value()).unwrap_or_default();
        pending.not_after =
            now + (time_left - (answer_time.mul_f64(ANSWER_RESERVE_P95_FACTOR)).min(time_left / 2));
        let (customer, class) = (pending.request.customer.clone(), pending.request.class);
        let pending_time = pending.not_after.since(pending.arrived);
        if !self.opens_in_time(now, id) {
            return self.refuse_as_closed(now, id);
        }
        let wait = self.expected_wait(now, &customer, class, pending_time);
        let reserve = (answer_time * ADMISSION_RESERVE_P95_FACTOR).min(time_left / 2);
        let needed = wait + self.fleet_reserve(reserve, time_left, class, pending_time);
        if !wait.is_zero() && needed > time_left {
            let retry_after_ms = self.jittered_retry_after_ms(needed - time_left);
            return self.refuse(now, id, Reason::WaitTooLong, retry_after_ms);
        }
        let is_full = self.queue.len() >= self.queue_limit;
        if is_full && (!self.queue.is_empty() || !self.pool.has_free_slot(now)) {
            let retry_after_ms = self.jittered_retry_after_ms(self.queue_wait(now));
            let Some(evicted) = self.queue.eviction_candidate(&customer, class) else {
                return self.refuse(now, id, Reason::QueueFull, retry_after_ms);
            };
            self.refuse(now, evicted, Reason::QueueFull, retry_after_ms);
        }
        self.enqueue_admitted(now, id);
    }

    /// Puts an admitted request into the queue, as a retry if an endpoint has received it before.
    fn enqueue_admitted(&mut self, now: Time, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        if !pending.request.prior.has_arrived() {
            return self.enqueue(id);
        }
        if !self.can_retry(now, id, 1) {
            return self.refuse(now, id, Reason::AnswerLost, None);
        }
        if self.held_retries.is_enabled() {
            return self.hold(now, id);
        }
        if !self.take_retry(now) {
            let retry_after_ms = self.jittered_retry_after_ms(self.queue_wait(now));
            return self.refuse(now, id, Reason::QueueFull, retry_after_ms);
        }
        self.enqueue(id);
    }

    /// Puts a request into the queue regardless of the queue's limit.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.phase = Phase::Queued;
        let queue_entry = QueueEntry { deadline: pending.request.deadline, request: id };
        self.queue.push(&pending.request.customer, pending.request.class, queue_entry);
        self.dispatch_deadlines.insert((pending.not_after, id));
        self.fleet_queue.insert(id, pending);
    }

    /// Takes a request out of the queue if it is queued.
    pub(super) fn leave_queue(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if pending.phase != Phase::Queued {
            return;
        }
        pending.phase = Phase::Running;
        let request = &pending.request;
        let queue_entry = QueueEntry { deadline: request.deadline, request: id };
        self.queue.remove(&request.customer, request.class, queue_entry);
        self.dispatch_deadlines.remove(&(pending.not_after, id));
        self.fleet_queue.remove(id, pending);
    }

    /// Returns the time in which `requests` requests leave the queue.
    pub(super) fn drain_time(&self, now: Time, requests: f64) -> Duration {
        let until_usable = self.pool.time_until_usable(now, true).unwrap_or_default();
        until_usable + self.drain_time_while_usable(requests)
    }

    fn drain_time_while_usable(&self, requests: f64) -> Duration {
        let slot_time = self.slot_time.value().unwrap_or_default();
        let (capacity, senders) = self.draining_capacity();
        let limited = self.pool.rate_limited_per_second() / f64::from(senders);
        match (capacity, limited > 0.0) {
            (_, false) => slot_time.mul_f64(requests / f64::from(capacity.max(1))),
            (0, true) => Duration::from_secs_f64(requests / limited),
            // Within one average slot time, endpoints with a rate limit take requests in addition to
            // the slots.
            (_, true) => slot_time
                .mul_f64(requests / (f64::from(capacity) + slot_time.as_secs_f64() * limited)),
        }
    }

    /// Dispatches queued requests as long as there are free slots.
    pub(super) fn dispatch_queue(&mut self, now: Time) {
        if self.awaits_snapshot(now) {
            return;
        }
        while let Some(id) = self.queue.peek() {
            if !self.pending.contains_key(&id) {
                self.queue.pop();
                continue;
            }
            if !self.opens_in_time(now, id) {
                self.refuse_as_closed(now, id);
                continue;
            }
            if self.defers_to_peers(now, id) {
                return;
            }
            let Some(pick) = self.pick(now, id, true) else { return };
            if !self.abandon_predecessor(now, id) {
                self.keep_attempt(now, id);
                continue;
            }
            self.queue.pop();
            if let Some(pending) = self.pending.get(&id) {
                self.dispatch_deadlines.remove(&(pending.not_after, id));
                self.fleet_queue.remove(id, pending);
            }
            self.dispatch(now, id, pick);
        }
    }

    /// Sends a second attempt for requests whose first is slow.
    ///
    /// Only idle slots are used: while requests are queued, a hedge would displace a request that
    /// has not had its first attempt. Nor does a hedge take the retry of a held request.
    pub(super) fn dispatch_hedges(&mut self, now: Time) {
        while let Some((at, id)) = self.hedge_times.first().copied() {
            if at > now {
                return;
            }
            self.hedge_times.pop_first();
            let is_due = self.pending.get(&id).is_some_and(|pending| {
                pending.phase == Phase::Running
                    && pending.in_flight.len() == 1
                    && pending.can_be_dispatched()
                    && now < pending.not_after
            });
            let is_idle = self.queue.is_empty() && self.held_retries.is_empty();
            if !is_due || !is_idle || self.are_peers_queueing(now) {
                continue;
            }
            let Some(pick) = self.pick(now, id, false) else { continue };
            if pick.health_state != HealthState::Trial && self.retry_budget.take_for_hedge(now) {
                self.dispatch(now, id, pick);
            }
        }
    }

    fn pick(&mut self, now: Time, id: RequestId, allow_already_tried: bool) -> Option<Pick> {
        let may_explore = |pending: &PendingRequest| pending.explores && pending.tried.is_empty();
        let explores = self.pending.get(&id).is_some_and(may_explore)
            && self.retry_budget.has_spare_retries(now);
        let allows_trial = self.retry_budget.allows_trial(now);
        let pending = self.pending.get(&id)?;
        let time_left = remaining(pending.request.deadline, now);
        let needed = self
            .slot_time
            .value()
            .map_or(DEFAULT_TRIAL_TIME_LEFT, |slot_time| slot_time * TRIAL_SLOT_TIME_FACTOR);
        let allow_trial = allows_trial
            && pending.tried.is_empty()
            && time_left >= needed
            && self.pool.usable_endpoints(true) > 1;
        self.pool.pick(PickCriteria {
            idempotent: pending.request.idempotent,
            allow_trial,
            allow_trial_by_any: self.has_no_idempotent_requests(now),
            explores,
            tried: &pending.tried,
            max_risk: self.max_risk(now, pending),
            now,
            is_failure_rate_high: self.feature_flags.coverage_on_failures
                && self.failure_rate.is_high(),
            allow_already_tried,
        })
    }

    /// Returns whether no request of the service may run again, so that none would try the
    /// endpoints that were ejected and may be healthy by now.
    fn has_no_idempotent_requests(&self, now: Time) -> bool {
        self.last_idempotent_at.is_none_or(|at| now.since(at) >= IDEMPOTENT_REQUEST_MEMORY)
    }

    /// Returns the highest risk that a request accepts.
    ///
    /// A request that fails without an attempt left is lost. It therefore waits for an endpoint
    /// that has answered recently, for a share of its time, as long as all waiting requests get
    /// their turn within it; beyond that, all slots are needed. An endpoint that fails
    /// immediately always has free slots and would otherwise attract all waiting requests.
    pub(super) fn max_risk(&self, now: Time, pending: &PendingRequest) -> f64 {
        let share = if pending.request.idempotent {
            LOW_RISK_WAIT_SHARES.0
        } else {
            LOW_RISK_WAIT_SHARES.1
        };
        let low_risk_wait = pending.not_after.since(pending.arrived).mul_f64(share);
        let waits_for_low_risk = self.feature_flags.wait_for_proven_endpoints
            && now.since(pending.arrived) < low_risk_wait
            && (self.queue.len() <= LOW_RISK_WAIT_QUEUE_LEN
                || self.low_risk_drain_time() <= low_risk_wait);
        if waits_for_low_risk { MAX_RISK_WHILE_WAITING } else { 1.0 }
    }

    /// Returns the time in which the queue drains into this VM's share of the slots of low-risk
    /// endpoints.
    ///
    /// This matters when all callers return at once after the loss of all VMs: dozens of requests
    /// wait at each VM while a third of the endpoints fails immediately.
    fn low_risk_drain_time(&self) -> Duration {
        let slots = f64::from(self.pool.slots_at_risk_up_to(MAX_RISK_WHILE_WAITING))
            / f64::from(self.dispatchers);
        let slot_time = self.slot_time.value().unwrap_or_default();
        if slots == 0.0 {
            Duration::MAX
        } else {
            slot_time.mul_f64(self.queue.len() as f64 / slots)
        }
    }

    fn dispatch(&mut self, now: Time, id: RequestId, pick: Pick) {
        let attempt = self.next_attempt_id();
        let abandon_at = self.abandon_at(now, id, pick.health_state);
        let relay = self.relay_for(&pick.name);
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let kind = if pick.health_state == HealthState::Trial {
            AttemptKind::Trial
        } else {
            AttemptKind::Request
        };
        // A relay enforces the time limit itself, so that the timeout it reports counts as the
        // endpoint's.
        let deadline = pending.request.deadline;
        let time_limit = abandon_at.filter(|_| relay.is_some()).unwrap_or(deadline);
        if let (Some(at), None) = (abandon_at, &relay) {
            self.abandon_times.insert((at, attempt));
        }
        let needs_fresh = self.health.needs_fresh_connection(&pick.name);
        let connection = if needs_fresh {
            ConnectionChoice::Fresh
        } else {
            connection_choice(pending, pick.health_state)
        };
        if !std::mem::replace(&mut pending.is_counted, true) {
            self.retry_budget.on_request(now);
        }
        pending.phase = Phase::Running;
        pending.in_flight.push(attempt);
        pending.tried.push(pick.name.clone());
        pending.possible_runs += 1;
        let class = pending.request.class;
        let is_abandoned =
            |other: &AttemptId| self.attempts.get(other).is_some_and(|state| state.is_abandoned);
        let is_only =
            pending.in_flight.iter().all(|other| *other == attempt || is_abandoned(other));
        if pending.request.idempotent
            && pending.request.hedge
            && self.feature_flags.hedges
            && is_only
            && let Some(age) = self.latency.p95()
        {
            self.hedge_times.insert((now + age.max(MIN_HEDGE_AGE), id));
        }
        self.attempts.insert(
            attempt,
            AttemptState {
                request: Some(id),
                customer: Some(pending.request.customer.clone()),
                endpoint: pick.name.clone(),
                relay: relay.clone(),
                kind,
                dispatched_at: now,
                time_limit,
                answered: false,
                is_abandoned: false,
                class,
                unreported: None,
                conditions: self.pool.dispatch_conditions(&pick.name, pending.request.idempotent),
            },
        );
        self.pending_actions.push(ShardAction::Dispatch(Dispatch {
            request: id,
            attempt,
            endpoint: pick.name.clone(),
            selection: SelectionDetails {
                reason: pick.reason,
                risk_permille: (self.health.risk(now, &pick.name) * 1_000.0) as u16,
                last_seen_ms_ago: self
                    .health
                    .last_observed_at(&pick.name)
                    .map(|seen| now.since(seen).as_millis() as u64),
            },
            address: pick.address,
            relay: relay.clone(),
            connection,
            not_after: pending.not_after,
            time_limit,
        }));
        self.pool.acquire(now, &pick.name);
        self.health.on_dispatch(now, attempt, &pick.name, class, kind);
        if connection == ConnectionChoice::Fresh {
            self.health.on_fresh_connection(attempt);
        }
        if relay.is_some() {
            self.health.on_sent_via_relay(attempt);
        }
    }

    /// Sends a health check if a slot is free for it.
    pub(super) fn start_probe(&mut self, now: Time, endpoint: Name) {
        let Some(address) = self.pool.address(&endpoint) else { return };
        if !self.pool.has_slot_for_probe(&endpoint) {
            return;
        }
        let attempt = self.next_attempt_id();
        let time_limit = now + PROBE_TIMEOUT;
        self.pool.acquire(now, &endpoint);
        self.health.on_dispatch(now, attempt, &endpoint, Class::Batch, AttemptKind::Probe);
        self.pending_actions.push(ShardAction::Probe {
            attempt,
            endpoint: endpoint.clone(),
            address,
            path: self.probe_path.clone(),
            time_limit,
        });
        let probe = AttemptState {
            request: None,
            customer: None,
            endpoint,
            relay: None,
            kind: AttemptKind::Probe,
            dispatched_at: now,
            time_limit,
            answered: false,
            is_abandoned: false,
            class: Class::Batch,
            unreported: None,
            conditions: None,
        };
        self.attempts.insert(attempt, probe);
    }

    /// Returns a retry delay with random jitter, to spread the callers that receive it.
    pub(super) fn jittered_retry_after_ms(&mut self, wait: Duration) -> Option<u64> {
        let wait_ms = wait.max(MIN_RETRY_AFTER).as_millis() as u64;
        Some(wait_ms + self.pool.random_below(wait_ms / 2))
    }

    fn next_attempt_id(&mut self) -> AttemptId {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        attempt
    }
}

/// Returns the kind of connection for the next attempt.
///
/// A pooled connection can be dead while the endpoint is healthy. A request that must not be
/// repeated would be lost on it with an unknown outcome, so it gets a connection that has
/// answered recently, or a new one if the endpoint is suspect. A retry after a failure on a
/// pooled connection gets a new one, which distinguishes the two causes.
fn connection_choice(pending: &PendingRequest, health_state: HealthState) -> ConnectionChoice {
    let is_suspect = matches!(
        health_state,
        HealthState::Suspect | HealthState::HeldByFloor | HealthState::Trial
    );
    if pending.needs_fresh_connection || health_state == HealthState::Trial {
        ConnectionChoice::Fresh
    } else if pending.request.idempotent {
        ConnectionChoice::Any
    } else if is_suspect {
        ConnectionChoice::Fresh
    } else {
        ConnectionChoice::RecentlyUsed
    }
}
