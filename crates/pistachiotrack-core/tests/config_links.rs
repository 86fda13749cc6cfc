//! The spread of large changes over links that are slow.

mod config_support;

use std::{collections::BTreeSet, time::Duration};

use config_support::{DEPLOYMENT, TODAY, config, fleet::Fleet, json, rule_of_host, vm};
use pistachiotrack_core::{
    config::Config,
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings},
    name::Name,
    time::Time,
};

const MINUTE: Duration = Duration::from_secs(60);
/// What a link of 10 Mbit/s carries.
const SLOW_LINK_BYTES_PER_SECOND: f64 = 1_250_000.0;
/// VMs of a large deployment, and routes that an operator adds to it at once.
const VMS: u32 = 107;
const ROUTES: u32 = 1_456;

fn with_routes(version: u64) -> Config {
    let mut config = config(version, TODAY);
    config.rules.extend((0..ROUTES).map(rule_of_host));
    config
}

/// An operator adds many routes, and for more than three seconds clerks' requests
/// are routed by the old version. One VM reads the change and tells all others; all
/// of them ask it, and its link of 10 Mbit/s is full for seconds.
#[test]
fn a_large_change_reaches_all_over_slow_links() {
    let mut fleet = Fleet::new(VMS, 3, ConfigSyncSettings::default(), 8);
    fleet.publish(&config(1, TODAY));
    fleet.run_until(MINUTE, |fleet| fleet.all_hold(1)).expect("a first version");
    fleet.run(MINUTE / 2);
    fleet.step_time = Duration::from_millis(10);
    fleet.link_bytes_per_second = Some(SLOW_LINK_BYTES_PER_SECOND);
    let reader = fleet.nodes.iter().position(|node| node.is_watching()).expect("a watcher");
    for (index, node) in fleet.nodes.iter_mut().enumerate() {
        node.cut_from_platform = index != reader;
    }
    fleet.publish(&with_routes(2));
    fleet.run_until(MINUTE, |fleet| fleet.nodes[reader].sync.version() == Some(2)).unwrap();
    fleet.announce(reader);
    let time = fleet.run_until(MINUTE, |fleet| fleet.all_hold(2)).expect("the change");
    assert!(time <= Duration::from_millis(700), "{time:?}");
}

/// A VM has answered as many as its link carries. The next one that asks must not
/// wait behind them for seconds; it is sent to those that have just been answered.
#[test]
fn a_vm_that_answers_many_names_those_that_it_has_answered() {
    let mut holder = holder(1);
    let (mut answered, mut asked_next) = (BTreeSet::new(), BTreeSet::new());
    for index in 2..40 {
        let mut asker = asker(index);
        let answer = holder.handle_pull(NOW, &question(&mut asker)).unwrap();
        asker.on_pull_response(NOW, &vm(1, 3).name, Some(&answer));
        if asker.version() == Some(2) {
            answered.insert(vm(index, 3).name);
            continue;
        }
        let later = NOW + Duration::from_millis(200);
        let actions = asker.on_tick(later, std::iter::empty());
        let next = actions.iter().find_map(|action| match action {
            ConfigAction::Pull { vm, .. } => Some(vm.name.clone()),
            _ => None,
        });
        asked_next.insert(next.expect("it asks again soon"));
    }
    assert!((1..8).contains(&answered.len()), "{answered:?}");
    asked_next.remove(&vm(1, 3).name);
    assert!(!asked_next.is_empty() && asked_next.is_subset(&answered), "{asked_next:?}");
}

/// The stream of a compressed change is cut on the way. Nothing may come into force,
/// and the VM asks again.
#[test]
fn a_cut_compressed_change_does_no_harm() {
    let mut holder = holder(1);
    let mut asker = asker(2);
    let mut answer = holder.handle_pull(NOW, &question(&mut asker)).unwrap();
    answer.truncate(answer.len() / 2);
    asker.on_pull_response(NOW, &vm(1, 3).name, Some(&answer));
    assert_eq!(asker.version(), Some(1));
    let later = NOW + Duration::from_secs(2);
    let question = pull(&asker.on_peer_version(later, &vm(1, 3), 2));
    let answer = holder.handle_pull(later, &question.expect("another pull")).unwrap();
    asker.on_pull_response(later, &vm(1, 3).name, Some(&answer));
    assert_eq!(asker.version(), Some(2));
}

const NOW: Time = Time::from_millis(60_000);

fn node(index: u32) -> ConfigSync {
    let settings = ConfigSyncSettings::default();
    let mut node = ConfigSync::new(vm(index, 3), Name::from(DEPLOYMENT), settings, 5);
    node.on_listed_vms(1);
    node.on_platform_value(NOW, Some(&json(&config(1, TODAY))));
    node
}

/// Returns a VM that has taken the large change.
fn holder(index: u32) -> ConfigSync {
    let mut node = node(index);
    node.on_platform_value(NOW, Some(&json(&with_routes(2))));
    node
}

fn asker(index: u32) -> ConfigSync {
    node(index)
}

fn question(asker: &mut ConfigSync) -> Vec<u8> {
    pull(&asker.on_peer_version(NOW, &vm(1, 3), 2)).expect("a pull")
}

fn pull(actions: &[ConfigAction]) -> Option<Vec<u8>> {
    actions.iter().find_map(|action| match action {
        ConfigAction::Pull { request, .. } => Some(request.clone()),
        _ => None,
    })
}
