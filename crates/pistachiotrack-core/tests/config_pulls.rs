//! Which peer is asked for a version after one has left the question unanswered.

mod config_support;

use std::time::Duration;

use config_support::{DEPLOYMENT, TODAY, config, json, vm};
use pistachiotrack_core::{
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings},
    name::Name,
    time::Time,
};

const NOW: Time = Time::from_millis(60_000);
/// Time after which a pull has failed.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a peer may be asked again, whatever it did.
const PAUSES: Duration = Duration::from_secs(2);
/// A peer in the data centre of VM 0, and one in another.
const NEAR: u32 = 3;
const FAR: u32 = 1;

fn node() -> ConfigSync {
    let settings = ConfigSyncSettings::default();
    let mut node = ConfigSync::new(vm(0, 3), Name::from(DEPLOYMENT), settings, 5);
    node.on_listed_vms(1);
    node.on_platform_value(NOW, Some(&json(&config(5, TODAY))));
    node
}

fn asked(actions: &[ConfigAction]) -> Option<&Name> {
    actions.iter().find_map(|action| match action {
        ConfigAction::Pull { vm, .. } => Some(&vm.name),
        _ => None,
    })
}

#[test]
fn a_near_peer_that_left_a_pull_unanswered_is_asked_after_those_that_answer() {
    let (mut node, near, far) = (node(), vm(NEAR, 3), vm(FAR, 3));
    assert_eq!(asked(&node.on_peer_version(NOW, &near, 6)), Some(&near.name));
    node.on_peer_version(NOW, &far, 6);
    let late = NOW + PULL_TIMEOUT;
    assert_eq!(asked(&node.on_tick(late, std::iter::empty())), Some(&far.name));
    node.on_pull_response(late, &far.name, Some(&[]));
    let later = late + PAUSES;
    assert_eq!(asked(&node.on_tick(later, std::iter::empty())), Some(&far.name));
}

#[test]
fn a_second_unanswered_pull_is_given_up_for_a_peer_heard_of_meanwhile() {
    let (mut node, near, far) = (node(), vm(NEAR, 3), vm(FAR, 3));
    assert_eq!(asked(&node.on_peer_version(NOW, &near, 6)), Some(&near.name));
    node.on_tick(NOW + PULL_TIMEOUT, std::iter::empty());
    let again = NOW + PULL_TIMEOUT + PAUSES;
    assert_eq!(asked(&node.on_tick(again, std::iter::empty())), Some(&near.name));
    let heard = again + Duration::from_millis(150);
    assert_eq!(asked(&node.on_peer_version(heard, &far, 6)), Some(&far.name));
}
