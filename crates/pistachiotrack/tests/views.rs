//! Tests of `status`, `endpoints`, `members` and `histograms` against fake admin ports.

mod testenv;

use serde_json::{Value, json};
use testenv::{CLOSED_ADDRESS, FakeVm, run};

fn status(vm: &str, config_version: u64, dispatched: u64) -> Value {
    json!({
        "vm": vm, "data_centre": "oslo-1", "state": "serving", "deployment": "timeliten",
        "config_version": config_version, "config_error": null, "platform_age_ms": 40,
        "config_confirmed_age_ms": 700,
        "shards": ["booking/0", "slot-search/0"], "live_vms": 44,
        "counters": [{"name": "dispatched", "value": dispatched}],
    })
}

fn member(vm: &str, state: &str) -> Value {
    json!({"vm": vm, "data_centre": "oslo-1", "state": state, "incarnation": 5,
        "config_version": 7})
}

#[test]
fn status_shows_each_vm_and_sums_the_counters() {
    let first = FakeVm::with_pages(&[("/status", status("vm-01", 7, 30))]);
    let second = FakeVm::with_pages(&[("/status", status("vm-02", 6, 12))]);

    let output = run(&["status", "--admin", &format!("{},{}", first.address, second.address)]);

    assert_eq!(output.code, Some(0), "{}", output.stderr);
    let stdout = output.normalized_stdout();
    let row = |vm: &str, address, config| {
        format!(
            "{vm} {address} oslo-1 serving timeliten {config} 40 700 44 booking/0,slot-search/0"
        )
    };
    assert!(stdout.contains(&row("vm-01", first.address, 7)), "{stdout}");
    assert!(stdout.contains(&row("vm-02", second.address, 6)), "{stdout}");
    assert!(stdout.contains("dispatched 42"), "{stdout}");
    assert!(first.request().starts_with("get /status "));
}

#[test]
fn status_shows_why_a_configuration_was_not_accepted() {
    let mut page = status("vm-01", 7, 0);
    page["config_error"] = json!("platform: services[0].floor: 9 is over 6");
    let vm = FakeVm::with_pages(&[("/status", page)]);

    let output = run(&["status", "--admin", &vm.arg()]);

    let expected = "vm-01: configuration not accepted: platform: services[0].floor: 9 is over 6";
    assert!(output.stdout.contains(expected), "{}", output.stdout);
}

/// During an outage an operator queries the status of all VMs. One refuses connections, one
/// accepts them and never answers. The status of the others must still be shown, within the
/// timeout, and the two must be named.
#[test]
fn unresponsive_vms_are_named_and_the_others_shown() {
    let healthy = FakeVm::with_pages(&[("/status", status("vm-01", 7, 1))]);
    let silent = FakeVm::silent();
    let addresses = format!("{CLOSED_ADDRESS},{},{}", silent.address, healthy.address);

    let output = run(&["status", "--admin", &addresses, "--timeout-ms", "2000"]);

    assert_eq!(output.code, Some(3));
    assert!(output.stdout.contains("vm-01"), "{}", output.stdout);
    let errors = output.stderr;
    assert!(errors.contains(&format!("{CLOSED_ADDRESS}: can't connect")), "{errors}");
    assert!(errors.contains(&format!("{}: no answer within 2000 ms", silent.address)), "{errors}");
    assert!(!errors.contains(&healthy.arg()), "{errors}");
}

/// A VM crashes while it sends a response. The received part could be valid JSON, such as a
/// shorter list of endpoints, and must not be shown as the whole.
#[test]
fn a_truncated_response_is_an_error() {
    let truncating = FakeVm::raw("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n[]");

    let output = run(&["endpoints", "--admin", &truncating.arg()]);

    assert_eq!(output.code, Some(3));
    assert_eq!(output.stdout, "");
    assert!(output.stderr.contains(&format!("{}: answer broken off", truncating.address)));
}

