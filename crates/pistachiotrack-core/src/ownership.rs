//! Which VM owns which shard of which service.
//!
//! Each VM computes the owners alone from its view of the fleet: the winner of
//! rendezvous hashing among the VMs that have been alive for some time. A living
//! owner keeps its shard until a settled VM with a better score is there; the
//! shards of a VM that died or leaves move at once.

mod candidate;
mod dispatchers;
mod placement;

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use self::{
    candidate::{Candidates, News},
    dispatchers::Dispatchers,
    placement::{Placement, Pool},
};
use crate::{
    config::Config, endpoint::Endpoint, hash, membership::Member, name::Name, service::Service,
    time::Time, vm::Vm,
};

/// A shard: the part of a service's endpoints that one VM owns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// Service of the shard.
    pub service: Name,
    /// Number of the shard within the service, from 0.
    pub index: u32,
}

/// Returns the number of shards of a service.
pub fn shard_count(service: &Service) -> u32 {
    (service.endpoints.len() as u32).div_ceil(service.shard_endpoints.max(1)).max(1)
}

/// Returns the endpoints of one shard.
pub fn shard_endpoints(service: &Service, index: u32) -> Vec<&Endpoint> {
    let count = shard_count(service);
    service
        .endpoints
        .iter()
        .filter(|endpoint| rendezvous_shard(&endpoint.name, count) == index)
        .collect()
}

/// Returns the shard that a name, such as an endpoint's or an idempotency
/// key, belongs to.
pub fn rendezvous_shard(name: &str, count: u32) -> u32 {
    let key = hash::fnv(name.as_bytes());
    (0..count).max_by_key(|index| hash::pair(key, hash::mix(u64::from(*index) + 1))).unwrap_or(0)
}

/// Settings of the ownership.
#[derive(Clone, Debug)]
pub struct OwnershipSettings {
    /// Time for which a VM must have been alive before it takes shards over
    /// from a living owner.
    pub settle_ms: u64,
    /// Longest such time of a VM that flaps; it doubles with each flap.
    pub max_hold_down_ms: u64,
    /// Time without a flap after which earlier ones don't count any more.
    pub flap_memory_ms: u64,
}

impl Default for OwnershipSettings {
    fn default() -> OwnershipSettings {
        OwnershipSettings { settle_ms: 3_000, max_hold_down_ms: 60_000, flap_memory_ms: 300_000 }
    }
}

/// A change of what this VM owns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OwnershipChange {
    /// This VM owns the shard now.
    Gained(ShardId),
    /// Another VM owns the shard now.
    Lost {
        /// The shard.
        shard: ShardId,
        /// Its new owner.
        to: Name,
    },
}

#[derive(Clone, Debug)]
struct Shard {
    placement: Placement,
    owner: Option<Owner>,
    previous: Option<Vm>,
}

#[derive(Clone, Debug)]
struct Owner {
    vm: Vm,
    score: f64,
    since: Time,
}

/// The owners of all shards as this VM sees them.
#[derive(Clone, Debug)]
pub struct Ownership {
    me: Vm,
    alive_since: Option<Time>,
    leaving: bool,
    candidates: Candidates,
    shards: FxHashMap<ShardId, Shard>,
    owned: BTreeSet<ShardId>,
    dispatchers: Dispatchers,
    config_seen: Option<(u64, usize, usize)>,
    revision: u64,
    now: Time,
}

impl Ownership {
    /// Creates an ownership without shards.
    pub fn new(me: Vm, settings: OwnershipSettings) -> Ownership {
        Ownership {
            me,
            alive_since: None,
            leaving: false,
            candidates: Candidates::new(settings),
            shards: FxHashMap::default(),
            owned: BTreeSet::new(),
            dispatchers: Dispatchers::default(),
            config_seen: None,
            revision: 0,
            now: Time::ZERO,
        }
    }

