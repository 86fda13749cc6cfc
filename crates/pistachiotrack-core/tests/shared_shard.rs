//! Several VMs that dispatch for one shard side by side.

mod shared_support;

use std::{collections::BTreeMap, time::Duration};

use pistachiotrack_core::{
    name::Name,
    ownership::ShardId,
    refusal::Execution,
    request::{BodyEnd, Outcome, Report, Request},
    retry::DispatchersInView,
    service::RetryLimit,
    shard::{Dispatch, RequestCounts, Shard, ShardAction, ShardMode, ShardSettings},
    time::Time,
};
use shared_support::{
    SLOTS, START, all_dispatched, answer, booking, config, dispatched, end, news, news_of, pass_on,
    shard, told,
};

/// A booking fails at one VM because its endpoint has begun to fail grayly. The
/// next booking enters at another VM. It must not go to the same endpoint and fail
/// too: the second VM has to learn of the failure from the first one at once.
#[test]
fn a_failure_at_one_vm_keeps_the_next_booking_of_another_away() {
    let (mut first, mut second) = (shard(2), shard(2));
    let all_slots = (0..2 * u64::from(SLOTS)).map(|id| first.on_request(START, booking(id, START)));
    let dispatches: Vec<Dispatch> =
        all_slots.collect::<Vec<_>>().iter().filter_map(|actions| dispatched(actions)).collect();
    let proven_at = START + Duration::from_millis(100);
    for dispatch in &dispatches {
        let outcome = Outcome::Answered { status: 200, fresh_connection: true };
        first.on_outcome(proven_at, dispatch.attempt, outcome, Report::default());
        let ended = first.on_body_end(proven_at, dispatch.attempt, BodyEnd::Complete);
        pass_on(&mut second, proven_at, &told(&ended));
    }
    let failed_at = proven_at + Duration::from_millis(300);
    let (failing, news) = answer(&mut first, failed_at, 10, 500);
    pass_on(&mut second, failed_at, &news);
    for id in 0..8 {
        let (endpoint, _) = answer(&mut second, failed_at, id, 200);
        assert_ne!(endpoint, failing);
    }
}

/// Two VMs send to the same endpoint at once. If each knew only its own requests,
/// the endpoint would get twice as many as it has slots, and queue or refuse them.
#[test]
fn requests_of_other_vms_take_up_slots() {
    let mut shard = shard(1);
    let news = news(SLOTS, RequestCounts::default());
    pass_on(&mut shard, START, std::slice::from_ref(&news));
    assert_eq!(dispatched(&shard.on_request(START, booking(1, START))), None);
    let freed = news_of("endpoint-0", SLOTS - 1, RequestCounts::default());
    assert!(dispatched(&pass_on(&mut shard, START, &[freed])).is_some());
}

/// A VM loses power while its requests are in flight, and tells nothing any more.
/// Its count must not take up the slots for good.
#[test]
fn the_count_of_a_silent_vm_runs_out() {
    let mut shard = shard(1);
    let news = news(SLOTS, RequestCounts::default());
    pass_on(&mut shard, START, &[news]);
    let later = START + Duration::from_secs(4);
    shard.on_tick(later);
    assert!(dispatched(&shard.on_request(later, booking(1, later))).is_some());
}

