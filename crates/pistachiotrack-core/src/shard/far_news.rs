//! News that wait to be told to VMs of other data centres.

use std::time::Duration;

use super::{Served, news::Untold};
use crate::time::Time;

/// Time for which news that are not urgent wait for others.
///
/// Load: each request makes two, and there are more dispatchers the more data centres there
/// are. VMs elsewhere send their work to endpoints of their own data centre first, so that
/// they need no count of the slots here to the millisecond.
const FAR_NEWS_DELAY: Duration = Duration::from_millis(50);

/// News that wait to be told to VMs of other data centres.
#[derive(Clone, Debug, Default)]
pub(super) struct FarNews {
    endpoints: Vec<Untold>,
    finished: Served,
    due: Option<Time>,
}

impl FarNews {
    /// Takes what was told to the VMs nearby.
    ///
    /// Failure guarded against: VMs elsewhere go on sending to an endpoint that has begun to
    /// fail until the news come. It shows as one failure for each of them. The guard holds
    /// because a failure takes all that waits along at once.
    pub(super) fn add(&mut self, now: Time, endpoints: &[Untold], finished: Served) {
        let is_urgent =
            endpoints.iter().any(|(_, ended)| ended.is_some_and(|(it, _)| it.ending.is_failure()));
        let due = if is_urgent { now } else { now + FAR_NEWS_DELAY };
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
        self.finished = self.finished.plus(finished);
        self.endpoints.extend_from_slice(endpoints);
    }

    /// Returns whether what waits is to be told now.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.due.is_some_and(|due| now >= due)
    }

    /// Takes what waits: each end, and each other endpoint once.
    pub(super) fn take(&mut self) -> (Vec<Untold>, Served) {
        self.due = None;
        let mut endpoints = std::mem::take(&mut self.endpoints);
        // Stable, so that the ends of one endpoint keep their order.
        endpoints
            .sort_by(|one, other| one.0.cmp(&other.0).then(is_change(one).cmp(&is_change(other))));
        endpoints.dedup_by(|later, earlier| later.1.is_none() && later.0 == earlier.0);
        (endpoints, std::mem::take(&mut self.finished))
    }
}

/// Returns whether only the number of requests in flight is told; an end tells it too.
fn is_change(told: &Untold) -> bool {
    told.1.is_none()
}
