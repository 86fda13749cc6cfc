//! Forwards a request to the VM that owns its shard, over one hop at most.

use std::{pin::pin, sync::Arc, time::Duration};

use futures_util::future::{Either, select};
use pistachiotrack_core::{
    copies::{Copies, OutstandingCopy, Undispatched},
    endpoint_notice::EndpointNotice,
    header,
    prior_attempts::PriorAttempts,
    refusal::{Refusal, RefusalDecision},
    request::{ConnectionChoice, remaining},
    time::Time,
    vm::Vm,
};

use crate::{
    connections::{
        carried_requests::SentRequest,
        connection_pool::ConnectionPool,
        exchange::{self, AbandonSignal, ExchangeError, RequestHead, StartedAnswer, Target},
    },
    formats::{
        forwarded_route::ForwardedRoute,
        headers,
        inbound::Inbound,
        peer_result::{PeerAnswer, PeerRefusal, PeerResult},
        transferred_copy::TransferredCopy,
    },
    peers::{
        endpoint_notices::{NoticeSource, NoticeTable},
        peer_client::PEER_BUDGET,
    },
    request::{
        answer::Served,
        body::{self, AnswerBody, BodyTimeouts},
        in_flight::{InFlightTable, Stage},
    },
    runtime::clock::Clock,
    stats::{
        forward_stats::ForwardStats,
        metrics::{Event, Metrics},
        traffic::{Locality, Topic, Traffic},
    },
};

/// Why no answer was received from the owner.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ForwardError {
    /// The exchange with the owner failed.
    #[error("forward: {0}")]
    Exchange(#[from] ExchangeError),
    /// The owner refused without a valid result header.
    #[error("forward: refused without a valid result header")]
    Unverified,
}

impl ForwardError {
    /// Returns whether it is certain that no byte was sent to the owner.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self, ForwardError::Exchange(error) if error.is_unsent())
    }
}

/// Result of a forwarded request.
pub(crate) enum Forwarded {
    /// The answer, to be sent to the caller.
    Answered(Served),
    /// The owner refused, and no copy remains that could bring an answer.
    Refused(Refusal),
    /// No answer was received.
    Failed {
        /// The error.
        error: ForwardError,
        /// The copies, some of which may still be running.
        copies: Copies,
    },
}

/// Result of one copy sent to the owner.
enum CopyEnd {
    Answered(Box<StartedAnswer>, Option<Duration>),
    Refused(PeerRefusal, OutstandingCopy),
    Failed(ForwardError, OutstandingCopy),
}

/// Why a copy produced no answer.
enum CopyFailure {
    Refused(PeerRefusal),
    Failed(ForwardError),
}

/// Forwards requests to other VMs.
#[derive(Debug)]
pub(crate) struct Forwarder {
    /// The local VM.
    pub(crate) me: Vm,
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Connections to other VMs.
    pub(crate) peers: Arc<ConnectionPool>,
    /// Record of forwarded requests and their results.
    pub(crate) forwards: Arc<ForwardStats>,
    /// What endpoints ask of this VM.
    pub(crate) notices: Arc<NoticeTable>,
    /// Requests that are being served.
    pub(crate) in_flight: Arc<InFlightTable>,
    /// Counters.
    pub(crate) metrics: Arc<Metrics>,
    /// Counts of sent and received messages.
    pub(crate) traffic: Arc<Traffic>,
    /// Time limits for the bodies of answers.
    pub(crate) body_timeouts: BodyTimeouts,
    /// Time after the deadline during which another VM's own refusal is awaited.
    pub(crate) refusal_overrun: Duration,
}

/// A request being forwarded to its owner.
struct Forward<'a> {
    forwarder: &'a Forwarder,
    owner: &'a Vm,
    inbound: &'a Inbound,
    /// Routing decision as it is sent.
    route: ForwardedRoute,
    /// Attempts before the request is sent.
    prior: PriorAttempts,
    sent: Time,
}

/// Forwards a request to `owner`, which may make its attempts up to `max_attempts`, and returns the
/// result.
pub(crate) async fn send(
    forwarder: &Forwarder,
    owner: &Vm,
    inbound: &Inbound,
    max_attempts: u32,
    undispatched: Undispatched,
) -> Forwarded {
    let sent = forwarder.clock.now();
    let prior = inbound.attempts().clone();
    let route = ForwardedRoute { max_attempts, ..inbound.route.clone() };
    let forward = Forward { forwarder, owner, inbound, route, prior, sent };
    let (copies, copy) = undispatched.send(owner.name.clone(), sent);
    forwarder.in_flight.set_stage(inbound.id, Stage::AtVm(owner.name.clone()));
    match inbound.is_repeatable() {
        true => forward.send_with_retry(copies, copy).await,
        false => {
            let end = forward.exchange(ConnectionChoice::RecentlyUsed, None, copy).await;
            forward.conclude(copies, end)
        }
    }
}

