//! The shards that this VM works on, as owner or in the owner's place.

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use kameo::{
    actor::{ActorRef, Spawn},
    mailbox,
};
use pistachiotrack_core::{
    config::Config,
    feature_flags::FeatureFlags,
    name::Name,
    ownership::{ShardId, shard_count},
    rule::ServiceState,
    shard::ShardMode,
    vm::Vm,
};
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;

use crate::{
    clock::Clock,
    connection_pool::ConnectionPool,
    dialect::Dialect,
    path_check::PathCheck,
    shard_actor::{HandOverTo, PeerNews, SetMode, ShardActor, ShardArgs},
    shard_update_link::{ShardDatagram, ShardUpdateLink},
    timer::{Subscribe, TimerService},
    view::FleetView,
};

/// Live facts about a shard that rules may ask for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShardFacts {
    /// Whether further ejections are held back.
    pub(crate) at_floor: bool,
    /// Expected wait of a new request.
    pub(crate) queue_wait_ms: u64,
}

/// Facts of all shards that this VM works on.
pub(crate) type FactsTable = Arc<RwLock<FxHashMap<ShardId, ShardFacts>>>;

/// What the shards of a VM have in common.
#[derive(Debug)]
pub(crate) struct ShardTableArgs {
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Connections to endpoints.
    pub(crate) endpoints: Arc<ConnectionPool>,
    /// Ticks for the shards.
    pub(crate) timer: ActorRef<TimerService>,
    /// Asks VMs elsewhere about endpoints.
    pub(crate) path_check: PathCheck,
    /// Tells the other VMs that dispatch side by side.
    pub(crate) news: Arc<ShardUpdateLink>,
    /// How endpoints speak.
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Time without requests after which a shard is forgotten that this VM does
    /// not own.
    pub(crate) careful_idle: Duration,
    /// Seed of every random choice.
    pub(crate) seed: u64,
    /// Data centre of this VM.
    pub(crate) data_centre: Name,
    /// Mechanisms at work.
    pub(crate) mechanisms: FeatureFlags,
}

/// The actors of the shards that this VM works on.
#[derive(Debug)]
pub(crate) struct ShardTable {
    actors: RwLock<FxHashMap<ShardId, ActorRef<ShardActor>>>,
    facts: FactsTable,
    shared: ShardTableArgs,
}

impl ShardTable {
    /// Creates an empty table.
    pub(crate) fn new(shared: ShardTableArgs) -> ShardTable {
        ShardTable { actors: RwLock::default(), facts: FactsTable::default(), shared }
    }

    /// Returns the actor of a shard, if it runs.
    pub(crate) fn find(&self, shard: &ShardId) -> Option<ActorRef<ShardActor>> {
        let actors = self.actors.read().unwrap_or_else(PoisonError::into_inner);
        actors.get(shard).filter(|actor| actor.is_alive()).cloned()
    }

    /// Returns the actor of a shard and starts it in `mode` if it doesn't run.
    pub(crate) fn find_or_start(
        &self,
        shard: &ShardId,
        config: &Arc<Config>,
        mode: ShardMode,
    ) -> ActorRef<ShardActor> {
        if let Some(actor) = self.find(shard) {
            return actor;
        }
        let mut actors = self.actors.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(actor) = actors.get(shard).filter(|actor| actor.is_alive()) {
            return actor.clone();
        }
        let shared = &self.shared;
        let args = ShardArgs {
            id: shard.clone(),
            config: Arc::clone(config),
            mode,
            seed: shared.seed,
            data_centre: shared.data_centre.clone(),
            mechanisms: shared.mechanisms,
            clock: shared.clock,
            endpoints: Arc::clone(&shared.endpoints),
            facts: Arc::clone(&self.facts),
            path_check: shared.path_check.clone(),
            news: Arc::clone(&shared.news),
            dialect: Arc::clone(&shared.dialect),
            careful_idle: shared.careful_idle,
        };
        let actor = ShardActor::spawn_with_mailbox(args, mailbox::unbounded());
        // The timer service outlives every shard but at the process's end.
        let _ = shared.timer.tell(Subscribe(actor.clone().recipient())).try_send();
        actors.insert(shard.clone(), actor.clone());
        actor
    }

