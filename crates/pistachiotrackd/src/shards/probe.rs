//! Health checks of endpoints.

use std::{net::SocketAddr, sync::Arc};

use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Uri,
    header::{HOST, HeaderValue},
};
use kameo::actor::Recipient;
use pistachiotrack_core::{
    name::Name,
    request::{AttemptId, BodyEnd, ConnectionChoice, EndpointReport},
    time::Time,
};

use crate::{
    connections::{
        connection_pool::ConnectionPool,
        exchange::{
            self, AbandonSignal, ExchangeError, RequestHead, StartedAnswer, Target,
            outcome_of_answer, outcome_of_error,
        },
    },
    formats::{
        dialect::{AnswerKind, AnswerMetadata, Dialect, OutgoingMetadata},
        request_body::RequestBody,
    },
    peers::endpoint_notices::{EndpointGate, NoticeSource},
    runtime::clock::Clock,
    stats::attempt_report::{AttemptOutcome, BodyEnded},
};

/// Health checks are not limited by the connection budget of requests.
const PROBE_BUDGET: u32 = u32::MAX;

/// Maximum size of the body of a health check's answer.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Recipients of the result of a health check.
pub(crate) struct ProbeReports {
    /// Gets the outcome.
    pub(crate) outcomes: Recipient<AttemptOutcome>,
    /// Gets the end of the answer's body afterwards.
    pub(crate) bodies: Recipient<BodyEnded>,
}

/// A health check of an endpoint.
#[derive(Debug)]
pub(crate) struct Probe {
    /// ID of the attempt.
    pub(crate) attempt: AttemptId,
    /// Endpoint to check, and what it asks of this VM.
    pub(crate) gate: EndpointGate,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
    /// Path of the health check.
    pub(crate) path: Name,
    /// Time at which the probe times out.
    pub(crate) time_limit: Time,
}

impl Probe {
    /// Sends the health check and reports its result to the shard.
    pub(crate) async fn run(
        self,
        reports: ProbeReports,
        pool: Arc<ConnectionPool>,
        clock: Clock,
        dialect: Arc<dyn Dialect>,
    ) {
        let metadata = OutgoingMetadata {
            request_id: None,
            endpoint: &self.gate.endpoint,
            time_left: self.time_limit.since(clock.now()),
            customer: None,
        };
        let (outcome, report, answer) = match self.exchange(&pool, clock, &*dialect, metadata).await
        {
            Ok(answer) => {
                let metadata = exchange::read_answer(&*dialect, &answer, metadata);
                self.gate.record(metadata.notice(), NoticeSource::Probe);
                let outcome = outcome_of_answer(&metadata, &answer);
                let AnswerMetadata { kind, report, .. } = metadata;
                (outcome, report, Some(answer).filter(|_| kind == AnswerKind::Answer))
            }
            Err(error) => {
                self.log_error(&error);
                (outcome_of_error(&error), EndpointReport::default(), None)
            }
        };
        log::debug!("event=probe endpoint={} outcome={outcome:?}", self.gate.endpoint);
        let attempt = self.attempt;
        // A stopped shard needs no outcome.
        let _ = reports.outcomes.tell(AttemptOutcome { attempt, outcome, report }).try_send();
        if let Some(answer) = answer {
            let end = self.read_body(answer, &pool, clock).await;
            let _ = reports.bodies.tell(BodyEnded { attempt, end, stored: None }).try_send();
        }
    }

    async fn exchange(
        &self,
        pool: &ConnectionPool,
        clock: Clock,
        dialect: &dyn Dialect,
        metadata: OutgoingMetadata<'_>,
    ) -> Result<StartedAnswer, ExchangeError> {
        let uri: Uri = self.path.parse().unwrap_or_default();
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert(HOST, host);
        }
        dialect.write_request(&mut headers, metadata);
        let head = RequestHead { method: Method::GET, uri, headers };
        let target = Target {
            address: self.address,
            choice: ConnectionChoice::Fresh,
            request: None,
            budget: PROBE_BUDGET,
            not_after: self.time_limit,
            time_limit: self.time_limit,
            abandon: AbandonSignal::default(),
            gate: Some(self.gate.clone()),
        };
        let body = RequestBody::Whole(None);
        exchange::run(pool, clock, target, head, &body).await
    }

    /// Logs why the health check has failed. An endpoint that is down fails many of them; one that
    /// sends malformed answers needs to be repaired.
    fn log_error(&self, error: &ExchangeError) {
        let level = if error.is_malformed_answer() { log::Level::Warn } else { log::Level::Debug };
        log::log!(
            level,
            "event=probe_failed endpoint={} address={} error={:?}",
            self.gate.endpoint,
            self.address,
            error.to_string()
        );
    }

    async fn read_body(
        &self,
        answer: StartedAnswer,
        pool: &ConnectionPool,
        clock: Clock,
    ) -> BodyEnd {
        let StartedAnswer { body, connection, .. } = answer;
        let body = Limited::new(body, MAX_BODY_BYTES).collect();
        match tokio::time::timeout_at(clock.instant(self.time_limit), body).await {
            Ok(Ok(_)) => {
                pool.check_in(connection);
                BodyEnd::Complete
            }
            _ => BodyEnd::Truncated,
        }
    }
}
