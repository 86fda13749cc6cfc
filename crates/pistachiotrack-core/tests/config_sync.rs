//! The spread of the configuration, failure by failure.

mod config_support;

use std::{collections::BTreeSet, time::Duration};

use config_support::{DEPLOYMENT, Sizes, TODAY, config, fleet::Fleet, json, vm};
use pistachiotrack_core::{
    config::{Config, ConfigError},
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings},
    membership::{Member, MemberState},
    name::Name,
    time::Time,
};

const NOW: Time = Time::from_millis(60_000);
const MINUTE: Duration = Duration::from_secs(60);
/// Time over which 48 VMs spread their first reads, with a little for the ticks.
const FIRST_READS: Duration = Duration::from_millis(4_850);

fn cold_node(index: u32) -> ConfigSync {
    ConfigSync::new(vm(index, 3), Name::from(DEPLOYMENT), ConfigSyncSettings::default(), 5)
}

/// Returns a VM whose list shows nobody else, so that it takes the platform's
/// first value at once.
fn node(index: u32) -> ConfigSync {
    let mut node = cold_node(index);
    node.on_listed_vms(1);
    node
}

fn node_with(index: u32, version: u64) -> ConfigSync {
    let mut node = node(index);
    in_force(&node.on_platform_value(NOW, Some(&json(&config(version, TODAY)))));
    node
}

fn in_force(actions: &[ConfigAction]) -> u64 {
    let [ConfigAction::Activate(config), ..] = actions else { panic!("{actions:?}") };
    config.version
}

fn rejection(actions: &[ConfigAction]) -> &ConfigError {
    let [ConfigAction::Rejected(error), ..] = actions else { panic!("{actions:?}") };
    error
}

fn question(actions: &[ConfigAction]) -> (&Name, &[u8]) {
    let [.., ConfigAction::Pull { vm, request }] = actions else { panic!("{actions:?}") };
    (&vm.name, request)
}

fn member(index: u32, state: MemberState, config_version: Option<u64>) -> Member {
    Member { vm: vm(index, 3), state, since: Time::ZERO, config_version, platform_answered: None }
}

fn alive(vms: u32) -> Vec<Member> {
    (0..vms).map(|index| member(index, MemberState::Alive, None)).collect()
}

fn watches(actions: &[ConfigAction]) -> bool {
    actions.iter().any(|action| matches!(action, ConfigAction::Watch { .. }))
}

/// Returns whether the platform is called, waiting or not.
fn calls(actions: &[ConfigAction]) -> bool {
    watches(actions) || actions.iter().any(|action| matches!(action, ConfigAction::Read { .. }))
}

/// Returns whether the VM watches within `time`, ticking every 50 ms.
fn watches_within(node: &mut ConfigSync, members: &[Member], time: Duration) -> bool {
    let steps = time.as_millis() as u64 / 50;
    (0..steps).any(|step| watches(&node.on_tick(Time::from_millis(step * 50), members.iter())))
}

