//! What all parts of the daemon share.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use pistachiotrack_core::{name::Name, request::RequestId, vm::Vm};
use tokio::sync::watch;

use crate::{
    clock::Clock, connection_pool::ConnectionPool, dialect::Dialect, forward_record::ForwardRecord,
    histogram::Histograms, metrics::Metrics, quarantine::QuarantineGate, settings::Settings,
    shard_table::ShardTable, source::ConfigSource, timer::PauseGate, traffic::Traffic,
    view::FleetView,
};

/// State of the daemon's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifecycleState {
    /// There is no configuration yet.
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

/// What all parts of the daemon share.
#[derive(Debug)]
pub(crate) struct Context {
    /// How callers and endpoints speak.
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Settings of this VM.
    pub(crate) settings: Settings,
    /// This VM.
    pub(crate) me: Vm,
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Gate that shuts after a pause.
    pub(crate) gate: PauseGate,
    /// The fleet and the configuration.
    pub(crate) view: watch::Receiver<Arc<FleetView>>,
    /// Whether the daemon is stopping.
    pub(crate) leaving: watch::Receiver<bool>,
    /// Shards that this VM works on.
    pub(crate) shards: ShardTable,
    /// Connections to endpoints.
    pub(crate) endpoints: Arc<ConnectionPool>,
    /// Connections to other VMs.
    pub(crate) peers: Arc<ConnectionPool>,
    /// What is known of the requests sent on.
    pub(crate) forwards: ForwardRecord,
    /// Requests that are held back because endpoints end under them.
    pub(crate) quarantine: Arc<QuarantineGate>,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// What this VM says to and hears from others.
    pub(crate) traffic: Arc<Traffic>,
    /// Time for which a request waits before it is sent to an endpoint for the first time.
    pub(crate) queue_latency: Histograms,
    /// Where configurations come from; the platform's own service where it is missing.
    pub(crate) source: Option<Arc<dyn ConfigSource>>,
    /// Time from a request's arrival to its answer's head.
    pub(crate) total_latency: Histograms,
    /// The part of that time which no endpoint had a hand in.
    pub(crate) added_latency: Histograms,
    /// Number of the next request.
    pub(crate) next_request: AtomicU64,
}

impl Context {
    /// Returns the present snapshot of the fleet.
    pub(crate) fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the number of a new request.
    pub(crate) fn next_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the identity under which a request is known in the whole fleet.
    pub(crate) fn fleet_id(&self, request: RequestId) -> Name {
        Name::from(format!("{}-{:x}-{:x}", self.me.name, self.me.incarnation, request.0))
    }

    /// Returns the state of the life cycle.
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
