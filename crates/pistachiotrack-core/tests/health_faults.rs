//! Faults of endpoints, connections and paths, and whether they lead to an ejection.

mod health_simulation;

use std::time::Duration;

use health_simulation::{Reply, Simulation};
use pistachiotrack_core::{
    health::{AttemptKind, EjectReason, HealthAction, HealthState, PathAnswer},
    name::Name,
    request::{AttemptId, Class, Outcome},
};

const WARM_UP_MS: u64 = 5_000;

fn warm_simulation(count: usize, floor: u32, sensitivity: f64) -> Simulation {
    let mut simulation = Simulation::new(count, floor, sensitivity);
    simulation.run(WARM_UP_MS, |_| Reply::GOOD);
    assert!(simulation.ejections().is_empty());
    simulation
}

/// One endpoint in six answers half of its requests with a 500 while its health
/// checks pass, for instance because half of its data store is lost. Only real
/// requests show the fault.
#[test]
fn ejects_an_endpoint_that_fails_requests() {
    for sensitivity in [0.1, 0.9] {
        let mut simulation = warm_simulation(6, 3, sensitivity);
        simulation.run(2_000, |sent| match sent.kind {
            AttemptKind::Probe => Reply::GOOD,
            _ if sent.endpoint == 2 && sent.random < 0.5 => {
                Reply::Answer { status: 500, factor: 1.0 }
            }
            _ => Reply::GOOD,
        });
        let ejections = simulation.ejections();
        assert_eq!(ejections[0].1, 2, "sensitivity {sensitivity}");
        assert_eq!(ejections[0].2, EjectReason::Failures);
        assert_eq!(simulation.ejected_endpoints(), [2]);
    }
}

/// One endpoint takes three times as long as the others, because another process
/// uses its processor. It answers all requests and health checks.
#[test]
fn ejects_a_straggler() {
    for sensitivity in [0.1, 0.9] {
        let mut simulation = warm_simulation(6, 3, sensitivity);
        simulation.run(4_000, |sent| {
            let factor = if sent.endpoint == 1 { 3.0 } else { 1.0 };
            Reply::Answer { status: 200, factor }
        });
        assert_eq!(simulation.ejected_endpoints(), [1], "sensitivity {sensitivity}");
        assert_eq!(simulation.ejections()[0].2, EjectReason::Slow);
    }
}

/// All workers of one endpoint are stuck: requests time out, although it accepts
/// connections and health checks pass. Requests on new connections hang as well,
/// so the connections are not the cause.
#[test]
fn ejects_an_endpoint_that_hangs_soon_after_its_requests_time_out() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    simulation.run(3_000, |sent| match sent.kind {
        AttemptKind::Probe => Reply::GOOD,
        _ if sent.endpoint == 4 => Reply::Hang,
        _ => Reply::GOOD,
    });
    assert_eq!(simulation.ejected_endpoints(), [4]);
    assert_eq!(simulation.ejections()[0].2, EjectReason::Slow);
}

/// The machine of one endpoint stops: nothing is answered, not even the health
/// check on a new connection. The age of the attempts in flight must lead to the
/// ejection before any of them times out.
#[test]
fn ejects_a_stopped_endpoint_before_any_timeout() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    simulation.run(1_000, |sent| if sent.endpoint == 4 { Reply::Hang } else { Reply::GOOD });
    let ejections = simulation.ejections();
    assert_eq!(simulation.ejected_endpoints(), [4]);
    assert!(ejections[0].0 < WARM_UP_MS + health_simulation::TIMEOUT.as_millis() as u64);
}

/// A middlebox between this VM and an endpoint drops the state of open connections:
/// requests on them get no answer, while new connections work. The endpoint is
/// healthy and must stay in rotation.
#[test]
fn keeps_an_endpoint_whose_old_connections_went_silent() {
    for sensitivity in [0.1, 0.9] {
        let mut simulation = warm_simulation(6, 3, sensitivity);
        let mut silent = 3;
        simulation.run(10_000, |sent| {
            if sent.endpoint == 0 && !sent.fresh && silent > 0 {
                silent -= 1;
                return Reply::Hang;
            }
            Reply::GOOD
        });
        assert_eq!(simulation.ejections(), [], "sensitivity {sensitivity}");
    }
}

