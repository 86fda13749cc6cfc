//! A fake of the platform's configuration service and list of VMs.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

/// A fake platform.
pub(crate) struct Platform {
    /// Address that it serves on.
    pub(crate) address: SocketAddr,
    config: watch::Sender<Value>,
    vms: watch::Sender<Value>,
    fault: watch::Sender<PlatformFault>,
}

/// What is wrong with a fake platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PlatformFault {
    /// Nothing.
    #[default]
    None,
    /// It refuses every read.
    Away,
    /// It answers with what it has at once, however old that is.
    Older,
}

/// Time after which a platform that answers at once does so.
const OLDER_PAUSE: Duration = Duration::from_millis(50);

impl Platform {
    /// Starts a platform without a configuration and with an empty list of VMs.
    pub(crate) async fn start() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (config, config_receiver) = watch::channel(Value::Null);
        let (vms, vms_receiver) = watch::channel(json!({"version": 1, "vms": []}));
        let (fault, fault_receiver) = watch::channel(PlatformFault::None);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (config, vms) = (config_receiver.clone(), vms_receiver.clone());
                let fault = fault_receiver.clone();
                let service = service_fn(move |request| {
                    let value = match request.uri().path() {
                        "/v1/config/timeliten" => config.clone(),
                        _ => vms.clone(),
                    };
                    answer(request, value, fault.clone())
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Platform { address, config, vms, fault }
    }

    /// Publishes a configuration.
    pub(crate) fn publish_config(&self, config: Value) {
        self.config.send_replace(config);
    }

    /// Makes something go wrong, or mends it.
    pub(crate) fn set_fault(&self, fault: PlatformFault) {
        self.fault.send_replace(fault);
    }

    /// Publishes a list of VMs.
    pub(crate) fn publish_vms(&self, vms: Value) {
        self.vms.send_replace(vms);
    }
}

async fn answer(
    request: Request<Incoming>,
    mut value: watch::Receiver<Value>,
    mut fault: watch::Receiver<PlatformFault>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let after = number(&request, "after=");
    let wait = Duration::from_millis(number(&request, "wait_ms=").unwrap_or(0));
    let newer = |value: &Value| value["version"].as_u64().is_some_and(|v| Some(v) > after);
    let mut response = Response::new(Full::default());
    let found = tokio::select! {
        biased;
        _ = fault.wait_for(|fault| *fault != PlatformFault::None) => None,
        found = tokio::time::timeout(wait, value.wait_for(newer)) => {
            found.ok().and_then(Result::ok).map(|value| value.to_string())
        }
    };
    let fault = *fault.borrow();
    match (fault, found) {
        (PlatformFault::Older, _) => {
            tokio::time::sleep(OLDER_PAUSE).await;
            *response.body_mut() = Full::from(value.borrow().to_string());
        }
        (PlatformFault::None, Some(value)) => *response.body_mut() = Full::from(value),
        (PlatformFault::None, None) if after.is_some() => {
            *response.status_mut() = StatusCode::NO_CONTENT;
        }
        _ => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
    }
    Ok(response)
}

fn number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix(name))?.parse().ok()
}
