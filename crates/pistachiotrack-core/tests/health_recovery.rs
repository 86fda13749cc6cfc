//! Readmission of ejected and draining endpoints, and the hand-over to a successor.

mod health_simulation;

use health_simulation::{Reply, Simulation, configured_endpoints};
use pistachiotrack_core::{
    health::{
        AttemptKind, ConfiguredEndpoint, EjectReason, Health, HealthAction, HealthHandOver,
        HealthSettings, HealthState,
    },
    name::Name,
    request::EndpointReport,
    time::Time,
};

fn warm_simulation(count: usize, floor: u32, sensitivity: f64) -> Simulation {
    let mut simulation = Simulation::new(count, floor, sensitivity);
    simulation.run(5_000, |_| Reply::GOOD);
    assert!(simulation.ejections().is_empty());
    simulation
}

fn fail(endpoint: usize) -> impl Fn(health_simulation::SentAttempt) -> Reply {
    move |sent| match sent.kind {
        AttemptKind::Probe => Reply::GOOD,
        _ if sent.endpoint == endpoint => Reply::Answer { status: 500, factor: 1.0 },
        _ => Reply::GOOD,
    }
}

/// An ejected endpoint passes its health checks but still fails real requests. It must
/// not be readmitted before several real requests have succeeded.
#[test]
fn a_passed_health_check_does_not_readmit() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    simulation.run(60_000, fail(2));
    let readmitted =
        simulation.log.iter().any(|(_, action)| matches!(action, HealthAction::Readmitted { .. }));
    assert!(!readmitted);
    assert!(matches!(simulation.state(2), HealthState::Ejected | HealthState::Trial));
    assert!(simulation.dispatched[2] < simulation.dispatched[1] / 10);
}

/// A recovered endpoint gets single requests, then a growing share, then its full
/// share of requests.
#[test]
fn a_recovered_endpoint_is_readmitted_gradually() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    simulation.run(1_000, fail(2));
    assert_eq!(simulation.state(2), HealthState::Ejected);
    let mut seen = vec![HealthState::Ejected];
    let mut last_share = 0.0;
    for _ in 0..3_000 {
        simulation.run(10, |_| Reply::GOOD);
        let state = simulation.state(2);
        if seen.last() != Some(&state) {
            seen.push(state);
        }
        let share = simulation.health.share(simulation.now, "e2");
        assert!(share >= last_share);
        last_share = share;
    }
    let expected =
        [HealthState::Ejected, HealthState::Trial, HealthState::SlowStart, HealthState::Healthy];
    assert_eq!(seen, expected);
    assert_eq!(last_share, 1.0);
}

/// A service without idempotent requests offers none for trials. An ejected endpoint
/// must still be readmitted after a while, with a slow start, or its capacity would
/// be lost permanently.
#[test]
fn without_idempotent_requests_an_endpoint_is_readmitted_late() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    simulation.trials_enabled = false;
    simulation.run(1_000, fail(2));
    simulation.run(20_000, |_| Reply::GOOD);
    assert_eq!(simulation.state(2), HealthState::Trial);
    simulation.run(60_000, |_| Reply::GOOD);
    assert_eq!(simulation.state(2), HealthState::Healthy);
    assert!(simulation.probes[2] > 0);
}

/// An endpoint alternates between failing and healthy every few seconds. Each
/// readmission causes errors, so the backoff must grow; after a long healthy time it
/// must be short again.
#[test]
fn backoff_grows_while_flapping_and_decays_after() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    simulation.run(120_000, |sent| {
        let is_faulty = sent.endpoint == 2 && sent.now_ms / 2_000 % 3 == 0;
        if is_faulty { Reply::Answer { status: 500, factor: 1.0 } } else { Reply::GOOD }
    });
    let times: Vec<u64> = simulation.ejections().iter().map(|ejection| ejection.0).collect();
    assert!(times.len() >= 3, "{times:?}");
    assert!(times.len() <= 7, "{times:?}");
    let first_gap = times[1] - times[0];
    let last_gap = times[times.len() - 1] - times[times.len() - 2];
    assert!(last_gap >= 2 * first_gap, "{times:?}");
    assert_eq!(simulation.ejected_endpoints(), [2]);

    let flapping = ejections_of(&simulation, 2);
    simulation.run(700_000, |_| Reply::GOOD);
    assert_eq!(ejections_of(&simulation, 2), 0, "was {flapping}");
}

fn ejections_of(simulation: &Simulation, endpoint: usize) -> u32 {
    let handed_over = simulation.health.hand_over(simulation.now);
    handed_over[endpoint].ejections
}