    /// Starts a shard as its owner or makes a running one the owner.
    pub(crate) fn own(&self, shard: &ShardId, config: &Arc<Config>) {
        let actor = self.find_or_start(shard, config, ShardMode::Owner);
        let _ = actor.tell(SetMode(ShardMode::Owner)).try_send();
    }

    /// Changes a shard's mode because another VM owns it now, and hands it over
    /// to that VM.
    pub(crate) fn disown(&self, shard: &ShardId, to: Option<Vm>, mode: ShardMode) {
        if let Some(to) = to {
            self.hand_over(shard, to, None);
        }
        if let Some(actor) = self.find(shard) {
            let _ = actor.tell(SetMode(mode)).try_send();
        }
    }

    /// Tells a VM what this one knows of a shard; `told` is dropped afterwards.
    pub(crate) fn hand_over(&self, shard: &ShardId, to: Vm, told: Option<mpsc::Sender<()>>) {
        if let Some(actor) = self.find(shard) {
            // A shard that has just stopped has nothing to tell.
            let _ = actor.tell(HandOverTo { to, told }).try_send();
        }
    }

    /// Passes on what another VM tells that dispatches for a shared service.
    ///
    /// A dispatcher starts the shard for it, so that it knows the endpoints
    /// before its own first request.
    pub(crate) fn on_news(&self, view: &FleetView, from: SocketAddr, datagram: ShardDatagram) {
        let shard = datagram.content.shard();
        let actor = self.find(shard).or_else(|| {
            let active = view.active.as_ref()?;
            let has_shard = active
                .service(&shard.service)
                .is_some_and(|service| service.is_shared() && shard.index < shard_count(service));
            let wanted = has_shard && self.shared.news.dispatchers(&shard.service).is_member;
            wanted.then(|| self.find_or_start(shard, &active.config, ShardMode::Shared))
        });
        if let Some(actor) = actor {
            let news = PeerNews { address: from, datagram };
            // A shard that has just stopped needs no news.
            let _ = actor.tell(news).try_send();
        }
    }

    /// Returns all running shards.
    pub(crate) fn running(&self) -> Vec<(ShardId, ActorRef<ShardActor>)> {
        let actors = self.actors.read().unwrap_or_else(PoisonError::into_inner);
        actors.iter().map(|(id, actor)| (id.clone(), actor.clone())).collect()
    }

    /// Stops the shards that `keep` does not hold for.
    pub(crate) fn retain(&self, keep: impl Fn(&ShardId) -> bool) {
        let mut actors = self.actors.write().unwrap_or_else(PoisonError::into_inner);
        actors.retain(|id, _| keep(id));
        let mut facts = self.facts.write().unwrap_or_else(PoisonError::into_inner);
        facts.retain(|id, _| keep(id));
    }

    fn facts_of<'a>(
        facts: &'a FxHashMap<ShardId, ShardFacts>,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ShardFacts> {
        facts.iter().filter(move |(id, _)| id.service.as_str() == service).map(|(_, facts)| facts)
    }
}

impl ServiceState for ShardTable {
    fn service_at_floor(&self, service: &str) -> bool {
        let facts = self.facts.read().unwrap_or_else(PoisonError::into_inner);
        ShardTable::facts_of(&facts, service).any(|facts| facts.at_floor)
    }

    fn queue_wait_ms(&self, service: &str) -> u64 {
        let facts = self.facts.read().unwrap_or_else(PoisonError::into_inner);
        ShardTable::facts_of(&facts, service).map(|facts| facts.queue_wait_ms).max().unwrap_or(0)
    }
}

/// Returns the name under which a shard is shown and logged.
pub(crate) fn shard_name(shard: &ShardId) -> Name {
    Name::from(format!("{}/{}", shard.service, shard.index))
}
