//! Stories of an owner whose own path to an endpoint is broken.

mod shard_support;

use std::time::Duration;

use pistachiotrack_core::{
    health::PathAnswer,
    name::Name,
    refusal::{Execution, Reason},
    request::{AttemptId, BodyEnd, Outcome, RequestId},
};
use shard_support::{World, answered, config};

const SERVICE_MS: u64 = 25;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn endpoint(world: &World, attempt: AttemptId) -> Name {
    world.attempts[&attempt].dispatch.endpoint.clone()
}

fn via(world: &World, attempt: AttemptId) -> Option<Name> {
    world.attempts[&attempt].dispatch.via.clone()
}

fn state(world: &World, endpoint: &str) -> Name {
    let status = world.shard.endpoints(world.now);
    status.into_iter().find(|status| status.endpoint == name(endpoint)).unwrap().state
}

fn is_cut(world: &World, attempt: AttemptId, cut: &[&str]) -> bool {
    via(world, attempt).is_none() && cut.contains(&&*endpoint(world, attempt))
}

/// Serves one request while the owner's path to some endpoints is cut.
fn serve(world: &mut World, cut: &[&str]) {
    let id = world.send(5_000, |_| {});
    while let Some(attempt) = in_flight(world, id) {
        if is_cut(world, attempt, cut) {
            world.outcome(attempt, Outcome::ConnectFailed);
        } else {
            world.now += Duration::from_millis(SERVICE_MS);
            world.answer(attempt);
        }
    }
    world.tick(10);
    end_probes(world, cut);
}

fn end_probes(world: &mut World, cut: &[&str]) {
    for _ in 0..world.probes.len() {
        let is_cut = cut.contains(&&*world.probes[0].1);
        world.probe_outcome(if is_cut { Outcome::ConnectFailed } else { answered(200) });
    }
}

fn in_flight(world: &World, id: RequestId) -> Option<AttemptId> {
    world.in_flight().into_iter().find(|attempt| world.attempts_of(id).contains(attempt))
}

/// Cuts the owner's path to `e0` and serves until it asks about it.
fn cut_until_asked(world: &mut World) {
    for _ in 0..300 {
        serve(world, &["e0"]);
        if !world.path_checks.is_empty() {
            return;
        }
    }
    panic!("the shard never asks about the path");
}

fn give_witnesses(world: &mut World, endpoint: &str, witnesses: &[&str]) {
    world.path_checks.retain(|asked| **asked != *endpoint);
    let witnesses = witnesses.iter().map(|vm| name(vm)).collect();
    let actions = world.shard.on_relays(world.now, &name(endpoint), witnesses);
    world.check(actions);
}

/// A world whose owner reaches `e0` only through the witnesses.
fn blind_world(endpoints: u32, witnesses: &[&str]) -> World {
    let mut world = World::new(config(endpoints, 2, &[("a", 1)]));
    for _ in 0..20 {
        serve(&mut world, &[]);
    }
    cut_until_asked(&mut world);
    give_witnesses(&mut world, "e0", witnesses);
    world
}

/// Sends requests until one goes to `e0`, and answers the others.
fn send_to_e0(world: &mut World, idempotent: bool) -> RequestId {
    for _ in 0..200 {
        let id = world.send(5_000, |request| request.idempotent = idempotent);
        let attempt = world.attempt(id);
        if endpoint(world, attempt) == name("e0") {
            return id;
        }
        world.now += Duration::from_millis(SERVICE_MS);
        world.answer(attempt);
        world.tick(10);
        end_probes(world, &["e0"]);
    }
    panic!("no request goes to e0");
}

/// Sends bookings until both slots of `e0` are taken, answers the other ones
/// and returns the attempts at `e0`.
fn fill_e0(world: &mut World) -> Vec<AttemptId> {
    for _ in 0..2 * world.config.services[0].endpoints.len() {
        world.send(5_000, |request| request.idempotent = false);
    }
    world.now += Duration::from_millis(SERVICE_MS);
    let (held, others): (Vec<_>, Vec<_>) =
        world.in_flight().into_iter().partition(|attempt| endpoint(world, *attempt) == name("e0"));
    others.into_iter().for_each(|attempt| world.answer(attempt));
    assert_eq!(held.len(), 2);
    held
}

#[track_caller]
fn check(world: &World) {
    assert!(world.violations.is_empty(), "{:#?}", world.violations);
}

