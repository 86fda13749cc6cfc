//! Scheduling for one shard: decides when each request is dispatched and to which endpoint.

mod abandonment;
mod action;
mod completion;
mod dispatch;
mod failure_rate;
mod fleet_queue;
mod hand_over;
mod held_retries;
mod notices;
mod peer_queues;
mod pool;
mod rate_limits;
mod relay;
mod retry_budget;
mod snapshot;
mod speed;
mod state;
mod status;
mod subscribers;
mod updates;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rustc_hash::FxHashMap;

pub use self::{
    action::{Dispatch, SelectionDetails, SelectionReason, ShardAction},
    failure_rate::RequestCounts,
    fleet_queue::FleetQueueStatus,
    hand_over::ShardHandOver,
    held_retries::HeldRetryCounts,
    peer_queues::{
        ClassSummary, DeferralCounts, PeerQueues, QueueHead, QueueSummary, SlotDecision,
    },
    retry_budget::RetryCounts,
    snapshot::{ShardSnapshot, SnapshotEstimate},
    speed::{DispatchConditions, SnapshotSpeed},
    subscribers::Subscribers,
    updates::{AttemptResult, EndedAttempt, EndpointKey, EndpointUpdate, ShardUpdate},
};
use self::{
    failure_rate::ServiceFailureRate,
    fleet_queue::FleetQueue,
    held_retries::HeldRetries,
    pool::Pool,
    retry_budget::ShardRetryBudget,
    state::{AttemptState, PendingRequest, Phase},
};
use crate::{
    admission::AdmissionQueue,
    config::Config,
    endpoint::Endpoint,
    endpoint_notice::EndpointNotices,
    feature_flags::FeatureFlags,
    health::{Health, HealthSettings, PathAnswer},
    idempotency::{KeySettings, KeyTable, StoredAnswer},
    name::Name,
    ownership::{ShardId, shard_count, shard_endpoints},
    request::{AttemptId, BodyEnd, EndpointReport, Outcome, Request, RequestId},
    retry::{PriorRetries, RecentLatency, SlotTimeAverage},
    service::{DEFAULT_PROBE_PATH, Service},
    time::Time,
};

/// Longest grace period of a new owner, in which its predecessor's requests may still run.
const MAX_TAKEOVER_GRACE: Duration = Duration::from_millis(500);
/// Length of a pause of this process after which another VM may have taken the shard over and
/// handed it back.
const MIN_TAKEOVER_PAUSE: Duration = Duration::from_secs(1);

/// Share of the endpoints' slots that this VM may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardMode {
    /// This VM owns the shard and may use all slots.
    Owner,
    /// This VM is one of several dispatchers; each counts the requests that the others have in
    /// flight against the slots.
    Shared,
    /// The owner can't be reached; this VM uses a small share of each endpoint's slots.
    Careful,
}

impl ShardMode {
    /// Returns the mode of a VM that doesn't own a service's shard.
    ///
    /// Every caller that starts a shard without owning it must take the mode from here. A VM can
    /// take over a shared shard for a moment while the VMs discover each other after a restart of
    /// the whole fleet. If it stayed in careful mode while the others fill the slots, it would
    /// queue and refuse requests for as long as it runs although slots are free.
    pub fn without_ownership(service: Option<&Service>) -> ShardMode {
        match service.is_some_and(Service::is_shared) {
            true => ShardMode::Shared,
            false => ShardMode::Careful,
        }
    }

    /// Returns the name shown at the admin port.
    pub fn as_str(self) -> &'static str {
        match self {
            ShardMode::Owner => "owner",
            ShardMode::Shared => "shared",
            ShardMode::Careful => "careful",
        }
    }
}

/// Settings of a shard.
#[derive(Clone, Debug)]
pub struct ShardSettings {
    /// Initial mode.
    pub mode: ShardMode,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Data centre of this VM; endpoints there are preferred.
    pub data_centre: Option<Name>,
    /// Mechanisms that are switched on.
    pub feature_flags: FeatureFlags,
    /// What the service's endpoints have asked of this VM so far.
    pub notices: EndpointNotices,
    /// What is known of the retries that were sent before.
    pub prior_retries: PriorRetries,
    /// HTTP statuses by which callers take a request for not run.
    pub refusal_statuses: &'static [u16],
}

impl Default for ShardSettings {
    fn default() -> ShardSettings {
        let feature_flags = FeatureFlags::default();
        ShardSettings {
            mode: ShardMode::Owner,
            seed: 1,
            data_centre: None,
            feature_flags,
            notices: EndpointNotices::default(),
            prior_retries: PriorRetries::default(),
            refusal_statuses: &[],
        }
    }
}

