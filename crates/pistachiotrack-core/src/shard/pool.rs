//! Slots of the shard's endpoints: who holds them and which one is next.

mod pick;
mod ranking;
mod rates;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;

pub(super) use self::pick::{Pick, Wanted};
use super::{Choice, EndpointKey, ShardMode};
use crate::{
    concurrency_limit::AdaptiveConcurrencyLimit,
    endpoint::Endpoint,
    feature_flags::FeatureFlags,
    health::{ConfiguredEndpoint, Health, HealthState},
    name::Name,
    rate_limit::{RateLimit, RateShare, SharedRateLimiter},
    time::Time,
};

/// Part of all slots that a VM uses that is not the owner, as a divisor.
const CAREFUL_DIVISOR: u32 = 4;
/// Part of an endpoint's slots that is used while a predecessor's work may
/// still run, as a divisor.
const SETTLING_DIVISOR: u32 = 2;
/// One of so many idempotent requests treats a suspect endpoint like others,
/// so that the evidence for or against it goes on.
const EXPLORE_ONE_IN: u32 = 8;

/// Slots of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    pub(super) endpoint: Endpoint,
    pub(super) standing: HealthState,
    pub(super) in_flight: u32,
    /// Share of its slots that the endpoint may use.
    share: f64,
    /// Requests that may be in flight now.
    pub(super) limit: u32,
    is_configured: bool,
    adaptive: AdaptiveConcurrencyLimit,
    foreign: u32,
    foreign_until: Time,
    /// How likely the next request fails for a reason that another endpoint would spare
    /// it, and when the last answer was seen.
    risk: f64,
    last_seen: Option<Time>,
    /// Moment of the last request that any VM is known to have sent.
    last_sent: Time,
    /// Whether it joined while this VM was at work, and nobody has tried it yet.
    is_untried: bool,
    /// What may be sent in a second, if the endpoint ever named a limit.
    rate: Option<SharedRateLimiter>,
    /// Whether its limit leaves no room for requests of this VM.
    is_left_to_others: bool,
    /// Requests that other VMs have in flight, each count with its last moment.
    peers: Vec<(Name, u32, Time)>,
}

impl Slots {
    /// Returns how many requests the other VMs have in flight.
    fn peer_count(&self) -> u32 {
        self.peers.iter().map(|(_, count, _)| count).sum()
    }

    /// Returns whether it gets work and has a slot for one more request now.
    fn is_free(&self, now: Time, share: RateShare) -> bool {
        let may_send = self.rate.as_ref().is_none_or(|rate| rate.may_send(now, share));
        may_send && self.accepts_work() && self.in_flight < self.limit
    }

    /// Returns the limit that the endpoint names.
    pub(super) fn rate_limit(&self) -> Option<RateLimit> {
        self.rate.as_ref().and_then(SharedRateLimiter::limit)
    }

    fn accepts_work(&self) -> bool {
        self.is_configured
            && !self.is_left_to_others
            && !self.endpoint.leaving
            && self.share > 0.0
            && !matches!(self.standing, HealthState::Ejected | HealthState::Draining)
    }
}

/// Whether it was tried, rank of its standing, load and a random tie-break;
/// the least is chosen.
type PickOrder = (bool, u32, u32, u32);

/// The endpoints of a shard with the slots in use.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    slots: BTreeMap<Name, Slots>,
    by_key: FxHashMap<EndpointKey, Name>,
    mode: ShardMode,
    settled_at: Time,
    in_flight: u32,
    in_flight_limit: u32,
    capacity: u32,
    /// Requests a second that endpoints which name a limit take from all VMs in view.
    limited_per_second: f64,
    rate_share: RateShare,
    /// Slots whose attempt ended without an answer, by the time they are free.
    lingering: BTreeSet<(Time, u64, Name)>,
    next_serial: u64,
    /// Endpoints whose requests in flight have changed.
    changed: Vec<Name>,
    /// Whether endpoints are ranked by how likely they fail.
    by_risk: bool,
    mechanisms: FeatureFlags,
    /// Data centre of this VM.
    home: Option<Name>,
    rng: Pcg32,
}

