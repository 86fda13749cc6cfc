//! Tests of `contention`: failed attempts and refusals in the logs of many VMs, by window of time.

mod testenv;

use serde_json::{Value, json};
use testenv::{TempFile, ToolOutput, run, run_with_input};

const SHED: &str = "Shed";
const ERROR_500: &str = "Answered { status: 500, fresh_connection: true }";
const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// The daemon's line of an attempt, `ms` after 07:31.
fn attempt(ms: u32, service: &str, endpoint: &str, outcome: &str, choice: &str) -> String {
    format!(
        "time={} level=warn module=pistachiotrackd::request_task event=attempt_ended request=9c41 \
         fingerprint=3f00 config_version=Some(77311) service={service} endpoint={endpoint} \
         idempotent=true outcome={outcome} choice={choice} risk_percent=2.0 \
         last_seen_ms_ago=Some(3) took_ms=31\n",
        time(ms)
    )
}

/// The daemon's line of a refusal.
#[derive(Clone, Copy)]
struct Refused<'a> {
    ms: u32,
    to: &'a str,
    decided_by: &'a str,
    reason: &'a str,
    retry_after_ms: Option<u64>,
    age_ms: u64,
    sent: &'a str,
}

const REFUSED: Refused<'_> = Refused {
    ms: 0,
    to: "caller",
    decided_by: "vm-01",
    reason: "queue-full",
    retry_after_ms: None,
    age_ms: 40,
    sent: "none",
};

impl Refused<'_> {
    fn line(&self) -> String {
        format!(
            "time={} level=warn module=pistachiotrackd::refusal_log event=refused request=9c41 \
             to={} decided_by={} execution=not-run reason={} retry_after_ms={:?} age_ms={} \
             sent={}\n",
            time(self.ms),
            self.to,
            self.decided_by,
            self.reason,
            self.retry_after_ms,
            self.age_ms,
            self.sent
        )
    }
}

fn time(ms: u32) -> String {
    let (minute, second, ms) = (31 + ms / 60_000, ms / 1_000 % 60, ms % 1_000);
    let (hour, minute) = (7 + minute / 60, minute % 60);
    format!("2026-02-05T{hour:02}:{minute:02}:{second:02}.{ms:03}+00:00")
}

fn contention(log: &str) -> ToolOutput {
    run_with_input(&["contention", "--json"], log.as_bytes())
}

fn windows(log: &str) -> Vec<Value> {
    contention(log).json()["windows"].as_array().expect("an array").clone()
}

fn lines(log: &[u8]) -> Value {
    run_with_input(&["contention", "--json"], log).json()["lines"].clone()
}

/// An outcome with spaces in braces must not end the line's pairs: the choice comes after it. An
/// answer that is no failure, which a VM logs at the level `debug`, isn't counted.
#[test]
fn failed_attempts_are_counted_by_outcome_and_choice() {
    let log = [
        attempt(0, "booking", "i-1", ERROR_500, "Best"),
        attempt(1, "booking", "i-1", ERROR_500, "Explored"),
        attempt(2, "booking", "i-2", "Answered { status: 500, fresh_connection: false }", "Best"),
        attempt(3, "booking", "i-2", "Answered { status: 200, fresh_connection: true }", "Best"),
        attempt(4, "booking", "i-2", "Broken { fresh_connection: true }", "Overdue"),
        attempt(5, "lookup", "i-3", SHED, "Untried"),
    ];
    let windows = windows(&log.concat());
    assert_eq!(windows.len(), 1, "{windows:?}");
    let expected = json!([
        {"service": "booking", "outcome": "Answered 500", "failed": 3,
         "by_choice": {"Best": 2, "Explored": 1}},
        {"service": "booking", "outcome": "Broken", "failed": 1, "by_choice": {"Overdue": 1}},
        {"service": "lookup", "outcome": "Shed", "failed": 1, "by_choice": {"Untried": 1}},
    ]);
    assert_eq!(windows[0]["failures"], expected);
    assert_eq!(windows[0]["attempts_failed"], 5);
    let expected = json!([
        {"endpoint": "i-1", "service": "booking", "failed": 2},
        {"endpoint": "i-2", "service": "booking", "failed": 2},
        {"endpoint": "i-3", "service": "lookup", "failed": 1},
    ]);
    assert_eq!(windows[0]["endpoints"], expected);
}

