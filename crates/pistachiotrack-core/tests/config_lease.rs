//! The lease on the configuration: no VM relies on a configuration for longer than the bound
//! after a newer one exists, whatever is delayed, lost or paused.

use std::time::Duration;

use pistachiotrack_core::{
    config_lease::{
        ConfigLease, ConfigLeaseSettings, Confirmation, LeasePeers, LeaseQuery, PeerQueries,
    },
    name::Name,
    time::Time,
    vm::Vm,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MAX_AGE_S: f64 = 5.0;
const WATCHERS: usize = 2;
/// Interval at which watchers read the platform.
const READ_INTERVAL: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(100);
/// One-way delay of messages between VMs.
const DELAY: Duration = Duration::from_millis(1);

fn settings() -> ConfigLeaseSettings {
    ConfigLeaseSettings { max_age_s: Some(MAX_AGE_S), ..ConfigLeaseSettings::default() }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn vm(index: usize) -> Vm {
    Vm {
        name: Name::from(format!("vm-{index:03}")),
        data_centre: Name::from("oslo-1"),
        incarnation: 1,
        caller_address: ([10, 0, (index / 256) as u8, (index % 256) as u8], 80).into(),
        peer_address: ([10, 0, (index / 256) as u8, (index % 256) as u8], 90).into(),
        capacity: 10,
    }
}

fn has_lease(lease: &ConfigLease, now: Time) -> bool {
    lease.age(now) < settings().duration() && lease.age(now).is_some()
}

#[test]
fn a_confirmation_of_a_version_counts_once_the_version_is_active() {
    let mut lease = ConfigLease::default();
    lease.on_confirmation(Confirmation { version: 3, at: at(1_000) });
    lease.on_confirmation(Confirmation { version: 5, at: at(3_000) });
    assert_eq!(lease.confirmed_at(), None);
    lease.on_active(3);
    assert_eq!(lease.confirmed_at(), Some(at(1_000)));
    lease.on_active(4);
    lease.on_confirmation(Confirmation { version: 4, at: at(2_000) });
    assert_eq!(lease.confirmed_at(), Some(at(2_000)));
    lease.on_active(6);
    assert_eq!(lease.confirmed_at(), Some(at(3_000)));
}

/// Guards against a starved lease: each confirmation is of a version that this VM gets just
/// after the next one is known.
#[test]
fn versions_in_quick_succession_leave_the_lease_valid() {
    let mut lease = ConfigLease::default();
    for version in 1..200 {
        let now = at(version * 100);
        lease.on_confirmation(Confirmation { version, at: now });
        lease.on_confirmation(Confirmation { version: version + 1, at: now });
        lease.on_active(version);
        assert!(has_lease(&lease, now));
    }
}

/// Guards against a lease that is counted from the arrival of an answer: an answer that waited
/// in the socket of a paused process would confirm a configuration that is long replaced.
#[test]
fn an_answer_is_counted_from_when_its_query_was_sent() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut queries = PeerQueries::new(settings(), &mut rng);
    let others: Vec<Vm> = (0..3).map(vm).collect();
    let peers = LeasePeers { before: others.iter().collect(), ..LeasePeers::default() };
    let sent = queries.on_tick(at(9_000), Some(TICK), WATCHERS, &peers, &mut rng);
    let [LeaseQuery { sequence, .. }] = sent[..] else { panic!("{sent:?}") };
    let confirmation = queries.on_answer(sequence, 7, 400_000);
    assert_eq!(confirmation, Some(Confirmation { version: 7, at: at(8_600) }));
    assert_eq!(queries.on_answer(sequence, 7, 0), None);
}

/// A data centre whose watchers read the platform.
struct DataCentre {
    vms: Vec<Vm>,
    leases: Vec<ConfigLease>,
    queries: Vec<PeerQueries>,
    rng: Pcg64Mcg,
    /// Number of VMs, the first ones, that the platform turns away.
    turned_away: usize,
    reads: usize,
    messages: usize,
}

impl DataCentre {
    fn new(size: usize) -> DataCentre {
        let mut rng = Pcg64Mcg::seed_from_u64(size as u64);
        let queries = (0..size).map(|_| PeerQueries::new(settings(), &mut rng)).collect();
        let mut lease = ConfigLease::default();
        lease.on_active(1);
        DataCentre {
            vms: (0..size).map(vm).collect(),
            leases: vec![lease; size],
            queries,
            rng,
            turned_away: 0,
            reads: 0,
            messages: 0,
        }
    }

    fn read(&mut self, now: Time, index: usize) {
        if index >= self.turned_away {
            self.reads += 1;
            self.leases[index].on_confirmation(Confirmation { version: 1, at: now });
        }
    }

    fn tick(&mut self, now: Time) {
        for index in 0..self.vms.len() {
            let is_read_due = now.as_millis().is_multiple_of(READ_INTERVAL.as_millis() as u64);
            let position = index as f64 / self.vms.len() as f64;
            let age = self.leases[index].age(now);
            let is_late = age.is_some_and(|age| age >= settings().read_age(position));
            if index < WATCHERS && is_read_due || is_late {
                self.read(now, index);
            }
            let peers = LeasePeers {
                before: self.vms[..index].iter().collect(),
                after: self.vms[index + 1..].iter().collect(),
                far: Vec::new(),
            };
            let queries = self.queries[index].on_tick(now, age, WATCHERS, &peers, &mut self.rng);
            for LeaseQuery { vm, sequence } in queries {
                self.messages += 1;
                let target = self.vms.iter().position(|other| *other == vm).unwrap();
                let Some(age) = self.leases[target].age(now + DELAY) else { continue };
                let age_us = age.as_micros() as u64;
                let confirmation = self.queries[index].on_answer(sequence, 1, age_us);
                self.leases[index].on_confirmation(confirmation.unwrap());
            }
        }
    }

    /// Runs for 20 s; returns the greatest age of a confirmation in the second half.
    fn greatest_age(&mut self, start: Time) -> Duration {
        let mut greatest = Duration::ZERO;
        for tick in 0..200 {
            let now = start + TICK * tick;
            self.tick(now);
            if tick >= 100 {
                let ages = self.leases.iter().map(|lease| lease.age(now).unwrap());
                greatest = greatest.max(ages.max().unwrap());
            }
        }
        greatest
    }
}

/// With age left on every VM, an outage of the platform ends no lease before callers have had
/// the time to go elsewhere.
#[test]
fn confirmations_reach_every_vm_and_few_read() {
    for size in [3, 30, 340] {
        let mut data_centre = DataCentre::new(size);
        let greatest = data_centre.greatest_age(at(1_000));
        assert!(greatest <= Duration::from_millis(2_000), "{size} VMs: {greatest:?}");
        assert!(data_centre.reads <= 2 * 41 + size, "{size} VMs: {} reads", data_centre.reads);
        let per_vm_second = data_centre.messages as f64 / size as f64 / 20.0;
        assert!(per_vm_second < 4.5, "{size} VMs: {per_vm_second} messages");
    }
}

/// The platform turns the watchers and further VMs away and serves the others: these read in
/// time, and no lease ends.
#[test]
fn no_lease_ends_while_the_platform_serves_other_vms() {
    for size in [6, 30, 340] {
        let mut data_centre = DataCentre::new(size);
        data_centre.greatest_age(at(1_000));
        data_centre.turned_away = size / 3;
        let greatest = data_centre.greatest_age(at(21_000));
        assert!(Some(greatest) < settings().duration(), "{size} VMs: {greatest:?}");
    }
}

/// A step of the model; VM numbers wrap around.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operator publishes a version.
    Publish,
    /// A VM asks the platform.
    Ask(u8),
    /// The platform receives the question of a VM, and answers.
    AnswerRead(u8),
    /// The answer of the platform arrives.
    ReadArrives(u8),
    /// A VM asks its peers.
    Query(u8),
    /// A query of the first VM arrives at the second one, which answers.
    AnswerQuery(u8, u8),
    /// An answer to the VM arrives.
    AnswerArrives(u8),
    /// A VM gets the active configuration of another one.
    Pull(u8, u8),
    /// Time passes, for all VMs whether they run or not.
    Pass(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 18 {
            0 => Step::Publish,
            1 | 2 => Step::Ask(a),
            3 | 4 => Step::AnswerRead(a),
            5 | 6 => Step::ReadArrives(a),
            7 | 8 => Step::Query(a),
            9 | 10 => Step::AnswerQuery(a, b),
            11 | 12 => Step::AnswerArrives(a),
            13 => Step::Pull(a, b),
            _ => Step::Pass(a),
        }
    }
}