/// Keeps all slots busy for 10 s with `cut` cut off, and returns the answers.
///
/// `with_witness` says whether work may go through another VM.
fn answers_in_10_s(cut: &[&str], with_witness: bool) -> usize {
    let mut config = config(6, 2, &[("a", 1)]);
    config.services[0].queue_limit = 64;
    config.services[0].floor = 3;
    let mut world = World::new(config);
    let mut answers = 0;
    let end = world.now + Duration::from_secs(10);
    let mut due: Vec<(u64, AttemptId)> = Vec::new();
    while world.now < end {
        world.tick(5);
        let now_ms = world.now.as_millis();
        let (ready, rest): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= now_ms);
        due = rest;
        for (_, attempt) in ready {
            answers += 1;
            world.answer(attempt);
        }
        for _ in 0..16_usize.saturating_sub(due.len()) {
            world.send(400, |_| {});
        }
        loop {
            let new: Vec<AttemptId> = world
                .in_flight()
                .into_iter()
                .filter(|attempt| due.iter().all(|(_, known)| known != attempt))
                .collect();
            if new.is_empty() {
                break;
            }
            for attempt in new {
                if is_cut(&world, attempt, cut) {
                    world.outcome(attempt, Outcome::ConnectFailed);
                } else {
                    due.push((now_ms + SERVICE_MS, attempt));
                }
            }
        }
        end_probes(&mut world, cut);
        for asked in std::mem::take(&mut world.path_checks) {
            if with_witness {
                give_witnesses(&mut world, &asked, &["w1", "w2"]);
            } else {
                let answer = PathAnswer::ReachedByOthers;
                let actions = world.shard.on_path_answer(world.now, &asked, answer);
                world.check(actions);
            }
        }
        let known: Vec<_> = world.requests.keys().copied().collect();
        for id in known {
            if world.requests[&id].finals.is_empty() {
                continue;
            }
            let attempts = world.attempts_of(id);
            if attempts.iter().all(|attempt| !world.in_flight().contains(attempt)) {
                world.requests.remove(&id);
                for attempt in attempts {
                    world.attempts.remove(&attempt);
                }
            }
        }
    }
    check(&world);
    answers
}

// A third of the endpoints is in a data centre that only the owner can't reach.
// Clerks wait although all endpoints are well: a third of the slots stays idle.
#[test]
fn capacity_is_kept_while_a_third_of_the_endpoints_is_cut_from_the_owner() {
    let whole = answers_in_10_s(&[], true);
    let without = answers_in_10_s(&["e0", "e1"], false);
    let with = answers_in_10_s(&["e0", "e1"], true);
    println!("answers in 10 s: no cut {whole}, cut {without}, cut and witness {with}");
    assert!(without * 100 < whole * 75, "the cut costs nothing: {without} of {whole}");
    assert!(with * 100 > whole * 97, "{with} of {whole}");
}

// The floor asks for all endpoints but one, and two of them are cut from the
// owner alone. Both work on, so that the floor is kept by real capacity.
#[test]
fn endpoints_behind_a_witness_count_for_the_floor_and_work() {
    let mut config = config(4, 2, &[("a", 1)]);
    config.services[0].floor = 3;
    let mut world = World::new(config);
    let cut = ["e0", "e1"];
    for _ in 0..400 {
        serve(&mut world, &cut);
        for asked in std::mem::take(&mut world.path_checks) {
            give_witnesses(&mut world, &asked, &["w1"]);
        }
    }
    for blind in cut {
        let worked = world.attempts.values().filter(|model| {
            model.dispatch.endpoint == name(blind) && model.dispatch.via == Some(name("w1"))
        });
        assert!(worked.count() > 20, "{blind}");
        assert_eq!(&*state(&world, blind), "healthy");
    }
    check(&world);
}

// A booking is on its way through the witness when the leg to it breaks. The
// endpoint may have run it: it is neither sent again nor called not run.
#[test]
fn a_booking_is_unknown_when_the_leg_to_the_witness_breaks() {
    let mut world = blind_world(3, &["w1", "w2"]);
    let id = send_to_e0(&mut world, false);
    let attempt = world.attempt(id);
    assert_eq!(via(&world, attempt), Some(name("w1")));
    world.outcome(attempt, Outcome::WitnessFailed { sent: true });
    assert_eq!(world.refusal(id), Some((Execution::Unknown, Reason::AnswerLost)));
    assert_eq!(world.attempts_of(id).len(), 1);
    check(&world);
}

// The witness can't be connected to, so nothing of the booking was sent. It
// runs elsewhere, once, and the caller notices nothing.
#[test]
fn a_booking_runs_once_elsewhere_when_the_witness_got_nothing_of_it() {
    let mut world = blind_world(3, &["w1", "w2"]);
    let id = send_to_e0(&mut world, false);
    world.outcome(world.attempt(id), Outcome::WitnessFailed { sent: false });
    assert_eq!(world.attempts_of(id).len(), 2);
    world.answer(world.attempt(id));
    assert!(world.is_delivered(id));
    check(&world);
}

