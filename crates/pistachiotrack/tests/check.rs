//! `check` on files.

mod testenv;

use serde_json::json;
use testenv::{CONFIG, TempFile, run};

#[test]
fn a_good_file_is_accepted() {
    let file = TempFile::new("good.json", CONFIG);

    let outcome = run(&["check", file.arg()]);

    assert_eq!(outcome.code, Some(0), "{}{}", outcome.stdout, outcome.stderr);
    assert!(outcome.stdout.contains(&format!("{}: accepted", file.arg())));
}

/// An operator mistypes a field's name. If the daemon took the value and left
/// the field aside, the rule would match more than was meant; so the file must
/// be turned down before it is published, and the others still be checked.
#[test]
fn an_unknown_field_is_a_problem_and_the_other_files_are_checked() {
    let bad = TempFile::new("typo.json", &CONFIG.replace("path_prefix", "path_prefx"));
    let good = TempFile::new("beside.json", CONFIG);

    let outcome = run(&["check", bad.arg(), good.arg()]);

    assert_eq!(outcome.code, Some(1));
    let problem = outcome.stdout.lines().find(|line| line.starts_with(bad.arg()));
    assert!(problem.is_some_and(|line| line.contains("path_prefx")), "{}", outcome.stdout);
    assert!(outcome.stdout.contains(&format!("{}: accepted", good.arg())), "{}", outcome.stdout);
}

#[test]
fn all_problems_are_shown_at_once() {
    let json = CONFIG.replace("\"floor\": 1", "\"floor\": 9").replace("0.8", "1.5");
    let file = TempFile::new("three.json", &json);

    let outcome = run(&["check", file.arg()]);

    assert_eq!(outcome.code, Some(1));
    let fields = ["services[0].floor", "services[0].sensitivity", "services[1].floor"];
    for field in fields {
        let start = format!("{}: {field}: ", file.arg());
        assert!(outcome.stdout.lines().any(|line| line.starts_with(&start)), "{}", outcome.stdout);
    }
    assert_eq!(outcome.stdout.lines().count(), fields.len(), "{}", outcome.stdout);
}

/// An operator puts a narrow rule behind a wide one. The file is valid, but the
/// narrow rule never decides a request; nothing would show this in production.
#[test]
fn a_rule_that_is_never_reached_is_a_warning() {
    let json = CONFIG.replace(
        r#"{ "customer": "timeliten", "method": "POST", "path_prefix": "/bookings" }"#,
        "{}",
    );
    assert_ne!(json, CONFIG);
    let file = TempFile::new("shadowed.json", &json);

    let outcome = run(&["check", file.arg()]);

    assert_eq!(outcome.code, Some(0), "{}", outcome.stdout);
    for index in [2, 3] {
        let start = format!("{}: warning: rules[{index}]: ", file.arg());
        assert!(outcome.stdout.lines().any(|line| line.starts_with(&start)), "{}", outcome.stdout);
    }
}

#[test]
fn json_lists_the_problems_of_each_file() {
    let good = TempFile::new("json-good.json", CONFIG);
    let bad = TempFile::new("json-bad.json", "{");

    let outcome = run(&["check", "--json", good.arg(), bad.arg()]);

    assert_eq!(outcome.code, Some(1));
    let json = outcome.json();
    assert_eq!(json[0]["accepted"], json!(true));
    assert_eq!(json[0]["problems"], json!([]));
    assert_eq!(json[1]["file"], json!(bad.arg()));
    assert_eq!(json[1]["accepted"], json!(false));
    assert!(json[1]["problems"][0]["problem"].is_string(), "{json}");
}

#[test]
fn a_file_that_can_not_be_read_is_named() {
    let outcome = run(&["check", "no-such-file.json"]);

    assert_eq!(outcome.code, Some(4));
    assert!(outcome.stderr.contains("no-such-file.json"), "{}", outcome.stderr);
}
