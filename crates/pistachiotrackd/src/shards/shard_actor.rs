//! Actor that executes the decisions of one shard.

mod peers;
mod wake;

use std::{
    collections::VecDeque,
    sync::{Arc, PoisonError},
    time::Duration,
};

use kameo::{
    Actor,
    actor::{ActorRef, WeakActorRef},
    error::Infallible,
    message::{Context, Message},
};
use pistachiotrack_core::{
    admin::EndpointStatus,
    config::Config,
    feature_flags::FeatureFlags,
    idempotency::StoredAnswer,
    name::Name,
    ownership::ShardId,
    rate_limit::RateLimit,
    reachability::AskedVms,
    refusal::RefusalDecision,
    request::{AttemptId, EndpointReport, Outcome, Request, RequestId},
    retry::PriorRetries,
    shard::{Dispatch, Shard, ShardAction, ShardMode, ShardSettings},
    time::Time,
};
use rustc_hash::FxHashMap;
use tokio::sync::mpsc::UnboundedSender;

pub(crate) use self::peers::{
    PathChecked, PathsRestored, PeerUpdate, ReceiveHandOver, SendHandOver,
};
use crate::{
    connections::connection_pool::ConnectionPool,
    formats::dialect::Dialect,
    peers::{
        endpoint_notices::{EndpointNoticed, NoticeSource, NoticeTable},
        path_check::PathCheck,
        shard_update_link::ShardUpdateLink,
    },
    runtime::{clock::Clock, timer::TimerEvent},
    shards::probe::{Probe, ProbeReports},
    stats::{
        attempt_report::{AttemptOutcome, BodyEnded},
        shard_status::{ShardStatus, ShardStatusTable},
    },
};

/// Maximum age of the last update from a dispatcher. When a request arrives at a VM that isn't a
/// dispatcher and the last update is older, the VM requests a snapshot. Failure estimates decay
/// within about ten seconds.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(1);

/// Commands of a shard to the task of a request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Sends the request to an endpoint.
    Dispatch(Dispatch),
    /// Ends an attempt by closing its connection.
    Cancel(AttemptId),
    /// Abandons an attempt as if its time limit had passed.
    Abandon(AttemptId),
    /// Sends the answer of an attempt to the caller; final.
    Deliver(AttemptId),
    /// Sends the answer of an earlier request; final.
    Replay(Arc<StoredAnswer>),
    /// Refuses the request; final.
    Refuse(RefusalDecision),
}

/// Arguments of a shard's actor.
pub(crate) struct ShardArgs {
    /// The shard.
    pub(crate) id: ShardId,
    /// Active configuration.
    pub(crate) config: Arc<Config>,
    /// Mode at the start.
    pub(crate) mode: ShardMode,
    /// Seed of all random choices.
    pub(crate) seed: u64,
    /// Data centre of this VM.
    pub(crate) data_centre: Name,
    /// Enabled mechanisms.
    pub(crate) feature_flags: FeatureFlags,
    /// What is known of the retries that were sent before.
    pub(crate) prior_retries: PriorRetries,
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Connections to endpoints.
    pub(crate) endpoints: Arc<ConnectionPool>,
    /// Table in which the shard publishes its status.
    pub(crate) statuses: ShardStatusTable,
    /// Queries other VMs whether they reach an endpoint.
    pub(crate) path_check: PathCheck,
    /// Sends updates to the other dispatchers of the shard.
    pub(crate) update_link: Arc<ShardUpdateLink>,
    /// Dialect of the endpoints.
    pub(crate) dialect: Arc<dyn Dialect>,
    /// What endpoints ask of this VM.
    pub(crate) notices: Arc<NoticeTable>,
    /// Idle time after which a shard that this VM doesn't own is stopped.
    pub(crate) non_owner_idle: Duration,
}

