//! What a shard asks its caller to do.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    health::HealthAction,
    idempotency::StoredAnswer,
    name::Name,
    rate_limit::RateLimit,
    refusal::Verdict,
    request::{AttemptId, ConnectionChoice, RequestId},
    shard::ShardUpdate,
    time::Time,
};

/// What spoke for an endpoint when it was chosen, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SelectionDetails {
    /// Why this endpoint.
    pub reason: SelectionReason,
    /// How likely the request was to fail, in parts of a thousand.
    pub risk_permille: u16,
    /// Time since any VM's last answer of the endpoint, if there was one.
    pub last_seen_ms_ago: Option<u64>,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionReason {
    /// It was the best of those with a free slot.
    #[default]
    Best,
    /// It joined, and nobody had tried it yet.
    Untried,
    /// It had got no request for a while.
    Overdue,
    /// The request may run again and looked at one in doubt.
    Explored,
}

/// One dispatch of a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Request to send.
    pub request: RequestId,
    /// Identity of this attempt.
    pub attempt: AttemptId,
    /// Endpoint to send it to.
    pub endpoint: Name,
    /// Why it was chosen.
    pub selection: SelectionDetails,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// VM through which it goes, as the endpoint can't be reached from here.
    pub via: Option<Name>,
    /// What the connection must be like.
    pub connection: ConnectionChoice,
    /// Moment after which not even the first byte may be written.
    pub not_after: Time,
    /// Moment at which the attempt is reported as timed out.
    pub time_limit: Time,
}

/// What the caller of a shard has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Sends a request to an endpoint.
    Dispatch(Dispatch),
    /// Ends an attempt: closes its connection, so that the endpoint stops.
    Cancel {
        /// Request of the attempt.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ends an attempt without an answer as if its time had passed, to be reported as
    /// [`Outcome::TimedOut`](crate::request::Outcome::TimedOut).
    GiveUp {
        /// Request of the attempt.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Passes the answer of an attempt, which has begun, to the caller.
    Deliver {
        /// Request that is answered.
        request: RequestId,
        /// Attempt whose answer is passed on.
        attempt: AttemptId,
    },
    /// Answers a duplicate with the answer of the first.
    Replay {
        /// Request that is answered.
        request: RequestId,
        /// The stored answer.
        answer: Arc<StoredAnswer>,
    },
    /// Refuses a request; final.
    Refuse {
        /// The request.
        request: RequestId,
        /// What is known of it here.
        refusal: Verdict,
    },
    /// Sends a health check.
    Probe {
        /// Identity of the attempt.
        attempt: AttemptId,
        /// Endpoint to check.
        endpoint: Name,
        /// Address of the endpoint.
        address: SocketAddr,
        /// Path of the health check.
        path: Name,
        /// Moment at which the probe is reported as timed out.
        time_limit: Time,
    },
    /// Asks VMs elsewhere whether they reach an endpoint.
    CheckPath {
        /// The endpoint.
        endpoint: Name,
        /// Address of the endpoint.
        address: SocketAddr,
    },
    /// Tells the other VMs that dispatch for the shard.
    Broadcast(ShardUpdate),
    /// An endpoint names a limit from now on, or none any more; for the log.
    RateLimit {
        /// The endpoint.
        endpoint: Name,
        /// Requests a second that it takes from all VMs together.
        limit: Option<RateLimit>,
    },
    /// Something that belongs into the log.
    Health(HealthAction),
}
