//! A shard with several VMs that dispatch for it at the same time.

mod shared_support;

use std::{collections::BTreeMap, time::Duration};

use pistachiotrack_core::{
    health::PathAnswer,
    name::Name,
    ownership::ShardId,
    refusal::Execution,
    request::{BodyEnd, EndpointReport, Outcome, Request},
    retry::{RetryRights, RightsRequest, VisibleDispatchers},
    service::RetryLimit,
    shard::{Dispatch, RequestCounts, Shard, ShardAction, ShardMode, ShardSettings, ShardUpdate},
    time::Time,
};
use shared_support::{
    SLOTS, START, all_dispatched, answer, apply_updates, booking, broadcasts, config, dispatched,
    end, endpoint_update, shard, update,
};

/// A booking fails at one VM because its endpoint has begun to fail grayly. The next booking
/// arrives at another VM and must not fail at the same endpoint: the second VM has to get a
/// report of the failure from the first one at once.
#[test]
fn a_failure_at_one_vm_diverts_the_next_booking_of_another() {
    let (mut first, mut second) = (shard(2), shard(2));
    let all_slots = (0..2 * u64::from(SLOTS)).map(|id| first.on_request(START, booking(id, START)));
    let dispatches: Vec<Dispatch> =
        all_slots.collect::<Vec<_>>().iter().filter_map(|actions| dispatched(actions)).collect();
    let answered_at = START + Duration::from_millis(100);
    for dispatch in &dispatches {
        let outcome = Outcome::Answered { status: 200, fresh_connection: true };
        first.on_outcome(answered_at, dispatch.attempt, outcome, EndpointReport::default());
        let ended = first.on_body_end(answered_at, dispatch.attempt, BodyEnd::Complete);
        apply_updates(&mut second, answered_at, &broadcasts(&ended));
    }
    let failed_at = answered_at + Duration::from_millis(300);
    let (failing, updates) = answer(&mut first, failed_at, 10, 500);
    apply_updates(&mut second, failed_at, &updates);
    for id in 0..8 {
        let (endpoint, _) = answer(&mut second, failed_at, id, 200);
        assert_ne!(endpoint, failing);
    }
}

/// Two VMs send to the same endpoint at once. If each counted only its own requests, the endpoint
/// would get twice as many as it has slots, and queue or refuse them.
#[test]
fn requests_of_other_vms_occupy_slots() {
    let mut shard = shard(1);
    let update = update(SLOTS, RequestCounts::default());
    apply_updates(&mut shard, START, std::slice::from_ref(&update));
    assert_eq!(dispatched(&shard.on_request(START, booking(1, START))), None);
    let freed = endpoint_update("endpoint-0", SLOTS - 1, RequestCounts::default());
    assert!(dispatched(&apply_updates(&mut shard, START, &[freed])).is_some());
}

/// A VM loses power while its requests are in flight, and sends no further update. Its count must
/// not occupy the slots forever.
#[test]
fn the_count_of_a_silent_vm_expires() {
    let mut shard = shard(1);
    let update = update(SLOTS, RequestCounts::default());
    apply_updates(&mut shard, START, &[update]);
    let later = START + Duration::from_secs(4);
    shard.on_tick(later);
    assert!(dispatched(&shard.on_request(later, booking(1, later))).is_some());
}

/// A VM starts while an endpoint fails grayly, which the other VMs have detected. Its first
/// bookings must not fail there: it requests a snapshot from one of them.
#[test]
fn a_new_vm_uses_the_snapshot_of_another() {
    let mut old = shard(3);
    let mut failing = None;
    for id in 0..12 {
        let status = if failing.is_none() { 500 } else { 200 };
        let (endpoint, _) = answer(&mut old, START, id, status);
        failing.get_or_insert(endpoint);
    }
    let mut new = shard(3);
    new.on_snapshot(START, &old.snapshot(START));
    for id in 0..8 {
        assert_ne!(Some(answer(&mut new, START, id, 200).0), failing);
    }
}

