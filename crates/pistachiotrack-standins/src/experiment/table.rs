//! Text tables that show trials side by side.

use super::trial::TrialResult;

/// Returns the ratio of `value` to `baseline`, or 0 if the baseline is 0.
pub(super) fn ratio(value: f64, baseline: f64) -> f64 {
    if baseline == 0.0 { 0.0 } else { value / baseline }
}

/// Named rows of text cells.
#[derive(Debug, Default)]
pub(super) struct Table {
    rows: Vec<(String, Vec<String>)>,
}

type FormatCell = fn(&TrialResult) -> String;

const ROWS: &[(&str, FormatCell)] = &[
    ("requests", |result| result.counts.requests.to_string()),
    ("ok", |result| result.counts.ok.to_string()),
    ("goodput", |result| format!("{:.4}", result.goodput)),
    ("endpoint failed", |result| result.counts.endpoint_failed.to_string()),
    ("refused, not run", |result| result.counts.refused_not_run.to_string()),
    ("refused, unknown", |result| result.counts.unknown.to_string()),
    ("no VM reached", |result| result.counts.no_vm.to_string()),
    ("lost", |result| result.counts.lost.to_string()),
    ("doubled", |result| result.counts.doubled.to_string()),
    ("wrong answer", |result| result.counts.wrong_answer.to_string()),
    ("false not-run", |result| result.counts.false_not_run.to_string()),
    ("added p50/p99 ms", |result| {
        format!("{:.2} / {:.2}", result.added.p50_ms, result.added.p99_ms)
    }),
    ("unsteered p50/p99 ms", |result| {
        format!("{:.2} / {:.2}", result.unsteered.p50_ms, result.unsteered.p99_ms)
    }),
    ("slots overshot by at most", |result| result.slot_overshoot.to_string()),
    ("shed by endpoints", |result| result.shed.to_string()),
];

impl Table {
    /// Creates a table with one column per trial.
    pub(super) fn from_results(columns: &[(&str, &TrialResult)]) -> Table {
        let mut table = Table::default();
        table.add_row("", columns.iter().map(|(name, _)| (*name).to_owned()).collect());
        for (name, format_cell) in ROWS {
            table.add_row(name, columns.iter().map(|(_, result)| format_cell(result)).collect());
        }
        for (name, result) in columns {
            table.add_note(&format!("reasons, {name}"), format!("{:?}", result.counts.reasons));
        }
        table
    }

    /// Adds a row.
    pub(super) fn add_row(&mut self, name: &str, cells: Vec<String>) {
        self.rows.push((name.to_owned(), cells));
    }

    /// Adds a row with one cell.
    pub(super) fn add_note(&mut self, name: &str, cell: String) {
        self.add_row(name, vec![cell]);
    }

    /// Prints the table.
    pub(super) fn print(&self) {
        for (name, cells) in &self.rows {
            let cells: String = cells.iter().map(|cell| format!("{cell:>20}")).collect();
            println!("{name:<28}{cells}");
        }
    }
}
