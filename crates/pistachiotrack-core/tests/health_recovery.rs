//! The ways back into rotation, and what successors are told.

mod health_world;

use health_world::{Reply, World, candidates};
use pistachiotrack_core::{
    health::{
        AttemptKind, ConfiguredEndpoint, EjectReason, Health, HealthAction, HealthHandOver,
        HealthSettings, HealthState,
    },
    name::Name,
    request::Report,
    time::Time,
};

fn warm_world(count: usize, floor: u32, sensitivity: f64) -> World {
    let mut world = World::new(count, floor, sensitivity);
    world.run(5_000, |_| Reply::GOOD);
    assert!(world.ejections().is_empty());
    world
}

fn fail(endpoint: usize) -> impl Fn(health_world::Sent) -> Reply {
    move |sent| match sent.kind {
        AttemptKind::Probe => Reply::GOOD,
        _ if sent.endpoint == endpoint => Reply::Answer { status: 500, factor: 1.0 },
        _ => Reply::GOOD,
    }
}

/// An ejected endpoint passes its health checks but still fails real work. It
/// must not come back before real work has succeeded several times.
#[test]
fn a_passed_health_check_does_not_readmit() {
    let mut world = warm_world(6, 3, 0.9);
    world.run(60_000, fail(2));
    let readmitted =
        world.log.iter().any(|(_, action)| matches!(action, HealthAction::Readmitted { .. }));
    assert!(!readmitted);
    assert!(matches!(world.state(2), HealthState::Ejected | HealthState::Trial));
    assert!(world.dispatched[2] < world.dispatched[1] / 10);
}

/// An endpoint recovers. It is tried with single requests, then gets a growing
/// share, then all of its work.
#[test]
fn a_recovered_endpoint_comes_back_slowly() {
    let mut world = warm_world(6, 3, 0.9);
    world.run(1_000, fail(2));
    assert_eq!(world.state(2), HealthState::Ejected);
    let mut seen = vec![HealthState::Ejected];
    let mut last_share = 0.0;
    for _ in 0..3_000 {
        world.run(10, |_| Reply::GOOD);
        let state = world.state(2);
        if seen.last() != Some(&state) {
            seen.push(state);
        }
        let share = world.health.share(world.now, "e2");
        assert!(share >= last_share);
        last_share = share;
    }
    let expected =
        [HealthState::Ejected, HealthState::Trial, HealthState::SlowStart, HealthState::Healthy];
    assert_eq!(seen, expected);
    assert_eq!(last_share, 1.0);
}

/// A service has no idempotent work, so nobody may try an ejected endpoint. It
/// comes back after a while all the same, slowly, or capacity would be lost for
/// good.
#[test]
fn an_endpoint_without_idempotent_work_comes_back_late() {
    let mut world = warm_world(6, 3, 0.9);
    world.trials_offered = false;
    world.run(1_000, fail(2));
    world.run(20_000, |_| Reply::GOOD);
    assert_eq!(world.state(2), HealthState::Trial);
    world.run(60_000, |_| Reply::GOOD);
    assert_eq!(world.state(2), HealthState::Healthy);
    assert!(world.probes[2] > 0);
}

/// An endpoint is sick for seconds, well for seconds, and so on. Each time it
/// comes back callers get errors, so it must come back less and less often; and
/// once it is well for long, an ejection costs it little again.
#[test]
fn backoff_grows_while_flapping_and_decays_after() {
    let mut world = warm_world(6, 3, 0.9);
    world.run(120_000, |sent| {
        let is_sick = sent.endpoint == 2 && sent.now_ms / 2_000 % 3 == 0;
        if is_sick { Reply::Answer { status: 500, factor: 1.0 } } else { Reply::GOOD }
    });
    let times: Vec<u64> = world.ejections().iter().map(|ejection| ejection.0).collect();
    assert!(times.len() >= 3, "{times:?}");
    assert!(times.len() <= 7, "{times:?}");
    let first_gap = times[1] - times[0];
    let last_gap = times[times.len() - 1] - times[times.len() - 2];
    assert!(last_gap >= 2 * first_gap, "{times:?}");
    assert_eq!(world.ejected_endpoints(), [2]);

    let flapping = ejections_of(&world, 2);
    world.run(700_000, |_| Reply::GOOD);
    assert_eq!(ejections_of(&world, 2), 0, "was {flapping}");
}

fn ejections_of(world: &World, endpoint: usize) -> u32 {
    let handed_over = world.health.hand_over(world.now);
    handed_over[endpoint].ejections
}

