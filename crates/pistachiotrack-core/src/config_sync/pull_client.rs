//! Selection of the peer to pull a newer configuration from.

use std::time::Duration;

use rand::{Rng, RngExt, seq::IteratorRandom};
use rustc_hash::FxHashMap;

use super::pull_server::REDIRECT_DELAY;
use crate::{name::Name, time::Time, vm::Vm};

/// Maximum number of peers tracked as holders of a newer version.
const MAX_HOLDERS: usize = 64;
/// Delay before a peer with an unusable response is sent another request.
const UNUSABLE_DELAY: Duration = Duration::from_secs(1);
/// Delay before a peer that didn't respond is sent another request.
const UNRESPONSIVE_DELAY: Duration = Duration::from_millis(400);
/// Time after which a pull is abandoned in favour of a peer that has announced a version
/// meanwhile, if the previous pull timed out as well.
const SUPERSEDED_AFTER: Duration = Duration::from_millis(100);
/// Consecutive pulls with the short timeout before one gets the long timeout, since the
/// paths may be slow rather than lossy.
const MAX_SHORT_TIMEOUTS: u32 = 8;
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// The pulls of one VM, one at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct PullClient {
    holders: FxHashMap<Name, Holder>,
    in_flight: Option<InFlight>,
    /// Whether the next request asks for the full configuration.
    pub(super) needs_full: bool,
    rejected: Option<RejectedVersion>,
    consecutive_timeouts: u32,
}

/// Timeouts of a pull.
#[derive(Clone, Copy, Debug)]
pub(super) struct PullTimeouts {
    /// For deltas, which are small.
    pub(super) delta: Duration,
    /// For the full configuration.
    pub(super) full: Duration,
}

#[derive(Clone, Debug)]
struct Holder {
    vm: Vm,
    version: u64,
    not_before: Time,
    /// Time of its last announcement.
    announced_at: Time,
    /// Whether a pull from it has timed out or failed since that announcement.
    is_unresponsive: bool,
}

#[derive(Clone, Debug)]
struct InFlight {
    peer: Name,
    started: Time,
    until: Time,
}

/// A version whose content was rejected when a peer sent it.
#[derive(Clone, Copy, Debug)]
struct RejectedVersion {
    version: u64,
    rejections: u32,
    until: Time,
}

impl PullClient {
    /// Records a peer's announcement of a version newer than the active one.
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

    /// Records that a peer holds a version newer than the active one.
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

    /// Records that a peer at its bandwidth limit redirected this VM to other holders.
    /// They are just receiving the version, so they are queried after a delay, which is
    /// randomized so that requests don't coincide.
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

    /// Returns the peer of the pull in flight.
    pub(super) fn current_peer(&self) -> Option<&Name> {
        self.in_flight.as_ref().map(|pull| &pull.peer)
    }

    /// Returns the number of peers known to hold a newer version.
    pub(super) fn holder_count(&self) -> usize {
        self.holders.len()
    }

    /// Removes a peer that is gone or has nothing newer.
    pub(super) fn forget(&mut self, peer: &str) {
        self.holders.remove(peer);
    }

    /// Removes the peers that have nothing newer than `active`.
    pub(super) fn on_activated(&mut self, active: u64) {
        self.holders.retain(|_, holder| holder.version > active);
        self.needs_full = false;
    }

    /// Starts a pull and returns the peer to query, unless one is in flight already.
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
        // With a long timeout, a lost message would use up much of the time in which a
        // change has to arrive. With a short one, a full configuration over a slow
        // link would be requested from many peers.
        let use_full_timeout = self.needs_full || self.consecutive_timeouts == MAX_SHORT_TIMEOUTS;
        let timeout = if use_full_timeout { timeouts.full } else { timeouts.delta };
        self.in_flight =
            Some(InFlight { peer: vm.name.clone(), started: now, until: now + timeout });
        Some(vm)
    }

    /// Returns the peer that is likely to respond first.
    fn choose_peer(&self, now: Time, data_centre: &str, rng: &mut impl Rng) -> Option<Vm> {
        let rejected = self.rejected.filter(|rejected| now < rejected.until);
        let is_available = |holder: &&Holder| {
            now >= holder.not_before && rejected.is_none_or(|it| holder.version != it.version)
        };
        // A peer that lost power counts as alive for some time. If it is in this data
        // centre, it would be chosen repeatedly although others would respond.
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

    /// Records that a pull from `peer` has ended, with or without a response.
    pub(super) fn on_finished(&mut self, peer: &str) {
        if self.in_flight.as_ref().is_some_and(|pull| *pull.peer == *peer) {
            self.in_flight = None;
            self.consecutive_timeouts = 0;
        }
    }

    /// Delays the next pull from a peer whose response was unusable.
    pub(super) fn back_off_unusable(&mut self, now: Time, peer: &str, rng: &mut impl Rng) {
        self.back_off(now, peer, UNUSABLE_DELAY, rng);
    }

    /// Ends a pull that has timed out. A paused or stopped peer never responds, but
    /// another one may.
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

    /// Records that a peer didn't respond to a pull.
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

    /// Delays further pulls of a version whose content was rejected, exponentially.
    /// Every peer may have the same content, and each would be queried in turn.
    pub(super) fn back_off_version(&mut self, now: Time, version: u64) {
        let previous = self.rejected.filter(|rejected| rejected.version == version);
        let rejections =
            previous.map_or(0, |rejected| (rejected.rejections + 1).min(MAX_BACKOFF_DOUBLINGS));
        let until = now + Duration::from_secs(1 << rejections);
        self.rejected = Some(RejectedVersion { version, rejections, until });
    }

    /// Returns the newest version among the peers that may be queried now.
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
