// Each test file uses a part of the module.
#![allow(dead_code, unreachable_pub)]
//! Simulation of a few endpoints under load, for the tests of the outlier detection.

use std::{collections::BTreeMap, time::Duration};

use pistachiotrack_core::{
    health::{
        AttemptKind, ConfiguredEndpoint, EjectReason, Health, HealthAction, HealthSettings,
        HealthState, PathAnswer,
    },
    name::Name,
    request::{AttemptId, BodyEnd, Class, Outcome},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const SLOTS: usize = 3;
pub const TIMEOUT: Duration = Duration::from_secs(1);
const TICK_MS: u64 = 10;

/// How a simulated endpoint replies to one attempt.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    /// Answers after a random service time multiplied by `factor`.
    Answer { status: u16, factor: f64 },
    /// Never sends anything.
    Hang,
    /// Breaks the connection after a random service time.
    Break,
    /// Sheds the request at once.
    Shed,
    /// Accepts no connection.
    NoConnection,
}

impl Reply {
    pub const GOOD: Reply = Reply::Answer { status: 200, factor: 1.0 };
}

/// An attempt, as passed to the function that chooses the reply.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub endpoint: usize,
    pub now_ms: u64,
    pub fresh: bool,
    pub kind: AttemptKind,
    pub random: f64,
}

struct InFlight {
    attempt: AttemptId,
    endpoint: usize,
    outcome: Outcome,
    kind: AttemptKind,
}

pub struct Simulation {
    pub health: Health,
    pub now: Time,
    pub log: Vec<(u64, HealthAction)>,
    pub dispatched: Vec<u64>,
    pub probes: Vec<u64>,
    pub names: Vec<Name>,
    pub load: f64,
    pub trials_enabled: bool,
    pub path_answer: Option<PathAnswer>,
    scheduled_ends: BTreeMap<(u64, u64), InFlight>,
    in_use: Vec<usize>,
    next_attempt: u64,
    rng: Pcg64Mcg,
}

pub fn configured_endpoints(count: usize) -> Vec<ConfiguredEndpoint> {
    (0..count)
        .map(|index| ConfiguredEndpoint { name: Name::from(format!("e{index}")), leaving: false })
        .collect()
}

impl Simulation {
    pub fn new(count: usize, floor: u32, sensitivity: f64) -> Simulation {
        Simulation::with_seed(count, floor, sensitivity, 7)
    }

    pub fn with_seed(count: usize, floor: u32, sensitivity: f64, seed: u64) -> Simulation {
        let configured_endpoints = configured_endpoints(count);
        let settings = HealthSettings { sensitivity, ..HealthSettings::default() };
        Simulation {
            health: Health::new(Time::ZERO, settings, &configured_endpoints, floor, seed),
            now: Time::ZERO,
            log: Vec::new(),
            dispatched: vec![0; count],
            probes: vec![0; count],
            names: configured_endpoints.into_iter().map(|endpoint| endpoint.name).collect(),
            load: 0.6,
            trials_enabled: true,
            path_answer: None,
            scheduled_ends: BTreeMap::new(),
            in_use: vec![0; count],
            next_attempt: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Runs for `ms` milliseconds; `reply` chooses how endpoints reply.
    pub fn run(&mut self, ms: u64, mut reply: impl FnMut(SentAttempt) -> Reply) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now += Duration::from_millis(1);
            self.end_attempts(&mut reply);
            if self.now.as_millis().is_multiple_of(TICK_MS) {
                let actions = self.health.on_tick(self.now);
                self.apply(actions, &mut reply);
            }
            for endpoint in 0..self.names.len() {
                self.maybe_send(endpoint, &mut reply);
            }
        }
    }

