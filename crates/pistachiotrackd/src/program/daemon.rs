//! The daemon's lifecycle: startup, serving and graceful shutdown.

mod listeners;
mod sockets;
mod stop;

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use kameo::{
    actor::{ActorRef, Recipient, Spawn},
    mailbox,
};
use pistachiotrack_core::{
    membership::VisibleFleet,
    ownership::{Ownership, OwnershipSettings},
    stop::StopSchedule,
};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use self::sockets::{Sockets, local_address, optional_address};
pub use self::stop::{LeavingDaemon, StoppingDaemon};
use crate::{
    config::{
        settings::{Settings, SettingsFile},
        source::ConfigSource,
        view::FleetView,
    },
    connections::{connection::Connector, connection_pool::ConnectionPool},
    formats::{
        dialect::{Dialect, NativeDialect},
        lease_times::LeaseTimes,
        reach_view::ReachView,
    },
    membership::{
        datagram_router::{self, DatagramHandlers},
        fleet::{Fleet, FleetArgs, SetSeeds, TICK_INTERVAL},
        reach_monitor::{ReachMonitor, ReachMonitorArgs},
    },
    peers::{
        customer_limits::{CustomerLimits, REPORT_INTERVAL, UsageReporter},
        endpoint_notices::NoticeTable,
        path_check::PathCheck,
        quarantine::{QuarantineGossip, QuarantineManager, QuarantineTransport},
        shard_update_link::ShardUpdateLink,
    },
    program::signals::Signals,
    request::{
        attempt::AttemptHandle, body::BodyTimeouts, crash_check::CrashCheck, forward::Forwarder,
        in_flight::InFlightTable, relay_client::RelayClient, request_task::RequestHandle,
        stop_monitor::StopMonitor, transfer_table::TransferTable,
    },
    runtime::{
        clock::Clock,
        timer::{PauseGate, SubscribeWithInterval, TimerArgs, TimerEvent, TimerService},
    },
    serving::context::Context,
    shards::shard_table::{ShardTable, ShardTableArgs},
    stats::{
        forward_stats::ForwardStats, histogram::Histograms, metrics::Metrics, traffic::Traffic,
        work_times::WorkTimes,
    },
};