/// State of one shard.
#[derive(Clone, Debug)]
pub struct Shard {
    id: ShardId,
    pool: Pool,
    health: Health,
    queue: AdmissionQueue,
    fleet_queue: FleetQueue,
    queue_limit: usize,
    probe_path: Name,
    takeover_grace: Duration,
    pending: FxHashMap<RequestId, PendingRequest>,
    attempts: FxHashMap<AttemptId, AttemptState>,
    /// Waiting requests by the latest time at which they can still be dispatched.
    dispatch_deadlines: BTreeSet<(Time, RequestId)>,
    /// Requests in flight by the time at which a hedge is due.
    hedge_times: BTreeSet<(Time, RequestId)>,
    /// Attempts by the time from which on a retry may take their place.
    abandon_times: BTreeSet<(Time, AttemptId)>,
    /// For each endpoint that only this VM can't reach, the VMs that can relay requests to it.
    relays: FxHashMap<Name, Vec<Name>>,
    keys: KeyTable,
    retry_budget: ShardRetryBudget,
    retry_counts: RetryCounts,
    held_retries: HeldRetries,
    latency: RecentLatency,
    slot_time: SlotTimeAverage,
    next_attempt: u64,
    /// Whether other VMs dispatch to the endpoints as well.
    is_shared: bool,
    /// Number of VMs that dispatch to them, including this one.
    dispatchers: u32,
    /// Failure rate of the service.
    failure_rate: ServiceFailureRate,
    /// Arrival of the last request that may run again.
    last_idempotent_at: Option<Time>,
    /// Attempts that have ended and have not been reported to the other VMs yet.
    ended_attempts: Vec<(Name, EndedAttempt, Time)>,
    /// While set and not reached, requests wait for a snapshot that was requested from other VMs.
    snapshot_deadline: Option<Time>,
    feature_flags: FeatureFlags,
    /// HTTP statuses by which callers take a request for not run.
    refusal_statuses: &'static [u16],
    pending_actions: Vec<ShardAction>,
}

impl Shard {
    /// Creates a shard from the configuration.
    ///
    /// For a short time only half of the slots are used because requests of a predecessor may
    /// still be running; [`Shard::on_hand_over`] ends that time.
    pub fn new(now: Time, id: ShardId, config: &Config, settings: ShardSettings) -> Shard {
        let service = config.service(&id.service);
        let endpoints = service.map(|service| endpoints(service, &id)).unwrap_or_default();
        let notices = settings.notices.clone();
        let mut pool = Pool::new(settings.mode, settings.seed, settings.feature_flags, notices);
        pool.set_endpoints(now, endpoints.iter().copied());
        let mut health_settings =
            HealthSettings { feature_flags: settings.feature_flags, ..HealthSettings::default() };
        if let Some(service) = service {
            health_settings.sensitivity = service.sensitivity;
            health_settings.failures_only_lower_rank = service.is_shared();
        }
        let floor = service.map_or(0, |service| shard_floor(service, endpoints.len()));
        let configured_endpoints = pool.configured_endpoints();
        let health = Health::new(now, health_settings, &configured_endpoints, floor, settings.seed);
        let retry_budget = ShardRetryBudget::new(now, &settings, config, &id.service);
        let mut shard = Shard {
            id,
            pool,
            health,
            queue: AdmissionQueue::default(),
            fleet_queue: FleetQueue::new(settings.seed ^ now.as_micros()),
            queue_limit: 0,
            probe_path: Name::from(DEFAULT_PROBE_PATH),
            takeover_grace: MAX_TAKEOVER_GRACE,
            pending: FxHashMap::default(),
            attempts: FxHashMap::default(),
            dispatch_deadlines: BTreeSet::new(),
            hedge_times: BTreeSet::new(),
            abandon_times: BTreeSet::new(),
            relays: FxHashMap::default(),
            keys: KeyTable::new(KeySettings::default()),
            retry_budget,
            retry_counts: RetryCounts::default(),
            held_retries: HeldRetries::default(),
            latency: RecentLatency::default(),
            slot_time: SlotTimeAverage::default(),
            next_attempt: 1,
            is_shared: service.is_some_and(Service::is_shared),
            dispatchers: 1,
            failure_rate: ServiceFailureRate::default(),
            last_idempotent_at: None,
            ended_attempts: Vec::new(),
            snapshot_deadline: None,
            feature_flags: settings.feature_flags,
            refusal_statuses: settings.refusal_statuses,
            pending_actions: Vec::new(),
        };
        shard.set_service(now, config);
        if shard.is_shared {
            shard.pool.rank_by_risk(settings.data_centre);
        } else {
            shard.pool.halve_limits_until(now + shard.takeover_grace);
        }
        shard.pool.refresh(now, &shard.health);
        shard
    }

