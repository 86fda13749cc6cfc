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
}

impl Platform {
    /// Starts a platform without a configuration and with an empty list of VMs.
    pub(crate) async fn start() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (config, config_receiver) = watch::channel(Value::Null);
        let (vms, vms_receiver) = watch::channel(json!({"version": 1, "vms": []}));
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (config, vms) = (config_receiver.clone(), vms_receiver.clone());
                let service = service_fn(move |request| {
                    let value = match request.uri().path() {
                        "/v1/config/timeliten" => config.clone(),
                        _ => vms.clone(),
                    };
                    answer(request, value)
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Platform { address, config, vms }
    }

    /// Publishes a configuration.
    pub(crate) fn publish_config(&self, config: Value) {
        self.config.send_replace(config);
    }

    /// Publishes a list of VMs.
    pub(crate) fn publish_vms(&self, vms: Value) {
        self.vms.send_replace(vms);
    }
}

async fn answer(
    request: Request<Incoming>,
    mut value: watch::Receiver<Value>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let after = number(&request, "after=");
    let wait = Duration::from_millis(number(&request, "wait_ms=").unwrap_or(0));
    let newer = |value: &Value| value["version"].as_u64().is_some_and(|v| Some(v) > after);
    let found = tokio::time::timeout(wait, value.wait_for(newer)).await;
    let mut response = Response::new(Full::default());
    match found {
        Ok(Ok(value)) => *response.body_mut() = Full::from(value.to_string()),
        _ if after.is_none() => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        _ => *response.status_mut() = StatusCode::NO_CONTENT,
    }
    Ok(response)
}

fn number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix(name))?.parse().ok()
}
