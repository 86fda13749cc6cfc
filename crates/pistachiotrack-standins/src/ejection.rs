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

use crate::admin::Admin;

/// Time between two looks at a daemon.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(100);

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
pub struct EjectionWatch {
    seen: Arc<Mutex<Seen>>,
    _looks: JoinSet<()>,
}

#[derive(Debug, Default)]
struct Seen {
    out: FxHashMap<SocketAddr, BTreeSet<Name>>,
    ejections: Vec<Ejection>,
}

impl EjectionWatch {
    /// Starts to look at the daemons with these admin addresses.
    pub fn start(addresses: Vec<SocketAddr>) -> EjectionWatch {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let admin = Admin::default();
        let mut looks = JoinSet::new();
        for address in addresses {
            looks.spawn(look(admin.clone(), address, Arc::clone(&seen)));
        }
        EjectionWatch { seen, _looks: looks }
    }

    /// Returns the ejections seen so far.
    pub fn ejections(&self) -> Vec<Ejection> {
        lock(&self.seen).ejections.clone()
    }
}

async fn look(admin: Admin, address: SocketAddr, seen: Arc<Mutex<Seen>>) {
    loop {
        let out = match admin.endpoints(address).await {
            Ok(endpoints) => endpoints
                .into_iter()
                .filter(|endpoint| matches!(endpoint.state.as_str(), "ejected" | "trial"))
                .map(|endpoint| endpoint.endpoint)
                .collect(),
            Err(_) => BTreeSet::new(),
        };
        lock(&seen).update(address, out, Instant::now());
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

impl Seen {
    /// Notes what one daemon has out of rotation. An endpoint that another one
    /// has out already was ejected once, not twice: its shard changed hands.
    fn update(&mut self, address: SocketAddr, out: BTreeSet<Name>, at: Instant) {
        for endpoint in &out {
            if !self.out.values().any(|others| others.contains(endpoint)) {
                self.ejections.push(Ejection { endpoint: endpoint.clone(), at });
            }
        }
        self.out.insert(address, out);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Shortest time without work after which an endpoint counts as out of
/// rotation.
pub const QUIET: Duration = Duration::from_millis(500);
/// Usual gaps between two pieces of work that are no sign of it yet.
const USUAL_GAPS: f64 = 20.0;

/// Returns the time without work that shows that an endpoint is out of
/// rotation, given how much work arrived in the time before.
pub fn quiet_time(arrivals: usize, time: Duration) -> Duration {
    let usual_gap = time.div_f64(arrivals.max(1) as f64);
    usual_gap.mul_f64(USUAL_GAPS).max(QUIET)
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
