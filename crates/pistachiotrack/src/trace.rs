//! `trace`: orders the log lines of one request from many VMs and names the one
//! that decided.

use std::{
    fs,
    io::{self, Read as _},
};

use anyhow::Context as _;
use serde::Serialize;

use crate::{
    config::TraceConfig,
    exit_codes::ExitCode,
    output::{self, printable},
};

/// What the logs say of a request.
#[derive(Debug, Serialize)]
struct Trace {
    request: String,
    lines: Vec<String>,
    /// The line after which nothing could change the outcome any more.
    deciding: Option<String>,
    /// VM that decided, if the line names it.
    decided_by: Option<String>,
}

/// Prints the lines of a request in the order of their times.
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
    let is_final = |line: &&&str| field(line, "event") == Some("refused");
    let deciding = lines.iter().rfind(is_final).or(lines.last());
    Trace {
        request: request.to_owned(),
        deciding: deciding.map(|line| (*line).to_owned()),
        decided_by: deciding.and_then(|line| field(line, "decided_by")).map(str::to_owned),
        lines: lines.into_iter().map(str::to_owned).collect(),
    }
}

/// Returns the value of a key=value pair of a line.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

fn trace_text(trace: &Trace) -> String {
    let Some(deciding) = &trace.deciding else {
        let request = printable(&trace.request);
        return format!(
            "request {request} is in none of these logs: it was served at once, it never \
             reached a VM, or its lines were left out (event=log_lines_left_out)\n"
        );
    };
    let lines: String = trace.lines.iter().map(|line| printable(line) + "\n").collect();
    let by = trace.decided_by.as_deref().map(|vm| format!("decided by: {}\n", printable(vm)));
    format!("{lines}deciding: {}\n{}", printable(deciding), by.unwrap_or_default())
}
