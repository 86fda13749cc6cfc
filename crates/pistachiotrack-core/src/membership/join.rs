//! Finding the fleet through addresses that the settings name.

use std::time::Duration;

use super::{Actions, MemberState, Membership};
use crate::{message::Message, name::Name, time::Time};

/// Time between two questions while the fleet may still be gathering, and how
/// long that may take: a page of the table names about a dozen members, so that a
/// fleet of 48 is known after about a second.
const GATHER_INTERVAL: Duration = Duration::from_millis(200);
const GATHER_TIME: Duration = Duration::from_secs(3);
/// Time between two questions later, to seeds that aren't known as alive: both
/// sides of a partition may have forgotten each other.
const LATER_INTERVAL: Duration = Duration::from_secs(5);

/// When the seeds are asked next, and from where on.
#[derive(Clone, Debug)]
pub(super) struct Join {
    started: Time,
    next_at: Time,
    /// Last name of the page that came last.
    cursor: Option<Name>,
}

impl Join {
    /// Begins to look for the fleet.
    pub(super) fn new(now: Time) -> Join {
        Join { started: now, next_at: now, cursor: None }
    }

    /// Notes where the next page begins.
    pub(super) fn on_page(&mut self, next: Option<Name>) {
        self.cursor = next;
    }
}

impl Membership {
    /// Asks the seeds for members when it is time to.
    ///
    /// Nothing else tells who is there. A seed may be stale or down, so all are
    /// asked, and again for as long as the others may still be starting.
    pub(super) fn join_due(&mut self, now: Time, actions: &mut Actions) {
        if now < self.join.next_at || self.settings.seeds.is_empty() {
            return;
        }
        let gathers = now.since(self.join.started) < GATHER_TIME;
        self.join.next_at = now + if gathers { GATHER_INTERVAL } else { LATER_INTERVAL };
        for seed in self.settings.seeds.clone() {
            let is_known = self
                .members()
                .any(|member| member.vm.peer_address == seed && member.state == MemberState::Alive);
            if seed == self.me.peer_address || is_known && !gathers {
                continue;
            }
            let after = self.join.cursor.clone();
            self.send(seed, Message::TableRequest { after }, Vec::new(), actions);
        }
    }
}
