//! The platform's configuration service and its list of VMs, which are only
//! read.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Method, Request, StatusCode, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use kameo::actor::ActorRef;
use pistachiotrack_core::{config::MAX_VALUE_BYTES, name::Name, vm::VmList};
use rand::RngExt;
use tokio::net::TcpStream;

use crate::fleet::{Fleet, PlatformValue, VmsListed};

/// Time for which a watch waits for something newer.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Time allowed besides the wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after the first failure; doubled by each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause between two tries.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Why the platform's service gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlatformError {
    /// It can't be reached.
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The exchange failed.
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The value is too large or was cut short.
    #[error("value: {0}")]
    Value(Box<dyn std::error::Error + Send + Sync>),
    /// It answered with an unexpected status.
    #[error("status {0}")]
    Status(StatusCode),
    /// It did not answer in time.
    #[error("no answer in time")]
    TimedOut,
}

/// Reads the platform's values.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    address: SocketAddr,
    deployment: Name,
}

impl Platform {
    /// Creates a reader of one deployment's values.
    pub(crate) fn new(address: SocketAddr, deployment: Name) -> Platform {
        Platform { address, deployment }
    }

    /// Waits for a configuration newer than `after` and tells the fleet actor.
    pub(crate) async fn watch_config(
        self,
        after: Option<u64>,
        failures: u32,
        fleet: ActorRef<Fleet>,
    ) {
        tokio::time::sleep(backoff(failures)).await;
        let path = format!("/v1/config/{}", self.deployment);
        let value = self.watch(&path, after).await;
        // The fleet actor stops only with the process.
        let _ = fleet.tell(PlatformValue(value)).try_send();
    }

    /// Watches the list of VMs for as long as the fleet actor runs.
    pub(crate) async fn watch_vms(self, fleet: ActorRef<Fleet>) {
        let mut after = None;
        let mut failures = 0;
        loop {
            tokio::time::sleep(backoff(failures)).await;
            let list = match self.watch("/v1/vms", after).await {
                Ok(Some(value)) => parse_vms(&value),
                Ok(None) => {
                    failures = 0;
                    continue;
                }
                Err(error) => Err(error),
            };
            match list {
                Ok(list) => {
                    failures = 0;
                    after = Some(list.version);
                    if fleet.tell(VmsListed(list)).try_send().is_err() {
                        return;
                    }
                }
                Err(error) => {
                    failures += 1;
                    log::warn!("event=vm_list_unavailable error={:?}", error.to_string());
                }
            }
        }
    }

    async fn watch(&self, path: &str, after: Option<u64>) -> Result<Option<Bytes>, PlatformError> {
        let wait_ms = WATCH_WAIT.as_millis();
        let path = match after {
            Some(after) => format!("{path}?after={after}&wait_ms={wait_ms}"),
            None => path.to_owned(),
        };
        tokio::time::timeout(WATCH_WAIT + ANSWER_TIMEOUT, self.read(&path))
            .await
            .map_err(|_| PlatformError::TimedOut)?
    }

    async fn read(&self, path: &str) -> Result<Option<Bytes>, PlatformError> {
        let stream = TcpStream::connect(self.address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let connection = tokio::spawn(connection);
        let _closes = AbortOnDrop(connection.abort_handle());
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        let response = sender.send_request(request).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NO_CONTENT => return Ok(None),
            status => return Err(PlatformError::Status(status)),
        }
        let body = Limited::new(response.into_body(), MAX_VALUE_BYTES);
        let value = body.collect().await.map_err(PlatformError::Value)?;
        Ok(Some(value.to_bytes()))
    }
}

/// Ends a connection's task together with the exchange.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn parse_vms(value: &[u8]) -> Result<VmList, PlatformError> {
    serde_json::from_slice(value).map_err(|error| PlatformError::Value(error.into()))
}

/// Returns the pause before the next try, with a random part so that a fleet
/// that lost the service together doesn't come back together.
fn backoff(failures: u32) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    let full = FIRST_BACKOFF.saturating_mul(1 << failures.min(10)).min(MAX_BACKOFF);
    full.mul_f64(rand::rng().random_range(0.5..1.0))
}
