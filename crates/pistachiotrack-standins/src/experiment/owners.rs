//! Watches which VMs own the shards and whether all VMs know each other.

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

/// Time between two looks at the fleet.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// The fleet at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Look {
    /// Moment of the look.
    pub(super) at: Instant,
    /// Shards that more than one VM owns.
    pub(super) shared: usize,
    /// Shards that no VM owns.
    pub(super) unowned: usize,
    /// VMs that do not count all others as alive.
    pub(super) apart: usize,
}

impl Look {
    /// Returns whether all VMs agree.
    pub(super) fn is_whole(&self) -> bool {
        self.shared + self.unowned + self.apart == 0
    }
}

/// Looks at the fleet until it is dropped.
pub(super) struct OwnerWatch {
    looks: Arc<Mutex<Vec<Look>>>,
    _task: JoinSet<()>,
}

impl OwnerWatch {
    /// Starts to look at VMs that have `shards` shards together.
    pub(super) fn start(addresses: Vec<SocketAddr>, shards: usize) -> OwnerWatch {
        let looks = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&looks);
        let mut task = JoinSet::new();
        task.spawn(async move {
            let admin = AdminClient::default();
            loop {
                let asked = addresses.iter().map(|address| admin.status(*address));
                let statuses: Vec<Status> =
                    join_all(asked).await.into_iter().filter_map(Result::ok).collect();
                let look = look(&statuses, addresses.len(), shards);
                seen.lock().unwrap_or_else(PoisonError::into_inner).push(look);
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        });
        OwnerWatch { looks, _task: task }
    }

    /// Returns all looks so far.
    pub(super) fn looks(&self) -> Vec<Look> {
        self.looks.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn look(statuses: &[Status], vms: usize, shards: usize) -> Look {
    let mut owners: BTreeMap<&str, usize> = BTreeMap::new();
    for shard in statuses.iter().flat_map(|status| &status.shards) {
        *owners.entry(shard.as_str()).or_default() += 1;
    }
    let knowing = statuses.iter().filter(|status| status.live_vms as usize == vms).count();
    Look {
        at: Instant::now(),
        shared: owners.values().filter(|count| **count > 1).count(),
        unowned: shards.saturating_sub(owners.len()),
        apart: vms - knowing,
    }
}

/// Returns the time from `since` to the first look after which all stay whole.
pub(super) fn whole_after(looks: &[Look], since: Instant) -> Option<Duration> {
    let later: Vec<&Look> = looks.iter().filter(|look| look.at >= since).collect();
    let broken = later.iter().rposition(|look| !look.is_whole());
    let first_whole = broken.map_or(0, |index| index + 1);
    later.get(first_whole).map(|look| look.at - since)
}