#[test]
fn unexpected_statuses_and_bodies_are_errors() {
    let other_daemon = FakeVm::with_pages(&[("/members", json!({"surprise": 1}))]);
    let no_page = FakeVm::with_pages(&[]);
    let addresses = format!("{},{}", other_daemon.address, no_page.address);

    let output = run(&["members", "--admin", &addresses]);

    assert_eq!(output.code, Some(3));
    let errors = output.stderr;
    let unexpected = format!("{}: /members: unexpected answer", other_daemon.address);
    assert!(errors.contains(&unexpected), "{errors}");
    assert!(errors.contains(&format!("{}: /members answered 404", no_page.address)), "{errors}");
}

fn endpoint(service: &str, endpoint: &str, state: &str, reason: Value) -> Value {
    json!({"service": service, "endpoint": endpoint, "state": state, "in_flight": 1,
        "limit": 2, "evidence": 3.456, "reason": reason})
}

/// Returns an endpoint with a rate limit in requests per second.
fn with_rate_limit(mut endpoint: Value, per_second: f64) -> Value {
    endpoint["rate_limit"] = json!(per_second);
    endpoint
}

/// Returns an endpoint with relative speeds: not nearly full, and nearly full.
fn with_speeds(mut endpoint: Value, speed: f64, nearly_full: f64) -> Value {
    endpoint["relative_speed"] = json!(speed);
    endpoint["relative_speed_nearly_full"] = json!(nearly_full);
    endpoint
}

/// Returns an endpoint that accepts no requests from the VM for some time.
fn refusing(mut endpoint: Value, refuses_ms: u64) -> Value {
    endpoint["refuses_ms"] = json!(refuses_ms);
    endpoint
}

#[test]
fn endpoints_of_all_owners_are_one_sorted_table() {
    let first = FakeVm::with_pages(&[(
        "/endpoints",
        json!([with_rate_limit(
            endpoint("slot-search", "search-1", "ejected", json!("straggling")),
            2.5
        )]),
    )]);
    let second = FakeVm::with_pages(&[(
        "/endpoints",
        json!([with_speeds(
            refusing(endpoint("booking", "booking-1", "healthy", Value::Null), 1_200),
            0.5,
            0.333
        )]),
    )]);

    let output = run(&["endpoints", "--admin", &format!("{},{}", first.address, second.address)]);

    let stdout = output.normalized_stdout();
    let lines: Vec<&str> = stdout.lines().collect();
    assert_eq!(lines.len(), 3, "{stdout}");
    assert_eq!(
        lines[1],
        format!("booking booking-1 healthy 1 2 - 1200 0.50 0.33 3.46 - {}", second.address)
    );
    assert_eq!(
        lines[2],
        format!("slot-search search-1 ejected 1 2 2.5 - - - 3.46 straggling {}", first.address)
    );
}

/// A VM that dispatched in an owner's place for a short time still reports the endpoints as
/// healthy, while their owner has ejected one. An operator who reads the stale row first
/// would leave the faulty endpoint in rotation.
#[test]
fn only_reports_of_owners_are_shown_without_the_option_all() {
    let report = |service: &str, state| endpoint(service, "endpoint-1", state, Value::Null);
    let owner = FakeVm::with_pages(&[
        ("/status", status("vm-01", 7, 0)),
        ("/endpoints", json!([report("booking", "ejected")])),
    ]);
    let mut idle = status("vm-02", 7, 0);
    idle["shards"] = json!([]);
    let other = FakeVm::with_pages(&[
        ("/status", idle),
        ("/endpoints", json!([report("booking", "healthy"), report("calendar", "trial")])),
    ]);
    let addresses = format!("{},{}", owner.address, other.address);

    let owners = run(&["endpoints", "--admin", &addresses]).normalized_stdout();
    let all = run(&["endpoints", "--all", "--admin", &addresses]).normalized_stdout();

    let row = |service, state, vm: &FakeVm| {
        format!("{service} endpoint-1 {state} 1 2 - - - - 3.46 - {}", vm.address)
    };
    assert!(owners.contains(&row("booking", "ejected", &owner)), "{owners}");
    assert!(owners.contains(&row("calendar", "trial", &other)), "{owners}");
    assert_eq!(owners.lines().count(), 3, "{owners}");
    assert!(all.contains(&row("booking", "healthy", &other)), "{all}");
    assert_eq!(all.lines().count(), 4, "{all}");
}