/// The endpoint that has just answered is busy, and the free one has just failed. A booking sent
/// there would most likely be lost; it waits for a short time.
#[test]
fn a_booking_waits_for_an_endpoint_that_has_just_answered() {
    let mut shard = shard(2);
    let (failing, _) = answer(&mut shard, START, 1, 500);
    let (healthy, _) = answer(&mut shard, START, 2, 200);
    assert_ne!(failing, healthy);
    let busy: Vec<Dispatch> = (10..10 + u64::from(SLOTS))
        .map(|id| dispatched(&shard.on_request(START, booking(id, START))).unwrap())
        .collect();
    assert!(busy.iter().all(|dispatch| dispatch.endpoint == healthy));
    assert_eq!(dispatched(&shard.on_request(START, booking(20, START))), None);
    let later = START + Duration::from_millis(100);
    let outcome = Outcome::Answered { status: 200, fresh_connection: true };
    shard.on_outcome(later, busy[0].attempt, outcome, EndpointReport::default());
    let freed = shard.on_body_end(later, busy[0].attempt, BodyEnd::Complete);
    assert_eq!(dispatched(&freed).map(|dispatch| dispatch.endpoint), Some(healthy));
}

/// All VMs lose power, and all callers return at once. A third of the endpoints fails grayly,
/// each failure within a millisecond, so that these always have free slots. No booking may be
/// sent to an endpoint that has just failed while the others can drain the queue in time.
#[test]
fn many_bookings_wait_for_healthy_endpoints() {
    let mut shard = shard(30);
    let is_failing = |endpoint: &Name| endpoint.as_str().ends_with(['0', '3', '6']);
    let (mut now, mut running, mut failures) = (START, Vec::new(), BTreeMap::new());
    let mut dispatches: Vec<Dispatch> = Vec::new();
    for id in 0..76 {
        dispatches.extend(all_dispatched(&shard.on_request(now, booking(id, now))));
    }
    for _ in 0..40 {
        while let Some(dispatch) = dispatches.pop() {
            if is_failing(&dispatch.endpoint) {
                *failures.entry(dispatch.endpoint.clone()).or_insert(0) += 1;
                dispatches.extend(end(&mut shard, now, &dispatch, 500));
            } else {
                running.push((now + Duration::from_millis(150), dispatch));
            }
        }
        now += Duration::from_millis(10);
        let (due, later) = std::mem::take(&mut running).into_iter().partition(|(at, _)| *at <= now);
        running = later;
        let due: Vec<(Time, Dispatch)> = due;
        for (_, dispatch) in due {
            dispatches.extend(end(&mut shard, now, &dispatch, 200));
        }
    }
    assert!(failures.values().all(|count| *count <= SLOTS), "{failures:?}");
}

/// An endpoint is added to a service whose other endpoints are all healthy. If requests only went
/// to endpoints with recent successes, the new capacity would never be used.
#[test]
fn an_added_endpoint_gets_a_request_soon() {
    let mut shard = shard(2);
    for id in 0..4 {
        answer(&mut shard, START, id, 200);
    }
    shard.on_config(START, &config(3));
    let later = START + Duration::from_secs(1);
    shard.on_tick(later);
    let endpoints: Vec<Name> = (10..13).map(|id| answer(&mut shard, later, id, 200).0).collect();
    assert!(endpoints.contains(&Name::from("endpoint-2")), "{endpoints:?}");
}

