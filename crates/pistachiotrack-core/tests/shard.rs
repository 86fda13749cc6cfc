//! Stories of picking, limits, retries, hedges and hand-over of a shard.

mod shard_support;

use std::collections::BTreeSet;

use pistachiotrack_core::{
    health::PathAnswer,
    name::Name,
    refusal::{Execution, Reason},
    request::{AttemptId, BodyEnd, ConnectionChoice, EndpointReport, Outcome, RequestId},
    shard::{Shard, ShardAction, ShardMode, ShardSettings},
    time::Time,
};
use shard_support::{State, World, answered, config, request, shard_id};

fn world(endpoints: u32, slots: u32) -> World {
    World::new(config(endpoints, slots, &[("a", 1)]))
}

fn endpoint(world: &World, attempt: AttemptId) -> Name {
    world.attempts[&attempt].dispatch.endpoint.clone()
}

fn serve(world: &mut World, count: u32, ms: u64) {
    for _ in 0..count {
        let id = world.send(10_000, |_| {});
        world.now += std::time::Duration::from_millis(ms);
        world.answer(world.attempt(id));
    }
}

// Two requests come at once. The second goes to the other endpoint, not to a
// second slot of the first, since the least loaded one answers soonest.
#[test]
fn least_loaded_endpoint_is_next() {
    let mut world = world(3, 2);
    let ids: Vec<RequestId> = (0..3).map(|_| world.send(1_000, |_| {})).collect();
    let used: BTreeSet<Name> = ids.iter().map(|id| endpoint(&world, world.attempt(*id))).collect();
    assert_eq!(used.len(), 3);
}

// An endpoint works on an answer's body after its head. Were the slot free at
// the head, a slow body would show as one request too many at the endpoint.
#[test]
fn slot_is_held_until_the_body_ends() {
    let mut world = world(1, 1);
    let first = world.send(1_000, |_| {});
    let second = world.send(1_000, |_| {});
    world.outcome(world.attempt(first), answered(200));
    assert!(world.attempts_of(second).is_empty());
    world.body_end(world.attempt(first), BodyEnd::Complete);
    assert_eq!(world.attempts_of(second).len(), 1);
}

// A connection breaks while the endpoint works. The endpoint doesn't notice
// and goes on; a request sent to the slot at once would be one too many.
#[test]
fn slot_of_a_broken_attempt_is_held_for_a_while() {
    let mut world = world(1, 1);
    serve(&mut world, 5, 100);
    let first = world.send(1_000, |request| request.idempotent = false);
    let second = world.send(1_000, |_| {});
    world.outcome(world.attempt(first), Outcome::Broken { fresh_connection: true });
    assert!(world.attempts_of(second).is_empty());
    world.tick(150);
    assert_eq!(world.attempts_of(second).len(), 1);
}

// An endpoint with three slots sheds because a neighbour takes its processor.
// The limit falls, so that requests wait here and not in sheds, and recovers
// with the answers that come.
#[test]
fn sheds_lower_the_limit_and_answers_raise_it() {
    let mut world = world(1, 3);
    serve(&mut world, 10, 10);
    for _ in 0..4 {
        let id = world.send(1_000, |_| {});
        world.outcome(world.attempt(id), Outcome::Shed);
        world.drain();
    }
    let lowered = world.shard.endpoints(world.now)[0].limit;
    assert_eq!(lowered, 1);
    serve(&mut world, 20, 10);
    assert_eq!(world.shard.endpoints(world.now)[0].limit, 3);
}

// One endpoint fails grayly: it answers 503 at once and is therefore the least
// loaded. The caller gets the other endpoint's answer.
#[test]
fn failure_status_is_retried_elsewhere_once() {
    let mut world = world(3, 1);
    let id = world.send(1_000, |_| {});
    let first = world.attempt(id);
    world.outcome(first, answered(503));
    let second = world.attempt(id);
    assert_ne!(endpoint(&world, first), endpoint(&world, second));
    world.outcome(second, answered(503));
    assert!(world.is_delivered(id), "the second failure is passed on as it is");
}

