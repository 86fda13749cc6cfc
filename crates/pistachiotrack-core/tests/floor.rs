//! The floor against a naive oracle over random histories.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use pistachiotrack_core::{
    health::{
        AttemptKind, ConfiguredEndpoint, Health, HealthAction, HealthHandOver, HealthSettings,
        HealthState, PathAnswer,
    },
    name::Name,
    request::{AttemptId, BodyEnd, Class, Outcome, Report},
    time::Time,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const NAMES: u8 = 8;

/// One step of a history.
#[derive(Clone, Debug)]
enum Step {
    Wait { ms: u16 },
    Work { endpoint: u8, count: u8, end: End },
    Report { endpoint: u8, draining: bool },
    Config { present: u8, leaving: u8, floor: u8 },
    Path { endpoint: u8, answer: u8 },
    HandOver { ejected: u8 },
    Pause { ms: u16 },
}

/// How work ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Good,
    Late,
    Error,
    Cut,
    Broken,
    NoConnection,
    Shed,
    Hangs,
    TimesOut,
    Cancelled,
}

const ENDS: [End; 10] = [
    End::Good,
    End::Late,
    End::Error,
    End::Cut,
    End::Broken,
    End::NoConnection,
    End::Shed,
    End::Hangs,
    End::TimesOut,
    End::Cancelled,
];

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let endpoint = u8::arbitrary(g) % NAMES;
        match u8::arbitrary(g) % 16 {
            0..=3 => Step::Wait { ms: u16::arbitrary(g) % 8_000 },
            4..=10 => Step::Work {
                endpoint,
                count: u8::arbitrary(g) % 40,
                end: *g.choose(&ENDS).unwrap(),
            },
            11 => Step::Report { endpoint, draining: bool::arbitrary(g) },
            12 => Step::Config {
                present: u8::arbitrary(g),
                leaving: u8::arbitrary(g) & u8::arbitrary(g),
                floor: u8::arbitrary(g) % (NAMES + 1),
            },
            13 => Step::Path { endpoint, answer: u8::arbitrary(g) % 3 },
            14 => Step::HandOver { ejected: u8::arbitrary(g) },
            _ => Step::Pause { ms: u16::arbitrary(g) },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Step>> {
        match *self {
            Step::Wait { ms } => Box::new(ms.shrink().map(|ms| Step::Wait { ms })),
            Step::Work { endpoint, count, end } => {
                Box::new(count.shrink().map(move |count| Step::Work { endpoint, count, end }))
            }
            Step::Config { present, leaving, floor } => {
                Box::new(
                    (present, leaving, floor)
                        .shrink()
                        .map(|(present, leaving, floor)| Step::Config { present, leaving, floor }),
                )
            }
            _ => Box::new(std::iter::empty()),
        }
    }
}

/// An endpoint's word that it leaves, and since when it has taken that back.
#[derive(Clone, Copy, Debug)]
struct Said {
    at: Time,
    denied: bool,
}

/// What the oracle knows: the configuration and who says that it is leaving.
struct Run {
    health: Health,
    now: Time,
    next_attempt: u64,
    present: u8,
    leaving: u8,
    floor: u8,
    said: BTreeMap<u8, Said>,
    disregarded: BTreeSet<u8>,
    was_out: BTreeSet<u8>,
    ejected: BTreeSet<Name>,
    ejections: u32,
}

fn name(endpoint: u8) -> Name {
    Name::from(format!("e{endpoint}"))
}

fn has(mask: u8, endpoint: u8) -> bool {
    mask >> endpoint & 1 == 1
}

fn candidates(present: u8, leaving: u8) -> Vec<ConfiguredEndpoint> {
    (0..NAMES)
        .filter(|&endpoint| has(present, endpoint))
        .map(|endpoint| ConfiguredEndpoint {
            name: name(endpoint),
            leaving: has(leaving, endpoint),
        })
        .collect()
}

