//! Alternatives to a single owner: load reports with the power of two choices, and
//! leases of slots.

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

use super::balancer::{AttemptKey, Balancer, Command};

/// Time between two reports of the endpoints' load to all VMs.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of times that a request is sent to an endpoint.
const MAX_ATTEMPTS: u32 = 2;
/// Time for which a VM keeps an unused leased slot.
const LEASE_IDLE_TIMEOUT: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
struct Running {
    request: Request,
    endpoint: usize,
    vm: usize,
    attempts: u32,
}

/// VMs that choose the less loaded of two random endpoints by load reports.
///
/// Reports are accurate and reach every VM at the same time. A VM adds the requests that it has
/// sent since. There is no queue: a request is sent immediately.
pub(super) struct TwoChoices {
    names: Vec<Name>,
    load: Vec<u32>,
    reported_load: Vec<u32>,
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
            reported_load: vec![0; count],
            sent_since: vec![vec![0; count]; vms],
            reported_at: Time::ZERO,
            running: FxHashMap::default(),
            next_vm: 0,
            next_attempt: 1,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn send(&mut self, vm: usize, request: Request, attempts: u32) -> Command {
        let endpoint = self.choose(vm);
        self.load[endpoint] += 1;
        self.sent_since[vm][endpoint] += 1;
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let command = Command::Send {
            key: (vm, attempt),
            request: request.id,
            endpoint: self.names[endpoint].clone(),
            time_limit: request.deadline,
        };
        self.running.insert(attempt, Running { request, endpoint, vm, attempts });
        command
    }

    fn choose(&mut self, vm: usize) -> usize {
        let count = self.names.len();
        let first = self.rng.random_range(0..count);
        let second = (first + self.rng.random_range(1..count)) % count;
        let estimated_load =
            |endpoint: usize| self.reported_load[endpoint] + self.sent_since[vm][endpoint];
        if estimated_load(second) < estimated_load(first) { second } else { first }
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

    fn on_outcome(&mut self, now: Time, key: AttemptKey, outcome: Outcome) -> Vec<Command> {
        if matches!(outcome, Outcome::Answered { .. }) {
            let running = self.running.get(&key.1);
            return running
                .map(|running| Command::Deliver { request: running.request.id })
                .into_iter()
                .collect();
        }
        let Some(running) = self.release(key.1) else { return Vec::new() };
        let may_retry = outcome.certainly_not_run() && running.attempts < MAX_ATTEMPTS;
        if may_retry && now < running.request.deadline {
            return vec![self.send(running.vm, running.request, running.attempts + 1)];
        }
        vec![refuse(running.request.id, outcome)]
    }

    fn on_body_end(&mut self, _now: Time, key: AttemptKey) -> Vec<Command> {
        self.release(key.1);
        Vec::new()
    }

    fn on_tick(&mut self, now: Time) -> Vec<Command> {
        if now.since(self.reported_at) >= REPORT_INTERVAL {
            self.reported_at = now;
            self.reported_load.clone_from(&self.load);
            self.sent_since.iter_mut().for_each(|sent| sent.fill(0));
        }
        Vec::new()
    }
}

/// VMs that lease slots from an owner and send requests themselves.
///
/// The owner grants a free slot without delay, which favours this alternative. A VM serves its own
/// queue with its leased slots and returns a slot that has been idle; the next VM that waits for a
/// slot gets the returned one.
pub(super) struct Leases {
    names: Vec<Name>,
    free: Vec<usize>,
    /// Idle leased slots of each VM: the endpoint and the time since which it is idle.
    idle: Vec<Vec<(usize, Time)>>,
    queues: Vec<VecDeque<Request>>,
    /// VMs that wait for a slot, in the order of their requests.
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

    /// Sends queued requests on the VM's idle slots and on slots newly leased from the owner.
    fn send_queued(&mut self, now: Time, vm: usize) -> Vec<Command> {
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
            key: (vm, attempt),
            request: request.id,
            endpoint: self.names[endpoint].clone(),
            time_limit: request.deadline,
        };
        self.running.insert(attempt, Running { request, endpoint, vm, attempts: 1 });
        command
    }

    /// Grants free slots to waiting VMs.
    fn grant(&mut self, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        while !self.free.is_empty() {
            let Some(vm) = self.waiting.pop_front() else { break };
            commands.extend(self.send_queued(now, vm));
        }
        commands
    }
}

impl Balancer for Leases {
    fn on_request(&mut self, now: Time, request: Request) -> Vec<Command> {
        let vm = self.next_vm;
        self.next_vm = (vm + 1) % self.queues.len();
        self.queues[vm].push_back(request);
        self.send_queued(now, vm)
    }

    fn on_outcome(&mut self, now: Time, key: AttemptKey, outcome: Outcome) -> Vec<Command> {
        let Some(running) = self.running.get(&key.1) else { return Vec::new() };
        let request = running.request.id;
        if matches!(outcome, Outcome::Answered { .. }) {
            return vec![Command::Deliver { request }];
        }
        let mut commands = vec![refuse(request, outcome)];
        commands.extend(self.on_body_end(now, key));
        commands
    }

    fn on_body_end(&mut self, now: Time, key: AttemptKey) -> Vec<Command> {
        let Some(running) = self.running.remove(&key.1) else { return Vec::new() };
        self.idle[running.vm].push((running.endpoint, now));
        self.send_queued(now, running.vm)
    }

    fn on_tick(&mut self, now: Time) -> Vec<Command> {
        for idle in &mut self.idle {
            let (kept, returned): (Vec<_>, Vec<_>) =
                idle.drain(..).partition(|(_, since)| now.since(*since) < LEASE_IDLE_TIMEOUT);
            *idle = kept;
            self.free.extend(returned.into_iter().map(|(endpoint, _)| endpoint));
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
