//! Checks the floor and drain reports against a simple oracle over random histories.

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
    request::{AttemptId, BodyEnd, Class, EndpointReport, Outcome},
    time::Time,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const NAMES: u8 = 8;

/// One step of a random history.
#[derive(Clone, Debug)]
enum Step {
    Wait { ms: u16 },
    Requests { endpoint: u8, count: u8, end: End },
    EndpointReport { endpoint: u8, draining: bool },
    Config { present: u8, leaving: u8, floor: u8 },
    Path { endpoint: u8, answer: u8 },
    HandOver { ejected: u8 },
    Pause { ms: u16 },
}

/// How requests end.
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
            4..=10 => Step::Requests {
                endpoint,
                count: u8::arbitrary(g) % 40,
                end: *g.choose(&ENDS).unwrap(),
            },
            11 => Step::EndpointReport { endpoint, draining: bool::arbitrary(g) },
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
            Step::Requests { endpoint, count, end } => {
                Box::new(count.shrink().map(move |count| Step::Requests { endpoint, count, end }))
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

/// An endpoint's last report that it is draining, and whether it has withdrawn it.
#[derive(Clone, Copy, Debug)]
struct DrainReport {
    reported_at: Time,
    withdrawn: bool,
}

/// The checked `Health` and the state of the oracle: the configuration, the drain
/// reports and the ejections.
struct CheckedHealth {
    health: Health,
    now: Time,
    next_attempt: u64,
    present: u8,
    leaving: u8,
    floor: u8,
    drain_reports: BTreeMap<u8, DrainReport>,
    overridden: BTreeSet<u8>,
    once_out: BTreeSet<u8>,
    ejected: BTreeSet<Name>,
    ejections: u32,
}

fn name(endpoint: u8) -> Name {
    Name::from(format!("e{endpoint}"))
}

fn contains(mask: u8, endpoint: u8) -> bool {
    mask >> endpoint & 1 == 1
}

fn configured_endpoints(present: u8, leaving: u8) -> Vec<ConfiguredEndpoint> {
    (0..NAMES)
        .filter(|&endpoint| contains(present, endpoint))
        .map(|endpoint| ConfiguredEndpoint {
            name: name(endpoint),
            leaving: contains(leaving, endpoint),
        })
        .collect()
}

impl CheckedHealth {
    fn new(floor: u8) -> CheckedHealth {
        let settings = HealthSettings { sensitivity: 0.9, ..HealthSettings::default() };
        let all = configured_endpoints(u8::MAX, 0);
        CheckedHealth {
            health: Health::new(Time::ZERO, settings, &all, floor.into(), 1),
            now: Time::ZERO,
            next_attempt: 0,
            present: u8::MAX,
            leaving: 0,
            floor,
            drain_reports: BTreeMap::new(),
            overridden: BTreeSet::new(),
            once_out: BTreeSet::new(),
            ejected: BTreeSet::new(),
            ejections: 0,
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Wait { ms } => self.wait(ms),
            Step::Requests { endpoint, count, end } => self.requests(endpoint, count, end),
            Step::EndpointReport { endpoint, draining } => {
                let known = contains(self.present, endpoint);
                if draining && known {
                    self.drain_reports
                        .insert(endpoint, DrainReport { reported_at: self.now, withdrawn: false });
                } else if let Some(drain_report) = self.drain_reports.get_mut(&endpoint) {
                    drain_report.withdrawn |= !draining;
                }
                let report =
                    EndpointReport { in_flight: None, draining, ..EndpointReport::default() };
                let actions = self.health.on_report(self.now, &name(endpoint), report);
                self.apply(actions);
            }
            Step::Config { present, leaving, floor } => {
                (self.present, self.leaving, self.floor) = (present, leaving, floor);
                self.drain_reports.retain(|&endpoint, _| contains(present, endpoint));
                let configured_endpoints = configured_endpoints(present, leaving);
                let actions = self.health.on_config(self.now, &configured_endpoints, floor.into());
                self.apply(actions);
            }
            Step::Path { endpoint, answer } => {
                let answers = [
                    PathAnswer::ReachedByOthers,
                    PathAnswer::UnreachableByOthers,
                    PathAnswer::NoAnswer,
                ];
                let answer = answers[usize::from(answer)];
                let actions = self.health.on_path_answer(self.now, &name(endpoint), answer);
                self.apply(actions);
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
        self.drain_reports.retain(|_, drain_report| {
            let expiry_s = if drain_report.withdrawn { 10 } else { 60 };
            now.since(drain_report.reported_at) < Duration::from_secs(expiry_s)
        });
        let actions = self.health.on_tick(now);
        self.apply(actions);
    }

    /// Sends requests to one endpoint that end as `end` says, and good ones to its peers.
    fn requests(&mut self, endpoint: u8, count: u8, end: End) {
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
            let body = if matches!(end, End::Cut) { BodyEnd::Truncated } else { BodyEnd::Complete };
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
        self.apply(actions);
        if matches!(outcome, Outcome::Answered { .. }) {
            let actions = self.health.on_body_end(self.now, attempt, body);
            self.apply(actions);
        }
    }

    fn hand_over(&mut self, ejected: u8) {
        let from: Vec<HealthHandOver> = (0..NAMES)
            .filter(|&endpoint| contains(ejected, endpoint))
            .map(|endpoint| HealthHandOver {
                endpoint: name(endpoint),
                state: HealthState::Ejected,
                ejections: 1,
                usual_latency_us: Some(1_000),
            })
            .collect();
        self.ejected.extend(from.iter().map(|old| old.endpoint.clone()));
        let actions = self.health.on_hand_over(self.now, &from);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<HealthAction>) {
        let readmitted: Vec<Name> = actions
            .iter()
            .filter_map(|action| match action {
                HealthAction::Readmitted { endpoint } => Some(endpoint.clone()),
                _ => None,
            })
            .collect();
        for action in actions {
            if let HealthAction::Ejected { endpoint, .. } = action {
                assert!(
                    !readmitted.contains(&endpoint),
                    "{endpoint} ejected and readmitted at once"
                );
                self.ejections += 1;
                self.ejected.insert(endpoint);
            }
        }
        self.check();
    }

    /// Checks the visible state against the oracle.
    fn check(&mut self) {
        let mut in_rotation = 0;
        let mut available = 0;
        let mut counted = 0;
        let mut overridden = BTreeSet::new();
        for endpoint in 0..NAMES {
            let name = name(endpoint);
            let state = self.health.state(&name);
            let share = self.health.share(self.now, &name);
            if !contains(self.present, endpoint) || contains(self.leaving, endpoint) {
                assert_eq!((state, share), (HealthState::Draining, 0.0), "{name}");
                continue;
            }
            let is_out = matches!(state, HealthState::Ejected | HealthState::Trial);
            let is_ejected = self.ejected.contains(&name);
            if is_out || is_ejected || self.health.unreachable_from_this_vm(&name) {
                self.once_out.insert(endpoint);
            }
            let reports_draining = self.drain_reports.contains_key(&endpoint);
            if state == HealthState::Draining {
                assert!(reports_draining, "{name} draining without a report");
                assert_eq!(share, 0.0, "{name}");
                continue;
            }
            if state == HealthState::Ejected {
                assert!(self.ejected.contains(&name), "{name} ejected without an action");
            }
            available += u8::from(!reports_draining);
            let gets_requests = matches!(
                state,
                HealthState::Healthy
                    | HealthState::Suspect
                    | HealthState::HeldByFloor
                    | HealthState::SlowStart
            );
            if gets_requests && !self.health.unreachable_from_this_vm(&name) {
                assert!(share > 0.0, "{name} {state:?}");
                in_rotation += 1;
                counted += u8::from(!reports_draining);
            } else if state != HealthState::Trial {
                assert_eq!(share, 0.0, "{name} {state:?}");
            }
            if reports_draining {
                overridden.insert(endpoint);
            }
        }
        let needed = available.min(self.floor);
        assert!(counted >= needed, "{counted} in rotation, {needed} needed");
        assert_eq!(self.health.at_floor(), counted <= self.floor);
        self.check_overridden(counted, in_rotation, overridden);
    }

    /// Checks that a drain report is disregarded if and only if no other endpoint is in
    /// rotation, and that it is the oldest report.
    fn check_overridden(&mut self, counted: u8, in_rotation: u8, overridden: BTreeSet<u8>) {
        assert!(counted == 0 || overridden.is_empty(), "{overridden:?} disregarded without need");
        let configured = self.present & !self.leaving;
        let never_out = |endpoint: u8| !self.once_out.contains(&endpoint);
        let needs_one = (0..NAMES).any(|endpoint| {
            contains(configured, endpoint) && (self.floor > 0 || never_out(endpoint))
        });
        assert!(in_rotation > 0 || !needs_one, "no endpoint left in rotation");
        for endpoint in overridden.difference(&self.overridden) {
            let reported_at = self.drain_reports[endpoint].reported_at;
            for (other, drain_report) in &self.drain_reports {
                let could_serve = contains(configured, *other) && never_out(*other);
                assert!(
                    !could_serve || reported_at <= drain_report.reported_at,
                    "{endpoint} overridden before {other}"
                );
            }
        }
        self.overridden = overridden;
    }
}

/// Endpoints fail in every way, report that they are draining, are replaced, and the
/// floor changes, in any order. At least as many endpoints as the floor, or all that
/// are available, must stay in rotation; leaving ones must get no requests.
#[test]
fn ejections_never_break_the_floor() {
    fn holds(floor: u8, steps: Vec<Step>) -> bool {
        let mut checked = CheckedHealth::new(floor % (NAMES + 1));
        checked.check();
        for step in &steps {
            checked.step(step);
        }
        true
    }
    QuickCheck::new()
        .tests(150)
        .rng(Gen::from_size_and_seed(60, 11))
        .quickcheck(holds as fn(u8, Vec<Step>) -> bool);
}

/// The histories above test the floor only if many of them lead to ejections.
#[test]
fn random_histories_include_ejections() {
    let mut random = Gen::from_size_and_seed(60, 12);
    let mut ejections = 0;
    for _ in 0..50 {
        let mut checked = CheckedHealth::new(3);
        for step in Vec::<Step>::arbitrary(&mut random) {
            checked.step(&step);
        }
        ejections += checked.ejections;
    }
    assert!(ejections >= 50, "{ejections}");
}

/// After each step of a history most endpoints report that they are draining, as with
/// a faulty rollout tool. One endpoint must stay in rotation whenever the configuration
/// has one that isn't leaving, and the reports must apply again as soon as another
/// endpoint is available.
#[test]
fn drain_reports_alone_never_empty_the_rotation() {
    let mut random = Gen::from_size_and_seed(60, 13);
    let mut overridden = 0;
    for round in 0..60 {
        let mut checked = CheckedHealth::new(round % 4);
        for step in Vec::<Step>::arbitrary(&mut random) {
            checked.step(&step);
            let silent = u8::arbitrary(&mut random) & u8::arbitrary(&mut random);
            for endpoint in 0..NAMES {
                let draining = !contains(silent, endpoint);
                if draining || bool::arbitrary(&mut random) {
                    checked.step(&Step::EndpointReport { endpoint, draining });
                    overridden += usize::from(!checked.overridden.is_empty());
                }
            }
        }
    }
    assert!(overridden >= 1_000, "{overridden}");
}

/// Two of eight endpoints fail at the same time with a floor of seven. One is ejected;
/// the other must be ejected as soon as the floor is lowered.
#[test]
fn lowering_the_floor_ejects_held_endpoints() {
    let mut checked = CheckedHealth::new(7);
    for _ in 0..4 {
        checked.requests(0, 20, End::Error);
        checked.requests(1, 20, End::Error);
    }
    let out = |checked: &CheckedHealth| {
        (0..NAMES).filter(|&e| checked.health.state(&name(e)) == HealthState::Ejected).count()
    };
    assert_eq!(out(&checked), 1);
    checked.step(&Step::Config { present: u8::MAX, leaving: 0, floor: 6 });
    checked.requests(1, 4, End::Error);
    checked.requests(0, 4, End::Error);
    assert_eq!(out(&checked), 2);
}