impl Run {
    fn new(floor: u8) -> Run {
        let settings = HealthSettings { sensitivity: 0.9, ..HealthSettings::default() };
        let all = candidates(u8::MAX, 0);
        Run {
            health: Health::new(Time::ZERO, settings, &all, floor.into(), 1),
            now: Time::ZERO,
            next_attempt: 0,
            present: u8::MAX,
            leaving: 0,
            floor,
            said: BTreeMap::new(),
            disregarded: BTreeSet::new(),
            was_out: BTreeSet::new(),
            ejected: BTreeSet::new(),
            ejections: 0,
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Wait { ms } => self.wait(ms),
            Step::Work { endpoint, count, end } => self.work(endpoint, count, end),
            Step::Report { endpoint, draining } => {
                let known = has(self.present, endpoint);
                if draining && known {
                    self.said.insert(endpoint, Said { at: self.now, denied: false });
                } else if let Some(said) = self.said.get_mut(&endpoint) {
                    said.denied |= !draining;
                }
                let report = Report { in_flight: None, draining, ..Report::default() };
                let actions = self.health.on_report(self.now, &name(endpoint), report);
                self.take(actions);
            }
            Step::Config { present, leaving, floor } => {
                (self.present, self.leaving, self.floor) = (present, leaving, floor);
                self.said.retain(|&endpoint, _| has(present, endpoint));
                let candidates = candidates(present, leaving);
                let actions = self.health.on_config(self.now, &candidates, floor.into());
                self.take(actions);
            }
            Step::Path { endpoint, answer } => {
                let answers = [
                    PathAnswer::ReachedByOthers,
                    PathAnswer::UnreachableByOthers,
                    PathAnswer::NoAnswer,
                ];
                let answer = answers[usize::from(answer)];
                let actions = self.health.on_path_answer(self.now, &name(endpoint), answer);
                self.take(actions);
            }
            Step::HandOver { ejected } => self.hand_over(ejected),
            Step::Pause { ms } => {
                self.now += Duration::from_millis(ms.into());
                self.health.on_pause(self.now, Duration::from_millis(ms.into()));
                self.check();
            }
        }
    }