/// A new endpoint has empty caches: its first requests take five times as long.
/// It must not be ejected for that, and must not get its full share at once.
#[test]
fn a_cold_start_is_no_fault() {
    let mut world = warm_world(6, 3, 0.9);
    let mut all = candidates(6);
    all[5].leaving = true;
    world.health.on_config(world.now, &all, 3);
    world.health.on_config(world.now, &all[..5], 3);
    all[5].leaving = false;
    world.health.on_config(world.now, &all, 3);
    assert_eq!(world.state(5), HealthState::SlowStart);
    assert!(world.health.share(world.now, "e5") < 0.2);
    let mut cold_requests = 0;
    world.run(30_000, |sent| {
        if sent.endpoint != 5 || cold_requests == 15 {
            return Reply::GOOD;
        }
        cold_requests += 1;
        Reply::Answer { status: 200, factor: 5.0 }
    });
    assert_eq!(world.ejections(), []);
    assert_eq!(world.state(5), HealthState::Healthy);
}

/// An endpoint says that it is leaving: no new work from that moment. Another
/// VM replaces it later under the same name.
#[test]
fn a_draining_endpoint_gets_no_new_work() {
    let mut world = warm_world(6, 3, 0.9);
    let name = Name::from("e1");
    let report = Report { in_flight: None, draining: true, ..Report::default() };
    world.health.on_report(world.now, &name, report);
    assert_eq!(world.state(1), HealthState::Draining);
    let before = world.dispatched[1];
    world.run(5_000, |_| Reply::GOOD);
    assert_eq!(world.dispatched[1], before);
}

/// A rollout tool marks all endpoints of a service as draining within a second,
/// and none of them goes. Callers would get nothing for up to a minute. The one
/// whose word is the oldest goes on, though each answer repeats it, until another
/// one takes its word back; what the configuration says holds even then.
#[test]
fn the_last_endpoints_serve_although_all_say_that_they_leave() {
    let mut world = warm_world(6, 3, 0.9);
    let leaving = Report { in_flight: None, draining: true, ..Report::default() };
    for endpoint in [3, 1, 0, 2, 5, 4] {
        let name = world.names[endpoint].clone();
        world.health.on_report(world.now, &name, leaving);
        world.run(100, |_| Reply::GOOD);
    }
    let standings =
        |world: &World| (0..6).map(|endpoint| world.state(endpoint)).collect::<Vec<_>>();
    let mut expected = vec![HealthState::Draining; 6];
    expected[3] = HealthState::Healthy;
    assert_eq!(standings(&world), expected);
    let name = world.names[3].clone();
    for _ in 0..30 {
        let before = world.dispatched.clone();
        world.health.on_report(world.now, &name, leaving);
        world.run(1_000, |_| Reply::GOOD);
        assert_eq!(standings(&world), expected);
        assert!(world.dispatched[3] > before[3]);
        assert_eq!(world.dispatched.iter().sum::<u64>() - world.dispatched[3], {
            before.iter().sum::<u64>() - before[3]
        });
    }

    let back = world.names[0].clone();
    world.health.on_report(world.now, &back, Report::default());
    world.run(20, |_| Reply::GOOD);
    assert_eq!(world.state(0), HealthState::SlowStart);
    assert_eq!(world.state(3), HealthState::Draining);

    let mut configured = candidates(6);
    configured[0].leaving = true;
    configured[1].leaving = true;
    world.health.on_config(world.now, &configured, 3);
    assert_eq!(world.state(0), HealthState::Draining);
    assert_eq!(world.state(1), HealthState::Draining);
    assert_eq!(world.state(2), HealthState::Healthy);
    assert_eq!(world.ejections(), []);
}

/// An endpoint says that it is leaving and stays. Its report was wrong, or the
/// stop was called off; the capacity must come back.
#[test]
fn a_drain_that_is_taken_back_or_never_confirmed_ends() {
    let mut world = warm_world(6, 3, 0.9);
    let name = Name::from("e1");
    let leaving = Report { in_flight: None, draining: true, ..Report::default() };
    world.health.on_report(world.now, &name, leaving);
    world.run(8_000, |_| Reply::GOOD);
    world.health.on_report(world.now, &name, Report::default());
    assert_eq!(world.state(1), HealthState::Draining);
    world.run(20_000, |_| Reply::GOOD);
    assert_eq!(world.state(1), HealthState::Healthy);

    world.health.on_report(world.now, &name, leaving);
    world.run(90_000, |_| Reply::GOOD);
    assert_eq!(world.state(1), HealthState::Healthy);
    assert_eq!(world.ejections(), []);
}

