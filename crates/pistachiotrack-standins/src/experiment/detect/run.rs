//! One run of the experiment: requests in logical time against one detector.

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
    world::{Fault, Service, World, exponential},
};

/// Load at which the service runs, in parts of its slots.
const LOAD: f64 = 0.6;
/// Part of the requests that may be used for trials.
const IDEMPOTENT_PART: f64 = 0.8;
const TIMEOUT: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(20);
/// Time that opening a connection takes.
const CONNECT: Duration = Duration::from_millis(1);
/// Slot time that a health check takes.
pub(super) const PROBE: Duration = Duration::from_millis(25);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Tick,
    End { attempt: u64 },
}

struct Queued {
    request: u64,
    vm: usize,
    idempotent: bool,
    deadline: Time,
}

struct Attempt {
    request: u64,
    endpoint: usize,
    vm: usize,
    kind: AttemptKind,
    fresh: bool,
    silent: bool,
    started: Time,
}

/// An ejection of one endpoint by one VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ejection {
    pub(super) at: Time,
    pub(super) endpoint: usize,
    pub(super) vm: usize,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    pub(super) ejections: Vec<Ejection>,
    pub(super) requests: u64,
    pub(super) failed: u64,
    pub(super) probes: u64,
    pub(super) length: Duration,
    /// When enough VMs had ejected the endpoint with the fault.
    pub(super) found_at: Option<Time>,
}

/// Idle connections of one VM to one endpoint; whether each is silent.
type Pool = Vec<bool>;

struct Run<'a> {
    world: &'a World,
    service: &'a Service,
    detectors: Vec<Box<dyn Detector>>,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    next_event: u64,
    queue: VecDeque<Queued>,
    attempts: FxHashMap<u64, Attempt>,
    next_attempt: u64,
    in_use: Vec<usize>,
    on_trial: Vec<usize>,
    pools: Vec<Vec<Pool>>,
    silenced_until: Vec<Time>,
    rng: Pcg64Mcg,
    record: Record,
}

/// Runs one service for some time; each detector stands for one VM.
///
/// With `stop` the run ends once that many VMs have ejected the endpoint with
/// the fault.
pub(super) fn run(
    service: &Service,
    world: &World,
    detectors: Vec<Box<dyn Detector>>,
    length: Duration,
    seed: u64,
    stop: Option<usize>,
) -> Record {
    let vms = detectors.len();
    let mut run = Run {
        world,
        service,
        detectors,
        now: Time::ZERO,
        events: BinaryHeap::new(),
        next_event: 0,
        queue: VecDeque::new(),
        attempts: FxHashMap::default(),
        next_attempt: 0,
        in_use: vec![0; service.endpoints],
        on_trial: vec![0; service.endpoints],
        pools: vec![vec![Pool::new(); service.endpoints]; vms],
        silenced_until: vec![Time::ZERO; service.endpoints],
        rng: Pcg64Mcg::seed_from_u64(seed),
        record: Record::default(),
    };
    run.schedule(Duration::ZERO, Event::Arrival);
    run.schedule(TICK, Event::Tick);
    let end = Time::ZERO + length;
    while let Some(Reverse((at, _, event))) = run.events.pop() {
        if at >= end {
            break;
        }
        run.now = at;
        let ejections = run.record.ejections.len();
        run.handle(event);
        let is_news = run.record.ejections.len() > ejections;
        if is_news && stop.is_some_and(|needed| run.found() >= needed) {
            run.record.found_at = Some(at);
            break;
        }
    }
    run.record.length = run.now.since(Time::ZERO);
    run.record
}

