//! Every fault of an attempt at every step of a request.

mod shard_support;

use pistachiotrack_core::{
    name::Name,
    refusal::Execution,
    request::{AttemptId, BodyEnd, EndpointReport, Outcome, RequestId},
    shard::{Shard, ShardSettings},
};
use shard_support::{State, World, answered, config, shard_id};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Outcome(Outcome),
    Body(BodyEnd),
    Pause,
    CallerGone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Queued,
    Dispatched,
    HeadReceived,
    Retried,
    Hedged,
    HandOver,
    ConfigChange,
    Drain,
    Shutdown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Idempotent,
    Once,
    Keyed,
}

const FAULTS: [(&str, Fault); 14] = [
    ("answer 200", Fault::Outcome(Outcome::Answered { status: 200, fresh_connection: false })),
    ("answer 500", Fault::Outcome(Outcome::Answered { status: 500, fresh_connection: false })),
    ("answer 503", Fault::Outcome(Outcome::Answered { status: 503, fresh_connection: true })),
    ("shed", Fault::Outcome(Outcome::Shed)),
    ("connect failed", Fault::Outcome(Outcome::ConnectFailed)),
    ("not sent", Fault::Outcome(Outcome::NotSent)),
    ("broken pooled", Fault::Outcome(Outcome::Broken { fresh_connection: false })),
    ("broken fresh", Fault::Outcome(Outcome::Broken { fresh_connection: true })),
    ("timed out", Fault::Outcome(Outcome::TimedOut { fresh_connection: false })),
    ("cancelled", Fault::Outcome(Outcome::Cancelled)),
    ("body cut", Fault::Body(BodyEnd::Truncated)),
    ("body unread", Fault::Body(BodyEnd::CallerGone)),
    ("pause", Fault::Pause),
    ("caller gone", Fault::CallerGone),
];

const STEPS: [Step; 9] = [
    Step::Queued,
    Step::Dispatched,
    Step::HeadReceived,
    Step::Retried,
    Step::Hedged,
    Step::HandOver,
    Step::ConfigChange,
    Step::Drain,
    Step::Shutdown,
];

const KINDS: [Kind; 3] = [Kind::Idempotent, Kind::Once, Kind::Keyed];

/// Returns a world in which enough answers have come for hedges, and whose
/// endpoints are all free.
fn warm_world(endpoints: u32) -> World {
    let mut world = World::new(config(endpoints, 1, &[("a", 1)]));
    for _ in 0..40 {
        let id = world.send(1_000, |_| {});
        world.now += std::time::Duration::from_millis(5);
        world.answer(world.attempt(id));
    }
    world
}

fn send(world: &mut World, kind: Kind, hedge: bool) -> RequestId {
    world.send(2_000, |request| {
        request.idempotent = kind == Kind::Idempotent;
        request.hedge = hedge;
        request.key = (kind == Kind::Keyed).then(|| Name::from("k"));
    })
}

/// Brings a request to `step`; returns it with the attempt that the fault
/// hits, which is another request's if it only waits.
fn arrange(world: &mut World, step: Step, kind: Kind) -> (RequestId, AttemptId) {
    if step == Step::Queued {
        let blockers: Vec<RequestId> = (0..3).map(|_| world.send(1_500, |_| {})).collect();
        let id = send(world, kind, false);
        assert!(world.attempts_of(id).is_empty(), "it has to wait");
        return (id, world.attempt(blockers[0]));
    }
    let id = send(world, kind, step == Step::Hedged);
    let mut target = world.attempt(id);
    match step {
        Step::HeadReceived => world.outcome(target, answered(200)),
        Step::Retried => {
            world.outcome(target, Outcome::ConnectFailed);
            target = world.attempt(id);
        }
        Step::Hedged => {
            world.tick(50);
            let attempts = world.attempts_of(id).len();
            assert_eq!(attempts, if kind == Kind::Idempotent { 2 } else { 1 }, "{kind:?}");
        }
        Step::HandOver => {
            let handed = world.shard.hand_over(world.now);
            let settings = ShardSettings { seed: 3, ..ShardSettings::default() };
            let mut successor = Shard::new(world.now, shard_id(), &world.config, settings);
            successor.on_hand_over(world.now, &handed);
            check_successor(world, &mut successor, id, kind);
        }
        Step::ConfigChange => world.configure(config(4, 1, &[("b", 2)])),
        Step::Drain => {
            let mut leaving = world.config.clone();
            let name = &world.attempts[&target].dispatch.endpoint;
            for endpoint in &mut leaving.services[0].endpoints {
                endpoint.leaving = endpoint.name == *name;
            }
            world.configure(leaving);
        }
        Step::Shutdown => {
            let mut empty = world.config.clone();
            empty.services[0].endpoints.clear();
            world.configure(empty);
        }
        Step::Queued | Step::Dispatched => {}
    }
    (id, target)
}

