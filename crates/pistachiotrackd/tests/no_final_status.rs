//! Endpoints whose answers have a status that is no final status of HTTP: health checks, and requests
//! with an idempotency key.

mod testenv;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use pistachiotrack_core::header;
use testenv::{
    Deployment, client,
    endpoint::{Endpoint, read_request_line},
    fleet::bounded,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet};

const STATUSES: [&str; 10] = ["000", "099", "101", "600", "700", "999", "20", "2000", "2OO", "abc"];

async fn write_answer(stream: &mut TcpStream, status: &str) -> bool {
    let answer = format!("HTTP/1.1 {status} Status\r\ncontent-length: 5\r\n\r\nslots");
    stream.write_all(answer.as_bytes()).await.is_ok()
}

/// Sends lookups until the first endpoint, which fails them, is suspect, and waits until it is ejected.
async fn check_health_checks(status: &'static str) {
    let health_checks = Arc::<AtomicUsize>::default();
    let count = Arc::clone(&health_checks);
    let faulty = Endpoint::serve(move |mut stream| {
        let count = Arc::clone(&count);
        async move {
            while let Some(line) = read_request_line(&mut stream).await {
                let is_lookup = line.contains("/slots");
                count.fetch_add(usize::from(!is_lookup), Ordering::SeqCst);
                let status = if is_lookup { "500" } else { status };
                if !write_answer(&mut stream, status).await {
                    return;
                }
            }
        }
    })
    .await;
    let mut addresses = vec![faulty.address];
    for _ in 0..3 {
        addresses.push(Endpoint::answering("free slots").await.address);
    }
    let deployment = Deployment::start(&addresses, &[]).await;
    while deployment.endpoint_state("slot-search-0").await == "healthy" {
        client::send(deployment.address(), client::get("/slots")).await.unwrap();
    }
    assert_eq!(deployment.endpoint_state("slot-search-0").await, "suspect", "{status}");
    deployment.wait_until_ejected("slot-search-0").await;
    assert!(health_checks.load(Ordering::SeqCst) > 0, "{status}: no health check was sent");
}

/// Guards against an endpoint that counts as a sound one because it sends what is no answer to its
/// health checks.
#[tokio::test(flavor = "multi_thread")]
async fn a_health_check_whose_answer_has_no_final_status_fails() {
    bounded(async {
        let checks: JoinSet<()> = STATUSES.into_iter().map(check_health_checks).collect();
        checks.join_all().await;
    })
    .await;
}

fn keyed_booking() -> Request<Full<Bytes>> {
    let request = client::request(Method::POST, "/bookings", "");
    client::with_header(request, header::IDEMPOTENCY_KEY, "clerk-4-slot-7")
}

/// Guards against what is no answer and is stored for duplicates, and against a duplicate that runs.
#[tokio::test]
async fn an_answer_without_a_final_status_is_not_stored_for_duplicates() {
    for status in STATUSES {
        let runs = Arc::<AtomicUsize>::default();
        let count = Arc::clone(&runs);
        let booking = Endpoint::serve(move |mut stream| {
            let count = Arc::clone(&count);
            async move {
                while let Some(line) = read_request_line(&mut stream).await {
                    count.fetch_add(usize::from(line.contains("/bookings")), Ordering::SeqCst);
                    if !write_answer(&mut stream, status).await {
                        return;
                    }
                }
            }
        })
        .await;
        let deployment = Deployment::start(&[], &[booking.address]).await;
        for _ in 0..2 {
            let refused = client::send(deployment.address(), keyed_booking()).await.unwrap();
            assert_eq!(client::header_text(&refused, header::OUTCOME), Some("unknown"), "{status}");
        }
        assert_eq!(runs.load(Ordering::SeqCst), 1, "{status}");
    }
}
