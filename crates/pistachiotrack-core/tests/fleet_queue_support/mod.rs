//! Several dispatchers with their endpoints and callers, in logical time.

// Each test file uses only a part of it.
#![allow(dead_code)]

#[path = "../shared_support/mod.rs"]
mod shared_support;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use pistachiotrack_core::{
    config::Config,
    name::Name,
    ownership::ShardId,
    request::{AttemptId, BodyEnd, Class, EndpointReport, Outcome, Request, RequestId},
    retry::VisibleDispatchers,
    shard::{Shard, ShardAction, ShardMode, ShardSettings, ShardUpdate},
    time::Time,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg32;
pub(crate) use shared_support::START;

/// Requests that an endpoint queues beyond its slots before it refuses more.
const ENDPOINT_QUEUE: usize = 24;
/// Interval of ticks, as in the daemon.
const TICK: Duration = Duration::from_millis(20);
/// Longest time for which a slot may be unused while a request that may use it is queued.
pub(crate) const MAX_UNUSED: Duration = Duration::from_millis(50);

pub(crate) fn vm_name(vm: usize) -> Name {
    Name::from(format!("vm-{vm:02}"))
}

pub(crate) fn fleet_config(endpoints: u32, slots: u32, fleet_queue: bool) -> Config {
    let mut config = shared_support::config(endpoints);
    let service = &mut config.services[0];
    service.contention.fleet_queue = fleet_queue;
    service.queue_limit = 2_000;
    service.endpoints.iter_mut().for_each(|endpoint| endpoint.slots = slots);
    config
}

pub(crate) fn fleet_shard(config: &Config, vm: usize, vms: usize, now: Time) -> Shard {
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let seed = 7 + vm as u64;
    let settings = ShardSettings { mode: ShardMode::Shared, seed, ..ShardSettings::default() };
    let mut shard = Shard::new(now, id, config, settings);
    shard.set_dispatchers(
        now,
        VisibleDispatchers { count: vms as u32, is_member: true, ..VisibleDispatchers::default() },
    );
    let names: Vec<Name> = (0..vms).map(vm_name).collect();
    shard.set_dispatcher_names(&vm_name(vm), &names);
    shard
}

/// A request of the workload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) vm: usize,
    pub(crate) kind: usize,
    pub(crate) class: Class,
    pub(crate) service: Duration,
    pub(crate) time: Duration,
}

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub(crate) arrival: Arrival,
    pub(crate) runs: u32,
    pub(crate) finals: u32,
    pub(crate) served: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Done { endpoint: usize, vm: usize, attempt: AttemptId },
    Update { to: usize, from: usize, update: ShardUpdate },
    Tick(usize),
    Wake(usize),
}

#[derive(Clone, Debug, Default)]
struct SimEndpoint {
    running: u32,
    queued: VecDeque<(usize, AttemptId, RequestId)>,
}

/// Settings of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) vms: usize,
    pub(crate) endpoints: u32,
    pub(crate) slots: u32,
    pub(crate) fleet_queue: bool,
    pub(crate) loss: f64,
    /// VM whose updates neither leave nor arrive.
    pub(crate) cut_off: Option<usize>,
    pub(crate) seed: u64,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            vms: 6,
            endpoints: 12,
            slots: 3,
            fleet_queue: true,
            loss: 0.1,
            cut_off: None,
            seed: 1,
        }
    }
}

/// Dispatchers with their endpoints.
pub(crate) struct Fleet {
    pub(crate) settings: FleetSettings,
    pub(crate) now: Time,
    pub(crate) shards: Vec<Shard>,
    pub(crate) records: Vec<Record>,
    /// VMs that are paused, and until when.
    paused_until: BTreeMap<usize, (Time, Duration)>,
    /// Since when each free slot of an endpoint is free in a VM's view while it has queued
    /// requests, the oldest first.
    free_since: BTreeMap<(usize, Name), Vec<Time>>,
    /// Longest time for which that was so.
    pub(crate) longest_unused: Duration,
    /// Groups of VMs that receive each other's updates.
    pub(crate) group: Vec<u8>,
    /// Number of updates without endpoints that all VMs have sent.
    pub(crate) bare_updates: u32,
    endpoints: Vec<SimEndpoint>,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    slab: Vec<Event>,
    serial: u64,
    rng: Pcg32,
    wakes: BTreeMap<usize, Time>,
}

impl Fleet {
    pub(crate) fn new(settings: FleetSettings, arrivals: &[Arrival]) -> Fleet {
        let config = fleet_config(settings.endpoints, settings.slots, settings.fleet_queue);
        let vms = settings.vms;
        let mut fleet = Fleet {
            now: START,
            shards: (0..vms).map(|vm| fleet_shard(&config, vm, vms, START)).collect(),
            records: Vec::new(),
            paused_until: BTreeMap::new(),
            free_since: BTreeMap::new(),
            longest_unused: Duration::ZERO,
            group: vec![0; vms],
            bare_updates: 0,
            endpoints: vec![SimEndpoint::default(); settings.endpoints as usize],
            events: BinaryHeap::new(),
            slab: Vec::new(),
            serial: 0,
            rng: Pcg32::seed_from_u64(settings.seed),
            wakes: BTreeMap::new(),
            settings,
        };
        for arrival in arrivals {
            let record = Record { arrival: *arrival, runs: 0, finals: 0, served: false };
            fleet.records.push(record);
            fleet.schedule(arrival.at, Event::Arrive(fleet.records.len() - 1));
        }
        for vm in 0..vms {
            fleet.schedule(START + Duration::from_millis(3 * vm as u64), Event::Tick(vm));
        }
        fleet
    }

