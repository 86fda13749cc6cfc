//! Events in logical time between callers, balancer and endpoints.

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
    balancer::{Balancer, Command, Tag},
    endpoint::SimEndpoint,
    workload::{Arrival, BUYERS, SLOTS, Workload, config},
};

/// Time from a VM to an endpoint or back.
const ONE_WAY: Duration = Duration::from_micros(500);
/// Time between two ticks of the balancer.
const TICK: Duration = Duration::from_millis(20);
/// Requests that come before this are not counted.
const WARM_UP: Time = Time::from_millis(5_000);
/// Requests that come from here on are not counted.
const END: Time = Time::from_millis(65_000);
/// Time in which the last counted requests come to their end.
const RUN_OUT: Duration = Duration::from_secs(10);

/// Largest latency that is told apart.
const MAX_LATENCY_US: u64 = 60_000_000;

/// What was counted for one customer.
#[derive(Clone, Debug, Default)]
pub(super) struct BuyerCounts {
    pub(super) asked: u64,
    pub(super) asked_work_us: f64,
    pub(super) good: u64,
    pub(super) good_work_us: f64,
}

/// What was counted.
#[derive(Clone, Debug)]
pub(super) struct Counts {
    pub(super) buyers: Vec<BuyerCounts>,
    /// Requests refused as not run.
    pub(super) refused: u64,
    /// Requests refused with an unknown outcome.
    pub(super) unknown: u64,
    pub(super) late: u64,
    pub(super) dispatched: u64,
    /// Dispatches of a request that had been dispatched before.
    pub(super) again: u64,
    pub(super) shed: u64,
    /// Dispatches that an endpoint got while all its slots were in use.
    pub(super) overshot: u64,
    pub(super) interactive_us: Histogram<u64>,
    pub(super) counted: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach { job: usize },
    Done { endpoint: usize, version: u64 },
    Answer { job: usize, is_shed: bool },
    Cancelled { job: usize },
    TimeLimit { job: usize },
    Tick,
}

struct Job {
    tag: Tag,
    endpoint: usize,
    work_us: f64,
    is_open: bool,
}

struct Open {
    arrival: Arrival,
    came_at: Time,
    dispatches: u32,
}

