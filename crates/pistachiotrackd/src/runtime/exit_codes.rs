//! Exit codes of the daemon.

use std::process::ExitCode as ProcessExitCode;

/// Result of the daemon process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The daemon stopped on request, or only printed its help or version.
    Success,
    /// The daemon started but failed while running.
    RuntimeError,
    /// The command line is invalid.
    UsageError,
    /// The settings file can't be read or holds an invalid value.
    SettingsError,
    /// An address in the settings can't be bound.
    BindError,
}

impl From<ExitCode> for ProcessExitCode {
    fn from(code: ExitCode) -> ProcessExitCode {
        ProcessExitCode::from(match code {
            ExitCode::Success => 0,
            ExitCode::RuntimeError => 1,
            ExitCode::UsageError => 2,
            ExitCode::SettingsError => 3,
            ExitCode::BindError => 4,
        })
    }
}
