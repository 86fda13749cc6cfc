//! Views of the admin ports' pages: `status`, `endpoints`, `members`, `customers`, `quarantine`
//! and `histograms`.

use std::{collections::BTreeMap, net::SocketAddr};

use pistachiotrack_core::admin::{
    CustomerUsage, HistogramStatus, MemberStatus, QuarantineStatus, Status,
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;

use crate::{
    admin_client::{self, VmResponse},
    config::{View, ViewConfig},
    endpoints::{self, ShardOwners},
    exit_codes::ExitCode,
    output::{self, Table, escape_control_chars, or_dash},
};

/// Requests the page from each VM and prints the combined result.
///
/// # Errors
///
/// Returns an error if the output can't be written.
pub(crate) fn run(config: &ViewConfig) -> anyhow::Result<ExitCode> {
    match config.view {
        View::Status => show(config, "/status", status_text),
        View::Endpoints => {
            let owners = ShardOwners::from_responses(&fetch::<Status>(config, "/status")?);
            show(config, "/endpoints", |responses| endpoints::text(responses, &owners))
        }
        View::AllEndpoints => {
            let owners = ShardOwners::default();
            show(config, "/endpoints", |responses| endpoints::text(responses, &owners))
        }
        View::Members => show(config, "/members", members_text),
        View::Customers => show(config, "/customers", customers_text),
        View::Quarantine => show(config, "/quarantine", quarantine_text),
        View::Histograms => show(config, "/histograms", histograms_text),
        View::AddedHistograms => show(config, "/histograms/added", histograms_text),
    }
}

/// Responses received, each with the address of its VM.
pub(crate) type Responses<'a, T> = [(SocketAddr, &'a T)];

fn fetch<T>(config: &ViewConfig, path: &'static str) -> anyhow::Result<Vec<VmResponse<T>>>
where
    T: DeserializeOwned + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(admin_client::fetch_all(&config.admin_addresses, path, config.timeout))
}

