//! Requests to the admin ports of several VMs in parallel.

use std::{net::SocketAddr, time::Duration};

use hyper::{HeaderMap, StatusCode};
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use crate::http_client::{self, HttpError};

/// Response of one VM, or the reason that there is none.
#[derive(Debug)]
pub(crate) struct VmResponse<T> {
    /// Admin address of the VM.
    pub(crate) address: SocketAddr,
    /// Content of the page, or the error.
    pub(crate) result: Result<T, HttpError>,
}

/// Requests a page from each address; the responses are in the order of the addresses.
pub(crate) async fn fetch_all<T>(
    addresses: &[SocketAddr],
    path: &'static str,
    timeout: Duration,
) -> anyhow::Result<Vec<VmResponse<T>>>
where
    T: DeserializeOwned + Send + 'static,
{
    let mut tasks = JoinSet::new();
    for (position, &address) in addresses.iter().enumerate() {
        tasks.spawn(async move { (position, fetch(address, path, timeout).await) });
    }
    let mut responses = Vec::with_capacity(addresses.len());
    while let Some(joined) = tasks.join_next().await {
        responses.push(joined?);
    }
    responses.sort_by_key(|&(position, _)| position);
    Ok(responses.into_iter().map(|(_, response)| response).collect())
}

async fn fetch<T: DeserializeOwned>(
    address: SocketAddr,
    path: &'static str,
    timeout: Duration,
) -> VmResponse<T> {
    let response = http_client::get(address, path, HeaderMap::new(), timeout).await;
    VmResponse { address, result: response.and_then(|response| decode(address, path, &response)) }
}

fn decode<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    response: &http_client::HttpResponse,
) -> Result<T, HttpError> {
    if response.status != StatusCode::OK {
        let path = path.to_owned();
        return Err(HttpError::Status { address, path, status: response.status });
    }
    serde_json::from_slice(&response.body).map_err(|cause| HttpError::Body {
        address,
        path: path.to_owned(),
        cause,
    })
}
