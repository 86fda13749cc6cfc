//! The owner of a shard: decides which request goes to which endpoint when.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{
    admin::EndpointStatus,
    config::Config,
    endpoint::Endpoint,
    health::{HealthAction, HealthHandOver, PathAnswer},
    idempotency::StoredAnswer,
    name::Name,
    ownership::{ShardId, shard_endpoints},
    refusal::{Execution, Reason, Refusal},
    request::{AttemptId, BodyEnd, ConnectionChoice, Outcome, Report, Request, RequestId},
    time::Time,
};

/// How far this VM may go with the shard's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardMode {
    /// This VM owns the shard and may use all slots.
    Owner,
    /// The owner can't be reached: a small share of each endpoint's slots.
    Careful,
}

/// Settings of a shard.
#[derive(Clone, Debug)]
pub struct ShardSettings {
    /// Mode at the start.
    pub mode: ShardMode,
    /// Seed of every random choice.
    pub seed: u64,
}

impl Default for ShardSettings {
    fn default() -> ShardSettings {
        ShardSettings { mode: ShardMode::Owner, seed: 1 }
    }
}

/// One dispatch of a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Request to send.
    pub request: RequestId,
    /// Identity of this attempt.
    pub attempt: AttemptId,
    /// Endpoint to send it to.
    pub endpoint: Name,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// What the connection must be like.
    pub connection: ConnectionChoice,
    /// Moment after which not even the first byte may be written.
    pub not_after: Time,
    /// Moment at which the attempt is reported as timed out.
    pub time_limit: Time,
}

/// What the caller of a shard has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Sends a request to an endpoint.
    Dispatch(Dispatch),
    /// Ends an attempt: closes its connection, so that the endpoint stops.
    Cancel {
        /// Request of the attempt.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Passes the answer of an attempt, which has begun, to the caller.
    Deliver {
        /// Request that is answered.
        request: RequestId,
        /// Attempt whose answer is passed on.
        attempt: AttemptId,
    },
    /// Answers a duplicate with the answer of the first.
    Replay {
        /// Request that is answered.
        request: RequestId,
        /// The stored answer.
        answer: Arc<StoredAnswer>,
    },
    /// Refuses a request; final.
    Refuse {
        /// The request.
        request: RequestId,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// Sends a health check.
    Probe {
        /// Identity of the attempt.
        attempt: AttemptId,
        /// Endpoint to check.
        endpoint: Name,
        /// Address of the endpoint.
        address: SocketAddr,
        /// Path of the health check.
        path: Name,
        /// Moment at which the probe is reported as timed out.
        time_limit: Time,
    },
    /// Asks VMs elsewhere whether they reach an endpoint.
    CheckPath {
        /// The endpoint.
        endpoint: Name,
        /// Address of the endpoint.
        address: SocketAddr,
    },
    /// Something that belongs into the log.
    Health(HealthAction),
}

/// What an owner tells its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardHandOver {
    /// The shard.
    pub shard: ShardId,
    /// Health of the endpoints.
    pub health: Vec<HealthHandOver>,
    /// Requests still in flight by endpoint.
    pub in_flight: Vec<(Name, u32)>,
}

#[derive(Clone, Debug)]
struct Slot {
    endpoint: Endpoint,
    in_flight: u32,
}

/// The decisions about one shard.
#[derive(Clone, Debug)]
pub struct Shard {
    id: ShardId,
    slots: Vec<Slot>,
    queue: VecDeque<Request>,
    running: FxHashMap<AttemptId, (Request, Name)>,
    next_attempt: u64,
}

impl Shard {
    /// Creates a shard from the configuration.
    pub fn new(now: Time, id: ShardId, config: &Config, _settings: ShardSettings) -> Shard {
        let mut shard = Shard {
            id,
            slots: Vec::new(),
            queue: VecDeque::new(),
            running: FxHashMap::default(),
            next_attempt: 1,
        };
        shard.on_config(now, config);
        shard
    }

    /// Takes a new configuration.
    pub fn on_config(&mut self, _now: Time, config: &Config) -> Vec<ShardAction> {
        let endpoints = config
            .service(&self.id.service)
            .map(|service| shard_endpoints(service, self.id.index))
            .unwrap_or_default();
        self.slots = endpoints
            .into_iter()
            .map(|endpoint| Slot {
                endpoint: endpoint.clone(),
                in_flight: self.running.values().filter(|(_, name)| *name == endpoint.name).count()
                    as u32,
            })
            .collect();
        self.dispatch()
    }

    /// Changes how far this VM may go.
    pub fn set_mode(&mut self, _now: Time, _mode: ShardMode) -> Vec<ShardAction> {
        Vec::new()
    }

    /// Takes a request.
    pub fn on_request(&mut self, _now: Time, request: Request) -> Vec<ShardAction> {
        self.queue.push_back(request);
        self.dispatch()
    }

