//! Sends a request to an endpoint through a witness: a VM that reaches the
//! endpoint where this one doesn't.

use std::{net::SocketAddr, time::Duration};

use hyper::HeaderMap;
use pistachiotrack_core::{
    endpoint::Endpoint,
    header,
    membership::MemberState,
    name::Name,
    request::{ConnectionChoice, Outcome, remaining},
    shard::Dispatch,
    time::Time,
};
use serde::{Deserialize, Serialize};

use crate::{
    context::Context,
    exchange::{self, AbandonSignal, ExchangeError, RequestHead, StartedAnswer, Target},
    forward::PEER_BUDGET,
    headers,
    request_body::RequestBody,
};

/// Time after an attempt's time limit for which the witness's own word on it is
/// waited for.
const RELAY_RESULT_GRACE: Duration = Duration::from_millis(250);

/// What a witness is asked to do, as it travels with the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RelayRequest {
    /// Name of the endpoint.
    pub(crate) endpoint: Name,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
    /// Whether a new connection to the endpoint is wanted.
    pub(crate) fresh: bool,
    /// Whether a connection will do that has been silent for long.
    pub(crate) any: bool,
    /// Time left in which the first byte may be written.
    pub(crate) not_after_us: u64,
    /// Time left until the attempt is given up.
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

    /// Returns what the connection to the endpoint must be like.
    pub(crate) fn choice(&self) -> ConnectionChoice {
        match (self.fresh, self.any) {
            (true, _) => ConnectionChoice::Fresh,
            (false, true) => ConnectionChoice::Any,
            (false, false) => ConnectionChoice::RecentlyUsed,
        }
    }

    /// Returns whether it names an endpoint of the configuration.
    pub(crate) fn matches(&self, endpoint: &Endpoint) -> bool {
        endpoint.name == self.endpoint && endpoint.address == self.address
    }
}

/// How the witness's part ended, as it travels with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RelayResult {
    /// The endpoint's answer is the one that this travels with.
    Answered {
        /// Whether the connection to the endpoint was new.
        fresh: bool,
    },
    /// The witness does not send to such an endpoint; nothing was sent.
    Refused,
    /// No connection to the endpoint could be opened; nothing was sent.
    ConnectFailed,
    /// The witness gave up before the first byte; nothing was sent.
    NotSent,
    /// The connection to the endpoint broke after bytes may have been sent.
    Broken {
        /// Whether it was new.
        fresh: bool,
    },
    /// The endpoint did not answer in time; bytes may have been sent.
    TimedOut {
        /// Whether the connection to it was new.
        fresh: bool,
    },
    /// The request's body broke off on its way to the endpoint.
    BodyBroken,
}

impl RelayResult {
    /// Returns what the owner's shard is told.
    fn outcome(self) -> Outcome {
        match self {
            // Only with an answer, which is then passed on.
            RelayResult::Answered { .. } => Outcome::RelayFailed { sent: true },
            RelayResult::Refused => Outcome::RelayFailed { sent: false },
            RelayResult::ConnectFailed => Outcome::ConnectFailed,
            RelayResult::NotSent => Outcome::NotSent,
            RelayResult::Broken { fresh } => Outcome::Broken { fresh_connection: fresh },
            RelayResult::TimedOut { fresh } => Outcome::TimedOut { fresh_connection: fresh },
            RelayResult::BodyBroken => Outcome::RelayFailed { sent: true },
        }
    }

    /// Adds the end to an answer's headers.
    pub(crate) fn write_to(self, fields: &mut HeaderMap) {
        if let Ok(text) = serde_json::to_string(&self) {
            headers::set(fields, header::VIA_END, &text);
        }
    }

    fn read(fields: &HeaderMap) -> Option<RelayResult> {
        serde_json::from_str(headers::text(fields, header::VIA_END)?).ok()
    }
}

/// Why no answer of the endpoint could be had through the witness.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// The witness is no longer alive; nothing was sent.
    #[error("relay {0} is not alive")]
    RelayNotAlive(Name),
    /// The leg to the witness failed.
    #[error("leg to the relay: {0}")]
    Exchange(#[from] ExchangeError),
    /// The witness says that its part failed.
    #[error("relay says {0:?}")]
    Failed(RelayResult),
    /// The answer has no word of the witness on it.
    #[error("relay answered {status} without a word")]
    NoResult {
        /// HTTP status.
        status: u16,
    },
}

impl RelayError {
    /// Returns what the shard is told.
    ///
    /// Failure guarded against: the leg to the witness breaks after a booking
    /// was written to it, and the booking is called not run or is sent again,
    /// while the witness has it run. It shows as a doubled booking. The guard
    /// holds because only a connection to the witness on which no byte was
    /// written, or the witness's own word, makes an attempt certainly not run.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            RelayError::RelayNotAlive(_) => Outcome::RelayFailed { sent: false },
            RelayError::Failed(end) => end.outcome(),
            RelayError::NoResult { .. } => Outcome::RelayFailed { sent: true },
            RelayError::Exchange(error) => match error {
                ExchangeError::NoConnection(_) | ExchangeError::ClosedUnsent => {
                    Outcome::RelayFailed { sent: false }
                }
                ExchangeError::TooLate
                | ExchangeError::BodyConsumed
                | ExchangeError::CallerBody { sent: false } => Outcome::NotSent,
                ExchangeError::CallerBody { sent: true } => Outcome::Cancelled,
                ExchangeError::Broken { .. } | ExchangeError::TimedOut { .. } => {
                    Outcome::RelayFailed { sent: true }
                }
            },
        }
    }
}

/// Sends a request to the endpoint of `dispatch` through `witness` and returns
/// the endpoint's answer.
///
/// # Errors
///
/// Returns an error that says whether the endpoint may have got the request.
pub(crate) async fn send(
    context: &Context,
    relay: &Name,
    dispatch: &Dispatch,
    choice: ConnectionChoice,
    mut head: RequestHead,
    body: &RequestBody,
) -> Result<StartedAnswer, RelayError> {
    let address =
        peer_address(context, relay).ok_or_else(|| RelayError::RelayNotAlive(relay.clone()))?;
    let relay_request = RelayRequest::new(dispatch, choice, context.clock.now());
    if let Ok(text) = serde_json::to_string(&relay_request) {
        headers::set(&mut head.headers, header::VIA, &text);
    }
    headers::set(&mut head.headers, header::HOP, &context.me.name);
    let target = Target {
        address,
        choice: ConnectionChoice::RecentlyUsed,
        budget: PEER_BUDGET,
        not_after: dispatch.not_after,
        time_limit: dispatch.time_limit + RELAY_RESULT_GRACE,
        abandon: AbandonSignal::default(),
    };
    let mut answer = exchange::run(&context.peers, context.clock, target, head, body).await?;
    match RelayResult::read(&answer.parts.headers) {
        Some(RelayResult::Answered { fresh }) => {
            answer.fresh = fresh;
            Ok(answer)
        }
        Some(end) => Err(RelayError::Failed(end)),
        None => Err(RelayError::NoResult { status: answer.parts.status.as_u16() }),
    }
}

fn peer_address(context: &Context, relay: &Name) -> Option<SocketAddr> {
    let view = context.view();
    let member = view.members.iter().find(|member| member.vm.name == *relay)?;
    let is_usable = matches!(member.state, MemberState::Alive | MemberState::Suspect);
    is_usable.then_some(member.vm.peer_address)
}
