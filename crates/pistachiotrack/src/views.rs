//! The pages of the admin ports: `status`, `endpoints`, `members`, `quarantine`
//! and `histograms`.

use std::{collections::BTreeMap, net::SocketAddr};

use pistachiotrack_core::admin::{HistogramStatus, MemberStatus, QuarantineStatus, Status};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;

use crate::{
    admin_client::{self, Reply},
    config::{View, ViewConfig},
    endpoints::{self, Owners},
    exit_codes::ExitCode,
    output::{self, Table, or_dash, printable},
};

/// Asks the VMs and prints their pages as one.
///
/// # Errors
///
/// Returns an error if the output can't be written.
pub(crate) fn run(config: &ViewConfig) -> anyhow::Result<ExitCode> {
    match config.view {
        View::Status => show(config, "/status", status_text),
        View::Endpoints => {
            let owners = Owners::of(&ask::<Status>(config, "/status")?);
            show(config, "/endpoints", |answers| endpoints::text(answers, &owners))
        }
        View::AllEndpoints => {
            let owners = Owners::default();
            show(config, "/endpoints", |answers| endpoints::text(answers, &owners))
        }
        View::Members => show(config, "/members", members_text),
        View::Quarantine => show(config, "/quarantine", quarantine_text),
        View::Histograms => show(config, "/histograms", histograms_text),
        View::AddedHistograms => show(config, "/histograms/added", histograms_text),
    }
}

/// The answers that came, each with the address that gave it.
pub(crate) type Answers<'a, T> = [(SocketAddr, &'a T)];

fn ask<T>(config: &ViewConfig, path: &'static str) -> anyhow::Result<Vec<Reply<T>>>
where
    T: DeserializeOwned + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(admin_client::ask_all(&config.admin_addresses, path, config.timeout))
}

fn show<T>(
    config: &ViewConfig,
    path: &'static str,
    text: impl Fn(&Answers<'_, T>) -> String,
) -> anyhow::Result<ExitCode>
where
    T: DeserializeOwned + Serialize + Send + 'static,
{
    let replies = ask::<T>(config, path)?;
    if config.json {
        output::print_json(&replies.iter().map(reply_json).collect::<Vec<_>>())?;
    } else {
        let answers: Vec<(SocketAddr, &T)> = replies
            .iter()
            .filter_map(|reply| Some((reply.address, reply.answer.as_ref().ok()?)))
            .collect();
        if !answers.is_empty() {
            output::print(&text(&answers))?;
        }
    }
    Ok(report_failures(&replies))
}

fn reply_json<T: Serialize>(reply: &Reply<T>) -> serde_json::Value {
    match &reply.answer {
        Ok(answer) => json!({"address": reply.address, "answer": answer}),
        Err(error) => json!({"address": reply.address, "error": error.to_string()}),
    }
}

fn report_failures<T>(replies: &[Reply<T>]) -> ExitCode {
    let mut code = ExitCode::Success;
    for error in replies.iter().filter_map(|reply| reply.answer.as_ref().err()) {
        eprintln!("pistachiotrack: {}", printable(&error.to_string()));
        code = ExitCode::NoAnswer;
    }
    code
}

fn status_text(answers: &Answers<'_, Status>) -> String {
    let mut vms = Table::new(&[
        "VM",
        "ADMIN",
        "DATA CENTRE",
        "STATE",
        "DEPLOYMENT",
        "CONFIG",
        "PLATFORM AGE MS",
        "LIVE VMS",
        "SHARDS",
    ]);
    let mut text = String::new();
    for (address, status) in answers {
        vms.push(vec![
            status.vm.to_string(),
            address.to_string(),
            status.data_centre.to_string(),
            status.state.to_string(),
            status.deployment.to_string(),
            or_dash(status.config_version),
            or_dash(status.platform_age_ms),
            status.live_vms.to_string(),
            shards_cell(status),
        ]);
        if let Some(error) = &status.config_error {
            let line = format!("{}: configuration not accepted: {error}", status.vm);
            text.push_str(&format!("\n{}\n", printable(&line)));
        }
    }
    let counters = counters_table(answers);
    format!("{vms}{text}\n{counters}")
}

fn shards_cell(status: &Status) -> String {
    if status.shards.is_empty() {
        return "-".to_owned();
    }
    let shards: Vec<&str> = status.shards.iter().map(|shard| shard.as_str()).collect();
    shards.join(",")
}

/// Returns the counters summed over the VMs.
fn counters_table(answers: &Answers<'_, Status>) -> Table {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for counter in answers.iter().flat_map(|(_, status)| &status.counters) {
        let sum = sums.entry(counter.name.as_str()).or_default();
        *sum = sum.saturating_add(counter.value);
    }
    let mut table = Table::new(&["COUNTER", "SUM"]);
    for (name, sum) in sums {
        table.push(vec![name.to_owned(), sum.to_string()]);
    }
    table
}

