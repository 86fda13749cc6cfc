//! Shards that run on this VM, as their owner or in place of the owner.

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
    retry::PriorRetries,
    rule::ServiceState,
    shard::{FleetQueueStatus, HeldRetryCounts, RetryCounts, ShardMode},
    time::Time,
    vm::Vm,
};
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;

use crate::{
    config::view::FleetView,
    connections::connection_pool::ConnectionPool,
    formats::dialect::Dialect,
    peers::{
        endpoint_notices::NoticeTable,
        path_check::PathCheck,
        shard_update_link::{ShardDatagram, ShardUpdateLink},
    },
    runtime::{
        clock::Clock,
        timer::{Subscribe, TimerService},
    },
    shards::shard_actor::{PeerUpdate, SendHandOver, SetMode, ShardActor, ShardArgs},
    stats::shard_status::ShardStatusTable,
};

/// Time after the first start of the fleet within which its shards start.
const FIRST_START_TIME: Duration = Duration::from_secs(5);

/// Arguments that all shards of a VM share.
#[derive(Debug)]
pub(crate) struct ShardTableArgs {
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Connections to endpoints.
    pub(crate) endpoints: Arc<ConnectionPool>,
    /// Source of ticks for the shards.
    pub(crate) timer: ActorRef<TimerService>,
    /// Asks other VMs whether they reach an endpoint.
    pub(crate) path_check: PathCheck,
    /// Sends updates to the other dispatchers of a shared service.
    pub(crate) update_link: Arc<ShardUpdateLink>,
    /// Dialect of the endpoints.
    pub(crate) dialect: Arc<dyn Dialect>,
    /// What endpoints ask of this VM.
    pub(crate) notices: Arc<NoticeTable>,
    /// Idle time after which a shard that this VM doesn't own is stopped.
    pub(crate) non_owner_idle: Duration,
    /// Seed of all random choices.
    pub(crate) seed: u64,
    /// Data centre of this VM.
    pub(crate) data_centre: Name,
    /// Enabled mechanisms.
    pub(crate) feature_flags: FeatureFlags,
    /// Whether the whole fleet starts for the first time.
    pub(crate) first_start: bool,
    /// When this process started.
    pub(crate) started_at: Time,
}

impl ShardTableArgs {
    /// Returns what a shard that starts now knows of the retries that were sent before.
    fn prior_retries(&self) -> PriorRetries {
        let is_first = self.first_start && self.clock.now() < self.started_at + FIRST_START_TIME;
        if is_first { PriorRetries::None } else { PriorRetries::Unknown }
    }
}

/// Actors of the shards that run on this VM.
#[derive(Debug)]
pub(crate) struct ShardTable {
    actors: RwLock<FxHashMap<ShardId, ActorRef<ShardActor>>>,
    statuses: ShardStatusTable,
    shared: ShardTableArgs,
}