/// The first requests to a new endpoint take five times as long, as its caches are
/// empty. It must not be ejected for that, and must not get its full share at once.
#[test]
fn a_cold_start_is_not_a_fault() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    let mut all = configured_endpoints(6);
    all[5].leaving = true;
    simulation.health.on_config(simulation.now, &all, 3);
    simulation.health.on_config(simulation.now, &all[..5], 3);
    all[5].leaving = false;
    simulation.health.on_config(simulation.now, &all, 3);
    assert_eq!(simulation.state(5), HealthState::SlowStart);
    assert!(simulation.health.share(simulation.now, "e5") < 0.2);
    let mut cold_requests = 0;
    simulation.run(30_000, |sent| {
        if sent.endpoint != 5 || cold_requests == 15 {
            return Reply::GOOD;
        }
        cold_requests += 1;
        Reply::Answer { status: 200, factor: 5.0 }
    });
    assert_eq!(simulation.ejections(), []);
    assert_eq!(simulation.state(5), HealthState::Healthy);
}

/// An endpoint that reports that it is draining gets no new requests from then on.
#[test]
fn a_draining_endpoint_gets_no_new_requests() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    let name = Name::from("e1");
    let report = EndpointReport { in_flight: None, draining: true, ..EndpointReport::default() };
    simulation.health.on_report(simulation.now, &name, report);
    assert_eq!(simulation.state(1), HealthState::Draining);
    let before = simulation.dispatched[1];
    simulation.run(5_000, |_| Reply::GOOD);
    assert_eq!(simulation.dispatched[1], before);
}

/// Guards against a service below its floor: an ejected endpoint takes the place of one that
/// leaves, which a later report can't withdraw.
#[test]
fn an_ejected_endpoint_replaces_a_leaving_one() {
    let mut simulation = warm_simulation(4, 3, 0.9);
    simulation.run(1_000, fail(2));
    assert_eq!(simulation.state(2), HealthState::Ejected);
    let name = simulation.names[1].clone();
    simulation.health.on_leaving(simulation.now, &name);
    assert_eq!(simulation.state(2), HealthState::HeldByFloor);
    simulation.health.on_report(simulation.now, &name, EndpointReport::default());
    simulation.run(20_000, |_| Reply::GOOD);
    assert_eq!(simulation.state(1), HealthState::Draining);
}

/// A rollout tool marks all endpoints of a service as draining within a second, and
/// none of them leaves. Callers would get no answers for up to a minute. The endpoint
/// with the oldest report must stay in rotation, although each answer repeats the
/// report, until another endpoint withdraws its report. Marks of the configuration
/// must apply even then.
#[test]
fn the_oldest_drain_report_is_disregarded_when_all_endpoints_report_draining() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    let leaving = EndpointReport { in_flight: None, draining: true, ..EndpointReport::default() };
    for endpoint in [3, 1, 0, 2, 5, 4] {
        let name = simulation.names[endpoint].clone();
        simulation.health.on_report(simulation.now, &name, leaving);
        simulation.run(100, |_| Reply::GOOD);
    }
    let states = |simulation: &Simulation| {
        (0..6).map(|endpoint| simulation.state(endpoint)).collect::<Vec<_>>()
    };
    let mut expected = vec![HealthState::Draining; 6];
    expected[3] = HealthState::Healthy;
    assert_eq!(states(&simulation), expected);
    let name = simulation.names[3].clone();
    for _ in 0..30 {
        let before = simulation.dispatched.clone();
        simulation.health.on_report(simulation.now, &name, leaving);
        simulation.run(1_000, |_| Reply::GOOD);
        assert_eq!(states(&simulation), expected);
        assert!(simulation.dispatched[3] > before[3]);
        assert_eq!(simulation.dispatched.iter().sum::<u64>() - simulation.dispatched[3], {
            before.iter().sum::<u64>() - before[3]
        });
    }

    let back = simulation.names[0].clone();
    simulation.health.on_report(simulation.now, &back, EndpointReport::default());
    simulation.run(20, |_| Reply::GOOD);
    assert_eq!(simulation.state(0), HealthState::SlowStart);
    assert_eq!(simulation.state(3), HealthState::Draining);

    let mut configured = configured_endpoints(6);
    configured[0].leaving = true;
    configured[1].leaving = true;
    simulation.health.on_config(simulation.now, &configured, 3);
    assert_eq!(simulation.state(0), HealthState::Draining);
    assert_eq!(simulation.state(1), HealthState::Draining);
    assert_eq!(simulation.state(2), HealthState::Healthy);
    assert_eq!(simulation.ejections(), []);
}

/// An endpoint reports that it is draining and stays, because the report was wrong or
/// the stop was cancelled. It must be readmitted.
#[test]
fn a_withdrawn_or_unrepeated_drain_report_expires() {
    let mut simulation = warm_simulation(6, 3, 0.9);
    let name = Name::from("e1");
    let leaving = EndpointReport { in_flight: None, draining: true, ..EndpointReport::default() };
    simulation.health.on_report(simulation.now, &name, leaving);
    simulation.run(8_000, |_| Reply::GOOD);
    simulation.health.on_report(simulation.now, &name, EndpointReport::default());
    assert_eq!(simulation.state(1), HealthState::Draining);
    simulation.run(20_000, |_| Reply::GOOD);
    assert_eq!(simulation.state(1), HealthState::Healthy);

    simulation.health.on_report(simulation.now, &name, leaving);
    simulation.run(90_000, |_| Reply::GOOD);
    assert_eq!(simulation.state(1), HealthState::Healthy);
    assert_eq!(simulation.ejections(), []);
}

