//! What all parts of the daemon share.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use pistachiotrack_core::{name::Name, request::RequestId, vm::Vm};
use tokio::sync::watch;

use crate::{
    clock::Clock, connection_pool::ConnectionPool, dialect::Dialect, forward_stats::ForwardStats,
    histogram::Histograms, metrics::Metrics, quarantine::QuarantineManager, settings::Settings,
    shard_table::ShardTable, source::Source, timer::PauseGate, traffic::Traffic, view::FleetView,
};

/// State of the daemon's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifeState {
    /// There is no configuration yet.
    Starting,
    /// Requests are served.
    Serving,
    /// The daemon is stopping.
    Leaving,
}

impl LifeState {
    /// Returns the name shown at the admin port.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            LifeState::Starting => "starting",
            LifeState::Serving => "serving",
            LifeState::Leaving => "leaving",
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
    pub(crate) forwards: ForwardStats,
    /// Requests that are held back because endpoints end under them.
    pub(crate) quarantine: Arc<QuarantineManager>,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// What this VM says to and hears from others.
    pub(crate) traffic: Arc<Traffic>,
    /// Time for which a request waits before it is sent to an endpoint for the first time.
    pub(crate) queued: Histograms,
    /// Where configurations come from; the platform's own service where it is missing.
    pub(crate) source: Option<Arc<dyn Source>>,
    /// Time from a request's arrival to its answer's head.
    pub(crate) total: Histograms,
    /// The part of that time which no endpoint had a hand in.
    pub(crate) added: Histograms,
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
    pub(crate) fn life_state(&self) -> LifeState {
        if *self.leaving.borrow() {
            return LifeState::Leaving;
        }
        match self.view.borrow().active {
            Some(_) => LifeState::Serving,
            None => LifeState::Starting,
        }
    }
}
