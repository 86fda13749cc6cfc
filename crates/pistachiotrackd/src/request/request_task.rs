//! Task of a request at the VM that dispatches it: executes the decisions of the shard and builds
//! the answer.

mod running;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::FutureExt;
use kameo::actor::ActorRef;
use pistachiotrack_core::{
    copies::Copies,
    name::Name,
    quarantine::DispatchDecision,
    refusal::Reason,
    request::{AttemptId, BodyEnd, EndpointReport, FIRST_FAILURE_STATUS, Outcome},
    shard::Dispatch,
    time::Time,
    vm::Vm,
};
use tokio::sync::{
    mpsc::{self, UnboundedReceiver},
    watch,
};

use self::running::{Ended, RunningAttempt, next_end};
use crate::{
    config::view::FleetView,
    connections::{
        connection_pool::ConnectionPool,
        exchange::{AbandonSignal, StartedAnswer},
    },
    formats::{dialect::Dialect, headers, inbound::Inbound},
    peers::quarantine::QuarantineManager,
    request::{
        answer::{self, Served},
        attempt::{self, AttemptEnd, AttemptHandle},
        body::{self, AnswerBody, AnswerCopy, AnswerMonitor, BodyTimeouts},
        connection_budget,
        crash_check::{CrashCheck, EndpointExecution, ExecutionMonitor},
        in_flight::{InFlightTable, Stage},
        rejection::OTHER_VM_RETRY_MS,
        stop_monitor::{RequestTime, StopMonitor},
    },
    runtime::clock::Clock,
    shards::shard_actor::{CallerGone, Command, ShardActor, Submit},
    stats::{
        attempt_report::{AttemptOutcome, BodyEnded},
        histogram::Histograms,
        metrics::{Event, Metrics},
        traffic::{Topic, Traffic},
        work_times::{AttemptTimer, RequestKind},
    },
};

/// Share of the time for another VM's refusal in which the shard's own is awaited: a request that has
/// been forwarded is refused here while the VM that forwarded it still waits.
const SHARD_REFUSAL_SHARE: (u32, u32) = (2, 3);

/// What the tasks of requests need.
#[derive(Debug)]
pub(crate) struct RequestHandle {
    /// The local VM.
    pub(crate) me: Vm,
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Protocol of callers and endpoints.
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Latest snapshot of the fleet and the configuration.
    pub(crate) view: watch::Receiver<Arc<FleetView>>,
    /// Quarantine of requests that crash endpoints.
    pub(crate) quarantine: Arc<QuarantineManager>,
    /// Requests that are being served.
    pub(crate) in_flight: Arc<InFlightTable>,
    /// The stop of this VM.
    pub(crate) stop: StopMonitor,
    /// Counters.
    pub(crate) metrics: Arc<Metrics>,
    /// Counts of sent and received messages.
    pub(crate) traffic: Arc<Traffic>,
    /// Time from a request's arrival to its first dispatch to an endpoint.
    pub(crate) queue_latency: Arc<Histograms>,
    /// Time limits for the bodies of answers.
    pub(crate) body_timeouts: BodyTimeouts,
    /// Time after the deadline during which another VM's own refusal is awaited.
    pub(crate) refusal_overrun: Duration,
    /// What attempts need.
    pub(crate) attempts: Arc<AttemptHandle>,
    /// Checks whether endpoints have crashed.
    pub(crate) crash_check: Arc<CrashCheck>,
}

/// Serves a request with a shard of this VM.
pub(crate) async fn serve(
    handle: &Arc<RequestHandle>,
    shard: ActorRef<ShardActor>,
    inbound: Arc<Inbound>,
    copies: Copies,
) -> Served {
    let (sender, commands) = mpsc::unbounded_channel();
    let request = inbound.request();
    handle.in_flight.set_stage(inbound.id, Stage::Queued);
    let submit = Submit { request, commands: sender };
    if shard.tell(submit).try_send().is_err() {
        return Served::refused(copies.refuse(Reason::NoEndpoint, None));
    }
    let task = RequestTask {
        handle: Arc::clone(handle),
        shard,
        inbound,
        commands,
        running: Vec::new(),
        answered: Vec::new(),
        copies,
        started_at: handle.clock.now(),
        was_dispatched: false,
        finished: false,
    };
    task.run().await
}

/// A request for which a shard makes the decisions.
///
/// Dropping it cancels all its attempts by closing their connections and reports this to the
/// shard. This happens when the caller disconnects.
struct RequestTask {
    handle: Arc<RequestHandle>,
    shard: ActorRef<ShardActor>,
    inbound: Arc<Inbound>,
    commands: UnboundedReceiver<Command>,
    running: Vec<RunningAttempt>,
    answered: Vec<Answered>,
    copies: Copies,
    /// Time at which the request was submitted to the shard.
    started_at: Time,
    was_dispatched: bool,
    finished: bool,
}

