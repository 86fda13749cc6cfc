//! The `slopes` command: measures what the decisions cost at several sizes and
//! fits straight lines, from which `docs/CAPACITY.md` is worked out.

mod acceptance;
mod budget;
mod decisions;
mod faults;
mod fit;
mod fleet;
mod members;
mod meter;
mod owner;
mod platform;
mod report;
mod sample;
mod scale;
mod spread;

use std::process::ExitCode;

use pico_args::Arguments;

use self::report::Report;

/// Runs the command.
///
/// # Errors
///
/// Returns an error if there are arguments that it does not know.
pub(crate) fn run(mut args: Arguments) -> anyhow::Result<ExitCode> {
    let json = args.contains("--json");
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "slopes: unknown arguments: {rest:?}");
    let report = measure();
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        report.print();
    }
    Ok(ExitCode::SUCCESS)
}

/// A named part of the measurements.
struct Group {
    name: &'static str,
    measure: fn(&mut Report),
}

const GROUPS: [Group; 7] = [
    Group { name: "acceptance", measure: acceptance::measure },
    Group { name: "decisions", measure: decisions::measure },
    Group { name: "owner", measure: owner::measure },
    Group { name: "members", measure: members::measure },
    Group { name: "spread", measure: spread::measure },
    Group { name: "faults", measure: faults::measure },
    Group { name: "budget", measure: budget::add },
];

fn measure() -> Report {
    let mut report = Report::default();
    for group in GROUPS {
        eprintln!("measuring={}", group.name);
        (group.measure)(&mut report);
    }
    report
}