/// Actor that executes the decisions of one shard.
///
/// The tasks of requests send them; the actor only makes decisions. The task reports the end of
/// every attempt whose dispatch it received. The actor reports the end itself if the task could
/// no longer be reached.
pub(crate) struct ShardActor {
    id: ShardId,
    shard: Shard,
    clock: Clock,
    endpoints: Arc<ConnectionPool>,
    statuses: ShardStatusTable,
    path_check: PathCheck,
    update_link: Arc<ShardUpdateLink>,
    dialect: Arc<dyn Dialect>,
    notices: Arc<NoticeTable>,
    actor_ref: WeakActorRef<ShardActor>,
    requests: FxHashMap<RequestId, UnboundedSender<Command>>,
    mode: ShardMode,
    non_owner_idle: Duration,
    last_use: Time,
    /// Time of the last update from another VM or of the last request for a snapshot.
    last_update_at: Time,
    /// Time of the wake-up that is scheduled for slots that are left to other VMs.
    wake_at: Option<Time>,
    retired: bool,
}

impl Actor for ShardActor {
    type Args = ShardArgs;
    type Error = Infallible;

    async fn on_start(args: ShardArgs, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        let settings = ShardSettings {
            mode: args.mode,
            seed: args.seed,
            data_centre: Some(args.data_centre),
            feature_flags: args.feature_flags,
            prior_retries: args.prior_retries,
            refusal_statuses: args.dialect.refusal_statuses(),
            notices: args.notices.subscribe(&args.id.service, &actor_ref.clone().recipient()),
        };
        let now = args.clock.now();
        let mut shard = Shard::new(now, args.id.clone(), &args.config, settings);
        shard.set_dispatchers(now, args.update_link.dispatchers(&args.id.service));
        if shard.is_shared() && args.update_link.request_snapshot(&args.id) {
            shard.on_snapshot_requested(now);
        }
        Ok(ShardActor {
            id: args.id,
            shard,
            clock: args.clock,
            endpoints: args.endpoints,
            statuses: args.statuses,
            path_check: args.path_check,
            update_link: args.update_link,
            dialect: args.dialect,
            notices: args.notices,
            actor_ref: actor_ref.downgrade(),
            requests: FxHashMap::default(),
            mode: args.mode,
            non_owner_idle: args.non_owner_idle,
            last_use: now,
            last_update_at: now,
            wake_at: None,
            retired: false,
        })
    }
}

/// Submits a request.
pub(crate) struct Submit {
    /// The request.
    pub(crate) request: Request,
    /// Channel for commands to its task.
    pub(crate) commands: UnboundedSender<Command>,
}

impl Message<Submit> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: Submit, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.last_use = now;
        self.refresh_snapshot(now);
        self.requests.insert(message.request.id, message.commands);
        let actions = self.shard.on_request(now, message.request);
        self.apply(actions);
    }
}

impl Message<AttemptOutcome> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: AttemptOutcome, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let actions = self.shard.on_outcome(now, message.attempt, message.outcome, message.report);
        self.apply(actions);
    }
}

impl Message<EndpointNoticed> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: EndpointNoticed, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let actions = self.shard.on_notice(now, &message.endpoint, message.notice);
        self.apply(actions);
    }
}

impl Message<BodyEnded> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: BodyEnded, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        if let Some((request, answer)) = message.stored {
            let actions = self.shard.on_stored_answer(now, request, answer);
            self.apply(actions);
        }
        let actions = self.shard.on_body_end(now, message.attempt, message.end);
        self.apply(actions);
    }
}

/// Reports that a caller disconnected before its answer started.
pub(crate) struct CallerGone(pub(crate) RequestId);

impl Message<CallerGone> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: CallerGone, _: &mut Context<Self, ()>) {
        self.requests.remove(&message.0);
        let actions = self.shard.on_cancel(self.clock.now(), message.0);
        self.apply(actions);
    }
}

/// Reports a request for the shard's service that this VM refused before it came to the shard.
pub(crate) struct RefusedBefore;

impl Message<RefusedBefore> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, _: RefusedBefore, _: &mut Context<Self, ()>) {
        self.shard.on_refused_before();
    }
}

