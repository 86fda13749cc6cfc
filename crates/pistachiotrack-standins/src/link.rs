//! Directed links between VMs, each with its own faults.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Whether all traffic is dropped.
    pub blocked: bool,
    /// Share of the datagrams that are dropped.
    pub drop_share: f64,
    /// Delay added to all traffic.
    pub delay: Duration,
}

/// Index of the platform, used like the index of a VM.
pub const PLATFORM: usize = usize::MAX;

/// Decision about a datagram or a part of a byte stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is delivered after a delay.
    After(Duration),
    /// It is dropped.
    Dropped,
}

/// All links between the VMs of a fleet, by the indices of the VMs.
#[derive(Clone, Debug)]
pub struct Links {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    links: FxHashMap<(usize, usize), LinkFaults>,
    default: LinkFaults,
    random: Pcg64Mcg,
}

impl Links {
    /// Creates links without faults.
    pub fn new(seed: u64) -> Links {
        let state = State {
            links: FxHashMap::default(),
            default: LinkFaults::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        Links { state: Arc::new(Mutex::new(state)) }
    }

    /// Sets the faults of one direction.
    pub fn set(&self, from: usize, to: usize, link: LinkFaults) {
        self.lock().links.insert((from, to), link);
    }

    /// Sets the faults of all directions.
    pub fn set_all(&self, link: LinkFaults) {
        let mut state = self.lock();
        state.links.clear();
        state.default = link;
    }

    /// Drops all traffic between the VMs with indices below `boundary` and the others.
    pub fn partition(&self, vms: usize, boundary: usize) {
        let blocked = LinkFaults { blocked: true, ..LinkFaults::default() };
        for left in 0..boundary {
            for right in boundary..vms {
                self.set(left, right, blocked);
                self.set(right, left, blocked);
            }
        }
    }

    /// Returns whether and when a datagram is delivered.
    pub fn deliver_datagram(&self, from: Option<usize>, to: usize) -> Delivery {
        let mut state = self.lock();
        let link = state.link(from, to);
        if link.blocked || (link.drop_share > 0.0 && state.random.random::<f64>() < link.drop_share)
        {
            return Delivery::Dropped;
        }
        Delivery::After(link.delay)
    }

    /// Returns whether and when a part of a byte stream is delivered.
    pub fn deliver_stream(&self, from: Option<usize>, to: usize) -> Delivery {
        let link = self.lock().link(from, to);
        if link.blocked { Delivery::Dropped } else { Delivery::After(link.delay) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn link(&self, from: Option<usize>, to: usize) -> LinkFaults {
        from.and_then(|from| self.links.get(&(from, to)).copied()).unwrap_or(self.default)
    }
}
