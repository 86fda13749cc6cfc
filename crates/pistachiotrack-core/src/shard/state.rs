//! State of a shard's requests and attempts.

use crate::{
    health::AttemptKind,
    name::Name,
    refusal::Execution,
    request::{AttemptId, Class, Request, RequestId},
    shard::{AttemptResult, DispatchConditions},
    time::Time,
};

/// Maximum number of attempts of one request, including those that got no connection.
const MAX_DISPATCHES: usize = 6;

/// Phase of a request without a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It has just arrived.
    New,
    /// It waits for a slot. An attempt without an answer may be in flight meanwhile.
    Queued,
    /// It waits for the answer to the original request with its idempotency key.
    AwaitingOriginal,
    /// At least one attempt is in flight.
    Running,
    /// Endpoints refused it; it waits until it may be sent again.
    Held,
}

/// A request without a final answer.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) arrived: Time,
    pub(super) request: Request,
    pub(super) phase: Phase,
    /// Time after which a dispatch leaves no time for a useful answer.
    pub(super) not_after: Time,
    pub(super) in_flight: Vec<AttemptId>,
    pub(super) tried: Vec<Name>,
    /// Number of attempts that may have run.
    pub(super) possible_runs: u32,
    /// Whether it counts as a request towards the retry limit.
    pub(super) is_counted: bool,
    /// Whether an ended attempt may have run.
    pub(super) may_have_run: bool,
    /// Whether the next attempt needs a new connection.
    pub(super) needs_fresh_connection: bool,
    /// Whether a failure status has been retried.
    pub(super) failure_status_retried: bool,
    /// Whether it is the original request with its idempotency key.
    pub(super) owns_key: bool,
    /// Whether its first attempt may explore an endpoint with an elevated risk.
    pub(super) explores: bool,
    /// Number of endpoints that refused it, as far as retries of it are held.
    pub(super) refusals: u32,
    /// Maximum number of attempts, including those that got no connection.
    pub(super) max_dispatches: usize,
}

/// Fraction of its time after which a request whose caller leaves counts as failed. Callers that
/// leave earlier have other reasons.
const EXPIRED_FRACTION: f64 = 0.9;

impl PendingRequest {
    /// Returns whether a caller that leaves now has waited for about as long as it could.
    pub(super) fn is_nearly_expired(&self, now: Time) -> bool {
        let time = self.request.deadline.since(self.arrived);
        now.since(self.arrived) >= time.mul_f64(EXPIRED_FRACTION)
    }

    pub(super) fn new(now: Time, request: Request) -> PendingRequest {
        PendingRequest {
            arrived: now,
            not_after: request.deadline,
            phase: Phase::New,
            in_flight: Vec::new(),
            tried: request.prior.endpoints.clone(),
            possible_runs: request.prior.possible_runs,
            may_have_run: request.prior.possible_runs > 0,
            is_counted: request.prior.is_counted,
            request,
            needs_fresh_connection: false,
            failure_status_retried: false,
            owns_key: false,
            explores: false,
            refusals: 0,
            max_dispatches: MAX_DISPATCHES,
        }
    }

    /// Returns whether it may be sent to another endpoint.
    ///
    /// Attempts that certainly did not run don't count towards the request's maximum, but the
    /// total is bounded so that a request that is refused everywhere ends.
    pub(super) fn can_be_dispatched(&self) -> bool {
        self.possible_runs < self.request.max_attempts && self.tried.len() < self.max_dispatches
    }

    /// Returns whether it may have run, either by an attempt or by the original request with its
    /// key.
    ///
    /// All refusals take the answer from here. If a request were refused as not run while an
    /// attempt is at an endpoint, the caller would repeat it and could make a booking twice.
    pub(super) fn execution(&self) -> Execution {
        let may_run = self.may_have_run || !self.in_flight.is_empty();
        if may_run || self.phase == Phase::AwaitingOriginal {
            Execution::Unknown
        } else {
            Execution::NotRun
        }
    }

    /// Returns whether it may be dispatched again without running a non-idempotent request twice.
    pub(super) fn may_run_again(&self) -> bool {
        self.request.idempotent || !self.may_have_run
    }
}

/// An attempt that occupies a slot.
#[derive(Clone, Debug)]
pub(super) struct AttemptState {
    /// The request, or none for a health check.
    pub(super) request: Option<RequestId>,
    pub(super) customer: Option<Name>,
    pub(super) endpoint: Name,
    /// VM that relayed it.
    pub(super) relay: Option<Name>,
    pub(super) kind: AttemptKind,
    pub(super) dispatched_at: Time,
    pub(super) time_limit: Time,
    /// Whether the head of the answer has arrived.
    pub(super) answered: bool,
    /// Whether it was abandoned for a retry, which has been sent.
    pub(super) is_abandoned: bool,
    pub(super) class: Class,
    /// Its result and the time of it, until the other VMs are informed.
    pub(super) unreported: Option<(AttemptResult, Time)>,
    /// Conditions at its dispatch; none for health checks.
    pub(super) conditions: Option<DispatchConditions>,
}
