//! Selection of the VMs that dispatch for a shared service.

use std::{collections::BTreeSet, net::SocketAddr};

use pistachiotrack_core::{
    config::Config,
    membership::{Member, MemberState},
    name::Name,
    ownership::{Ownership, OwnershipSettings},
    time::Time,
    vm::Vm,
};

const NOW: Time = Time::from_millis(1_000_000);
const PER_DATA_CENTRE: usize = 2;

fn vm(number: usize, capacity: u32) -> Vm {
    Vm {
        name: Name::from(format!("vm-{number:03}")),
        data_centre: Name::from(format!("oslo-{}", number % 3 + 1)),
        incarnation: 1,
        caller_address: SocketAddr::from(([10, 0, 0, number as u8], 9001)),
        peer_address: SocketAddr::from(([10, 0, 0, number as u8], 9101)),
        capacity,
    }
}

/// Returns members with the given capacities.
fn fleet(capacities: &[u32]) -> Vec<Member> {
    let member = |(number, capacity): (usize, &u32)| Member {
        vm: vm(number, *capacity),
        state: MemberState::Alive,
        since: Time::from_millis(1),
        config_version: None,
        last_platform_response: None,
        is_cut_off: false,
    };
    capacities.iter().enumerate().map(member).collect()
}

fn config(services: usize) -> Config {
    let services: Vec<_> = (0..services)
        .map(|service| {
            serde_json::json!({"name": format!("s-{service}"), "floor": 0, "sensitivity": 0.5,
                "timeout_ms": 1000, "dispatchers_per_data_centre": PER_DATA_CENTRE,
                "endpoints": []})
        })
        .collect();
    serde_json::from_value(serde_json::json!({"version": 1, "deployment": "d",
        "data_centres": [], "services": services, "customers": [], "rules": []}))
    .expect("a valid configuration")
}

/// Returns the numbers of the VMs that dispatch for any service.
fn dispatchers(members: &[Member], services: usize) -> BTreeSet<usize> {
    let config = config(services);
    let local_vm = members[0].vm.clone();
    let mut ownership = Ownership::new(local_vm, OwnershipSettings::default());
    ownership.update(NOW, &config, members[1..].iter());
    let chosen = config.services.iter().flat_map(|it| ownership.dispatchers(&it.name));
    chosen.map(|vm| vm.name.strip_prefix("vm-").unwrap().parse().unwrap()).collect()
}

/// A few VMs have half of a core and a fast link, most have a tenth and a slow one. If slow VMs
/// dispatched all requests of a service, callers would wait although the endpoints are idle.
#[test]
fn the_highest_capacity_vms_of_each_data_centre_dispatch() {
    let mut capacities = [10; 36];
    for index in [3, 16, 11, 18, 22, 29] {
        capacities[index] = 50;
    }
    assert_eq!(dispatchers(&fleet(&capacities), 3), BTreeSet::from([3, 11, 16, 18, 22, 29]));
}

/// When a VM with high capacity dies, the one with the next highest capacity takes its place and
/// the others stay.
#[test]
fn a_dead_dispatcher_is_replaced_by_the_vm_with_the_next_highest_capacity() {
    let mut capacities = [10; 36];
    for index in [3, 16, 11, 18, 22, 29] {
        capacities[index] = 50;
    }
    capacities[33] = 20;
    let mut members = fleet(&capacities);
    members[3].state = MemberState::Dead;
    assert_eq!(dispatchers(&members, 3), BTreeSet::from([11, 16, 18, 22, 29, 33]));
}

/// Among VMs of equal capacity, the choice must not fall on the first ones of each data centre,
/// which would be the same for every group of services.
#[test]
fn equal_vms_are_chosen_by_hashing() {
    let chosen = dispatchers(&fleet(&[20; 36]), 3);
    assert_eq!(chosen.len(), 3 * PER_DATA_CENTRE);
    assert_ne!(chosen, (0..6).collect());
}

/// In a fleet with many services, the few VMs with high capacity must not have to dispatch for
/// all of them.
#[test]
fn many_services_are_spread_over_low_capacity_vms_too() {
    let mut capacities = [10; 36];
    for index in [3, 16, 11, 18, 22, 29] {
        capacities[index] = 50;
    }
    let chosen = dispatchers(&fleet(&capacities), 200);
    assert!(chosen.len() > 24, "{chosen:?}");
}
