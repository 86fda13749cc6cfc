//! `contention`: counts the failed attempts and refusals in the logs of many VMs by window of
//! time.

mod names;
mod report;
mod tally;
mod window;

use std::{
    fs::File,
    io::{self, BufReader},
};

use anyhow::Context as _;

use self::{report::Report, tally::Tally};
use crate::{config::ContentionConfig, exit_codes::ExitCode, log_line, output};

/// Prints the table of each window of time.
///
/// # Errors
///
/// Returns an error if a file can't be read or the output can't be written.
pub(crate) fn run(config: &ContentionConfig) -> anyhow::Result<ExitCode> {
    let mut tally = Tally::new(i64::from(config.window_s) * 1_000);
    if config.files.is_empty() {
        let read = log_line::for_each_line(io::stdin().lock(), |line| tally.on_line(line));
        read.context("standard input")?;
        tally.on_input_end();
    }
    for path in &config.files {
        let file = File::open(path).with_context(|| path.display().to_string())?;
        let read = log_line::for_each_line(BufReader::new(file), |line| tally.on_line(line));
        read.with_context(|| path.display().to_string())?;
        tally.on_input_end();
    }
    let report = Report::new(config.window_s, tally);
    if config.json {
        output::print_json(&report)?;
    } else {
        output::print(&report.text())?;
    }
    Ok(if report.is_empty() { ExitCode::Rejected } else { ExitCode::Success })
}