    /// Takes how an attempt ended or how its answer began.
    ///
    /// After [`Outcome::Answered`], and only then, [`Shard::on_body_end`]
    /// follows.
    pub fn on_outcome(
        &mut self,
        _now: Time,
        attempt: AttemptId,
        outcome: Outcome,
        _report: Report,
    ) -> Vec<ShardAction> {
        let Some((request, _)) = self.running.get(&attempt) else { return Vec::new() };
        let request = request.id;
        if matches!(outcome, Outcome::Answered { .. }) {
            return vec![ShardAction::Deliver { request, attempt }];
        }
        self.release(attempt);
        let execution =
            if outcome.certainly_not_run() { Execution::NotRun } else { Execution::Unknown };
        let refusal = Refusal { execution, reason: Reason::AnswerLost, retry_after_ms: Some(100) };
        let mut actions = vec![ShardAction::Refuse { request, refusal }];
        actions.extend(self.dispatch());
        actions
    }

    /// Takes the end of an answer's body.
    pub fn on_body_end(
        &mut self,
        _now: Time,
        attempt: AttemptId,
        _end: BodyEnd,
    ) -> Vec<ShardAction> {
        self.release(attempt);
        self.dispatch()
    }

    /// Keeps a small whole answer for duplicates of its request.
    pub fn on_stored_answer(
        &mut self,
        _now: Time,
        _request: RequestId,
        _answer: StoredAnswer,
    ) -> Vec<ShardAction> {
        Vec::new()
    }

    /// Notes that the caller went away before its answer began.
    pub fn on_cancel(&mut self, _now: Time, request: RequestId) -> Vec<ShardAction> {
        self.queue.retain(|queued| queued.id != request);
        let attempts: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, (running, _))| running.id == request)
            .map(|(attempt, _)| *attempt)
            .collect();
        attempts.into_iter().map(|attempt| ShardAction::Cancel { request, attempt }).collect()
    }

    /// Takes the answer to [`ShardAction::CheckPath`].
    pub fn on_path_answer(
        &mut self,
        _now: Time,
        _endpoint: &Name,
        _answer: PathAnswer,
    ) -> Vec<ShardAction> {
        Vec::new()
    }

    /// Does what is due.
    pub fn on_tick(&mut self, now: Time) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        self.queue.retain(|request| {
            let expired = request.deadline <= now;
            if expired {
                let refusal = Refusal {
                    execution: Execution::NotRun,
                    reason: Reason::DeadlinePassed,
                    retry_after_ms: None,
                };
                actions.push(ShardAction::Refuse { request: request.id, refusal });
            }
            !expired
        });
        actions
    }

    /// Notes that this process was paused for `gap`.
    pub fn on_pause(&mut self, now: Time, _gap: Duration) -> Vec<ShardAction> {
        self.on_tick(now)
    }

    /// Returns what a successor needs to know.
    pub fn hand_over(&self, _now: Time) -> ShardHandOver {
        ShardHandOver { shard: self.id.clone(), health: Vec::new(), in_flight: Vec::new() }
    }

    /// Takes what a predecessor knew.
    pub fn on_hand_over(&mut self, _now: Time, _from: &ShardHandOver) -> Vec<ShardAction> {
        Vec::new()
    }

    /// Returns the expected wait of a new request.
    pub fn queue_wait(&self, _now: Time) -> Duration {
        Duration::ZERO
    }

    /// Returns whether further ejections are held back.
    pub fn at_floor(&self) -> bool {
        false
    }

    /// Returns the endpoints for the admin port.
    pub fn endpoints(&self, _now: Time) -> Vec<EndpointStatus> {
        self.slots
            .iter()
            .map(|slot| EndpointStatus {
                service: self.id.service.clone(),
                endpoint: slot.endpoint.name.clone(),
                state: Name::from("healthy"),
                in_flight: slot.in_flight,
                limit: slot.endpoint.slots,
                evidence: 0.0,
                reason: None,
            })
            .collect()
    }

    fn release(&mut self, attempt: AttemptId) {
        let Some((_, name)) = self.running.remove(&attempt) else { return };
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.endpoint.name == name) {
            slot.in_flight -= 1;
        }
    }

    fn dispatch(&mut self) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        while !self.queue.is_empty() {
            let free = self
                .slots
                .iter_mut()
                .filter(|slot| !slot.endpoint.leaving && slot.in_flight < slot.endpoint.slots)
                .min_by_key(|slot| slot.in_flight);
            let Some(slot) = free else { break };
            let Some(request) = self.queue.pop_front() else { break };
            slot.in_flight += 1;
            let attempt = AttemptId(self.next_attempt);
            self.next_attempt += 1;
            actions.push(ShardAction::Dispatch(Dispatch {
                request: request.id,
                attempt,
                endpoint: slot.endpoint.name.clone(),
                address: slot.endpoint.address,
                connection: ConnectionChoice::Any,
                not_after: request.deadline,
                time_limit: request.deadline,
            }));
            self.running.insert(attempt, (request, slot.endpoint.name.clone()));
        }
        actions
    }
}
