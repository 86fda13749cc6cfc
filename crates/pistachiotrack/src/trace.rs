//! `trace`: sorts the log lines that many VMs wrote about one request and finds the line that
//! decided its outcome.

use std::{
    fs,
    io::{self, Read as _},
};

use anyhow::Context as _;
use serde::Serialize;

use crate::{
    config::TraceConfig,
    exit_codes::ExitCode,
    log_line::field,
    output::{self, escape_control_chars},
};

/// Log lines about a request.
#[derive(Debug, Serialize)]
struct Trace {
    request: String,
    lines: Vec<String>,
    /// Line that decided the outcome: the last refusal, or the last line without one.
    deciding: Option<String>,
    /// VM that decided the outcome, if the line names it.
    decided_by: Option<String>,
}

/// Prints the log lines of a request in the order of their timestamps.
///
/// # Errors
///
/// Returns an error if a file can't be read or the output can't be written.
pub(crate) fn run(config: &TraceConfig) -> anyhow::Result<ExitCode> {
    let mut text = String::new();
    if config.files.is_empty() {
        io::stdin().read_to_string(&mut text).context("standard input")?;
    }
    for file in &config.files {
        let bytes = fs::read(file).with_context(|| file.display().to_string())?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    let trace = trace(&config.request, &text);
    if config.json {
        output::print_json(&trace)?;
    } else {
        output::print(&trace_text(&trace))?;
    }
    Ok(if trace.lines.is_empty() { ExitCode::Rejected } else { ExitCode::Success })
}

fn trace(request: &str, text: &str) -> Trace {
    let mut lines: Vec<&str> =
        text.lines().filter(|line| field(line, "request") == Some(request)).collect();
    lines.sort_by_key(|line| field(line, "time").unwrap_or_default());
    let is_refusal = |line: &&&str| field(line, "event") == Some("refused");
    let deciding = lines.iter().rfind(is_refusal).or(lines.last());
    Trace {
        request: request.to_owned(),
        deciding: deciding.map(|line| (*line).to_owned()),
        decided_by: deciding.and_then(|line| field(line, "decided_by")).map(str::to_owned),
        lines: lines.into_iter().map(str::to_owned).collect(),
    }
}

fn trace_text(trace: &Trace) -> String {
    let Some(deciding) = &trace.deciding else {
        let request = escape_control_chars(&trace.request);
        return format!(
            "request {request} is in none of these logs: it was served at once, it never \
             reached a VM, or its lines were left out (event=log_lines_left_out)\n"
        );
    };
    let lines: String = trace.lines.iter().map(|line| escape_control_chars(line) + "\n").collect();
    let decided_by =
        trace.decided_by.as_deref().map(|vm| format!("decided by: {}\n", escape_control_chars(vm)));
    format!(
        "{lines}deciding: {}\n{}",
        escape_control_chars(deciding),
        decided_by.unwrap_or_default()
    )
}