// The cut heals. A health check gets through and the next requests go directly
// again; until then the checks come ever more rarely.
#[test]
fn a_healed_path_is_used_again_and_a_broken_one_tried_ever_more_rarely() {
    let mut world = blind_world(3, &["w1"]);
    let mut tries = Vec::new();
    for _ in 0..4_000 {
        world.tick(10);
        if !world.probes.is_empty() {
            tries.push(world.now);
            world.probe_outcome(Outcome::ConnectFailed);
        }
    }
    let gaps: Vec<u64> =
        tries.windows(2).map(|pair| pair[1].since(pair[0]).as_millis() as u64).collect();
    assert!(gaps.len() >= 4 && gaps[..4].windows(2).all(|pair| pair[1] > pair[0]), "{gaps:?}");
    assert!(tries.len() <= 7, "{tries:?}");
    let id = send_to_e0(&mut world, true);
    assert_eq!(via(&world, world.attempt(id)), Some(name("w1")));
    world.answer(world.attempt(id));

    while world.probes.is_empty() {
        world.tick(10);
    }
    world.probe_outcome(answered(200));
    let id = send_to_e0(&mut world, true);
    assert_eq!(via(&world, world.attempt(id)), None);
    world.answer(world.attempt(id));
    check(&world);
}

// The witness's VM is replaced while the cut lasts. The next one takes its
// place; when that fails too, others are asked for, and the endpoint is ejected
// only because nobody reaches it any more.
#[test]
fn a_dead_witness_is_replaced_and_the_endpoint_not_blamed() {
    let mut world = blind_world(3, &["w1", "w2"]);
    for (witness, sent) in [("w1", true), ("w2", false)] {
        let id = send_to_e0(&mut world, true);
        assert_eq!(via(&world, world.attempt(id)), Some(name(witness)));
        assert!(world.path_checks.is_empty());
        world.outcome(world.attempt(id), Outcome::WitnessFailed { sent });
        world.answer(world.attempt(id));
        assert!(world.is_delivered(id));
    }
    assert_ne!(&*state(&world, "e0"), "ejected");
    assert_eq!(world.path_checks, [name("e0")]);
    give_witnesses(&mut world, "e0", &["w3"]);
    let id = send_to_e0(&mut world, true);
    assert_eq!(via(&world, world.attempt(id)), Some(name("w3")));
    world.outcome(world.attempt(id), Outcome::WitnessFailed { sent: false });
    world.answer(world.attempt(id));

    let nobody = PathAnswer::UnreachableByOthers;
    let actions = world.shard.on_path_answer(world.now, &name("e0"), nobody);
    world.check(actions);
    for _ in 0..100 {
        serve(&mut world, &["e0"]);
    }
    assert_eq!(&*state(&world, "e0"), "ejected");
    check(&world);
}

// The witness's process is paused with requests in hand. They grow old, which
// looks like a hung endpoint; the endpoint is well and must not be ejected.
#[test]
fn a_paused_witness_is_not_held_against_the_endpoint() {
    let mut world = blind_world(3, &["w1", "w2"]);
    let held = fill_e0(&mut world);
    assert!(held.iter().all(|attempt| via(&world, *attempt).is_some()));
    for _ in 0..150 {
        serve(&mut world, &["e0"]);
    }
    assert_eq!(&*state(&world, "e0"), "healthy");
    for attempt in held {
        world.outcome(attempt, Outcome::WitnessFailed { sent: true });
    }
    assert_eq!(&*state(&world, "e0"), "healthy");
    check(&world);
}

// An endpoint behind a witness begins to fail grayly. The witness's word counts
// as the endpoint's, and it is ejected like any other.
#[test]
fn an_endpoint_that_fails_behind_its_witness_is_ejected() {
    let mut world = blind_world(4, &["w1"]);
    for _ in 0..200 {
        let id = world.send(5_000, |_| {});
        while let Some(attempt) = in_flight(&world, id) {
            if endpoint(&world, attempt) == name("e0") {
                world.outcome(attempt, answered(500));
                world.body_end(attempt, BodyEnd::Complete);
                continue;
            }
            world.now += Duration::from_millis(SERVICE_MS);
            world.answer(attempt);
        }
        world.tick(10);
        end_probes(&mut world, &["e0"]);
        if &*state(&world, "e0") == "ejected" {
            return check(&world);
        }
    }
    panic!("e0 is never ejected");
}

// The path swallows all packets: the endpoint looks hung and is ejected as slow
// without a question. The connections that never opened end after that; this asks
// the question, and the endpoint is tried and comes back through the witness.
#[test]
fn an_endpoint_behind_a_silent_path_comes_back_through_a_witness() {
    let mut world = World::new(config(4, 2, &[("a", 1)]));
    for _ in 0..40 {
        serve(&mut world, &[]);
    }
    let silent = fill_e0(&mut world);
    for _ in 0..100 {
        let id = world.send(5_000, |request| request.idempotent = false);
        world.now += Duration::from_millis(SERVICE_MS);
        world.answer(world.attempt(id));
        world.tick(10);
        if &*state(&world, "e0") == "ejected" {
            break;
        }
    }
    assert_eq!(&*state(&world, "e0"), "ejected");
    for attempt in silent {
        world.outcome(attempt, Outcome::ConnectFailed);
    }
    assert_eq!(world.path_checks, [name("e0")]);
    give_witnesses(&mut world, "e0", &["w1"]);
    for _ in 0..500 {
        serve(&mut world, &["e0"]);
    }
    assert_eq!(&*state(&world, "e0"), "healthy");
    check(&world);
}
