//! Abandonment of attempts that have had no answer for long, in favour of a retry.

use std::time::Duration;

use super::{Shard, ShardAction};
use crate::{
    health::HealthState,
    request::{AttemptId, RequestId, remaining},
    time::Time,
};

/// Multiple of the 95th percentile of the answer time after which an attempt that can be retried
/// is abandoned.
const ABANDON_P95_FACTOR: u32 = 4;
/// Interval at which an attempt without an answer is checked again if it couldn't be abandoned.
const ABANDON_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Shard {
    /// Queues the retries of attempts that have had no answer for long. An attempt goes on while its
    /// retry waits, and is abandoned when the retry is sent.
    ///
    /// Otherwise an attempt could be aborted with no time, retry, endpoint or slot left for another,
    /// and the caller would get "unknown" long before the deadline while the endpoint is still
    /// working.
    pub(super) fn queue_due_retries(&mut self, now: Time) {
        while let Some((at, attempt)) = self.abandon_times.first().copied() {
            if at > now {
                return;
            }
            self.abandon_times.pop_first();
            let Some(request) = self.unanswered_request(now, attempt) else { continue };
            if self.pool.usable_endpoints(true) > 1 {
                self.enqueue(request);
            } else {
                self.abandon_times.insert((now + ABANDON_RECHECK_INTERVAL, attempt));
            }
        }
    }

    /// Abandons the attempt of a queued request that is still in flight, and takes its retry from
    /// the budget; returns whether the request may be dispatched.
    pub(super) fn abandon_predecessor(&mut self, now: Time, id: RequestId) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else { return false };
        let Some(attempt) = pending.in_flight.first().copied() else { return true };
        if !self.retry_budget.take(now) {
            return false;
        }
        pending.needs_fresh_connection = true;
        if let Some(state) = self.attempts.get_mut(&attempt) {
            state.is_abandoned = true;
        }
        self.pending_actions.push(ShardAction::Abandon { request: id, attempt });
        true
    }

    /// Takes a request whose attempt is in flight out of the queue. The attempt goes on, and its
    /// retry is tried again later.
    pub(super) fn keep_attempt(&mut self, now: Time, id: RequestId) {
        self.leave_queue(id);
        let attempt = self.pending.get(&id).and_then(|pending| pending.in_flight.first());
        if let Some(attempt) = attempt {
            self.abandon_times.insert((now + ABANDON_RECHECK_INTERVAL, *attempt));
        }
    }

    /// Returns the request of an attempt that is its only one and has no answer yet, if it may be
    /// sent to another endpoint.
    fn unanswered_request(&self, now: Time, attempt: AttemptId) -> Option<RequestId> {
        let state = self.attempts.get(&attempt).filter(|state| !state.answered)?;
        let request = state.request?;
        let pending = self.pending.get(&request)?;
        let may_follow = pending.in_flight == [attempt]
            && pending.can_be_dispatched()
            && now < pending.not_after;
        may_follow.then_some(request)
    }

    /// Returns the time at which an attempt is abandoned, if it can be retried.
    ///
    /// A hanging endpoint sends nothing until the deadline, when it is too late for a retry. An
    /// idempotent request that has another endpoint left is therefore abandoned halfway, unless
    /// half of its time is within the usual latencies.
    pub(super) fn abandon_at(
        &self,
        now: Time,
        id: RequestId,
        health_state: HealthState,
    ) -> Option<Time> {
        let pending = self.pending.get(&id)?;
        let deadline = pending.request.deadline;
        let can_retry = self.feature_flags.attempt_abandonment
            && pending.request.idempotent
            && pending.possible_runs + 1 < pending.request.max_attempts
            && self.pool.usable_endpoints(true) > 1;
        if !can_retry {
            return None;
        }
        let half = remaining(deadline, now) / 2;
        let p95_limit = self.latency.p95().map(|p95| p95 * ABANDON_P95_FACTOR);
        let allowed = match p95_limit {
            Some(p95_limit) if health_state == HealthState::Trial => half.min(p95_limit),
            Some(p95_limit) => half.max(p95_limit),
            None => half,
        };
        let abandon_at = now + allowed;
        (abandon_at < pending.not_after).then_some(abandon_at)
    }
}
