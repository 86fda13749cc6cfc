//! Watchers that can't reach the platform.

mod config_support;

use std::{collections::BTreeSet, time::Duration};

use config_support::{CURRENT_SIZES, config, fleet::Fleet};
use pistachiotrack_core::config_sync::ConfigSyncSettings;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MINUTE: Duration = Duration::from_secs(60);
/// Time in which a confirmed change has to be active on all VMs.
const MAX_ACTIVATION_TIME: Duration = Duration::from_secs(2);
const VMS: u32 = 44;
const DATA_CENTRES: u32 = 3;
/// VMs that watch the platform while it responds to all watchers.
const WATCHERS: usize = 6;
/// VMs that still reach the platform when the watchers don't.
const REACH_PLATFORM: usize = 8;

/// Returns the settings of the deployment template.
fn deployed_settings() -> ConfigSyncSettings {
    let template = include_str!("../../../deploy/settings.json");
    let (_, rest) = template.split_once("\"config_sync\":").expect("the section");
    let (section, _) = rest.split_once('}').expect("its end");
    serde_json::from_str(&format!("{section}}}")).expect("settings without placeholders")
}

/// Returns a fleet with a first version, after a time that differs by seed.
fn settled_fleet(seed: u64, rng: &mut Pcg64Mcg) -> Fleet {
    let mut fleet = Fleet::new(VMS, DATA_CENTRES, deployed_settings(), seed);
    fleet.announces_changes = true;
    fleet.publish(&config(1, CURRENT_SIZES));
    fleet.run_until(MINUTE, |fleet| fleet.all_have(1)).expect("a first version");
    fleet.run(Duration::from_millis(rng.random_range(20_000..25_000)));
    fleet
        .run_until(MINUTE, |fleet| fleet.pending_watches() == WATCHERS)
        .expect("all watchers wait");
    fleet
}

/// Cuts off all watchers and most other VMs from the platform.
fn cut_watchers(fleet: &mut Fleet, is_silent: bool, rng: &mut Pcg64Mcg) {
    let mut others: Vec<usize> = Vec::new();
    for (index, node) in fleet.nodes.iter_mut().enumerate() {
        node.is_cut_from_platform = true;
        node.drops_platform_calls = is_silent;
        if !node.is_watching() {
            others.push(index);
        }
    }
    for _ in 0..REACH_PLATFORM {
        let index = others.swap_remove(rng.random_range(0..others.len()));
        fleet.nodes[index].is_cut_from_platform = false;
    }
}

#[test]
fn a_change_is_active_in_time_though_no_watcher_reaches_the_platform() {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = settled_fleet(seed, &mut rng);
        cut_watchers(&mut fleet, seed % 2 == 0, &mut rng);
        fleet.run(Duration::from_millis(rng.random_range(0..3_000)));
        fleet.publish(&config(2, CURRENT_SIZES));
        let activation_time = fleet.run_until(MAX_ACTIVATION_TIME, |fleet| fleet.all_have(2));
        assert!(
            activation_time.is_some(),
            "seed {seed}: not active on all VMs after {MAX_ACTIVATION_TIME:?}"
        );
    }
}

#[test]
fn a_change_is_active_in_time_though_all_vms_that_announced_it_lose_power() {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = settled_fleet(seed, &mut rng);
        fleet.publish(&config(2, CURRENT_SIZES));
        let read = |fleet: &Fleet| fleet.nodes.iter().any(|node| node.sync.version() == Some(2));
        let took = fleet.run_until(MAX_ACTIVATION_TIME, read).expect("the watchers read it");
        for node in fleet.nodes.iter_mut().filter(|node| node.sync.version() == Some(2)) {
            (node.paused, node.is_assumed_alive) = (true, true);
        }
        let is_active = |fleet: &Fleet| {
            fleet.nodes.iter().all(|node| node.paused || node.sync.version() == Some(2))
        };
        let activation_time = fleet.run_until(MAX_ACTIVATION_TIME - took, is_active);
        assert!(
            activation_time.is_some(),
            "seed {seed}: not active on all VMs after {MAX_ACTIVATION_TIME:?}"
        );
    }
}

fn watching(fleet: &Fleet) -> BTreeSet<usize> {
    (0..fleet.nodes.len()).filter(|index| fleet.nodes[*index].is_watching()).collect()
}

/// Returns all VMs that watched at any moment within `time`.
fn watching_within(fleet: &mut Fleet, time: Duration) -> BTreeSet<usize> {
    let end = fleet.now + time;
    let mut all = BTreeSet::new();
    while fleet.now < end {
        fleet.step();
        all.extend(watching(fleet));
    }
    all
}

#[test]
fn standbys_dont_read_while_the_watchers_get_responses() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = settled_fleet(1, &mut rng);
    let watchers = watching(&fleet);
    for version in 2..12 {
        fleet.publish(&config(version, CURRENT_SIZES));
        assert_eq!(watching_within(&mut fleet, MINUTE / 12), watchers);
    }
}

#[test]
fn standbys_stop_reading_when_the_watchers_get_responses_again() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut fleet = settled_fleet(2, &mut rng);
    let watchers = watching(&fleet);
    cut_watchers(&mut fleet, true, &mut rng);
    let standbys = watching_within(&mut fleet, MINUTE / 6);
    assert!(standbys.difference(&watchers).count() >= REACH_PLATFORM, "{standbys:?}");
    fleet.nodes.iter_mut().for_each(|node| node.is_cut_from_platform = false);
    fleet.run(MINUTE / 12);
    assert_eq!(watching_within(&mut fleet, MINUTE), watchers);
}

#[test]
fn standbys_back_off_while_the_platform_is_down() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let settings = deployed_settings();
    let mut fleet = settled_fleet(3, &mut rng);
    fleet.platform.down = true;
    let calls = fleet.platform.calls;
    fleet.run(MINUTE);
    let per_second = (fleet.platform.calls - calls) as f64 / MINUTE.as_secs_f64();
    assert!(per_second < settings.follower_reads_per_second, "{per_second}");
}