    /// Works out the owners anew from the configuration and the members.
    ///
    /// Without news it costs one look at each member; with news only the shards
    /// of VMs that went are chosen anew, and a VM that came is compared with each
    /// owner once.
    pub fn update<'a>(
        &mut self,
        now: Time,
        config: &Config,
        members: impl Iterator<Item = &'a Member>,
    ) -> Vec<OwnershipChange> {
        self.now = now;
        let alive_since = *self.alive_since.get_or_insert(now);
        let news = self.candidates.observe(now, &self.me, alive_since, self.leaving, members);
        let reshaped = self.take_config(config);
        if news.is_empty() && !reshaped {
            return Vec::new();
        }
        self.revision += 1;
        self.dispatchers.update(config, &self.candidates);
        self.reassign(now, &news)
    }

    /// Returns the VMs that dispatch for a shared service side by side, in all
    /// data centres; empty for a service whose shards have owners.
    pub fn dispatchers(&self, service: &str) -> &[Vm] {
        self.dispatchers.of(service)
    }

    /// Returns a number that goes up whenever an update found news, so that a
    /// copy of the owners need only be renewed then. A member that becomes
    /// suspected without any other news changes [`Ownership::is_owner_stable`]
    /// and not this number.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets whether this VM leaves; it then owns nothing unless nobody else can.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Returns the shards that this VM owns and who takes each over once it leaves.
    pub fn heirs<'a>(
        &self,
        now: Time,
        config: &Config,
        members: impl Iterator<Item = &'a Member>,
    ) -> Vec<(ShardId, Name)> {
        let mut without_me = self.clone();
        without_me.set_leaving(true);
        let lost = |change| match change {
            OwnershipChange::Lost { shard, to } => Some((shard, to)),
            OwnershipChange::Gained(_) => None,
        };
        without_me.update(now, config, members).into_iter().filter_map(lost).collect()
    }

    /// Returns whether this VM leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Sets the moment since which the others have counted this VM as alive.
    ///
    /// A VM that was paused for so long that it was declared dead still has its
    /// old shards in mind while others own them. A later moment than before has
    /// it give them up and settle like a new VM, as the others expect of it.
    pub fn set_alive_since(&mut self, since: Time) {
        if self.alive_since.is_some_and(|old| since > old) {
            self.candidates.restart(&self.me.name);
        }
        self.alive_since = Some(since);
    }

    /// Returns whether this VM owns the shard.
    pub fn owns(&self, shard: &ShardId) -> bool {
        self.owned.contains(shard)
    }

    /// Returns the owner of a shard.
    pub fn owner(&self, shard: &ShardId) -> Option<&Vm> {
        self.shards.get(shard)?.owner.as_ref().map(|owner| &owner.vm)
    }

    /// Returns the last other owner of a shard, which a hand-over can be asked
    /// from if it still lives.
    pub fn previous_owner(&self, shard: &ShardId) -> Option<&Vm> {
        self.shards.get(shard)?.previous.as_ref()
    }

    /// Returns the moment since which the shard's owner has owned it.
    pub fn owner_since(&self, shard: &ShardId) -> Option<Time> {
        self.shards.get(shard)?.owner.as_ref().map(|owner| owner.since)
    }

    /// Returns whether the owner has been alive for long enough and is not
    /// suspected, so that other VMs most likely see the same owner.
    pub fn is_owner_stable(&self, shard: &ShardId) -> bool {
        let Some(owner) = self.shards.get(shard).and_then(|shard| shard.owner.as_ref()) else {
            return false;
        };
        self.candidates.get(&owner.vm.name).is_some_and(|candidate| candidate.can_win())
    }

    /// Returns whether a VM has been alive for long enough to take shards over.
    pub fn is_settled(&self, vm: &Name) -> bool {
        self.candidates.get(vm).is_some_and(|candidate| candidate.settled)
    }

    /// Returns the shards that this VM owns.
    pub fn owned(&self) -> impl Iterator<Item = &ShardId> {
        self.owned.iter()
    }

    /// Takes the shards of a configuration; returns whether any changed.
    fn take_config(&mut self, config: &Config) -> bool {
        let endpoints = config.services.iter().map(|service| service.endpoints.len()).sum();
        let seen = Some((config.version, config.services.len(), endpoints));
        if self.config_seen == seen {
            return false;
        }
        self.config_seen = seen;
        let mut old = std::mem::take(&mut self.shards);
        for service in &config.services {
            for (id, placement) in placements(service) {
                let shard = match old.remove(&id) {
                    Some(shard) if shard.placement == placement => shard,
                    // Scores of the old weights mean nothing any more.
                    Some(Shard { owner, previous, .. }) => {
                        Shard { placement, owner: owner.map(without_score), previous }
                    }
                    None => Shard { placement, owner: None, previous: None },
                };
                self.shards.insert(id, shard);
            }
        }
        self.owned.retain(|id| self.shards.contains_key(id));
        true
    }

    fn reassign(&mut self, now: Time, news: &News) -> Vec<OwnershipChange> {
        let pool = Pool::new(&self.candidates);
        let nobody_settled = !self.candidates.iter().any(|candidate| candidate.can_win());
        let rivals = if nobody_settled { &news.came } else { &news.winners };
        let mut changes = Vec::new();
        for (id, shard) in &mut self.shards {
            let Some((vm, score)) = choose(shard, &self.candidates, &pool, rivals) else {
                continue;
            };
            let old = shard.owner.as_ref();
            if old.is_some_and(|old| old.vm == vm) {
                if let Some(owner) = &mut shard.owner {
                    owner.score = score;
                    owner.since = now;
                }
                continue;
            }
            let was_mine = self.owned.contains(id);
            if vm.name == self.me.name {
                self.owned.insert(id.clone());
                if !was_mine {
                    changes.push(OwnershipChange::Gained(id.clone()));
                }
            } else if was_mine {
                self.owned.remove(id);
                changes.push(OwnershipChange::Lost { shard: id.clone(), to: vm.name.clone() });
            }
            let old = shard.owner.replace(Owner { vm, score, since: now });
            shard.previous = old.map(|old| old.vm).or(shard.previous.take());
        }
        changes.sort();
        changes
    }
}

