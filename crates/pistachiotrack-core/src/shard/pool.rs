//! Endpoints of a shard: their slots in use and the selection of the next endpoint.

mod free_slots;
mod notices;
mod pick;
mod ranking;
mod rate_limits;
mod slots;
mod speed;
mod usage;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;

pub(super) use self::pick::{Pick, PickCriteria};
use self::{
    speed::ServiceSpeeds,
    usage::{EndpointUsage, PeerCount},
};
use super::{EndpointKey, SelectionReason, ShardMode, speed::EndpointSpeed};
use crate::{
    concurrency_limit::AdaptiveConcurrencyLimit,
    endpoint::Endpoint,
    endpoint_notice::EndpointNotices,
    feature_flags::FeatureFlags,
    health::{ConfiguredEndpoint, Health, HealthState},
    name::Name,
    rate_limit::{RateLimit, RateShare, SharedRateLimiter},
    time::Time,
};

/// Divisor of the total slots that a VM in careful mode uses.
const CAREFUL_DIVISOR: u32 = 4;
/// Divisor of an endpoint's slots while a predecessor's requests may still be running.
const TAKEOVER_DIVISOR: u32 = 2;
/// One in this many idempotent requests treats a suspect endpoint like the others, so that
/// evidence about it continues to arrive.
const EXPLORE_ONE_IN: u32 = 8;

/// State of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct PoolEntry {
    pub(super) endpoint: Endpoint,
    pub(super) health_state: HealthState,
    pub(super) in_flight: u32,
    /// Share of its slots that may be used, as the health checker sets it.
    slot_share: f64,
    /// Maximum number of requests of this VM in flight.
    pub(super) limit: u32,
    is_configured: bool,
    adaptive_limit: AdaptiveConcurrencyLimit,
    predecessor_in_flight: u32,
    predecessor_until: Time,
    /// Estimated probability that the next request fails for a reason that another endpoint would
    /// avoid, and the time of the last observed answer.
    risk: f64,
    last_observed_at: Option<Time>,
    /// Whether that answer was a failure.
    has_failed_last: bool,
    usage: EndpointUsage,
    /// Whether it was added while this VM was running, and no VM has tried it yet.
    is_untried: bool,
    /// Rate that may be used, if the endpoint has ever announced a rate limit.
    rate: Option<SharedRateLimiter>,
    /// Whether its rate limit leaves no share for this VM.
    is_reserved_for_peers: bool,
    /// Until when it accepts no requests from this VM, if it has asked for that.
    refuses_until: Option<Time>,
    /// Requests that other VMs have in flight.
    peer_counts: Vec<PeerCount>,
    /// Its speed relative to the other endpoints.
    speed: EndpointSpeed,
}

impl PoolEntry {
    /// Returns how many requests the other VMs have in flight.
    fn peer_in_flight(&self) -> u32 {
        self.peer_counts.iter().fold(0, |sum, peer| sum.saturating_add(peer.in_flight))
    }

    /// Returns whether it accepts requests and has a slot for one more now.
    fn is_free(&self, now: Time, share: RateShare) -> bool {
        let may_send = self.rate.as_ref().is_none_or(|rate| rate.may_send(now, share));
        may_send && self.accepts_requests() && self.in_flight < self.limit
    }

    /// Returns whether its health permits requests that may run again, or others.
    fn is_for(&self, idempotent: bool) -> bool {
        idempotent || self.health_state != HealthState::Trial
    }

    /// Returns the rate limit that the endpoint announces.
    pub(super) fn rate_limit(&self) -> Option<RateLimit> {
        self.rate.as_ref().and_then(SharedRateLimiter::limit)
    }

    /// Returns until when it accepts no requests from this VM, if it has asked for that.
    pub(super) fn refuses_until(&self) -> Option<Time> {
        self.refuses_until
    }

    fn accepts_requests(&self) -> bool {
        self.refuses_until.is_none() && self.would_accept_requests()
    }

    /// Returns whether it accepts requests except for the time in which it refuses them.
    fn would_accept_requests(&self) -> bool {
        self.is_configured
            && !self.is_reserved_for_peers
            && !self.endpoint.leaving
            && self.slot_share > 0.0
            && !matches!(self.health_state, HealthState::Ejected | HealthState::Draining)
    }
}

