//! The command-line tool that runs the demo and the experiments.

mod slopes;

use std::process::ExitCode;

use anyhow::Context;
use pistachiotrack_standins::{
    demo::{self, DemoSettings},
    experiment,
};

const HELP: &str = "\
Usage: pistachiotrack-standins COMMAND [OPTIONS]

Commands:
  demo [--full] [--json] [--seconds N] [--vms N] [--load SHARE] [--seed N] [--logs DIRECTORY]
                                        run both deployments with faults
  experiment NAME [--json] [--seed N]   run one experiment
  slopes [--json] [--only GROUP] [--rounds N]
                                        measure what decisions cost
  help                                  show this text
";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> anyhow::Result<ExitCode> {
    let mut arguments = pico_args::Arguments::from_env();
    let command = arguments.subcommand()?.context("no command; try `help`")?;
    match command.as_str() {
        "demo" => demo::run(DemoSettings::from_arguments(arguments)?),
        "experiment" => experiment::run(arguments),
        "slopes" => slopes::run(arguments),
        "help" => help(),
        _ => anyhow::bail!("unknown command {command:?}; try `help`"),
    }
}

fn help() -> anyhow::Result<ExitCode> {
    print!("{HELP}");
    Ok(ExitCode::SUCCESS)
}
