//! How long requests of each kind lately took at endpoints.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use pistachiotrack_core::{
    name::Name,
    work_time::{AttemptNumber, WorkTime},
};
use rustc_hash::FxHashMap;

use crate::{formats::forwarded_route::ForwardedRoute, runtime::clock::Clock};

/// Maximum number of kinds with a record, so that a configuration that renames services again
/// and again can't make memory grow without bound.
const MAX_KINDS: usize = 2_048;

/// Requests that take about equally long: lookups of a service are often quick where its bookings
/// aren't.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RequestKind {
    service: Name,
    idempotent: bool,
}

impl RequestKind {
    /// Returns the kind of a request with this route.
    pub(crate) fn of(route: &ForwardedRoute) -> RequestKind {
        RequestKind { service: route.shard.service.clone(), idempotent: route.idempotent }
    }
}

/// The times that attempts at endpoints took, by the kind of their requests.
#[derive(Debug)]
pub(crate) struct WorkTimes {
    clock: Clock,
    by_kind: Mutex<FxHashMap<RequestKind, WorkTime>>,
}

impl WorkTimes {
    /// Creates a record without attempts.
    pub(crate) fn new(clock: Clock) -> WorkTimes {
        WorkTimes { clock, by_kind: Mutex::default() }
    }

    /// Begins an attempt of a request, which lasts until the timer is dropped.
    pub(crate) fn begin(self: &Arc<Self>, kind: RequestKind) -> AttemptTimer {
        let now = self.clock.now();
        let mut by_kind = self.lock();
        let has_place = by_kind.len() < MAX_KINDS || by_kind.contains_key(&kind);
        let attempt = has_place
            .then(|| by_kind.entry(kind.clone()).or_insert_with(|| WorkTime::new(now)).begin(now));
        drop(by_kind);
        let work_times = Arc::clone(self);
        AttemptTimer { work_times, kind, attempt, is_completed: false }
    }

    /// Returns the time in which an attempt of `kind` is expected to end, if that is known.
    pub(crate) fn expected(&self, kind: &RequestKind) -> Option<Duration> {
        let now = self.clock.now();
        self.lock().get_mut(kind).and_then(|work_time| work_time.expected(now))
    }

    fn record(&self, kind: &RequestKind, attempt: AttemptNumber, is_completed: bool) {
        let now = self.clock.now();
        let mut by_kind = self.lock();
        let Some(work_time) = by_kind.get_mut(kind) else { return };
        match is_completed {
            true => work_time.complete(now, attempt),
            false => work_time.end(now, attempt),
        }
    }

    fn lock(&self) -> MutexGuard<'_, FxHashMap<RequestKind, WorkTime>> {
        self.by_kind.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Measures an attempt from its dispatch until it is dropped.
#[derive(Debug)]
pub(crate) struct AttemptTimer {
    work_times: Arc<WorkTimes>,
    kind: RequestKind,
    /// Its number, unless there are too many kinds.
    attempt: Option<AttemptNumber>,
    is_completed: bool,
}

impl AttemptTimer {
    /// Ends an attempt whose answer was received whole and isn't a failure.
    pub(crate) fn complete(mut self) {
        self.is_completed = true;
    }
}

impl Drop for AttemptTimer {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt {
            self.work_times.record(&self.kind, attempt, self.is_completed);
        }
    }
}
