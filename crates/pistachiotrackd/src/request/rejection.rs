//! Requests that are refused on arrival.

use std::time::Duration;

use hyper::StatusCode;
use pistachiotrack_core::{
    copies::{Copies, Undispatched},
    customer_limit::OverLimit,
    refusal::{Execution, Reason, RefusalDecision},
    rule::Refuse,
};

use crate::request::answer::{NO_CONFIG_RETRY_MS, PendingRefusal, Served};

/// Retry delay sent to callers that other VMs may serve at once.
pub(crate) const OTHER_VM_RETRY_MS: u64 = 100;

/// Reason for a refusal before a request is sent anywhere.
#[derive(Debug)]
pub(crate) struct Rejection {
    execution: Execution,
    reason: Reason,
    retry_after_ms: Option<u64>,
    /// Status that replaces the default one of the reason.
    status: Option<StatusCode>,
}

impl From<Reason> for Rejection {
    fn from(reason: Reason) -> Rejection {
        Rejection { execution: Execution::NotRun, reason, retry_after_ms: None, status: None }
    }
}

impl Rejection {
    /// Returns the rejection by a VM without a configuration.
    pub(crate) fn no_config() -> Rejection {
        Rejection { retry_after_ms: Some(NO_CONFIG_RETRY_MS), ..Reason::NoConfig.into() }
    }

    /// Returns the rejection of a request whose caller isn't identified.
    pub(crate) fn unidentified() -> Rejection {
        Reason::ApiKey.into()
    }

    /// Returns the rejection by a VM that doesn't know whether an API key is still valid.
    pub(crate) fn unconfirmed() -> Rejection {
        Rejection { retry_after_ms: Some(OTHER_VM_RETRY_MS), ..Reason::ConfigUnconfirmed.into() }
    }

    /// Returns the rejection by a VM whose stop leaves no time for a request.
    pub(crate) fn stopping() -> Rejection {
        Rejection { retry_after_ms: Some(OTHER_VM_RETRY_MS), ..Reason::Stopping.into() }
    }

    /// Returns the rejection of a request beyond its customer's rate limit.
    pub(crate) fn rate_limited(over_limit: OverLimit) -> Rejection {
        let retry_after_ms = Some(over_limit.retry_after.as_millis() as u64);
        Rejection { retry_after_ms, ..Reason::RateLimited.into() }
    }

    /// Returns the rejection by a rule.
    pub(crate) fn by_rule(refuse: &Refuse) -> Rejection {
        let status = StatusCode::from_u16(refuse.status).unwrap_or(StatusCode::FORBIDDEN);
        let retry_after_ms = refuse.retry_after_ms;
        Rejection { retry_after_ms, status: Some(status), ..Reason::Rule.into() }
    }

    /// Returns the rejection of a request that crashes endpoints.
    pub(crate) fn crashes_endpoints(retry_after: Duration) -> Rejection {
        let retry_after_ms = Some(retry_after.as_millis() as u64);
        Rejection { retry_after_ms, ..Reason::CrashesEndpoints.into() }
    }

    /// Returns the rejection of a request whose body is too large.
    pub(crate) fn too_large() -> Rejection {
        Rejection { status: Some(StatusCode::PAYLOAD_TOO_LARGE), ..Reason::BadRequest.into() }
    }

    /// Returns the rejection as one of a request that may be a duplicate, whose original may have run.
    pub(crate) fn of_possible_duplicate(self) -> Rejection {
        Rejection { execution: Execution::Unknown, ..self }
    }

    /// Refuses the request.
    pub(crate) fn refuse(self, undispatched: Undispatched) -> Served {
        let Rejection { execution, reason, retry_after_ms, .. } = self;
        let decision = RefusalDecision { execution, reason, retry_after_ms };
        let mut refused = PendingRefusal::from(Copies::from(undispatched).refuse_with(decision));
        refused.status = self.status.unwrap_or(refused.status);
        Served::refused(refused)
    }
}
