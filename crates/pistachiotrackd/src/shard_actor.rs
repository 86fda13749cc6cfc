//! The actor around the decisions of one shard.

mod peers;

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
    refusal::RefusalDecision,
    request::{AttemptId, BodyEnd, EndpointReport, Outcome, Request, RequestId},
    shard::{Dispatch, Shard, ShardAction, ShardMode, ShardSettings},
    time::Time,
};
use rustc_hash::FxHashMap;
use tokio::sync::mpsc::UnboundedSender;

pub(crate) use self::peers::{HandOverTo, PathChecked, PeerNews, TakeHandOver};
use crate::{
    clock::Clock,
    connection_pool::ConnectionPool,
    dialect::Dialect,
    path_check::PathCheck,
    probe::Probe,
    shard_table::{FactsTable, ShardFacts},
    shard_update_link::ShardUpdateLink,
    timer::TimerEvent,
};

/// Time without a word of a dispatcher after which a VM that isn't one asks for a
/// picture when a request comes. Beliefs fade within about ten seconds.
const PICTURE_AGE: Duration = Duration::from_secs(1);

/// What a shard tells the task of a request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Sends the request to an endpoint.
    Dispatch(Dispatch),
    /// Ends an attempt by closing its connection.
    Cancel(AttemptId),
    /// Ends an attempt as if its time had passed.
    GiveUp(AttemptId),
    /// Passes on the answer of an attempt; final.
    Deliver(AttemptId),
    /// Answers with the answer of an earlier request; final.
    Replay(Arc<StoredAnswer>),
    /// Refuses the request; final.
    Refuse(RefusalDecision),
}

/// What a shard's actor is started with.
pub(crate) struct ShardArgs {
    /// The shard.
    pub(crate) id: ShardId,
    /// Configuration in force.
    pub(crate) config: Arc<Config>,
    /// Mode at the start.
    pub(crate) mode: ShardMode,
    /// Seed of every random choice.
    pub(crate) seed: u64,
    /// Data centre of this VM.
    pub(crate) data_centre: Name,
    /// Mechanisms at work.
    pub(crate) mechanisms: FeatureFlags,
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Connections to endpoints.
    pub(crate) endpoints: Arc<ConnectionPool>,
    /// Where the shard's live facts are published.
    pub(crate) facts: FactsTable,
    /// Asks VMs elsewhere about endpoints.
    pub(crate) path_check: PathCheck,
    /// Tells the other VMs that dispatch for the shard.
    pub(crate) news: Arc<ShardUpdateLink>,
    /// How endpoints speak.
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Time without requests after which a shard without an owner's duties stops.
    pub(crate) careful_idle: Duration,
}

/// The actor around the decisions of one shard.
///
/// The tasks of requests do the sending; the actor only decides. Of every
/// attempt that a request's task was told of, the task reports the end; of one
/// that it could not be told of any more, the actor does.
pub(crate) struct ShardActor {
    id: ShardId,
    shard: Shard,
    clock: Clock,
    endpoints: Arc<ConnectionPool>,
    facts: FactsTable,
    path_check: PathCheck,
    news: Arc<ShardUpdateLink>,
    dialect: Arc<dyn Dialect>,
    actor_ref: WeakActorRef<ShardActor>,
    requests: FxHashMap<RequestId, UnboundedSender<Command>>,
    mode: ShardMode,
    careful_idle: Duration,
    last_use: Time,
    /// Moment of the last word of another VM, or of the last question for one.
    heard: Time,
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
            mechanisms: args.mechanisms,
        };
        let now = args.clock.now();
        let mut shard = Shard::new(now, args.id.clone(), &args.config, settings);
        shard.set_dispatchers(now, args.news.dispatchers(&args.id.service));
        if shard.is_shared() && args.news.request_snapshot(&args.id) {
            shard.on_snapshot_requested(now);
        }
        Ok(ShardActor {
            id: args.id,
            shard,
            clock: args.clock,
            endpoints: args.endpoints,
            facts: args.facts,
            path_check: args.path_check,
            news: args.news,
            dialect: args.dialect,
            actor_ref: actor_ref.downgrade(),
            requests: FxHashMap::default(),
            mode: args.mode,
            careful_idle: args.careful_idle,
            last_use: now,
            heard: now,
            retired: false,
        })
    }
}

/// Asks for a request to be served.
pub(crate) struct Submit {
    /// The request.
    pub(crate) request: Request,
    /// Where its task takes commands.
    pub(crate) commands: UnboundedSender<Command>,
}

impl Message<Submit> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: Submit, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.last_use = now;
        self.refresh_picture(now);
        self.requests.insert(message.request.id, message.commands);
        let actions = self.shard.on_request(now, message.request);
        self.apply(actions);
    }
}

/// Tells how an attempt ended or how its answer began.
pub(crate) struct AttemptOutcome {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// How it ended or began.
    pub(crate) outcome: Outcome,
    /// What the endpoint reports.
    pub(crate) report: EndpointReport,
}

impl Message<AttemptOutcome> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: AttemptOutcome, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let actions = self.shard.on_outcome(now, message.attempt, message.outcome, message.report);
        self.apply(actions);
    }
}