/// An endpoint closes idle connections while requests are written to them. Each
/// such request breaks; new connections work.
#[test]
fn keeps_an_endpoint_that_closes_pooled_connections() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    simulation.run(10_000, |sent| {
        let breaks = sent.endpoint == 0 && !sent.fresh && sent.random < 0.3;
        if breaks { Reply::Break } else { Reply::GOOD }
    });
    assert_eq!(simulation.ejections(), []);
}

/// Only this VM can't open connections to one endpoint, as packets are lost in one
/// direction between the two. The endpoint is healthy; its requests must go
/// through another VM instead of queueing here.
#[test]
fn does_not_eject_an_endpoint_that_others_reach() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    simulation.path_answer = Some(PathAnswer::ReachedByOthers);
    let mut seen_unreachable = false;
    for _ in 0..100 {
        simulation
            .run(100, |sent| if sent.endpoint == 5 { Reply::NoConnection } else { Reply::GOOD });
        if simulation.health.unreachable_from_this_vm("e5") {
            seen_unreachable = true;
            assert_eq!(simulation.health.share(simulation.now, "e5"), 0.0);
            let handed_over = simulation.health.hand_over(simulation.now);
            assert_eq!(handed_over[5].state, HealthState::Healthy);
        }
    }
    assert!(seen_unreachable);
    assert_eq!(simulation.ejections(), []);

    simulation.run(20_000, |_| Reply::GOOD);
    assert_eq!(simulation.state(5), HealthState::Healthy);
}

/// The machine of an endpoint is off: no connection can be opened, and the VMs that
/// were queried don't reach it either. The same if no VM answers.
#[test]
fn ejects_an_unreachable_endpoint_after_asking() {
    for answer in [Some(PathAnswer::UnreachableByOthers), Some(PathAnswer::NoAnswer), None] {
        let mut simulation = warm_simulation(6, 3, 0.9);
        simulation.path_answer = answer;
        simulation
            .run(2_000, |sent| if sent.endpoint == 5 { Reply::NoConnection } else { Reply::GOOD });
        let checked = simulation
            .log
            .iter()
            .position(|(_, action)| matches!(action, HealthAction::CheckPath { .. }));
        let ejected = simulation
            .log
            .iter()
            .position(|(_, action)| matches!(action, HealthAction::Ejected { .. }));
        assert_eq!(simulation.ejections()[0].2, EjectReason::Unreachable, "{answer:?}");
        assert!(checked.unwrap() < ejected.unwrap(), "{answer:?}");
    }
}

/// The process is paused for four seconds. Afterwards all requests in flight look
/// four seconds old, some have timed out, and connections have been closed. None
/// of it is evidence against an endpoint.
#[test]
fn discards_evidence_that_a_pause_explains() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    simulation.run(15, |_| Reply::Hang);
    simulation.pause(4_000);
    simulation.health.on_pause(simulation.now, Duration::from_millis(4_000));
    simulation.run(5_000, |_| Reply::GOOD);
    assert_eq!(simulation.ejections(), []);
}

/// As above, but outcomes are handled before the timer service has detected the
/// pause: nothing may be ejected in between.
#[test]
fn ejects_nothing_between_a_pause_and_its_detection() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    for endpoint in 0..6 {
        let name = Name::from(format!("e{endpoint}"));
        for index in 0..if endpoint == 0 { 12 } else { 1 } {
            let attempt = AttemptId(1_000_000 + 100 * endpoint + index);
            simulation.health.on_dispatch(
                simulation.now,
                attempt,
                &name,
                Class::Standard,
                AttemptKind::Request,
            );
        }
    }
    simulation.pause(4_000);
    for index in 0..12 {
        let attempt = AttemptId(1_000_000 + index);
        let outcome = Outcome::TimedOut { fresh_connection: true };
        assert_eq!(simulation.health.on_outcome(simulation.now, attempt, outcome), []);
    }
    simulation.health.on_pause(simulation.now, Duration::from_millis(4_000));
    simulation.run(5_000, |_| Reply::GOOD);
    assert_eq!(simulation.ejections(), []);
}

