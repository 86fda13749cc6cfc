//! A caller that keeps one connection to one VM until the VM's process closes it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    client::conn::http1,
    header::{HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::watch};

use super::{clock::RunClock, oracle::RequestRecord};
use crate::{
    caller::{Exchange, Operation, RequestOutcome, build_request, classify_response},
    load::WorkIds,
    work::WorkId,
};

/// Time between two requests on one connection.
pub(super) const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time until the next request of a caller that waits after one that was not served. Callers that
/// don't would send a stopping VM most of all requests.
pub(super) const FAILURE_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before the next attempt to connect.
pub(super) const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Time beyond its deadline after which a request counts as lost; only a hang takes as long.
pub(super) const HANG_TIMEOUT: Duration = Duration::from_secs(10);

/// A caller with a persistent connection to one VM.
#[derive(Clone, Debug)]
pub(super) struct PersistentCaller {
    /// The VM.
    pub(super) vm: usize,
    /// The VM's caller address.
    pub(super) address: SocketAddr,
    /// Operations, sent in turn.
    pub(super) operations: Arc<Vec<Operation>>,
    /// Source of work ids.
    pub(super) ids: WorkIds,
    /// Clock of the run.
    pub(super) clock: RunClock,
    /// Time until the next request after one that was not served.
    pub(super) failure_interval: Duration,
}

impl PersistentCaller {
    /// Sends one request after another until `stop` is true.
    pub(super) async fn run(self, mut stop: watch::Receiver<bool>) -> Vec<RequestRecord> {
        let mut requests = Vec::new();
        while !*stop.borrow() {
            let connection = TcpStream::connect(self.address).await;
            let Ok(stream) = connection else {
                // The VM is stopped or still starting.
                let _ = tokio::time::timeout(RECONNECT_DELAY, stop.changed()).await;
                continue;
            };
            self.use_connection(stream, &stop, &mut requests).await;
        }
        requests
    }

    async fn use_connection(
        &self,
        stream: TcpStream,
        stop: &watch::Receiver<bool>,
        requests: &mut Vec<RequestRecord>,
    ) {
        let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
            return;
        };
        let connection = tokio::spawn(connection);
        while !*stop.borrow() && sender.ready().await.is_ok() {
            let operation = &self.operations[requests.len() % self.operations.len()];
            let id = self.ids.next();
            let sent_ms = self.clock.now_ms();
            let Ok(request) = build_direct_request(self.address, operation, id, Bytes::new())
            else {
                break;
            };
            let timeout = Duration::from_millis(operation.deadline_ms) + HANG_TIMEOUT;
            let exchange_result =
                tokio::time::timeout(timeout, exchange(&mut sender, request, id)).await;
            let mut interval = REQUEST_INTERVAL;
            let exchange_result = exchange_result.unwrap_or(Some(RequestOutcome::Lost.into()));
            if let Some(Exchange { outcome, reason, request_id, .. }) = exchange_result {
                if outcome != RequestOutcome::Ok {
                    interval = self.failure_interval;
                }
                let (vm, ended_ms) = (Some(self.vm), self.clock.now_ms());
                let Operation { service, non_idempotent, deadline_ms, .. } = *operation;
                requests.push(RequestRecord {
                    id,
                    service,
                    non_idempotent,
                    vm,
                    deadline_ms,
                    sent_ms,
                    whole_ms: Some(sent_ms),
                    behind_until_ms: None,
                    ended_ms,
                    outcome,
                    reason,
                    request_id,
                });
            }
            tokio::time::sleep(interval).await;
        }
        connection.abort();
    }
}

/// Sends a request and returns its result, or `None` if no part of it was sent.
async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    id: WorkId,
) -> Option<Exchange> {
    match sender.send_request(request).await {
        Ok(answer) => Some(classify_response(id, answer).await),
        Err(error) if error.is_canceled() => None,
        Err(_) => Some(RequestOutcome::Lost.into()),
    }
}

/// Builds a request for a direct connection to the VM, with its address as `Host`.
pub(super) fn build_direct_request(
    address: SocketAddr,
    operation: &Operation,
    id: WorkId,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = build_request(operation, id, operation.path.to_owned(), body)?;
    request.headers_mut().insert(HOST, HeaderValue::try_from(address.to_string())?);
    Ok(request)
}
