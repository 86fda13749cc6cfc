//! Part of the slack of a retry limit that a VM may use.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// Smallest part of the slack that a VM has had during the last window.
///
/// Failure guarded against: a VM uses a part that another one has used just before, or that both
/// have. At any time at which the VMs agree on each other, their parts add up to the slack at
/// most; as none uses more in a window than it had at its beginning, all together don't either.
#[derive(Clone, Debug, Default)]
pub(super) struct SlackPart {
    current: f64,
    /// Earlier parts with the time until which each of them was the current one; later and larger
    /// ones come last.
    earlier: VecDeque<(Time, f64)>,
}

impl SlackPart {
    /// Sets the current part.
    pub(super) fn set(&mut self, now: Time, part: f64) {
        if part == self.current {
            return;
        }
        let previous = std::mem::replace(&mut self.current, part);
        while self.earlier.back().is_some_and(|(_, earlier)| *earlier >= previous) {
            self.earlier.pop_back();
        }
        self.earlier.push_back((now, previous));
    }

    /// Records that another VM may just have used the part.
    pub(super) fn reset(&mut self, now: Time) {
        let current = self.current;
        self.set(now, 0.0);
        self.set(now, current);
    }

    /// Returns the smallest part in the window that ends at a time, if the current one remains.
    pub(super) fn smallest(&self, at: Time, window: Duration) -> f64 {
        let is_in_window = |(until, _): &&(Time, f64)| *until + window > at;
        let earlier = self.earlier.iter().filter(is_in_window).map(|(_, part)| *part);
        earlier.fold(self.current, f64::min)
    }

    /// Drops the parts that ended before the window.
    pub(super) fn forget(&mut self, now: Time, window: Duration) {
        while self.earlier.front().is_some_and(|(until, _)| *until + window <= now) {
            self.earlier.pop_front();
        }
    }
}
