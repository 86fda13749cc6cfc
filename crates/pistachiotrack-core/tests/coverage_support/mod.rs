//! Dispatchers of a service some of which can't reach some of its endpoints, in logical time.

#[path = "../shared_support/mod.rs"]
mod shared_support;

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, VecDeque},
    time::Duration,
};

use pistachiotrack_core::{
    name::Name,
    ownership::ShardId,
    request::{AttemptId, BodyEnd, EndpointReport, Outcome, Request},
    retry::{RightsGrant, RightsRequest, VisibleDispatchers},
    shard::{Dispatch, Shard, ShardAction, ShardMode, ShardSettings, ShardUpdate},
    time::Time,
};
use quickcheck::{Arbitrary, Gen};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use self::shared_support::{START, booking, config};

const VMS: usize = 6;
const RUN_TIME: Duration = Duration::from_secs(16);
/// Time after which the paths break, and in which all endpoints have had requests.
const CALM_TIME: Duration = Duration::from_secs(6);
const TICK: Duration = Duration::from_millis(20);
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a VM gives up opening a connection that isn't refused.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const DATAGRAM_DELAY: Duration = Duration::from_millis(2);
/// Time in which the users require requests at sound endpoints.
const FLOOR_WINDOW: Duration = Duration::from_secs(2);
/// Time after which users count an endpoint that failed a request as sound again.
const SOUND_AFTER_FAILURE: Duration = Duration::from_secs(2);
/// The same after an episode.
const SOUND_AFTER_EPISODE: Duration = Duration::from_secs(6);
/// Share of the sound endpoints that must have had a request in a window.
const FLOOR_SHARE: f64 = 0.7;
/// Shares of the requests that aren't served between which the users require it.
const NOT_SERVED_SHARES: (f64, f64) = (0.1, 0.5);

