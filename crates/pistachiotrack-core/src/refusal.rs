//! Refusals: what the fleet says when it does not pass on an answer.

use serde::{Deserialize, Serialize};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// The request was not run: no byte of it could have reached an endpoint,
    /// or the endpoint itself refused it unrun.
    NotRun,
    /// The request may have been run.
    Unknown,
}

impl Execution {
    /// Returns the value of [`crate::header::OUTCOME`].
    pub fn as_str(self) -> &'static str {
        match self {
            Execution::NotRun => "not-run",
            Execution::Unknown => "unknown",
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The queue is full.
    QueueFull,
    /// The expected wait passes the deadline.
    WaitTooLong,
    /// The deadline passed.
    DeadlinePassed,
    /// A rule refused it, or no rule matched.
    Rule,
    /// The VM has no configuration yet.
    NoConfig,
    /// No endpoint could be reached.
    NoEndpoint,
    /// The endpoint's answer did not come or was broken off.
    AnswerLost,
    /// A repeat whose first run is not on record.
    NoRecord,
    /// A duplicate of a request whose answer is no longer held.
    Duplicate,
    /// The request was malformed or over a limit.
    BadRequest,
    /// The process was paused past the moment at which sending was safe.
    Paused,
}

impl Reason {
    /// Returns the value of [`crate::header::REASON`].
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::QueueFull => "queue-full",
            Reason::WaitTooLong => "wait-too-long",
            Reason::DeadlinePassed => "deadline-passed",
            Reason::Rule => "rule",
            Reason::NoConfig => "no-config",
            Reason::NoEndpoint => "no-endpoint",
            Reason::AnswerLost => "answer-lost",
            Reason::NoRecord => "no-record",
            Reason::Duplicate => "duplicate",
            Reason::BadRequest => "bad-request",
            Reason::Paused => "paused",
        }
    }
}

/// A refusal with what the caller needs in order to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub execution: Execution,
    /// Why it was refused.
    pub reason: Reason,
    /// When the caller may ask again.
    pub retry_after_ms: Option<u64>,
}
