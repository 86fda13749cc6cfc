//! Selection of the VMs that dispatch concurrently for shared services, which have no single
//! owner.

use std::collections::BTreeMap;

use super::candidate::{Candidate, Candidates};
use crate::{config::Config, hash, name::Name, vm::Vm};

/// Average number of services with the same dispatchers. Callers of one host often use
/// several services, and a VM that dispatches for all of them has all the state it needs.
const SERVICES_PER_GROUP: usize = 8;

/// The dispatchers of each group of services.
#[derive(Clone, Debug, Default)]
pub(super) struct Dispatchers {
    groups: Vec<Vec<Vm>>,
}

impl Dispatchers {
    /// Recomputes the dispatchers: for each group and data centre, the VMs with the highest
    /// rendezvous hashing scores among those with the largest capacity.
    ///
    /// Unlike a new owner, a new dispatcher does no harm, so VMs needn't settle first.
    pub(super) fn update(&mut self, config: &Config, candidates: &Candidates) {
        let shared = config.services.iter().filter(|service| service.is_shared());
        let (mut services, mut per_data_centre) = (0, 0);
        for service in shared {
            services += 1;
            per_data_centre = per_data_centre.max(service.dispatchers_per_data_centre as usize);
        }
        let mut by_data_centre: BTreeMap<&Name, Vec<&Candidate>> = BTreeMap::new();
        for candidate in candidates.iter() {
            by_data_centre.entry(&candidate.vm.data_centre).or_default().push(candidate);
        }
        let groups = group_count(services);
        for candidates in by_data_centre.values_mut() {
            retain_highest_capacity(candidates, groups * per_data_centre);
        }
        self.groups = (0..groups)
            .map(|group| group_dispatchers(group, &by_data_centre, per_data_centre))
            .collect();
    }

    /// Returns the dispatchers of a service.
    pub(super) fn for_service(&self, service: &str) -> &[Vm] {
        if self.groups.is_empty() {
            return &[];
        }
        let group = hash::mix(hash::fnv(service.as_bytes())) % self.groups.len() as u64;
        &self.groups[group as usize]
    }
}

fn group_count(services: usize) -> usize {
    services.div_ceil(SERVICES_PER_GROUP)
}

/// Retains the `needed` VMs with the largest capacity, and all with the same capacity as the
/// last of these.
///
/// A dispatcher handles a large part of a service's requests with its link and processor.
/// Hashing alone would also select VMs with a small capacity, where requests would wait. With
/// many groups no VM is removed.
fn retain_highest_capacity(candidates: &mut Vec<&Candidate>, needed: usize) {
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.vm.capacity));
    let Some(last) = needed.checked_sub(1).and_then(|last| candidates.get(last)) else { return };
    let min_capacity = last.vm.capacity;
    candidates.retain(|candidate| candidate.vm.capacity >= min_capacity);
}

fn group_dispatchers(
    group: usize,
    by_data_centre: &BTreeMap<&Name, Vec<&Candidate>>,
    per_data_centre: usize,
) -> Vec<Vm> {
    let key = hash::mix(group as u64 + 1);
    let mut dispatchers = Vec::new();
    for candidates in by_data_centre.values() {
        let mut ranked = candidates.clone();
        ranked
            .sort_by_key(|candidate| std::cmp::Reverse(hash::rendezvous_score(key, candidate.key)));
        dispatchers
            .extend(ranked.into_iter().take(per_data_centre).map(|candidate| candidate.vm.clone()));
    }
    dispatchers
}
