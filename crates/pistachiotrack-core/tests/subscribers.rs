//! VMs that a dispatcher sends updates to in addition to the other dispatchers.

use std::{net::SocketAddr, time::Duration};

use pistachiotrack_core::{shard::Subscribers, time::Time};

const START: Time = Time::from_millis(10_000);

fn vm(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + number))
}

/// Records as many updates from a VM as a dispatcher sends for its share of the callers.
fn record_busy_vm(subscribers: &mut Subscribers, vm: SocketAddr, is_nearby: bool) {
    (0..10).for_each(|_| subscribers.record_update(START, vm, || is_nearby));
}

/// Callers with outdated addresses use all 48 VMs now and then, and each VM contacts the
/// dispatchers of all data centres. If each dispatcher sent it everything, most of the traffic
/// between data centres would be updates for VMs that have a dispatcher nearby.
#[test]
fn vms_in_other_data_centres_get_no_updates() {
    let mut subscribers = Subscribers::default();
    record_busy_vm(&mut subscribers, vm(1), true);
    record_busy_vm(&mut subscribers, vm(2), false);
    assert_eq!(subscribers.recipients(START).collect::<Vec<_>>(), [vm(1)]);
}

/// A VM that callers no longer use must not get updates forever.
#[test]
fn a_silent_vm_gets_updates_for_two_more_seconds() {
    let mut subscribers = Subscribers::default();
    (0..30).for_each(|_| subscribers.record_update(START, vm(1), || true));
    let later = START + Duration::from_millis(1_500);
    subscribers.record_update(later, vm(1), || unreachable!("its data centre is known already"));
    assert_eq!(subscribers.recipients(later + Duration::from_millis(1_900)).count(), 1);
    assert_eq!(subscribers.recipients(later + Duration::from_millis(2_000)).count(), 0);
}

/// A fleet starts before its VMs have discovered each other, so that each VM seems to be nearby.
/// It must not flood itself with updates.
#[test]
fn the_number_of_recipients_is_bounded() {
    let mut subscribers = Subscribers::default();
    (0..200).for_each(|number| record_busy_vm(&mut subscribers, vm(number), true));
    assert_eq!(subscribers.recipients(START).count(), 16);
}

/// Lookups and bookings time out although all endpoints are healthy: no connection to them opens
/// because the dispatchers' links are saturated. Each of 107 VMs accepts a request per second and
/// would get all updates of the dispatchers of its data centre in turn.
#[test]
fn vms_with_few_requests_get_no_updates() {
    let mut subscribers = Subscribers::default();
    // Each request causes two updates: when it is sent and when it is answered.
    for half_second in 0..20 {
        let now = START + Duration::from_millis(500 * half_second);
        (0..36).for_each(|number| subscribers.record_update(now, vm(number), || true));
        assert_eq!(subscribers.recipients(now).count(), 0);
    }
}

/// The data centre of a VM is found by a search of all members, which is too expensive for each
/// of a thousand messages per second.
#[test]
fn the_data_centre_of_a_vm_is_looked_up_once() {
    let mut subscribers = Subscribers::default();
    subscribers.record_update(START, vm(1), || false);
    subscribers
        .record_update(START, vm(1), || unreachable!("its data centre was looked up already"));
}