/// Sort key: whether the endpoint was already tried, rank of its health state, load, and a
/// random tie-break. The least is selected.
type PickOrder = (bool, u32, u32, u32);

/// The endpoints of a shard with their slots in use.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    endpoints: BTreeMap<Name, PoolEntry>,
    by_key: FxHashMap<EndpointKey, Name>,
    /// What endpoints have asked of this VM.
    notices: EndpointNotices,
    mode: ShardMode,
    limits_halved_until: Time,
    in_flight: u32,
    in_flight_limit: u32,
    capacity: u32,
    /// Requests per second that endpoints with a rate limit accept from all visible VMs.
    rate_limited_per_second: f64,
    rate_share: RateShare,
    /// Slots of attempts that ended without an answer, by the time at which they are released.
    delayed_releases: BTreeSet<(Time, u64, Name)>,
    next_serial: u64,
    /// Endpoints whose number of requests in flight has changed.
    changed_endpoints: Vec<Name>,
    /// Whether endpoints are ranked by their risk.
    is_ranked_by_risk: bool,
    feature_flags: FeatureFlags,
    speeds: ServiceSpeeds,
    /// Data centre of this VM.
    local_data_centre: Option<Name>,
    rng: Pcg32,
}

impl Pool {
    pub(super) fn new(
        mode: ShardMode,
        seed: u64,
        feature_flags: FeatureFlags,
        notices: EndpointNotices,
    ) -> Pool {
        Pool {
            endpoints: BTreeMap::new(),
            by_key: FxHashMap::default(),
            notices,
            mode,
            limits_halved_until: Time::ZERO,
            in_flight: 0,
            in_flight_limit: 0,
            capacity: 0,
            rate_limited_per_second: 0.0,
            rate_share: RateShare::default(),
            delayed_releases: BTreeSet::new(),
            next_serial: 0,
            changed_endpoints: Vec::new(),
            is_ranked_by_risk: false,
            feature_flags,
            speeds: ServiceSpeeds::default(),
            local_data_centre: None,
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
    /// A predecessor that didn't hand over may still have requests in flight, which would
    /// oversubscribe slots and cause sheds. They end within a request's timeout, which bounds the
    /// time.
    pub(super) fn halve_limits_until(&mut self, until: Time) {
        self.limits_halved_until = until;
    }

    /// Switches to ranking by risk; the endpoints known so far don't count as newly added.
    pub(super) fn rank_by_risk(&mut self, local_data_centre: Option<Name>) {
        self.is_ranked_by_risk = true;
        self.local_data_centre = local_data_centre;
        self.endpoints.values_mut().for_each(|entry| entry.is_untried = false);
    }

    /// Applies the endpoints of the configuration. A removed endpoint keeps its slots in use
    /// until they are released, and gets no new requests. One that has said that it is leaving does
    /// so whatever the configuration says.
    pub(super) fn set_endpoints<'a>(
        &mut self,
        now: Time,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) {
        for entry in self.endpoints.values_mut() {
            entry.is_configured = false;
        }
        for endpoint in endpoints {
            let entry = self.endpoints.entry(endpoint.name.clone()).or_insert_with(|| PoolEntry {
                endpoint: endpoint.clone(),
                health_state: HealthState::Healthy,
                in_flight: 0,
                slot_share: 1.0,
                limit: 0,
                is_configured: true,
                adaptive_limit: AdaptiveConcurrencyLimit::new(endpoint.slots),
                predecessor_in_flight: 0,
                predecessor_until: Time::ZERO,
                risk: 0.0,
                last_observed_at: None,
                has_failed_last: false,
                usage: EndpointUsage::default(),
                is_untried: self.feature_flags.new_endpoints_first,
                rate: None,
                is_reserved_for_peers: false,
                refuses_until: None,
                peer_counts: Vec::new(),
                speed: EndpointSpeed::default(),
            });
            entry.is_configured = true;
            entry.adaptive_limit.set_max(endpoint.slots);
            entry.endpoint = endpoint.clone();
            entry.endpoint.leaving |= self.notices.is_leaving(now, &endpoint.name);
        }
        self.endpoints.retain(|_, entry| entry.is_configured || entry.in_flight > 0);
        self.by_key =
            self.endpoints.keys().map(|name| (EndpointKey::of(name), name.clone())).collect();
    }

    /// Returns the endpoint that a key in another VM's update stands for.
    pub(super) fn endpoint_by_key(&self, key: EndpointKey) -> Option<Name> {
        self.by_key.get(&key).cloned()
    }

    pub(super) fn configured_endpoints(&self) -> Vec<ConfiguredEndpoint> {
        self.configured()
            .map(|entry| ConfiguredEndpoint {
                name: entry.endpoint.name.clone(),
                leaving: entry.endpoint.leaving,
            })
            .collect()
    }

    /// Recomputes the limits.
    pub(super) fn refresh(&mut self, now: Time, health: &Health) {
        let are_limits_halved = now < self.limits_halved_until;
        self.decay_speeds(now);
        let mut all_slots = 0;
        self.capacity = 0;
        self.rate_limited_per_second = 0.0;
        let share = self.rate_share;
        for (name, entry) in &mut self.endpoints {
            entry.health_state = health.state(name);
            if now >= entry.predecessor_until {
                entry.predecessor_in_flight = 0;
            }
            entry.peer_counts.retain(|peer| now < peer.expires_at);
            entry.risk = health.avoidable_risk(now, name);
            entry.last_observed_at = health.last_observed_at(name);
            entry.has_failed_last = health.has_failed_last(name);
            entry.usage.on_received(health.last_used_at(name).unwrap_or(Time::ZERO));
            entry.is_untried &= entry.last_observed_at.is_none();
            entry.slot_share = health.share(now, name);
            entry.refuses_until = self.notices.refuses_until(now, name);
            entry.limit = limit(entry, self.mode, are_limits_halved);
            let rate_limit = entry.rate_limit();
            entry.is_reserved_for_peers = rate_limit.is_some() && share.fraction == 0.0;
            match rate_limit {
                _ if !entry.accepts_requests() => {}
                Some(limit) => {
                    self.rate_limited_per_second += limit.allowed_per_second(share.fraction)
                }
                None => self.capacity += entry.limit,
            }
            if entry.is_configured {
                all_slots += entry.endpoint.slots;
            }
        }
        self.in_flight_limit = match self.mode {
            ShardMode::Owner | ShardMode::Shared => u32::MAX,
            ShardMode::Careful => (all_slots / CAREFUL_DIVISOR).max(1),
        };
        self.capacity = self.capacity.min(self.in_flight_limit);
    }

    /// Returns the maximum number of requests in flight at endpoints without a rate limit.
    pub(super) fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns the slots of the endpoints that accept requests and whose risk is at most
    /// `max_risk`.
    pub(super) fn slots_at_risk_up_to(&self, max_risk: f64) -> u32 {
        let within = |entry: &&PoolEntry| entry.accepts_requests() && entry.risk <= max_risk;
        self.endpoints.values().filter(within).map(|entry| entry.endpoint.slots).sum()
    }

    /// Returns the number of endpoints that accept requests.
    pub(super) fn usable_endpoints(&self, idempotent: bool) -> usize {
        self.endpoints
            .values()
            .filter(|entry| entry.accepts_requests())
            .filter(|entry| entry.is_for(idempotent))
            .count()
    }

    pub(super) fn has_free_slot(&self, now: Time) -> bool {
        let is_free = |entry: &PoolEntry| {
            entry.is_free(now, self.rate_share) && entry.health_state != HealthState::Trial
        };
        self.in_flight < self.in_flight_limit && self.endpoints.values().any(is_free)
    }

    /// Selects the endpoint of an attempt among those with a free slot.
    ///
    /// The least loaded one is selected. A suspect endpoint counts as having one more request in
    /// flight for idempotent requests, and comes last for others, which can't be retried.
    pub(super) fn pick(&mut self, criteria: PickCriteria<'_>) -> Option<Pick> {
        if self.in_flight >= self.in_flight_limit {
            return None;
        }
        if self.is_ranked_by_risk {
            return self.pick_by_risk(criteria);
        }
        let is_exploring =
            criteria.idempotent && self.rng.next_u32().is_multiple_of(EXPLORE_ONE_IN);
        let mut best: Option<(PickOrder, &PoolEntry)> = None;
        for entry in self.endpoints.values() {
            if !entry.is_free(criteria.now, self.rate_share) {
                continue;
            }
            let is_tried = criteria.tried.contains(&entry.endpoint.name);
            if is_tried && !criteria.allow_already_tried {
                continue;
            }
            let is_trial = entry.health_state == HealthState::Trial;
            if is_trial && (is_tried || !criteria.idempotent || !criteria.allow_trial) {
                continue;
            }
            let rank = match entry.health_state {
                HealthState::Suspect => 1,
                HealthState::HeldByFloor => 2,
                _ => 0,
            };
            let (order, handicap) = match (criteria.idempotent, is_exploring) {
                (false, _) => (rank, 0),
                (true, false) => (0, rank),
                (true, true) => (0, 0),
            };
            let load = match is_trial {
                true => 0,
                false => 1 + (entry.in_flight + handicap) * 1000 / entry.limit.max(1),
            };
            let key = (is_tried, order, load, self.rng.next_u32());
            if best.as_ref().is_none_or(|(best_key, _)| key < *best_key) {
                best = Some((key, entry));
            }
        }
        best.map(|(_, entry)| Pick::of(entry, SelectionReason::Best))
    }

    /// Draws whether the first attempt of a new request that may run again explores an endpoint.
    pub(super) fn draw_exploration(&mut self) -> bool {
        let is_drawn = self.rng.next_u32().is_multiple_of(EXPLORE_ONE_IN);
        self.is_ranked_by_risk && self.feature_flags.exploration && is_drawn
    }

    /// Returns the address of a configured endpoint.
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        let entry = self.endpoints.get(name).filter(|entry| entry.is_configured)?;
        Some(entry.endpoint.address)
    }