impl Pool {
    pub(super) fn new(mode: ShardMode, seed: u64, mechanisms: FeatureFlags) -> Pool {
        Pool {
            slots: BTreeMap::new(),
            by_key: FxHashMap::default(),
            mode,
            settled_at: Time::ZERO,
            in_flight: 0,
            in_flight_limit: 0,
            capacity: 0,
            limited_per_second: 0.0,
            rate_share: RateShare::default(),
            lingering: BTreeSet::new(),
            next_serial: 0,
            changed: Vec::new(),
            by_risk: false,
            mechanisms,
            home: None,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    pub(super) fn mode(&self) -> ShardMode {
        self.mode
    }

    pub(super) fn set_mode(&mut self, mode: ShardMode) {
        self.mode = mode;
    }

    /// Halves the limits until `until`.
    ///
    /// A predecessor that didn't hand over may still have work in flight,
    /// which would show as slots used twice and as sheds. Its work ends
    /// within a request's time allowed, which bounds the wait.
    pub(super) fn settle_until(&mut self, until: Time) {
        self.settled_at = until;
    }

    /// Has endpoints ranked by how likely they fail; those known so far aren't
    /// new.
    pub(super) fn rank_by_risk(&mut self, home: Option<Name>) {
        self.by_risk = true;
        self.home = home;
        self.slots.values_mut().for_each(|slots| slots.is_untried = false);
    }

    /// Takes the endpoints of the configuration. One that is gone keeps its
    /// slots in use until they are released, and gets no new work.
    pub(super) fn set_endpoints<'a>(&mut self, endpoints: impl Iterator<Item = &'a Endpoint>) {
        for slots in self.slots.values_mut() {
            slots.is_configured = false;
        }
        for endpoint in endpoints {
            let slots = self.slots.entry(endpoint.name.clone()).or_insert_with(|| Slots {
                endpoint: endpoint.clone(),
                standing: HealthState::Healthy,
                in_flight: 0,
                share: 1.0,
                limit: 0,
                is_configured: true,
                adaptive: AdaptiveConcurrencyLimit::new(endpoint.slots),
                foreign: 0,
                foreign_until: Time::ZERO,
                risk: 0.0,
                last_seen: None,
                last_sent: Time::ZERO,
                is_untried: self.mechanisms.new_endpoints_first,
                rate: None,
                is_left_to_others: false,
                peers: Vec::new(),
            });
            slots.is_configured = true;
            slots.adaptive.set_max(endpoint.slots);
            slots.endpoint = endpoint.clone();
        }
        self.slots.retain(|_, slots| slots.is_configured || slots.in_flight > 0);
        self.by_key = self.slots.keys().map(|name| (EndpointKey::of(name), name.clone())).collect();
    }

    /// Returns the endpoint that other VMs mean by a key.
    pub(super) fn name_of(&self, key: EndpointKey) -> Option<Name> {
        self.by_key.get(&key).cloned()
    }

    pub(super) fn candidates(&self) -> Vec<ConfiguredEndpoint> {
        self.configured()
            .map(|slots| ConfiguredEndpoint {
                name: slots.endpoint.name.clone(),
                leaving: slots.endpoint.leaving,
            })
            .collect()
    }

    /// Works out the limits anew.
    pub(super) fn refresh(&mut self, now: Time, health: &Health) {
        let is_settling = now < self.settled_at;
        let mut all_slots = 0;
        self.capacity = 0;
        self.limited_per_second = 0.0;
        let share = self.rate_share;
        for (name, slots) in &mut self.slots {
            slots.standing = health.state(name);
            if now >= slots.foreign_until {
                slots.foreign = 0;
            }
            slots.peers.retain(|(_, _, until)| now < *until);
            slots.risk = health.avoidable_risk(now, name);
            slots.last_seen = health.last_observed_at(name);
            slots.last_sent = slots.last_sent.max(slots.last_seen.unwrap_or(Time::ZERO));
            slots.is_untried &= slots.last_seen.is_none();
            slots.share = health.share(now, name);
            slots.limit = limit(slots, self.mode, is_settling);
            let rate_limit = slots.rate_limit();
            slots.is_left_to_others = rate_limit.is_some() && share.fraction == 0.0;
            match rate_limit {
                _ if !slots.accepts_work() => {}
                Some(limit) => self.limited_per_second += limit.allowed_per_second(share.fraction),
                None => self.capacity += slots.limit,
            }
            if slots.is_configured {
                all_slots += slots.endpoint.slots;
            }
        }
        self.in_flight_limit = match self.mode {
            ShardMode::Owner | ShardMode::Shared => u32::MAX,
            ShardMode::Careful => (all_slots / CAREFUL_DIVISOR).max(1),
        };
        self.capacity = self.capacity.min(self.in_flight_limit);
    }

    /// Returns the requests that may be in flight at the same time at endpoints that name no
    /// limit.
    pub(super) fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns the slots of the endpoints that get work and fail at most that likely.
    pub(super) fn slots_within(&self, max_risk: f64) -> u32 {
        let within = |slots: &&Slots| slots.accepts_work() && slots.risk <= max_risk;
        self.slots.values().filter(within).map(|slots| slots.endpoint.slots).sum()
    }

    /// Returns the number of endpoints that get work.
    pub(super) fn usable(&self, idempotent: bool) -> usize {
        self.slots
            .values()
            .filter(|slots| slots.accepts_work())
            .filter(|slots| idempotent || slots.standing != HealthState::Trial)
            .count()
    }

    pub(super) fn has_free_slot(&self, now: Time) -> bool {
        let is_free = |slots: &Slots| {
            slots.is_free(now, self.rate_share) && slots.standing != HealthState::Trial
        };
        self.in_flight < self.in_flight_limit && self.slots.values().any(is_free)
    }

    /// Chooses the endpoint of an attempt among those with a free slot.
    ///
    /// Least loaded first. A suspect endpoint is handicapped by a slot for
    /// idempotent requests and comes last for others, which can't be mended
    /// by a retry.
    pub(super) fn pick(&mut self, wanted: Wanted<'_>) -> Option<Pick> {
        if self.in_flight >= self.in_flight_limit {
            return None;
        }
        if self.by_risk {
            return self.pick_by_risk(wanted);
        }
        let explores = wanted.idempotent && self.rng.next_u32().is_multiple_of(EXPLORE_ONE_IN);
        let mut best: Option<(PickOrder, &Slots)> = None;
        for slots in self.slots.values() {
            if !slots.is_free(wanted.now, self.rate_share) {
                continue;
            }
            let is_tried = wanted.tried.contains(&slots.endpoint.name);
            if is_tried && !wanted.allow_tried {
                continue;
            }
            let is_trial = slots.standing == HealthState::Trial;
            if is_trial && (is_tried || !wanted.idempotent || !wanted.may_try) {
                continue;
            }
            let rank = match slots.standing {
                HealthState::Suspect => 1,
                HealthState::HeldByFloor => 2,
                _ => 0,
            };
            let (order, handicap) = match (wanted.idempotent, explores) {
                (false, _) => (rank, 0),
                (true, false) => (0, rank),
                (true, true) => (0, 0),
            };
            let load = match is_trial {
                true => 0,
                false => 1 + (slots.in_flight + handicap) * 1000 / slots.limit.max(1),
            };
            let key = (is_tried, order, load, self.rng.next_u32());
            if best.as_ref().is_none_or(|(best_key, _)| key < *best_key) {
                best = Some((key, slots));
            }
        }
        best.map(|(_, slots)| Pick::of(slots, Choice::Best))
    }

    /// Returns the address of an endpoint that is configured.
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        let slots = self.slots.get(name).filter(|slots| slots.is_configured)?;
        Some(slots.endpoint.address)
    }

