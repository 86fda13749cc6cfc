//! Random event histories of a shard, checked against a simple oracle.

mod shard_support;

use std::time::Duration;

use pistachiotrack_core::{
    config::Config,
    health::PathAnswer,
    name::Name,
    request::{BodyEnd, Class, EndpointReport, Outcome},
    shard::{ShardHandOver, ShardMode},
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use shard_support::{Harness, State, answered, config};

#[derive(Clone, Debug)]
enum Step {
    Request { customer: u8, class: u8, flags: u8, key: u8, deadline_ms: u16 },
    Outcome { pick: u8, kind: u8, draining: bool },
    BodyEnd { pick: u8, end: u8, stored: u8 },
    Probe { kind: u8 },
    Cancel { pick: u8 },
    Relays { count: u8 },
    Tick { ms: u8 },
    Pause { ms: u16 },
    Config { variant: u8 },
    Mode { careful: bool },
    HandOver,
    Leaving { endpoint: u8 },
    Refusing { endpoint: u8, ms: u16 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 67 {
            0..=23 => Step::Request {
                customer: u8::arbitrary(g),
                class: u8::arbitrary(g),
                flags: u8::arbitrary(g),
                key: u8::arbitrary(g),
                deadline_ms: u16::arbitrary(g) % 2_000,
            },
            24..=39 => Step::Outcome {
                pick: u8::arbitrary(g),
                kind: u8::arbitrary(g),
                draining: u8::arbitrary(g) % 32 == 0,
            },
            40..=49 => Step::BodyEnd {
                pick: u8::arbitrary(g),
                end: u8::arbitrary(g),
                stored: u8::arbitrary(g),
            },
            50 => Step::Probe { kind: u8::arbitrary(g) },
            51..=53 => Step::Cancel { pick: u8::arbitrary(g) },
            54 => Step::Relays { count: u8::arbitrary(g) },
            55..=59 => Step::Tick { ms: u8::arbitrary(g) },
            60 => Step::Pause { ms: u16::arbitrary(g) % 3_000 },
            61 => Step::Config { variant: u8::arbitrary(g) },
            62 => Step::Mode { careful: bool::arbitrary(g) },
            63 => Step::HandOver,
            64 => Step::Leaving { endpoint: u8::arbitrary(g) },
            _ => Step::Refusing { endpoint: u8::arbitrary(g), ms: u16::arbitrary(g) % 2_000 },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Step>> {
        match self.clone() {
            Step::Tick { ms } => Box::new(ms.shrink().map(|ms| Step::Tick { ms })),
            Step::Pause { ms } => Box::new(ms.shrink().map(|ms| Step::Pause { ms })),
            Step::Request { customer, class, flags, key, deadline_ms } => {
                let smaller = (customer, class, flags, key, deadline_ms).shrink();
                Box::new(smaller.map(|(customer, class, flags, key, deadline_ms)| Step::Request {
                    customer,
                    class,
                    flags,
                    key,
                    deadline_ms,
                }))
            }
            _ => quickcheck::empty_shrinker(),
        }
    }
}

fn outcome(kind: u8, is_relayed: bool) -> Outcome {
    let fresh_connection = kind & 0x80 != 0;
    if is_relayed && kind & 0x70 == 0 {
        return Outcome::RelayFailed { sent: kind & 1 == 0 };
    }
    match kind % 12 {
        0..=3 => answered(200),
        4 => answered(500),
        5 => answered(503),
        6 => Outcome::Shed,
        7 => Outcome::ConnectFailed,
        8 => Outcome::NotSent,
        9 => Outcome::Broken { fresh_connection },
        10 => Outcome::TimedOut { fresh_connection },
        _ => Outcome::Cancelled,
    }
}

fn choose<T: Copy>(from: &[T], pick: u8) -> Option<T> {
    (!from.is_empty()).then(|| from[usize::from(pick) % from.len()])
}

/// Fails all connections to an endpoint so that the shard asks for a path check, if it does.
fn fail_connects(harness: &mut Harness, endpoint: usize) {
    let Some(cut) = harness.config.services[0].endpoints.get(endpoint).cloned() else { return };
    for _ in 0..6 {
        harness.tick(50);
        harness.send(1_000, |_| {});
        for attempt in harness.in_flight() {
            let dispatch = &harness.attempts[&attempt].dispatch;
            if dispatch.endpoint == cut.name && dispatch.relay.is_none() {
                harness.outcome(attempt, Outcome::ConnectFailed);
            }
        }
    }
}

fn choose_endpoint(harness: &Harness, pick: u8) -> Name {
    let endpoints = &harness.config.services[0].endpoints;
    endpoints[usize::from(pick) % endpoints.len()].name.clone()
}

/// Replaces the endpoints that are leaving by new incarnations.
fn restart_leaving(harness: &Harness, config: &mut Config) {
    for endpoint in &mut config.services[0].endpoints {
        if harness.leaving.contains(&endpoint.name) {
            endpoint.name = Name::from(format!("{}-{}", endpoint.name, harness.leaving.len()));
        }
    }
}

fn apply(harness: &mut Harness, step: &Step) {
    match *step {
        Step::Request { customer, class, flags, key, deadline_ms } => {
            harness.send(u64::from(deadline_ms), |request| {
                request.customer = Name::from(["a", "b", "none"][usize::from(customer) % 3]);
                request.class = Class::ALL[usize::from(class) % 3];
                request.idempotent = flags & 1 == 0;
                request.hedge = flags & 2 == 0;
                request.repeat = flags & 28 == 28;
                request.key = (key % 2 == 0).then(|| Name::from(format!("k{}", key % 8)));
            });
        }
        Step::Outcome { pick, kind, draining } => {
            let Some(attempt) = choose(&harness.in_flight(), pick) else { return };
            let is_relayed = harness.attempts[&attempt].dispatch.relay.is_some();
            harness.outcome_with(
                attempt,
                outcome(kind, is_relayed),
                EndpointReport { in_flight: None, draining, ..EndpointReport::default() },
            );
        }
        Step::BodyEnd { pick, end, stored } => {
            let Some(attempt) = choose(&harness.with_state(State::Answered), pick) else { return };
            let record = &harness.attempts[&attempt];
            let id = record.dispatch.request;
            let end = match end % 4 {
                0 => BodyEnd::Truncated,
                1 => BodyEnd::CallerGone,
                _ => BodyEnd::Complete,
            };
            let may_store = end == BodyEnd::Complete && harness.is_delivered(id);
            let body = id.0.to_le_bytes();
            if may_store && stored % 4 == 0 {
                harness.store(id, &body);
            }
            harness.body_end(attempt, end);
            if may_store && stored % 4 == 1 {
                harness.store(id, &body);
            }
        }
        Step::Probe { kind } => {
            harness.probe_outcome(outcome(kind, false));
        }
        Step::Cancel { pick } => {
            let open: Vec<_> = harness
                .requests
                .values()
                .filter(|record| record.final_actions.is_empty() && !record.cancelled)
                .map(|record| record.request.id)
                .collect();
            let Some(id) = choose(&open, pick) else { return };
            harness.cancel(id);
        }
        Step::Relays { count } => {
            fail_connects(harness, usize::from(count) % 4);
            let relays: Vec<Name> = (0..count % 4).map(|vm| Name::from(format!("w{vm}"))).collect();
            for checked in std::mem::take(&mut harness.path_checks) {
                let actions = match relays.is_empty() {
                    true => {
                        let answer = PathAnswer::UnreachableByOthers;
                        harness.shard.on_path_answer(harness.now, &checked, answer)
                    }
                    false => harness.shard.on_relays(harness.now, &checked, relays.clone()),
                };
                harness.check(actions);
            }
        }
        Step::Tick { ms } => harness.tick(u64::from(ms)),
        Step::Pause { ms } => harness.pause(u64::from(ms)),
        Step::Config { variant } => {
            let mut config = config(
                1 + u32::from(variant) % 4,
                1 + u32::from(variant) / 16 % 3,
                &[("a", 3), ("b", 1)],
            );
            config.services[0].floor = u32::from(variant) % 3;
            config.services[0].endpoints[0].leaving = variant % 8 == 0;
            if variant & 0x40 == 0 {
                restart_leaving(harness, &mut config);
            }
            harness.configure(config);
        }
        Step::Mode { careful } => {
            harness.set_mode(if careful { ShardMode::Careful } else { ShardMode::Owner });
        }
        Step::Leaving { endpoint } => {
            let endpoint = choose_endpoint(harness, endpoint);
            harness.notice_leaving(&endpoint);
        }
        Step::Refusing { endpoint, ms } => {
            let endpoint = choose_endpoint(harness, endpoint);
            harness.notice_refusing(&endpoint, Duration::from_millis(u64::from(ms)));
        }
        Step::HandOver => {
            let bytes = postcard::to_stdvec(&harness.shard.hand_over(harness.now)).unwrap();
            let handed: ShardHandOver = postcard::from_bytes(&bytes).unwrap();
            let actions = harness.shard.on_hand_over(harness.now, &handed);
            harness.check(actions);
        }
    }
}

fn run_history(steps: Vec<Step>) -> TestResult {
    let mut harness = Harness::new(config(3, 2, &[("a", 3), ("b", 1)]));
    for step in &steps {
        apply(&mut harness, step);
        if let Some(violation) = harness.violations.first() {
            return TestResult::error(format!("after {step:?}: {violation}"));
        }
    }
    harness.drain();
    match harness.violations.first() {
        Some(violation) => TestResult::error(violation.clone()),
        None => TestResult::passed(),
    }
}

// Callers get their own answers, one final result for every request, and only correct refusals,
// in whatever order outcomes, cancellations, ticks, pauses, configurations and hand-overs arrive.
// The oracle records the state of every attempt and checks each action; a failing history is
// shrunk.
#[test]
fn random_histories_violate_no_invariant() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(160, 0x0b00_4b1e))
        .tests(3_000)
        .max_tests(3_000)
        .quickcheck(run_history as fn(Vec<Step>) -> TestResult);
}

// A long history fills the queue, the key table's queues and the budgets, which short ones never
// do. Leaks show at its end as a slot in use.
#[test]
fn long_histories_leak_no_slots() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(3_000, 0x51a7))
        .tests(60)
        .max_tests(60)
        .quickcheck(run_history as fn(Vec<Step>) -> TestResult);
}
