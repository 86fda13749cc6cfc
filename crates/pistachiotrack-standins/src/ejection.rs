//! Monitors which endpoints the daemons eject.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use pistachiotrack_core::name::Name;
use rustc_hash::FxHashMap;
use tokio::task::JoinSet;

use crate::admin::AdminClient;

/// Time between two polls of a daemon.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An observed ejection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ejection {
    /// The endpoint.
    pub endpoint: Name,
    /// Time at which it was first observed.
    pub observed_at: Instant,
}

/// Polls the admin ports until it is dropped.
#[derive(Debug)]
pub struct EjectionMonitor {
    observations: Arc<Mutex<Observations>>,
    _polls: JoinSet<()>,
}

#[derive(Debug, Default)]
struct Observations {
    ejected: FxHashMap<SocketAddr, BTreeSet<Name>>,
    ejections: Vec<Ejection>,
}

impl EjectionMonitor {
    /// Starts to poll the daemons at these admin addresses.
    pub fn start(addresses: Vec<SocketAddr>) -> EjectionMonitor {
        let observations = Arc::new(Mutex::new(Observations::default()));
        let admin = AdminClient::default();
        let mut polls = JoinSet::new();
        for address in addresses {
            polls.spawn(poll(admin.clone(), address, Arc::clone(&observations)));
        }
        EjectionMonitor { observations, _polls: polls }
    }

    /// Returns the ejections observed so far.
    pub fn ejections(&self) -> Vec<Ejection> {
        lock(&self.observations).ejections.clone()
    }
}

async fn poll(admin: AdminClient, address: SocketAddr, observations: Arc<Mutex<Observations>>) {
    loop {
        let ejected = match admin.endpoints(address).await {
            Ok(endpoints) => endpoints
                .into_iter()
                .filter(|endpoint| matches!(endpoint.state.as_str(), "ejected" | "trial"))
                .map(|endpoint| endpoint.endpoint)
                .collect(),
            Err(_) => BTreeSet::new(),
        };
        lock(&observations).update(address, ejected, Instant::now());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Observations {
    /// Records the endpoints that one daemon has out of rotation. An endpoint that another
    /// daemon already has out of rotation counts as one ejection: its shard has a new owner.
    fn update(&mut self, address: SocketAddr, ejected: BTreeSet<Name>, at: Instant) {
        for endpoint in &ejected {
            if !self.ejected.values().any(|others| others.contains(endpoint)) {
                self.ejections.push(Ejection { endpoint: endpoint.clone(), observed_at: at });
            }
        }
        self.ejected.insert(address, ejected);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Shortest time without requests after which an endpoint counts as out of rotation.
pub const MIN_QUIET_TIME: Duration = Duration::from_millis(500);
/// Multiple of the mean time between requests that an endpoint may be without requests.
const QUIET_GAP_FACTOR: f64 = 20.0;

/// Returns the time without requests after which an endpoint counts as out of rotation, given
/// the number of requests that arrived in the `time` before.
pub fn quiet_time(arrivals: usize, time: Duration) -> Duration {
    let mean_gap = time.div_f64(arrivals.max(1) as f64);
    mean_gap.mul_f64(QUIET_GAP_FACTOR).max(MIN_QUIET_TIME)
}

/// Returns the time from `fault` to the last request before the first quiet time, or `None`
/// if requests kept arriving until `end`.
pub fn work_stopped_after(
    arrivals: &[Instant],
    fault: Instant,
    end: Instant,
    quiet: Duration,
) -> Option<Duration> {
    let mut last = fault;
    for at in arrivals.iter().copied().chain([end]) {
        if at.saturating_duration_since(last) >= quiet {
            return Some(last - fault);
        }
        last = at;
    }
    None
}