    fn wait(&mut self, ms: u16) {
        let end = self.now + Duration::from_millis(ms.into());
        while self.now < end {
            self.now += Duration::from_millis(200);
            self.tick();
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        self.said.retain(|_, said| {
            let patience_s = if said.denied { 10 } else { 60 };
            now.since(said.at) < Duration::from_secs(patience_s)
        });
        let actions = self.health.on_tick(now);
        self.take(actions);
    }

    /// Gives one endpoint work that ends as told while its peers do well.
    fn work(&mut self, endpoint: u8, count: u8, end: End) {
        for _ in 0..count {
            for peer in (0..NAMES).filter(|&peer| peer != endpoint) {
                let attempt = self.dispatch(peer);
                self.now += Duration::from_millis(1);
                let fresh_connection = false;
                let good = Outcome::Answered { status: 200, fresh_connection };
                self.end(attempt, good, BodyEnd::Complete);
            }
            let attempt = self.dispatch(endpoint);
            let fresh_connection = count.is_multiple_of(2);
            let (ms, outcome) = match end {
                End::Good | End::Cut => (1, Outcome::Answered { status: 200, fresh_connection }),
                End::Late => (50, Outcome::Answered { status: 200, fresh_connection }),
                End::Error => (40, Outcome::Answered { status: 500, fresh_connection }),
                End::Broken => (40, Outcome::Broken { fresh_connection }),
                End::NoConnection => (40, Outcome::ConnectFailed),
                End::Shed => (1, Outcome::Shed),
                End::TimesOut => (100, Outcome::TimedOut { fresh_connection }),
                End::Cancelled => (100, Outcome::Cancelled),
                End::Hangs => continue,
            };
            self.now += Duration::from_millis(ms);
            let body = if matches!(end, End::Cut) { BodyEnd::Cut } else { BodyEnd::Complete };
            self.end(attempt, outcome, body);
        }
        self.tick();
    }

    fn dispatch(&mut self, endpoint: u8) -> AttemptId {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let kind = match self.health.state(&name(endpoint)) {
            HealthState::Trial => AttemptKind::Trial,
            _ => AttemptKind::Request,
        };
        self.health.on_dispatch(self.now, attempt, &name(endpoint), Class::Standard, kind);
        attempt
    }

    fn end(&mut self, attempt: AttemptId, outcome: Outcome, body: BodyEnd) {
        let actions = self.health.on_outcome(self.now, attempt, outcome);
        self.take(actions);
        if matches!(outcome, Outcome::Answered { .. }) {
            let actions = self.health.on_body_end(self.now, attempt, body);
            self.take(actions);
        }
    }

    fn hand_over(&mut self, ejected: u8) {
        let from: Vec<HealthHandOver> = (0..NAMES)
            .filter(|&endpoint| has(ejected, endpoint))
            .map(|endpoint| HealthHandOver {
                endpoint: name(endpoint),
                state: HealthState::Ejected,
                ejections: 1,
                usual_latency_us: Some(1_000),
            })
            .collect();
        self.ejected.extend(from.iter().map(|old| old.endpoint.clone()));
        let actions = self.health.on_hand_over(self.now, &from);
        self.take(actions);
    }

    fn take(&mut self, actions: Vec<HealthAction>) {
        let readmitted: Vec<Name> = actions
            .iter()
            .filter_map(|action| match action {
                HealthAction::Readmitted { endpoint } => Some(endpoint.clone()),
                _ => None,
            })
            .collect();
        for action in actions {
            if let HealthAction::Ejected { endpoint, .. } = action {
                assert!(!readmitted.contains(&endpoint), "{endpoint} out and in at once");
                self.ejections += 1;
                self.ejected.insert(endpoint);
            }
        }
        self.check();
    }

    /// Checks everything that a caller can see against the oracle.
    fn check(&mut self) {
        let mut in_rotation = 0;
        let mut available = 0;
        let mut stays = 0;
        let mut disregarded = BTreeSet::new();
        for endpoint in 0..NAMES {
            let name = name(endpoint);
            let state = self.health.state(&name);
            let share = self.health.share(self.now, &name);
            if !has(self.present, endpoint) || has(self.leaving, endpoint) {
                assert_eq!((state, share), (HealthState::Draining, 0.0), "{name}");
                continue;
            }
            let is_out = matches!(state, HealthState::Ejected | HealthState::Trial);
            let is_ejected = self.ejected.contains(&name);
            if is_out || is_ejected || self.health.unreachable_from_this_vm(&name) {
                self.was_out.insert(endpoint);
            }
            let says_so = self.said.contains_key(&endpoint);
            if state == HealthState::Draining {
                assert!(says_so, "{name} does not say so");
                assert_eq!(share, 0.0, "{name}");
                continue;
            }
            if state == HealthState::Ejected {
                assert!(self.ejected.contains(&name), "{name} ejected without notice");
            }
            available += u8::from(!says_so);
            let gets_work = matches!(
                state,
                HealthState::Healthy
                    | HealthState::Suspect
                    | HealthState::HeldByFloor
                    | HealthState::SlowStart
            );
            if gets_work && !self.health.unreachable_from_this_vm(&name) {
                assert!(share > 0.0, "{name} {state:?}");
                in_rotation += 1;
                stays += u8::from(!says_so);
            } else if state != HealthState::Trial {
                assert_eq!(share, 0.0, "{name} {state:?}");
            }
            if says_so {
                disregarded.insert(endpoint);
            }
        }
        let needed = available.min(self.floor);
        assert!(stays >= needed, "{stays} in rotation, {needed} needed");
        assert_eq!(self.health.at_floor(), stays <= self.floor);
        self.check_disregarded(stays, in_rotation, disregarded);
    }

    /// Checks that an endpoint's word is disregarded where nobody else is in
    /// rotation and only there, and that it is the oldest word.
    fn check_disregarded(&mut self, stays: u8, in_rotation: u8, disregarded: BTreeSet<u8>) {
        assert!(stays == 0 || disregarded.is_empty(), "{disregarded:?} without need");
        let configured = self.present & !self.leaving;
        let never_out = |endpoint: u8| !self.was_out.contains(&endpoint);
        let needs_one = (0..NAMES)
            .any(|endpoint| has(configured, endpoint) && (self.floor > 0 || never_out(endpoint)));
        assert!(in_rotation > 0 || !needs_one, "nobody left in rotation");
        for endpoint in disregarded.difference(&self.disregarded) {
            let at = self.said[endpoint].at;
            for (other, said) in &self.said {
                let is_choice = has(configured, *other) && never_out(*other);
                assert!(!is_choice || at <= said.at, "{endpoint} before {other}");
            }
        }
        self.disregarded = disregarded;
    }
}

/// Endpoints fail in every way, say that they are leaving, are replaced, and
/// the floor changes, in any order. Callers must always have as many endpoints
/// to go to as the floor says, or all there are; leaving ones get no work.
#[test]
fn ejections_never_break_the_floor() {
    fn holds(floor: u8, steps: Vec<Step>) -> bool {
        let mut run = Run::new(floor % (NAMES + 1));
        run.check();
        for step in &steps {
            run.step(step);
        }
        true
    }
    QuickCheck::new()
        .tests(150)
        .rng(Gen::from_size_and_seed(60, 11))
        .quickcheck(holds as fn(u8, Vec<Step>) -> bool);
}

/// The histories above mean something only if many of them eject.
#[test]
fn random_histories_do_eject() {
    let mut random = Gen::from_size_and_seed(60, 12);
    let mut ejections = 0;
    for _ in 0..50 {
        let mut run = Run::new(3);
        for step in Vec::<Step>::arbitrary(&mut random) {
            run.step(&step);
        }
        ejections += run.ejections;
    }
    assert!(ejections >= 50, "{ejections}");
}

/// After each step of such a history most endpoints say that they are leaving,
/// as a mistaken rollout tool makes them do. Callers must have one to go to
/// whenever the configuration has one, and the words count again with the first
/// endpoint that comes back.
#[test]
fn reports_alone_never_empty_the_rotation() {
    let mut random = Gen::from_size_and_seed(60, 13);
    let mut disregarded = 0;
    for round in 0..60 {
        let mut run = Run::new(round % 4);
        for step in Vec::<Step>::arbitrary(&mut random) {
            run.step(&step);
            let silent = u8::arbitrary(&mut random) & u8::arbitrary(&mut random);
            for endpoint in 0..NAMES {
                let draining = !has(silent, endpoint);
                if draining || bool::arbitrary(&mut random) {
                    run.step(&Step::Report { endpoint, draining });
                    disregarded += usize::from(!run.disregarded.is_empty());
                }
            }
        }
    }
    assert!(disregarded >= 1_000, "{disregarded}");
}

/// Half of the endpoints fail at the same moment, and the floor is high. As
/// many go as the floor allows, and as soon as it falls the others go as well.
#[test]
fn a_lower_floor_lets_the_sick_go() {
    let mut run = Run::new(7);
    for _ in 0..4 {
        run.work(0, 20, End::Error);
        run.work(1, 20, End::Error);
    }
    let out = |run: &Run| {
        (0..NAMES).filter(|&e| run.health.state(&name(e)) == HealthState::Ejected).count()
    };
    assert_eq!(out(&run), 1);
    run.step(&Step::Config { present: u8::MAX, leaving: 0, floor: 6 });
    run.work(1, 4, End::Error);
    run.work(0, 4, End::Error);
    assert_eq!(out(&run), 2);
}
