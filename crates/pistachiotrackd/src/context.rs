//! State shared by all parts of the daemon.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use pistachiotrack_core::{name::Name, request::RequestId, vm::Vm};
use tokio::sync::watch;

use crate::{
    clock::Clock, connection_pool::ConnectionPool, dialect::Dialect, forward_stats::ForwardStats,
    histogram::Histograms, metrics::Metrics, quarantine::QuarantineManager, settings::Settings,
    shard_table::ShardTable, source::ConfigSource, timer::PauseGate, traffic::Traffic,
    view::FleetView,
};

/// State of the daemon's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifecycleState {
    /// No configuration has been received yet.
    Starting,
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
    /// Whether the daemon is stopping.
    pub(crate) leaving: watch::Receiver<bool>,
    /// Shards that this VM dispatches for.
    pub(crate) shards: ShardTable,
    /// Connections to endpoints.
    pub(crate) endpoints: Arc<ConnectionPool>,
    /// Connections to other VMs.
    pub(crate) peers: Arc<ConnectionPool>,
    /// Record of forwarded requests and their results.
    pub(crate) forwards: ForwardStats,
    /// Quarantine of requests that crash endpoints.
    pub(crate) quarantine: Arc<QuarantineManager>,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// Counts of sent and received messages.
    pub(crate) traffic: Arc<Traffic>,
    /// Time from a request's arrival to its first dispatch to an endpoint.
    pub(crate) queue_latency: Histograms,
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
    /// Returns the current snapshot of the fleet.
    pub(crate) fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the identifier of a new request, unique within the process.
    pub(crate) fn next_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the identifier of a request, unique within the fleet.
    pub(crate) fn fleet_id(&self, request: RequestId) -> Name {
        Name::from(format!("{}-{:x}-{:x}", self.me.name, self.me.incarnation, request.0))
    }

    /// Returns the state of the lifecycle.
    pub(crate) fn lifecycle_state(&self) -> LifecycleState {
        if *self.leaving.borrow() {
            return LifecycleState::Leaving;
        }
        match self.view.borrow().active {
            Some(_) => LifecycleState::Serving,
            None => LifecycleState::Starting,
        }
    }
}
