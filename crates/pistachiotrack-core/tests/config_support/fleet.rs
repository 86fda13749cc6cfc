//! A simulated fleet with a platform and a lossy network, in logical time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use pistachiotrack_core::{
    config::Config,
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings},
    membership::{Member, MemberState},
    name::Name,
    time::Time,
    vm::Vm,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{DEPLOYMENT, json, vm};

const STEP: Duration = Duration::from_millis(50);
/// Steps between two reports of a VM's version, as by the membership protocol.
const REPORT_STEPS: u64 = 10;
/// Time after the expected end of a watch at which a VM abandons it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The platform: its current value, and whether it is down.
#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) value: Option<(u64, Vec<u8>)>,
    pub(crate) down: bool,
    pub(crate) calls: u64,
}

/// A VM with its view of the others.
pub(crate) struct Node {
    pub(crate) vm: Vm,
    pub(crate) sync: ConfigSync,
    pub(crate) paused: bool,
    /// Whether the other VMs consider it alive while it is paused.
    pub(crate) is_assumed_alive: bool,
    pub(crate) is_cut_from_platform: bool,
    /// Whether platform calls of a VM that is cut off hang instead of failing immediately.
    pub(crate) drops_platform_calls: bool,
    pub(crate) partition: u8,
    /// Time at which the last response sent has left the VM's link.
    link_free_at: Time,
    watches: Vec<Watch>,
    reported_versions: BTreeMap<u32, u64>,
    /// Times of the platform's last responses to the other VMs, as they reported.
    reported_responses: BTreeMap<u32, Time>,
    last_platform_response: Option<Time>,
    pub(crate) pulls: u64,
    pub(crate) pulled_bytes: u64,
    pub(crate) accepted: Vec<Arc<Config>>,
    pub(crate) rejected: u64,
}

struct Watch {
    after: Option<u64>,
    started: Time,
    is_long_poll: bool,
}

struct Delivery {
    at: Time,
    to: usize,
    event: Event,
}

#[derive(Clone)]
enum Event {
    Report { from: usize, version: u64, last_platform_response: Option<Time> },
    PullRequest { from: usize, request: Vec<u8> },
    PullResponse { from: Name, response: Vec<u8> },
}

/// The simulated fleet.
pub(crate) struct Fleet {
    pub(crate) now: Time,
    /// Logical time between two ticks.
    pub(crate) step_time: Duration,
    pub(crate) nodes: Vec<Node>,
    pub(crate) platform: Platform,
    pub(crate) loss_rate: f64,
    pub(crate) duplicate_rate: f64,
    pub(crate) corruption_rate: f64,
    /// Whether a VM that reads a version reports it to all others immediately.
    pub(crate) announces_changes: bool,
    /// Bandwidth of each VM's link; unlimited if `None`.
    pub(crate) link_bytes_per_second: Option<f64>,
    data_centres: u32,
    settings: ConfigSyncSettings,
    in_flight: Vec<Delivery>,
    rng: Pcg64Mcg,
    step: u64,
}

impl Node {
    /// Returns whether a watch of this VM is pending at the platform.
    pub(crate) fn is_watching(&self) -> bool {
        self.watches.iter().any(|watch| watch.is_long_poll)
    }
}

impl Fleet {
    pub(crate) fn new(
        vms: u32,
        data_centres: u32,
        settings: ConfigSyncSettings,
        seed: u64,
    ) -> Fleet {
        let mut fleet = Fleet {
            now: Time::ZERO,
            step_time: STEP,
            nodes: Vec::new(),
            platform: Platform::default(),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            corruption_rate: 0.0,
            announces_changes: false,
            link_bytes_per_second: None,
            data_centres,
            settings,
            in_flight: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            step: 0,
        };
        for index in 0..vms {
            let node = fleet.new_node(index);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Replaces a VM by a new one with the same name.
    pub(crate) fn restart(&mut self, index: usize) {
        let partition = self.nodes[index].partition;
        self.nodes[index] = self.new_node(index as u32);
        self.nodes[index].partition = partition;
    }

    pub(crate) fn publish(&mut self, config: &Config) {
        self.platform.value = Some((config.version, json(config)));
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `is_done` returns true, and returns the time that it took.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        is_done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !is_done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.step();
        }
        Some(self.now.since(start))
    }

    pub(crate) fn all_have(&self, version: u64) -> bool {
        self.nodes.iter().all(|node| node.sync.version() == Some(version))
    }

    /// Returns the number of watches that are pending at the platform.
    pub(crate) fn pending_watches(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_watching()).count()
    }