/// Callers with outdated addresses use VMs that no longer dispatch for the service, each now and
/// then, while all endpoints fail. If each of so many VMs could send a few retries, they would
/// add up to more than the service's limit.
#[test]
fn vms_with_few_requests_stay_within_the_retry_limit() {
    let limit = RetryLimit { ratio: 0.2, slack: 62, window_ms: 10_000 };
    let (mut requests, mut retries) = (0, 0);
    for _ in 0..48 {
        let mut shard = shard(3);
        for (id, at_ms) in [(1, 0), (2, 6_600)] {
            let now = START + Duration::from_millis(at_ms);
            let lookup = Request { idempotent: true, ..booking(id, now) };
            let mut next = dispatched(&shard.on_request(now, lookup));
            requests += 1;
            while let Some(dispatch) = next {
                let outcome = Outcome::Answered { status: 500, fresh_connection: true };
                let actions =
                    shard.on_outcome(now, dispatch.attempt, outcome, EndpointReport::default());
                shard.on_body_end(now, dispatch.attempt, BodyEnd::Complete);
                next = dispatched(&actions);
                retries += u32::from(next.is_some());
            }
        }
    }
    let allowed = limit.ratio * f64::from(requests) + f64::from(limit.slack);
    assert!(f64::from(retries) <= allowed, "{retries} retries of {requests} requests");
}

/// All VMs lose power, and with them the bookings in flight. If requests had stayed on the few
/// endpoints that answered last, no VM would have observations of the others then, and healthy
/// endpoints would have got nothing while bookings were lost.
#[test]
fn most_endpoints_get_a_request_in_any_two_seconds() {
    let mut shard = shard(20);
    let mut now = START;
    let mut used = std::collections::BTreeSet::new();
    for id in 0..300 {
        now += Duration::from_millis(20);
        let (endpoint, _) = answer(&mut shard, now, id, 200);
        if id >= 200 {
            used.insert(endpoint);
        }
    }
    assert!(used.len() >= 14, "{used:?} in the last 2 s");
}

/// A quarter of the endpoints fails grayly. The endpoints that are tried now and then must be the
/// others.
#[test]
fn failing_endpoints_are_the_last_to_get_requests() {
    let mut shard = shard(20);
    let is_failing = |endpoint: &Name| {
        ["0", "1", "2", "3", "4"].map(|n| format!("endpoint-{n}")).contains(&endpoint.to_string())
    };
    let mut now = START;
    let mut failed = 0;
    for id in 0..1_000 {
        now += Duration::from_millis(20);
        let dispatch = dispatched(&shard.on_request(now, booking(id, now))).unwrap();
        let fails = is_failing(&dispatch.endpoint);
        failed += u32::from(fails && id >= 500);
        let status = if fails { 500 } else { 200 };
        let outcome = Outcome::Answered { status, fresh_connection: true };
        shard.on_outcome(now, dispatch.attempt, outcome, EndpointReport::default());
        shard.on_body_end(now, dispatch.attempt, BodyEnd::Complete);
    }
    assert!(failed <= 25, "{failed} of 500 bookings");
}

/// An endpoint crashes with both slots busy, after failures, and restarts under its name. It must
/// get requests like a new one; late reports about the old incarnation must not count against it.
#[test]
fn a_restarted_endpoint_starts_with_a_clean_record() {
    let renamed = |started| {
        let mut config = config(1);
        let endpoint = &mut config.services[0].endpoints[0];
        endpoint.name = pistachiotrack_core::endpoint::incarnation_name("i-1", Some(started));
        config
    };
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let settings = ShardSettings { mode: ShardMode::Shared, ..ShardSettings::default() };
    let mut shard = Shard::new(START, id, &renamed(1_000), settings);
    let old: Vec<Dispatch> = (1..=u64::from(SLOTS))
        .filter_map(|id| dispatched(&shard.on_request(START, booking(id, START))))
        .collect();
    assert_eq!(old.len(), SLOTS as usize);
    assert_eq!(dispatched(&shard.on_request(START, booking(8, START))), None, "slots are busy");

    let actions = shard.on_config(START, &renamed(2_000));
    let new = dispatched(&actions).expect("the new incarnation has free slots");
    assert_ne!(new.endpoint, old[0].endpoint);
    let initial = new.selection;
    for one in &old {
        let broken = Outcome::Broken { fresh_connection: true };
        shard.on_outcome(START, one.attempt, broken, EndpointReport::default());
    }
    end(&mut shard, START, &new, 200);
    let next = dispatched(&shard.on_request(START, booking(9, START))).unwrap();
    assert_eq!(next.endpoint, new.endpoint);
    assert!(
        next.selection.risk_permille < initial.risk_permille,
        "{:?} {initial:?}",
        next.selection
    );
}