/// Tells how the body of an attempt's answer ended.
pub(crate) struct BodyEnded {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// How the body ended.
    pub(crate) end: BodyEnd,
    /// The whole answer, if it is kept for duplicates of the request.
    pub(crate) stored: Option<(RequestId, StoredAnswer)>,
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

/// Tells that a caller went away before its answer began.
pub(crate) struct CallerGone(pub(crate) RequestId);

impl Message<CallerGone> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: CallerGone, _: &mut Context<Self, ()>) {
        self.requests.remove(&message.0);
        let actions = self.shard.on_cancel(self.clock.now(), message.0);
        self.apply(actions);
    }
}

/// Gives a shard a new configuration.
pub(crate) struct NewConfig(pub(crate) Arc<Config>);

impl Message<NewConfig> for ShardActor {
    type Reply = ();

    async fn handle(&mut self, message: NewConfig, _: &mut Context<Self, ()>) {
        let actions = self.shard.on_config(self.clock.now(), &message.0);
        self.apply(actions);
    }
}

/// Changes how far this VM may go.
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

/// Asks for the endpoints of the shard.
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
                self.publish_facts(now);
                self.note_dispatchers(now);
                self.shard.on_tick(now)
            }
            TimerEvent::Paused { now, gap } => self.shard.on_pause(now, gap),
        };
        self.apply(actions);
        if self.retired && self.requests.is_empty() || self.is_forgettable() {
            let mut table = self.facts.write().unwrap_or_else(PoisonError::into_inner);
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
    }

    /// Does one action and returns what follows from its failure.
    fn apply_one(&mut self, action: ShardAction) -> Vec<ShardAction> {
        match action {
            ShardAction::Dispatch(dispatch) => return self.dispatch(dispatch),
            ShardAction::Cancel { request, attempt } => {
                self.command(request, Command::Cancel(attempt));
            }
            ShardAction::GiveUp { request, attempt } => {
                self.command(request, Command::GiveUp(attempt));
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
                let probe = Probe { attempt, endpoint, address, path, time_limit };
                let pool = Arc::clone(&self.endpoints);
                let dialect = Arc::clone(&self.dialect);
                tokio::spawn(probe.run(shard, pool, self.clock, dialect));
            }
            ShardAction::CheckPath { endpoint, address } => {
                let Some(shard) = self.actor_ref.upgrade() else { return Vec::new() };
                let check = self.path_check.clone();
                tokio::spawn(async move {
                    let (answer, witnesses) = check.ask(endpoint.clone(), address).await;
                    // A stopped shard needs no answer.
                    let _ = shard.tell(PathChecked { endpoint, answer, witnesses }).try_send();
                });
            }
            ShardAction::Broadcast(news) => self.news.broadcast(news),
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
        // A request whose task has ended has ended its attempts too.
        if let Some(commands) = self.requests.get(&request) {
            let _ = commands.send(command);
        }
    }

    fn finish(&mut self, request: RequestId, command: Command) {
        if let Some(commands) = self.requests.remove(&request) {
            // The caller may have gone away; the task has told so then.
            let _ = commands.send(command);
        }
    }

    /// Failure guarded against: a careful shard that served a booking in the
    /// owner's place is forgotten, and a duplicate of the booking runs. It
    /// shows as a doubled booking. The guard holds because a shard with a key on
    /// record is kept.
    fn is_forgettable(&self) -> bool {
        let unused = self.clock.now().since(self.last_use);
        self.mode != ShardMode::Owner && unused >= self.careful_idle && self.shard.is_idle()
    }

    /// Failure guarded against: a VM becomes a dispatcher after a time in which it was
    /// told little, and sends retries that the others have sent already. It shows as
    /// more retries than the service's limit allows. The guard holds because it asks
    /// for a picture then, and is careful until it gets one.
    fn note_dispatchers(&mut self, now: Time) {
        let dispatchers = self.news.dispatchers(&self.id.service);
        if self.shard.set_dispatchers(now, dispatchers) {
            self.news.request_snapshot(&self.id);
        }
    }

    fn ask_for_picture(&mut self, now: Time) {
        if self.news.request_snapshot(&self.id) {
            self.shard.on_snapshot_requested(now);
        }
    }

    /// Failure guarded against: a VM that callers seldom use sends a request to an
    /// endpoint that all others know to fail. It shows as failures with a risk that was
    /// seen ten seconds ago. The guard holds because it asks when a request comes, which
    /// waits for the picture.
    fn refresh_picture(&mut self, now: Time) {
        if self.shard.is_shared() && now.since(self.heard) >= PICTURE_AGE {
            self.heard = now;
            self.ask_for_picture(now);
        }
    }

    fn publish_facts(&self, now: Time) {
        let facts = ShardFacts {
            at_floor: self.shard.at_floor(),
            queue_wait_ms: self.shard.queue_wait(now).as_millis() as u64,
        };
        let mut table = self.facts.write().unwrap_or_else(PoisonError::into_inner);
        table.insert(self.id.clone(), facts);
    }
}
