//! Limits on callers, and headers that must not be forwarded.

mod testenv;

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use pistachiotrack_core::header;
use serde_json::json;
use testenv::{
    Deployment, client,
    endpoint::{Endpoint, read_to_end},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Bytes that the buffers of both ends of a connection can hold.
const MAX_KERNEL_BYTES: usize = 16 * 1024 * 1024;

/// Callers that send an incomplete head and then nothing would use up all
/// connections if the daemon waited for the rest.
#[tokio::test]
async fn an_incomplete_head_closes_the_connection() {
    let limits = json!({"header_read_timeout_ms": 50});
    let deployment = Deployment::start_with_limits(&[], &[], limits).await;
    let mut stream = TcpStream::connect(deployment.address()).await.unwrap();
    stream.write_all(b"GET /slots HTTP/1.1\r\nhost: ").await.unwrap();
    read_to_end(&mut stream).await;
}

#[tokio::test]
async fn malformed_requests_are_answered_400() {
    let deployment = Deployment::start(&[], &[]).await;
    let mut stream = TcpStream::connect(deployment.address()).await.unwrap();
    stream.write_all(b"this is not http\r\n\r\n").await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
}

#[tokio::test]
async fn too_many_headers_are_refused() {
    let deployment = Deployment::start_with_limits(&[], &[], json!({"header_count": 8})).await;
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let request = names
        .iter()
        .fold(client::get("/slots"), |request, name| client::with_header(request, name, "1"));
    let answer = client::send(deployment.address(), request).await.unwrap();
    assert_eq!(answer.status(), StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
}

#[tokio::test]
async fn a_body_over_the_limit_is_not_run() {
    let booking = Endpoint::answering("").await;
    let limits = json!({"body_bytes": 10});
    let deployment = Deployment::start_with_limits(&[], &[booking.address], limits).await;
    let request = client::request(Method::POST, "/bookings", "eleven byte");
    let answer = client::send(deployment.address(), request).await.unwrap();
    assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(client::header_text(&answer, header::OUTCOME), Some("not-run"));
    assert!(booking.received().is_empty());
}

/// Guards against a caller whose request is refused and that goes on to send its body: the VM reads it
/// for as long as the caller sends.
#[tokio::test]
async fn an_endless_body_of_a_refused_request_is_not_read() {
    let deployment = Deployment::start(&[], &[]).await;
    let mut stream = TcpStream::connect(deployment.address()).await.unwrap();
    let head = "POST /bookings HTTP/1.1\r\nhost: fleet\r\ncontent-length: 1000000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut sent_bytes = 0;
    while sent_bytes < 4 * MAX_KERNEL_BYTES {
        let Ok(bytes) = stream.write(&[b'b'; 64 * 1024]).await else { break };
        sent_bytes += bytes;
    }
    assert!(sent_bytes < MAX_KERNEL_BYTES, "{sent_bytes} bytes were read");
}

#[tokio::test]
async fn a_body_over_the_buffer_size_is_streamed_completely() {
    let booking = Endpoint::answering("booked").await;
    let limits = json!({"buffered_body_bytes": 1000});
    let deployment = Deployment::start_with_limits(&[], &[booking.address], limits).await;
    let body: Vec<u8> = (0..200_000u32).map(|index| index as u8).collect();
    let request = client::request(Method::POST, "/bookings", body.clone());
    let answer = client::send(deployment.address(), request).await.unwrap();
    assert_eq!(answer.body(), "booked");
    assert_eq!(booking.received()[0].body(), &body);
}

#[tokio::test]
async fn hop_by_hop_and_fleet_headers_are_not_forwarded() {
    let search = Endpoint::start(|_| async {
        let response = hyper::Response::builder()
            .header("x-answer", "kept")
            .header("keep-alive", "timeout=5")
            .header(header::OUTCOME, "not-run");
        response.body(http_body_util::Full::default()).unwrap()
    })
    .await;
    let deployment = Deployment::start(&[search.address], &[]).await;
    let mut request = client::get("/slots");
    for (name, value) in
        [("connection", "x-secret"), ("x-secret", "1"), ("te", "trailers"), ("x-asked", "kept")]
    {
        request = client::with_header(request, name, value);
    }
    request = client::with_header(request, header::HOP, "vm-99");
    let answer = client::send(deployment.address(), request).await.unwrap();
    assert_eq!(client::header_text(&answer, "x-answer"), Some("kept"));
    assert_eq!(client::header_text(&answer, "keep-alive"), None);
    assert_eq!(client::header_text(&answer, header::OUTCOME), None);
    let received = search.received();
    let fields = received[0].headers();
    assert_eq!(fields["x-asked"], "kept");
    for name in ["connection", "x-secret", "te", header::HOP] {
        assert!(!fields.contains_key(name), "{name}");
    }
}

#[tokio::test]
async fn a_request_without_a_customer_is_not_run() {
    let deployment = Deployment::start(&[], &[]).await;
    let mut request = client::get("/slots");
    request.headers_mut().remove(header::CUSTOMER);
    let answer = client::send(deployment.address(), request).await.unwrap();
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    assert_eq!(client::header_text(&answer, header::OUTCOME), Some("not-run"));
}

/// Time between two parts of a body, of which VMs wait for less.
const UPLOAD_PAUSE: Duration = Duration::from_millis(400);
/// Idle limit of the VMs for bodies.
const BODY_IDLE_MS: u64 = 50;

/// Sends the head of a booking and the first half of its body.
async fn begin_upload(vm: SocketAddr, deadline: Duration) -> TcpStream {
    let mut stream = TcpStream::connect(vm).await.unwrap();
    let head = format!(
        "POST /bookings HTTP/1.1\r\nhost: fleet\r\ncontent-length: 6\r\n{}: timeliten\r\n\
         {}: {}\r\nconnection: close\r\n\r\nslo",
        header::CUSTOMER,
        header::DEADLINE_MS,
        deadline.as_millis()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Guards against a slow upload that is refused with 400 though its request has time left.
#[tokio::test]
async fn an_upload_with_a_pause_is_served() {
    let booking = Endpoint::answering("booked").await;
    let limits = json!({"body_idle_ms": BODY_IDLE_MS});
    let deployment = Deployment::start_with_limits(&[], &[booking.address], limits).await;
    let mut stream = begin_upload(deployment.address(), Duration::from_secs(3)).await;
    tokio::time::sleep(UPLOAD_PAUSE).await;
    stream.write_all(b"t 7").await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_eq!(booking.received()[0].body(), "slot 7");
}

/// Guards against an upload that stops and is waited for without end, and against one whose refusal
/// callers take for final.
#[tokio::test]
async fn an_upload_that_stops_is_refused_at_its_deadline() {
    let booking = Endpoint::answering("booked").await;
    let limits = json!({"body_idle_ms": BODY_IDLE_MS});
    let deployment = Deployment::start_with_limits(&[], &[booking.address], limits).await;
    let mut stream = begin_upload(deployment.address(), UPLOAD_PAUSE).await;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert!(answer.contains(&format!("{}: not-run", header::OUTCOME)), "{answer}");
    assert!(booking.received().is_empty());
}

/// A caller requests a large response and stops reading without closing its
/// connection. The blocked response must not occupy the endpoint's slot forever.
#[tokio::test]
async fn a_caller_that_stops_reading_is_disconnected_and_frees_the_slot() {
    const ANSWER: &[u8] = &[b'x'; 32 * 1024 * 1024];
    let search = Endpoint::answering(ANSWER).await;
    let limits = json!({"body_idle_ms": 100});
    let deployment = Deployment::start_with_limits(&[search.address], &[], limits).await;
    let mut stream = TcpStream::connect(deployment.address()).await.unwrap();
    let request =
        format!("GET /slots HTTP/1.1\r\nhost: fleet\r\n{}: timeliten\r\n\r\n", header::CUSTOMER);
    stream.write_all(request.as_bytes()).await.unwrap();
    search.wait_closed(1).await;
    let admin = deployment.daemon.admin_address();
    client::wait_for(admin, "/endpoints", |endpoints| {
        let endpoints = endpoints.as_array().unwrap();
        endpoints.iter().any(|e| e["endpoint"] == "slot-search-0" && e["in_flight"] == 0)
    })
    .await;
}

/// Two endpoints of a service have different connection limits. If the VM applied
/// the lower limit of the first to both, slots of the second would stay unused
/// while requests wait.
#[tokio::test]
async fn each_endpoint_has_its_own_connection_limit() {
    let (release, released) = tokio::sync::watch::channel(false);
    let blocking_endpoint = || {
        let released = released.clone();
        Endpoint::start(move |_| {
            let mut released = released.clone();
            async move {
                released.wait_for(|released| *released).await.unwrap();
                hyper::Response::new(http_body_util::Full::from("free"))
            }
        })
    };
    let (few, many) = (blocking_endpoint().await, blocking_endpoint().await);
    let deployment = Deployment::start(&[few.address, many.address], &[]).await;
    let mut config = testenv::config(2, &[few.address, many.address], &[]);
    let endpoints = &mut config["services"][0]["endpoints"];
    endpoints[0]["slots"] = json!(2);
    endpoints[0]["connections"] = json!(2);
    endpoints[1]["slots"] = json!(8);
    config["customers"][0]["contracts"][0]["slots"] = json!(10);
    deployment.platform.publish_config(config);
    client::wait_for(deployment.daemon.admin_address(), "/status", |status| {
        status["config_version"] == 2
    })
    .await;
    let address = deployment.address();
    let lookups: Vec<_> =
        (0..10).map(|_| tokio::spawn(client::send(address, client::get("/slots")))).collect();
    let start = std::time::Instant::now();
    while many.received().len() < 4 {
        assert!(start.elapsed() < client::HANG_LIMIT, "{} requests", many.received().len());
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    release.send_replace(true);
    for lookup in lookups {
        assert_eq!(lookup.await.unwrap().unwrap().body(), "free");
    }
}
