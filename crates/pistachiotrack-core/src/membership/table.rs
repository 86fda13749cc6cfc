//! The members known, with indexes for what has to be found fast.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{RngExt, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

use super::{Member, MemberState};
use crate::{
    message::{Place, Update},
    name::Name,
    time::Time,
    vm::Vm,
};

/// Longest time alive that is passed on; beyond it nobody cares.
const MAX_ALIVE_MS: u64 = 3_600_000;
/// Tries to find a random member in some state before giving up.
const RANDOM_TRIES: usize = 24;

/// A member with what only the membership itself needs.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// What others see; its state includes the platform's leaving mark.
    pub(super) member: Member,
    /// State without the platform's leaving mark.
    pub(super) state: MemberState,
    /// Moment since which it has not been dead; a refuted suspicion leaves it.
    pub(super) alive_since: Time,
    /// Refutation number known.
    pub(super) refutation: u32,
    /// Moment at which a member that isn't heard counts as dead.
    pub(super) give_up_at: Option<Time>,
    /// Whether this VM's own probe raised the suspicion.
    pub(super) own_suspicion: bool,
    /// Whether the platform lists it.
    pub(super) listed: bool,
    /// Incarnation that the platform's leaving mark is about.
    pub(super) leaving_mark: Option<u64>,
    /// Whether its last answer came without a relay.
    pub(super) direct: bool,
    /// Whether it is in the round of probes.
    pub(super) in_round: bool,
    /// Whether it waits to be verified.
    pub(super) queued: bool,
}

impl Entry {
    pub(super) fn incarnation(&self) -> u64 {
        self.member.vm.incarnation
    }

    /// Returns whether the member has ever been heard of by more than the list.
    pub(super) fn is_known(&self) -> bool {
        self.incarnation() > 0
    }

    /// Returns the statement about this member as this VM sees it.
    pub(super) fn update(&self, now: Time) -> Update {
        let vm = &self.member.vm;
        let with_place = matches!(self.state, MemberState::Alive | MemberState::Leaving);
        Update {
            name: vm.name.clone(),
            incarnation: vm.incarnation,
            refutation: self.refutation,
            state: self.state,
            place: with_place.then(|| place(vm, now.since(self.alive_since))),
        }
    }
}

/// Returns the place of a VM that has been alive for `alive`.
pub(super) fn place(vm: &Vm, alive: Duration) -> Place {
    Place {
        data_centre: vm.data_centre.clone(),
        caller_address: vm.caller_address,
        peer_address: vm.peer_address,
        alive_ms: (alive.as_millis() as u64).min(MAX_ALIVE_MS) as u32,
        capacity: vm.capacity,
    }
}

/// Returns the VM that an update with a place is about.
pub(super) fn vm(update: &Update, place: &Place) -> Vm {
    Vm {
        name: update.name.clone(),
        data_centre: place.data_centre.clone(),
        incarnation: update.incarnation,
        caller_address: place.caller_address,
        peer_address: place.peer_address,
        capacity: place.capacity,
    }
}

/// What is remembered of a forgotten member.
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
    /// Members with a moment to give up on.
    pub(super) waiting: BTreeSet<Name>,
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
        let old = self.entries.remove(&name);
        self.dead.remove(&name);
        self.waiting.remove(&name);
        let listed = old.as_ref().is_some_and(|old| old.listed);
        let in_round = old.as_ref().is_some_and(|old| old.in_round);
        let queued = old.as_ref().is_some_and(|old| old.queued);
        // A mark set before the VM was ever heard is about the one heard now.
        let leaving_mark =
            old.as_ref().and_then(|old| old.leaving_mark).map(|marked| match marked {
                0 => vm.incarnation,
                incarnation => incarnation,
            });
        let state = MemberState::Suspect;
        let entry = Entry {
            member: Member { vm, state, since: now, config_version: None, platform_answered: None },
            state,
            alive_since: now,
            refutation: 0,
            give_up_at: None,
            own_suspicion: false,
            listed,
            leaving_mark,
            direct: false,
            in_round,
            queued,
        };
        self.entries.insert(name.clone(), entry);
        self.join_round(&name, rng);
        self.entries.get_mut(&name).expect("the entry was just inserted")
    }

    /// Sets a member's state; returns whether what others see changed.
    pub(super) fn set_state(&mut self, now: Time, name: &Name, state: MemberState) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        if entry.state == MemberState::Dead && state != MemberState::Dead {
            entry.alive_since = now;
        }
        entry.state = state;
        if matches!(state, MemberState::Alive | MemberState::Dead) {
            entry.give_up_at = None;
            entry.own_suspicion = false;
            self.waiting.remove(name);
        }
        if state == MemberState::Dead {
            self.dead.insert(name.clone());
        } else {
            self.dead.remove(name);
        }
        self.show(now, name)
    }

    /// Works out what others see of a member; returns whether it changed.
    pub(super) fn show(&mut self, now: Time, name: &Name) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        let marked = entry.leaving_mark == Some(entry.incarnation());
        let shown = match entry.state {
            MemberState::Alive | MemberState::Suspect if marked => MemberState::Leaving,
            state => state,
        };
        if shown == entry.member.state {
            return false;
        }
        entry.member.state = shown;
        entry.member.since = if shown == MemberState::Alive { entry.alive_since } else { now };
        true
    }

    /// Sets the moment since which a member has been alive.
    pub(super) fn set_alive_since(&mut self, name: &Name, since: Time) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.alive_since = since;
        if entry.member.state == MemberState::Alive {
            entry.member.since = since;
        }
    }

    /// Sets the moment at which a member that isn't heard counts as dead.
    pub(super) fn give_up_at(&mut self, name: &Name, at: Time) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.give_up_at = Some(at);
        self.waiting.insert(name.clone());
    }

    /// Puts a member into the round of probes if it isn't in it.
    pub(super) fn join_round(&mut self, name: &Name, rng: &mut Pcg64Mcg) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        if entry.in_round {
            return;
        }
        entry.in_round = true;
        self.round.push(name.clone());
        let last = self.round.len() - 1;
        let place = rng.random_range(self.next_in_round.min(last)..=last);
        self.round.swap(place, last);
    }

    /// Returns the next member of the round; every member comes once in a round,
    /// so a crash is found by each VM within one round at the latest.
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

    /// Returns up to `count` different random members that are alive.
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

    /// Queues a member to be verified by an own probe.
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

    /// Forgets members that have been dead for long, and old tombstones.
    pub(super) fn forget(&mut self, now: Time, forget: Duration, tombstone: Duration) {
        self.tombstones.retain(|_, stone| stone.until > now);
        let Table { entries, dead, tombstones, .. } = self;
        dead.retain(|name| {
            let Some(entry) = entries.get(name) else { return false };
            let gone =
                if entry.is_known() { now.since(entry.member.since) >= forget } else { true };
            if entry.listed || !gone {
                return true;
            }
            if entry.is_known() {
                let stone = Tombstone {
                    incarnation: entry.incarnation(),
                    refutation: entry.refutation,
                    until: now + tombstone,
                };
                tombstones.insert(name.clone(), stone);
            }
            entries.remove(name);
            false
        });
    }
}