// A booking answered with 500 may have been made. Its answer is passed on as
// it is and nothing is sent again.
#[test]
fn failure_status_of_a_booking_is_delivered() {
    let mut world = world(3, 1);
    let id = world.send(1_000, |request| request.idempotent = false);
    world.outcome(world.attempt(id), answered(500));
    assert!(world.is_delivered(id));
    assert_eq!(world.attempts_of(id).len(), 1);
}

// A pooled connection has gone silent while the endpoint is well. The retry
// must not meet another silent one.
#[test]
fn retry_after_a_pooled_connection_uses_a_new_one() {
    let mut world = world(1, 2);
    let id = world.send(1_000, |_| {});
    world.outcome(world.attempt(id), Outcome::Broken { fresh_connection: false });
    let retry = world.attempt(id);
    assert_eq!(world.attempts[&retry].dispatch.connection, ConnectionChoice::Fresh);
}

// An endpoint hangs: it takes requests and never answers. Were an attempt
// waited for until the deadline, no time would be left for another endpoint.
#[test]
fn attempt_that_can_be_retried_is_given_up_early() {
    let mut world = world(2, 1);
    let lookup = world.send(1_000, |_| {});
    let booking = world.send(1_000, |request| request.idempotent = false);
    let (silent, other) = (world.attempt(lookup), world.attempt(booking));
    assert_eq!(world.attempts[&silent].dispatch.time_limit, world.deadline(1_000));
    world.tick(590);
    assert!(world.attempts[&silent].given_up);
    assert!(!world.attempts[&other].given_up);
    world.answer(other);
    world.outcome(silent, Outcome::TimedOut { fresh_connection: true });
    assert_eq!(world.attempts_of(lookup).len(), 2);
}

// Answers take a quarter of a second. A lookup is still at work when it would be
// given up, and too little time is left then for another endpoint. Broken off, it
// would be lost shortly before its answer; a caller sees "unknown" for nothing.
#[test]
fn attempt_is_not_given_up_without_time_for_another() {
    let mut world = world(2, 1);
    serve(&mut world, 40, 240);
    let lookup = world.send(1_000, |_| {});
    let attempt = world.attempt(lookup);
    for _ in 0..99 {
        world.tick(10);
        assert!(!world.attempts[&attempt].given_up, "at {:?}", world.now);
    }
    assert_eq!(world.attempts[&attempt].dispatch.time_limit, world.deadline(10));
}

// A VM stops and lets its requests end, while so much has failed that no retry is
// left. It gives up a lookup that an endpoint is at work on, halfway through its
// time, and answers "unknown" although the answer would have come.
#[test]
fn attempt_is_not_given_up_without_a_retry_left() {
    let mut world = world(2, 40);
    let lookup = world.send(1_000, |_| {});
    let attempt = world.attempt(lookup);
    world.tick(490);
    let mut retries = 0;
    for _ in 0..20 {
        let failing = world.send(100, |_| {});
        while world.refusal(failing).is_none() {
            world.outcome(world.attempt(failing), Outcome::Broken { fresh_connection: true });
        }
        retries += world.attempts_of(failing).len() - 1;
    }
    assert!(retries < 20, "the budget is never empty");
    world.tick(50);
    assert!(!world.attempts[&attempt].given_up);
    world.answer(attempt);
    assert!(world.is_delivered(lookup));
}

