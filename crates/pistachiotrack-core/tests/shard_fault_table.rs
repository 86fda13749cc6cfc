//! Every fault of an attempt at every step of a request.

mod shard_support;

use pistachiotrack_core::{
    name::Name,
    refusal::Execution,
    request::{AttemptId, BodyEnd, EndpointReport, Outcome, RequestId},
    shard::{Shard, ShardSettings},
};
use shard_support::{Harness, State, answered, config, shard_id};

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
    NonIdempotent,
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

const KINDS: [Kind; 3] = [Kind::Idempotent, Kind::NonIdempotent, Kind::Keyed];

/// Returns a harness that has recorded enough answers for hedges, and whose endpoints are all
/// free.
fn warm_harness(endpoints: u32) -> Harness {
    let mut harness = Harness::new(config(endpoints, 1, &[("a", 1)]));
    for _ in 0..40 {
        let id = harness.send(1_000, |_| {});
        harness.now += std::time::Duration::from_millis(5);
        harness.answer(harness.attempt(id));
    }
    harness
}

fn send(harness: &mut Harness, kind: Kind, hedge: bool) -> RequestId {
    harness.send(2_000, |request| {
        request.idempotent = kind == Kind::Idempotent;
        request.hedge = hedge;
        request.key = (kind == Kind::Keyed).then(|| Name::from("k"));
    })
}

/// Brings a request to `step`; returns it with the attempt that the fault affects, which is
/// another request's if it is only queued.
fn advance_to(harness: &mut Harness, step: Step, kind: Kind) -> (RequestId, AttemptId) {
    if step == Step::Queued {
        let blockers: Vec<RequestId> = (0..3).map(|_| harness.send(1_500, |_| {})).collect();
        let id = send(harness, kind, false);
        assert!(harness.attempts_of(id).is_empty(), "it has to wait");
        return (id, harness.attempt(blockers[0]));
    }
    let id = send(harness, kind, step == Step::Hedged);
    let mut target = harness.attempt(id);
    match step {
        Step::HeadReceived => harness.outcome(target, answered(200)),
        Step::Retried => {
            harness.outcome(target, Outcome::ConnectFailed);
            target = harness.attempt(id);
        }
        Step::Hedged => {
            harness.tick(50);
            let attempts = harness.attempts_of(id).len();
            assert_eq!(attempts, if kind == Kind::Idempotent { 2 } else { 1 }, "{kind:?}");
        }
        Step::HandOver => {
            let handed = harness.shard.hand_over(harness.now);
            let settings = ShardSettings { seed: 3, ..ShardSettings::default() };
            let mut successor = Shard::new(harness.now, shard_id(), &harness.config, settings);
            successor.on_hand_over(harness.now, &handed);
            check_successor(harness, &mut successor, id, kind);
        }
        Step::ConfigChange => harness.configure(config(4, 1, &[("b", 2)])),
        Step::Drain => {
            let mut leaving = harness.config.clone();
            let name = &harness.attempts[&target].dispatch.endpoint;
            for endpoint in &mut leaving.services[0].endpoints {
                endpoint.leaving = endpoint.name == *name;
            }
            harness.configure(leaving);
        }
        Step::Shutdown => {
            let mut empty = harness.config.clone();
            empty.services[0].endpoints.clear();
            harness.configure(empty);
        }
        Step::Queued | Step::Dispatched => {}
    }
    (id, target)
}

/// A duplicate that reaches the successor is not run while the original is in flight at the
/// predecessor.
fn check_successor(harness: &Harness, successor: &mut Shard, id: RequestId, kind: Kind) {
    if kind != Kind::Keyed {
        return;
    }
    let mut duplicate = harness.requests[&id].request.clone();
    duplicate.id = RequestId(9_999);
    let actions = successor.on_request(harness.now, duplicate);
    let is_refused = matches!(
        &actions[..],
        [pistachiotrack_core::shard::ShardAction::Refuse { refusal, .. }]
            if refusal.execution == Execution::Unknown
    );
    assert!(is_refused, "{actions:?}");
}

fn inject(harness: &mut Harness, id: RequestId, target: AttemptId, fault: Fault) {
    let has_head = harness.attempts[&target].state == State::Answered;
    match fault {
        Fault::Outcome(outcome) if !has_head => {
            harness.outcome_with(target, outcome, EndpointReport::default());
        }
        Fault::Outcome(_) => harness.body_end(target, BodyEnd::Truncated),
        Fault::Body(end) => {
            if !has_head {
                harness.outcome(target, answered(200));
            }
            harness.body_end(target, end);
        }
        Fault::Pause => harness.pause(1_200),
        Fault::CallerGone if harness.requests[&id].final_actions.is_empty() => harness.cancel(id),
        Fault::CallerGone => harness.body_end(target, BodyEnd::CallerGone),
    }
}

/// Answers everything that is in flight until nothing is left.
fn complete_all(harness: &mut Harness) {
    for _ in 0..20 {
        for attempt in harness.in_flight() {
            harness.outcome(attempt, answered(200));
        }
        for attempt in harness.with_state(State::Answered) {
            harness.body_end(attempt, BodyEnd::Complete);
        }
        harness.tick(20);
    }
}

fn run_case(step: Step, kind: Kind, fault: Fault) -> &'static str {
    let mut harness = warm_harness(3);
    let (id, target) = advance_to(&mut harness, step, kind);
    inject(&mut harness, id, target, fault);
    complete_all(&mut harness);
    harness.drain();
    let context = format!("{fault:?} at {step:?} of {kind:?}");
    assert!(harness.violations.is_empty(), "{context}: {:?}", harness.violations);
    let certain = matches!(fault, Fault::Outcome(outcome) if outcome.certainly_not_run());
    let refusal = harness.refusal(id).map(|(execution, _)| execution);
    if certain {
        assert_ne!(refusal, Some(Execution::Unknown), "{context}");
    }
    if step == Step::Queued && fault != Fault::CallerGone {
        assert!(harness.is_delivered(id), "{context}: {refusal:?}");
    }
    if harness.requests[&id].cancelled {
        return "-";
    }
    match refusal {
        None if harness.attempts_of(id).len() > 1 => "D+",
        None => "D",
        Some(Execution::NotRun) => "N",
        Some(Execution::Unknown) => "U",
    }
}

// Whatever happens to an attempt, in any step of its request, the caller gets one final result:
// an answer, a refusal that says "not run" and is correct, or one that says "unknown". A request
// that must not be repeated is never sent twice.
//
// D delivered, D+ delivered after more than one attempt, N refused not run, U refused unknown, -
// the caller is gone; idempotent/non-idempotent/keyed.
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
            let cells = KINDS.map(|kind| run_case(step, kind, fault));
            print!("{:<14}", cells.join("/"));
        }
        println!();
    }
}
