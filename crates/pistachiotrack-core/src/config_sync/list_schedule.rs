//! Schedule of a VM's reads of the platform's VM list. It bounds the total rate of
//! reads by all VMs.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    ConfigSyncSettings,
    platform_schedule::{RETRY_SPREADS, spread_duration},
};

/// Interval between two reads by a VM that doesn't watch the list, per listed VM, so
/// that all these VMs together make one read per second.
const INTERVAL_PER_VM: Duration = Duration::from_secs(1);
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// The schedule of one VM's reads of the VM list.
#[derive(Clone, Debug)]
pub struct ListReadSchedule {
    settings: ConfigSyncSettings,
    rng: Pcg64Mcg,
    listed_vms: Option<usize>,
    failures: u32,
}

impl ListReadSchedule {
    /// Creates the schedule of a VM that hasn't read the list yet.
    pub fn new(settings: ConfigSyncSettings, seed: u64) -> ListReadSchedule {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        ListReadSchedule { settings, rng, listed_vms: None, failures: 0 }
    }

    /// Returns the delay before the first read.
    ///
    /// When the whole fleet starts at once, all its VMs would read at the same
    /// moment and the platform would refuse most of the reads.
    pub fn first_delay(&mut self) -> Duration {
        self.spread_duration().mul_f64(self.rng.random())
    }

    /// Records the length of a list that was read.
    pub fn on_list(&mut self, vms: usize) {
        self.listed_vms = Some(vms);
        self.failures = 0;
    }

    /// Records that the list is unchanged.
    pub fn on_unchanged(&mut self) {
        self.failures = 0;
    }

    /// Records a failed read and returns the delay before the next one.
    ///
    /// The delay grows with the fleet: all its VMs may fail together, and short
    /// retry delays would keep the platform overloaded.
    pub fn on_failure(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let (initial_ms, max_ms) = (self.settings.min_backoff_ms, self.settings.max_backoff_ms);
        let backoff_ms = initial_ms.saturating_mul(1 << doublings).min(max_ms);
        let backoff = Duration::from_millis(backoff_ms).max(self.spread_duration() * RETRY_SPREADS);
        backoff.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Returns the delay before the next read of a VM that doesn't watch the list.
    pub fn next_poll_delay(&mut self) -> Duration {
        let interval = INTERVAL_PER_VM.mul_f64(self.listed_vms.unwrap_or(0) as f64);
        interval.mul_f64(self.rng.random_range(0.5..1.5))
    }

    fn spread_duration(&self) -> Duration {
        let vms = self.listed_vms.unwrap_or(self.settings.assumed_fleet_vms as usize);
        spread_duration(vms, self.settings.first_reads_per_second)
    }
}