// Every endpoint breaks connections. Retries must not multiply the load: they
// stay within what earlier answers have earned and a small burst.
#[test]
fn sick_service_makes_no_retry_storm() {
    let mut config = config(4, 2, &[("a", 1)]);
    config.services[0].floor = 4;
    let mut world = World::new(config);
    for _ in 0..300 {
        let id = world.send(200, |_| {});
        while let Some(attempt) = world.in_flight().first().copied() {
            world.outcome(attempt, Outcome::Broken { fresh_connection: true });
        }
        world.now += std::time::Duration::from_millis(10);
        world.tick(190);
        assert!(!world.requests[&id].finals.is_empty());
    }
    let first_attempts: BTreeSet<RequestId> =
        world.attempts.values().map(|model| model.dispatch.request).collect();
    assert_eq!(first_attempts.len(), 300);
    let retries = world.attempts.len() - first_attempts.len();
    assert!(retries <= 10 + 60 + 1, "{retries} retries in a minute without an answer");
}

// One endpoint straggles. A hedged lookup asks a second one when the first is
// slower than 95 in 100 answers; the first answer is passed on, the other
// attempt is cancelled and its late answer reaches nobody.
#[test]
fn hedge_delivers_the_first_answer_only() {
    let mut world = world(3, 1);
    serve(&mut world, 40, 10);
    let id = world.send(1_000, |request| request.hedge = true);
    let slow = world.attempt(id);
    world.tick(5);
    assert_eq!(world.attempts_of(id).len(), 1, "too early");
    world.tick(20);
    let hedge = world.attempt(id);
    assert_ne!(endpoint(&world, slow), endpoint(&world, hedge));
    world.answer(hedge);
    assert!(world.is_delivered(id) && world.attempts[&slow].cancelled);
    world.outcome(slow, answered(200));
    world.body_end(slow, BodyEnd::Complete);
    assert_eq!(world.violations, Vec::<String>::new());
}

// A VM is paused and wakes with a queue whose callers have given up. They are
// refused, truthfully as not run, before anything is dispatched.
#[test]
fn pause_refuses_before_it_dispatches() {
    let mut world = world(1, 1);
    let first = world.send(10_000, |_| {});
    let late = world.send(500, |request| request.idempotent = false);
    let waiting = world.send(10_000, |_| {});
    world.pause(3_000);
    assert_eq!(world.refusal(late), Some((Execution::NotRun, Reason::DeadlinePassed)));
    world.answer(world.attempt(first));
    assert_eq!(world.attempts_of(waiting).len(), 1);
}

// An endpoint says in an answer that it is leaving. The next request goes
// elsewhere, in the same event already.
#[test]
fn draining_report_ends_new_work_at_once() {
    let mut world = world(2, 1);
    let ids: Vec<RequestId> = (0..4).map(|_| world.send(1_000, |_| {})).collect();
    let attempt = world.attempt(ids[0]);
    let name = endpoint(&world, attempt);
    world.outcome_with(
        attempt,
        answered(200),
        EndpointReport { in_flight: None, draining: true, ..EndpointReport::default() },
    );
    world.body_end(attempt, BodyEnd::Complete);
    world.answer(world.attempt(ids[1]));
    assert_ne!(endpoint(&world, world.attempt(ids[2])), name);
    assert_eq!(world.violations, Vec::<String>::new());
}

// The owner can't be reached and every VM serves by itself. Each one uses a
// quarter of the slots and one per endpoint, so that together they shed
// rather than swamp.
#[test]
fn careful_mode_uses_a_part_of_the_slots() {
    let mut world = world(4, 2);
    world.set_mode(ShardMode::Careful);
    for _ in 0..6 {
        world.send(1_000, |_| {});
    }
    assert_eq!(world.in_flight().len(), 2);
    assert_eq!(world.violations, Vec::<String>::new());
}

fn dispatched(actions: &[ShardAction]) -> usize {
    actions.iter().filter(|action| matches!(action, ShardAction::Dispatch(_))).count()
}

fn fill(shard: &mut Shard, now: Time, first_id: u64) -> usize {
    let deadline = now + std::time::Duration::from_secs(10);
    (0..6).map(|n| dispatched(&shard.on_request(now, request(first_id + n, deadline)))).sum()
}

