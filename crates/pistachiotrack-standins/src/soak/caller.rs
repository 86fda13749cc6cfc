//! A caller that keeps its connection to one VM until the process is gone.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use pistachiotrack_core::header;
use tokio::{net::TcpStream, sync::watch};

use super::oracle::Asked;
use crate::{
    caller::{Ending, Operation},
    load::WorkIds,
    work::{WORK_ID, WorkId, is_answer_to},
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
    /// Beginning of the load.
    pub(super) start: Instant,
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
            let sent_ms = self.now_ms();
            let Ok(request) = request(operation, id, self.address) else { break };
            let allowed = Duration::from_millis(operation.deadline_ms) + HANG;
            let ending = tokio::time::timeout(allowed, exchange(&mut sender, request, id)).await;
            let ending = ending.unwrap_or(Some(Ending::Lost));
            if let Some(ending) = ending {
                let (vm, ended_ms) = (Some(self.vm), self.now_ms());
                let non_idempotent = operation.non_idempotent;
                asked.push(Asked { id, non_idempotent, vm, sent_ms, ended_ms, ending });
            }
            tokio::time::sleep(PAUSE).await;
        }
        connection.abort();
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Sends a request and returns what came of it; `None` if nothing of it was sent.
async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    id: WorkId,
) -> Option<Ending> {
    let answer = match sender.send_request(request).await {
        Ok(answer) => answer,
        Err(error) if error.is_canceled() => return None,
        Err(_) => return Some(Ending::Lost),
    };
    let outcome = answer.headers().get(header::OUTCOME).cloned();
    let status = answer.status();
    let Ok(body) = answer.into_body().collect().await else { return Some(Ending::Lost) };
    Some(match outcome {
        Some(outcome) if outcome == "not-run" => Ending::RefusedNotRun,
        Some(_) => Ending::Unknown,
        None if !status.is_success() => Ending::Failed,
        None if is_answer_to(id, &body.to_bytes()) => Ending::Ok,
        None => Ending::WrongAnswer,
    })
}

fn request(
    operation: &Operation,
    id: WorkId,
    address: SocketAddr,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    Request::builder()
        .method(operation.method)
        .uri(operation.path)
        .header(hyper::header::HOST, address.to_string())
        .header(header::CUSTOMER, operation.customer)
        .header(header::SERVICE, operation.service)
        .header(header::CLASS, operation.class.as_str())
        .header(header::DEADLINE_MS, operation.deadline_ms)
        .header(WORK_ID, id.0)
        .body(Full::default())
}
