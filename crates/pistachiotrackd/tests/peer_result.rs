//! Which headers a VM accepts as another VM's report that a request did not run.

use std::time::Duration;

use hyper::{HeaderMap, header::HeaderValue};
use pistachiotrack_core::{
    copies::{Copies, Undispatched},
    header,
    name::Name,
    prior_attempts::PriorAttempts,
    refusal::{Execution, Reason, RefusalDecision},
};
use pistachiotrackd::peer_result::{PeerAnswer, PeerRefusal, PeerResult};

const REQUEST: &str = "vm-01-1a23-7";

fn new_refusal(execution: Execution) -> PeerRefusal {
    let decision =
        RefusalDecision { execution, reason: Reason::QueueFull, retry_after_ms: Some(40) };
    let refusal = Copies::from(Undispatched::on_arrival()).refuse_with(decision);
    let mut attempts = PriorAttempts::default();
    attempts.on_sent(&Name::from("booking-0"));
    PeerRefusal::new(&Name::from("vm-02"), &Name::from(REQUEST), &refusal, attempts)
}

fn take(fields: &mut HeaderMap, request: &str) -> PeerAnswer {
    PeerResult::take_from(fields, &Name::from(request))
}

#[test]
fn a_peer_result_is_read_back_and_removed_from_the_headers() {
    for execution in [Execution::NotRun, Execution::Unknown] {
        let result = new_refusal(execution);
        let mut fields = HeaderMap::new();
        PeerResult::Refused(result.clone()).write_to(&mut fields);
        assert_eq!(take(&mut fields, REQUEST), PeerAnswer::Refused(result));
        assert!(fields.is_empty());
    }
    let mut fields = HeaderMap::new();
    let leaving_endpoint = Some(Name::from("booking-0"));
    let result = PeerResult::Answered {
        endpoint_time_us: Some(1_500),
        leaving_endpoint: leaving_endpoint.clone(),
    };
    result.write_to(&mut fields);
    let endpoint_time = Some(Duration::from_micros(1_500));
    let answer = PeerAnswer::Answer { endpoint_time, leaving_endpoint };
    assert_eq!(take(&mut fields, REQUEST), answer);
}

/// Guards against a booking that runs twice. Something other than the VM that holds it, or a
/// VM of another version, reports that it did not run, and the caller sends it again.
#[test]
fn only_a_valid_peer_result_for_this_request_reports_not_run() {
    let mut other = HeaderMap::new();
    PeerResult::Refused(new_refusal(Execution::NotRun)).write_to(&mut other);
    assert_eq!(take(&mut other, "vm-01-1a23-8"), PeerAnswer::Unverified);

    let large = "x".repeat(64 << 10);
    let half = format!(r#"{{"refused":{{"request":"{REQUEST}","vm":"vm-02"}}}}"#);
    let invalid_values =
        ["", "not-run", "{", half.as_str(), r#"{"refused":null}"#, "\u{e9}", &large];
    for text in invalid_values {
        let mut fields = HeaderMap::new();
        let value = HeaderValue::from_bytes(text.as_bytes()).unwrap();
        fields.insert(header::PEER_RESULT, value);
        fields.insert(header::OUTCOME, HeaderValue::from_static("not-run"));
        assert_eq!(take(&mut fields, REQUEST), PeerAnswer::Unverified, "{text:.40}");
    }
    let mut from_another_version = HeaderMap::new();
    from_another_version.insert(header::OUTCOME, HeaderValue::from_static("not-run"));
    assert_eq!(take(&mut from_another_version, REQUEST), PeerAnswer::Unverified);
}

/// VMs of two versions run side by side during a rolling update.
#[test]
fn an_answer_without_a_peer_result_is_returned() {
    let no_details = PeerAnswer::Answer { endpoint_time: None, leaving_endpoint: None };
    assert_eq!(take(&mut HeaderMap::new(), REQUEST), no_details);
}
