//! `status`, `endpoints`, `members` and `histograms` against fake admin ports.

mod testenv;

use serde_json::{Value, json};
use testenv::{CLOSED_ADDRESS, FakeVm, run};

fn status(vm: &str, config_version: u64, dispatched: u64) -> Value {
    json!({
        "vm": vm, "data_centre": "oslo-1", "state": "serving", "deployment": "timeliten",
        "config_version": config_version, "config_error": null, "platform_age_ms": 40,
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

    let outcome = run(&["status", "--admin", &format!("{},{}", first.address, second.address)]);

    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    let words = outcome.words();
    let row = |vm: &str, address, config| {
        format!("{vm} {address} oslo-1 serving timeliten {config} 40 44 booking/0,slot-search/0")
    };
    assert!(words.contains(&row("vm-01", first.address, 7)), "{words}");
    assert!(words.contains(&row("vm-02", second.address, 6)), "{words}");
    assert!(words.contains("dispatched 42"), "{words}");
    assert!(first.request().starts_with("get /status "));
}

#[test]
fn status_says_why_a_configuration_was_not_accepted() {
    let mut page = status("vm-01", 7, 0);
    page["config_error"] = json!("platform: services[0].floor: 9 is over 6");
    let vm = FakeVm::with_pages(&[("/status", page)]);

    let outcome = run(&["status", "--admin", &vm.arg()]);

    let wanted = "vm-01: configuration not accepted: platform: services[0].floor: 9 is over 6";
    assert!(outcome.stdout.contains(wanted), "{}", outcome.stdout);
}

/// During an outage an operator asks all VMs for their status. One of them is
/// gone, one has lost track of the connection and never answers. The operator
/// must still see the others, at once and with the two named.
#[test]
fn vms_that_do_not_answer_are_named_and_the_others_shown() {
    let well = FakeVm::with_pages(&[("/status", status("vm-01", 7, 1))]);
    let silent = FakeVm::silent();
    let addresses = format!("{CLOSED_ADDRESS},{},{}", silent.address, well.address);

    let outcome = run(&["status", "--admin", &addresses, "--timeout-ms", "2000"]);

    assert_eq!(outcome.code, Some(3));
    assert!(outcome.stdout.contains("vm-01"), "{}", outcome.stdout);
    let errors = outcome.stderr;
    assert!(errors.contains(&format!("{CLOSED_ADDRESS}: can't connect")), "{errors}");
    assert!(errors.contains(&format!("{}: no answer within 2000 ms", silent.address)), "{errors}");
    assert!(!errors.contains(&well.arg()), "{errors}");
}

/// A VM dies while it answers. The part that arrived could look like a short
/// but whole list of endpoints; the tool must not show it as one.
#[test]
fn an_answer_that_is_cut_short_is_an_error() {
    let cut = FakeVm::raw("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n[]");

    let outcome = run(&["endpoints", "--admin", &cut.arg()]);

    assert_eq!(outcome.code, Some(3));
    assert_eq!(outcome.stdout, "");
    assert!(outcome.stderr.contains(&format!("{}: answer broken off", cut.address)));
}

#[test]
fn other_statuses_and_bodies_are_errors() {
    let other_daemon = FakeVm::with_pages(&[("/members", json!({"surprise": 1}))]);
    let no_page = FakeVm::with_pages(&[]);
    let addresses = format!("{},{}", other_daemon.address, no_page.address);

    let outcome = run(&["members", "--admin", &addresses]);

    assert_eq!(outcome.code, Some(3));
    let errors = outcome.stderr;
    let unexpected = format!("{}: /members: unexpected answer", other_daemon.address);
    assert!(errors.contains(&unexpected), "{errors}");
    assert!(errors.contains(&format!("{}: /members answered 404", no_page.address)), "{errors}");
}

fn endpoint(service: &str, endpoint: &str, state: &str, reason: Value) -> Value {
    json!({"service": service, "endpoint": endpoint, "state": state, "in_flight": 1,
        "limit": 2, "evidence": 3.456, "reason": reason})
}

/// Returns an endpoint that names a limit in requests a second.
fn limited(mut endpoint: Value, per_second: f64) -> Value {
    endpoint["rate_limit"] = json!(per_second);
    endpoint
}

#[test]
fn endpoints_of_all_owners_are_one_sorted_table() {
    let first = FakeVm::with_pages(&[(
        "/endpoints",
        json!([limited(endpoint("slot-search", "search-1", "ejected", json!("straggling")), 2.5)]),
    )]);
    let second = FakeVm::with_pages(&[(
        "/endpoints",
        json!([endpoint("booking", "booking-1", "healthy", Value::Null)]),
    )]);

    let outcome = run(&["endpoints", "--admin", &format!("{},{}", first.address, second.address)]);

    let words = outcome.words();
    let lines: Vec<&str> = words.lines().collect();
    assert_eq!(lines.len(), 3, "{words}");
    assert_eq!(lines[1], format!("booking booking-1 healthy 1 2 - 3.46 - {}", second.address));
    assert_eq!(
        lines[2],
        format!("slot-search search-1 ejected 1 2 2.5 3.46 straggling {}", first.address)
    );
}

/// A VM that served in an owner's place for a moment goes on showing the
/// endpoints as healthy, while their owner has ejected one. An operator who
/// reads the stale line first leaves the sick endpoint in.
#[test]
fn only_owners_opinions_are_shown_unless_all_are_asked_for() {
    let opinion = |service: &str, state| endpoint(service, "endpoint-1", state, Value::Null);
    let owner = FakeVm::with_pages(&[
        ("/status", status("vm-01", 7, 0)),
        ("/endpoints", json!([opinion("booking", "ejected")])),
    ]);
    let mut idle = status("vm-02", 7, 0);
    idle["shards"] = json!([]);
    let other = FakeVm::with_pages(&[
        ("/status", idle),
        ("/endpoints", json!([opinion("booking", "healthy"), opinion("calendar", "trial")])),
    ]);
    let addresses = format!("{},{}", owner.address, other.address);

    let owners = run(&["endpoints", "--admin", &addresses]).words();
    let all = run(&["endpoints", "--all", "--admin", &addresses]).words();

    let row = |service, state, vm: &FakeVm| {
        format!("{service} endpoint-1 {state} 1 2 - 3.46 - {}", vm.address)
    };
    assert!(owners.contains(&row("booking", "ejected", &owner)), "{owners}");
    assert!(owners.contains(&row("calendar", "trial", &other)), "{owners}");
    assert_eq!(owners.lines().count(), 3, "{owners}");
    assert!(all.contains(&row("booking", "healthy", &other)), "{all}");
    assert_eq!(all.lines().count(), 4, "{all}");
}

/// In a one-way partition one VM thinks that a member is dead while the other
/// still hears it. An operator needs to see both opinions and who holds them;
/// a merge that keeps one of them would hide the partition.
#[test]
fn members_keep_differing_opinions_apart() {
    let first = FakeVm::with_pages(&[(
        "/members",
        json!([member("vm-01", "alive"), member("vm-03", "dead")]),
    )]);
    let second = FakeVm::with_pages(&[(
        "/members",
        json!([member("vm-01", "alive"), member("vm-03", "alive")]),
    )]);

    let outcome = run(&["members", "--admin", &format!("{},{}", first.address, second.address)]);

    let words = outcome.words();
    let lines: Vec<&str> = words.lines().collect();
    assert_eq!(lines.len(), 4, "{words}");
    assert!(lines.contains(&"vm-01 oslo-1 alive 5 7 all"), "{words}");
    assert!(
        lines.contains(&format!("vm-03 oslo-1 dead 5 7 {}", first.address).as_str()),
        "{words}"
    );
    assert!(
        lines.contains(&format!("vm-03 oslo-1 alive 5 7 {}", second.address).as_str()),
        "{words}"
    );
}

#[test]
fn columns_are_aligned_and_control_characters_escaped() {
    let vm = FakeVm::with_pages(&[(
        "/members",
        json!([member("a", "alive"), member("much-longer-name", "al\u{1b}[2Jive")]),
    )]);

    let outcome = run(&["members", "--admin", &vm.arg()]);

    let columns: Vec<Option<usize>> =
        outcome.stdout.lines().map(|l| l.find("DATA CENTRE").or(l.find("oslo-1"))).collect();
    assert_eq!(columns, vec![Some(18); 3], "{}", outcome.stdout);
    assert!(!outcome.stdout.contains('\u{1b}'));
    assert!(outcome.stdout.contains(r"al\u{1b}[2Jive"), "{}", outcome.stdout);
}

#[test]
fn histograms_keep_a_row_for_each_vm() {
    let page = |p99_us: u64| {
        json!([{"customer": "timeliten", "class": "interactive", "count": 10, "p50_us": 900,
            "p90_us": 1200, "p99_us": p99_us, "max_us": 9000}])
    };
    let first = FakeVm::with_pages(&[("/histograms", page(1300))]);
    let second = FakeVm::with_pages(&[("/histograms", page(1400))]);

    let outcome = run(&["histograms", "--admin", &format!("{},{}", first.address, second.address)]);

    let words = outcome.words();
    for (address, p99_us) in [(first.address, 1300), (second.address, 1400)] {
        let row = format!("timeliten interactive {address} 10 900 1200 {p99_us} 9000");
        assert!(words.contains(&row), "{words}");
    }
}

#[test]
fn added_histograms_are_a_page_of_their_own() {
    let page = json!([{"customer": "timeliten", "class": "batch", "count": 3, "p50_us": 90,
        "p90_us": 120, "p99_us": 130, "max_us": 140}]);
    let vm = FakeVm::with_pages(&[("/histograms", json!([])), ("/histograms/added", page)]);

    let outcome = run(&["histograms", "--added", "--admin", &vm.arg()]);

    let row = format!("timeliten batch {} 3 90 120 130 140", vm.address);
    assert!(outcome.words().contains(&row), "{}", outcome.stdout);
}

#[test]
fn json_carries_answers_and_errors_by_address() {
    let vm = FakeVm::with_pages(&[("/status", status("vm-01", 7, 1))]);

    let addresses = format!("{},{CLOSED_ADDRESS}", vm.address);
    let outcome = run(&["status", "--json", "--admin", &addresses]);

    assert_eq!(outcome.code, Some(3));
    let json = outcome.json();
    assert_eq!(json[0]["address"], json!(vm.address));
    assert_eq!(json[0]["answer"], status("vm-01", 7, 1));
    assert_eq!(json[1]["address"], json!(CLOSED_ADDRESS));
    assert!(json[1]["error"].as_str().is_some_and(|e| e.contains("can't connect")), "{json}");
}
