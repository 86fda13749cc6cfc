//! Entry point of the pistachiotrack daemon.

mod cli;

use std::process::ExitCode as ProcessExitCode;

use pistachiotrackd::{daemon::Adapter, exit_codes::ExitCode, process};

use crate::cli::Command;

fn main() -> ProcessExitCode {
    match cli::parse() {
        Ok(Command::Help) => print!("{}", cli::HELP),
        Ok(Command::Version) => println!("pistachiotrackd {}", env!("CARGO_PKG_VERSION")),
        Ok(Command::Check { settings }) => {
            return process::read_settings(&settings)
                .map_or_else(|code| code, |_| ExitCode::Success)
                .into();
        }
        Ok(Command::Run { settings }) => {
            return process::run(&settings, |_| Adapter::default()).into();
        }
        Err(error) => {
            eprintln!("pistachiotrackd: {error}\n\n{}", cli::HELP);
            return ExitCode::UsageError.into();
        }
    }
    ExitCode::Success.into()
}
