//! Requests and attempts that a shard has in hand.

use crate::{
    health::AttemptKind,
    name::Name,
    refusal::Execution,
    request::{AttemptId, Class, Request, RequestId},
    shard::AttemptResult,
    time::Time,
};

/// Attempts of one request at most, those without a connection included.
const MAX_DISPATCHES: usize = 6;

/// Where a request without a final answer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It has just come.
    New,
    /// It waits for a slot.
    Queued,
    /// It waits for the answer of the first request with its key.
    AwaitingOriginal,
    /// At least one attempt is in flight.
    Running,
}

/// A request without a final answer.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) arrived: Time,
    pub(super) request: Request,
    pub(super) phase: Phase,
    /// Moment after which a dispatch leaves no time for a useful answer.
    pub(super) not_after: Time,
    pub(super) in_flight: Vec<AttemptId>,
    pub(super) tried: Vec<Name>,
    /// Attempts that may have been run.
    pub(super) possible_runs: u32,
    /// Whether an attempt that has ended may have been run.
    pub(super) may_have_run: bool,
    /// Whether the next attempt needs a new connection.
    pub(super) needs_fresh: bool,
    /// Whether a failure status has been retried.
    pub(super) failure_status_retried: bool,
    /// Whether it is the first with its key.
    pub(super) owns_key: bool,
}

impl PendingRequest {
    pub(super) fn new(now: Time, request: Request) -> PendingRequest {
        PendingRequest {
            arrived: now,
            not_after: request.deadline,
            request,
            phase: Phase::New,
            in_flight: Vec::new(),
            tried: Vec::new(),
            possible_runs: 0,
            may_have_run: false,
            needs_fresh: false,
            failure_status_retried: false,
            owns_key: false,
        }
    }

    /// Returns whether it may be sent to another endpoint.
    ///
    /// Attempts that were certainly not run don't count, but a request that is
    /// refused everywhere must end some time.
    pub(super) fn can_be_dispatched(&self) -> bool {
        self.possible_runs < self.request.max_attempts && self.tried.len() < MAX_DISPATCHES
    }

    /// Returns whether it may have run, be it by an attempt or by the first request with
    /// its key.
    ///
    /// Failure guarded against: a request is refused as not run while an attempt is at an
    /// endpoint. It shows as a doubled booking, since callers repeat such a request. The
    /// guard holds because no decision that refuses says by itself whether it ran.
    pub(super) fn execution(&self) -> Execution {
        let may_run = self.may_have_run || !self.in_flight.is_empty();
        if may_run || self.phase == Phase::AwaitingOriginal {
            Execution::Unknown
        } else {
            Execution::NotRun
        }
    }

    /// Returns whether it may be dispatched again as far as its runs go.
    pub(super) fn may_run_again(&self) -> bool {
        self.request.idempotent || !self.may_have_run
    }
}

/// An attempt whose slot is held.
#[derive(Clone, Debug)]
pub(super) struct AttemptState {
    /// The request, unless it is a health check.
    pub(super) request: Option<RequestId>,
    pub(super) customer: Option<Name>,
    pub(super) endpoint: Name,
    /// VM through which it went.
    pub(super) via: Option<Name>,
    pub(super) kind: AttemptKind,
    pub(super) dispatched_at: Time,
    pub(super) time_limit: Time,
    /// Whether the answer has begun.
    pub(super) answered: bool,
    /// Whether it was given up for a retry, which is taken from the budget already.
    pub(super) is_given_up: bool,
    /// Class of the request.
    pub(super) class: Class,
    /// What came of it and when, until the other VMs know.
    pub(super) unreported: Option<(AttemptResult, Time)>,
}
