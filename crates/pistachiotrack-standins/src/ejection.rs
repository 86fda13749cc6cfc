//! Watches which endpoints the daemons eject.

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

/// Time between two polls at a daemon.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An ejection that was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ejection {
    /// The endpoint.
    pub endpoint: Name,
    /// Moment at which it was first seen.
    pub at: Instant,
}

/// Looks at the admin ports until it is dropped.
#[derive(Debug)]
pub struct EjectionMonitor {
    seen: Arc<Mutex<Observations>>,
    _polls: JoinSet<()>,
}

#[derive(Debug, Default)]
struct Observations {
    ejected: FxHashMap<SocketAddr, BTreeSet<Name>>,
    ejections: Vec<Ejection>,
}

impl EjectionMonitor {
    /// Starts to poll at the daemons with these admin addresses.
    pub fn start(addresses: Vec<SocketAddr>) -> EjectionMonitor {
        let seen = Arc::new(Mutex::new(Observations::default()));
        let admin = AdminClient::default();
        let mut polls = JoinSet::new();
        for address in addresses {
            polls.spawn(poll(admin.clone(), address, Arc::clone(&seen)));
        }
        EjectionMonitor { seen, _polls: polls }
    }

    /// Returns the ejections seen so far.
    pub fn ejections(&self) -> Vec<Ejection> {
        lock(&self.seen).ejections.clone()
    }
}

async fn poll(admin: AdminClient, address: SocketAddr, seen: Arc<Mutex<Observations>>) {
    loop {
        let ejected = match admin.endpoints(address).await {
            Ok(endpoints) => endpoints
                .into_iter()
                .filter(|endpoint| matches!(endpoint.state.as_str(), "ejected" | "trial"))
                .map(|endpoint| endpoint.endpoint)
                .collect(),
            Err(_) => BTreeSet::new(),
        };
        lock(&seen).update(address, ejected, Instant::now());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Observations {
    /// Notes what one daemon has ejected of rotation. An endpoint that another one
    /// has ejected already was ejected once, not twice: its shard changed hands.
    fn update(&mut self, address: SocketAddr, ejected: BTreeSet<Name>, at: Instant) {
        for endpoint in &ejected {
            if !self.ejected.values().any(|others| others.contains(endpoint)) {
                self.ejections.push(Ejection { endpoint: endpoint.clone(), at });
            }
        }
        self.ejected.insert(address, ejected);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Shortest time without work after which an endpoint counts as ejected of
/// rotation.
pub const MIN_QUIET_TIME: Duration = Duration::from_millis(500);
/// Usual gaps between two pieces of work that are no sign of it yet.
const QUIET_GAP_FACTOR: f64 = 20.0;

/// Returns the time without work that shows that an endpoint is ejected of
/// rotation, given how much work arrived in the time before.
pub fn quiet_time(arrivals: usize, time: Duration) -> Duration {
    let mean_gap = time.div_f64(arrivals.max(1) as f64);
    mean_gap.mul_f64(QUIET_GAP_FACTOR).max(MIN_QUIET_TIME)
}

/// Returns how long after `fault` the last work arrived before the first quiet
/// time, or `None` if work went on until `end`.
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
