//! An HTTP client as callers use it.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::HOST,
};
use hyper_util::rt::TokioIo;
use pistachiotrack_core::header;
use serde_json::Value;
use tokio::{net::TcpStream, task::JoinHandle};

use super::CUSTOMER;

/// Returns a request of the tests' customer.
pub(crate) fn request(method: Method, path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, "fleet")
        .header(header::CUSTOMER, CUSTOMER)
        .body(Full::new(body.into()))
        .unwrap()
}

/// Returns a GET request of the tests' customer.
pub(crate) fn get(path: &str) -> Request<Full<Bytes>> {
    request(Method::GET, path, "")
}

/// Returns a request with one more header.
pub(crate) fn with_header(
    mut request: Request<Full<Bytes>>,
    name: &'static str,
    value: &str,
) -> Request<Full<Bytes>> {
    request.headers_mut().insert(name, value.parse().unwrap());
    request
}

/// A caller's connection.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to a VM.
    pub(crate) async fn open(address: SocketAddr) -> Connection {
        let stream = TcpStream::connect(address).await.unwrap();
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Connection { sender, driver }
    }

    /// Sends a request and returns the answer once its head has arrived.
    pub(crate) async fn begin(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        let answer = async {
            self.sender.ready().await?;
            self.sender.send_request(request).await
        };
        tokio::time::timeout(HANG_LIMIT, answer).await.expect("an answer should begin in time")
    }

    /// Sends a request and returns the whole answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Bytes>> {
        whole(self.begin(request).await?).await
    }

    /// Closes the connection without waiting for requests in flight.
    pub(crate) fn abort(self) {
        self.driver.abort();
    }
}

/// Reads the rest of an answer.
pub(crate) async fn whole(response: Response<Incoming>) -> hyper::Result<Response<Bytes>> {
    let (parts, body) = response.into_parts();
    let body =
        tokio::time::timeout(HANG_LIMIT, body.collect()).await.expect("a body should end in time");
    let body = body?.to_bytes();
    Ok(Response::from_parts(parts, body))
}

/// Sends a request on a new connection and returns the whole answer.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> hyper::Result<Response<Bytes>> {
    Connection::open(address).await.send(request).await
}

/// Returns the value of a header of an answer.
pub(crate) fn header_text<'a>(response: &'a Response<Bytes>, name: &str) -> Option<&'a str> {
    response.headers().get(name).map(|value| value.to_str().unwrap())
}

/// Returns the admin port's JSON answer to `path`.
pub(crate) async fn admin(address: SocketAddr, path: &str) -> Value {
    let response = send(address, get(path)).await.unwrap();
    serde_json::from_slice(response.body()).unwrap()
}

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which a condition that isn't met fails the test, so that the test
/// can't hang.
pub(crate) const HANG_LIMIT: Duration = Duration::from_secs(20);

/// Waits until the admin port's answer to `path` meets `condition`.
pub(crate) async fn wait_for(address: SocketAddr, path: &str, condition: impl Fn(&Value) -> bool) {
    let start = Instant::now();
    loop {
        let value = admin(address, path).await;
        if condition(&value) {
            return;
        }
        assert!(start.elapsed() < HANG_LIMIT, "{path} still answers {value}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a daemon serves.
pub(crate) async fn wait_until_serving(admin_address: SocketAddr) {
    wait_for(admin_address, "/status", |status| status["state"] == "serving").await;
}