/// A VM of the model, its question to the platform and its messages on the way. Messages wait
/// for any time and in any order, as at a VM that is paused.
struct Node {
    version: u64,
    lease: ConfigLease,
    queries: PeerQueries,
    asked_at: Option<Time>,
    read: Option<(Time, u64)>,
    sent: Vec<u32>,
    answers: Vec<(u32, u64, u64)>,
}

impl Node {
    fn activate(&mut self, version: u64) {
        self.version = self.version.max(version);
        self.lease.on_active(self.version);
    }
}

struct Model {
    now: Time,
    /// Time at which each version was published, the first one at index 0.
    published: Vec<Time>,
    nodes: Vec<Node>,
    rng: Pcg64Mcg,
}

impl Model {
    fn new() -> Model {
        let mut rng = Pcg64Mcg::seed_from_u64(7);
        let mut node = || Node {
            version: 0,
            lease: ConfigLease::default(),
            queries: PeerQueries::new(settings(), &mut rng),
            asked_at: None,
            read: None,
            sent: Vec::new(),
            answers: Vec::new(),
        };
        let nodes = (0..4).map(|_| node()).collect();
        Model { now: at(10_000), published: vec![at(10_000)], nodes, rng }
    }

    fn step(&mut self, step: Step) {
        let count = self.nodes.len();
        let newest = self.published.len() as u64;
        let index = |vm: u8| vm as usize % count;
        match step {
            Step::Publish => self.published.push(self.now),
            Step::Ask(vm) => self.nodes[index(vm)].asked_at = Some(self.now),
            Step::AnswerRead(vm) => {
                let node = &mut self.nodes[index(vm)];
                node.read = node.asked_at.map(|asked_at| (asked_at, newest)).or(node.read);
            }
            Step::ReadArrives(vm) => {
                let node = &mut self.nodes[index(vm)];
                if let Some((at, version)) = node.read.take() {
                    node.activate(version);
                    node.lease.on_confirmation(Confirmation { version: node.version, at });
                }
            }
            Step::Query(from) => {
                let vms: Vec<Vm> = (0..count).map(vm).collect();
                let peers = LeasePeers { before: vms.iter().collect(), ..LeasePeers::default() };
                let node = &mut self.nodes[index(from)];
                let queries = node.queries.on_tick(self.now, None, 0, &peers, &mut self.rng);
                node.sent.extend(queries.iter().map(|query| query.sequence));
            }
            Step::AnswerQuery(from, to) => {
                let (from, to) = (index(from), index(to));
                let Some(sequence) = self.nodes[from].sent.pop() else { return };
                let Some(age) = self.nodes[to].lease.age(self.now) else { return };
                let version = self.nodes[to].version;
                self.nodes[from].answers.push((sequence, version, age.as_micros() as u64));
            }
            Step::AnswerArrives(to) => {
                let node = &mut self.nodes[index(to)];
                if node.answers.is_empty() {
                    return;
                }
                let place = self.rng.random_range(0..node.answers.len());
                let (sequence, version, age_us) = node.answers.swap_remove(place);
                if let Some(confirmation) = node.queries.on_answer(sequence, version, age_us) {
                    node.lease.on_confirmation(confirmation);
                }
            }
            Step::Pull(from, to) => {
                let version = self.nodes[index(to)].version;
                self.nodes[index(from)].activate(version);
            }
            Step::Pass(time) => self.now += Duration::from_millis(u64::from(time) * 8),
        }
    }