/// Why the daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address of the settings can't be bound.
    #[error("{field}: bind {address}: {source}")]
    Bind {
        /// Field of the settings.
        field: &'static str,
        /// Address that it holds.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// Metrics can't be sent.
    #[error("statsd_address: {0}")]
    Metrics(#[from] cadence::MetricError),
}

/// Integration of the daemon with its environment.
#[derive(Clone, Debug)]
pub struct Adapter {
    /// Protocol of callers and endpoints.
    pub dialect: Arc<dyn Dialect>,
    /// Source of configurations; the platform's configuration service if
    /// `None`.
    pub source: Option<Arc<dyn ConfigSource>>,
}

impl Default for Adapter {
    fn default() -> Adapter {
        Adapter { dialect: Arc::new(NativeDialect), source: None }
    }
}

/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A running daemon.
pub struct Daemon {
    context: Arc<Context>,
    fleet: ActorRef<Fleet>,
    schedule: watch::Sender<Option<StopSchedule>>,
    stopping: watch::Sender<bool>,
    grace_over: watch::Sender<bool>,
    /// Time that the process has for a stop, as in the latest settings.
    stop_grace_s: f64,
    connections: TaskTracker,
    superseded: watch::Receiver<bool>,
    admin_address: SocketAddr,
    readiness_address: Option<SocketAddr>,
    directory_address: Option<SocketAddr>,
}

impl Daemon {
    /// Binds the addresses in the settings and starts all components.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(settings: Settings) -> Result<Daemon, StartError> {
        Daemon::start_with(settings, Adapter::default()).await
    }

    /// Like [`Daemon::start`], with a custom adapter.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start_with(settings: Settings, adapter: Adapter) -> Result<Daemon, StartError> {
        let sockets = Sockets::bind(&settings).await?;
        let metrics = Arc::new(Metrics::new(settings.statsd_address)?);
        let clock = Clock::start();
        let threshold = Duration::from_millis(settings.limits.pause_threshold_ms);
        let gate = PauseGate::new(clock.now(), threshold);
        let timer_args = TimerArgs { clock, gate: gate.clone() };
        let timer = TimerService::spawn_with_mailbox(timer_args, mailbox::unbounded());
        let me = sockets.vm(&settings);
        let peer_source = Some(settings.peer_address.ip());
        let seed = me.incarnation ^ u64::from(me.peer_address.port()) << 48;
        let limits = Arc::new(settings.limits.clone());
        let connector = Connector { clock, gate: gate.clone(), limits, source: None };
        let endpoints = Arc::new(ConnectionPool::new(connector.clone()));
        let ownership = Ownership::new(me.clone(), OwnershipSettings::default());
        let first_view =
            FleetView::new(None, ownership, Vec::new(), VisibleFleet::default(), &me.data_centre);
        let (view_sender, view) = watch::channel(Arc::new(first_view));
        let (reach_sender, reach) = watch::channel(ReachView::default());
        let (lease_sender, lease) = watch::channel(LeaseTimes::default());
        let (caller_limits_sender, caller_limits) = watch::channel(None);
        let (schedule_sender, schedule) = watch::channel(None);
        let (grace_over_sender, grace_over) = watch::channel(false);
        let (stopping_sender, stopping) = watch::channel(false);
        let (superseded_sender, superseded) = watch::channel(false);
        let traffic = Arc::new(Traffic::default());
        let path_check = PathCheck::new(me.clone(), view.clone());
        let socket = Arc::new(sockets.membership);
        let update_link = Arc::new(ShardUpdateLink::new(
            me.clone(),
            &settings.deployment,
            clock,
            Arc::clone(&socket),
            view.clone(),
            reach.clone(),
            Arc::clone(&traffic),
        ));
        let quarantine = Arc::new(QuarantineManager::new(
            clock,
            settings.quarantine.clone(),
            QuarantineTransport::new(
                &me,
                &settings.deployment,
                Arc::clone(&socket),
                view.clone(),
                Arc::clone(&traffic),
            ),
            seed,
        ));
        let customer_limits = Arc::new(CustomerLimits::new(
            me.clone(),
            &settings.deployment,
            settings.customer_limit.clone(),
            clock,
            Arc::clone(&socket),
            view.clone(),
            Arc::clone(&traffic),
        ));
        let notices = Arc::new(NoticeTable::new(clock));
        let shards = Arc::new(ShardTable::new(ShardTableArgs {
            clock,
            notices: Arc::clone(&notices),
            endpoints: Arc::clone(&endpoints),
            timer: timer.clone(),
            path_check: path_check.clone(),
            update_link: Arc::clone(&update_link),
            dialect: Arc::clone(&adapter.dialect),
            non_owner_idle: Duration::from_millis(settings.limits.careful_idle_ms),
            seed,
            data_centre: me.data_centre.clone(),
            feature_flags: settings.feature_flags,
            first_start: settings.first_start,
            started_at: clock.now(),
        }));
        let peers = Arc::new(ConnectionPool::new(Connector { source: peer_source, ..connector }));
        let forwards = Arc::new(ForwardStats::new(clock.now()));
        let queue_latency = Arc::new(Histograms::default());
        let body_timeouts = BodyTimeouts::from(&settings.limits);
        let refusal_overrun = Duration::from_millis(settings.limits.refusal_overrun_ms);
        let in_flight = Arc::new(InFlightTable::new(clock));
        let stop = StopMonitor {
            clock,
            schedule,
            grace_over,
            overrun: body_timeouts.overrun,
            work_times: Arc::new(WorkTimes::new(clock)),
        };
        let forwarder = Forwarder {
            me: me.clone(),
            clock,
            peers: Arc::clone(&peers),
            forwards: Arc::clone(&forwards),
            notices: Arc::clone(&notices),
            in_flight: Arc::clone(&in_flight),
            metrics: Arc::clone(&metrics),
            traffic: Arc::clone(&traffic),
            body_timeouts,
            refusal_overrun,
        };
        let relays = RelayClient {
            me: me.name.clone(),
            clock,
            view: view.clone(),
            peers: Arc::clone(&peers),
        };
        let attempts = AttemptHandle {
            clock,
            dialect: Arc::clone(&adapter.dialect),
            notices: Arc::clone(&notices),
            endpoints: Arc::clone(&endpoints),
            relays,
        };
        let crash_check = CrashCheck {
            endpoints: Arc::clone(&endpoints),
            reach: reach.clone(),
            quarantine: Arc::clone(&quarantine),
            metrics: Arc::clone(&metrics),
        };
        let requests = RequestHandle {
            me: me.clone(),
            clock,
            dialect: Arc::clone(&adapter.dialect),
            view: view.clone(),
            quarantine: Arc::clone(&quarantine),
            in_flight: Arc::clone(&in_flight),
            stop: stop.clone(),
            metrics: Arc::clone(&metrics),
            traffic: Arc::clone(&traffic),
            queue_latency: Arc::clone(&queue_latency),
            body_timeouts,
            refusal_overrun,
            attempts: Arc::new(attempts),
            crash_check: Arc::new(crash_check),
        };
        let transfers = Arc::new(TransferTable::new(clock, Arc::clone(&metrics)));
        let context = Arc::new(Context {
            me,
            clock,
            gate,
            view,
            reach,
            lease,
            caller_limits,
            stop,
            shards,
            notices,
            endpoints,
            in_flight,
            forwarder,
            transfers,
            forwards,
            requests: Arc::new(requests),
            quarantine: Arc::clone(&quarantine),
            customer_limits: Arc::clone(&customer_limits),
            metrics,
            traffic: Arc::clone(&traffic),
            queue_latency,
            source: adapter.source,
            total_latency: Histograms::default(),
            added_latency: Histograms::default(),
            next_request: AtomicU64::new(1),
            dialect: adapter.dialect,
            settings,
        });
        let fleet_args = FleetArgs {
            me: context.me.clone(),
            clock,
            settings: context.settings.clone(),
            source: context.source.clone(),
            shards: Arc::clone(&context.shards),
            endpoints: Arc::clone(&context.endpoints),
            peers,
            metrics: Arc::clone(&context.metrics),
            traffic: Arc::clone(&traffic),
            view: view_sender,
            lease: lease_sender,
            caller_limits: caller_limits_sender,
            socket: Arc::clone(&socket),
            superseded: superseded_sender,
            seed,
        };
        let fleet = Fleet::spawn_with_mailbox(fleet_args, mailbox::unbounded());
        subscribe(&timer, fleet.clone().recipient(), TICK_INTERVAL);
        let monitor_args = ReachMonitorArgs {
            clock,
            fleet_view: context.view.clone(),
            endpoints: Arc::clone(&context.endpoints),
            shards: Arc::clone(&context.shards),
            fleet: fleet.clone().recipient(),
            path_check,
            view: reach_sender,
            seed,
        };
        let monitor = ReachMonitor::spawn_with_mailbox(monitor_args, mailbox::unbounded());
        context.endpoints.set_observer(monitor.clone().recipient());
        subscribe(&timer, monitor.recipient(), TICK_INTERVAL);
        let interval = Duration::from_millis(context.settings.quarantine.round_ms);
        let rounds = QuarantineGossip::spawn_with_mailbox(
            QuarantineGossip(quarantine),
            mailbox::unbounded(),
        );
        subscribe(&timer, rounds.recipient(), interval);
        let reporter =
            UsageReporter::spawn_with_mailbox(UsageReporter(customer_limits), mailbox::unbounded());
        subscribe(&timer, reporter.recipient(), REPORT_INTERVAL);
        let handlers = DatagramHandlers {
            fleet: fleet.clone(),
            shards: Arc::clone(&context.shards),
            link: update_link,
            quarantine: Arc::clone(&context.quarantine),
            customer_limits: Arc::clone(&context.customer_limits),
            view: context.view.clone(),
            metrics: Arc::clone(&context.metrics),
            traffic: Arc::clone(&context.traffic),
        };
        tokio::spawn(datagram_router::receive(socket, handlers));
        let admin_address = local_address("admin_address", &sockets.admin)?;
        let readiness_address = optional_address("readiness_address", &sockets.readiness)?;
        let directory_address = optional_address("directory_address", &sockets.directory)?;
        let connections = TaskTracker::new();
        let stop_grace_s = context.settings.stop_grace_s;
        let daemon = Daemon {
            context,
            fleet,
            schedule: schedule_sender,
            stopping: stopping_sender,
            grace_over: grace_over_sender,
            stop_grace_s,
            connections,
            superseded,
            admin_address,
            readiness_address,
            directory_address,
        };
        daemon.spawn_platform_listeners(sockets.readiness, sockets.directory, &stopping);
        daemon.spawn_listeners(sockets.caller, sockets.peer, sockets.admin, &stopping);
        log::info!(
            "event=started vm={} first_start={} caller_address={} peer_address={} \
             admin_address={admin_address}",
            daemon.context.me.name,
            daemon.context.settings.first_start,
            daemon.caller_address(),
            daemon.peer_address()
        );
        Ok(daemon)
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.context.me.caller_address
    }

    /// Returns the address that other VMs use.
    pub fn peer_address(&self) -> SocketAddr {
        self.context.me.peer_address
    }

    /// Returns the address of the admin port.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the address of the readiness check, if it is set.
    pub fn readiness_address(&self) -> Option<SocketAddr> {
        self.readiness_address
    }

    /// Returns the address at which callers query entry addresses, if it is set.
    pub fn directory_address(&self) -> Option<SocketAddr> {
        self.directory_address
    }

    /// Blocks or unblocks direct connections from this VM to an endpoint, as a
    /// firewall that rejects them would; for tests.
    #[doc(hidden)]
    pub fn set_path_blocked(&self, endpoint: SocketAddr, is_blocked: bool) {
        self.context.endpoints.set_blocked(endpoint, is_blocked);
    }

    /// Serves until the process receives SIGTERM or SIGINT, or a newer daemon
    /// runs under this VM's name, then stops gracefully.
    ///
    /// Further signals are ignored: a repeated signal of a supervisor must not
    /// interrupt requests that the graceful shutdown lets finish.
    ///
    /// # Errors
    ///
    /// Returns an error if the process's signals can't be received.
    pub async fn run_until_signal(self) -> io::Result<()> {
        self.run(Signals::receive()?, None).await;
        Ok(())
    }

    /// Like [`Daemon::run_until_signal`], and reloads the settings in `file` on
    /// SIGHUP, and periodically since they may change without a signal.
    pub(crate) async fn run_with_settings_file(self, signals: Signals, file: &Path) {
        self.run(signals, Some(SettingsFile::new(file))).await;
    }

    async fn run(mut self, signals: Signals, mut file: Option<SettingsFile>) {
        let Signals { mut terminate, mut interrupt, mut hang_up } = signals;
        let mut check = tokio::time::interval(SETTINGS_CHECK_INTERVAL);
        let mut superseded = self.superseded.clone();
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                // The fleet actor, which holds the sender, stops only with the process.
                _ = superseded.wait_for(|superseded| *superseded) => break,
                _ = hang_up.recv() => self.reload(&mut file, true),
                _ = check.tick() => self.reload(&mut file, false),
            }
        }
        self.stop().await;
    }

    /// Applies the settings that can change at runtime; invalid settings are
    /// logged and the current ones stay active.
    fn reload(&mut self, file: &mut Option<SettingsFile>, is_requested: bool) {
        let Some(file) = file else { return };
        match file.read_if_changed() {
            Ok(Some(settings)) => {
                log::info!("event=settings_changed asked={is_requested}");
                self.stop_grace_s = settings.stop_grace_s;
                let seeds = settings.seeds(self.peer_address().port());
                // The fleet actor stops only with the process.
                let _ = self.fleet.tell(SetSeeds(seeds)).try_send();
            }
            Ok(None) if is_requested => log::info!("event=settings_unchanged"),
            Ok(None) => {}
            Err(error) => log::error!("event=settings_refused error={:?}", error.to_string()),
        }
    }
}

/// Sends ticks to an actor at an interval.
fn subscribe(timer: &ActorRef<TimerService>, recipient: Recipient<TimerEvent>, interval: Duration) {
    // Can't fail: the timer service has just been started.
    let _ = timer.tell(SubscribeWithInterval { recipient, interval }).try_send();
}
