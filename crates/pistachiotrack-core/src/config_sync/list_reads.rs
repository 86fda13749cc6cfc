//! When to read the platform's list of VMs, so that all VMs together read
//! little.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    ConfigSyncSettings,
    platform::{RETRY_SPREADS, spread},
};

/// Time between two reads by a VM that doesn't watch the list, for each VM
/// listed, so that all of these make one read a second.
const INTERVAL_PER_VM: Duration = Duration::from_secs(1);
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// The schedule of one VM's reads of the list.
#[derive(Clone, Debug)]
pub struct ListReads {
    settings: ConfigSyncSettings,
    rng: Pcg64Mcg,
    listed: Option<usize>,
    failures: u32,
}

impl ListReads {
    /// Creates the schedule of a VM that knows no list yet.
    pub fn new(settings: ConfigSyncSettings, seed: u64) -> ListReads {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        ListReads { settings, rng, listed: None, failures: 0 }
    }

    /// Returns the wait before the first read.
    ///
    /// When the whole fleet starts at once, all its VMs would read in the same
    /// moment and the platform would refuse most of them.
    pub fn first_wait(&mut self) -> Duration {
        self.spread().mul_f64(self.rng.random())
    }

    /// Notes a list of `vms` VMs.
    pub fn on_list(&mut self, vms: usize) {
        self.listed = Some(vms);
        self.failures = 0;
    }

    /// Notes that the platform knows nothing newer.
    pub fn on_nothing_newer(&mut self) {
        self.failures = 0;
    }

    /// Notes a read that failed and returns the wait before the next one.
    ///
    /// The whole fleet may fail together; short waits of a large one would keep
    /// the platform down.
    pub fn on_failure(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let (first_ms, longest_ms) = (self.settings.min_backoff_ms, self.settings.max_backoff_ms);
        let backoff_ms = first_ms.saturating_mul(1 << doublings).min(longest_ms);
        let backoff = Duration::from_millis(backoff_ms).max(self.spread() * RETRY_SPREADS);
        backoff.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Returns the wait of a VM that doesn't watch before it reads again.
    pub fn turn(&mut self) -> Duration {
        let usual = INTERVAL_PER_VM.mul_f64(self.listed.unwrap_or(0) as f64);
        usual.mul_f64(self.rng.random_range(0.5..1.5))
    }

    fn spread(&self) -> Duration {
        let vms = self.listed.unwrap_or(self.settings.assumed_fleet_vms as usize);
        spread(vms, self.settings.first_reads_per_second)
    }
}
