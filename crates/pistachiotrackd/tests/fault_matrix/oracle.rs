//! The oracle: looks at what callers got and what endpoints ran, and knows
//! nothing of how the fleet decides.

use std::collections::HashMap;

use super::{
    caller::{Kind, Outcome, Sent},
    endpoint::{self, Sight},
    fault::Fault,
    payload,
    step::Struck,
    world::World,
};

/// Returns all breaches that the requests of a cell show.
pub(crate) fn judge(world: &World, faults: &[Fault], struck: &Struck) -> Vec<String> {
    let sent = world.sent.lock().unwrap().clone();
    let mut sights: HashMap<String, Vec<Sight>> = HashMap::new();
    for sight in world.endpoints.iter().flat_map(|endpoint| endpoint.sights()) {
        sights.entry(sight.id.clone()).or_default().push(sight);
    }
    let mut breaches: Vec<String> =
        sent.iter().filter_map(|sent| breach_of_answer(sent, &sights, faults)).collect();
    breaches.extend(breach_of_runs(world, &sent));
    breaches.extend(breach_of_leaving(world, struck));
    let cut = struck.in_flight.iter().filter(|sent| is_cut(sent, faults));
    breaches.extend(cut.map(|sent| format!("6 stop cut off {} {:?}", sent.call.id, sent.outcome)));
    breaches
}

/// Invariants 1 (an answer or a refusal in time), 2 (the whole answer, one's
/// own) and 3 (`not-run` is true) for one request.
fn breach_of_answer(
    sent: &Sent,
    sights: &HashMap<String, Vec<Sight>>,
    faults: &[Fault],
) -> Option<String> {
    let id = &sent.call.id;
    let sights = sights.get(id).map(Vec::as_slice).unwrap_or_default();
    match &sent.outcome {
        Outcome::Nothing if !faults.iter().any(|fault| fault.cuts_callers()) => {
            Some(format!("1 {:?} {id} hangs past its deadline", sent.call.kind))
        }
        Outcome::Answered { status: 200, body } if *body != payload(id) => {
            Some(format!("2 {id} got {} bytes of another answer", body.len()))
        }
        Outcome::Answered { status: 500, body } if *body != super::failure(id) => {
            Some(format!("2 {id} got another failure: {body:?}"))
        }
        Outcome::Answered { status, .. } if ![200, 500].contains(status) => {
            Some(format!("2 {id} got status {status} that no endpoint gave"))
        }
        Outcome::Refused { outcome, reason } if outcome == "not-run" => {
            let seen = sights.iter().find(|s| s.sending == sent.call.sending && !s.shed);
            seen.map(|sight| format!("3 {id} is called not run ({reason}) but ran={}", sight.ran))
        }
        Outcome::Refused { outcome, .. } if outcome != "unknown" => {
            Some(format!("2 {id} got the outcome {outcome}"))
        }
        _ => None,
    }
}

/// Invariant 4: no booking runs twice.
fn breach_of_runs(world: &World, sent: &[Sent]) -> Vec<String> {
    let runs = endpoint::runs(&world.endpoints);
    let mut bookings: Vec<_> = sent.iter().filter(|sent| sent.call.kind != Kind::Lookup).collect();
    bookings.dedup_by_key(|sent| &sent.call.id);
    let runs_of = |sent: &Sent| runs.get(&sent.call.id).copied().unwrap_or(0);
    let doubled = bookings.into_iter().filter(|sent| runs_of(sent) > 1);
    doubled.map(|sent| format!("4 {} ran {} times", sent.call.id, runs_of(sent))).collect()
}

/// Invariant 5: no new work to an endpoint a while after it began to leave.
fn breach_of_leaving(world: &World, struck: &Struck) -> Vec<String> {
    let Some(left_at) = struck.left_at else { return Vec::new() };
    let sights = world.sick().into_iter().flat_map(|index| world.endpoints[index].sights());
    let late = sights.filter(|sight| sight.at > left_at && Some(sight.at) < struck.mended_at);
    late.map(|sight| format!("5 {} went to a leaving endpoint", sight.id)).collect()
}

/// Invariant 6: a planned stop cuts off no request in flight.
fn is_cut(sent: &Sent, faults: &[Fault]) -> bool {
    match sent.outcome {
        Outcome::Nothing | Outcome::NotConnected => {
            !faults.iter().any(|fault| fault.cuts_callers())
        }
        Outcome::Broken => !faults.iter().any(|fault| fault.cuts_answers()),
        Outcome::Answered { .. } | Outcome::Refused { .. } => false,
    }
}