    pub(crate) fn step(&mut self) {
        self.now += self.step_time;
        self.step += 1;
        self.deliver();
        self.respond_to_watches();
        for index in 0..self.nodes.len() {
            if !self.nodes[index].paused {
                self.tick(index);
            }
        }
    }

    fn new_node(&mut self, index: u32) -> Node {
        let vm = vm(index, self.data_centres);
        let deployment = Name::from(DEPLOYMENT);
        let seed = self.rng.random();
        let sync = ConfigSync::new(vm.clone(), deployment, self.settings.clone(), seed);
        Node {
            vm,
            sync,
            paused: false,
            is_assumed_alive: false,
            is_cut_from_platform: false,
            drops_platform_calls: false,
            partition: 0,
            link_free_at: Time::ZERO,
            watches: Vec::new(),
            reported_versions: BTreeMap::new(),
            reported_responses: BTreeMap::new(),
            last_platform_response: None,
            pulls: 0,
            pulled_bytes: 0,
            accepted: Vec::new(),
            rejected: 0,
        }
    }

    fn tick(&mut self, index: usize) {
        let members = self.members(index);
        let actions = self.nodes[index].sync.on_tick(self.now, members.iter());
        self.perform(index, actions);
        if (self.step + index as u64).is_multiple_of(REPORT_STEPS) {
            let other = self.rng.random_range(0..self.nodes.len());
            self.report(index, other);
            self.report(other, index);
        }
    }

    fn members(&self, index: usize) -> Vec<Member> {
        let others = (0..self.nodes.len()).filter(|other| *other != index);
        others.map(|other| self.member(index, other)).collect()
    }

    fn member(&self, index: usize, other: usize) -> Member {
        let (me, node) = (&self.nodes[index], &self.nodes[other]);
        let is_reachable =
            me.partition == node.partition && (!node.paused || node.is_assumed_alive);
        Member {
            vm: node.vm.clone(),
            state: if is_reachable { MemberState::Alive } else { MemberState::Dead },
            since: Time::ZERO,
            config_version: me.reported_versions.get(&(other as u32)).copied(),
            last_platform_response: me.reported_responses.get(&(other as u32)).copied(),
            is_cut_off: false,
        }
    }

    fn report(&mut self, from: usize, to: usize) {
        if let Some(version) = self.nodes[from].sync.version()
            && !self.nodes[from].paused
        {
            let last_platform_response = self.nodes[from].last_platform_response;
            self.send(from, to, Event::Report { from, version, last_platform_response });
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        if from == to || self.rng.random_bool(self.loss_rate) {
            return;
        }
        let queue_delay = self.queue_on_link(from, &event);
        let copies = if self.rng.random_bool(self.duplicate_rate) { 2 } else { 1 };
        for copy in 0..copies {
            let delay_ms = if copy == 0 { 1 } else { self.rng.random_range(1..5_000) };
            let at = self.now + queue_delay + Duration::from_millis(delay_ms);
            self.in_flight.push(Delivery { at, to, event: event.clone() });
        }
    }

    /// Reports a VM's version to all others, as the first VM that reads one does.
    pub(crate) fn announce(&mut self, from: usize) {
        for to in 0..self.nodes.len() {
            self.report(from, to);
        }
    }

    fn notify_standbys(&mut self, from: usize) {
        let members = self.members(from);
        for standby in self.nodes[from].sync.standbys(members.iter()) {
            let to = self.nodes.iter().position(|node| node.vm.name == standby);
            self.report(from, to.expect("a known peer"));
        }
    }

    /// Returns the time until a response has left its VM's link.
    fn queue_on_link(&mut self, from: usize, event: &Event) -> Duration {
        let (Some(rate), Event::PullResponse { response, .. }) =
            (self.link_bytes_per_second, event)
        else {
            return Duration::ZERO;
        };
        let node = &mut self.nodes[from];
        let started = node.link_free_at.max(self.now);
        node.link_free_at = started + Duration::from_secs_f64(response.len() as f64 / rate);
        node.link_free_at.since(self.now)
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|it| it.at <= self.now);
        self.in_flight = later;
        for delivery in due {
            self.receive(delivery.to, delivery.event);
        }
    }

