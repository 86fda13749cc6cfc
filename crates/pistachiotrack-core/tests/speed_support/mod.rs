//! Dispatchers and endpoints of different speeds in logical time, and a scheduler that knows the
//! speeds.

// Each test file uses only a part of it.
#![allow(dead_code)]

pub(crate) mod oracle;

use std::{
    collections::{BTreeMap, VecDeque},
    f64::consts::TAU,
    time::Duration,
};

use pistachiotrack_core::{
    config::Config,
    endpoint::Endpoint,
    feature_flags::FeatureFlags,
    name::Name,
    ownership::ShardId,
    request::{AttemptId, BodyEnd, Class, EndpointReport, Outcome, Request, RequestId},
    shard::{Dispatch, Shard, ShardAction, ShardMode, ShardSettings, ShardUpdate},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::shared_support::{START, config};

/// Delay of updates between VMs in different data centres.
const UPDATE_DELAY: Duration = Duration::from_micros(1_400);
const TICK: Duration = Duration::from_millis(50);
/// Requests that an endpoint queues.
const ENDPOINT_QUEUE: usize = 24;
/// Standard deviation of the logarithm of service times.
const LN_DEVIATION: f64 = 0.5;
/// Median service times at an endpoint of speed 1, and deadlines, of the two kinds of requests.
const KINDS: [(Class, bool, f64, Duration); 2] = [
    (Class::Interactive, true, 0.160, Duration::from_secs(4)),
    (Class::Standard, false, 0.310, Duration::from_secs(5)),
];

/// A request of the workload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) at: Time,
    pub(crate) class: Class,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Time,
    /// Service time at an idle endpoint of speed 1.
    pub(crate) service_s: f64,
}

/// Returns requests at random times, `per_second` on average, for `length`.
pub(crate) fn workload(seed: u64, per_second: f64, length: Duration) -> Vec<Job> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let (mut jobs, mut at) = (Vec::new(), START);
    while at < START + length {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / per_second);
        let (class, idempotent, median_s, time) = KINDS[usize::from(rng.random::<bool>())];
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * rng.random::<f64>()).cos();
        let service_s = median_s * (LN_DEVIATION * normal).exp();
        jobs.push(Job { at, class, idempotent, deadline: at + time, service_s });
    }
    jobs
}

/// Returns the mean service time of the workload at an idle endpoint of speed 1.
pub(crate) fn mean_service_s() -> f64 {
    let medians: f64 = KINDS.iter().map(|(_, _, median_s, _)| median_s).sum();
    medians / KINDS.len() as f64 * (LN_DEVIATION * LN_DEVIATION / 2.0).exp()
}

/// Speed of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    /// Multiple of the service time at an endpoint of speed 1.
    pub(crate) time_factor: f64,
    /// Whether requests that begin at over two thirds of the slots take twice as long.
    pub(crate) slows_when_nearly_full: bool,
}

impl Speed {
    pub(crate) fn time_factor_at(self, in_use: u32, slots: u32) -> f64 {
        let is_slowed = self.slows_when_nearly_full && 3 * in_use > 2 * slots;
        self.time_factor * if is_slowed { 2.0 } else { 1.0 }
    }

    /// Returns the number of requests in flight with the highest throughput.
    pub(crate) fn best_limit(self, slots: u32) -> u32 {
        let throughput = |in_use| f64::from(in_use) / self.time_factor_at(in_use, slots);
        (1..=slots).max_by(|a, b| throughput(*a).total_cmp(&throughput(*b))).unwrap()
    }

    /// Returns the highest throughput in multiples of that of one slot of speed 1.
    pub(crate) fn capacity(self, slots: u32) -> f64 {
        let limit = self.best_limit(slots);
        f64::from(limit) / self.time_factor_at(limit, slots)
    }
}

/// An endpoint with its requests: those that run, and those that wait with the time at which they
/// were sent.
#[derive(Clone, Debug)]
struct EndpointModel {
    speed: Speed,
    in_service: u32,
    waiting: VecDeque<(usize, AttemptId, f64)>,
}

impl EndpointModel {
    fn new(speed: Speed) -> EndpointModel {
        EndpointModel { speed, in_service: 0, waiting: VecDeque::new() }
    }
}

enum Event {
    Arrival(usize),
    Update { to: usize, from: usize, update: ShardUpdate },
    ServiceEnd { endpoint: Name, vm: usize, attempt: AttemptId },
    TimeLimit { vm: usize, attempt: AttemptId },
    Tick(usize),
}

pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) vms: Vec<Shard>,
    pub(crate) config: Config,
    /// Percentage of the updates between VMs that are lost.
    pub(crate) lost_percent: u32,
    pub(crate) update_delay: Duration,
    /// Time from arrival to answer of each request that was served.
    pub(crate) times: BTreeMap<usize, Duration>,
    /// Number of requests that each endpoint got.
    pub(crate) sent: BTreeMap<Name, u32>,
    paused: Option<usize>,
    endpoints: BTreeMap<Name, EndpointModel>,
    slots: u32,
    jobs: Vec<Job>,
    events: BTreeMap<(Time, u64), Event>,
    next_event: u64,
    rng: Pcg32,
}

pub(crate) fn endpoint(index: usize) -> Name {
    Name::from(format!("endpoint-{index}"))
}

fn settings(seed: u64, ejection: bool) -> ShardSettings {
    let feature_flags = FeatureFlags { ejection, ..FeatureFlags::default() };
    ShardSettings { mode: ShardMode::Shared, seed, feature_flags, ..ShardSettings::default() }
}

pub(crate) fn shard_id() -> ShardId {
    ShardId { service: Name::from("booking"), index: 0 }
}

impl Simulation {
    pub(crate) fn new(
        vms: usize,
        speeds: &[Speed],
        slots: u32,
        jobs: Vec<Job>,
        ejection: bool,
    ) -> Simulation {
        let mut config = config(speeds.len() as u32);
        config.services[0].contention.endpoint_speed = true;
        config.services[0].queue_limit = 256;
        for endpoint in &mut config.services[0].endpoints {
            endpoint.slots = slots;
        }
        let endpoints = speeds.iter().enumerate();
        let mut simulation = Simulation {
            now: START,
            vms: (0..vms as u64)
                .map(|vm| Shard::new(START, shard_id(), &config, settings(vm + 1, ejection)))
                .collect(),
            lost_percent: 0,
            update_delay: UPDATE_DELAY,
            times: BTreeMap::new(),
            sent: BTreeMap::new(),
            paused: None,
            endpoints: endpoints
                .map(|(at, speed)| (endpoint(at), EndpointModel::new(*speed)))
                .collect(),
            slots,
            events: BTreeMap::new(),
            next_event: 0,
            rng: Pcg32::seed_from_u64(7),
            config,
            jobs: Vec::new(),
        };
        for (index, job) in jobs.iter().enumerate() {
            simulation.schedule(job.at, Event::Arrival(index));
        }
        for vm in 0..vms {
            simulation.schedule(START + TICK.mul_f64(vm as f64 / vms as f64), Event::Tick(vm));
        }
        simulation.jobs = jobs;
        simulation
    }

    pub(crate) fn set_speed(&mut self, endpoint: &Name, speed: Speed) {
        self.endpoints.get_mut(endpoint).expect("an endpoint").speed = speed;
    }

    /// Replaces an endpoint by an incarnation of another name and speed.
    pub(crate) fn restart(&mut self, old: &Name, new: &Name, speed: Speed) {
        self.endpoints.insert(new.clone(), EndpointModel::new(speed));
        let listed: &mut Vec<Endpoint> = &mut self.config.services[0].endpoints;
        listed.iter_mut().find(|endpoint| endpoint.name == *old).unwrap().name = new.clone();
        self.apply_config();
    }

    pub(crate) fn apply_config(&mut self) {
        self.config.version += 1;
        for vm in 0..self.vms.len() {
            let actions = self.vms[vm].on_config(self.now, &self.config);
            self.apply(vm, actions);
        }
    }

    /// Stops a VM for `gap`, in which it handles nothing, while the others go on.
    pub(crate) fn pause(&mut self, vm: usize, gap: Duration) {
        self.paused = Some(vm);
        self.run_until(self.now + gap);
        self.paused = None;
        let actions = self.vms[vm].on_pause(self.now, gap);
        self.apply(vm, actions);
    }

