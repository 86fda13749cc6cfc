//! Distinguishes the crash of an endpoint from the failure of a single connection.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pistachiotrack_core::{name::Name, request::BodyEnd};
use tokio::sync::watch;

use crate::{
    connections::connection_pool::{ConnectionPool, Listening},
    formats::{inbound::Inbound, reach_view::ReachView},
    peers::quarantine::QuarantineManager,
    stats::metrics::{Event, Metrics},
};

/// Time within which a VM that loses all its paths at once begins to doubt them.
const DOUBT_TIME: Duration = Duration::from_millis(100);
/// Time within which the doubt is usually settled.
const MAX_DOUBT_TIME: Duration = Duration::from_millis(600);

/// Checks whether endpoints have crashed, and reports those that have.
#[derive(Debug)]
pub(crate) struct CrashCheck {
    /// Connections to endpoints.
    pub(crate) endpoints: Arc<ConnectionPool>,
    /// Whether this VM reaches endpoints.
    pub(crate) reach: watch::Receiver<ReachView>,
    /// Quarantine of requests that crash endpoints.
    pub(crate) quarantine: Arc<QuarantineManager>,
    /// Counters.
    pub(crate) metrics: Arc<Metrics>,
}

/// A request being run by an endpoint that may crash.
#[derive(Debug)]
pub(crate) struct EndpointExecution {
    /// Checks whether the endpoint has crashed.
    pub(crate) check: Arc<CrashCheck>,
    /// The request.
    pub(crate) inbound: Arc<Inbound>,
    /// The endpoint.
    pub(crate) endpoint: Name,
    /// Its address, unless the request was sent through a relay.
    pub(crate) address: Option<SocketAddr>,
}

impl EndpointExecution {
    /// Checks after a broken connection whether the endpoint still accepts connections. If it
    /// doesn't, it has crashed while running the request.
    pub(crate) fn check_endpoint(self) {
        if let Some(address) = self.address {
            tokio::spawn(self.check_listening(address));
        }
    }

    async fn check_listening(self, address: SocketAddr) {
        let EndpointExecution { check, inbound, endpoint, .. } = self;
        let listening = check.endpoints.listening(address).await;
        let fingerprint = inbound.fingerprint();
        log::info!(
            "event=endpoint_checked request={} fingerprint={fingerprint} endpoint={endpoint} \
             listening={listening:?}",
            inbound.fleet_id
        );
        if listening == Listening::Refused && !check.is_cut_off().await {
            check.metrics.count(Event::EndpointCrash);
            check.quarantine.on_crash(fingerprint, &inbound.route.shard.service, &endpoint);
        }
    }
}

impl CrashCheck {
    /// Returns whether the endpoint only seems to have crashed, since this VM reaches none. While
    /// that is in doubt, it waits for the result; a request that crashes all endpoints raises the
    /// doubt too.
    async fn is_cut_off(&self) -> bool {
        tokio::time::sleep(DOUBT_TIME).await;
        let mut reach = self.reach.clone();
        let is_known = |view: &ReachView| view.reach.is_cut_off() || !view.is_in_doubt;
        // Without a result in time, the crash counts.
        let _ = tokio::time::timeout(MAX_DOUBT_TIME, reach.wait_for(is_known)).await;
        self.reach.borrow().reach.is_cut_off()
    }
}

/// Records how an execution ends whose answer has started.
#[derive(Debug)]
pub(crate) struct ExecutionMonitor {
    /// The execution.
    pub(crate) execution: EndpointExecution,
    /// Whether the answer is a failure, which doesn't show whether the request crashes endpoints.
    pub(crate) is_failure: bool,
}

impl ExecutionMonitor {
    /// Records how the answer ended.
    pub(crate) fn finish(self, end: BodyEnd) {
        match end {
            BodyEnd::Complete if !self.is_failure => {
                self.execution.check.quarantine.on_answered(&self.execution.inbound);
            }
            BodyEnd::Truncated => self.execution.check_endpoint(),
            BodyEnd::Complete | BodyEnd::CallerGone => {}
        }
    }
}
