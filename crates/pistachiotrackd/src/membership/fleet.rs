//! The actor that maintains this VM's view of the fleet: members, shard owners
//! and the configuration.

mod config_status;
mod lease;
mod leave;
mod pull;
mod source_reading;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use kameo::{
    Actor,
    actor::{ActorRef, WeakActorRef},
    error::Infallible,
    message::{Context as MessageContext, Message},
};
use pistachiotrack_core::{
    caller_limits::CallerLimits,
    config::Config,
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings, ListReadSchedule},
    membership::{Membership, MembershipAction, MembershipSettings},
    name::Name,
    ownership::{Ownership, OwnershipChange, OwnershipSettings, shard_count},
    shard::ShardMode,
    time::Time,
    vm::Vm,
};
use tokio::{
    net::UdpSocket,
    sync::watch,
    task::{AbortHandle, JoinHandle},
};

use self::{config_status::ConfigLog, lease::LeaseKeeper};
pub(crate) use self::{
    config_status::{ConfigStatus, GetConfigStatus},
    lease::{LEASE_TAG, LeaseDatagram},
    leave::Leave,
    pull::HandlePull,
};
use crate::{
    config::{
        platform::{Platform, VmListReceived},
        settings::Settings,
        source::ConfigSource,
        view::{ActiveConfig, FleetView},
    },
    connections::connection_pool::ConnectionPool,
    formats::lease_times::LeaseTimes,
    membership::reach_monitor::SetCutOff,
    peers::udp,
    runtime::{clock::Clock, timer::TimerEvent},
    shards::{
        shard_actor::{NewConfig, Retire},
        shard_table::ShardTable,
    },
    stats::{
        metrics::{Event, Metrics},
        shard_status::shard_name,
        traffic::{Topic, Traffic},
    },
};

/// Interval of the ticks. The fleet's timers run at intervals of a few hundred
/// milliseconds or more, so that this interval costs little precision.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of ownership updates without a membership or configuration change;
/// needed for changes that hysteresis delays.
const OWNERSHIP_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which expired idle connections are closed.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Arguments of the fleet actor.
pub(crate) struct FleetArgs {
    /// The local VM.
    pub(crate) me: Vm,
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Settings of this VM.
    pub(crate) settings: Settings,
    /// Source of configurations; the platform's configuration service if `None`.
    pub(crate) source: Option<Arc<dyn ConfigSource>>,
    /// Shards that this VM dispatches for.
    pub(crate) shards: Arc<ShardTable>,
    /// Connections to endpoints.
    pub(crate) endpoints: Arc<ConnectionPool>,
    /// Connections to other VMs.
    pub(crate) peers: Arc<ConnectionPool>,
    /// Counters.
    pub(crate) metrics: Arc<Metrics>,
    /// Counts of sent and received messages.
    pub(crate) traffic: Arc<Traffic>,
    /// Channel that snapshots are published to.
    pub(crate) view: watch::Sender<Arc<FleetView>>,
    /// Channel that the times of the configuration's lease are published to.
    pub(crate) lease: watch::Sender<LeaseTimes>,
    /// Channel that the limits of callers are published to.
    pub(crate) caller_limits: watch::Sender<Option<CallerLimits>>,
    /// Socket of the membership datagrams.
    pub(crate) socket: Arc<UdpSocket>,
    /// Set to true when a newer daemon runs under this VM's name.
    pub(crate) superseded: watch::Sender<bool>,
    /// Seed of the random number generators.
    pub(crate) seed: u64,
}

/// The actor that maintains this VM's view of the fleet.
pub(crate) struct Fleet {
    me: Vm,
    clock: Clock,
    shards: Arc<ShardTable>,
    endpoints: Arc<ConnectionPool>,
    peers: Arc<ConnectionPool>,
    metrics: Arc<Metrics>,
    traffic: Arc<Traffic>,
    view: watch::Sender<Arc<FleetView>>,
    caller_limits: watch::Sender<Option<CallerLimits>>,
    socket: Arc<UdpSocket>,
    source: Arc<dyn ConfigSource>,
    watch_wait: Duration,
    watching: watch::Sender<bool>,
    waiting_watch: Option<AbortHandle>,
    superseded: watch::Sender<bool>,
    actor_ref: WeakActorRef<Fleet>,
    membership: Membership,
    ownership: Ownership,
    sync: ConfigSync,
    lease: LeaseKeeper,
    config_log: ConfigLog,
    active: Option<Arc<ActiveConfig>>,
    published_revision: Option<u64>,
    ownership_updated: Time,
    last_pool_cleanup: Time,
}

impl Actor for Fleet {
    type Args = FleetArgs;
    type Error = Infallible;

