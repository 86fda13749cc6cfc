//! Distribution of large changes over slow links.

mod config_support;

use std::{collections::BTreeSet, time::Duration};

use config_support::{CURRENT_SIZES, DEPLOYMENT, config, fleet::Fleet, host_rule, json, vm};
use pistachiotrack_core::{
    config::Config,
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings},
    name::Name,
    time::Time,
};

const MINUTE: Duration = Duration::from_secs(60);
/// Bandwidth of a link of 10 Mbit/s.
const SLOW_LINK_BYTES_PER_SECOND: f64 = 1_250_000.0;
/// VMs of a large deployment, and routes that an operator adds to it at once.
const VMS: u32 = 107;
const ROUTES: u32 = 1_456;

fn config_with_routes(version: u64) -> Config {
    let mut config = config(version, CURRENT_SIZES);
    config.rules.extend((0..ROUTES).map(host_rule));
    config
}

/// An operator adds many routes. One VM reads the change and reports it to all others,
/// which all pull from it. Its link of 10 Mbit/s is saturated, and for more than three
/// seconds requests are routed by the old version.
#[test]
fn a_large_change_reaches_all_vms_over_slow_links() {
    let mut fleet = Fleet::new(VMS, 3, ConfigSyncSettings::default(), 8);
    fleet.publish(&config(1, CURRENT_SIZES));
    fleet.run_until(MINUTE, |fleet| fleet.all_have(1)).expect("a first version");
    fleet.run(MINUTE / 2);
    fleet.step_time = Duration::from_millis(10);
    fleet.link_bytes_per_second = Some(SLOW_LINK_BYTES_PER_SECOND);
    let reader = fleet.nodes.iter().position(|node| node.is_watching()).expect("a watcher");
    for (index, node) in fleet.nodes.iter_mut().enumerate() {
        node.is_cut_from_platform = index != reader;
    }
    fleet.publish(&config_with_routes(2));
    fleet.run_until(MINUTE, |fleet| fleet.nodes[reader].sync.version() == Some(2)).unwrap();
    fleet.announce(reader);
    let time = fleet.run_until(MINUTE, |fleet| fleet.all_have(2)).expect("the change");
    assert!(time <= Duration::from_millis(700), "{time:?}");
}

/// A VM has used up its bandwidth. The next pull must not wait behind the previous ones
/// for seconds, but is redirected to VMs that have just been served.
#[test]
fn a_vm_at_its_bandwidth_limit_redirects_to_served_vms() {
    let mut holder = holder(1);
    let (mut served, mut next_peers) = (BTreeSet::new(), BTreeSet::new());
    for index in 2..40 {
        let mut requester = requester(index);
        let response = holder.handle_pull(NOW, &pull_request(&mut requester)).unwrap();
        requester.on_pull_response(NOW, &vm(1, 3).name, Some(&response));
        if requester.version() == Some(2) {
            served.insert(vm(index, 3).name);
            continue;
        }
        let later = NOW + Duration::from_millis(200);
        let actions = requester.on_tick(later, std::iter::empty());
        let next = actions.iter().find_map(|action| match action {
            ConfigAction::Pull { vm, .. } => Some(vm.name.clone()),
            _ => None,
        });
        next_peers.insert(next.expect("another pull soon"));
    }
    assert!((1..8).contains(&served.len()), "{served:?}");
    next_peers.remove(&vm(1, 3).name);
    assert!(!next_peers.is_empty() && next_peers.is_subset(&served), "{next_peers:?}");
}

/// A compressed response is truncated in transit. Nothing must be activated, and the VM
/// pulls again.
#[test]
fn a_truncated_compressed_change_is_pulled_again() {
    let mut holder = holder(1);
    let mut requester = requester(2);
    let mut response = holder.handle_pull(NOW, &pull_request(&mut requester)).unwrap();
    response.truncate(response.len() / 2);
    requester.on_pull_response(NOW, &vm(1, 3).name, Some(&response));
    assert_eq!(requester.version(), Some(1));
    let later = NOW + Duration::from_secs(2);
    let pull_request = pull(&requester.on_peer_version(later, &vm(1, 3), 2));
    let response = holder.handle_pull(later, &pull_request.expect("another pull")).unwrap();
    requester.on_pull_response(later, &vm(1, 3).name, Some(&response));
    assert_eq!(requester.version(), Some(2));
}

const NOW: Time = Time::from_millis(60_000);

fn node(index: u32) -> ConfigSync {
    let settings = ConfigSyncSettings::default();
    let mut node = ConfigSync::new(vm(index, 3), Name::from(DEPLOYMENT), settings, 5);
    node.on_listed_vms(1);
    node.on_platform_value(NOW, Some(&json(&config(1, CURRENT_SIZES))));
    node
}

/// Returns a VM on which the large change is active.
fn holder(index: u32) -> ConfigSync {
    let mut node = node(index);
    node.on_platform_value(NOW, Some(&json(&config_with_routes(2))));
    node
}

fn requester(index: u32) -> ConfigSync {
    node(index)
}

fn pull_request(requester: &mut ConfigSync) -> Vec<u8> {
    pull(&requester.on_peer_version(NOW, &vm(1, 3), 2)).expect("a pull")
}

fn pull(actions: &[ConfigAction]) -> Option<Vec<u8>> {
    actions.iter().find_map(|action| match action {
        ConfigAction::Pull { request, .. } => Some(request.clone()),
        _ => None,
    })
}
