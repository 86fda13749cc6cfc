//! How long requests of each service lately took at endpoints.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use pistachiotrack_core::{name::Name, time::Time, work_time::WorkTime};
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
        let started = self.clock.now();
        let work_times = Arc::clone(self);
        AttemptTimer { work_times, service: service.clone(), started, is_completed: false }
    }

    /// Returns the time in which an attempt of `service` is expected to end, if that is known.
    pub(crate) fn expected(&self, service: &Name) -> Option<Duration> {
        let now = self.clock.now();
        self.lock().get_mut(service).and_then(|work_time| work_time.expected(now))
    }

    fn record(&self, service: &Name, started: Time, is_completed: bool) {
        let now = self.clock.now();
        let mut by_service = self.lock();
        if by_service.len() >= MAX_SERVICES && !by_service.contains_key(service) {
            return;
        }
        let work_time = by_service.entry(service.clone()).or_insert_with(|| WorkTime::new(now));
        let took = now.since(started);
        match is_completed {
            true => work_time.record_completed(now, took),
            false => work_time.record_incomplete(now, took),
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
    started: Time,
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
        self.work_times.record(&self.service, self.started, self.is_completed);
    }
}
