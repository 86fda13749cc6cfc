//! Client of the platform's configuration service and of its list of a deployment's
//! VMs; both are only read.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    header::{ACCEPT_ENCODING, CONTENT_ENCODING, HOST, HeaderValue},
};
use kameo::actor::Recipient;
use pistachiotrack_core::{
    config::MAX_VALUE_BYTES, config_sync::ListReadSchedule, name::Name, vm::VmList,
};
use tokio::sync::watch;

use crate::{
    config::{
        settings::Settings,
        source::{ConfigSource, PublishedConfig, SourceError, SourceReading},
    },
    formats::gzip::{self, GzipError},
    runtime::{
        clock::Clock,
        http_call::{self, CallError},
    },
    stats::traffic::{Locality, Topic, Traffic},
};

/// Time for which a watch waits for a newer value.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Timeout of a response in addition to the wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Content coding that the platform may use.
const GZIP: &str = "gzip";

/// Why a request to the platform failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlatformError {
    /// The exchange failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The request can't be built.
    #[error("request can't be built: {0}")]
    Request(#[from] hyper::http::Error),
    /// The value can't be decoded.
    #[error("value can't be decoded: {0}")]
    Value(#[from] serde_json::Error),
    /// The compressed value can't be decoded.
    #[error(transparent)]
    Gzip(#[from] GzipError),
    /// The response has an unsupported content coding.
    #[error("unsupported content-encoding {0:?}")]
    Encoding(String),
    /// The response has an unexpected status.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// No response arrived in time.
    #[error("no response in time")]
    TimedOut,
}

/// The VM list as read from the platform.
pub(crate) struct VmListReceived(pub(crate) VmList);

/// Client that reads a deployment's values from the platform.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    address: SocketAddr,
    deployment: Name,
    clock: Clock,
    traffic: Arc<Traffic>,
}

impl Platform {
    /// Creates a client for the deployment in the settings.
    pub(crate) fn new(settings: &Settings, traffic: Arc<Traffic>) -> Platform {
        Platform {
            address: settings.platform_address,
            deployment: settings.deployment.clone(),
            clock: Clock::start(),
            traffic,
        }
    }

    /// Keeps the fleet actor's VM list up to date for as long as the actor runs.
    ///
    /// VMs that watch the configuration watch the list too; the others poll it at
    /// an interval that grows with the size of the fleet, so that the rate of reads
    /// of the whole fleet doesn't.
    pub(crate) async fn maintain_vm_list(
        self,
        fleet: Recipient<VmListReceived>,
        watching: watch::Receiver<bool>,
        mut reads: ListReadSchedule,
    ) {
        let path = format!("/v1/vms/{}", self.deployment);
        let mut after = None;
        tokio::time::sleep(reads.first_delay()).await;
        loop {
            if after.is_some() {
                wait_for_next_read(watching.clone(), reads.next_poll_delay()).await;
            }
            let list = match self.watch(&path, after).await {
                Ok(Some(value)) => parse_vms(&value),
                Ok(None) => {
                    reads.on_unchanged();
                    continue;
                }
                Err(error) => Err(error),
            };
            match list {
                Ok(list) => {
                    reads.on_list(list.vms.len());
                    after = Some(list.version);
                    if fleet.tell(VmListReceived(list)).try_send().is_err() {
                        return;
                    }
                }
                Err(error) => {
                    log::warn!("event=vm_list_unavailable error={:?}", error.to_string());
                    tokio::time::sleep(reads.on_failure()).await;
                }
            }
        }
    }

    async fn watch(&self, path: &str, after: Option<u64>) -> Result<Option<Bytes>, PlatformError> {
        self.read_after(path, after, WATCH_WAIT).await
    }

    async fn read_after(
        &self,
        path: &str,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<Bytes>, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = match after {
            Some(after) => format!("{path}?after={after}&wait_ms={wait_ms}"),
            None => path.to_owned(),
        };
        tokio::time::timeout(wait + RESPONSE_TIMEOUT, self.read(&path))
            .await
            .map_err(|_| PlatformError::TimedOut)?
    }

    async fn read(&self, path: &str) -> Result<Option<Bytes>, PlatformError> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(ACCEPT_ENCODING, GZIP)
            .body(Full::default())?;
        self.traffic.sent(Topic::Platform, Locality::Unknown, path.len());
        let response = http_call::call(self.address, request, MAX_VALUE_BYTES).await?;
        self.traffic.received(Topic::Platform, Locality::Unknown, response.body().len());
        match response.status() {
            StatusCode::OK => Ok(Some(decode_value(response)?)),
            StatusCode::NO_CONTENT => Ok(None),
            status => Err(PlatformError::Status(status)),
        }
    }
}

impl ConfigSource for Platform {
    fn config(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> BoxFuture<'_, Result<SourceReading, SourceError>> {
        Box::pin(async move {
            let asked_at = Some(self.clock.now());
            let path = format!("/v1/config/{}", self.deployment);
            let value = self.read_after(&path, after, wait).await.map_err(SourceError::new)?;
            Ok(SourceReading { config: value.map(PublishedConfig::Encoded), asked_at })
        })
    }
}

/// Returns the value in a response, decompressed if needed.
fn decode_value(response: Response<Bytes>) -> Result<Bytes, PlatformError> {
    match response.headers().get(CONTENT_ENCODING).map(HeaderValue::as_bytes) {
        None | Some(b"identity") => Ok(response.into_body()),
        Some(coding) if coding.eq_ignore_ascii_case(GZIP.as_bytes()) => {
            Ok(gzip::decode(response.body(), MAX_VALUE_BYTES)?)
        }
        Some(coding) => Err(PlatformError::Encoding(String::from_utf8_lossy(coding).into_owned())),
    }
}

fn parse_vms(value: &[u8]) -> Result<VmList, PlatformError> {
    Ok(serde_json::from_slice(value)?)
}

/// Waits until this VM becomes a watcher, or until `delay` has passed.
async fn wait_for_next_read(mut watching: watch::Receiver<bool>, delay: Duration) {
    // The sender lives as long as the fleet actor.
    let _ = tokio::time::timeout(delay, watching.wait_for(|watching| *watching)).await;
}
