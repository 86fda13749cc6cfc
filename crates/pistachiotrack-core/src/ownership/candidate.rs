//! The VMs that can own shards, with their settling and flapping state.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::OwnershipSettings;
use crate::{
    hash,
    membership::{Member, MemberState},
    name::Name,
    time::Time,
    vm::Vm,
};

/// A VM that can own shards.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) vm: Vm,
    /// Hash of the name.
    pub(super) key: u64,
    /// Whether it is alive, or suspected after it was alive.
    pub(super) present: bool,
    /// Whether it is alive and not suspected.
    pub(super) alive: bool,
    /// Whether it has been alive for long enough to take shards over.
    pub(super) settled: bool,
    /// Time from which it is settled, in microseconds of this VM's clock; negative if it is
    /// before the clock's start.
    pub(super) settles_at_us: i64,
    present_since: Time,
    flaps: u32,
    changed_at: Time,
    last_seen_round: u64,
}

impl Candidate {
    /// Returns whether it may take over a shard of a live owner.
    pub(super) fn is_eligible(&self) -> bool {
        self.present && self.alive && self.settled
    }
}

/// Differences between the candidates and the members.
#[derive(Debug, Default)]
pub(super) struct CandidateChanges {
    /// Whether a VM is gone, or was replaced by another incarnation.
    pub(super) any_gone: bool,
    /// VMs that may take shards over now and couldn't before.
    pub(super) newly_eligible: Vec<Name>,
    /// VMs that became present, settled or not.
    pub(super) joined: Vec<Name>,
}

impl CandidateChanges {
    pub(super) fn is_empty(&self) -> bool {
        !self.any_gone && self.newly_eligible.is_empty() && self.joined.is_empty()
    }
}

/// State of one VM at one time.
struct Observation<'a> {
    vm: &'a Vm,
    present: bool,
    alive: bool,
    age_us: i64,
}

/// All candidates, this VM included.
#[derive(Clone, Debug)]
pub(super) struct Candidates {
    by_name: FxHashMap<Name, Candidate>,
    settings: OwnershipSettings,
    started: Option<Time>,
    round: u64,
}

impl Candidates {
    pub(super) fn new(settings: OwnershipSettings) -> Candidates {
        Candidates { by_name: FxHashMap::default(), settings, started: None, round: 0 }
    }

