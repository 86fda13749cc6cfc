//! Runs the daemon of pistachiotrack.

mod cli;
mod exit_codes;

use std::{path::Path, process::ExitCode as ProcessExitCode};

use pistachiotrackd::{
    daemon::{Daemon, StartError},
    logging,
    settings::Settings,
};

use crate::{cli::Command, exit_codes::ExitCode};

fn main() -> ProcessExitCode {
    match cli::parse() {
        Ok(Command::Help) => print!("{}", cli::HELP),
        Ok(Command::Version) => println!("pistachiotrackd {}", env!("CARGO_PKG_VERSION")),
        Ok(Command::Check { settings }) => return check(&settings).into(),
        Ok(Command::Run { settings }) => return run(&settings).into(),
        Err(error) => {
            eprintln!("pistachiotrackd: {error}\n\n{}", cli::HELP);
            return ExitCode::UsageError.into();
        }
    }
    ExitCode::Success.into()
}

fn check(file: &Path) -> ExitCode {
    match read(file) {
        Ok(_) => ExitCode::Success,
        Err(code) => code,
    }
}

fn read(file: &Path) -> Result<Settings, ExitCode> {
    Settings::read(file).map_err(|error| {
        eprintln!("pistachiotrackd: {error}");
        ExitCode::SettingsError
    })
}

fn run(file: &Path) -> ExitCode {
    let settings = match read(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let logger = match logging::start(&settings) {
        Ok(logger) => logger,
        Err(error) => {
            eprintln!("pistachiotrackd: {error}");
            return ExitCode::SettingsError;
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.limits.worker_threads)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("event=runtime_failed error={error:?}");
            return ExitCode::RuntimeError;
        }
    };
    let code = runtime.block_on(serve(settings));
    runtime.shutdown_background();
    logger.flush();
    code
}

async fn serve(settings: Settings) -> ExitCode {
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error @ StartError::Bind { .. }) => {
            log::error!("event=start_failed error={:?}", error.to_string());
            return ExitCode::BindError;
        }
        Err(error) => {
            log::error!("event=start_failed error={:?}", error.to_string());
            return ExitCode::RuntimeError;
        }
    };
    match daemon.run_until_signal().await {
        Ok(()) => ExitCode::Success,
        Err(error) => {
            log::error!("event=signals_failed error={:?}", error.to_string());
            ExitCode::RuntimeError
        }
    }
}