impl ShardTable {
    /// Creates an empty table.
    pub(crate) fn new(shared: ShardTableArgs) -> ShardTable {
        ShardTable { actors: RwLock::default(), statuses: ShardStatusTable::default(), shared }
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
            feature_flags: shared.feature_flags,
            prior_retries: shared.prior_retries(),
            clock: shared.clock,
            endpoints: Arc::clone(&shared.endpoints),
            statuses: Arc::clone(&self.statuses),
            path_check: shared.path_check.clone(),
            update_link: Arc::clone(&shared.update_link),
            dialect: Arc::clone(&shared.dialect),
            notices: Arc::clone(&shared.notices),
            non_owner_idle: shared.non_owner_idle,
        };
        let actor = ShardActor::spawn_with_mailbox(args, mailbox::unbounded());
        // The timer service stops only when the process ends.
        let _ = shared.timer.tell(Subscribe(actor.clone().recipient())).try_send();
        actors.insert(shard.clone(), actor.clone());
        actor
    }

    /// Starts a shard as its owner, or makes this VM the owner of a running one.
    pub(crate) fn become_owner(&self, shard: &ShardId, config: &Arc<Config>) {
        let actor = self.find_or_start(shard, config, ShardMode::Owner);
        let _ = actor.tell(SetMode(ShardMode::Owner)).try_send();
    }

    /// Changes the mode of a shard that another VM owns now, and hands the shard over to that VM.
    pub(crate) fn release_ownership(&self, shard: &ShardId, to: Option<Vm>, mode: ShardMode) {
        if let Some(to) = to {
            self.hand_over(shard, to, None);
        }
        if let Some(actor) = self.find(shard) {
            let _ = actor.tell(SetMode(mode)).try_send();
        }
    }

    /// Sends the state of a shard to a VM; `done` is dropped afterwards.
    pub(crate) fn hand_over(&self, shard: &ShardId, to: Vm, done: Option<mpsc::Sender<()>>) {
        if let Some(actor) = self.find(shard) {
            // A shard that has just stopped has no state to send.
            let _ = actor.tell(SendHandOver { to, done }).try_send();
        }
    }

    /// Passes an update from another dispatcher of a shared service to its shard.
    ///
    /// A dispatcher starts the shard if needed, so that it has estimates of the endpoints before
    /// its first request.
    pub(crate) fn on_peer_update(
        &self,
        view: &FleetView,
        from: SocketAddr,
        datagram: ShardDatagram,
    ) {
        let shard = datagram.content.shard();
        let actor = self.find(shard).or_else(|| {
            let active = view.active.as_ref()?;
            let has_shard = active
                .service(&shard.service)
                .is_some_and(|service| service.is_shared() && shard.index < shard_count(service));
            let is_needed =
                has_shard && self.shared.update_link.dispatchers(&shard.service).is_member;
            is_needed.then(|| self.find_or_start(shard, &active.config, ShardMode::Shared))
        });
        if let Some(actor) = actor {
            let update = PeerUpdate { address: from, datagram };
            // A shard that has just stopped needs no updates.
            let _ = actor.tell(update).try_send();
        }
    }

    /// Returns all running shards.
    pub(crate) fn running(&self) -> Vec<(ShardId, ActorRef<ShardActor>)> {
        let actors = self.actors.read().unwrap_or_else(PoisonError::into_inner);
        actors.iter().map(|(id, actor)| (id.clone(), actor.clone())).collect()
    }

    /// Stops the shards for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(&ShardId) -> bool) {
        let mut actors = self.actors.write().unwrap_or_else(PoisonError::into_inner);
        actors.retain(|id, _| keep(id));
        let mut statuses = self.statuses.write().unwrap_or_else(PoisonError::into_inner);
        statuses.retain(keep);
    }

    /// Returns for how many requests on this VM the retry limit left a retry, and for how many none.
    pub(crate) fn retries(&self) -> RetryCounts {
        self.statuses.read().unwrap_or_else(PoisonError::into_inner).retries()
    }

    /// Returns the numbers of requests whose retries were held on this VM.
    pub(crate) fn held_retries(&self) -> HeldRetryCounts {
        self.statuses.read().unwrap_or_else(PoisonError::into_inner).held_retries()
    }

    /// Returns what is queued over all dispatchers of each shard whose service has a queue over the
    /// fleet.
    pub(crate) fn fleet_queues(&self) -> Vec<(Name, FleetQueueStatus)> {
        self.statuses.read().unwrap_or_else(PoisonError::into_inner).fleet_queues()
    }
}

impl ServiceState for ShardTable {
    fn service_at_floor(&self, service: &str) -> bool {
        let statuses = self.statuses.read().unwrap_or_else(PoisonError::into_inner);
        statuses.of(service).any(|status| status.at_floor)
    }

    fn queue_wait_ms(&self, service: &str) -> u64 {
        let statuses = self.statuses.read().unwrap_or_else(PoisonError::into_inner);
        statuses.of(service).map(|status| status.queue_wait_ms).max().unwrap_or(0)
    }
}
