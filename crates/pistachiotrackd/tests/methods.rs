//! Requests with methods that few callers use.

mod testenv;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::Method;
use pistachiotrack_core::header;
use serde_json::json;
use testenv::{CUSTOMER, Deployment, client, endpoint::Endpoint, fleet::bounded};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Bytes that a caller sends through what it takes for a tunnel.
const TUNNELLED: &[u8] = b"tunnelled";
/// Time after which a connection on which nothing happens must have been closed.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// An endpoint that answers each request with 200, whatever its method, and keeps what it gets.
async fn accepting_endpoint() -> (Endpoint, Arc<Mutex<Vec<u8>>>) {
    let received = Arc::<Mutex<Vec<u8>>>::default();
    let log = Arc::clone(&received);
    let endpoint = Endpoint::serve(move |mut stream| {
        let log = Arc::clone(&log);
        async move {
            let mut bytes = [0; 4_096];
            while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                log.lock().unwrap().extend_from_slice(&bytes[..count]);
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfound";
                if bytes[..count].ends_with(b"\r\n\r\n") && stream.write_all(answer).await.is_err()
                {
                    return;
                }
            }
        }
    })
    .await;
    (endpoint, received)
}

fn head(method: &str, target: &str) -> Vec<u8> {
    format!(
        "{method} {target} HTTP/1.1\r\nhost: fleet\r\npistachiotrack-customer: {CUSTOMER}\r\n\r\n"
    )
    .into_bytes()
}

/// Sends a request and then bytes for a tunnel, and returns all that comes back until the connection is
/// closed.
async fn send_through(deployment: &Deployment, method: &str, target: &str) -> String {
    let mut stream = TcpStream::connect(deployment.address()).await.unwrap();
    stream.write_all(&head(method, target)).await.unwrap();
    let mut answer = vec![0; 4_096];
    let count = stream.read(&mut answer).await.unwrap();
    answer.truncate(count);
    // The VM may have closed the connection.
    let _ = stream.write_all(TUNNELLED).await;
    let _ = stream.write_all(b"\r\n\r\n").await;
    let rest = stream.read_to_end(&mut answer);
    // A connection that is reset is closed, too.
    let _ = tokio::time::timeout(CLOSE_LIMIT, rest).await.expect("the connection should end");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a tunnel to an endpoint, through which a caller could send it requests that no rule
/// allows, and against a CONNECT that an endpoint runs and whose answer is lost.
#[tokio::test]
async fn a_connect_is_refused_and_opens_no_tunnel() {
    for target in ["/slots/7", "fleet:443", "http://fleet/slots/7", "*"] {
        bounded(async {
            let (endpoint, received) = accepting_endpoint().await;
            let deployment = Deployment::start(&[endpoint.address], &[]).await;
            let answer = send_through(&deployment, "CONNECT", target).await;
            assert!(answer.starts_with("HTTP/1.1 400 "), "{target}: {answer}");
            assert!(answer.contains("pistachiotrack-outcome: not-run"), "{target}: {answer}");
            assert!(received.lock().unwrap().is_empty(), "{target}");
        })
        .await;
    }
}

/// Guards against a tunnel through a VM that gets a CONNECT from another VM, such as one of an earlier
/// version.
#[tokio::test]
async fn a_forwarded_connect_is_refused() {
    bounded(async {
        let (endpoint, received) = accepting_endpoint().await;
        let deployment = Deployment::start(&[endpoint.address], &[]).await;
        let route = json!({"shard": {"service": "slot-search", "index": 0}, "customer": CUSTOMER,
                           "class": "standard", "idempotent": true, "hedge": false});
        let request = client::request(Method::CONNECT, "/slots/7", "");
        let request = client::with_header(request, header::HOP, "vm-02");
        let request = client::with_header(request, header::ROUTE, &route.to_string());
        let request = client::with_header(request, header::DEADLINE_MS, "3000");
        let refused = client::send(deployment.daemon.peer_address(), request).await.unwrap();
        assert_eq!(refused.status(), 400);
        assert!(received.lock().unwrap().is_empty());
    })
    .await;
}

/// Guards against a method that an endpoint answers well and whose answer the caller doesn't get.
#[tokio::test]
async fn an_endpoint_answers_requests_of_any_other_method() {
    let (endpoint, received) = accepting_endpoint().await;
    let deployment = Deployment::start(&[endpoint.address], &[]).await;
    for method in ["OPTIONS", "TRACE", "DELETE", "PROPFIND", "BREW", "connect", "M-SEARCH", "PRI"] {
        let request = client::request(method.parse().unwrap(), "/slots/7", "");
        let mut caller = client::Connection::open(deployment.address()).await;
        let answer = caller.send(request).await.unwrap();
        assert_eq!(
            (answer.status().as_u16(), &answer.body()[..]),
            (200, &b"found"[..]),
            "{method}"
        );
        let found = caller.send(client::get("/slots/7")).await.unwrap();
        assert_eq!(found.body(), "found", "{method}: {found:?}");
        let received = String::from_utf8_lossy(&received.lock().unwrap()).into_owned();
        assert!(received.contains(&format!("{method} /slots/7 ")), "{method}: {received}");
    }
}
