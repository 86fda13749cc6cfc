//! Random histories of a shard against a naive oracle.

mod shard_support;

use pistachiotrack_core::{
    health::PathAnswer,
    name::Name,
    request::{BodyEnd, Class, Outcome, Report},
    shard::{ShardHandOver, ShardMode},
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use shard_support::{State, World, answered, config};

#[derive(Clone, Debug)]
enum Step {
    Request { customer: u8, class: u8, flags: u8, key: u8, deadline_ms: u16 },
    Outcome { pick: u8, kind: u8, draining: bool },
    BodyEnd { pick: u8, end: u8, stored: u8 },
    Probe { kind: u8 },
    Cancel { pick: u8 },
    Witnesses { count: u8 },
    Tick { ms: u8 },
    Pause { ms: u16 },
    Config { variant: u8 },
    Mode { careful: bool },
    HandOver,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 64 {
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
            54 => Step::Witnesses { count: u8::arbitrary(g) },
            55..=59 => Step::Tick { ms: u8::arbitrary(g) },
            60 => Step::Pause { ms: u16::arbitrary(g) % 3_000 },
            61 => Step::Config { variant: u8::arbitrary(g) },
            62 => Step::Mode { careful: bool::arbitrary(g) },
            _ => Step::HandOver,
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

fn outcome(kind: u8, is_via: bool) -> Outcome {
    let fresh_connection = kind & 0x80 != 0;
    if is_via && kind & 0x70 == 0 {
        return Outcome::WitnessFailed { sent: kind & 1 == 0 };
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

/// Fails what connects to an endpoint until its path is asked about, if it is.
fn fail_connects(world: &mut World, endpoint: usize) {
    let Some(cut) = world.config.services[0].endpoints.get(endpoint).cloned() else { return };
    for _ in 0..6 {
        world.tick(50);
        world.send(1_000, |_| {});
        for attempt in world.in_flight() {
            let dispatch = &world.attempts[&attempt].dispatch;
            if dispatch.endpoint == cut.name && dispatch.via.is_none() {
                world.outcome(attempt, Outcome::ConnectFailed);
            }
        }
    }
}

fn apply(world: &mut World, step: &Step) {
    match *step {
        Step::Request { customer, class, flags, key, deadline_ms } => {
            world.send(u64::from(deadline_ms), |request| {
                request.customer = Name::from(["a", "b", "none"][usize::from(customer) % 3]);
                request.class = Class::ALL[usize::from(class) % 3];
                request.idempotent = flags & 1 == 0;
                request.hedge = flags & 2 == 0;
                request.repeat = flags & 28 == 28;
                request.key = (key % 2 == 0).then(|| Name::from(format!("k{}", key % 8)));
            });
        }
        Step::Outcome { pick, kind, draining } => {
            let Some(attempt) = choose(&world.in_flight(), pick) else { return };
            let is_via = world.attempts[&attempt].dispatch.via.is_some();
            world.outcome_with(
                attempt,
                outcome(kind, is_via),
                Report { in_flight: None, draining, ..Report::default() },
            );
        }
        Step::BodyEnd { pick, end, stored } => {
            let Some(attempt) = choose(&world.with_state(State::Answered), pick) else { return };
            let model = &world.attempts[&attempt];
            let id = model.dispatch.request;
            let end = match end % 4 {
                0 => BodyEnd::Cut,
                1 => BodyEnd::CallerGone,
                _ => BodyEnd::Complete,
            };
            let may_store = end == BodyEnd::Complete && world.is_delivered(id);
            let body = id.0.to_le_bytes();
            if may_store && stored % 4 == 0 {
                world.store(id, &body);
            }
            world.body_end(attempt, end);
            if may_store && stored % 4 == 1 {
                world.store(id, &body);
            }
        }
        Step::Probe { kind } => {
            world.probe_outcome(outcome(kind, false));
        }
        Step::Cancel { pick } => {
            let open: Vec<_> = world
                .requests
                .values()
                .filter(|model| model.finals.is_empty() && !model.cancelled)
                .map(|model| model.request.id)
                .collect();
            let Some(id) = choose(&open, pick) else { return };
            world.cancel(id);
        }
        Step::Witnesses { count } => {
            fail_connects(world, usize::from(count) % 4);
            let witnesses: Vec<Name> =
                (0..count % 4).map(|vm| Name::from(format!("w{vm}"))).collect();
            for asked in std::mem::take(&mut world.path_checks) {
                let actions = match witnesses.is_empty() {
                    true => {
                        let nobody = PathAnswer::UnreachableByOthers;
                        world.shard.on_path_answer(world.now, &asked, nobody)
                    }
                    false => world.shard.on_relays(world.now, &asked, witnesses.clone()),
                };
                world.check(actions);
            }
        }
        Step::Tick { ms } => world.tick(u64::from(ms)),
        Step::Pause { ms } => world.pause(u64::from(ms)),
        Step::Config { variant } => {
            let mut config = config(
                1 + u32::from(variant) % 4,
                1 + u32::from(variant) / 16 % 3,
                &[("a", 3), ("b", 1)],
            );
            config.services[0].floor = u32::from(variant) % 3;
            config.services[0].endpoints[0].leaving = variant % 8 == 0;
            world.configure(config);
        }
        Step::Mode { careful } => {
            world.set_mode(if careful { ShardMode::Careful } else { ShardMode::Owner });
        }
        Step::HandOver => {
            let bytes = postcard::to_stdvec(&world.shard.hand_over(world.now)).unwrap();
            let handed: ShardHandOver = postcard::from_bytes(&bytes).unwrap();
            let actions = world.shard.on_hand_over(world.now, &handed);
            world.check(actions);
        }
    }
}

fn holds(steps: Vec<Step>) -> TestResult {
    let mut world = World::new(config(3, 2, &[("a", 3), ("b", 1)]));
    for step in &steps {
        apply(&mut world, step);
        if let Some(violation) = world.violations.first() {
            return TestResult::error(format!("after {step:?}: {violation}"));
        }
    }
    world.drain();
    match world.violations.first() {
        Some(violation) => TestResult::error(violation.clone()),
        None => TestResult::passed(),
    }
}

// Callers see answers of their own, one end for every request, and a refusal
// they can trust, whatever order outcomes, cancels, ticks, pauses,
// configurations and hand-overs come in. The oracle keeps the truth about
// every attempt and checks each action; a failing history is shrunk.
#[test]
fn random_histories_keep_every_promise() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(160, 0x0b00_4b1e))
        .tests(3_000)
        .max_tests(3_000)
        .quickcheck(holds as fn(Vec<Step>) -> TestResult);
}

// A long history fills the queue, the key table's queues and the budgets, which
// short ones never do; what leaks shows at its end as a slot in use.
#[test]
fn long_histories_leak_nothing() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(3_000, 0x51a7))
        .tests(60)
        .max_tests(60)
        .quickcheck(holds as fn(Vec<Step>) -> TestResult);
}
