//! Dispatchers of a service whose endpoints refuse requests for a while, in logical time.

#![allow(dead_code)]

pub(crate) mod limit;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use pistachiotrack_core::{
    config::Config,
    data_centre::DataCentre,
    name::Name,
    ownership::ShardId,
    refusal::{Execution, RefusalDecision},
    request::{AttemptId, BodyEnd, EndpointReport, Outcome, RequestId},
    retry::{RightsGrant, RightsRequest, VisibleDispatchers},
    shard::{Dispatch, Shard, ShardAction, ShardMode, ShardSettings, ShardUpdate},
    time::Time,
};

use self::limit::SentLog;
use crate::shared_support::{self, START, booking};

const ENDPOINT_SLOTS: u32 = 6;
const REFUSAL_MS: u64 = 1;
const TICK_MS: u64 = 25;
const PAUSE_MS: u64 = 1_500;

/// When an endpoint refuses a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Refusing {
    /// At random, with this probability in percent.
    Percent(u64),
    /// While it has this many requests in flight.
    Beyond(u32),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) dispatchers: u32,
    pub(crate) endpoints: u32,
    pub(crate) per_second: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) refusing: Refusing,
    /// Times since the start between which endpoints refuse requests.
    pub(crate) episode_ms: (u64, u64),
    /// End of the arrivals, and of the run.
    pub(crate) arrivals_ms: u64,
    pub(crate) end_ms: u64,
    /// Percentages of callers that disconnect, and of attempts with a broken connection or a
    /// failure status.
    pub(crate) gone_percent: u64,
    pub(crate) broken_percent: u64,
    pub(crate) failed_percent: u64,
    /// Time at which the first VM is paused for 1.5 s.
    pub(crate) pause_ms: Option<u64>,
    pub(crate) update_delay_ms: u64,
    pub(crate) seed: u64,
}

pub(crate) fn held_config(endpoints: u32) -> Config {
    let mut config = shared_support::config(endpoints);
    let data_centre =
        |name: &str| DataCentre { name: Name::from(name), region: Name::from("oslo") };
    config.data_centres = ["oslo-1", "oslo-2", "oslo-3"].map(data_centre).to_vec();
    let service = &mut config.services[0];
    service.contention.hold_retries = true;
    service.queue_limit = 256;
    service.endpoints.iter_mut().for_each(|endpoint| endpoint.slots = ENDPOINT_SLOTS);
    config
}

pub(crate) fn held_shard(config: &Config, seed: u64, dispatchers: u32) -> Shard {
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let settings = ShardSettings { mode: ShardMode::Shared, seed, ..ShardSettings::default() };
    let mut shard = Shard::new(START, id, config, settings);
    shard.set_dispatchers(
        START,
        VisibleDispatchers { count: dispatchers, is_member: true, ..VisibleDispatchers::default() },
    );
    shard
}

#[derive(Debug)]
enum Event {
    Arrival,
    Gone { id: u64 },
    Pause,
    Tick(usize),
    Ended { vm: usize, attempt: AttemptId, outcome: Outcome },
    Update { vm: usize, from: usize, update: ShardUpdate },
    RightsRequest { vm: usize, from: usize, request: RightsRequest },
    RightsGrant { vm: usize, grant: RightsGrant },
}

/// What happened to a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub(crate) arrived: Time,
    pub(crate) vm: usize,
    pub(crate) attempts: u32,
    pub(crate) runs: u32,
    pub(crate) last_refused_at: Option<Time>,
    pub(crate) not_after: Time,
    pub(crate) served: bool,
    pub(crate) refused: Option<(Time, RefusalDecision)>,
    /// Requests held by all VMs when it was refused.
    pub(crate) held_then: u64,
    pub(crate) ends: u32,
    pub(crate) is_gone: bool,
    pub(crate) idempotent: bool,
}

pub(crate) struct Fleet {
    pub(crate) load: Load,
    pub(crate) vms: Vec<Shard>,
    pub(crate) records: BTreeMap<u64, Record>,
    pub(crate) sent: SentLog,
    pub(crate) max_held: u64,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    payloads: BTreeMap<u64, Event>,
    dispatches: BTreeMap<(usize, AttemptId), Dispatch>,
    in_flight: BTreeMap<Name, u32>,
    next_event: u64,
    next_request: u64,
}

