//! The test oracle: checks the invariants by callers' outcomes and the requests
//! that endpoints ran only, independently of how the fleet decides.

use std::collections::HashMap;

use super::{
    caller::{CallerOutcome, RequestKind, SentRequest},
    endpoint::{self, ReceivedRequest},
    fault::Fault,
    payload,
    step::StepRecord,
    testbed::Testbed,
};

/// Returns all violations that the requests of a cell show.
pub(crate) fn violations(testbed: &Testbed, faults: &[Fault], record: &StepRecord) -> Vec<String> {
    let sent = testbed.sent.lock().unwrap().clone();
    let mut received: HashMap<String, Vec<ReceivedRequest>> = HashMap::new();
    for request in testbed.endpoints.iter().flat_map(|endpoint| endpoint.received()) {
        received.entry(request.id.clone()).or_default().push(request);
    }
    let mut violations: Vec<String> =
        sent.iter().filter_map(|sent| answer_violation(sent, &received, faults)).collect();
    violations.extend(double_run_violations(testbed, &sent));
    violations.extend(drain_violations(testbed, record));
    let cut = record.in_flight.iter().filter(|sent| is_cut_off(sent, faults));
    violations
        .extend(cut.map(|sent| format!("6 stop cut off {} {:?}", sent.call.id, sent.outcome)));
    violations
}

/// Checks invariants 1 (an answer or a refusal in time), 2 (a complete answer to
/// the request itself) and 3 (`not-run` is true) for one request.
fn answer_violation(
    sent: &SentRequest,
    received: &HashMap<String, Vec<ReceivedRequest>>,
    faults: &[Fault],
) -> Option<String> {
    let id = &sent.call.id;
    let received = received.get(id).map(Vec::as_slice).unwrap_or_default();
    match &sent.outcome {
        CallerOutcome::TimedOut if !faults.iter().any(|fault| fault.cuts_callers()) => {
            Some(format!("1 {:?} {id} has no outcome long after its deadline", sent.call.kind))
        }
        CallerOutcome::Answered { status: 200, body } if *body != payload(id) => {
            Some(format!("2 {id} got {} bytes that are not its answer", body.len()))
        }
        CallerOutcome::Answered { status: 500, body } if *body != super::failure_body(id) => {
            Some(format!("2 {id} got the failure of another request: {body:?}"))
        }
        CallerOutcome::Answered { status, .. } if ![200, 500].contains(status) => {
            Some(format!("2 {id} got status {status}, which no endpoint returned"))
        }
        CallerOutcome::Refused { outcome, reason } if outcome == "not-run" => {
            let possibly_run = received.iter().find(|s| s.send_id == sent.call.send_id && !s.shed);
            possibly_run.map(|request| {
                format!("3 {id} is reported as not run ({reason}) but ran={}", request.ran)
            })
        }
        CallerOutcome::Refused { outcome, .. } if outcome != "unknown" => {
            Some(format!("2 {id} got the outcome {outcome}"))
        }
        _ => None,
    }
}

/// Checks invariant 4: no booking runs twice.
fn double_run_violations(testbed: &Testbed, sent: &[SentRequest]) -> Vec<String> {
    let runs = endpoint::run_counts(&testbed.endpoints);
    let mut bookings: Vec<_> =
        sent.iter().filter(|sent| sent.call.kind != RequestKind::Lookup).collect();
    bookings.dedup_by_key(|sent| &sent.call.id);
    let runs_of = |sent: &SentRequest| runs.get(&sent.call.id).copied().unwrap_or(0);
    let doubled = bookings.into_iter().filter(|sent| runs_of(sent) > 1);
    doubled.map(|sent| format!("4 {} ran {} times", sent.call.id, runs_of(sent))).collect()
}

/// Checks invariant 5: an endpoint gets no new requests a while after it began to drain.
fn drain_violations(testbed: &Testbed, record: &StepRecord) -> Vec<String> {
    let Some(no_requests_from) = record.no_requests_from else { return Vec::new() };
    let received = testbed
        .faulty_endpoints()
        .into_iter()
        .flat_map(|index| testbed.endpoints[index].received());
    let late = received.filter(|request| {
        request.received_at > no_requests_from
            && Some(request.received_at) < record.faults_removed_at
    });
    late.map(|request| format!("5 {} was sent to a draining endpoint", request.id)).collect()
}

/// Checks invariant 6: a planned stop cuts off no request in flight.
fn is_cut_off(sent: &SentRequest, faults: &[Fault]) -> bool {
    match sent.outcome {
        CallerOutcome::TimedOut | CallerOutcome::NotConnected => {
            !faults.iter().any(|fault| fault.cuts_callers())
        }
        CallerOutcome::Broken => !faults.iter().any(|fault| fault.cuts_answers()),
        CallerOutcome::Answered { .. } | CallerOutcome::Refused { .. } => false,
    }
}
