//! Simulates callers, a balancer and endpoints as events in logical time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use hdrhistogram::Histogram;
use pistachiotrack_core::{
    name::Name,
    refusal::Execution,
    request::{Class, Outcome, RequestId},
    time::Time,
};
use rustc_hash::FxHashMap;

use super::{
    balancer::{AttemptKey, Balancer, Command},
    endpoint::SimEndpoint,
    workload::{Arrival, CUSTOMERS, SLOTS, Workload, config},
};

/// One-way latency between a VM and an endpoint.
const ONE_WAY_LATENCY: Duration = Duration::from_micros(500);
/// Time between two ticks of the balancer.
const TICK: Duration = Duration::from_millis(20);
/// Requests that arrive before this time are not counted.
const WARM_UP: Time = Time::from_millis(5_000);
/// Requests that arrive at or after this time are not counted.
const END: Time = Time::from_millis(65_000);
/// Time in which the last counted requests complete.
const DRAIN_TIME: Duration = Duration::from_secs(10);
/// Largest latency that the histogram distinguishes.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counts for one customer; only requests answered before their deadline are timely.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerCounts {
    pub(super) offered: u64,
    pub(super) offered_work_us: f64,
    pub(super) timely: u64,
    pub(super) timely_work_us: f64,
}

/// Counts of a run.
#[derive(Clone, Debug)]
pub(super) struct Counts {
    pub(super) customers: Vec<CustomerCounts>,
    /// Number of requests refused as not run.
    pub(super) refused: u64,
    /// Number of requests refused with an unknown outcome.
    pub(super) unknown: u64,
    /// Number of requests answered after their deadline.
    pub(super) late: u64,
    pub(super) dispatched: u64,
    /// Number of dispatches of requests that had been dispatched before.
    pub(super) repeated_dispatches: u64,
    pub(super) shed: u64,
    /// Number of dispatches that reached an endpoint while all its slots were in use.
    pub(super) dispatches_over_slots: u64,
    pub(super) interactive_us: Histogram<u64>,
    pub(super) measured_time: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    ReachEndpoint { job: usize },
    Completion { endpoint: usize, version: u64 },
    Response { job: usize, is_shed: bool },
    Cancellation { job: usize },
    TimeLimit { job: usize },
    Tick,
}

struct Job {
    key: AttemptKey,
    endpoint: usize,
    work_us: f64,
    is_open: bool,
}

struct OpenRequest {
    arrival: Arrival,
    arrived_at: Time,
    dispatches: u32,
}

/// One run of a balancer under a workload.
pub(super) struct Simulation {
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    next_serial: u64,
    workload: Workload,
    next_arrival: Option<Arrival>,
    balancer: Box<dyn Balancer>,
    endpoints: Vec<SimEndpoint>,
    endpoint_index: BTreeMap<Name, usize>,
    jobs: Vec<Job>,
    job_by_key: FxHashMap<AttemptKey, usize>,
    open: FxHashMap<RequestId, OpenRequest>,
    counts: Counts,
}

impl Simulation {
    pub(super) fn new(workload: Workload, balancer: Box<dyn Balancer>) -> Simulation {
        let names = config().services.remove(0).endpoints.into_iter().map(|endpoint| endpoint.name);
        let endpoint_index: BTreeMap<Name, usize> =
            names.enumerate().map(|(index, name)| (name, index)).collect();
        let mut simulation = Simulation {
            now: Time::ZERO,
            events: BinaryHeap::new(),
            next_serial: 0,
            workload,
            next_arrival: None,
            balancer,
            endpoints: vec![SimEndpoint::new(SLOTS); endpoint_index.len()],
            endpoint_index,
            jobs: Vec::new(),
            job_by_key: FxHashMap::default(),
            open: FxHashMap::default(),
            counts: Counts {
                customers: vec![CustomerCounts::default(); CUSTOMERS.len()],
                refused: 0,
                unknown: 0,
                late: 0,
                dispatched: 0,
                repeated_dispatches: 0,
                shed: 0,
                dispatches_over_slots: 0,
                interactive_us: latency_histogram(),
                measured_time: END.since(WARM_UP),
            },
        };
        simulation.schedule_arrival();
        simulation.schedule(Time::ZERO, Event::Tick);
        simulation
    }

