//! Requests and attempts as the decisions see them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{name::Name, rate_limit::RateLimit, time::Time};

/// Identifies a request within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Identifies one dispatch of a request, or a probe, to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// Priority of a request; the first is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits.
    Interactive,
    /// The default.
    #[default]
    Standard,
    /// Nobody waits.
    Batch,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Class; 3] = [Class::Interactive, Class::Standard, Class::Batch];

    /// Returns the name used in headers, settings and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Interactive => "interactive",
            Class::Standard => "standard",
            Class::Batch => "batch",
        }
    }

    /// Parses the name used in headers and settings.
    pub fn parse(text: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.as_str() == text)
    }
}

/// Lowest HTTP status that is a failure of the endpoint.
pub const FIRST_FAILURE_STATUS: u16 = 500;

/// Endpoints that a request may be sent to where its rule doesn't say.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// A request that wants to be dispatched by the shard's owner.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identity within the process.
    pub id: RequestId,
    /// Customer that pays for it.
    pub customer: Name,
    /// Priority.
    pub class: Class,
    /// Moment after which the answer is of no use.
    pub deadline: Time,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Whether a second endpoint may be asked when the first is slow.
    pub hedge: bool,
    /// Endpoints that it may be sent to, one after the other or side by side.
    pub max_attempts: u32,
    /// Idempotency key given by the caller.
    pub key: Option<Name>,
    /// Whether the caller says that it sent this request before and does not
    /// know the outcome.
    pub repeat: bool,
}

/// What the connection of a dispatch must be like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// A pooled connection may be used.
    Any,
    /// A pooled connection may be used only if it has answered lately.
    RecentlyUsed,
    /// A new connection is opened.
    Fresh,
}

/// How an attempt ended, or how its answer began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint began its answer; the status may still be a failure.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the connection was new.
        fresh_connection: bool,
    },
    /// The endpoint refused and says that it did not run the request.
    Shed,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// Another endpoint has the address; it got the request and did not run it.
    Misdirected,
    /// The process gave up before the first byte was written (pause, deadline).
    NotSent,
    /// The connection broke or was reset after bytes may have been sent.
    Broken {
        /// Whether the connection was new.
        fresh_connection: bool,
    },
    /// No answer before the attempt's time limit; bytes may have been sent.
    TimedOut {
        /// Whether the connection was new.
        fresh_connection: bool,
    },
    /// The witness that the request went through did not do its part, which
    /// says nothing about the endpoint.
    WitnessFailed {
        /// Whether bytes may have been sent to the endpoint.
        sent: bool,
    },
    /// The attempt was cancelled by its owner or the caller.
    Cancelled,
}

impl Outcome {
    /// Returns whether it is certain that the endpoint did not run the request.
    pub fn certainly_not_run(self) -> bool {
        matches!(
            self,
            Outcome::Shed
                | Outcome::ConnectFailed
                | Outcome::Misdirected
                | Outcome::NotSent
                | Outcome::WitnessFailed { sent: false }
        )
    }
}

/// What an endpoint reports about itself in its answers; a hint only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Requests that the endpoint says it is working on.
    pub in_flight: Option<u32>,
    /// Whether the endpoint says that it is leaving.
    pub draining: bool,
    /// Requests a second that it takes from all VMs together, if it names a limit.
    pub rate_limit: Option<RateLimit>,
}

/// End of an attempt's answer body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The whole body arrived.
    Complete,
    /// The body was cut short.
    Truncated,
    /// The caller went away.
    CallerGone,
}

/// Time that a request has left, never negative.
pub fn remaining(deadline: Time, now: Time) -> Duration {
    deadline.since(now)
}
