//! Which peer to ask for a newer configuration.

use std::time::Duration;

use rand::{Rng, RngExt, seq::IteratorRandom};
use rustc_hash::FxHashMap;

use super::serving::PUT_OFF;
use crate::{name::Name, time::Time, vm::Vm};

/// Peers remembered as holders of a newer version.
const MAX_HOLDERS: usize = 64;
/// Time for which a peer that gave nothing usable isn't asked again.
const USELESS_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a peer that didn't answer isn't asked again.
const SILENT_PAUSE: Duration = Duration::from_millis(400);
/// Time after which a pull is given up for a peer that was heard of meanwhile, if the one
/// before it wasn't answered either.
const OVERTAKEN_AFTER: Duration = Duration::from_millis(100);
/// Pulls in a row that end early before one is given the longer time: the
/// paths may be slow and not lossy.
const EARLY_TIMEOUTS: u32 = 8;
const MAX_HOLD_DOUBLINGS: u32 = 6;

/// The pulls of one VM: one at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Pulls {
    holders: FxHashMap<Name, Holder>,
    in_flight: Option<InFlight>,
    /// Whether the next question asks for the whole value.
    pub(super) whole: bool,
    refused: Option<RefusedVersion>,
    timeouts_in_row: u32,
}

/// How long an answer may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct PullTimeouts {
    /// For deltas, which are small.
    pub(super) early: Duration,
    /// For the whole value.
    pub(super) late: Duration,
}

#[derive(Clone, Debug)]
struct Holder {
    vm: Vm,
    version: u64,
    not_before: Time,
    /// Moment of its last word.
    heard: Time,
    /// Whether it has left a pull unanswered since.
    is_silent: bool,
}

#[derive(Clone, Debug)]
struct InFlight {
    peer: Name,
    begun: Time,
    until: Time,
}

/// A version whose content was refused when it came from a peer.
#[derive(Clone, Copy, Debug)]
struct RefusedVersion {
    version: u64,
    times: u32,
    until: Time,
}

impl Pulls {
    /// Takes the word of a peer that it holds a version newer than the one held here.
    pub(super) fn hear(&mut self, now: Time, vm: &Vm, version: u64, rng: &mut impl Rng) {
        self.note(now, vm, version);
        if let Some(holder) = self.holders.get_mut(&vm.name) {
            holder.heard = now;
            holder.is_silent = false;
        }
        let overtaken = |pull: &InFlight| now.since(pull.begun) >= OVERTAKEN_AFTER;
        if self.timeouts_in_row > 0 && self.in_flight.as_ref().is_some_and(overtaken) {
            self.give_up(now, rng);
        }
    }

    /// Notes that a peer holds a version newer than the one held here.
    pub(super) fn note(&mut self, now: Time, vm: &Vm, version: u64) {
        if let Some(holder) = self.holders.get_mut(&vm.name) {
            holder.version = version;
            if holder.vm != *vm {
                holder.vm = vm.clone();
            }
            return;
        }
        if self.holders.len() >= MAX_HOLDERS && !self.make_room(version) {
            return;
        }
        let holder = Holder {
            vm: vm.clone(),
            version,
            not_before: Time::ZERO,
            heard: now,
            is_silent: false,
        };
        self.holders.insert(vm.name.clone(), holder);
    }

    /// Notes that a peer was put off by one that answers too many, which named
    /// others. These are only being answered now, so that they are asked a little
    /// later, and not all at the same moment.
    pub(super) fn on_put_off(
        &mut self,
        now: Time,
        peer: &str,
        version: u64,
        holders: &[Vm],
        rng: &mut impl Rng,
    ) {
        self.pause(now, peer, PUT_OFF, rng);
        for vm in holders {
            if !self.holders.contains_key(&vm.name) {
                self.note(now, vm, version);
                self.pause(now, &vm.name, PUT_OFF, rng);
            }
        }
    }

    /// Returns the peer that is being asked.
    pub(super) fn asking(&self) -> Option<&Name> {
        self.in_flight.as_ref().map(|pull| &pull.peer)
    }

    /// Returns how many peers are known to hold a newer version.
    pub(super) fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Forgets a peer that is gone or has nothing newer.
    pub(super) fn forget(&mut self, peer: &str) {
        self.holders.remove(peer);
    }

    /// Forgets the peers that have nothing newer than `held`.
    pub(super) fn on_held(&mut self, held: u64) {
        self.holders.retain(|_, holder| holder.version > held);
        self.whole = false;
    }