/// An endpoint resets connections for some seconds, and one VM loses a booking there. If it
/// didn't report that, each of the other VMs would lose one as well.
#[test]
fn a_broken_connection_is_reported_to_the_other_vms() {
    let (mut first, mut second) = (shard(4), shard(4));
    let lost = dispatched(&first.on_request(START, booking(1, START))).unwrap();
    let broken = Outcome::Broken { fresh_connection: true };
    let actions = first.on_outcome(START, lost.attempt, broken, EndpointReport::default());
    for update in broadcasts(&actions) {
        second.on_update(START, &Name::from("vm-1"), &update);
    }
    for id in 1..=6 {
        let next = dispatched(&second.on_request(START, booking(id, START))).unwrap();
        assert_ne!(next.endpoint, lost.endpoint, "booking {id}");
    }
}

/// A VM with few requests gets a booking. It has no observations of the endpoints, while the
/// dispatchers have detected which one fails; a millisecond later it would have them as well.
#[test]
fn a_request_waits_for_the_requested_snapshot() {
    let (mut informed, mut idle) = (shard(2), shard(2));
    let mut now = START;
    let first = dispatched(&informed.on_request(now, booking(1, now))).unwrap();
    end(&mut informed, now, &first, 500);
    now += Duration::from_millis(100);
    let second = dispatched(&informed.on_request(now, booking(2, now))).unwrap();
    assert_ne!(second.endpoint, first.endpoint);
    end(&mut informed, now, &second, 200);

    idle.on_snapshot_requested(now);
    assert_eq!(dispatched(&idle.on_request(now, booking(3, now))), None);
    now += Duration::from_millis(3);
    let sent = dispatched(&idle.on_snapshot(now, &informed.snapshot(now))).unwrap();
    assert_eq!(sent.endpoint, second.endpoint);
}

/// As above, but the dispatchers have just crashed. The booking must wait for a bounded time
/// only.
#[test]
fn a_request_waits_a_bounded_time_for_a_missing_snapshot() {
    let mut idle = shard(2);
    idle.on_snapshot_requested(START);
    assert_eq!(dispatched(&idle.on_request(START, booking(1, START))), None);
    let later = START + Duration::from_millis(20);
    assert!(dispatched(&idle.on_tick(later)).is_some());
}

/// All VMs restart and discover each other; one is handed the shard by another for a moment, and
/// the others fill some slots of each endpoint. It must continue to use the free ones; otherwise
/// its callers would wait and be refused for as long as it runs.
#[test]
fn a_vm_without_ownership_of_a_shared_shard_uses_all_free_slots() {
    let config = config(4);
    let mode = ShardMode::without_ownership(config.service("booking"));
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let settings = ShardSettings { mode, ..ShardSettings::default() };
    let mut shard = Shard::new(START, id.clone(), &config, settings);
    for index in 0..4 {
        let update =
            endpoint_update(&format!("endpoint-{index}"), SLOTS - 1, RequestCounts::default());
        shard.on_update(START, &Name::from("vm-2"), &update);
    }
    for id in 1..=4 {
        assert!(dispatched(&shard.on_request(START, booking(id, START))).is_some(), "{id}");
    }
}

/// Endpoints' addresses are reassigned to another service, whose endpoints turn away what was
/// meant for them. Users count each request that arrives beyond the first; if these were not
/// counted, the fleet would send more retries than it may.
#[test]
fn the_retry_of_a_misdirected_request_is_counted() {
    let mut shard = shard(4);
    shard.set_dispatchers(
        START,
        VisibleDispatchers { count: 2, is_member: true, ..VisibleDispatchers::default() },
    );
    // What the VM can give to others is what it hasn't used itself.
    let left = |shard: &mut Shard, now: Time| {
        let all = RightsRequest { id: 1, rights: RetryRights::from_retries(1_000.0) };
        shard.clone().on_rights_request(now, all).unwrap().rights.retries()
    };
    let mut now = START + Duration::from_secs(20);
    shard.on_tick(now);
    let before = left(&mut shard, now);
    let first = dispatched(&shard.on_request(now, booking(1, now))).unwrap();
    now += Duration::from_millis(1);
    let actions = shard.on_outcome(
        now,
        first.attempt,
        Outcome::Misdirected { states_not_run: true },
        EndpointReport::default(),
    );
    assert!(dispatched(&actions).is_some_and(|second| second.endpoint != first.endpoint));
    assert!(left(&mut shard, now) <= before - 0.5, "{before} retries before");
}

