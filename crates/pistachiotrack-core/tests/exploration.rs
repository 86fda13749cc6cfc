//! Requests that explore endpoints with an elevated risk of failure.

mod shared_support;

use std::time::Duration;

use pistachiotrack_core::{
    name::Name,
    ownership::ShardId,
    request::Request,
    retry::{RetryRights, RightsRequest, VisibleDispatchers},
    shard::{RequestCounts, SelectionReason, Shard, ShardMode, ShardSettings},
    time::Time,
};
use shared_support::{
    START, all_dispatched, answer, apply_updates, booking, config, dispatched, end, endpoint_update,
};

const TICK: Duration = Duration::from_millis(2);

fn lookup(id: u64, now: Time) -> Request {
    Request { idempotent: true, ..booking(id, now) }
}

/// Returns a shard with two endpoints, the one that is known to fail, and a time shortly after it
/// failed. Both have been used so recently that neither is overdue.
fn shard_with_a_failing_endpoint(seed: u64) -> (Shard, Name, Time) {
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let settings = ShardSettings { mode: ShardMode::Shared, seed, ..ShardSettings::default() };
    let mut shard = Shard::new(START, id, &config(2), settings);
    shard.set_dispatchers(
        START,
        VisibleDispatchers { count: 2, is_member: true, ..VisibleDispatchers::default() },
    );
    // Its part of the slack is usable after a window.
    let mut now = START + Duration::from_secs(10);
    let (failing, _) = answer(&mut shard, now, 1, 500);
    for request in 2..12 {
        now += TICK;
        let sent = dispatched(&shard.on_request(now, booking(request, now))).unwrap();
        let status = if sent.endpoint == failing { 500 } else { 200 };
        end(&mut shard, now, &sent, status);
    }
    (shard, failing, now)
}

/// A lookup waits while the good endpoint is full. Each event that looks at the queue must not be
/// another chance to be sent to the endpoint that is known to fail, or nearly all requests that
/// wait end up there.
#[test]
fn a_waiting_request_is_drawn_to_explore_once() {
    const RUNS: u64 = 200;
    let explored = |seed: u64| {
        let (mut shard, failing, mut now) = shard_with_a_failing_endpoint(seed);
        let good = if failing.as_str() == "endpoint-0" { "endpoint-1" } else { "endpoint-0" };
        let full = [endpoint_update(good, 2, RequestCounts::default())];
        apply_updates(&mut shard, now, &full);
        let mut sent = all_dispatched(&shard.on_request(now, lookup(100, now)));
        for _ in 0..100 {
            now += TICK;
            sent.extend(all_dispatched(&shard.on_tick(now)));
        }
        !sent.is_empty()
    };
    let explored = (1..=RUNS).filter(|seed| explored(*seed)).count() as u64;
    assert!(explored * 5 <= RUNS, "{explored} of {RUNS} explored, one in eight was meant to");
}

/// A lookup that explores fails more often than not, and is lost if there is no retry left by then.
/// It must not explore once more than half of this VM's rights to send retries are used, also by
/// other VMs that have asked for them.
#[test]
fn no_request_explores_while_few_retries_are_left() {
    let explores = |seed: u64, used_by_peer: f64| {
        let (mut shard, _, now) = shard_with_a_failing_endpoint(seed);
        let rights = RetryRights::from_retries(used_by_peer);
        let grant = shard.on_rights_request(now, RightsRequest { id: 1, rights }).unwrap();
        assert_eq!(grant.rights, rights);
        let sent = dispatched(&shard.on_request(now, lookup(100, now)));
        sent.is_some_and(|sent| sent.selection.reason == SelectionReason::Explored)
    };
    let explored = |used: f64| (1..=200).filter(|seed| explores(*seed, used)).count();
    assert!(explored(0.0) >= 10, "{} of 200 explored with all retries left", explored(0.0));
    assert_eq!(explored(14.0), 0, "explored with few retries left");
}
