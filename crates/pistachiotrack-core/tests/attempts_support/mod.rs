//! VMs that send requests on to each other, in logical time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use pistachiotrack_core::{
    config::Config,
    name::Name,
    ownership::ShardId,
    prior_attempts::PriorAttempts,
    request::{BodyEnd, EndpointReport, Outcome, Request, RequestId},
    retry::VisibleDispatchers,
    service::RetryLimit,
    shard::{Dispatch, Shard, ShardAction, ShardMode, ShardSettings},
    time::Time,
    transfers::{Admission, TransferId, Transfers},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::shared_support::{START, booking, config};

/// Window of the retry limit.
const WINDOW: Duration = Duration::from_secs(10);
const VMS: usize = 3;
const ENDPOINTS: u32 = 8;
const REQUESTS: usize = 40;
/// Time before the first request; the VMs are dispatchers for a window by then.
const LEAD: Duration = Duration::from_secs(11);
/// Time in which the requests arrive. All end within one window of the retry limit.
const LOAD: Duration = Duration::from_secs(4);
const TICK: Duration = Duration::from_millis(100);
const END: Duration = Duration::from_secs(20);

/// What happens to the VMs and endpoints.
pub(crate) struct History {
    random: Pcg32,
    crashes: u32,
    /// Retries that are allowed, whatever the number of requests.
    retries: u32,
}

impl History {
    pub(crate) fn new(seed: u64, retries: u32) -> History {
        let mut random = Pcg32::seed_from_u64(seed);
        let crashes = random.random_range(0..4);
        History { random, crashes, retries }
    }

    pub(crate) fn without_crashes(seed: u64, retries: u32) -> History {
        History { crashes: 0, ..History::new(seed, retries) }
    }
}

/// A caller's request, and what endpoints saw of it.
#[derive(Debug)]
pub(crate) struct CallersRequest {
    pub(crate) max_attempts: usize,
    /// Endpoints that began to run it.
    pub(crate) runs: Vec<Name>,
    pub(crate) arrivals: u32,
    entry: usize,
    deadline: Time,
    attempts: PriorAttempts,
    first_sent: Option<Time>,
}

impl CallersRequest {
    /// Returns how many attempts may be made in all; one of several is kept back from other VMs.
    fn max_attempts_at(&self, is_other_vm: bool) -> u32 {
        let max_attempts = self.max_attempts as u32;
        max_attempts - u32::from(is_other_vm && max_attempts >= 3)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { request: usize },
    CopyArrives { request: usize, vm: usize, is_first: bool },
    AttemptEnds { vm: usize, epoch: u32, attempt: u64 },
    Crashes { vm: usize },
    Tick,
}

struct Task {
    request: usize,
    attempts: PriorAttempts,
    is_transferred: bool,
}

struct Vm {
    epoch: u32,
    shard: Shard,
    transfers: Transfers,
    tasks: BTreeMap<u64, Task>,
    /// Attempts with the outcome that they will have.
    running: BTreeMap<u64, (Dispatch, Outcome)>,
}

impl Vm {
    fn start(now: Time, epoch: u32, retries: u32) -> Vm {
        Vm {
            epoch,
            shard: dispatcher(now, retries),
            transfers: Transfers::new(now),
            tasks: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }
}

fn limited_config(retries: u32) -> Config {
    let mut config = config(ENDPOINTS);
    let service = &mut config.services[0];
    let window_ms = WINDOW.as_millis() as u64;
    service.retry_limit = Some(RetryLimit { ratio: 0.0, slack: retries, window_ms });
    service.dispatchers_per_data_centre = VMS as u32;
    config
}

fn dispatcher(now: Time, retries: u32) -> Shard {
    let settings = ShardSettings { mode: ShardMode::Shared, ..ShardSettings::default() };
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let mut shard = Shard::new(now, id, &limited_config(retries), settings);
    shard.set_dispatchers(
        now,
        VisibleDispatchers { count: VMS as u32, is_member: true, ..VisibleDispatchers::default() },
    );
    shard
}

/// A fleet that serves the requests of a history.
pub(crate) struct Fleet {
    pub(crate) requests: Vec<CallersRequest>,
    history: History,
    now: Time,
    vms: Vec<Vm>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    next_event: u64,
    next_task: u64,
}

impl Fleet {
    pub(crate) fn run(history: History) -> Fleet {
        let vms = (0..VMS).map(|_| Vm::start(START, 0, history.retries)).collect();
        let mut fleet = Fleet {
            requests: Vec::new(),
            history,
            now: START,
            vms,
            events: BinaryHeap::new(),
            next_event: 0,
            next_task: 1,
        };
        fleet.schedule_load();
        while let Some(Reverse((at, _, event))) = fleet.events.pop() {
            fleet.now = at;
            fleet.on_event(event);
        }
        fleet
    }

