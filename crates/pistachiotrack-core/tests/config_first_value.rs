//! The platform's first value at a VM without a configuration.

mod config_support;

use std::time::Duration;

use config_support::{CURRENT_SIZES, DEPLOYMENT, config, json, vm};
use pistachiotrack_core::{
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings},
    membership::{Member, MemberState},
    name::Name,
    time::Time,
};

const NOW: Time = Time::from_millis(60_000);

fn new_node(listed_vms: usize) -> ConfigSync {
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
        last_platform_response: None,
        is_cut_off: false,
    }
}

fn activated_version(actions: &[ConfigAction]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        ConfigAction::Activate(config) => Some(config.version),
        _ => None,
    })
}

fn pulls(actions: &[ConfigAction]) -> bool {
    actions.iter().any(|action| matches!(action, ConfigAction::Pull { .. }))
}

/// The platform is restored from a backup with version 4 while the fleet has version 5.
/// It responds to a new VM within a millisecond, the first peer only within a probe
/// interval. The VM must not route requests by rules that the fleet has replaced.
#[test]
fn a_stale_first_value_is_never_activated() {
    let mut holder = new_node(1);
    assert_eq!(
        activated_version(&holder.on_platform_value(NOW, Some(&json(&config(5, CURRENT_SIZES))))),
        Some(5)
    );
    let mut node = new_node(48);
    assert_eq!(node.on_platform_value(NOW, Some(&json(&config(4, CURRENT_SIZES)))), []);
    let members = [peer(Some(5))];
    let actions = node.on_tick(NOW + Duration::from_millis(300), members.iter());
    assert!(actions.contains(&ConfigAction::Stale { offered: 4 }), "{actions:?}");
    assert_eq!(node.version(), None);
    let pull = actions.iter().find_map(|action| match action {
        ConfigAction::Pull { request, .. } => Some(request),
        _ => None,
    });
    let response = holder.handle_pull(NOW, pull.expect("a pull")).unwrap();
    let later = NOW + Duration::from_millis(310);
    let actions = node.on_pull_response(later, &vm(1, 3).name, Some(&response));
    assert_eq!(activated_version(&actions), Some(5));
}

#[test]
fn the_first_value_is_activated_once_a_peer_without_a_newer_one_reports() {
    for version in [3, 4] {
        let mut node = new_node(48);
        assert_eq!(node.on_platform_value(NOW, Some(&json(&config(4, CURRENT_SIZES)))), []);
        let actions = node.on_peer_version(NOW, &vm(1, 3), version);
        assert_eq!(activated_version(&actions), Some(4));
        assert!(!pulls(&actions), "{actions:?}");
    }
}

/// The whole fleet starts at once, and no peer has a version. Waiting for one would keep
/// every VM from serving forever.
#[test]
fn peers_without_a_version_hold_the_first_value_for_the_grace_period_only() {
    let mut node = new_node(48);
    node.on_platform_value(NOW, Some(&json(&config(4, CURRENT_SIZES))));
    let members = [peer(None)];
    let grace = Duration::from_millis(ConfigSyncSettings::default().first_value_grace_ms);
    let early = node.on_tick(NOW + (grace - Duration::from_millis(1)), members.iter());
    assert_eq!(activated_version(&early), None);
    assert_eq!(activated_version(&node.on_tick(NOW + grace, members.iter())), Some(4));
}

/// Further values must not postpone the end of the grace period.
#[test]
fn a_second_value_does_not_extend_the_grace_period() {
    let mut node = new_node(48);
    let grace = Duration::from_millis(ConfigSyncSettings::default().first_value_grace_ms);
    node.on_platform_value(NOW, Some(&json(&config(4, CURRENT_SIZES))));
    node.on_platform_value(NOW + grace / 2, Some(&json(&config(5, CURRENT_SIZES))));
    assert_eq!(activated_version(&node.on_tick(NOW + grace, std::iter::empty())), Some(5));
}

#[test]
fn a_vm_that_is_listed_alone_does_not_wait() {
    let mut node = new_node(1);
    let actions = node.on_platform_value(NOW, Some(&json(&config(4, CURRENT_SIZES))));
    assert_eq!(activated_version(&actions), Some(4));
}
