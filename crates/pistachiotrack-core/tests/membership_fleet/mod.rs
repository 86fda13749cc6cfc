//! Simulation of a small fleet in one process: memberships, ownerships and a queue of
//! datagrams between them, in simulated time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use pistachiotrack_core::{
    config::Config,
    membership::{MemberState, Membership, MembershipAction, MembershipSettings},
    name::Name,
    ownership::{Ownership, OwnershipChange, OwnershipSettings, ShardId, shard_count},
    pause::PauseDetector,
    time::Time,
    vm::{DEFAULT_CAPACITY, ListedVm, Vm, VmList},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(crate) const TICK_MS: u64 = 50;
pub(crate) const START_MS: u64 = 1_000_000;
const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);
const SOCKET_BUFFER: usize = 64;
/// IPv4 and UDP headers.
const PACKET_HEADER_BYTES: usize = 28;

/// Faults and delays of the simulated network.
#[derive(Clone, Debug)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) duplicate: f64,
    pub(crate) delay_ms: std::ops::Range<u64>,
    /// Pairs (from, to) of VM numbers between which all datagrams are lost.
    pub(crate) blocked: HashSet<(usize, usize)>,
}

impl Default for Network {
    fn default() -> Network {
        Network { loss: 0.0, duplicate: 0.0, delay_ms: 1..3, blocked: HashSet::new() }
    }
}

pub(crate) struct Node {
    pub(crate) membership: Membership,
    pub(crate) ownership: Ownership,
    pub(crate) config_versions: Vec<(Name, u64)>,
    pub(crate) sent_bytes: usize,
    pub(crate) received_bytes: usize,
    detector: PauseDetector,
    paused_until: u64,
    buffer: Vec<(SocketAddr, Vec<u8>)>,
}

pub(crate) struct Fleet {
    pub(crate) now_ms: u64,
    pub(crate) network: Network,
    pub(crate) nodes: BTreeMap<usize, Node>,
    pub(crate) config: Config,
    pub(crate) settings: MembershipSettings,
    /// State changes seen: (time, viewer, member, new state).
    pub(crate) state_changes: Vec<(u64, usize, Name, MemberState)>,
    /// Shards that a VM took over before it settled although a settled VM was alive: (time, VM,
    /// shard).
    pub(crate) premature_gains: Vec<(u64, usize, ShardId)>,
    queue: BTreeMap<(u64, u64), (usize, SocketAddr, Vec<u8>)>,
    last_sequence: u64,
    rng: Pcg64Mcg,
}

pub(crate) fn name(number: usize) -> Name {
    Name::from(format!("timeliten-vm-{number:04}"))
}

pub(crate) fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 9101))
}

fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let octets = v4.ip().octets();
            usize::from(octets[2]) << 8 | usize::from(octets[3])
        }
        SocketAddr::V6(_) => unreachable!("the fleet uses IPv4"),
    }
}

pub(crate) fn data_centre(number: usize) -> Name {
    Name::from(format!("oslo-{}", number % 3 + 1))
}

/// Returns the VM with a number, started `started_ms` after the test's epoch.
pub(crate) fn vm(number: usize, started_ms: u64) -> Vm {
    Vm {
        name: name(number),
        data_centre: data_centre(number),
        incarnation: 1_790_000_000_000 + started_ms,
        caller_address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 9001)),
        peer_address: address(number),
        capacity: DEFAULT_CAPACITY,
    }
}

pub(crate) fn vm_list(numbers: impl IntoIterator<Item = usize>, version: u64) -> VmList {
    let vms = numbers
        .into_iter()
        .map(|number| {
            let vm = vm(number, 0);
            ListedVm {
                name: vm.name,
                data_centre: vm.data_centre,
                peer_address: vm.peer_address,
                caller_address: vm.caller_address,
                leaving: false,
            }
        })
        .collect();
    VmList { version, vms }
}

/// Returns a configuration with `services` services, each with six endpoints in three data
/// centres.
pub(crate) fn config(services: usize) -> Config {
    let services: Vec<_> = (0..services)
        .map(|service| {
            let endpoints: Vec<_> = (0..6)
                .map(|endpoint| {
                    serde_json::json!({"name": format!("e-{service}-{endpoint}"),
                        "address": "127.0.0.1:80", "slots": 2,
                        "data_centre": format!("oslo-{}", endpoint % 3 + 1)})
                })
                .collect();
            serde_json::json!({"name": format!("s-{service}"), "floor": 2, "sensitivity": 0.5,
                "timeout_ms": 1000, "endpoints": endpoints})
        })
        .collect();
    let value = serde_json::json!({"version": 1, "deployment": "timeliten", "data_centres": [],
        "services": services, "customers": [], "rules": []});
    serde_json::from_value(value).expect("a valid configuration")
}

