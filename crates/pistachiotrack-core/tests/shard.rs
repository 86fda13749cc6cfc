//! Endpoint selection, limits, retries, hedges and hand-over of a shard.

mod shard_support;

use std::{collections::BTreeSet, time::Duration};

use pistachiotrack_core::{
    health::PathAnswer,
    name::Name,
    refusal::{Execution, Reason},
    request::{AttemptId, BodyEnd, ConnectionChoice, EndpointReport, Outcome, RequestId},
    shard::{Shard, ShardAction, ShardMode, ShardSettings},
    time::Time,
};
use shard_support::{Harness, State, answered, config, request, shard_id};

fn harness(endpoints: u32, slots: u32) -> Harness {
    Harness::new(config(endpoints, slots, &[("a", 1)]))
}

fn endpoint(harness: &Harness, attempt: AttemptId) -> Name {
    harness.attempts[&attempt].dispatch.endpoint.clone()
}

fn serve(harness: &mut Harness, count: u32, ms: u64) {
    for _ in 0..count {
        let id = harness.send(10_000, |_| {});
        harness.now += std::time::Duration::from_millis(ms);
        harness.answer(harness.attempt(id));
    }
}

// When two requests arrive at once, the second goes to another endpoint and not to a second slot
// of the first, since the least loaded endpoint answers soonest.
#[test]
fn least_loaded_endpoint_is_next() {
    let mut harness = harness(3, 2);
    let ids: Vec<RequestId> = (0..3).map(|_| harness.send(1_000, |_| {})).collect();
    let used: BTreeSet<Name> =
        ids.iter().map(|id| endpoint(&harness, harness.attempt(*id))).collect();
    assert_eq!(used.len(), 3);
}

// An endpoint still sends an answer's body after its head. If the slot were free at the head, a
// slow body would give the endpoint one request more than it has slots.
#[test]
fn slot_is_held_until_the_body_ends() {
    let mut harness = harness(1, 1);
    let first = harness.send(1_000, |_| {});
    let second = harness.send(1_000, |_| {});
    harness.outcome(harness.attempt(first), answered(200));
    assert!(harness.attempts_of(second).is_empty());
    harness.body_end(harness.attempt(first), BodyEnd::Complete);
    assert_eq!(harness.attempts_of(second).len(), 1);
}

// A connection breaks while the endpoint is processing the request. The endpoint doesn't notice
// and continues; a request sent to the slot at once would be one too many.
#[test]
fn slot_of_a_broken_attempt_is_held_for_a_while() {
    let mut harness = harness(1, 1);
    serve(&mut harness, 5, 100);
    let first = harness.send(1_000, |request| request.idempotent = false);
    let second = harness.send(1_000, |_| {});
    harness.outcome(harness.attempt(first), Outcome::Broken { fresh_connection: true });
    assert!(harness.attempts_of(second).is_empty());
    harness.tick(150);
    assert_eq!(harness.attempts_of(second).len(), 1);
}

// An endpoint with three slots sheds because a neighbour uses its processor. The limit falls, so
// that requests are queued instead of shed, and recovers with the answers that arrive.
#[test]
fn sheds_lower_the_limit_and_answers_raise_it() {
    let mut harness = harness(1, 3);
    serve(&mut harness, 10, 10);
    for _ in 0..4 {
        let id = harness.send(1_000, |_| {});
        harness.outcome(harness.attempt(id), Outcome::Shed);
        harness.drain();
    }
    let lowered = harness.shard.endpoints(harness.now)[0].limit;
    assert_eq!(lowered, 1);
    serve(&mut harness, 20, 10);
    assert_eq!(harness.shard.endpoints(harness.now)[0].limit, 3);
}

// One endpoint fails grayly: it answers 503 immediately and is therefore the least loaded. The
// caller gets the other endpoint's answer.
#[test]
fn failure_status_is_retried_elsewhere_once() {
    let mut harness = harness(3, 1);
    let id = harness.send(1_000, |_| {});
    let first = harness.attempt(id);
    harness.outcome(first, answered(503));
    let second = harness.attempt(id);
    assert_ne!(endpoint(&harness, first), endpoint(&harness, second));
    harness.outcome(second, answered(503));
    assert!(harness.is_delivered(id), "the second failure is passed on unchanged");
}

