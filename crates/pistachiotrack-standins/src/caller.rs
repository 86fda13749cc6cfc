//! A stand-in of a caller: asks for entries, keeps the answer for its lifetime
//! and sends work to the first one.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use pistachiotrack_core::{
    header,
    request::Class,
    steering::{Entry, EntryResponse},
};
use rustc_hash::FxHashMap;
use tokio::sync::Mutex;

use crate::work::{SERVICE_US, WORK_ID, WorkId, is_answer_to};

/// Time timeout for an answer about entries.
const ENTRIES_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a caller goes on waiting after the deadline it gave.
const DEADLINE_GRACE: Duration = Duration::from_millis(1_500);
/// Time timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A kind of request that a caller sends.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Customer that the caller acts for.
    pub customer: &'static str,
    /// Service that the request is for.
    pub service: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// Path.
    pub path: &'static str,
    /// Class.
    pub class: Class,
    /// Whether the request must not be repeated.
    pub non_idempotent: bool,
    /// Time after which the answer is of no use.
    pub deadline_ms: u64,
    /// Requests a second.
    pub rate_per_s: f64,
}

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer to this request, with success.
    Ok,
    /// The endpoint's own failure.
    Failed,
    /// A whole answer that isn't the one to this request.
    WrongAnswer,
    /// A refusal that says the request was not run.
    RefusedNotRun,
    /// A refusal that says the request may have run.
    Unknown,
    /// No VM could be connected to; nothing was sent.
    NoVm,
    /// Neither a whole answer nor a refusal.
    Lost,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The work.
    pub id: WorkId,
    /// Whether the request must not be repeated.
    pub non_idempotent: bool,
    /// Whether the caller used the first of the entries that a VM gave it.
    pub steered: bool,
    /// Moment of sending.
    pub sent: Instant,
    /// Time from sending to the end of the answer.
    pub latency_us: u64,
    /// Time that the endpoint says it worked.
    pub service_us: Option<u64>,
    /// What came of it.
    pub outcome: RequestOutcome,
    /// Reason of the refusal, or how the request was lost.
    pub reason: Option<Box<str>>,
    /// Identity of the request within the fleet, if it was refused.
    pub request_id: Option<Box<str>>,
}

/// What a caller learns from an exchange.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) outcome: RequestOutcome,
    service_us: Option<u64>,
    reason: Option<Box<str>>,
    pub(crate) request_id: Option<Box<str>>,
}

impl From<RequestOutcome> for Exchange {
    fn from(outcome: RequestOutcome) -> Exchange {
        Exchange { outcome, service_us: None, reason: None, request_id: None }
    }
}

/// Reason of a lost request: nothing came until some time after the deadline.
const NO_ANSWER: &str = "lost: no answer";
/// Reason of a lost request: the connection ended before the answer did.
const CONNECTION_CLOSED: &str = "lost: broken off";

fn lost(reason: &str) -> Exchange {
    Exchange { reason: Some(reason.into()), ..RequestOutcome::Lost.into() }
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A caller with its connections and the entries that it knows.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    seed_addresses: Arc<Vec<SocketAddr>>,
    entries: Arc<Mutex<FxHashMap<&'static str, CachedEntries>>>,
    selection: AddressSelection,
}

/// How a caller chooses the address that it sends to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AddressSelection {
    /// The entries that a VM gave it, the first one first.
    Steered,
    /// The same entries, but the last one first.
    Reversed,
    /// RoundRobin of the seed_addresses addresses in turn, and no other.
    RoundRobin,
}

#[derive(Clone, Debug)]
struct CachedEntries {
    entries: Vec<Entry>,
    expires_at: Instant,
}

impl Caller {
    /// Creates a caller that asks the VMs at `seed_addresses` for entries.
    pub fn new(seed_addresses: Vec<SocketAddr>) -> Caller {
        let selection = AddressSelection::Steered;
        Caller {
            client: client(),
            seed_addresses: Arc::new(seed_addresses),
            entries: Arc::default(),
            selection,
        }
    }

    /// Creates a caller that uses the entries from the last to the first, so that
    /// its work is forwarded.
    pub fn unsteered(seed_addresses: Vec<SocketAddr>) -> Caller {
        Caller { selection: AddressSelection::Reversed, ..Caller::new(seed_addresses) }
    }

    /// Creates a caller that connects to the endpoints at `addresses` itself,
    /// each in turn.
    pub fn direct(addresses: Vec<SocketAddr>) -> Caller {
        Caller { selection: AddressSelection::RoundRobin, ..Caller::new(addresses) }
    }

    /// Sends one piece of work and waits for what comes of it.
    pub async fn send(&self, operation: &Operation, id: WorkId) -> Sample {
        let sent = Instant::now();
        let timeout = Duration::from_millis(operation.deadline_ms) + DEADLINE_GRACE;
        let exchange = tokio::time::timeout(timeout, self.exchange(operation, id)).await;
        let Exchange { outcome, service_us, reason, request_id } =
            exchange.unwrap_or(lost(NO_ANSWER));
        Sample {
            id,
            non_idempotent: operation.non_idempotent,
            steered: self.selection == AddressSelection::Steered,
            sent,
            latency_us: sent.elapsed().as_micros() as u64,
            service_us,
            outcome,
            reason,
            request_id,
        }
    }

