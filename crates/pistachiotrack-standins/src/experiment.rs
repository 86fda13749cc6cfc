//! Experiments that compare the fleet with baselines in the same run.

use std::process::ExitCode;

use anyhow::Context;

use self::options::Options;

mod churn;
mod detect;
mod options;
mod overload;
mod ownership_monitor;
mod partition;
mod rollout;
mod table;
mod trial;

/// Names of the experiments, in the order in which `list` shows them.
const NAMES: &[&str] = &["churn", "detect", "overload", "partition", "rollout"];

/// Runs the experiment named by the first argument.
///
/// # Errors
///
/// Returns an error if the experiment doesn't exist or fails.
pub fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<ExitCode> {
    let name = arguments.subcommand()?.context("no experiment given; try `list`")?;
    match name.as_str() {
        "list" => list(),
        "churn" => churn::run(Options::parse(arguments)?),
        "detect" => detect::run(arguments),
        "overload" => overload::run(arguments),
        "partition" => partition::run(Options::parse(arguments)?),
        "rollout" => rollout::run(Options::parse(arguments)?),
        _ => anyhow::bail!("unknown experiment {name:?}; try `list`"),
    }
}

fn list() -> anyhow::Result<ExitCode> {
    NAMES.iter().for_each(|name| println!("{name}"));
    Ok(ExitCode::SUCCESS)
}
