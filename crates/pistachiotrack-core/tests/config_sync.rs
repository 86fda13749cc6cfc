//! Configuration distribution under single failures.

mod config_support;

use std::{collections::BTreeSet, time::Duration};

use config_support::{CURRENT_SIZES, DEPLOYMENT, Sizes, config, fleet::Fleet, json, vm};
use pistachiotrack_core::{
    config::{Config, ConfigError},
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings},
    membership::{Member, MemberState},
    name::Name,
    time::Time,
};

const NOW: Time = Time::from_millis(60_000);
const MINUTE: Duration = Duration::from_secs(60);
/// Time over which 48 VMs spread their first reads, with a margin for the ticks.
const FIRST_READS: Duration = Duration::from_millis(4_850);

fn unconfigured_node(index: u32) -> ConfigSync {
    ConfigSync::new(vm(index, 3), Name::from(DEPLOYMENT), ConfigSyncSettings::default(), 5)
}

/// Returns a VM that is listed alone, so that it activates the platform's first
/// value immediately.
fn node(index: u32) -> ConfigSync {
    let mut node = unconfigured_node(index);
    node.on_listed_vms(1);
    node
}

fn node_with(index: u32, version: u64) -> ConfigSync {
    let mut node = node(index);
    activated_version(&node.on_platform_value(NOW, Some(&json(&config(version, CURRENT_SIZES)))));
    node
}

fn activated_version(actions: &[ConfigAction]) -> u64 {
    let [ConfigAction::Activate(config), ..] = actions else { panic!("{actions:?}") };
    config.version
}

fn rejection(actions: &[ConfigAction]) -> &ConfigError {
    let [ConfigAction::Rejected(error), ..] = actions else { panic!("{actions:?}") };
    error
}

fn pull_request(actions: &[ConfigAction]) -> (&Name, &[u8]) {
    let [.., ConfigAction::Pull { vm, request }] = actions else { panic!("{actions:?}") };
    (&vm.name, request)
}

fn member(index: u32, state: MemberState, config_version: Option<u64>) -> Member {
    Member {
        vm: vm(index, 3),
        state,
        since: Time::ZERO,
        config_version,
        last_platform_response: None,
        is_cut_off: false,
    }
}

fn alive(vms: u32) -> Vec<Member> {
    (0..vms).map(|index| member(index, MemberState::Alive, None)).collect()
}

fn watches(actions: &[ConfigAction]) -> bool {
    actions.iter().any(|action| matches!(action, ConfigAction::Watch { .. }))
}

/// Returns whether the platform is called, with a watch or a read.
fn calls(actions: &[ConfigAction]) -> bool {
    watches(actions) || actions.iter().any(|action| matches!(action, ConfigAction::Read { .. }))
}

/// Returns whether the VM watches within `time`, with a tick every 50 ms.
fn watches_within(node: &mut ConfigSync, members: &[Member], time: Duration) -> bool {
    let steps = time.as_millis() as u64 / 50;
    (0..steps).any(|step| watches(&node.on_tick(Time::from_millis(step * 50), members.iter())))
}

#[test]
fn each_data_centre_has_two_watchers_and_a_dead_one_is_replaced() {
    let watchers = |members: &[Member]| -> BTreeSet<u32> {
        let chosen = |index: &u32| watches_within(&mut node(*index), members, FIRST_READS);
        (0..48).filter(chosen).collect()
    };
    let mut members = alive(48);
    let before = watchers(&members);
    for data_centre in 0..3 {
        assert_eq!(before.iter().filter(|index| *index % 3 == data_centre).count(), 2);
    }
    let gone = *before.first().unwrap();
    members[gone as usize].state = MemberState::Dead;
    let after = watchers(&members);
    let kept = before.iter().filter(|index| **index != gone && after.contains(index)).count();
    let same_data_centre = after.iter().filter(|it| *it % 3 == gone % 3 && **it != gone).count();
    assert_eq!((kept, same_data_centre), (5, 2));
}

#[test]
fn a_vm_without_live_peers_watches_the_platform() {
    let dead: Vec<Member> = (1..48).map(|it| member(it, MemberState::Dead, Some(4))).collect();
    assert!(watches_within(&mut node(0), &dead, FIRST_READS));
}

