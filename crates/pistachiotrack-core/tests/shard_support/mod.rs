//! Test harness with a simple oracle that checks every action of a shard.
#![allow(dead_code)]

mod oracle;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use pistachiotrack_core::{
    caller_limits::CallerLimits,
    config::Config,
    contract::Contract,
    customer::Customer,
    endpoint::Endpoint,
    endpoint_notice::EndpointNotice,
    idempotency::StoredAnswer,
    name::Name,
    ownership::ShardId,
    refusal::{Execution, Reason},
    request::{
        AttemptId, BodyEnd, Class, DEFAULT_MAX_ATTEMPTS, EndpointReport, Outcome, Request,
        RequestId,
    },
    service::{Contention, Service},
    shard::{Dispatch, Shard, ShardAction, ShardMode, ShardSettings},
    time::Time,
};

pub(crate) const SERVICE: &str = "booking";

/// Returns a configuration with one shard of `endpoints` endpoints with `slots` slots each.
pub(crate) fn config(endpoints: u32, slots: u32, contracts: &[(&str, u32)]) -> Config {
    let endpoint = |number: u32| Endpoint {
        name: Name::from(format!("e{number}")),
        address: format!("127.0.0.1:{}", 9000 + number).parse().unwrap(),
        data_centre: Name::from("dc"),
        slots,
        connections: 400,
        leaving: false,
    };
    let customer = |(name, slots): &(&str, u32)| {
        let contract = Contract { service: Name::from(SERVICE), slots: *slots };
        Customer::new(Name::from(*name), vec![contract])
    };
    Config {
        version: 1,
        deployment: Name::from("test"),
        entry_lifetime_ms: 5_000,
        data_centres: Vec::new(),
        services: vec![Service {
            name: Name::from(SERVICE),
            floor: 1,
            sensitivity: 0.5,
            timeout_ms: 1_000,
            queue_limit: 8,
            shard_endpoints: 64,
            dispatchers_per_data_centre: 0,
            retry_limit: None,
            contention: Contention::default(),
            probe_path: Name::from("/healthz"),
            endpoints: (0..endpoints).map(endpoint).collect(),
        }],
        customers: contracts.iter().map(customer).collect(),
        rules: Vec::new(),
        api_keys_required: false,
        caller_limits: CallerLimits::default(),
        operators_version: None,
    }
}

pub(crate) fn shard_id() -> ShardId {
    ShardId { service: Name::from(SERVICE), index: 0 }
}

pub(crate) fn request(id: u64, deadline: Time) -> Request {
    Request {
        id: RequestId(id),
        customer: Name::from("a"),
        class: Class::Standard,
        deadline,
        idempotent: true,
        hedge: false,
        max_attempts: DEFAULT_MAX_ATTEMPTS,
        prior: Default::default(),
        key: None,
        repeat: false,
    }
}

pub(crate) fn answered(status: u16) -> Outcome {
    Outcome::Answered { status, fresh_connection: false }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    InFlight,
    Answered,
    NotRun,
    MaybeRun,
}

#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    pub(crate) dispatch: Dispatch,
    pub(crate) state: State,
    pub(crate) cancelled: bool,
    pub(crate) abandoned: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) request: Request,
    pub(crate) final_actions: Vec<ShardAction>,
    pub(crate) cancelled: bool,
    pub(crate) delivered: Option<AttemptId>,
}

/// A shard, the actual state of what it sent, and the violations found.
pub(crate) struct Harness {
    pub(crate) now: Time,
    pub(crate) config: Config,
    pub(crate) mode: ShardMode,
    pub(crate) shard: Shard,
    pub(crate) requests: BTreeMap<RequestId, RequestRecord>,
    pub(crate) attempts: BTreeMap<AttemptId, AttemptRecord>,
    /// Endpoints that reported that they are draining, the time of their last report, and whether
    /// they have withdrawn it since.
    pub(crate) draining: BTreeMap<Name, (Time, bool)>,
    /// Endpoints that have said for good that they are leaving.
    pub(crate) leaving: BTreeSet<Name>,
    /// Until when endpoints have asked for no requests.
    pub(crate) refusing: BTreeMap<Name, Time>,
    pub(crate) probes: Vec<(AttemptId, Name)>,
    /// Endpoints with a path check that has no result yet.
    pub(crate) path_checks: Vec<Name>,
    pub(crate) answers: BTreeMap<(Name, Name), StoredAnswer>,
    pub(crate) violations: Vec<String>,
    next_request: u64,
}