/// All endpoints take five times as long, because a store that they share is slow.
/// No endpoint is an outlier, and an ejection would only reduce the capacity.
#[test]
fn ejects_no_endpoint_when_the_whole_service_is_slow() {
    for (sensitivity, seed) in [(0.1, 1), (0.1, 2), (0.6, 3), (0.6, 4), (0.9, 5)] {
        let mut simulation = Simulation::with_seed(14, 3, sensitivity, seed);
        simulation.run(WARM_UP_MS, |_| Reply::GOOD);
        simulation.run(20_000, |_| Reply::Answer { status: 200, factor: 5.0 });
        assert_eq!(simulation.ejections(), [], "sensitivity {sensitivity} seed {seed}");
        simulation.run(20_000, |_| Reply::GOOD);
        assert_eq!(simulation.ejections(), [], "sensitivity {sensitivity} seed {seed}");
    }
}

/// Half of the answers of every endpoint are errors, because a store that they share
/// fails. Then all requests hang.
#[test]
fn ejects_no_endpoint_when_the_whole_service_fails() {
    let mut simulation = warm_simulation(14, 3, 0.9);
    simulation.run(20_000, |sent| {
        let status = if sent.random < 0.5 { 503 } else { 200 };
        Reply::Answer { status, factor: 1.0 }
    });
    assert_eq!(simulation.ejections(), []);
    simulation.run(3_000, |_| Reply::Hang);
    assert_eq!(simulation.ejections(), []);
}

/// An endpoint at its limit sheds half of its requests without running them. Shed
/// requests are no evidence of a fault.
#[test]
fn does_not_eject_for_shedding() {
    let mut simulation = warm_simulation(6, 3, 1.0);
    simulation.run(20_000, |sent| {
        if sent.endpoint == 3 && sent.random < 0.5 { Reply::Shed } else { Reply::GOOD }
    });
    assert_eq!(simulation.ejections(), []);
    assert_eq!(simulation.state(3), HealthState::Healthy);
}

/// Requests to one endpoint have deadlines of a few milliseconds and time out. Short
/// deadlines are no evidence against the endpoint.
#[test]
fn does_not_eject_for_short_deadlines() {
    let mut simulation = warm_simulation(6, 3, 1.0);
    simulation.load = 0.0;
    simulation.run(1_000, |_| Reply::GOOD);
    let name = Name::from("e0");
    for index in 0..200 {
        let attempt = AttemptId(1_000_000 + index);
        simulation.health.on_dispatch(
            simulation.now,
            attempt,
            &name,
            Class::Standard,
            AttemptKind::Request,
        );
        simulation.now += Duration::from_millis(5);
        let outcome = Outcome::TimedOut { fresh_connection: true };
        simulation.health.on_outcome(simulation.now, attempt, outcome);
        let actions = simulation.health.on_tick(simulation.now);
        assert!(!actions.iter().any(|action| matches!(action, HealthAction::Ejected { .. })));
    }
}

/// Guards against an endpoint without requests whose suspicion fades before a health check could
/// confirm it: two failures leave it barely suspect.
#[test]
fn a_suspect_endpoint_without_requests_gets_a_health_check() {
    let mut simulation = Simulation::new(4, 1, 0.5);
    simulation.load = 0.0;
    let name = Name::from("e0");
    for index in 0..2 {
        let attempt = AttemptId(1_000_000 + index);
        let now = simulation.now;
        simulation.health.on_dispatch(now, attempt, &name, Class::Standard, AttemptKind::Request);
        let outcome = Outcome::Answered { status: 500, fresh_connection: true };
        simulation.health.on_outcome(now, attempt, outcome);
        simulation.run(27, |_| Reply::GOOD);
    }
    assert_eq!(simulation.state(0), HealthState::Suspect);
    simulation.run(1_500, |_| Reply::GOOD);
    assert_eq!(simulation.probes, [1, 0, 0, 0]);
}
