//! What a VM takes for another VM's word that it did not run a request.

use std::time::Duration;

use hyper::{HeaderMap, header::HeaderValue};
use pistachiotrack_core::{
    copies::{Copies, Undispatched},
    header,
    name::Name,
    refusal::{Execution, Reason, RefusalDecision},
};
use pistachiotrackd::peer_result::{PeerAnswer, PeerRefusal, PeerResult};

const REQUEST: &str = "vm-01-1a23-7";

fn word(execution: Execution) -> PeerRefusal {
    let verdict =
        RefusalDecision { execution, reason: Reason::QueueFull, retry_after_ms: Some(40) };
    let refusal = Copies::from(Undispatched::on_arrival()).refuse_with(verdict);
    PeerRefusal::new(&Name::from("vm-02"), &Name::from(REQUEST), &refusal)
}

fn take(fields: &mut HeaderMap, request: &str) -> PeerAnswer {
    PeerResult::take_from(fields, &Name::from(request))
}

#[test]
fn a_word_travels_whole_and_stays_behind() {
    for execution in [Execution::NotRun, Execution::Unknown] {
        let word = word(execution);
        let mut fields = HeaderMap::new();
        PeerResult::Refused(word.clone()).write_to(&mut fields);
        assert_eq!(take(&mut fields, REQUEST), PeerAnswer::Refused(word));
        assert!(fields.is_empty());
    }
    let mut fields = HeaderMap::new();
    PeerResult::Answered { endpoint_time_us: Some(1_500) }.write_to(&mut fields);
    let time = Duration::from_micros(1_500);
    assert_eq!(take(&mut fields, REQUEST), PeerAnswer::Answer(Some(time)));
}

/// A booking runs twice. Something else than the VM that holds it, or a VM of another
/// version, says that it did not run, and the caller repeats it.
#[test]
fn nothing_but_the_word_on_this_request_says_that_it_did_not_run() {
    let mut other = HeaderMap::new();
    PeerResult::Refused(word(Execution::NotRun)).write_to(&mut other);
    assert_eq!(take(&mut other, "vm-01-1a23-8"), PeerAnswer::Unverified);

    let large = "x".repeat(64 << 10);
    let half = format!(r#"{{"refused":{{"request":"{REQUEST}","vm":"vm-02"}}}}"#);
    let forged = ["", "not-run", "{", half.as_str(), r#"{"refused":null}"#, "\u{e9}", &large];
    for text in forged {
        let mut fields = HeaderMap::new();
        let value = HeaderValue::from_bytes(text.as_bytes()).unwrap();
        fields.insert(header::PEER_RESULT, value);
        fields.insert(header::OUTCOME, HeaderValue::from_static("not-run"));
        assert_eq!(take(&mut fields, REQUEST), PeerAnswer::Unverified, "{text:.40}");
    }
    let mut of_another_version = HeaderMap::new();
    of_another_version.insert(header::OUTCOME, HeaderValue::from_static("not-run"));
    assert_eq!(take(&mut of_another_version, REQUEST), PeerAnswer::Unverified);
}

/// VMs of two versions run side by side while a release goes on.
#[test]
fn an_answer_of_a_vm_that_knows_no_words_is_passed_on() {
    assert_eq!(take(&mut HeaderMap::new(), REQUEST), PeerAnswer::Answer(None));
}
