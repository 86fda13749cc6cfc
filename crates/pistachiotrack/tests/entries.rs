//! `entries` against a fake VM.

mod testenv;

use serde_json::json;
use testenv::{CLOSED_ADDRESS, FakeVm, run};

fn entries(vm: &str, service: &str) -> testenv::Outcome {
    run(&["entries", "--vm", vm, "--service", service, "--customer", "timeliten"])
}

#[test]
fn asks_as_a_caller_does_and_shows_the_addresses() {
    let path = "/pistachiotrack/v1/entries?service=slot-search";
    let answer = json!({"entries": [{"address": "127.0.0.1:9001", "data_centre": "oslo-1"},
        {"address": "127.0.0.1:9002", "data_centre": "oslo-2"}], "lifetime_ms": 5000});
    let vm = FakeVm::with_pages(&[(path, answer)]);

    let outcome = entries(&vm.arg(), "slot-search");

    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    assert!(vm.request().contains("pistachiotrack-customer: timeliten"));
    let words = outcome.words();
    assert!(words.contains("127.0.0.1:9001 oslo-1\n127.0.0.1:9002 oslo-2"), "{words}");
    assert!(words.contains("valid for 5000 ms"), "{words}");
}

#[test]
fn a_service_name_can_not_add_to_the_query() {
    let vm = FakeVm::with_pages(&[]);

    let outcome = entries(&vm.arg(), "a b&x=1");

    assert_eq!(outcome.code, Some(3));
    let request = vm.request();
    assert!(
        request.starts_with("get /pistachiotrack/v1/entries?service=a%20b%26x%3d1 "),
        "{request}"
    );
}

#[test]
fn a_refusal_is_shown_with_its_reason() {
    let vm = FakeVm::raw(
        "HTTP/1.1 503 Service Unavailable\r\npistachiotrack-outcome: not-run\r\n\
         pistachiotrack-reason: no-config\r\ncontent-length: 0\r\n\r\n",
    );

    let outcome = entries(&vm.arg(), "slot-search");

    assert_eq!(outcome.code, Some(1));
    let wanted = format!("{}: refused with 503: outcome=not-run reason=no-config", vm.address);
    assert!(outcome.stderr.contains(&wanted), "{}", outcome.stderr);
}

#[test]
fn a_vm_that_is_gone_is_named() {
    let outcome = entries(CLOSED_ADDRESS, "slot-search");

    assert_eq!(outcome.code, Some(3));
    assert!(outcome.stderr.contains(&format!("{CLOSED_ADDRESS}: can't connect")));
}
