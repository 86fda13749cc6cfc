//! Owner whose own network path to an endpoint is broken.

mod shard_support;

use std::time::Duration;

use pistachiotrack_core::{
    health::PathAnswer,
    name::Name,
    refusal::{Execution, Reason},
    request::{AttemptId, BodyEnd, Outcome, RequestId},
};
use shard_support::{Harness, answered, config};

const SERVICE_MS: u64 = 25;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn endpoint(harness: &Harness, attempt: AttemptId) -> Name {
    harness.attempts[&attempt].dispatch.endpoint.clone()
}

fn relay_of(harness: &Harness, attempt: AttemptId) -> Option<Name> {
    harness.attempts[&attempt].dispatch.relay.clone()
}

fn state(harness: &Harness, endpoint: &str) -> Name {
    let status = harness.shard.endpoints(harness.now);
    status.into_iter().find(|status| status.endpoint == name(endpoint)).unwrap().state
}

fn is_unreachable(harness: &Harness, attempt: AttemptId, cut: &[&str]) -> bool {
    relay_of(harness, attempt).is_none() && cut.contains(&&*endpoint(harness, attempt))
}

/// Serves one request while the owner's path to some endpoints is broken.
fn serve(harness: &mut Harness, cut: &[&str]) {
    let id = harness.send(5_000, |_| {});
    while let Some(attempt) = in_flight(harness, id) {
        if is_unreachable(harness, attempt, cut) {
            harness.outcome(attempt, Outcome::ConnectFailed);
        } else {
            harness.now += Duration::from_millis(SERVICE_MS);
            harness.answer(attempt);
        }
    }
    harness.tick(10);
    end_probes(harness, cut);
}

fn end_probes(harness: &mut Harness, cut: &[&str]) {
    for _ in 0..harness.probes.len() {
        let is_unreachable = cut.contains(&&*harness.probes[0].1);
        harness.probe_outcome(if is_unreachable { Outcome::ConnectFailed } else { answered(200) });
    }
}

fn in_flight(harness: &Harness, id: RequestId) -> Option<AttemptId> {
    harness.in_flight().into_iter().find(|attempt| harness.attempts_of(id).contains(attempt))
}

/// Breaks the owner's path to `e0` and serves requests until the shard has the path checked.
fn block_path_until_checked(harness: &mut Harness) {
    for _ in 0..300 {
        serve(harness, &["e0"]);
        if !harness.path_checks.is_empty() {
            return;
        }
    }
    panic!("the shard never checks the path");
}

fn set_relays(harness: &mut Harness, endpoint: &str, relays: &[&str]) {
    harness.path_checks.retain(|checked| **checked != *endpoint);
    let relays = relays.iter().map(|vm| name(vm)).collect();
    let actions = harness.shard.on_relays(harness.now, &name(endpoint), relays);
    harness.check(actions);
}

/// Returns a harness whose owner reaches `e0` only through the relays.
fn relayed_harness(endpoints: u32, relays: &[&str]) -> Harness {
    let mut harness = Harness::new(config(endpoints, 2, &[("a", 1)]));
    for _ in 0..20 {
        serve(&mut harness, &[]);
    }
    block_path_until_checked(&mut harness);
    set_relays(&mut harness, "e0", relays);
    harness
}

/// Sends requests until one goes to `e0`, and answers the others.
fn send_to_e0(harness: &mut Harness, idempotent: bool) -> RequestId {
    for _ in 0..200 {
        let id = harness.send(5_000, |request| request.idempotent = idempotent);
        let attempt = harness.attempt(id);
        if endpoint(harness, attempt) == name("e0") {
            return id;
        }
        harness.now += Duration::from_millis(SERVICE_MS);
        harness.answer(attempt);
        harness.tick(10);
        end_probes(harness, &["e0"]);
    }
    panic!("no request goes to e0");
}