/// A VM starts while an endpoint fails grayly, which the others know. Its first
/// bookings must not find that out anew: it asks one of them for a picture.
#[test]
fn a_new_vm_takes_over_what_another_believes() {
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

/// The endpoint that has just answered is busy, and the free one has just failed.
/// A booking that was sent there would most likely be lost; it waits a little.
#[test]
fn a_booking_waits_for_an_endpoint_that_has_just_answered() {
    let mut shard = shard(2);
    let (failing, _) = answer(&mut shard, START, 1, 500);
    let (proven, _) = answer(&mut shard, START, 2, 200);
    assert_ne!(failing, proven);
    let busy: Vec<Dispatch> = (10..10 + u64::from(SLOTS))
        .map(|id| dispatched(&shard.on_request(START, booking(id, START))).unwrap())
        .collect();
    assert!(busy.iter().all(|dispatch| dispatch.endpoint == proven));
    assert_eq!(dispatched(&shard.on_request(START, booking(20, START))), None);
    let later = START + Duration::from_millis(100);
    let outcome = Outcome::Answered { status: 200, fresh_connection: true };
    shard.on_outcome(later, busy[0].attempt, outcome, Report::default());
    let freed = shard.on_body_end(later, busy[0].attempt, BodyEnd::Complete);
    assert_eq!(dispatched(&freed).map(|dispatch| dispatch.endpoint), Some(proven));
}

/// All VMs lose power, and all callers come back at once. A third of the endpoints
/// fails grayly, each failure within a millisecond, so that these are always free. No
/// booking may be sent to an endpoint that has just failed while the others get
/// through the queue in time.
#[test]
fn many_bookings_wait_for_endpoints_that_don_t_fail() {
    let mut shard = shard(30);
    let is_failing = |endpoint: &Name| endpoint.as_str().ends_with(['0', '3', '6']);
    let (mut now, mut running, mut failures) = (START, Vec::new(), BTreeMap::new());
    let mut commands: Vec<Dispatch> = Vec::new();
    for id in 0..76 {
        commands.extend(all_dispatched(&shard.on_request(now, booking(id, now))));
    }
    for _ in 0..40 {
        while let Some(dispatch) = commands.pop() {
            if is_failing(&dispatch.endpoint) {
                *failures.entry(dispatch.endpoint.clone()).or_insert(0) += 1;
                commands.extend(end(&mut shard, now, &dispatch, 500));
            } else {
                running.push((now + Duration::from_millis(150), dispatch));
            }
        }
        now += Duration::from_millis(10);
        let (due, later) = std::mem::take(&mut running).into_iter().partition(|(at, _)| *at <= now);
        running = later;
        let due: Vec<(Time, Dispatch)> = due;
        for (_, dispatch) in due {
            commands.extend(end(&mut shard, now, &dispatch, 200));
        }
    }
    assert!(failures.values().all(|count| *count <= SLOTS), "{failures:?}");
}

/// An endpoint joins a service whose other endpoints all do well. If work only
/// went to proven ones, the new capacity would never be used.
#[test]
fn an_endpoint_that_joins_gets_a_request_soon() {
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

/// Callers with old addresses use VMs that don't dispatch for the service any more,
/// each now and then, while all endpoints fail. The retries of so many VMs add up to
/// more than the service's limit, if each may send a few.
#[test]
fn vms_that_callers_seldom_use_stay_within_the_limit_of_retries() {
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
                let actions = shard.on_outcome(now, dispatch.attempt, outcome, Report::default());
                shard.on_body_end(now, dispatch.attempt, BodyEnd::Complete);
                next = dispatched(&actions);
                retries += u32::from(next.is_some());
            }
        }
    }
    let allowed = limit.ratio * f64::from(requests) + f64::from(limit.slack);
    assert!(f64::from(retries) <= allowed, "{retries} retries of {requests} requests");
}

/// All VMs lose power, and with them the bookings in flight. If the work had stayed
/// on the few endpoints that answered last, nobody would know the others then, and
/// sound ones would have got nothing while bookings were lost.
#[test]
fn most_endpoints_get_work_in_any_two_seconds() {
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

/// A quarter of the endpoints fails grayly. The endpoints that are tried now and
/// then must be the others.
#[test]
fn endpoints_that_fail_are_the_last_to_get_work() {
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
        shard.on_outcome(now, dispatch.attempt, outcome, Report::default());
        shard.on_body_end(now, dispatch.attempt, BodyEnd::Complete);
    }
    assert!(failed <= 25, "{failed} of 500 bookings");
}

/// A fifth of all bookings fails, by faults that no endpoint alone is to blame for.
/// Then no endpoint may be left without work, whatever it looks like.
#[test]
fn all_endpoints_get_work_while_much_is_lost() {
    let mut shard = shard(10);
    let mut now = START;
    let told = news(0, RequestCounts { served: 4, failed: 1 });
    let mut used = std::collections::BTreeSet::new();
    for id in 0..300 {
        now += Duration::from_millis(20);
        pass_on(&mut shard, now, std::slice::from_ref(&told));
        let status = if id % 5 == 0 { 500 } else { 200 };
        let (endpoint, _) = answer(&mut shard, now, id, status);
        if id >= 200 {
            used.insert(endpoint);
        }
    }
    assert_eq!(used.len(), 10, "{used:?} in the last 2 s");
}

/// Many VMs take in a request now and then and serve it, while those that most callers
/// use lose a fifth. What counts is each request, not each VM.
#[test]
fn vms_with_few_requests_don_t_hide_that_much_is_lost() {
    let mut shard = shard(10);
    let mut now = START;
    let mut used = std::collections::BTreeSet::new();
    for id in 0..300_u64 {
        now += Duration::from_millis(20);
        let request_counts = match id % 20 {
            0 => RequestCounts { served: 1, failed: 0 },
            _ => RequestCounts { served: 4, failed: 1 },
        };
        let news = news(0, request_counts);
        let vm = if id % 20 == 0 { format!("guest-{id}") } else { "dispatcher".to_owned() };
        shard.on_update(now, &Name::from(vm), &news);
        let (endpoint, _) = answer(&mut shard, now, id, 200);
        if id >= 200 {
            used.insert(endpoint);
        }
    }
    assert_eq!(used.len(), 10, "{used:?} in the last 2 s");
}

