//! `explain` on a file with four rules.

mod testenv;

use serde_json::json;
use testenv::{CONFIG, Outcome, TempFile, run};

fn explain(name: &str, args: &[&str]) -> Outcome {
    let file = TempFile::new(name, CONFIG);
    let fixed = ["explain", "--config", file.arg(), "--customer", "timeliten"];
    run(&[&fixed, args].concat())
}

#[test]
fn the_first_rule_that_holds_is_shown_and_each_rule_before_it() {
    let outcome = explain("explain.json", &["--method", "GET", "--path", "/slots/today"]);

    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    let lines: Vec<&str> = outcome.stdout.lines().collect();
    assert_eq!(lines.len(), 4, "{}", outcome.stdout);
    for (line, rule) in lines.iter().zip(["no-batch-when-busy", "bookings", "beta"]) {
        assert!(line.starts_with(&format!("skipped {rule}: ")), "{line}");
    }
    assert_eq!(
        lines[3],
        "matched search: route service=slot-search class=- timeout_ms=- idempotent=true hedge=true"
    );
}

#[test]
fn a_skipped_rule_says_what_was_wanted_and_what_was_found() {
    let outcome = explain("explain-why.json", &["--method", "GET", "--path", "/slots"]);

    let line = outcome.stdout.lines().find(|line| line.starts_with("skipped bookings: "));
    let is_whole = |line: &str| ["method", "POST", "GET"].iter().all(|part| line.contains(part));
    assert!(line.is_some_and(is_whole), "{}", outcome.stdout);
}

#[test]
fn headers_and_live_facts_are_taken_from_the_command_line() {
    let request = ["--method", "GET", "--path", "/slots"];
    let cases: [(&[&str], &str); 4] = [
        (&["--header", "X-Beta=on"], "beta"),
        (&["--header", "x-beta=off"], "search"),
        (&["--class", "batch", "--queue-wait", "slot-search=500"], "no-batch-when-busy"),
        (&["--class", "batch", "--queue-wait", "slot-search=499"], "search"),
    ];
    for (position, (args, rule)) in cases.into_iter().enumerate() {
        let outcome = explain(&format!("facts-{position}.json"), &[&request, args].concat());
        let last = outcome.stdout.lines().last().unwrap_or_default();
        assert!(last.starts_with(&format!("matched {rule}: ")), "{args:?}: {}", outcome.stdout);
    }
}

#[test]
fn no_rule_that_holds_is_a_refusal() {
    let outcome = explain("explain-none.json", &["--method", "PUT", "--path", "/slots"]);

    assert_eq!(outcome.code, Some(1));
    assert!(outcome.stdout.ends_with("no rule matches: refused, reason rule\n"));
}

#[test]
fn json_carries_the_matched_rule() {
    let outcome =
        explain("explain-json.json", &["--json", "--method", "POST", "--path", "/bookings/1"]);

    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    let json = outcome.json();
    assert_eq!(json["matched"]["name"], json!("bookings"));
    assert_eq!(json["skipped"][0]["rule"], json!("no-batch-when-busy"));
}

#[test]
fn a_file_that_is_not_accepted_is_not_explained() {
    let file = TempFile::new("explain-bad.json", "{}");

    let outcome = run(&[
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

    assert_eq!(outcome.code, Some(1));
    assert!(outcome.stderr.contains(file.arg()), "{}", outcome.stderr);
    assert_eq!(outcome.stdout, "");
}