    /// Runs to the end and returns the counts.
    pub(super) fn run(mut self) -> Counts {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > END + DRAIN_TIME {
                break;
            }
            self.now = now;
            self.on_event(event);
        }
        self.counts
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.next_serial += 1;
        self.events.push(Reverse((at, self.next_serial, event)));
    }

    fn schedule_arrival(&mut self) {
        let (at, arrival) = self.workload.next();
        if at < END {
            self.next_arrival = Some(arrival);
            self.schedule(at, Event::Arrival);
        }
    }

    fn on_event(&mut self, event: Event) {
        let commands = match event {
            Event::Arrival => self.on_arrival(),
            Event::ReachEndpoint { job } => {
                self.on_reach_endpoint(job);
                Vec::new()
            }
            Event::Completion { endpoint, version } => {
                self.on_completion(endpoint, version);
                Vec::new()
            }
            Event::Response { job, is_shed } => self.on_response(job, is_shed),
            Event::Cancellation { job } => {
                let endpoint = self.jobs[job].endpoint;
                self.endpoints[endpoint].cancel(self.now, job);
                self.schedule_completion(endpoint);
                Vec::new()
            }
            Event::TimeLimit { job } => {
                self.close(job, Outcome::TimedOut { fresh_connection: false })
            }
            Event::Tick => {
                self.schedule(self.now + TICK, Event::Tick);
                self.balancer.on_tick(self.now)
            }
        };
        self.execute(commands);
    }

    fn on_arrival(&mut self) -> Vec<Command> {
        let Some(arrival) = self.next_arrival.take() else { return Vec::new() };
        self.schedule_arrival();
        if self.is_counted(self.now) {
            let counts = &mut self.counts.customers[arrival.customer];
            counts.offered += 1;
            counts.offered_work_us += arrival.work_us;
        }
        let request = arrival.request.clone();
        self.open.insert(request.id, OpenRequest { arrival, arrived_at: self.now, dispatches: 0 });
        self.balancer.on_request(self.now, request)
    }

    fn on_reach_endpoint(&mut self, job: usize) {
        let Job { endpoint, work_us, is_open, .. } = self.jobs[job];
        if !is_open {
            return;
        }
        if !self.endpoints[endpoint].start(self.now, job, work_us) {
            self.counts.shed += u64::from(self.is_counted(self.now));
            return self
                .schedule(self.now + ONE_WAY_LATENCY, Event::Response { job, is_shed: true });
        }
        let is_over_slots = self.endpoints[endpoint].is_over_slots() && self.is_counted(self.now);
        self.counts.dispatches_over_slots += u64::from(is_over_slots);
        self.schedule_completion(endpoint);
    }

    fn on_completion(&mut self, endpoint: usize, version: u64) {
        if self.endpoints[endpoint].version != version {
            return;
        }
        for job in self.endpoints[endpoint].take_completed(self.now) {
            self.schedule(self.now + ONE_WAY_LATENCY, Event::Response { job, is_shed: false });
        }
        self.schedule_completion(endpoint);
    }

    fn schedule_completion(&mut self, endpoint: usize) {
        let Some(at) = self.endpoints[endpoint].next_completion() else { return };
        let version = self.endpoints[endpoint].version;
        self.schedule(at, Event::Completion { endpoint, version });
    }

    fn on_response(&mut self, job: usize, is_shed: bool) -> Vec<Command> {
        if !self.jobs[job].is_open {
            return Vec::new();
        }
        self.jobs[job].is_open = false;
        let key = self.jobs[job].key;
        if is_shed {
            return self.balancer.on_outcome(self.now, key, Outcome::Shed);
        }
        let outcome = Outcome::Answered { status: 200, fresh_connection: false };
        let mut commands = self.balancer.on_outcome(self.now, key, outcome);
        commands.extend(self.balancer.on_body_end(self.now, key));
        commands
    }

    /// Closes an attempt's connection, which reaches the endpoint after the one-way latency.
    fn close(&mut self, job: usize, outcome: Outcome) -> Vec<Command> {
        if !self.jobs[job].is_open {
            return Vec::new();
        }
        self.jobs[job].is_open = false;
        self.schedule(self.now + ONE_WAY_LATENCY, Event::Cancellation { job });
        self.balancer.on_outcome(self.now, self.jobs[job].key, outcome)
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { key, request, endpoint, time_limit } => {
                    self.send(key, request, &endpoint, time_limit);
                }
                Command::Cancel { key } => self.end_attempt(key, Outcome::Cancelled),
                Command::Abandon { key } => {
                    self.end_attempt(key, Outcome::TimedOut { fresh_connection: true });
                }
                Command::Deliver { request } => self.on_delivered(request),
                Command::Refuse { request, execution } => self.on_refused(request, execution),
            }
        }
    }

    fn end_attempt(&mut self, key: AttemptKey, outcome: Outcome) {
        if let Some(job) = self.job_by_key.get(&key).copied() {
            let commands = self.close(job, outcome);
            self.execute(commands);
        }
    }

    fn send(&mut self, key: AttemptKey, request: RequestId, endpoint: &Name, time_limit: Time) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.dispatches += 1;
        let (is_repeated, work_us) = (open.dispatches > 1, open.arrival.work_us);
        if self.is_counted(self.now) {
            self.counts.dispatched += 1;
            self.counts.repeated_dispatches += u64::from(is_repeated);
        }
        let job = self.jobs.len();
        let endpoint = self.endpoint_index[endpoint];
        self.jobs.push(Job { key, endpoint, work_us, is_open: true });
        self.job_by_key.insert(key, job);
        self.schedule(self.now + ONE_WAY_LATENCY, Event::ReachEndpoint { job });
        self.schedule(time_limit, Event::TimeLimit { job });
    }

    fn on_delivered(&mut self, request: RequestId) {
        let Some(open) = self.open.remove(&request) else { return };
        if !self.is_counted(open.arrived_at) {
            return;
        }
        if self.now > open.arrival.request.deadline {
            self.counts.late += 1;
            return;
        }
        let counts = &mut self.counts.customers[open.arrival.customer];
        counts.timely += 1;
        counts.timely_work_us += open.arrival.work_us;
        if open.arrival.request.class == Class::Interactive {
            let latency_us = self.now.since(open.arrived_at).as_micros() as u64;
            self.counts.interactive_us.saturating_record(latency_us);
        }
    }

    fn on_refused(&mut self, request: RequestId, execution: Execution) {
        let Some(open) = self.open.remove(&request) else { return };
        let count = u64::from(self.is_counted(open.arrived_at));
        match execution {
            Execution::NotRun => self.counts.refused += count,
            Execution::Unknown => self.counts.unknown += count,
        }
    }

    fn is_counted(&self, at: Time) -> bool {
        WARM_UP <= at && at < END
    }
}

/// # Panics
///
/// Never: the bounds are constants that the histogram accepts.
fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid")
}