// A booking answered with 500 may have been made. Its answer is passed on unchanged and nothing
// is sent again.
#[test]
fn failure_status_of_a_booking_is_delivered() {
    let mut harness = harness(3, 1);
    let id = harness.send(1_000, |request| request.idempotent = false);
    harness.outcome(harness.attempt(id), answered(500));
    assert!(harness.is_delivered(id));
    assert_eq!(harness.attempts_of(id).len(), 1);
}

// A pooled connection is dead while the endpoint is healthy. The retry must not use another dead
// one.
#[test]
fn retry_after_a_pooled_connection_uses_a_new_one() {
    let mut harness = harness(1, 2);
    let id = harness.send(1_000, |_| {});
    harness.outcome(harness.attempt(id), Outcome::Broken { fresh_connection: false });
    let retry = harness.attempt(id);
    assert_eq!(harness.attempts[&retry].dispatch.connection, ConnectionChoice::Fresh);
}

// Answers take a quarter of a second. A lookup is still being processed when it would be
// abandoned, and too little time is left then for another endpoint. Abandoned, it would be lost
// shortly before its answer, and the caller would get "unknown" unnecessarily.
#[test]
fn attempt_is_not_abandoned_without_time_for_another() {
    let mut harness = harness(2, 1);
    serve(&mut harness, 40, 240);
    let lookup = harness.send(1_000, |_| {});
    let attempt = harness.attempt(lookup);
    for _ in 0..99 {
        harness.tick(10);
        assert!(!harness.attempts[&attempt].abandoned, "at {:?}", harness.now);
    }
    assert_eq!(harness.attempts[&attempt].dispatch.time_limit, harness.deadline(10));
}

// A VM stops and lets its requests complete, while so many have failed that no retry is left. It
// must not abandon a lookup that an endpoint is processing halfway through its time, which would
// answer "unknown" although the answer would have arrived.
#[test]
fn attempt_is_not_abandoned_without_a_retry_left() {
    let mut harness = harness(2, 40);
    let lookup = harness.send(1_000, |_| {});
    let attempt = harness.attempt(lookup);
    harness.tick(490);
    let mut retries = 0;
    for _ in 0..20 {
        let failing = harness.send(100, |_| {});
        while harness.refusal(failing).is_none() {
            harness.outcome(harness.attempt(failing), Outcome::Broken { fresh_connection: true });
        }
        retries += harness.attempts_of(failing).len() - 1;
    }
    assert!(retries < 20, "the budget is never empty");
    harness.tick(50);
    assert!(!harness.attempts[&attempt].abandoned);
    harness.answer(attempt);
    assert!(harness.is_delivered(lookup));
}

// Every endpoint breaks connections. Retries must not multiply the load: they stay within what
// earlier answers have added to the budget and a small burst.
#[test]
fn failing_service_causes_no_retry_storm() {
    let mut config = config(4, 2, &[("a", 1)]);
    config.services[0].floor = 4;
    let mut harness = Harness::new(config);
    for _ in 0..300 {
        let id = harness.send(200, |_| {});
        while let Some(attempt) = harness.in_flight().first().copied() {
            harness.outcome(attempt, Outcome::Broken { fresh_connection: true });
        }
        harness.now += std::time::Duration::from_millis(10);
        harness.tick(190);
        assert!(!harness.requests[&id].final_actions.is_empty());
    }
    let first_attempts: BTreeSet<RequestId> =
        harness.attempts.values().map(|record| record.dispatch.request).collect();
    assert_eq!(first_attempts.len(), 300);
    let retries = harness.attempts.len() - first_attempts.len();
    assert!(retries <= 10 + 60 + 1, "{retries} retries in a minute without an answer");
}

/// Guards against lookups that fail for want of a retry without a number that says so.
#[test]
fn retries_that_the_limit_denies_are_counted() {
    let mut config = config(4, 2, &[("a", 1)]);
    config.services[0].floor = 4;
    let mut harness = Harness::new(config);
    for _ in 0..60 {
        harness.send(200, |_| {});
        while let Some(attempt) = harness.in_flight().first().copied() {
            harness.outcome(attempt, Outcome::Broken { fresh_connection: true });
        }
        harness.now += std::time::Duration::from_millis(10);
    }
    let counts = harness.shard.retries();
    let sent: BTreeSet<RequestId> =
        harness.attempts.values().map(|record| record.dispatch.request).collect();
    assert_eq!(counts.granted_total, (harness.attempts.len() - sent.len()) as u64);
    assert!(counts.denied_total > 0);
}

