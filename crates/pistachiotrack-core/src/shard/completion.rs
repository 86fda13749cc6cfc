//! Request completion: from the outcome of an attempt to the final answer.

use std::time::Duration;

use super::{
    Shard, ShardAction, ShardMode,
    state::{AttemptState, Phase},
};
use crate::{
    health::{AttemptKind, HealthAction},
    refusal::{Execution, Reason, RefusalDecision},
    request::{AttemptId, BodyEnd, FIRST_FAILURE_STATUS, Outcome, RequestId},
    time::Time,
};

/// Bounds of the time for which the slot of an attempt that ended without an answer is kept.
const SLOT_RELEASE_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_secs(1));
/// That time while the average slot time is unknown.
const DEFAULT_SLOT_RELEASE_DELAY: Duration = Duration::from_millis(100);
/// Upper bound, in average slot times, of the duration recorded for a timed-out attempt.
const MAX_TIMEOUT_FACTOR: u32 = 4;
/// Time after its time limit at which a health check whose outcome was never reported is dropped.
const LOST_PROBE_TIMEOUT: Duration = Duration::from_secs(5);

impl Shard {
    /// Processes the head of an answer.
    ///
    /// A failure status of an idempotent request is retried on another endpoint because a
    /// gray-failing endpoint answers that way. It is passed on unchanged if there is no other
    /// attempt to wait for and no retry left. One is retried, or as many as attempts and budget
    /// allow where retries are held. The answer to a request that must not be repeated is passed on
    /// unless its status would tell the caller that the request was not run.
    pub(super) fn on_answer(&mut self, now: Time, attempt: AttemptId, id: RequestId, status: u16) {
        self.leave_queue(id);
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let is_failure = status >= FIRST_FAILURE_STATUS && pending.request.idempotent;
        if is_failure && pending.in_flight.len() > 1 {
            pending.in_flight.retain(|other| *other != attempt);
            pending.may_have_run = true;
            self.pending_actions.push(ShardAction::Cancel { request: id, attempt });
            return;
        }
        let may_repeat = self.held_retries.is_enabled() || !pending.failure_status_retried;
        if is_failure && may_repeat {
            pending.may_have_run = true;
            if self.can_retry(now, id, 2) && self.take_retry(now) {
                self.pending_actions.push(ShardAction::Cancel { request: id, attempt });
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.failure_status_retried = true;
                    pending.in_flight.clear();
                }
                return self.enqueue(id);
            }
        }
        if self.reads_as_refusal(id, status) {
            return self.withhold_answer(now, attempt, id);
        }
        self.failure_rate.record(status < FIRST_FAILURE_STATUS);
        self.pending_actions.push(ShardAction::Deliver { request: id, attempt });
        let Some(pending) = self.pending.remove(&id) else { return };
        for other in pending.in_flight.into_iter().filter(|other| *other != attempt) {
            self.pending_actions.push(ShardAction::Cancel { request: id, attempt: other });
        }
    }

    /// Returns whether the caller of a request that must not be repeated would take this status of
    /// an answer for the statement that the request was not run.
    fn reads_as_refusal(&self, id: RequestId, status: u16) -> bool {
        self.refusal_statuses.contains(&status)
            && self.pending.get(&id).is_some_and(|pending| !pending.request.idempotent)
    }

    /// Refuses a request as one that may have run, in place of passing its answer on.
    ///
    /// An endpoint can run a booking and answer with the status of a refusal. The caller would
    /// send the booking again, and it would run twice.
    fn withhold_answer(&mut self, now: Time, attempt: AttemptId, id: RequestId) {
        self.pending_actions.push(ShardAction::Cancel { request: id, attempt });
        self.refuse_as_maybe_run(now, id, Reason::AnswerLost);
    }

    /// Processes the end of an attempt that produced no answer.
    pub(super) fn on_failure(
        &mut self,
        now: Time,
        attempt: AttemptId,
        state: &AttemptState,
        outcome: Outcome,
    ) {
        let Some(id) = state.request else { return };
        let Some(pending) = self.pending.get_mut(&id) else {
            return self.resolve_key(now, id, outcome.certainly_not_run());
        };
        pending.in_flight.retain(|other| *other != attempt);
        pending.may_have_run |= !outcome.certainly_not_run();
        if outcome.certainly_not_run() {
            pending.possible_runs -= 1;
        }
        if !pending.in_flight.is_empty() {
            return;
        }
        pending.needs_fresh_connection |= matches!(
            outcome,
            Outcome::Broken { fresh_connection: false }
                | Outcome::TimedOut { fresh_connection: false }
        );
        let execution = pending.execution();
        let is_late = now >= pending.not_after;
        self.leave_queue(id);
        if self.is_held_after(state, outcome) {
            return self.hold(now, id);
        }
        if outcome != Outcome::Cancelled
            && self.can_retry(now, id, 1)
            && self.try_take_retry(now, state, outcome)
        {
            return self.enqueue(id);
        }
        let reason = match outcome {
            Outcome::Shed => Reason::QueueFull,
            Outcome::NotSent | Outcome::TimedOut { .. } if is_late => Reason::DeadlinePassed,
            Outcome::NotSent => Reason::Paused,
            Outcome::ConnectFailed
            | Outcome::Misdirected { states_not_run: true }
            | Outcome::RelayFailed { sent: false } => Reason::NoEndpoint,
            _ => Reason::AnswerLost,
        };
        let retry_after_ms = match execution {
            Execution::NotRun => self.jittered_retry_after_ms(self.queue_wait(now)),
            Execution::Unknown => None,
        };
        self.refuse(now, id, reason, retry_after_ms);
    }

    /// Updates the idempotency key of a request whose caller has been refused or is gone.
    fn resolve_key(&mut self, now: Time, id: RequestId, not_run: bool) {
        if not_run {
            let waiters = self.keys.on_not_run(id);
            self.reprocess_requests(now, waiters);
        } else {
            let waiters = self.keys.on_answer_lost(id);
            self.refuse_waiters(now, waiters);
        }
    }

    pub(super) fn can_retry(&self, now: Time, id: RequestId, min_usable: usize) -> bool {
        self.pending.get(&id).is_some_and(|pending| {
            pending.may_run_again()
                && pending.can_be_dispatched()
                && now < pending.not_after
                && (self.pool.usable_endpoints(pending.request.idempotent) >= min_usable
                    || min_usable == 1 && self.opens_in_time(now, id))
        })
    }

    /// Takes a retry from the budget if the failed attempt reached an endpoint, even one that it
    /// wasn't meant for.
    ///
    /// Requests that another endpoint rejected count as well: when endpoints restart under
    /// other names and the VMs have not been informed yet, a hundred requests in ten seconds can
    /// be rejected at the old addresses, and resending them all would exceed the service's
    /// retry limit.
    fn try_take_retry(&mut self, now: Time, state: &AttemptState, outcome: Outcome) -> bool {
        if outcome.never_arrived() {
            return true;
        }
        match state.kind {
            AttemptKind::Trial => self.take_retry_after_trial(now),
            _ => self.take_retry(now),
        }
    }

    /// Records what an outcome shows about load and latency.
    pub(super) fn record_evidence(&mut self, now: Time, state: &AttemptState, outcome: Outcome) {
        let age = now.since(state.dispatched_at);
        match outcome {
            Outcome::Answered { status, .. }
                if status < FIRST_FAILURE_STATUS && state.kind != AttemptKind::Probe =>
            {
                self.latency.record(age);
                self.pool.on_own_answer(now, state, age);
            }
            Outcome::Shed => self.pool.on_shed(now, &state.endpoint, self.slot_release_delay()),
            Outcome::TimedOut { .. } => {
                if let Some(slot_time) = self.slot_time.value() {
                    self.slot_time.record(age.min(slot_time * MAX_TIMEOUT_FACTOR));
                }
            }
            _ => {}
        }
    }

    /// Ends an attempt and releases its slot, immediately only if the endpoint has certainly
    /// finished with it.
    pub(super) fn end_attempt(&mut self, now: Time, attempt: AttemptId, is_done: bool) {
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        self.queue_attempt_end(&ended);
        if is_done {
            self.pool.release(&ended.endpoint);
        } else {
            let until = now + self.slot_release_delay();
            self.pool.release_later(&ended.endpoint, until);
        }
    }

    /// Records a complete answer in the retry budget and the average slot time.
    pub(super) fn on_complete(&mut self, now: Time, state: &AttemptState) {
        if state.kind == AttemptKind::Probe {
            return;
        }
        let elapsed = now.since(state.dispatched_at);
        self.slot_time.record(elapsed);
        self.retry_budget.on_success();
        self.pool.on_success(&state.endpoint);
        if let (Some(customer), Some(slot_time)) = (&state.customer, self.slot_time.value()) {
            let relative = elapsed.as_secs_f64() / slot_time.as_secs_f64().max(f64::MIN_POSITIVE);
            self.queue.record_slot_time(customer, relative);
        }
    }

    /// Records in the idempotency key how the answer ended.
    pub(super) fn on_key_body_end(&mut self, now: Time, id: RequestId, end: BodyEnd) {
        if end == BodyEnd::Complete {
            return self.keys.on_answered(now, id);
        }
        let waiters = self.keys.on_answer_lost(id);
        self.refuse_waiters(now, waiters);
    }

    fn slot_release_delay(&self) -> Duration {
        self.slot_time
            .value()
            .unwrap_or(DEFAULT_SLOT_RELEASE_DELAY)
            .clamp(SLOT_RELEASE_DELAY_RANGE.0, SLOT_RELEASE_DELAY_RANGE.1)
    }

    /// Refuses requests that can no longer be dispatched in time.
    pub(super) fn refuse_expired(&mut self, now: Time) {
        while let Some((not_after, id)) = self.dispatch_deadlines.first().copied() {
            if not_after > now {
                return;
            }
            self.refuse(now, id, Reason::DeadlinePassed, None);
            self.dispatch_deadlines.remove(&(not_after, id));
        }
    }

    /// Refuses a request; no other action for it follows. One that waits for a retry while its
    /// attempt is in flight isn't refused, since the endpoint may still answer.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        id: RequestId,
        reason: Reason,
        retry_after_ms: Option<u64>,
    ) {
        let Some(pending) = self.pending.get(&id) else { return };
        if pending.phase == Phase::Queued && !pending.in_flight.is_empty() {
            return self.keep_attempt(now, id);
        }
        let execution = pending.execution();
        let retry_after_ms = retry_after_ms.filter(|_| execution == Execution::NotRun);
        let Some(owns_key) = self.remove_request(id) else { return };
        self.failure_rate.record(false);
        let refusal = RefusalDecision { execution, reason, retry_after_ms };
        self.pending_actions.push(ShardAction::Refuse { request: id, refusal });
        if owns_key {
            self.resolve_key(now, id, execution == Execution::NotRun);
        }
    }

    /// Refuses a request whose earlier copy may have run.
    pub(super) fn refuse_as_maybe_run(&mut self, now: Time, id: RequestId, reason: Reason) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.may_have_run = true;
        }
        self.refuse(now, id, reason, None);
    }

    /// Removes a request from all collections; returns whether it owned its idempotency key.
    pub(super) fn remove_request(&mut self, id: RequestId) -> Option<bool> {
        self.leave_queue(id);
        let pending = self.pending.remove(&id)?;
        let request = &pending.request;
        match pending.phase {
            Phase::New | Phase::Queued | Phase::Running => {}
            Phase::Held => {
                self.held_retries.remove(&pending);
                self.dispatch_deadlines.remove(&(pending.not_after, id));
            }
            Phase::AwaitingOriginal => {
                if let Some(key) = &request.key {
                    self.keys.remove_waiter(&request.customer, key, id);
                }
                self.dispatch_deadlines.remove(&(pending.not_after, id));
            }
        }
        Some(pending.owns_key)
    }

    /// Refuses duplicates of a request that may have run and has no answer to replay.
    pub(super) fn refuse_waiters(&mut self, now: Time, waiters: Vec<RequestId>) {
        for waiter in waiters {
            self.refuse_as_maybe_run(now, waiter, Reason::Duplicate);
        }
    }

    /// Processes duplicates of a request anew after it was certainly not run.
    pub(super) fn reprocess_requests(&mut self, now: Time, waiters: Vec<RequestId>) {
        for waiter in waiters {
            let Some(pending) = self.pending.get_mut(&waiter) else { continue };
            pending.phase = Phase::New;
            self.dispatch_deadlines.remove(&(pending.not_after, waiter));
            self.process_request(now, waiter);
        }
    }

    /// Releases the slots of health checks whose outcome was never reported.
    pub(super) fn remove_lost_probes(&mut self, now: Time) {
        let lost: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, state)| state.kind == AttemptKind::Probe)
            .filter(|(_, state)| now >= state.time_limit + LOST_PROBE_TIMEOUT)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in lost {
            self.end_attempt(now, attempt, true);
        }
    }

    /// Performs the actions that the health checker returned.
    pub(super) fn on_health_actions(&mut self, now: Time, actions: Vec<HealthAction>) {
        for action in actions {
            match action {
                // Health checks of one VM are enough for all dispatchers.
                HealthAction::Probe { .. } if self.pool.mode() == ShardMode::Shared => {}
                HealthAction::Probe { endpoint } => self.start_probe(now, endpoint),
                HealthAction::CheckPath { endpoint } => {
                    if let Some(address) = self.pool.address(&endpoint) {
                        self.pending_actions.push(ShardAction::CheckPath { endpoint, address });
                    }
                }
                other => self.pending_actions.push(ShardAction::Health(other)),
            }
        }
    }
}
