//! Faults of endpoints, connections and paths: what is ejected, and what not.

mod health_world;

use std::time::Duration;

use health_world::{Reply, World};
use pistachiotrack_core::{
    health::{AttemptKind, EjectReason, HealthAction, HealthState, PathAnswer},
    name::Name,
    request::{AttemptId, Class, Outcome},
};

const WARM_UP_MS: u64 = 5_000;

fn warm_world(count: usize, floor: u32, sensitivity: f64) -> World {
    let mut world = World::new(count, floor, sensitivity);
    world.run(WARM_UP_MS, |_| Reply::GOOD);
    assert!(world.ejections().is_empty());
    world
}

/// Callers of one endpoint in six get a 500 every other time, while its health
/// checks pass. The endpoint's data store is half gone; nothing but real work
/// shows it.
#[test]
fn ejects_an_endpoint_that_fails_real_work() {
    for sensitivity in [0.1, 0.9] {
        let mut world = warm_world(6, 3, sensitivity);
        world.run(2_000, |sent| match sent.kind {
            AttemptKind::Probe => Reply::GOOD,
            _ if sent.endpoint == 2 && sent.dice < 0.5 => {
                Reply::Answer { status: 500, factor: 1.0 }
            }
            _ => Reply::GOOD,
        });
        let ejections = world.ejections();
        assert_eq!(ejections[0].1, 2, "sensitivity {sensitivity}");
        assert_eq!(ejections[0].2, EjectReason::Failures);
        assert_eq!(world.ejected_endpoints(), [2]);
    }
}

/// Callers wait three times as long when their request lands on one endpoint.
/// It answers everything, and answers health checks, but a neighbour takes its
/// processor time.
#[test]
fn ejects_a_straggler() {
    for sensitivity in [0.1, 0.9] {
        let mut world = warm_world(6, 3, sensitivity);
        world.run(4_000, |sent| {
            let factor = if sent.endpoint == 1 { 3.0 } else { 1.0 };
            Reply::Answer { status: 200, factor }
        });
        assert_eq!(world.ejected_endpoints(), [1], "sensitivity {sensitivity}");
        assert_eq!(world.ejections()[0].2, EjectReason::Slow);
    }
}

/// Callers of one endpoint get nothing until their time is up. It accepts
/// connections and health checks pass, but its workers are all stuck. New
/// connections hang as well, so the connections are not to blame.
#[test]
fn ejects_an_endpoint_that_hangs_soon_after_its_work_times_out() {
    let mut world = warm_world(6, 3, 0.9);
    world.run(3_000, |sent| match sent.kind {
        AttemptKind::Probe => Reply::GOOD,
        _ if sent.endpoint == 4 => Reply::Hang,
        _ => Reply::GOOD,
    });
    assert_eq!(world.ejected_endpoints(), [4]);
    assert_eq!(world.ejections()[0].2, EjectReason::Slow);
}

/// One endpoint's machine stops; nothing comes back, not even for the health
/// check on a new connection. The age of the work in flight has to show it,
/// before any of it times out.
#[test]
fn ejects_a_stopped_endpoint_before_any_timeout() {
    let mut world = warm_world(6, 3, 0.9);
    world.run(1_000, |sent| if sent.endpoint == 4 { Reply::Hang } else { Reply::GOOD });
    let ejections = world.ejections();
    assert_eq!(world.ejected_endpoints(), [4]);
    assert!(ejections[0].0 < WARM_UP_MS + health_world::TIMEOUT.as_millis() as u64);
}

/// Something between this VM and an endpoint loses track of the open
/// connections: requests on them get no answer, while new connections work.
/// The endpoint is well and must stay.
#[test]
fn keeps_an_endpoint_whose_old_connections_went_silent() {
    for sensitivity in [0.1, 0.9] {
        let mut world = warm_world(6, 3, sensitivity);
        let mut silent = 3;
        world.run(10_000, |sent| {
            if sent.endpoint == 0 && !sent.fresh && silent > 0 {
                silent -= 1;
                return Reply::Hang;
            }
            Reply::GOOD
        });
        assert_eq!(world.ejections(), [], "sensitivity {sensitivity}");
    }
}

/// An endpoint closes idle connections just when requests are written to them.
/// Each such request breaks; on new connections all is well.
#[test]
fn keeps_an_endpoint_that_closes_pooled_connections() {
    let mut world = warm_world(6, 3, 0.9);
    world.run(10_000, |sent| {
        let breaks = sent.endpoint == 0 && !sent.fresh && sent.dice < 0.3;
        if breaks { Reply::Break } else { Reply::GOOD }
    });
    assert_eq!(world.ejections(), []);
}

/// This VM can't open connections to one endpoint, others can: packets get lost
/// one way between the two. The endpoint is well; its work must go through
/// another VM instead of piling up here.
#[test]
fn does_not_eject_an_endpoint_that_others_reach() {
    let mut world = warm_world(6, 3, 0.9);
    world.path_answer = Some(PathAnswer::ReachedByOthers);
    let mut seen_unreachable = false;
    for _ in 0..100 {
        world.run(100, |sent| if sent.endpoint == 5 { Reply::NoConnection } else { Reply::GOOD });
        if world.health.unreachable_from_this_vm("e5") {
            seen_unreachable = true;
            assert_eq!(world.health.share(world.now, "e5"), 0.0);
            let handed_over = world.health.hand_over(world.now);
            assert_eq!(handed_over[5].state, HealthState::Healthy);
        }
    }
    assert!(seen_unreachable);
    assert_eq!(world.ejections(), []);

    world.run(20_000, |_| Reply::GOOD);
    assert_eq!(world.state(5), HealthState::Healthy);
}

