//! Sends a request to one endpoint.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pistachiotrack_core::{
    name::Name,
    request::{ConnectionChoice, EndpointReport, Outcome, remaining},
    shard::{Dispatch, SelectionDetails},
};

use crate::{
    connections::{
        carried_requests::SentRequest,
        connection_pool::ConnectionPool,
        exchange::{
            self, AbandonSignal, RequestHead, StartedAnswer, Target, outcome_of_answer,
            outcome_of_error, return_connection,
        },
    },
    formats::{
        dialect::{AnswerKind, AnswerMetadata, Dialect, OutgoingMetadata},
        inbound::Inbound,
    },
    peers::endpoint_notices::{NoticeSource, NoticeTable},
    request::relay_client::{self, RelayClient, RelayError, RelayResult},
    runtime::clock::Clock,
};

/// What attempts need.
#[derive(Debug)]
pub(crate) struct AttemptHandle {
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Protocol of endpoints.
    pub(crate) dialect: Arc<dyn Dialect>,
    /// What endpoints ask of this VM.
    pub(crate) notices: Arc<NoticeTable>,
    /// Connections to endpoints.
    pub(crate) endpoints: Arc<ConnectionPool>,
    /// Sends requests through relays.
    pub(crate) relays: RelayClient,
}

/// Result of an attempt, or the start of its answer.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    /// Endpoint that the request was sent to.
    pub(crate) endpoint: Name,
    /// Its address, unless the request was sent through a relay.
    pub(crate) address: Option<SocketAddr>,
    /// Why the endpoint was selected.
    pub(crate) selection: SelectionDetails,
    /// Time from the dispatch to the outcome.
    pub(crate) elapsed: Duration,
    /// Outcome that is reported to the shard.
    pub(crate) outcome: Outcome,
    /// Why no answer was received, if none was.
    pub(crate) error: Option<String>,
    /// State that the endpoint reports about itself.
    pub(crate) report: EndpointReport,
    /// The answer that ended the attempt, if one did.
    pub(crate) answer_details: Option<AnswerDetails>,
    /// The answer, if it has started.
    pub(crate) answer: Option<Box<StartedAnswer>>,
    /// Pool that the answer's connection belongs to.
    pub(crate) pool: Arc<ConnectionPool>,
}

/// What an answer states and where it came from, for the log.
///
/// An endpoint can repeat an answer late, on the connection on which it sent it before. The place
/// of the exchange on its connection shows whether an answer can be such a one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerDetails {
    /// Local port of the connection.
    pub(crate) local_port: u16,
    /// Number of the exchange on the connection, from 1 on.
    pub(crate) exchange: u32,
    /// HTTP status.
    pub(crate) status: u16,
    /// Whether the answer states the ID of the request.
    pub(crate) names_request: bool,
    /// Whether the answer states that the endpoint did not run the request.
    pub(crate) states_not_run: bool,
}

impl AnswerDetails {
    fn of(metadata: AnswerMetadata, answer: &StartedAnswer) -> AnswerDetails {
        AnswerDetails {
            local_port: answer.connection.local_port,
            exchange: answer.connection.exchanges,
            status: answer.parts.status.as_u16(),
            names_request: metadata.names_request,
            states_not_run: metadata.states_not_run,
        }
    }
}

