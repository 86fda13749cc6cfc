//! Tests that the platform stand-in implements the documented platform interface.

use std::{io::Read, net::SocketAddr, time::Duration};

use flate2::read::GzDecoder;
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use pistachiotrack_core::vm::VmList;
use pistachiotrack_standins::platform::{Availability, Platform};

const WAIT: &str = "wait_ms=30000";

async fn read(address: SocketAddr, path: &str) -> (u16, String) {
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}{path}").parse().expect("uri");
    let answer = client.get(uri).await.expect("answer");
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.expect("body").to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

async fn platform() -> Platform {
    let platform = Platform::start("timeliten").await.expect("platform");
    platform.publish_bytes(1, b"one".to_vec());
    platform.publish_bytes(2, b"two".to_vec());
    platform
}

#[tokio::test]
async fn a_watch_waits_for_a_newer_value_and_counts_as_one_call() {
    let platform = platform().await;
    let path = format!("/v1/config/timeliten?after=2&{WAIT}");
    let address = platform.address();
    let watch = tokio::spawn(async move { read(address, &path).await });
    while platform.calls() == 0 {
        tokio::task::yield_now().await;
    }
    platform.publish_bytes(3, b"three".to_vec());
    assert_eq!(watch.await.expect("watch"), (200, "three".to_owned()));
    assert_eq!(platform.calls(), 1);
}

#[tokio::test]
async fn reads_return_immediately() {
    let platform = platform().await;
    let address = platform.address();
    assert_eq!(read(address, "/v1/config/timeliten").await, (200, "two".to_owned()));
    let older = "/v1/config/timeliten?after=1&wait_ms=0";
    assert_eq!(read(address, older).await, (200, "two".to_owned()));
    let same = "/v1/config/timeliten?after=2&wait_ms=0";
    assert_eq!(read(address, same).await.0, 204);
    assert_eq!(read(address, "/v1/config/tlmocnik").await.0, 404);
    assert_eq!(read(address, "/v1/vms/timeliten").await.0, 404);
    platform.publish_vms(&VmList { version: 5, vms: Vec::new() }).expect("list");
    let list = (200, r#"{"version":5,"vms":[]}"#.to_owned());
    assert_eq!(read(address, "/v1/vms/timeliten").await, list);
    assert_eq!(read(address, "/v1/vms/tlmocnik").await.0, 404);
    assert_eq!(read(address, "/v1/vms").await.0, 404);
    assert_eq!(platform.calls(), 8);
}

/// Watchers read the whole value at each change. The platform sends it compressed if the
/// client accepts gzip, and uncompressed otherwise.
#[tokio::test]
async fn a_value_is_compressed_for_clients_that_accept_gzip() {
    let platform = platform().await;
    let value = "pistachio".repeat(1_000);
    platform.publish_bytes(3, value.clone().into_bytes());
    let address = platform.address();
    assert_eq!(read(address, "/v1/config/timeliten").await, (200, value.clone()));
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = hyper::Request::get(format!("http://{address}/v1/config/timeliten"))
        .header("accept-encoding", "br, GZIP")
        .body(Empty::new())
        .expect("request");
    let answer = client.request(request).await.expect("answer");
    assert_eq!(answer.headers()["content-encoding"], "gzip");
    let body = answer.into_body().collect().await.expect("body").to_bytes();
    assert!(body.len() < value.len() / 10, "{}", body.len());
    let mut decoded = String::new();
    GzDecoder::new(&body[..]).read_to_string(&mut decoded).expect("gzip");
    assert_eq!(decoded, value);
}

/// The configuration service is restored from a backup: a daemon that reads it receives the
/// value before the active one, and a watch finds nothing newer.
#[tokio::test]
async fn a_stale_platform_serves_the_previous_value() {
    let platform = platform().await;
    platform.set_stale(true);
    let address = platform.address();
    assert_eq!(read(address, "/v1/config/timeliten").await, (200, "one".to_owned()));
    assert_eq!(read(address, "/v1/config/timeliten?after=2&wait_ms=0").await.0, 204);
    platform.set_stale(false);
    assert_eq!(read(address, "/v1/config/timeliten").await, (200, "two".to_owned()));
}

/// The configuration service fails while daemons watch it: their calls end with status 503 or
/// hang until it recovers.
#[tokio::test]
async fn an_unavailable_platform_refuses_or_hangs() {
    let platform = platform().await;
    let address = platform.address();
    let path = format!("/v1/config/timeliten?after=2&{WAIT}");
    let watch = tokio::spawn(async move { read(address, &path).await });
    while platform.calls() == 0 {
        tokio::task::yield_now().await;
    }
    platform.set_availability(Availability::Refusing);
    assert_eq!(watch.await.expect("watch").0, 503);
    platform.set_availability(Availability::Hanging);
    let mut hung = tokio::spawn(read(address, "/v1/config/timeliten?after=2&wait_ms=1"));
    while platform.calls() == 1 {
        tokio::task::yield_now().await;
    }
    assert!(tokio::time::timeout(Duration::from_millis(50), &mut hung).await.is_err());
    platform.publish_bytes(3, b"three".to_vec());
    platform.set_availability(Availability::Up);
    assert_eq!(hung.await.expect("read"), (200, "three".to_owned()));
}
