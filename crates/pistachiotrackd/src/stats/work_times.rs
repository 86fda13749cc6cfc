//! How long requests of each service lately took at endpoints.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use pistachiotrack_core::{
    name::Name,
    work_time::{AttemptNumber, WorkTime},
};
use rustc_hash::FxHashMap;

use crate::runtime::clock::Clock;

/// Maximum number of services with a record, so that a configuration that renames services again
/// and again can't make memory grow without bound.
const MAX_SERVICES: usize = 1_024;

/// The times that attempts at endpoints took, by service.
#[derive(Debug)]
pub(crate) struct WorkTimes {
    clock: Clock,
    by_service: Mutex<FxHashMap<Name, WorkTime>>,
}

impl WorkTimes {
    /// Creates a record without attempts.
    pub(crate) fn new(clock: Clock) -> WorkTimes {
        WorkTimes { clock, by_service: Mutex::default() }
    }

    /// Begins an attempt of a request of `service`, which lasts until the timer is dropped.
    pub(crate) fn begin(self: &Arc<Self>, service: &Name) -> AttemptTimer {
        let now = self.clock.now();
        let mut by_service = self.lock();
        let has_place = by_service.len() < MAX_SERVICES || by_service.contains_key(service);
        let attempt = has_place.then(|| {
            by_service.entry(service.clone()).or_insert_with(|| WorkTime::new(now)).begin(now)
        });
        drop(by_service);
        let work_times = Arc::clone(self);
        AttemptTimer { work_times, service: service.clone(), attempt, is_completed: false }
    }

    /// Returns the time in which an attempt of `service` is expected to end, if that is known.
    pub(crate) fn expected(&self, service: &Name) -> Option<Duration> {
        let now = self.clock.now();
        self.lock().get_mut(service).and_then(|work_time| work_time.expected(now))
    }

    fn record(&self, service: &Name, attempt: AttemptNumber, is_completed: bool) {
        let now = self.clock.now();
        let mut by_service = self.lock();
        let Some(work_time) = by_service.get_mut(service) else { return };
        match is_completed {
            true => work_time.complete(now, attempt),
            false => work_time.abandon(now, attempt),
        }
    }

    fn lock(&self) -> MutexGuard<'_, FxHashMap<Name, WorkTime>> {
        self.by_service.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Measures an attempt from its dispatch until it is dropped.
#[derive(Debug)]
pub(crate) struct AttemptTimer {
    work_times: Arc<WorkTimes>,
    service: Name,
    /// Its number, unless there are too many services.
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
            self.work_times.record(&self.service, attempt, self.is_completed);
        }
    }
}