/// An endpoint crashes with both slots busy, after failures, and starts again under its
/// name. It must get work like a new one; what the crash leaves to be told of the old
/// one must not count against it.
#[test]
fn an_endpoint_that_started_again_bears_nothing_of_its_earlier_life() {
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
    let fresh = new.selection;
    for one in &old {
        let broken = Outcome::Broken { fresh_connection: true };
        shard.on_outcome(START, one.attempt, broken, Report::default());
    }
    end(&mut shard, START, &new, 200);
    let next = dispatched(&shard.on_request(START, booking(9, START))).unwrap();
    assert_eq!(next.endpoint, new.endpoint);
    assert!(next.selection.risk_permille < fresh.risk_permille, "{:?} {fresh:?}", next.selection);
}

/// An endpoint resets what it is sent for some seconds. One VM loses a booking there.
/// Were the others not told, each of them would lose one of its own.
#[test]
fn a_connection_that_an_endpoint_broke_is_told_to_the_others() {
    let (mut first, mut second) = (shard(4), shard(4));
    let lost = dispatched(&first.on_request(START, booking(1, START))).unwrap();
    let broken = Outcome::Broken { fresh_connection: true };
    let actions = first.on_outcome(START, lost.attempt, broken, Report::default());
    for news in told(&actions) {
        second.on_update(START, &Name::from("vm-1"), &news);
    }
    for id in 1..=6 {
        let next = dispatched(&second.on_request(START, booking(id, START))).unwrap();
        assert_ne!(next.endpoint, lost.endpoint, "booking {id}");
    }
}

/// A VM that callers seldom use gets a booking. It knows nothing of the endpoints, while
/// the dispatchers know which one fails; a millisecond later it would know too.
#[test]
fn a_request_waits_for_the_picture_that_was_asked_for() {
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

/// As above, and the dispatchers have just died. The booking must not wait for long.
#[test]
fn a_request_does_not_wait_long_for_a_picture_that_does_not_come() {
    let mut idle = shard(2);
    idle.on_snapshot_requested(START);
    assert_eq!(dispatched(&idle.on_request(START, booking(1, START))), None);
    let later = START + Duration::from_millis(20);
    assert!(dispatched(&idle.on_tick(later)).is_some());
}

/// All VMs start again and find each other; one is handed the shard by another for a
/// moment, and the others fill some slots of each endpoint. It must go on to use the
/// free ones: its callers waited and were refused for as long as it ran.
#[test]
fn a_vm_that_doesn_t_own_a_shared_shard_uses_the_slots_that_others_leave() {
    let config = config(4);
    let mode = ShardMode::without_ownership(config.service("booking"));
    let id = ShardId { service: Name::from("booking"), index: 0 };
    let settings = ShardSettings { mode, ..ShardSettings::default() };
    let mut shard = Shard::new(START, id.clone(), &config, settings);
    for index in 0..4 {
        let news = news_of(&format!("endpoint-{index}"), SLOTS - 1, RequestCounts::default());
        shard.on_update(START, &Name::from("vm-2"), &news);
    }
    for id in 1..=4 {
        assert!(dispatched(&shard.on_request(START, booking(id, START))).is_some(), "{id}");
    }
}

/// Endpoints' addresses go to another service, whose endpoints turn away what was meant
/// for them. Users count each request that arrives beyond the first; were these not
/// counted, the fleet would send more retries than it may.
#[test]
fn a_request_that_another_endpoint_turned_away_counts_as_sent() {
    let mut shard = shard(4);
    shard.set_dispatchers(START, DispatchersInView { count: 1, is_member: true });
    let sent = |shard: &mut Shard| {
        let history = shard.snapshot(START + Duration::from_secs(20)).sent;
        history.iter().map(|one| one.retries).sum::<u64>()
    };
    let mut now = START + Duration::from_secs(20);
    shard.on_tick(now);
    let first = dispatched(&shard.on_request(now, booking(1, now))).unwrap();
    now += Duration::from_millis(1);
    let actions = shard.on_outcome(now, first.attempt, Outcome::Misdirected, Report::default());
    assert!(dispatched(&actions).is_some_and(|second| second.endpoint != first.endpoint));
    assert_eq!(sent(&mut shard), 1);
}

/// Endpoints start again under other names, nobody has heard of it, and all that is sent
/// to them is turned away. Were each of these requests sent on whatever the limit, the
/// fleet would send more retries than the service allows; beyond it, callers are told
/// that their request was not run.
#[test]
fn requests_that_are_turned_away_keep_to_the_limit_of_retries() {
    let mut shard = shard(8);
    shard.set_dispatchers(START, DispatchersInView { count: 1, is_member: true });
    let mut now = START + Duration::from_secs(20);
    let (mut again, mut not_run) = (0, 0);
    for id in 1..=200 {
        now += Duration::from_millis(10);
        let first = dispatched(&shard.on_request(now, booking(id, now)));
        let Some(first) = first else { continue };
        let misdirected = Outcome::Misdirected;
        let actions = shard.on_outcome(now, first.attempt, misdirected, Report::default());
        if let Some(second) = dispatched(&actions) {
            again += 1;
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
    assert!(again <= 62 + 200 / 5, "{again} retries");
    assert!(not_run > 0);
}