// An owner dies without a word. Its requests are still at work at the
// endpoints, which the successor can't know; it starts with half the slots.
#[test]
fn takeover_without_hand_over_starts_with_half_the_slots() {
    let mut config = config(1, 4, &[]);
    config.services[0].timeout_ms = 200;
    let mut shard = Shard::new(Time::ZERO, shard_id(), &config, ShardSettings::default());
    assert_eq!(fill(&mut shard, Time::ZERO, 1), 2);
    let later = Time::from_millis(200);
    assert_eq!(dispatched(&shard.on_tick(later)), 2);
}

// An owner hands over with three requests in flight. The successor uses the
// one slot left, and all of them once the old work has had time to end.
#[test]
fn handed_over_work_counts_until_it_ages_out() {
    let config = config(1, 4, &[]);
    let mut old = Shard::new(Time::ZERO, shard_id(), &config, ShardSettings::default());
    let settled = Time::from_millis(5_000);
    old.on_tick(settled);
    assert_eq!(fill(&mut old, settled, 1), 4);
    old.on_outcome(settled, AttemptId(1), answered(200), EndpointReport::default());
    let mut handed = old.hand_over(settled);
    handed.in_flight[0].1 = 3;
    handed.usual_service_us = Some(100_000);
    let mut shard = Shard::new(settled, shard_id(), &config, ShardSettings::default());
    shard.on_hand_over(settled, &handed);
    assert_eq!(fill(&mut shard, settled, 1), 1);
    assert_eq!(dispatched(&shard.on_tick(Time::from_millis(5_201))), 3);
}

// Only this VM can't reach one endpoint; other VMs do. It is not sick, but a
// request sent there is lost on the way, so this VM sends it none.
#[test]
fn endpoint_unreachable_from_here_gets_no_work() {
    let mut world = world(3, 1);
    serve(&mut world, 40, 10);
    let blind = Name::from("e0");
    while !ask_for_path(&mut world, &blind) {
        world.tick(20);
    }
    let answer = PathAnswer::ReachedByOthers;
    let actions = world.shard.on_path_answer(world.now, &blind, answer);
    world.check(actions);
    for _ in 0..3 {
        world.send(1_000, |_| {});
    }
    let used: BTreeSet<Name> =
        world.in_flight().iter().map(|attempt| endpoint(&world, *attempt)).collect();
    assert_eq!(used.len(), 2, "the third request waits");
    assert!(!used.contains(&blind));
}

/// Sends a lookup and has `blind` refuse connections; returns whether the
/// shard asks other VMs about it.
fn ask_for_path(world: &mut World, blind: &Name) -> bool {
    let mut asked = false;
    let id = world.send(1_000, |_| {});
    while let Some(attempt) = world.in_flight().first().copied() {
        if endpoint(world, attempt) != *blind {
            world.answer(attempt);
            continue;
        }
        let (now, failed) = (world.now, Outcome::ConnectFailed);
        let actions = world.shard.on_outcome(now, attempt, failed, EndpointReport::default());
        asked |= actions.iter().any(|action| matches!(action, ShardAction::CheckPath { .. }));
        world.attempts.get_mut(&attempt).unwrap().state = State::NotRun;
        world.check(actions);
    }
    assert!(world.is_delivered(id), "{:?}", world.refusal(id));
    asked
}

/// Sends lookups that one endpoint answers with failures until it is ejected.
fn eject(world: &mut World, sick: &Name) {
    for _ in 0..200 {
        world.send(1_000, |_| {});
        while let Some(attempt) = world.in_flight().first().copied() {
            world.now += std::time::Duration::from_millis(10);
            let status = if endpoint(world, attempt) == *sick { 503 } else { 200 };
            world.outcome(attempt, answered(status));
            world.body_end(attempt, BodyEnd::Complete);
        }
        world.tick(20);
        let status = world.shard.endpoints(world.now);
        if status.iter().any(|it| it.endpoint == *sick && &*it.state == "ejected") {
            return;
        }
    }
    panic!("{sick} was not ejected");
}