    pub(super) fn get(&self, name: &Name) -> Option<&Candidate> {
        self.by_name.get(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Candidate> {
        self.by_name.values().filter(|candidate| candidate.present)
    }

    /// Returns whether this incarnation of `vm` has been present since `time`.
    pub(super) fn is_present_since(&self, vm: &Vm, time: Time) -> bool {
        self.get(&vm.name).is_some_and(|candidate| {
            candidate.present
                && candidate.vm.incarnation == vm.incarnation
                && candidate.present_since <= time
        })
    }

    /// Updates the candidates from the members and this VM; returns the differences.
    pub(super) fn observe<'a>(
        &mut self,
        now: Time,
        me: &Vm,
        own_alive_since: Time,
        is_available: bool,
        members: impl Iterator<Item = &'a Member>,
    ) -> CandidateChanges {
        let started = *self.started.get_or_insert(now);
        self.round += 1;
        let mut changes = CandidateChanges::default();
        let own_age_us = now.since(own_alive_since).as_micros() as i64;
        let own =
            Observation { vm: me, present: is_available, alive: is_available, age_us: own_age_us };
        self.observe_vm(now, &own, &mut changes);
        for member in members {
            // Incarnation 0 is a VM of the platform's list that has never responded. One that reaches
            // no endpoint can't dispatch.
            let can_dispatch = member.vm.incarnation > 0 && !member.is_cut_off;
            let alive = can_dispatch && member.state == MemberState::Alive;
            let present =
                can_dispatch && matches!(member.state, MemberState::Alive | MemberState::Suspect);
            if member.vm.name == me.name || !(present || self.by_name.contains_key(&member.vm.name))
            {
                continue;
            }
            let age_us = age_us(now, started, me, member);
            self.observe_vm(
                now,
                &Observation { vm: &member.vm, present, alive, age_us },
                &mut changes,
            );
        }
        self.mark_absent(now, &mut changes);
        changes
    }

    fn observe_vm(
        &mut self,
        now: Time,
        observation: &Observation<'_>,
        changes: &mut CandidateChanges,
    ) {
        let round = self.round;
        let candidate = match self.by_name.get_mut(&observation.vm.name) {
            Some(candidate) => candidate,
            None => self.by_name.entry(observation.vm.name.clone()).or_insert(Candidate {
                vm: observation.vm.clone(),
                key: hash::fnv(observation.vm.name.as_bytes()),
                present: false,
                alive: false,
                settled: false,
                settles_at_us: 0,
                present_since: now,
                flaps: 0,
                changed_at: now,
                last_seen_round: 0,
            }),
        };
        let is_new = candidate.last_seen_round == 0;
        candidate.last_seen_round = round;
        let replaced = candidate.vm.incarnation != observation.vm.incarnation;
        let was_eligible = candidate.is_eligible() && !replaced;
        let was_present = candidate.present && !replaced;
        changes.any_gone |= candidate.present && (replaced || !observation.present);
        if replaced {
            candidate.vm = observation.vm.clone();
        }
        if observation.present && !was_present {
            if !is_new {
                candidate.flaps += 1;
            }
            let hold_us = hold_down(&self.settings, candidate.flaps).as_micros() as i64;
            candidate.settles_at_us = now.as_micros() as i64 - observation.age_us + hold_us;
            candidate.present_since = now;
            candidate.changed_at = now;
            changes.joined.push(observation.vm.name.clone());
        }
        if was_present && !observation.present {
            candidate.changed_at = now;
        }
        candidate.present = observation.present;
        candidate.alive = observation.alive;
        candidate.settled =
            observation.present && now.as_micros() as i64 >= candidate.settles_at_us;
        let reset = Duration::from_millis(self.settings.flap_reset_ms);
        if candidate.settled && now.since(candidate.changed_at) >= reset {
            candidate.flaps = 0;
        }
        if candidate.is_eligible() && !was_eligible {
            changes.newly_eligible.push(observation.vm.name.clone());
        }
    }

    /// Marks VMs that are no longer among the members as absent, and removes those that have
    /// been absent for so long that their number of flaps is reset.
    fn mark_absent(&mut self, now: Time, changes: &mut CandidateChanges) {
        let round = self.round;
        let reset = Duration::from_millis(self.settings.flap_reset_ms);
        self.by_name.retain(|_, candidate| {
            if candidate.last_seen_round != round && candidate.present {
                candidate.present = false;
                candidate.alive = false;
                candidate.changed_at = now;
                changes.any_gone = true;
            }
            candidate.present || now.since(candidate.changed_at) < reset
        });
    }

    /// Makes this VM settle again because other VMs declared it dead in the meantime.
    pub(super) fn restart(&mut self, name: &Name) {
        if let Some(candidate) = self.by_name.get_mut(name) {
            candidate.present = false;
            candidate.alive = false;
        }
    }
}

/// Returns the time for which a VM must have been alive before it takes shards over.
///
/// It doubles with each flap after the first, so that a flapping VM stops moving shards. The
/// first flap is not counted because a restarted VM doesn't have a record of it.
fn hold_down(settings: &OwnershipSettings, flaps: u32) -> Duration {
    let doubled = settings.settle_ms.saturating_mul(1 << flaps.saturating_sub(1).min(16));
    Duration::from_millis(doubled.min(settings.max_hold_down_ms.max(settings.settle_ms)))
}

/// Returns how long a member has been alive.
///
/// For a member that is older than this VM's clock, `since` is truncated to the clock's
/// start. Its incarnation, which is the Unix time of its start, then gives its age; without
/// it a new VM would consider the whole fleet as new as itself.
fn age_us(now: Time, started: Time, me: &Vm, member: &Member) -> i64 {
    let seen_us = now.since(member.since).as_micros() as i64;
    if member.since > started {
        return seen_us;
    }
    let lead_ms = me.incarnation.saturating_sub(member.vm.incarnation) as i64;
    let by_incarnation_us = now.since(started).as_micros() as i64 + lead_ms.saturating_mul(1000);
    seen_us.max(by_incarnation_us)
}