impl Harness {
    /// Creates a harness whose shard is past its takeover grace period.
    pub(crate) fn new(config: Config) -> Harness {
        let settings =
            ShardSettings { mode: ShardMode::Owner, seed: 7, ..ShardSettings::default() };
        let shard = Shard::new(Time::ZERO, shard_id(), &config, settings);
        let mut harness = Harness {
            now: Time::ZERO,
            config,
            mode: ShardMode::Owner,
            shard,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            draining: BTreeMap::new(),
            leaving: BTreeSet::new(),
            refusing: BTreeMap::new(),
            probes: Vec::new(),
            path_checks: Vec::new(),
            answers: BTreeMap::new(),
            violations: Vec::new(),
            next_request: 1,
        };
        harness.tick(5_000);
        harness
    }

    pub(crate) fn deadline(&self, in_ms: u64) -> Time {
        self.now + Duration::from_millis(in_ms)
    }

    /// Sends a request whose deadline is in `in_ms`.
    pub(crate) fn send(&mut self, in_ms: u64, change: impl FnOnce(&mut Request)) -> RequestId {
        let mut request = request(self.next_request, self.deadline(in_ms));
        self.next_request += 1;
        change(&mut request);
        let id = request.id;
        let record = RequestRecord {
            request: request.clone(),
            final_actions: Vec::new(),
            cancelled: false,
            delivered: None,
        };
        self.requests.insert(id, record);
        let actions = self.shard.on_request(self.now, request);
        self.check(actions);
        id
    }

    pub(crate) fn outcome(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.outcome_with(attempt, outcome, EndpointReport::default());
    }

    pub(crate) fn outcome_with(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        report: EndpointReport,
    ) {
        if let Some(record) = self.attempts.get_mut(&attempt) {
            record.state = match outcome {
                Outcome::Answered { .. } => State::Answered,
                _ if outcome.certainly_not_run() => State::NotRun,
                _ => State::MaybeRun,
            };
            let endpoint = record.dispatch.endpoint.clone();
            self.record_report(endpoint, outcome, report);
        }
        let actions = self.shard.on_outcome(self.now, attempt, outcome, report);
        self.check(actions);
    }

    /// Ends the oldest health check.
    pub(crate) fn probe_outcome(&mut self, outcome: Outcome) {
        if self.probes.is_empty() {
            return;
        }
        let (probe, endpoint) = self.probes.remove(0);
        self.record_report(endpoint, outcome, EndpointReport::default());
        let actions = self.shard.on_outcome(self.now, probe, outcome, EndpointReport::default());
        self.check(actions);
        if matches!(outcome, Outcome::Answered { .. }) {
            let actions = self.shard.on_body_end(self.now, probe, BodyEnd::Complete);
            self.check(actions);
        }
    }

    fn record_report(&mut self, endpoint: Name, outcome: Outcome, report: EndpointReport) {
        let is_configured =
            self.config.services[0].endpoints.iter().any(|known| known.name == endpoint);
        if !is_configured || !matches!(outcome, Outcome::Answered { .. } | Outcome::Shed) {
            return;
        }
        if report.draining {
            self.draining.insert(endpoint, (self.now, false));
        } else if let Some((_, denied)) = self.draining.get_mut(&endpoint) {
            *denied = true;
        }
    }

    /// An endpoint says for good that it is leaving.
    pub(crate) fn notice_leaving(&mut self, endpoint: &Name) {
        self.leaving.insert(endpoint.clone());
        let actions = self.shard.on_notice(self.now, endpoint, EndpointNotice::LEAVING);
        self.check(actions);
    }

    /// An endpoint asks for no requests for a time.
    pub(crate) fn notice_refusing(&mut self, endpoint: &Name, time: Duration) {
        let until = self.refusing.entry(endpoint.clone()).or_default();
        *until = (*until).max(self.now + time);
        let notice = EndpointNotice { leaving: false, retry_after: Some(time) };
        let actions = self.shard.on_notice(self.now, endpoint, notice);
        self.check(actions);
    }

    pub(crate) fn body_end(&mut self, attempt: AttemptId, end: BodyEnd) {
        if let Some(record) = self.attempts.get_mut(&attempt) {
            record.state = State::MaybeRun;
        }
        let actions = self.shard.on_body_end(self.now, attempt, end);
        self.check(actions);
    }

