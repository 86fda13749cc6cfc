//! A received request and the decisions about it.

use std::{
    sync::{Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use hyper::{
    HeaderMap, Method, Uri,
    header::HOST,
    http::{request::Parts, uri::PathAndQuery},
};
use pistachiotrack_core::{
    fingerprint::Fingerprint,
    header,
    name::Name,
    prior_attempts::PriorAttempts,
    request::{Request, RequestId},
    time::Time,
    transfers::TransferId,
};

use crate::formats::{
    forwarded_route::ForwardedRoute, headers, request_body::RequestBody,
    transferred_copy::TransferredCopy,
};

/// A received request and the decisions about it.
#[derive(Debug)]
pub(crate) struct Inbound {
    /// ID within this process.
    pub(crate) id: RequestId,
    /// ID within the fleet.
    pub(crate) fleet_id: Name,
    /// ID when it is sent to another VM; unlike `fleet_id`, callers can't choose it.
    pub(crate) transfer_id: TransferId,
    /// Version of the configuration used for routing; `None` if another VM routed the request.
    pub(crate) config_version: Option<u64>,
    /// Destination and options.
    pub(crate) route: ForwardedRoute,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// Headers that are forwarded.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: RequestBody,
    /// Time after which the caller no longer needs the answer.
    pub(crate) deadline: Time,
    /// Customer given by the caller, if any.
    pub(crate) named_customer: Option<Name>,
    /// Which copy of it another VM sent; the default if it came from a caller.
    pub(crate) copy: TransferredCopy,
    /// Attempts so far.
    pub(crate) attempts: Mutex<PriorAttempts>,
    /// Fingerprint, computed on first use.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
}

impl Inbound {
    /// Returns the fingerprint, a hash of the caller, the method, the path with its query, and
    /// the body.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            // The host may be the address of this VM, so it is used only if the caller gave no
            // customer.
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

    /// Returns the request as input for the shard's decisions.
    pub(crate) fn request(&self) -> Request {
        Request {
            id: self.id,
            customer: self.route.customer.clone(),
            class: self.route.class,
            deadline: self.deadline,
            idempotent: self.route.idempotent,
            hedge: self.route.hedge && self.is_repeatable(),
            max_attempts: self.route.max_attempts,
            key: self.key().map(Name::from),
            repeat: headers::text(&self.headers, header::REPEAT) == Some("true"),
            prior: self.attempts().clone(),
        }
    }

    /// Returns whether the request may be sent more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.idempotent && self.body.is_repeatable()
    }

    /// Returns the attempts so far.
    pub(crate) fn attempts(&self) -> MutexGuard<'_, PriorAttempts> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the idempotency key given by the caller.
    pub(crate) fn key(&self) -> Option<&str> {
        headers::text(&self.headers, header::IDEMPOTENCY_KEY)
    }
}

/// Maximum time to the deadline of a request.
pub(crate) const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Returns the deadline set by the caller, if any.
///
/// # Errors
///
/// Returns an error if the header is present but isn't a whole number.
pub(crate) fn caller_deadline(
    fields: &HeaderMap,
    received: Time,
) -> Result<Option<Time>, std::num::ParseIntError> {
    let Some(text) = headers::text(fields, header::DEADLINE_MS) else { return Ok(None) };
    let time_left = Duration::from_millis(text.trim().parse()?);
    Ok(Some(received + time_left.min(MAX_DEADLINE)))
}

/// Returns the path and query of a request, also if the caller sent an absolute URI.
pub(crate) fn origin_form(parts: &Parts) -> Uri {
    let path = parts.uri.path_and_query().cloned();
    Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")))
}
