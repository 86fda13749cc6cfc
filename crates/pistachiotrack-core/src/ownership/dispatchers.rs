//! Which VMs dispatch side by side for services without a single owner.

use std::collections::BTreeMap;

use super::candidate::{Candidate, Candidates};
use crate::{config::Config, hash, name::Name, vm::Vm};

/// Services whose dispatchers are the same VMs, about. Callers of one host often
/// use several services, and a VM that takes them all in sees all it needs.
const GROUP_SERVICES: usize = 8;

/// The VMs that dispatch side by side, by group of services.
#[derive(Clone, Debug, Default)]
pub(super) struct Dispatchers {
    groups: Vec<Vec<Vm>>,
}

impl Dispatchers {
    /// Works the dispatchers out anew: in each data centre the VMs that win the
    /// group by rendezvous hashing, among the strongest.
    ///
    /// Unlike an owner, a dispatcher that is new does no harm, so nobody has to
    /// settle first.
    pub(super) fn update(&mut self, config: &Config, candidates: &Candidates) {
        let shared = config.services.iter().filter(|service| service.is_shared());
        let (mut services, mut wanted) = (0, 0);
        for service in shared {
            services += 1;
            wanted = wanted.max(service.dispatchers_per_data_centre as usize);
        }
        let mut by_data_centre: BTreeMap<&Name, Vec<&Candidate>> = BTreeMap::new();
        for candidate in candidates.iter() {
            by_data_centre.entry(&candidate.vm.data_centre).or_default().push(candidate);
        }
        let groups = services_to_groups(services);
        for candidates in by_data_centre.values_mut() {
            keep_strongest(candidates, groups * wanted);
        }
        self.groups = (0..groups).map(|group| winners(group, &by_data_centre, wanted)).collect();
    }

    /// Returns the dispatchers of a service.
    pub(super) fn of(&self, service: &str) -> &[Vm] {
        if self.groups.is_empty() {
            return &[];
        }
        let group = hash::mix(hash::fnv(service.as_bytes())) % self.groups.len() as u64;
        &self.groups[group as usize]
    }
}

fn services_to_groups(services: usize) -> usize {
    services.div_ceil(GROUP_SERVICES)
}

/// Leaves as many VMs as all groups need, those with the largest capacity and all
/// that are equal to the last of these.
///
/// A dispatcher has a large part of a service's requests on its link and processor. Hashing
/// alone chooses weak VMs too, where requests wait. Where groups are many, nobody is left
/// out.
fn keep_strongest(candidates: &mut Vec<&Candidate>, needed: usize) {
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.vm.capacity));
    let Some(last) = needed.checked_sub(1).and_then(|last| candidates.get(last)) else { return };
    let least = last.vm.capacity;
    candidates.retain(|candidate| candidate.vm.capacity >= least);
}

fn winners(
    group: usize,
    by_data_centre: &BTreeMap<&Name, Vec<&Candidate>>,
    wanted: usize,
) -> Vec<Vm> {
    let key = hash::mix(group as u64 + 1);
    let mut winners = Vec::new();
    for candidates in by_data_centre.values() {
        let mut ranked = candidates.clone();
        ranked
            .sort_by_key(|candidate| std::cmp::Reverse(hash::rendezvous_score(key, candidate.key)));
        winners.extend(ranked.into_iter().take(wanted).map(|candidate| candidate.vm.clone()));
    }
    winners
}