// One endpoint is slow. A hedged lookup is sent to a second one when the first is slower than 95
// in 100 answers; the first answer is passed on, the other attempt is cancelled, and its late
// answer is dropped.
#[test]
fn hedge_delivers_the_first_answer_only() {
    let mut harness = harness(3, 1);
    serve(&mut harness, 40, 10);
    let id = harness.send(1_000, |request| request.hedge = true);
    let slow = harness.attempt(id);
    harness.tick(5);
    assert_eq!(harness.attempts_of(id).len(), 1, "too early");
    harness.tick(20);
    let hedge = harness.attempt(id);
    assert_ne!(endpoint(&harness, slow), endpoint(&harness, hedge));
    harness.answer(hedge);
    assert!(harness.is_delivered(id) && harness.attempts[&slow].cancelled);
    harness.outcome(slow, answered(200));
    harness.body_end(slow, BodyEnd::Complete);
    assert_eq!(harness.violations, Vec::<String>::new());
}

// A VM resumes after a pause with a queue whose callers have given up. Their requests are
// refused, correctly as not run, before anything is dispatched.
#[test]
fn pause_refuses_before_it_dispatches() {
    let mut harness = harness(1, 1);
    let first = harness.send(10_000, |_| {});
    let late = harness.send(500, |request| request.idempotent = false);
    let waiting = harness.send(10_000, |_| {});
    harness.pause(3_000);
    assert_eq!(harness.refusal(late), Some((Execution::NotRun, Reason::DeadlinePassed)));
    harness.answer(harness.attempt(first));
    assert_eq!(harness.attempts_of(waiting).len(), 1);
}

// An endpoint reports in an answer that it is draining. The next request goes elsewhere, already
// in the same event.
#[test]
fn draining_report_stops_new_requests_at_once() {
    let mut harness = harness(2, 1);
    let ids: Vec<RequestId> = (0..4).map(|_| harness.send(1_000, |_| {})).collect();
    let attempt = harness.attempt(ids[0]);
    let name = endpoint(&harness, attempt);
    harness.outcome_with(
        attempt,
        answered(200),
        EndpointReport { in_flight: None, draining: true, ..EndpointReport::default() },
    );
    harness.body_end(attempt, BodyEnd::Complete);
    harness.answer(harness.attempt(ids[1]));
    assert_ne!(endpoint(&harness, harness.attempt(ids[2])), name);
    assert_eq!(harness.violations, Vec::<String>::new());
}

/// Guards against health checks of an endpoint that wants no requests for a time.
#[test]
fn an_endpoint_that_asked_for_no_requests_gets_no_health_checks() {
    for refuses in [false, true] {
        let mut harness = harness(2, 1);
        let id = harness.send(1_000, |_| {});
        let attempt = harness.attempt(id);
        let name = endpoint(&harness, attempt);
        let report = EndpointReport { draining: true, ..EndpointReport::default() };
        harness.outcome_with(attempt, answered(200), report);
        harness.body_end(attempt, BodyEnd::Complete);
        if refuses {
            harness.notice_refusing(&name, Duration::from_secs(60));
        }
        harness.tick(6_000);
        assert_eq!(harness.probes.iter().any(|(_, probed)| *probed == name), !refuses);
    }
}

// The owner can't be reached and every VM serves by itself. Each one uses a quarter of the slots
// and one per endpoint, so that together they cause sheds rather than overload.
#[test]
fn careful_mode_uses_a_part_of_the_slots() {
    let mut harness = harness(4, 2);
    harness.set_mode(ShardMode::Careful);
    for _ in 0..6 {
        harness.send(1_000, |_| {});
    }
    assert_eq!(harness.in_flight().len(), 2);
    assert_eq!(harness.violations, Vec::<String>::new());
}

fn dispatched(actions: &[ShardAction]) -> usize {
    actions.iter().filter(|action| matches!(action, ShardAction::Dispatch(_))).count()
}

