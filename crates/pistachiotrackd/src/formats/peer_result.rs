//! Result of a forwarded request as the answering VM reports it.

use std::time::Duration;

use hyper::HeaderMap;
use pistachiotrack_core::{
    header,
    name::Name,
    prior_attempts::PriorAttempts,
    refusal::{Execution, Reason, Refusal},
};
use serde::{Deserialize, Serialize};

use crate::formats::headers;

/// Result of a forwarded request as the answering VM reports it in a header of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerResult {
    /// The answer is from an endpoint, or was stored for duplicates.
    Answered {
        /// Time until the endpoint started its answer.
        endpoint_time_us: Option<u64>,
        /// The endpoint, if it said that it is leaving.
        #[serde(default)]
        leaving_endpoint: Option<Name>,
    },
    /// The VM refused the request.
    Refused(PeerRefusal),
}

/// Refusal of a request by another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRefusal {
    /// ID of the request within the fleet.
    pub request: Name,
    /// The VM that refused.
    pub vm: Name,
    /// Whether the copy sent to that VM may have run.
    pub execution: Execution,
    /// Why it was refused.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry_after_ms: Option<u64>,
    /// Attempts of the request so far; VMs of earlier versions report none.
    #[serde(default)]
    pub attempts: PriorAttempts,
}

impl PeerRefusal {
    /// Creates the report of a refusal of `request` by `vm`.
    pub fn new(
        vm: &Name,
        request: &Name,
        refusal: &Refusal,
        attempts: PriorAttempts,
    ) -> PeerRefusal {
        PeerRefusal {
            request: request.clone(),
            vm: vm.clone(),
            execution: refusal.execution(),
            reason: refusal.reason(),
            retry_after_ms: refusal.retry_after_ms(),
            attempts,
        }
    }
}

/// Type of an answer from another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// An answer for the caller.
    Answer {
        /// Time that the endpoint took.
        endpoint_time: Option<Duration>,
        /// The endpoint, if it said that it is leaving.
        leaving_endpoint: Option<Name>,
    },
    /// A refusal reported by the VM.
    Refused(PeerRefusal),
    /// A refusal without a valid result for this request.
    Unverified,
}

impl PeerResult {
    /// Writes the result to an answer's headers.
    pub fn write_to(&self, fields: &mut HeaderMap) {
        if let Ok(text) = serde_json::to_string(self) {
            headers::set(fields, header::PEER_RESULT, &text);
        }
    }

    /// Removes the result from the headers of an answer to `request` and returns it.
    ///
    /// A status or header set by another program, or by a VM of another version, must not be read
    /// as a guarantee that the request was not run; otherwise a booking could run twice. Only a
    /// result with the ID of this request gives that guarantee.
    pub fn take_from(fields: &mut HeaderMap, request: &Name) -> PeerAnswer {
        let result = fields.remove(header::PEER_RESULT);
        let result =
            result.as_ref().and_then(|result| serde_json::from_slice(result.as_bytes()).ok());
        match result {
            Some(PeerResult::Answered { endpoint_time_us, leaving_endpoint }) => {
                let endpoint_time = endpoint_time_us.map(Duration::from_micros);
                PeerAnswer::Answer { endpoint_time, leaving_endpoint }
            }
            Some(PeerResult::Refused(result)) if result.request == *request => {
                PeerAnswer::Refused(result)
            }
            Some(PeerResult::Refused(_)) => PeerAnswer::Unverified,
            None if fields.contains_key(header::OUTCOME) => PeerAnswer::Unverified,
            None => PeerAnswer::Answer { endpoint_time: None, leaving_endpoint: None },
        }
    }
}