/// Sends the request of `inbound` to the endpoint selected in `dispatch`.
pub(crate) async fn run(
    handle: Arc<AttemptHandle>,
    inbound: Arc<Inbound>,
    dispatch: Dispatch,
    budget: u32,
    abandon: AbandonSignal,
) -> AttemptEnd {
    let started_at = handle.clock.now();
    let choice = connection_choice(&inbound, dispatch.connection);
    let metadata = OutgoingMetadata {
        request_id: Some(&inbound.fleet_id),
        endpoint: &dispatch.endpoint,
        time_left: remaining(inbound.deadline, handle.clock.now()),
        customer: inbound.route.identified.as_ref(),
    };
    let head = request_head(&*handle.dialect, &inbound, metadata);
    let gate = handle.notices.gate(&inbound.route.shard.service, &dispatch.endpoint);
    let (pool, result) = match &dispatch.relay {
        None => {
            let target = Target {
                address: dispatch.address,
                choice,
                request: Some(SentRequest::from(&*inbound)),
                budget,
                not_after: dispatch.not_after,
                time_limit: dispatch.time_limit,
                abandon,
                gate: Some(gate.clone()),
            };
            let pool = &handle.endpoints;
            let result = exchange::run(pool, handle.clock, target, head, &inbound.body).await;
            (pool, result.map_err(|error| (outcome_of_error(&error), error.to_string())))
        }
        Some(relay) => {
            let result =
                relay_client::send(&handle.relays, relay, &dispatch, choice, head, &inbound).await;
            if let Err(RelayError::Failed(RelayResult::Closed(notice))) = &result {
                gate.record(*notice, NoticeSource::Relay);
            }
            let result = result.map_err(|error| (error.outcome(), error.to_string()));
            (&handle.relays.peers, result)
        }
    };
    let result = result.map(|answer| {
        let metadata = exchange::read_answer(&*handle.dialect, &answer, metadata);
        (metadata, answer)
    });
    let mut end = AttemptEnd {
        endpoint: dispatch.endpoint.clone(),
        address: dispatch.relay.is_none().then_some(dispatch.address),
        selection: dispatch.selection,
        elapsed: handle.clock.now().since(started_at),
        outcome: Outcome::NotSent,
        error: None,
        report: EndpointReport::default(),
        answer_details: None,
        answer: None,
        pool: Arc::clone(pool),
    };
    match result {
        Ok((metadata, answer)) => {
            gate.record(metadata.notice(), NoticeSource::Answer);
            end.set_answer(metadata, answer).await;
        }
        Err((outcome, error)) => {
            log::debug!(
                "event=attempt_failed request={} endpoint={} via={} error={error:?}",
                inbound.fleet_id,
                end.endpoint,
                dispatch.relay.as_deref().unwrap_or_default()
            );
            end.outcome = outcome;
            end.error = Some(error);
        }
    }
    end
}

/// Selects the connection for the attempt.
///
/// A middlebox (firewall, NAT) on the path can drop its state for an idle connection. A booking
/// written to such a connection gets no answer, and it is unknown whether it ran. A request that
/// must not be repeated is therefore never sent on a connection that has been idle for long.
fn connection_choice(inbound: &Inbound, choice: ConnectionChoice) -> ConnectionChoice {
    match choice {
        ConnectionChoice::Any if !inbound.route.idempotent => ConnectionChoice::RecentlyUsed,
        choice => choice,
    }
}

fn request_head(
    dialect: &dyn Dialect,
    inbound: &Inbound,
    metadata: OutgoingMetadata<'_>,
) -> RequestHead {
    let mut fields = inbound.headers.clone();
    dialect.write_request(&mut fields, metadata);
    RequestHead { method: inbound.method.clone(), uri: inbound.uri.clone(), headers: fields }
}

impl AttemptEnd {
    /// Sets the outcome and the report from an answer.
    ///
    /// A late answer to an earlier request, or bytes after a complete answer, can arrive where
    /// the next answer is expected; a caller would then get the answer to another caller's
    /// request. An answer with another request's ID is therefore dropped together with its
    /// connection, and its request counts as possibly run.
    async fn set_answer(&mut self, metadata: AnswerMetadata, answer: StartedAnswer) {
        self.outcome = outcome_of_answer(&metadata, &answer);
        self.report = metadata.report;
        self.answer_details = Some(AnswerDetails::of(metadata, &answer));
        match metadata.kind {
            AnswerKind::Answer => self.answer = Some(Box::new(answer)),
            AnswerKind::NotRun => return_connection(&self.pool, answer).await,
            AnswerKind::WrongEndpoint | AnswerKind::Unrelated => {}
        }
    }
}
