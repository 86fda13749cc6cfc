//! A shard that several VMs dispatch for side by side.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::time::Duration;

use pistachiotrack_core::{
    config::Config,
    data_centre::DataCentre,
    endpoint::Endpoint,
    name::Name,
    ownership::ShardId,
    request::{BodyEnd, Class, DEFAULT_MAX_ATTEMPTS, Outcome, Report, Request, RequestId},
    retry::SentTotal,
    service::{RetryLimit, Service},
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
            probe_path: Name::from("/healthz"),
            endpoints: (0..endpoints).map(endpoint).collect(),
        }],
        customers: Vec::new(),
        rules: Vec::new(),
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

/// Has an attempt answered with `status` and returns what is dispatched next.
pub(crate) fn end(shard: &mut Shard, now: Time, dispatch: &Dispatch, status: u16) -> Vec<Dispatch> {
    let outcome = Outcome::Answered { status, fresh_connection: true };
    let mut actions = shard.on_outcome(now, dispatch.attempt, outcome, Report::default());
    actions.extend(shard.on_body_end(now, dispatch.attempt, BodyEnd::Complete));
    all_dispatched(&actions)
}

pub(crate) fn told(actions: &[ShardAction]) -> Vec<ShardUpdate> {
    let news = actions.iter().filter_map(|action| match action {
        ShardAction::Broadcast(news) => Some(news.clone()),
        _ => None,
    });
    news.collect()
}

/// Returns what a VM tells of `endpoint-0`.
pub(crate) fn news(in_flight: u32, request_counts: RequestCounts) -> ShardUpdate {
    news_of("endpoint-0", in_flight, request_counts)
}

/// Returns what a VM tells of an endpoint.
pub(crate) fn news_of(
    endpoint: &str,
    in_flight: u32,
    request_counts: RequestCounts,
) -> ShardUpdate {
    ShardUpdate {
        shard: ShardId { service: Name::from("booking"), index: 0 },
        request_counts,
        sent: SentTotal::default(),
        endpoints: vec![EndpointUpdate {
            endpoint: EndpointKey::of(endpoint),
            in_flight,
            ended: None,
            rate: None,
        }],
    }
}

/// Has a request answered with `status` and returns what the VM tells.
pub(crate) fn answer(
    shard: &mut Shard,
    now: Time,
    id: u64,
    status: u16,
) -> (Name, Vec<ShardUpdate>) {
    let dispatch = dispatched(&shard.on_request(now, booking(id, now))).unwrap();
    let outcome = Outcome::Answered { status, fresh_connection: true };
    let mut actions = shard.on_outcome(now, dispatch.attempt, outcome, Report::default());
    actions.extend(shard.on_body_end(now, dispatch.attempt, BodyEnd::Complete));
    (dispatch.endpoint, told(&actions))
}

pub(crate) fn pass_on(to: &mut Shard, now: Time, news: &[ShardUpdate]) -> Vec<ShardAction> {
    let from = Name::from("vm-02");
    news.iter().flat_map(|news| to.on_update(now, &from, news)).collect()
}
