//! Metrics of the links between VMs and endpoints, and of queue latency.
//!
//! In a large fleet, traffic between data centres is half of the cost; these metrics
//! show operators what it consists of.

mod testenv;

use std::net::SocketAddr;

use hyper::Method;
use serde_json::json;
use testenv::{Deployment, client, config, endpoint::Endpoint, fleet::Fleet};
use tokio::net::UdpSocket;

async fn metrics(admin: SocketAddr) -> String {
    let response = client::send(admin, client::get("/metrics")).await.unwrap();
    String::from_utf8(response.body().to_vec()).unwrap()
}

fn value(metrics: &str, name: &str) -> Option<u64> {
    let line = metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.map(|value| value.parse().unwrap())
}

fn link(measure: &str, topic: &str, place: &str, direction: &str) -> String {
    format!(
        "pistachiotrack_link_{measure}_total\
         {{topic=\"{topic}\",place=\"{place}\",direction=\"{direction}\"}}"
    )
}

#[tokio::test]
async fn messages_and_bytes_of_requests_to_endpoints_are_counted_by_locality() {
    let booking = Endpoint::answering("booked").await;
    let deployment = Deployment::start(&[], &[booking.address]).await;
    for _ in 0..2 {
        let request = client::request(Method::POST, "/bookings", "slot 7");
        client::send(deployment.address(), request).await.unwrap();
    }
    let text = metrics(deployment.daemon.admin_address()).await;
    assert_eq!(value(&text, &link("messages", "endpoint", "near", "sent")), Some(2), "{text}");
    assert_eq!(value(&text, &link("bytes", "endpoint", "near", "sent")), Some(12));
    assert_eq!(value(&text, &link("bytes", "endpoint", "near", "received")), Some(12));
    assert_eq!(value(&text, &link("bytes", "endpoint", "far", "sent")), None);
    let queued = "pistachiotrack_queued_us{customer=\"timeliten\",class=\"standard\",\
                  quantile=\"count\"}";
    assert_eq!(value(&text, queued), Some(2));
}

/// During a release, VMs receive datagrams of another version; others may send arbitrary
/// datagrams. They must be counted and dropped.
#[tokio::test]
async fn invalid_shard_datagrams_are_counted_and_dropped() {
    let fleet = Fleet::start(1, config(1, &[], &[])).await;
    let vm = &fleet.vms[0];
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let large = vec![0x81; 60_000];
    let datagrams: [&[u8]; 4] = [&[0x80, 1, 2, 3], &[0x81], &[0x81; 900], &large];
    for datagram in datagrams {
        socket.send_to(datagram, vm.peer).await.unwrap();
    }
    client::wait_for(vm.admin, "/status", |status| {
        let counters = status["counters"].as_array().unwrap();
        counters.contains(&json!({"name": "news_unused", "value": datagrams.len()}))
    })
    .await;
    assert_eq!(vm.status().await["state"], "serving");
}

/// Operators see by these numbers whether held requests are served or refused. The gauge and the
/// counter of held requests must not get the same name, which collectors reject.
#[tokio::test]
async fn the_numbers_of_held_retries_are_shown() {
    let booking = Endpoint::answering("booked").await;
    let deployment = Deployment::start(&[], &[booking.address]).await;
    let admin = deployment.daemon.admin_address();
    let text = metrics(admin).await;
    for name in [
        "retries_granted_total",
        "retries_denied_total",
        "retries_held",
        "retries_held_total",
        "retries_held_refused_total",
    ] {
        assert_eq!(value(&text, &format!("pistachiotrack_{name}")), Some(0), "{text}");
    }
    let mut types: Vec<&str> = text.lines().filter(|line| line.starts_with("# TYPE")).collect();
    let count = types.len();
    types.sort_unstable_by_key(|line| line.split(' ').nth(2));
    types.dedup_by_key(|line| line.split(' ').nth(2));
    assert_eq!(types.len(), count, "{text}");
    let response = client::send(admin, client::get("/status")).await.unwrap();
    let status: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
    let counters = status["counters"].as_array().unwrap();
    assert!(counters.contains(&json!({"name": "retries_held", "value": 0})), "{status}");
}
