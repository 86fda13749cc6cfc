//! Tells an endpoint that has ended from a connection that alone broke.

use std::{net::SocketAddr, sync::Arc};

use pistachiotrack_core::{name::Name, request::BodyEnd};

use crate::{connection_pool::Listening, context::Context, inbound::Inbound, metrics::Event};

/// A request at an endpoint that may end under it.
#[derive(Debug)]
pub(crate) struct EndpointExecution {
    /// What all parts share.
    pub(crate) context: Arc<Context>,
    /// The request.
    pub(crate) inbound: Arc<Inbound>,
    /// The endpoint.
    pub(crate) endpoint: Name,
    /// Its address, unless it was asked through another VM.
    pub(crate) address: Option<SocketAddr>,
}

impl EndpointExecution {
    /// Looks, after the connection broke, whether the endpoint still takes others; one that
    /// doesn't has ended under the request.
    pub(crate) fn check_endpoint(self) {
        if let Some(address) = self.address {
            tokio::spawn(self.check_listening(address));
        }
    }

    async fn check_listening(self, address: SocketAddr) {
        let EndpointExecution { context, inbound, endpoint, .. } = self;
        let listening = context.endpoints.listening(address).await;
        let fingerprint = inbound.fingerprint();
        log::info!(
            "event=endpoint_checked request={} fingerprint={fingerprint} endpoint={endpoint} \
             listening={listening:?}",
            inbound.fleet_id
        );
        if listening == Listening::Refused {
            context.metrics.count(Event::EndpointCrash);
            context.quarantine.on_crash(fingerprint, &inbound.route.shard.service, &endpoint);
        }
    }
}

/// Watches a run whose answer has begun.
#[derive(Debug)]
pub(crate) struct ExecutionMonitor {
    /// The run.
    pub(crate) run: EndpointExecution,
    /// Whether the answer is a failure, which says nothing about the request.
    pub(crate) is_failure: bool,
}

impl ExecutionMonitor {
    /// Notes how the answer ended.
    pub(crate) fn finish(self, end: BodyEnd) {
        match end {
            BodyEnd::Complete if !self.is_failure => {
                self.run.context.quarantine.on_answered(&self.run.inbound);
            }
            BodyEnd::Truncated => self.run.check_endpoint(),
            BodyEnd::Complete | BodyEnd::CallerGone => {}
        }
    }
}
