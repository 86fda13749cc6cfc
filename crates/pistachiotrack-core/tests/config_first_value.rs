//! The platform's first value at a VM that has none yet.

mod config_support;

use std::time::Duration;

use config_support::{DEPLOYMENT, TODAY, config, json, vm};
use pistachiotrack_core::{
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings},
    membership::{Member, MemberState},
    name::Name,
    time::Time,
};

const NOW: Time = Time::from_millis(60_000);

fn newcomer(listed_vms: usize) -> ConfigSync {
    let settings = ConfigSyncSettings::default();
    let mut node = ConfigSync::new(vm(0, 3), Name::from(DEPLOYMENT), settings, 5);
    node.on_listed_vms(listed_vms);
    node
}

fn peer(config_version: Option<u64>) -> Member {
    Member {
        vm: vm(1, 3),
        state: MemberState::Alive,
        since: Time::ZERO,
        config_version,
        platform_answered: None,
    }
}

fn in_force(actions: &[ConfigAction]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        ConfigAction::Activate(config) => Some(config.version),
        _ => None,
    })
}

fn pulls(actions: &[ConfigAction]) -> bool {
    actions.iter().any(|action| matches!(action, ConfigAction::Pull { .. }))
}

/// The platform came back from a backup with version 4 while the fleet is at 5.
/// A new VM hears the platform before any peer; a clerk whose requests come in
/// there would be served by rules that the fleet has left. Cause: the platform
/// answers within a millisecond, the first peer within a probe interval.
#[test]
fn a_stale_platform_heard_before_any_peer_is_never_in_force() {
    let mut holder = newcomer(1);
    assert_eq!(in_force(&holder.on_platform_value(NOW, Some(&json(&config(5, TODAY))))), Some(5));
    let mut node = newcomer(48);
    assert_eq!(node.on_platform_value(NOW, Some(&json(&config(4, TODAY)))), []);
    let members = [peer(Some(5))];
    let actions = node.on_tick(NOW + Duration::from_millis(300), members.iter());
    assert!(actions.contains(&ConfigAction::Stale { offered: 4 }), "{actions:?}");
    assert_eq!(node.version(), None);
    let pull = actions.iter().find_map(|action| match action {
        ConfigAction::Pull { request, .. } => Some(request),
        _ => None,
    });
    let answer = holder.handle_pull(NOW, pull.expect("a pull")).unwrap();
    let later = NOW + Duration::from_millis(310);
    let actions = node.on_pull_response(later, &vm(1, 3).name, Some(&answer));
    assert_eq!(in_force(&actions), Some(5));
}

#[test]
fn a_value_that_no_peer_overtakes_is_in_force_as_soon_as_one_is_heard() {
    for version in [3, 4] {
        let mut node = newcomer(48);
        assert_eq!(node.on_platform_value(NOW, Some(&json(&config(4, TODAY)))), []);
        let actions = node.on_peer_version(NOW, &vm(1, 3), version);
        assert_eq!(in_force(&actions), Some(4));
        assert!(!pulls(&actions), "{actions:?}");
    }
}

/// The whole fleet starts at once: peers are heard, none has a version. Waiting
/// for one would keep every VM from serving for good.
#[test]
fn peers_without_a_version_hold_the_first_value_back_for_the_grace_only() {
    let mut node = newcomer(48);
    node.on_platform_value(NOW, Some(&json(&config(4, TODAY))));
    let members = [peer(None)];
    let grace = Duration::from_millis(ConfigSyncSettings::default().first_value_grace_ms);
    let early = node.on_tick(NOW + (grace - Duration::from_millis(1)), members.iter());
    assert_eq!(in_force(&early), None);
    assert_eq!(in_force(&node.on_tick(NOW + grace, members.iter())), Some(4));
}

/// Values that come one after another must not put the end of the wait off.
#[test]
fn a_second_value_does_not_lengthen_the_wait() {
    let mut node = newcomer(48);
    let grace = Duration::from_millis(ConfigSyncSettings::default().first_value_grace_ms);
    node.on_platform_value(NOW, Some(&json(&config(4, TODAY))));
    node.on_platform_value(NOW + grace / 2, Some(&json(&config(5, TODAY))));
    assert_eq!(in_force(&node.on_tick(NOW + grace, std::iter::empty())), Some(5));
}

#[test]
fn a_vm_that_is_listed_alone_does_not_wait() {
    let mut node = newcomer(1);
    let actions = node.on_platform_value(NOW, Some(&json(&config(4, TODAY))));
    assert_eq!(in_force(&actions), Some(4));
}
