//! State shared by all parts of the daemon.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use pistachiotrack_core::{
    authentication::KeyPolicy, caller_limits::CallerLimits, config::Config, name::Name,
    reachability::EndpointReach, request::RequestId, vm::Vm,
};
use tokio::sync::watch;

use crate::{
    config::{settings::Settings, source::ConfigSource, view::FleetView},
    connections::connection_pool::ConnectionPool,
    formats::{dialect::Dialect, lease_times::LeaseTimes, reach_view::ReachView},
    peers::{
        customer_limits::CustomerLimits, endpoint_notices::NoticeTable,
        quarantine::QuarantineManager,
    },
    request::{
        forward::Forwarder, in_flight::InFlightTable, request_task::RequestHandle,
        stop_monitor::StopMonitor, transfer_table::TransferTable,
    },
    runtime::{clock::Clock, timer::PauseGate},
    serving::connection_limits::{ConnectionLimits, Senders},
    shards::shard_table::ShardTable,
    stats::{
        forward_stats::ForwardStats, histogram::Histograms, metrics::Metrics, traffic::Traffic,
    },
};

/// State of the daemon's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifecycleState {
    /// No configuration has been received yet.
    Starting,
    /// Only requests that need no API key are served, until the configuration is confirmed to
    /// be the newest one.
    Unconfirmed,
    /// Requests are served.
    Serving,
    /// The daemon is stopping.
    Leaving,
}

impl LifecycleState {
    /// Returns the name shown at the admin port.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            LifecycleState::Starting => "starting",
            LifecycleState::Unconfirmed => "unconfirmed",
            LifecycleState::Serving => "serving",
            LifecycleState::Leaving => "leaving",
        }
    }
}

/// State shared by all parts of the daemon.
#[derive(Debug)]
pub(crate) struct Context {
    /// Protocol of callers and endpoints.
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Settings of this VM.
    pub(crate) settings: Settings,
    /// The local VM.
    pub(crate) me: Vm,
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Gate that is closed after a pause of the process until the timer has handled it.
    pub(crate) gate: PauseGate,
    /// Latest snapshot of the fleet and the configuration.
    pub(crate) view: watch::Receiver<Arc<FleetView>>,
    /// Whether this VM reaches endpoints.
    pub(crate) reach: watch::Receiver<ReachView>,
    /// Lease on the configuration.
    pub(crate) lease: watch::Receiver<LeaseTimes>,
    /// What callers may send; `None` before the first configuration.
    pub(crate) caller_limits: watch::Receiver<Option<CallerLimits>>,
    /// The stop of this VM.
    pub(crate) stop: StopMonitor,
    /// Shards that this VM dispatches for.
    pub(crate) shards: Arc<ShardTable>,
    /// What endpoints ask of this VM.
    pub(crate) notices: Arc<NoticeTable>,
    /// Connections to endpoints.
    pub(crate) endpoints: Arc<ConnectionPool>,
    /// Requests that are being served.
    pub(crate) in_flight: Arc<InFlightTable>,
    /// Forwards requests to other VMs.
    pub(crate) forwarder: Forwarder,
    /// Requests that other VMs have sent to this one.
    pub(crate) transfers: Arc<TransferTable>,
    /// Record of forwarded requests and their results.
    pub(crate) forwards: Arc<ForwardStats>,
    /// What the tasks of requests need.
    pub(crate) requests: Arc<RequestHandle>,
    /// Quarantine of requests that crash endpoints.
    pub(crate) quarantine: Arc<QuarantineManager>,
    /// Rate limits of customers.
    pub(crate) customer_limits: Arc<CustomerLimits>,
    /// Counters.
    pub(crate) metrics: Arc<Metrics>,
    /// Counts of sent and received messages.
    pub(crate) traffic: Arc<Traffic>,
    /// Time from a request's arrival to its first dispatch to an endpoint.
    pub(crate) queue_latency: Arc<Histograms>,
    /// Source of configurations; the platform's configuration service if `None`.
    pub(crate) source: Option<Arc<dyn ConfigSource>>,
    /// Time from a request's arrival to the head of its response.
    pub(crate) total_latency: Histograms,
    /// Part of that time that was not spent waiting for an endpoint.
    pub(crate) added_latency: Histograms,
    /// Identifier of the next request.
    pub(crate) next_request: AtomicU64,
}

impl Context {
    /// Returns the limits that are in force for the requests of `senders`.
    pub(crate) fn connection_limits(&self, senders: Senders) -> ConnectionLimits {
        let promised = self.caller_limits.borrow();
        ConnectionLimits::new(&self.settings.limits, promised.as_ref(), senders)
    }

    /// Returns the current snapshot of the fleet.
    pub(crate) fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns whether this VM reaches endpoints.
    pub(crate) fn reach(&self) -> EndpointReach {
        self.reach.borrow().reach
    }

    /// Returns the identifier of a new request, unique within the process.
    pub(crate) fn next_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the identifier of a request, unique within the fleet.
    pub(crate) fn fleet_id(&self, request: RequestId) -> Name {
        Name::from(format!("{}-{:x}-{:x}", self.me.name, self.me.incarnation, request.0))
    }

    /// Returns what API keys decide under `config`.
    pub(crate) fn key_policy(&self, config: &Config) -> KeyPolicy {
        KeyPolicy::new(config, self.settings.config_lease.max_age_s.is_some())
    }

    /// Returns whether this VM may decide on API keys: its configuration is known to have been
    /// the newest one recently enough.
    pub(crate) fn has_lease(&self) -> bool {
        let has_bound = self.settings.config_lease.max_age_s.is_some();
        !has_bound || self.lease.borrow().expires_at.is_some_and(|end| self.clock.now() < end)
    }

    /// Returns the time since the configuration is known to have been the newest one, if this VM
    /// has a lease.
    pub(crate) fn confirmed_age(&self) -> Option<Duration> {
        self.lease.borrow().confirmed_at.map(|at| self.clock.now().since(at))
    }

    /// Returns whether callers should use other VMs, since the lease of this one ends soon.
    pub(crate) fn withdraws(&self) -> bool {
        let is_keyed =
            self.view.borrow().active.as_ref().is_some_and(|it| it.config.api_keys_required);
        let has_bound = self.settings.config_lease.max_age_s.is_some();
        let is_due = || self.lease.borrow().withdraw_at.is_none_or(|at| self.clock.now() >= at);
        is_keyed && has_bound && is_due()
    }

    /// Returns the state of the lifecycle.
    pub(crate) fn lifecycle_state(&self) -> LifecycleState {
        if self.stop.has_begun() {
            return LifecycleState::Leaving;
        }
        match self.view.borrow().active {
            None => LifecycleState::Starting,
            Some(ref active) if active.config.api_keys_required && !self.has_lease() => {
                LifecycleState::Unconfirmed
            }
            Some(_) => LifecycleState::Serving,
        }
    }
}
