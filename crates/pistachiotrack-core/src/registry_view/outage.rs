//! Distinguishes outages of the registry, in which registrations expire, from single calls that fail.
//!
//! A watch can be cut while the registry is well. If that counted as an outage, an endpoint whose
//! entry is removed just then would be retained as one that expired, and would get requests after it
//! has left.

use std::time::Duration;

use crate::time::Time;

/// Time without a heartbeat, in heartbeats, after which a registration may expire. It is less than
/// what the registry allows, since heartbeats are only about regular.
const EXPIRY_HEARTBEATS: f64 = 2.5;
/// Time without an answer after a failed call up to which only that call was cut.
const MAX_CUT: Duration = Duration::from_millis(500);
/// Time between an answer and the next call up to which the registry counts as read all the while.
const MAX_CALL_GAP: Duration = Duration::from_secs(1);

/// What is known of the registry's outages.
#[derive(Clone, Debug)]
pub(super) struct Outages {
    heartbeat: Duration,
    last_response: Option<Time>,
    /// The response before the last one.
    previous_response: Option<Time>,
    failing: Option<Failing>,
    /// Time without answers in outages that follow each other so closely that endpoints can't renew
    /// their registrations between them.
    unanswered: Duration,
    /// End of the last time without answers that was longer than a cut.
    answered_since: Option<Time>,
    /// End of the last outage in which registrations may have expired.
    recovered_at: Option<Time>,
}

/// Calls that have failed since the last response.
#[derive(Clone, Copy, Debug)]
struct Failing {
    /// Earliest time at which the registry may have stopped to answer; `None` if it was not read
    /// just before.
    began: Option<Time>,
    /// Time at which the first call failed.
    first_failed: Time,
}

/// The first response after calls that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Time since the first call failed.
    pub failing_for: Duration,
    /// Whether registrations may have expired meanwhile.
    pub is_outage: bool,
}

impl Outages {
    pub(super) fn new(heartbeat: Duration) -> Outages {
        Outages {
            heartbeat,
            last_response: None,
            previous_response: None,
            failing: None,
            unanswered: Duration::ZERO,
            answered_since: None,
            recovered_at: None,
        }
    }

    /// Records that a call failed that was made at `asked_at`; returns whether it is the first one.
    pub(super) fn on_failure(&mut self, now: Time, asked_at: Time) -> bool {
        if self.failing.is_some() {
            return false;
        }
        let began = self.last_response.filter(|last| asked_at.since(*last) <= MAX_CALL_GAP);
        self.failing = Some(Failing { began, first_failed: now });
        true
    }

    /// Records a response, and returns what it ends if calls have failed before it.
    pub(super) fn on_response(&mut self, now: Time) -> Option<Recovery> {
        self.previous_response = self.last_response.replace(now);
        let failing = self.failing.take()?;
        let failing_for = now.since(failing.first_failed);
        let is_outage = self.is_outage(now, failing, failing_for);
        if is_outage {
            self.recovered_at = Some(now);
        }
        Some(Recovery { failing_for, is_outage })
    }

    /// Returns the time of the last response, if there was one.
    pub(super) fn last_response(&self) -> Option<Time> {
        self.last_response
    }

    /// Returns whether calls fail.
    pub(super) fn is_failing(&self) -> bool {
        self.failing.is_some()
    }

    /// Records that the registry's content was replaced, so that registrations may be missing.
    pub(super) fn on_replaced(&mut self, now: Time) {
        self.recovered_at = Some(now);
        self.previous_response = None;
    }

    /// Returns until when a registration is retained that the registry lacks, if its removal, seen
    /// now, may be an expiry in an outage.
    pub(super) fn retention_end(
        &self,
        now: Time,
        written_after: Option<Time>,
        grace: Duration,
    ) -> Option<Time> {
        let until = self.recovered_at? + grace;
        // One that was written since can't have expired.
        let is_recent = written_after.is_some_and(|written| now < written + self.expiry());
        (now < until && !is_recent).then_some(until)
    }

    /// Returns a time after which a change was made that the last response is the first to contain.
    pub(super) fn written_after(&self) -> Option<Time> {
        self.previous_response
    }

    /// Returns whether registrations may have expired before the response at `now`.
    ///
    /// A live endpoint's last heartbeat is up to one heartbeat old when an outage begins, so that
    /// its registration expires only if the outage lasts for the rest of the time.
    fn is_outage(&mut self, now: Time, failing: Failing, failing_for: Duration) -> bool {
        let Some(began) = failing.began else { return failing_for > MAX_CUT };
        let unanswered = now.since(began);
        let min_outage = self.expiry() - self.heartbeat;
        if failing_for <= MAX_CUT {
            return unanswered >= min_outage;
        }
        let is_renewed =
            self.answered_since.is_none_or(|since| began.since(since) > self.heartbeat);
        self.unanswered = if is_renewed { unanswered } else { self.unanswered + unanswered };
        self.answered_since = Some(now);
        self.unanswered >= min_outage
    }

    fn expiry(&self) -> Duration {
        self.heartbeat.mul_f64(EXPIRY_HEARTBEATS)
    }
}
