//! Monitors which VMs own the shards and whether all VMs consider each other alive.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use pistachiotrack_core::admin::Status;
use tokio::task::JoinSet;

use crate::admin::AdminClient;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// State of the fleet at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OwnershipSample {
    /// Time of the sample.
    pub(super) at: Instant,
    /// Number of shards that more than one VM owns.
    pub(super) shared_shards: usize,
    /// Number of shards that no VM owns.
    pub(super) unowned_shards: usize,
    /// Number of VMs that don't consider all others alive.
    pub(super) diverged_vms: usize,
}

impl OwnershipSample {
    /// Returns whether all VMs agree on members and owners.
    pub(super) fn has_converged(&self) -> bool {
        self.shared_shards + self.unowned_shards + self.diverged_vms == 0
    }
}

/// Samples the fleet until it is dropped.
pub(super) struct OwnershipMonitor {
    samples: Arc<Mutex<Vec<OwnershipSample>>>,
    _task: JoinSet<()>,
}

impl OwnershipMonitor {
    /// Starts to sample VMs that have `shards` shards in total.
    pub(super) fn start(addresses: Vec<SocketAddr>, shards: usize) -> OwnershipMonitor {
        let samples = Arc::new(Mutex::new(Vec::new()));
        let collected = Arc::clone(&samples);
        let mut task = JoinSet::new();
        task.spawn(async move {
            let admin = AdminClient::default();
            loop {
                let requests = addresses.iter().map(|address| admin.status(*address));
                let statuses: Vec<Status> =
                    join_all(requests).await.into_iter().filter_map(Result::ok).collect();
                let sample = take_sample(&statuses, addresses.len(), shards);
                collected.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        OwnershipMonitor { samples, _task: task }
    }

    /// Returns all samples so far.
    pub(super) fn samples(&self) -> Vec<OwnershipSample> {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn take_sample(statuses: &[Status], vms: usize, shards: usize) -> OwnershipSample {
    let mut owners: BTreeMap<&str, usize> = BTreeMap::new();
    for shard in statuses.iter().flat_map(|status| &status.shards) {
        *owners.entry(shard.as_str()).or_default() += 1;
    }
    let converged_vms = statuses.iter().filter(|status| status.live_vms as usize == vms).count();
    OwnershipSample {
        at: Instant::now(),
        shared_shards: owners.values().filter(|count| **count > 1).count(),
        unowned_shards: shards.saturating_sub(owners.len()),
        diverged_vms: vms - converged_vms,
    }
}

/// Returns the time from `since` to the first sample from which on the fleet stays converged.
pub(super) fn time_to_convergence(samples: &[OwnershipSample], since: Instant) -> Option<Duration> {
    let later: Vec<&OwnershipSample> = samples.iter().filter(|sample| sample.at >= since).collect();
    let last_diverged = later.iter().rposition(|sample| !sample.has_converged());
    let first_converged = last_diverged.map_or(0, |index| index + 1);
    later.get(first_converged).map(|sample| sample.at - since)
}
