//! Rate of reads of the platform's VM list by a fleet.

use std::time::Duration;

use pistachiotrack_core::config_sync::{ConfigSyncSettings, ListReadSchedule};

/// Maximum list reads per second; the platform accepts 2,000 reads of all kinds.
const MAX_READS: u32 = 1_200;

/// Returns the schedule of a VM whose deployment doesn't share the platform.
fn schedule(fleet_vms: u32, seed: u64) -> ListReadSchedule {
    let settings = ConfigSyncSettings {
        assumed_fleet_vms: fleet_vms,
        first_reads_per_second: 1_000.0,
        ..ConfigSyncSettings::default()
    };
    ListReadSchedule::new(settings, seed)
}

/// After a power cut 5,800 VMs start at the same moment. Each reads the list first, without
/// knowing the size of the fleet. If the platform refused most reads, the VMs would not
/// discover each other.
#[test]
fn first_reads_of_a_large_fleet_are_spread() {
    let mut reads_by_second = [0_u32; 6];
    for seed in 0..5_800 {
        let wait = schedule(5_800, seed).first_delay();
        reads_by_second[wait.as_secs() as usize] += 1;
    }
    assert!(reads_by_second.iter().all(|reads| *reads < MAX_READS), "{reads_by_second:?}");
}

#[test]
fn a_small_fleet_reads_almost_immediately() {
    let longest = (0..48).map(|seed| schedule(48, seed).first_delay()).max().unwrap();
    assert!(longest < Duration::from_millis(100), "{longest:?}");
}

/// As above, but the platform refuses every read. With the usual retry delays, the retries
/// of all VMs together would keep it overloaded.
#[test]
fn retries_of_a_large_fleet_are_spread() {
    let mut reads_by_second = [0_u32; 60];
    for seed in 0..5_800 {
        let mut reads = schedule(5_800, seed);
        let mut at = reads.first_delay();
        while let Some(second) = reads_by_second.get_mut(at.as_secs() as usize) {
            *second += 1;
            at += reads.on_failure();
        }
    }
    // The first retries of VMs that read late coincide with the second retries of
    // VMs that read early.
    let most = MAX_READS * 3 / 2;
    assert!(reads_by_second.iter().all(|reads| *reads < most), "{reads_by_second:?}");
}

#[test]
fn periodic_reads_total_one_per_second_at_any_fleet_size() {
    for vms in [48_u32, 5_800] {
        let per_second: f64 = (0..vms)
            .map(|seed| {
                let mut reads = schedule(vms, u64::from(seed));
                reads.on_list(vms as usize);
                1.0 / reads.next_poll_delay().as_secs_f64()
            })
            .sum();
        assert!((0.9..1.3).contains(&per_second), "{vms} VMs: {per_second}");
    }
}
