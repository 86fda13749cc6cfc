//! Framing of messages: how a recipient finds the end of a body.
//!
//! Framing belongs to one connection. A VM decodes a body by the connection that it arrives on and
//! frames it anew for the one that it is sent on, so that the headers that described the former end
//! here. Beside a body that was framed anew they could contradict it: a length that is shorter than
//! the body makes a part of it look like the whole.

use hyper::{
    HeaderMap, Method, StatusCode,
    body::Body,
    header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
    http::response,
};

/// The only transfer coding that this VM decodes.
const CHUNKED: &str = "chunked";

/// How the end of an answer's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerFraming {
    /// The answer has no body, whatever its headers say.
    Bodyless {
        /// Length that the answer to a GET would have had, if the answer states it.
        represented_bytes: Option<u64>,
    },
    /// The body has a stated length.
    Length,
    /// The body is sent in chunks, the last of which is marked.
    Chunked {
        /// Whether the answer also states a length.
        has_length: bool,
    },
    /// The body ends with the connection.
    UntilClose,
}

/// The body of a message has a transfer coding other than chunks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("transfer coding {0:?} isn't supported")]
pub struct UnsupportedCoding(String);

impl AnswerFraming {
    /// Removes the framing from the head of an answer to a request with `method`, and returns it.
    ///
    /// Chunks take precedence over a length (RFC 9112, 6.3).
    ///
    /// # Errors
    ///
    /// Returns an error if the body can't be decoded.
    pub(crate) fn take_from(
        method: &Method,
        head: &mut response::Parts,
    ) -> Result<AnswerFraming, UnsupportedCoding> {
        let codings = transfer_codings(&head.headers);
        let length = head.headers.get(CONTENT_LENGTH).cloned();
        head.headers.remove(CONTENT_LENGTH);
        head.headers.remove(TRANSFER_ENCODING);
        if is_bodyless(method, head.status) {
            let is_stated = codings.is_none() && head.status != StatusCode::NO_CONTENT;
            let represented_bytes = length.filter(|_| is_stated).and_then(|value| parse(&value));
            return Ok(AnswerFraming::Bodyless { represented_bytes });
        }
        match codings {
            Some(codings) if codings == CHUNKED => {
                Ok(AnswerFraming::Chunked { has_length: length.is_some() })
            }
            Some(codings) => Err(UnsupportedCoding(codings)),
            None if length.is_some() => Ok(AnswerFraming::Length),
            None => Ok(AnswerFraming::UntilClose),
        }
    }

    /// Returns whether the end of the body can be told from the end of a broken connection.
    pub(crate) fn marks_end(self) -> bool {
        self != AnswerFraming::UntilClose
    }

    /// Returns whether the answer is framed in two ways, which may disagree.
    ///
    /// Its sender may then also disagree with this VM about where the next answer begins.
    pub(crate) fn is_ambiguous(self) -> bool {
        matches!(self, AnswerFraming::Chunked { has_length: true })
    }

    /// Writes to the head of an answer what isn't derived from its body.
    pub(crate) fn write_to(self, fields: &mut HeaderMap) {
        if let AnswerFraming::Bodyless { represented_bytes: Some(bytes) } = self {
            fields.insert(CONTENT_LENGTH, HeaderValue::from(bytes));
        }
    }
}

/// Returns an error if the body of a request has a coding that isn't removed from it.
///
/// The HTTP server removes chunks. What is left of `gzip, chunked` would reach an endpoint without
/// the header that names its coding.
pub(crate) fn check_request(fields: &HeaderMap) -> Result<(), UnsupportedCoding> {
    match transfer_codings(fields) {
        Some(codings) if codings != CHUNKED => Err(UnsupportedCoding(codings)),
        _ => Ok(()),
    }
}

/// Frames a request's body for the connection that it is sent on.
///
/// The HTTP client takes a GET or HEAD without a stated length for one without a body.
pub(crate) fn write_request(fields: &mut HeaderMap, body: &impl Body) {
    match body.size_hint().exact() {
        Some(bytes) if fields.contains_key(CONTENT_LENGTH) => {
            fields.insert(CONTENT_LENGTH, HeaderValue::from(bytes));
        }
        Some(_) => {}
        None => {
            fields.remove(CONTENT_LENGTH);
            fields.insert(TRANSFER_ENCODING, HeaderValue::from_static(CHUNKED));
        }
    }
}

/// Removes a length from the head of an answer whose body has another one, or none that is known,
/// and returns it.
///
/// The HTTP server ends a body at the length in the head and drops the rest, so that the caller would
/// take a part for the whole.
pub(crate) fn remove_other_length(
    fields: &mut HeaderMap,
    body_bytes: Option<u64>,
) -> Option<HeaderValue> {
    let stated = fields.get(CONTENT_LENGTH)?;
    if body_bytes.is_some() && parse(stated) == body_bytes {
        return None;
    }
    fields.remove(CONTENT_LENGTH)
}

fn is_bodyless(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Returns the transfer codings in lower case, in the order in which they were applied.
///
/// Only ASCII blanks are taken off (RFC 9110, 5.6.3). The HTTP client doesn't decode the chunks of a
/// coding with another blank around it, so that it must not look like `chunked` here.
fn transfer_codings(fields: &HeaderMap) -> Option<String> {
    let mut values = fields.get_all(TRANSFER_ENCODING).iter().peekable();
    values.peek()?;
    let values: Vec<_> = values.map(|value| String::from_utf8_lossy(value.as_bytes())).collect();
    Some(values.join(",").trim_ascii().to_ascii_lowercase())
}

fn parse(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}
