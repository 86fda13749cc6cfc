//! Removal of headers that must not be forwarded, and setters for headers.

use hyper::{
    HeaderMap,
    header::{
        CONNECTION, EXPECT, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
        TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use pistachiotrack_core::header;

/// Headers that apply to one connection only.
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Headers exchanged between VMs; callers may not set them.
const INTERNAL_REQUEST: [&str; 5] =
    [header::HOP, header::ROUTE, header::REQUEST_ID, header::TRANSFER, header::VIA];

/// Headers from the fleet to callers; endpoints may not set them.
const INTERNAL_ANSWER: [&str; 7] = [
    header::OUTCOME,
    header::REASON,
    header::RETRY_AFTER_MS,
    header::ENDPOINT,
    header::OWNER,
    header::VIA_END,
    header::PEER_RESULT,
];

/// Removes the hop-by-hop headers, including those listed in `connection`.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

/// Removes the headers of a caller's request that must not enter the fleet.
pub(crate) fn strip_from_caller(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(EXPECT);
    for name in INTERNAL_REQUEST {
        headers.remove(name);
    }
}

/// Removes the headers of an endpoint's answer that only VMs may set.
pub(crate) fn strip_from_endpoint(headers: &mut HeaderMap) {
    for name in INTERNAL_ANSWER {
        headers.remove(name);
    }
}

/// Returns a header's value if it is present and is text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Sets a header to `value`. The header is left out if the value contains characters that HTTP
/// does not allow.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Sets a header to a number.
pub(crate) fn set_number(headers: &mut HeaderMap, name: &'static str, value: u64) {
    headers.insert(name, HeaderValue::from(value));
}
