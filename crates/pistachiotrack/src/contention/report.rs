//! The windows of a tally as rows to print.

use std::{cmp::Reverse, collections::BTreeMap, fmt::Write as _};

use chrono::{DateTime, SecondsFormat};
use serde::Serialize;

use super::{
    tally::{LineCounts, Tally},
    window::{Refusals, Values, Window},
};
use crate::output::{Table, or_dash};

/// Number of endpoints and of VMs that are shown for each window.
const MAX_RANKED: usize = 5;

/// What the logs show, by window of time.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    window_s: u32,
    windows: Vec<WindowReport>,
    lines: LineCounts,
    /// How often a name, row or value could not be kept because of the limits of the state.
    not_kept: u64,
}

#[derive(Debug, Serialize)]
struct WindowReport {
    start: String,
    attempts_failed: u64,
    refused_to_callers: u64,
    refused_to_vms: u64,
    lines_left_out: u64,
    failures: Vec<FailureRow>,
    refusals: Vec<RefusalRow>,
    /// Endpoints with most failures.
    endpoints: Vec<EndpointRow>,
    /// VMs with most refusals to callers.
    vms: Vec<VmRow>,
}

#[derive(Debug, Serialize)]
struct FailureRow {
    service: String,
    outcome: String,
    failed: u64,
    by_choice: BTreeMap<String, u64>,
}

#[derive(Debug, Serialize)]
struct RefusalRow {
    /// `None` if the lines don't tell the service.
    service: Option<String>,
    reason: String,
    to_callers: u64,
    to_vms: u64,
    age_ms: Option<Percentiles>,
    retry_after_ms: Option<Percentiles>,
    /// Number of VMs that decided the refusals.
    vms: usize,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Percentiles {
    p50: u32,
    p99: u32,
}

impl Percentiles {
    fn of(values: &Values) -> Option<Percentiles> {
        Some(Percentiles { p50: values.percentile(50)?, p99: values.percentile(99)? })
    }
}

#[derive(Debug, Serialize)]
struct EndpointRow {
    endpoint: String,
    service: String,
    failed: u64,
}

#[derive(Debug, Serialize)]
struct VmRow {
    vm: String,
    refused: u64,
}

impl Report {
    /// Returns the report of a tally.
    pub(super) fn new(window_s: u32, mut tally: Tally) -> Report {
        let windows = std::mem::take(&mut tally.windows);
        let windows = windows.into_iter().map(|(number, window)| {
            let start = DateTime::from_timestamp(number.saturating_mul(window_s.into()), 0);
            let start = start.map(|start| start.to_rfc3339_opts(SecondsFormat::Secs, true));
            window_report(&tally, start.unwrap_or_default(), &window)
        });
        let windows = windows.collect();
        Report { window_s, windows, not_kept: tally.not_kept(), lines: tally.lines }
    }

    /// Returns whether the windows have neither a failed attempt nor a refusal.
    pub(super) fn is_empty(&self) -> bool {
        self.lines.counted == 0
    }

    /// Returns the report as text.
    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        for window in &self.windows {
            push_window(&mut text, self.window_s, window);
        }
        let lines = &self.lines;
        push_line(
            &mut text,
            format_args!(
                "lines: {} read, {} counted, {} other, {} unreadable, {} left out by the VMs",
                lines.read, lines.counted, lines.other, lines.unreadable, lines.left_out
            ),
        );
        if lines.before_first_window > 0 {
            push_line(
                &mut text,
                format_args!(
                    "not shown: {} lines before the first window; a larger --window-s shows them",
                    lines.before_first_window
                ),
            );
        }
        if self.not_kept > 0 {
            push_line(
                &mut text,
                format_args!(
                    "not kept: {} names, rows or values beyond the limits; rows named (other) count \
                     their lines, and percentiles and numbers of VMs lack them; a larger --window-s needs less",
                    self.not_kept
                ),
            );
        }
        text
    }
}

fn window_report(tally: &Tally, start: String, window: &Window) -> WindowReport {
    let refusals = || window.refusals.values();
    WindowReport {
        start,
        attempts_failed: window.failures.values().sum(),
        refused_to_callers: refusals().map(|row| row.to_callers).sum(),
        refused_to_vms: refusals().map(|row| row.to_vms).sum(),
        lines_left_out: window.lines_left_out,
        failures: failure_rows(tally, window),
        refusals: refusal_rows(tally, window),
        endpoints: endpoint_rows(tally, window),
        vms: vm_rows(tally, window),
    }
}

fn failure_rows(tally: &Tally, window: &Window) -> Vec<FailureRow> {
    let mut rows: BTreeMap<(&str, &str), BTreeMap<String, u64>> = BTreeMap::new();
    for (&(service, outcome, choice), &count) in &window.failures {
        let key = (tally.services.name(service), tally.outcomes.name(outcome));
        let choice = tally.choices.name(choice).to_owned();
        *rows.entry(key).or_default().entry(choice).or_default() += count;
    }
    let rows = rows.into_iter().map(|((service, outcome), by_choice)| FailureRow {
        service: service.to_owned(),
        outcome: outcome.to_owned(),
        failed: by_choice.values().sum(),
        by_choice,
    });
    rows.collect()
}

