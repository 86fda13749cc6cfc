//! Test stand-in for a caller: requests entry addresses, caches them for their lifetime and
//! sends requests to the first one.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, header::AUTHORIZATION};
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

use crate::work::{SERVICE_US, WORK_ID, WORKED_BY, WorkId, is_answer_to};

/// Timeout of a request for entry addresses.
const ENTRIES_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a caller waits beyond the request's deadline.
const DEADLINE_GRACE: Duration = Duration::from_millis(1_500);
/// Bytes of a wrong answer's body that its description has.
const DESCRIBED_BYTES: usize = 24;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A kind of request that a caller sends.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Customer that the caller acts for.
    pub customer: &'static str,
    /// API key, if it isn't the customer's default one.
    pub api_key: Option<&'static str>,
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
    /// Deadline of the request.
    pub deadline_ms: u64,
    /// Requests per second.
    pub rate_per_s: f64,
}

/// Outcome of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete and successful answer to this request.
    Ok,
    /// A failure answered by the endpoint.
    Failed,
    /// A complete answer that belongs to another request.
    WrongAnswer,
    /// A refusal that says the request was not run.
    RefusedNotRun,
    /// A refusal that says the request may have run.
    Unknown,
    /// No VM could be connected to; nothing was sent.
    NoVm,
    /// Neither a complete answer nor a refusal.
    Lost,
}

/// A request as its caller observed it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Id of the work.
    pub id: WorkId,
    /// Service that it was for.
    pub service: &'static str,
    /// Whether the request must not be repeated.
    pub non_idempotent: bool,
    /// Deadline of the request.
    pub deadline_ms: u64,
    /// Whether the caller used the first of the entry addresses that a VM returned.
    pub steered: bool,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Time from sending to the end of the answer.
    pub latency_us: u64,
    /// Service time that the endpoint reported.
    pub service_us: Option<u64>,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Reason of the refusal or of the loss.
    pub reason: Option<Box<str>>,
    /// The fleet's id of the request, if it was refused.
    pub request_id: Option<Box<str>>,
}

/// Result of an exchange.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) outcome: RequestOutcome,
    service_us: Option<u64>,
    pub(crate) reason: Option<Box<str>>,
    pub(crate) request_id: Option<Box<str>>,
}

impl From<RequestOutcome> for Exchange {
    fn from(outcome: RequestOutcome) -> Exchange {
        Exchange { outcome, service_us: None, reason: None, request_id: None }
    }
}

/// Reason of a lost request: no answer within [`DEADLINE_GRACE`] after the deadline.
const NO_ANSWER: &str = "lost: no answer";
/// Reason of a lost request: the connection ended before the answer did.
const CONNECTION_CLOSED: &str = "lost: broken off";

fn lost(reason: &str) -> Exchange {
    Exchange { reason: Some(reason.into()), ..RequestOutcome::Lost.into() }
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A caller with its connections and its cached entry addresses.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    seed_addresses: Arc<Vec<SocketAddr>>,
    entries: Arc<Mutex<FxHashMap<&'static str, CachedEntries>>>,
    selection: AddressSelection,
}

/// How a caller selects the address that it sends a request to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AddressSelection {
    /// The entry addresses that a VM returned, in order.
    Steered,
    /// The same addresses in reverse order.
    Reversed,
    /// One of the seed addresses in turn, with no other attempt.
    RoundRobin,
}

#[derive(Clone, Debug)]
struct CachedEntries {
    entries: Vec<Entry>,
    expires_at: Instant,
}

impl Caller {
    /// Creates a caller that requests entry addresses from the VMs at `seed_addresses`.
    pub fn new(seed_addresses: Vec<SocketAddr>) -> Caller {
        let selection = AddressSelection::Steered;
        Caller {
            client: http_client(),
            seed_addresses: Arc::new(seed_addresses),
            entries: Arc::default(),
            selection,
        }
    }

    /// Creates a caller that uses the entry addresses in reverse order, so that its requests
    /// are forwarded.
    pub fn unsteered(seed_addresses: Vec<SocketAddr>) -> Caller {
        Caller { selection: AddressSelection::Reversed, ..Caller::new(seed_addresses) }
    }

