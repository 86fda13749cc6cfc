//! One run of the experiment: requests in logical time with one detector per VM.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use pistachiotrack_core::{
    health::AttemptKind,
    request::{EndpointReport, Outcome},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use super::{
    detector::{Access, Detector, Effect},
    environment::{Environment, Fault, Service, exponential},
};

/// Load of the service as a fraction of its slots.
const LOAD: f64 = 0.6;
/// Fraction of the requests that may be used for trials.
const IDEMPOTENT_FRACTION: f64 = 0.8;
const TIMEOUT: Duration = Duration::from_secs(1);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time that opening a connection takes.
const CONNECT_TIME: Duration = Duration::from_millis(1);
/// Slot time that a health check takes.
pub(super) const PROBE_TIME: Duration = Duration::from_millis(25);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Tick,
    AttemptEnd { attempt: u64 },
}

struct Queued {
    request: u64,
    vm: usize,
    is_idempotent: bool,
    deadline: Time,
}

struct Attempt {
    request: u64,
    endpoint: usize,
    vm: usize,
    kind: AttemptKind,
    has_fresh_connection: bool,
    is_silent: bool,
    started_at: Time,
}

/// An ejection of one endpoint by one VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ejection {
    pub(super) at: Time,
    pub(super) endpoint: usize,
    pub(super) vm: usize,
}

/// Measurements of a simulation.
#[derive(Clone, Debug, Default)]
pub(super) struct Measurements {
    pub(super) ejections: Vec<Ejection>,
    pub(super) requests: u64,
    pub(super) failed: u64,
    pub(super) probes: u64,
    pub(super) length: Duration,
    /// Time at which enough VMs had ejected the faulty endpoint.
    pub(super) detected_at: Option<Time>,
}

/// Idle connections of one VM to one endpoint; `true` if a connection no longer responds.
type Pool = Vec<bool>;

struct Simulation<'a> {
    environment: &'a Environment,
    service: &'a Service,
    detectors: Vec<Box<dyn Detector>>,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    next_event: u64,
    queue: VecDeque<Queued>,
    attempts: FxHashMap<u64, Attempt>,
    next_attempt: u64,
    in_use: Vec<usize>,
    active_trials: Vec<usize>,
    pools: Vec<Vec<Pool>>,
    silence_checked_at: Vec<Time>,
    rng: Pcg64Mcg,
    measurements: Measurements,
}

/// Simulates one service for `length`; each detector belongs to one VM.
///
/// The run ends early once `stop_after_vms` VMs have ejected the faulty endpoint.
pub(super) fn run(
    service: &Service,
    environment: &Environment,
    detectors: Vec<Box<dyn Detector>>,
    length: Duration,
    seed: u64,
    stop_after_vms: Option<usize>,
) -> Measurements {
    let vms = detectors.len();
    let mut simulation = Simulation {
        environment,
        service,
        detectors,
        now: Time::ZERO,
        events: BinaryHeap::new(),
        next_event: 0,
        queue: VecDeque::new(),
        attempts: FxHashMap::default(),
        next_attempt: 0,
        in_use: vec![0; service.endpoints],
        active_trials: vec![0; service.endpoints],
        pools: vec![vec![Pool::new(); service.endpoints]; vms],
        silence_checked_at: vec![Time::ZERO; service.endpoints],
        rng: Pcg64Mcg::seed_from_u64(seed),
        measurements: Measurements::default(),
    };
    simulation.schedule(Duration::ZERO, Event::Arrival);
    simulation.schedule(TICK_INTERVAL, Event::Tick);
    let end = Time::ZERO + length;
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at >= end {
            break;
        }
        simulation.now = at;
        let ejections = simulation.measurements.ejections.len();
        simulation.handle(event);
        let has_new_ejection = simulation.measurements.ejections.len() > ejections;
        if has_new_ejection
            && stop_after_vms.is_some_and(|needed| simulation.detecting_vms() >= needed)
        {
            simulation.measurements.detected_at = Some(at);
            break;
        }
    }
    simulation.measurements.length = simulation.now.since(Time::ZERO);
    simulation.measurements
}

