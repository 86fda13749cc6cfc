//! Requests that must run at most once.

mod shard_support;

use pistachiotrack_core::{
    name::Name,
    refusal::{Execution, Reason},
    request::{BodyEnd, Outcome, RequestId},
    shard::{Shard, ShardAction, ShardSettings},
};
use shard_support::{Harness, answered, config, shard_id};

fn harness() -> Harness {
    Harness::new(config(3, 1, &[("a", 1)]))
}

fn book(harness: &mut Harness, key: Option<&str>, repeat: bool) -> RequestId {
    harness.send(1_000, |request| {
        request.idempotent = false;
        request.key = key.map(Name::from);
        request.repeat = repeat;
    })
}

// When the connection breaks after a booking was sent, the booking may have run and must not be
// sent again.
#[test]
fn booking_is_not_retried_if_bytes_may_have_been_sent() {
    let unknown_outcomes = [
        Outcome::Broken { fresh_connection: true },
        Outcome::Broken { fresh_connection: false },
        Outcome::TimedOut { fresh_connection: true },
    ];
    for outcome in unknown_outcomes {
        let mut harness = harness();
        let id = book(&mut harness, None, false);
        harness.outcome(harness.attempt(id), outcome);
        assert_eq!(harness.refusal(id), Some((Execution::Unknown, Reason::AnswerLost)));
        assert_eq!(harness.attempts_of(id).len(), 1);
    }
}

// When an endpoint is down or sheds a booking without running it, the booking is retried at another
// endpoint, and refused as "not run" if none accepts it.
#[test]
fn booking_is_retried_only_if_certainly_not_run() {
    for outcome in [Outcome::Shed, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut harness = harness();
        let id = book(&mut harness, None, false);
        harness.outcome(harness.attempt(id), outcome);
        harness.answer(harness.attempt(id));
        assert!(harness.is_delivered(id), "{outcome:?}");

        let id = book(&mut harness, None, false);
        while harness.requests[&id].final_actions.is_empty() {
            harness.outcome(harness.attempt(id), outcome);
            harness.tick(50);
        }
        assert_eq!(harness.refusal(id).unwrap().0, Execution::NotRun, "{outcome:?}");
        assert_eq!(harness.violations, Vec::<String>::new());
    }
}

// A booking that ran is answered with the status of a refusal, and its caller or a duplicate takes it
// for not run.
#[test]
fn an_answer_that_reads_as_a_refusal_is_unknown_and_not_stored() {
    for key in [None, Some("k")] {
        let mut harness = harness();
        let settings = ShardSettings { refusal_statuses: &[429], ..ShardSettings::default() };
        harness.shard = Shard::new(harness.now, shard_id(), &harness.config, settings);
        let first = book(&mut harness, key, false);
        let duplicate = key.map(|_| book(&mut harness, key, true));
        harness.outcome(harness.attempt(first), answered(429));
        for id in [Some(first), duplicate].into_iter().flatten() {
            assert_eq!(harness.refusal(id).unwrap().0, Execution::Unknown, "key {key:?}");
        }
        assert_eq!(harness.attempts_of(first).len(), 1);
        assert_eq!(harness.violations, Vec::<String>::new());
    }
}

// Another endpoint has the address and does not state that it did not run the booking, which must not be
// sent again.
#[test]
fn a_booking_is_retried_after_another_endpoint_s_answer_only_if_that_states_not_run() {
    for states_not_run in [false, true] {
        let mut harness = harness();
        let id = book(&mut harness, None, false);
        harness.outcome(harness.attempt(id), Outcome::Misdirected { states_not_run });
        let refusal = (!states_not_run).then_some((Execution::Unknown, Reason::AnswerLost));
        assert_eq!(harness.refusal(id), refusal);
        assert_eq!(harness.attempts_of(id).len(), 1 + usize::from(states_not_run));
    }
}

// A caller times out and repeats the booking with its key while the original is in flight. Both
// requests get the same answer.
#[test]
fn duplicate_waits_for_the_original_and_gets_its_answer() {
    let mut harness = harness();
    let first = book(&mut harness, Some("k"), false);
    let second = book(&mut harness, Some("k"), true);
    harness.outcome(harness.attempt(first), answered(201));
    harness.store(first, b"booked");
    harness.body_end(harness.attempt(first), BodyEnd::Complete);
    let third = book(&mut harness, Some("k"), true);
    assert!(
        harness.is_delivered(first) && harness.is_replayed(second) && harness.is_replayed(third)
    );
    assert_eq!(harness.attempts.len(), 1);
    assert_eq!(harness.violations, Vec::<String>::new());
}