    fn schedule_load(&mut self) {
        for request in 0..REQUESTS {
            let after = LEAD + self.random_time(LOAD);
            let time_limit = Duration::from_millis(self.random(500..3_000));
            let max_attempts = self.random(1..4) as usize;
            let entry = self.random(0..VMS as u64) as usize;
            self.requests.push(CallersRequest {
                max_attempts,
                runs: Vec::new(),
                arrivals: 0,
                entry,
                deadline: START + after + time_limit,
                attempts: PriorAttempts::default(),
                first_sent: None,
            });
            self.schedule(after, Event::Arrives { request });
        }
        for _ in 0..self.history.crashes {
            let (after, vm) = (self.random_time(LOAD), self.random(0..VMS as u64) as usize);
            self.schedule(LEAD + after, Event::Crashes { vm });
        }
        for tick in 1..=(END.as_millis() / TICK.as_millis()) as u32 {
            self.schedule(TICK * tick, Event::Tick);
        }
    }

    fn random(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.history.random.random_range(range)
    }

    fn random_time(&mut self, limit: Duration) -> Duration {
        Duration::from_millis(self.random(0..limit.as_millis() as u64))
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((self.now + after, self.next_event, event)));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrives { request } => self.on_arrival(request),
            Event::CopyArrives { request, vm, is_first } => self.on_copy(request, vm, is_first),
            Event::AttemptEnds { vm, epoch, attempt } => self.on_attempt_end(vm, epoch, attempt),
            Event::Crashes { vm } => self.on_crash(vm),
            Event::Tick => {
                for vm in 0..VMS {
                    let actions = self.vms[vm].shard.on_tick(self.now);
                    self.apply(vm, actions);
                }
            }
        }
    }

    /// Serves a request at its entry VM, or sends it on, most often in two copies.
    fn on_arrival(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        if self.random(0..4) == 0 {
            let attempts = self.requests[request].attempts.clone();
            return self.serve(entry, request, attempts, false);
        }
        let vm = (entry + self.random(1..VMS as u64) as usize) % VMS;
        self.requests[request].first_sent = Some(self.now);
        // A copy may be lost on its way, or arrive after the second one.
        if self.random(0..4) > 0 {
            let after = self.random_time(Duration::from_millis(300));
            self.schedule(after, Event::CopyArrives { request, vm, is_first: true });
        }
        if self.random(0..4) > 0 {
            let after = Duration::from_millis(100) + self.random_time(Duration::from_millis(900));
            self.schedule(after, Event::CopyArrives { request, vm, is_first: false });
        }
    }

    fn on_copy(&mut self, request: usize, vm: usize, is_first: bool) {
        let CallersRequest { deadline, first_sent, .. } = self.requests[request];
        let ago = first_sent.filter(|_| !is_first).map(|sent| self.now.since(sent));
        let prior = self.requests[request].attempts.clone();
        let id = TransferId(Name::from(format!("request-{request}")));
        let admission = self.vms[vm].transfers.on_arrival(self.now, &id, ago, deadline, prior);
        if let Admission::Serve(attempts) = admission {
            self.serve(vm, request, attempts, true);
        }
    }

    fn serve(&mut self, vm: usize, request: usize, attempts: PriorAttempts, is_transferred: bool) {
        let task = self.next_task;
        self.next_task += 1;
        let CallersRequest { deadline, .. } = self.requests[request];
        let max_attempts = self.requests[request].max_attempts_at(is_transferred);
        let submitted = Request {
            id: RequestId(task),
            deadline,
            idempotent: true,
            hedge: true,
            max_attempts,
            prior: attempts.clone(),
            ..booking(task, self.now)
        };
        self.vms[vm].tasks.insert(task, Task { request, attempts, is_transferred });
        let actions = self.vms[vm].shard.on_request(self.now, submitted);
        self.apply(vm, actions);
    }