fn fill(shard: &mut Shard, now: Time, first_id: u64) -> usize {
    let deadline = now + std::time::Duration::from_secs(10);
    (0..6).map(|n| dispatched(&shard.on_request(now, request(first_id + n, deadline)))).sum()
}

// An owner crashes without a hand-over. Its requests are still running at the endpoints, and the
// successor has no record of them; it starts with half the slots.
#[test]
fn takeover_without_hand_over_starts_with_half_the_slots() {
    let mut config = config(1, 4, &[]);
    config.services[0].timeout_ms = 200;
    let mut shard = Shard::new(Time::ZERO, shard_id(), &config, ShardSettings::default());
    assert_eq!(fill(&mut shard, Time::ZERO, 1), 2);
    let later = Time::from_millis(200);
    assert_eq!(dispatched(&shard.on_tick(later)), 2);
}

// An owner hands over with three requests in flight. The successor uses the one slot left, and
// all of them once the old requests have had time to end.
#[test]
fn handed_over_requests_count_until_they_expire() {
    let config = config(1, 4, &[]);
    let mut old = Shard::new(Time::ZERO, shard_id(), &config, ShardSettings::default());
    let settled = Time::from_millis(5_000);
    old.on_tick(settled);
    assert_eq!(fill(&mut old, settled, 1), 4);
    old.on_outcome(settled, AttemptId(1), answered(200), EndpointReport::default());
    let mut handed = old.hand_over(settled);
    handed.in_flight[0].1 = 3;
    handed.average_slot_time_us = Some(100_000);
    let mut shard = Shard::new(settled, shard_id(), &config, ShardSettings::default());
    shard.on_hand_over(settled, &handed);
    assert_eq!(fill(&mut shard, settled, 1), 1);
    assert_eq!(dispatched(&shard.on_tick(Time::from_millis(5_201))), 3);
}

// Only this VM can't reach one endpoint; other VMs do. It is not faulty, but a request sent there
// from this VM is lost, so this VM sends it none.
#[test]
fn endpoint_unreachable_from_this_vm_gets_no_requests() {
    let mut harness = harness(3, 1);
    serve(&mut harness, 40, 10);
    let unreachable = Name::from("e0");
    while !requests_path_check(&mut harness, &unreachable) {
        harness.tick(20);
    }
    let answer = PathAnswer::ReachedByOthers;
    let actions = harness.shard.on_path_answer(harness.now, &unreachable, answer);
    harness.check(actions);
    for _ in 0..3 {
        harness.send(1_000, |_| {});
    }
    let used: BTreeSet<Name> =
        harness.in_flight().iter().map(|attempt| endpoint(&harness, *attempt)).collect();
    assert_eq!(used.len(), 2, "the third request waits");
    assert!(!used.contains(&unreachable));
}

/// Sends a lookup and has `unreachable` refuse connections; returns whether the shard asks other
/// VMs to check the path.
fn requests_path_check(harness: &mut Harness, unreachable: &Name) -> bool {
    let mut is_requested = false;
    let id = harness.send(1_000, |_| {});
    while let Some(attempt) = harness.in_flight().first().copied() {
        if endpoint(harness, attempt) != *unreachable {
            harness.answer(attempt);
            continue;
        }
        let (now, failed) = (harness.now, Outcome::ConnectFailed);
        let actions = harness.shard.on_outcome(now, attempt, failed, EndpointReport::default());
        is_requested |=
            actions.iter().any(|action| matches!(action, ShardAction::CheckPath { .. }));
        harness.attempts.get_mut(&attempt).unwrap().state = State::NotRun;
        harness.check(actions);
    }
    assert!(harness.is_delivered(id), "{:?}", harness.refusal(id));
    is_requested
}

/// Sends lookups that one endpoint answers with failures until it is ejected.
fn eject(harness: &mut Harness, faulty: &Name) {
    for _ in 0..200 {
        harness.send(1_000, |_| {});
        while let Some(attempt) = harness.in_flight().first().copied() {
            harness.now += std::time::Duration::from_millis(10);
            let status = if endpoint(harness, attempt) == *faulty { 503 } else { 200 };
            harness.outcome(attempt, answered(status));
            harness.body_end(attempt, BodyEnd::Complete);
        }
        harness.tick(20);
        let status = harness.shard.endpoints(harness.now);
        if status.iter().any(|it| it.endpoint == *faulty && &*it.state == "ejected") {
            return;
        }
    }
    panic!("{faulty} was not ejected");
}