/// An endpoint reports loads that are wrong by far. The reports change nothing.
#[test]
fn lying_load_reports_change_nothing() {
    let mut honest = warm_world(6, 3, 0.9);
    let mut lying = warm_world(6, 3, 0.9);
    let name = Name::from("e1");
    for round in 0..50 {
        let report =
            Report { in_flight: Some(round % 2 * 1_000_000), draining: false, ..Report::default() };
        assert_eq!(lying.health.on_report(lying.now, &name, report), []);
        honest.run(100, fail(2));
        lying.run(100, fail(2));
    }
    assert_eq!(honest.log, lying.log);
    assert_eq!(honest.dispatched, lying.dispatched);
}

/// A VM takes over a shard from one that had ejected an endpoint. It starts
/// from that, but not for longer than a few seconds: the facts are old.
#[test]
fn a_successor_trusts_an_ejection_for_a_bounded_time() {
    let mut old = warm_world(6, 3, 0.9);
    old.run(1_000, fail(2));
    let handed_over = old.health.hand_over(old.now);
    assert_eq!(handed_over[2].state, HealthState::Ejected);
    let usual_us = handed_over[1].usual_latency_us.unwrap();
    assert!((10_000..40_000).contains(&usual_us), "{usual_us}");

    let mut new = World::with_seed(6, 3, 0.9, 8);
    new.health.on_hand_over(new.now, &handed_over);
    assert_eq!(new.state(2), HealthState::Ejected);
    new.run(30_000, |_| Reply::GOOD);
    assert_eq!(new.state(2), HealthState::Healthy);
}

/// A predecessor hands over that all endpoints are ejected, which its own
/// broken network made it believe. The floor holds for that as well.
#[test]
fn a_hand_over_keeps_the_floor() {
    let from: Vec<HealthHandOver> = candidates(6)
        .into_iter()
        .map(|ConfiguredEndpoint { name, .. }| HealthHandOver {
            endpoint: name,
            state: HealthState::Ejected,
            ejections: 3,
            usual_latency_us: None,
        })
        .collect();
    let settings = HealthSettings::default();
    let mut health = Health::new(Time::ZERO, settings, &candidates(6), 4, 1);
    health.on_hand_over(Time::ZERO, &from);
    let ejected =
        from.iter().filter(|old| health.state(&old.endpoint) == HealthState::Ejected).count();
    assert_eq!(ejected, 2);
    assert!(health.at_floor());
}

/// Three of six endpoints fail and the floor is four. The two sickest go; the
/// least sick, though failing, stays in. When a well one leaves, the less sick
/// of the two comes back at once.
#[test]
fn at_the_floor_the_least_sick_stay_in() {
    let mut world = warm_world(6, 4, 0.9);
    let rate = |endpoint| match endpoint {
        0 => 1.0,
        1 => 0.8,
        2 => 0.25,
        _ => 0.0,
    };
    let sick = |sent: health_world::Sent| {
        let fails = sent.kind != AttemptKind::Probe && sent.dice < rate(sent.endpoint);
        Reply::Answer { status: if fails { 500 } else { 200 }, factor: 1.0 }
    };
    world.run(4_000, sick);
    assert_eq!(world.health.last_ejection_reason("e0"), Some(EjectReason::Failures));
    let standings: Vec<HealthState> = (0..3).map(|endpoint| world.state(endpoint)).collect();
    assert_eq!(standings, [HealthState::Ejected, HealthState::Ejected, HealthState::HeldByFloor]);
    assert!(world.health.at_floor());

    let mut all = candidates(6);
    all[5].leaving = true;
    let actions = world.health.on_config(world.now, &all, 4);
    let name = Name::from("e1");
    assert!(actions.contains(&HealthAction::Readmitted { endpoint: name }), "{actions:?}");
    assert_eq!(world.state(1), HealthState::HeldByFloor);
}

#[test]
fn actions_are_written_as_pairs() {
    let endpoint = Name::from("booking-2");
    let reason = EjectReason::Slow;
    let ejected = HealthAction::Ejected { endpoint: endpoint.clone(), reason };
    assert_eq!(ejected.to_string(), "action=ejected endpoint=booking-2 reason=slow");
    let started = HealthAction::TrialStarted { endpoint };
    assert_eq!(started.to_string(), "action=trial_started endpoint=booking-2");
}