/// Returns the settings of a deployment that doesn't share the platform.
fn unshared_platform_settings() -> ConfigSyncSettings {
    ConfigSyncSettings { first_reads_per_second: 1_000.0, ..ConfigSyncSettings::default() }
}

/// After a power cut all 5,800 VMs of the fleet start at the same moment. None has
/// discovered a peer yet, so each acts as a watcher. The platform accepts 2,000 reads
/// per second and would refuse the rest.
#[test]
fn a_cold_start_of_the_whole_fleet_stays_within_the_platforms_rate() {
    let mut reads_by_second = [0_u32; 10];
    for seed in 0..5_800 {
        let mut node =
            ConfigSync::new(vm(1, 17), Name::from(DEPLOYMENT), unshared_platform_settings(), seed);
        node.on_listed_vms(5_800);
        let first = (0..200)
            .find(|step| watches(&node.on_tick(Time::from_millis(step * 50), std::iter::empty())));
        reads_by_second[first.expect("a read within ten seconds") as usize / 20] += 1;
    }
    assert!(reads_by_second.iter().all(|reads| *reads < 1_200), "{reads_by_second:?}");
}

/// As above, but the platform is down as well and every read fails. The retries of VMs
/// without peers, and of VMs whose peers have no version, must stay within the rate
/// too, or the platform never recovers.
#[test]
fn retries_of_a_cold_fleet_stay_within_the_platforms_rate() {
    for members in [Vec::new(), alive(48)] {
        let mut reads_by_second = [0_u32; 25];
        for seed in 0..5_800 {
            let mut node = ConfigSync::new(
                vm(1, 3),
                Name::from(DEPLOYMENT),
                unshared_platform_settings(),
                seed,
            );
            node.on_listed_vms(5_800);
            for step in 0..250 {
                let now = Time::from_millis(step * 100);
                if calls(&node.on_tick(now, members.iter())) {
                    reads_by_second[step as usize / 10] += 1;
                    node.on_platform_error(now);
                }
            }
        }
        assert!(reads_by_second.iter().all(|reads| *reads < 1_500), "{reads_by_second:?}");
        assert!(reads_by_second.iter().sum::<u32>() >= 5_800, "{reads_by_second:?}");
    }
}

/// Guards against changes that reach a watcher late because its watch was cut: the next call starts at
/// once, and calls that fail at once are delayed as before.
#[test]
fn a_watch_that_was_cut_is_repeated_at_once() {
    for seed in 0..20 {
        let settings = ConfigSyncSettings::default();
        let min_backoff = Duration::from_millis(settings.min_backoff_ms) / 2;
        let mut node = ConfigSync::new(vm(1, 3), Name::from(DEPLOYMENT), settings, seed);
        let members = [member(2, MemberState::Alive, None)];
        let start = Time::from_millis(60_000);
        // The first call is spread over some time after the start.
        node.on_tick(Time::ZERO, members.iter());
        node.on_platform_value(Time::ZERO, None);
        assert!(calls(&node.on_tick(start, members.iter())), "seed {seed}");
        let cut = start + Duration::from_millis(900);
        node.on_platform_error(cut);
        assert!(calls(&node.on_tick(cut, members.iter())), "seed {seed}");
        node.on_platform_error(cut);
        let early = cut + min_backoff.mul_f64(0.9);
        assert!(!calls(&node.on_tick(early, members.iter())), "seed {seed}");
    }
}

/// The platform is down for an hour. VMs must keep their configuration, and all of them
/// together must not call more often than before.
#[test]
fn an_hour_without_the_platform_changes_nothing() {
    let mut fleet = Fleet::new(48, 3, ConfigSyncSettings::default(), 1);
    fleet.publish(&config(1, CURRENT_SIZES));
    fleet.run_until(MINUTE, |fleet| fleet.all_have(1)).expect("a first version");
    fleet.platform.down = true;
    let calls = fleet.platform.calls;
    fleet.step_time = Duration::from_millis(500);
    fleet.run(60 * MINUTE);
    assert!(fleet.all_have(1));
    assert!(fleet.nodes.iter().all(|node| node.accepted.len() == 1));
    assert!(fleet.nodes.iter().all(|node| node.sync.last_error().is_none()));
    let silent =
        fleet.nodes.iter().filter_map(|node| node.sync.time_since_platform_response(fleet.now));
    assert!(silent.max().unwrap() >= 59 * MINUTE);
    let per_second = (fleet.platform.calls - calls) as f64 / 3_600.0;
    assert!(per_second < 6.0 / 2.0 + 48.0 / 60.0, "{per_second}");
    fleet.step_time = Duration::from_millis(50);
    fleet.platform.down = false;
    fleet.publish(&config(2, CURRENT_SIZES));
    let time = fleet.run_until(MINUTE, |fleet| fleet.all_have(2)).expect("the change");
    assert!(time <= Duration::from_secs(10), "{time:?}");
}

