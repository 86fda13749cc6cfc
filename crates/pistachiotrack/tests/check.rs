//! Tests of `check` on configuration files.

mod testenv;

use serde_json::json;
use testenv::{CONFIG, TempFile, run};

#[test]
fn a_valid_file_is_accepted() {
    let file = TempFile::new("good.json", CONFIG);

    let output = run(&["check", file.arg()]);

    assert_eq!(output.code, Some(0), "{}{}", output.stdout, output.stderr);
    assert!(output.stdout.contains(&format!("{}: accepted", file.arg())));
}

/// An operator mistypes a field's name. If the field were ignored, the rule would match more
/// requests than intended, so the file must be rejected before it is published. The other
/// files must still be checked.
#[test]
fn an_unknown_field_is_a_problem_and_the_other_files_are_checked() {
    let bad = TempFile::new("typo.json", &CONFIG.replace("path_prefix", "path_prefx"));
    let good = TempFile::new("beside.json", CONFIG);

    let output = run(&["check", bad.arg(), good.arg()]);

    assert_eq!(output.code, Some(1));
    let problem = output.stdout.lines().find(|line| line.starts_with(bad.arg()));
    assert!(problem.is_some_and(|line| line.contains("path_prefx")), "{}", output.stdout);
    assert!(output.stdout.contains(&format!("{}: accepted", good.arg())), "{}", output.stdout);
}

#[test]
fn all_problems_are_shown_at_once() {
    let json = CONFIG.replace("\"floor\": 1", "\"floor\": 9").replace("0.8", "1.5");
    let file = TempFile::new("three.json", &json);

    let output = run(&["check", file.arg()]);

    assert_eq!(output.code, Some(1));
    let fields = ["services[0].floor", "services[0].sensitivity", "services[1].floor"];
    for field in fields {
        let start = format!("{}: {field}: ", file.arg());
        assert!(output.stdout.lines().any(|line| line.starts_with(&start)), "{}", output.stdout);
    }
    assert_eq!(output.stdout.lines().count(), fields.len(), "{}", output.stdout);
}

/// An operator puts a specific rule after a general one. The file is valid, but the specific
/// rule never matches a request, and nothing would show this in production.
#[test]
fn an_unreachable_rule_is_a_warning() {
    let json = CONFIG.replace(
        r#"{ "customer": "timeliten", "method": "POST", "path_prefix": "/bookings" }"#,
        "{}",
    );
    assert_ne!(json, CONFIG);
    let file = TempFile::new("shadowed.json", &json);

    let output = run(&["check", file.arg()]);

    assert_eq!(output.code, Some(0), "{}", output.stdout);
    for index in [2, 3] {
        let start = format!("{}: warning: rules[{index}]: ", file.arg());
        assert!(output.stdout.lines().any(|line| line.starts_with(&start)), "{}", output.stdout);
    }
}

#[test]
fn json_lists_the_problems_of_each_file() {
    let good = TempFile::new("json-good.json", CONFIG);
    let bad = TempFile::new("json-bad.json", "{");

    let output = run(&["check", "--json", good.arg(), bad.arg()]);

    assert_eq!(output.code, Some(1));
    let json = output.json();
    assert_eq!(json[0]["accepted"], json!(true));
    assert_eq!(json[0]["problems"], json!([]));
    assert_eq!(json[1]["file"], json!(bad.arg()));
    assert_eq!(json[1]["accepted"], json!(false));
    assert!(json[1]["problems"][0]["problem"].is_string(), "{json}");
}

#[test]
fn an_unreadable_file_is_named() {
    let output = run(&["check", "no-such-file.json"]);

    assert_eq!(output.code, Some(4));
    assert!(output.stderr.contains("no-such-file.json"), "{}", output.stderr);
}