    /// Runs all events until `end`.
    pub(crate) fn run_until(&mut self, end: Time) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, index))) = self.events.pop() else { return };
            self.now = at;
            self.handle(self.slab[index].clone());
        }
        self.now = end;
    }

    /// Pauses a VM for a time; its events wait until the end of the pause.
    pub(crate) fn pause(&mut self, vm: usize, time: Duration) {
        self.paused_until.insert(vm, (self.now + time, time));
        self.free_since.retain(|(other, _), _| *other != vm);
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.serial += 1;
        self.slab.push(event);
        self.events.push(Reverse((at, self.serial, self.slab.len() - 1)));
    }

    fn handle(&mut self, event: Event) {
        let vm = match &event {
            Event::Arrive(index) => self.records[*index].arrival.vm,
            Event::Done { vm, .. } | Event::Tick(vm) | Event::Wake(vm) => *vm,
            Event::Update { to, .. } => *to,
        };
        if let Event::Done { endpoint, .. } = &event {
            self.start_next(*endpoint);
        }
        if let Some((until, gap)) = self.paused_until.get(&vm).copied() {
            if until > self.now {
                // The slot of an endpoint is free although its VM doesn't know of it yet.
                let later = match event {
                    Event::Done { vm, attempt, .. } => {
                        Event::Done { endpoint: usize::MAX, vm, attempt }
                    }
                    other => other,
                };
                return self.schedule(until, later);
            }
            self.paused_until.remove(&vm);
            let actions = self.shards[vm].on_pause(self.now, gap);
            self.apply(vm, actions);
        }
        let now = self.now;
        let actions = match event {
            Event::Arrive(index) => {
                let request = self.request(index);
                self.shards[vm].on_request(now, request)
            }
            Event::Done { attempt, .. } => {
                let outcome = Outcome::Answered { status: 200, fresh_connection: false };
                let report = EndpointReport::default();
                let mut actions = self.shards[vm].on_outcome(now, attempt, outcome, report);
                actions.extend(self.shards[vm].on_body_end(now, attempt, BodyEnd::Complete));
                actions
            }
            Event::Update { from, update, .. } => {
                self.shards[vm].on_update(now, &vm_name(from), &update)
            }
            Event::Tick(_) => {
                self.schedule(now + TICK, Event::Tick(vm));
                self.shards[vm].on_tick(now)
            }
            Event::Wake(_) => {
                self.wakes.remove(&vm);
                self.shards[vm].on_tick(now)
            }
        };
        self.apply(vm, actions);
        self.record_unused_slots(vm);
        if let Some(until) = self.shards[vm].deferred_until()
            && until > now
            && self.wakes.get(&vm).is_none_or(|at| *at > until)
        {
            self.wakes.insert(vm, until);
            self.schedule(until, Event::Wake(vm));
        }
    }

    /// Records slots that a VM could use for a queued request and doesn't.
    fn record_unused_slots(&mut self, vm: usize) {
        let shard = &self.shards[vm];
        let queued = shard.fleet_queue_status(self.now).map_or(0, |status| status.queued);
        for endpoint in shard.endpoints(self.now) {
            let key = (vm, endpoint.endpoint);
            if queued == 0 || endpoint.in_flight >= endpoint.limit {
                self.free_since.remove(&key);
                continue;
            }
            // A slot that a peer has taken is the one that has been free for the shortest time.
            let free = (endpoint.limit - endpoint.in_flight) as usize;
            let since = self.free_since.entry(key).or_default();
            since.resize(free, self.now);
            self.longest_unused = self.longest_unused.max(self.now.since(since[0]));
        }
    }

    fn request(&self, index: usize) -> Request {
        let arrival = self.records[index].arrival;
        Request {
            id: RequestId(index as u64),
            class: arrival.class,
            deadline: arrival.at + arrival.time,
            ..shared_support::booking(0, self.now)
        }
    }

    fn apply(&mut self, vm: usize, actions: Vec<ShardAction>) {
        let mut pending = VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            match action {
                ShardAction::Dispatch(dispatch) => {
                    // The VM uses the slot that has been free for longest.
                    let free = self.free_since.get_mut(&(vm, dispatch.endpoint.clone()));
                    if let Some(since) = free.filter(|since| !since.is_empty()) {
                        since.remove(0);
                    }
                    let name = dispatch.endpoint.as_str();
                    let endpoint: usize = name.rsplit('-').next().unwrap().parse().unwrap();
                    let attempt = (vm, dispatch.attempt, dispatch.request);
                    if !self.send(endpoint, attempt) {
                        let report = EndpointReport::default();
                        let shed =
                            self.shards[vm].on_outcome(self.now, attempt.1, Outcome::Shed, report);
                        pending.extend(shed);
                    }
                }
                ShardAction::Deliver { request, .. } => {
                    let record = &mut self.records[request.0 as usize];
                    record.finals += 1;
                    record.served = self.now <= record.arrival.at + record.arrival.time;
                }
                ShardAction::Refuse { request, .. } => {
                    self.records[request.0 as usize].finals += 1;
                }
                ShardAction::Broadcast(update) => self.broadcast(vm, &update),
                _ => {}
            }
        }
    }

    fn broadcast(&mut self, from: usize, update: &ShardUpdate) {
        if update.endpoints.is_empty() {
            self.bare_updates += 1;
        }
        for to in (0..self.settings.vms).filter(|to| *to != from) {
            let is_cut = [Some(from), Some(to)].contains(&self.settings.cut_off)
                || self.group[from] != self.group[to];
            if is_cut || self.rng.random::<f64>() < self.settings.loss {
                continue;
            }
            let copies = if self.rng.next_u32().is_multiple_of(50) { 2 } else { 1 };
            for _ in 0..copies {
                let delay = Duration::from_micros(u64::from(500 + self.rng.next_u32() % 4_000));
                let event = Event::Update { to, from, update: update.clone() };
                self.schedule(self.now + delay, event);
            }
        }
    }

    /// Sends a request to an endpoint; returns whether it accepts it.
    fn send(&mut self, endpoint: usize, attempt: (usize, AttemptId, RequestId)) -> bool {
        if self.endpoints[endpoint].running < self.settings.slots {
            self.run(endpoint, attempt);
            return true;
        }
        let queued = &mut self.endpoints[endpoint].queued;
        if queued.len() >= ENDPOINT_QUEUE {
            return false;
        }
        queued.push_back(attempt);
        true
    }

    fn run(&mut self, endpoint: usize, (vm, attempt, request): (usize, AttemptId, RequestId)) {
        self.endpoints[endpoint].running += 1;
        let record = &mut self.records[request.0 as usize];
        record.runs += 1;
        let ends_at = self.now + record.arrival.service;
        self.schedule(ends_at, Event::Done { endpoint, vm, attempt });
    }

    fn start_next(&mut self, endpoint: usize) {
        let Some(entry) = self.endpoints.get_mut(endpoint) else { return };
        entry.running -= 1;
        if let Some(attempt) = entry.queued.pop_front() {
            self.run(endpoint, attempt);
        }
    }

    /// Returns whether an endpoint has a free slot.
    pub(crate) fn has_free_slot(&self, endpoint: usize) -> bool {
        self.endpoints[endpoint].running < self.settings.slots
    }
}