    /// Completes an attempt with a successful answer.
    pub(crate) fn answer(&mut self, attempt: AttemptId) {
        self.outcome(attempt, answered(200));
        self.body_end(attempt, BodyEnd::Complete);
    }

    pub(crate) fn store(&mut self, id: RequestId, body: &[u8]) {
        let answer = StoredAnswer { status: 200, content_type: None, body: body.to_vec() };
        let request = &self.requests[&id].request;
        if let (Some(key), false) = (&request.key, request.idempotent) {
            self.answers.insert((request.customer.clone(), key.clone()), answer.clone());
        }
        let actions = self.shard.on_stored_answer(self.now, id, answer);
        self.check(actions);
    }

    pub(crate) fn cancel(&mut self, id: RequestId) {
        if let Some(record) = self.requests.get_mut(&id) {
            record.cancelled = true;
        }
        let actions = self.shard.on_cancel(self.now, id);
        self.check(actions);
    }

    pub(crate) fn tick(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        let actions = self.shard.on_tick(self.now);
        self.check(actions);
    }

    pub(crate) fn pause(&mut self, ms: u64) {
        let gap = Duration::from_millis(ms);
        self.now += gap;
        let actions = self.shard.on_pause(self.now, gap);
        let dispatched = actions.iter().any(|action| matches!(action, ShardAction::Dispatch(_)));
        self.expect(!dispatched, || "dispatch within on_pause".to_owned());
        self.check(actions);
    }

    pub(crate) fn configure(&mut self, config: Config) {
        let is_kept =
            |name: &Name| config.services[0].endpoints.iter().any(|kept| kept.name == *name);
        self.draining.retain(|name, _| is_kept(name));
        self.config = config;
        let actions = self.shard.on_config(self.now, &self.config.clone());
        self.check(actions);
    }

    pub(crate) fn set_mode(&mut self, mode: ShardMode) {
        self.mode = mode;
        let actions = self.shard.set_mode(self.now, mode);
        self.check(actions);
    }

    pub(crate) fn in_flight(&self) -> Vec<AttemptId> {
        self.with_state(State::InFlight)
    }

    pub(crate) fn with_state(&self, state: State) -> Vec<AttemptId> {
        let attempts = self.attempts.iter().filter(|(_, record)| record.state == state);
        attempts.map(|(attempt, _)| *attempt).collect()
    }

    pub(crate) fn attempts_of(&self, id: RequestId) -> Vec<AttemptId> {
        let attempts = self.attempts.iter().filter(|(_, record)| record.dispatch.request == id);
        attempts.map(|(attempt, _)| *attempt).collect()
    }

    /// Returns the last attempt of a request.
    pub(crate) fn attempt(&self, id: RequestId) -> AttemptId {
        *self.attempts_of(id).last().expect("the request was dispatched")
    }

    /// Returns the refusal of a request, if it was refused.
    pub(crate) fn refusal(&self, id: RequestId) -> Option<(Execution, Reason)> {
        match self.requests[&id].final_actions.first() {
            Some(ShardAction::Refuse { refusal, .. }) => Some((refusal.execution, refusal.reason)),
            _ => None,
        }
    }

    pub(crate) fn is_delivered(&self, id: RequestId) -> bool {
        matches!(self.requests[&id].final_actions.first(), Some(ShardAction::Deliver { .. }))
    }

    pub(crate) fn is_replayed(&self, id: RequestId) -> bool {
        matches!(self.requests[&id].final_actions.first(), Some(ShardAction::Replay { .. }))
    }

    /// Times out or truncates everything in flight and advances time until nothing is left to do.
    pub(crate) fn drain(&mut self) {
        for _ in 0..50 {
            for attempt in self.with_state(State::InFlight) {
                self.outcome(attempt, Outcome::TimedOut { fresh_connection: true });
            }
            for attempt in self.with_state(State::Answered) {
                self.body_end(attempt, BodyEnd::Truncated);
            }
            for _ in 0..self.probes.len() {
                self.probe_outcome(Outcome::ConnectFailed);
            }
            self.tick(1_000);
        }
        for (id, record) in &self.requests {
            let min_final_actions = usize::from(!record.cancelled);
            if record.final_actions.len() < min_final_actions {
                self.violations.push(format!("{id:?} has no final action"));
            }
        }
        let probing = !self.probes.is_empty();
        for status in self.shard.endpoints(self.now) {
            if status.in_flight > 0 && !probing {
                self.violations.push(format!("{} leaks a slot", status.endpoint));
            }
        }
    }
}
