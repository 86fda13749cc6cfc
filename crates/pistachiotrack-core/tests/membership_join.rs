//! Joining through seeds, and announcements of a new configuration.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use pistachiotrack_core::{
    membership::{MemberState, Membership, MembershipAction, MembershipSettings},
    name::Name,
    time::Time,
    vm::{DEFAULT_CAPACITY, Vm},
};

const STEP: Duration = Duration::from_millis(20);

fn address(number: u16) -> SocketAddr {
    ([10, 0, 0, number as u8], 7_200).into()
}

fn vm(number: u16) -> Vm {
    Vm {
        name: Name::from(format!("vm-{number:02}")),
        data_centre: Name::from("oslo-1"),
        incarnation: 1_000,
        caller_address: address(number),
        peer_address: address(number),
        capacity: DEFAULT_CAPACITY,
    }
}

/// VMs between which datagrams are delivered without delay.
struct Fleet {
    now: Time,
    vms: BTreeMap<SocketAddr, Membership>,
}

impl Fleet {
    fn start(count: u16, seeds: &[u16]) -> Fleet {
        let now = Time::from_millis(1_000);
        let settings = MembershipSettings {
            seeds: seeds.iter().copied().map(address).collect(),
            verify_burst: 64,
            announce_fanout: 64,
            ..MembershipSettings::default()
        };
        let start = |number: u16| {
            let seed = u64::from(number);
            (address(number), Membership::new(now, vm(number), settings.clone(), seed))
        };
        Fleet { now, vms: (0..count).map(start).collect() }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let ticks: Vec<(SocketAddr, Vec<MembershipAction>)> =
                self.vms.iter_mut().map(|(from, vm)| (*from, vm.on_tick(self.now))).collect();
            for (from, actions) in ticks {
                self.deliver(from, actions);
            }
        }
    }

    fn deliver(&mut self, from: SocketAddr, actions: Vec<MembershipAction>) {
        let mut pending: Vec<(SocketAddr, MembershipAction)> =
            actions.into_iter().map(|action| (from, action)).collect();
        while let Some((from, action)) = pending.pop() {
            let MembershipAction::Send { to, bytes } = action else { continue };
            let Some(receiver) = self.vms.get_mut(&to) else { continue };
            let answers = receiver.on_datagram(self.now, from, &bytes).unwrap();
            pending.extend(answers.into_iter().map(|answer| (to, answer)));
        }
    }

    fn all_see_all(&self) -> bool {
        self.vms.values().all(|vm| {
            let alive = vm.members().filter(|member| member.state == MemberState::Alive);
            alive.count() + 1 == self.vms.len()
        })
    }
}

/// All VMs restart at once after a power loss and know only three seeds, one of which is
/// stale. Callers return within a second, and VMs that know only themselves would each
/// dispatch as if they were alone.
#[test]
fn a_fleet_joins_through_its_seeds_within_two_seconds() {
    let mut fleet = Fleet::start(48, &[3, 17, 99]);
    fleet.run(Duration::from_secs(2));
    assert!(fleet.all_see_all());
}

/// All seeds of a restarted VM are down. Members that know its previous incarnation still
/// probe its address and find it.
#[test]
fn a_vm_whose_seeds_are_down_is_found_by_members_that_know_it() {
    let mut fleet = Fleet::start(6, &[0]);
    fleet.run(Duration::from_secs(3));
    assert!(fleet.all_see_all());
    fleet.vms.remove(&address(0));
    let settings = MembershipSettings {
        seeds: vec![address(0)],
        verify_burst: 64,
        ..MembershipSettings::default()
    };
    let restarted = Vm { incarnation: 2_000, ..vm(4) };
    fleet.vms.insert(address(4), Membership::new(fleet.now, restarted, settings, 44));
    fleet.run(Duration::from_secs(8));
    let sees = |number: u16| {
        let members = fleet.vms[&address(number)].members();
        members.filter(|member| member.state == MemberState::Alive).count()
    };
    assert_eq!(sees(4), 4, "the VMs 1, 2, 3 and 5");
}

