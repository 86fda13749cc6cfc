//! How callers and endpoints of a deployment speak: names of headers, formats
//! and statuses. Nothing here decides.

mod native;

use std::{fmt, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    http::{request, response},
};
use pistachiotrack_core::{
    name::Name,
    rate_limit::{RateLimit, RateLimitError},
    refusal::Refusal,
    request::{Class, EndpointReport},
    steering::EntryResponse,
};

pub use self::native::NativeDialect;

/// What a caller says about its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Customer that it acts for.
    pub customer: Option<Name>,
    /// Class that it asks for.
    pub class: Class,
    /// Service that it names.
    pub service: Option<Name>,
    /// Time for which it will wait.
    pub time_left: Option<Duration>,
}

/// A request's head that can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{header}: {problem}")]
pub struct HeaderError {
    /// Name of the header.
    pub header: &'static str,
    /// What is wrong with it, with its value.
    pub problem: String,
}

/// What an endpoint is told about a request.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingMetadata<'a> {
    /// Identity of the request; none for a health check.
    pub request_id: Option<&'a Name>,
    /// Endpoint that is meant.
    pub endpoint: &'a Name,
    /// Time left to the request.
    pub time_left: Duration,
}

/// What an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The endpoint's answer to this request.
    Answer,
    /// The endpoint refused and says that it did not run the request.
    NotRun,
    /// Another endpoint has the address, and did not run the request.
    WrongEndpoint,
    /// It answers another request, or bears no sign of being the endpoint's own.
    Unrelated,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// What the answer is.
    pub kind: AnswerKind,
    /// What the endpoint reports about itself.
    pub report: EndpointReport,
}

/// A caller's question for addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRequest {
    /// Host that it will name in its requests.
    pub host: Name,
    /// Data centre that it is in or next to.
    pub data_centre: Option<Name>,
}

/// Reads the limit that an endpoint names; one that can't be read counts as none.
pub fn read_rate_limit(text: &str) -> Option<RateLimit> {
    let unreadable = |error: &RateLimitError| {
        log::warn!("event=rate_limit_unreadable error={:?}", error.to_string());
    };
    text.parse().inspect_err(unreadable).ok()
}

/// How callers and endpoints of a deployment speak.
pub trait Dialect: fmt::Debug + Send + Sync + 'static {
    /// Reads what a caller says about its request.
    ///
    /// # Errors
    ///
    /// Returns an error that names the header at fault.
    fn read_request(&self, parts: &request::Parts) -> Result<RequestMetadata, HeaderError>;

    /// Returns the identity that a caller gave its request.
    fn request_id<'a>(&self, fields: &'a HeaderMap) -> Option<&'a str>;

    /// Tells an endpoint about a request.
    fn write_request(&self, fields: &mut HeaderMap, metadata: OutgoingMetadata<'_>);

    /// Reads what the head of an endpoint's answer says.
    fn read_answer(
        &self,
        parts: &response::Parts,
        metadata: OutgoingMetadata<'_>,
    ) -> AnswerMetadata;

    /// Tells a caller who answered it.
    fn write_answer(&self, fields: &mut HeaderMap, endpoint: &Name, vm: &Name);

    /// Builds the answer that tells a caller of the refusal of `request`, which is
    /// none where it asked for addresses; `status` is the one that the fleet's own callers get.
    fn write_refusal(
        &self,
        request: Option<&Name>,
        refusal: &Refusal,
        status: StatusCode,
    ) -> Response<Bytes>;

    /// Returns whether an answer without a length is whole when its connection
    /// ends cleanly; if not, its end can't be told from a cut.
    fn ends_answers_by_closing(&self) -> bool;

    /// Reads a caller's question for addresses; `None` if it is none.
    fn read_entry_request(&self, parts: &request::Parts) -> Option<EntryRequest>;

    /// Builds the answer to a caller's question for addresses.
    fn write_entries(&self, answer: &EntryResponse) -> Response<Bytes>;
}
