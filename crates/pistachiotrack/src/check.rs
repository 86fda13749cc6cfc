//! `check`: reports whether the daemon would accept configuration files.

use std::{fs, path::Path};

use anyhow::Context as _;
use pistachiotrack_core::config::{Config, ConfigError, ConfigWarning};
use serde::Serialize;

use crate::{
    config::CheckConfig,
    exit_codes::ExitCode,
    output::{self, escape_control_chars},
};

/// Result of the check of one file.
#[derive(Debug, Serialize)]
struct FileReport {
    file: String,
    accepted: bool,
    problems: Vec<Problem>,
    warnings: Vec<Problem>,
}

/// A problem with one field, or a warning about it.
#[derive(Debug, Serialize)]
struct Problem {
    field: String,
    problem: String,
}

/// Checks each file and prints all problems and warnings.
///
/// # Errors
///
/// Returns an error if a file can't be read or the output can't be written.
pub(crate) fn run(config: &CheckConfig) -> anyhow::Result<ExitCode> {
    let reports =
        config.files.iter().map(|file| check(file)).collect::<anyhow::Result<Vec<_>>>()?;
    if config.json {
        output::print_json(&reports)?;
    } else {
        output::print(&reports.iter().map(report_text).collect::<String>())?;
    }
    let accepted = reports.iter().all(|report| report.accepted);
    Ok(if accepted { ExitCode::Success } else { ExitCode::Rejected })
}

fn check(file: &Path) -> anyhow::Result<FileReport> {
    let json = fs::read(file).with_context(|| file.display().to_string())?;
    let file = file.display().to_string();
    let report = match Config::parse(&file, &json) {
        Ok(config) => {
            let warnings = config.warnings().into_iter().map(Problem::from).collect();
            FileReport { file, accepted: true, problems: Vec::new(), warnings }
        }
        Err(_) => {
            let problems = Config::problems(&file, &json);
            let problems = problems.into_iter().map(Problem::from).collect();
            FileReport { file, accepted: false, problems, warnings: Vec::new() }
        }
    };
    Ok(report)
}

fn report_text(report: &FileReport) -> String {
    let mut text = String::new();
    let mut push_line = |line: String| {
        text.push_str(&escape_control_chars(&line));
        text.push('\n');
    };
    for Problem { field, problem } in &report.problems {
        push_line(format!("{}: {field}: {problem}", report.file));
    }
    for Problem { field, problem } in &report.warnings {
        push_line(format!("{}: warning: {field}: {problem}", report.file));
    }
    if report.accepted {
        push_line(format!("{}: accepted", report.file));
    }
    text
}

impl From<ConfigWarning> for Problem {
    fn from(warning: ConfigWarning) -> Problem {
        Problem { field: warning.field, problem: warning.problem }
    }
}

impl From<ConfigError> for Problem {
    fn from(error: ConfigError) -> Problem {
        Problem { field: error.field, problem: error.problem }
    }
}
