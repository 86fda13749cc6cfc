//! Owners of shards: distribution, hysteresis and agreement with a non-incremental computation.

use std::{collections::HashMap, net::SocketAddr};

use pistachiotrack_core::{
    config::Config,
    membership::{Member, MemberState},
    name::Name,
    ownership::{
        Ownership, OwnershipChange, OwnershipSettings, ShardId, rendezvous_shard, shard_count,
        shard_endpoints,
    },
    time::Time,
    vm::{DEFAULT_CAPACITY, Vm},
};
use quickcheck::{Arbitrary, Gen};

const SETTLE_MS: u64 = 3_000;
const START_MS: u64 = 1_000_000;

fn vm(number: usize, incarnation: u64) -> Vm {
    Vm {
        name: Name::from(format!("vm-{number}")),
        data_centre: Name::from(format!("oslo-{}", number % 3 + 1)),
        incarnation,
        caller_address: SocketAddr::from(([10, 0, 0, number as u8], 9001)),
        peer_address: SocketAddr::from(([10, 0, 0, number as u8], 9101)),
        capacity: DEFAULT_CAPACITY,
    }
}

fn member(number: usize, state: MemberState, since_ms: u64) -> Member {
    Member {
        vm: vm(number, 1),
        state,
        since: Time::from_millis(since_ms),
        config_version: None,
        last_platform_response: None,
        is_cut_off: false,
    }
}

fn alive(numbers: impl IntoIterator<Item = usize>) -> Vec<Member> {
    numbers.into_iter().map(|number| member(number, MemberState::Alive, 1)).collect()
}

fn config(services: usize, data_centres: &[usize]) -> Config {
    let services: Vec<_> = (0..services)
        .map(|service| {
            let endpoints: Vec<_> = (0..12)
                .map(|endpoint| {
                    let data_centre = data_centres[endpoint % data_centres.len()];
                    serde_json::json!({"name": format!("e-{service}-{endpoint}"),
                        "address": "127.0.0.1:80", "slots": 2,
                        "data_centre": format!("oslo-{data_centre}")})
                })
                .collect();
            serde_json::json!({"name": format!("s-{service}"), "floor": 2, "sensitivity": 0.5,
                "timeout_ms": 1000, "shard_endpoints": 6, "endpoints": endpoints})
        })
        .collect();
    serde_json::from_value(serde_json::json!({"version": 1, "deployment": "d",
        "data_centres": [], "services": services, "customers": [], "rules": []}))
    .expect("a valid configuration")
}

fn shards(config: &Config) -> Vec<ShardId> {
    let services = config.services.iter();
    services
        .flat_map(|service| {
            (0..shard_count(service)).map(|index| ShardId { service: service.name.clone(), index })
        })
        .collect()
}

/// The ownership as VM 0 computes it after all of `members` have settled.
fn settled(config: &Config, members: &[Member]) -> Ownership {
    let mut ownership = Ownership::new(vm(0, 1), OwnershipSettings::default());
    ownership.update(Time::from_millis(START_MS), config, members.iter());
    ownership.update(Time::from_millis(START_MS + SETTLE_MS), config, members.iter());
    ownership
}

fn owners(ownership: &Ownership, config: &Config) -> HashMap<ShardId, Name> {
    shards(config)
        .into_iter()
        .map(|shard| {
            let owner = ownership.owner(&shard).expect("each shard has an owner").name.clone();
            (shard, owner)
        })
        .collect()
}

#[test]
fn every_endpoint_is_in_exactly_one_shard() {
    let config = config(20, &[1, 2, 3]);
    for service in &config.services {
        let parts: Vec<_> =
            (0..shard_count(service)).flat_map(|index| shard_endpoints(service, index)).collect();
        assert_eq!(parts.len(), service.endpoints.len());
        for endpoint in &service.endpoints {
            let index = rendezvous_shard(&endpoint.name, shard_count(service));
            assert!(shard_endpoints(service, index).contains(&endpoint));
        }
    }
}

#[test]
fn all_vms_compute_the_same_owners() {
    let config = config(40, &[1, 2, 3]);
    let first = owners(&settled(&config, &alive(1..12)), &config);
    for me in 1..12 {
        let mut ownership = Ownership::new(vm(me, 1), OwnershipSettings::default());
        let others = alive((0..12).filter(|number| *number != me));
        ownership.update(Time::from_millis(START_MS), &config, others.iter());
        ownership.update(Time::from_millis(START_MS + SETTLE_MS), &config, others.iter());
        assert_eq!(owners(&ownership, &config), first, "as VM {me} computes it");
    }
}

