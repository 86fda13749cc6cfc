//! Requests that a connection has carried.

use std::time::Duration;

use pistachiotrack_core::{hash, time::Time};

use crate::formats::inbound::Inbound;

/// Time by which the deadlines of two copies of a request can differ: a VM measures a copy's from its
/// arrival.
const DEADLINE_TOLERANCE: Duration = Duration::from_secs(1);

/// A request that is sent on a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest {
    id_hash: u64,
    /// Time after which no VM sends the request again.
    until: Time,
}

impl SentRequest {
    /// Creates the record of a request with the ID by which the peer's answer refers to it.
    pub(crate) fn new(id: &str, deadline: Time) -> SentRequest {
        SentRequest { id_hash: hash::fnv(id.as_bytes()), until: deadline + DEADLINE_TOLERANCE }
    }
}

impl From<&Inbound> for SentRequest {
    fn from(inbound: &Inbound) -> SentRequest {
        SentRequest::new(&inbound.fleet_id, inbound.deadline)
    }
}

/// Requests that a connection has carried and that may be sent again.
///
/// An endpoint can repeat an answer late, where the next answer on its connection or one after that
/// is expected. The ID in it is the same for all sendings of a request, so that a refusal of the
/// first one could be taken for that of the second, which is running. The copy arrives on the
/// connection of the first, so that no request is sent on a connection again.
#[derive(Debug, Default)]
pub(crate) struct CarriedRequests(Vec<SentRequest>);

impl CarriedRequests {
    /// Records a request that is sent.
    pub(crate) fn record(&mut self, now: Time, request: SentRequest) {
        self.0.retain(|carried| now <= carried.until);
        self.0.push(request);
    }

    /// Returns whether the request has been sent before.
    pub(crate) fn contains(&self, request: SentRequest) -> bool {
        self.0.iter().any(|carried| carried.id_hash == request.id_hash)
    }
}