    /// Returns the peer to ask now, if no other is being asked.
    pub(super) fn begin(
        &mut self,
        now: Time,
        near: &str,
        timeouts: PullTimeouts,
        rng: &mut impl Rng,
    ) -> Option<Vm> {
        if self.in_flight.is_some() {
            return None;
        }
        let vm = self.choose(now, near, rng)?;
        // A lost message must not cost a large part of the time that a change
        // may take; a slow whole value must not be asked for from many peers.
        let late = self.whole || self.timeouts_in_row == EARLY_TIMEOUTS;
        let timeout = if late { timeouts.late } else { timeouts.early };
        self.in_flight = Some(InFlight { peer: vm.name.clone(), begun: now, until: now + timeout });
        Some(vm)
    }

    /// Returns the peer that answers soonest, as far as can be told.
    fn choose(&self, now: Time, near: &str, rng: &mut impl Rng) -> Option<Vm> {
        let refused = self.refused.filter(|refused| now < refused.until);
        let usable = |holder: &&Holder| {
            now >= holder.not_before && refused.is_none_or(|it| holder.version != it.version)
        };
        // A peer that lost power is taken for alive for a while; being near, it would be asked
        // again and again while others would answer.
        let answers = |holder: &&Holder| usable(holder) && !holder.is_silent;
        let some_answer = self.holders.values().any(|holder| answers(&holder));
        let candidate =
            |holder: &&Holder| if some_answer { answers(holder) } else { usable(holder) };
        let newest = self.holders.values().filter(candidate).map(|holder| holder.version).max()?;
        let best = || {
            let holders = self.holders.values().filter(candidate);
            holders.filter(|holder| holder.version == newest)
        };
        let holder = if self.timeouts_in_row > 0 {
            best().max_by_key(|holder| holder.heard)
        } else {
            let nearby = best().filter(|holder| *holder.vm.data_centre == *near).choose(rng);
            nearby.or_else(|| best().choose(rng))
        };
        holder.map(|holder| holder.vm.clone())
    }

    /// Notes that an answer of `peer` came or can't come any more.
    pub(super) fn on_end(&mut self, peer: &str) {
        if self.in_flight.as_ref().is_some_and(|pull| *pull.peer == *peer) {
            self.in_flight = None;
            self.timeouts_in_row = 0;
        }
    }

    /// Leaves a peer alone for a while after it gave nothing usable.
    pub(super) fn pause_peer(&mut self, now: Time, peer: &str, rng: &mut impl Rng) {
        self.pause(now, peer, USELESS_PAUSE, rng);
    }

    /// Ends a pull that has taken too long. A paused or vanished peer never
    /// answers, and the next one may.
    pub(super) fn on_tick(&mut self, now: Time, rng: &mut impl Rng) {
        if self.in_flight.as_ref().is_some_and(|pull| now >= pull.until) {
            self.give_up(now, rng);
        }
    }

    fn give_up(&mut self, now: Time, rng: &mut impl Rng) {
        let Some(pull) = self.in_flight.take() else { return };
        self.timeouts_in_row = (self.timeouts_in_row + 1) % (EARLY_TIMEOUTS + 1);
        self.pause(now, &pull.peer, SILENT_PAUSE, rng);
        self.mark_silent(&pull.peer);
    }

    /// Notes that a peer left a pull unanswered.
    pub(super) fn mark_silent(&mut self, peer: &str) {
        if let Some(holder) = self.holders.get_mut(peer) {
            holder.is_silent = true;
        }
    }

    fn pause(&mut self, now: Time, peer: &str, pause: Duration, rng: &mut impl Rng) {
        if let Some(holder) = self.holders.get_mut(peer) {
            holder.not_before = now + pause.mul_f64(rng.random_range(0.5..1.5));
        }
    }

    /// Leaves a version alone for a growing while after its content was
    /// refused: every peer may have the same, and each would be asked in turn.
    pub(super) fn refuse_version(&mut self, now: Time, version: u64) {
        let same = self.refused.filter(|refused| refused.version == version);
        let times = same.map_or(0, |refused| (refused.times + 1).min(MAX_HOLD_DOUBLINGS));
        let until = now + Duration::from_secs(1 << times);
        self.refused = Some(RefusedVersion { version, times, until });
    }

    /// Returns the newest version that a peer which may be asked reports.
    pub(super) fn newest(&self, now: Time) -> Option<u64> {
        let usable = self.holders.values().filter(|holder| now >= holder.not_before);
        usable.map(|holder| holder.version).max()
    }

    fn make_room(&mut self, version: u64) -> bool {
        let oldest = self.holders.values().min_by_key(|holder| holder.version);
        let Some(oldest) = oldest.filter(|holder| holder.version < version) else { return false };
        let name = oldest.vm.name.clone();
        self.holders.remove(&name);
        true
    }
}