/// The platform is restored from a backup and has version 4 while version 5 is active.
/// Activating it would route requests by rules that were withdrawn.
#[test]
fn a_stale_platform_never_restores_an_older_version() {
    let mut node = node_with(0, 5);
    let actions = node.on_platform_value(NOW, Some(&json(&config(4, CURRENT_SIZES))));
    assert_eq!(actions, [ConfigAction::Stale { offered: 4 }]);
    assert_eq!(node.version(), Some(5));
    assert_eq!(node.last_error(), None);
    assert!(!watches(&node.on_tick(NOW, std::iter::empty())), "read again without a delay");
}

/// A new VM starts while the platform has version 4, which the fleet has replaced. It
/// must not activate it, but pull version 5 from a peer.
#[test]
fn a_new_vm_prefers_a_newer_version_of_its_peers() {
    let mut holder = node_with(1, 5);
    let mut new_node = node(0);
    let pull_actions = new_node.on_peer_version(NOW, &vm(1, 3), 5);
    let actions = new_node.on_platform_value(NOW, Some(&json(&config(4, CURRENT_SIZES))));
    assert_eq!(actions, [ConfigAction::Stale { offered: 4 }]);
    assert_eq!(new_node.version(), None);
    let (peer, request) = pull_request(&pull_actions);
    let response = holder.handle_pull(NOW, request).unwrap();
    assert_eq!(activated_version(&new_node.on_pull_response(NOW, peer, Some(&response))), 5);
}

/// An operator publishes an invalid value. The old one must stay active, the error must
/// be reported once, and the same megabyte must not be read in a loop. The corrected
/// value must be activated immediately.
#[test]
fn an_invalid_value_leaves_the_old_one_active() {
    let mut node = node_with(0, 5);
    let mut bad = config(6, CURRENT_SIZES);
    bad.services[0].timeout_ms = 0;
    let actions = node.on_platform_value(NOW, Some(&json(&bad)));
    assert_eq!(rejection(&actions).field, "services[0].timeout_ms");
    assert_eq!(node.version(), Some(5));
    assert_eq!(node.last_error().unwrap().field, "services[0].timeout_ms");
    assert_eq!(node.on_platform_value(NOW, Some(&json(&bad))), []);

    let later = NOW + Duration::from_secs(3);
    assert_eq!(node.on_tick(NOW, std::iter::empty()), []);
    let actions = node.on_tick(later, std::iter::empty());
    assert_eq!(actions, [ConfigAction::Watch { after: Some(6) }]);
    assert_eq!(
        activated_version(&node.on_platform_value(later, Some(&json(&config(7, CURRENT_SIZES))))),
        7
    );
    assert_eq!(node.last_error(), None);
}

/// An invalid value is published with a far too large version. The corrected value has
/// a smaller version and must still be activated.
#[test]
fn an_invalid_value_with_a_huge_version_doesnt_block_the_next() {
    let mut fleet = Fleet::new(6, 3, ConfigSyncSettings::default(), 9);
    fleet.publish(&config(1, CURRENT_SIZES));
    fleet.run_until(MINUTE, |fleet| fleet.all_have(1)).expect("a first version");
    let mut bad = config(u64::MAX, CURRENT_SIZES);
    bad.services[0].timeout_ms = 0;
    fleet.publish(&bad);
    fleet.run(MINUTE);
    assert!(fleet.all_have(1));
    fleet.publish(&config(2, CURRENT_SIZES));
    fleet.run_until(2 * MINUTE, |fleet| fleet.all_have(2)).expect("the correction");
}

