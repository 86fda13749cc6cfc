//! Stories of requests that must not be repeated.

mod shard_support;

use pistachiotrack_core::{
    name::Name,
    refusal::{Execution, Reason},
    request::{BodyEnd, Outcome, RequestId},
    shard::{Shard, ShardAction, ShardSettings},
};
use shard_support::{Harness, answered, config, shard_id};

fn world() -> Harness {
    Harness::new(config(3, 1, &[("a", 1)]))
}

fn book(world: &mut Harness, key: Option<&str>, repeat: bool) -> RequestId {
    world.send(1_000, |request| {
        request.idempotent = false;
        request.key = key.map(Name::from);
        request.repeat = repeat;
    })
}

// A booking's connection breaks after it was sent. The hearing may be booked;
// sending it again could book it twice.
#[test]
fn booking_is_not_sent_again_after_bytes_may_have_gone() {
    let lost = [
        Outcome::Broken { fresh_connection: true },
        Outcome::Broken { fresh_connection: false },
        Outcome::TimedOut { fresh_connection: true },
    ];
    for outcome in lost {
        let mut world = world();
        let id = book(&mut world, None, false);
        world.outcome(world.attempt(id), outcome);
        assert_eq!(world.refusal(id), Some((Execution::Unknown, Reason::AnswerLost)));
        assert_eq!(world.attempts_of(id).len(), 1);
    }
}

// An endpoint is gone or full and says so before it runs the booking. The
// booking is tried elsewhere, and refused as "not run" when nobody takes it.
#[test]
fn booking_is_retried_only_if_certainly_not_run() {
    for outcome in [Outcome::Shed, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut world = world();
        let id = book(&mut world, None, false);
        world.outcome(world.attempt(id), outcome);
        world.answer(world.attempt(id));
        assert!(world.is_delivered(id), "{outcome:?}");

        let id = book(&mut world, None, false);
        while world.requests[&id].final_actions.is_empty() {
            world.outcome(world.attempt(id), outcome);
            world.tick(50);
        }
        assert_eq!(world.refusal(id).unwrap().0, Execution::NotRun, "{outcome:?}");
        assert_eq!(world.violations, Vec::<String>::new());
    }
}

// A clerk's program times out and sends the booking again with its key while
// the first is at the endpoint. Both get the one answer.
#[test]
fn duplicate_joins_the_first_and_gets_its_answer() {
    let mut world = world();
    let first = book(&mut world, Some("k"), false);
    let second = book(&mut world, Some("k"), true);
    world.outcome(world.attempt(first), answered(201));
    world.store(first, b"booked");
    world.body_end(world.attempt(first), BodyEnd::Complete);
    let third = book(&mut world, Some("k"), true);
    assert!(world.is_delivered(first) && world.is_replayed(second) && world.is_replayed(third));
    assert_eq!(world.attempts.len(), 1);
    assert_eq!(world.violations, Vec::<String>::new());
}

// The answer was too large to keep. The duplicate can't have it and is told
// that the booking may have run; it is never run to get another answer.
#[test]
fn duplicate_of_an_answer_not_kept_is_unknown() {
    let mut world = world();
    let first = book(&mut world, Some("k"), false);
    let joined = book(&mut world, Some("k"), false);
    world.answer(world.attempt(first));
    world.tick(500);
    let late = book(&mut world, Some("k"), false);
    for id in [joined, late] {
        assert_eq!(world.refusal(id), Some((Execution::Unknown, Reason::Duplicate)));
    }
}

// The first booking's answer is lost on the way. Its duplicates are told
// "unknown" as well, those that waited and those that come later.
#[test]
fn duplicate_of_an_unknown_outcome_is_unknown() {
    let mut world = world();
    let first = book(&mut world, Some("k"), false);
    let joined = book(&mut world, Some("k"), false);
    world.outcome(world.attempt(first), Outcome::Broken { fresh_connection: true });
    let late = book(&mut world, Some("k"), true);
    for id in [joined, late] {
        assert_eq!(world.refusal(id), Some((Execution::Unknown, Reason::Duplicate)));
    }
}