/// A duplicate that reaches the successor is not run while the first is in
/// flight at the predecessor.
fn check_successor(world: &World, successor: &mut Shard, id: RequestId, kind: Kind) {
    if kind != Kind::Keyed {
        return;
    }
    let mut duplicate = world.requests[&id].request.clone();
    duplicate.id = RequestId(9_999);
    let actions = successor.on_request(world.now, duplicate);
    let is_refused = matches!(
        &actions[..],
        [pistachiotrack_core::shard::ShardAction::Refuse { refusal, .. }]
            if refusal.execution == Execution::Unknown
    );
    assert!(is_refused, "{actions:?}");
}

fn inject(world: &mut World, id: RequestId, target: AttemptId, fault: Fault) {
    let has_head = world.attempts[&target].state == State::Answered;
    match fault {
        Fault::Outcome(outcome) if !has_head => {
            world.outcome_with(target, outcome, EndpointReport::default());
        }
        Fault::Outcome(_) => world.body_end(target, BodyEnd::Truncated),
        Fault::Body(end) => {
            if !has_head {
                world.outcome(target, answered(200));
            }
            world.body_end(target, end);
        }
        Fault::Pause => world.pause(1_200),
        Fault::CallerGone if world.requests[&id].finals.is_empty() => world.cancel(id),
        Fault::CallerGone => world.body_end(target, BodyEnd::CallerGone),
    }
}

/// Answers everything that is in flight until nothing is.
fn settle(world: &mut World) {
    for _ in 0..20 {
        for attempt in world.in_flight() {
            world.outcome(attempt, answered(200));
        }
        for attempt in world.with_state(State::Answered) {
            world.body_end(attempt, BodyEnd::Complete);
        }
        world.tick(20);
    }
}

fn cell(step: Step, kind: Kind, fault: Fault) -> &'static str {
    let mut world = warm_world(3);
    let (id, target) = arrange(&mut world, step, kind);
    inject(&mut world, id, target, fault);
    settle(&mut world);
    world.drain();
    let context = format!("{fault:?} at {step:?} of {kind:?}");
    assert!(world.violations.is_empty(), "{context}: {:?}", world.violations);
    let certain = matches!(fault, Fault::Outcome(outcome) if outcome.certainly_not_run());
    let refusal = world.refusal(id).map(|(execution, _)| execution);
    if certain {
        assert_ne!(refusal, Some(Execution::Unknown), "{context}");
    }
    if step == Step::Queued && fault != Fault::CallerGone {
        assert!(world.is_delivered(id), "{context}: {refusal:?}");
    }
    if world.requests[&id].cancelled {
        return "-";
    }
    match refusal {
        None if world.attempts_of(id).len() > 1 => "D+",
        None => "D",
        Some(Execution::NotRun) => "N",
        Some(Execution::Unknown) => "U",
    }
}

// Whatever happens to an attempt, and whatever its request is just going
// through, the caller gets one end: an answer, a refusal that says "not run"
// and is right, or one that says "unknown". A request that must not be
// repeated is never sent twice.
//
// D delivered, D+ delivered after more than one attempt, N refused not run,
// U refused unknown, - the caller is gone; idempotent/once/keyed.
#[test]
fn every_fault_at_every_step() {
    print!("{:<15}", "");
    for step in STEPS {
        print!("{:<14}", format!("{step:?}"));
    }
    println!();
    for (name, fault) in FAULTS {
        print!("{name:<15}");
        for step in STEPS {
            let cells = KINDS.map(|kind| cell(step, kind, fault));
            print!("{:<14}", cells.join("/"));
        }
        println!();
    }
}
