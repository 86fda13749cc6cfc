//! Which VM owns which shard of which service.

use std::hash::Hasher;

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

use crate::{
    config::Config,
    endpoint::Endpoint,
    membership::{Member, MemberState},
    name::Name,
    service::Service,
    time::Time,
    vm::Vm,
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
    (0..count).max_by_key(|index| score(name, &index.to_le_bytes())).unwrap_or(0)
}

fn score(left: &str, right: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(left.as_bytes());
    hasher.write(right);
    let mut mixed = hasher.finish();
    mixed ^= mixed >> 33;
    mixed = mixed.wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// Settings of the ownership.
#[derive(Clone, Debug)]
pub struct OwnershipSettings {
    /// Time for which a VM must have been alive before it takes shards over
    /// from a living owner.
    pub settle_ms: u64,
}

impl Default for OwnershipSettings {
    fn default() -> OwnershipSettings {
        OwnershipSettings { settle_ms: 3_000 }
    }
}

/// A change of what this VM owns.
#[derive(Clone, Debug, PartialEq, Eq)]
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

/// The owners of all shards as this VM sees them.
#[derive(Clone, Debug)]
pub struct Ownership {
    me: Vm,
    owners: Vec<(ShardId, Vm)>,
}

impl Ownership {
    /// Creates an ownership without shards.
    pub fn new(me: Vm, _settings: OwnershipSettings) -> Ownership {
        Ownership { me, owners: Vec::new() }
    }

    /// Works out the owners anew from the configuration and the members.
    pub fn update<'a>(
        &mut self,
        _now: Time,
        config: &Config,
        members: impl Iterator<Item = &'a Member>,
    ) -> Vec<OwnershipChange> {
        let mut vms: Vec<&Vm> = members
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
            .map(|member| &member.vm)
            .collect();
        vms.push(&self.me);
        let mut owners = Vec::new();
        for service in &config.services {
            for index in 0..shard_count(service) {
                let shard = ShardId { service: service.name.clone(), index };
                let key = format!("{}/{index}", service.name);
                let owner = vms.iter().max_by_key(|vm| score(&key, vm.name.as_bytes()));
                if let Some(owner) = owner {
                    owners.push((shard, (*owner).clone()));
                }
            }
        }
        let mut changes = Vec::new();
        for (shard, owner) in &owners {
            let was_mine = self.owns(shard);
            let is_mine = owner.name == self.me.name;
            if is_mine && !was_mine {
                changes.push(OwnershipChange::Gained(shard.clone()));
            }
            if was_mine && !is_mine {
                changes
                    .push(OwnershipChange::Lost { shard: shard.clone(), to: owner.name.clone() });
            }
        }
        self.owners = owners;
        changes
    }

    /// Returns whether this VM owns the shard.
    pub fn owns(&self, shard: &ShardId) -> bool {
        self.owner(shard).is_some_and(|owner| owner.name == self.me.name)
    }

    /// Returns the owner of a shard.
    pub fn owner(&self, shard: &ShardId) -> Option<&Vm> {
        self.owners.iter().find(|(id, _)| id == shard).map(|(_, owner)| owner)
    }

    /// Returns the shards that this VM owns.
    pub fn owned(&self) -> impl Iterator<Item = &ShardId> {
        self.owners.iter().filter(|(_, vm)| vm.name == self.me.name).map(|(id, _)| id)
    }
}
