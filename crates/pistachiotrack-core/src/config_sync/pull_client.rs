//! Which peer to ask for a newer configuration.

use std::time::Duration;

use rand::{Rng, RngExt, seq::IteratorRandom};
use rustc_hash::FxHashMap;

use super::pull_server::REDIRECT_DELAY;
use crate::{name::Name, time::Time, vm::Vm};

/// Peers remembered as holders of a newer version.
const MAX_HOLDERS: usize = 64;
/// Time for which a peer that gave nothing usable isn't asked again.
const UNUSABLE_DELAY: Duration = Duration::from_secs(1);
/// Time for which a peer that didn't answer isn't asked again.
const UNRESPONSIVE_DELAY: Duration = Duration::from_millis(400);
/// Time after which a pull is given up for a peer that was heard of meanwhile, if the one
/// before it wasn't answered either.
const SUPERSEDED_AFTER: Duration = Duration::from_millis(100);
/// PullClient in a row that end early before one is given the longer time: the
/// paths may be slow and not lossy.
const MAX_SHORT_TIMEOUTS: u32 = 8;
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// The pulls of one VM: one at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct PullClient {
    holders: FxHashMap<Name, Holder>,
    in_flight: Option<InFlight>,
    /// Whether the next question asks for the whole value.
    pub(super) wants_full: bool,
    rejected: Option<RejectedVersion>,
    consecutive_timeouts: u32,
}

/// How long an answer may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct PullTimeouts {
    /// For deltas, which are small.
    pub(super) delta: Duration,
    /// For the whole value.
    pub(super) full: Duration,
}

#[derive(Clone, Debug)]
struct Holder {
    vm: Vm,
    version: u64,
    not_before: Time,
    /// Moment of its last word.
    announced_at: Time,
    /// Whether it has left a pull unanswered since.
    is_unresponsive: bool,
}

#[derive(Clone, Debug)]
struct InFlight {
    peer: Name,
    started: Time,
    until: Time,
}

/// A version whose content was refused when it came from a peer.
#[derive(Clone, Copy, Debug)]
struct RejectedVersion {
    version: u64,
    rejections: u32,
    until: Time,
}

impl PullClient {
    /// Takes the word of a peer that it holds a version newer than the one held here.
    pub(super) fn on_announcement(&mut self, now: Time, vm: &Vm, version: u64, rng: &mut impl Rng) {
        self.record_holder(now, vm, version);
        if let Some(holder) = self.holders.get_mut(&vm.name) {
            holder.announced_at = now;
            holder.is_unresponsive = false;
        }
        let is_superseded = |pull: &InFlight| now.since(pull.started) >= SUPERSEDED_AFTER;
        if self.consecutive_timeouts > 0 && self.in_flight.as_ref().is_some_and(is_superseded) {
            self.time_out(now, rng);
        }
    }

    /// Notes that a peer holds a version newer than the one held here.
    pub(super) fn record_holder(&mut self, now: Time, vm: &Vm, version: u64) {
        if let Some(holder) = self.holders.get_mut(&vm.name) {
            holder.version = version;
            if holder.vm != *vm {
                holder.vm = vm.clone();
            }
            return;
        }
        if self.holders.len() >= MAX_HOLDERS && !self.evict_older(version) {
            return;
        }
        let holder = Holder {
            vm: vm.clone(),
            version,
            not_before: Time::ZERO,
            announced_at: now,
            is_unresponsive: false,
        };
        self.holders.insert(vm.name.clone(), holder);
    }

    /// Notes that a peer was put off by one that answers too many, which named
    /// others. These are only being answered now, so that they are asked a little
    /// later, and not all at the same moment.
    pub(super) fn on_redirect(
        &mut self,
        now: Time,
        peer: &str,
        version: u64,
        holders: &[Vm],
        rng: &mut impl Rng,
    ) {
        self.back_off(now, peer, REDIRECT_DELAY, rng);
        for vm in holders {
            if !self.holders.contains_key(&vm.name) {
                self.record_holder(now, vm, version);
                self.back_off(now, &vm.name, REDIRECT_DELAY, rng);
            }
        }
    }

    /// Returns the peer that is being asked.
    pub(super) fn current_peer(&self) -> Option<&Name> {
        self.in_flight.as_ref().map(|pull| &pull.peer)
    }

    /// Returns how many peers are known to hold a newer version.
    pub(super) fn holder_count(&self) -> usize {
        self.holders.len()
    }

    /// Forgets a peer that is gone or has nothing newer.
    pub(super) fn forget(&mut self, peer: &str) {
        self.holders.remove(peer);
    }

    /// Forgets the peers that have nothing newer than `held`.
    pub(super) fn on_activated(&mut self, active: u64) {
        self.holders.retain(|_, holder| holder.version > active);
        self.wants_full = false;
    }

