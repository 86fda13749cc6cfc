//! Ownership of the shards of services by VMs.
//!
//! Each VM computes the owners independently from its view of the fleet: the VM with the
//! highest rendezvous hashing score among the settled ones, which have been alive for some
//! time. A live owner keeps its shard until a settled VM with a higher score appears; the
//! shards of a dead or leaving VM are reassigned at once.

mod candidate;
mod dispatchers;
mod placement;

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use self::{
    candidate::{CandidateChanges, Candidates},
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

/// Returns the index of the shard that a name, such as an endpoint's name or an idempotency
/// key, belongs to.
pub fn rendezvous_shard(name: &str, count: u32) -> u32 {
    let key = hash::fnv(name.as_bytes());
    (0..count)
        .max_by_key(|index| hash::rendezvous_score(key, hash::mix(u64::from(*index) + 1)))
        .unwrap_or(0)
}

/// Settings of the ownership.
#[derive(Clone, Debug)]
pub struct OwnershipSettings {
    /// Time for which a VM must have been alive before it takes shards over
    /// from a live owner.
    pub settle_ms: u64,
    /// Upper limit of this time for a flapping VM; it doubles with each flap.
    pub max_hold_down_ms: u64,
    /// Time without a flap after which the number of flaps is reset.
    pub flap_reset_ms: u64,
}

impl Default for OwnershipSettings {
    fn default() -> OwnershipSettings {
        OwnershipSettings { settle_ms: 3_000, max_hold_down_ms: 60_000, flap_reset_ms: 300_000 }
    }
}

/// A change of the set of shards that this VM owns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OwnershipChange {
    /// This VM became the owner of the shard.
    Gained(ShardId),
    /// Another VM became the owner of the shard.
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

/// The owners of all shards as this VM computes them.
#[derive(Clone, Debug)]
pub struct Ownership {
    me: Vm,
    alive_since: Option<Time>,
    leaving: bool,
    is_cut_off: bool,
    candidates: Candidates,
    shards: FxHashMap<ShardId, Shard>,
    owned: BTreeSet<ShardId>,
    dispatchers: Dispatchers,
    applied_config: Option<(u64, usize, usize)>,
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
            is_cut_off: false,
            candidates: Candidates::new(settings),
            shards: FxHashMap::default(),
            owned: BTreeSet::new(),
            dispatchers: Dispatchers::default(),
            applied_config: None,
            revision: 0,
            now: Time::ZERO,
        }
    }

    /// Recomputes the owners from the configuration and the members.
    ///
    /// Without changes this only iterates over the members. With changes, only the shards of
    /// VMs that are gone are reassigned, and each newly eligible VM is compared with each
    /// owner once.
    pub fn update<'a>(
        &mut self,
        now: Time,
        config: &Config,
        members: impl Iterator<Item = &'a Member>,
    ) -> Vec<OwnershipChange> {
        self.now = now;
        let alive_since = *self.alive_since.get_or_insert(now);
        let is_available = !self.leaving && !self.is_cut_off;
        let candidate_changes =
            self.candidates.observe(now, &self.me, alive_since, is_available, members);
        let shards_changed = self.apply_config(config);
        if candidate_changes.is_empty() && !shards_changed {
            return Vec::new();
        }
        self.revision += 1;
        self.dispatchers.update(config, &self.candidates);
        self.reassign(now, &candidate_changes)
    }

    /// Returns the VMs that dispatch concurrently for a shared service, in all data
    /// centres; empty for a service whose shards have owners.
    pub fn dispatchers(&self, service: &str) -> &[Vm] {
        self.dispatchers.for_service(service)
    }

    /// Returns a number that increases with each update that found changes, so that a copy
    /// of the owners need only be refreshed then. A member that becomes suspected without
    /// any other change affects [`Ownership::is_owner_stable`] but not this number.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets whether this VM is leaving; a leaving VM owns no shards unless there is no
    /// other VM.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Returns the shards that this VM owns, each with the VM that will own it once this
    /// one leaves.
    pub fn successors<'a>(
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

    /// Sets whether this VM reaches no endpoint; it owns no shards then and dispatches for none
    /// unless there is no other VM.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Returns whether this VM reaches no endpoint.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns whether this VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Sets the time since which the other VMs have considered this VM alive.
    ///
    /// A VM that was declared dead during a pause still has its old shards while other VMs
    /// own them. A later time than before makes it release them and settle like a new VM,
    /// which is what the other VMs compute for it.
    pub fn set_alive_since(&mut self, since: Time) {
        if self.alive_since.is_some_and(|previous| since > previous) {
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

    /// Returns the previous owner of a shard, which a hand-over can be requested from if it
    /// is still alive.
    pub fn previous_owner(&self, shard: &ShardId) -> Option<&Vm> {
        self.shards.get(shard)?.previous.as_ref()
    }

    /// Returns the time since which the current owner has owned the shard.
    pub fn owner_since(&self, shard: &ShardId) -> Option<Time> {
        self.shards.get(shard)?.owner.as_ref().map(|owner| owner.since)
    }

    /// Returns whether the owner is settled and not suspected, so that other VMs most likely
    /// compute the same owner.
    pub fn is_owner_stable(&self, shard: &ShardId) -> bool {
        let Some(owner) = self.shards.get(shard).and_then(|shard| shard.owner.as_ref()) else {
            return false;
        };
        self.candidates.get(&owner.vm.name).is_some_and(|candidate| candidate.is_eligible())
    }

    /// Returns whether a VM has been alive for long enough to take over shards of live
    /// owners.
    pub fn is_settled(&self, vm: &Name) -> bool {
        self.candidates.get(vm).is_some_and(|candidate| candidate.settled)
    }

    /// Returns the shards that this VM owns.
    pub fn owned(&self) -> impl Iterator<Item = &ShardId> {
        self.owned.iter()
    }

    /// Applies a configuration; returns whether it differs from the last one.
    fn apply_config(&mut self, config: &Config) -> bool {
        let endpoints = config.services.iter().map(|service| service.endpoints.len()).sum();
        let applied = Some((config.version, config.services.len(), endpoints));
        if self.applied_config == applied {
            return false;
        }
        self.applied_config = applied;
        let mut old = std::mem::take(&mut self.shards);
        for service in &config.services {
            for (id, placement) in placements(service) {
                let shard = match old.remove(&id) {
                    Some(shard) if shard.placement == placement => shard,
                    // Scores computed with the old weights aren't comparable.
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

    fn reassign(
        &mut self,
        now: Time,
        candidate_changes: &CandidateChanges,
    ) -> Vec<OwnershipChange> {
        let pool = Pool::new(&self.candidates);
        let none_eligible = !self.candidates.iter().any(|candidate| candidate.is_eligible());
        let challengers = if none_eligible {
            &candidate_changes.joined
        } else {
            &candidate_changes.newly_eligible
        };
        let mut changes = Vec::new();
        for (id, shard) in &mut self.shards {
            let Some((vm, score)) = choose_owner(shard, &self.candidates, &pool, challengers)
            else {
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
            let was_owned = self.owned.contains(id);
            if vm.name == self.me.name {
                self.owned.insert(id.clone());
                if !was_owned {
                    changes.push(OwnershipChange::Gained(id.clone()));
                }
            } else if was_owned {
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

/// Returns the owner that a shard should have and its score; `None` to keep the current one.
fn choose_owner(
    shard: &Shard,
    candidates: &Candidates,
    pool: &Pool<'_>,
    challengers: &[Name],
) -> Option<(Vm, f64)> {
    let best = || {
        let (candidate, score) = shard.placement.best(pool)?;
        Some((candidate.vm.clone(), score))
    };
    let Some(owner) = &shard.owner else { return best() };
    if !candidates.is_present_since(&owner.vm, owner.since) || owner.score.is_nan() {
        return best();
    }
    let challengers = || challengers.iter().filter_map(|name| candidates.get(name));
    // A new VM that has not joined the fleet yet computes itself as the owner of every shard.
    // VMs that had settled before that were the owners all along, whatever the score.
    let is_unsettled = candidates.get(&owner.vm.name).is_some_and(|candidate| !candidate.settled);
    let since_us = owner.since.as_micros() as i64;
    if is_unsettled
        && challengers()
            .any(|challenger| challenger.is_eligible() && challenger.settles_at_us <= since_us)
    {
        return best();
    }
    let scored = challengers().map(|challenger| (challenger, shard.placement.score(challenger)));
    let (challenger, score) = scored.max_by(|(_, left), (_, right)| left.total_cmp(right))?;
    (score > owner.score).then(|| (challenger.vm.clone(), score))
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
