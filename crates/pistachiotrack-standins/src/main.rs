//! The command-line tool that runs the demo, the experiments, the benchmarks and the soak test.

mod slopes;

use std::process::ExitCode;

use anyhow::Context;
use pistachiotrack_standins::{
    demo::{self, DemoSettings},
    experiment,
    soak::{self, SoakSettings},
};

const HELP: &str = "\
Usage: pistachiotrack-standins COMMAND [OPTIONS]

Commands:
  demo [--full] [--json] [--seconds N] [--vms N] [--load SHARE] [--seed N] [--logs DIRECTORY]
                                        run both deployments with faults
  experiment NAME [--json] [--seed N]   run one experiment
  slopes [--json] [--only GROUP] [--rounds N]
                                        measure the cost of decisions
  soak [--seed N] [--seeds COUNT] [--seconds N] [--vms N] [--logs DIRECTORY]
       [--plan FILE] [--stops] [--daemon FILE] [--show]
                                        inject faults into real processes and check
                                        invariants; exits with 1 on a violation.
                                        --stops has no faults, only stops in series,
                                        --show only prints the plans
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
        "soak" => soak::run(&SoakSettings::from_arguments(arguments)?),
        "help" => help(),
        _ => anyhow::bail!("unknown command {command:?}; try `help`"),
    }
}

fn help() -> anyhow::Result<ExitCode> {
    print!("{HELP}");
    Ok(ExitCode::SUCCESS)
}
