//! A few VMs with a platform and a lossy network between them, in logical time.

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
/// Steps between two reports of a VM's version, as in the membership.
const REPORT_STEPS: u64 = 10;
/// Time after the end of a watch at which a VM gives up an answer that doesn't come.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The platform: what it shows and whether it answers.
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
    /// Whether the others take it for alive while it is paused.
    pub(crate) is_taken_for_alive: bool,
    pub(crate) cut_from_platform: bool,
    /// Whether calls of a VM that is cut off hang instead of failing at once.
    pub(crate) is_cut_silently: bool,
    pub(crate) side: u8,
    /// Moment at which the last answer sent has left the VM's link.
    link_free_at: Time,
    watches: Vec<Watch>,
    heard: BTreeMap<u32, u64>,
    /// When the platform last answered the others, as far as they told.
    answered: BTreeMap<u32, Time>,
    platform_answered: Option<Time>,
    pub(crate) pulls: u64,
    pub(crate) pulled_bytes: u64,
    pub(crate) accepted: Vec<Arc<Config>>,
    pub(crate) rejected: u64,
}

struct Watch {
    after: Option<u64>,
    begun: Time,
    waits: bool,
}

struct Delivery {
    at: Time,
    to: usize,
    event: Event,
}

#[derive(Clone)]
enum Event {
    Report { from: usize, version: u64, platform_answered: Option<Time> },
    Question { from: usize, request: Vec<u8> },
    Answer { from: Name, answer: Vec<u8> },
}

/// The fleet under test.
pub(crate) struct Fleet {
    pub(crate) now: Time,
    /// Logical time between two ticks.
    pub(crate) step_time: Duration,
    pub(crate) nodes: Vec<Node>,
    pub(crate) platform: Platform,
    pub(crate) loss: f64,
    pub(crate) duplicate: f64,
    pub(crate) corrupt: f64,
    /// Whether a VM that reads a version tells all others at once.
    pub(crate) announces: bool,
    /// What each VM's link carries; without limit if `None`.
    pub(crate) link_bytes_per_second: Option<f64>,
    data_centres: u32,
    settings: ConfigSyncSettings,
    in_flight: Vec<Delivery>,
    rng: Pcg64Mcg,
    step: u64,
}

impl Node {
    /// Returns whether a watch of this VM waits at the platform.
    pub(crate) fn is_watching(&self) -> bool {
        self.watches.iter().any(|watch| watch.waits)
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
            loss: 0.0,
            duplicate: 0.0,
            corrupt: 0.0,
            announces: false,
            link_bytes_per_second: None,
            data_centres,
            settings,
            in_flight: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            step: 0,
        };
        for index in 0..vms {
            let node = fleet.fresh_node(index);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Replaces a VM by a new one under the same name.
    pub(crate) fn restart(&mut self, index: usize) {
        let side = self.nodes[index].side;
        self.nodes[index] = self.fresh_node(index as u32);
        self.nodes[index].side = side;
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

    /// Runs until `done` holds, and returns the time it took.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.step();
        }
        Some(self.now.since(start))
    }

    pub(crate) fn all_hold(&self, version: u64) -> bool {
        self.nodes.iter().all(|node| node.sync.version() == Some(version))
    }

