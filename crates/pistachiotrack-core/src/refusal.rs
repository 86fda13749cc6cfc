//! Refusals: responses of the fleet itself when there is no answer to pass on.

use serde::{Deserialize, Serialize};

use crate::{copies::CopyRecord, name::Name};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// The request was not run: no byte of it could have reached an endpoint,
    /// or the endpoint refused it without running it.
    NotRun,
    /// The request may have run.
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
    /// The expected wait exceeds the deadline.
    WaitTooLong,
    /// The deadline passed.
    DeadlinePassed,
    /// A rule refused the request, or no rule matched.
    Rule,
    /// The VM has no configuration yet.
    NoConfig,
    /// No endpoint could be reached.
    NoEndpoint,
    /// The endpoint's answer didn't arrive or was incomplete.
    AnswerLost,
    /// A repeat without a record of the original request.
    NoRecord,
    /// A duplicate of a request whose answer isn't stored.
    Duplicate,
    /// The request was malformed or exceeded a limit.
    BadRequest,
    /// The process was paused for so long that sending was no longer safe.
    Paused,
    /// Endpoints crash while running the request.
    CrashesEndpoints,
    /// The request has no API key, or one that no customer holds.
    ApiKey,
    /// The VM can't confirm that its configuration is recent enough to decide on API keys.
    ConfigUnconfirmed,
    /// The customer's rate limit is used up.
    RateLimited,
    /// The VM is stopping and may have to exit before the request is finished.
    Stopping,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 16] = [
        Reason::QueueFull,
        Reason::WaitTooLong,
        Reason::DeadlinePassed,
        Reason::Rule,
        Reason::NoConfig,
        Reason::NoEndpoint,
        Reason::AnswerLost,
        Reason::NoRecord,
        Reason::Duplicate,
        Reason::BadRequest,
        Reason::Paused,
        Reason::CrashesEndpoints,
        Reason::ApiKey,
        Reason::ConfigUnconfirmed,
        Reason::RateLimited,
        Reason::Stopping,
    ];

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
            Reason::CrashesEndpoints => "crashes-endpoints",
            Reason::ApiKey => "api-key",
            Reason::ConfigUnconfirmed => "config-unconfirmed",
            Reason::RateLimited => "rate-limited",
            Reason::Stopping => "stopping",
        }
    }
}

/// Decision to refuse a request.
///
/// The refusal that the caller gets also depends on the copies that were sent (see
/// [`crate::copies`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalDecision {
    /// Whether the request may have run.
    pub execution: Execution,
    /// Why it was refused.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry_after_ms: Option<u64>,
}

/// A refusal as sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    execution: Execution,
    reason: Reason,
    retry_after_ms: Option<u64>,
    decided_by: Option<Name>,
    sent: Vec<CopyRecord>,
}

impl Refusal {
    pub(crate) fn new(
        execution: Execution,
        reason: Reason,
        retry_after_ms: Option<u64>,
        sent: Vec<CopyRecord>,
    ) -> Refusal {
        Refusal { execution, reason, retry_after_ms, decided_by: None, sent }
    }

    /// Sets the other VM that decided to refuse.
    #[must_use]
    pub fn decided_by(self, vm: Name) -> Refusal {
        Refusal { decided_by: Some(vm), ..self }
    }

    pub(crate) fn into_sent(self) -> Vec<CopyRecord> {
        self.sent
    }

    /// Returns whether the request may have run.
    pub fn execution(&self) -> Execution {
        self.execution
    }

    /// Returns why it was refused.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns the time after which the caller may retry.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// Returns the VM that decided to refuse, if it was another one.
    pub fn decider(&self) -> Option<&Name> {
        self.decided_by.as_ref()
    }

    /// Returns the copies that were sent.
    pub fn sent(&self) -> &[CopyRecord] {
        &self.sent
    }
}