    /// Simulates a pause of this process, during which the endpoints go on.
    pub fn pause(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn end_attempts(&mut self, reply: &mut impl FnMut(SentAttempt) -> Reply) {
        while let Some(entry) = self.scheduled_ends.first_entry() {
            if entry.key().0 > self.now.as_micros() {
                return;
            }
            let ended = entry.remove();
            if ended.kind != AttemptKind::Probe {
                self.in_use[ended.endpoint] -= 1;
            }
            let mut actions = self.health.on_outcome(self.now, ended.attempt, ended.outcome);
            if matches!(ended.outcome, Outcome::Answered { .. }) {
                let end = BodyEnd::Complete;
                actions.extend(self.health.on_body_end(self.now, ended.attempt, end));
            }
            self.apply(actions, reply);
        }
    }

    fn maybe_send(&mut self, endpoint: usize, reply: &mut impl FnMut(SentAttempt) -> Reply) {
        let state = self.health.state(&self.names[endpoint]);
        let share = self.health.share(self.now, &self.names[endpoint]);
        let (slots, kind) = match state {
            HealthState::Trial if self.trials_enabled => (1, AttemptKind::Trial),
            HealthState::Trial => return,
            _ => ((share * SLOTS as f64).ceil() as usize, AttemptKind::Request),
        };
        let rate_per_ms = self.load * SLOTS as f64 / 20.0;
        if self.in_use[endpoint] >= slots || self.rng.random::<f64>() > rate_per_ms {
            return;
        }
        self.send(endpoint, kind, reply);
    }

    fn send(
        &mut self,
        endpoint: usize,
        kind: AttemptKind,
        reply: &mut impl FnMut(SentAttempt) -> Reply,
    ) {
        let name = &self.names[endpoint];
        let is_probe = kind == AttemptKind::Probe;
        let fresh = is_probe || self.health.needs_fresh_connection(name);
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        self.health.on_dispatch(self.now, attempt, name, Class::Standard, kind);
        if fresh {
            self.health.on_fresh_connection(attempt);
        }
        if is_probe {
            self.probes[endpoint] += 1;
        } else {
            self.in_use[endpoint] += 1;
            self.dispatched[endpoint] += 1;
        }
        let random = self.rng.random();
        let sent = SentAttempt { endpoint, now_ms: self.now.as_millis(), fresh, kind, random };
        let (outcome, after) = self.outcome(reply(sent), fresh);
        let key = ((self.now + after).as_micros(), attempt.0);
        self.scheduled_ends.insert(key, InFlight { attempt, endpoint, outcome, kind });
    }

    fn outcome(&mut self, reply: Reply, fresh_connection: bool) -> (Outcome, Duration) {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let usual = Duration::from_millis(20).mul_f64((0.4 * normal).exp());
        match reply {
            Reply::Answer { factor, .. } if usual.mul_f64(factor) >= TIMEOUT => {
                (Outcome::TimedOut { fresh_connection }, TIMEOUT)
            }
            Reply::Answer { status, factor } => {
                (Outcome::Answered { status, fresh_connection }, usual.mul_f64(factor))
            }
            Reply::Hang => (Outcome::TimedOut { fresh_connection }, TIMEOUT),
            Reply::Break => (Outcome::Broken { fresh_connection }, usual),
            Reply::Shed => (Outcome::Shed, Duration::from_millis(1)),
            Reply::NoConnection => (Outcome::ConnectFailed, Duration::from_millis(1)),
        }
    }

    fn apply(&mut self, actions: Vec<HealthAction>, reply: &mut impl FnMut(SentAttempt) -> Reply) {
        for action in &actions {
            match action {
                HealthAction::Probe { endpoint } => {
                    let index = self.names.iter().position(|name| name == endpoint).unwrap();
                    self.send(index, AttemptKind::Probe, reply);
                }
                HealthAction::CheckPath { endpoint } => {
                    let Some(answer) = self.path_answer else { continue };
                    let more = self.health.on_path_answer(self.now, endpoint, answer);
                    self.log(more);
                }
                _ => {}
            }
        }
        self.log(actions);
    }

    fn log(&mut self, actions: Vec<HealthAction>) {
        let now_ms = self.now.as_millis();
        self.log.extend(actions.into_iter().map(|action| (now_ms, action)));
    }

    pub fn state(&self, endpoint: usize) -> HealthState {
        self.health.state(&self.names[endpoint])
    }

    /// Returns the time in milliseconds, the endpoint and the reason of each ejection.
    pub fn ejections(&self) -> Vec<(u64, usize, EjectReason)> {
        self.log
            .iter()
            .filter_map(|(at, action)| match action {
                HealthAction::Ejected { endpoint, reason } => {
                    let index = self.names.iter().position(|name| name == endpoint)?;
                    Some((*at, index, *reason))
                }
                _ => None,
            })
            .collect()
    }

    pub fn ejected_endpoints(&self) -> Vec<usize> {
        let mut endpoints: Vec<usize> =
            self.ejections().into_iter().map(|(_, endpoint, _)| endpoint).collect();
        endpoints.dedup();
        endpoints
    }
}
