//! The daemon as a process: settings, logging, runtime and exit code.

use std::{io, path::Path};

use tokio::runtime::{Builder, Runtime};

use crate::{
    config::settings::Settings,
    program::{
        daemon::{Adapter, Daemon, StartError},
        logging,
        signals::Signals,
    },
    runtime::exit_codes::ExitCode,
};

/// Runs the daemon with the settings in `file` until it is stopped.
pub fn run(file: &Path, adapter: impl FnOnce(&Settings) -> Adapter) -> ExitCode {
    let settings = match read_settings(file) {
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
    let runtime = match runtime(settings.limits.worker_threads) {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("event=runtime_failed error={error:?}");
            return ExitCode::RuntimeError;
        }
    };
    let adapter = adapter(&settings);
    let code = runtime.block_on(serve(settings, adapter, file));
    runtime.shutdown_background();
    logger.flush();
    code
}

/// Reads the settings and prints an error to standard error if they are invalid.
///
/// # Errors
///
/// Returns the exit code if the settings can't be read or are invalid.
pub fn read_settings(file: &Path) -> Result<Settings, ExitCode> {
    Settings::read(file).map_err(|error| {
        eprintln!("pistachiotrackd: {error}");
        ExitCode::SettingsError
    })
}

/// Creates the runtime. One worker uses a single-threaded runtime, which saves a small
/// VM the cost of handing tasks between threads at each wake-up.
fn runtime(worker_threads: usize) -> io::Result<Runtime> {
    match worker_threads {
        1 => Builder::new_current_thread().enable_all().build(),
        threads => Builder::new_multi_thread().worker_threads(threads).enable_all().build(),
    }
}

async fn serve(settings: Settings, adapter: Adapter, file: &Path) -> ExitCode {
    // Before any connection is accepted: a signal's default action would cut what it carries.
    let signals = match Signals::receive() {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("event=signals_failed error={:?}", error.to_string());
            return ExitCode::RuntimeError;
        }
    };
    let daemon = match Daemon::start_with(settings, adapter).await {
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
    daemon.run_with_settings_file(signals, file).await;
    ExitCode::Success
}