#[test]
fn owners_are_near_the_endpoints_and_evenly_loaded() {
    // All endpoints are in one data centre of three. An owner in another one would add the
    // latency between data centres to each request.
    let config = config(1_000, &[2]);
    let owners = owners(&settled(&config, &alive(1..48)), &config);
    let mut loads: HashMap<&Name, usize> = HashMap::new();
    let mut near = 0;
    for owner in owners.values() {
        *loads.entry(owner).or_default() += 1;
        let number: usize = owner.as_str()[3..].parse().expect("a number");
        near += usize::from(number % 3 == 1);
    }
    assert!(near * 100 > owners.len() * 90, "{near} of {}", owners.len());
    let max = loads.values().max().copied().unwrap_or(0);
    assert!(max * 16 < owners.len() * 3 / 2, "at most 1.5 times the mean of 16 VMs");
}

#[test]
fn only_the_shards_of_a_dead_owner_move() {
    // A VM dies. If shards of other owners moved too, their queues and health state would be
    // lost needlessly.
    let config = config(200, &[1, 2, 3]);
    let mut members = alive(1..12);
    let mut ownership = settled(&config, &members);
    let before = owners(&ownership, &config);
    members[4].state = MemberState::Dead;
    let dead = members[4].vm.name.clone();
    ownership.update(Time::from_millis(START_MS + 9_000), &config, members.iter());
    let after = owners(&ownership, &config);
    for (shard, owner) in &before {
        assert_eq!(after[shard] != *owner, *owner == dead);
        if *owner == dead {
            let previous = ownership.previous_owner(shard).map(|vm| &vm.name);
            assert_eq!(previous, Some(&dead));
        }
    }
    assert!(before.values().any(|owner| *owner == dead));
}

#[test]
fn suspected_owner_keeps_its_shards() {
    // A VM is suspected because of lost datagrams and refutes that a second later. Its
    // shards must not move away and back.
    let config = config(100, &[1, 2, 3]);
    let mut members = alive(1..12);
    let mut ownership = settled(&config, &members);
    let before = owners(&ownership, &config);
    for round in 0..20 {
        members[4].state = if round % 2 == 0 { MemberState::Suspect } else { MemberState::Alive };
        let now = Time::from_millis(START_MS + 10_000 + round * 500);
        assert_eq!(ownership.update(now, &config, members.iter()), []);
        assert_eq!(owners(&ownership, &config), before);
    }
}

#[test]
fn new_vm_takes_over_only_after_it_settled() {
    // A VM is replaced under load. If it took shards over at once, they would move twice if
    // it crashes again.
    let config = config(100, &[1, 2, 3]);
    let mut members = alive(1..11);
    let mut ownership = settled(&config, &members);
    let before = owners(&ownership, &config);
    let joined_ms = START_MS + 10_000;
    members.push(member(11, MemberState::Alive, joined_ms));
    ownership.update(Time::from_millis(joined_ms), &config, members.iter());
    assert_eq!(owners(&ownership, &config), before);
    ownership.update(Time::from_millis(joined_ms + SETTLE_MS - 1), &config, members.iter());
    assert_eq!(owners(&ownership, &config), before);
    ownership.update(Time::from_millis(joined_ms + SETTLE_MS), &config, members.iter());
    assert_eq!(owners(&ownership, &config), owners(&settled(&config, &alive(1..12)), &config));
}

#[test]
fn new_vm_takes_no_shards_of_an_older_fleet() {
    // A new VM's clock starts at zero, so all members look as new as itself. Their
    // incarnations show that they are older, so it must not own anything yet.
    let config = config(100, &[1, 2, 3]);
    let me = vm(0, 1_000_000_000);
    let mut ownership = Ownership::new(me.clone(), OwnershipSettings::default());
    let no_members: [Member; 0] = [];
    ownership.update(Time::ZERO, &config, no_members.iter());
    assert_eq!(ownership.owned().count(), shards(&config).len(), "no other VM is known");
    let mut members = alive(1..12);
    for member in &mut members {
        member.since = Time::ZERO;
    }
    let changes = ownership.update(Time::from_millis(100), &config, members.iter());
    assert_eq!(changes.len(), shards(&config).len());
    assert_eq!(ownership.owned().count(), 0);
    ownership.update(Time::from_millis(SETTLE_MS), &config, members.iter());
    assert!(ownership.owned().count() > 0);
}

#[test]
fn flapping_vm_is_held_down_longer_each_time() {
    // A VM crashes and restarts every ten seconds. Without the hold-down it would take its
    // shards over for only a few seconds each time.
    let config = config(100, &[1, 2, 3]);
    let mut members = alive(1..12);
    let mut ownership = settled(&config, &members);
    let mut now_ms = START_MS + 10_000;
    let mut moved = Vec::new();
    for round in 0..6 {
        members[4].state = MemberState::Dead;
        ownership.update(Time::from_millis(now_ms), &config, members.iter());
        let without = owners(&ownership, &config);
        members[4] = member(5, MemberState::Alive, now_ms);
        members[4].vm.incarnation = 2 + round;
        for step in 0..100 {
            let now = Time::from_millis(now_ms + step * 100);
            ownership.update(now, &config, members.iter());
        }
        moved.push(owners(&ownership, &config) != without);
        now_ms += 10_000;
    }
    assert_eq!(moved, [true, true, false, false, false, false]);
    ownership.update(Time::from_millis(now_ms + 60_000), &config, members.iter());
    assert_eq!(owners(&ownership, &config), owners(&settled(&config, &alive(1..12)), &config));
}

