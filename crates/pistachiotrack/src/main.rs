//! Command-line tool for the operators of the pistachiotrack proxy fleet.

mod admin_client;
mod check;
mod cli;
mod config;
mod contention;
mod endpoints;
mod entries;
mod error;
mod exit_codes;
mod explain;
mod http_client;
mod log_line;
mod output;
mod trace;
mod views;

use crate::{cli::Invocation, error::Error, exit_codes::ExitCode};

fn main() -> std::process::ExitCode {
    let code = run().unwrap_or_else(|error| {
        eprintln!("pistachiotrack: {error:#}");
        ExitCode::from(&error)
    });
    code.into()
}

fn run() -> anyhow::Result<ExitCode> {
    match cli::parse(pico_args::Arguments::from_env())? {
        Invocation::Print(text) => {
            output::print(text)?;
            Ok(ExitCode::Success)
        }
        Invocation::Check(config) => check::run(&config),
        Invocation::Explain(config) => explain::run(&config),
        Invocation::View(config) => views::run(&config),
        Invocation::Entries(config) => entries::run(&config),
        Invocation::Trace(config) => trace::run(&config),
        Invocation::Contention(config) => contention::run(&config),
    }
}
