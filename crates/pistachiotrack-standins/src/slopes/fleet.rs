//! A few VMs of one deployment in one process: the real membership and the
//! real spread of the configuration, a queue of messages in logical time, and
//! a platform that counts its reads.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use cpu_time::ThreadTime;
use pistachiotrack_core::{
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings, ListReadSchedule},
    membership::{MemberState, Membership, MembershipAction, MembershipSettings},
    name::Name,
    time::Time,
    vm::Vm,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use super::{platform::Platform, sample};

/// Time between two steps of the loop.
const STEP_MS: u64 = 10;
/// Time between two ticks of a VM's membership and configuration, as in the
/// daemon.
const TICK_MS: u64 = 100;
/// One-way latency between VMs.
const LATENCY: Duration = Duration::from_millis(1);
/// Time after which an answer that does not come is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes that IP and UDP add to a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Bytes that IP, TCP and framing add to a pull's question or answer, and to
/// each segment of it.
const SEGMENT_HEADER_BYTES: u64 = 52;
/// Payload of one segment.
const SEGMENT_BYTES: u64 = 1_448;

/// How the fleet behaves.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    /// VMs.
    pub(crate) vms: usize,
    /// Share of datagrams lost.
    pub(crate) loss: f64,
    /// Reads a second that the platform answers this deployment.
    pub(crate) platform_reads_per_s: f64,
    /// Value that the platform holds at the start.
    pub(crate) value: Arc<[u8]>,
    /// Seed of losses and of every VM's choices.
    pub(crate) seed: u64,
}

/// Messages and bytes of one VM, sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    /// Membership datagrams.
    pub(crate) datagrams: u64,
    /// Bytes of membership datagrams with their headers.
    pub(crate) datagram_bytes: u64,
    /// Pulls of the configuration.
    pub(crate) pulls: u64,
    /// Bytes of pulls with their headers.
    pub(crate) pull_bytes: u64,
    /// Bytes read from the platform.
    pub(crate) platform_bytes: u64,
}

impl Traffic {
    fn datagram(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.datagram_bytes += bytes as u64 + DATAGRAM_HEADER_BYTES;
    }

    fn pull(&mut self, bytes: usize) {
        let segments = (bytes as u64).div_ceil(SEGMENT_BYTES).max(1);
        self.pulls += 1;
        self.pull_bytes += bytes as u64 + segments * SEGMENT_HEADER_BYTES;
    }
}

/// One VM.
#[derive(Debug)]
pub(crate) struct Node {
    /// The VM.
    pub(crate) vm: Vm,
    /// Its membership.
    pub(crate) membership: Membership,
    /// Its configuration.
    pub(crate) sync: ConfigSync,
    /// Whether it runs.
    pub(crate) up: bool,
    /// Part of the network that it is in; parts don't hear each other.
    pub(crate) part: u8,
    /// What it sent and received.
    pub(crate) traffic: Traffic,
}

enum Parcel {
    Datagram { from: SocketAddr, bytes: Vec<u8> },
    PullRequest { from: usize, request: Vec<u8> },
    PullAnswer { peer: Name, answer: Option<Vec<u8>> },
    Value(Option<Arc<[u8]>>),
    ListDue,
    List,
}

/// The VMs, the network between them and the platform.
pub(crate) struct Fleet {
    /// Time of the loop.
    pub(crate) now: Time,
    /// The VMs.
    pub(crate) nodes: Vec<Node>,
    /// The platform.
    pub(crate) platform: Platform,
    settings: FleetSettings,
    places: FxHashMap<SocketAddr, usize>,
    names: FxHashMap<Name, usize>,
    parcels: BTreeMap<(Time, u64), (usize, Parcel)>,
    sent: u64,
    rng: Pcg64Mcg,
    datagram_cpu: Duration,
    tick_cpu: Duration,
}

impl Fleet {
    /// Starts all VMs at once; each reads the platform's list of VMs at its time.
    pub(crate) fn start(settings: FleetSettings) -> Fleet {
        let platform = Platform::new(settings.platform_reads_per_s, Arc::clone(&settings.value));
        let mut fleet = Fleet {
            now: Time::from_millis(1),
            nodes: Vec::new(),
            platform,
            places: FxHashMap::default(),
            names: FxHashMap::default(),
            parcels: BTreeMap::new(),
            sent: 0,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            datagram_cpu: Duration::ZERO,
            tick_cpu: Duration::ZERO,
            settings,
        };
        for index in 0..fleet.settings.vms {
            let vm = sample::vm(index);
            fleet.places.insert(vm.peer_address, index);
            fleet.names.insert(vm.name.clone(), index);
            let node = fleet.new_node(vm, index);
            fleet.nodes.push(node);
        }
        for index in 0..fleet.nodes.len() {
            fleet.start_list(index);
        }
        fleet
    }

