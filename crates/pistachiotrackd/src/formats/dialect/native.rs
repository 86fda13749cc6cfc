//! The native dialect: headers defined by this project.

use std::time::Duration;

use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
    http::{request, response},
};
use pistachiotrack_core::{
    authentication::PresentedKey,
    endpoint_notice::EndpointNotice,
    header,
    name::Name,
    refusal::Refusal,
    request::{Class, EndpointReport},
    steering::EntryResponse,
};

use super::{
    AnswerKind, AnswerMetadata, Dialect, EntryRequest, HeaderError, OutgoingMetadata,
    RequestMetadata, read_rate_limit, read_retry_after,
};
use crate::formats::headers;

/// Maximum length of a customer's name, in bytes.
const MAX_CUSTOMER_BYTES: usize = 256;

/// Scheme of an `Authorization` header with an API key.
const BEARER: &[u8] = b"Bearer ";

/// The native dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn read_request(&self, parts: &request::Parts) -> Result<RequestMetadata, HeaderError> {
        let text = |name| headers::text(&parts.headers, name);
        let header_error = |header, problem| HeaderError { header, problem };
        let customer = text(header::CUSTOMER).filter(|customer| !customer.is_empty());
        if let Some(customer) = customer.filter(|name| name.len() > MAX_CUSTOMER_BYTES) {
            let problem = format!("{} bytes are too long", customer.len());
            return Err(header_error(header::CUSTOMER, problem));
        }
        let class = text(header::CLASS).map(|class| {
            let unknown = || header_error(header::CLASS, format!("{class:?} is not a class"));
            Class::parse(class).ok_or_else(unknown)
        });
        let time_left = text(header::DEADLINE_MS).map(|value| {
            let not_a_number =
                |_| header_error(header::DEADLINE_MS, format!("{value:?} is not a whole number"));
            value.trim().parse().map(Duration::from_millis).map_err(not_a_number)
        });
        Ok(RequestMetadata {
            customer: customer.map(Name::from),
            class: class.transpose()?.unwrap_or_default(),
            service: text(header::SERVICE).map(Name::from),
            time_left: time_left.transpose()?,
        })
    }

    fn requires_customer(&self) -> bool {
        true
    }

    fn take_credentials(&self, fields: &mut HeaderMap) -> PresentedKey {
        fields.remove(header::CUSTOMER);
        let values = fields.get_all(AUTHORIZATION).iter().map(HeaderValue::as_bytes);
        let key = PresentedKey::from_values(values.map(bearer_token));
        fields.remove(AUTHORIZATION);
        key
    }

    fn request_id<'a>(&self, _: &'a HeaderMap) -> Option<&'a str> {
        None
    }

    fn write_request(&self, fields: &mut HeaderMap, metadata: OutgoingMetadata<'_>) {
        if let Some(id) = metadata.request_id {
            headers::set_number(fields, header::DEADLINE_MS, metadata.time_left.as_millis() as u64);
            headers::set(fields, header::REQUEST_ID, id);
        }
        if let Some(customer) = metadata.customer {
            headers::set(fields, header::CUSTOMER, customer);
        }
    }

    fn read_answer(
        &self,
        parts: &response::Parts,
        metadata: OutgoingMetadata<'_>,
    ) -> AnswerMetadata {
        let text = |name| headers::text(&parts.headers, name);
        let is_shed = parts.status == StatusCode::SERVICE_UNAVAILABLE
            && text(header::NOT_RUN) == Some("true");
        let stated_id = text(header::REQUEST_ID);
        let names_request = stated_id == metadata.request_id.map(Name::as_str);
        let kind = match stated_id {
            Some(_) if !names_request => AnswerKind::Unrelated,
            _ if is_shed => AnswerKind::NotRun,
            _ => AnswerKind::Answer,
        };
        AnswerMetadata {
            kind,
            names_request,
            states_not_run: is_shed,
            report: EndpointReport {
                in_flight: text(header::LOAD).and_then(|load| load.trim().parse().ok()),
                draining: text(header::DRAINING) == Some("true"),
                rate_limit: text(header::RATE_LIMIT).and_then(read_rate_limit),
                notice: EndpointNotice {
                    leaving: text(header::LEAVING) == Some("true"),
                    retry_after: read_retry_after(parts),
                },
            },
        }
    }

    /// Callers with the native dialect read a header that endpoints can't set.
    fn refusal_statuses(&self) -> &'static [u16] {
        &[]
    }

    fn answers_name_requests(&self) -> bool {
        false
    }

    fn write_answer(&self, fields: &mut HeaderMap, endpoint: &Name, vm: &Name) {
        headers::set(fields, header::ENDPOINT, endpoint);
        headers::set(fields, header::OWNER, vm);
    }

    fn write_refusal(
        &self,
        request: Option<&Name>,
        refusal: &Refusal,
        status: StatusCode,
    ) -> Response<Bytes> {
        let (execution, reason) = (refusal.execution().as_str(), refusal.reason().as_str());
        let text = format!("{execution} {reason}\n");
        let mut response = Response::new(Bytes::from(text));
        *response.status_mut() = status;
        let fields = response.headers_mut();
        fields.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        fields.insert(header::OUTCOME, HeaderValue::from_static(execution));
        fields.insert(header::REASON, HeaderValue::from_static(reason));
        if let Some(request) = request {
            headers::set(fields, header::REQUEST_ID, request);
        }
        if let Some(retry_after_ms) = refusal.retry_after_ms() {
            headers::set_number(fields, header::RETRY_AFTER_MS, retry_after_ms);
        }
        response
    }

    fn ends_answers_by_closing(&self) -> bool {
        false
    }

    /// Callers with the native dialect send their queries to a path of the caller address
    /// instead.
    fn read_entry_request(&self, _: &request::Parts) -> Option<EntryRequest> {
        None
    }

    fn write_entries(&self, answer: &EntryResponse) -> Response<Bytes> {
        let mut response = Response::new(serde_json::to_vec(answer).unwrap_or_default().into());
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}

/// Returns the token of an `Authorization` header; empty if it has another scheme.
fn bearer_token(value: &[u8]) -> &[u8] {
    match value.split_at_checked(BEARER.len()) {
        Some((scheme, token)) if scheme.eq_ignore_ascii_case(BEARER) => token,
        _ => &[],
    }
}