/// An invalid value stays published for ten minutes. Watchers must neither distribute it
/// nor read it in a loop.
#[test]
fn an_invalid_value_is_neither_distributed_nor_read_in_a_loop() {
    let mut fleet = Fleet::new(12, 3, ConfigSyncSettings::default(), 2);
    fleet.publish(&config(1, CURRENT_SIZES));
    fleet.run_until(MINUTE, |fleet| fleet.all_have(1)).expect("a first version");
    let (calls, pulls) = (fleet.platform.calls, pulls(&fleet));
    fleet.platform.value = Some((2, b"{\"version\": 2}".to_vec()));
    fleet.run(10 * MINUTE);
    assert!(fleet.all_have(1));
    assert_eq!(pulls, self::pulls(&fleet));
    assert!(fleet.nodes.iter().all(|node| node.rejected <= 1));
    let calls = fleet.platform.calls - calls;
    assert!(calls < 6 * 40 + 12 * 20, "{calls} calls in ten minutes");
}

fn pulls(fleet: &Fleet) -> u64 {
    fleet.nodes.iter().map(|node| node.pulls).sum()
}

#[test]
fn a_value_of_another_deployment_is_rejected() {
    let mut node = node_with(0, 5);
    let mut other = config(6, CURRENT_SIZES);
    other.deployment = Name::from("rozpis");
    let actions = node.on_platform_value(NOW, Some(&json(&other)));
    assert_eq!(rejection(&actions).field, "deployment");
    assert!(rejection(&actions).problem.contains("rozpis"));
    assert_eq!(node.version(), Some(5));
}

/// Version 5 is published a second time with different content. VMs with the first
/// content can't decide which one was meant, so the active one stays and the conflict
/// is reported once.
#[test]
fn a_version_conflict_is_rejected_once() {
    let mut node = node_with(0, 5);
    let mut other = config(5, CURRENT_SIZES);
    other.entry_lifetime_ms += 1;
    let actions = node.on_platform_value(NOW, Some(&json(&other)));
    assert_eq!(rejection(&actions).field, "version");
    assert_eq!(node.on_platform_value(NOW, Some(&json(&other))), []);
    assert_eq!(**node.config().unwrap(), config(5, CURRENT_SIZES));
    assert_eq!(node.on_platform_value(NOW, Some(&json(&config(5, CURRENT_SIZES)))), []);
}

/// A peer with an older release accepted a value that this VM's validation rejects. It
/// must not become active through the peer.
#[test]
fn a_peers_value_is_validated_like_the_platforms() {
    let mut bad = config(6, CURRENT_SIZES);
    bad.services[0].sensitivity = 7.0;
    let response = full_response(&bad);
    let mut node = node_with(0, 5);
    let pull_actions = node.on_peer_version(NOW, &vm(1, 3), 6);
    let (peer, _) = pull_request(&pull_actions);
    let actions = node.on_pull_response(NOW, peer, Some(&response));
    assert_eq!(rejection(&actions).field, "services[0].sensitivity");
    assert_eq!(actions.len(), 1, "the same version is requested again immediately");
    assert_eq!(node.version(), Some(5));
    assert_eq!(node.on_peer_version(NOW, &vm(2, 3), 6), []);
    pull_request(&node.on_peer_version(NOW, &vm(3, 3), 7));
}

/// Discriminants of the response and payload variants on the wire.
const FULL: u8 = 2;
const PLAIN: u8 = 0;

/// Encodes a peer's response with a full configuration that no correct VM holds.
fn full_response(config: &Config) -> Vec<u8> {
    let hash = pistachiotrack_core::config::ContentSummary::of(config).unwrap().hash;
    let encoded = postcard::to_stdvec(config).unwrap();
    postcard::to_stdvec(&(FULL, hash, PLAIN, encoded)).unwrap()
}

#[test]
fn a_peer_gets_deltas_if_slightly_behind_and_the_full_value_if_far_behind() {
    let mut holder = node_with(1, 1);
    let mut near = node_with(0, 1);
    for version in 2..=5 {
        holder.on_platform_value(NOW, Some(&json(&config(version, CURRENT_SIZES))));
    }
    let pull_actions = near.on_peer_version(NOW, &vm(1, 3), 5);
    let (peer, request) = pull_request(&pull_actions);
    let small = holder.handle_pull(NOW, request).unwrap();
    assert_eq!(activated_version(&near.on_pull_response(NOW, peer, Some(&small))), 5);

    for version in 6..=60 {
        holder.on_platform_value(NOW, Some(&json(&config(version, CURRENT_SIZES))));
    }
    let pull_actions = near.on_peer_version(NOW, &vm(1, 3), 60);
    let (peer, request) = pull_request(&pull_actions);
    let large = holder.handle_pull(NOW, request).unwrap();
    assert_eq!(activated_version(&near.on_pull_response(NOW, peer, Some(&large))), 60);
    assert!(small.len() * 3 < large.len(), "{} {}", small.len(), large.len());
    assert_eq!(near.content_hash(), holder.content_hash());
}

