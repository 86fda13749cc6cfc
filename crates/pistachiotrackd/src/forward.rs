//! Sends a request on to the VM that owns its shard: one hop, never two.

use std::{pin::pin, sync::Arc, time::Duration};

use futures_util::future::{Either, select};
use pistachiotrack_core::{
    copies::{Copies, OutstandingCopy, Undispatched},
    header,
    refusal::{Refusal, RefusalDecision},
    request::{ConnectionChoice, remaining},
    time::Time,
    vm::Vm,
};

use crate::{
    attempt,
    body::{self, AnswerBody},
    context::Context,
    exchange::{self, BegunAnswer, ExchangeError, GiveUp, RequestHead, Target},
    headers,
    inbound::Inbound,
    metrics::Event,
    peer_word::{PeerAnswer, PeerWord, RefusalWord},
    request_task::Served,
    traffic::{Locality, Topic},
};

/// Time after the deadline for which the owner's own refusal is waited for.
const OWNER_GRACE: Duration = Duration::from_millis(750);
/// Connections that a VM may have open to another one.
pub(crate) const PEER_BUDGET: u32 = 256;

/// Why the owner's answer could not be had.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ForwardError {
    /// The exchange with the owner failed.
    #[error("forward: {0}")]
    Exchange(#[from] ExchangeError),
    /// The owner refused without a word that can be relied on.
    #[error("forward: refused without a word")]
    Wordless,
}

impl ForwardError {
    /// Returns whether it is certain that no byte went to the owner.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self, ForwardError::Exchange(error) if error.is_unsent())
    }
}

/// What came of a request that was sent on.
pub(crate) enum Forwarded {
    /// The answer, to be passed on.
    Answered(Served),
    /// The owner refused, and nothing is left to wait for.
    Refused(Refusal),
    /// No answer came.
    Failed {
        /// Why.
        error: ForwardError,
        /// The copies, of which some may be out.
        copies: Copies,
    },
}

/// How one copy ended that was sent to the owner.
enum CopyEnd {
    Answered(Box<BegunAnswer>, Option<Duration>),
    Refused(RefusalWord, OutstandingCopy),
    Failed(ForwardError, OutstandingCopy),
}

/// Why a copy brought no answer.
enum NoAnswer {
    Refused(RefusalWord),
    Failed(ForwardError),
}

/// A request on its way to its owner.
struct Forward<'a> {
    context: &'a Context,
    owner: &'a Vm,
    inbound: &'a Inbound,
    sent: Time,
}

/// Sends a request on to `owner` and returns what came of it.
pub(crate) async fn send(
    context: &Context,
    owner: &Vm,
    inbound: &Inbound,
    held: Undispatched,
) -> Forwarded {
    let sent = context.clock.now();
    let forward = Forward { context, owner, inbound, sent };
    let (copies, copy) = held.send(owner.name.clone(), sent);
    match inbound.route.idempotent && inbound.body.can_be_repeated() {
        true => forward.watched(copies, copy).await,
        false => {
            let end = forward.exchange(ConnectionChoice::RecentlyUsed, copy).await;
            forward.conclude(copies, end)
        }
    }
}

