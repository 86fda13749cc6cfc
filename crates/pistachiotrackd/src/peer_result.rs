//! What a VM says of a request that another one sent on to it.

use std::time::Duration;

use hyper::HeaderMap;
use pistachiotrack_core::{
    header,
    name::Name,
    refusal::{Execution, Reason, Refusal},
};
use serde::{Deserialize, Serialize};

use crate::headers;

/// What a VM says of a request that another one sent on to it; travels with its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerResult {
    /// The answer is an endpoint's, or one that was kept for duplicates.
    Answered {
        /// Time that the endpoint took to begin it.
        endpoint_time_us: Option<u64>,
    },
    /// The VM refused the request.
    Refused(PeerRefusal),
}

/// A VM's word that it refused a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRefusal {
    /// Identity of the request within the fleet.
    pub request: Name,
    /// The VM.
    pub vm: Name,
    /// Whether the copy that the VM had may have run.
    pub execution: Execution,
    /// Why it was refused.
    pub reason: Reason,
    /// When the caller may ask again.
    pub retry_after_ms: Option<u64>,
}

impl PeerRefusal {
    /// Returns the word of `vm` on its refusal of `request`.
    pub fn new(vm: &Name, request: &Name, refusal: &Refusal) -> PeerRefusal {
        PeerRefusal {
            request: request.clone(),
            vm: vm.clone(),
            execution: refusal.execution(),
            reason: refusal.reason(),
            retry_after_ms: refusal.retry_after_ms(),
        }
    }
}

/// What an answer of another VM turned out to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// An answer to be passed on, with the time that the endpoint took.
    Answer(Option<Duration>),
    /// A refusal, in the VM's own words.
    Refused(PeerRefusal),
    /// A refusal without a word that can be relied on.
    Unverified,
}

impl PeerResult {
    /// Adds the word to an answer's headers.
    pub fn write_to(&self, fields: &mut HeaderMap) {
        if let Ok(text) = serde_json::to_string(self) {
            headers::set(fields, header::PEER_RESULT, &text);
        }
    }

    /// Takes the word out of the headers of an answer to `request`.
    ///
    /// Failure guarded against: a status or a header that some other program, or a VM of
    /// another version, put on an answer is read as the promise that the request was not
    /// run. It shows as a booking that runs twice. The guard holds because only a word that
    /// names this request makes that promise, and a refusal without one promises nothing.
    pub fn take_from(fields: &mut HeaderMap, request: &Name) -> PeerAnswer {
        let result = fields.remove(header::PEER_RESULT);
        let result =
            result.as_ref().and_then(|result| serde_json::from_slice(result.as_bytes()).ok());
        match result {
            Some(PeerResult::Answered { endpoint_time_us }) => {
                PeerAnswer::Answer(endpoint_time_us.map(Duration::from_micros))
            }
            Some(PeerResult::Refused(result)) if result.request == *request => {
                PeerAnswer::Refused(result)
            }
            Some(PeerResult::Refused(_)) => PeerAnswer::Unverified,
            None if fields.contains_key(header::OUTCOME) => PeerAnswer::Unverified,
            None => PeerAnswer::Answer(None),
        }
    }
}
