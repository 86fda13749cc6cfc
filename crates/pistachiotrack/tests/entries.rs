//! Tests of `entries` against a fake VM.

mod testenv;

use serde_json::json;
use testenv::{CLOSED_ADDRESS, FakeVm, run};

fn entries(vm: &str, service: &str) -> testenv::ToolOutput {
    run(&["entries", "--vm", vm, "--service", service, "--customer", "timeliten"])
}

#[test]
fn sends_a_caller_s_request_and_shows_the_addresses() {
    let path = "/pistachiotrack/v1/entries?service=slot-search";
    let answer = json!({"entries": [{"address": "127.0.0.1:9001", "data_centre": "oslo-1"},
        {"address": "127.0.0.1:9002", "data_centre": "oslo-2"}], "lifetime_ms": 5000});
    let vm = FakeVm::with_pages(&[(path, answer)]);

    let output = entries(&vm.arg(), "slot-search");

    assert_eq!(output.code, Some(0), "{}", output.stderr);
    assert!(vm.request().contains("pistachiotrack-customer: timeliten"));
    let stdout = output.normalized_stdout();
    assert!(stdout.contains("127.0.0.1:9001 oslo-1\n127.0.0.1:9002 oslo-2"), "{stdout}");
    assert!(stdout.contains("valid for 5000 ms"), "{stdout}");
}

#[test]
fn a_service_name_is_escaped_in_the_query() {
    let vm = FakeVm::with_pages(&[]);

    let output = entries(&vm.arg(), "a b&x=1");

    assert_eq!(output.code, Some(3));
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

    let output = entries(&vm.arg(), "slot-search");

    assert_eq!(output.code, Some(1));
    let expected = format!("{}: refused with 503: outcome=not-run reason=no-config", vm.address);
    assert!(output.stderr.contains(&expected), "{}", output.stderr);
}

#[test]
fn an_unreachable_vm_is_named() {
    let output = entries(CLOSED_ADDRESS, "slot-search");

    assert_eq!(output.code, Some(3));
    assert!(output.stderr.contains(&format!("{CLOSED_ADDRESS}: can't connect")));
}
