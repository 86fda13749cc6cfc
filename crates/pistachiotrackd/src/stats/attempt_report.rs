//! Reports of attempts to the shard that dispatched them.

use pistachiotrack_core::{
    idempotency::StoredAnswer,
    request::{AttemptId, BodyEnd, EndpointReport, Outcome, RequestId},
};

/// Reports how an attempt ended or how its answer started.
pub(crate) struct AttemptOutcome {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// Its outcome.
    pub(crate) outcome: Outcome,
    /// State that the endpoint reports about itself.
    pub(crate) report: EndpointReport,
}

/// Reports how the body of an attempt's answer ended.
pub(crate) struct BodyEnded {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// How the body ended.
    pub(crate) end: BodyEnd,
    /// The complete answer, if it is stored for duplicates of the request.
    pub(crate) stored: Option<(RequestId, StoredAnswer)>,
}
