//! The command line itself: help, version and usage errors.

mod testenv;

use testenv::run;

#[test]
fn help_names_every_command_and_exit_code() {
    let outcome = run(&["--help"]);

    assert_eq!(outcome.code, Some(0));
    for command in ["check", "explain", "status", "endpoints", "members", "histograms", "entries"] {
        let listed = outcome.stdout.lines().any(|line| line.starts_with(&format!("  {command} ")));
        assert!(listed, "{command} is missing in\n{}", outcome.stdout);
    }
    for code in 0..=4 {
        assert!(outcome.stdout.contains(&format!("\n  {code}  ")), "{}", outcome.stdout);
    }
}

#[test]
fn version_is_the_package_version() {
    let outcome = run(&["--version"]);

    assert_eq!(outcome.code, Some(0));
    assert_eq!(outcome.stdout, format!("pistachiotrack {}\n", env!("CARGO_PKG_VERSION")));
}

#[test]
fn wrong_command_lines_end_with_2_and_name_the_fault() {
    let cases: [(&[&str], &str); 10] = [
        (&[], "no command"),
        (&["paint"], "paint"),
        (&["check"], "no file"),
        (&["check", "--fast", "x.json"], "--fast"),
        (&["status"], "--admin"),
        (&["status", "--admin", "localhost"], "localhost"),
        (&["status", "--admin", "127.0.0.1:1", "extra"], "extra"),
        (&["status", "--admin", "127.0.0.1:1", "--timeout-ms", "soon"], "soon"),
        (&["explain", "--config", "x.json", "--customer", "c", "--method", "GET"], "--path"),
        (&["entries", "--vm", "127.0.0.1:1", "--service", "s"], "--customer"),
    ];
    for (args, fault) in cases {
        let outcome = run(args);
        assert_eq!(outcome.code, Some(2), "{args:?}: {}", outcome.stderr);
        assert!(outcome.stderr.contains(fault), "{args:?}: {}", outcome.stderr);
        assert_eq!(outcome.stdout, "", "{args:?}");
    }
}