/// One run of a balancer before a workload.
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
    by_tag: FxHashMap<Tag, usize>,
    open: FxHashMap<RequestId, Open>,
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
            by_tag: FxHashMap::default(),
            open: FxHashMap::default(),
            counts: Counts {
                buyers: vec![BuyerCounts::default(); BUYERS.len()],
                refused: 0,
                unknown: 0,
                late: 0,
                dispatched: 0,
                again: 0,
                shed: 0,
                overshot: 0,
                interactive_us: latencies(),
                counted: END.since(WARM_UP),
            },
        };
        simulation.schedule_arrival();
        simulation.schedule(Time::ZERO, Event::Tick);
        simulation
    }

    /// Runs to the end and returns what was counted.
    pub(super) fn run(mut self) -> Counts {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > END + RUN_OUT {
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
            self.schedule(at, Event::Arrive);
        }
    }

    fn on_event(&mut self, event: Event) {
        let commands = match event {
            Event::Arrive => self.on_arrive(),
            Event::Reach { job } => {
                self.on_reach(job);
                Vec::new()
            }
            Event::Done { endpoint, version } => {
                self.on_done(endpoint, version);
                Vec::new()
            }
            Event::Answer { job, is_shed } => self.on_answer(job, is_shed),
            Event::Cancelled { job } => {
                let endpoint = self.jobs[job].endpoint;
                self.endpoints[endpoint].cancel(self.now, job);
                self.schedule_done(endpoint);
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
        self.obey(commands);
    }

    fn on_arrive(&mut self) -> Vec<Command> {
        let Some(arrival) = self.next_arrival.take() else { return Vec::new() };
        self.schedule_arrival();
        if self.is_counted(self.now) {
            let counts = &mut self.counts.buyers[arrival.buyer];
            counts.asked += 1;
            counts.asked_work_us += arrival.work_us;
        }
        let request = arrival.request.clone();
        self.open.insert(request.id, Open { arrival, came_at: self.now, dispatches: 0 });
        self.balancer.on_request(self.now, request)
    }

    fn on_reach(&mut self, job: usize) {
        let Job { endpoint, work_us, is_open, .. } = self.jobs[job];
        if !is_open {
            return;
        }
        if !self.endpoints[endpoint].start(self.now, job, work_us) {
            self.counts.shed += u64::from(self.is_counted(self.now));
            return self.schedule(self.now + ONE_WAY, Event::Answer { job, is_shed: true });
        }
        let is_over = self.endpoints[endpoint].is_over() && self.is_counted(self.now);
        self.counts.overshot += u64::from(is_over);
        self.schedule_done(endpoint);
    }

    fn on_done(&mut self, endpoint: usize, version: u64) {
        if self.endpoints[endpoint].version != version {
            return;
        }
        for job in self.endpoints[endpoint].take_done(self.now) {
            self.schedule(self.now + ONE_WAY, Event::Answer { job, is_shed: false });
        }
        self.schedule_done(endpoint);
    }

    fn schedule_done(&mut self, endpoint: usize) {
        let Some(at) = self.endpoints[endpoint].next_done() else { return };
        let version = self.endpoints[endpoint].version;
        self.schedule(at, Event::Done { endpoint, version });
    }

    fn on_answer(&mut self, job: usize, is_shed: bool) -> Vec<Command> {
        if !self.jobs[job].is_open {
            return Vec::new();
        }
        self.jobs[job].is_open = false;
        let tag = self.jobs[job].tag;
        if is_shed {
            return self.balancer.on_outcome(self.now, tag, Outcome::Shed);
        }
        let outcome = Outcome::Answered { status: 200, fresh_connection: false };
        let mut commands = self.balancer.on_outcome(self.now, tag, outcome);
        commands.extend(self.balancer.on_body_end(self.now, tag));
        commands
    }

    /// Closes an attempt's connection, which the endpoint sees a little later.
    fn close(&mut self, job: usize, outcome: Outcome) -> Vec<Command> {
        if !self.jobs[job].is_open {
            return Vec::new();
        }
        self.jobs[job].is_open = false;
        self.schedule(self.now + ONE_WAY, Event::Cancelled { job });
        self.balancer.on_outcome(self.now, self.jobs[job].tag, outcome)
    }

    fn obey(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { tag, request, endpoint, time_limit } => {
                    self.send(tag, request, &endpoint, time_limit);
                }
                Command::Cancel { tag } => self.end(tag, Outcome::Cancelled),
                Command::GiveUp { tag } => {
                    self.end(tag, Outcome::TimedOut { fresh_connection: true });
                }
                Command::Deliver { request } => self.on_delivered(request),
                Command::Refuse { request, execution } => self.on_refused(request, execution),
            }
        }
    }

    fn end(&mut self, tag: Tag, outcome: Outcome) {
        if let Some(job) = self.by_tag.get(&tag).copied() {
            let more = self.close(job, outcome);
            self.obey(more);
        }
    }

    fn send(&mut self, tag: Tag, request: RequestId, endpoint: &Name, time_limit: Time) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.dispatches += 1;
        let (is_again, work_us) = (open.dispatches > 1, open.arrival.work_us);
        if self.is_counted(self.now) {
            self.counts.dispatched += 1;
            self.counts.again += u64::from(is_again);
        }
        let job = self.jobs.len();
        let endpoint = self.endpoint_index[endpoint];
        self.jobs.push(Job { tag, endpoint, work_us, is_open: true });
        self.by_tag.insert(tag, job);
        self.schedule(self.now + ONE_WAY, Event::Reach { job });
        self.schedule(time_limit, Event::TimeLimit { job });
    }

    fn on_delivered(&mut self, request: RequestId) {
        let Some(open) = self.open.remove(&request) else { return };
        if !self.is_counted(open.came_at) {
            return;
        }
        if self.now > open.arrival.request.deadline {
            self.counts.late += 1;
            return;
        }
        let counts = &mut self.counts.buyers[open.arrival.buyer];
        counts.good += 1;
        counts.good_work_us += open.arrival.work_us;
        if open.arrival.request.class == Class::Interactive {
            let latency_us = self.now.since(open.came_at).as_micros() as u64;
            self.counts.interactive_us.saturating_record(latency_us);
        }
    }

    fn on_refused(&mut self, request: RequestId, execution: Execution) {
        let Some(open) = self.open.remove(&request) else { return };
        let count = u64::from(self.is_counted(open.came_at));
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
fn latencies() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid")
}
