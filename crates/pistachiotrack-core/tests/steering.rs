//! Selection of entry addresses for callers.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddr,
};

use pistachiotrack_core::{
    config::Config,
    membership::{Member, MemberState},
    name::Name,
    ownership::{Ownership, OwnershipSettings, ShardId},
    steering::{
        EntryQuery, EntryResponse, MAX_ALTERNATES, MAX_OWNERS, entries, entries_for_query,
        substitutes,
    },
    time::Time,
    vm::{DEFAULT_CAPACITY, Vm},
};

const LIFETIME_MS: u64 = 5_000;

fn vm(number: usize) -> Vm {
    Vm {
        name: Name::from(format!("vm-{number}")),
        data_centre: Name::from(format!("oslo-{}", number % 3 + 1)),
        incarnation: 1,
        caller_address: SocketAddr::from(([10, 0, 0, number as u8], 9001)),
        peer_address: SocketAddr::from(([10, 0, 0, number as u8], 9101)),
        capacity: DEFAULT_CAPACITY,
    }
}

fn fleet(count: usize) -> Vec<Member> {
    let since = Time::from_millis(1);
    (1..count)
        .map(|number| Member {
            vm: vm(number),
            state: MemberState::Alive,
            since,
            config_version: None,
            last_platform_response: None,
            is_cut_off: false,
        })
        .collect()
}

fn config(shard_endpoints: u32) -> Config {
    let endpoints: Vec<_> = (0..24)
        .map(|endpoint| {
            serde_json::json!({"name": format!("e-{endpoint}"), "address": "127.0.0.1:80",
                "slots": 2, "data_centre": format!("oslo-{}", endpoint % 3 + 1)})
        })
        .collect();
    serde_json::from_value(serde_json::json!({"version": 1, "deployment": "d",
        "entry_lifetime_ms": LIFETIME_MS, "data_centres": [], "customers": [], "rules": [],
        "services": [{"name": "booking", "floor": 2, "sensitivity": 0.5, "timeout_ms": 1000,
            "shard_endpoints": shard_endpoints, "endpoints": endpoints}]}))
    .expect("a valid configuration")
}

fn ownership(config: &Config, members: &[Member]) -> Ownership {
    let mut ownership = Ownership::new(vm(0), OwnershipSettings::default());
    ownership.update(Time::from_millis(1_000_000), config, members.iter());
    ownership.update(Time::from_millis(1_010_000), config, members.iter());
    ownership
}

fn owner(ownership: &Ownership) -> Vm {
    let shard = ShardId { service: Name::from("booking"), index: 0 };
    ownership.owner(&shard).expect("an owner").clone()
}

fn query(
    config: &Config,
    ownership: &Ownership,
    members: &[Member],
    customer: &str,
) -> EntryResponse {
    let me = vm(0);
    let query =
        EntryQuery { config, ownership, me: &me, offers_me: true, service: "booking", customer };
    entries_for_query(query, members.iter())
}

#[test]
fn owner_comes_first_and_alternates_are_elsewhere() {
    // A data centre fails together with the owner of a service. The caller's next
    // address must not be in the same data centre.
    let config = config(64);
    let members = fleet(48);
    let ownership = ownership(&config, &members);
    let owner = owner(&ownership);
    let response = query(&config, &ownership, &members, "timeliten");
    assert_eq!(response.entries.len(), 1 + MAX_ALTERNATES);
    assert_eq!(response.entries[0].address, owner.caller_address);
    assert!(response.entries[1..].iter().all(|entry| entry.data_centre != owner.data_centre));
    let centres: HashSet<_> =
        response.entries[1..3].iter().map(|entry| &entry.data_centre).collect();
    assert_eq!(centres.len(), 2, "the first two alternates don't share a data centre");
    assert_eq!(response.lifetime_ms, LIFETIME_MS);
}

#[test]
fn response_does_not_depend_on_the_order_of_members() {
    let config = config(64);
    let members = fleet(12);
    let ownership = ownership(&config, &members);
    let mut reversed: Vec<Member> = members.clone();
    reversed.reverse();
    let response = query(&config, &ownership, &members, "timeliten");
    assert_eq!(query(&config, &ownership, &reversed, "timeliten"), response);
}

#[test]
fn alternates_share_the_load_of_a_failed_owner() {
    // The owner of a busy service fails and all callers use their first alternate
    // at once. If it were the same VM for all of them, it would be overloaded.
    let config = config(64);
    let members = fleet(48);
    let ownership = ownership(&config, &members);
    let mut loads: HashMap<SocketAddr, usize> = HashMap::new();
    for customer in 0..3_200 {
        let response = query(&config, &ownership, &members, &format!("customer-{customer}"));
        *loads.entry(response.entries[1].address).or_default() += 1;
    }
    assert_eq!(loads.len(), 32, "all VMs of the two other data centres");
    assert!(loads.values().all(|load| (50..200).contains(load)), "{loads:?}");
}

