//! Answers queries for the entry addresses that a caller should use.

use std::{convert::Infallible, sync::Arc};

use hyper::{Request, Response, StatusCode, body::Incoming, http::request::Parts};
use percent_encoding::percent_decode_str;
use pistachiotrack_core::{
    header,
    steering::{self, EntryQuery, HostQuery},
};
use serde::Serialize;

use crate::{
    formats::{dialect::NativeDialect, headers},
    request::{answer, body::AnswerBody},
    serving::context::{Context, LifecycleState},
};

/// Query parameter that contains the service.
const SERVICE: &str = "service";

/// Response to a query for a service that does not exist.
#[derive(Debug, Serialize)]
struct UnknownService {
    error: String,
}

/// Returns the entry addresses for the service and the customer in a query.
pub(crate) fn answer(context: &Context, parts: &Parts) -> Response<AnswerBody> {
    let view = context.view();
    let Some(active) = &view.active else { return answer::no_config(&NativeDialect) };
    let service = service(parts.uri.query().unwrap_or_default());
    if active.service(&service).is_none() {
        let error = match service.as_str() {
            "" => format!("{SERVICE} is missing: ask {}?{SERVICE}=NAME", header::ENTRIES_PATH),
            name => format!("{SERVICE} {name:?} is not in the configuration"),
        };
        let mut response = answer::json(&UnknownService { error });
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let query = EntryQuery {
        config: &active.config,
        ownership: &view.ownership,
        me: &context.me,
        offers_me: !context.withdraws(),
        service: &service,
        customer: headers::text(&parts.headers, header::CUSTOMER).unwrap_or_default(),
    };
    answer::json(&steering::entries_for_query(query, view.members.iter()))
}

/// Returns the service in a query string; empty if there is none.
fn service(query: &str) -> String {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let value = fields.into_iter().find_map(|(name, value)| (name == SERVICE).then_some(value));
    percent_decode_str(value.unwrap_or_default()).decode_utf8_lossy().into_owned()
}

/// Answers a query in the deployment's dialect for the entry addresses of a host.
pub(crate) async fn handle(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let parts = request.into_parts().0;
    let Some(requested) = context.dialect.read_entry_request(&parts) else {
        return Ok(answer::plain(StatusCode::NOT_FOUND));
    };
    let view = context.view();
    let Some(active) = &view.active else {
        return Ok(answer::no_config(&*context.dialect));
    };
    let query = HostQuery {
        config: &active.config,
        ownership: &view.ownership,
        me: &context.me,
        offers_me: !context.withdraws(),
        host: &requested.host,
        data_centre: requested.data_centre.as_deref(),
    };
    let entries = steering::entries_for_host(query, view.members.iter());
    Ok(context.dialect.write_entries(&entries).map(AnswerBody::whole))
}

/// Reports to the platform whether this VM is ready to serve requests.
pub(crate) async fn readiness(
    context: Arc<Context>,
    _: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    Ok(answer::plain(match context.lifecycle_state() {
        LifecycleState::Serving => StatusCode::OK,
        LifecycleState::Starting | LifecycleState::Unconfirmed | LifecycleState::Leaving => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }))
}