impl Simulation<'_> {
    /// Returns the number of VMs that have ejected the faulty endpoint since its fault began.
    fn detecting_vms(&self) -> usize {
        let target = self.environment.target;
        (0..self.detectors.len())
            .filter(|&vm| {
                self.measurements.ejections.iter().rev().any(|ejection| {
                    let is_target = ejection.vm == vm && ejection.endpoint == target;
                    is_target && ejection.at >= self.environment.fault_start
                })
            })
            .count()
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((self.now + delay, self.next_event, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Tick => self.on_tick(),
            Event::AttemptEnd { attempt } => self.on_attempt_end(attempt),
        }
        self.dispatch();
    }

    fn on_arrival(&mut self) {
        let interarrival_time =
            self.service.mean_interarrival_time(LOAD).mul_f64(exponential(&mut self.rng));
        let vm = self.rng.random_range(0..self.detectors.len());
        let is_idempotent = self.rng.random::<f64>() < IDEMPOTENT_FRACTION;
        self.measurements.requests += 1;
        let request = self.measurements.requests;
        let deadline = self.now + TIMEOUT;
        self.queue.push_back(Queued { request, vm, is_idempotent, deadline });
        self.schedule(interarrival_time, Event::Arrival);
    }

    fn on_tick(&mut self) {
        self.schedule(TICK_INTERVAL, Event::Tick);
        let before = self.queue.len();
        let now = self.now;
        self.queue.retain(|queued| queued.deadline > now);
        self.measurements.failed += (before - self.queue.len()) as u64;
        for endpoint in 0..self.service.endpoints {
            let from = std::mem::replace(&mut self.silence_checked_at[endpoint], now);
            let mut silenced = self.environment.silenced_connections(endpoint, from, now);
            for pool in self.pools.iter_mut().flat_map(|pools| &mut pools[endpoint]) {
                if silenced > 0 {
                    *pool = true;
                    silenced -= 1;
                }
            }
        }
        for vm in 0..self.detectors.len() {
            if self.environment.fault == Fault::IncorrectReports {
                let incorrect_report = EndpointReport {
                    in_flight: Some(1_000),
                    draining: false,
                    ..EndpointReport::default()
                };
                self.detectors[vm].on_report(now, self.environment.target, incorrect_report);
            }
            let effects = self.detectors[vm].on_tick(now);
            self.apply_effects(vm, effects);
        }
    }

    fn dispatch(&mut self) {
        while let Some(queued) = self.queue.front() {
            let (vm, is_idempotent) = (queued.vm, queued.is_idempotent);
            let Some((endpoint, kind)) = self.choose(vm, is_idempotent) else { return };
            let Some(queued) = self.queue.pop_front() else { return };
            self.in_use[endpoint] += 1;
            self.active_trials[endpoint] += usize::from(kind == AttemptKind::Trial);
            self.send(queued.request, vm, endpoint, kind);
        }
    }

    /// Chooses the endpoint with the fewest slots in use; an endpoint on trial comes first.
    fn choose(&mut self, vm: usize, is_idempotent: bool) -> Option<(usize, AttemptKind)> {
        let count = self.service.endpoints;
        let offset = self.rng.random_range(0..count);
        let mut best: Option<(usize, usize)> = None;
        for endpoint in (0..count).map(|index| (index + offset) % count) {
            let in_use = self.in_use[endpoint];
            match self.detectors[vm].access(self.now, endpoint) {
                Access::Trial
                    if is_idempotent && in_use == 0 && self.active_trials[endpoint] == 0 =>
                {
                    return Some((endpoint, AttemptKind::Trial));
                }
                Access::Share(share) => {
                    let limit = (share * self.service.slots as f64).ceil() as usize;
                    if in_use < limit && best.is_none_or(|(min_in_use, _)| in_use < min_in_use) {
                        best = Some((in_use, endpoint));
                    }
                }
                Access::Closed | Access::Trial => {}
            }
        }
        best.map(|(_, endpoint)| (endpoint, AttemptKind::Request))
    }

    fn send(&mut self, request: u64, vm: usize, endpoint: usize, kind: AttemptKind) {
        let is_probe = kind == AttemptKind::Probe;
        let needs_fresh_connection =
            is_probe || self.detectors[vm].needs_fresh_connection(endpoint);
        let pooled = if needs_fresh_connection { None } else { self.pools[vm][endpoint].pop() };
        let (has_fresh_connection, is_silent) = (pooled.is_none(), pooled.unwrap_or(false));
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        self.detectors[vm].on_dispatch(self.now, attempt, endpoint, kind);
        if has_fresh_connection {
            self.detectors[vm].on_fresh_connection(attempt);
        }
        let service = match kind {
            AttemptKind::Probe => PROBE_TIME,
            _ if self.environment.sheds(endpoint, request, self.now) => CONNECT_TIME,
            _ => self.environment.service_time(endpoint, request, self.now),
        };
        let duration = if is_silent { TIMEOUT } else { service.min(TIMEOUT) };
        let started_at = self.now;
        let entry =
            Attempt { request, endpoint, vm, kind, has_fresh_connection, is_silent, started_at };
        self.attempts.insert(attempt, entry);
        self.schedule(
            duration + if has_fresh_connection { CONNECT_TIME } else { Duration::ZERO },
            Event::AttemptEnd { attempt },
        );
    }

    fn on_attempt_end(&mut self, attempt: u64) {
        let Some(entry) = self.attempts.get(&attempt) else { return };
        let is_probe = entry.kind == AttemptKind::Probe;
        let age = self.now.since(entry.started_at);
        let timed_out = age >= TIMEOUT;
        let remaining = TIMEOUT.saturating_sub(age);
        if !timed_out && self.environment.hangs(entry.endpoint, self.now, is_probe) {
            return self.schedule(remaining, Event::AttemptEnd { attempt });
        }
        if let Some(stall_end) = self.environment.stall_end(entry.endpoint, self.now)
            && !timed_out
        {
            let delay = stall_end.since(self.now).min(remaining);
            return self.schedule(delay, Event::AttemptEnd { attempt });
        }
        let Some(entry) = self.attempts.remove(&attempt) else { return };
        let outcome = self.outcome(&entry, timed_out);
        self.finish(attempt, &entry, outcome);
    }

    fn outcome(&self, entry: &Attempt, timed_out: bool) -> Outcome {
        let fresh_connection = entry.has_fresh_connection;
        let is_probe = entry.kind == AttemptKind::Probe;
        if timed_out {
            Outcome::TimedOut { fresh_connection }
        } else if !is_probe
            && self.environment.sheds(entry.endpoint, entry.request, entry.started_at)
        {
            Outcome::Shed
        } else if !is_probe && self.environment.fails(entry.endpoint, entry.request, self.now) {
            Outcome::Answered { status: 500, fresh_connection }
        } else {
            Outcome::Answered { status: 200, fresh_connection }
        }
    }

    fn finish(&mut self, attempt: u64, entry: &Attempt, outcome: Outcome) {
        if entry.kind != AttemptKind::Probe {
            self.in_use[entry.endpoint] -= 1;
            self.active_trials[entry.endpoint] -= usize::from(entry.kind == AttemptKind::Trial);
            let is_success = matches!(outcome, Outcome::Answered { status: 200, .. });
            self.measurements.failed += u64::from(!is_success);
            let is_reusable = !entry.is_silent && !matches!(outcome, Outcome::TimedOut { .. });
            if is_reusable && self.pools[entry.vm][entry.endpoint].len() < self.service.slots {
                self.pools[entry.vm][entry.endpoint].push(false);
            }
        }
        let (vm, endpoint) = (entry.vm, entry.endpoint);
        let effects = self.detectors[vm].on_attempt_end(self.now, attempt, endpoint, outcome);
        self.apply_effects(vm, effects);
    }

    fn apply_effects(&mut self, vm: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Ejected { endpoint } => {
                    self.measurements.ejections.push(Ejection { at: self.now, endpoint, vm });
                }
                Effect::Probe { endpoint } => {
                    self.measurements.probes += 1;
                    self.send(0, vm, endpoint, AttemptKind::Probe);
                }
            }
        }
    }
}