#[test]
fn only_live_members_are_returned() {
    let config = config(64);
    let mut members = fleet(12);
    let ownership = ownership(&config, &members);
    for (number, member) in members.iter_mut().enumerate() {
        member.state = match number % 4 {
            0 => MemberState::Suspect,
            1 => MemberState::Leaving,
            2 => MemberState::Dead,
            _ => MemberState::Alive,
        };
    }
    let live: HashSet<SocketAddr> = members
        .iter()
        .filter(|member| member.state == MemberState::Alive)
        .map(|member| member.vm.caller_address)
        .chain([vm(0).caller_address])
        .collect();
    let response = query(&config, &ownership, &members, "timeliten");
    assert!(response.entries.iter().all(|entry| live.contains(&entry.address)));
    assert!(!response.entries.is_empty());
}

#[test]
fn leaving_vm_omits_itself() {
    // Callers cache the response of a stopping VM for seconds; with its own address
    // in it their requests would fail after it stops.
    let config = config(1);
    let members = fleet(6);
    let mut ownership = ownership(&config, &members);
    ownership.set_leaving(true);
    ownership.update(Time::from_millis(1_011_000), &config, members.iter());
    let response = entries(&config, &ownership, &vm(0), members.iter(), "booking");
    assert!(response.entries.iter().all(|entry| entry.address != vm(0).caller_address));
    let alone = entries(&config, &ownership, &vm(0), [].iter(), "booking");
    assert_eq!(alone.entries.len(), 1, "a VM without others returns itself");
}

#[test]
fn response_lifetime_is_shorter_while_the_owner_is_unstable() {
    // The owner of a service is suspected or new. With the configured lifetime callers
    // would keep using a dead VM or the old owner.
    let config = config(64);
    let mut members = fleet(12);
    let mut ownership = ownership(&config, &members);
    let owner = owner(&ownership);
    for member in &mut members {
        if member.vm.name == owner.name {
            member.state = MemberState::Suspect;
        }
    }
    ownership.update(Time::from_millis(1_011_000), &config, members.iter());
    let response = query(&config, &ownership, &members, "timeliten");
    assert!(response.lifetime_ms < LIFETIME_MS);
    let no_members: [Member; 0] = [];
    let mut unsettled = Ownership::new(vm(0), OwnershipSettings::default());
    unsettled.update(Time::from_millis(1), &config, no_members.iter());
    assert!(query(&config, &unsettled, &no_members, "timeliten").lifetime_ms < LIFETIME_MS);
}

#[test]
fn service_with_many_shards_returns_some_owners_to_each_customer() {
    let config = config(1);
    let members = fleet(48);
    let ownership = ownership(&config, &members);
    let mut seen = HashSet::new();
    for customer in 0..100 {
        let response = query(&config, &ownership, &members, &format!("customer-{customer}"));
        assert_eq!(response.entries.len(), MAX_OWNERS + MAX_ALTERNATES);
        seen.extend(response.entries[..MAX_OWNERS].iter().map(|entry| entry.address));
    }
    assert!(seen.len() > MAX_OWNERS, "customers get different owners");
}

#[test]
fn unknown_service_gets_alternates() {
    let config = config(64);
    let members = fleet(12);
    let ownership = ownership(&config, &members);
    let response = entries(&config, &ownership, &vm(0), members.iter(), "no-such-service");
    assert_eq!(response.entries.len(), MAX_ALTERNATES);
}

/// Guards against requests that are handed to a VM which reaches no endpoint either, or all to the
/// same one.
#[test]
fn requests_are_handed_to_several_vms_that_reach_endpoints() {
    let mut members = fleet(9);
    for member in &mut members {
        member.config_version = Some(1);
        member.is_cut_off = member.vm.data_centre == Name::from("oslo-1");
    }
    let config = config(64);
    let ownership = ownership(&config, &members);
    let mut first_choices = BTreeSet::new();
    for key in 0..50 {
        let vms = substitutes(&ownership, &vm(0), members.iter(), "booking", key);
        assert_eq!(vms.len(), 6);
        assert!(vms.iter().all(|vm| vm.data_centre != Name::from("oslo-1")));
        first_choices.insert(vms[0].name.clone());
    }
    assert_eq!(first_choices.len(), 6);
}