    /// Handles all events before `end`.
    pub(crate) fn run_until(&mut self, end: Time) {
        let mut delayed = Vec::new();
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 < end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            if self.paused.is_some() && self.paused == vm_of(&event, self.vms.len()) {
                delayed.push(event);
                continue;
            }
            self.handle(event);
        }
        self.now = end;
        for event in delayed {
            // A paused process finds all that came meanwhile when it resumes.
            self.schedule(end + Duration::from_micros(1), event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrival(index) => {
                let vm = index % self.vms.len();
                let actions = self.vms[vm].on_request(now, request(index, &self.jobs[index]));
                self.apply(vm, actions);
            }
            Event::Update { to, from, update } => {
                let from = Name::from(format!("vm-{from}"));
                let actions = self.vms[to].on_update(now, &from, &update);
                self.apply(to, actions);
            }
            Event::ServiceEnd { endpoint, vm, attempt } => {
                let model = self.endpoints.get_mut(&endpoint).expect("an endpoint");
                model.in_service -= 1;
                if let Some((vm, attempt, service_s)) = model.waiting.pop_front() {
                    self.start(&endpoint, vm, attempt, service_s);
                }
                let outcome = Outcome::Answered { status: 200, fresh_connection: false };
                self.end(vm, attempt, outcome);
            }
            Event::TimeLimit { vm, attempt } => {
                self.end(vm, attempt, Outcome::TimedOut { fresh_connection: false });
            }
            Event::Tick(vm) => {
                let actions = self.vms[vm].on_tick(now);
                self.apply(vm, actions);
                self.schedule(now + TICK, Event::Tick(vm));
            }
        }
    }

    fn end(&mut self, vm: usize, attempt: AttemptId, outcome: Outcome) {
        let report = EndpointReport::default();
        let mut actions = self.vms[vm].on_outcome(self.now, attempt, outcome, report);
        if matches!(outcome, Outcome::Answered { .. }) {
            actions.extend(self.vms[vm].on_body_end(self.now, attempt, BodyEnd::Complete));
        }
        self.apply(vm, actions);
    }

    fn apply(&mut self, vm: usize, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Dispatch(dispatch) => self.send(vm, &dispatch),
                ShardAction::Deliver { request, .. } => {
                    let index = request.0 as usize;
                    self.times.insert(index, self.now.since(self.jobs[index].at));
                }
                ShardAction::Broadcast(update) => {
                    for to in (0..self.vms.len()).filter(|to| *to != vm) {
                        if self.rng.random_range(0..100) >= self.lost_percent {
                            let update = update.clone();
                            let event = Event::Update { to, from: vm, update };
                            self.schedule(self.now + self.update_delay, event);
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, vm: usize, dispatch: &Dispatch) {
        let (attempt, endpoint) = (dispatch.attempt, dispatch.endpoint.clone());
        *self.sent.entry(endpoint.clone()).or_default() += 1;
        self.schedule(dispatch.time_limit, Event::TimeLimit { vm, attempt });
        let service_s = self.jobs[dispatch.request.0 as usize].service_s;
        let model = self.endpoints.get_mut(&endpoint).expect("an endpoint");
        if model.in_service < self.slots {
            self.start(&endpoint, vm, attempt, service_s);
        } else if model.waiting.len() < ENDPOINT_QUEUE {
            model.waiting.push_back((vm, attempt, service_s));
        } else {
            self.end(vm, attempt, Outcome::Shed);
        }
    }

    fn start(&mut self, endpoint: &Name, vm: usize, attempt: AttemptId, service_s: f64) {
        let model = self.endpoints.get_mut(endpoint).expect("an endpoint");
        model.in_service += 1;
        let factor = model.speed.time_factor_at(model.in_service, self.slots);
        let at = self.now + Duration::from_secs_f64(service_s * factor);
        self.schedule(at, Event::ServiceEnd { endpoint: endpoint.clone(), vm, attempt });
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }
}

/// Returns the VM that handles an event, if it concerns a VM alone.
fn vm_of(event: &Event, vms: usize) -> Option<usize> {
    match event {
        Event::Arrival(index) => Some(index % vms),
        Event::Update { to, .. } => Some(*to),
        Event::ServiceEnd { vm, .. } | Event::TimeLimit { vm, .. } | Event::Tick(vm) => Some(*vm),
    }
}

fn request(index: usize, job: &Job) -> Request {
    Request {
        id: RequestId(index as u64),
        customer: Name::from("timeliten"),
        class: job.class,
        deadline: job.deadline,
        idempotent: job.idempotent,
        hedge: false,
        max_attempts: 1,
        prior: Default::default(),
        key: None,
        repeat: false,
    }
}

/// Returns the 99th percentile of `times`.
pub(crate) fn p99(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() * 99 / 100]
}