/// An endpoint's machine is off: no connection opens, and the VMs that were
/// asked don't reach it either. The same where nobody answers the question.
#[test]
fn ejects_an_unreachable_endpoint_after_asking() {
    for answer in [Some(PathAnswer::UnreachableByOthers), Some(PathAnswer::NoAnswer), None] {
        let mut world = warm_world(6, 3, 0.9);
        world.path_answer = answer;
        world.run(2_000, |sent| if sent.endpoint == 5 { Reply::NoConnection } else { Reply::GOOD });
        let asked = world
            .log
            .iter()
            .position(|(_, action)| matches!(action, HealthAction::CheckPath { .. }));
        let ejected =
            world.log.iter().position(|(_, action)| matches!(action, HealthAction::Ejected { .. }));
        assert_eq!(world.ejections()[0].2, EjectReason::Unreachable, "{answer:?}");
        assert!(asked.unwrap() < ejected.unwrap(), "{answer:?}");
    }
}

/// The process stands still for four seconds. When it wakes, all requests in
/// flight look four seconds old, some have timed out, and connections have been
/// closed. None of it is the endpoints' doing.
#[test]
fn forgets_what_an_own_pause_explains() {
    let mut world = warm_world(6, 3, 0.9);
    world.run(15, |_| Reply::Hang);
    world.pause(4_000);
    world.health.on_pause(world.now, Duration::from_millis(4_000));
    world.run(5_000, |_| Reply::GOOD);
    assert_eq!(world.ejections(), []);
}

/// As above, but outcomes reach the decisions before the timer service has
/// noticed the pause: nothing may be ejected in between.
#[test]
fn decides_nothing_between_waking_and_noticing_the_pause() {
    let mut world = warm_world(6, 3, 0.9);
    for endpoint in 0..6 {
        let name = Name::from(format!("e{endpoint}"));
        for index in 0..if endpoint == 0 { 12 } else { 1 } {
            let attempt = AttemptId(1_000_000 + 100 * endpoint + index);
            world.health.on_dispatch(
                world.now,
                attempt,
                &name,
                Class::Standard,
                AttemptKind::Request,
            );
        }
    }
    world.pause(4_000);
    for index in 0..12 {
        let attempt = AttemptId(1_000_000 + index);
        let outcome = Outcome::TimedOut { fresh_connection: true };
        assert_eq!(world.health.on_outcome(world.now, attempt, outcome), []);
    }
    world.health.on_pause(world.now, Duration::from_millis(4_000));
    world.run(5_000, |_| Reply::GOOD);
    assert_eq!(world.ejections(), []);
}

/// All callers wait five times as long, because a store that all endpoints use
/// is slow. No endpoint is an outlier, and taking any away makes it worse.
#[test]
fn ejects_nobody_when_the_whole_service_is_slow() {
    for (sensitivity, seed) in [(0.1, 1), (0.1, 2), (0.6, 3), (0.6, 4), (0.9, 5)] {
        let mut world = World::with_seed(14, 3, sensitivity, seed);
        world.run(WARM_UP_MS, |_| Reply::GOOD);
        world.run(20_000, |_| Reply::Answer { status: 200, factor: 5.0 });
        assert_eq!(world.ejections(), [], "sensitivity {sensitivity} seed {seed}");
        world.run(20_000, |_| Reply::GOOD);
        assert_eq!(world.ejections(), [], "sensitivity {sensitivity} seed {seed}");
    }
}

/// Every second answer of every endpoint is an error, because a store that all
/// endpoints use is failing. The same with everything hanging.
#[test]
fn ejects_nobody_when_the_whole_service_fails() {
    let mut world = warm_world(14, 3, 0.9);
    world.run(20_000, |sent| {
        let status = if sent.dice < 0.5 { 503 } else { 200 };
        Reply::Answer { status, factor: 1.0 }
    });
    assert_eq!(world.ejections(), []);
    world.run(3_000, |_| Reply::Hang);
    assert_eq!(world.ejections(), []);
}

/// A full endpoint refuses half of its work and says that it did not run it.
/// Full is not sick.
#[test]
fn does_not_eject_for_shedding() {
    let mut world = warm_world(6, 3, 1.0);
    world.run(20_000, |sent| {
        if sent.endpoint == 3 && sent.dice < 0.5 { Reply::Shed } else { Reply::GOOD }
    });
    assert_eq!(world.ejections(), []);
    assert_eq!(world.state(3), HealthState::Healthy);
}

/// Callers give up after a few milliseconds, on one endpoint more often than on
/// others. That their time was short is not the endpoint's fault.
#[test]
fn does_not_eject_for_short_deadlines() {
    let mut world = warm_world(6, 3, 1.0);
    world.load = 0.0;
    world.run(1_000, |_| Reply::GOOD);
    let name = Name::from("e0");
    for index in 0..200 {
        let attempt = AttemptId(1_000_000 + index);
        world.health.on_dispatch(world.now, attempt, &name, Class::Standard, AttemptKind::Request);
        world.now += Duration::from_millis(5);
        let outcome = Outcome::TimedOut { fresh_connection: true };
        world.health.on_outcome(world.now, attempt, outcome);
        let actions = world.health.on_tick(world.now);
        assert!(!actions.iter().any(|action| matches!(action, HealthAction::Ejected { .. })));
    }
}
