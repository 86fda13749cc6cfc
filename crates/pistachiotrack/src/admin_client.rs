//! Asks the admin ports of several VMs at the same time.

use std::{net::SocketAddr, time::Duration};

use hyper::{HeaderMap, StatusCode};
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use crate::http_client::{self, HttpError};

/// What one VM answered, or why it didn't.
#[derive(Debug)]
pub(crate) struct Reply<T> {
    /// Admin address asked.
    pub(crate) address: SocketAddr,
    /// The answer.
    pub(crate) answer: Result<T, HttpError>,
}

/// Asks each address for a page; the replies keep the order of the addresses.
pub(crate) async fn ask_all<T>(
    addresses: &[SocketAddr],
    path: &'static str,
    timeout: Duration,
) -> anyhow::Result<Vec<Reply<T>>>
where
    T: DeserializeOwned + Send + 'static,
{
    let mut tasks = JoinSet::new();
    for (position, &address) in addresses.iter().enumerate() {
        tasks.spawn(async move { (position, ask(address, path, timeout).await) });
    }
    let mut replies = Vec::with_capacity(addresses.len());
    while let Some(joined) = tasks.join_next().await {
        replies.push(joined?);
    }
    replies.sort_by_key(|&(position, _)| position);
    Ok(replies.into_iter().map(|(_, reply)| reply).collect())
}

async fn ask<T: DeserializeOwned>(
    address: SocketAddr,
    path: &'static str,
    timeout: Duration,
) -> Reply<T> {
    let answer = http_client::get(address, path, HeaderMap::new(), timeout).await;
    Reply { address, answer: answer.and_then(|answer| decode(address, path, &answer)) }
}

fn decode<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    answer: &http_client::Answer,
) -> Result<T, HttpError> {
    if answer.status != StatusCode::OK {
        let path = path.to_owned();
        return Err(HttpError::Status { address, path, status: answer.status });
    }
    serde_json::from_slice(&answer.body).map_err(|cause| HttpError::Body {
        address,
        path: path.to_owned(),
        cause,
    })
}
