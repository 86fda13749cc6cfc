//! A fake of the platform's configuration service and list of VMs.

use std::{
    convert::Infallible,
    io::{Read, Write},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use flate2::{Compression, write::GzEncoder};
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

/// A fake platform.
pub(crate) struct Platform {
    /// Address that the platform listens on.
    pub(crate) address: SocketAddr,
    config: watch::Sender<Value>,
    vms: watch::Sender<Value>,
    fault: watch::Sender<PlatformFault>,
    coding: watch::Sender<Coding>,
    config_reads: Arc<AtomicU64>,
}

/// Fault of a fake platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PlatformFault {
    /// No fault.
    #[default]
    None,
    /// Every read is refused.
    Unavailable,
    /// Every read is answered at once with the present value, also if that is older than the
    /// requested one.
    AnswersStale,
}

/// Content coding in which a fake platform sends values to clients that accept gzip.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Coding {
    /// Not compressed.
    #[default]
    Plain,
    /// Compressed with gzip.
    Gzip,
    /// Compressed with gzip, with 16 MiB of blanks after the value.
    GzipBomb,
}

const BOMB_BYTES: usize = 16 << 20;

/// Delay of an answer of a platform with [`PlatformFault::AnswersStale`].
const STALE_ANSWER_DELAY: Duration = Duration::from_millis(50);

impl Platform {
    /// Starts a platform without a configuration and with an empty list of VMs.
    pub(crate) async fn start() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (config, config_receiver) = watch::channel(Value::Null);
        let (vms, vms_receiver) = watch::channel(json!({"version": 1, "vms": []}));
        let (fault, fault_receiver) = watch::channel(PlatformFault::None);
        let (coding, coding_receiver) = watch::channel(Coding::Plain);
        let config_reads = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&config_reads);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (config, vms) = (config_receiver.clone(), vms_receiver.clone());
                let fault = fault_receiver.clone();
                let coding = coding_receiver.clone();
                let counter = Arc::clone(&counter);
                let service = service_fn(move |request| {
                    let value = match request.uri().path() {
                        "/v1/config/timeliten" => {
                            counter.fetch_add(1, Ordering::Relaxed);
                            Some(config.clone())
                        }
                        "/v1/vms/timeliten" => Some(vms.clone()),
                        _ => None,
                    };
                    let (fault, coding) = (fault.clone(), coding.clone());
                    async move {
                        let accepts_gzip = request
                            .headers()
                            .get(ACCEPT_ENCODING)
                            .is_some_and(|coding| coding == "gzip");
                        match value {
                            Some(value) => {
                                let answer = answer(request, value, fault).await;
                                let coding = *coding.borrow();
                                let coding = if accepts_gzip { coding } else { Coding::Plain };
                                Ok::<_, Infallible>(encoded_answer(answer, coding))
                            }
                            None => Ok(not_found()),
                        }
                    }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Platform { address, config, vms, fault, coding, config_reads }
    }

    /// Publishes a configuration.
    pub(crate) fn publish_config(&self, config: Value) {
        self.config.send_replace(config);
    }

    /// Sets the fault of the platform.
    pub(crate) fn set_fault(&self, fault: PlatformFault) {
        self.fault.send_replace(fault);
    }

    /// Returns the number of reads of the configuration that have begun.
    pub(crate) fn reads(&self) -> u64 {
        self.config_reads.load(Ordering::Relaxed)
    }

    /// Sets the content coding of values from now on.
    pub(crate) fn set_coding(&self, coding: Coding) {
        self.coding.send_replace(coding);
    }

    /// Publishes a list of VMs.
    pub(crate) fn publish_vms(&self, vms: Value) {
        self.vms.send_replace(vms);
    }
}

fn encoded_answer(answer: Response<String>, coding: Coding) -> Response<Full<Bytes>> {
    let (mut head, value) = answer.into_parts();
    if value.is_empty() || coding == Coding::Plain {
        return Response::from_parts(head, Full::from(value));
    }
    let blanks = if coding == Coding::GzipBomb { BOMB_BYTES } else { 0 };
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value.as_bytes()).unwrap();
    std::io::copy(&mut std::io::repeat(b' ').take(blanks as u64), &mut encoder).unwrap();
    head.headers.insert(CONTENT_ENCODING, HeaderValue::from_static("gzip"));
    Response::from_parts(head, Full::from(encoder.finish().unwrap()))
}

fn not_found() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}

async fn answer(
    request: Request<Incoming>,
    mut value: watch::Receiver<Value>,
    mut fault: watch::Receiver<PlatformFault>,
) -> Response<String> {
    let after = query_number(&request, "after=");
    let wait = Duration::from_millis(query_number(&request, "wait_ms=").unwrap_or(0));
    let newer = |value: &Value| value["version"].as_u64().is_some_and(|v| Some(v) > after);
    let mut response = Response::new(String::new());
    let found = tokio::select! {
        biased;
        _ = fault.wait_for(|fault| *fault != PlatformFault::None) => None,
        found = tokio::time::timeout(wait, value.wait_for(newer)) => {
            found.ok().and_then(Result::ok).map(|value| value.to_string())
        }
    };
    let fault = *fault.borrow();
    match (fault, found) {
        (PlatformFault::AnswersStale, _) => {
            tokio::time::sleep(STALE_ANSWER_DELAY).await;
            *response.body_mut() = value.borrow().to_string();
        }
        (PlatformFault::None, Some(value)) => *response.body_mut() = value,
        (PlatformFault::None, None) if after.is_some() => {
            *response.status_mut() = StatusCode::NO_CONTENT;
        }
        _ => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
    }
    response
}

fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix(name))?.parse().ok()
}