    /// Returns the peer to ask now, if no other is being asked.
    pub(super) fn start(
        &mut self,
        now: Time,
        data_centre: &str,
        timeouts: PullTimeouts,
        rng: &mut impl Rng,
    ) -> Option<Vm> {
        if self.in_flight.is_some() {
            return None;
        }
        let vm = self.choose_peer(now, data_centre, rng)?;
        // A lost message must not cost a large part of the time that a change
        // may take; a slow whole value must not be asked for from many peers.
        let use_full_timeout = self.wants_full || self.consecutive_timeouts == MAX_SHORT_TIMEOUTS;
        let timeout = if use_full_timeout { timeouts.full } else { timeouts.delta };
        self.in_flight =
            Some(InFlight { peer: vm.name.clone(), started: now, until: now + timeout });
        Some(vm)
    }

    /// Returns the peer that answers soonest, as far as can be told.
    fn choose_peer(&self, now: Time, data_centre: &str, rng: &mut impl Rng) -> Option<Vm> {
        let rejected = self.rejected.filter(|rejected| now < rejected.until);
        let is_available = |holder: &&Holder| {
            now >= holder.not_before && rejected.is_none_or(|it| holder.version != it.version)
        };
        // A peer that lost power is taken for alive for a while; being near, it would be asked
        // again and again while others would answer.
        let is_responsive = |holder: &&Holder| is_available(holder) && !holder.is_unresponsive;
        let any_responsive = self.holders.values().any(|holder| is_responsive(&holder));
        let is_eligible = |holder: &&Holder| {
            if any_responsive { is_responsive(holder) } else { is_available(holder) }
        };
        let newest =
            self.holders.values().filter(is_eligible).map(|holder| holder.version).max()?;
        let newest_holders = || {
            let holders = self.holders.values().filter(is_eligible);
            holders.filter(|holder| holder.version == newest)
        };
        let holder = if self.consecutive_timeouts > 0 {
            newest_holders().max_by_key(|holder| holder.announced_at)
        } else {
            let nearby = newest_holders()
                .filter(|holder| *holder.vm.data_centre == *data_centre)
                .choose(rng);
            nearby.or_else(|| newest_holders().choose(rng))
        };
        holder.map(|holder| holder.vm.clone())
    }

    /// Notes that an answer of `peer` came or can't come any more.
    pub(super) fn on_finished(&mut self, peer: &str) {
        if self.in_flight.as_ref().is_some_and(|pull| *pull.peer == *peer) {
            self.in_flight = None;
            self.consecutive_timeouts = 0;
        }
    }

    /// Leaves a peer alone for a while after it gave nothing usable.
    pub(super) fn back_off_unusable(&mut self, now: Time, peer: &str, rng: &mut impl Rng) {
        self.back_off(now, peer, UNUSABLE_DELAY, rng);
    }

    /// Ends a pull that has taken too long. A paused or vanished peer never
    /// answers, and the next one may.
    pub(super) fn on_tick(&mut self, now: Time, rng: &mut impl Rng) {
        if self.in_flight.as_ref().is_some_and(|pull| now >= pull.until) {
            self.time_out(now, rng);
        }
    }

    fn time_out(&mut self, now: Time, rng: &mut impl Rng) {
        let Some(pull) = self.in_flight.take() else { return };
        self.consecutive_timeouts = (self.consecutive_timeouts + 1) % (MAX_SHORT_TIMEOUTS + 1);
        self.back_off(now, &pull.peer, UNRESPONSIVE_DELAY, rng);
        self.mark_unresponsive(&pull.peer);
    }

    /// Notes that a peer left a pull unanswered.
    pub(super) fn mark_unresponsive(&mut self, peer: &str) {
        if let Some(holder) = self.holders.get_mut(peer) {
            holder.is_unresponsive = true;
        }
    }

    fn back_off(&mut self, now: Time, peer: &str, delay: Duration, rng: &mut impl Rng) {
        if let Some(holder) = self.holders.get_mut(peer) {
            holder.not_before = now + delay.mul_f64(rng.random_range(0.5..1.5));
        }
    }

    /// Leaves a version alone for a growing while after its content was
    /// refused: every peer may have the same, and each would be asked in turn.
    pub(super) fn back_off_version(&mut self, now: Time, version: u64) {
        let previous = self.rejected.filter(|rejected| rejected.version == version);
        let rejections =
            previous.map_or(0, |rejected| (rejected.rejections + 1).min(MAX_BACKOFF_DOUBLINGS));
        let until = now + Duration::from_secs(1 << rejections);
        self.rejected = Some(RejectedVersion { version, rejections, until });
    }

    /// Returns the newest version that a peer which may be asked reports.
    pub(super) fn newest_available(&self, now: Time) -> Option<u64> {
        let available = self.holders.values().filter(|holder| now >= holder.not_before);
        available.map(|holder| holder.version).max()
    }

    fn evict_older(&mut self, version: u64) -> bool {
        let oldest = self.holders.values().min_by_key(|holder| holder.version);
        let Some(oldest) = oldest.filter(|holder| holder.version < version) else { return false };
        let name = oldest.vm.name.clone();
        self.holders.remove(&name);
        true
    }
}