    /// Returns whether no VM has a lease on a version that was replaced longer ago than allowed.
    fn holds(&self) -> bool {
        self.nodes.iter().all(|node| {
            let replaced_at = self.published.get(node.version as usize);
            let is_outdated =
                replaced_at.is_some_and(|at| self.now.since(*at).as_secs_f64() >= MAX_AGE_S);
            !(is_outdated && has_lease(&node.lease, self.now))
        })
    }
}

#[test]
fn no_order_of_events_lets_a_replaced_version_be_relied_on_past_the_bound() {
    fn check(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        steps.into_iter().all(|step| {
            model.step(step);
            model.holds()
        })
    }
    let generator = Gen::new(400);
    QuickCheck::new().rng(generator).tests(2_000).quickcheck(check as fn(Vec<Step>) -> bool);
}

/// Guards against a model in which nothing happens: leases are held in it.
#[test]
fn the_model_gives_leases() {
    let mut model = Model::new();
    for step in [Step::Ask(0), Step::AnswerRead(0), Step::Pass(100), Step::ReadArrives(0)] {
        model.step(step);
    }
    assert!(has_lease(&model.nodes[0].lease, model.now));
    model.step(Step::Pull(1, 0));
    for step in [Step::Query(1), Step::AnswerQuery(1, 0), Step::AnswerArrives(1)] {
        model.step(step);
    }
    assert!(has_lease(&model.nodes[1].lease, model.now));
    model.step(Step::Publish);
    for _ in 0..4 {
        model.step(Step::Pass(250));
    }
    assert!(!has_lease(&model.nodes[1].lease, model.now + Duration::from_secs(3)));
}