    /// Returns whether a health check would keep within the endpoint's slots.
    pub(super) fn may_probe(&self, name: &str) -> bool {
        self.slots.get(name).is_some_and(|slots| {
            slots.is_configured
                && slots.in_flight + slots.foreign + slots.peer_count() < slots.endpoint.slots
        })
    }

    pub(super) fn acquire(&mut self, now: Time, name: &str) {
        if let Some(slots) = self.slots.get_mut(name) {
            slots.last_sent = now;
            slots.in_flight += 1;
            self.in_flight += 1;
            if let Some(rate) = &mut slots.rate {
                rate.on_sent(now, self.rate_share, self.rng.random());
            }
            self.changed.push(slots.endpoint.name.clone());
        }
    }

    pub(super) fn release(&mut self, name: &str) {
        let Some(slots) = self.slots.get_mut(name) else { return };
        slots.in_flight -= 1;
        self.in_flight -= 1;
        self.changed.push(slots.endpoint.name.clone());
        if !slots.is_configured && slots.in_flight == 0 {
            self.slots.remove(name);
        }
    }

    /// Releases a slot at `until` only.
    ///
    /// When a connection breaks or an attempt is given up, the endpoint may
    /// still be at work on it; using the slot at once shows as more work at
    /// the endpoint than it has slots. Work that goes on ends within about
    /// the usual service time.
    pub(super) fn release_later(&mut self, name: &Name, until: Time) {
        self.next_serial += 1;
        self.lingering.insert((until, self.next_serial, name.clone()));
    }

