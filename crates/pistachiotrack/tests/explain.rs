//! Tests of `explain` on a file with four rules.

mod testenv;

use serde_json::json;
use testenv::{CONFIG, TempFile, ToolOutput, run};

fn explain(name: &str, args: &[&str]) -> ToolOutput {
    let file = TempFile::new(name, CONFIG);
    let fixed = ["explain", "--config", file.arg(), "--customer", "timeliten"];
    run(&[&fixed, args].concat())
}

#[test]
fn the_first_matching_rule_is_shown_with_each_rule_skipped_before_it() {
    let output = explain("explain.json", &["--method", "GET", "--path", "/slots/today"]);

    assert_eq!(output.code, Some(0), "{}", output.stderr);
    let lines: Vec<&str> = output.stdout.lines().collect();
    assert_eq!(lines.len(), 4, "{}", output.stdout);
    for (line, rule) in lines.iter().zip(["no-batch-when-busy", "bookings", "beta"]) {
        assert!(line.starts_with(&format!("skipped {rule}: ")), "{line}");
    }
    assert_eq!(
        lines[3],
        "matched search: route service=slot-search class=- timeout_ms=- idempotent=true hedge=true"
    );
}

#[test]
fn a_skipped_rule_shows_expected_and_actual_value() {
    let output = explain("explain-why.json", &["--method", "GET", "--path", "/slots"]);

    let line = output.stdout.lines().find(|line| line.starts_with("skipped bookings: "));
    let names_both_values =
        |line: &str| ["method", "POST", "GET"].iter().all(|part| line.contains(part));
    assert!(line.is_some_and(names_both_values), "{}", output.stdout);
}

#[test]
fn headers_and_service_state_come_from_the_command_line() {
    let request = ["--method", "GET", "--path", "/slots"];
    let cases: [(&[&str], &str); 4] = [
        (&["--header", "X-Beta=on"], "beta"),
        (&["--header", "x-beta=off"], "search"),
        (&["--class", "batch", "--queue-wait", "slot-search=500"], "no-batch-when-busy"),
        (&["--class", "batch", "--queue-wait", "slot-search=499"], "search"),
    ];
    for (position, (args, rule)) in cases.into_iter().enumerate() {
        let output = explain(&format!("state-{position}.json"), &[&request, args].concat());
        let last = output.stdout.lines().last().unwrap_or_default();
        assert!(last.starts_with(&format!("matched {rule}: ")), "{args:?}: {}", output.stdout);
    }
}

#[test]
fn a_request_that_matches_no_rule_is_refused() {
    let output = explain("explain-none.json", &["--method", "PUT", "--path", "/slots"]);

    assert_eq!(output.code, Some(1));
    assert!(output.stdout.ends_with("no rule matches: refused, reason rule\n"));
}

#[test]
fn json_contains_the_matched_rule() {
    let output =
        explain("explain-json.json", &["--json", "--method", "POST", "--path", "/bookings/1"]);

    assert_eq!(output.code, Some(0), "{}", output.stderr);
    let json = output.json();
    assert_eq!(json["matched"]["name"], json!("bookings"));
    assert_eq!(json["skipped"][0]["rule"], json!("no-batch-when-busy"));
}

#[test]
fn an_invalid_file_is_an_error() {
    let file = TempFile::new("explain-bad.json", "{}");

    let output = run(&[
        "explain",
        "--config",
        file.arg(),
        "--customer",
        "c",
        "--method",
        "GET",
        "--path",
        "/",
    ]);

    assert_eq!(output.code, Some(1));
    assert!(output.stderr.contains(file.arg()), "{}", output.stderr);
    assert_eq!(output.stdout, "");
}

fn explain_keyed(name: &str, key: &str, path: &str) -> ToolOutput {
    explain_with_key(name, key, path, true)
}

fn explain_with_key(name: &str, key: &str, path: &str, is_required: bool) -> ToolOutput {
    let mut config: serde_json::Value = serde_json::from_str(CONFIG).unwrap();
    config["api_keys_required"] = json!(is_required);
    config["customers"][0]["api_keys"] = json!(["k-1"]);
    config["customers"][0]["rate_limit"] =
        json!({"requests_per_second": 20.0, "burst_requests": 5.0});
    let file = TempFile::new(name, &config.to_string());
    let key_file = TempFile::new(&format!("{name}.key"), key);
    let args = ["explain", "--config", file.arg(), "--api-key-file", key_file.arg()];
    run(&[&args[..], &["--method", "GET", "--path", path]].concat())
}

#[test]
fn the_caller_of_an_api_key_is_shown() {
    let output = explain_keyed("keyed.json", "k-1\n", "/slots");
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    let expected = "caller: customer=timeliten class=- requests_per_second=20 burst=5\n";
    assert!(output.stdout.ends_with(expected), "{}", output.stdout);
}

/// Guards against an output that shows a key, which would end up in a ticket.
#[test]
fn an_unknown_api_key_is_reported_and_not_shown() {
    let output = explain_keyed("keyed-unknown.json", "secret-9", "/slots");
    assert_eq!(output.code, Some(1), "{}", output.stdout);
    let expected = "caller: refused, reason api-key key=unknown\n";
    assert!(output.stdout.ends_with(expected), "{}", output.stdout);
    assert!(!format!("{}{}", output.stdout, output.stderr).contains("secret-9"));
}

/// Guards against an operator who takes a key for one that is checked.
#[test]
fn a_key_that_is_not_required_is_shown_as_such() {
    let output = explain_with_key("unkeyed.json", "k-1", "/slots", false);
    let expected = "caller: no API key required; VMs with config_lease.max_age_s refuse any key\n";
    assert!(output.stdout.ends_with(expected), "{}", output.stdout);
}
