//! VMs that a dispatcher tells besides the other dispatchers.

use std::{net::SocketAddr, time::Duration};

use pistachiotrack_core::{shard::Subscribers, time::Time};

const START: Time = Time::from_millis(10_000);

fn vm(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + number))
}

/// Has a VM tell as much as a dispatcher's share of the callers makes it.
fn note_busy(subscribers: &mut Subscribers, vm: SocketAddr, is_nearby: bool) {
    (0..10).for_each(|_| subscribers.record_update(START, vm, || is_nearby));
}

/// Callers with old addresses use all 48 VMs now and then, and each asks the
/// dispatchers of all data centres. If each of these told it everything, most of what
/// crosses between data centres would be news for VMs that have a dispatcher nearby.
#[test]
fn vms_elsewhere_are_left_to_their_own_dispatchers() {
    let mut subscribers = Subscribers::default();
    note_busy(&mut subscribers, vm(1), true);
    note_busy(&mut subscribers, vm(2), false);
    assert_eq!(subscribers.recipients(START).collect::<Vec<_>>(), [vm(1)]);
}

/// A VM that callers no longer use must not be told for good.
#[test]
fn a_silent_vm_is_told_for_two_seconds_more() {
    let mut subscribers = Subscribers::default();
    (0..30).for_each(|_| subscribers.record_update(START, vm(1), || true));
    let later = START + Duration::from_millis(1_500);
    subscribers.record_update(later, vm(1), || unreachable!("it is told already"));
    assert_eq!(subscribers.recipients(later + Duration::from_millis(1_900)).count(), 1);
    assert_eq!(subscribers.recipients(later + Duration::from_millis(2_000)).count(), 0);
}

/// A whole fleet begins without knowing itself, so that each VM seems to be nearby.
/// It must not flood itself.
#[test]
fn few_vms_are_told_however_many_ask() {
    let mut subscribers = Subscribers::default();
    (0..200).for_each(|number| note_busy(&mut subscribers, vm(number), true));
    assert_eq!(subscribers.recipients(START).count(), 16);
}

/// Lookups and bookings time out although all endpoints are well: no connection to
/// them opens, as the dispatchers' links are full. Each of 107 VMs takes in a request
/// a second, and is told in turn all that the dispatchers of its data centre do.
#[test]
fn vms_with_few_requests_are_not_told() {
    let mut subscribers = Subscribers::default();
    // Each request is told of twice, when it is sent and when it is answered.
    for half_second in 0..20 {
        let now = START + Duration::from_millis(500 * half_second);
        (0..36).for_each(|number| subscribers.record_update(now, vm(number), || true));
        assert_eq!(subscribers.recipients(now).count(), 0);
    }
}

/// Where a VM is has to be looked up among all members, which is too much for each of
/// a thousand messages a second.
#[test]
fn a_vm_elsewhere_is_looked_up_once() {
    let mut subscribers = Subscribers::default();
    subscribers.record_update(START, vm(1), || false);
    subscribers.record_update(START, vm(1), || unreachable!("it was looked up already"));
}