/// Returns the owner that a shard should get, if it isn't the one it has.
fn choose(
    shard: &Shard,
    candidates: &Candidates,
    pool: &Pool<'_>,
    rivals: &[Name],
) -> Option<(Vm, f64)> {
    let best = || {
        let (candidate, score) = shard.placement.best(pool)?;
        Some((candidate.vm.clone(), score))
    };
    let Some(owner) = &shard.owner else { return best() };
    if !candidates.is_there_since(&owner.vm, owner.since) || owner.score.is_nan() {
        return best();
    }
    let rivals = || rivals.iter().filter_map(|name| candidates.get(name));
    // A new VM that has not met the fleet yet owns everything. Those that were
    // settled before it took a shard owned it all the while, whatever the score.
    let fresh = candidates.get(&owner.vm.name).is_some_and(|candidate| !candidate.settled);
    let since_us = owner.since.as_micros() as i64;
    if fresh && rivals().any(|rival| rival.can_win() && rival.settles_at_us <= since_us) {
        return best();
    }
    let scored = rivals().map(|rival| (rival, shard.placement.score(rival)));
    let (rival, score) = scored.max_by(|(_, left), (_, right)| left.total_cmp(right))?;
    (score > owner.score).then(|| (rival.vm.clone(), score))
}

fn without_score(owner: Owner) -> Owner {
    Owner { score: f64::NAN, ..owner }
}

/// Returns the shards of a service, each with its placement.
fn placements(service: &Service) -> Vec<(ShardId, Placement)> {
    let count = shard_count(service);
    let mut endpoints: BTreeMap<u32, Vec<&Endpoint>> = BTreeMap::new();
    for endpoint in &service.endpoints {
        endpoints.entry(rendezvous_shard(&endpoint.name, count)).or_default().push(endpoint);
    }
    (0..count)
        .map(|index| {
            let id = ShardId { service: service.name.clone(), index };
            let key = format!("{}/{index}", service.name);
            let of_shard = endpoints.remove(&index).unwrap_or_default();
            let placement = Placement::new(&key, of_shard.into_iter());
            (id, placement)
        })
        .collect()
}
