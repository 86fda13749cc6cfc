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

/// Rounds of which the least times are taken.
const DEFAULT_ROUNDS: u32 = 3;

/// Runs the command.
///
/// # Errors
///
/// Returns an error if there are arguments that it does not know.
pub(crate) fn run(mut args: Arguments) -> anyhow::Result<ExitCode> {
    let json = args.contains("--json");
    let only: Option<String> = args.opt_value_from_str("--only")?;
    let rounds = args.opt_value_from_str("--rounds")?.unwrap_or(DEFAULT_ROUNDS);
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "slopes: unknown arguments: {rest:?}");
    let report = measure(only.as_deref(), rounds)?;
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
    /// Whether it measures processor time; the rest is the same in each round.
    timed: bool,
    measure: fn(&mut Report),
}

const GROUPS: [Group; 7] = [
    Group { name: "acceptance", timed: true, measure: acceptance::measure },
    Group { name: "decisions", timed: true, measure: decisions::measure },
    Group { name: "owner", timed: true, measure: owner::measure },
    Group { name: "members", timed: true, measure: members::measure },
    Group { name: "churn", timed: false, measure: members::churn },
    Group { name: "spread", timed: false, measure: spread::measure },
    Group { name: "faults", timed: false, measure: faults::measure },
];

fn measure(only: Option<&str>, rounds: u32) -> anyhow::Result<Report> {
    let groups: Vec<&Group> =
        GROUPS.iter().filter(|group| only.is_none_or(|only| only == group.name)).collect();
    let names = GROUPS.map(|group| group.name).join(", ");
    anyhow::ensure!(!groups.is_empty(), "slopes: --only takes one of {names}");
    let timed: Vec<Report> =
        (1..=rounds.max(1)).map(|round| one_round(&groups, true, round)).collect();
    let mut report = Report::of_rounds(&timed);
    report.append(one_round(&groups, false, 1));
    if only.is_none() {
        budget::add(&mut report);
    }
    Ok(report)
}

fn one_round(groups: &[&Group], timed: bool, round: u32) -> Report {
    let mut report = Report::default();
    for group in groups.iter().filter(|group| group.timed == timed) {
        eprintln!("round={round} measuring={}", group.name);
        (group.measure)(&mut report);
    }
    report
}