#[test]
fn refusals_have_percentiles_and_the_number_of_vms_that_decided() {
    let mut log = String::new();
    for number in (1..=100).rev() {
        let vm = format!("vm-{:02}", number % 4);
        let retry_after_ms = (number <= 10).then_some(number * 1_000);
        let refusal = Refused { decided_by: &vm, retry_after_ms, age_ms: number, ..REFUSED };
        log += &refusal.line();
    }
    log += &Refused { reason: "rule", ..REFUSED }.line();
    let windows = windows(&log);
    let [queue_full, rule] = windows[0]["refusals"].as_array().unwrap().as_slice() else {
        panic!("{windows:?}");
    };
    assert_eq!(queue_full["reason"], "queue-full");
    assert_eq!(queue_full["to_callers"], 100);
    assert_eq!(queue_full["vms"], 4);
    assert_eq!(queue_full["age_ms"], json!({"p50": 50, "p99": 98}));
    // Values are rounded down by less than 1/32.
    for (percentile, exact) in [("p50", 5_000), ("p99", 10_000)] {
        let value = queue_full["retry_after_ms"][percentile].as_u64().unwrap();
        assert!(value <= exact && value > exact - exact / 32, "{percentile}: {value}");
    }
    assert_eq!(rule["retry_after_ms"], Value::Null);
    assert_eq!(windows[0]["vms"][0], json!({"vm": "vm-01", "refused": 26}));
}

/// A VM refused a request that another VM had forwarded, and the other one passed the refusal on
/// to the caller. Both write a line; counted twice, forwarding would look like refusals.
#[test]
fn a_refusal_that_was_passed_on_counts_once_at_the_vm_that_decided() {
    let forwarded = Refused { decided_by: "vm-04", ..REFUSED };
    let log = Refused { to: "vm", ..forwarded }.line() + &forwarded.line();
    let windows = windows(&log);
    assert_eq!(windows[0]["refused_to_callers"], 1);
    assert_eq!(windows[0]["refused_to_vms"], 1);
    assert_eq!(windows[0]["refusals"][0]["vms"], 1);
    assert_eq!(windows[0]["vms"], json!([{"vm": "vm-04", "refused": 1}]));
}

/// Each file covers the same time, so that the second one goes back to the first window. The
/// order in which files are read, or lines arrive at the standard input, must not matter.
#[test]
fn windows_are_the_same_in_any_order_of_files_and_lines() {
    let first = attempt(100, "booking", "i-1", SHED, "Best")
        + &attempt(5_900, "booking", "i-2", SHED, "Best");
    let second = Refused { ms: 1_999, sent: "i-2/not-run/7", ..REFUSED }.line()
        + &Refused { ms: 2_000, ..REFUSED }.line();
    let (first_file, second_file) =
        (TempFile::new("order-1.log", &first), TempFile::new("order-2.log", &second));
    let output = run(&["contention", "--json", first_file.arg(), second_file.arg()]);
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    let report = output.json();
    let starts: Vec<&str> = report["windows"]
        .as_array()
        .unwrap()
        .iter()
        .map(|window| window["start"].as_str().unwrap())
        .collect();
    assert_eq!(starts, ["2026-02-05T07:31:00Z", "2026-02-05T07:31:02Z", "2026-02-05T07:31:04Z"]);
    assert_eq!(report["windows"][0]["attempts_failed"], 1);
    assert_eq!(report["windows"][0]["refused_to_callers"], 1);

    let reversed = run(&["contention", "--json", second_file.arg(), first_file.arg()]);
    assert_eq!(reversed.stdout, output.stdout);
    assert_eq!(contention(&(second + &first)).stdout, output.stdout);

    let minute = run(&["contention", "--json", "--window-s", "60", first_file.arg()]).json();
    assert_eq!(minute["windows"].as_array().unwrap().len(), 1);
    assert_eq!(minute["windows"][0]["attempts_failed"], 2);
}

