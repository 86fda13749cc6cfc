//! A view of the registry through outages, in which registrations expire, and watches that are cut
//! while the registry is well.

mod registry_support;

use std::time::Duration;

use pistachiotrack_core::{
    endpoint::Endpoint,
    name::Name,
    registry_view::{
        Registration, RegistryChange, RegistrySnapshot, RegistryView, RegistryViewSettings,
    },
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use registry_support::{SERVICE, operators};

const ENDPOINTS: usize = 4;
/// Step of the simulation.
const STEP_MS: u64 = 10;
/// Time between two checks of the view.
const CHECK_MS: u64 = 50;
const LENGTH_MS: u64 = 30_000;
const HEARTBEAT_MS: u64 = 1_500;
/// Silence after which the registry removes a registration.
const EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;
/// Time for which a watch waits, and a response may take beyond it.
const WATCH_MS: u64 = 900;
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Delays after failed calls.
const MIN_BACKOFF_MS: u64 = 200;
const MAX_BACKOFF_MS: u64 = 800;
/// Time after its removal within which an endpoint must be out of use.
const DRAIN_MS: u64 = 2_000;
/// Time after an outage from which that holds.
const STABLE_MS: u64 = 3_000;
/// Time after an outage within which live endpoints have registered again.
const BACK_MS: u64 = 2_000;

/// How the registry fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Calls get no answer.
    Silent,
    /// Calls fail at once, and those that wait are reset.
    Refusing,
}

/// An endpoint and its registration.
struct Registered {
    /// Whether the registry has its entry.
    is_listed: bool,
    /// Time of its next heartbeat.
    next_heartbeat_ms: u64,
    last_write_ms: u64,
    /// Time at which it left as planned.
    left_ms: Option<u64>,
}

/// A call of the VM that has not ended.
struct Call {
    started_ms: u64,
    wait_ms: u64,
}

/// The registry, its endpoints and a VM that watches it.
struct World {
    rng: Pcg64Mcg,
    now_ms: u64,
    outages: Vec<(u64, u64, Fault)>,
    /// Times at which a waiting watch is cut.
    cuts: Vec<u64>,
    endpoints: Vec<Registered>,
    revision: u64,
    log: Vec<(u64, RegistryChange)>,
    view: RegistryView,
    synced: u64,
    call: Option<Call>,
    next_call_ms: u64,
    failures: u32,
    /// Names of all endpoints.
    names: Vec<Name>,
    /// Endpoints that the view has, as of its last check.
    used: Vec<Name>,
}

fn name(index: usize) -> Name {
    Name::from(format!("endpoint-{index}"))
}

