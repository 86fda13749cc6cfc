//! `check`: says whether the daemon would accept configuration files.

use std::{fs, path::Path};

use anyhow::Context as _;
use pistachiotrack_core::config::{Config, ConfigError, ConfigWarning};
use serde::Serialize;

use crate::{
    config::CheckConfig,
    exit_codes::ExitCode,
    output::{self, printable},
};

/// The verdict on one file.
#[derive(Debug, Serialize)]
struct Verdict {
    file: String,
    accepted: bool,
    problems: Vec<Problem>,
    warnings: Vec<Problem>,
}

/// What is wrong or odd about one field.
#[derive(Debug, Serialize)]
struct Problem {
    field: String,
    problem: String,
}

/// Checks each file and prints all that is wrong.
///
/// # Errors
///
/// Returns an error if a file can't be read or the output can't be written.
pub(crate) fn run(config: &CheckConfig) -> anyhow::Result<ExitCode> {
    let verdicts =
        config.files.iter().map(|file| check(file)).collect::<anyhow::Result<Vec<_>>>()?;
    if config.json {
        output::print_json(&verdicts)?;
    } else {
        output::print(&verdicts.iter().map(verdict_text).collect::<String>())?;
    }
    let accepted = verdicts.iter().all(|verdict| verdict.accepted);
    Ok(if accepted { ExitCode::Success } else { ExitCode::Rejected })
}

fn check(file: &Path) -> anyhow::Result<Verdict> {
    let json = fs::read(file).with_context(|| file.display().to_string())?;
    let file = file.display().to_string();
    let verdict = match Config::parse(&file, &json) {
        Ok(config) => {
            let warnings = config.warnings().into_iter().map(Problem::from).collect();
            Verdict { file, accepted: true, problems: Vec::new(), warnings }
        }
        Err(_) => {
            let problems = Config::problems(&file, &json);
            let problems = problems.into_iter().map(Problem::from).collect();
            Verdict { file, accepted: false, problems, warnings: Vec::new() }
        }
    };
    Ok(verdict)
}

fn verdict_text(verdict: &Verdict) -> String {
    let mut text = String::new();
    let mut add = |line: String| {
        text.push_str(&printable(&line));
        text.push('\n');
    };
    for Problem { field, problem } in &verdict.problems {
        add(format!("{}: {field}: {problem}", verdict.file));
    }
    for Problem { field, problem } in &verdict.warnings {
        add(format!("{}: warning: {field}: {problem}", verdict.file));
    }
    if verdict.accepted {
        add(format!("{}: accepted", verdict.file));
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