/// An answer that has started and waits for the shard's decision.
struct Answered {
    attempt: AttemptId,
    endpoint: Name,
    /// Its address, unless the request was sent through a relay.
    address: Option<SocketAddr>,
    /// Whether the endpoint said that it is leaving.
    is_leaving: bool,
    answer: Box<StartedAnswer>,
    pool: Arc<ConnectionPool>,
    timer: AttemptTimer,
}

enum Step {
    Command(Option<Command>),
    Ended(Ended),
    Overdue,
    /// The VM has begun to stop and would have to exit before the request is finished.
    Stopping,
}

impl RequestTask {
    async fn run(mut self) -> Served {
        let (share, of) = SHARD_REFUSAL_SHARE;
        let grace = self.handle.refusal_overrun * share / of;
        let overdue = self.handle.clock.instant(self.inbound.deadline + grace);
        let watchdog = tokio::time::sleep_until(overdue);
        let stop = self.handle.stop.clone();
        let stopping = stop.without_time_for(RequestTime::of(&self.inbound));
        tokio::pin!(watchdog, stopping);
        loop {
            let step = tokio::select! {
                biased;
                () = &mut stopping, if self.is_at_no_endpoint() => Step::Stopping,
                command = self.commands.recv() => Step::Command(command),
                ended = next_end(&mut self.running) => Step::Ended(ended),
                () = &mut watchdog => Step::Overdue,
            };
            let served = match step {
                Step::Command(Some(command)) => self.on_command(command),
                Step::Command(None) => Some(self.refuse_unilaterally(Reason::NoEndpoint)),
                Step::Ended(ended) => self.on_end(ended),
                Step::Overdue => Some(self.refuse_unilaterally(Reason::DeadlinePassed)),
                Step::Stopping => {
                    let copies = self.copies.finish();
                    Some(Served::refused(copies.refuse(Reason::Stopping, Some(OTHER_VM_RETRY_MS))))
                }
            };
            if let Some(served) = served {
                return served;
            }
        }
    }

    fn on_command(&mut self, command: Command) -> Option<Served> {
        match command {
            Command::Dispatch(dispatch) => return self.dispatch(dispatch),
            Command::Cancel(attempt) => self.cancel(attempt),
            Command::Abandon(attempt) => {
                let running = self.running.iter().find(|running| running.attempt == attempt);
                running.inspect(|running| running.abandon.trigger());
            }
            Command::Deliver(attempt) => return self.deliver(attempt),
            Command::Replay(stored) => {
                self.finished = true;
                let response = answer::replay(&stored);
                return Some(Served {
                    answer: Ok(response),
                    endpoint_time: None,
                    leaving_endpoint: None,
                });
            }
            Command::Refuse(decision) => {
                self.finished = true;
                return Some(Served::refused(self.copies.finish().refuse_with(decision)));
            }
        }
        None
    }

    fn dispatch(&mut self, dispatch: Dispatch) -> Option<Served> {
        let attempt = dispatch.attempt;
        if self.must_not_be_sent_again() {
            log::error!(
                "event=second_dispatch_held_back request={} endpoint={}",
                self.inbound.fleet_id,
                dispatch.endpoint
            );
            self.report_outcome(attempt, Outcome::NotSent, EndpointReport::default());
            return None;
        }
        if !self.inbound.body.is_available() {
            self.report_outcome(attempt, Outcome::NotSent, EndpointReport::default());
            return Some(self.refuse_unilaterally(Reason::NoEndpoint));
        }
        if let DispatchDecision::Held { retry_after } = self.handle.quarantine.admit(&self.inbound)
        {
            return self.refuse_quarantined(attempt, retry_after);
        }
        self.handle.metrics.count(Event::Dispatch);
        let handle = Arc::clone(&self.handle);
        let inbound = Arc::clone(&self.inbound);
        let service = &inbound.route.shard.service;
        let (budget, locality) = connection_budget::budget_and_locality(
            &handle.view.borrow(),
            &handle.me,
            service,
            &dispatch.endpoint,
        );
        handle.traffic.sent(Topic::Endpoint, locality, inbound.body.announced_bytes());
        if !self.was_dispatched {
            self.was_dispatched = true;
            let queued = handle.clock.now().since(self.started_at);
            handle.queue_latency.record(&inbound.route.customer, inbound.route.class, queued);
        }
        let abandon = AbandonSignal::default();
        inbound.attempts().on_sent(&dispatch.endpoint);
        handle.in_flight.set_stage(inbound.id, Stage::AtEndpoint(dispatch.endpoint.clone()));
        let copy = self.copies.send(dispatch.endpoint.clone(), handle.clock.now());
        let timer = handle.stop.work_times.begin(RequestKind::of(&inbound.route));
        let attempts = Arc::clone(&handle.attempts);
        let end = Box::pin(attempt::run(attempts, inbound, dispatch, budget, abandon.clone()));
        self.running.push(RunningAttempt { attempt, copy, end, locality, abandon, timer });
        None
    }

