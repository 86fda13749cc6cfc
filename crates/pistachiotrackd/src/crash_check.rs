//! Tells an endpoint that has ended from a connection that alone broke.

use std::{net::SocketAddr, sync::Arc};

use pistachiotrack_core::{fingerprint::Fingerprint, name::Name};

use crate::{connection_pool::Listening, context::Context, metrics::Event};

/// A request whose connection broke before its answer began.
#[derive(Debug)]
pub(crate) struct BrokenRun {
    /// Identity of the request within the fleet.
    pub(crate) request: Name,
    /// Its fingerprint.
    pub(crate) fingerprint: Fingerprint,
    /// Endpoint that had got it.
    pub(crate) endpoint: Name,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
}

/// Looks whether the endpoint of `run` still takes connections.
pub(crate) async fn run(context: Arc<Context>, run: BrokenRun) {
    let listening = context.endpoints.listening(run.address).await;
    log::info!(
        "event=endpoint_checked request={} fingerprint={} endpoint={} listening={listening:?}",
        run.request,
        run.fingerprint,
        run.endpoint
    );
    if listening == Listening::Refused {
        context.metrics.count(Event::EndpointCrash);
    }
}