    /// Creates a caller that connects directly to `addresses`, each in turn.
    pub fn direct(addresses: Vec<SocketAddr>) -> Caller {
        Caller { selection: AddressSelection::RoundRobin, ..Caller::new(addresses) }
    }

    /// Sends one request and waits for its outcome.
    pub async fn send(&self, operation: &Operation, id: WorkId) -> Sample {
        let sent = Instant::now();
        let timeout = Duration::from_millis(operation.deadline_ms) + DEADLINE_GRACE;
        let exchange = tokio::time::timeout(timeout, self.exchange(operation, id)).await;
        let Exchange { outcome, service_us, reason, request_id } =
            exchange.unwrap_or(lost(NO_ANSWER));
        Sample {
            id,
            service: operation.service,
            non_idempotent: operation.non_idempotent,
            deadline_ms: operation.deadline_ms,
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
            let Ok(request) = build_request(operation, id, uri, request_body(operation, id)) else {
                break;
            };
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

    /// Returns whether this request has to refresh the entry addresses; concurrent requests
    /// continue to use the old ones.
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

fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector)
}

fn request_body(operation: &Operation, id: WorkId) -> Bytes {
    if operation.method == "GET" { Bytes::new() } else { Bytes::from(id.0.to_string()) }
}

/// Returns the API key that callers of a customer send unless they are given another one.
pub(crate) fn default_api_key(customer: &str) -> String {
    format!("key-of-{customer}")
}

/// Returns the request for a piece of work.
///
/// # Errors
///
/// Returns an error if the operation makes no valid request.
pub(crate) fn build_request(
    operation: &Operation,
    id: WorkId,
    uri: String,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let default_key = default_api_key(operation.customer);
    let key = operation.api_key.unwrap_or(&default_key);
    Request::builder()
        .method(operation.method)
        .uri(uri)
        .header(header::CUSTOMER, operation.customer)
        .header(AUTHORIZATION, format!("Bearer {key}"))
        .header(header::SERVICE, operation.service)
        .header(header::CLASS, operation.class.as_str())
        .header(header::DEADLINE_MS, operation.deadline_ms)
        .header(WORK_ID, id.0)
        .body(Full::new(body))
}

/// Reads a complete answer and classifies its outcome.
pub(crate) async fn classify_response(id: WorkId, answer: Response<Incoming>) -> Exchange {
    let (head, body) = answer.into_parts();
    match body.collect().await {
        Ok(body) => classify_answer(id, &Response::from_parts(head, body.to_bytes())),
        Err(_) => lost(CONNECTION_CLOSED),
    }
}

/// Classifies the outcome of a complete answer.
pub(crate) fn classify_answer(id: WorkId, answer: &Response<Bytes>) -> Exchange {
    let refusal = header_text(answer, header::OUTCOME);
    let mut reason = header_text(answer, header::REASON).map(Box::from);
    let request_id = refusal.and_then(|_| header_text(answer, header::REQUEST_ID)).map(Box::from);
    let service_us = header_text(answer, SERVICE_US).and_then(|value| value.parse().ok());
    let outcome = match refusal {
        Some("not-run") => RequestOutcome::RefusedNotRun,
        Some(_) => RequestOutcome::Unknown,
        None if !answer.status().is_success() => RequestOutcome::Failed,
        None if is_answer_to(id, answer.body()) => RequestOutcome::Ok,
        None => RequestOutcome::WrongAnswer,
    };
    if outcome == RequestOutcome::WrongAnswer {
        reason = Some(describe(answer).into());
    }
    Exchange { outcome, service_us, reason, request_id }
}

/// Describes an answer by its status, the endpoint that made it, and the beginning of its body.
fn describe(answer: &Response<Bytes>) -> String {
    let endpoint = header_text(answer, WORKED_BY);
    let request_id = header_text(answer, header::REQUEST_ID);
    let body = &answer.body()[..answer.body().len().min(DESCRIBED_BYTES)];
    format!(
        "status={} endpoint={endpoint:?} request={request_id:?} body={:?}",
        answer.status(),
        String::from_utf8_lossy(body)
    )
}

fn header_text<'a>(answer: &'a Response<Bytes>, name: &str) -> Option<&'a str> {
    answer.headers().get(name)?.to_str().ok()
}
