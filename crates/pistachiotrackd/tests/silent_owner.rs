//! Requests that are forwarded to a VM of which nothing more is heard.

mod testenv;

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use pistachiotrack_core::header;
use serde_json::json;
use testenv::{
    client, config,
    endpoint::Endpoint,
    fleet::{Fleet, Vm, bounded, has_converged, wait_until},
    network_path::NetworkPath,
    platform::Platform,
    settings,
};

/// Time that callers give a booking.
const DEADLINE: Duration = Duration::from_millis(400);
/// Time after the deadline by which callers expect an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

fn booking() -> Request<Full<Bytes>> {
    let request = client::request(Method::POST, "/bookings", "slot 7");
    client::with_header(request, header::DEADLINE_MS, &DEADLINE.as_millis().to_string())
}

/// Starts two VMs with the paths to them.
async fn start(booking: &Endpoint) -> (Fleet, [NetworkPath; 2]) {
    let platform = Platform::start().await;
    platform.publish_config(config(1, &[], &[booking.address]));
    let paths = [NetworkPath::open().await, NetworkPath::open().await];
    let mut vms = Vec::new();
    for (name, path) in ["vm-00", "vm-01"].into_iter().zip(&paths) {
        let limits = json!({"lively_ms": 600_000, "idle_ms": 600_000, "refusal_overrun_ms": 100});
        let mut settings = settings(name, platform.address, limits);
        settings.peer_address = path.vm_address;
        settings.advertised_peer_address = Some(path.address);
        let mut vm = Vm::start_with(settings).await;
        vm.peer = path.address;
        vms.push(vm);
    }
    let fleet = Fleet { platform, vms };
    fleet.publish_vm_list(2);
    let admins = fleet.admins();
    wait_until(|| has_converged(&admins)).await;
    (fleet, paths)
}

/// Guards against a caller that is kept waiting far beyond the time of its request: the VM that the
/// request was forwarded to is silent.
#[tokio::test]
async fn a_booking_at_a_silent_owner_is_answered_shortly_after_its_deadline() {
    bounded(async {
        let endpoint = Endpoint::answering("booked").await;
        let (fleet, paths) = start(&endpoint).await;
        let owner = fleet.owner("booking/0").await;
        let entry = fleet.vms[1 - owner].caller;
        let first = client::request(Method::POST, "/bookings", "slot 6");
        assert_eq!(client::send(entry, first).await.unwrap().body(), "booked");
        paths[owner].drop_open_connections();
        let sent = Instant::now();
        let refused = client::send(entry, booking()).await.unwrap();
        let answered_after = sent.elapsed();
        assert_eq!(client::header_text(&refused, header::OUTCOME), Some("unknown"));
        assert!(answered_after >= DEADLINE, "{answered_after:?}");
        assert!(answered_after < DEADLINE + ANSWER_LIMIT, "{answered_after:?}");
        assert_eq!(endpoint.received().len(), 1);
    })
    .await;
}
