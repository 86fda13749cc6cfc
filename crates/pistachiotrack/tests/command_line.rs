//! Tests of the command line: help, version and usage errors.

mod testenv;

use testenv::run;

#[test]
fn help_names_every_command_and_exit_code() {
    let output = run(&["--help"]);

    assert_eq!(output.code, Some(0));
    let commands = [
        "check",
        "explain",
        "status",
        "endpoints",
        "members",
        "histograms",
        "entries",
        "trace",
        "contention",
    ];
    for command in commands {
        let listed = output.stdout.lines().any(|line| line.starts_with(&format!("  {command} ")));
        assert!(listed, "{command} is missing in\n{}", output.stdout);
    }
    for code in 0..=4 {
        assert!(output.stdout.contains(&format!("\n  {code}  ")), "{}", output.stdout);
    }
}

#[test]
fn version_is_the_package_version() {
    let output = run(&["--version"]);

    assert_eq!(output.code, Some(0));
    assert_eq!(output.stdout, format!("pistachiotrack {}\n", env!("CARGO_PKG_VERSION")));
}

#[test]
fn usage_errors_exit_with_2_and_name_the_problem() {
    let cases: [(&[&str], &str); 14] = [
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
        (&["contention", "--window-s", "0"], "from 1 to 86400"),
        (&["contention", "--window-s", "0.5"], "from 1 to 86400"),
        (&["contention", "--window-s"], "--window-s"),
        (&["contention", "--fast", "x.log"], "--fast"),
    ];
    for (args, problem) in cases {
        let output = run(args);
        assert_eq!(output.code, Some(2), "{args:?}: {}", output.stderr);
        assert!(output.stderr.contains(problem), "{args:?}: {}", output.stderr);
        assert_eq!(output.stdout, "", "{args:?}");
    }
}