// The answer wasn't stored. A duplicate is answered with "unknown", since the booking may have run,
// and is never run itself.
#[test]
fn duplicate_of_an_answer_not_stored_is_unknown() {
    let mut harness = harness();
    let first = book(&mut harness, Some("k"), false);
    let joined = book(&mut harness, Some("k"), false);
    harness.answer(harness.attempt(first));
    harness.tick(500);
    let late = book(&mut harness, Some("k"), false);
    for id in [joined, late] {
        assert_eq!(harness.refusal(id), Some((Execution::Unknown, Reason::Duplicate)));
    }
}

// When the answer of the original is lost, its duplicates are answered with "unknown" too, both
// those that waited and later ones.
#[test]
fn duplicate_of_an_unknown_outcome_is_unknown() {
    let mut harness = harness();
    let first = book(&mut harness, Some("k"), false);
    let joined = book(&mut harness, Some("k"), false);
    harness.outcome(harness.attempt(first), Outcome::Broken { fresh_connection: true });
    let late = book(&mut harness, Some("k"), true);
    for id in [joined, late] {
        assert_eq!(harness.refusal(id), Some((Execution::Unknown, Reason::Duplicate)));
    }
}

// When the original is refused without being run, its key is removed, so that a waiting duplicate
// runs.
#[test]
fn duplicate_runs_if_the_original_was_certainly_not_run() {
    let mut harness = harness();
    let first = book(&mut harness, Some("k"), false);
    let joined = book(&mut harness, Some("k"), false);
    while harness.requests[&first].final_actions.is_empty() {
        harness.outcome(harness.attempt(first), Outcome::ConnectFailed);
    }
    assert_eq!(harness.refusal(first).unwrap().0, Execution::NotRun);
    harness.answer(harness.attempt(joined));
    assert!(harness.is_delivered(joined));
    assert_eq!(harness.violations, Vec::<String>::new());
}

// The caller disconnects while its booking is in flight. The outcome isn't known until the attempt
// ends, so a duplicate must wait for that.
#[test]
fn key_is_kept_after_the_caller_disconnects() {
    for (outcome, runs) in [(Outcome::Cancelled, false), (Outcome::NotSent, true)] {
        let mut harness = harness();
        let first = book(&mut harness, Some("k"), false);
        let attempt = harness.attempt(first);
        harness.cancel(first);
        let second = book(&mut harness, Some("k"), false);
        assert!(harness.attempts_of(second).is_empty(), "the original may still run");
        harness.outcome(attempt, outcome);
        assert_eq!(harness.attempts_of(second).len(), usize::from(runs), "{outcome:?}");
        assert_eq!(harness.violations, Vec::<String>::new());
    }
}

// A caller repeats a booking whose original went to a former owner. This owner can't know whether it
// ran, so the repeat isn't run.
#[test]
fn repeat_without_a_record_is_never_run() {
    let mut harness = harness();
    for key in [None, Some("k")] {
        let id = book(&mut harness, key, true);
        assert_eq!(harness.refusal(id), Some((Execution::Unknown, Reason::NoRecord)));
    }
    assert!(harness.attempts.is_empty());
}

// After a hand-over, a duplicate at the successor gets the stored answer of the original, or
// "unknown" if the original was still in flight.
#[test]
fn keys_are_handed_over() {
    let mut harness = harness();
    let done = book(&mut harness, Some("done"), false);
    harness.outcome(harness.attempt(done), answered(201));
    harness.body_end(harness.attempt(done), BodyEnd::Complete);
    harness.store(done, b"booked");
    book(&mut harness, Some("running"), false);
    let hand_over = harness.shard.hand_over(harness.now);
    let mut successor =
        Shard::new(harness.now, shard_id(), &harness.config, ShardSettings::default());
    successor.on_hand_over(harness.now, &hand_over);

    let mut duplicate = harness.requests[&done].request.clone();
    duplicate.id = RequestId(100);
    let actions = successor.on_request(harness.now, duplicate.clone());
    assert!(matches!(&actions[..], [ShardAction::Replay { .. }]), "{actions:?}");
    duplicate.id = RequestId(101);
    duplicate.key = Some(Name::from("running"));
    let actions = successor.on_request(harness.now, duplicate);
    let [ShardAction::Refuse { refusal, .. }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(refusal.execution, Execution::Unknown);
}

// A VM that temporarily served a shard must keep it while it has a key of a booking: if it dropped
// the shard as idle, a duplicate of the booking would run.
#[test]
fn shard_with_a_request_in_flight_or_a_key_is_not_idle() {
    for (key, idle_after) in [(None, true), (Some("k"), false)] {
        let mut harness = harness();
        assert!(harness.shard.is_idle());
        let id = book(&mut harness, key, false);
        assert!(!harness.shard.is_idle());
        harness.outcome(harness.attempt(id), answered(201));
        assert!(!harness.shard.is_idle());
        harness.body_end(harness.attempt(id), BodyEnd::Complete);
        assert_eq!(harness.shard.is_idle(), idle_after, "{key:?}");
    }
}
