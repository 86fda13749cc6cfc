//! Tells an endpoint that has ended from a connection that alone broke.

use std::{net::SocketAddr, sync::Arc};

use pistachiotrack_core::{name::Name, request::BodyEnd};

use crate::{connection_pool::Listening, context::Context, inbound::Inbound, metrics::Event};

/// A request whose connection broke before its answer was whole.
#[derive(Debug)]
pub(crate) struct BrokenRun {
    /// The request.
    pub(crate) inbound: Arc<Inbound>,
    /// Endpoint that had got it.
    pub(crate) endpoint: Name,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
}

/// Looks whether the endpoint of `run` still takes connections; one that doesn't has ended
/// under the request.
pub(crate) async fn run(context: Arc<Context>, run: BrokenRun) {
    let BrokenRun { inbound, endpoint, address } = run;
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

/// Watches a run whose answer has begun.
#[derive(Debug)]
pub(crate) struct RunWatch {
    /// What all parts share.
    pub(crate) context: Arc<Context>,
    /// The request.
    pub(crate) inbound: Arc<Inbound>,
    /// Endpoint that answers.
    pub(crate) endpoint: Name,
    /// Its address, unless it was asked through another VM.
    pub(crate) address: Option<SocketAddr>,
    /// Whether the answer is a failure, which says nothing about the request.
    pub(crate) is_failure: bool,
}

impl RunWatch {
    /// Notes how the answer ended.
    pub(crate) fn finish(&self, end: BodyEnd) {
        match end {
            BodyEnd::Complete if !self.is_failure => {
                self.context.quarantine.on_answered(&self.inbound);
            }
            BodyEnd::Cut => {
                let Some(address) = self.address else { return };
                let (inbound, endpoint) = (Arc::clone(&self.inbound), self.endpoint.clone());
                let broken = BrokenRun { inbound, endpoint, address };
                tokio::spawn(run(Arc::clone(&self.context), broken));
            }
            BodyEnd::Complete | BodyEnd::CallerGone => {}
        }
    }
}