impl Fleet {
    /// Creates an empty fleet with a configuration of `services` services.
    pub(crate) fn new(seed: u64, services: usize) -> Fleet {
        Fleet {
            now_ms: START_MS,
            network: Network::default(),
            nodes: BTreeMap::new(),
            config: config(services),
            settings: MembershipSettings {
                deployment: Name::from("timeliten"),
                ..MembershipSettings::default()
            },
            state_changes: Vec::new(),
            premature_gains: Vec::new(),
            queue: BTreeMap::new(),
            last_sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Creates a fleet of `count` VMs that have joined through the platform's list.
    pub(crate) fn settled(count: usize, seed: u64, services: usize) -> Fleet {
        let mut fleet = Fleet::new(seed, services);
        for number in 0..count {
            fleet.start(number);
        }
        fleet.deliver_list(&vm_list(0..count, 1));
        fleet.run_ms(20_000);
        fleet.state_changes.clear();
        fleet
    }

    pub(crate) fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    /// Starts a VM; replaces the one with the same number.
    pub(crate) fn start(&mut self, number: usize) {
        let vm = vm(number, self.now_ms);
        let seed = self.rng.random();
        let now = self.now();
        let node = Node {
            membership: Membership::new(now, vm.clone(), self.settings.clone(), seed),
            ownership: Ownership::new(vm, OwnershipSettings::default()),
            config_versions: Vec::new(),
            sent_bytes: 0,
            received_bytes: 0,
            detector: PauseDetector::new(now, PAUSE_THRESHOLD),
            paused_until: 0,
            buffer: Vec::new(),
        };
        self.nodes.insert(number, node);
    }

    pub(crate) fn crash(&mut self, number: usize) {
        self.nodes.remove(&number);
    }

    pub(crate) fn pause_ms(&mut self, number: usize, gap_ms: u64) {
        let until = self.now_ms + gap_ms;
        if let Some(node) = self.nodes.get_mut(&number) {
            node.paused_until = until;
        }
    }

    pub(crate) fn leave(&mut self, number: usize) {
        let now = self.now();
        let Some(node) = self.nodes.get_mut(&number) else { return };
        let actions = node.membership.leave(now);
        self.perform(number, actions);
    }

    pub(crate) fn set_cut_off(&mut self, number: usize, is_cut_off: bool) {
        let now = self.now();
        let Some(node) = self.nodes.get_mut(&number) else { return };
        let actions = node.membership.set_cut_off(now, is_cut_off);
        self.perform(number, actions);
    }

    pub(crate) fn deliver_list(&mut self, list: &VmList) {
        for number in self.numbers() {
            self.deliver_list_to(number, list);
        }
    }

    pub(crate) fn deliver_list_to(&mut self, number: usize, list: &VmList) {
        let now = self.now();
        let Some(node) = self.nodes.get_mut(&number) else { return };
        let actions = node.membership.on_vm_list(now, list);
        self.perform(number, actions);
    }

    pub(crate) fn numbers(&self) -> Vec<usize> {
        self.nodes.keys().copied().collect()
    }

    /// Blocks all datagrams from any of `from` to any of `to`.
    pub(crate) fn block(&mut self, from: &[usize], to: &[usize]) {
        for a in from {
            self.network.blocked.extend(to.iter().map(|b| (*a, *b)));
        }
    }

    /// Blocks all datagrams between two sides of the fleet.
    pub(crate) fn partition(&mut self, one: &[usize], other: &[usize]) {
        self.block(one, other);
        self.block(other, one);
    }

    pub(crate) fn unblock_all(&mut self) {
        self.network.blocked.clear();
    }

    pub(crate) fn run_ms(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.step();
        }
    }

    /// Runs until `condition` holds; returns the elapsed time in milliseconds.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't hold within `limit_ms`.
    pub(crate) fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Fleet) -> bool) -> u64 {
        let start = self.now_ms;
        while !condition(self) {
            assert!(self.now_ms < start + limit_ms, "the condition doesn't hold in {limit_ms} ms");
            self.step();
        }
        self.now_ms - start
    }

    /// Runs until `condition` holds, for at most `limit_ms`; returns whether it holds.
    pub(crate) fn reaches(&mut self, limit_ms: u64, condition: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.now_ms + limit_ms;
        while !condition(self) && self.now_ms < end {
            self.step();
        }
        condition(self)
    }

    /// Returns whether a VM exists and isn't paused.
    pub(crate) fn is_running(&self, number: usize) -> bool {
        self.nodes.get(&number).is_some_and(|node| node.paused_until <= self.now_ms)
    }

    pub(crate) fn step(&mut self) {
        let end = self.now_ms + TICK_MS;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now_ms = self.now_ms.max(entry.key().0);
            let (to, from, bytes) = entry.remove();
            self.deliver(to, from, bytes);
        }
        self.now_ms = end;
        for number in self.numbers() {
            self.tick(number);
        }
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        let now = self.now();
        let Some(node) = self.nodes.get_mut(&to) else { return };
        node.received_bytes += bytes.len() + PACKET_HEADER_BYTES;
        if node.paused_until > self.now_ms {
            if node.buffer.len() < SOCKET_BUFFER {
                node.buffer.push((from, bytes));
            }
            return;
        }
        let actions = node.membership.on_datagram(now, from, &bytes).expect("a valid datagram");
        self.perform(to, actions);
    }

    fn tick(&mut self, number: usize) {
        let now = self.now();
        let Some(node) = self.nodes.get_mut(&number) else { return };
        if node.paused_until > self.now_ms {
            return;
        }
        if let Some(gap) = node.detector.on_tick(now) {
            node.membership.on_pause(now, gap);
        }
        let buffer = std::mem::take(&mut node.buffer);
        for (from, bytes) in buffer {
            let Some(node) = self.nodes.get_mut(&number) else { return };
            let actions = node.membership.on_datagram(now, from, &bytes).expect("valid");
            self.perform(number, actions);
        }
        let Some(node) = self.nodes.get_mut(&number) else { return };
        let actions = node.membership.on_tick(now);
        node.ownership.set_leaving(node.membership.is_leaving());
        node.ownership.set_alive_since(node.membership.alive_since());
        let changes = node.ownership.update(now, &self.config, node.membership.members());
        let settled_other = node.membership.members().any(|member| {
            member.state == MemberState::Alive && node.ownership.is_settled(&member.vm.name)
        });
        if settled_other && !node.ownership.is_settled(&name(number)) {
            let gained = changes.into_iter().filter_map(|change| match change {
                OwnershipChange::Gained(shard) => Some((self.now_ms, number, shard)),
                OwnershipChange::Lost { .. } => None,
            });
            self.premature_gains.extend(gained);
        }
        self.perform(number, actions);
    }

    fn perform(&mut self, number: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, bytes } => self.send(number, to, bytes),
                MembershipAction::StateChanged { vm } => {
                    let state = self.state(number, &vm).expect("a changed member is known");
                    self.state_changes.push((self.now_ms, number, vm, state));
                }
                MembershipAction::ConfigVersion { vm, version } => {
                    if let Some(node) = self.nodes.get_mut(&number) {
                        node.config_versions.push((vm, version));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        if let Some(node) = self.nodes.get_mut(&from) {
            node.sent_bytes += bytes.len() + PACKET_HEADER_BYTES;
        }
        let to = number(to);
        if self.network.blocked.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplicate));
        for _ in 0..copies {
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let delay = self.rng.random_range(self.network.delay_ms.clone());
            self.last_sequence += 1;
            let due_at = (self.now_ms + delay, self.last_sequence);
            self.queue.insert(due_at, (to, address(from), bytes.clone()));
        }
    }

    pub(crate) fn state(&self, viewer: usize, member: &Name) -> Option<MemberState> {
        let membership = &self.nodes.get(&viewer)?.membership;
        membership.member(member).map(|member| member.state)
    }

    /// Returns the VMs that `viewer` considers alive, including itself.
    pub(crate) fn alive_seen_by(&self, viewer: usize) -> BTreeSet<Name> {
        let membership = &self.nodes[&viewer].membership;
        membership
            .members()
            .filter(|member| member.state == MemberState::Alive)
            .map(|member| member.vm.name.clone())
            .chain([name(viewer)])
            .collect()
    }

    /// Returns whether each of `viewers` considers exactly `viewers` alive.
    pub(crate) fn agree_on(&self, viewers: &[usize]) -> bool {
        let expected: BTreeSet<Name> = viewers.iter().map(|number| name(*number)).collect();
        viewers.iter().all(|viewer| self.alive_seen_by(*viewer) == expected)
    }

    /// Returns whether all of `viewers` see `member` in `state`.
    pub(crate) fn all_see(&self, viewers: &[usize], member: usize, state: MemberState) -> bool {
        viewers
            .iter()
            .filter(|viewer| **viewer != member)
            .all(|viewer| self.state(*viewer, &name(member)) == Some(state))
    }

    pub(crate) fn shards(&self) -> Vec<ShardId> {
        let services = self.config.services.iter();
        services
            .flat_map(|service| {
                (0..shard_count(service))
                    .map(|index| ShardId { service: service.name.clone(), index })
            })
            .collect()
    }

    /// Returns whether all of `viewers` compute the same owners for all shards.
    pub(crate) fn agree_on_owners(&self, viewers: &[usize]) -> bool {
        self.shards().iter().all(|shard| {
            let mut owners: HashMap<Option<&Name>, usize> = HashMap::new();
            for viewer in viewers {
                let owner = self.nodes[viewer].ownership.owner(shard).map(|vm| &vm.name);
                *owners.entry(owner).or_default() += 1;
            }
            owners.len() == 1 && !owners.contains_key(&None)
        })
    }
}
