//! Choice of the peer to pull from after another one hasn't responded.

mod config_support;

use std::time::Duration;

use config_support::{CURRENT_SIZES, DEPLOYMENT, config, json, vm};
use pistachiotrack_core::{
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings},
    name::Name,
    time::Time,
};

const NOW: Time = Time::from_millis(60_000);
/// Timeout of a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which any peer may be queried again.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// A peer in the data centre of VM 0, and one in another data centre.
const NEAR: u32 = 3;
const FAR: u32 = 1;

fn node() -> ConfigSync {
    let settings = ConfigSyncSettings::default();
    let mut node = ConfigSync::new(vm(0, 3), Name::from(DEPLOYMENT), settings, 5);
    node.on_listed_vms(1);
    node.on_platform_value(NOW, Some(&json(&config(5, CURRENT_SIZES))));
    node
}

fn pulled_peer(actions: &[ConfigAction]) -> Option<&Name> {
    actions.iter().find_map(|action| match action {
        ConfigAction::Pull { vm, .. } => Some(&vm.name),
        _ => None,
    })
}

#[test]
fn responsive_peers_are_preferred_to_an_unresponsive_peer_nearby() {
    let (mut node, near, far) = (node(), vm(NEAR, 3), vm(FAR, 3));
    assert_eq!(pulled_peer(&node.on_peer_version(NOW, &near, 6)), Some(&near.name));
    node.on_peer_version(NOW, &far, 6);
    let late = NOW + PULL_TIMEOUT;
    assert_eq!(pulled_peer(&node.on_tick(late, std::iter::empty())), Some(&far.name));
    node.on_pull_response(late, &far.name, Some(&[]));
    let later = late + MAX_BACKOFF;
    assert_eq!(pulled_peer(&node.on_tick(later, std::iter::empty())), Some(&far.name));
}

#[test]
fn a_second_unanswered_pull_is_abandoned_for_a_newly_announced_peer() {
    let (mut node, near, far) = (node(), vm(NEAR, 3), vm(FAR, 3));
    assert_eq!(pulled_peer(&node.on_peer_version(NOW, &near, 6)), Some(&near.name));
    node.on_tick(NOW + PULL_TIMEOUT, std::iter::empty());
    let again = NOW + PULL_TIMEOUT + MAX_BACKOFF;
    assert_eq!(pulled_peer(&node.on_tick(again, std::iter::empty())), Some(&near.name));
    let announced = again + Duration::from_millis(150);
    assert_eq!(pulled_peer(&node.on_peer_version(announced, &far, 6)), Some(&far.name));
}