    /// Skips an attempt of a request that crashes endpoints, and refuses the request unless
    /// another attempt is still running.
    fn refuse_quarantined(&mut self, attempt: AttemptId, retry_after: Duration) -> Option<Served> {
        if !self.running.is_empty() || !self.answered.is_empty() {
            self.report_outcome(attempt, Outcome::NotSent, EndpointReport::default());
            return None;
        }
        self.finished = true;
        // Sent first, so that the shard doesn't dispatch the request again.
        let _ = self.shard.tell(CallerGone(self.inbound.id)).try_send();
        self.report_outcome(attempt, Outcome::NotSent, EndpointReport::default());
        let retry_after_ms = Some(retry_after.as_millis() as u64);
        let copies = self.copies.finish();
        Some(Served::refused(copies.refuse(Reason::CrashesEndpoints, retry_after_ms)))
    }

    /// Returns whether certainly neither the request nor one that it duplicates is at an endpoint.
    fn is_at_no_endpoint(&self) -> bool {
        self.copies.is_certainly_not_run() && self.inbound.key().is_none()
    }

    /// Returns whether another dispatch could run a request twice that must not be repeated.
    ///
    /// Every attempt of a request is checked here, and a copy counts as possibly run until it is
    /// known not to have run. Otherwise a booking could be sent to two endpoints.
    fn must_not_be_sent_again(&self) -> bool {
        !self.copies.is_certainly_not_run() && !self.inbound.route.idempotent
    }

    fn cancel(&mut self, attempt: AttemptId) {
        if let Some(index) = self.running.iter().position(|running| running.attempt == attempt) {
            drop(self.running.swap_remove(index));
            self.report_outcome(attempt, Outcome::Cancelled, EndpointReport::default());
        }
        if let Some(index) = self.answered.iter().position(|answered| answered.attempt == attempt) {
            drop(self.answered.swap_remove(index));
            self.report_body_end(attempt);
        }
    }

    fn on_end(&mut self, ended: Ended) -> Option<Served> {
        let Ended { attempt, copy, locality, timer, end } = ended;
        self.inbound.attempts().on_outcome(&end.endpoint, end.outcome);
        if let Some(copy) = copy.on_outcome(end.outcome) {
            self.copies.record_not_run(copy);
        }
        self.log_end(&end);
        if matches!(end.outcome, Outcome::Broken { .. }) {
            self.execution_at(&end.endpoint, end.address).check_endpoint();
        }
        if end.outcome == Outcome::NotSent {
            self.handle.metrics.count(Event::HeldBack);
        }
        if let Some(answer) = end.answer {
            let bytes = body::announced_bytes(&answer.body);
            self.handle.traffic.received(Topic::Endpoint, locality, bytes);
            let AttemptEnd { endpoint, address, pool, .. } = end;
            let is_leaving = end.report.notice.leaving;
            self.answered.push(Answered {
                attempt,
                endpoint,
                address,
                is_leaving,
                answer,
                pool,
                timer,
            });
        }
        self.report_outcome(attempt, end.outcome, end.report);
        None
    }

    fn execution_at(&self, endpoint: &Name, address: Option<SocketAddr>) -> EndpointExecution {
        let (check, inbound) = (Arc::clone(&self.handle.crash_check), Arc::clone(&self.inbound));
        EndpointExecution { check, inbound, endpoint: endpoint.clone(), address }
    }

    /// Logs how an attempt ended; failures, and answers that may be withheld from the caller, are
    /// logged at the warning level.
    fn log_end(&self, end: &AttemptEnd) {
        let is_refusal = |status| self.handle.dialect.refusal_statuses().contains(&status);
        let level = match end.outcome {
            Outcome::Answered { status, .. }
                if status < FIRST_FAILURE_STATUS && !is_refusal(status) =>
            {
                log::Level::Debug
            }
            _ => log::Level::Warn,
        };
        log::log!(
            level,
            "event=attempt_ended request={} fingerprint={} config_version={:?} service={} \
             endpoint={} idempotent={} outcome={:?} choice={:?} risk_percent={:.1} last_seen_ms_ago={:?} took_ms={} \
             connection_port={:?} exchange={:?} names_request={:?} status={:?} states_not_run={:?} error={:?}",
            self.inbound.fleet_id,
            self.inbound.fingerprint(),
            self.inbound.config_version,
            self.inbound.route.shard.service,
            end.endpoint,
            self.inbound.route.idempotent,
            end.outcome,
            end.selection.reason,
            f64::from(end.selection.risk_permille) / 10.0,
            end.selection.last_seen_ms_ago,
            end.elapsed.as_millis(),
            end.answer_details.map(|details| details.local_port),
            end.answer_details.map(|details| details.exchange),
            end.answer_details.map(|details| details.names_request),
            end.answer_details.map(|details| details.status),
            end.answer_details.map(|details| details.states_not_run),
            end.error.as_deref().unwrap_or_default()
        );
    }