fn name(vm: usize) -> Name {
    Name::from(format!("vm-{vm}"))
}

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

pub(crate) fn hash(seed: u64, value: u64) -> u64 {
    let mut x = (seed ^ value.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_add(value);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

impl Fleet {
    pub(crate) fn new(load: Load) -> Fleet {
        let config = held_config(load.endpoints);
        let vms = (0..load.dispatchers)
            .map(|vm| held_shard(&config, hash(load.seed, u64::from(vm)), load.dispatchers))
            .collect();
        let mut fleet = Fleet {
            load,
            vms,
            records: BTreeMap::new(),
            sent: SentLog::default(),
            max_held: 0,
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_event: 0,
            next_request: 0,
        };
        fleet.schedule(at(1), Event::Arrival);
        if let Some(pause_ms) = load.pause_ms {
            fleet.schedule(at(pause_ms), Event::Pause);
        }
        for vm in 0..fleet.vms.len() {
            fleet.schedule(at(3 + 4 * vm as u64), Event::Tick(vm));
        }
        fleet
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((time, self.next_event)));
        self.payloads.insert(self.next_event, event);
    }

    pub(crate) fn run(mut self) -> Fleet {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > at(self.load.end_ms) {
                break;
            }
            let event = self.payloads.remove(&event).unwrap();
            self.handle(now, event);
        }
        self
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrival => self.arrive(now),
            Event::Gone { id } => self.leave(now, id),
            Event::Pause => {
                let actions = self.vms[0].on_pause(now, Duration::from_millis(PAUSE_MS));
                let sends = |action: &ShardAction| matches!(action, ShardAction::Dispatch(_));
                assert!(!actions.iter().any(sends), "something is sent in on_pause");
                self.apply(now, 0, actions);
            }
            Event::Tick(vm) => {
                let actions = self.vms[vm].on_tick(now);
                self.apply(now, vm, actions);
                let held = self.vms.iter().map(|vm| vm.held_retries().held).sum();
                self.max_held = self.max_held.max(held);
                self.schedule(now + Duration::from_millis(TICK_MS), Event::Tick(vm));
            }
            Event::Ended { vm, attempt, outcome } => self.end(now, vm, attempt, outcome),
            Event::Update { vm, from, update } => {
                let actions = self.vms[vm].on_update(now, &name(from), &update);
                self.apply(now, vm, actions);
            }
            Event::RightsRequest { vm, from, request } => {
                let grant = self.vms[vm].on_rights_request(now, request).unwrap();
                let time = now + Duration::from_millis(self.load.update_delay_ms);
                self.schedule(time, Event::RightsGrant { vm: from, grant });
            }
            Event::RightsGrant { vm, grant } => {
                let actions = self.vms[vm].on_rights_grant(now, grant);
                self.apply(now, vm, actions);
            }
        }
    }

    fn arrive(&mut self, now: Time) {
        self.next_request += 1;
        let id = self.next_request;
        let vm = (hash(self.load.seed ^ 7, id) % self.vms.len() as u64) as usize;
        let mut request = booking(id, now);
        request.deadline = now + Duration::from_millis(self.load.deadline_ms);
        request.idempotent = id.is_multiple_of(2);
        let idempotent = request.idempotent;
        let record = Record { arrived: now, vm, idempotent, ..Record::default() };
        self.records.insert(id, record);
        let actions = self.vms[vm].on_request(now, request);
        self.apply(now, vm, actions);
        let gap_us = 1_000_000 / self.load.per_second;
        let next = now + Duration::from_micros(gap_us / 2 + hash(id, 3) % gap_us);
        if next < at(self.load.arrivals_ms) {
            self.schedule(next, Event::Arrival);
        }
        if hash(self.load.seed ^ 13, id) % 100 < self.load.gone_percent {
            let after = hash(id, 17) % self.load.deadline_ms;
            self.schedule(now + Duration::from_millis(after), Event::Gone { id });
        }
    }

    fn leave(&mut self, now: Time, id: u64) {
        let record = self.records.get_mut(&id).unwrap();
        if record.ends > 0 {
            return;
        }
        record.is_gone = true;
        let vm = record.vm;
        let actions = self.vms[vm].on_cancel(now, RequestId(id));
        self.apply(now, vm, actions);
    }

    fn end(&mut self, now: Time, vm: usize, attempt: AttemptId, outcome: Outcome) {
        let dispatch = self.dispatches.remove(&(vm, attempt)).unwrap();
        if let Some(record) = self.records.get_mut(&dispatch.request.0) {
            if outcome == Outcome::Shed {
                record.last_refused_at = Some(now);
                record.not_after = dispatch.not_after;
            } else {
                *self.in_flight.entry(dispatch.endpoint).or_default() -= 1;
            }
        }
        let mut actions = self.vms[vm].on_outcome(now, attempt, outcome, EndpointReport::default());
        if matches!(outcome, Outcome::Answered { .. }) {
            actions.extend(self.vms[vm].on_body_end(now, attempt, BodyEnd::Complete));
        }
        self.apply(now, vm, actions);
    }

    fn is_refused(&mut self, now: Time, dispatch: &Dispatch, attempts: u32) -> bool {
        let (begin, end) = self.load.episode_ms;
        if now < at(begin) || now >= at(end) {
            return false;
        }
        match self.load.refusing {
            Refusing::Percent(percent) => {
                let coin = hash(self.load.seed ^ 11, dispatch.request.0 * 16 + u64::from(attempts));
                coin % 100 < percent
            }
            Refusing::Beyond(limit) => {
                self.in_flight.get(&dispatch.endpoint).is_some_and(|count| *count >= limit)
            }
        }
    }

    fn apply(&mut self, now: Time, vm: usize, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Dispatch(dispatch) => self.dispatch(now, vm, dispatch),
                ShardAction::Deliver { request, .. } => {
                    let record = self.records.get_mut(&request.0).unwrap();
                    assert!(!record.is_gone, "an answer for a caller that is gone");
                    record.served = true;
                    record.ends += 1;
                }
                ShardAction::Refuse { request, refusal } => self.refuse(now, request, refusal),
                ShardAction::Broadcast(update) => {
                    for to in (0..self.vms.len()).filter(|to| *to != vm) {
                        let time = now + Duration::from_millis(self.load.update_delay_ms);
                        let update = update.clone();
                        self.schedule(time, Event::Update { vm: to, from: vm, update });
                    }
                }
                ShardAction::RequestRetryRights { to, request } => {
                    let time = now + Duration::from_millis(self.load.update_delay_ms);
                    let to = (0..self.vms.len()).find(|other| name(*other) == to).unwrap();
                    self.schedule(time, Event::RightsRequest { vm: to, from: vm, request });
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, now: Time, vm: usize, dispatch: Dispatch) {
        let id = dispatch.request.0;
        let attempts = {
            let record = self.records.get_mut(&id).unwrap();
            record.attempts += 1;
            record.attempts
        };
        self.sent.record(now, attempts > 1);
        let is_refused = self.is_refused(now, &dispatch, attempts);
        let (outcome, after) = if is_refused {
            (Outcome::Shed, REFUSAL_MS)
        } else {
            *self.in_flight.entry(dispatch.endpoint.clone()).or_default() += 1;
            self.records.get_mut(&id).unwrap().runs += 1;
            let after = 160 + hash(self.load.seed ^ 5, id) % 150;
            let coin = hash(self.load.seed ^ 19, id * 16 + u64::from(attempts)) % 100;
            let status = match coin < self.load.failed_percent {
                true => 503,
                false => 200,
            };
            match coin >= 100 - self.load.broken_percent {
                true => (Outcome::Broken { fresh_connection: true }, after),
                false => (Outcome::Answered { status, fresh_connection: true }, after),
            }
        };
        let attempt = dispatch.attempt;
        self.dispatches.insert((vm, attempt), dispatch);
        self.schedule(now + Duration::from_millis(after), Event::Ended { vm, attempt, outcome });
    }

    fn refuse(&mut self, now: Time, request: RequestId, refusal: RefusalDecision) {
        let held_then = self.vms.iter().map(|vm| vm.held_retries().held).sum();
        let record = self.records.get_mut(&request.0).unwrap();
        let is_true = refusal.execution == Execution::Unknown || record.runs == 0;
        assert!(is_true, "{request:?} ran and was refused as not run");
        record.refused = Some((now, refusal));
        record.held_then = held_then;
        record.ends += 1;
    }

    /// Returns the requests that an endpoint refused at least once.
    pub(crate) fn refused_by_endpoints(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| record.last_refused_at.is_some())
    }
}