/// Parameters of one run.
#[derive(Clone, Debug)]
pub(crate) struct History {
    pub(crate) seed: u64,
    pub(crate) endpoints: u32,
    /// Requests a second for each endpoint.
    pub(crate) load: f64,
    pub(crate) idempotent_percent: u32,
    /// Requests that are refused before they reach a dispatcher.
    pub(crate) refused_percent: u32,
    /// Requests that a healthy endpoint fails.
    pub(crate) failed_percent: u32,
    /// Endpoints that have episodes of gray failure.
    pub(crate) gray_percent: u32,
    pub(crate) lost_percent: u32,
    /// VMs that lose their paths to some endpoints, and the percentage of the endpoints.
    pub(crate) cut_vms: usize,
    pub(crate) cut_percent: u32,
    /// Whether connections over a broken path are refused at once.
    pub(crate) refuses: bool,
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> History {
        let mut below = |bound: u64| u64::arbitrary(g) % bound;
        History {
            seed: below(u64::MAX),
            endpoints: 10 + below(16) as u32,
            load: 1.1 + below(10) as f64 / 10.0,
            idempotent_percent: [0, 0, 30, 80][below(4) as usize],
            refused_percent: 8 + below(15) as u32,
            failed_percent: below(3) as u32,
            gray_percent: below(3) as u32 * 10,
            lost_percent: below(3) as u32 * 5,
            cut_vms: 1 + below(4) as usize,
            cut_percent: 30 + below(40) as u32,
            refuses: below(3) == 0,
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Request,
    End { vm: usize, dispatch: Dispatch, outcome: Outcome },
    Update { to: usize, from: usize, update: ShardUpdate },
    AskRights { to: usize, from: usize, request: RightsRequest },
    GiveRights { to: usize, grant: RightsGrant },
    PathAnswer { vm: usize, endpoint: Name },
    Judge,
}

#[derive(Clone, Debug)]
struct SimEndpoint {
    is_cut: bool,
    is_gray: bool,
    in_episode: bool,
    episode_changes_at: Time,
    last_in_episode: Time,
    last_failed_at: Time,
    last_arrival: Time,
}

/// A moment at which too few sound endpoints had had requests.
#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "read through its debug format when a test fails")]
pub(crate) struct TooFew {
    pub(crate) at: Time,
    pub(crate) sound: usize,
    pub(crate) used: usize,
    pub(crate) not_served: f64,
}

pub(crate) struct Fleet {
    history: History,
    rng: Pcg32,
    now: Time,
    shards: Vec<Shard>,
    endpoints: Vec<SimEndpoint>,
    /// Requests of the last window: when each was sent, and its number.
    sent: VecDeque<(Time, u64)>,
    served: BTreeSet<u64>,
    ended: BTreeSet<u64>,
    next_id: u64,
    events: BinaryHeap<Reverse<(Time, usize)>>,
    slab: Vec<Event>,
    pub(crate) too_few: Vec<TooFew>,
    pub(crate) judged: usize,
}

fn vm_name(vm: usize) -> Name {
    Name::from(format!("vm-{vm}"))
}

fn index(endpoint: &Name) -> usize {
    endpoint.rsplit('-').next().unwrap().parse().unwrap()
}

impl Fleet {
    pub(crate) fn new(history: History) -> Fleet {
        let mut rng = Pcg32::seed_from_u64(history.seed);
        let config = config(history.endpoints);
        let id = ShardId { service: Name::from("booking"), index: 0 };
        let shard = |vm: usize| {
            let seed = history.seed.wrapping_add(vm as u64);
            let settings = ShardSettings { mode: ShardMode::Shared, seed, ..Default::default() };
            let mut shard = Shard::new(START, id.clone(), &config, settings);
            let visible = VisibleDispatchers {
                count: VMS as u32,
                is_member: true,
                ..VisibleDispatchers::default()
            };
            shard.set_dispatchers(START, visible);
            let names: Vec<Name> = (0..VMS).map(vm_name).collect();
            shard.set_dispatcher_names(&vm_name(vm), &names);
            shard
        };
        let shards = (0..VMS).map(shard).collect();
        let mut is_in = |percent: u32| rng.random_range(0..100) < percent;
        let endpoints = (0..history.endpoints).map(|_| SimEndpoint {
            is_cut: is_in(history.cut_percent),
            is_gray: is_in(history.gray_percent),
            in_episode: false,
            episode_changes_at: START,
            last_in_episode: Time::ZERO,
            last_failed_at: Time::ZERO,
            last_arrival: START,
        });
        let endpoints = endpoints.collect();
        Fleet {
            rng,
            now: START,
            shards,
            endpoints,
            sent: VecDeque::new(),
            served: BTreeSet::new(),
            ended: BTreeSet::new(),
            next_id: 0,
            events: BinaryHeap::new(),
            slab: Vec::new(),
            too_few: Vec::new(),
            judged: 0,
            history,
        }
    }

    pub(crate) fn run(mut self) -> Fleet {
        for vm in 0..VMS {
            self.schedule(Duration::from_millis(3 * vm as u64), Event::Tick(vm));
        }
        self.schedule(Duration::ZERO, Event::Request);
        self.schedule(CALM_TIME + FLOOR_WINDOW, Event::Judge);
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > START + RUN_TIME {
                break;
            }
            self.now = at;
            self.handle(self.slab[event].clone());
        }
        self
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.events.push(Reverse((self.now + after, self.slab.len())));
        self.slab.push(event);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn exponential(&mut self, mean_s: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.rng.random::<f64>()).ln() * mean_s)
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(vm) => {
                self.schedule(TICK, Event::Tick(vm));
                self.change_episodes();
                let actions = self.shards[vm].on_tick(now);
                self.apply(vm, actions);
            }
            Event::Request => self.request(),
            Event::End { vm, dispatch, outcome } => self.end(vm, &dispatch, outcome),
            Event::Update { to, from, update } => {
                let actions = self.shards[to].on_update(now, &vm_name(from), &update);
                self.apply(to, actions);
            }
            Event::AskRights { to, from, request } => {
                if let Some(grant) = self.shards[to].on_rights_request(now, request) {
                    self.send(Event::GiveRights { to: from, grant });
                }
            }
            Event::GiveRights { to, grant } => {
                let actions = self.shards[to].on_rights_grant(now, grant);
                self.apply(to, actions);
            }
            Event::PathAnswer { vm, endpoint } => {
                let relays = (self.history.cut_vms..VMS).map(vm_name).collect();
                let actions = self.shards[vm].on_relays(now, &endpoint, relays);
                self.apply(vm, actions);
            }
            Event::Judge => self.judge(),
        }
    }

    fn change_episodes(&mut self) {
        let now = self.now;
        for index in 0..self.endpoints.len() {
            let endpoint = &self.endpoints[index];
            let is_due = endpoint.is_gray && now >= endpoint.episode_changes_at;
            if is_due {
                let in_episode = !endpoint.in_episode;
                let length = self.exponential(if in_episode { 4.0 } else { 8.0 });
                let endpoint = &mut self.endpoints[index];
                endpoint.in_episode = in_episode;
                endpoint.episode_changes_at = now + length;
            }
            let endpoint = &mut self.endpoints[index];
            if endpoint.in_episode {
                endpoint.last_in_episode = now;
            }
        }
    }

    fn request(&mut self) {
        let per_second = self.history.load * f64::from(self.history.endpoints);
        let pause = self.exponential(1.0 / per_second);
        self.schedule(pause, Event::Request);
        self.next_id += 1;
        let (id, now) = (self.next_id, self.now);
        self.sent.push_back((now, id));
        let vm = self.rng.random_range(0..VMS);
        if self.chance(self.history.refused_percent) {
            self.shards[vm].on_refused_before();
            self.ended.insert(id);
            return;
        }
        let idempotent = self.chance(self.history.idempotent_percent);
        let deadline = now + Duration::from_secs(2);
        let request = Request { idempotent, deadline, ..booking(id, now) };
        let actions = self.shards[vm].on_request(now, request);
        self.apply(vm, actions);
    }

    fn reaches(&self, vm: usize, endpoint: usize) -> bool {
        let is_cut = self.now >= START + CALM_TIME && self.endpoints[endpoint].is_cut;
        !is_cut || vm >= self.history.cut_vms
    }

    fn dispatch(&mut self, vm: usize, dispatch: Dispatch) {
        let endpoint = index(&dispatch.endpoint);
        let sender = match &dispatch.relay {
            Some(relay) => index(relay),
            None => vm,
        };
        if !self.reaches(sender, endpoint) {
            let after =
                if self.history.refuses { Duration::from_millis(1) } else { CONNECT_TIMEOUT };
            let outcome = Outcome::ConnectFailed;
            return self.schedule(after, Event::End { vm, dispatch, outcome });
        }
        let in_episode = self.endpoints[endpoint].in_episode;
        let fails = self.chance(if in_episode { 75 } else { self.history.failed_percent });
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.last_arrival = self.now;
        if fails {
            endpoint.last_failed_at = self.now;
        }
        let work_ms = self.rng.random_range(60..200);
        let (status, after_ms) = if fails { (500, 1) } else { (200, work_ms) };
        let outcome = Outcome::Answered { status, fresh_connection: true };
        self.schedule(Duration::from_millis(after_ms), Event::End { vm, dispatch, outcome });
    }

    fn end(&mut self, vm: usize, dispatch: &Dispatch, outcome: Outcome) {
        let (now, report) = (self.now, EndpointReport::default());
        let shard = &mut self.shards[vm];
        let mut actions = shard.on_outcome(now, dispatch.attempt, outcome, report);
        if let Outcome::Answered { status, .. } = outcome {
            actions.extend(shard.on_body_end(now, dispatch.attempt, BodyEnd::Complete));
            let delivers = |action: &ShardAction| matches!(action, ShardAction::Deliver { attempt, .. } if *attempt == dispatch.attempt);
            if status == 200 && actions.iter().any(delivers) {
                self.served.insert(dispatch.request.0);
            }
        }
        self.apply(vm, actions);
    }

    fn apply(&mut self, vm: usize, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Dispatch(dispatch) => self.dispatch(vm, dispatch),
                ShardAction::Deliver { request, .. } | ShardAction::Refuse { request, .. } => {
                    self.ended.insert(request.0);
                }
                ShardAction::Abandon { attempt, .. } | ShardAction::Cancel { attempt, .. } => {
                    self.cancel(vm, attempt);
                }
                ShardAction::Broadcast(update) => {
                    for to in (0..VMS).filter(|to| *to != vm) {
                        self.send(Event::Update { to, from: vm, update: update.clone() });
                    }
                }
                ShardAction::RequestRetryRights { to, request } => {
                    self.send(Event::AskRights { to: index(&to), from: vm, request });
                }
                ShardAction::CheckPath { endpoint, .. } => {
                    self.schedule(DATAGRAM_DELAY * 4, Event::PathAnswer { vm, endpoint });
                }
                _ => {}
            }
        }
    }

    fn cancel(&mut self, vm: usize, attempt: AttemptId) {
        let report = EndpointReport::default();
        let actions = self.shards[vm].on_outcome(self.now, attempt, Outcome::Cancelled, report);
        self.apply(vm, actions);
    }

    fn send(&mut self, event: Event) {
        if !self.chance(self.history.lost_percent) {
            self.schedule(DATAGRAM_DELAY, event);
        }
    }

    fn judge(&mut self) {
        self.schedule(JUDGE_INTERVAL, Event::Judge);
        let now = self.now;
        let window_start = now.before(FLOOR_WINDOW);
        while self.sent.front().is_some_and(|(at, _)| *at < window_start) {
            self.sent.pop_front();
        }
        // What is still in flight may yet be served.
        let is_not_served =
            |(_, id): &&(Time, u64)| self.ended.contains(id) && !self.served.contains(id);
        let not_served =
            self.sent.iter().filter(is_not_served).count() as f64 / self.sent.len().max(1) as f64;
        if not_served <= NOT_SERVED_SHARES.0 || not_served >= NOT_SERVED_SHARES.1 {
            return;
        }
        self.judged += 1;
        let is_sound = |endpoint: &&SimEndpoint| {
            endpoint.last_in_episode < now.before(SOUND_AFTER_EPISODE)
                && endpoint.last_failed_at < window_start.before(SOUND_AFTER_FAILURE)
        };
        let sound: Vec<&SimEndpoint> = self.endpoints.iter().filter(is_sound).collect();
        let used = sound.iter().filter(|endpoint| endpoint.last_arrival >= window_start).count();
        if used > 0 && (used as f64) < FLOOR_SHARE * sound.len() as f64 {
            self.too_few.push(TooFew { at: now, sound: sound.len(), used, not_served });
        }
    }
}
