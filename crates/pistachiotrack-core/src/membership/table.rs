//! The table of known members, with indexes for fast lookups.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{RngExt, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

use super::{Member, MemberState};
use crate::{
    message::{MemberDetails, Update},
    name::Name,
    time::Time,
    vm::Vm,
};

/// Maximum time alive in an update; a longer time makes no difference to the receiver.
const MAX_REPORTED_ALIVE_MS: u64 = 3_600_000;
/// Base number of tries to find random live members.
const RANDOM_TRIES: usize = 24;

/// A member with the internal state of the membership protocol.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Public data; its state includes the platform's leaving mark.
    pub(super) member: Member,
    /// State without the platform's leaving mark.
    pub(super) state: MemberState,
    /// Time since which it has not been dead; a refuted suspicion doesn't change it.
    pub(super) alive_since: Time,
    /// Highest known refutation number.
    pub(super) refutation: u32,
    /// Time at which it is declared dead unless it responds.
    pub(super) expires_at: Option<Time>,
    /// Whether the suspicion comes from a probe of this VM.
    pub(super) own_suspicion: bool,
    /// Whether it is on the platform's list.
    pub(super) listed: bool,
    /// Incarnation to which the platform's leaving mark applies.
    pub(super) leaving_mark: Option<u64>,
    /// Whether it was leaving when it was declared dead.
    pub(super) has_left: bool,
    /// Whether its last response came without a relay.
    pub(super) direct: bool,
    /// Whether it is in the current round of probes.
    pub(super) in_round: bool,
    /// Whether it is queued for verification.
    pub(super) queued: bool,
}

impl Entry {
    pub(super) fn incarnation(&self) -> u64 {
        self.member.vm.incarnation
    }

    /// Returns whether the member is known from more than the platform's list.
    pub(super) fn is_known(&self) -> bool {
        self.incarnation() > 0
    }

    /// Returns an update with the state of this member.
    pub(super) fn update(&self, now: Time) -> Update {
        let vm = &self.member.vm;
        let with_details = matches!(self.state, MemberState::Alive | MemberState::Leaving);
        Update {
            name: vm.name.clone(),
            incarnation: vm.incarnation,
            refutation: self.refutation,
            state: self.state,
            details: with_details.then(|| details(vm, now.since(self.alive_since))),
        }
    }
}

/// Returns the details of a VM for an update; `alive` is how long it has been alive.
pub(super) fn details(vm: &Vm, alive: Duration) -> MemberDetails {
    MemberDetails {
        data_centre: vm.data_centre.clone(),
        caller_address: vm.caller_address,
        peer_address: vm.peer_address,
        alive_ms: (alive.as_millis() as u64).min(MAX_REPORTED_ALIVE_MS) as u32,
        capacity: vm.capacity,
    }
}

/// Returns the VM that an update with details is about.
pub(super) fn vm(update: &Update, details: &MemberDetails) -> Vm {
    Vm {
        name: update.name.clone(),
        data_centre: details.data_centre.clone(),
        incarnation: update.incarnation,
        caller_address: details.caller_address,
        peer_address: details.peer_address,
        capacity: details.capacity,
    }
}

/// Record of a removed member.
#[derive(Clone, Debug)]
pub(super) struct Tombstone {
    pub(super) incarnation: u64,
    pub(super) refutation: u32,
    until: Time,
}

/// All members but this VM.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    pub(super) entries: BTreeMap<Name, Entry>,
    /// Members with an expiry time.
    pub(super) expiring: BTreeSet<Name>,
    pub(super) dead: BTreeSet<Name>,
    tombstones: BTreeMap<Name, Tombstone>,
    round: Vec<Name>,
    next_in_round: usize,
    to_verify: VecDeque<Name>,
}

impl Table {
    pub(super) fn get(&self, name: &Name) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// Returns the number of members that aren't dead, this VM included.
    pub(super) fn live_count(&self) -> usize {
        self.entries.len() - self.dead.len() + 1
    }

    pub(super) fn tombstone(&self, name: &Name) -> Option<&Tombstone> {
        self.tombstones.get(name)
    }

    /// Adds or replaces a member.
    pub(super) fn insert(&mut self, now: Time, vm: Vm, rng: &mut Pcg64Mcg) -> &mut Entry {
        let name = vm.name.clone();
        let previous = self.entries.remove(&name);
        self.dead.remove(&name);
        self.expiring.remove(&name);
        let listed = previous.as_ref().is_some_and(|previous| previous.listed);
        let in_round = previous.as_ref().is_some_and(|previous| previous.in_round);
        let queued = previous.as_ref().is_some_and(|previous| previous.queued);
        // A mark set before the VM first responded applies to the incarnation that responds
        // now.
        let leaving_mark = previous.as_ref().and_then(|previous| previous.leaving_mark).map(
            |marked| match marked {
                0 => vm.incarnation,
                incarnation => incarnation,
            },
        );
        let state = MemberState::Suspect;
        let entry = Entry {
            member: Member {
                vm,
                state,
                since: now,
                config_version: None,
                last_platform_response: None,
                is_cut_off: false,
            },
            state,
            alive_since: now,
            refutation: 0,
            expires_at: None,
            own_suspicion: false,
            listed,
            leaving_mark,
            has_left: false,
            direct: false,
            in_round,
            queued,
        };
        self.entries.insert(name.clone(), entry);
        self.add_to_round(&name, rng);
        self.entries.get_mut(&name).expect("the entry was just inserted")
    }