/// The VMs of a fleet needn't log in the same time zone.
#[test]
fn windows_go_by_the_instant_and_not_by_the_digits() {
    let utc = attempt(0, "booking", "i-1", SHED, "Best");
    let elsewhere = utc.replace("07:31:00.000+00:00", "08:31:00.000+01:00");
    assert_ne!(utc, elsewhere);
    assert_eq!(windows(&(utc + &elsewhere))[0]["attempts_failed"], 2);
}

/// The line of a refusal names no service. It is that of the endpoints that the request was sent
/// to, which other lines give, also later ones.
#[test]
fn the_service_of_a_refusal_is_that_of_the_endpoints_it_was_sent_to() {
    let log = [
        attempt(0, "booking", "i-1", SHED, "Best"),
        Refused { sent: "vm-04/not-run/9,i-1/not-run/7", ..REFUSED }.line(),
        Refused { sent: "i-2/not-run/7", ..REFUSED }.line(),
        Refused { sent: "i-9/not-run/7", ..REFUSED }.line(),
        Refused { sent: "none", ..REFUSED }.line(),
        REFUSED.line().replace(" sent=", " service=lookup sent="),
        attempt(1, "booking", "i-2", SHED, "Best"),
    ];
    let windows = windows(&log.concat());
    let refusals = windows[0]["refusals"].as_array().unwrap().iter();
    let by_service: Vec<_> = refusals.map(|row| (&row["service"], &row["to_callers"])).collect();
    let expected =
        [(&Value::Null, &json!(2)), (&json!("booking"), &json!(2)), (&json!("lookup"), &json!(1))];
    assert_eq!(by_service, expected);
}

/// Log collectors put the time and the VM's name before the line, and pairs of their own. The VM
/// is taken from there only where the line doesn't name the one that decided.
#[test]
fn the_vm_is_the_one_that_decided_or_else_the_word_before_the_time() {
    let without_decider = REFUSED.line().replace(" decided_by=vm-01", "");
    let log = [
        format!("2026-02-05T07:31:09Z service=collector vm-07 {}", REFUSED.line()),
        format!("2026-02-05T07:31:09Z service=collector vm-07 {without_decider}"),
        format!("vm-07: {without_decider}"),
        without_decider,
    ];
    let windows = windows(&log.concat());
    let expected = json!([{"vm": "vm-07", "refused": 2}, {"vm": "vm-01", "refused": 1}]);
    assert_eq!(windows[0]["vms"], expected);
    assert_eq!(windows[0]["refusals"][0]["to_callers"], 4);
    assert_eq!(windows[0]["refusals"][0]["service"], Value::Null);
    assert_eq!(windows[0]["start"], "2026-02-05T07:31:00Z");
}

/// The line has no time. It is written before the next one of the same VM, whose window has counts
/// that are too low.
#[test]
fn lines_left_out_are_reported_in_the_window_of_the_next_line() {
    let left_out = |count| format!("level=warn event=log_lines_left_out count={count}\n");
    let log = [
        attempt(0, "booking", "i-1", SHED, "Best"),
        left_out(30),
        attempt(2_000, "booking", "i-1", SHED, "Best"),
        left_out(400),
    ];
    let (first, second) =
        (TempFile::new("left-out-1.log", &log.concat()), TempFile::new("left-out-2.log", &log[0]));
    let report = run(&["contention", "--json", first.arg(), second.arg()]).json();
    assert_eq!(report["windows"][0]["lines_left_out"], 0);
    assert_eq!(report["windows"][1]["lines_left_out"], 430);
    assert_eq!(report["lines"]["left_out"], 430);
}