/// Endpoints restart under other names, the VMs have not been informed yet, and everything sent
/// to them is rejected. If each of these requests were resent regardless of the limit, the
/// fleet would send more retries than the service allows; beyond it, callers get a refusal that
/// says their request was not run.
#[test]
fn misdirected_requests_stay_within_the_retry_limit() {
    let mut shard = shard(8);
    shard.set_dispatchers(
        START,
        VisibleDispatchers { count: 1, is_member: true, ..VisibleDispatchers::default() },
    );
    let mut now = START + Duration::from_secs(20);
    let (mut retries, mut not_run) = (0, 0);
    for id in 1..=200 {
        now += Duration::from_millis(10);
        let first = dispatched(&shard.on_request(now, booking(id, now)));
        let Some(first) = first else { continue };
        let misdirected = Outcome::Misdirected { states_not_run: true };
        let actions = shard.on_outcome(now, first.attempt, misdirected, EndpointReport::default());
        if let Some(second) = dispatched(&actions) {
            retries += 1;
            end(&mut shard, now, &second, 200);
        }
        not_run += actions
            .iter()
            .filter(|action| {
                matches!(action, ShardAction::Refuse { refusal, .. }
                if refusal.execution == Execution::NotRun)
            })
            .count();
    }
    assert!(retries <= 62 + 200 / 5, "{retries} retries");
    assert!(not_run > 0);
}

/// Guards against VMs that avoid sound endpoints because one that has lost all its paths reports
/// its broken connections.
#[test]
fn broken_connections_of_a_vm_in_doubt_are_not_reported() {
    let mut shard = shard(3);
    let dispatch = dispatched(&shard.on_request(START, booking(1, START))).unwrap();
    let outcome = Outcome::Broken { fresh_connection: false };
    let actions = shard.on_outcome(START, dispatch.attempt, outcome, EndpointReport::default());
    let updates = broadcasts(&actions);
    let ended = |update: &ShardUpdate| update.endpoints.iter().any(|it| it.ended.is_some());
    assert!(updates.iter().any(ended));
    let stripped = updates.into_iter().map(ShardUpdate::without_broken_connections);
    assert!(!stripped.collect::<Vec<_>>().iter().any(ended));
}

/// Guards against a VM that reaches endpoints again and leaves them without requests for as long
/// as they seemed to be faulty.
#[test]
fn endpoints_get_requests_as_soon_as_the_paths_to_them_are_restored() {
    let mut shard = shard(3);
    let ejected = |shard: &Shard, now: Time| {
        let endpoints = shard.endpoints(now);
        endpoints.iter().filter(|endpoint| &*endpoint.state == "ejected").count()
    };
    let (mut now, mut id) = (START, 0);
    while ejected(&shard, now) < 2 {
        now += Duration::from_millis(50);
        id += 1;
        assert!(id < 1_000, "no endpoint was ejected");
        shard.on_tick(now);
        for dispatch in all_dispatched(&shard.on_request(now, booking(id, now))) {
            let (attempt, report) = (dispatch.attempt, EndpointReport::default());
            let actions = shard.on_outcome(now, attempt, Outcome::ConnectFailed, report);
            for action in actions {
                if let ShardAction::CheckPath { endpoint, .. } = action {
                    shard.on_path_answer(now, &endpoint, PathAnswer::UnreachableByOthers);
                }
            }
        }
    }
    shard.on_paths_restored(now);
    assert_eq!(ejected(&shard, now), 0);
}