/// Two VMs have version 5 with different content, and only one gets version 6 from the
/// platform. Its delta doesn't fit the other's base, so the other one falls back to
/// the full configuration.
#[test]
fn a_delta_for_another_base_falls_back_to_the_full_value() {
    let mut holder = node_with(1, 5);
    holder.on_platform_value(NOW, Some(&json(&config(6, CURRENT_SIZES))));
    let mut node = node(0);
    let mut other = config(5, CURRENT_SIZES);
    other.entry_lifetime_ms += 1;
    node.on_platform_value(NOW, Some(&json(&other)));
    let pull_actions = node.on_peer_version(NOW, &vm(1, 3), 6);
    let (peer, request) = pull_request(&pull_actions);
    let response = holder.handle_pull(NOW, request).unwrap();
    assert_eq!(activated_version(&node.on_pull_response(NOW, peer, Some(&response))), 6);
}

/// A delta is corrupted in transit. The result must not become active, and the full
/// configuration is requested next.
#[test]
fn a_corrupted_delta_falls_back_to_the_full_value() {
    let mut holder = node_with(1, 5);
    holder.on_platform_value(NOW, Some(&json(&config(6, CURRENT_SIZES))));
    let mut node = node_with(0, 5);
    let pull_actions = node.on_peer_version(NOW, &vm(1, 3), 6);
    let (peer, request) = pull_request(&pull_actions);
    let mut response = holder.handle_pull(NOW, request).unwrap();
    let last = response.len() - 1;
    response[last] ^= 1;
    let actions = node.on_pull_response(NOW, peer, Some(&response));
    let actions = if actions.is_empty() { after_pause(&mut node) } else { actions };
    let (peer, request) = pull_request(&actions);
    let full = holder.handle_pull(NOW, request).unwrap();
    assert!(full.len() > response.len());
    assert_eq!(activated_version(&node.on_pull_response(NOW, peer, Some(&full))), 6);
}

fn after_pause(node: &mut ConfigSync) -> Vec<ConfigAction> {
    let actions = node.on_tick(NOW + Duration::from_secs(2), std::iter::empty());
    actions.into_iter().filter(|action| !matches!(action, ConfigAction::Watch { .. })).collect()
}

/// The peer queried first is paused and never responds. After the timeout the next one is
/// queried, and a late response must be harmless.
#[test]
fn an_unresponsive_peer_is_replaced_by_the_next() {
    let mut holder = node_with(1, 6);
    let mut node = node_with(0, 5);
    let first = node.on_peer_version(NOW, &vm(1, 3), 6);
    assert_eq!(pull_request(&first).0, &vm(1, 3).name);
    assert_eq!(node.on_peer_version(NOW, &vm(2, 3), 6), [], "two pulls at once");
    let waiting = node.on_tick(NOW + Duration::from_millis(499), std::iter::empty());
    assert!(!waiting.iter().any(|action| matches!(action, ConfigAction::Pull { .. })));
    let later = NOW + Duration::from_millis(500);
    let second = node.on_tick(later, std::iter::empty());
    let pull = second.iter().find(|action| matches!(action, ConfigAction::Pull { .. }));
    let (peer, request) = pull_request(std::slice::from_ref(pull.unwrap()));
    assert_eq!(peer, &vm(2, 3).name);
    let response = holder.handle_pull(NOW, request).unwrap();
    assert_eq!(
        activated_version(&node.on_pull_response(later, &vm(1, 3).name, Some(&response))),
        6
    );
    assert_eq!(node.on_pull_response(later, &vm(2, 3).name, Some(&response)), []);
}

