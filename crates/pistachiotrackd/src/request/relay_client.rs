//! Sends a request to an endpoint through a relay: a VM that reaches the endpoint when this one
//! doesn't.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::HeaderMap;
use pistachiotrack_core::{
    endpoint::Endpoint,
    endpoint_notice::EndpointNotice,
    header,
    membership::MemberState,
    name::Name,
    request::{ConnectionChoice, Outcome, remaining},
    shard::Dispatch,
    time::Time,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    config::view::FleetView,
    connections::{
        carried_requests::SentRequest,
        connection_pool::ConnectionPool,
        exchange::{self, AbandonSignal, ExchangeError, RequestHead, StartedAnswer, Target},
    },
    formats::{headers, inbound::Inbound},
    peers::peer_client::PEER_BUDGET,
    runtime::clock::Clock,
};

/// Time after an attempt's time limit during which the relay's own result is awaited.
const RELAY_RESULT_GRACE: Duration = Duration::from_millis(250);

/// Instructions for a relay, which are sent with the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RelayRequest {
    /// Name of the endpoint.
    pub(crate) endpoint: Name,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
    /// Whether a new connection to the endpoint must be opened.
    pub(crate) fresh: bool,
    /// Whether a connection may be used that has been idle for long.
    pub(crate) any: bool,
    /// Time left until which the first byte may be written.
    pub(crate) not_after_us: u64,
    /// Time left until the attempt is abandoned.
    pub(crate) time_limit_us: u64,
}

impl RelayRequest {
    fn new(dispatch: &Dispatch, choice: ConnectionChoice, now: Time) -> RelayRequest {
        RelayRequest {
            endpoint: dispatch.endpoint.clone(),
            address: dispatch.address,
            fresh: choice == ConnectionChoice::Fresh,
            any: choice == ConnectionChoice::Any,
            not_after_us: remaining(dispatch.not_after, now).as_micros() as u64,
            time_limit_us: remaining(dispatch.time_limit, now).as_micros() as u64,
        }
    }

    /// Returns which connections to the endpoint may be used.
    pub(crate) fn choice(&self) -> ConnectionChoice {
        match (self.fresh, self.any) {
            (true, _) => ConnectionChoice::Fresh,
            (false, true) => ConnectionChoice::Any,
            (false, false) => ConnectionChoice::RecentlyUsed,
        }
    }

    /// Returns whether `endpoint` of the configuration is the requested one.
    pub(crate) fn matches(&self, endpoint: &Endpoint) -> bool {
        endpoint.name == self.endpoint && endpoint.address == self.address
    }
}

/// Result of a relayed request, which is sent with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RelayResult {
    /// This is the result of an answer from the endpoint.
    Answered {
        /// Whether the connection to the endpoint was new.
        fresh: bool,
    },
    /// The relay does not send to such an endpoint; nothing was sent.
    Refused,
    /// The endpoint accepts no requests from the relay now; nothing was sent.
    Closed(EndpointNotice),
    /// No connection to the endpoint could be opened; nothing was sent.
    ConnectFailed,
    /// The relay abandoned the request before the first byte; nothing was sent.
    NotSent,
    /// The connection to the endpoint failed after bytes may have been sent.
    Broken {
        /// Whether it was new.
        fresh: bool,
    },
    /// The endpoint did not answer in time; bytes may have been sent.
    TimedOut {
        /// Whether the connection to it was new.
        fresh: bool,
    },
    /// Reading the request's body failed on the way to the endpoint.
    BodyBroken,
}

impl RelayResult {
    /// Returns the outcome that is reported to the owner's shard.
    fn outcome(self) -> Outcome {
        match self {
            // Only sent with an answer, which is then returned to the caller.
            RelayResult::Answered { .. } => Outcome::RelayFailed { sent: true },
            RelayResult::Refused => Outcome::RelayFailed { sent: false },
            RelayResult::ConnectFailed => Outcome::ConnectFailed,
            RelayResult::Closed(_) | RelayResult::NotSent => Outcome::NotSent,
            RelayResult::Broken { fresh } => Outcome::Broken { fresh_connection: fresh },
            RelayResult::TimedOut { fresh } => Outcome::TimedOut { fresh_connection: fresh },
            RelayResult::BodyBroken => Outcome::RelayFailed { sent: true },
        }
    }

    /// Writes the result to an answer's headers.
    pub(crate) fn write_to(self, fields: &mut HeaderMap) {
        if let Ok(text) = serde_json::to_string(&self) {
            headers::set(fields, header::VIA_END, &text);
        }
    }