#[test]
fn leaving_vm_releases_all_shards_at_once() {
    let config = config(100, &[1, 2, 3]);
    let members = alive(1..12);
    let mut ownership = settled(&config, &members);
    let owned: Vec<ShardId> = ownership.owned().cloned().collect();
    ownership.set_leaving(true);
    let changes = ownership.update(Time::from_millis(START_MS + 5_000), &config, members.iter());
    assert_eq!(ownership.owned().count(), 0);
    let lost: Vec<ShardId> = changes
        .into_iter()
        .map(|change| match change {
            OwnershipChange::Lost { shard, .. } => shard,
            OwnershipChange::Gained(shard) => panic!("gained {shard:?}"),
        })
        .collect();
    assert_eq!(lost, owned);
}

#[test]
fn successors_own_the_shards_after_the_vm_leaves() {
    let config = config(100, &[1, 2, 3]);
    let members = alive(1..12);
    let mut ownership = settled(&config, &members);
    let before: Vec<ShardId> = ownership.owned().cloned().collect();
    let now = Time::from_millis(START_MS + 5_000);
    let successors = ownership.successors(now, &config, members.iter());
    assert_eq!(ownership.owned().cloned().collect::<Vec<_>>(), before, "no shard is released yet");
    ownership.set_leaving(true);
    let changes = ownership.update(now, &config, members.iter());
    let lost: Vec<(ShardId, Name)> = changes
        .into_iter()
        .filter_map(|change| match change {
            OwnershipChange::Lost { shard, to } => Some((shard, to)),
            OwnershipChange::Gained(_) => None,
        })
        .collect();
    assert_eq!(successors, lost);
}

#[test]
fn vm_declared_dead_while_paused_releases_its_shards() {
    // A VM is paused for a minute and other VMs take its shards over. It resumes and finds
    // out that it was declared dead. Until it settles again it must compute the same owners
    // as the others.
    let config = config(100, &[1, 2, 3]);
    let members = alive(1..12);
    let mut ownership = settled(&config, &members);
    let resumed_ms = START_MS + 60_000;
    ownership.set_alive_since(Time::from_millis(resumed_ms));
    ownership.update(Time::from_millis(resumed_ms), &config, members.iter());
    assert_eq!(ownership.owned().count(), 0);
    ownership.update(Time::from_millis(resumed_ms + 2 * SETTLE_MS), &config, members.iter());
    assert!(ownership.owned().count() > 0, "after one flap it settles in twice the time");
}

#[test]
fn incremental_updates_agree_with_a_full_computation() {
    // Random sequences of member states; at the end all members get time to settle, and the
    // owners must equal those computed from the final state only.
    let config = config(20, &[1, 2]);
    let mut source = Gen::from_size_and_seed(10, 5);
    for case in 0..60 {
        let mut members = alive(1..10);
        let mut ownership = settled(&config, &members);
        let mut now_ms = START_MS + 10_000;
        for _ in 0..40 {
            let number = usize::arbitrary(&mut source) % members.len();
            let states =
                [MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead];
            let state = *source.choose(&states).expect("not empty");
            members[number].state = state;
            members[number].since = Time::from_millis(now_ms);
            if bool::arbitrary(&mut source) && state == MemberState::Alive {
                members[number].vm.incarnation += 1;
            }
            now_ms += u64::from(u16::arbitrary(&mut source)) % 5_000;
            ownership.update(Time::from_millis(now_ms), &config, members.iter());
            check_owners(&ownership, &config, &members);
        }
        for member in &mut members {
            if member.state == MemberState::Suspect {
                member.state = MemberState::Alive;
            }
        }
        for wait_ms in [1, 60_001] {
            now_ms += wait_ms;
            ownership.update(Time::from_millis(now_ms), &config, members.iter());
        }
        let full = settled(&config, &members);
        assert_eq!(owners(&ownership, &config), owners(&full, &config), "case {case}");
    }
}

/// Checks that every owner is this VM or a member that is alive or suspected.
fn check_owners(ownership: &Ownership, config: &Config, members: &[Member]) {
    for (shard, owner) in owners(ownership, config) {
        let present = members.iter().any(|member| {
            member.vm.name == owner
                && matches!(member.state, MemberState::Alive | MemberState::Suspect)
        });
        assert!(owner == vm(0, 1).name || present, "{shard:?} is owned by {owner}");
    }
}
