//! `entries`: asks a VM, as a caller does, which addresses to use.

use anyhow::Context as _;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use pistachiotrack_core::{header, steering::EntryResponse};

use crate::{
    config::EntriesConfig,
    error::Error,
    exit_codes::ExitCode,
    http_client::{self, Answer, HttpError},
    output::{self, Table, printable},
};

/// Characters of a query value that must be escaped.
const QUERY_VALUE: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Asks the VM and prints its answer.
///
/// # Errors
///
/// Returns an error that names the address when no usable answer came in time.
pub(crate) fn run(config: &EntriesConfig) -> anyhow::Result<ExitCode> {
    let customer = HeaderValue::from_str(&config.customer)
        .with_context(|| format!("--customer: '{}' fits no header", config.customer))?;
    let mut headers = HeaderMap::new();
    headers.insert(header::CUSTOMER, customer);
    let service = utf8_percent_encode(&config.service, QUERY_VALUE);
    let path = format!("{}?service={service}", header::ENTRIES_PATH);

    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let address = config.vm_address;
    let answer = runtime
        .block_on(http_client::get(address, &path, headers, config.timeout))
        .map_err(Error::from)?;
    if answer.headers.contains_key(header::OUTCOME) {
        eprintln!("pistachiotrack: {address}: {}", refusal_text(&answer));
        return Ok(ExitCode::Rejected);
    }
    if answer.status != StatusCode::OK {
        return Err(Error::from(HttpError::Status { address, path, status: answer.status }).into());
    }
    let entries: EntryResponse = serde_json::from_slice(&answer.body)
        .map_err(|cause| Error::from(HttpError::Body { address, path, cause }))?;
    print(config, &entries)?;
    Ok(ExitCode::Success)
}

fn refusal_text(answer: &Answer) -> String {
    let value = |name| {
        let value = answer.headers.get(name).map(HeaderValue::as_bytes);
        value.map_or_else(|| "-".to_owned(), |bytes| printable(&String::from_utf8_lossy(bytes)))
    };
    format!(
        "refused with {}: outcome={} reason={} retry_after_ms={}",
        answer.status.as_u16(),
        value(header::OUTCOME),
        value(header::REASON),
        value(header::RETRY_AFTER_MS),
    )
}

fn print(config: &EntriesConfig, answer: &EntryResponse) -> anyhow::Result<()> {
    if config.json {
        return output::print_json(answer);
    }
    let mut table = Table::new(&["ADDRESS", "DATA CENTRE"]);
    for entry in &answer.entries {
        table.push(vec![entry.address.to_string(), entry.data_centre.to_string()]);
    }
    output::print(&format!("{table}\nvalid for {} ms\n", answer.lifetime_ms))
}