    async fn exchange(&self, operation: &Operation, id: WorkId) -> Exchange {
        for address in self.addresses(operation, id).await {
            let uri = format!("http://{address}{}", operation.path);
            let Ok(request) = request(operation, id, uri, body(operation, id)) else { break };
            match self.client.request(request).await {
                Ok(answer) => return classify_response(id, answer).await,
                Err(error) if error.is_connect() => {}
                Err(_) => return lost(CONNECTION_CLOSED),
            }
        }
        RequestOutcome::NoVm.into()
    }

    async fn addresses(&self, operation: &Operation, id: WorkId) -> Vec<SocketAddr> {
        if self.selection == AddressSelection::RoundRobin {
            return vec![self.seed_addresses[id.0 as usize % self.seed_addresses.len()]];
        }
        if self.claim_refresh(operation.service).await
            && let Some(found) = self.fetch_entries(operation, id).await
        {
            self.entries.lock().await.insert(operation.service, found);
        }
        let cached = self.entries.lock().await;
        let Some(cached) = cached.get(operation.service) else { return Vec::new() };
        let mut addresses: Vec<_> = cached.entries.iter().map(|entry| entry.address).collect();
        if self.selection == AddressSelection::Reversed {
            addresses.reverse();
        }
        addresses
    }

    /// Returns whether this request has to ask for entries; the others go on
    /// with the old ones meanwhile.
    async fn claim_refresh(&self, service: &str) -> bool {
        let mut entries = self.entries.lock().await;
        let Some(cached) = entries.get_mut(service) else { return true };
        let now = Instant::now();
        if cached.expires_at > now {
            return false;
        }
        cached.expires_at = now + ENTRIES_TIMEOUT;
        true
    }

    async fn fetch_entries(&self, operation: &Operation, id: WorkId) -> Option<CachedEntries> {
        let start = id.0 as usize % self.seed_addresses.len();
        let (before, after) = self.seed_addresses.split_at(start);
        for address in after.iter().chain(before) {
            let answer =
                tokio::time::timeout(ENTRIES_TIMEOUT, self.fetch_entries_from(operation, *address));
            if let Ok(Ok(answer)) = answer.await
                && !answer.entries.is_empty()
            {
                let expires_at = Instant::now() + Duration::from_millis(answer.lifetime_ms);
                return Some(CachedEntries { entries: answer.entries, expires_at });
            }
        }
        None
    }

    async fn fetch_entries_from(
        &self,
        operation: &Operation,
        address: SocketAddr,
    ) -> anyhow::Result<EntryResponse> {
        let uri = format!("http://{address}{}?service={}", header::ENTRIES_PATH, operation.service);
        let request =
            Request::get(uri).header(header::CUSTOMER, operation.customer).body(Full::default())?;
        let answer = self.client.request(request).await?;
        anyhow::ensure!(answer.status().is_success(), "status {}", answer.status());
        let body = answer.into_body().collect().await?.to_bytes();
        Ok(serde_json::from_slice(&body)?)
    }
}

fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector)
}

fn body(operation: &Operation, id: WorkId) -> Bytes {
    if operation.method == "GET" { Bytes::new() } else { Bytes::from(id.0.to_string()) }
}

/// Returns the request for a piece of work.
///
/// # Errors
///
/// Returns an error if the operation makes no valid request.
pub(crate) fn request(
    operation: &Operation,
    id: WorkId,
    uri: String,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    Request::builder()
        .method(operation.method)
        .uri(uri)
        .header(header::CUSTOMER, operation.customer)
        .header(header::SERVICE, operation.service)
        .header(header::CLASS, operation.class.as_str())
        .header(header::DEADLINE_MS, operation.deadline_ms)
        .header(WORK_ID, id.0)
        .body(Full::new(body))
}

/// Reads an answer to its end and tells what it is worth to the caller.
pub(crate) async fn classify_response(id: WorkId, answer: Response<Incoming>) -> Exchange {
    let refusal = text(&answer, header::OUTCOME).map(str::to_owned);
    let reason = text(&answer, header::REASON).map(Box::from);
    let request_id =
        refusal.as_ref().and_then(|_| text(&answer, header::REQUEST_ID)).map(Box::from);
    let service_us = text(&answer, SERVICE_US).and_then(|value| value.parse().ok());
    let status = answer.status();
    let Ok(body) = answer.into_body().collect().await else { return lost(CONNECTION_CLOSED) };
    let outcome = match refusal.as_deref() {
        Some("not-run") => RequestOutcome::RefusedNotRun,
        Some(_) => RequestOutcome::Unknown,
        None if !status.is_success() => RequestOutcome::Failed,
        None if is_answer_to(id, &body.to_bytes()) => RequestOutcome::Ok,
        None => RequestOutcome::WrongAnswer,
    };
    Exchange { outcome, service_us, reason, request_id }
}

fn text<'a>(answer: &'a Response<Incoming>, name: &str) -> Option<&'a str> {
    answer.headers().get(name)?.to_str().ok()
}
