//! Experiments: ours against a baseline, in the same run.

use std::process::ExitCode;

use anyhow::Context;

mod churn;
mod owners;
mod partition;
mod rollout;
mod table;
mod trial;

/// Names of the experiments, in the order in which `list` shows them.
const NAMES: &[&str] = &["churn", "partition", "rollout"];
/// Seed where the arguments don't give one.
const DEFAULT_SEED: u64 = 1;

/// Runs the experiment that the arguments name.
///
/// # Errors
///
/// Returns an error if there is no such experiment or if it could not be run.
pub fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<ExitCode> {
    let name = arguments.subcommand()?.context("no experiment named; try `list`")?;
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED);
    let json = arguments.contains("--json");
    match name.as_str() {
        "list" => list(),
        "churn" => churn::run(seed, json),
        "partition" => partition::run(seed, json),
        "rollout" => rollout::run(seed, json),
        _ => anyhow::bail!("unknown experiment {name:?}; try `list`"),
    }
}

fn list() -> anyhow::Result<ExitCode> {
    NAMES.iter().for_each(|name| println!("{name}"));
    Ok(ExitCode::SUCCESS)
}
