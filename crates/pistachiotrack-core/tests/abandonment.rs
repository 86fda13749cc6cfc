//! Attempts without an answer that are abandoned in favour of a retry.

mod shard_support;

use pistachiotrack_core::request::{Class, Outcome, RequestId};
use shard_support::{Harness, State, config};

/// A shard with two endpoints of one slot each.
fn harness() -> Harness {
    Harness::new(config(2, 1, &[("a", 1)]))
}

/// Sends a lookup of a second, and a booking that occupies the other endpoint for longer.
fn lookup_and_booking(harness: &mut Harness) -> (RequestId, RequestId) {
    let lookup = harness.send(1_000, |_| {});
    let booking = harness.send(5_000, |request| request.idempotent = false);
    (lookup, booking)
}

/// Lets time pass; an abandoned attempt ends at once.
fn tick(harness: &mut Harness, ms: u64) {
    harness.tick(ms);
    for attempt in harness.in_flight() {
        if harness.attempts[&attempt].abandoned {
            harness.outcome(attempt, Outcome::TimedOut { fresh_connection: true });
        }
    }
}

fn is_abandoned(harness: &Harness, lookup: RequestId) -> bool {
    harness.attempts[&harness.attempts_of(lookup)[0]].abandoned
}

/// Guards against requests that wait for a hanging endpoint until no time is left for another.
#[test]
fn retry_takes_the_place_of_an_unanswered_attempt() {
    let mut harness = harness();
    let (lookup, booking) = lookup_and_booking(&mut harness);
    let (silent, other) = (harness.attempt(lookup), harness.attempt(booking));
    assert_eq!(harness.attempts[&silent].dispatch.time_limit, harness.deadline(1_000));
    harness.answer(other);
    tick(&mut harness, 490);
    assert!(!is_abandoned(&harness, lookup), "too early");
    tick(&mut harness, 100);
    assert!(is_abandoned(&harness, lookup));
    assert_eq!(harness.attempts_of(lookup).len(), 2);
    assert_eq!(harness.attempts[&silent].state, State::MaybeRun);
    harness.answer(harness.attempt(lookup));
    assert!(harness.is_delivered(lookup));
    harness.drain();
    assert_eq!(harness.violations, Vec::<String>::new());
}

/// Guards against "unknown" long before the deadline, for a request that was taken from its endpoint
/// although no slot was free for its retry.
#[test]
fn attempt_goes_on_while_its_retry_finds_no_slot() {
    let mut harness = harness();
    let (lookup, _) = lookup_and_booking(&mut harness);
    for _ in 0..99 {
        tick(&mut harness, 10);
        assert!(!is_abandoned(&harness, lookup), "at {:?}", harness.now);
        assert_eq!(harness.refusal(lookup), None, "at {:?}", harness.now);
    }
    harness.answer(harness.attempt(lookup));
    assert!(harness.is_delivered(lookup));
    harness.drain();
    assert_eq!(harness.violations, Vec::<String>::new());
}

/// Guards against retries that are forgotten while they wait for a slot.
#[test]
fn waiting_retry_is_sent_when_a_slot_is_free() {
    let mut harness = harness();
    let (lookup, booking) = lookup_and_booking(&mut harness);
    tick(&mut harness, 590);
    assert_eq!(harness.attempts_of(lookup).len(), 1);
    harness.answer(harness.attempt(booking));
    assert!(is_abandoned(&harness, lookup));
    assert_eq!(harness.attempts_of(lookup).len(), 2);
    harness.drain();
    assert_eq!(harness.violations, Vec::<String>::new());
}

/// Guards against a retry of a request that its first attempt has answered meanwhile.
#[test]
fn answer_ends_the_wait_for_a_retry() {
    let mut harness = harness();
    let (lookup, booking) = lookup_and_booking(&mut harness);
    tick(&mut harness, 590);
    harness.answer(harness.attempt(lookup));
    assert!(harness.is_delivered(lookup));
    harness.answer(harness.attempt(booking));
    assert_eq!(harness.attempts_of(lookup).len(), 1);
    harness.drain();
    assert_eq!(harness.violations, Vec::<String>::new());
}

/// Guards against two retries of a request whose attempt breaks while its retry waits.
#[test]
fn broken_attempt_has_one_retry_if_one_waits_already() {
    let mut harness = harness();
    let (lookup, booking) = lookup_and_booking(&mut harness);
    tick(&mut harness, 590);
    harness.outcome(harness.attempt(lookup), Outcome::Broken { fresh_connection: true });
    harness.answer(harness.attempt(booking));
    tick(&mut harness, 20);
    assert_eq!(harness.attempts_of(lookup).len(), 2);
    harness.answer(harness.attempt(lookup));
    assert!(harness.is_delivered(lookup));
    harness.drain();
    assert_eq!(harness.violations, Vec::<String>::new());
}

/// Guards against "unknown" for a request that is at an endpoint, when its retry is displaced from
/// a full queue.
#[test]
fn attempt_goes_on_when_the_queue_has_no_room_for_its_retry() {
    let mut config = config(2, 1, &[("a", 1), ("b", 1)]);
    config.services[0].queue_limit = 1;
    let mut harness = Harness::new(config);
    let lookup = harness.send(1_000, |request| request.class = Class::Batch);
    harness.send(5_000, |request| request.idempotent = false);
    tick(&mut harness, 590);
    let displacing = harness.send(5_000, |request| request.class = Class::Interactive);
    assert_eq!(harness.refusal(displacing), None);
    assert_eq!(harness.refusal(lookup), None);
    harness.answer(harness.attempts_of(lookup)[0]);
    assert!(harness.is_delivered(lookup));
    harness.drain();
    assert_eq!(harness.violations, Vec::<String>::new());
}
