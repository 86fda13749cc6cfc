//! Logs: one line of key=value pairs for each event, on standard error or output.

use std::io::Write;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

use crate::settings::{LogOutput, Settings};

/// Starts the logger of the process.
///
/// # Errors
///
/// Returns an error if a logger runs already.
pub fn start(settings: &Settings) -> Result<LoggerHandle, FlexiLoggerError> {
    let logger = Logger::try_with_str(settings.log_level.as_str())?.format(line);
    match settings.log_output {
        LogOutput::Stderr => logger.log_to_stderr().start(),
        LogOutput::Stdout => logger.log_to_stdout().start(),
    }
}

fn line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
    write!(
        out,
        "time={} level={} module={} {}",
        now.format_rfc3339(),
        record.level().as_str().to_ascii_lowercase(),
        record.target(),
        record.args()
    )
}
