//! Client of a daemon's admin port.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use pistachiotrack_core::admin::{EndpointStatus, MemberStatus, Status};
use serde::de::DeserializeOwned;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// A client of admin ports.
#[derive(Clone, Debug)]
pub struct AdminClient {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Default for AdminClient {
    fn default() -> AdminClient {
        AdminClient { client: Client::builder(TokioExecutor::new()).build_http() }
    }
}

impl AdminClient {
    /// Requests the status.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer in time.
    pub async fn status(&self, address: SocketAddr) -> anyhow::Result<Status> {
        self.fetch(address, "/status").await
    }

    /// Requests the endpoints of the shards that the VM owns.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer in time.
    pub async fn endpoints(&self, address: SocketAddr) -> anyhow::Result<Vec<EndpointStatus>> {
        self.fetch(address, "/endpoints").await
    }

    /// Requests the VM's membership view.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer in time.
    pub async fn members(&self, address: SocketAddr) -> anyhow::Result<Vec<MemberStatus>> {
        self.fetch(address, "/members").await
    }

    /// Injects a fault of the paths from the VM to endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM doesn't accept it in time.
    pub async fn set_endpoint_paths(&self, address: SocketAddr, fault: &str) -> anyhow::Result<()> {
        let uri = format!("http://{address}/faults/endpoint-paths/{fault}");
        let request = Request::post(uri).body(Empty::new())?;
        let answer = tokio::time::timeout(TIMEOUT, self.client.request(request)).await??;
        anyhow::ensure!(answer.status().is_success(), "status {}", answer.status());
        Ok(())
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let uri = format!("http://{address}{path}").parse()?;
        let exchange = async {
            let answer = self.client.get(uri).await?;
            anyhow::ensure!(answer.status().is_success(), "status {}", answer.status());
            Ok(answer.into_body().collect().await?.to_bytes())
        };
        let body = tokio::time::timeout(TIMEOUT, exchange).await??;
        Ok(serde_json::from_slice(&body)?)
    }
}