    async fn on_start(args: FleetArgs, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        let FleetArgs { me, clock, settings, traffic, seed, .. } = args;
        let now = clock.now();
        let (watching, is_watching) = watch::channel(false);
        let deployment = settings.deployment.clone();
        // The deployment is checked since datagrams of another deployment may
        // arrive after addresses were reassigned.
        let membership_settings = MembershipSettings {
            deployment: deployment.clone(),
            seeds: settings.seeds(me.peer_address.port()),
            ..settings.membership.clone()
        };
        let sync_settings = settings.config_lease.limit_watches(ConfigSyncSettings {
            assumed_fleet_vms: settings.expected_vms,
            ..settings.config_sync.clone()
        });
        let watch_wait = Duration::from_millis(sync_settings.watch_timeout_ms);
        let source = args.source.unwrap_or_else(|| {
            let platform = Platform::new(&settings, Arc::clone(&traffic));
            let list_schedule = ListReadSchedule::new(sync_settings.clone(), seed);
            tokio::spawn(platform.clone().maintain_vm_list(
                actor_ref.clone().recipient(),
                is_watching,
                list_schedule,
            ));
            Arc::new(platform)
        });
        let lease = LeaseKeeper::new(settings.config_lease, &deployment, args.lease, seed);
        Ok(Fleet {
            lease,
            membership: Membership::new(now, me.clone(), membership_settings, seed),
            ownership: Ownership::new(me.clone(), OwnershipSettings::default()),
            sync: ConfigSync::new(me.clone(), deployment, sync_settings, seed),
            config_log: ConfigLog::default(),
            me,
            clock,
            shards: args.shards,
            endpoints: args.endpoints,
            peers: args.peers,
            metrics: args.metrics,
            traffic,
            view: args.view,
            caller_limits: args.caller_limits,
            socket: args.socket,
            source,
            watch_wait,
            watching,
            waiting_watch: None,
            superseded: args.superseded,
            actor_ref: actor_ref.downgrade(),
            active: None,
            published_revision: None,
            ownership_updated: now,
            last_pool_cleanup: now,
        })
    }
}

impl Message<TimerEvent> for Fleet {
    type Reply = ();

    async fn handle(&mut self, event: TimerEvent, _: &mut MessageContext<Self, ()>) {
        match event {
            TimerEvent::Tick(now) => self.on_tick(now),
            TimerEvent::Paused { now, gap } => self.membership.on_pause(now, gap),
        }
    }
}

/// A membership datagram from another VM.
pub(crate) struct Datagram {
    /// Sender.
    pub(crate) from: SocketAddr,
    /// Encoded message.
    pub(crate) bytes: Vec<u8>,
}

impl Message<Datagram> for Fleet {
    type Reply = ();

    async fn handle(&mut self, message: Datagram, _: &mut MessageContext<Self, ()>) {
        let now = self.clock.now();
        match self.membership.on_datagram(now, message.from, &message.bytes) {
            Ok(actions) => self.apply_membership(now, actions),
            Err(error) => {
                log::debug!("event=datagram_invalid from={} error={error:?}", message.from);
            }
        }
    }
}

impl Message<VmListReceived> for Fleet {
    type Reply = ();

    async fn handle(&mut self, message: VmListReceived, _: &mut MessageContext<Self, ()>) {
        let now = self.clock.now();
        let me = &self.me.name;
        let others = message.0.vms.iter().filter(|vm| vm.name != *me).count();
        self.sync.on_listed_vms(others + 1);
        let actions = self.membership.on_vm_list(now, &message.0);
        self.apply_membership(now, actions);
        self.update_ownership(now);
        // The list may add members without any state change.
        self.publish();
    }
}

impl Message<SetCutOff> for Fleet {
    type Reply = ();

    async fn handle(&mut self, message: SetCutOff, _: &mut MessageContext<Self, ()>) {
        let now = self.clock.now();
        self.ownership.set_cut_off(message.0);
        let actions = self.membership.set_cut_off(now, message.0);
        self.apply_membership(now, actions);
        self.update_ownership(now);
        self.publish();
    }
}

/// Sets the seed addresses of the membership.
pub(crate) struct SetSeeds(pub(crate) Vec<SocketAddr>);

impl Message<SetSeeds> for Fleet {
    type Reply = ();

    async fn handle(&mut self, message: SetSeeds, _: &mut MessageContext<Self, ()>) {
        self.membership.set_seeds(message.0);
    }
}

impl Fleet {
    fn on_tick(&mut self, now: Time) {
        let actions = self.membership.on_tick(now);
        self.apply_membership(now, actions);
        let actions = self.sync.on_tick(now, self.membership.members());
        self.apply_config(now, actions);
        self.renew_lease(now);
        self.config_log.on_tick(now, &self.sync);
        if now.since(self.ownership_updated) >= OWNERSHIP_UPDATE_INTERVAL {
            self.update_ownership(now);
        }
        if now.since(self.last_pool_cleanup) >= POOL_CLEANUP_INTERVAL {
            self.last_pool_cleanup = now;
            self.endpoints.close_expired();
            self.peers.close_expired();
        }
    }

