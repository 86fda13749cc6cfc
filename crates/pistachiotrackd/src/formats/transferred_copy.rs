//! Which copy of a request a VM sends to another one.

use std::time::Duration;

use hyper::HeaderMap;
use pistachiotrack_core::{header, prior_attempts::PriorAttempts, transfers::TransferId};
use serde::{Deserialize, Serialize};

use crate::formats::headers;

/// A copy of a request that a VM sends to another one.
///
/// It has a header of its own, which VMs of earlier versions ignore.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct TransferredCopy {
    /// The request, if it may be sent more than once.
    pub(crate) id: Option<TransferId>,
    /// Age of the first copy, if this is a further one.
    pub(crate) first_sent_ms_ago: Option<u64>,
    /// Attempts of the request before the first copy was sent.
    pub(crate) prior: PriorAttempts,
}

impl TransferredCopy {
    /// Returns the age of the first copy, if this is a further one.
    pub(crate) fn first_sent_ago(&self) -> Option<Duration> {
        self.first_sent_ms_ago.map(Duration::from_millis)
    }

    /// Writes the copy to the headers of a forwarded request.
    pub(crate) fn write_to(&self, fields: &mut HeaderMap) {
        if let Ok(text) = serde_json::to_string(self) {
            headers::set(fields, header::TRANSFER, &text);
        }
    }

    /// Reads the copy from the headers of a forwarded request; VMs of earlier versions send none.
    pub(crate) fn read(fields: &HeaderMap) -> TransferredCopy {
        let text = headers::text(fields, header::TRANSFER).unwrap_or_default();
        serde_json::from_str(text).unwrap_or_default()
    }
}
