//! Held retries: requests that endpoints refused and that wait until they may be sent again.
//!
//! Failure guarded against: all endpoints of a service refuse half of the requests for some
//! seconds, the retry limit is used up in the first two, and requests are refused although the
//! limit has room again long before their time is over.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Shard,
    state::{AttemptState, PendingRequest, Phase},
};
use crate::{
    health::AttemptKind,
    refusal::Reason,
    request::{Class, Outcome, RequestId},
    service::Service,
    time::Time,
};

/// Maximum number of attempts of a request whose retries are held.
const MAX_DISPATCHES: usize = 12;
/// Backoff after the second refusal by an endpoint; it doubles with each further one. Endpoints
/// that are full recover within a service time, and attempts in quick succession use up the retry
/// limit without effect.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Interval at which held requests that can't be sent in time are refused.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);
/// One in this many held requests before a new one counts twice when it is decided whether to hold
/// the new one.
const NEW_MARGIN_DIVISOR: usize = 7;
/// One in this many held requests before another one doesn't count once that is held.
const HELD_MARGIN_DIVISOR: usize = 10;

/// Numbers of requests whose retries were held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldRetryCounts {
    /// Requests held now.
    pub held: u64,
    /// Times that a request was held, since the shard was created.
    pub held_total: u64,
    /// Requests refused because they could not be sent in time, since then.
    pub refused_total: u64,
}

/// Order in which held requests are sent: by class, then by the time after which an attempt is of
/// no use.
type HeldKey = (Class, Time, RequestId);

/// The held requests of a shard.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldRetries {
    is_enabled: bool,
    /// All held requests with the ends of their backoffs.
    held: BTreeMap<HeldKey, Time>,
    /// Those whose backoff has ended.
    ready: BTreeSet<HeldKey>,
    /// The others by the end of their backoff.
    backing_off: BTreeSet<(Time, HeldKey)>,
    /// Time at which those that can't be sent in time are refused next.
    next_review_at: Time,
    held_total: u64,
    refused_total: u64,
}

impl HeldRetries {
    /// Applies the configuration of the service.
    pub(super) fn configure(&mut self, service: &Service) {
        self.is_enabled = service.is_shared() && service.contention.hold_retries;
        self.next_review_at = Time::ZERO;
    }

    pub(super) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.held.len()
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, pending: &PendingRequest) {
        let key = key(pending);
        if let Some(ready_at) = self.held.remove(&key) {
            self.ready.remove(&key);
            self.backing_off.remove(&(ready_at, key));
        }
    }

    fn insert(&mut self, pending: &PendingRequest, ready_at: Time) {
        let key = key(pending);
        self.held.insert(key, ready_at);
        self.backing_off.insert((ready_at, key));
    }

    fn end_backoffs(&mut self, now: Time) {
        while let Some((ready_at, key)) = self.backing_off.first().copied() {
            if ready_at > now {
                return;
            }
            self.backing_off.pop_first();
            self.ready.insert(key);
        }
    }
}

fn key(pending: &PendingRequest) -> HeldKey {
    (pending.request.class, pending.not_after, pending.request.id)
}

impl Shard {
    /// Returns the numbers of requests whose retries were held.
    pub fn held_retries(&self) -> HeldRetryCounts {
        HeldRetryCounts {
            held: self.held_retries.held.len() as u64,
            held_total: self.held_retries.held_total,
            refused_total: self.held_retries.refused_total,
        }
    }

    /// Returns whether the request of an attempt is held: an endpoint refused it, and another
    /// attempt counts against the retry limit.
    pub(super) fn is_held_after(&self, state: &AttemptState, outcome: Outcome) -> bool {
        self.held_retries.is_enabled
            && matches!(outcome, Outcome::Shed | Outcome::Misdirected { states_not_run: true })
            && state.kind != AttemptKind::Trial
            && !state.is_abandoned
    }

