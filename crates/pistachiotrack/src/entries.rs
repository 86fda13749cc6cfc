//! `entries`: requests the entry addresses from a VM, in the way a caller does.

use anyhow::Context as _;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use pistachiotrack_core::{header, steering::EntryResponse};

use crate::{
    config::EntriesConfig,
    error::Error,
    exit_codes::ExitCode,
    http_client::{self, HttpError, HttpResponse},
    output::{self, Table, escape_control_chars},
};

/// Characters of a query value that are percent-encoded.
const QUERY_VALUE_ESCAPES: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Requests the entry addresses from the VM and prints them.
///
/// # Errors
///
/// Returns an error that names the address if no usable response arrives before the timeout.
pub(crate) fn run(config: &EntriesConfig) -> anyhow::Result<ExitCode> {
    let customer = HeaderValue::from_str(&config.customer)
        .with_context(|| format!("--customer: '{}' is not valid in a header", config.customer))?;
    let mut headers = HeaderMap::new();
    headers.insert(header::CUSTOMER, customer);
    let service = utf8_percent_encode(&config.service, QUERY_VALUE_ESCAPES);
    let path = format!("{}?service={service}", header::ENTRIES_PATH);

    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let address = config.vm_address;
    let response = runtime
        .block_on(http_client::get(address, &path, headers, config.timeout))
        .map_err(Error::from)?;
    if response.headers.contains_key(header::OUTCOME) {
        eprintln!("pistachiotrack: {address}: {}", refusal_text(&response));
        return Ok(ExitCode::Rejected);
    }
    if response.status != StatusCode::OK {
        return Err(
            Error::from(HttpError::Status { address, path, status: response.status }).into()
        );
    }
    let entries: EntryResponse = serde_json::from_slice(&response.body)
        .map_err(|cause| Error::from(HttpError::Body { address, path, cause }))?;
    print(config, &entries)?;
    Ok(ExitCode::Success)
}

fn refusal_text(response: &HttpResponse) -> String {
    let value = |name| {
        let value = response.headers.get(name).map(HeaderValue::as_bytes);
        value.map_or_else(
            || "-".to_owned(),
            |bytes| escape_control_chars(&String::from_utf8_lossy(bytes)),
        )
    };
    format!(
        "refused with {}: outcome={} reason={} retry_after_ms={}",
        response.status.as_u16(),
        value(header::OUTCOME),
        value(header::REASON),
        value(header::RETRY_AFTER_MS),
    )
}

fn print(config: &EntriesConfig, response: &EntryResponse) -> anyhow::Result<()> {
    if config.json {
        return output::print_json(response);
    }
    let mut table = Table::new(&["ADDRESS", "DATA CENTRE"]);
    for entry in &response.entries {
        table.push(vec![entry.address.to_string(), entry.data_centre.to_string()]);
    }
    output::print(&format!("{table}\nvalid for {} ms\n", response.lifetime_ms))
}
