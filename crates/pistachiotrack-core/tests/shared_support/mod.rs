//! A shard with several VMs that dispatch for it at the same time.

// Each test file uses only a part of it.
#![allow(dead_code)]

use std::time::Duration;

use pistachiotrack_core::{
    caller_limits::CallerLimits,
    config::Config,
    data_centre::DataCentre,
    endpoint::Endpoint,
    name::Name,
    ownership::ShardId,
    request::{BodyEnd, Class, DEFAULT_MAX_ATTEMPTS, EndpointReport, Outcome, Request, RequestId},
    retry::RetryRights,
    service::{Contention, RetryLimit, Service},
    shard::{
        Dispatch, EndpointKey, EndpointUpdate, RequestCounts, Shard, ShardAction, ShardMode,
        ShardSettings, ShardUpdate,
    },
    time::Time,
};

pub(crate) const START: Time = Time::from_millis(10_000);
pub(crate) const SLOTS: u32 = 2;

pub(crate) fn config(endpoints: u32) -> Config {
    let endpoint = |index: u32| Endpoint {
        name: Name::from(format!("endpoint-{index}")),
        address: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
        data_centre: Name::from("oslo-1"),
        slots: SLOTS,
        connections: 400,
        leaving: false,
    };
    Config {
        version: 1,
        deployment: Name::from("timeliten"),
        entry_lifetime_ms: 1_000,
        data_centres: vec![DataCentre { name: Name::from("oslo-1"), region: Name::from("oslo") }],
        services: vec![Service {
            name: Name::from("booking"),
            floor: 1,
            sensitivity: 1.0,
            timeout_ms: 1_000,
            queue_limit: 16,
            shard_endpoints: 64,
            dispatchers_per_data_centre: 2,
            retry_limit: Some(RetryLimit { ratio: 0.2, slack: 62, window_ms: 10_000 }),
            contention: Contention::default(),
            probe_path: Name::from("/healthz"),
            endpoints: (0..endpoints).map(endpoint).collect(),
        }],
        customers: Vec::new(),
        rules: Vec::new(),
        api_keys_required: false,
        caller_limits: CallerLimits::default(),
        operators_version: None,
    }
}

pub(crate) fn shard(endpoints: u32) -> Shard {
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let settings = ShardSettings { mode: ShardMode::Shared, ..ShardSettings::default() };
    Shard::new(START, id, &config(endpoints), settings)
}

pub(crate) fn booking(id: u64, now: Time) -> Request {
    Request {
        id: RequestId(id),
        customer: Name::from("timeliten"),
        class: Class::Standard,
        deadline: now + Duration::from_secs(1),
        idempotent: false,
        hedge: false,
        max_attempts: DEFAULT_MAX_ATTEMPTS,
        prior: Default::default(),
        key: None,
        repeat: false,
    }
}

pub(crate) fn dispatched(actions: &[ShardAction]) -> Option<Dispatch> {
    actions.iter().find_map(|action| match action {
        ShardAction::Dispatch(dispatch) => Some(dispatch.clone()),
        _ => None,
    })
}

pub(crate) fn all_dispatched(actions: &[ShardAction]) -> Vec<Dispatch> {
    let dispatch = |action: &ShardAction| match action {
        ShardAction::Dispatch(dispatch) => Some(dispatch.clone()),
        _ => None,
    };
    actions.iter().filter_map(dispatch).collect()
}

/// Answers an attempt with `status` and returns what is dispatched next.
pub(crate) fn end(shard: &mut Shard, now: Time, dispatch: &Dispatch, status: u16) -> Vec<Dispatch> {
    let outcome = Outcome::Answered { status, fresh_connection: true };
    let mut actions = shard.on_outcome(now, dispatch.attempt, outcome, EndpointReport::default());
    actions.extend(shard.on_body_end(now, dispatch.attempt, BodyEnd::Complete));
    all_dispatched(&actions)
}

pub(crate) fn broadcasts(actions: &[ShardAction]) -> Vec<ShardUpdate> {
    let updates = actions.iter().filter_map(|action| match action {
        ShardAction::Broadcast(update) => Some(update.clone()),
        _ => None,
    });
    updates.collect()
}

/// Returns another VM's update on `endpoint-0`.
pub(crate) fn update(in_flight: u32, request_counts: RequestCounts) -> ShardUpdate {
    endpoint_update("endpoint-0", in_flight, request_counts)
}

/// Returns another VM's update on an endpoint.
pub(crate) fn endpoint_update(
    endpoint: &str,
    in_flight: u32,
    request_counts: RequestCounts,
) -> ShardUpdate {
    ShardUpdate {
        shard: ShardId { service: Name::from("booking"), index: 0 },
        request_counts,
        spare_retries: RetryRights::NONE,
        known_vms: Some(1),
        endpoints: vec![EndpointUpdate {
            endpoint: EndpointKey::of(endpoint),
            in_flight,
            ended: None,
            rate: None,
            leaving: false,
        }],
        queue: None,
    }
}

/// Sends a booking, answers it with `status` and returns its endpoint and the updates that the VM
/// broadcasts.
pub(crate) fn answer(
    shard: &mut Shard,
    now: Time,
    id: u64,
    status: u16,
) -> (Name, Vec<ShardUpdate>) {
    let dispatch = dispatched(&shard.on_request(now, booking(id, now))).unwrap();
    let outcome = Outcome::Answered { status, fresh_connection: true };
    let mut actions = shard.on_outcome(now, dispatch.attempt, outcome, EndpointReport::default());
    actions.extend(shard.on_body_end(now, dispatch.attempt, BodyEnd::Complete));
    (dispatch.endpoint, broadcasts(&actions))
}

pub(crate) fn apply_updates(
    to: &mut Shard,
    now: Time,
    updates: &[ShardUpdate],
) -> Vec<ShardAction> {
    let from = Name::from("vm-02");
    updates.iter().flat_map(|update| to.on_update(now, &from, update)).collect()
}
