//! The daemon's life cycle: start, serve, stop gracefully.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use kameo::{
    actor::{ActorRef, Spawn},
    mailbox,
};
use pistachiotrack_core::{
    ownership::{Ownership, OwnershipSettings},
    vm::Vm,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::watch,
};
use tokio_util::task::TaskTracker;

use crate::{
    admin,
    clock::Clock,
    connection::Connector,
    connection_pool::ConnectionPool,
    context::Context,
    control_traffic::ControlTraffic,
    fleet::{Fleet, FleetArgs, Leave, TICK_INTERVAL},
    forward_record::ForwardRecord,
    histogram::Histograms,
    listener::Listener,
    metrics::Metrics,
    path_check::PathCheck,
    peer_service, proxy,
    settings::Settings,
    shard_table::ShardTable,
    timer::{PauseGate, SubscribeSlowly, TimerArgs, TimerService},
    udp,
    view::FleetView,
};

/// Connections to the admin port that are open at the same time.
const ADMIN_CONNECTIONS: usize = 32;

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

/// Time for which a stopping daemon serves on after the last answer that names
/// it may have run out, since the others hear of its leaving a little later.
const ENTRY_MARGIN: Duration = Duration::from_secs(2);

/// A daemon that serves.
pub struct Daemon {
    context: Arc<Context>,
    fleet: ActorRef<Fleet>,
    leaving: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    connections: TaskTracker,
    superseded: watch::Receiver<bool>,
    admin_address: SocketAddr,
}

/// A daemon that serves on while callers may still hold its address; the other
/// VMs know that it stops.
#[must_use]
pub struct LeavingDaemon(Daemon);

/// A daemon that takes no further request and finishes those in flight.
#[must_use]
pub struct StoppingDaemon(Daemon);

struct Sockets {
    caller: TcpListener,
    peer: TcpListener,
    membership: UdpSocket,
    admin: TcpListener,
}

impl Daemon {
    /// Binds the addresses of the settings and starts all parts.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(settings: Settings) -> Result<Daemon, StartError> {
        let sockets = Sockets::bind(&settings).await?;
        let metrics = Metrics::new(settings.statsd_address)?;
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
        let (view_sender, view) = watch::channel(Arc::new(FleetView {
            active: None,
            ownership: Ownership::new(me.clone(), OwnershipSettings::default()),
            members: Vec::new(),
        }));
        let (leaving_sender, leaving) = watch::channel(false);
        let (stopping_sender, stopping) = watch::channel(false);
        let (superseded_sender, superseded) = watch::channel(false);
        let traffic = Arc::new(ControlTraffic::default());
        let path_check = PathCheck::new(me.clone(), view.clone());
        let shards = ShardTable::new(
            clock,
            Arc::clone(&endpoints),
            timer.clone(),
            path_check,
            Duration::from_millis(settings.limits.careful_idle_ms),
            seed,
        );
        let context = Arc::new(Context {
            me,
            clock,
            gate,
            view,
            leaving,
            shards,
            endpoints,
            peers: Arc::new(ConnectionPool::new(Connector { source: peer_source, ..connector })),
            forwards: ForwardRecord::new(clock.now()),
            metrics,
            traffic: Arc::clone(&traffic),
            total: Histograms::default(),
            added: Histograms::default(),
            next_request: AtomicU64::new(1),
            settings,
        });
        let socket = Arc::new(sockets.membership);
        let fleet_args = FleetArgs {
            context: Arc::clone(&context),
            view: view_sender,
            socket: Arc::clone(&socket),
            superseded: superseded_sender,
            seed,
        };
        let fleet = Fleet::spawn_with_mailbox(fleet_args, mailbox::unbounded());
        // The timer service has just been started.
        let _ = timer
            .tell(SubscribeSlowly { recipient: fleet.clone().recipient(), interval: TICK_INTERVAL })
            .try_send();
        tokio::spawn(udp::receive(socket, fleet.clone(), traffic));
        let admin_address = local_address("admin_address", &sockets.admin)?;
        let connections = TaskTracker::new();
        let daemon = Daemon {
            context,
            fleet,
            leaving: leaving_sender,
            stopping: stopping_sender,
            connections,
            superseded,
            admin_address,
        };
        daemon.listen(sockets.caller, sockets.peer, sockets.admin, stopping);
        log::info!(
            "event=started vm={} caller_address={} peer_address={} admin_address={admin_address}",
            daemon.context.me.name,
            daemon.caller_address(),
            daemon.peer_address()
        );
        Ok(daemon)
    }

    fn listen(
        &self,
        caller: TcpListener,
        peer: TcpListener,
        admin: TcpListener,
        stopping: watch::Receiver<bool>,
    ) {
        let limits = &self.context.settings.limits;
        let listener = |socket, max_connections| Listener {
            socket,
            max_connections,
            stopping: stopping.clone(),
            connections: self.connections.clone(),
        };
        let callers = listener(caller, limits.caller_connections);
        tokio::spawn(callers.serve(Arc::clone(&self.context), proxy::handle_caller));
        let peers = listener(peer, limits.peer_connections);
        let fleet = self.fleet.clone();
        let handler = move |context, request| peer_service::handle(context, fleet.clone(), request);
        tokio::spawn(peers.serve(Arc::clone(&self.context), handler));
        let operators = listener(admin, ADMIN_CONNECTIONS);
        let fleet = self.fleet.clone();
        let handler = move |context, request| admin::handle(context, fleet.clone(), request);
        tokio::spawn(operators.serve(Arc::clone(&self.context), handler));
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

    /// Cuts or restores this VM's own path to an endpoint, as a firewall that
    /// refuses its connections would; for tests.
    #[doc(hidden)]
    pub fn set_path_cut(&self, endpoint: SocketAddr, is_cut: bool) {
        self.context.endpoints.set_cut(endpoint, is_cut);
    }

    /// Serves until the process is asked to stop, or a newer daemon runs under
    /// this VM's name, then stops gracefully.
    ///
    /// Further signals change nothing: a second one, sent by an impatient
    /// supervisor, must not cut off the requests that the first one lets finish.
    ///
    /// # Errors
    ///
    /// Returns an error if the process's signals can't be received.
    pub async fn run_until_signal(mut self) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            // The fleet actor, which holds the sender, stops only with the process.
            _ = self.superseded.wait_for(|superseded| *superseded) => {}
        }
        self.stop().await;
        Ok(())
    }

    /// Stops gracefully: serves on while callers may still hold this VM's
    /// address, then takes no further request and finishes those in flight.
    pub async fn stop(self) {
        self.leave().drain().await.finish().await;
    }

    /// Tells the other VMs that this one stops, and hands its shards over.
    pub fn leave(self) -> LeavingDaemon {
        self.leaving.send_replace(true);
        // The fleet actor stops only with the process.
        let _ = self.fleet.tell(Leave).try_send();
        LeavingDaemon(self)
    }

    /// Returns for how long answers that name this VM may still be used.
    fn entry_drain(&self) -> Duration {
        let least = Duration::from_millis(self.context.settings.entry_drain_ms);
        let Some(active) = &self.context.view().active else { return least };
        least.max(Duration::from_millis(active.config.entry_lifetime_ms) + ENTRY_MARGIN)
    }
}