    /// Replaces a VM by a new one of the same name, with nothing but the list.
    pub(crate) fn replace(&mut self, index: usize) {
        let mut vm = self.nodes[index].vm.clone();
        vm.incarnation += 1 + self.now.as_millis();
        let traffic = self.nodes[index].traffic;
        self.platform.forget(index);
        self.nodes[index] = Node { traffic, ..self.new_node(vm, index) };
        self.start_list(index);
    }

    /// Runs the loop for a while.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` holds and returns the time it took; `None` if it does
    /// not hold within `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            self.step();
            if done(self) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// Returns whether every running VM sees as alive just those VMs that run
    /// in its part of the network.
    pub(crate) fn settled(&self) -> bool {
        self.nodes.iter().filter(|node| node.up).all(|node| {
            let alive = node
                .membership
                .members()
                .filter(|member| member.state == MemberState::Alive)
                .map(|member| self.names[&member.vm.name]);
            let mut seen = 0;
            for index in alive {
                let other = &self.nodes[index];
                if !other.up || other.part != node.part {
                    return false;
                }
                seen += 1;
            }
            let there = |other: &&Node| other.up && other.part == node.part;
            seen + 1 == self.nodes.iter().filter(there).count()
        })
    }

    /// Returns whether a version is in force on every running VM.
    pub(crate) fn in_force(&self, version: u64) -> bool {
        self.nodes
            .iter()
            .filter(|node| node.up)
            .all(|node| node.sync.version().is_some_and(|held| held >= version))
    }

    /// Publishes a new value on the platform.
    pub(crate) fn publish(&mut self, version: u64, value: Arc<[u8]>) {
        for index in self.platform.publish(version, Arc::clone(&value)) {
            self.send(index, LATENCY * 4, Parcel::Value(Some(Arc::clone(&value))));
        }
    }

    /// Returns the sum of all traffic so far.
    pub(crate) fn traffic(&self) -> Traffic {
        self.nodes.iter().fold(Traffic::default(), |sum, node| Traffic {
            datagrams: sum.datagrams + node.traffic.datagrams,
            datagram_bytes: sum.datagram_bytes + node.traffic.datagram_bytes,
            pulls: sum.pulls + node.traffic.pulls,
            pull_bytes: sum.pull_bytes + node.traffic.pull_bytes,
            platform_bytes: sum.platform_bytes + node.traffic.platform_bytes,
        })
    }

    /// Returns the processor time of all memberships' datagrams so far.
    pub(crate) fn datagram_cpu(&self) -> Duration {
        self.datagram_cpu
    }

    /// Returns the processor time of all memberships' ticks so far.
    pub(crate) fn tick_cpu(&self) -> Duration {
        self.tick_cpu
    }

    fn new_node(&self, vm: Vm, index: usize) -> Node {
        let seed = self.settings.seed.wrapping_mul(1_000_003) + index as u64;
        let deployment = sample::deployment_name();
        Node {
            membership: Membership::new(self.now, vm.clone(), MembershipSettings::default(), seed),
            sync: ConfigSync::new(vm.clone(), deployment, ConfigSyncSettings::default(), seed),
            vm,
            up: true,
            part: 0,
            traffic: Traffic::default(),
        }
    }

    /// Begins the first read of the list. Later ones are left out: they bring
    /// nothing while the list doesn't change.
    fn start_list(&mut self, index: usize) {
        let vms = self.settings.vms as u32;
        let settings =
            ConfigSyncSettings { assumed_fleet_vms: vms, ..ConfigSyncSettings::default() };
        let wait = ListReadSchedule::new(settings, self.rng.random()).first_delay();
        self.send(index, wait, Parcel::ListDue);
    }

    fn take_list(&mut self, index: usize) {
        let list = sample::vm_list(self.settings.vms);
        self.nodes[index].sync.on_listed_vms(list.vms.len());
        let actions = self.nodes[index].membership.on_vm_list(self.now, &list);
        self.perform_membership(index, actions);
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(STEP_MS);
        self.deliver_due();
        for index in self.platform.due(self.now) {
            self.send(index, LATENCY, Parcel::Value(None));
        }
        self.tick_due();
    }