    /// Applies a new configuration.
    pub fn on_config(&mut self, now: Time, config: &Config) -> Vec<ShardAction> {
        let service = config.service(&self.id.service);
        let endpoints = service.map(|service| endpoints(service, &self.id)).unwrap_or_default();
        self.pool.set_endpoints(now, endpoints.iter().copied());
        self.set_service(now, config);
        self.remove_unused_relays();
        let floor = service.map_or(0, |service| shard_floor(service, endpoints.len()));
        let actions = self.health.on_config(now, &self.pool.configured_endpoints(), floor);
        self.on_health_actions(now, actions);
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    /// Changes the mode of this VM.
    pub fn set_mode(&mut self, now: Time, mode: ShardMode) -> Vec<ShardAction> {
        if mode == ShardMode::Owner && self.pool.mode() == ShardMode::Careful && !self.is_shared {
            self.pool.halve_limits_until(now + self.takeover_grace);
        }
        self.pool.set_mode(mode);
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    /// Accepts a request.
    pub fn on_request(&mut self, now: Time, request: Request) -> Vec<ShardAction> {
        let id = request.id;
        if request.idempotent {
            self.last_idempotent_at = Some(now);
        }
        self.pool.release_due(now);
        self.refuse_expired(now);
        let explores = request.idempotent && self.pool.draw_exploration();
        self.pending.insert(id, PendingRequest { explores, ..PendingRequest::new(now, request) });
        self.process_request(now, id);
        self.advance(now)
    }

    /// Records the outcome of an attempt: how it ended, or that the head of its answer has
    /// arrived.
    ///
    /// After [`Outcome::Answered`], and only then, [`Shard::on_body_end`] follows; any other
    /// outcome of an attempt whose answer has begun counts as the end of its body.
    pub fn on_outcome(
        &mut self,
        now: Time,
        attempt: AttemptId,
        outcome: Outcome,
        report: EndpointReport,
    ) -> Vec<ShardAction> {
        let Some(state) = self.attempts.get_mut(&attempt) else { return Vec::new() };
        if state.answered {
            return self.on_body_end(now, attempt, BodyEnd::CallerGone);
        }
        state.answered = matches!(outcome, Outcome::Answered { .. });
        state.unreported = match outcome {
            Outcome::Answered { status, .. } => Some((AttemptResult::Answered { status }, now)),
            Outcome::Broken { .. } => Some((AttemptResult::Broken, now)),
            Outcome::Misdirected { .. } => Some((AttemptResult::Misdirected, now)),
            _ => None,
        };
        let state = state.clone();
        let mut actions = self.health.on_outcome(now, attempt, outcome);
        if state.answered || outcome == Outcome::Shed {
            actions.extend(self.health.on_report(now, &state.endpoint, report));
            self.record_answered_limit(now, &state, outcome, report.rate_limit);
        }
        self.on_health_actions(now, actions);
        self.record_evidence(now, &state, outcome);
        self.on_relay_outcome(now, &state, outcome);
        self.pool.on_own_outcome(now, &state, outcome);
        self.pool.refresh(now, &self.health);
        if let Outcome::Answered { status, .. } = outcome {
            self.queue_failure_report(attempt);
            if let Some(request) = state.request {
                self.on_answer(now, attempt, request, status);
            }
        } else {
            self.end_attempt(now, attempt, outcome.certainly_not_run());
            self.on_failure(now, attempt, &state, outcome);
        }
        self.advance(now)
    }

    /// Records the end of an answer's body.
    pub fn on_body_end(&mut self, now: Time, attempt: AttemptId, end: BodyEnd) -> Vec<ShardAction> {
        let Some(state) = self.attempts.get(&attempt).cloned() else { return Vec::new() };
        let actions = self.health.on_body_end(now, attempt, end);
        self.on_health_actions(now, actions);
        if end == BodyEnd::Complete {
            self.on_complete(now, &state);
        }
        self.end_attempt(now, attempt, end == BodyEnd::Complete);
        if let Some(request) = state.request {
            self.on_key_body_end(now, request, end);
        }
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    /// Stores a small complete answer for duplicates of its request.
    pub fn on_stored_answer(
        &mut self,
        now: Time,
        request: RequestId,
        answer: StoredAnswer,
    ) -> Vec<ShardAction> {
        let answer = Arc::new(answer);
        for waiter in self.keys.on_stored(request, &answer) {
            if self.remove_request(waiter).is_some() {
                let answer = answer.clone();
                self.pending_actions.push(ShardAction::Replay { request: waiter, answer });
            }
        }
        self.advance(now)
    }

    /// Records that the caller disconnected before its answer began.
    ///
    /// Attempts in flight are cancelled. An idempotency key stays on record until the outcome of
    /// its attempt is known.
    pub fn on_cancel(&mut self, now: Time, request: RequestId) -> Vec<ShardAction> {
        let Some(pending) = self.pending.get(&request) else { return Vec::new() };
        let was_running = pending.phase == Phase::Running;
        if pending.is_nearly_expired(now) {
            self.failure_rate.record(false);
        }
        for attempt in &pending.in_flight {
            self.pending_actions.push(ShardAction::Cancel { request, attempt: *attempt });
        }
        if self.remove_request(request) == Some(true) && !was_running {
            let waiters = self.keys.on_not_run(request);
            self.reprocess_requests(now, waiters);
        }
        self.advance(now)
    }

    /// Records a request for this shard's service that was refused before it came here.
    pub fn on_refused_before(&mut self) {
        self.failure_rate.record(false);
    }

    /// Processes the result of [`ShardAction::CheckPath`].
    pub fn on_path_answer(
        &mut self,
        now: Time,
        endpoint: &Name,
        answer: PathAnswer,
    ) -> Vec<ShardAction> {
        let actions = self.health.on_path_answer(now, endpoint, answer);
        self.on_health_actions(now, actions);
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    /// Handles that this VM reaches endpoints again after it reached none.
    pub fn on_paths_restored(&mut self, now: Time) -> Vec<ShardAction> {
        let actions = self.health.on_paths_restored(now);
        self.on_health_actions(now, actions);
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    /// Performs all work that is due.
    pub fn on_tick(&mut self, now: Time) -> Vec<ShardAction> {
        self.remove_lost_probes(now);
        let actions = self.health.on_tick(now);
        self.on_health_actions(now, actions);
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    /// Records that this process was paused for `gap`.
    ///
    /// After a pause, callers of queued requests may have timed out, and another VM may have
    /// taken the shard over. Requests out of time are refused first, nothing is dispatched in
    /// this call, and after a long pause the limits are halved as after a takeover.
    pub fn on_pause(&mut self, now: Time, gap: Duration) -> Vec<ShardAction> {
        self.health.on_pause(now, gap);
        self.pool.on_pause(now);
        self.hedge_times.clear();
        self.fleet_queue.on_pause(now);
        self.refuse_expired(now);
        if gap >= MIN_TAKEOVER_PAUSE {
            self.pool.halve_limits_until(now + self.takeover_grace);
            if let Some(budget) = self.retry_budget.fleet() {
                budget.on_pause(now);
            }
        }
        self.pool.refresh(now, &self.health);
        std::mem::take(&mut self.pending_actions)
    }

    /// Returns whether other VMs dispatch to the endpoints as well.
    pub fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// Returns whether further ejections are held back by the floor.
    pub fn at_floor(&self) -> bool {
        self.health.at_floor()
    }

    /// Returns whether the shard can be dropped without losing anything: there are no requests,
    /// no attempts and no idempotency keys on record.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.attempts.is_empty() && self.keys.is_empty()
    }

    /// Performs the work that has become possible and returns all actions of the event.
    fn advance(&mut self, now: Time) -> Vec<ShardAction> {
        self.pool.release_due(now);
        let waiters = self.keys.on_tick(now);
        self.refuse_waiters(now, waiters);
        self.refuse_expired(now);
        self.send_held(now);
        self.queue_due_retries(now);
        self.dispatch_queue(now);
        self.dispatch_hedges(now);
        self.request_retry_rights(now);
        self.broadcast_updates(now);
        std::mem::take(&mut self.pending_actions)
    }

    fn set_service(&mut self, now: Time, config: &Config) {
        let Some(service) = config.service(&self.id.service) else {
            self.queue_limit = 0;
            return;
        };
        self.queue_limit = service.queue_limit.div_ceil(shard_count(service)) as usize;
        self.probe_path = service.probe_path.clone();
        self.is_shared = service.is_shared();
        self.fleet_queue.set_enabled(self.is_shared && service.contention.fleet_queue);
        self.pool.set_endpoint_speed(self.is_shared && service.contention.endpoint_speed);
        self.retry_budget.configure(now, config, service);
        self.held_retries.configure(service);
        self.takeover_grace = Duration::from_millis(service.timeout_ms).min(MAX_TAKEOVER_GRACE);
        let weights = config
            .customers
            .iter()
            .flat_map(|customer| {
                customer.contracts.iter().map(move |contract| (customer, contract))
            })
            .filter(|(_, contract)| contract.service == self.id.service)
            .map(|(customer, contract)| (customer.name.clone(), contract.slots))
            .collect();
        self.queue.set_weights(weights);
    }
}

fn endpoints<'a>(service: &'a Service, id: &ShardId) -> Vec<&'a Endpoint> {
    shard_endpoints(service, id.index)
}

/// Returns the shard's share of the service's floor, rounded up.
fn shard_floor(service: &Service, shard_endpoints: usize) -> u32 {
    let all = service.endpoints.len().max(1) as u64;
    (u64::from(service.floor) * shard_endpoints as u64).div_ceil(all) as u32
}