/// An endpoint reports loads that are far off. The reports must have no effect.
#[test]
fn wrong_load_reports_change_nothing() {
    let mut control = warm_simulation(6, 3, 0.9);
    let mut misreporting = warm_simulation(6, 3, 0.9);
    let name = Name::from("e1");
    for round in 0..50 {
        let report = EndpointReport {
            in_flight: Some(round % 2 * 1_000_000),
            draining: false,
            ..EndpointReport::default()
        };
        assert_eq!(misreporting.health.on_report(misreporting.now, &name, report), []);
        control.run(100, fail(2));
        misreporting.run(100, fail(2));
    }
    assert_eq!(control.log, misreporting.log);
    assert_eq!(control.dispatched, misreporting.dispatched);
}

/// A VM takes over a shard from one that had ejected an endpoint. The ejection must
/// apply for a few seconds only, as it may be outdated.
#[test]
fn an_inherited_ejection_has_a_bounded_lifetime() {
    let mut old = warm_simulation(6, 3, 0.9);
    old.run(1_000, fail(2));
    let handed_over = old.health.hand_over(old.now);
    assert_eq!(handed_over[2].state, HealthState::Ejected);
    let usual_us = handed_over[1].usual_latency_us.unwrap();
    assert!((10_000..40_000).contains(&usual_us), "{usual_us}");

    let mut new = Simulation::with_seed(6, 3, 0.9, 8);
    new.health.on_hand_over(new.now, &handed_over);
    assert_eq!(new.state(2), HealthState::Ejected);
    new.run(30_000, |_| Reply::GOOD);
    assert_eq!(new.state(2), HealthState::Healthy);
}

/// A predecessor with a broken network hands over that all endpoints are ejected. The
/// floor must apply to inherited ejections as well.
#[test]
fn a_hand_over_keeps_the_floor() {
    let from: Vec<HealthHandOver> = configured_endpoints(6)
        .into_iter()
        .map(|ConfiguredEndpoint { name, .. }| HealthHandOver {
            endpoint: name,
            state: HealthState::Ejected,
            ejections: 3,
            usual_latency_us: None,
        })
        .collect();
    let settings = HealthSettings::default();
    let mut health = Health::new(Time::ZERO, settings, &configured_endpoints(6), 4, 1);
    health.on_hand_over(Time::ZERO, &from);
    let ejected =
        from.iter().filter(|old| health.state(&old.endpoint) == HealthState::Ejected).count();
    assert_eq!(ejected, 2);
    assert!(health.at_floor());
}

/// Three of six endpoints fail and the floor is four. The two most severe are ejected;
/// the third stays in rotation. When a healthy endpoint leaves, the less severe of the
/// two must be readmitted at once.
#[test]
fn at_the_floor_the_least_severe_stay_in_rotation() {
    let mut simulation = warm_simulation(6, 4, 0.9);
    let rate = |endpoint| match endpoint {
        0 => 1.0,
        1 => 0.8,
        2 => 0.25,
        _ => 0.0,
    };
    let faulty = |sent: health_simulation::SentAttempt| {
        let fails = sent.kind != AttemptKind::Probe && sent.random < rate(sent.endpoint);
        Reply::Answer { status: if fails { 500 } else { 200 }, factor: 1.0 }
    };
    simulation.run(4_000, faulty);
    assert_eq!(simulation.health.last_ejection_reason("e0"), Some(EjectReason::Failures));
    let states: Vec<HealthState> = (0..3).map(|endpoint| simulation.state(endpoint)).collect();
    assert_eq!(states, [HealthState::Ejected, HealthState::Ejected, HealthState::HeldByFloor]);
    assert!(simulation.health.at_floor());

    let mut all = configured_endpoints(6);
    all[5].leaving = true;
    let actions = simulation.health.on_config(simulation.now, &all, 4);
    let name = Name::from("e1");
    assert!(actions.contains(&HealthAction::Readmitted { endpoint: name }), "{actions:?}");
    assert_eq!(simulation.state(1), HealthState::HeldByFloor);
}

#[test]
fn actions_are_formatted_as_key_value_pairs() {
    let endpoint = Name::from("booking-2");
    let reason = EjectReason::Slow;
    let ejected = HealthAction::Ejected { endpoint: endpoint.clone(), reason };
    assert_eq!(ejected.to_string(), "action=ejected endpoint=booking-2 reason=slow");
    let started = HealthAction::TrialStarted { endpoint };
    assert_eq!(started.to_string(), "action=trial_started endpoint=booking-2");
}
