//! Requests, attempts and their outcomes.

use std::{fmt, ops::RangeInclusive, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    endpoint_notice::EndpointNotice, name::Name, prior_attempts::PriorAttempts,
    rate_limit::RateLimit, time::Time,
};

/// Identifies a request within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Identifies one dispatch of a request, or a probe, to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// Priority class of a request, the most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person is waiting for the answer.
    Interactive,
    /// The default.
    #[default]
    Standard,
    /// Nobody is waiting for the answer.
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

/// HTTP statuses that end an exchange. Those below belong to interim answers, and to a change of the
/// protocol, which no VM asks for; HTTP defines none above.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Returns whether an answer with this HTTP status ends its exchange. Anything else is no answer,
/// whatever follows it.
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// Default number of endpoints that a request may be sent to, unless its rule sets one.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// A request to be dispatched by the owner of its shard.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier within the process.
    pub id: RequestId,
    /// Customer that the request belongs to.
    pub customer: Name,
    /// Priority.
    pub class: Class,
    /// Time after which the answer is of no use.
    pub deadline: Time,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Whether a hedge may be sent to a second endpoint when the first is slow.
    pub hedge: bool,
    /// Maximum number of endpoints it may be sent to, in sequence or in parallel.
    pub max_attempts: u32,
    /// Idempotency key given by the caller.
    pub key: Option<Name>,
    /// Whether the caller marked it as a repeat of a request whose outcome it
    /// doesn't know.
    pub repeat: bool,
    /// Its attempts so far, by other VMs or in earlier copies.
    pub prior: PriorAttempts,
}

/// Requirement for the connection of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// A pooled connection may be used.
    Any,
    /// A pooled connection may be used only if it answered recently.
    RecentlyUsed,
    /// A new connection is opened.
    Fresh,
}

/// Outcome of an attempt, or the head of its answer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint sent the head of an answer; the status may be a failure.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the connection was new.
        fresh_connection: bool,
    },
    /// The endpoint refused the request and reported that it did not run it.
    Shed,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// Another endpoint has the address now and received the request.
    Misdirected {
        /// Whether the answer stated that the request was not run.
        states_not_run: bool,
    },
    /// The attempt was abandoned before the first byte was written (pause, deadline).
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
    /// The VM that relayed the request failed, which is no evidence about the
    /// endpoint.
    RelayFailed {
        /// Whether bytes may have been sent to the endpoint.
        sent: bool,
    },
    /// The attempt was cancelled by its owner or the caller.
    Cancelled,
}

impl Outcome {
    /// Returns whether it is certain that the endpoint didn't receive the request.
    pub fn never_arrived(self) -> bool {
        matches!(
            self,
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::RelayFailed { sent: false }
        )
    }

    /// Returns whether it is certain that the endpoint did not run the request.
    pub fn certainly_not_run(self) -> bool {
        self.never_arrived()
            || matches!(self, Outcome::Shed | Outcome::Misdirected { states_not_run: true })
    }
}

/// Prints the text that log lines have as `outcome=`, which must not change.
impl fmt::Debug for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Answered { status, fresh_connection } => f
                .debug_struct("Answered")
                .field("status", status)
                .field("fresh_connection", fresh_connection)
                .finish(),
            Outcome::Shed => f.write_str("Shed"),
            Outcome::ConnectFailed => f.write_str("ConnectFailed"),
            Outcome::Misdirected { .. } => f.write_str("Misdirected"),
            Outcome::NotSent => f.write_str("NotSent"),
            Outcome::Broken { fresh_connection } => {
                f.debug_struct("Broken").field("fresh_connection", fresh_connection).finish()
            }
            Outcome::TimedOut { fresh_connection } => {
                f.debug_struct("TimedOut").field("fresh_connection", fresh_connection).finish()
            }
            Outcome::RelayFailed { sent } => {
                f.debug_struct("WitnessFailed").field("sent", sent).finish()
            }
            Outcome::Cancelled => f.write_str("Cancelled"),
        }
    }
}

/// Load and state that an endpoint reports in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Number of requests in flight at the endpoint.
    pub in_flight: Option<u32>,
    /// Whether the endpoint is draining; a hint, which it may withdraw.
    pub draining: bool,
    /// Requests per second that it accepts from all VMs together, if it announces a limit.
    pub rate_limit: Option<RateLimit>,
    /// What it asks of this VM.
    pub notice: EndpointNotice,
}

/// End of an attempt's answer body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The whole body arrived.
    Complete,
    /// The body was cut short.
    Truncated,
    /// The caller disconnected.
    CallerGone,
}

/// Returns the time left until a request's deadline, or zero if it has passed.
pub fn remaining(deadline: Time, now: Time) -> Duration {
    deadline.since(now)
}