/// Applies a new configuration to a shard.
pub(crate) struct NewConfig(pub(crate) Arc<Config>);

impl Message<NewConfig> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: NewConfig, _: &mut Context<Self, ()>) {
        let actions = self.shard.on_config(self.clock.now(), &message.0);
        self.apply(actions);
    }
}

/// Changes the mode of a shard on this VM.
pub(crate) struct SetMode(pub(crate) ShardMode);

impl Message<SetMode> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: SetMode, _: &mut Context<Self, ()>) {
        self.mode = message.0;
        let actions = self.shard.set_mode(self.clock.now(), message.0);
        self.apply(actions);
    }
}

/// Stops the shard's actor when its last request has been answered.
pub(crate) struct Retire;

impl Message<Retire> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, _: Retire, _: &mut Context<Self, ()>) {
        self.retired = true;
    }
}

/// Requests the status of the shard's endpoints.
pub(crate) struct Endpoints;

impl Message<Endpoints> for ShardActor {
    type Reply = Vec<EndpointStatus>;

    async fn handle(
        &mut self,
        _: Endpoints,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<EndpointStatus> {
        self.shard.endpoints(self.clock.now())
    }
}

impl Message<TimerEvent> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, event: TimerEvent, context: &mut Context<Self, ()>) {
        let actions = match event {
            TimerEvent::Tick(now) => {
                self.publish_status(now);
                self.update_dispatchers(now);
                self.shard.on_tick(now)
            }
            TimerEvent::Paused { now, gap } => self.shard.on_pause(now, gap),
        };
        self.apply(actions);
        if self.retired && self.requests.is_empty() || self.can_stop() {
            let mut table = self.statuses.write().unwrap_or_else(PoisonError::into_inner);
            table.remove(&self.id);
            context.stop();
        }
    }
}

