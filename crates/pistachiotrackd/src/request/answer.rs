//! Responses that the daemon generates itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use pistachiotrack_core::{
    copies::Undispatched,
    idempotency::StoredAnswer,
    name::Name,
    refusal::{Reason, Refusal},
};
use serde::Serialize;

use crate::{formats::dialect::Dialect, request::body::AnswerBody};

/// Retry delay sent to callers of a VM that has no configuration yet. A starting VM gets its
/// configuration from a peer or from the platform after about 300 ms.
pub(crate) const NO_CONFIG_RETRY_MS: u64 = 300;

/// A refusal that has not been written to the response yet.
#[derive(Debug)]
pub(crate) struct PendingRefusal {
    /// The refusal.
    pub(crate) refusal: Refusal,
    /// HTTP status for callers that use the native dialect.
    pub(crate) status: StatusCode,
}

impl From<Refusal> for PendingRefusal {
    fn from(refusal: Refusal) -> PendingRefusal {
        let status = status(refusal.reason());
        PendingRefusal { refusal, status }
    }
}

/// Result of a request.
pub(crate) struct Served {
    /// The answer, or the refusal, which has not been written and logged yet.
    pub(crate) answer: Result<Response<AnswerBody>, PendingRefusal>,
    /// Time between sending the request and the head of the answer, if an endpoint answered.
    pub(crate) endpoint_time: Option<Duration>,
    /// The endpoint that answered, if it said that it is leaving.
    pub(crate) leaving_endpoint: Option<Name>,
}

impl Served {
    /// Returns the result of a refused request.
    pub(crate) fn refused(refusal: impl Into<PendingRefusal>) -> Served {
        Served { answer: Err(refusal.into()), endpoint_time: None, leaving_endpoint: None }
    }
}

/// Returns the response to a query for entry addresses while this VM has no configuration.
pub(crate) fn no_config(dialect: &dyn Dialect) -> Response<AnswerBody> {
    let refusal = Undispatched::on_arrival().refuse(Reason::NoConfig, Some(NO_CONFIG_RETRY_MS));
    let PendingRefusal { refusal, status } = refusal.into();
    dialect.write_refusal(None, &refusal, status).map(AnswerBody::whole)
}

/// Returns an answer that was stored for duplicates of a request.
pub(crate) fn replay(stored: &StoredAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::from(stored.body.clone())));
    *response.status_mut() =
        StatusCode::from_u16(stored.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type =
        stored.content_type.as_ref().and_then(|value| HeaderValue::from_str(value).ok());
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// Returns a response with `value` as JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = Response::new(AnswerBody::whole(body.into()));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns a plain text response.
pub(crate) fn text(text: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(text.into()));
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

/// Returns a response to another VM with an encoded body.
pub(crate) fn octets(body: Vec<u8>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(body.into()));
    let octets = HeaderValue::from_static("application/octet-stream");
    response.headers_mut().insert(CONTENT_TYPE, octets);
    response
}

/// Returns a response without a body.
pub(crate) fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::QueueFull | Reason::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        Reason::ApiKey => StatusCode::UNAUTHORIZED,
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::Rule => StatusCode::FORBIDDEN,
        Reason::AnswerLost => StatusCode::BAD_GATEWAY,
        Reason::NoRecord | Reason::Duplicate => StatusCode::CONFLICT,
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::WaitTooLong
        | Reason::NoConfig
        | Reason::NoEndpoint
        | Reason::Paused
        | Reason::CrashesEndpoints
        | Reason::ConfigUnconfirmed
        | Reason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}