impl LeavingDaemon {
    /// Serves until the last answer that names this VM has run out, then takes
    /// no further connection.
    pub async fn drain(self) -> StoppingDaemon {
        let entry_drain = self.0.entry_drain();
        log::info!("event=leaving entry_drain_ms={}", entry_drain.as_millis());
        tokio::time::sleep(entry_drain).await;
        self.0.stopping.send_replace(true);
        self.0.connections.close();
        StoppingDaemon(self.0)
    }
}

impl StoppingDaemon {
    /// Waits for the requests in flight, up to the limit of the settings.
    pub async fn finish(self) {
        let Daemon { context, connections, .. } = self.0;
        let limit = Duration::from_millis(context.settings.limits.shutdown_ms);
        match tokio::time::timeout(limit, connections.wait()).await {
            Ok(()) => log::info!("event=stopped"),
            Err(_) => log::error!("event=stopped connections_cut={}", connections.len()),
        }
    }
}

impl Sockets {
    async fn bind(settings: &Settings) -> Result<Sockets, StartError> {
        let caller = bind("caller_address", settings.caller_address).await?;
        let peer = bind("peer_address", settings.peer_address).await?;
        let peer_address = local_address("peer_address", &peer)?;
        let membership = UdpSocket::bind(peer_address).await.map_err(|source| {
            StartError::Bind { field: "peer_address", address: peer_address, source }
        })?;
        let admin = bind("admin_address", settings.admin_address).await?;
        Ok(Sockets { caller, peer, membership, admin })
    }

    fn vm(&self, settings: &Settings) -> Vm {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Vm {
            name: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: started.as_millis() as u64,
            caller_address: self.caller.local_addr().unwrap_or(settings.caller_address),
            peer_address: settings
                .advertised_peer_address
                .unwrap_or_else(|| self.peer.local_addr().unwrap_or(settings.peer_address)),
        }
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Bind { field, address, source })
}

fn local_address(field: &'static str, socket: &TcpListener) -> Result<SocketAddr, StartError> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    socket.local_addr().map_err(|source| StartError::Bind { field, address: unknown, source })
}