// A sick endpoint may be tried again. Only a lookup with time for another
// attempt goes there, one at a time; a booking never does, and when the trial
// fails the lookup is answered elsewhere.
#[test]
fn trial_takes_one_lookup_that_can_be_mended() {
    let mut world = world(3, 2);
    serve(&mut world, 40, 10);
    let sick = Name::from("e1");
    eject(&mut world, &sick);
    world.tick(7_000);
    let state = |world: &World| {
        let status = world.shard.endpoints(world.now);
        status.into_iter().find(|it| it.endpoint == sick).unwrap().state
    };
    assert_eq!(&*state(&world), "trial");
    let booking = world.send(5_000, |request| request.idempotent = false);
    assert_ne!(endpoint(&world, world.attempt(booking)), sick);
    let hurried = world.send(20, |_| {});
    assert_ne!(endpoint(&world, world.attempt(hurried)), sick);
    let tried = world.send(5_000, |_| {});
    let trial = world.attempt(tried);
    assert_eq!(endpoint(&world, trial), sick);
    let second = world.send(5_000, |_| {});
    assert_ne!(endpoint(&world, world.attempt(second)), sick);
    world.outcome(trial, Outcome::Broken { fresh_connection: true });
    world.answer(world.attempt(tried));
    assert!(world.is_delivered(tried));
    assert_eq!(world.violations, Vec::<String>::new());
}

// A configuration takes an endpoint out and marks another as leaving while
// requests wait. Both finish what they have and get nothing new.
#[test]
fn removed_and_leaving_endpoints_get_no_new_work() {
    let mut world = world(3, 1);
    let running: Vec<RequestId> = (0..3).map(|_| world.send(9_000, |_| {})).collect();
    let waiting: Vec<RequestId> = (0..3).map(|_| world.send(9_000, |_| {})).collect();
    let mut changed = world.config.clone();
    changed.services[0].endpoints[1].leaving = true;
    changed.services[0].endpoints.remove(0);
    world.configure(changed);
    for id in running {
        world.answer(world.attempt(id));
        assert!(world.is_delivered(id));
    }
    for id in waiting {
        assert_eq!(&*endpoint(&world, world.attempt(id)), "e2");
        world.answer(world.attempt(id));
    }
    assert_eq!(world.violations, Vec::<String>::new());
}

// A caller goes away while its request waits. Its place in the queue is free
// for another one, which would be refused otherwise.
#[test]
fn cancelled_request_leaves_the_queue() {
    let mut world = world(1, 1);
    let ids: Vec<RequestId> = (0..9).map(|_| world.send(9_000, |_| {})).collect();
    world.cancel(ids[4]);
    let next = world.send(9_000, |_| {});
    assert_eq!(world.refusal(next), None);
    assert_eq!(world.violations, Vec::<String>::new());
}

// A caller goes away while its lookup runs. The endpoint would work on for
// nobody and its slot would be lost for others until the lookup is done.
#[test]
fn cancelled_request_ends_its_attempt() {
    let mut world = world(1, 1);
    let id = world.send(9_000, |_| {});
    world.cancel(id);
    assert!(world.attempts[&world.attempt(id)].cancelled);
    assert_eq!(world.violations, Vec::<String>::new());
}

// A VM sleeps for long enough for another one to take its shard over. What
// that one sent is still at work when it wakes up, so half the slots are left.
#[test]
fn long_pause_halves_the_limits_like_a_takeover() {
    for (gap_ms, expected) in [(500, 4), (1_500, 2)] {
        let mut world = world(1, 4);
        world.pause(gap_ms);
        for _ in 0..6 {
            world.send(10_000, |_| {});
        }
        assert_eq!(world.in_flight().len(), expected, "after {gap_ms} ms");
    }
}
