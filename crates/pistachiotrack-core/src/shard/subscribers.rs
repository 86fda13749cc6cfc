//! VMs that aren't dispatchers of a service and are told all the same.

use std::{net::SocketAddr, time::Duration};

use rustc_hash::FxHashMap;

use crate::time::Time;

/// Time for which a VM that told something is told in turn: a VM that callers still
/// use though it is no dispatcher any more must know what the others see.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(2);
/// Messages within about that time from which on a VM is told: two or three requests
/// a second. One with fewer asks for a picture when a request comes, which is less
/// than all that a dispatcher has to tell.
const MIN_MESSAGES: f64 = 10.0;
/// Guests that are told at most, so that a fleet that has not found itself yet
/// doesn't flood itself.
const MAX_RECIPIENTS: usize = 16;
/// VMs that are counted at most.
const MAX_TRACKED_VMS: usize = 1_024;

/// The VMs that a dispatcher tells besides the other dispatchers.
///
/// Failure guarded against: all VMs get a request now and then, each is told all that
/// every dispatcher nearby does, and that fills the links of weak ones. It shows as
/// endpoints to which no connection opens in time. The guard holds because only VMs with
/// requests of their own to place are told, and a bounded number.
///
/// Only those of its own data centre: those elsewhere have dispatchers of their own.
#[derive(Clone, Debug, Default)]
pub struct Subscribers {
    by_address: FxHashMap<SocketAddr, Subscriber>,
}

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    is_nearby: bool,
    /// Messages so far, each counting less the longer ago it came.
    messages: f64,
    last_at: Time,
}

impl Subscriber {
    fn record(&mut self, now: Time) {
        let age = now.since(self.last_at).as_secs_f64() / SUBSCRIPTION_TTL.as_secs_f64();
        self.messages = self.messages * (-age).exp() + 1.0;
        self.last_at = now;
    }

    fn is_recipient(&self) -> bool {
        self.is_nearby && self.messages >= MIN_MESSAGES
    }
}

impl Subscribers {
    /// Notes that a VM told something; `is_nearby` says whether it is in this data
    /// centre, and is only asked about a VM that hasn't told anything lately.
    pub fn record_update(&mut self, now: Time, vm: SocketAddr, is_nearby: impl FnOnce() -> bool) {
        if let Some(subscriber) = self.by_address.get_mut(&vm) {
            subscriber.record(now);
        } else if self.by_address.len() < MAX_TRACKED_VMS {
            let subscriber = Subscriber { is_nearby: is_nearby(), messages: 1.0, last_at: now };
            self.by_address.insert(vm, subscriber);
        }
    }

    /// Returns the VMs that have to be told.
    pub fn recipients(&mut self, now: Time) -> impl Iterator<Item = SocketAddr> {
        self.by_address.retain(|_, subscriber| now < subscriber.last_at + SUBSCRIPTION_TTL);
        let recipients = self.by_address.iter().filter(|(_, subscriber)| subscriber.is_recipient());
        recipients.map(|(vm, _)| *vm).take(MAX_RECIPIENTS)
    }
}