    /// Returns how many watches wait at the platform.
    pub(crate) fn waiting(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_watching()).count()
    }

    pub(crate) fn step(&mut self) {
        self.now += self.step_time;
        self.step += 1;
        self.deliver();
        self.answer_watches();
        for index in 0..self.nodes.len() {
            if !self.nodes[index].paused {
                self.tick(index);
            }
        }
    }

    fn fresh_node(&mut self, index: u32) -> Node {
        let vm = vm(index, self.data_centres);
        let deployment = Name::from(DEPLOYMENT);
        let seed = self.rng.random();
        let sync = ConfigSync::new(vm.clone(), deployment, self.settings.clone(), seed);
        Node {
            vm,
            sync,
            paused: false,
            is_taken_for_alive: false,
            cut_from_platform: false,
            is_cut_silently: false,
            side: 0,
            link_free_at: Time::ZERO,
            watches: Vec::new(),
            heard: BTreeMap::new(),
            answered: BTreeMap::new(),
            platform_answered: None,
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
        let reachable = me.side == node.side && (!node.paused || node.is_taken_for_alive);
        Member {
            vm: node.vm.clone(),
            state: if reachable { MemberState::Alive } else { MemberState::Dead },
            since: Time::ZERO,
            config_version: me.heard.get(&(other as u32)).copied(),
            platform_answered: me.answered.get(&(other as u32)).copied(),
        }
    }

    fn report(&mut self, from: usize, to: usize) {
        if let Some(version) = self.nodes[from].sync.version()
            && !self.nodes[from].paused
        {
            let platform_answered = self.nodes[from].platform_answered;
            self.send(from, to, Event::Report { from, version, platform_answered });
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        if from == to || self.rng.random_bool(self.loss) {
            return;
        }
        let queued = self.queue_on_link(from, &event);
        let copies = if self.rng.random_bool(self.duplicate) { 2 } else { 1 };
        for copy in 0..copies {
            let late_ms = if copy == 0 { 1 } else { self.rng.random_range(1..5_000) };
            let at = self.now + queued + Duration::from_millis(late_ms);
            self.in_flight.push(Delivery { at, to, event: event.clone() });
        }
    }

    /// Has a VM tell all others of its version, as the first that reads one does.
    pub(crate) fn announce(&mut self, from: usize) {
        for to in 0..self.nodes.len() {
            self.report(from, to);
        }
    }

    fn tell_standbys(&mut self, from: usize) {
        let members = self.members(from);
        for standby in self.nodes[from].sync.standbys(members.iter()) {
            let to = self.nodes.iter().position(|node| node.vm.name == standby);
            self.report(from, to.expect("a known peer"));
        }
    }

    /// Returns how long an answer takes to leave its VM's link.
    fn queue_on_link(&mut self, from: usize, event: &Event) -> Duration {
        let (Some(rate), Event::Answer { answer, .. }) = (self.link_bytes_per_second, event) else {
            return Duration::ZERO;
        };
        let node = &mut self.nodes[from];
        let begun = node.link_free_at.max(self.now);
        node.link_free_at = begun + Duration::from_secs_f64(answer.len() as f64 / rate);
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
            Event::Report { from, version, platform_answered } => {
                if self.nodes[from].side != self.nodes[to].side {
                    return;
                }
                let peer = self.nodes[from].vm.clone();
                self.nodes[to].heard.insert(from as u32, version);
                self.nodes[to].answered.extend(platform_answered.map(|at| (from as u32, at)));
                let actions = self.nodes[to].sync.on_peer_version(self.now, &peer, version);
                self.perform(to, actions);
            }
            Event::Question { from, request } => {
                if self.nodes[from].side != self.nodes[to].side {
                    return;
                }
                let answer =
                    self.nodes[to].sync.handle_pull(self.now, &request).expect("a sound question");
                let answer = self.damage(answer);
                let event = Event::Answer { from: self.nodes[to].vm.name.clone(), answer };
                self.send(to, from, event);
            }
            Event::Answer { from, answer } => {
                self.nodes[to].pulled_bytes += answer.len() as u64;
                let actions = self.nodes[to].sync.on_pull_response(self.now, &from, Some(&answer));
                self.perform(to, actions);
            }
        }
    }

    fn damage(&mut self, mut answer: Vec<u8>) -> Vec<u8> {
        if self.rng.random_bool(self.corrupt) {
            let at = self.rng.random_range(0..answer.len());
            answer[at] ^= 1 << self.rng.random_range(0..8);
        }
        answer
    }

    fn answer_watches(&mut self) {
        let wait = Duration::from_millis(self.settings.watch_timeout_ms);
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.paused {
                continue;
            }
            let Some(watch) = node.watches.pop() else { continue };
            assert!(node.watches.is_empty(), "{} has two watches at once", node.vm.name);
            let asked_for = if watch.waits { wait } else { Duration::ZERO };
            if node.cut_from_platform
                && node.is_cut_silently
                && self.now.since(watch.begun) < asked_for + ANSWER_TIMEOUT
            {
                node.watches.push(watch);
                continue;
            }
            if self.platform.down || node.cut_from_platform {
                node.sync.on_platform_error(self.now);
                continue;
            }
            let newer = self.platform.value.as_ref().filter(|it| Some(it.0) > watch.after);
            let actions = match newer {
                Some((_, value)) => node.sync.on_platform_value(self.now, Some(value)),
                None if !watch.waits || self.now.since(watch.begun) >= wait => {
                    node.sync.on_platform_value(self.now, None)
                }
                None => {
                    node.watches.push(watch);
                    continue;
                }
            };
            self.nodes[index].platform_answered = Some(self.now);
            let is_news = actions.iter().any(|it| matches!(it, ConfigAction::Activate(_)));
            self.perform(index, actions);
            if is_news && self.announces {
                self.announce(index);
            } else {
                self.tell_standbys(index);
            }
        }
    }

    fn perform(&mut self, index: usize, actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::Watch { after } => {
                    self.platform.calls += 1;
                    self.nodes[index].watches.push(Watch { after, begun: self.now, waits: true });
                }
                ConfigAction::Read { after } => {
                    self.platform.calls += 1;
                    self.nodes[index].watches.push(Watch { after, begun: self.now, waits: false });
                }
                ConfigAction::Pull { vm, request } => {
                    self.nodes[index].pulls += 1;
                    let to = self.nodes.iter().position(|node| node.vm.name == vm.name);
                    let event = Event::Question { from: index, request };
                    self.send(index, to.expect("a known peer"), event);
                }
                ConfigAction::Activate(config) => self.nodes[index].accepted.push(config),
                ConfigAction::Rejected(_) => self.nodes[index].rejected += 1,
                ConfigAction::Stale { .. } => {}
            }
        }
    }
}