    /// Hands over what has arrived; datagrams in one batch, so that reading
    /// the clock costs little beside them.
    fn deliver_due(&mut self) {
        let mut datagrams = Vec::new();
        while let Some(entry) = self.parcels.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, parcel) = entry.remove();
            match parcel {
                _ if !self.nodes[to].up => {}
                Parcel::Datagram { from, bytes } => datagrams.push((to, from, bytes)),
                other => self.deliver(to, other),
            }
        }
        let start = ThreadTime::now();
        let mut actions = Vec::with_capacity(datagrams.len());
        for (to, from, bytes) in &datagrams {
            let result = self.nodes[*to].membership.on_datagram(self.now, *from, bytes);
            actions.push((*to, result.expect("VMs encode what they decode")));
        }
        self.datagram_cpu += start.elapsed();
        for (to, _, bytes) in &datagrams {
            self.nodes[*to].traffic.datagram(bytes.len());
        }
        for (to, actions) in actions {
            self.perform_membership(to, actions);
        }
    }

    fn tick_due(&mut self) {
        let phases = (TICK_MS / STEP_MS) as usize;
        let phase = (self.now.as_millis() / STEP_MS) as usize % phases;
        let due: Vec<usize> =
            (phase..self.nodes.len()).step_by(phases).filter(|at| self.nodes[*at].up).collect();
        let start = ThreadTime::now();
        let mut actions = Vec::with_capacity(due.len());
        for index in &due {
            actions.push((*index, self.nodes[*index].membership.on_tick(self.now)));
        }
        self.tick_cpu += start.elapsed();
        for (index, actions) in actions {
            self.perform_membership(index, actions);
            let node = &mut self.nodes[index];
            let actions = node.sync.on_tick(self.now, node.membership.members());
            self.perform_config(index, actions);
        }
    }

    fn deliver(&mut self, to: usize, parcel: Parcel) {
        match parcel {
            Parcel::Datagram { .. } => unreachable!("datagrams are handed over in batches"),
            Parcel::PullRequest { from, request } => {
                self.nodes[to].traffic.pull(request.len());
                let answer = self.nodes[to].sync.handle_pull(self.now, &request).ok();
                self.nodes[to].traffic.pull(answer.as_ref().map_or(0, Vec::len));
                let peer = self.nodes[to].vm.name.clone();
                self.send(from, LATENCY, Parcel::PullAnswer { peer, answer });
            }
            Parcel::PullAnswer { peer, answer } => {
                let node = &mut self.nodes[to];
                node.traffic.pull(answer.as_ref().map_or(0, Vec::len));
                let actions = node.sync.on_pull_response(self.now, &peer, answer.as_deref());
                self.perform_config(to, actions);
            }
            Parcel::ListDue => {
                let delay = self.platform.read_list(self.now);
                self.send(to, delay + LATENCY * 4, Parcel::List);
            }
            Parcel::List => self.take_list(to),
            Parcel::Value(value) => {
                let answer_bytes = self.platform.answer_bytes();
                let node = &mut self.nodes[to];
                node.traffic.platform_bytes += value.as_ref().map_or(0, |_| answer_bytes);
                let actions = node.sync.on_platform_value(self.now, value.as_deref());
                node.membership.on_platform_response(self.now);
                self.perform_config(to, actions);
                let node = &mut self.nodes[to];
                let standbys = node.sync.standbys(node.membership.members());
                let actions = node.membership.announce(self.now, standbys);
                self.perform_membership(to, actions);
            }
        }
    }

    fn perform_membership(&mut self, index: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, bytes } => self.send_datagram(index, to, bytes),
                MembershipAction::ConfigVersion { vm, version } => {
                    let Some(peer) = self.names.get(&vm).map(|peer| self.nodes[*peer].vm.clone())
                    else {
                        continue;
                    };
                    let sync = &mut self.nodes[index].sync;
                    let actions = sync.on_peer_version(self.now, &peer, version);
                    self.perform_config(index, actions);
                }
                _ => {}
            }
        }
    }

    fn perform_config(&mut self, index: usize, actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::Watch { after } => {
                    self.watch(index, after, ConfigSyncSettings::default().watch_timeout_ms);
                }
                ConfigAction::Read { after } => self.watch(index, after, 0),
                ConfigAction::Pull { vm, request } => self.pull(index, &vm, request),
                ConfigAction::Activate(config) => {
                    self.nodes[index].membership.set_config_version(config.version);
                }
                ConfigAction::Rejected(error) => panic!("the sample is valid: {error}"),
                _ => {}
            }
        }
    }

    fn watch(&mut self, index: usize, after: Option<u64>, wait_ms: u64) {
        let end = self.now + Duration::from_millis(wait_ms);
        if let Some((delay, value)) = self.platform.watch(self.now, index, after, end) {
            self.send(index, delay + LATENCY * 4, Parcel::Value(Some(value)));
        }
    }

    fn pull(&mut self, index: usize, peer: &Vm, request: Vec<u8>) {
        self.nodes[index].traffic.pull(request.len());
        let to = self.names[&peer.name];
        let reached = self.nodes[to].up && self.nodes[to].part == self.nodes[index].part;
        if reached {
            self.send(to, LATENCY, Parcel::PullRequest { from: index, request });
        } else {
            let lost = Parcel::PullAnswer { peer: peer.name.clone(), answer: None };
            self.send(index, ANSWER_TIMEOUT, lost);
        }
    }

    fn send_datagram(&mut self, index: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.nodes[index].traffic.datagram(bytes.len());
        let Some(to) = self.places.get(&to).copied() else { return };
        if self.nodes[to].part != self.nodes[index].part || self.rng.random_bool(self.settings.loss)
        {
            return;
        }
        let from = self.nodes[index].vm.peer_address;
        self.send(to, LATENCY, Parcel::Datagram { from, bytes });
    }

    fn send(&mut self, to: usize, delay: Duration, parcel: Parcel) {
        self.sent += 1;
        self.parcels.insert((self.now + delay, self.sent), (to, parcel));
    }
}
