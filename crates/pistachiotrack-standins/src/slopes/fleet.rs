//! Simulates the VMs of one deployment in one process: the production
//! membership and configuration distribution, an event queue in logical time,
//! and a platform that counts its reads.

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

/// Time between two steps of the simulation.
const STEP_MS: u64 = 10;
/// Time between two ticks of a VM's membership and configuration, as in the
/// daemon.
const TICK_MS: u64 = 100;
/// One-way latency between VMs.
const LATENCY: Duration = Duration::from_millis(1);
/// Time after which a pull without a response fails.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes that IP and UDP add to a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Bytes that IP, TCP and framing add to each segment of a pull's request or
/// response.
const SEGMENT_HEADER_BYTES: u64 = 52;
/// Payload bytes of one TCP segment.
const SEGMENT_BYTES: u64 = 1_448;

/// Settings of a simulated fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    /// Number of VMs.
    pub(crate) vms: usize,
    /// Fraction of datagrams lost.
    pub(crate) loss: f64,
    /// Reads per second that the platform serves for this deployment.
    pub(crate) platform_reads_per_s: f64,
    /// Value that the platform holds at the start.
    pub(crate) value: Arc<[u8]>,
    /// Seed of the packet loss and of every VM's random choices.
    pub(crate) seed: u64,
}

/// Messages and bytes of one VM, sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    /// Membership datagrams.
    pub(crate) datagrams: u64,
    /// Bytes of membership datagrams with their headers.
    pub(crate) datagram_bytes: u64,
    /// Requests and responses of configuration pulls.
    pub(crate) pulls: u64,
    /// Bytes of pulls with their headers.
    pub(crate) pull_bytes: u64,
    /// Bytes read from the platform.
    pub(crate) platform_bytes: u64,
}

impl Traffic {
    fn add_datagram(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.datagram_bytes += bytes as u64 + DATAGRAM_HEADER_BYTES;
    }

    fn add_pull_message(&mut self, bytes: usize) {
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
    pub(crate) is_running: bool,
    /// Network partition that it is in; VMs of different partitions can't reach each other.
    pub(crate) partition: u8,
    /// Traffic that it has sent and received.
    pub(crate) traffic: Traffic,
}

enum Event {
    Datagram { from: SocketAddr, bytes: Vec<u8> },
    PullRequest { from: usize, request: Vec<u8> },
    PullResponse { peer: Name, response: Option<Vec<u8>> },
    PlatformValue(Option<Arc<[u8]>>),
    ListReadDue,
    ListResponse,
}

/// The VMs, the network between them and the platform.
pub(crate) struct Fleet {
    /// Current logical time.
    pub(crate) now: Time,
    /// The VMs.
    pub(crate) nodes: Vec<Node>,
    /// The platform.
    pub(crate) platform: Platform,
    settings: FleetSettings,
    index_by_address: FxHashMap<SocketAddr, usize>,
    index_by_name: FxHashMap<Name, usize>,
    events: BTreeMap<(Time, u64), (usize, Event)>,
    scheduled_events: u64,
    rng: Pcg64Mcg,
    datagram_cpu: Duration,
    tick_cpu: Duration,
}

impl Fleet {
    /// Starts all VMs at once; each reads the platform's VM list after its own initial delay.
    pub(crate) fn start(settings: FleetSettings) -> Fleet {
        let platform = Platform::new(settings.platform_reads_per_s, Arc::clone(&settings.value));
        let mut fleet = Fleet {
            now: Time::from_millis(1),
            nodes: Vec::new(),
            platform,
            index_by_address: FxHashMap::default(),
            index_by_name: FxHashMap::default(),
            events: BTreeMap::new(),
            scheduled_events: 0,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            datagram_cpu: Duration::ZERO,
            tick_cpu: Duration::ZERO,
            settings,
        };
        for index in 0..fleet.settings.vms {
            let vm = sample::vm(index);
            fleet.index_by_address.insert(vm.peer_address, index);
            fleet.index_by_name.insert(vm.name.clone(), index);
            let node = fleet.new_node(vm, index);
            fleet.nodes.push(node);
        }
        for index in 0..fleet.nodes.len() {
            fleet.schedule_list_read(index);
        }
        fleet
    }

    /// Replaces a VM by a new one of the same name, which has no state until it reads the VM list.
    pub(crate) fn replace(&mut self, index: usize) {
        let mut vm = self.nodes[index].vm.clone();
        vm.incarnation += 1 + self.now.as_millis();
        let traffic = self.nodes[index].traffic;
        self.platform.remove_watch(index);
        self.nodes[index] = Node { traffic, ..self.new_node(vm, index) };
        self.schedule_list_read(index);
    }

    /// Advances the simulation by `time`.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` returns true and returns the time it took, or `None` if `limit` passes
    /// first.
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

    /// Returns whether every running VM considers alive exactly those VMs that run
    /// in its network partition.
    pub(crate) fn has_converged(&self) -> bool {
        self.nodes.iter().filter(|node| node.is_running).all(|node| {
            let alive = node
                .membership
                .members()
                .filter(|member| member.state == MemberState::Alive)
                .map(|member| self.index_by_name[&member.vm.name]);
            let mut alive_count = 0;
            for index in alive {
                let other = &self.nodes[index];
                if !other.is_running || other.partition != node.partition {
                    return false;
                }
                alive_count += 1;
            }
            let is_reachable =
                |other: &&Node| other.is_running && other.partition == node.partition;
            alive_count + 1 == self.nodes.iter().filter(is_reachable).count()
        })
    }