// A faulty endpoint is on trial. Only a lookup with time for another attempt is sent there, one
// at a time; a booking never is, and when the trial fails the lookup is answered elsewhere.
#[test]
fn trial_takes_one_lookup_that_can_be_retried() {
    let mut harness = harness(3, 2);
    serve(&mut harness, 40, 10);
    let faulty = Name::from("e1");
    eject(&mut harness, &faulty);
    harness.tick(7_000);
    let state = |harness: &Harness| {
        let status = harness.shard.endpoints(harness.now);
        status.into_iter().find(|it| it.endpoint == faulty).unwrap().state
    };
    assert_eq!(&*state(&harness), "trial");
    let booking = harness.send(5_000, |request| request.idempotent = false);
    assert_ne!(endpoint(&harness, harness.attempt(booking)), faulty);
    let with_short_deadline = harness.send(20, |_| {});
    assert_ne!(endpoint(&harness, harness.attempt(with_short_deadline)), faulty);
    let tried = harness.send(5_000, |_| {});
    let trial = harness.attempt(tried);
    assert_eq!(endpoint(&harness, trial), faulty);
    let second = harness.send(5_000, |_| {});
    assert_ne!(endpoint(&harness, harness.attempt(second)), faulty);
    harness.outcome(trial, Outcome::Broken { fresh_connection: true });
    harness.answer(harness.attempt(tried));
    assert!(harness.is_delivered(tried));
    assert_eq!(harness.violations, Vec::<String>::new());
}

// A configuration removes an endpoint and marks another as leaving while requests wait. Both
// complete the requests they have and get no new ones.
#[test]
fn removed_and_leaving_endpoints_get_no_new_requests() {
    let mut harness = harness(3, 1);
    let running: Vec<RequestId> = (0..3).map(|_| harness.send(9_000, |_| {})).collect();
    let waiting: Vec<RequestId> = (0..3).map(|_| harness.send(9_000, |_| {})).collect();
    let mut changed = harness.config.clone();
    changed.services[0].endpoints[1].leaving = true;
    changed.services[0].endpoints.remove(0);
    harness.configure(changed);
    for id in running {
        harness.answer(harness.attempt(id));
        assert!(harness.is_delivered(id));
    }
    for id in waiting {
        assert_eq!(&*endpoint(&harness, harness.attempt(id)), "e2");
        harness.answer(harness.attempt(id));
    }
    assert_eq!(harness.violations, Vec::<String>::new());
}

// A caller disconnects while its request is queued. Its place in the queue is free for another
// one, which would be refused otherwise.
#[test]
fn cancelled_request_leaves_the_queue() {
    let mut harness = harness(1, 1);
    let ids: Vec<RequestId> = (0..9).map(|_| harness.send(9_000, |_| {})).collect();
    harness.cancel(ids[4]);
    let next = harness.send(9_000, |_| {});
    assert_eq!(harness.refusal(next), None);
    assert_eq!(harness.violations, Vec::<String>::new());
}

// A caller disconnects while its lookup is running. The endpoint would process it for nobody, and
// its slot would be blocked for others until the lookup is done.
#[test]
fn cancelled_request_ends_its_attempt() {
    let mut harness = harness(1, 1);
    let id = harness.send(9_000, |_| {});
    harness.cancel(id);
    assert!(harness.attempts[&harness.attempt(id)].cancelled);
    assert_eq!(harness.violations, Vec::<String>::new());
}

// A VM is paused for long enough for another one to take its shard over. Requests that the other
// VM sent are still running when it resumes, so only half of the slots are used.
#[test]
fn long_pause_halves_the_limits_like_a_takeover() {
    for (gap_ms, expected) in [(500, 4), (1_500, 2)] {
        let mut harness = harness(1, 4);
        harness.pause(gap_ms);
        for _ in 0..6 {
            harness.send(10_000, |_| {});
        }
        assert_eq!(harness.in_flight().len(), expected, "after {gap_ms} ms");
    }
}
