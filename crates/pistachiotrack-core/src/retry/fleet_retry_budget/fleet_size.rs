//! Size of the fleet, as other dispatchers report it.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::{name::Name, time::Time};

/// Time after which a report no longer counts, as its sender may have been removed.
const REPORT_MAX_AGE: Duration = Duration::from_secs(5);

/// Numbers of VMs that other dispatchers know.
///
/// Failure guarded against: a process that is restarted in a partition has never seen the VMs on the
/// other side and takes its own side for the whole fleet.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetSize {
    reports: FxHashMap<Name, Report>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    known_vms: u32,
    received_at: Time,
}

impl FleetSize {
    /// Records how many VMs another dispatcher knows, if it has joined the fleet.
    pub(super) fn record(&mut self, now: Time, from: &Name, known_vms: Option<u32>) {
        self.reports
            .retain(|name, report| name != from && now.since(report.received_at) < REPORT_MAX_AGE);
        if let Some(known_vms) = known_vms {
            self.reports.insert(from.clone(), Report { known_vms, received_at: now });
        }
    }

    /// Returns the largest number of VMs that another dispatcher has lately reported to know.
    pub(super) fn largest(&self) -> Option<u32> {
        self.reports.values().map(|report| report.known_vms).max()
    }
}
