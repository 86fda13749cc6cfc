//! What endpoints have asked of this VM.

use std::time::Duration;

use super::Pool;
use crate::{
    endpoint_notice::{EndpointNotice, NoticeChange},
    name::Name,
    time::Time,
};

impl Pool {
    /// Records what an endpoint has asked of this VM; returns what changes.
    pub(in crate::shard) fn record_notice(
        &mut self,
        now: Time,
        name: &Name,
        notice: EndpointNotice,
    ) -> Option<NoticeChange> {
        let change = self.notices.record(now, name, notice);
        if let Some(entry) = self.endpoints.get_mut(name) {
            entry.endpoint.leaving |= notice.leaving;
        }
        change
    }

    /// Returns the time until an endpoint accepts requests that may run again, or others; `None` if
    /// none will for all that is known now.
    pub(in crate::shard) fn time_until_usable(
        &self,
        now: Time,
        idempotent: bool,
    ) -> Option<Duration> {
        let usable = self.endpoints.values().filter(|entry| entry.would_accept_requests());
        usable
            .filter(|entry| entry.is_for(idempotent))
            .map(|entry| entry.refuses_until.map_or(Duration::ZERO, |until| until.since(now)))
            .min()
    }

    /// Returns whether an endpoint has said that it is leaving.
    pub(in crate::shard) fn has_said_leaving(&self, now: Time, name: &str) -> bool {
        self.notices.is_leaving(now, name)
    }

    /// Returns the endpoints that have said that they are leaving.
    pub(in crate::shard) fn said_leaving(&self, now: Time) -> impl Iterator<Item = &Name> {
        self.notices.leaving(now)
    }
}
