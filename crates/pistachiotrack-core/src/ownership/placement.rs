//! Rendezvous hashing of shards over VMs, weighted by data centre.

use std::collections::BTreeMap;

use super::candidate::{Candidate, Candidates};
use crate::{endpoint::Endpoint, hash, name::Name};

/// Weight of a VM in a data centre without endpoints of the shard. It is not 0, so that the
/// last VMs of a data centre that is shutting down don't have to own all its shards.
const REMOTE_WEIGHT: f64 = 0.02;

/// Hash key and data centre weights of a shard.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Placement {
    key: u64,
    weights: Vec<(Name, f64)>,
}

impl Placement {
    /// Computes the placement of a shard from its endpoints: the weight of a data centre is
    /// its share of the slots.
    pub(super) fn new<'a>(key: &str, endpoints: impl Iterator<Item = &'a Endpoint>) -> Placement {
        let mut slots: BTreeMap<&Name, u32> = BTreeMap::new();
        for endpoint in endpoints {
            *slots.entry(&endpoint.data_centre).or_default() += endpoint.slots.max(1);
        }
        let all: u32 = slots.values().sum();
        let weights = slots
            .into_iter()
            .map(|(name, slots)| (name.clone(), REMOTE_WEIGHT + f64::from(slots) / f64::from(all)))
            .collect();
        Placement { key: hash::fnv(key.as_bytes()), weights }
    }

    /// Returns the score of a VM; the VM with the highest score owns the shard.
    pub(super) fn score(&self, candidate: &Candidate) -> f64 {
        self.weighted_score(
            &candidate.vm.data_centre,
            hash::rendezvous_score(self.key, candidate.key),
        )
    }

    fn weighted_score(&self, data_centre: &Name, hash: u64) -> f64 {
        let known = self.weights.iter().find(|(name, _)| name == data_centre);
        let weight = known.map_or(REMOTE_WEIGHT, |(_, weight)| *weight);
        let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        -weight / uniform.ln()
    }

    /// Returns the best VM of a pool with its score.
    pub(super) fn best<'a>(&self, pool: &Pool<'a>) -> Option<(&'a Candidate, f64)> {
        // The weight is the same within a data centre, so integer hashes can be compared and
        // the logarithm is computed only once for each data centre.
        let best_of_each = pool.by_data_centre.iter().filter_map(|(data_centre, candidates)| {
            let hash_of = |candidate: &&Candidate| hash::rendezvous_score(self.key, candidate.key);
            let best = candidates.iter().copied().max_by_key(hash_of)?;
            Some((best, self.weighted_score(data_centre, hash_of(&best))))
        });
        best_of_each.max_by(|(_, left), (_, right)| left.total_cmp(right))
    }
}

/// The VMs from which a new owner is chosen.
pub(super) struct Pool<'a> {
    by_data_centre: BTreeMap<&'a Name, Vec<&'a Candidate>>,
}

impl<'a> Pool<'a> {
    /// Creates the pool of the settled live VMs; if there are none, of all live ones; if there
    /// are none, of the suspected ones.
    pub(super) fn new(candidates: &'a Candidates) -> Pool<'a> {
        let all: Vec<&Candidate> = candidates.iter().collect();
        let eligible: Vec<&Candidate> =
            all.iter().copied().filter(|one| one.is_eligible()).collect();
        let alive: Vec<&Candidate> = all.iter().copied().filter(|one| one.alive).collect();
        let chosen = [eligible, alive, all].into_iter().find(|some| !some.is_empty());
        let mut by_data_centre: BTreeMap<&Name, Vec<&Candidate>> = BTreeMap::new();
        for candidate in chosen.unwrap_or_default() {
            by_data_centre.entry(&candidate.vm.data_centre).or_default().push(candidate);
        }
        Pool { by_data_centre }
    }
}
