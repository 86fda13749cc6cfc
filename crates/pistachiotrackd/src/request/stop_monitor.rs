//! What the handlers of requests know of the stop of this VM.

use std::{future::pending, sync::Arc, time::Duration};

use pistachiotrack_core::{stop::StopSchedule, time::Time};
use tokio::sync::watch;

use crate::{
    formats::inbound::Inbound,
    runtime::clock::Clock,
    stats::work_times::{RequestKind, WorkTimes},
};

/// Interval at which requests that wait during a stop are compared with what others take meanwhile.
const WORK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Tells the handlers of requests that this VM stops, and how much time that leaves.
#[derive(Clone, Debug)]
pub(crate) struct StopMonitor {
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// The stop, once it has begun.
    pub(crate) schedule: watch::Receiver<Option<StopSchedule>>,
    /// Whether the stop leaves no time for requests that are still at work.
    pub(crate) grace_over: watch::Receiver<bool>,
    /// Time after a request's deadline until which its answer may last.
    pub(crate) overrun: Duration,
    /// How long requests take at endpoints.
    pub(crate) work_times: Arc<WorkTimes>,
}

/// Time of a request that decides whether it can be finished.
#[derive(Clone, Debug)]
pub(crate) struct RequestTime {
    /// Deadline of the request.
    pub(crate) deadline: Time,
    /// Requests whose usual work counts if the deadline is too late; `None` for those that other
    /// VMs have sent, since these can serve them for certain.
    pub(crate) kind: Option<RequestKind>,
}

impl RequestTime {
    /// Returns the time of a request that another VM has sent.
    pub(crate) fn of_other_vm(deadline: Time) -> RequestTime {
        RequestTime { deadline, kind: None }
    }

    /// Returns the time of a request of a caller or of another VM.
    pub(crate) fn of(inbound: &Inbound) -> RequestTime {
        let is_of_caller = inbound.config_version.is_some();
        RequestTime {
            deadline: inbound.deadline,
            kind: is_of_caller.then(|| RequestKind::of(&inbound.route)),
        }
    }
}

impl StopMonitor {
    /// Returns whether the stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.schedule.borrow().is_some()
    }

    /// Waits until the stop has begun.
    pub(crate) async fn begun(&self) {
        if self.schedule.clone().wait_for(Option::is_some).await.is_err() {
            // The daemon was dropped without a stop.
            pending().await
        }
    }

    /// Returns the time since the stop began.
    pub(crate) fn elapsed(&self, now: Time) -> Duration {
        self.schedule.borrow().map_or(Duration::ZERO, |stop| now.since(stop.began_at))
    }

    /// Returns whether a request can be finished before the process exits.
    pub(crate) fn has_time_for(&self, request: &RequestTime) -> bool {
        let now = self.clock.now();
        self.schedule.borrow().is_none_or(|stop| now < self.sends_until(stop, request))
    }

    /// Returns the deadline of a request that is taken now: the end of the time for answers if that
    /// comes before `deadline`.
    pub(crate) fn limit_deadline(&self, deadline: Time) -> Time {
        let stop = *self.schedule.borrow();
        stop.map_or(deadline, |stop| deadline.min(stop.answers_until))
    }

    /// Waits until a stop has begun in which a request can't be finished if it is not at an endpoint
    /// yet.
    pub(crate) async fn without_time_for(&self, request: RequestTime) {
        let mut schedule = self.schedule.clone();
        let Ok(stop) = schedule.wait_for(Option::is_some).await.map(|stop| *stop) else {
            // The daemon was dropped without a stop.
            return pending().await;
        };
        let Some(stop) = stop else { return };
        loop {
            let (now, until) = (self.clock.now(), self.sends_until(stop, &request));
            if now >= until {
                return;
            }
            self.clock.sleep_until(until.min(now + WORK_CHECK_INTERVAL)).await;
        }
    }

    fn sends_until(&self, stop: StopSchedule, request: &RequestTime) -> Time {
        let work = request.kind.as_ref().and_then(|kind| self.work_times.expected(kind));
        stop.sends_until(request.deadline + self.overrun, work)
    }

    /// Waits until the stop leaves no time for requests that are still at work.
    pub(crate) async fn grace_over(&self) {
        if self.grace_over.clone().wait_for(|is_over| *is_over).await.is_err() {
            // The daemon was dropped without a stop.
            pending().await
        }
    }
}
