//! The total rate of platform reads by the VMs of all deployments.

mod config_support;

use std::time::Duration;

use config_support::{CURRENT_SIZES, DEPLOYMENT, config, fleet::Fleet, vm};
use pistachiotrack_core::{
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings, ListReadSchedule},
    membership::{Member, MemberState},
    name::Name,
    time::Time,
};

const MINUTE: Duration = Duration::from_secs(60);

fn alive(vms: u32) -> Vec<Member> {
    let member = |index| Member {
        vm: vm(index, 3),
        state: MemberState::Alive,
        since: Time::ZERO,
        config_version: None,
        last_platform_response: None,
        is_cut_off: false,
    };
    (0..vms).map(member).collect()
}

/// Returns whether the platform is called, with a watch or a read.
fn calls(actions: &[ConfigAction]) -> bool {
    let call = |action: &ConfigAction| {
        matches!(action, ConfigAction::Watch { .. } | ConfigAction::Read { .. })
    };
    actions.iter().any(call)
}

const DEPLOYMENTS: u64 = 121;
const DEPLOYMENT_VMS: u32 = 48;
/// Reads of all kinds that the platform accepts per second.
const PLATFORM_READS: u32 = 2_000;

/// Returns a VM of one of many deployments, with its schedule of list reads.
fn node_of_deployment(deployment: u64, index: u32) -> (ConfigSync, ListReadSchedule) {
    let settings = ConfigSyncSettings::default();
    let seed = deployment * 1_000 + u64::from(index);
    let name = Name::from(DEPLOYMENT);
    let node = ConfigSync::new(vm(index, 3), name, settings.clone(), seed);
    (node, ListReadSchedule::new(settings, !seed))
}

/// After a power cut 121 deployments of 48 VMs start at the same moment. Each deployment
/// keeps to a low rate, but if the sum exceeds the platform's rate, most reads are
/// refused. Each VM reads the list, discovers its peers a second later, and may read
/// the value in between.
#[test]
fn a_cold_start_of_all_deployments_stays_within_the_platforms_rate() {
    let mut reads_by_second = [0_u32; 12];
    let mut values_by_second = [0_u32; 12];
    let peers = alive(DEPLOYMENT_VMS);
    for deployment in 0..DEPLOYMENTS {
        for index in 0..DEPLOYMENT_VMS {
            let (mut node, mut list) = node_of_deployment(deployment, index);
            let listed = list.first_delay();
            reads_by_second[listed.as_secs() as usize] += 1;
            let first = (0..120).find(|step| {
                let now = Duration::from_millis(step * 100);
                if now >= listed {
                    node.on_listed_vms(DEPLOYMENT_VMS as usize);
                }
                let has_discovered_peers = now >= listed + Duration::from_secs(1);
                let members = if has_discovered_peers { &peers[..] } else { &[] };
                calls(&node.on_tick(Time::ZERO + now, members.iter()))
            });
            let Some(first) = first else { continue };
            values_by_second[first as usize / 10] += 1;
        }
    }
    assert!(values_by_second.iter().all(|reads| *reads < 1_400), "{values_by_second:?}");
    let sums = reads_by_second.iter().zip(values_by_second).map(|(lists, values)| lists + values);
    let sums: Vec<u32> = sums.collect();
    assert!(sums.iter().all(|reads| *reads < PLATFORM_READS), "{sums:?}");
    assert!(reads_by_second[..5].iter().sum::<u32>() >= 5_800, "{reads_by_second:?}");
}

/// As above, but the platform refuses every read of either kind. The retries of all
/// deployments must stay within the rate too, or the platform never recovers.
#[test]
fn retries_of_all_deployments_stay_within_the_platforms_rate() {
    let mut reads_by_second = [0_u32; 60];
    for deployment in 0..DEPLOYMENTS {
        for index in 0..DEPLOYMENT_VMS {
            let (mut node, mut list) = node_of_deployment(deployment, index);
            let mut at = list.first_delay();
            while let Some(second) = reads_by_second.get_mut(at.as_secs() as usize) {
                *second += 1;
                at += list.on_failure();
            }
            for step in 0..600 {
                let now = Time::from_millis(step * 100);
                if calls(&node.on_tick(now, std::iter::empty())) {
                    reads_by_second[step as usize / 10] += 1;
                    node.on_platform_error(now);
                }
            }
        }
    }
    assert!(reads_by_second.iter().all(|reads| *reads < PLATFORM_READS), "{reads_by_second:?}");
    assert!(reads_by_second.iter().sum::<u32>() >= 4 * 5_800, "{reads_by_second:?}");
}

/// The spread that protects the platform from thousands of VMs must not delay the start
/// of six, since whoever starts them waits for the slowest one.
#[test]
fn a_small_fleet_reads_within_a_second() {
    for seed in 0..500 {
        let settings = ConfigSyncSettings { assumed_fleet_vms: 6, ..ConfigSyncSettings::default() };
        let listed = ListReadSchedule::new(settings.clone(), seed).first_delay();
        assert!(listed < Duration::from_millis(601), "{listed:?}");
        let mut node = ConfigSync::new(vm(0, 3), Name::from(DEPLOYMENT), settings, seed);
        node.on_listed_vms(6);
        let soon = (0..8).map(|step| Time::from_millis(step * 100));
        let mut begun = soon.map(|now| calls(&node.on_tick(now, std::iter::empty())));
        assert!(begun.any(|begun| begun), "no read within 700 ms");
    }
}

/// If VMs that only confirm their version used watches, the platform would hold hundreds
/// of calls open without need. Only the watchers of each data centre may do so.
#[test]
fn only_the_watchers_of_each_data_centre_hold_watches_open() {
    for (vms, data_centres) in [(12, 1), (12, 3), (48, 3)] {
        let settings = ConfigSyncSettings::default();
        let watchers = settings.watchers_per_data_centre * data_centres;
        let mut fleet = Fleet::new(vms, data_centres, settings, 11);
        fleet.publish(&config(1, CURRENT_SIZES));
        fleet.run_until(MINUTE, |fleet| fleet.all_have(1)).expect("a first version");
        // Watches from before the VMs discovered each other end on their own.
        fleet.run(MINUTE);
        let calls = fleet.platform.calls;
        let mut most = 0;
        for _ in 0..180 {
            fleet.run(Duration::from_secs(1));
            most = most.max(fleet.pending_watches());
        }
        assert_eq!(most, watchers as usize, "{vms} VMs in {data_centres} data centres");
        let confirming = fleet.platform.calls - calls;
        let by_watchers = u64::from(watchers) * 180 / 30 + u64::from(watchers);
        assert!(confirming > by_watchers, "nobody else confirms: {confirming}");
    }
}