/// Lines that were cut off or aren't the daemon's must neither fail the command nor be counted as
/// something else.
#[test]
fn unreadable_lines_are_skipped_and_counted() {
    let attempt = attempt(0, "booking", "i-1", ERROR_500, "Best");
    let refused = Refused { retry_after_ms: Some(31), ..REFUSED }.line();
    let unreadable = [
        "thread 'main' panicked\n".to_owned(),
        attempt[..attempt.find(" outcome").unwrap()].to_owned() + "\n",
        attempt.replace("status: 500", "status: five"),
        attempt.replace("07:31", "7h31"),
        refused.replace("age_ms=40", "age_ms=-1"),
        refused.replace("Some(31)", "Some(31"),
        refused[..refused.find(" age_ms").unwrap()].to_owned() + "\n",
        "level=warn event=log_lines_left_out count=many\n".to_owned(),
        format!("{}{attempt}", "x".repeat(70_000)),
    ];
    let mut log = unreadable.concat().into_bytes();
    log.extend(b"time=\xff\xfe event=refused\n\n   \n");
    let other = attempt.replace("attempt_ended", "member_changed");
    // A brace that isn't closed doesn't hide the pairs after it.
    let unclosed =
        attempt.replace("Answered { status: 500, fresh_connection: true }", "Broken { x");
    log.extend((other + &unclosed + refused.trim_end()).into_bytes());
    let expected = json!({"read": 13, "counted": 2, "other": 1, "unreadable": 10,
        "before_first_window": 0, "left_out": 0});
    assert_eq!(lines(&log), expected);
}

/// Logs that name ever new services, endpoints and VMs must not take ever more memory. What is
/// beyond the limits is still counted.
#[test]
fn names_beyond_the_limits_share_a_row() {
    let mut log = String::new();
    for number in 0..1_030 {
        let endpoint = format!("i-{number}");
        log += &attempt(0, &format!("service-{number}"), &endpoint, SHED, "Best");
    }
    for number in 0..16_500 {
        log += &attempt(0, "service-0", &format!("i-{number}"), SHED, "Best");
    }
    for number in 0..8_200 {
        log += &Refused { decided_by: &format!("vm-{number}"), ..REFUSED }.line();
    }
    log += &attempt(0, &"long".repeat(100), "i-0", SHED, "Best");
    let report = contention(&log).json();
    let window = &report["windows"][0];
    assert_eq!(window["attempts_failed"], 1_030 + 16_500 + 1);
    assert_eq!(window["failures"].as_array().unwrap().len(), 1_025);
    assert_eq!(window["failures"][0]["service"], "(other)");
    assert_eq!(window["failures"][0]["failed"], 6 + 1);
    assert_eq!(
        window["endpoints"][0],
        json!({"endpoint": "(other)", "service": "service-0", "failed": 16_500 - 16_384})
    );
    assert_eq!(window["vms"][0], json!({"vm": "(other)", "refused": 8}));
    assert_eq!(report["not_kept"], 6 + (16_500 - 16_384) + 8 + 1);
    assert_eq!(window["endpoints"].as_array().unwrap().len(), 5);
}

/// Returns a log with a refusal of each service in each window of a second. Each has a row, which
/// takes 19 cells of the 4 million with its values and its VM.
fn refusals_of_services(services: u32, windows: u32) -> String {
    let mut log = String::new();
    for number in 0..services * windows {
        let (service, time) = (number % services, time(number / services * 1_000));
        let vm = number % 97;
        log += &format!(
            "time={time} event=refused decided_by=vm-{vm} service=s{service} reason=rule \
             age_ms={vm} retry_after_ms=Some({vm})\n"
        );
    }
    log
}

/// Names within the limits still combine into any number of rows, which must not take ever more
/// memory either. Rows beyond the limit are counted in a row for all of them.
#[test]
fn rows_beyond_the_limit_share_a_row() {
    let log = refusals_of_services(70, 3_600);
    let output = run_with_input(&["contention", "--window-s", "1"], log.as_bytes());
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    let heads = output.stdout.lines().filter_map(|line| line.split_once(" refused to callers "));
    let refused = heads.map(|(_, rest)| rest.split(',').next().unwrap().parse::<u32>().unwrap());
    assert_eq!(refused.sum::<u32>(), 70 * 3_600);
    assert!(output.stdout.contains("\ns1       rule     1 "));
    assert!(output.stdout.contains("\n(other)  (other)  70 "));
    assert!(output.stdout.contains("\nnot kept: "));
}

/// Windows that aren't kept any more must make room for the rows of newer ones, or else all but
/// the beginning of a long log would be counted in shared rows.
#[test]
fn rows_of_dropped_windows_make_room() {
    let log = refusals_of_services(35, 7_200);
    let output = run_with_input(&["contention", "--window-s", "1"], log.as_bytes());
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    assert!(output.stdout.contains("\nnot shown: 126000 lines before the first window"));
    assert!(!output.stdout.contains("(other)"));
    assert!(!output.stdout.contains("not kept"));
}