impl ShardActor {
    fn apply(&mut self, actions: Vec<ShardAction>) {
        let mut pending = VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            pending.extend(self.apply_one(action));
        }
        self.schedule_wake();
    }

    /// Executes an action and returns the actions that follow from its failure.
    fn apply_one(&mut self, action: ShardAction) -> Vec<ShardAction> {
        match action {
            ShardAction::Dispatch(dispatch) => return self.dispatch(dispatch),
            ShardAction::Cancel { request, attempt } => {
                self.command(request, Command::Cancel(attempt));
            }
            ShardAction::Abandon { request, attempt } => {
                self.command(request, Command::Abandon(attempt));
            }
            ShardAction::Deliver { request, attempt } => {
                self.finish(request, Command::Deliver(attempt));
            }
            ShardAction::Replay { request, answer } => {
                self.finish(request, Command::Replay(answer));
            }
            ShardAction::Refuse { request, refusal } => {
                self.finish(request, Command::Refuse(refusal));
            }
            ShardAction::Probe { attempt, endpoint, address, path, time_limit } => {
                let Some(shard) = self.actor_ref.upgrade() else { return Vec::new() };
                let gate = self.notices.gate(&self.id.service, &endpoint);
                let probe = Probe { attempt, gate, address, path, time_limit };
                let pool = Arc::clone(&self.endpoints);
                let dialect = Arc::clone(&self.dialect);
                let reports =
                    ProbeReports { outcomes: shard.clone().recipient(), bodies: shard.recipient() };
                tokio::spawn(probe.run(reports, pool, self.clock, dialect));
            }
            ShardAction::CheckPath { endpoint, address } => {
                let Some(shard) = self.actor_ref.upgrade() else { return Vec::new() };
                let check = self.path_check.clone();
                tokio::spawn(async move {
                    let (answer, relays) =
                        check.query(endpoint.clone(), address, AskedVms::Few).await;
                    // A stopped shard needs no answer.
                    let _ = shard.tell(PathChecked { endpoint, answer, relays }).try_send();
                });
            }
            ShardAction::Broadcast(update) => self.update_link.broadcast(update),
            ShardAction::RequestRetryRights { to, request } => {
                self.update_link.request_rights(&self.id, &to, request);
            }
            ShardAction::Notice { endpoint, notice } => {
                self.notices.record(&self.id.service, &endpoint, notice, NoticeSource::Peer);
            }
            ShardAction::RateLimit { endpoint, limit } => {
                let per_second = limit.map(RateLimit::per_second);
                log::info!(
                    "event=rate_limit service={} endpoint={endpoint} per_second={per_second:?}",
                    self.id.service
                );
            }
            ShardAction::Health(health) => {
                log::info!(
                    "event=health service={} shard={} {health}",
                    self.id.service,
                    self.id.index
                );
            }
        }
        Vec::new()
    }

    fn dispatch(&mut self, dispatch: Dispatch) -> Vec<ShardAction> {
        let attempt = dispatch.attempt;
        let sent = self
            .requests
            .get(&dispatch.request)
            .is_some_and(|commands| commands.send(Command::Dispatch(dispatch)).is_ok());
        if sent {
            return Vec::new();
        }
        self.shard.on_outcome(
            self.clock.now(),
            attempt,
            Outcome::NotSent,
            EndpointReport::default(),
        )
    }

    fn command(&self, request: RequestId, command: Command) {
        // If the task of a request has ended, its attempts have ended too.
        if let Some(commands) = self.requests.get(&request) {
            let _ = commands.send(command);
        }
    }

    fn finish(&mut self, request: RequestId, command: Command) {
        if let Some(commands) = self.requests.remove(&request) {
            // If the caller disconnected, the task has already reported it.
            let _ = commands.send(command);
        }
    }

    /// Returns whether the actor may be stopped because it is idle.
    ///
    /// A shard in careful mode may have served a booking in place of the owner. If its record of
    /// idempotency keys were lost, a duplicate of the booking would run. A shard with a recorded
    /// key is therefore kept.
    fn can_stop(&self) -> bool {
        let unused = self.clock.now().since(self.last_use);
        self.mode != ShardMode::Owner && unused >= self.non_owner_idle && self.shard.is_idle()
    }

    /// Updates the set of dispatchers of the shard.
    ///
    /// A VM that becomes a dispatcher may have received few updates before, and would send
    /// retries that the other dispatchers have already sent, exceeding the service's retry limit.
    /// It therefore requests a snapshot, and is restricted until the snapshot arrives.
    fn update_dispatchers(&mut self, now: Time) {
        let dispatchers = self.update_link.dispatchers(&self.id.service);
        let (me, names) = self.update_link.dispatcher_names(&self.id.service);
        self.shard.set_dispatcher_names(&me, &names);
        if self.shard.set_dispatchers(now, dispatchers) {
            self.update_link.request_snapshot(&self.id);
        }
    }

    fn request_snapshot(&mut self, now: Time) {
        if self.update_link.request_snapshot(&self.id) {
            self.shard.on_snapshot_requested(now);
        }
    }

    /// Requests a snapshot if the last update is too old.
    ///
    /// A VM that gets few requests would otherwise use estimates that are ten seconds old and
    /// send a request to an endpoint that all other VMs know to fail. The snapshot is requested
    /// when a request arrives, and the request waits for it.
    fn refresh_snapshot(&mut self, now: Time) {
        if self.shard.is_shared() && now.since(self.last_update_at) >= MAX_SNAPSHOT_AGE {
            self.last_update_at = now;
            self.request_snapshot(now);
        }
    }

    fn publish_status(&self, now: Time) {
        let status = ShardStatus {
            at_floor: self.shard.at_floor(),
            queue_wait_ms: self.shard.queue_wait(now).as_millis() as u64,
            held_retries: self.shard.held_retries(),
            retries: self.shard.retries(),
            fleet_queue: self.shard.fleet_queue_status(now),
        };
        let mut table = self.statuses.write().unwrap_or_else(PoisonError::into_inner);
        table.insert(self.id.clone(), status);
    }
}