// The first booking is refused unrun. Its key is forgotten, so the duplicate
// that waited for it runs.
#[test]
fn duplicate_runs_when_the_first_was_certainly_not_run() {
    let mut world = world();
    let first = book(&mut world, Some("k"), false);
    let joined = book(&mut world, Some("k"), false);
    while world.requests[&first].final_actions.is_empty() {
        world.outcome(world.attempt(first), Outcome::ConnectFailed);
    }
    assert_eq!(world.refusal(first).unwrap().0, Execution::NotRun);
    world.answer(world.attempt(joined));
    assert!(world.is_delivered(joined));
    assert_eq!(world.violations, Vec::<String>::new());
}

// The caller goes away while its booking is at the endpoint. What comes of it
// is not known until the attempt ends; a duplicate must wait for that.
#[test]
fn key_outlives_its_caller() {
    for (outcome, runs) in [(Outcome::Cancelled, false), (Outcome::NotSent, true)] {
        let mut world = world();
        let first = book(&mut world, Some("k"), false);
        let attempt = world.attempt(first);
        world.cancel(first);
        let second = book(&mut world, Some("k"), false);
        assert!(world.attempts_of(second).is_empty(), "the first may run yet");
        world.outcome(attempt, outcome);
        assert_eq!(world.attempts_of(second).len(), usize::from(runs), "{outcome:?}");
        assert_eq!(world.violations, Vec::<String>::new());
    }
}

// A caller repeats a booking whose first went to another owner, which is
// gone. Nobody here can know whether it ran, so it is not run.
#[test]
fn repeat_without_a_record_is_never_run() {
    let mut world = world();
    for key in [None, Some("k")] {
        let id = book(&mut world, key, true);
        assert_eq!(world.refusal(id), Some((Execution::Unknown, Reason::NoRecord)));
    }
    assert!(world.attempts.is_empty());
}

// The shard's owner changes with a hand-over. A duplicate at the successor gets
// the stored answer of the first, and "unknown" for one still in flight.
#[test]
fn keys_are_handed_over() {
    let mut world = world();
    let done = book(&mut world, Some("done"), false);
    world.outcome(world.attempt(done), answered(201));
    world.body_end(world.attempt(done), BodyEnd::Complete);
    world.store(done, b"booked");
    book(&mut world, Some("running"), false);
    let handed = world.shard.hand_over(world.now);
    let mut successor = Shard::new(world.now, shard_id(), &world.config, ShardSettings::default());
    successor.on_hand_over(world.now, &handed);

    let mut duplicate = world.requests[&done].request.clone();
    duplicate.id = RequestId(100);
    let actions = successor.on_request(world.now, duplicate.clone());
    assert!(matches!(&actions[..], [ShardAction::Replay { .. }]), "{actions:?}");
    duplicate.id = RequestId(101);
    duplicate.key = Some(Name::from("running"));
    let actions = successor.on_request(world.now, duplicate);
    let [ShardAction::Refuse { refusal, .. }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(refusal.execution, Execution::Unknown);
}

// A VM stood in for an owner and booked. It forgets the shard as unused, and a
// duplicate of the booking is run. The shard must be kept for its key.
#[test]
fn a_shard_is_not_idle_while_a_request_runs_or_a_key_is_on_record() {
    for (key, idle_after) in [(None, true), (Some("k"), false)] {
        let mut world = world();
        assert!(world.shard.is_idle());
        let id = book(&mut world, key, false);
        assert!(!world.shard.is_idle());
        world.outcome(world.attempt(id), answered(201));
        assert!(!world.shard.is_idle());
        world.body_end(world.attempt(id), BodyEnd::Complete);
        assert_eq!(world.shard.is_idle(), idle_after, "{key:?}");
    }
}