/// Guards against a VM that ends by itself after a restart: its clock was ahead when the process
/// before was started, so that the members know a higher incarnation at its address.
#[test]
fn a_vm_whose_clock_was_set_back_takes_its_place_again() {
    let mut broken = Vec::new();
    for down in (0..12_000).step_by(100) {
        let mut fleet = Fleet::start(6, &[0, 1]);
        fleet.run(Duration::from_secs(3));
        fleet.vms.remove(&address(4));
        fleet.run(Duration::from_millis(down));
        let settings = MembershipSettings {
            seeds: vec![address(0), address(1)],
            verify_burst: 64,
            ..MembershipSettings::default()
        };
        let restarted = Vm { incarnation: 400, ..vm(4) };
        fleet.vms.insert(address(4), Membership::new(fleet.now, restarted, settings, 44));
        fleet.run(Duration::from_secs(12));
        let is_superseded = fleet.vms[&address(4)].is_superseded();
        if is_superseded || !fleet.all_see_all() {
            broken.push((down, is_superseded));
        }
    }
    assert!(broken.is_empty(), "{} of 120: {broken:?}", broken.len());
}

/// A VM reads a new configuration. The others must have it within 2 s, which the regular
/// datagrams don't ensure: the VM announces it to the members with an older version, and only
/// to these.
#[test]
fn a_new_version_is_announced_to_members_with_an_older_one() {
    let mut fleet = Fleet::start(4, &[0]);
    fleet.run(Duration::from_secs(2));
    let (now, announcer) = (fleet.now, address(2));
    fleet.vms.get_mut(&announcer).unwrap().set_config_version(7);
    let actions = fleet.vms.get_mut(&announcer).unwrap().announce(now, Vec::new());
    fleet.deliver(announcer, actions);
    fleet.vms.get_mut(&address(0)).unwrap().set_config_version(7);
    let actions = fleet.vms.get_mut(&address(0)).unwrap().announce(now, Vec::new());
    let to: Vec<SocketAddr> = actions
        .iter()
        .filter_map(|action| match action {
            MembershipAction::Send { to, .. } => Some(*to),
            _ => None,
        })
        .collect();
    assert_eq!(to, [address(1), address(3)]);
}

#[test]
fn recipients_get_the_time_of_the_last_platform_response() {
    let mut fleet = Fleet::start(4, &[0]);
    fleet.run(Duration::from_secs(2));
    let responded_at = fleet.now;
    let announcer = fleet.vms.get_mut(&address(2)).unwrap();
    announcer.on_platform_response(responded_at);
    let actions = announcer.announce(responded_at + Duration::from_millis(40), vec![vm(3).name]);
    fleet.deliver(address(2), actions);
    let seen_by = |number: u16| {
        let seen = fleet.vms[&address(number)].member(&vm(2).name).unwrap();
        seen.last_platform_response
    };
    let seen = seen_by(3).expect("VM 3 got the announcement");
    assert!(
        seen <= responded_at && responded_at.since(seen) <= Duration::from_millis(40),
        "{seen:?}"
    );
    assert_eq!(seen_by(1), None);
}

/// A VM is paused for the time after which healthy VMs declare it dead, and another VM takes
/// its shards over. It missed responses before, so its own suspicion time is longer; if it
/// assumed the same for the others, it would continue as an owner besides its successor.
#[test]
fn an_unhealthy_vm_assumes_that_others_are_healthy() {
    let mut fleet = Fleet::start(3, &[0]);
    fleet.run(Duration::from_secs(3));
    let paused = address(1);
    let mut vm = fleet.vms.remove(&paused).unwrap();
    let mut now = fleet.now;
    while vm.local_health_factor() < 3 {
        now += STEP;
        vm.on_tick(now);
        assert!(now.since(fleet.now) < Duration::from_secs(60), "it misses responses");
    }
    let settings = MembershipSettings::default();
    let suspicion_ms = settings.suspicion_intervals * settings.probe_interval_ms as f64;
    let gap = Duration::from_millis(suspicion_ms as u64);
    let resumed = now + gap;
    vm.on_pause(resumed, gap);
    assert_eq!(vm.alive_since(), resumed);
}