    fn deliver(&mut self, attempt: AttemptId) -> Option<Served> {
        let index = self.answered.iter().position(|answered| answered.attempt == attempt)?;
        let Answered { endpoint, address, is_leaving, answer, pool, timer, .. } =
            self.answered.swap_remove(index);
        self.finished = true;
        let StartedAnswer { mut parts, framing, body, connection, sent, started_at, .. } = *answer;
        let endpoint_time = started_at.since(sent);
        let copy = self.inbound.key().map(|_| AnswerCopy::begin(self.inbound.id, &parts));
        let is_failure = parts.status.as_u16() >= FIRST_FAILURE_STATUS;
        let execution =
            ExecutionMonitor { execution: self.execution_at(&endpoint, address), is_failure };
        let shard = self.shard.clone().recipient();
        let monitor = AnswerMonitor { shard, attempt, copy, execution, timer };
        let body = AnswerBody::streaming(
            framing,
            body,
            connection,
            pool,
            self.handle.body_timeouts.limits(self.handle.clock.instant(self.inbound.deadline)),
            self.handle.dialect.ends_answers_by_closing(),
            Some(monitor),
        );
        headers::strip_from_endpoint(&mut parts.headers);
        self.handle.dialect.write_answer(&mut parts.headers, &endpoint, &self.handle.me.name);
        let response = body::response(parts, framing, body);
        Some(Served {
            answer: Ok(response),
            endpoint_time: Some(endpoint_time),
            leaving_endpoint: is_leaving.then_some(endpoint),
        })
    }

    /// Refuses the request without a decision of the shard; dropping the task reports this to the
    /// shard.
    fn refuse_unilaterally(&mut self, reason: Reason) -> Served {
        let refusal = match self.copies.finish().into_undispatched() {
            Ok(undispatched) => undispatched.refuse(reason, None),
            Err(copies) if reason == Reason::NoEndpoint => {
                copies.refuse_as_unknown(Reason::AnswerLost)
            }
            Err(copies) => copies.refuse_as_unknown(reason),
        };
        Served::refused(refusal)
    }

    /// Returns the next command that was still unread when the channel was closed.
    ///
    /// If a dispatch is sent while the caller disconnects and its end is never
    /// reported, the slot of the endpoint stays taken. A command that is just being sent makes
    /// the receiver pending, so this function waits for it.
    fn next_buffered_command(&mut self) -> Option<Command> {
        loop {
            match tokio::task::unconstrained(self.commands.recv()).now_or_never() {
                Some(command) => return command,
                None => std::thread::yield_now(),
            }
        }
    }

    fn report_outcome(&self, attempt: AttemptId, outcome: Outcome, report: EndpointReport) {
        // A stopped shard closes the command channel, which ends this task.
        let _ = self.shard.tell(AttemptOutcome { attempt, outcome, report }).try_send();
    }

    fn report_body_end(&self, attempt: AttemptId) {
        let ended = BodyEnded { attempt, end: BodyEnd::CallerGone, stored: None };
        let _ = self.shard.tell(ended).try_send();
    }
}

impl Drop for RequestTask {
    fn drop(&mut self) {
        self.commands.close();
        while let Some(command) = self.next_buffered_command() {
            match command {
                Command::Dispatch(dispatch) => {
                    self.report_outcome(
                        dispatch.attempt,
                        Outcome::NotSent,
                        EndpointReport::default(),
                    );
                }
                Command::Cancel(_) | Command::Abandon(_) => {}
                Command::Deliver(_) | Command::Replay(_) | Command::Refuse(_) => {
                    self.finished = true;
                }
            }
        }
        for RunningAttempt { attempt, end, .. } in std::mem::take(&mut self.running) {
            drop(end);
            self.report_outcome(attempt, Outcome::Cancelled, EndpointReport::default());
        }
        for answered in std::mem::take(&mut self.answered) {
            drop(answered.answer);
            self.report_body_end(answered.attempt);
        }
        if !self.finished {
            self.handle.metrics.count(Event::CallerGone);
            let _ = self.shard.tell(CallerGone(self.inbound.id)).try_send();
        }
    }
}