#[test]
fn reports_a_version_that_only_peers_have() {
    let mut node = node_with(0, 5);
    assert_eq!(node.version_lag(), None);
    node.on_peer_version(NOW, &vm(1, 3), 6);
    node.on_peer_version(NOW + Duration::from_secs(1), &vm(2, 3), 7);
    let behind = node.version_lag().unwrap();
    assert_eq!((behind.version, behind.since, behind.holder_count), (6, NOW, 2));
    assert_eq!(behind.pulling_from, Some(vm(1, 3).name));
    node.on_platform_value(NOW, Some(&json(&config(7, CURRENT_SIZES))));
    assert_eq!(node.version_lag(), None);
}

/// The connection of a watch is dead and its end is never reported. Without a timeout
/// changes would stop arriving.
#[test]
fn a_lost_watch_is_restarted() {
    let mut node = node_with(0, 5);
    assert!(
        watches(&node.on_tick(NOW, std::iter::empty())) || {
            watches(&node.on_tick(NOW + Duration::from_secs(2), std::iter::empty()))
        }
    );
    let soon = NOW + Duration::from_secs(39);
    assert!(!watches(&node.on_tick(soon, std::iter::empty())), "two watches at once");
    let late = NOW + Duration::from_secs(43);
    let later = late + Duration::from_secs(6);
    assert!(
        watches(&node.on_tick(late, std::iter::empty()))
            || watches(&node.on_tick(later, std::iter::empty()))
    );
}

/// All watchers of the only data centre lose the platform while the other VMs could read
/// it. A change must still arrive, though later.
#[test]
fn followers_read_when_every_watcher_is_cut_off() {
    let mut fleet = Fleet::new(12, 1, ConfigSyncSettings::default(), 3);
    fleet.publish(&config(1, CURRENT_SIZES));
    fleet.run_until(MINUTE, |fleet| fleet.all_have(1)).expect("a first version");
    fleet.run(MINUTE);
    for node in &mut fleet.nodes {
        let silent = node.sync.time_since_platform_response(fleet.now);
        node.is_cut_from_platform = silent.is_some_and(|silent| silent < MINUTE / 2);
    }
    assert!(fleet.nodes.iter().filter(|node| node.is_cut_from_platform).count() >= 2);
    fleet.publish(&config(2, CURRENT_SIZES));
    fleet.run_until(3 * MINUTE, |fleet| fleet.all_have(2)).expect("the change");
}

/// While the platform is down, new VMs get the newest version from their peers.
#[test]
fn replaced_vms_get_the_version_from_their_peers() {
    let mut fleet = Fleet::new(9, 3, ConfigSyncSettings::default(), 4);
    fleet.publish(&config(8, CURRENT_SIZES));
    fleet.run_until(MINUTE, |fleet| fleet.all_have(8)).expect("a first version");
    fleet.platform.down = true;
    for index in 0..8 {
        fleet.restart(index);
        fleet.run_until(MINUTE, |fleet| fleet.all_have(8)).expect("the newest version");
    }
}

/// The number of calls by the whole fleet depends on its data centres, not on its VMs.
#[test]
fn the_platforms_load_doesnt_grow_with_the_vms() {
    let calls_per_minute = |vms: u32| {
        let sizes = Sizes { rules: 1, ..CURRENT_SIZES };
        let mut fleet = Fleet::new(vms, 3, ConfigSyncSettings::default(), 6);
        fleet.publish(&config(1, sizes));
        fleet.run_until(MINUTE, |fleet| fleet.all_have(1)).expect("a first version");
        let calls = fleet.platform.calls;
        for version in 2..22 {
            fleet.publish(&config(version, sizes));
            fleet.run(Duration::from_secs(3));
        }
        fleet.platform.calls - calls
    };
    let (small, large) = (calls_per_minute(12), calls_per_minute(60));
    assert!(large <= small + 12, "{small} {large}");
}

#[test]
fn random_messages_dont_change_the_configuration() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut node = node_with(0, 5);
        let _ = node.handle_pull(NOW, &bytes);
        node.on_peer_version(NOW, &vm(1, 3), 6);
        node.on_pull_response(NOW, &vm(1, 3).name, Some(&bytes));
        node.on_platform_value(NOW, Some(&bytes));
        **node.config().unwrap() == config(5, CURRENT_SIZES)
    }
    let rng = quickcheck::Gen::from_size_and_seed(300, 13);
    quickcheck::QuickCheck::new().rng(rng).tests(500).quickcheck(property as fn(Vec<u8>) -> bool);
}