/// In a one-way partition one VM reports a member as dead while another still receives its
/// datagrams. An operator needs to see both reports and which VM sent each: showing only one
/// would hide the partition.
#[test]
fn differing_reports_of_a_member_are_separate_rows() {
    let first = FakeVm::with_pages(&[(
        "/members",
        json!([member("vm-01", "alive"), member("vm-03", "dead")]),
    )]);
    let second = FakeVm::with_pages(&[(
        "/members",
        json!([member("vm-01", "alive"), member("vm-03", "alive")]),
    )]);

    let output = run(&["members", "--admin", &format!("{},{}", first.address, second.address)]);

    let stdout = output.normalized_stdout();
    let lines: Vec<&str> = stdout.lines().collect();
    assert_eq!(lines.len(), 4, "{stdout}");
    assert!(lines.contains(&"vm-01 oslo-1 alive 5 7 all"), "{stdout}");
    assert!(
        lines.contains(&format!("vm-03 oslo-1 dead 5 7 {}", first.address).as_str()),
        "{stdout}"
    );
    assert!(
        lines.contains(&format!("vm-03 oslo-1 alive 5 7 {}", second.address).as_str()),
        "{stdout}"
    );
}

#[test]
fn columns_are_aligned_and_control_characters_escaped() {
    let vm = FakeVm::with_pages(&[(
        "/members",
        json!([member("a", "alive"), member("much-longer-name", "al\u{1b}[2Jive")]),
    )]);

    let output = run(&["members", "--admin", &vm.arg()]);

    let columns: Vec<Option<usize>> =
        output.stdout.lines().map(|l| l.find("DATA CENTRE").or(l.find("oslo-1"))).collect();
    assert_eq!(columns, vec![Some(18); 3], "{}", output.stdout);
    assert!(!output.stdout.contains('\u{1b}'));
    assert!(output.stdout.contains(r"al\u{1b}[2Jive"), "{}", output.stdout);
}

#[test]
fn histograms_keep_a_row_for_each_vm() {
    let page = |p99_us: u64| {
        json!([{"customer": "timeliten", "class": "interactive", "count": 10, "p50_us": 900,
            "p90_us": 1200, "p99_us": p99_us, "max_us": 9000}])
    };
    let first = FakeVm::with_pages(&[("/histograms", page(1300))]);
    let second = FakeVm::with_pages(&[("/histograms", page(1400))]);

    let output = run(&["histograms", "--admin", &format!("{},{}", first.address, second.address)]);

    let stdout = output.normalized_stdout();
    for (address, p99_us) in [(first.address, 1300), (second.address, 1400)] {
        let row = format!("timeliten interactive {address} 10 900 1200 {p99_us} 9000");
        assert!(stdout.contains(&row), "{stdout}");
    }
}

#[test]
fn added_histograms_are_read_from_their_own_page() {
    let page = json!([{"customer": "timeliten", "class": "batch", "count": 3, "p50_us": 90,
        "p90_us": 120, "p99_us": 130, "max_us": 140}]);
    let vm = FakeVm::with_pages(&[("/histograms", json!([])), ("/histograms/added", page)]);

    let output = run(&["histograms", "--added", "--admin", &vm.arg()]);

    let row = format!("timeliten batch {} 3 90 120 130 140", vm.address);
    assert!(output.normalized_stdout().contains(&row), "{}", output.stdout);
}

#[test]
fn json_contains_responses_and_errors_by_address() {
    let vm = FakeVm::with_pages(&[("/status", status("vm-01", 7, 1))]);

    let addresses = format!("{},{CLOSED_ADDRESS}", vm.address);
    let output = run(&["status", "--json", "--admin", &addresses]);

    assert_eq!(output.code, Some(3));
    let json = output.json();
    assert_eq!(json[0]["address"], json!(vm.address));
    assert_eq!(json[0]["answer"], status("vm-01", 7, 1));
    assert_eq!(json[1]["address"], json!(CLOSED_ADDRESS));
    assert!(json[1]["error"].as_str().is_some_and(|e| e.contains("can't connect")), "{json}");
}
