//! Rendezvous hashing of shards over VMs, weighted by data centre.

use std::collections::BTreeMap;

use super::candidate::{Candidate, Candidates};
use crate::{endpoint::Endpoint, hash, name::Name};

/// Weight of a VM in a data centre without endpoints of the shard. It keeps the
/// last VMs of a data centre that is going away from having to own everything.
const FOREIGN_WEIGHT: f64 = 0.02;

/// Where a shard wants to be.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Placement {
    key: u64,
    weights: Vec<(Name, f64)>,
}

impl Placement {
    /// Works out the placement of a shard from its endpoints: a data centre
    /// weighs as much as its part of the slots.
    pub(super) fn new<'a>(key: &str, endpoints: impl Iterator<Item = &'a Endpoint>) -> Placement {
        let mut slots: BTreeMap<&Name, u32> = BTreeMap::new();
        for endpoint in endpoints {
            *slots.entry(&endpoint.data_centre).or_default() += endpoint.slots.max(1);
        }
        let all: u32 = slots.values().sum();
        let weights = slots
            .into_iter()
            .map(|(name, slots)| (name.clone(), FOREIGN_WEIGHT + f64::from(slots) / f64::from(all)))
            .collect();
        Placement { key: hash::fnv(key.as_bytes()), weights }
    }

    /// Returns the score of a VM; the highest owns the shard.
    pub(super) fn score(&self, candidate: &Candidate) -> f64 {
        self.weighted(&candidate.vm.data_centre, hash::rendezvous_score(self.key, candidate.key))
    }

    fn weighted(&self, data_centre: &Name, hash: u64) -> f64 {
        let known = self.weights.iter().find(|(name, _)| name == data_centre);
        let weight = known.map_or(FOREIGN_WEIGHT, |(_, weight)| *weight);
        let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        -weight / uniform.ln()
    }

    /// Returns the best VM of a pool with its score.
    pub(super) fn best<'a>(&self, pool: &Pool<'a>) -> Option<(&'a Candidate, f64)> {
        // Within a data centre the weight is the same, so whole numbers decide
        // and the logarithm is needed once for each data centre only.
        let of_each = pool.by_data_centre.iter().filter_map(|(data_centre, candidates)| {
            let hash_of = |candidate: &&Candidate| hash::rendezvous_score(self.key, candidate.key);
            let best = candidates.iter().copied().max_by_key(hash_of)?;
            Some((best, self.weighted(data_centre, hash_of(&best))))
        });
        of_each.max_by(|(_, left), (_, right)| left.total_cmp(right))
    }
}

/// VMs among which a new owner is chosen.
pub(super) struct Pool<'a> {
    by_data_centre: BTreeMap<&'a Name, Vec<&'a Candidate>>,
}

impl<'a> Pool<'a> {
    /// Takes the settled VMs; if there are none, all that are alive; if there
    /// are none, the suspected ones.
    pub(super) fn new(candidates: &'a Candidates) -> Pool<'a> {
        let all: Vec<&Candidate> = candidates.iter().collect();
        let settled: Vec<&Candidate> = all.iter().copied().filter(|one| one.can_win()).collect();
        let alive: Vec<&Candidate> = all.iter().copied().filter(|one| one.alive).collect();
        let chosen = [settled, alive, all].into_iter().find(|some| !some.is_empty());
        let mut by_data_centre: BTreeMap<&Name, Vec<&Candidate>> = BTreeMap::new();
        for candidate in chosen.unwrap_or_default() {
            by_data_centre.entry(&candidate.vm.data_centre).or_default().push(candidate);
        }
        Pool { by_data_centre }
    }
}