    /// Returns whether a health check would stay within the endpoint's slots.
    pub(super) fn has_slot_for_probe(&self, name: &str) -> bool {
        self.endpoints.get(name).is_some_and(|entry| {
            entry.is_configured
                && entry.refuses_until.is_none()
                && entry.busy().saturating_add(entry.predecessor_in_flight) < entry.endpoint.slots
        })
    }

    pub(super) fn on_success(&mut self, name: &str) {
        if let Some(entry) = self.endpoints.get_mut(name) {
            entry.adaptive_limit.on_success();
        }
    }

    pub(super) fn on_shed(&mut self, now: Time, name: &str, round: Duration) {
        let adapts = self.feature_flags.adaptive_limits;
        if let Some(entry) = self.endpoints.get_mut(name).filter(|_| adapts) {
            entry.adaptive_limit.on_shed(now, round);
        }
    }

    /// Takes the endpoints whose number of requests in flight has changed, each once.
    pub(super) fn take_changed_endpoints(&mut self) -> Vec<Name> {
        let mut changed = std::mem::take(&mut self.changed_endpoints);
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// Returns a random number below `bound`.
    pub(super) fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    pub(super) fn configured(&self) -> impl Iterator<Item = &PoolEntry> {
        self.endpoints.values().filter(|entry| entry.is_configured)
    }
}

fn limit(entry: &PoolEntry, mode: ShardMode, are_limits_halved: bool) -> u32 {
    if !entry.accepts_requests() || entry.endpoint.slots == 0 {
        return 0;
    }
    let all = entry.endpoint.slots;
    let mut limit = ((f64::from(all) * entry.slot_share) as u32).clamp(1, all);
    limit = limit.min(entry.adaptive_limit.value().max(1));
    if are_limits_halved {
        limit = limit.min((all / TAKEOVER_DIVISOR).max(1));
    }
    if mode == ShardMode::Careful || entry.health_state == HealthState::Trial {
        limit = 1;
    }
    limit
        .min(all.saturating_sub(entry.predecessor_in_flight))
        .saturating_sub(entry.peer_in_flight())
}