fn show<T>(
    config: &ViewConfig,
    path: &'static str,
    text: impl Fn(&Responses<'_, T>) -> String,
) -> anyhow::Result<ExitCode>
where
    T: DeserializeOwned + Serialize + Send + 'static,
{
    let responses = fetch::<T>(config, path)?;
    if config.json {
        output::print_json(&responses.iter().map(response_json).collect::<Vec<_>>())?;
    } else {
        let responses: Vec<(SocketAddr, &T)> = responses
            .iter()
            .filter_map(|response| Some((response.address, response.result.as_ref().ok()?)))
            .collect();
        if !responses.is_empty() {
            output::print(&text(&responses))?;
        }
    }
    Ok(report_failures(&responses))
}

fn response_json<T: Serialize>(response: &VmResponse<T>) -> serde_json::Value {
    match &response.result {
        Ok(page) => json!({"address": response.address, "answer": page}),
        Err(error) => json!({"address": response.address, "error": error.to_string()}),
    }
}

fn report_failures<T>(responses: &[VmResponse<T>]) -> ExitCode {
    let mut code = ExitCode::Success;
    for error in responses.iter().filter_map(|response| response.result.as_ref().err()) {
        eprintln!("pistachiotrack: {}", escape_control_chars(&error.to_string()));
        code = ExitCode::NoResponse;
    }
    code
}

fn status_text(responses: &Responses<'_, Status>) -> String {
    let mut vms = Table::new(&[
        "VM",
        "ADMIN",
        "DATA CENTRE",
        "STATE",
        "DEPLOYMENT",
        "CONFIG",
        "PLATFORM AGE MS",
        "CONFIRMED AGE MS",
        "LIVE VMS",
        "SHARDS",
    ]);
    let mut text = String::new();
    for (address, status) in responses {
        vms.push(vec![
            status.vm.to_string(),
            address.to_string(),
            status.data_centre.to_string(),
            status.state.to_string(),
            status.deployment.to_string(),
            or_dash(status.config_version),
            or_dash(status.platform_age_ms),
            or_dash(status.config_confirmed_age_ms),
            status.live_vms.to_string(),
            shards_cell(status),
        ]);
        if let Some(error) = &status.config_error {
            let line = format!("{}: configuration not accepted: {error}", status.vm);
            text.push_str(&format!("\n{}\n", escape_control_chars(&line)));
        }
    }
    let counters = counters_table(responses);
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
fn counters_table(responses: &Responses<'_, Status>) -> Table {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for counter in responses.iter().flat_map(|(_, status)| &status.counters) {
        let sum = sums.entry(counter.name.as_str()).or_default();
        *sum = sum.saturating_add(counter.value);
    }
    let mut table = Table::new(&["COUNTER", "SUM"]);
    for (name, sum) in sums {
        table.push(vec![name.to_owned(), sum.to_string()]);
    }
    table
}

/// Returns the members as text, with one row for each distinct report.
///
/// VMs may report different states of the same member, as in a one-way partition. Identical
/// reports are merged to one row, whose last column lists the VMs that sent it.
fn members_text(responses: &Responses<'_, Vec<MemberStatus>>) -> String {
    let mut reports: BTreeMap<Vec<String>, Vec<String>> = BTreeMap::new();
    for (address, member) in rows(responses) {
        let report = vec![
            member.vm.to_string(),
            member.data_centre.to_string(),
            member.state.to_string(),
            member.incarnation.to_string(),
            or_dash(member.config_version),
        ];
        reports.entry(report).or_default().push(address.to_string());
    }
    let mut table = Table::new(&["VM", "DATA CENTRE", "STATE", "INCARNATION", "CONFIG", "SEEN BY"]);
    for (mut row, seen_by) in reports {
        let all = responses.len() > 1 && seen_by.len() == responses.len();
        row.push(if all { "all".to_owned() } else { seen_by.join(",") });
        table.push(row);
    }
    table.to_string()
}

/// Returns the customers with a rate limit as text, with a row for each VM that they use.
fn customers_text(responses: &Responses<'_, Vec<CustomerUsage>>) -> String {
    let mut table =
        Table::new(&["CUSTOMER", "ADMIN", "LIMIT/S", "BURST", "TOKENS", "ADMITTED", "REFUSED"]);
    for (address, usage) in rows(responses) {
        table.push(vec![
            usage.customer.to_string(),
            address.to_string(),
            usage.requests_per_second.to_string(),
            usage.burst_requests.to_string(),
            format!("{:.0}", usage.tokens),
            usage.admitted.to_string(),
            usage.refused.to_string(),
        ]);
    }
    table.sort();
    table.to_string()
}

/// Returns the requests during which endpoints crashed as text, with a row for each VM that
/// has a record of one.
fn quarantine_text(responses: &Responses<'_, Vec<QuarantineStatus>>) -> String {
    let mut table =
        Table::new(&["REQUEST", "STATE", "CRASHES", "TRIALS", "RETRY AFTER MS", "KNOWN BY"]);
    for (address, record) in rows(responses) {
        table.push(vec![
            record.request.to_string(),
            record.state.to_string(),
            record.crashes.to_string(),
            record.trials.to_string(),
            or_dash(record.retry_after_ms),
            address.to_string(),
        ]);
    }
    table.sort();
    table.to_string()
}

/// Returns the histograms as text, with a row for each VM, since percentiles of different VMs
/// can't be combined.
fn histograms_text(responses: &Responses<'_, Vec<HistogramStatus>>) -> String {
    let mut table = Table::new(&[
        "CUSTOMER", "CLASS", "ADMIN", "COUNT", "P50 US", "P90 US", "P99 US", "MAX US",
    ]);
    for (address, histogram) in rows(responses) {
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

/// Returns the items of all responses, each with the address of its VM.
pub(crate) fn rows<'a, T>(
    responses: &'a Responses<'_, Vec<T>>,
) -> impl Iterator<Item = (SocketAddr, &'a T)> {
    responses.iter().flat_map(|&(address, items)| items.iter().map(move |item| (address, item)))
}
