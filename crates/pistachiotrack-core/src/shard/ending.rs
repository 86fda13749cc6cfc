//! From an attempt's outcome to the request's final answer.

use std::time::Duration;

use super::{
    Shard, ShardAction, ShardMode,
    state::{Attempt, Phase},
};
use crate::{
    admission::QueueEntry,
    health::{AttemptKind, HealthAction},
    refusal::{Execution, Reason, RefusalDecision},
    request::{AttemptId, BodyEnd, FIRST_FAILURE_STATUS, Outcome, RequestId},
    time::Time,
};

/// Bounds of the time for which the slot of an attempt that ended without an
/// answer is held.
const GRACE_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));
/// That time while the usual service time is unknown.
const DEFAULT_GRACE: Duration = Duration::from_millis(100);
/// A failed attempt counts as this many usual service times at most.
const MAX_TIMES_USUAL: u32 = 4;

impl Shard {
    /// Takes the beginning of an answer.
    ///
    /// A failure status on an idempotent request is retried elsewhere: an endpoint
    /// that fails grayly answers that way. It is passed on as it is when there is no
    /// other attempt to wait for and no retry left.
    pub(super) fn on_answer(&mut self, now: Time, attempt: AttemptId, id: RequestId, status: u16) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let is_failure = status >= FIRST_FAILURE_STATUS && live.request.idempotent;
        if is_failure && live.in_flight.len() > 1 {
            live.in_flight.retain(|other| *other != attempt);
            live.may_have_run = true;
            self.out.push(ShardAction::Cancel { request: id, attempt });
            return;
        }
        if is_failure && !live.status_retried {
            live.may_have_run = true;
            if self.may_retry(now, id, 2) && self.retries.take(now) {
                self.out.push(ShardAction::Cancel { request: id, attempt });
                if let Some(live) = self.live.get_mut(&id) {
                    live.status_retried = true;
                    live.in_flight.clear();
                }
                return self.enqueue(id);
            }
        }
        self.strain.note(status < FIRST_FAILURE_STATUS);
        self.out.push(ShardAction::Deliver { request: id, attempt });
        let Some(live) = self.live.remove(&id) else { return };
        for other in live.in_flight.into_iter().filter(|other| *other != attempt) {
            self.out.push(ShardAction::Cancel { request: id, attempt: other });
        }
    }

    /// Takes the end of an attempt that brought no answer.
    pub(super) fn on_failure(
        &mut self,
        now: Time,
        attempt: AttemptId,
        of: &Attempt,
        outcome: Outcome,
    ) {
        let Some(id) = of.request else { return };
        let Some(live) = self.live.get_mut(&id) else {
            return self.on_abandoned(now, id, outcome.certainly_not_run());
        };
        live.in_flight.retain(|other| *other != attempt);
        live.may_have_run |= !outcome.certainly_not_run();
        if outcome.certainly_not_run() {
            live.sent -= 1;
        }
        if !live.in_flight.is_empty() {
            return;
        }
        live.needs_fresh |= matches!(
            outcome,
            Outcome::Broken { fresh_connection: false }
                | Outcome::TimedOut { fresh_connection: false }
        );
        let execution = live.execution();
        let is_late = now >= live.not_after;
        if outcome != Outcome::Cancelled
            && self.may_retry(now, id, 1)
            && self.may_spend(now, of, outcome)
        {
            return self.enqueue(id);
        }
        let reason = match outcome {
            Outcome::Shed => Reason::QueueFull,
            Outcome::NotSent | Outcome::TimedOut { .. } if is_late => Reason::DeadlinePassed,
            Outcome::NotSent => Reason::Paused,
            Outcome::ConnectFailed
            | Outcome::Misdirected
            | Outcome::RelayFailed { sent: false } => Reason::NoEndpoint,
            _ => Reason::AnswerLost,
        };
        let retry_after_ms = match execution {
            Execution::NotRun => self.retry_hint(self.queue_wait(now)),
            Execution::Unknown => None,
        };
        self.refuse(now, id, reason, retry_after_ms);
    }

    /// Takes the end of an attempt whose request has no caller any more.
    fn on_abandoned(&mut self, now: Time, id: RequestId, not_run: bool) {
        if not_run {
            let waiters = self.keys.on_not_run(id);
            self.intake_again(now, waiters);
        } else {
            let waiters = self.keys.on_answer_lost(id);
            self.refuse_waiters(now, waiters);
        }
    }

    fn may_retry(&self, now: Time, id: RequestId, min_usable: usize) -> bool {
        self.live.get(&id).is_some_and(|live| {
            live.may_run_again()
                && live.may_be_sent()
                && now < live.not_after
                && self.pool.usable(live.request.idempotent) >= min_usable
        })
    }

    /// Takes a retry from the budget where the failed attempt was a burden to
    /// an endpoint, also to one that it wasn't meant for. A trial is the fleet's own
    /// doing and is never held against the caller.
    ///
    /// Failure guarded against: endpoints start again under other names while nobody
    /// hears of it, and a hundred requests in ten seconds are turned away at their
    /// addresses and sent on. It shows as more retries than the service's limit allows.
    /// The guard holds because each of them is taken from what is left.
    fn may_spend(&mut self, now: Time, of: &Attempt, outcome: Outcome) -> bool {
        let never_arrived = matches!(
            outcome,
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::RelayFailed { sent: false }
        );
        if never_arrived || of.is_given_up {
            return true;
        }
        if of.kind == AttemptKind::Trial {
            self.retries.spend(now);
            return true;
        }
        self.retries.take(now)
    }

    /// Notes what an outcome says about load and latency.
    pub(super) fn on_evidence(&mut self, now: Time, of: &Attempt, outcome: Outcome) {
        let age = now.since(of.dispatched_at);
        match outcome {
            Outcome::Answered { status, .. }
                if status < FIRST_FAILURE_STATUS && of.kind != AttemptKind::Probe =>
            {
                self.latency.record(age);
            }
            Outcome::Shed => self.pool.on_shed(now, &of.endpoint, self.grace()),
            Outcome::TimedOut { .. } => {
                if let Some(usual) = self.usual.value() {
                    self.usual.record(age.min(usual * MAX_TIMES_USUAL));
                }
            }
            _ => {}
        }
    }

    /// Ends an attempt and releases its slot, at once only where the endpoint
    /// is certainly done with it.
    pub(super) fn end_attempt(&mut self, now: Time, attempt: AttemptId, is_done: bool) {
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        self.note_ended(&ended);
        if is_done {
            self.pool.release(&ended.endpoint);
        } else {
            let until = now + self.grace();
            self.pool.release_later(&ended.endpoint, until);
        }
    }

    /// Notes a whole answer: it fills the budgets and tells the service time.
    pub(super) fn on_complete(&mut self, now: Time, of: &Attempt) {
        if of.kind == AttemptKind::Probe {
            return;
        }
        let held = now.since(of.dispatched_at);
        self.usual.record(held);
        self.retries.on_success();
        self.pool.on_success(&of.endpoint);
        if let (Some(customer), Some(usual)) = (&of.customer, self.usual.value()) {
            let relative = held.as_secs_f64() / usual.as_secs_f64().max(f64::MIN_POSITIVE);
            self.queue.record_slot_time(customer, relative);
        }
    }

    /// Records how the answer to a request with a key ended.
    pub(super) fn on_key_body_end(&mut self, now: Time, id: RequestId, end: BodyEnd) {
        if end == BodyEnd::Complete {
            return self.keys.on_answered(now, id);
        }
        let waiters = self.keys.on_answer_lost(id);
        self.refuse_waiters(now, waiters);
    }

    fn grace(&self) -> Duration {
        self.usual.value().unwrap_or(DEFAULT_GRACE).clamp(GRACE_RANGE.0, GRACE_RANGE.1)
    }

    /// Refuses requests that have no time left.
    pub(super) fn expire(&mut self, now: Time) {
        while let Some((not_after, id)) = self.expiry.first().copied() {
            if not_after > now {
                return;
            }
            self.refuse(now, id, Reason::DeadlinePassed, None);
            self.expiry.remove(&(not_after, id));
        }
    }

    /// Refuses a request; nothing else is said about it afterwards.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        id: RequestId,
        reason: Reason,
        retry_after_ms: Option<u64>,
    ) {
        let Some(live) = self.live.get(&id) else { return };
        let execution = live.execution();
        let retry_after_ms = retry_after_ms.filter(|_| execution == Execution::NotRun);
        let Some(holds_key) = self.forget(id) else { return };
        self.strain.note(false);
        let refusal = RefusalDecision { execution, reason, retry_after_ms };
        self.out.push(ShardAction::Refuse { request: id, refusal });
        if holds_key {
            self.on_abandoned(now, id, execution == Execution::NotRun);
        }
    }

    /// Refuses a request that a caller sent before, and whose first may have run.
    pub(super) fn refuse_as_run(&mut self, now: Time, id: RequestId, reason: Reason) {
        if let Some(live) = self.live.get_mut(&id) {
            live.may_have_run = true;
        }
        self.refuse(now, id, reason, None);
    }

    /// Takes a request out of every list; returns whether it held its key.
    pub(super) fn forget(&mut self, id: RequestId) -> Option<bool> {
        let live = self.live.remove(&id)?;
        let request = &live.request;
        match live.phase {
            Phase::New | Phase::Running => {}
            Phase::Queued => {
                let ticket = QueueEntry { deadline: request.deadline, request: id };
                self.queue.remove(&request.customer, request.class, ticket);
                self.expiry.remove(&(live.not_after, id));
            }
            Phase::Joined => {
                if let Some(key) = &request.key {
                    self.keys.remove_waiter(&request.customer, key, id);
                }
                self.expiry.remove(&(live.not_after, id));
            }
        }
        Some(live.holds_key)
    }

    /// Refuses requests whose first may have run without an answer to give.
    pub(super) fn refuse_waiters(&mut self, now: Time, waiters: Vec<RequestId>) {
        for waiter in waiters {
            self.refuse_as_run(now, waiter, Reason::Duplicate);
        }
    }

    /// Decides anew about requests whose first was certainly not run.
    pub(super) fn intake_again(&mut self, now: Time, waiters: Vec<RequestId>) {
        for waiter in waiters {
            let Some(live) = self.live.get_mut(&waiter) else { continue };
            live.phase = Phase::New;
            self.expiry.remove(&(live.not_after, waiter));
            self.intake(now, waiter);
        }
    }

    /// Passes on what the health decisions ask for.
    pub(super) fn on_health_actions(&mut self, now: Time, actions: Vec<HealthAction>) {
        for action in actions {
            match action {
                // One VM's health checks are enough for all that dispatch.
                HealthAction::Probe { .. } if self.pool.mode() == ShardMode::Shared => {}
                HealthAction::Probe { endpoint } => self.start_probe(now, endpoint),
                HealthAction::CheckPath { endpoint } => {
                    if let Some(address) = self.pool.address(&endpoint) {
                        self.out.push(ShardAction::CheckPath { endpoint, address });
                    }
                }
                other => self.out.push(ShardAction::Health(other)),
            }
        }
    }
}