/// Returns the members as text, with one row for each different opinion.
///
/// VMs may see the same member differently, as in a one-way partition; rows
/// that agree are merged and the last column says who holds the opinion.
fn members_text(answers: &Answers<'_, Vec<MemberStatus>>) -> String {
    let mut opinions: BTreeMap<Vec<String>, Vec<String>> = BTreeMap::new();
    for (address, member) in rows(answers) {
        let opinion = vec![
            member.vm.to_string(),
            member.data_centre.to_string(),
            member.state.to_string(),
            member.incarnation.to_string(),
            or_dash(member.config_version),
        ];
        opinions.entry(opinion).or_default().push(address.to_string());
    }
    let mut table = Table::new(&["VM", "DATA CENTRE", "STATE", "INCARNATION", "CONFIG", "SEEN BY"]);
    for (mut row, seen_by) in opinions {
        let all = answers.len() > 1 && seen_by.len() == answers.len();
        row.push(if all { "all".to_owned() } else { seen_by.join(",") });
        table.push(row);
    }
    table.to_string()
}

/// Returns the requests under which endpoints ended as text, with a row for each VM that
/// knows of one.
fn quarantine_text(answers: &Answers<'_, Vec<QuarantineStatus>>) -> String {
    let mut table =
        Table::new(&["REQUEST", "STATE", "CRASHES", "TRIALS", "RETRY AFTER MS", "KNOWN BY"]);
    for (address, known) in rows(answers) {
        table.push(vec![
            known.request.to_string(),
            known.state.to_string(),
            known.crashes.to_string(),
            known.trials.to_string(),
            or_dash(known.retry_after_ms),
            address.to_string(),
        ]);
    }
    table.sort();
    table.to_string()
}

/// Returns the histograms as text, with a row for each VM: percentiles of
/// different VMs can't be added up.
fn histograms_text(answers: &Answers<'_, Vec<HistogramStatus>>) -> String {
    let mut table = Table::new(&[
        "CUSTOMER", "CLASS", "ADMIN", "COUNT", "P50 US", "P90 US", "P99 US", "MAX US",
    ]);
    for (address, histogram) in rows(answers) {
        table.push(vec![
            histogram.customer.to_string(),
            histogram.class.to_string(),
            address.to_string(),
            histogram.count.to_string(),
            histogram.p50_us.to_string(),
            histogram.p90_us.to_string(),
            histogram.p99_us.to_string(),
            histogram.max_us.to_string(),
        ]);
    }
    table.sort();
    table.to_string()
}

/// Returns the lines of all answers, each with the address that gave it.
pub(crate) fn rows<'a, T>(
    answers: &'a Answers<'_, Vec<T>>,
) -> impl Iterator<Item = (SocketAddr, &'a T)> {
    answers.iter().flat_map(|&(address, lines)| lines.iter().map(move |line| (address, line)))
}