impl Run<'_> {
    /// Returns how many VMs have ejected the endpoint since its fault began.
    fn found(&self) -> usize {
        let target = self.world.target;
        (0..self.detectors.len())
            .filter(|&vm| {
                self.record.ejections.iter().rev().any(|ejection| {
                    let is_target = ejection.vm == vm && ejection.endpoint == target;
                    is_target && ejection.at >= self.world.fault_start
                })
            })
            .count()
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((self.now + after, self.next_event, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Tick => self.tick(),
            Event::End { attempt } => self.end(attempt),
        }
        self.dispatch();
    }

    fn arrive(&mut self) {
        let gap = self.service.mean_gap(LOAD).mul_f64(exponential(&mut self.rng));
        let vm = self.rng.random_range(0..self.detectors.len());
        let idempotent = self.rng.random::<f64>() < IDEMPOTENT_PART;
        self.record.requests += 1;
        let request = self.record.requests;
        let deadline = self.now + TIMEOUT;
        self.queue.push_back(Queued { request, vm, idempotent, deadline });
        self.schedule(gap, Event::Arrival);
    }

    fn tick(&mut self) {
        self.schedule(TICK, Event::Tick);
        let before = self.queue.len();
        let now = self.now;
        self.queue.retain(|queued| queued.deadline > now);
        self.record.failed += (before - self.queue.len()) as u64;
        for endpoint in 0..self.service.endpoints {
            let from = std::mem::replace(&mut self.silenced_until[endpoint], now);
            let mut silenced = self.world.silenced(endpoint, from, now);
            for pool in self.pools.iter_mut().flat_map(|pools| &mut pools[endpoint]) {
                if silenced > 0 {
                    *pool = true;
                    silenced -= 1;
                }
            }
        }
        for vm in 0..self.detectors.len() {
            if self.world.fault == Fault::LyingReports {
                let lie = EndpointReport {
                    in_flight: Some(1_000),
                    draining: false,
                    ..EndpointReport::default()
                };
                self.detectors[vm].on_report(now, self.world.target, lie);
            }
            let effects = self.detectors[vm].on_tick(now);
            self.take(vm, effects);
        }
    }

    fn dispatch(&mut self) {
        while let Some(queued) = self.queue.front() {
            let (vm, idempotent) = (queued.vm, queued.idempotent);
            let Some((endpoint, kind)) = self.choose(vm, idempotent) else { return };
            let Some(queued) = self.queue.pop_front() else { return };
            self.in_use[endpoint] += 1;
            self.on_trial[endpoint] += usize::from(kind == AttemptKind::Trial);
            self.send(queued.request, vm, endpoint, kind);
        }
    }

    /// Chooses the endpoint with the most free slots, trials first.
    fn choose(&mut self, vm: usize, idempotent: bool) -> Option<(usize, AttemptKind)> {
        let count = self.service.endpoints;
        let offset = self.rng.random_range(0..count);
        let mut best: Option<(usize, usize)> = None;
        for endpoint in (0..count).map(|index| (index + offset) % count) {
            let in_use = self.in_use[endpoint];
            match self.detectors[vm].access(self.now, endpoint) {
                Access::Trial if idempotent && in_use == 0 && self.on_trial[endpoint] == 0 => {
                    return Some((endpoint, AttemptKind::Trial));
                }
                Access::Share(share) => {
                    let limit = (share * self.service.slots as f64).ceil() as usize;
                    if in_use < limit && best.is_none_or(|(least, _)| in_use < least) {
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
        let wants_fresh = is_probe || self.detectors[vm].wants_fresh_connection(endpoint);
        let pooled = if wants_fresh { None } else { self.pools[vm][endpoint].pop() };
        let (fresh, silent) = (pooled.is_none(), pooled.unwrap_or(false));
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        self.detectors[vm].on_dispatch(self.now, attempt, endpoint, kind);
        if fresh {
            self.detectors[vm].on_fresh_connection(attempt);
        }
        let service = match kind {
            AttemptKind::Probe => PROBE,
            _ if self.world.sheds(endpoint, request, self.now) => CONNECT,
            _ => self.world.service_time(endpoint, request, self.now),
        };
        let after = if silent { TIMEOUT } else { service.min(TIMEOUT) };
        let started = self.now;
        let entry = Attempt { request, endpoint, vm, kind, fresh, silent, started };
        self.attempts.insert(attempt, entry);
        self.schedule(after + if fresh { CONNECT } else { Duration::ZERO }, Event::End { attempt });
    }

    fn end(&mut self, attempt: u64) {
        let Some(entry) = self.attempts.get(&attempt) else { return };
        let is_probe = entry.kind == AttemptKind::Probe;
        let age = self.now.since(entry.started);
        let timed_out = age >= TIMEOUT;
        let left = TIMEOUT.saturating_sub(age);
        if !timed_out && self.world.hangs(entry.endpoint, self.now, is_probe) {
            return self.schedule(left, Event::End { attempt });
        }
        if let Some(stall_end) = self.world.stall_end(entry.endpoint, self.now)
            && !timed_out
        {
            let wait = stall_end.since(self.now).min(left);
            return self.schedule(wait, Event::End { attempt });
        }
        let Some(entry) = self.attempts.remove(&attempt) else { return };
        let outcome = self.outcome(&entry, timed_out);
        self.finish(attempt, &entry, outcome);
    }

    fn outcome(&self, entry: &Attempt, timed_out: bool) -> Outcome {
        let fresh_connection = entry.fresh;
        let is_probe = entry.kind == AttemptKind::Probe;
        if timed_out {
            Outcome::TimedOut { fresh_connection }
        } else if !is_probe && self.world.sheds(entry.endpoint, entry.request, entry.started) {
            Outcome::Shed
        } else if !is_probe && self.world.fails(entry.endpoint, entry.request, self.now) {
            Outcome::Answered { status: 500, fresh_connection }
        } else {
            Outcome::Answered { status: 200, fresh_connection }
        }
    }

    fn finish(&mut self, attempt: u64, entry: &Attempt, outcome: Outcome) {
        if entry.kind != AttemptKind::Probe {
            self.in_use[entry.endpoint] -= 1;
            self.on_trial[entry.endpoint] -= usize::from(entry.kind == AttemptKind::Trial);
            let good = matches!(outcome, Outcome::Answered { status: 200, .. });
            self.record.failed += u64::from(!good);
            let keeps = !entry.silent && !matches!(outcome, Outcome::TimedOut { .. });
            if keeps && self.pools[entry.vm][entry.endpoint].len() < self.service.slots {
                self.pools[entry.vm][entry.endpoint].push(false);
            }
        }
        let (vm, endpoint) = (entry.vm, entry.endpoint);
        let effects = self.detectors[vm].on_end(self.now, attempt, endpoint, outcome);
        self.take(vm, effects);
    }

    fn take(&mut self, vm: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Ejected { endpoint } => {
                    self.record.ejections.push(Ejection { at: self.now, endpoint, vm });
                }
                Effect::Probe { endpoint } => {
                    self.record.probes += 1;
                    self.send(0, vm, endpoint, AttemptKind::Probe);
                }
            }
        }
    }
}
