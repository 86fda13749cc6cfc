//! Log lines that name the endpoint of a malformed answer and what was wrong with it.

mod testenv;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use pistachiotrack_core::header;
use serde_json::json;
use testenv::{
    client, config,
    endpoint::{Endpoint, read_request_line},
    fleet::bounded,
    platform::Platform,
    process::DaemonProcess,
};
use tokio::io::AsyncWriteExt;

/// Malformed answers, and what is logged of them.
const ANSWERS: [(&str, &str); 3] = [
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\nslots",
        r#"error="bytes that are no answer: invalid content-length parsed""#,
    ),
    (
        "HTTP/1.1 999 Status\r\nContent-Length: 5\r\n\r\nslots",
        r#"error="999 is not the status of a final answer""#,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkedx\r\n\r\n5\r\nslots\r\n0\r\n\r\n",
        r#"error="transfer coding \"chunkedx\" isn't supported""#,
    ),
];
/// An answer whose head is in order.
const MALFORMED_CHUNK: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nfre\r\n0x2\r\ne \r\n0\r\n\r\n";

/// Time between two checks whether an endpoint is still suspect. It gets a health check when it has got no
/// lookups for a while.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts an endpoint that sends this answer to all requests but those to `/slots`, which it fails.
async fn start_endpoint(answer: &'static str) -> Endpoint {
    Endpoint::serve(move |mut stream| async move {
        while let Some(line) = read_request_line(&mut stream).await {
            let failure = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
            let sent = if line.contains("/slots") { failure } else { answer };
            if stream.write_all(sent.as_bytes()).await.is_err() {
                return;
            }
        }
    })
    .await
}

async fn start(search: &[SocketAddr], booking: &[SocketAddr]) -> (Platform, DaemonProcess) {
    let platform = Platform::start().await;
    platform.publish_config(config(1, search, booking));
    let vm = DaemonProcess::start("vm-01", platform.address).await;
    client::wait_until_serving(vm.admin_address).await;
    (platform, vm)
}

fn booking() -> Request<Full<Bytes>> {
    client::request(Method::POST, "/bookings", "slot 7")
}

/// Guards against a booking that is unknown without a line that tells why.
#[tokio::test]
async fn an_attempt_says_why_its_answer_is_none() {
    for (answer, error) in ANSWERS {
        let endpoint = start_endpoint(answer).await;
        let (_platform, vm) = start(&[], &[endpoint.address]).await;
        client::send(vm.caller_address, booking()).await.unwrap();
        vm.wait_for_line(&["event=attempt_ended", " endpoint=booking-0 ", error]).await;
    }
}

/// Guards against an answer that is broken off in its body and leaves no line.
#[tokio::test]
async fn an_answer_that_breaks_off_names_its_endpoint() {
    let endpoint = start_endpoint(MALFORMED_CHUNK).await;
    let (_platform, vm) = start(&[], &[endpoint.address]).await;
    client::send(vm.caller_address, booking()).await.unwrap_err();
    let address = format!(" address={} ", endpoint.address);
    let parts = ["event=answer_broken", " endpoint=booking-0 ", &address, "chunk size"];
    vm.wait_for_line(&parts).await;
}

/// Guards against an endpoint that is ejected for its answers to health checks without a line that tells
/// so.
#[tokio::test]
async fn a_health_check_says_why_its_answer_is_none() {
    bounded(check_health_checks()).await;
}

async fn check_health_checks() {
    for (answer, error) in ANSWERS {
        let endpoint = start_endpoint(answer).await;
        let sound = Endpoint::answering("free slots").await;
        let (_platform, vm) = start(&[endpoint.address, sound.address], &[]).await;
        let is_logged = || vm.log().iter().any(|line| line.contains("event=probe_failed"));
        while !is_logged() {
            let endpoints = client::admin(vm.admin_address, "/endpoints").await;
            if endpoints.to_string().contains("suspect") {
                tokio::time::sleep(POLL_INTERVAL).await;
            } else {
                client::send(vm.caller_address, client::get("/slots")).await.unwrap();
            }
        }
        vm.wait_for_line(&["event=probe_failed", " endpoint=slot-search-0 ", error]).await;
    }
}

/// Guards against a VM that relays a request and tells only the other VM that it has failed.
#[tokio::test]
async fn a_relay_says_why_an_answer_is_none() {
    for (answer, error) in ANSWERS {
        let endpoint = start_endpoint(answer).await;
        let (_platform, vm) = start(&[], &[endpoint.address]).await;
        let relayed = json!({"endpoint": "booking-0", "address": endpoint.address, "fresh": false,
            "any": false, "not_after_us": 2_000_000, "time_limit_us": 2_000_000});
        let request = client::with_header(booking(), header::VIA, &relayed.to_string());
        client::send(vm.peer_address, request).await.unwrap();
        let address = format!(" address={} ", endpoint.address);
        vm.wait_for_line(&["event=relayed_request_failed", &address, error]).await;
    }
}
