//! Notices that endpoints send with their answers, and the record of those that still hold.

use std::{fmt, time::Duration};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{name::Name, time::Time};

/// Time for which a notice is on record. It bounds the record, and is far longer than an endpoint
/// takes to leave.
const MAX_RECORD_AGE: Duration = Duration::from_secs(3_600);

/// What an endpoint asks of the VM that it answers. Unlike the rest of its report, a notice is
/// binding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotice {
    /// Whether it is leaving and must get no new requests.
    pub leaving: bool,
    /// Time for which it accepts no requests from this VM, if it refused one and gave a time.
    pub retry_after: Option<Duration>,
}

impl EndpointNotice {
    /// The notice of an endpoint that is leaving.
    pub const LEAVING: EndpointNotice = EndpointNotice { leaving: true, retry_after: None };

    /// Returns whether the endpoint asks for nothing.
    pub fn is_empty(self) -> bool {
        self == EndpointNotice::default()
    }
}

/// Formats the notice as the key=value pairs of a log line.
impl fmt::Display for EndpointNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let retry_after_ms = self.retry_after.map(|retry_after| retry_after.as_millis());
        write!(f, "leaving={} retry_after_ms={retry_after_ms:?}", self.leaving)
    }
}

/// Notices on record, by the endpoint's name, which each incarnation has for itself.
///
/// The record doesn't depend on the configuration: an endpoint whose registration lapses and
/// comes back while the registry is away has not stopped leaving.
#[derive(Clone, Debug, Default)]
pub struct EndpointNotices {
    by_endpoint: FxHashMap<Name, NoticeRecord>,
}

#[derive(Clone, Copy, Debug, Default)]
struct NoticeRecord {
    /// When the endpoint last said that it leaves.
    leaving_at: Option<Time>,
    /// End of the time for which it accepts no requests.
    refuses_until: Option<Time>,
}

impl NoticeRecord {
    fn is_leaving(&self, now: Time) -> bool {
        self.leaving_at.is_some_and(|at| now.since(at) < MAX_RECORD_AGE)
    }

    fn refuses_until(&self, now: Time) -> Option<Time> {
        self.refuses_until.filter(|until| now < *until)
    }

    fn holds(&self, now: Time) -> bool {
        self.is_leaving(now) || self.refuses_until(now).is_some()
    }
}

/// What a notice changes on record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// The endpoint now asks for something that it didn't ask for before.
    New,
    /// It asks for more time.
    Extended,
}

impl EndpointNotices {
    /// Records a notice; returns what it changes, if anything.
    pub fn record(
        &mut self,
        now: Time,
        endpoint: &Name,
        notice: EndpointNotice,
    ) -> Option<NoticeChange> {
        if notice.is_empty() {
            return None;
        }
        if !self.by_endpoint.contains_key(endpoint) {
            self.by_endpoint.retain(|_, record| record.holds(now));
        }
        let record = self.by_endpoint.entry(endpoint.clone()).or_default();
        let before = *record;
        if notice.leaving {
            record.leaving_at = Some(now);
        }
        let until = notice.retry_after.map(|retry_after| now + retry_after.min(MAX_RECORD_AGE));
        record.refuses_until = before.refuses_until(now).max(until);
        let begins_to_leave = notice.leaving && !before.is_leaving(now);
        let begins_to_refuse =
            before.refuses_until(now).is_none() && record.refuses_until(now).is_some();
        if begins_to_leave || begins_to_refuse {
            Some(NoticeChange::New)
        } else if record.refuses_until > before.refuses_until {
            Some(NoticeChange::Extended)
        } else {
            None
        }
    }

    /// Returns what an endpoint has asked for and still holds.
    pub fn holding(&self, now: Time, endpoint: &str) -> EndpointNotice {
        let until = self.refuses_until(now, endpoint);
        EndpointNotice {
            leaving: self.is_leaving(now, endpoint),
            retry_after: until.map(|until| until.since(now)),
        }
    }

    /// Returns whether an endpoint has said that it is leaving.
    pub fn is_leaving(&self, now: Time, endpoint: &str) -> bool {
        self.by_endpoint.get(endpoint).is_some_and(|record| record.is_leaving(now))
    }

    /// Returns until when an endpoint accepts no requests, if it has asked for that.
    pub fn refuses_until(&self, now: Time, endpoint: &str) -> Option<Time> {
        self.by_endpoint.get(endpoint).and_then(|record| record.refuses_until(now))
    }

    /// Returns the endpoints that have said that they are leaving.
    pub fn leaving(&self, now: Time) -> impl Iterator<Item = &Name> {
        let leaving = self.by_endpoint.iter().filter(move |(_, record)| record.is_leaving(now));
        leaving.map(|(endpoint, _)| endpoint)
    }
}
