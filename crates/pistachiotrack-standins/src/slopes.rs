//! The `slopes` command: measures the cost of control-plane operations at several
//! sizes and fits straight lines; `docs/CAPACITY.md` is based on the results.

mod acceptance;
mod budget;
mod decisions;
mod distribution;
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

use std::process::ExitCode;

use pico_args::Arguments;

use self::report::Report;

/// Number of rounds; the report has the shortest time of all rounds.
const DEFAULT_ROUNDS: u32 = 3;

/// Runs the command.
///
/// # Errors
///
/// Returns an error if there are unknown arguments, or no group has the name given with `--only`.
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

/// A named group of measurements.
struct MeasurementGroup {
    name: &'static str,
    /// Whether it measures processor time and is repeated in each round; the results of the other
    /// groups are deterministic.
    is_timed: bool,
    measure: fn(&mut Report),
}

const GROUPS: [MeasurementGroup; 7] = [
    MeasurementGroup { name: "acceptance", is_timed: true, measure: acceptance::measure },
    MeasurementGroup { name: "decisions", is_timed: true, measure: decisions::measure },
    MeasurementGroup { name: "owner", is_timed: true, measure: owner::measure },
    MeasurementGroup { name: "members", is_timed: true, measure: members::measure },
    MeasurementGroup { name: "churn", is_timed: false, measure: members::measure_churn },
    MeasurementGroup { name: "spread", is_timed: false, measure: distribution::measure },
    MeasurementGroup { name: "faults", is_timed: false, measure: faults::measure },
];

fn measure(only: Option<&str>, rounds: u32) -> anyhow::Result<Report> {
    let groups: Vec<&MeasurementGroup> =
        GROUPS.iter().filter(|group| only.is_none_or(|only| only == group.name)).collect();
    let names = GROUPS.map(|group| group.name).join(", ");
    anyhow::ensure!(!groups.is_empty(), "slopes: --only takes one of {names}");
    let timed_rounds: Vec<Report> =
        (1..=rounds.max(1)).map(|round| run_round(&groups, true, round)).collect();
    let mut report = Report::from_rounds(&timed_rounds);
    report.append(run_round(&groups, false, 1));
    if only.is_none() {
        budget::add_sums(&mut report);
    }
    Ok(report)
}

fn run_round(groups: &[&MeasurementGroup], is_timed: bool, round: u32) -> Report {
    let mut report = Report::default();
    for group in groups.iter().filter(|group| group.is_timed == is_timed) {
        eprintln!("round={round} measuring={}", group.name);
        (group.measure)(&mut report);
    }
    report
}
