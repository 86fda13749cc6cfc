//! Output as plain text, aligned tables and JSON.

use std::{
    fmt::{self, Write as _},
    io::{self, Write as _},
};

use anyhow::Context as _;
use serde::Serialize;

const COLUMN_GAP: &str = "  ";

/// Prints text to standard output.
///
/// # Errors
///
/// Returns an error if the output can't be written, except when its reader has closed the
/// pipe.
pub(crate) fn print(text: &str) -> anyhow::Result<()> {
    let mut stdout = io::stdout().lock();
    match stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()) {
        // `pistachiotrack members ... | head` closes the pipe when it has read enough, so this
        // is no failure.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => result.context("standard output"),
    }
}

/// Prints a value as JSON.
///
/// # Errors
///
/// Returns an error if the output can't be written.
pub(crate) fn print_json(value: &impl Serialize) -> anyhow::Result<()> {
    let mut text = serde_json::to_string_pretty(value)?;
    text.push('\n');
    print(&text)
}

/// Returns the text with its control characters escaped.
///
/// Names and reasons come from the network, and an escape sequence in one could overwrite
/// other output on the operator's terminal.
pub(crate) fn escape_control_chars(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_control() {
            escaped.extend(character.escape_default());
        } else {
            escaped.push(character);
        }
    }
    escaped
}

/// Returns the value's text, or `-` where there is none.
pub(crate) fn or_dash(value: Option<impl fmt::Display>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// A table with aligned columns.
#[derive(Debug)]
pub(crate) struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns an empty table with these column titles.
    pub(crate) fn new(header: &[&str]) -> Table {
        Table { header: header.iter().map(|&title| title.to_owned()).collect(), rows: Vec::new() }
    }

    /// Adds a row, with a cell for each column.
    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row.iter().map(|cell| escape_control_chars(cell)).collect());
    }

    /// Sorts the rows by their cells, the first column first.
    pub(crate) fn sort(&mut self) {
        self.rows.sort();
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths = vec![0; self.header.len()];
        for row in std::iter::once(&self.header).chain(&self.rows) {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in std::iter::once(&self.header).chain(&self.rows) {
            let mut line = String::new();
            for (&width, cell) in widths.iter().zip(row) {
                write!(line, "{cell:<width$}{COLUMN_GAP}")?;
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