/// A log of more windows than are kept: the newest ones stay, whichever come first, and the lines
/// of the others are reported.
#[test]
fn the_newest_windows_are_kept() {
    let times = (0..4_000).map(|number| number * 1_000);
    let shed = |ms| attempt(ms, "booking", "i-1", SHED, "Best");
    let ascending: String = times.clone().map(shed).collect();
    let descending: String = times.rev().map(shed).collect();
    let run =
        |log: &str| run_with_input(&["contention", "--window-s", "1", "--json"], log.as_bytes());
    let output = run(&ascending);
    let report = output.json();
    let windows = report["windows"].as_array().unwrap();
    assert_eq!(windows.len(), 3_600);
    assert_eq!(windows[0]["start"], "2026-02-05T07:37:40Z");
    assert_eq!(report["lines"]["counted"], 3_600);
    assert_eq!(report["lines"]["before_first_window"], 400);
    assert_eq!(run(&descending).stdout, output.stdout);
    let text = run_with_input(&["contention", "--window-s", "1"], ascending.as_bytes()).stdout;
    assert!(text.contains("not shown: 400 lines before the first window"), "{text}");
}

/// Names come from the network; an escape sequence could overwrite the operator's terminal.
#[test]
fn control_characters_are_escaped() {
    let log = attempt(0, "boo\u{1b}[2Jking", "i-1\u{7}", "Sh\u{1b}ed", "Be\u{1b}st")
        + &Refused { decided_by: "vm\u{1b}[1A", reason: "queue\u{1b}", ..REFUSED }.line();
    let output = run_with_input(&["contention"], log.as_bytes());
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    let is_control = |character: char| character.is_control() && character != '\n';
    assert!(!output.stdout.contains(is_control), "{:?}", output.stdout);
    assert!(output.stdout.contains("boo\\u{1b}[2Jking"), "{}", output.stdout);
}

#[test]
fn logs_without_failures_and_unreadable_files_have_exit_codes_of_their_own() {
    let nothing = contention("time=2026-02-05T07:31:00Z level=info event=started vm=vm-01\n");
    assert_eq!(nothing.code, Some(1), "{}", nothing.stderr);
    assert_eq!(nothing.json()["lines"]["other"], 1);
    let output = run(&["contention", "/no/such/file.log"]);
    assert_eq!(output.code, Some(4));
    assert!(output.stderr.contains("/no/such/file.log"), "{}", output.stderr);
    assert_eq!(output.stdout, "");
}

/// The example of the page for those on call must be what the command prints.
#[test]
fn the_example_in_the_operations_page_is_the_output() {
    let (mut first, mut second) = (String::new(), String::new());
    for number in 0..24_u32 {
        let endpoint = format!("i-{}#19c2b7", number % 3);
        let choice = if number % 8 == 0 { "Explored" } else { "Best" };
        first += &attempt(16_000 + number * 80, "booking", &endpoint, SHED, choice);
        let refusal = Refused {
            ms: 16_030 + number * 80,
            decided_by: if number % 4 == 0 { "front-oslo-b-1" } else { "front-oslo-a-3" },
            retry_after_ms: Some(18 + u64::from(number % 5)),
            age_ms: 31 + u64::from(number),
            sent: &format!("{endpoint}/not-run/30"),
            ..REFUSED
        };
        if number % 2 == 0 {
            second += &refusal.line();
        }
    }
    first += "level=warn event=log_lines_left_out count=31\n";
    first += &attempt(18_200, "booking", "i-2#19c2b7", ERROR_500, "Best");
    second += &Refused {
        ms: 18_900,
        decided_by: "front-oslo-b-1",
        reason: "wait-too-long",
        retry_after_ms: Some(1_200),
        age_ms: 0,
        ..REFUSED
    }
    .line();
    let (first, second) =
        (TempFile::new("example-1.log", &first), TempFile::new("example-2.log", &second));
    let output = run(&["contention", first.arg(), second.arg()]);
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    let example = format!("$ pistachiotrack contention *.log\n{}```\n", output.stdout);
    assert!(OPERATIONS_PAGE.contains(&example), "not in docs/OPERATIONS.md:\n{example}");
}