/// Sends bookings until both slots of `e0` are occupied, answers the other ones and returns the
/// attempts at `e0`.
fn fill_e0(harness: &mut Harness) -> Vec<AttemptId> {
    for _ in 0..2 * harness.config.services[0].endpoints.len() {
        harness.send(5_000, |request| request.idempotent = false);
    }
    harness.now += Duration::from_millis(SERVICE_MS);
    let (held, others): (Vec<_>, Vec<_>) = harness
        .in_flight()
        .into_iter()
        .partition(|attempt| endpoint(harness, *attempt) == name("e0"));
    others.into_iter().for_each(|attempt| harness.answer(attempt));
    assert_eq!(held.len(), 2);
    held
}

#[track_caller]
fn check(harness: &Harness) {
    assert!(harness.violations.is_empty(), "{:#?}", harness.violations);
}

/// Keeps all slots busy for 10 s while the endpoints in `cut` can't be reached, and returns the
/// number of answers.
///
/// `with_relay` is whether requests may go through another VM.
fn answers_in_10_s(cut: &[&str], with_relay: bool) -> usize {
    let mut config = config(6, 2, &[("a", 1)]);
    config.services[0].queue_limit = 64;
    config.services[0].floor = 3;
    let mut harness = Harness::new(config);
    let mut answers = 0;
    let end = harness.now + Duration::from_secs(10);
    let mut due: Vec<(u64, AttemptId)> = Vec::new();
    while harness.now < end {
        harness.tick(5);
        let now_ms = harness.now.as_millis();
        let (ready, rest): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= now_ms);
        due = rest;
        for (_, attempt) in ready {
            answers += 1;
            harness.answer(attempt);
        }
        for _ in 0..16_usize.saturating_sub(due.len()) {
            harness.send(400, |_| {});
        }
        loop {
            let new: Vec<AttemptId> = harness
                .in_flight()
                .into_iter()
                .filter(|attempt| due.iter().all(|(_, known)| known != attempt))
                .collect();
            if new.is_empty() {
                break;
            }
            for attempt in new {
                if is_unreachable(&harness, attempt, cut) {
                    harness.outcome(attempt, Outcome::ConnectFailed);
                } else {
                    due.push((now_ms + SERVICE_MS, attempt));
                }
            }
        }
        end_probes(&mut harness, cut);
        for checked in std::mem::take(&mut harness.path_checks) {
            if with_relay {
                set_relays(&mut harness, &checked, &["w1", "w2"]);
            } else {
                let answer = PathAnswer::ReachedByOthers;
                let actions = harness.shard.on_path_answer(harness.now, &checked, answer);
                harness.check(actions);
            }
        }
        let known: Vec<_> = harness.requests.keys().copied().collect();
        for id in known {
            if harness.requests[&id].final_actions.is_empty() {
                continue;
            }
            let attempts = harness.attempts_of(id);
            if attempts.iter().all(|attempt| !harness.in_flight().contains(attempt)) {
                harness.requests.remove(&id);
                for attempt in attempts {
                    harness.attempts.remove(&attempt);
                }
            }
        }
    }
    check(&harness);
    answers
}

// A third of the endpoints is in a data centre that only the owner can't reach. Without relays, a
// third of the slots stays idle and callers wait although all endpoints are healthy.
#[test]
fn capacity_is_kept_while_the_owner_cannot_reach_a_third_of_the_endpoints() {
    let whole = answers_in_10_s(&[], true);
    let without = answers_in_10_s(&["e0", "e1"], false);
    let with = answers_in_10_s(&["e0", "e1"], true);
    println!("answers in 10 s: no cut {whole}, cut {without}, cut and relay {with}");
    assert!(without * 100 < whole * 75, "the broken path costs no capacity: {without} of {whole}");
    assert!(with * 100 > whole * 97, "{with} of {whole}");
}