    fn receive(&mut self, to: usize, event: Event) {
        if self.nodes[to].paused {
            return;
        }
        match event {
            Event::Report { from, version, last_platform_response } => {
                if self.nodes[from].partition != self.nodes[to].partition {
                    return;
                }
                let peer = self.nodes[from].vm.clone();
                self.nodes[to].reported_versions.insert(from as u32, version);
                self.nodes[to]
                    .reported_responses
                    .extend(last_platform_response.map(|at| (from as u32, at)));
                let actions = self.nodes[to].sync.on_peer_version(self.now, &peer, version);
                self.perform(to, actions);
            }
            Event::PullRequest { from, request } => {
                if self.nodes[from].partition != self.nodes[to].partition {
                    return;
                }
                let response =
                    self.nodes[to].sync.handle_pull(self.now, &request).expect("a valid request");
                let response = self.corrupt(response);
                let event = Event::PullResponse { from: self.nodes[to].vm.name.clone(), response };
                self.send(to, from, event);
            }
            Event::PullResponse { from, response } => {
                self.nodes[to].pulled_bytes += response.len() as u64;
                let actions =
                    self.nodes[to].sync.on_pull_response(self.now, &from, Some(&response));
                self.perform(to, actions);
            }
        }
    }

    fn corrupt(&mut self, mut response: Vec<u8>) -> Vec<u8> {
        if self.rng.random_bool(self.corruption_rate) {
            let at = self.rng.random_range(0..response.len());
            response[at] ^= 1 << self.rng.random_range(0..8);
        }
        response
    }

    fn respond_to_watches(&mut self) {
        let wait = Duration::from_millis(self.settings.watch_timeout_ms);
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.paused {
                continue;
            }
            let Some(watch) = node.watches.pop() else { continue };
            assert!(node.watches.is_empty(), "{} has two watches at once", node.vm.name);
            let max_wait = if watch.is_long_poll { wait } else { Duration::ZERO };
            if node.is_cut_from_platform
                && node.drops_platform_calls
                && self.now.since(watch.started) < max_wait + RESPONSE_TIMEOUT
            {
                node.watches.push(watch);
                continue;
            }
            if self.platform.down || node.is_cut_from_platform {
                node.sync.on_platform_error(self.now);
                continue;
            }
            let newer = self.platform.value.as_ref().filter(|it| Some(it.0) > watch.after);
            let actions = match newer {
                Some((_, value)) => node.sync.on_platform_value(self.now, Some(value)),
                None if !watch.is_long_poll || self.now.since(watch.started) >= wait => {
                    node.sync.on_platform_value(self.now, None)
                }
                None => {
                    node.watches.push(watch);
                    continue;
                }
            };
            self.nodes[index].last_platform_response = Some(self.now);
            let is_newer = actions.iter().any(|it| matches!(it, ConfigAction::Activate(_)));
            self.perform(index, actions);
            if is_newer && self.announces_changes {
                self.announce(index);
            } else {
                self.notify_standbys(index);
            }
        }
    }

    fn perform(&mut self, index: usize, actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::Watch { after } => {
                    self.platform.calls += 1;
                    self.nodes[index].watches.push(Watch {
                        after,
                        started: self.now,
                        is_long_poll: true,
                    });
                }
                ConfigAction::Read { after } => {
                    self.platform.calls += 1;
                    self.nodes[index].watches.push(Watch {
                        after,
                        started: self.now,
                        is_long_poll: false,
                    });
                }
                ConfigAction::Pull { vm, request } => {
                    self.nodes[index].pulls += 1;
                    let to = self.nodes.iter().position(|node| node.vm.name == vm.name);
                    let event = Event::PullRequest { from: index, request };
                    self.send(index, to.expect("a known peer"), event);
                }
                ConfigAction::Activate(config) => self.nodes[index].accepted.push(config),
                ConfigAction::Rejected(_) => self.nodes[index].rejected += 1,
                ConfigAction::Stale { .. } => {}
            }
        }
    }
}
