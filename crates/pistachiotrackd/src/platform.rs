//! The platform's configuration service and its list of VMs, which are only
//! read.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header::HOST};
use kameo::actor::ActorRef;
use pistachiotrack_core::{config::MAX_VALUE_BYTES, name::Name, vm::VmList};
use rand::RngExt;
use tokio::sync::watch;

use crate::{
    fleet::{Fleet, PlatformValue, VmsListed},
    http_call::{self, CallError},
};

/// Time for which a watch waits for something newer.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Time allowed besides the wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after the first failure; doubled by each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Time between two reads of the list of VMs by one that doesn't watch it, for
/// each VM listed.
const VM_LIST_INTERVAL_PER_VM: Duration = Duration::from_secs(1);
/// Longest pause between two tries.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Why the platform's service gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlatformError {
    /// The exchange failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The request could not be built.
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The value can't be decoded.
    #[error("value: {0}")]
    Value(#[from] serde_json::Error),
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

    /// Keeps the list of VMs for as long as the fleet actor runs.
    ///
    /// The VMs that watch the configuration watch the list too; the others read
    /// it now and then, the more rarely the larger the fleet is, so that the
    /// reads of the whole fleet don't grow with it.
    pub(crate) async fn keep_vms(self, fleet: ActorRef<Fleet>, watching: watch::Receiver<bool>) {
        let mut after = None;
        let mut failures = 0;
        let mut listed = 0;
        loop {
            tokio::time::sleep(backoff(failures)).await;
            if after.is_some() {
                wait_for_turn(watching.clone(), listed).await;
            }
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
                    listed = list.vms.len();
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
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(Full::default())?;
        let (status, value) = http_call::call(self.address, request, MAX_VALUE_BYTES).await?;
        match status {
            StatusCode::OK => Ok(Some(value)),
            StatusCode::NO_CONTENT => Ok(None),
            status => Err(PlatformError::Status(status)),
        }
    }
}

fn parse_vms(value: &[u8]) -> Result<VmList, PlatformError> {
    Ok(serde_json::from_slice(value)?)
}

/// Waits until this VM watches, or until it is its turn to read the list.
async fn wait_for_turn(mut watching: watch::Receiver<bool>, listed: usize) {
    let usual = VM_LIST_INTERVAL_PER_VM.saturating_mul(listed as u32);
    let turn = usual.mul_f64(rand::rng().random_range(0.5..1.5));
    // The sender lives as long as the fleet actor.
    let _ = tokio::time::timeout(turn, watching.wait_for(|watching| *watching)).await;
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