// The floor requires all endpoints but one, and only the owner can't reach two of them. Both
// continue to serve, so that the floor is met by usable capacity.
#[test]
fn relayed_endpoints_count_for_the_floor_and_get_requests() {
    let mut config = config(4, 2, &[("a", 1)]);
    config.services[0].floor = 3;
    let mut harness = Harness::new(config);
    let cut = ["e0", "e1"];
    for _ in 0..400 {
        serve(&mut harness, &cut);
        for checked in std::mem::take(&mut harness.path_checks) {
            set_relays(&mut harness, &checked, &["w1"]);
        }
    }
    for unreachable in cut {
        let relayed = harness.attempts.values().filter(|record| {
            record.dispatch.endpoint == name(unreachable)
                && record.dispatch.relay == Some(name("w1"))
        });
        assert!(relayed.count() > 20, "{unreachable}");
        assert_eq!(&*state(&harness, unreachable), "healthy");
    }
    check(&harness);
}

// The connection to the relay breaks while it forwards a booking. The endpoint may have run it,
// so it must neither be sent again nor be refused as not run.
#[test]
fn a_booking_is_unknown_when_the_connection_to_the_relay_breaks() {
    let mut harness = relayed_harness(3, &["w1", "w2"]);
    let id = send_to_e0(&mut harness, false);
    let attempt = harness.attempt(id);
    assert_eq!(relay_of(&harness, attempt), Some(name("w1")));
    harness.outcome(attempt, Outcome::RelayFailed { sent: true });
    assert_eq!(harness.refusal(id), Some((Execution::Unknown, Reason::AnswerLost)));
    assert_eq!(harness.attempts_of(id).len(), 1);
    check(&harness);
}

// The connection to the relay can't be opened, so nothing of the booking was sent. It runs
// elsewhere, once, and the caller sees no failure.
#[test]
fn a_booking_runs_once_elsewhere_when_nothing_was_sent_to_the_relay() {
    let mut harness = relayed_harness(3, &["w1", "w2"]);
    let id = send_to_e0(&mut harness, false);
    harness.outcome(harness.attempt(id), Outcome::RelayFailed { sent: false });
    assert_eq!(harness.attempts_of(id).len(), 2);
    harness.answer(harness.attempt(id));
    assert!(harness.is_delivered(id));
    check(&harness);
}

// After the path is restored, a health check gets through and the next requests go directly
// again. Until then the interval between health checks grows.
#[test]
fn a_restored_path_is_used_again_and_a_broken_one_is_probed_with_backoff() {
    let mut harness = relayed_harness(3, &["w1"]);
    let mut tries = Vec::new();
    for _ in 0..4_000 {
        harness.tick(10);
        if !harness.probes.is_empty() {
            tries.push(harness.now);
            harness.probe_outcome(Outcome::ConnectFailed);
        }
    }
    let gaps: Vec<u64> =
        tries.windows(2).map(|pair| pair[1].since(pair[0]).as_millis() as u64).collect();
    assert!(gaps.len() >= 4 && gaps[..4].windows(2).all(|pair| pair[1] > pair[0]), "{gaps:?}");
    assert!(tries.len() <= 7, "{tries:?}");
    let id = send_to_e0(&mut harness, true);
    assert_eq!(relay_of(&harness, harness.attempt(id)), Some(name("w1")));
    harness.answer(harness.attempt(id));

    while harness.probes.is_empty() {
        harness.tick(10);
    }
    harness.probe_outcome(answered(200));
    let id = send_to_e0(&mut harness, true);
    assert_eq!(relay_of(&harness, harness.attempt(id)), None);
    harness.answer(harness.attempt(id));
    check(&harness);
}