    /// Sets a member's state; returns whether its visible state changed.
    pub(super) fn set_state(&mut self, now: Time, name: &Name, state: MemberState) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        if entry.state == MemberState::Dead && state != MemberState::Dead {
            entry.alive_since = now;
        }
        if entry.state != state {
            let was_leaving = entry.member.state == MemberState::Leaving;
            entry.has_left = state == MemberState::Dead && was_leaving;
        }
        entry.state = state;
        if matches!(state, MemberState::Alive | MemberState::Dead) {
            entry.expires_at = None;
            entry.own_suspicion = false;
            self.expiring.remove(name);
        }
        if state == MemberState::Dead {
            self.dead.insert(name.clone());
        } else {
            self.dead.remove(name);
        }
        self.update_visible_state(now, name)
    }

    /// Updates the visible state of a member; returns whether it changed.
    pub(super) fn update_visible_state(&mut self, now: Time, name: &Name) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        let marked = entry.leaving_mark == Some(entry.incarnation());
        let visible = match entry.state {
            MemberState::Alive | MemberState::Suspect if marked => MemberState::Leaving,
            state => state,
        };
        if visible == entry.member.state {
            return false;
        }
        entry.member.state = visible;
        entry.member.since = if visible == MemberState::Alive { entry.alive_since } else { now };
        true
    }

    /// Sets the time since which a member has been alive.
    pub(super) fn set_alive_since(&mut self, name: &Name, since: Time) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.alive_since = since;
        if entry.member.state == MemberState::Alive {
            entry.member.since = since;
        }
    }

    /// Sets the time at which a member is declared dead unless it responds.
    pub(super) fn set_expiry(&mut self, name: &Name, at: Time) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.expires_at = Some(at);
        self.expiring.insert(name.clone());
    }

    /// Adds a member at a random position to the round of probes unless it is in it.
    pub(super) fn add_to_round(&mut self, name: &Name, rng: &mut Pcg64Mcg) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        if entry.in_round {
            return;
        }
        entry.in_round = true;
        self.round.push(name.clone());
        let last = self.round.len() - 1;
        let index = rng.random_range(self.next_in_round.min(last)..=last);
        self.round.swap(index, last);
    }

    /// Returns the next member of the round. A round contains every member once, so each VM
    /// detects a crash within one round at the latest.
    pub(super) fn next_of_round(&mut self, rng: &mut Pcg64Mcg) -> Option<Name> {
        for _ in 0..self.round.len() + 1 {
            if self.next_in_round >= self.round.len() {
                self.start_round(rng);
            }
            let name = self.round.get(self.next_in_round)?.clone();
            self.next_in_round += 1;
            if self.get(&name).is_some_and(|entry| entry.state != MemberState::Dead) {
                return Some(name);
            }
        }
        None
    }

    fn start_round(&mut self, rng: &mut Pcg64Mcg) {
        self.next_in_round = 0;
        let Table { entries, round, .. } = self;
        round.retain(|name| {
            let Some(entry) = entries.get_mut(name) else { return false };
            entry.in_round = entry.state != MemberState::Dead;
            entry.in_round
        });
        round.shuffle(rng);
    }

    /// Returns up to `count` different random live members.
    pub(super) fn random_alive(
        &self,
        count: usize,
        except: Option<&Name>,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Name> {
        let mut found: Vec<Name> = Vec::new();
        if self.round.is_empty() {
            return found;
        }
        for _ in 0..RANDOM_TRIES + 2 * count {
            if found.len() == count {
                break;
            }
            let name = &self.round[rng.random_range(0..self.round.len())];
            let alive = self.get(name).is_some_and(|entry| entry.state == MemberState::Alive);
            if alive && Some(name) != except && !found.contains(name) {
                found.push(name.clone());
            }
        }
        found
    }

    /// Returns a random dead member.
    pub(super) fn random_dead(&self, rng: &mut Pcg64Mcg) -> Option<Name> {
        if self.dead.is_empty() {
            return None;
        }
        self.dead.iter().nth(rng.random_range(0..self.dead.len())).cloned()
    }

    /// Queues a member for verification by a probe.
    pub(super) fn queue_to_verify(&mut self, name: &Name) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        if !entry.queued {
            entry.queued = true;
            self.to_verify.push_back(name.clone());
        }
    }

    /// Returns the next member to verify that isn't known to be alive.
    pub(super) fn next_to_verify(&mut self) -> Option<Name> {
        while let Some(name) = self.to_verify.pop_front() {
            let Some(entry) = self.entries.get_mut(&name) else { continue };
            entry.queued = false;
            if matches!(entry.state, MemberState::Suspect | MemberState::Dead) {
                return Some(name);
            }
        }
        None
    }

    /// Removes members that have been dead for `forget_after` and expired tombstones.
    pub(super) fn forget(&mut self, now: Time, forget_after: Duration, tombstone_time: Duration) {
        self.tombstones.retain(|_, tombstone| tombstone.until > now);
        let Table { entries, dead, tombstones, .. } = self;
        dead.retain(|name| {
            let Some(entry) = entries.get(name) else { return false };
            let is_expired =
                if entry.is_known() { now.since(entry.member.since) >= forget_after } else { true };
            if entry.listed || !is_expired {
                return true;
            }
            if entry.is_known() {
                let tombstone = Tombstone {
                    incarnation: entry.incarnation(),
                    refutation: entry.refutation,
                    until: now + tombstone_time,
                };
                tombstones.insert(name.clone(), tombstone);
            }
            entries.remove(name);
            false
        });
    }
}
