//! Status of the shards that run on this VM, which the shards publish.

use std::{
    ops::Add,
    sync::{Arc, RwLock},
};

use pistachiotrack_core::{
    admin::Counter,
    name::Name,
    ownership::ShardId,
    shard::{FleetQueueStatus, HeldRetryCounts, RetryCounts},
};
use rustc_hash::FxHashMap;

/// Current status of a shard, used by the conditions of rules and the metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShardStatus {
    /// Whether no further endpoint is ejected because the minimum is reached.
    pub(crate) at_floor: bool,
    /// Expected queueing time of a new request.
    pub(crate) queue_wait_ms: u64,
    /// Requests whose retries were held.
    pub(crate) held_retries: HeldRetryCounts,
    /// Requests that could be sent again, by what the retry limit said.
    pub(crate) retries: RetryCounts,
    /// What is queued over all dispatchers, if the service has a queue over the fleet.
    pub(crate) fleet_queue: Option<FleetQueueStatus>,
}

/// Status of all shards that run on this VM.
#[derive(Debug, Default)]
pub(crate) struct ShardStatuses {
    by_shard: FxHashMap<ShardId, ShardStatus>,
    /// Totals of the shards that have stopped, so that the VM's totals don't decrease.
    stopped_held_retries: HeldRetryCounts,
    stopped_retries: RetryCounts,
}

/// Shared status of all shards.
pub(crate) type ShardStatusTable = Arc<RwLock<ShardStatuses>>;

impl ShardStatuses {
    /// Sets the status of a shard.
    pub(crate) fn insert(&mut self, shard: ShardId, status: ShardStatus) {
        self.by_shard.insert(shard, status);
    }

    /// Removes a shard that has stopped.
    pub(crate) fn remove(&mut self, shard: &ShardId) {
        if let Some(status) = self.by_shard.remove(shard) {
            self.stopped_held_retries.held_total += status.held_retries.held_total;
            self.stopped_held_retries.refused_total += status.held_retries.refused_total;
            self.stopped_retries = self.stopped_retries + status.retries;
        }
    }

    /// Removes the shards for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&ShardId) -> bool) {
        let removed: Vec<ShardId> = self.by_shard.keys().filter(|id| !keep(id)).cloned().collect();
        removed.iter().for_each(|shard| self.remove(shard));
    }

    /// Returns the statuses of a service's shards.
    pub(crate) fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ShardStatus> {
        self.by_shard
            .iter()
            .filter(move |(id, _)| id.service.as_str() == service)
            .map(|(_, status)| status)
    }

    /// Returns what is queued over all dispatchers of each shard whose service has a queue over the
    /// fleet.
    pub(crate) fn fleet_queues(&self) -> Vec<(Name, FleetQueueStatus)> {
        let status =
            |(id, status): (&ShardId, &ShardStatus)| Some((shard_name(id), status.fleet_queue?));
        self.by_shard.iter().filter_map(status).collect()
    }

    /// Returns for how many requests on this VM the retry limit left a retry, and for how many none.
    pub(crate) fn retries(&self) -> RetryCounts {
        let by_shard = self.by_shard.values().map(|status| status.retries);
        by_shard.fold(self.stopped_retries, Add::add)
    }

    /// Returns the numbers of requests whose retries were held on this VM.
    pub(crate) fn held_retries(&self) -> HeldRetryCounts {
        self.by_shard.values().fold(self.stopped_held_retries, |sum, status| HeldRetryCounts {
            held: sum.held + status.held_retries.held,
            held_total: sum.held_total + status.held_retries.held_total,
            refused_total: sum.refused_total + status.held_retries.refused_total,
        })
    }
}

/// Returns the numbers of retries as the admin port shows them.
pub(crate) fn retry_counters(counts: RetryCounts) -> [Counter; 2] {
    [("retries_granted_total", counts.granted_total), ("retries_denied_total", counts.denied_total)]
        .map(|(name, value)| Counter { name: Name::from(name), value })
}

/// Returns the numbers of held retries as the admin port shows them.
pub(crate) fn held_retry_counters(counts: HeldRetryCounts) -> [Counter; 3] {
    [
        ("retries_held", counts.held),
        ("retries_held_total", counts.held_total),
        ("retries_held_refused_total", counts.refused_total),
    ]
    .map(|(name, value)| Counter { name: Name::from(name), value })
}

/// Returns the name of a shard in logs and on the admin port.
pub(crate) fn shard_name(shard: &ShardId) -> Name {
    Name::from(format!("{}/{}", shard.service, shard.index))
}