    /// Returns whether every running VM has `version` or a newer one active.
    pub(crate) fn has_active_version(&self, version: u64) -> bool {
        self.nodes
            .iter()
            .filter(|node| node.is_running)
            .all(|node| node.sync.version().is_some_and(|active| active >= version))
    }

    /// Publishes a new value on the platform.
    pub(crate) fn publish(&mut self, version: u64, value: Arc<[u8]>) {
        for index in self.platform.publish(version, Arc::clone(&value)) {
            self.schedule(index, LATENCY * 4, Event::PlatformValue(Some(Arc::clone(&value))));
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
            is_running: true,
            partition: 0,
            traffic: Traffic::default(),
        }
    }

    /// Schedules the first read of the VM list. Later reads aren't simulated: they return nothing
    /// while the list doesn't change.
    fn schedule_list_read(&mut self, index: usize) {
        let vms = self.settings.vms as u32;
        let settings =
            ConfigSyncSettings { assumed_fleet_vms: vms, ..ConfigSyncSettings::default() };
        let delay = ListReadSchedule::new(settings, self.rng.random()).first_delay();
        self.schedule(index, delay, Event::ListReadDue);
    }

    fn receive_list(&mut self, index: usize) {
        let list = sample::vm_list(self.settings.vms);
        self.nodes[index].sync.on_listed_vms(list.vms.len());
        let actions = self.nodes[index].membership.on_vm_list(self.now, &list);
        self.perform_membership(index, actions);
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(STEP_MS);
        self.deliver_due();
        for index in self.platform.expire_watches(self.now) {
            self.schedule(index, LATENCY, Event::PlatformValue(None));
        }
        self.tick_due();
    }

    /// Delivers the events that are due. Datagrams are processed in one batch, so that reading the
    /// clock adds little to their measured time.
    fn deliver_due(&mut self) {
        let mut datagrams = Vec::new();
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, event) = entry.remove();
            match event {
                _ if !self.nodes[to].is_running => {}
                Event::Datagram { from, bytes } => datagrams.push((to, from, bytes)),
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
            self.nodes[*to].traffic.add_datagram(bytes.len());
        }
        for (to, actions) in actions {
            self.perform_membership(to, actions);
        }
    }

    fn tick_due(&mut self) {
        let phases = (TICK_MS / STEP_MS) as usize;
        let phase = (self.now.as_millis() / STEP_MS) as usize % phases;
        let due: Vec<usize> = (phase..self.nodes.len())
            .step_by(phases)
            .filter(|at| self.nodes[*at].is_running)
            .collect();
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

    fn deliver(&mut self, to: usize, event: Event) {
        match event {
            Event::Datagram { .. } => unreachable!("datagrams are delivered in batches"),
            Event::PullRequest { from, request } => {
                self.nodes[to].traffic.add_pull_message(request.len());
                let response = self.nodes[to].sync.handle_pull(self.now, &request).ok();
                self.nodes[to].traffic.add_pull_message(response.as_ref().map_or(0, Vec::len));
                let peer = self.nodes[to].vm.name.clone();
                self.schedule(from, LATENCY, Event::PullResponse { peer, response });
            }
            Event::PullResponse { peer, response } => {
                let node = &mut self.nodes[to];
                node.traffic.add_pull_message(response.as_ref().map_or(0, Vec::len));
                let actions = node.sync.on_pull_response(self.now, &peer, response.as_deref());
                self.perform_config(to, actions);
            }
            Event::ListReadDue => {
                let delay = self.platform.read_list(self.now);
                self.schedule(to, delay + LATENCY * 4, Event::ListResponse);
            }
            Event::ListResponse => self.receive_list(to),
            Event::PlatformValue(value) => {
                let response_bytes = self.platform.response_bytes();
                let node = &mut self.nodes[to];
                node.traffic.platform_bytes += value.as_ref().map_or(0, |_| response_bytes);
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
                    let Some(peer) =
                        self.index_by_name.get(&vm).map(|peer| self.nodes[*peer].vm.clone())
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
            self.schedule(index, delay + LATENCY * 4, Event::PlatformValue(Some(value)));
        }
    }

    fn pull(&mut self, index: usize, peer: &Vm, request: Vec<u8>) {
        self.nodes[index].traffic.add_pull_message(request.len());
        let to = self.index_by_name[&peer.name];
        let is_reachable =
            self.nodes[to].is_running && self.nodes[to].partition == self.nodes[index].partition;
        if is_reachable {
            self.schedule(to, LATENCY, Event::PullRequest { from: index, request });
        } else {
            let failed = Event::PullResponse { peer: peer.name.clone(), response: None };
            self.schedule(index, RESPONSE_TIMEOUT, failed);
        }
    }

    fn send_datagram(&mut self, index: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.nodes[index].traffic.add_datagram(bytes.len());
        let Some(to) = self.index_by_address.get(&to).copied() else { return };
        if self.nodes[to].partition != self.nodes[index].partition
            || self.rng.random_bool(self.settings.loss)
        {
            return;
        }
        let from = self.nodes[index].vm.peer_address;
        self.schedule(to, LATENCY, Event::Datagram { from, bytes });
    }

    fn schedule(&mut self, to: usize, delay: Duration, event: Event) {
        self.scheduled_events += 1;
        self.events.insert((self.now + delay, self.scheduled_events), (to, event));
    }
}