    pub(super) fn release_due(&mut self, now: Time) {
        while self.lingering.first().is_some_and(|(until, ..)| *until <= now) {
            if let Some((_, _, name)) = self.lingering.pop_first() {
                self.release(&name);
            }
        }
    }

    pub(super) fn on_success(&mut self, name: &str) {
        if let Some(slots) = self.slots.get_mut(name) {
            slots.adaptive.on_success();
        }
    }

    pub(super) fn on_shed(&mut self, now: Time, name: &str, round: Duration) {
        let adapts = self.mechanisms.adaptive_limits;
        if let Some(slots) = self.slots.get_mut(name).filter(|_| adapts) {
            slots.adaptive.on_shed(now, round);
        }
    }

    /// Counts a predecessor's requests against an endpoint until `until`.
    pub(super) fn set_foreign(&mut self, name: &str, in_flight: u32, until: Time) {
        if let Some(slots) = self.slots.get_mut(name) {
            slots.foreign = in_flight;
            slots.foreign_until = until;
        }
    }

    /// Sets how many requests another VM has in flight, to be believed until
    /// `until`.
    pub(super) fn set_peer_count(
        &mut self,
        now: Time,
        name: &str,
        peer: &Name,
        count: u32,
        until: Time,
    ) {
        let Some(slots) = self.slots.get_mut(name) else { return };
        let before = slots.peers.iter().find(|(other, ..)| other == peer);
        if count > before.map_or(0, |(_, count, _)| *count) {
            slots.last_sent = now;
        }
        slots.peers.retain(|(other, ..)| other != peer);
        if count > 0 {
            slots.peers.push((peer.clone(), count, until));
        }
    }

    /// Returns how many requests this VM has in flight at an endpoint.
    pub(super) fn in_flight_at(&self, name: &str) -> u32 {
        self.slots.get(name).map_or(0, |slots| slots.in_flight)
    }

    /// Takes the endpoints whose requests in flight have changed, each once.
    pub(super) fn take_changed(&mut self) -> Vec<Name> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// Returns a random number below `bound`.
    pub(super) fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    pub(super) fn configured(&self) -> impl Iterator<Item = &Slots> {
        self.slots.values().filter(|slots| slots.is_configured)
    }

    pub(super) fn in_use(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.slots
            .iter()
            .filter(|(_, slots)| slots.in_flight > 0)
            .map(|(name, slots)| (name, slots.in_flight))
    }
}

fn limit(slots: &Slots, mode: ShardMode, is_settling: bool) -> u32 {
    if !slots.accepts_work() || slots.endpoint.slots == 0 {
        return 0;
    }
    let all = slots.endpoint.slots;
    let mut limit = ((f64::from(all) * slots.share) as u32).clamp(1, all);
    limit = limit.min(slots.adaptive.value().max(1));
    if is_settling {
        limit = limit.min((all / SETTLING_DIVISOR).max(1));
    }
    if mode == ShardMode::Careful || slots.standing == HealthState::Trial {
        limit = 1;
    }
    limit.min(all.saturating_sub(slots.foreign)).saturating_sub(slots.peer_count())
}
