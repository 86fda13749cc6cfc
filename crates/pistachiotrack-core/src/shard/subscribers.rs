//! VMs that receive updates on a service although they are no dispatchers of it.

use std::{net::SocketAddr, time::Duration};

use rustc_hash::FxHashMap;

use crate::time::Time;

/// Time for which a VM that has sent an update receives updates in turn. A VM that callers still
/// use although it is no longer a dispatcher must see what the others see.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(2);
/// Minimum number of messages within about that time for a VM to receive updates: two or three
/// requests per second. A VM with fewer requests asks for a snapshot when one arrives, which
/// takes less than all updates of a dispatcher.
const MIN_RECENT_MESSAGES: f64 = 10.0;
/// Maximum number of recipients, so that a fleet whose members have not discovered each other yet
/// doesn't flood itself.
const MAX_RECIPIENTS: usize = 16;
/// Maximum number of VMs whose messages are counted.
const MAX_TRACKED_VMS: usize = 1_024;

/// The VMs that a dispatcher sends updates to in addition to the other dispatchers.
///
/// Only VMs that dispatch a certain rate of requests themselves receive updates, and a bounded
/// number of them. If every VM with an occasional request received all updates of every
/// dispatcher nearby, the links of weak VMs would be saturated, and connections to endpoints
/// would not open in time.
///
/// Only VMs of the same data centre are included: those elsewhere have dispatchers of their own.
#[derive(Clone, Debug, Default)]
pub struct Subscribers {
    by_address: FxHashMap<SocketAddr, Subscriber>,
}

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    is_nearby: bool,
    /// Number of messages, with a weight that decays exponentially with their age.
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
        self.is_nearby && self.messages >= MIN_RECENT_MESSAGES
    }
}

impl Subscribers {
    /// Records an update from a VM. `is_nearby` returns whether it is in this data centre, and is
    /// only called for a VM that hasn't sent an update recently.
    pub fn record_update(&mut self, now: Time, vm: SocketAddr, is_nearby: impl FnOnce() -> bool) {
        if let Some(subscriber) = self.by_address.get_mut(&vm) {
            subscriber.record(now);
        } else if self.by_address.len() < MAX_TRACKED_VMS {
            let subscriber = Subscriber { is_nearby: is_nearby(), messages: 1.0, last_at: now };
            self.by_address.insert(vm, subscriber);
        }
    }

    /// Returns the VMs that receive updates.
    pub fn recipients(&mut self, now: Time) -> impl Iterator<Item = SocketAddr> {
        self.by_address.retain(|_, subscriber| now < subscriber.last_at + SUBSCRIPTION_TTL);
        let recipients = self.by_address.iter().filter(|(_, subscriber)| subscriber.is_recipient());
        recipients.map(|(vm, _)| *vm).take(MAX_RECIPIENTS)
    }
}
