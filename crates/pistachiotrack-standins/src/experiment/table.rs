//! Tables of runs side by side.

use super::trial::Outcome;

/// Returns `value` against `baseline`, or 0 where the baseline is 0.
pub(super) fn ratio(value: f64, baseline: f64) -> f64 {
    if baseline == 0.0 { 0.0 } else { value / baseline }
}

/// Rows of text, each with a name.
#[derive(Debug, Default)]
pub(super) struct Table {
    rows: Vec<(String, Vec<String>)>,
}

type Cell = fn(&Outcome) -> String;

const ROWS: &[(&str, Cell)] = &[
    ("requests", |outcome| outcome.counts.requests.to_string()),
    ("ok", |outcome| outcome.counts.ok.to_string()),
    ("goodput", |outcome| format!("{:.4}", outcome.goodput)),
    ("endpoint failed", |outcome| outcome.counts.endpoint_failed.to_string()),
    ("refused, not run", |outcome| outcome.counts.refused_not_run.to_string()),
    ("refused, unknown", |outcome| outcome.counts.unknown.to_string()),
    ("no VM reached", |outcome| outcome.counts.no_vm.to_string()),
    ("lost", |outcome| outcome.counts.lost.to_string()),
    ("doubled", |outcome| outcome.counts.doubled.to_string()),
    ("wrong answer", |outcome| outcome.counts.wrong_answer.to_string()),
    ("false not-run", |outcome| outcome.counts.false_not_run.to_string()),
    ("added p50/p99 ms", |outcome| {
        format!("{:.2} / {:.2}", outcome.added.p50_ms, outcome.added.p99_ms)
    }),
    ("unsteered p50/p99 ms", |outcome| {
        format!("{:.2} / {:.2}", outcome.unsteered.p50_ms, outcome.unsteered.p99_ms)
    }),
    ("slots overshot by at most", |outcome| outcome.slot_overshoot.to_string()),
    ("shed by endpoints", |outcome| outcome.shed.to_string()),
];

impl Table {
    /// Puts runs side by side.
    pub(super) fn of_outcomes(columns: &[(&str, &Outcome)]) -> Table {
        let mut table = Table::default();
        table.row("", columns.iter().map(|(name, _)| (*name).to_owned()).collect());
        for (name, cell) in ROWS {
            table.row(name, columns.iter().map(|(_, outcome)| cell(outcome)).collect());
        }
        for (name, outcome) in columns {
            table.note(&format!("reasons, {name}"), format!("{:?}", outcome.counts.reasons));
        }
        table
    }

    /// Adds a row.
    pub(super) fn row(&mut self, name: &str, cells: Vec<String>) {
        self.rows.push((name.to_owned(), cells));
    }

    /// Adds a row with one cell.
    pub(super) fn note(&mut self, name: &str, cell: String) {
        self.row(name, vec![cell]);
    }

    /// Prints the table.
    pub(super) fn print(&self) {
        for (name, cells) in &self.rows {
            let cells: String = cells.iter().map(|cell| format!("{cell:>20}")).collect();
            println!("{name:<28}{cells}");
        }
    }
}
