//! When to read the platform's list of VMs, so that all VMs together read
//! little.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    ConfigSyncSettings,
    platform_schedule::{RETRY_SPREADS, spread_duration},
};

/// Time between two reads by a VM that doesn't watch the list, for each VM
/// listed, so that all of these make one read a second.
const INTERVAL_PER_VM: Duration = Duration::from_secs(1);
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// The schedule of one VM's reads of the list.
#[derive(Clone, Debug)]
pub struct ListReadSchedule {
    settings: ConfigSyncSettings,
    rng: Pcg64Mcg,
    listed_vms: Option<usize>,
    failures: u32,
}

impl ListReadSchedule {
    /// Creates the schedule of a VM that knows no list yet.
    pub fn new(settings: ConfigSyncSettings, seed: u64) -> ListReadSchedule {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        ListReadSchedule { settings, rng, listed_vms: None, failures: 0 }
    }

    /// Returns the wait before the first read.
    ///
    /// When the whole fleet starts at once, all its VMs would read in the same
    /// moment and the platform would refuse most of them.
    pub fn first_delay(&mut self) -> Duration {
        self.spread_duration().mul_f64(self.rng.random())
    }

    /// Notes a list of `vms` VMs.
    pub fn on_list(&mut self, vms: usize) {
        self.listed_vms = Some(vms);
        self.failures = 0;
    }

    /// Notes that the platform knows nothing newer.
    pub fn on_unchanged(&mut self) {
        self.failures = 0;
    }

    /// Notes a read that failed and returns the wait before the next one.
    ///
    /// The whole fleet may fail together; short waits of a large one would keep
    /// the platform down.
    pub fn on_failure(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let (initial_ms, max_ms) = (self.settings.min_backoff_ms, self.settings.max_backoff_ms);
        let backoff_ms = initial_ms.saturating_mul(1 << doublings).min(max_ms);
        let backoff = Duration::from_millis(backoff_ms).max(self.spread_duration() * RETRY_SPREADS);
        backoff.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Returns the wait of a VM that doesn't watch before it reads again.
    pub fn next_poll_delay(&mut self) -> Duration {
        let interval = INTERVAL_PER_VM.mul_f64(self.listed_vms.unwrap_or(0) as f64);
        interval.mul_f64(self.rng.random_range(0.5..1.5))
    }

    fn spread_duration(&self) -> Duration {
        let vms = self.listed_vms.unwrap_or(self.settings.assumed_fleet_vms as usize);
        spread_duration(vms, self.settings.first_reads_per_second)
    }
}
