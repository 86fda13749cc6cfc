//! The ways that were weighed against one owner: load reports with the power of
//! two choices, and leases of slots.

use std::{collections::VecDeque, time::Duration};

use pistachiotrack_core::{
    config::Config,
    name::Name,
    refusal::Execution,
    request::{AttemptId, Outcome, Request, RequestId},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use super::balancer::{Balancer, Command, Tag};

/// Time between two reports of the endpoints' load to all VMs.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Endpoints that are asked for one request at most.
const MAX_SENDS: u32 = 2;
/// Time for which a VM keeps a leased slot that it has no work for.
const LEASE_IDLE: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
struct Running {
    request: Request,
    endpoint: usize,
    vm: usize,
    sends: u32,
}

/// VMs that choose the less loaded of two endpoints by reports of their load.
///
/// Reports reach every VM at the same moment and are true then. A VM adds what it
/// has sent itself since. It has no queue: a request is sent at once.
pub(super) struct TwoChoices {
    names: Vec<Name>,
    load: Vec<u32>,
    reported: Vec<u32>,
    sent_since: Vec<Vec<u32>>,
    reported_at: Time,
    running: FxHashMap<AttemptId, Running>,
    next_vm: usize,
    next_attempt: u64,
    rng: Pcg64Mcg,
}

impl TwoChoices {
    pub(super) fn new(config: &Config, vms: usize, seed: u64) -> TwoChoices {
        let names: Vec<_> = endpoints(config).map(|(name, _)| name).collect();
        let count = names.len();
        TwoChoices {
            names,
            load: vec![0; count],
            reported: vec![0; count],
            sent_since: vec![vec![0; count]; vms],
            reported_at: Time::ZERO,
            running: FxHashMap::default(),
            next_vm: 0,
            next_attempt: 1,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn send(&mut self, vm: usize, request: Request, sends: u32) -> Command {
        let endpoint = self.choose(vm);
        self.load[endpoint] += 1;
        self.sent_since[vm][endpoint] += 1;
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let command = Command::Send {
            tag: (vm, attempt),
            request: request.id,
            endpoint: self.names[endpoint].clone(),
            time_limit: request.deadline,
        };
        self.running.insert(attempt, Running { request, endpoint, vm, sends });
        command
    }

    fn choose(&mut self, vm: usize) -> usize {
        let count = self.names.len();
        let first = self.rng.random_range(0..count);
        let second = (first + self.rng.random_range(1..count)) % count;
        let seen = |endpoint: usize| self.reported[endpoint] + self.sent_since[vm][endpoint];
        if seen(second) < seen(first) { second } else { first }
    }

    fn release(&mut self, attempt: AttemptId) -> Option<Running> {
        let running = self.running.remove(&attempt)?;
        self.load[running.endpoint] -= 1;
        Some(running)
    }
}

impl Balancer for TwoChoices {
    fn on_request(&mut self, _now: Time, request: Request) -> Vec<Command> {
        let vm = self.next_vm;
        self.next_vm = (vm + 1) % self.sent_since.len();
        vec![self.send(vm, request, 1)]
    }

    fn on_outcome(&mut self, now: Time, tag: Tag, outcome: Outcome) -> Vec<Command> {
        if matches!(outcome, Outcome::Answered { .. }) {
            let running = self.running.get(&tag.1);
            return running
                .map(|running| Command::Deliver { request: running.request.id })
                .into_iter()
                .collect();
        }
        let Some(running) = self.release(tag.1) else { return Vec::new() };
        let goes_on = outcome.certainly_not_run() && running.sends < MAX_SENDS;
        if goes_on && now < running.request.deadline {
            return vec![self.send(running.vm, running.request, running.sends + 1)];
        }
        vec![refuse(running.request.id, outcome)]
    }

    fn on_body_end(&mut self, _now: Time, tag: Tag) -> Vec<Command> {
        self.release(tag.1);
        Vec::new()
    }

    fn on_tick(&mut self, now: Time) -> Vec<Command> {
        if now.since(self.reported_at) >= REPORT_INTERVAL {
            self.reported_at = now;
            self.reported.clone_from(&self.load);
            self.sent_since.iter_mut().for_each(|sent| sent.fill(0));
        }
        Vec::new()
    }
}

/// VMs that lease slots from an owner and send by themselves.
///
/// The owner grants a free slot in no time, which favours this way. A VM works
/// through its own queue with the slots that it has and returns one that it has
/// had no work for; a VM that waits for a slot gets the next returned one.
pub(super) struct Leases {
    names: Vec<Name>,
    free: Vec<usize>,
    /// Slots that a VM holds without work, since when.
    idle: Vec<Vec<(usize, Time)>>,
    queues: Vec<VecDeque<Request>>,
    /// VMs that wait for a slot, in the order in which they asked.
    waiting: VecDeque<usize>,
    running: FxHashMap<AttemptId, Running>,
    next_vm: usize,
    next_attempt: u64,
}

impl Leases {
    pub(super) fn new(config: &Config, vms: usize) -> Leases {
        let slots = endpoints(config).enumerate();
        let free = slots.flat_map(|(index, (_, slots))| (0..slots).map(move |_| index)).collect();
        Leases {
            names: endpoints(config).map(|(name, _)| name).collect(),
            free,
            idle: vec![Vec::new(); vms],
            queues: vec![VecDeque::new(); vms],
            waiting: VecDeque::new(),
            running: FxHashMap::default(),
            next_vm: 0,
            next_attempt: 1,
        }
    }

    /// Sends what the VM has slots for and asks the owner for the rest.
    fn work(&mut self, now: Time, vm: usize) -> Vec<Command> {
        let mut commands = Vec::new();
        while let Some(request) = self.queues[vm].pop_front() {
            if request.deadline <= now {
                commands.push(refuse(request.id, Outcome::NotSent));
                continue;
            }
            let idle = self.idle[vm].pop().map(|(endpoint, _)| endpoint);
            let Some(endpoint) = idle.or_else(|| self.free.pop()) else {
                self.queues[vm].push_front(request);
                self.waiting.push_back(vm);
                break;
            };
            commands.push(self.send(vm, endpoint, request));
        }
        commands
    }

    fn send(&mut self, vm: usize, endpoint: usize, request: Request) -> Command {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let command = Command::Send {
            tag: (vm, attempt),
            request: request.id,
            endpoint: self.names[endpoint].clone(),
            time_limit: request.deadline,
        };
        self.running.insert(attempt, Running { request, endpoint, vm, sends: 1 });
        command
    }

    /// Grants free slots to the VMs that wait.
    fn grant(&mut self, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        while !self.free.is_empty() {
            let Some(vm) = self.waiting.pop_front() else { break };
            commands.extend(self.work(now, vm));
        }
        commands
    }
}

impl Balancer for Leases {
    fn on_request(&mut self, now: Time, request: Request) -> Vec<Command> {
        let vm = self.next_vm;
        self.next_vm = (vm + 1) % self.queues.len();
        self.queues[vm].push_back(request);
        self.work(now, vm)
    }

    fn on_outcome(&mut self, now: Time, tag: Tag, outcome: Outcome) -> Vec<Command> {
        let Some(running) = self.running.get(&tag.1) else { return Vec::new() };
        let request = running.request.id;
        if matches!(outcome, Outcome::Answered { .. }) {
            return vec![Command::Deliver { request }];
        }
        let mut commands = vec![refuse(request, outcome)];
        commands.extend(self.on_body_end(now, tag));
        commands
    }

    fn on_body_end(&mut self, now: Time, tag: Tag) -> Vec<Command> {
        let Some(running) = self.running.remove(&tag.1) else { return Vec::new() };
        self.idle[running.vm].push((running.endpoint, now));
        self.work(now, running.vm)
    }

    fn on_tick(&mut self, now: Time) -> Vec<Command> {
        for idle in &mut self.idle {
            let (keep, back): (Vec<_>, Vec<_>) =
                idle.drain(..).partition(|(_, since)| now.since(*since) < LEASE_IDLE);
            *idle = keep;
            self.free.extend(back.into_iter().map(|(endpoint, _)| endpoint));
        }
        self.grant(now)
    }
}

fn endpoints(config: &Config) -> impl Iterator<Item = (Name, u32)> + '_ {
    let all = config.services.iter().flat_map(|service| &service.endpoints);
    all.map(|endpoint| (endpoint.name.clone(), endpoint.slots))
}

fn refuse(request: RequestId, outcome: Outcome) -> Command {
    let not_run = outcome.certainly_not_run();
    let execution = if not_run { Execution::NotRun } else { Execution::Unknown };
    Command::Refuse { request, execution }
}