    fn apply_membership(&mut self, now: Time, actions: Vec<MembershipAction>) {
        let (mut changed, mut reported) = (false, false);
        for action in actions {
            match action {
                MembershipAction::Send { to, bytes } => {
                    let locality = self.view.borrow().locality(to);
                    let label = (Topic::Membership, locality);
                    udp::send(&self.socket, to, &bytes, &self.traffic, label);
                }
                MembershipAction::StateChanged { vm } => {
                    self.log_member(&vm);
                    changed = true;
                }
                MembershipAction::ConfigVersion { vm, version } => {
                    reported = true;
                    self.on_peer_version(now, &vm, version);
                }
            }
        }
        if changed {
            self.update_ownership(now);
        }
        if changed || reported {
            self.publish();
        }
        self.check_superseded();
    }

    /// Stops the daemon when a newer one runs under this VM's name: other VMs
    /// ignore this one, so that its ownership and its answers are outdated.
    fn check_superseded(&self) {
        let set_once = |superseded: &mut bool| {
            let first = self.membership.is_superseded() && !*superseded;
            *superseded |= first;
            first
        };
        if self.superseded.send_if_modified(set_once) {
            log::error!("event=superseded vm={}", self.me.name);
        }
    }

    fn log_member(&self, vm: &Name) {
        if let Some(member) = self.membership.member(vm) {
            log::info!("event=member_changed vm={vm} state={:?}", member.state);
        }
    }

    fn on_peer_version(&mut self, now: Time, vm: &Name, version: u64) {
        let Some(peer) = self.membership.member(vm).map(|member| member.vm.clone()) else { return };
        let actions = self.sync.on_peer_version(now, &peer, version);
        self.apply_config(now, actions);
    }

    fn apply_config(&mut self, now: Time, actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::Watch { after } => self.watch(after),
                ConfigAction::Read { after } => self.read_source(after, Duration::ZERO),
                ConfigAction::Pull { vm, request } => self.pull(vm, request),
                ConfigAction::Activate(config) => self.activate(now, config),
                ConfigAction::Rejected(error) => {
                    self.metrics.count(Event::ConfigRejected);
                    log::error!("event=config_rejected error={:?}", error.to_string());
                }
                ConfigAction::Stale { offered } => {
                    log::warn!(
                        "event=config_stale offered={offered} in_force={:?}",
                        self.sync.version()
                    );
                }
            }
        }
    }

    fn replace_watch(&mut self, watch: JoinHandle<()>) {
        // The late response of a replaced watch must not be taken for the new one's.
        if let Some(older) = self.waiting_watch.replace(watch.abort_handle()) {
            older.abort();
        }
    }

    fn activate(&mut self, now: Time, config: Arc<Config>) {
        self.config_log.on_activate(&config);
        self.membership.set_config_version(config.version);
        self.source.on_active_config(&config);
        for (_, shard) in self.shards.running() {
            // A shard whose actor has stopped restarts with this configuration.
            let _ = shard.tell(NewConfig(Arc::clone(&config))).try_send();
        }
        self.caller_limits.send_if_modified(|limits| {
            limits.replace(config.caller_limits) != Some(config.caller_limits)
        });
        let version = config.version;
        self.active = Some(Arc::new(ActiveConfig::new(config)));
        self.update_ownership(now);
        // A request that finds a lease must not find an older configuration after it.
        self.lease.on_active(version);
        self.retire_shards();
        self.renew_lease(now);
    }

    /// Stops the shards that the configuration no longer contains.
    fn retire_shards(&self) {
        let Some(active) = &self.active else { return };
        let exists = |shard: &pistachiotrack_core::ownership::ShardId| {
            active.service(&shard.service).is_some_and(|service| shard.index < shard_count(service))
        };
        for (id, shard) in self.shards.running() {
            if !exists(&id) {
                let _ = shard.tell(Retire).try_send();
            }
        }
        self.shards.retain(exists);
    }

    fn update_ownership(&mut self, now: Time) {
        self.ownership_updated = now;
        self.ownership.set_alive_since(self.membership.alive_since());
        if let Some(active) = &self.active {
            let config = Arc::clone(&active.config);
            let changes = self.ownership.update(now, &config, self.membership.members());
            let revision = Some(self.ownership.revision());
            if self.published_revision != revision {
                self.published_revision = revision;
                self.publish();
            }
            for change in changes {
                self.apply_ownership(&config, change);
            }
        }
    }

    fn apply_ownership(&self, config: &Arc<Config>, change: OwnershipChange) {
        match change {
            OwnershipChange::Gained(shard) => {
                log::info!("event=shard_gained shard={}", shard_name(&shard));
                self.shards.become_owner(&shard, config);
            }
            OwnershipChange::Lost { shard, to } => {
                log::info!("event=shard_lost shard={} to={to}", shard_name(&shard));
                let to = self.membership.member(&to).map(|member| member.vm.clone());
                let mode = ShardMode::without_ownership(config.service(&shard.service));
                self.shards.release_ownership(&shard, to, mode);
            }
        }
    }

    fn publish(&self) {
        let members = self.membership.members().cloned().collect();
        let (active, ownership) = (self.active.clone(), self.ownership.clone());
        let visible_fleet = self.membership.visible_fleet();
        let data_centre = &self.me.data_centre;
        let view = FleetView::new(active, ownership, members, visible_fleet, data_centre);
        self.view.send_replace(Arc::new(view));
    }
}
