//! What endpoints have asked of this VM.

use super::Pool;
use crate::{endpoint_notice::EndpointNotice, name::Name, time::Time};

impl Pool {
    /// Records what an endpoint has asked of this VM; returns whether it is new.
    pub(in crate::shard) fn record_notice(
        &mut self,
        now: Time,
        name: &Name,
        notice: EndpointNotice,
    ) -> bool {
        let is_new = self.notices.record(now, name, notice);
        if let Some(entry) = self.endpoints.get_mut(name) {
            entry.endpoint.leaving |= notice.leaving;
        }
        is_new
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
