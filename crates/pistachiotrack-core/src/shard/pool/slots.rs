//! Slots in use: by this VM, by other VMs and by a predecessor.

use rand::RngExt;

use super::{Pool, usage::PeerCount};
use crate::{name::Name, time::Time};

impl Pool {
    pub(in crate::shard) fn acquire(&mut self, now: Time, name: &str) {
        if let Some(entry) = self.endpoints.get_mut(name) {
            entry.usage.on_sent(now);
            entry.in_flight += 1;
            self.in_flight += 1;
            if let Some(rate) = &mut entry.rate {
                rate.on_sent(now, self.rate_share, self.rng.random());
            }
            self.changed_endpoints.push(entry.endpoint.name.clone());
        }
    }

    pub(in crate::shard) fn release(&mut self, name: &str) {
        let Some(entry) = self.endpoints.get_mut(name) else { return };
        entry.in_flight -= 1;
        self.in_flight -= 1;
        self.changed_endpoints.push(entry.endpoint.name.clone());
        if !entry.is_configured && entry.in_flight == 0 {
            self.endpoints.remove(name);
        }
    }

    /// Releases a slot at `until`.
    ///
    /// When a connection breaks or an attempt is abandoned, the endpoint may still be processing
    /// it; reusing the slot immediately would give the endpoint more requests than it has slots.
    /// Processing that continues ends within about the average slot time.
    pub(in crate::shard) fn release_later(&mut self, name: &Name, until: Time) {
        self.next_serial += 1;
        self.delayed_releases.insert((until, self.next_serial, name.clone()));
    }

    pub(in crate::shard) fn release_due(&mut self, now: Time) {
        while self.delayed_releases.first().is_some_and(|(until, ..)| *until <= now) {
            if let Some((_, _, name)) = self.delayed_releases.pop_first() {
                self.release(&name);
            }
        }
    }

    /// Counts a predecessor's requests against an endpoint until `until`.
    pub(in crate::shard) fn set_predecessor_in_flight(
        &mut self,
        name: &str,
        in_flight: u32,
        until: Time,
    ) {
        if let Some(entry) = self.endpoints.get_mut(name) {
            entry.predecessor_in_flight = in_flight;
            entry.predecessor_until = until;
        }
    }

    /// Sets how many requests another VM has in flight; the count expires at `expires_at`.
    pub(in crate::shard) fn set_peer_in_flight(
        &mut self,
        now: Time,
        name: &str,
        vm: &Name,
        in_flight: u32,
        expires_at: Time,
    ) {
        let Some(entry) = self.endpoints.get_mut(name) else { return };
        let before = entry.peer_counts.iter().position(|peer| peer.vm == *vm);
        let before = before.map(|index| entry.peer_counts.swap_remove(index));
        if in_flight == 0 {
            return;
        }
        let last_sent_at = match before {
            Some(before) if in_flight <= before.in_flight => before.last_sent_at,
            _ => now,
        };
        entry.peer_counts.push(PeerCount { vm: vm.clone(), in_flight, last_sent_at, expires_at });
    }

    /// Returns how many requests this VM has in flight at an endpoint.
    pub(in crate::shard) fn in_flight_at(&self, name: &str) -> u32 {
        self.endpoints.get(name).map_or(0, |entry| entry.in_flight)
    }

    pub(in crate::shard) fn in_flight_by_endpoint(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.endpoints
            .iter()
            .filter(|(_, entry)| entry.in_flight > 0)
            .map(|(name, entry)| (name, entry.in_flight))
    }
}