impl Forward<'_> {
    /// Sends a request that may be repeated, and sends it again over a new connection if the
    /// answer takes too long.
    ///
    /// A middlebox (firewall, NAT) between two VMs can drop the state of their connections. Requests
    /// on them would then wait until their deadline although both VMs are healthy. The answer on
    /// the new connection is used, and the first connection and all idle ones are closed.
    async fn send_with_retry(&self, mut copies: Copies, copy: OutstandingCopy) -> Forwarded {
        let Forward { forwarder, owner, inbound, .. } = self;
        let mut first = pin!(self.exchange(ConnectionChoice::RecentlyUsed, None, copy));
        let time_left = remaining(inbound.deadline, forwarder.clock.now());
        let retry_delay =
            forwarder.forwards.retry_delay(&inbound.route.shard).unwrap_or(time_left / 2);
        if let Ok(end) = tokio::time::timeout(retry_delay, first.as_mut()).await {
            return self.conclude(copies, end);
        }
        let now = forwarder.clock.now();
        if now >= inbound.deadline || !forwarder.forwards.take_retry(now) {
            return self.conclude(copies, first.await);
        }
        forwarder.metrics.count(Event::ForwardedAgain);
        let copy = copies.send(owner.name.clone(), now);
        let first_sent_ago = Some(now.since(self.sent));
        let second = pin!(self.exchange(ConnectionChoice::Fresh, first_sent_ago, copy));
        match select(first, second).await {
            Either::Left((end, second)) => match self.record(&mut copies, end) {
                Ok(served) => Forwarded::Answered(served),
                Err(earlier) => self.conclude_two(copies, earlier, second.await),
            },
            Either::Right((end, first)) => match self.record(&mut copies, end) {
                Ok(served) => {
                    forwarder.peers.close_idle(owner.peer_address);
                    Forwarded::Answered(served)
                }
                // No new connection could be opened: the owner can't be reached, and this VM
                // serves the request itself.
                Err(CopyFailure::Failed(error)) if error.is_unsent() => {
                    self.inbound.attempts().on_vm_lost(self.route.max_attempts);
                    Forwarded::Failed { error, copies }
                }
                Err(earlier) => self.conclude_two(copies, earlier, first.await),
            },
        }
    }

    /// Returns the result of a request of which one copy was sent.
    fn conclude(&self, mut copies: Copies, end: CopyEnd) -> Forwarded {
        match self.record(&mut copies, end) {
            Ok(served) => Forwarded::Answered(served),
            Err(CopyFailure::Refused(result)) => Forwarded::Refused(refusal(copies, result)),
            Err(CopyFailure::Failed(error)) => Forwarded::Failed { error, copies },
        }
    }

    /// Returns the result of a request whose other copy ended with `earlier`.
    ///
    /// The owner can refuse the second copy because its queue has filled up, while the first is
    /// running at an endpoint. The request must not be reported as not run then. A refusal is
    /// therefore returned only if no copy is left that could bring an answer, and as not run only
    /// if both copies are certainly not run.
    fn conclude_two(&self, mut copies: Copies, earlier: CopyFailure, end: CopyEnd) -> Forwarded {
        let later = match self.record(&mut copies, end) {
            Ok(served) => return Forwarded::Answered(served),
            Err(later) => later,
        };
        match (earlier, later) {
            (CopyFailure::Failed(_), CopyFailure::Failed(error)) => {
                Forwarded::Failed { error, copies }
            }
            (CopyFailure::Refused(result), CopyFailure::Failed(_))
            | (_, CopyFailure::Refused(result)) => Forwarded::Refused(refusal(copies, result)),
        }
    }

    /// Records how a copy ended, and returns the answer if it produced one.
    fn record(&self, copies: &mut Copies, end: CopyEnd) -> Result<Served, CopyFailure> {
        match end {
            CopyEnd::Answered(answer, endpoint_time) => {
                let latency = self.forwarder.clock.now().since(self.sent);
                self.forwarder.forwards.on_answer(&self.inbound.route.shard, latency);
                Ok(served(self.forwarder, self.inbound.deadline, *answer, endpoint_time))
            }
            CopyEnd::Refused(result, copy) => {
                self.inbound.attempts().on_reported(result.attempts.clone());
                if let Some(copy) = copy.on_reported_execution(result.execution) {
                    copies.record_not_run(copy);
                }
                Err(CopyFailure::Refused(result))
            }
            CopyEnd::Failed(error, copy) => {
                if error.is_unsent() {
                    copies.record_not_run(copy.unsent());
                } else {
                    self.inbound.attempts().on_vm_lost(self.route.max_attempts);
                }
                Err(CopyFailure::Failed(error))
            }
        }
    }

    async fn exchange(
        &self,
        choice: ConnectionChoice,
        first_sent_ago: Option<Duration>,
        copy: OutstandingCopy,
    ) -> CopyEnd {
        let Forward { forwarder, owner, inbound, .. } = self;
        let target = Target {
            address: owner.peer_address,
            choice,
            request: Some(SentRequest::from(*inbound)),
            budget: PEER_BUDGET,
            not_after: inbound.deadline,
            time_limit: inbound.deadline + forwarder.refusal_overrun,
            abandon: AbandonSignal::default(),
            gate: None,
        };
        let head = self.request_head(first_sent_ago);
        let locality = Locality::of(&owner.data_centre, &forwarder.me.data_centre);
        forwarder.traffic.sent(Topic::Forwarded, locality, inbound.body.announced_bytes());
        let ended =
            exchange::run(&forwarder.peers, forwarder.clock, target, head, &inbound.body).await;
        let mut answer = match ended {
            Ok(answer) => answer,
            Err(error) => return CopyEnd::Failed(error.into(), copy),
        };
        forwarder.traffic.received(Topic::Forwarded, locality, body::announced_bytes(&answer.body));
        match PeerResult::take_from(&mut answer.parts.headers, &inbound.fleet_id) {
            PeerAnswer::Answer { endpoint_time, leaving_endpoint } => {
                if let Some(endpoint) = leaving_endpoint {
                    let service = &inbound.route.shard.service;
                    let (notice, source) = (EndpointNotice::LEAVING, NoticeSource::Forward);
                    forwarder.notices.record(service, &endpoint, notice, source);
                }
                CopyEnd::Answered(Box::new(answer), endpoint_time)
            }
            PeerAnswer::Refused(result) => {
                exchange::return_connection(&forwarder.peers, answer).await;
                CopyEnd::Refused(result, copy)
            }
            PeerAnswer::Unverified => CopyEnd::Failed(ForwardError::Unverified, copy),
        }
    }

    fn request_head(&self, first_sent_ago: Option<Duration>) -> RequestHead {
        let Forward { forwarder, inbound, .. } = self;
        let mut fields = inbound.headers.clone();
        let left_ms = remaining(inbound.deadline, forwarder.clock.now()).as_millis() as u64;
        headers::set_number(&mut fields, header::DEADLINE_MS, left_ms);
        headers::set(&mut fields, header::REQUEST_ID, &inbound.fleet_id);
        headers::set(&mut fields, header::HOP, &forwarder.me.name);
        headers::set(&mut fields, header::ROUTE, &self.route.encode());
        let copy = TransferredCopy {
            id: inbound.is_repeatable().then(|| inbound.transfer_id.clone()),
            first_sent_ms_ago: first_sent_ago.map(|ago| ago.as_millis() as u64),
            prior: self.prior.clone(),
        };
        copy.write_to(&mut fields);
        RequestHead { method: inbound.method.clone(), uri: inbound.uri.clone(), headers: fields }
    }
}

/// Returns the refusal of a request that its owner refused.
fn refusal(copies: Copies, result: PeerRefusal) -> Refusal {
    let PeerRefusal { vm, execution, reason, retry_after_ms, .. } = result;
    copies.refuse_with(RefusalDecision { execution, reason, retry_after_ms }).decided_by(vm)
}

fn served(
    forwarder: &Forwarder,
    deadline: Time,
    answer: StartedAnswer,
    endpoint_time: Option<Duration>,
) -> Served {
    let StartedAnswer { parts, framing, body, connection, .. } = answer;
    let body = AnswerBody::streaming(
        framing,
        body,
        connection,
        Arc::clone(&forwarder.peers),
        forwarder.body_timeouts.limits(forwarder.clock.instant(deadline)),
        false,
        None,
    );
    let response = body::response(parts, framing, body);
    Served { answer: Ok(response), endpoint_time, leaving_endpoint: None }
}
