//! Random hand-overs, updates and snapshots of other VMs: valid messages with values that no VM means to
//! send.

mod shared_support;

use std::{sync::Arc, time::Duration};

use pistachiotrack_core::{
    health::{HealthHandOver, HealthState, LastObservation},
    idempotency::{KeyHandOver, StoredAnswer},
    name::Name,
    ownership::ShardId,
    request::{BodyEnd, Class, EndpointReport, Outcome, Request, RequestId},
    retry::{RightsGrant, RightsRequest},
    shard::{
        AttemptResult, ClassSummary, DispatchConditions, EndedAttempt, EndpointKey, EndpointUpdate,
        QueueSummary, RequestCounts, Shard, ShardAction, ShardHandOver, ShardMode, ShardSettings,
        ShardSnapshot, ShardUpdate, SnapshotEstimate,
    },
    time::Time,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use shared_support::{START, booking, config};

/// The endpoint that never leaves and is never replaced, so that requests can always be served.
const STAYING: &str = "endpoint-0";
/// Time between two ticks, and between two requests, once the messages have been applied.
const TICK: Duration = Duration::from_millis(250);
/// Time in which the shard must serve requests again: rate limits, ejections and what other VMs have in
/// flight end before.
const RECOVERY_TIME: Duration = Duration::from_secs(120);
/// Time in which one of the requests is dispatched afterwards: a rate limit lets a request through every
/// ten seconds at least.
const SERVING_TIME: Duration = Duration::from_secs(30);
/// Requests of a customer with a key, which hand-overs name too.
const KEYS: u8 = 4;

/// A message, or an event between two.
#[derive(Clone, Debug)]
enum Step {
    HandOver(ShardHandOver),
    Update(Name, ShardUpdate),
    Snapshot(ShardSnapshot),
    RightsRequest(RightsRequest),
    RightsGrant(RightsGrant),
    Request { key: Option<u8>, idempotent: bool },
    Answer { status: u16 },
    Wait { ms: u16 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 16 {
            0 | 1 => Step::HandOver(hand_over(g)),
            2..=5 => Step::Update(name(g), update(g)),
            6 => Step::Snapshot(snapshot(g)),
            7 => Step::RightsRequest(RightsRequest { id: number(g) as u32, rights: rights(g) }),
            8 => Step::RightsGrant(RightsGrant { id: number(g) as u32, rights: rights(g) }),
            9..=11 => Step::Request {
                key: Option::<u8>::arbitrary(g).map(|key| key % KEYS),
                idempotent: bool::arbitrary(g),
            },
            12 | 13 => Step::Answer { status: *g.choose(&[200, 404, 500, 503]).unwrap() },
            _ => Step::Wait { ms: u16::arbitrary(g) % 5_000 },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Step>> {
        quickcheck::empty_shrinker()
    }
}

/// Returns a number, often an extreme one.
fn number(g: &mut Gen) -> u64 {
    let extremes = [0, 1, 2, 999, 1 << 31, 1 << 32, 1 << 53, i64::MAX as u64, u64::MAX - 1];
    match u8::arbitrary(g) % 4 {
        0 => u64::MAX,
        1 => *g.choose(&extremes).unwrap(),
        2 => u64::from(u32::MAX),
        _ => u64::arbitrary(g) % 10_000,
    }
}

/// Returns a list that may be empty or very long, with the same element several times.
fn list<T: Clone>(g: &mut Gen, element: impl Fn(&mut Gen) -> T) -> Vec<T> {
    let count = *g.choose(&[0, 1, 2, 3, 8, 40]).unwrap();
    let elements: Vec<T> = (0..count).map(|_| element(g)).collect();
    let copies = *g.choose(&[1, 1, 1, 1, 2, 20]).unwrap();
    elements.iter().cycle().take(count * copies).cloned().collect()
}

fn name(g: &mut Gen) -> Name {
    match u8::arbitrary(g) % 8 {
        0 => Name::from(""),
        1 => Name::from("unknown"),
        2 => Name::from("x".repeat(1_000)),
        3 => Name::from("\u{0}\u{feff}ż\n"),
        number => Name::from(format!("endpoint-{}", number % 3)),
    }
}

/// Returns the name of an endpoint that may leave.
fn leaving(g: &mut Gen) -> Name {
    match name(g) {
        name if name.as_str() == STAYING => Name::from("endpoint-1"),
        name => name,
    }
}

fn shard_id(g: &mut Gen) -> ShardId {
    let (service, index) = match u8::arbitrary(g) % 16 {
        0 => (name(g), 0),
        1 => (Name::from("booking"), number(g) as u32),
        _ => (Name::from("booking"), 0),
    };
    ShardId { service, index }
}

/// Returns a value of a type without a constructor.
fn decoded<T: DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).unwrap()
}

fn rights<T: DeserializeOwned>(g: &mut Gen) -> T {
    decoded(json!(number(g) as u32))
}

fn rate<T: DeserializeOwned>(g: &mut Gen) -> T {
    decoded(json!({"limit": {"milli_per_second": number(g)}, "age_ms": number(g) as u32,
                   "sent": number(g) as u32}))
}

fn health(g: &mut Gen) -> HealthHandOver {
    let states = [
        HealthState::Healthy,
        HealthState::Suspect,
        HealthState::HeldByFloor,
        HealthState::Ejected,
        HealthState::Trial,
        HealthState::SlowStart,
        HealthState::Draining,
    ];
    HealthHandOver {
        endpoint: name(g),
        state: *g.choose(&states).unwrap(),
        ejections: number(g) as u32,
        usual_latency_us: bool::arbitrary(g).then(|| number(g)),
    }
}

fn key(g: &mut Gen) -> KeyHandOver {
    let stored = |g: &mut Gen| StoredAnswer {
        status: number(g) as u16,
        content_type: bool::arbitrary(g).then(|| name(g).to_string()),
        body: vec![0; *g.choose(&[0, 1, 100_000]).unwrap()],
    };
    KeyHandOver {
        customer: if bool::arbitrary(g) { Name::from("timeliten") } else { name(g) },
        key: if bool::arbitrary(g) { key_name(u8::arbitrary(g) % KEYS) } else { name(g) },
        age_ms: number(g),
        answer: bool::arbitrary(g).then(|| Arc::new(stored(g))),
    }
}

fn key_name(number: u8) -> Name {
    Name::from(format!("key-{number}"))
}

fn hand_over(g: &mut Gen) -> ShardHandOver {
    ShardHandOver {
        shard: shard_id(g),
        health: list(g, health),
        in_flight: list(g, |g| (name(g), number(g) as u32)),
        average_slot_time_us: bool::arbitrary(g).then(|| number(g)),
        keys: list(g, key),
        leaving: list(g, leaving),
    }
}

fn ended(g: &mut Gen, may_be_replaced: bool) -> EndedAttempt {
    let result = match u8::arbitrary(g) % 4 {
        0 => AttemptResult::Broken,
        1 if may_be_replaced => AttemptResult::Misdirected,
        _ => AttemptResult::Answered { status: number(g) as u16 },
    };
    let conditions =
        DispatchConditions { idempotent: bool::arbitrary(g), nearly_full: bool::arbitrary(g) };
    EndedAttempt {
        class: *g.choose(&Class::ALL).unwrap(),
        result,
        latency_us: number(g),
        age_us: number(g),
        conditions: bool::arbitrary(g).then_some(conditions),
    }
}

fn endpoint_update(g: &mut Gen) -> EndpointUpdate {
    let name = name(g);
    let may_leave = name.as_str() != STAYING;
    EndpointUpdate {
        endpoint: EndpointKey::of(&name),
        in_flight: number(g) as u32,
        ended: bool::arbitrary(g).then(|| ended(g, may_leave)),
        rate: bool::arbitrary(g).then(|| rate(g)),
        leaving: may_leave && u8::arbitrary(g) % 4 == 0,
    }
}

fn update(g: &mut Gen) -> ShardUpdate {
    let class =
        |g: &mut Gen| ClassSummary { queued: number(g) as u16, used_permille: number(g) as u16 };
    let queue =
        QueueSummary { sequence: number(g) as u32, classes: [class(g), class(g), class(g)] };
    ShardUpdate {
        shard: shard_id(g),
        request_counts: RequestCounts { served: u8::arbitrary(g), failed: u8::arbitrary(g) },
        spare_retries: rights(g),
        known_vms: bool::arbitrary(g).then(|| number(g) as u32),
        endpoints: list(g, endpoint_update),
        queue: bool::arbitrary(g).then_some(queue),
    }
}

fn estimate(g: &mut Gen) -> SnapshotEstimate {
    let name = name(g);
    let last_observation = match bool::arbitrary(g) && name.as_str() != STAYING {
        true => LastObservation::Replaced,
        false => LastObservation::AttemptEnded { episode_probability: u8::arbitrary(g) },
    };
    let speed = [i8::arbitrary(g), *g.choose(&[i8::MIN, 0, i8::MAX]).unwrap()];
    SnapshotEstimate {
        endpoint: EndpointKey::of(&name),
        last_observation,
        age_ms: number(g) as u32,
        speed: bool::arbitrary(g).then(|| decoded(json!(speed))),
    }
}

fn snapshot(g: &mut Gen) -> ShardSnapshot {
    ShardSnapshot {
        shard: shard_id(g),
        estimates: list(g, estimate),
        rate_limits: list(g, |g| (EndpointKey::of(&name(g)), rate(g))),
        leaving: list(g, |g| EndpointKey::of(&leaving(g))),
    }
}

/// Returns a message as its receiver decodes it.
fn received<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(message: &T) -> T {
    let decoded = postcard::from_bytes(&postcard::to_stdvec(message).unwrap()).unwrap();
    assert_eq!(&decoded, message);
    decoded
}

/// A shard and the attempts that it has in flight.
struct Vm {
    shard: Shard,
    now: Time,
    next_request: u64,
    dispatched: Vec<(RequestId, pistachiotrack_core::request::AttemptId)>,
}

impl Vm {
    fn start(mode: ShardMode) -> Vm {
        let id = ShardId { service: Name::from("booking"), index: 0 };
        let settings = ShardSettings { mode, ..ShardSettings::default() };
        let shard = Shard::new(START, id, &config(3), settings);
        Vm { shard, now: START, next_request: 1, dispatched: Vec::new() }
    }

    fn handle(&mut self, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Dispatch(dispatch) => {
                    self.dispatched.push((dispatch.request, dispatch.attempt));
                }
                ShardAction::Probe { attempt, .. } => {
                    self.dispatched.push((RequestId(0), attempt));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, change: impl FnOnce(&mut Request)) -> RequestId {
        let mut request = booking(self.next_request, self.now);
        change(&mut request);
        let id = request.id;
        self.next_request += 1;
        let actions = self.shard.on_request(self.now, request);
        self.handle(actions);
        id
    }

    fn answer_all(&mut self, status: u16) {
        for (_, attempt) in std::mem::take(&mut self.dispatched) {
            let outcome = Outcome::Answered { status, fresh_connection: true };
            let report = EndpointReport::default();
            let actions = self.shard.on_outcome(self.now, attempt, outcome, report);
            self.handle(actions);
            let actions = self.shard.on_body_end(self.now, attempt, BodyEnd::Complete);
            self.handle(actions);
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        let actions = self.shard.on_tick(self.now);
        self.handle(actions);
    }

    fn apply(&mut self, step: &Step) {
        let now = self.now;
        let actions = match step {
            Step::HandOver(from) => self.shard.on_hand_over(now, &received(from)),
            Step::Update(from, update) => self.shard.on_update(now, from, &received(update)),
            Step::Snapshot(snapshot) => self.shard.on_snapshot(now, &received(snapshot)),
            Step::RightsRequest(request) => {
                self.shard.on_rights_request(now, received(request));
                Vec::new()
            }
            Step::RightsGrant(grant) => self.shard.on_rights_grant(now, received(grant)),
            Step::Request { key, idempotent } => {
                self.send(|request| {
                    request.key = key.map(key_name);
                    request.idempotent = *idempotent;
                });
                Vec::new()
            }
            Step::Answer { status } => {
                self.answer_all(*status);
                Vec::new()
            }
            Step::Wait { ms } => {
                self.wait(Duration::from_millis(u64::from(*ms)));
                Vec::new()
            }
        };
        self.handle(actions);
        // What this VM would send to others must be possible to send, too.
        received(&self.shard.hand_over(self.now));
        received(&self.shard.snapshot(self.now));
    }

    /// Returns whether requests are dispatched again once the shard has had time to recover.
    fn recovers(&mut self) -> bool {
        let recovered_at = self.now + RECOVERY_TIME;
        while self.now < recovered_at + SERVING_TIME {
            self.answer_all(200);
            self.wait(TICK);
            self.send(|request| request.idempotent = true);
            let is_request = |(request, _): &(RequestId, _)| *request != RequestId(0);
            if self.now >= recovered_at && self.dispatched.iter().any(is_request) {
                return true;
            }
        }
        false
    }
}

fn run(mode: ShardMode, steps: &[Step]) -> TestResult {
    let mut vm = Vm::start(mode);
    steps.iter().for_each(|step| vm.apply(step));
    match vm.recovers() {
        true => TestResult::passed(),
        false => TestResult::error("no request is dispatched afterwards"),
    }
}

fn check(seed: u64, property: fn(Vec<Step>) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, seed))
        .tests(30)
        .max_tests(30)
        .quickcheck(property);
}

/// Guards against an owner that ends, or serves nothing, because of what another VM hands over to it.
#[test]
fn an_owner_serves_requests_after_random_messages() {
    check(0x0dd, |steps| run(ShardMode::Owner, &steps));
}

/// Guards against a dispatcher that ends, or serves nothing, because of the updates and snapshots of
/// others.
#[test]
fn a_dispatcher_serves_requests_after_random_messages() {
    check(0x5eed, |steps| run(ShardMode::Shared, &steps));
}