/// Returns the share of the requests that `which` selects which was served.
pub(crate) fn served_share(records: &[Record], which: impl Fn(&Arrival) -> bool) -> f64 {
    let selected: Vec<&Record> = records.iter().filter(|it| which(&it.arrival)).collect();
    let served = selected.iter().filter(|record| record.served).count();
    served as f64 / selected.len().max(1) as f64
}

/// Serves the arrivals from one queue with complete information: most urgent class first, within
/// a class the request that has used the larger fraction of its time. A request that would be
/// answered too late isn't started.
pub(crate) fn oracle(arrivals: &[Arrival], slots: usize) -> Vec<Record> {
    let record =
        |arrival: &Arrival| Record { arrival: *arrival, runs: 0, finals: 0, served: false };
    let mut records: Vec<Record> = arrivals.iter().map(record).collect();
    let mut free_at: BinaryHeap<Reverse<Time>> = (0..slots).map(|_| Reverse(START)).collect();
    let mut queue: Vec<usize> = Vec::new();
    let mut next = 0;
    while let Some(Reverse(free)) = free_at.pop() {
        let mut now = free;
        if queue.is_empty() {
            let Some(arrival) = arrivals.get(next) else { break };
            now = now.max(arrival.at);
        }
        while arrivals.get(next).is_some_and(|arrival| arrival.at <= now) {
            queue.push(next);
            next += 1;
        }
        queue.retain(|index| {
            let arrival = &arrivals[*index];
            now + arrival.service <= arrival.at + arrival.time
        });
        let used = |index: usize| {
            let arrival = &arrivals[index];
            now.since(arrival.at).as_secs_f64() / (arrival.time - arrival.service).as_secs_f64()
        };
        let first = (0..queue.len()).min_by(|a, b| {
            let (a, b) = (queue[*a], queue[*b]);
            let by_class = arrivals[a].class.cmp(&arrivals[b].class);
            by_class.then(used(b).total_cmp(&used(a)))
        });
        let Some(first) = first else {
            free_at.push(Reverse(now));
            continue;
        };
        let index = queue.swap_remove(first);
        records[index].served = true;
        free_at.push(Reverse(now + arrivals[index].service));
    }
    records
}