// The relay's VM is replaced while the path is broken. The next relay takes its place; when that
// fails too, new ones are requested, and the endpoint is ejected only when no VM reaches it any
// more.
#[test]
fn a_dead_relay_is_replaced_and_does_not_count_against_the_endpoint() {
    let mut harness = relayed_harness(3, &["w1", "w2"]);
    for (relay, sent) in [("w1", true), ("w2", false)] {
        let id = send_to_e0(&mut harness, true);
        assert_eq!(relay_of(&harness, harness.attempt(id)), Some(name(relay)));
        assert!(harness.path_checks.is_empty());
        harness.outcome(harness.attempt(id), Outcome::RelayFailed { sent });
        harness.answer(harness.attempt(id));
        assert!(harness.is_delivered(id));
    }
    assert_ne!(&*state(&harness, "e0"), "ejected");
    assert_eq!(harness.path_checks, [name("e0")]);
    set_relays(&mut harness, "e0", &["w3"]);
    let id = send_to_e0(&mut harness, true);
    assert_eq!(relay_of(&harness, harness.attempt(id)), Some(name("w3")));
    harness.outcome(harness.attempt(id), Outcome::RelayFailed { sent: false });
    harness.answer(harness.attempt(id));

    let answer = PathAnswer::UnreachableByOthers;
    let actions = harness.shard.on_path_answer(harness.now, &name("e0"), answer);
    harness.check(actions);
    for _ in 0..100 {
        serve(&mut harness, &["e0"]);
    }
    assert_eq!(&*state(&harness, "e0"), "ejected");
    check(&harness);
}

// The relay's process is paused with requests in flight. They become slow, which looks like a
// hanging endpoint; the endpoint is healthy and must not be ejected.
#[test]
fn a_paused_relay_does_not_count_against_the_endpoint() {
    let mut harness = relayed_harness(3, &["w1", "w2"]);
    let held = fill_e0(&mut harness);
    assert!(held.iter().all(|attempt| relay_of(&harness, *attempt).is_some()));
    for _ in 0..150 {
        serve(&mut harness, &["e0"]);
    }
    assert_eq!(&*state(&harness, "e0"), "healthy");
    for attempt in held {
        harness.outcome(attempt, Outcome::RelayFailed { sent: true });
    }
    assert_eq!(&*state(&harness, "e0"), "healthy");
    check(&harness);
}

// An endpoint behind a relay begins to fail grayly. Outcomes that the relay reports count as the
// endpoint's, and it is ejected like any other.
#[test]
fn a_failing_relayed_endpoint_is_ejected() {
    let mut harness = relayed_harness(4, &["w1"]);
    for _ in 0..200 {
        let id = harness.send(5_000, |_| {});
        while let Some(attempt) = in_flight(&harness, id) {
            if endpoint(&harness, attempt) == name("e0") {
                harness.outcome(attempt, answered(500));
                harness.body_end(attempt, BodyEnd::Complete);
                continue;
            }
            harness.now += Duration::from_millis(SERVICE_MS);
            harness.answer(attempt);
        }
        harness.tick(10);
        end_probes(&mut harness, &["e0"]);
        if &*state(&harness, "e0") == "ejected" {
            return check(&harness);
        }
    }
    panic!("e0 is never ejected");
}

// The path drops all packets: the endpoint seems to hang and is ejected as slow without a path
// check. The connections that never opened time out after that, which starts the path check; the
// endpoint is put on trial and recovers through the relay.
#[test]
fn an_endpoint_behind_a_path_that_drops_packets_recovers_through_a_relay() {
    let mut harness = Harness::new(config(4, 2, &[("a", 1)]));
    for _ in 0..40 {
        serve(&mut harness, &[]);
    }
    let silent = fill_e0(&mut harness);
    for _ in 0..100 {
        let id = harness.send(5_000, |request| request.idempotent = false);
        harness.now += Duration::from_millis(SERVICE_MS);
        harness.answer(harness.attempt(id));
        harness.tick(10);
        if &*state(&harness, "e0") == "ejected" {
            break;
        }
    }
    assert_eq!(&*state(&harness, "e0"), "ejected");
    for attempt in silent {
        harness.outcome(attempt, Outcome::ConnectFailed);
    }
    assert_eq!(harness.path_checks, [name("e0")]);
    set_relays(&mut harness, "e0", &["w1"]);
    for _ in 0..500 {
        serve(&mut harness, &["e0"]);
    }
    assert_eq!(&*state(&harness, "e0"), "healthy");
    check(&harness);
}
