//! A caller that keeps its connection to one VM until the process is gone.

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

use super::{clock::RunClock, oracle::Asked};
use crate::{
    caller::{Ending, Exchange, Operation, judge, request},
    load::WorkIds,
    work::WorkId,
};

/// Time between two requests on one connection.
const PAUSE: Duration = Duration::from_millis(20);
/// Time after which another connection is tried.
const RECONNECT: Duration = Duration::from_millis(50);
/// Time beyond its deadline after which a request counts as lost; only a hang gets there.
const HANG: Duration = Duration::from_secs(10);

/// A caller of one VM.
#[derive(Clone, Debug)]
pub(super) struct KeptCaller {
    /// The VM.
    pub(super) vm: usize,
    /// Its address for callers.
    pub(super) address: SocketAddr,
    /// What it asks for, in turn.
    pub(super) operations: Arc<Vec<Operation>>,
    /// Identities of the work.
    pub(super) ids: WorkIds,
    /// Time from the beginning of the load.
    pub(super) clock: RunClock,
}

impl KeptCaller {
    /// Sends one request after another until `ends` says so.
    pub(super) async fn run(self, mut ends: watch::Receiver<bool>) -> Vec<Asked> {
        let mut asked = Vec::new();
        while !*ends.borrow() {
            let connection = TcpStream::connect(self.address).await;
            let Ok(stream) = connection else {
                // The VM is stopped, or starting.
                let _ = tokio::time::timeout(RECONNECT, ends.changed()).await;
                continue;
            };
            self.use_connection(stream, &ends, &mut asked).await;
        }
        asked
    }

    async fn use_connection(
        &self,
        stream: TcpStream,
        ends: &watch::Receiver<bool>,
        asked: &mut Vec<Asked>,
    ) {
        let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
            return;
        };
        let connection = tokio::spawn(connection);
        while !*ends.borrow() && sender.ready().await.is_ok() {
            let operation = &self.operations[asked.len() % self.operations.len()];
            let id = self.ids.next();
            let sent_ms = self.clock.now_ms();
            let Ok(request) = request_to(self.address, operation, id) else { break };
            let allowed = Duration::from_millis(operation.deadline_ms) + HANG;
            let ended = tokio::time::timeout(allowed, exchange(&mut sender, request, id)).await;
            let ended = ended.unwrap_or(Some(Ending::Lost.into()));
            if let Some(Exchange { ending, request, .. }) = ended {
                let (vm, ended_ms) = (Some(self.vm), self.clock.now_ms());
                let non_idempotent = operation.non_idempotent;
                asked.push(Asked { id, non_idempotent, vm, sent_ms, ended_ms, ending, request });
            }
            tokio::time::sleep(PAUSE).await;
        }
        connection.abort();
    }
}

/// Sends a request and returns what came of it; `None` if nothing of it was sent.
async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    id: WorkId,
) -> Option<Exchange> {
    match sender.send_request(request).await {
        Ok(answer) => Some(judge(id, answer).await),
        Err(error) if error.is_canceled() => None,
        Err(_) => Some(Ending::Lost.into()),
    }
}

/// Returns a request as it is written to a connection to the VM itself.
fn request_to(
    address: SocketAddr,
    operation: &Operation,
    id: WorkId,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = request(operation, id, operation.path.to_owned(), Bytes::new())?;
    request.headers_mut().insert(HOST, HeaderValue::try_from(address.to_string())?);
    Ok(request)
}