#[test]
fn each_data_centre_has_two_watchers_and_the_choice_moves() {
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
fn a_vm_that_knows_nobody_alive_watches_itself() {
    let dead: Vec<Member> = (1..48).map(|it| member(it, MemberState::Dead, Some(4))).collect();
    assert!(watches_within(&mut node(0), &dead, FIRST_READS));
}

/// Returns the settings of a deployment that has the platform for itself.
fn alone() -> ConfigSyncSettings {
    ConfigSyncSettings { first_reads_per_second: 1_000.0, ..ConfigSyncSettings::default() }
}

/// After a power cut all 5,800 VMs of the fleet start at the same moment and
/// nobody knows a peer yet. Each takes itself for a watcher; the platform takes
/// 2,000 reads a second and would refuse the rest. Cause: no member is heard.
#[test]
fn a_cold_start_of_the_whole_fleet_stays_within_the_platforms_rate() {
    let mut reads_by_second = [0_u32; 10];
    for seed in 0..5_800 {
        let mut node = ConfigSync::new(vm(1, 17), Name::from(DEPLOYMENT), alone(), seed);
        node.on_listed_vms(5_800);
        let first = (0..200)
            .find(|step| watches(&node.on_tick(Time::from_millis(step * 50), std::iter::empty())));
        reads_by_second[first.expect("a read within ten seconds") as usize / 20] += 1;
    }
    assert!(reads_by_second.iter().all(|reads| *reads < 1_200), "{reads_by_second:?}");
}

/// As above, but the platform is away as well and every read fails. The retries
/// of VMs that know nobody, and of those that know peers without a version,
/// must stay within the rate too, or the platform never gets up again.
#[test]
fn retries_of_a_cold_fleet_stay_within_the_platforms_rate() {
    for members in [Vec::new(), alive(48)] {
        let mut reads_by_second = [0_u32; 25];
        for seed in 0..5_800 {
            let mut node = ConfigSync::new(vm(1, 3), Name::from(DEPLOYMENT), alone(), seed);
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

/// The platform answers nothing for hours. Callers are served on; what counts
/// is that all VMs together call no more than before, and that nothing changes.
#[test]
fn hours_without_the_platform_change_nothing() {
    let mut fleet = Fleet::new(48, 3, ConfigSyncSettings::default(), 1);
    fleet.publish(&config(1, TODAY));
    fleet.run_until(MINUTE, |fleet| fleet.all_hold(1)).expect("a first version");
    fleet.platform.down = true;
    let calls = fleet.platform.calls;
    fleet.step_time = Duration::from_millis(500);
    fleet.run(60 * MINUTE);
    assert!(fleet.all_hold(1));
    assert!(fleet.nodes.iter().all(|node| node.accepted.len() == 1));
    assert!(fleet.nodes.iter().all(|node| node.sync.last_error().is_none()));
    let silent =
        fleet.nodes.iter().filter_map(|node| node.sync.time_since_platform_response(fleet.now));
    assert!(silent.max().unwrap() >= 59 * MINUTE);
    let per_second = (fleet.platform.calls - calls) as f64 / 3_600.0;
    assert!(per_second < 6.0 / 2.0 + 48.0 / 60.0, "{per_second}");
    fleet.step_time = Duration::from_millis(50);
    fleet.platform.down = false;
    fleet.publish(&config(2, TODAY));
    let time = fleet.run_until(MINUTE, |fleet| fleet.all_hold(2)).expect("the change");
    assert!(time <= Duration::from_secs(10), "{time:?}");
}

/// The service comes back from a backup and shows version 4 while version 5 is
/// in force. A clerk would be routed by rules that were withdrawn.
#[test]
fn a_stale_platform_never_brings_back_an_older_version() {
    let mut node = node_with(0, 5);
    let actions = node.on_platform_value(NOW, Some(&json(&config(4, TODAY))));
    assert_eq!(actions, [ConfigAction::Stale { offered: 4 }]);
    assert_eq!(node.version(), Some(5));
    assert_eq!(node.last_error(), None);
    assert!(!watches(&node.on_tick(NOW, std::iter::empty())), "read again without a wait");
}

/// A new VM starts while the platform shows version 4, which the fleet has
/// left. It must not serve by it, and takes version 5 from a peer.
#[test]
fn a_new_vm_prefers_its_peers_to_a_stale_platform() {
    let mut holder = node_with(1, 5);
    let mut newcomer = node(0);
    let asked = newcomer.on_peer_version(NOW, &vm(1, 3), 5);
    let actions = newcomer.on_platform_value(NOW, Some(&json(&config(4, TODAY))));
    assert_eq!(actions, [ConfigAction::Stale { offered: 4 }]);
    assert_eq!(newcomer.version(), None);
    let (peer, request) = question(&asked);
    let answer = holder.handle_pull(NOW, request).unwrap();
    assert_eq!(in_force(&newcomer.on_pull_response(NOW, peer, Some(&answer))), 5);
}

/// An operator publishes a value with a fault. The old one must stay in force,
/// the fault must be told once, and the same megabyte must not be read in a
/// loop; the corrected value then takes over at once.
#[test]
fn a_bad_value_leaves_the_old_one_in_force() {
    let mut node = node_with(0, 5);
    let mut bad = config(6, TODAY);
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
    assert_eq!(in_force(&node.on_platform_value(later, Some(&json(&config(7, TODAY))))), 7);
    assert_eq!(node.last_error(), None);
}

/// The bad value was published under a far too large version. The corrected
/// one has a smaller version, and still has to come through.
#[test]
fn a_bad_value_with_an_absurd_version_doesnt_block_the_next() {
    let mut fleet = Fleet::new(6, 3, ConfigSyncSettings::default(), 9);
    fleet.publish(&config(1, TODAY));
    fleet.run_until(MINUTE, |fleet| fleet.all_hold(1)).expect("a first version");
    let mut bad = config(u64::MAX, TODAY);
    bad.services[0].timeout_ms = 0;
    fleet.publish(&bad);
    fleet.run(MINUTE);
    assert!(fleet.all_hold(1));
    fleet.publish(&config(2, TODAY));
    fleet.run_until(2 * MINUTE, |fleet| fleet.all_hold(2)).expect("the correction");
}

/// A bad value is published for ten minutes. Watchers must neither spread it
/// nor read it over and over.
#[test]
fn a_bad_value_is_neither_spread_nor_read_in_a_loop() {
    let mut fleet = Fleet::new(12, 3, ConfigSyncSettings::default(), 2);
    fleet.publish(&config(1, TODAY));
    fleet.run_until(MINUTE, |fleet| fleet.all_hold(1)).expect("a first version");
    let (calls, pulls) = (fleet.platform.calls, pulls(&fleet));
    fleet.platform.value = Some((2, b"{\"version\": 2}".to_vec()));
    fleet.run(10 * MINUTE);
    assert!(fleet.all_hold(1));
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
    let mut other = config(6, TODAY);
    other.deployment = Name::from("rozpis");
    let actions = node.on_platform_value(NOW, Some(&json(&other)));
    assert_eq!(rejection(&actions).field, "deployment");
    assert!(rejection(&actions).problem.contains("rozpis"));
    assert_eq!(node.version(), Some(5));
}

/// Version 5 is published a second time with other content. VMs that took the
/// first can't tell which was meant; the one in force stays and it is said once.
#[test]
fn the_same_version_with_other_content_is_rejected_once() {
    let mut node = node_with(0, 5);
    let mut other = config(5, TODAY);
    other.entry_lifetime_ms += 1;
    let actions = node.on_platform_value(NOW, Some(&json(&other)));
    assert_eq!(rejection(&actions).field, "version");
    assert_eq!(node.on_platform_value(NOW, Some(&json(&other))), []);
    assert_eq!(**node.config().unwrap(), config(5, TODAY));
    assert_eq!(node.on_platform_value(NOW, Some(&json(&config(5, TODAY)))), []);
}

/// A peer that runs an older release accepted a value which this VM's check
/// refuses. It must not come into force by way of the peer.
#[test]
fn a_peers_value_is_checked_like_the_platforms() {
    let mut bad = config(6, TODAY);
    bad.services[0].sensitivity = 7.0;
    let answer = whole_answer(&bad);
    let mut node = node_with(0, 5);
    let asked = node.on_peer_version(NOW, &vm(1, 3), 6);
    let (peer, _) = question(&asked);
    let actions = node.on_pull_response(NOW, peer, Some(&answer));
    assert_eq!(rejection(&actions).field, "services[0].sensitivity");
    assert_eq!(actions.len(), 1, "the same version is asked for again at once");
    assert_eq!(node.version(), Some(5));
    assert_eq!(node.on_peer_version(NOW, &vm(2, 3), 6), []);
    question(&node.on_peer_version(NOW, &vm(3, 3), 7));
}

/// Numbers of the kinds of answer and of packing on the wire.
const WHOLE: u8 = 2;
const PLAIN: u8 = 0;

/// Encodes a peer's answer with the whole of a value that no sound VM holds.
fn whole_answer(config: &Config) -> Vec<u8> {
    let hash = pistachiotrack_core::config::ContentSummary::of(config).unwrap().hash;
    let encoded = postcard::to_stdvec(config).unwrap();
    postcard::to_stdvec(&(WHOLE, hash, PLAIN, encoded)).unwrap()
}

#[test]
fn a_peer_a_few_versions_behind_gets_deltas_and_one_far_behind_the_whole() {
    let mut holder = node_with(1, 1);
    let mut near = node_with(0, 1);
    for version in 2..=5 {
        holder.on_platform_value(NOW, Some(&json(&config(version, TODAY))));
    }
    let asked = near.on_peer_version(NOW, &vm(1, 3), 5);
    let (peer, request) = question(&asked);
    let small = holder.handle_pull(NOW, request).unwrap();
    assert_eq!(in_force(&near.on_pull_response(NOW, peer, Some(&small))), 5);

    for version in 6..=60 {
        holder.on_platform_value(NOW, Some(&json(&config(version, TODAY))));
    }
    let asked = near.on_peer_version(NOW, &vm(1, 3), 60);
    let (peer, request) = question(&asked);
    let large = holder.handle_pull(NOW, request).unwrap();
    assert_eq!(in_force(&near.on_pull_response(NOW, peer, Some(&large))), 60);
    assert!(small.len() * 3 < large.len(), "{} {}", small.len(), large.len());
    assert_eq!(near.content_hash(), holder.content_hash());
}

/// Two VMs hold version 5 with different content, and only one gets version 6
/// from the platform. Its delta doesn't fit the other's base, so the other
/// falls back to the whole value.
#[test]
fn a_delta_that_doesnt_fit_is_replaced_by_the_whole_value() {
    let mut holder = node_with(1, 5);
    holder.on_platform_value(NOW, Some(&json(&config(6, TODAY))));
    let mut node = node(0);
    let mut other = config(5, TODAY);
    other.entry_lifetime_ms += 1;
    node.on_platform_value(NOW, Some(&json(&other)));
    let asked = node.on_peer_version(NOW, &vm(1, 3), 6);
    let (peer, request) = question(&asked);
    let answer = holder.handle_pull(NOW, request).unwrap();
    assert_eq!(in_force(&node.on_pull_response(NOW, peer, Some(&answer))), 6);
}

/// The connection damages a delta. The result must not come into force; the
/// whole value is asked for next.
#[test]
fn a_damaged_delta_leads_to_the_whole_value() {
    let mut holder = node_with(1, 5);
    holder.on_platform_value(NOW, Some(&json(&config(6, TODAY))));
    let mut node = node_with(0, 5);
    let asked = node.on_peer_version(NOW, &vm(1, 3), 6);
    let (peer, request) = question(&asked);
    let mut answer = holder.handle_pull(NOW, request).unwrap();
    let last = answer.len() - 1;
    answer[last] ^= 1;
    let actions = node.on_pull_response(NOW, peer, Some(&answer));
    let actions = if actions.is_empty() { after_pause(&mut node) } else { actions };
    let (peer, request) = question(&actions);
    let whole = holder.handle_pull(NOW, request).unwrap();
    assert!(whole.len() > answer.len());
    assert_eq!(in_force(&node.on_pull_response(NOW, peer, Some(&whole))), 6);
}

fn after_pause(node: &mut ConfigSync) -> Vec<ConfigAction> {
    let actions = node.on_tick(NOW + Duration::from_secs(2), std::iter::empty());
    actions.into_iter().filter(|action| !matches!(action, ConfigAction::Watch { .. })).collect()
}

/// The peer asked first was paused and never answers. After the timeout the
/// next one is asked, and the late answer does no harm.
#[test]
fn a_silent_peer_is_replaced_by_the_next() {
    let mut holder = node_with(1, 6);
    let mut node = node_with(0, 5);
    let first = node.on_peer_version(NOW, &vm(1, 3), 6);
    assert_eq!(question(&first).0, &vm(1, 3).name);
    assert_eq!(node.on_peer_version(NOW, &vm(2, 3), 6), [], "two pulls at once");
    let waiting = node.on_tick(NOW + Duration::from_millis(499), std::iter::empty());
    assert!(!waiting.iter().any(|action| matches!(action, ConfigAction::Pull { .. })));
    let later = NOW + Duration::from_millis(500);
    let second = node.on_tick(later, std::iter::empty());
    let pull = second.iter().find(|action| matches!(action, ConfigAction::Pull { .. }));
    let (peer, request) = question(std::slice::from_ref(pull.unwrap()));
    assert_eq!(peer, &vm(2, 3).name);
    let answer = holder.handle_pull(NOW, request).unwrap();
    assert_eq!(in_force(&node.on_pull_response(later, &vm(1, 3).name, Some(&answer))), 6);
    assert_eq!(node.on_pull_response(later, &vm(2, 3).name, Some(&answer)), []);
}

#[test]
fn a_version_that_peers_hold_and_this_vm_lacks_is_told() {
    let mut node = node_with(0, 5);
    assert_eq!(node.version_lag(), None);
    node.on_peer_version(NOW, &vm(1, 3), 6);
    node.on_peer_version(NOW + Duration::from_secs(1), &vm(2, 3), 7);
    let behind = node.version_lag().unwrap();
    assert_eq!((behind.version, behind.since, behind.holder_count), (6, NOW, 2));
    assert_eq!(behind.pulling_from, Some(vm(1, 3).name));
    node.on_platform_value(NOW, Some(&json(&config(7, TODAY))));
    assert_eq!(node.version_lag(), None);
}

/// A watch's connection goes silent and its end is never reported. Changes
/// would stop arriving; the watch is given up after its time and some grace.
#[test]
fn a_lost_watch_is_begun_again() {
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

/// All watchers of the only data centre lose their way to the platform while
/// the other VMs could read it. The change must still arrive, if later.
#[test]
fn followers_read_when_every_watcher_is_cut_off() {
    let mut fleet = Fleet::new(12, 1, ConfigSyncSettings::default(), 3);
    fleet.publish(&config(1, TODAY));
    fleet.run_until(MINUTE, |fleet| fleet.all_hold(1)).expect("a first version");
    fleet.run(MINUTE);
    for node in &mut fleet.nodes {
        let silent = node.sync.time_since_platform_response(fleet.now);
        node.cut_from_platform = silent.is_some_and(|silent| silent < MINUTE / 2);
    }
    assert!(fleet.nodes.iter().filter(|node| node.cut_from_platform).count() >= 2);
    fleet.publish(&config(2, TODAY));
    fleet.run_until(3 * MINUTE, |fleet| fleet.all_hold(2)).expect("the change");
}

/// With the platform away, new VMs get the newest version from their peers.
#[test]
fn a_replaced_fleet_lives_on_its_peers() {
    let mut fleet = Fleet::new(9, 3, ConfigSyncSettings::default(), 4);
    fleet.publish(&config(8, TODAY));
    fleet.run_until(MINUTE, |fleet| fleet.all_hold(8)).expect("a first version");
    fleet.platform.down = true;
    for index in 0..8 {
        fleet.restart(index);
        fleet.run_until(MINUTE, |fleet| fleet.all_hold(8)).expect("the newest version");
    }
}

/// The calls of the whole fleet grow with its data centres, not with its VMs.
#[test]
fn the_platforms_load_doesnt_grow_with_the_vms() {
    let calls_per_minute = |vms: u32| {
        let sizes = Sizes { rules: 1, ..TODAY };
        let mut fleet = Fleet::new(vms, 3, ConfigSyncSettings::default(), 6);
        fleet.publish(&config(1, sizes));
        fleet.run_until(MINUTE, |fleet| fleet.all_hold(1)).expect("a first version");
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
fn questions_and_answers_that_are_noise_do_no_harm() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut node = node_with(0, 5);
        let _ = node.handle_pull(NOW, &bytes);
        node.on_peer_version(NOW, &vm(1, 3), 6);
        node.on_pull_response(NOW, &vm(1, 3).name, Some(&bytes));
        node.on_platform_value(NOW, Some(&bytes));
        **node.config().unwrap() == config(5, TODAY)
    }
    let rng = quickcheck::Gen::from_size_and_seed(300, 13);
    quickcheck::QuickCheck::new().rng(rng).tests(500).quickcheck(property as fn(Vec<u8>) -> bool);
}