    fn read(fields: &HeaderMap) -> Option<RelayResult> {
        serde_json::from_str(headers::text(fields, header::VIA_END)?).ok()
    }
}

/// Why no answer from the endpoint was received through the relay.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// The relay is no longer alive; nothing was sent.
    #[error("relay {0} is not alive")]
    RelayNotAlive(Name),
    /// The exchange with the relay failed.
    #[error("exchange with the relay: {0}")]
    Exchange(#[from] ExchangeError),
    /// The relay reports a failure.
    #[error("relay reports {0:?}")]
    Failed(RelayResult),
    /// The answer has no result of the relay.
    #[error("relay answered {status} without a result header")]
    NoResult {
        /// HTTP status.
        status: u16,
    },
}

impl RelayError {
    /// Returns the outcome that is reported to the shard.
    ///
    /// If the connection to the relay fails after a booking was written to it, the relay may
    /// still run it. The booking must not be reported as not run or be sent again. An attempt is
    /// therefore certainly not run only if no byte was written to the relay, or if the relay
    /// reports so.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            RelayError::RelayNotAlive(_) => Outcome::RelayFailed { sent: false },
            RelayError::Failed(end) => end.outcome(),
            RelayError::NoResult { .. } => Outcome::RelayFailed { sent: true },
            RelayError::Exchange(error) => match error {
                ExchangeError::NoConnection(_) | ExchangeError::ClosedUnsent => {
                    Outcome::RelayFailed { sent: false }
                }
                ExchangeError::Closed(_)
                | ExchangeError::TooLate
                | ExchangeError::BodyConsumed
                | ExchangeError::CallerBody { sent: false } => Outcome::NotSent,
                ExchangeError::CallerBody { sent: true } => Outcome::Cancelled,
                ExchangeError::Broken { .. }
                | ExchangeError::Unreadable(_)
                | ExchangeError::NoFinalStatus { .. }
                | ExchangeError::Undecodable(_)
                | ExchangeError::TimedOut { .. } => Outcome::RelayFailed { sent: true },
            },
        }
    }
}

/// Sends requests through relays.
#[derive(Debug)]
pub(crate) struct RelayClient {
    /// Name of this VM.
    pub(crate) me: Name,
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Latest snapshot of the fleet.
    pub(crate) view: watch::Receiver<Arc<FleetView>>,
    /// Connections to other VMs.
    pub(crate) peers: Arc<ConnectionPool>,
}

/// Sends a request to the endpoint of `dispatch` through `relay` and returns the endpoint's
/// answer.
///
/// # Errors
///
/// Returns an error that indicates whether the endpoint may have received the request.
pub(crate) async fn send(
    client: &RelayClient,
    relay: &Name,
    dispatch: &Dispatch,
    choice: ConnectionChoice,
    mut head: RequestHead,
    inbound: &Inbound,
) -> Result<StartedAnswer, RelayError> {
    let address =
        peer_address(client, relay).ok_or_else(|| RelayError::RelayNotAlive(relay.clone()))?;
    let relay_request = RelayRequest::new(dispatch, choice, client.clock.now());
    if let Ok(text) = serde_json::to_string(&relay_request) {
        headers::set(&mut head.headers, header::VIA, &text);
    }
    headers::set(&mut head.headers, header::HOP, &client.me);
    let target = Target {
        address,
        choice: ConnectionChoice::RecentlyUsed,
        request: Some(SentRequest::from(inbound)),
        budget: PEER_BUDGET,
        not_after: dispatch.not_after,
        time_limit: dispatch.time_limit + RELAY_RESULT_GRACE,
        abandon: AbandonSignal::default(),
        gate: None,
    };
    let mut answer =
        exchange::run(&client.peers, client.clock, target, head, &inbound.body).await?;
    match RelayResult::read(&answer.parts.headers) {
        Some(RelayResult::Answered { fresh }) => {
            answer.fresh = fresh;
            Ok(answer)
        }
        Some(end) => Err(RelayError::Failed(end)),
        None => Err(RelayError::NoResult { status: answer.parts.status.as_u16() }),
    }
}

fn peer_address(client: &RelayClient, relay: &Name) -> Option<SocketAddr> {
    let view = client.view.borrow();
    let member = view.members.iter().find(|member| member.vm.name == *relay)?;
    let is_usable = matches!(member.state, MemberState::Alive | MemberState::Suspect);
    is_usable.then_some(member.vm.peer_address)
}
