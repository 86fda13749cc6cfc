//! Requests that this VM has taken and not finished, for the log lines of those that its exit ends.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use pistachiotrack_core::{name::Name, request::RequestId, time::Time};
use rustc_hash::FxHashMap;

use crate::runtime::clock::Clock;

/// Who sent a request to this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSource {
    /// A caller.
    Caller,
    /// Another VM.
    Vm,
}

/// Where a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It is arriving, or waits for what a decision needs.
    Arriving,
    /// It waits for an endpoint.
    Queued,
    /// It was sent to an endpoint.
    AtEndpoint(Name),
    /// It was sent to another VM.
    AtVm(Name),
    /// Its answer is being passed on.
    Answering,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Stage::Arriving => f.write_str("arriving"),
            Stage::Queued => f.write_str("queued"),
            Stage::AtEndpoint(endpoint) => write!(f, "endpoint/{endpoint}"),
            Stage::AtVm(vm) => write!(f, "vm/{vm}"),
            Stage::Answering => f.write_str("answering"),
        }
    }
}

/// A request that has not been finished.
#[derive(Clone, Debug)]
struct InFlight {
    fleet_id: Name,
    source: RequestSource,
    received: Time,
    stage: Stage,
}

impl InFlight {
    fn log_cut(&self, now: Time, since_stop: Duration, cause: &str) {
        let InFlight { fleet_id, source, received, stage } = self;
        let from = match source {
            RequestSource::Caller => "caller",
            RequestSource::Vm => "vm",
        };
        log::error!(
            "event=request_cut request={fleet_id} from={from} at={stage} age_ms={} \
             since_stop_ms={} cause={cause}",
            now.since(*received).as_millis(),
            since_stop.as_millis()
        );
    }
}

/// The requests that this VM has taken and not finished.
#[derive(Debug)]
pub(crate) struct InFlightTable {
    clock: Clock,
    requests: Mutex<FxHashMap<RequestId, InFlight>>,
}

impl InFlightTable {
    /// Creates a table without requests.
    pub(crate) fn new(clock: Clock) -> InFlightTable {
        InFlightTable { clock, requests: Mutex::default() }
    }

    /// Adds a request until the guard is dropped.
    pub(crate) fn add(
        self: &Arc<Self>,
        id: RequestId,
        fleet_id: &Name,
        source: RequestSource,
    ) -> InFlightGuard {
        let received = self.clock.now();
        let stage = Stage::Arriving;
        self.lock().insert(id, InFlight { fleet_id: fleet_id.clone(), source, received, stage });
        InFlightGuard { table: Arc::clone(self), id }
    }

    /// Records where a request is.
    pub(crate) fn set_stage(&self, id: RequestId, stage: Stage) {
        if let Some(request) = self.lock().get_mut(&id) {
            request.stage = stage;
        }
    }

    /// Returns the number of requests.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Writes a log line for each request, which ends with the process `since_stop` after the stop
    /// began.
    pub(crate) fn log_cut(&self, since_stop: Duration) {
        let now = self.clock.now();
        for request in self.lock().values() {
            request.log_cut(now, since_stop, "exit");
        }
    }

    fn lock(&self) -> MutexGuard<'_, FxHashMap<RequestId, InFlight>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a request in the table until its answer has been written.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    table: Arc<InFlightTable>,
    id: RequestId,
}

impl InFlightGuard {
    /// Records where the request is.
    pub(crate) fn set_stage(&self, stage: Stage) {
        self.table.set_stage(self.id, stage);
    }

    /// Writes a log line for the request, which is given up `since_stop` after the stop began.
    pub(crate) fn log_cut(&self, since_stop: Duration) {
        if let Some(request) = self.table.lock().get(&self.id) {
            request.log_cut(self.table.clock.now(), since_stop, "grace_over");
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.table.lock().remove(&self.id);
    }
}
