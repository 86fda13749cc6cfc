//! `check`: says whether the daemon would accept configuration files.

use std::{fs, path::Path};

use anyhow::Context as _;
use pistachiotrack_core::config::{Config, ConfigError};
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
}

/// What is wrong with one field.
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
    let problems: Vec<Problem> =
        Config::parse(&file, &json).err().into_iter().map(Problem::from).collect();
    Ok(Verdict { file, accepted: problems.is_empty(), problems })
}

fn verdict_text(verdict: &Verdict) -> String {
    let mut text = String::new();
    for problem in &verdict.problems {
        let line = format!("{}: {}: {}", verdict.file, problem.field, problem.problem);
        text.push_str(&printable(&line));
        text.push('\n');
    }
    if verdict.accepted {
        text.push_str(&format!("{}: accepted\n", printable(&verdict.file)));
    }
    text
}

impl From<ConfigError> for Problem {
    fn from(error: ConfigError) -> Problem {
        Problem { field: error.field, problem: error.problem }
    }
}
