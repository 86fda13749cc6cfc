//! The VMs that may own shards, and since when.

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

/// A VM that owns shards or may own some.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) vm: Vm,
    /// Hash of the name.
    pub(super) key: u64,
    /// Whether it is there: alive, or suspected after it was alive.
    pub(super) present: bool,
    /// Whether it is alive without suspicion.
    pub(super) alive: bool,
    /// Whether it has been alive for long enough to take shards over.
    pub(super) settled: bool,
    /// Moment from which it counts as settled, in microseconds of this VM's
    /// clock; negative when it was before the clock's start.
    pub(super) settles_at_us: i64,
    present_since: Time,
    flaps: u32,
    changed_at: Time,
    seen_in: u64,
}

impl Candidate {
    /// Returns whether it may take a shard from a living owner.
    pub(super) fn can_win(&self) -> bool {
        self.present && self.alive && self.settled
    }
}

/// What a look at the members brought to light.
#[derive(Debug, Default)]
pub(super) struct News {
    /// Whether a VM went away, or came back as another incarnation.
    pub(super) gone: bool,
    /// VMs that may take shards over now and could not before.
    pub(super) winners: Vec<Name>,
    /// VMs that came, settled or not.
    pub(super) came: Vec<Name>,
}

impl News {
    pub(super) fn is_empty(&self) -> bool {
        !self.gone && self.winners.is_empty() && self.came.is_empty()
    }
}

/// What is seen of one VM at one moment.
struct Sight<'a> {
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

    /// Returns whether the very daemon `vm` has been there since `moment`.
    pub(super) fn is_there_since(&self, vm: &Vm, moment: Time) -> bool {
        self.get(&vm.name).is_some_and(|candidate| {
            candidate.present
                && candidate.vm.incarnation == vm.incarnation
                && candidate.present_since <= moment
        })
    }

    /// Compares the candidates with the members and this VM.
    pub(super) fn observe<'a>(
        &mut self,
        now: Time,
        me: &Vm,
        my_alive_since: Time,
        leaving: bool,
        members: impl Iterator<Item = &'a Member>,
    ) -> News {
        let started = *self.started.get_or_insert(now);
        self.round += 1;
        let mut news = News::default();
        let my_age_us = now.since(my_alive_since).as_micros() as i64;
        let mine = Sight { vm: me, present: !leaving, alive: !leaving, age_us: my_age_us };
        self.see(now, &mine, &mut news);
        for member in members {
            // Incarnation 0 is a line of the platform's list that nobody heard.
            let known = member.vm.incarnation > 0;
            let alive = known && member.state == MemberState::Alive;
            let present =
                known && matches!(member.state, MemberState::Alive | MemberState::Suspect);
            if member.vm.name == me.name || !(present || self.by_name.contains_key(&member.vm.name))
            {
                continue;
            }
            let age_us = age_us(now, started, me, member);
            self.see(now, &Sight { vm: &member.vm, present, alive, age_us }, &mut news);
        }
        self.sweep(now, &mut news);
        news
    }

    fn see(&mut self, now: Time, sight: &Sight<'_>, news: &mut News) {
        let round = self.round;
        let candidate = match self.by_name.get_mut(&sight.vm.name) {
            Some(candidate) => candidate,
            None => self.by_name.entry(sight.vm.name.clone()).or_insert(Candidate {
                vm: sight.vm.clone(),
                key: hash::fnv(sight.vm.name.as_bytes()),
                present: false,
                alive: false,
                settled: false,
                settles_at_us: 0,
                present_since: now,
                flaps: 0,
                changed_at: now,
                seen_in: 0,
            }),
        };
        let is_new = candidate.seen_in == 0;
        candidate.seen_in = round;
        let replaced = candidate.vm.incarnation != sight.vm.incarnation;
        let could_win = candidate.can_win() && !replaced;
        let was_present = candidate.present && !replaced;
        news.gone |= candidate.present && (replaced || !sight.present);
        if replaced {
            candidate.vm = sight.vm.clone();
        }
        if sight.present && !was_present {
            if !is_new {
                candidate.flaps += 1;
            }
            let hold_us = hold_down(&self.settings, candidate.flaps).as_micros() as i64;
            candidate.settles_at_us = now.as_micros() as i64 - sight.age_us + hold_us;
            candidate.present_since = now;
            candidate.changed_at = now;
            news.came.push(sight.vm.name.clone());
        }
        if was_present && !sight.present {
            candidate.changed_at = now;
        }
        candidate.present = sight.present;
        candidate.alive = sight.alive;
        candidate.settled = sight.present && now.as_micros() as i64 >= candidate.settles_at_us;
        let memory = Duration::from_millis(self.settings.flap_memory_ms);
        if candidate.settled && now.since(candidate.changed_at) >= memory {
            candidate.flaps = 0;
        }
        if candidate.can_win() && !could_win {
            news.winners.push(sight.vm.name.clone());
        }
    }

    /// Marks VMs that are no longer among the members as gone, and forgets those
    /// that have been gone for so long that their flaps don't count any more.
    fn sweep(&mut self, now: Time, news: &mut News) {
        let round = self.round;
        let memory = Duration::from_millis(self.settings.flap_memory_ms);
        self.by_name.retain(|_, candidate| {
            if candidate.seen_in != round && candidate.present {
                candidate.present = false;
                candidate.alive = false;
                candidate.changed_at = now;
                news.gone = true;
            }
            candidate.present || now.since(candidate.changed_at) < memory
        });
    }

    /// Has this VM start over, because the others declared it dead meanwhile.
    pub(super) fn restart(&mut self, name: &Name) {
        if let Some(candidate) = self.by_name.get_mut(name) {
            candidate.present = false;
            candidate.alive = false;
        }
    }
}

/// Returns the time for which a VM must have been alive before it takes shards
/// over; it doubles with each flap after the first, so a flapping VM stops moving
/// shards. The first is left out because a restarted VM can't know of it.
fn hold_down(settings: &OwnershipSettings, flaps: u32) -> Duration {
    let doubled = settings.settle_ms.saturating_mul(1 << flaps.saturating_sub(1).min(16));
    Duration::from_millis(doubled.min(settings.max_hold_down_ms.max(settings.settle_ms)))
}

/// Returns how long a member has been alive.
///
/// A member that was there before this VM's clock began has a `since` cut off at
/// the clock's start. Its incarnation, the Unix time of its start, then tells
/// more: without it a new VM would hold an old fleet for as new as itself.
fn age_us(now: Time, started: Time, me: &Vm, member: &Member) -> i64 {
    let seen_us = now.since(member.since).as_micros() as i64;
    if member.since > started {
        return seen_us;
    }
    let lead_ms = me.incarnation.saturating_sub(member.vm.incarnation) as i64;
    let by_incarnation_us = now.since(started).as_micros() as i64 + lead_ms.saturating_mul(1000);
    seen_us.max(by_incarnation_us)
}
