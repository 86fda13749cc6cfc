//! A request that came in, with what was decided about it.

use std::{sync::OnceLock, time::Duration};

use hyper::{
    HeaderMap, Method, Uri,
    header::HOST,
    http::{request::Parts, uri::PathAndQuery},
};
use pistachiotrack_core::{
    fingerprint::Fingerprint,
    header,
    name::Name,
    request::{Request, RequestId},
    time::Time,
};

use crate::{forwarded_route::ForwardedRoute, headers, request_body::RequestBody};

/// A request that came in, with what was decided about it.
#[derive(Debug)]
pub(crate) struct Inbound {
    /// Identity within this process.
    pub(crate) id: RequestId,
    /// Identity within the fleet.
    pub(crate) fleet_id: Name,
    /// Version of the configuration that decided; `None` if another VM did.
    pub(crate) config_version: Option<u64>,
    /// Where it goes and how.
    pub(crate) route: ForwardedRoute,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// Headers that travel on.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: RequestBody,
    /// Moment after which the answer is of no use.
    pub(crate) deadline: Time,
    /// Customer that the caller named, if it named one.
    pub(crate) named_customer: Option<Name>,
    /// Fingerprint, once it was asked for.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
}

impl Inbound {
    /// Returns the fingerprint: of the caller, the method, the path with its query and the body.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            // The host may be the address of this VM, so it counts only where it names the caller.
            let host = || headers::text(&self.headers, HOST.as_str()).unwrap_or_default();
            let customer = self.named_customer.as_deref();
            let caller = customer.map_or_else(|| host().to_ascii_lowercase(), str::to_owned);
            let path = self.uri.path_and_query().map_or("", PathAndQuery::as_str);
            let body = self.body.digest().to_le_bytes();
            Fingerprint::of([
                &[u8::from(customer.is_some())],
                caller.as_bytes(),
                self.method.as_str().as_bytes(),
                path.as_bytes(),
                &body[..],
            ])
        })
    }

    /// Returns the request as the shard's decisions need it.
    pub(crate) fn request(&self) -> Request {
        Request {
            id: self.id,
            customer: self.route.customer.clone(),
            class: self.route.class,
            deadline: self.deadline,
            idempotent: self.route.idempotent,
            hedge: self.route.hedge && self.route.idempotent && self.body.is_repeatable(),
            max_attempts: self.route.max_attempts,
            key: self.key().map(Name::from),
            repeat: headers::text(&self.headers, header::REPEAT) == Some("true"),
        }
    }

    /// Returns the idempotency key that the caller gave.
    pub(crate) fn key(&self) -> Option<&str> {
        headers::text(&self.headers, header::IDEMPOTENCY_KEY)
    }
}

/// Longest deadline that a caller may set.
pub(crate) const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Returns the deadline that the caller set, if any.
///
/// # Errors
///
/// Returns an error if the header is there but holds no whole number.
pub(crate) fn caller_deadline(
    fields: &HeaderMap,
    received: Time,
) -> Result<Option<Time>, std::num::ParseIntError> {
    let Some(text) = headers::text(fields, header::DEADLINE_MS) else { return Ok(None) };
    let left = Duration::from_millis(text.trim().parse()?);
    Ok(Some(received + left.min(MAX_DEADLINE)))
}

/// Returns the path and query of a request, also if the caller sent a whole URI.
pub(crate) fn origin_form(parts: &Parts) -> Uri {
    let path = parts.uri.path_and_query().cloned();
    Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")))
}