fn registration(index: usize) -> Registration {
    let endpoint = Endpoint {
        name: name(index),
        address: ([10, 0, 0, 1], 7_000 + index as u16).into(),
        data_centre: Name::from("oslo-1"),
        slots: 2,
        connections: 400,
        leaving: false,
    };
    let service = Name::from(SERVICE);
    Registration { key: name(index), service, endpoint, create_revision: 1, sequence: 0 }
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let endpoints = (0..ENDPOINTS).map(|_| Registered {
            is_listed: true,
            next_heartbeat_ms: rng.random_range(0..HEARTBEAT_MS),
            last_write_ms: 0,
            left_ms: None,
        });
        let endpoints = endpoints.collect();
        let settings =
            RegistryViewSettings { heartbeat_ms: HEARTBEAT_MS, ..RegistryViewSettings::default() };
        let mut view = RegistryView::new(settings);
        view.on_response(Time::ZERO);
        let snapshot = RegistrySnapshot {
            revision: 1,
            operators: Some(operators()),
            registrations: (0..ENDPOINTS).map(registration).collect(),
            ..RegistrySnapshot::default()
        };
        view.on_snapshot(Time::ZERO, snapshot);
        World {
            rng,
            now_ms: 0,
            outages: Vec::new(),
            cuts: Vec::new(),
            endpoints,
            revision: 1,
            log: Vec::new(),
            view,
            synced: 1,
            call: None,
            next_call_ms: 0,
            failures: 0,
            names: (0..ENDPOINTS).map(name).collect(),
            used: (0..ENDPOINTS).map(name).collect(),
        }
    }

    fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    fn fault(&self) -> Option<Fault> {
        let is_now = |(from, until, _): &&(u64, u64, Fault)| (*from..*until).contains(&self.now_ms);
        self.outages.iter().find(is_now).map(|(.., fault)| *fault)
    }

    /// Returns the time since the registry was away, at or before `at_ms`.
    fn stable_ms(&self, at_ms: u64) -> u64 {
        let ended = self.outages.iter().filter(|(from, ..)| *from <= at_ms);
        ended.map(|(_, until, _)| at_ms.saturating_sub(*until)).min().unwrap_or(u64::MAX)
    }

    fn change(&mut self, change: RegistryChange) {
        self.revision += 1;
        self.log.push((self.revision, change));
    }

    fn step_registry(&mut self) {
        let (now_ms, is_away) = (self.now_ms, self.fault().is_some());
        for index in 0..ENDPOINTS {
            let regular_ms = self.rng.random_range(HEARTBEAT_MS * 9 / 10..HEARTBEAT_MS * 11 / 10);
            let retry_ms = self.rng.random_range(50..BACK_MS - 100);
            let endpoint = &mut self.endpoints[index];
            if endpoint.left_ms.is_none() && now_ms >= endpoint.next_heartbeat_ms {
                endpoint.next_heartbeat_ms = now_ms + if is_away { 50 } else { regular_ms };
                if !is_away {
                    endpoint.last_write_ms = now_ms;
                    if !std::mem::replace(&mut endpoint.is_listed, true) {
                        self.change(RegistryChange::Registered(registration(index)));
                    }
                }
                continue;
            }
            if endpoint.is_listed && now_ms >= endpoint.last_write_ms + EXPIRY_MS {
                endpoint.is_listed = false;
                endpoint.next_heartbeat_ms = endpoint.next_heartbeat_ms.max(now_ms) + retry_ms;
                self.change(RegistryChange::Deregistered(name(index)));
            }
        }
    }

    /// Lets an endpoint leave as planned.
    fn remove(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.left_ms = Some(self.now_ms);
        if std::mem::replace(&mut endpoint.is_listed, false) {
            self.change(RegistryChange::Deregistered(name(index)));
        }
    }

    fn step_vm(&mut self) {
        if self.call.is_none() && self.now_ms >= self.next_call_ms {
            let wait_ms = if self.view.is_unreachable() { 0 } else { WATCH_MS };
            self.call = Some(Call { started_ms: self.now_ms, wait_ms });
        }
        let Some(Call { started_ms, wait_ms }) = self.call else { return };
        let is_cut = wait_ms > 0 && started_ms < self.now_ms && self.cuts.contains(&self.now_ms);
        match self.fault() {
            Some(Fault::Silent) if self.now_ms < started_ms + wait_ms + CALL_TIMEOUT_MS => {}
            Some(_) => self.fail(started_ms),
            None if is_cut => self.fail(started_ms),
            None if self.revision > self.synced || self.now_ms >= started_ms + wait_ms => {
                self.succeed();
            }
            None => {}
        }
    }

    fn fail(&mut self, started_ms: u64) {
        self.view.on_unreachable(self.now(), Time::from_millis(started_ms));
        let delay_ms = (MIN_BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        let jittered_ms = self.rng.random_range(delay_ms / 2..delay_ms * 3 / 2);
        let from_ms = if self.failures == 0 { started_ms } else { self.now_ms };
        self.next_call_ms = self.now_ms.max(from_ms + jittered_ms);
        self.failures += 1;
        self.call = None;
    }

    fn succeed(&mut self) {
        let now = self.now();
        self.view.on_response(now);
        let newer = self.log.iter().filter(|(revision, _)| *revision > self.synced);
        newer.for_each(|(revision, change)| self.view.on_change(now, *revision, change.clone()));
        (self.synced, self.failures, self.call) = (self.revision, 0, None);
        self.next_call_ms = self.now_ms;
    }

    /// Checks both bounds: live endpoints stay in use, those that have left don't.
    fn check(&mut self) -> Result<(), String> {
        if self.now_ms.is_multiple_of(CHECK_MS) {
            self.view.remove_expired(self.now());
            let config = self.view.config().expect("there is a configuration");
            let endpoints = &config.services[0].endpoints;
            self.used = endpoints.iter().map(|endpoint| endpoint.name.clone()).collect();
        }
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let is_used = self.used.contains(&self.names[index]);
            match endpoint.left_ms {
                None if !is_used => return Err(format!("live endpoint {index} isn't used")),
                Some(left_ms)
                    if is_used
                        && self.now_ms > left_ms + DRAIN_MS
                        && self.stable_ms(left_ms) >= STABLE_MS =>
                {
                    return Err(format!("endpoint {index} is used, it left at {left_ms}"));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Steps until the end; one endpoint leaves at `leaves_ms`.
    fn run(&mut self, leaves_ms: Option<u64>) -> Result<(), String> {
        while self.now_ms < LENGTH_MS {
            self.now_ms += STEP_MS;
            if leaves_ms == Some(self.now_ms) {
                self.remove(0);
            }
            self.step_registry();
            self.step_vm();
            self.check().map_err(|error| {
                let (now, cuts, outages) = (self.now_ms, &self.cuts, &self.outages);
                format!("{now}: {error}; cuts {cuts:?}, outages {outages:?}, leaves {leaves_ms:?}")
            })?;
        }
        Ok(())
    }
}

/// Returns a multiple of the step.
fn stepped(ms: u64) -> u64 {
    ms / STEP_MS * STEP_MS
}

/// Guards against an endpoint that is kept in use after it has left, since a watch was cut around its
/// removal: each moment of one cut, and of cuts in series.
#[test]
fn a_cut_watch_does_not_keep_an_endpoint_that_leaves() {
    let mut broken = Vec::new();
    for (count, apart_ms) in [(1, 0), (3, 150), (8, 400), (20, 230), (6, 900)] {
        for offset_ms in (0..4_000).step_by(20) {
            let mut world = World::new(offset_ms);
            let first_ms = 12_000 + offset_ms;
            world.cuts = (0..count).map(|cut| stepped(first_ms + cut * apart_ms)).collect();
            let result = world.run(Some(14_000));
            broken.extend(result.err());
        }
    }
    assert!(broken.is_empty(), "{} broken, such as {}", broken.len(), broken[0]);
}

/// Guards against live endpoints that are dropped, since their registrations expired in an outage:
/// outages of each kind and length, alone and in series, also beside cuts.
#[test]
fn endpoints_whose_registrations_expired_in_an_outage_are_kept() {
    let mut broken = Vec::new();
    for seed in 0..600 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::new(seed);
        let mut from_ms = rng.random_range(6_000..9_000);
        for _ in 0..rng.random_range(1..=3) {
            let until_ms = from_ms + rng.random_range(500..9_000);
            let fault = if rng.random() { Fault::Silent } else { Fault::Refusing };
            world.outages.push((from_ms, until_ms, fault));
            from_ms = until_ms + rng.random_range(200..3_000);
        }
        world.cuts = (0..rng.random_range(0..5))
            .map(|_| stepped(rng.random_range(5_000..LENGTH_MS)))
            .collect();
        broken.extend(world.run(None).err().map(|error| format!("seed {seed}: {error}")));
    }
    assert!(broken.is_empty(), "{} broken, such as {}", broken.len(), broken[0]);
}

/// Guards against an outage that is extended by each cut after it: an endpoint that leaves once the
/// registry has been stable is out of use in time.
#[test]
fn cuts_after_an_outage_do_not_extend_it() {
    let mut broken = Vec::new();
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::new(seed);
        let until_ms = 6_000 + rng.random_range(4_000..9_000);
        let fault = if rng.random() { Fault::Silent } else { Fault::Refusing };
        world.outages = vec![(6_000, until_ms, fault)];
        let apart_ms = rng.random_range(100..900);
        world.cuts = (0..20).map(|cut| stepped(until_ms + cut * apart_ms)).collect();
        let leaves_ms = stepped(until_ms + STABLE_MS + rng.random_range(10..5_000));
        let result = world.run(Some(leaves_ms));
        broken.extend(result.err().map(|error| format!("seed {seed}: {error}")));
    }
    assert!(broken.is_empty(), "{} broken, such as {}", broken.len(), broken[0]);
}

/// Guards against an endpoint that is kept after an outage although its entry was written so lately
/// that it can't have expired.
#[test]
fn an_entry_that_was_just_written_is_not_kept() {
    let mut world = World::new(1);
    let at = |ms| Time::from_millis(ms);
    world.view.on_response(at(1_000));
    world.view.on_unreachable(at(2_000), at(1_100));
    assert!(world.view.on_response(at(6_000)).is_some_and(|recovery| recovery.is_outage));
    world.view.on_response(at(6_100));
    world.view.on_change(at(6_100), 2, RegistryChange::Registered(registration(0)));
    world.view.on_response(at(6_200));
    world.view.on_change(at(6_200), 3, RegistryChange::Deregistered(name(0)));
    world.view.on_change(at(6_200), 4, RegistryChange::Deregistered(name(1)));
    let config = world.view.config().unwrap();
    let used: Vec<&str> = config.services[0].endpoints.iter().map(|it| it.name.as_str()).collect();
    assert_eq!(used, ["endpoint-1", "endpoint-2", "endpoint-3"]);
    let due = world.view.remove_expired(at(6_200)).unwrap();
    assert!(due.since(at(6_000)) <= Duration::from_millis(2_500));
}
