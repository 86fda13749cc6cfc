//! What an endpoint does with requests over time, and requests whose work lasts.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use pistachiotrack_core::hash;

use crate::work::WorkId;

/// Least part of the longest time that slow work lasts.
const MIN_SLOW_PART: f64 = 0.25;
/// Part of the time that a request has left which slow work may take.
const MAX_PART_OF_TIME_LEFT: f64 = 0.95;

/// Requests whose work lasts longer than usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowWork {
    /// Share of the requests, from 0 to 1.
    pub share: f64,
    /// Longest time that the work lasts.
    pub up_to: Duration,
}

impl SlowWork {
    /// Returns how long the work lasts if it is slow. A repeated request is as slow as before.
    pub fn time(&self, id: WorkId, time_left: Option<Duration>) -> Option<Duration> {
        let bits = hash::mix(id.0);
        let (selects, lasts) = (bits as u32, (bits >> 32) as u32);
        let fraction = |bits: u32| f64::from(bits) / f64::from(u32::MAX);
        let time_left = time_left.map(|left| left.mul_f64(MAX_PART_OF_TIME_LEFT));
        let longest = time_left.map_or(self.up_to, |left| left.min(self.up_to));
        let part = MIN_SLOW_PART + (1.0 - MIN_SLOW_PART) * fraction(lasts);
        (fraction(selects) < self.share).then(|| longest.mul_f64(part))
    }
}

/// The time that a request spent at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct WorkSpan {
    /// The work.
    pub id: WorkId,
    /// Time at which it arrived.
    pub arrived: Instant,
    /// Time at which the endpoint had its answer or the VM had broken it off.
    pub ended: Option<Instant>,
    /// Whether the endpoint had its answer.
    pub is_answered: bool,
}

/// Records the time that each request spends at an endpoint.
#[derive(Debug, Default)]
pub(crate) struct WorkLog(Mutex<Vec<WorkSpan>>);

impl WorkLog {
    /// Records the arrival of a request, and its end when the returned value is dropped.
    pub(crate) fn begin(&self, id: WorkId, arrived: Instant) -> OpenSpan<'_> {
        let mut spans = self.lock();
        spans.push(WorkSpan { id, arrived, ended: None, is_answered: false });
        OpenSpan { log: self, index: spans.len() - 1, is_answered: false }
    }

    /// Returns all spans in the order of their arrivals.
    pub(crate) fn spans(&self) -> Vec<WorkSpan> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<WorkSpan>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that is at an endpoint.
#[derive(Debug)]
pub(crate) struct OpenSpan<'a> {
    log: &'a WorkLog,
    index: usize,
    is_answered: bool,
}

impl OpenSpan<'_> {
    /// Ends the span with an answer.
    pub(crate) fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for OpenSpan<'_> {
    fn drop(&mut self) {
        let span = &mut self.log.lock()[self.index];
        span.ended = Some(Instant::now());
        span.is_answered = self.is_answered;
    }
}