impl Forward<'_> {
    /// Sends a request that may be repeated, and once more over a new connection if
    /// the answer is long in coming.
    ///
    /// Failure guarded against: something between two VMs has lost track of their
    /// connections, and what is written to them vanishes. It shows as requests that
    /// wait until their deadline although both VMs are well. The guard holds because
    /// the answer on the new connection is taken, and the first connection and all
    /// unused ones are closed then.
    async fn watched(&self, mut copies: Copies, copy: OutstandingCopy) -> Forwarded {
        let Forward { context, owner, inbound, .. } = self;
        let mut first = pin!(self.exchange(ConnectionChoice::RecentlyUsed, copy));
        let left = remaining(inbound.deadline, context.clock.now());
        let suspicion = context.forwards.suspicion(&inbound.route.shard).unwrap_or(left / 2);
        if let Ok(end) = tokio::time::timeout(suspicion, first.as_mut()).await {
            return self.conclude(copies, end);
        }
        let now = context.clock.now();
        if now >= inbound.deadline || !context.forwards.take_retry(now) {
            return self.conclude(copies, first.await);
        }
        context.metrics.count(Event::ForwardedAgain);
        let copy = copies.send(owner.name.clone(), now);
        let second = pin!(self.exchange(ConnectionChoice::Fresh, copy));
        match select(first, second).await {
            Either::Left((end, second)) => match self.note(&mut copies, end) {
                Ok(served) => Forwarded::Answered(served),
                Err(earlier) => self.conclude_both(copies, earlier, second.await),
            },
            Either::Right((end, first)) => match self.note(&mut copies, end) {
                Ok(served) => {
                    context.peers.close_idle(owner.peer_address);
                    Forwarded::Answered(served)
                }
                // No new connection opens: the owner is out of reach, and this VM
                // serves the request itself.
                Err(NoAnswer::Failed(error)) if error.is_unsent() => {
                    Forwarded::Failed { error, copies }
                }
                Err(earlier) => self.conclude_both(copies, earlier, first.await),
            },
        }
    }

    /// Returns what came of a request of which one copy was sent.
    fn conclude(&self, mut copies: Copies, end: CopyEnd) -> Forwarded {
        match self.note(&mut copies, end) {
            Ok(served) => Forwarded::Answered(served),
            Err(NoAnswer::Refused(word)) => Forwarded::Refused(refusal(copies, word)),
            Err(NoAnswer::Failed(error)) => Forwarded::Failed { error, copies },
        }
    }

    /// Returns what came of a request whose other copy ended `earlier`.
    ///
    /// Failure guarded against: the owner, whose queue has filled up since, refuses the
    /// second copy while the first is at an endpoint. It shows as a lookup that is said not
    /// to have run and runs. The guard holds because a refusal is passed on only when no
    /// copy is left that could bring an answer, and as not run only if both came back.
    fn conclude_both(&self, mut copies: Copies, earlier: NoAnswer, end: CopyEnd) -> Forwarded {
        let later = match self.note(&mut copies, end) {
            Ok(served) => return Forwarded::Answered(served),
            Err(later) => later,
        };
        match (earlier, later) {
            (NoAnswer::Failed(_), NoAnswer::Failed(error)) => Forwarded::Failed { error, copies },
            (NoAnswer::Refused(word), NoAnswer::Failed(_)) | (_, NoAnswer::Refused(word)) => {
                Forwarded::Refused(refusal(copies, word))
            }
        }
    }

    /// Notes how a copy ended, and returns the answer if it brought one.
    fn note(&self, copies: &mut Copies, end: CopyEnd) -> Result<Served, NoAnswer> {
        match end {
            CopyEnd::Answered(answer, endpoint_time) => {
                let latency = self.context.clock.now().since(self.sent);
                self.context.forwards.on_answer(&self.inbound.route.shard, latency);
                Ok(served(self.context, *answer, endpoint_time))
            }
            CopyEnd::Refused(word, copy) => {
                if let Some(copy) = copy.on_reported_execution(word.execution) {
                    copies.record_not_run(copy);
                }
                Err(NoAnswer::Refused(word))
            }
            CopyEnd::Failed(error, copy) => {
                if error.is_unsent() {
                    copies.record_not_run(copy.unsent());
                }
                Err(NoAnswer::Failed(error))
            }
        }
    }

    async fn exchange(&self, choice: ConnectionChoice, copy: OutstandingCopy) -> CopyEnd {
        let Forward { context, owner, inbound, .. } = self;
        let target = Target {
            address: owner.peer_address,
            choice,
            budget: PEER_BUDGET,
            not_after: inbound.deadline,
            time_limit: inbound.deadline + OWNER_GRACE,
            give_up: GiveUp::default(),
        };
        let head = request_head(context, inbound);
        let place = Locality::of(&owner.data_centre, &context.me.data_centre);
        context.traffic.sent(Topic::Forwarded, place, inbound.body.known_bytes());
        let ended = exchange::run(&context.peers, context.clock, target, head, &inbound.body).await;
        let mut answer = match ended {
            Ok(answer) => answer,
            Err(error) => return CopyEnd::Failed(error.into(), copy),
        };
        context.traffic.received(Topic::Forwarded, place, body::known_bytes(&answer.body));
        match PeerWord::take(&mut answer.parts.headers, &inbound.fleet_id) {
            PeerAnswer::Answer(endpoint_time) => CopyEnd::Answered(Box::new(answer), endpoint_time),
            PeerAnswer::Refused(word) => {
                attempt::return_connection(&context.peers, answer).await;
                CopyEnd::Refused(word, copy)
            }
            PeerAnswer::Wordless => CopyEnd::Failed(ForwardError::Wordless, copy),
        }
    }
}

/// Returns the refusal of a request whose owner refused it.
fn refusal(copies: Copies, word: RefusalWord) -> Refusal {
    let RefusalWord { vm, execution, reason, retry_after_ms, .. } = word;
    copies.refuse_with(RefusalDecision { execution, reason, retry_after_ms }).decided_by(vm)
}

fn request_head(context: &Context, inbound: &Inbound) -> RequestHead {
    let mut fields = inbound.headers.clone();
    let left_ms = remaining(inbound.deadline, context.clock.now()).as_millis() as u64;
    headers::set_number(&mut fields, header::DEADLINE_MS, left_ms);
    headers::set(&mut fields, header::REQUEST_ID, &inbound.fleet_id);
    headers::set(&mut fields, header::HOP, &context.me.name);
    headers::set(&mut fields, header::ROUTE, &inbound.route.encode());
    RequestHead { method: inbound.method.clone(), uri: inbound.uri.clone(), headers: fields }
}

fn served(context: &Context, answer: BegunAnswer, endpoint_time: Option<Duration>) -> Served {
    let BegunAnswer { mut parts, body, connection, .. } = answer;
    let idle_limit = Duration::from_millis(context.settings.limits.body_idle_ms);
    let body = AnswerBody::relayed(
        &parts,
        body,
        connection,
        Arc::clone(&context.peers),
        idle_limit,
        false,
        None,
    );
    headers::strip_hop_by_hop(&mut parts.headers);
    Served { answer: Ok(body::response(parts, body)), endpoint_time }
}
