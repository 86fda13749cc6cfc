//! When the VMs of a fleet read the platform's list.

use std::time::Duration;

use pistachiotrack_core::config_sync::{ConfigSyncSettings, ListReadSchedule};

/// Reads that a second may see; the platform takes 2,000 of all kinds.
const MAX_READS: u32 = 1_200;

/// Returns the schedule of a VM whose deployment has the platform for itself.
fn schedule(fleet_vms: u32, seed: u64) -> ListReadSchedule {
    let settings = ConfigSyncSettings {
        assumed_fleet_vms: fleet_vms,
        first_reads_per_second: 1_000.0,
        ..ConfigSyncSettings::default()
    };
    ListReadSchedule::new(settings, seed)
}

/// After a power cut 5,800 VMs start at the same moment, and each reads the
/// list first of all. The platform refuses most of them, and no VM finds the
/// others. Cause: nothing else has told them yet how many they are.
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
fn a_small_fleet_hardly_waits() {
    let longest = (0..48).map(|seed| schedule(48, seed).first_delay()).max().unwrap();
    assert!(longest < Duration::from_millis(100), "{longest:?}");
}

/// As above, and the platform refuses every read. Retries within the usual
/// backoff of all VMs together would keep it from getting up again.
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
    // The first retries of the VMs that read late fall together with the second
    // ones of those that read early.
    let most = MAX_READS * 3 / 2;
    assert!(reads_by_second.iter().all(|reads| *reads < most), "{reads_by_second:?}");
}

#[test]
fn reads_by_turns_make_one_a_second_whatever_the_size() {
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
