//! Actions that a shard returns to its caller.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    endpoint_notice::EndpointNotice,
    health::HealthAction,
    idempotency::StoredAnswer,
    name::Name,
    rate_limit::RateLimit,
    refusal::RefusalDecision,
    request::{AttemptId, ConnectionChoice, RequestId},
    retry::RightsRequest,
    shard::ShardUpdate,
    time::Time,
};

/// Why and on what evidence an endpoint was selected, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SelectionDetails {
    /// Why this endpoint was selected.
    pub reason: SelectionReason,
    /// Estimated probability that the request fails, in parts per thousand.
    pub risk_permille: u16,
    /// Time since the last answer of the endpoint to any VM, if there was one.
    pub last_seen_ms_ago: Option<u64>,
}

/// Why an endpoint was selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionReason {
    /// It ranked first among those with a free slot.
    #[default]
    Best,
    /// It was added recently and no VM has tried it yet.
    Untried,
    /// It had received no request for a while.
    Overdue,
    /// The request can be run again and was used to test an endpoint with an elevated risk.
    Explored,
}

/// One dispatch of a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Request to send.
    pub request: RequestId,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Endpoint to send it to.
    pub endpoint: Name,
    /// Why the endpoint was selected.
    pub selection: SelectionDetails,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// VM that relays the request because this VM can't reach the endpoint.
    pub relay: Option<Name>,
    /// Kind of connection to use.
    pub connection: ConnectionChoice,
    /// Time after which not even the first byte may be written.
    pub not_after: Time,
    /// Time at which the attempt is reported as timed out.
    pub time_limit: Time,
}

/// An action that the caller of a shard has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Sends a request to an endpoint.
    Dispatch(Dispatch),
    /// Cancels an attempt by closing its connection, so that the endpoint stops.
    Cancel {
        /// Request of the attempt.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ends an attempt without an answer early, to be reported as
    /// [`Outcome::TimedOut`](crate::request::Outcome::TimedOut).
    Abandon {
        /// Request of the attempt.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Passes the answer of an attempt, whose head has arrived, to the caller.
    Deliver {
        /// Request that is answered.
        request: RequestId,
        /// Attempt whose answer is passed on.
        attempt: AttemptId,
    },
    /// Answers a duplicate with the stored answer to the original request.
    Replay {
        /// Request that is answered.
        request: RequestId,
        /// The stored answer.
        answer: Arc<StoredAnswer>,
    },
    /// Refuses a request. No other action for it follows.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason, and whether the request may have run.
        refusal: RefusalDecision,
    },
    /// Sends a health check.
    Probe {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Endpoint to check.
        endpoint: Name,
        /// Address of the endpoint.
        address: SocketAddr,
        /// Path of the health check.
        path: Name,
        /// Time at which the probe is reported as timed out.
        time_limit: Time,
    },
    /// Asks other VMs whether they reach an endpoint.
    CheckPath {
        /// The endpoint.
        endpoint: Name,
        /// Address of the endpoint.
        address: SocketAddr,
    },
    /// Sends an update to the other VMs that dispatch for the shard.
    Broadcast(ShardUpdate),
    /// Asks another VM that dispatches for the shard for rights to send retries.
    RequestRetryRights {
        /// The other VM.
        to: Name,
        /// The request.
        request: RightsRequest,
    },
    /// Another VM reports what an endpoint asks of all VMs; to be recorded for the other shards of
    /// the service and for later.
    Notice {
        /// The endpoint.
        endpoint: Name,
        /// What it asks.
        notice: EndpointNotice,
    },
    /// An endpoint has announced, changed or dropped a rate limit; for the log.
    RateLimit {
        /// The endpoint.
        endpoint: Name,
        /// Requests per second that it accepts from all VMs together.
        limit: Option<RateLimit>,
    },
    /// A health event, for the log.
    Health(HealthAction),
}