fn refusal_rows(tally: &Tally, window: &Window) -> Vec<RefusalRow> {
    // Rows whose service became known through an endpoint are merged with the service's own.
    let mut rows: BTreeMap<(Option<&str>, &str), Refusals> = BTreeMap::new();
    for (&(service, reason), refusals) in &window.refusals {
        let service = tally.service(service).map(|service| tally.services.name(service));
        rows.entry((service, tally.reasons.name(reason))).or_default().merge(refusals);
    }
    let rows = rows.into_iter().map(|((service, reason), refusals)| RefusalRow {
        service: service.map(str::to_owned),
        reason: reason.to_owned(),
        to_callers: refusals.to_callers,
        to_vms: refusals.to_vms,
        age_ms: Percentiles::of(&refusals.age_ms),
        retry_after_ms: Percentiles::of(&refusals.retry_after_ms),
        vms: refusals.vms.len(),
    });
    rows.collect()
}

fn endpoint_rows(tally: &Tally, window: &Window) -> Vec<EndpointRow> {
    let rows = window.by_endpoint.iter().map(|(&(service, endpoint), &failed)| EndpointRow {
        endpoint: tally.endpoints.name(endpoint).to_owned(),
        service: tally.services.name(service).to_owned(),
        failed,
    });
    ranked(rows, |row| (Reverse(row.failed), row.endpoint.clone(), row.service.clone()))
}

fn vm_rows(tally: &Tally, window: &Window) -> Vec<VmRow> {
    let rows = window
        .by_vm
        .iter()
        .map(|(&vm, &refused)| VmRow { vm: tally.vms.name(vm).to_owned(), refused });
    ranked(rows, |row| (Reverse(row.refused), row.vm.clone()))
}

/// Returns the first rows by their rank.
fn ranked<T, K: Ord>(rows: impl Iterator<Item = T>, rank: impl FnMut(&T) -> K) -> Vec<T> {
    let mut rows: Vec<T> = rows.collect();
    rows.sort_by_cached_key(rank);
    rows.truncate(MAX_RANKED);
    rows
}

fn push_window(text: &mut String, window_s: u32, window: &WindowReport) {
    push_line(
        text,
        format_args!(
            "{} +{window_s} s: attempts failed {}, refused to callers {}, to VMs {}, lines left out {}",
            window.start,
            window.attempts_failed,
            window.refused_to_callers,
            window.refused_to_vms,
            window.lines_left_out
        ),
    );
    let mut failures = Table::new(&["SERVICE", "OUTCOME", "FAILED", "BY CHOICE"]);
    for row in &window.failures {
        let by_choice = row.by_choice.iter().map(|(choice, count)| format!("{choice}={count}"));
        failures.push(vec![
            row.service.clone(),
            row.outcome.clone(),
            row.failed.to_string(),
            by_choice.collect::<Vec<_>>().join(" "),
        ]);
    }
    let mut refusals = Table::new(&[
        "SERVICE",
        "REASON",
        "TO CALLERS",
        "TO VMS",
        "AGE MS P50",
        "AGE MS P99",
        "RETRY MS P50",
        "RETRY MS P99",
        "VMS",
    ]);
    for row in &window.refusals {
        refusals.push(vec![
            or_dash(row.service.as_ref()),
            row.reason.clone(),
            row.to_callers.to_string(),
            row.to_vms.to_string(),
            or_dash(row.age_ms.map(|age| age.p50)),
            or_dash(row.age_ms.map(|age| age.p99)),
            or_dash(row.retry_after_ms.map(|retry_after| retry_after.p50)),
            or_dash(row.retry_after_ms.map(|retry_after| retry_after.p99)),
            row.vms.to_string(),
        ]);
    }
    let mut endpoints = Table::new(&["ENDPOINT", "SERVICE", "FAILED"]);
    for row in &window.endpoints {
        endpoints.push(vec![row.endpoint.clone(), row.service.clone(), row.failed.to_string()]);
    }
    let mut vms = Table::new(&["VM", "REFUSED"]);
    for row in &window.vms {
        vms.push(vec![row.vm.clone(), row.refused.to_string()]);
    }
    let tables = [
        (&failures, window.failures.is_empty()),
        (&refusals, window.refusals.is_empty()),
        (&endpoints, window.endpoints.is_empty()),
        (&vms, window.vms.is_empty()),
    ];
    for (table, is_empty) in tables {
        if !is_empty {
            push_line(text, format_args!("{table}"));
        }
    }
    if tables.iter().all(|(_, is_empty)| *is_empty) {
        text.push('\n');
    }
}

fn push_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a string doesn't fail.
    let _ = writeln!(text, "{line}");
}
