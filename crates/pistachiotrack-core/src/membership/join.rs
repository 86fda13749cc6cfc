//! Joining the fleet through seeds, the addresses in the settings.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::{Actions, MemberState, Membership, MembershipAction};
use crate::{message::Message, name::Name, time::Time};

/// Time between two queries while the fleet may still be starting, and the time for which
/// this is assumed. A page of the member table has about a dozen members, so a fleet of 48 is
/// known after about a second.
const STARTUP_INTERVAL: Duration = Duration::from_millis(200);
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Time between two later queries to seeds that aren't known as alive: both sides of a
/// partition may have removed each other.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);

/// State of the queries to the seeds.
#[derive(Clone, Debug)]
pub(super) struct Join {
    pub(super) started: Time,
    next_query_at: Time,
    /// Last name of the last page received.
    cursor: Option<Name>,
    /// Seeds that have been alive since the start.
    seen_seeds: BTreeSet<SocketAddr>,
}

impl Join {
    /// Creates the state with a query due at once.
    pub(super) fn new(now: Time) -> Join {
        Join { started: now, next_query_at: now, cursor: None, seen_seeds: BTreeSet::new() }
    }

    /// Records the start of the next page.
    pub(super) fn on_page(&mut self, next: Option<Name>) {
        self.cursor = next;
    }
}

impl Membership {
    /// Requests members from the seeds if a query is due.
    ///
    /// There may be no other source of members. A seed may be stale or down, so all are
    /// queried, repeatedly while other VMs may still be starting.
    pub(super) fn query_seeds_if_due(&mut self, now: Time, actions: &mut Actions) {
        if now < self.join.next_query_at || self.settings.seeds.is_empty() {
            return;
        }
        let is_starting = now.since(self.join.started) < STARTUP_TIME;
        self.join.next_query_at =
            now + if is_starting { STARTUP_INTERVAL } else { RECHECK_INTERVAL };
        for seed in self.settings.seeds.clone() {
            let is_known = self
                .members()
                .any(|member| member.vm.peer_address == seed && member.state == MemberState::Alive);
            if seed == self.me.peer_address || is_known && !is_starting {
                continue;
            }
            let after = self.join.cursor.clone();
            self.send(seed, Message::TableRequest { after }, Vec::new(), actions);
        }
    }

    /// Records which seeds are alive, if the state of any member has changed.
    pub(super) fn record_seen_seeds(&mut self, actions: &Actions) {
        let is_change = |action| matches!(action, &MembershipAction::StateChanged { .. });
        if self.has_seen_most_seeds() || !actions.iter().any(is_change) {
            return;
        }
        let alive = self.members().filter(|member| member.state == MemberState::Alive);
        let addresses: BTreeSet<_> = alive.map(|member| member.vm.peer_address).collect();
        let seeds = self.settings.seeds.iter().copied();
        self.join.seen_seeds.extend(seeds.filter(|seed| addresses.contains(seed)));
    }

    /// Returns whether this VM has seen most of the seeds, or is one of them, since its start.
    pub(super) fn has_seen_most_seeds(&self) -> bool {
        let seeds = &self.settings.seeds;
        let is_seen = |seed: &&SocketAddr| {
            **seed == self.me.peer_address || self.join.seen_seeds.contains(*seed)
        };
        seeds.is_empty() || seeds.iter().filter(is_seen).count() * 2 > seeds.len()
    }
}
