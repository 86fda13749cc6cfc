//! VMs that aren't dispatchers of a service and are told all the same.

use std::{net::SocketAddr, time::Duration};

use rustc_hash::FxHashMap;

use crate::time::Time;

/// Time for which a VM that told something is told in turn: a VM that callers still
/// use though it is no dispatcher any more must know what the others see.
const GUEST_TIME: Duration = Duration::from_secs(2);
/// Guests that are told at most, so that a fleet that has not found itself yet
/// doesn't flood itself.
const MAX_GUESTS: usize = 16;

/// The VMs that a dispatcher tells besides the other dispatchers.
///
/// Only those of its own data centre: those elsewhere have dispatchers of their own.
/// Told by all, they took half of the bytes between data centres that the news of a
/// quiet day cost.
#[derive(Clone, Debug, Default)]
pub struct Guests {
    until: FxHashMap<SocketAddr, Time>,
}

impl Guests {
    /// Notes that a VM told something; `is_nearby` says whether it is in this data
    /// centre, and is only asked about a VM that isn't told yet.
    pub fn note(&mut self, now: Time, vm: SocketAddr, is_nearby: impl FnOnce() -> bool) {
        let until = now + GUEST_TIME;
        if let Some(known) = self.until.get_mut(&vm) {
            *known = until;
        } else if self.until.len() < MAX_GUESTS && is_nearby() {
            self.until.insert(vm, until);
        }
    }

    /// Returns the VMs that have to be told.
    pub fn told(&mut self, now: Time) -> impl Iterator<Item = SocketAddr> {
        self.until.retain(|_, until| now < *until);
        self.until.keys().copied()
    }
}
