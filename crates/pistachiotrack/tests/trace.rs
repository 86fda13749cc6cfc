//! Tests of `trace`: the log lines of a request and the one that decided its outcome.

mod testenv;

use testenv::{TempFile, run};

const FIRST_VM: &str = "\
time=2026-02-05T07:31:16.300+00:00 level=info event=member_changed vm=vm-02 state=Alive
time=2026-02-05T07:31:17.900+00:00 level=warn event=refused request=9c41 execution=unknown reason=deadline-passed
time=2026-02-05T07:31:17.100+00:00 level=warn event=attempt_ended request=9c41 endpoint=i-1 outcome=Broken
";
const SECOND_VM: &str = "\
time=2026-02-05T07:31:17.500+00:00 level=warn event=attempt_ended request=9c41 endpoint=i-2 outcome=TimedOut
time=2026-02-05T07:31:17.600+00:00 level=warn event=attempt_ended request=9c417 endpoint=i-3 outcome=Broken
";

/// The lines of a request are sorted by time across the logs of two VMs. The lines of another
/// request whose identity starts with the same characters are left out.
#[test]
fn the_lines_of_a_request_are_sorted_across_vms() {
    let (first, second) =
        (TempFile::new("first.log", FIRST_VM), TempFile::new("second.log", SECOND_VM));
    let output = run(&["trace", "9c41", first.arg(), second.arg()]);
    let lines: Vec<&str> = output.stdout.lines().collect();
    assert_eq!(output.code, Some(0));
    assert_eq!(lines.len(), 4, "{lines:?}");
    assert!(lines[0].contains("endpoint=i-1") && lines[1].contains("endpoint=i-2"));
    assert!(lines[2].contains("event=refused"));
    assert!(lines[3].starts_with("deciding: ") && lines[3].contains("reason=deadline-passed"));
}

/// A VM forwarded the request and passed the other VM's refusal on to the caller: the VM that
/// received the request is not the one that decided.
#[test]
fn the_vm_that_decided_is_named() {
    const FORWARDED_REFUSAL: &str = "\
time=2026-02-05T07:31:17.901+00:00 level=warn event=refused request=7 to=caller decided_by=vm-04 \
execution=not-run reason=queue-full sent=vm-04/not-run/31
time=2026-02-05T07:31:17.900+00:00 level=warn event=refused request=7 to=vm decided_by=vm-04 \
execution=not-run reason=queue-full sent=none
";
    let file = TempFile::new("passed-on.log", FORWARDED_REFUSAL);
    let output = run(&["trace", "7", file.arg()]);
    let lines: Vec<&str> = output.stdout.lines().collect();
    assert_eq!(lines.len(), 4, "{lines:?}");
    assert!(lines[2].starts_with("deciding: ") && lines[2].contains("to=caller"));
    assert_eq!(lines[3], "decided by: vm-04");
}

#[test]
fn a_request_in_no_log_is_reported() {
    let file = TempFile::new("empty.log", FIRST_VM);
    let output = run(&["trace", "none-such", file.arg()]);
    assert_eq!(output.code, Some(1));
    assert!(output.stdout.contains("is in none of these logs"), "{}", output.stdout);
}

#[test]
fn an_unreadable_log_is_named() {
    let output = run(&["trace", "9c41", "/no/such/file.log"]);
    assert_eq!(output.code, Some(4));
    assert!(output.stderr.contains("/no/such/file.log"), "{}", output.stderr);
}

/// A log collector put its own pairs before the daemon's line, and a value in braces has spaces.
/// The pairs after `time=` are those of the line.
#[test]
fn a_prefix_and_a_value_in_braces_do_not_hide_the_request() {
    const COLLECTED: &str = "\
request=collector-5 front-oslo-a-3 time=2026-02-05T07:31:17.100+00:00 level=warn \
event=attempt_ended outcome=Answered { status: 500, fresh_connection: true } request=9c41
";
    let file = TempFile::new("collected.log", COLLECTED);
    assert_eq!(run(&["trace", "9c41", file.arg()]).code, Some(0));
    assert_eq!(run(&["trace", "collector-5", file.arg()]).code, Some(1));
}