    /// Holds a request that an endpoint refused until it may be sent again, or refuses it if that
    /// is too late for it.
    pub(super) fn hold(&mut self, now: Time, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.refusals += 1;
        pending.max_dispatches = MAX_DISPATCHES;
        let refusals = pending.refusals;
        if !self.can_retry(now, id, 1) {
            return self.refuse_unsendable(now, id);
        }
        let ready_at = now + self.backoff(refusals);
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.phase = Phase::Held;
        self.held_retries.insert(pending, ready_at);
        self.dispatch_deadlines.insert((pending.not_after, id));
        self.send_held(now);
        self.refuse_late_retries(now, Some(id));
        if self.pending.get(&id).is_some_and(|pending| pending.phase == Phase::Held) {
            self.held_retries.held_total += 1;
        }
    }

    /// Sends held requests as long as the budget has retries, and refuses those that can't be
    /// sent.
    pub(super) fn send_held(&mut self, now: Time) {
        if self.held_retries.is_empty() {
            return;
        }
        self.refuse_closed(now);
        self.held_retries.end_backoffs(now);
        while let Some((.., id)) = self.held_retries.ready.first().copied() {
            if !self.retry_budget.take_for_held(now) {
                break;
            }
            if let Some(pending) = self.pending.get(&id) {
                self.held_retries.remove(pending);
            }
            self.enqueue(id);
        }
        if now >= self.held_retries.next_review_at {
            self.refuse_late_retries(now, None);
        }
    }

    /// Refuses the held requests that can't be sent in time, or all of them if retries are no
    /// longer held.
    ///
    /// The forecast varies with the requests that arrive. So that requests are refused when their
    /// attempt fails rather than after a wait, one that has been held stays so while it is late by
    /// less than the forecast is uncertain.
    fn refuse_late_retries(&mut self, now: Time, new: Option<RequestId>) {
        if self.held_retries.is_empty() {
            return;
        }
        self.held_retries.next_review_at = now + REVIEW_INTERVAL;
        let forecast = self.retry_budget.forecast(now);
        let is_enabled = self.held_retries.is_enabled;
        let mut sendable = 0;
        let mut late = Vec::new();
        for ((_, not_after, id), ready_at) in &self.held_retries.held {
            let ahead = match new == Some(*id) {
                true => sendable + sendable / NEW_MARGIN_DIVISOR,
                false => sendable - sendable / HELD_MARGIN_DIVISOR,
            };
            let sent_at = forecast.time_of(ahead + 1).map(|time| time.max(*ready_at));
            if is_enabled && sent_at.is_some_and(|sent_at| sent_at < *not_after) {
                sendable += 1;
            } else {
                late.push((*id, forecast.wait_for(now, sendable + 1)));
            }
        }
        for (id, wait) in late {
            self.held_retries.refused_total += 1;
            let retry_after_ms = self.jittered_retry_after_ms(wait);
            self.refuse(now, id, Reason::WaitTooLong, retry_after_ms);
        }
    }

    /// Refuses a request that has no time, attempt or endpoint left.
    fn refuse_unsendable(&mut self, now: Time, id: RequestId) {
        let held = self.held_retries.held.len();
        let until_retry = self.retry_budget.forecast(now).wait_for(now, held + 1);
        let wait = self.queue_wait(now).max(until_retry);
        let retry_after_ms = self.jittered_retry_after_ms(wait);
        self.refuse(now, id, Reason::QueueFull, retry_after_ms);
    }

    /// Returns the time for which a request waits after its latest refusal, half of it random.
    fn backoff(&mut self, refusals: u32) -> Duration {
        let Some(doublings) = refusals.checked_sub(2) else { return Duration::ZERO };
        let backoff = MIN_BACKOFF.saturating_mul(1 << doublings.min(16)).min(MAX_BACKOFF);
        let half_us = (backoff / 2).as_micros() as u64;
        Duration::from_micros(half_us + self.pool.random_below(half_us))
    }
}