    fn apply(&mut self, vm: usize, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Dispatch(dispatch) => self.dispatch(vm, dispatch),
                ShardAction::Cancel { attempt, .. } => {
                    self.end_attempt(vm, attempt.0, Outcome::Cancelled);
                }
                ShardAction::Abandon { attempt, .. } => {
                    self.end_attempt(vm, attempt.0, Outcome::TimedOut { fresh_connection: true });
                }
                ShardAction::Deliver { request, .. } | ShardAction::Refuse { request, .. } => {
                    self.end_task(vm, request.0);
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, vm: usize, dispatch: Dispatch) {
        let fresh_connection = true;
        let outcome = match self.random(0..7) {
            0 => Outcome::Answered { status: 200, fresh_connection },
            1 => Outcome::Answered { status: 500, fresh_connection },
            2 => Outcome::Shed,
            3 => Outcome::ConnectFailed,
            4 => Outcome::Broken { fresh_connection },
            _ => Outcome::TimedOut { fresh_connection },
        };
        let task = self.vms[vm].tasks.get_mut(&dispatch.request.0).unwrap();
        task.attempts.on_sent(&dispatch.endpoint);
        let request = &mut self.requests[task.request];
        request.arrivals += u32::from(!outcome.never_arrived());
        if !outcome.certainly_not_run() && !request.runs.contains(&dispatch.endpoint) {
            request.runs.push(dispatch.endpoint.clone());
        }
        let time_limit = dispatch.time_limit.since(self.now);
        let after = match outcome {
            Outcome::TimedOut { .. } => time_limit,
            _ => self.random_time(Duration::from_millis(400)).min(time_limit),
        };
        let (epoch, attempt) = (self.vms[vm].epoch, dispatch.attempt.0);
        self.vms[vm].running.insert(attempt, (dispatch, outcome));
        self.schedule(after, Event::AttemptEnds { vm, epoch, attempt });
    }

    fn on_attempt_end(&mut self, vm: usize, epoch: u32, attempt: u64) {
        if self.vms[vm].epoch == epoch
            && let Some((_, outcome)) = self.vms[vm].running.get(&attempt)
        {
            self.end_attempt(vm, attempt, *outcome);
        }
    }

    fn end_attempt(&mut self, vm: usize, attempt: u64, outcome: Outcome) {
        let Some((dispatch, _)) = self.vms[vm].running.remove(&attempt) else { return };
        let (now, report) = (self.now, EndpointReport::default());
        let is_answer = matches!(outcome, Outcome::Answered { .. });
        let at = &mut self.vms[vm];
        if let Some(task) = at.tasks.get_mut(&dispatch.request.0) {
            task.attempts.on_outcome(&dispatch.endpoint, outcome);
        }
        let mut actions = at.shard.on_outcome(now, dispatch.attempt, outcome, report);
        if is_answer {
            actions.extend(at.shard.on_body_end(now, dispatch.attempt, BodyEnd::Complete));
        }
        self.apply(vm, actions);
    }

    fn end_task(&mut self, vm: usize, task: u64) {
        let at = &mut self.vms[vm];
        let Some(Task { request, attempts, is_transferred: true }) = at.tasks.remove(&task) else {
            return;
        };
        at.transfers.on_end(&TransferId(Name::from(format!("request-{request}"))), attempts);
    }

    /// Restarts a VM. The entry VMs of the requests that it worked on serve these themselves if
    /// an attempt is left.
    fn on_crash(&mut self, vm: usize) {
        let epoch = self.vms[vm].epoch + 1;
        let restarted = Vm::start(self.now, epoch, self.history.retries);
        let crashed = std::mem::replace(&mut self.vms[vm], restarted);
        for task in crashed.tasks.into_values().filter(|task| task.is_transferred) {
            if self.requests[task.request].entry == vm {
                continue;
            }
            let request = &mut self.requests[task.request];
            let max_attempts = request.max_attempts_at(true);
            request.attempts.on_vm_lost(max_attempts);
            let (entry, attempts) = (request.entry, request.attempts.clone());
            self.serve(entry, task.request, attempts, false);
        }
    }
}
