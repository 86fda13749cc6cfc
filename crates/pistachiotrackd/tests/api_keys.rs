//! API keys on the native protocol: at the VM that receives a request, at the one that serves it,
//! at the endpoint and in what the daemon writes and shows.

mod testenv;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use pistachiotrack_core::header;
use serde_json::{Value, json};
use testenv::{
    BOOKING, CUSTOMER, client, config,
    endpoint::Endpoint,
    fleet::Fleet,
    platform::{Platform, PlatformFault},
    process::DaemonProcess,
};

const KEY: &str = "k3y-of-timeliten";
const OTHER_KEY: &str = "k3y-that-nobody-holds";

/// Returns a configuration that requires keys, with a public route to lookups.
fn keyed_config(search: &Endpoint, booking: &Endpoint) -> Value {
    let mut config = config(1, &[search.address], &[booking.address]);
    config["api_keys_required"] = json!(true);
    config["customers"][0]["api_keys"] = json!([KEY]);
    config["rules"][0]["then"]["route"]["public"] = json!(true);
    config
}

fn keyed(path: &str, key: &str) -> Request<Full<Bytes>> {
    let request = client::request(Method::POST, path, "slot 7");
    let request = client::with_header(request, header::CUSTOMER, "somebody-else");
    client::with_header(request, "authorization", &format!("bearer {key}"))
}

/// Guards against a key that reaches an endpoint or another VM, and against a customer that the
/// caller claims, also on a request that another VM forwards.
#[tokio::test]
async fn the_endpoint_gets_the_customer_of_a_forwarded_request_and_not_the_key() {
    let (search, booking) = (Endpoint::answering("free").await, Endpoint::answering("done").await);
    let fleet = Fleet::start(2, keyed_config(&search, &booking)).await;
    let owner = fleet.owner(&format!("{BOOKING}/0")).await;
    for vm in [owner, 1 - owner] {
        let answer = client::send(fleet.vms[vm].caller, keyed("/bookings", KEY)).await.unwrap();
        assert_eq!((answer.status().as_u16(), &answer.body()[..]), (200, &b"done"[..]));
    }
    let received = booking.received();
    assert_eq!(received.len(), 2);
    for request in received {
        let customers: Vec<_> = request.headers().get_all(header::CUSTOMER).iter().collect();
        assert_eq!(customers, [CUSTOMER]);
        assert!(!format!("{:?}", request.headers()).contains(KEY));
    }
}

/// Guards against a key in a log line, on an admin page or in a metric.
#[tokio::test]
async fn nothing_that_the_daemon_writes_or_shows_contains_a_key() {
    let (search, booking) = (Endpoint::answering("free").await, Endpoint::answering("done").await);
    let platform = Platform::start().await;
    platform.publish_config(keyed_config(&search, &booking));
    let vm = DaemonProcess::start_with("vm-01", platform.address, json!({"log_level": "trace"}));
    let vm = vm.await;
    client::wait_until_serving(vm.admin_address).await;
    for (key, status) in [(KEY, 200), (OTHER_KEY, 401)] {
        let answer = client::send(vm.caller_address, keyed("/bookings", key)).await.unwrap();
        assert_eq!(answer.status(), status);
    }
    let mut invalid = keyed_config(&search, &booking);
    invalid["version"] = json!(2);
    invalid["customers"][0]["api_keys"] = json!([KEY, KEY]);
    platform.publish_config(invalid);
    vm.wait_for_line(&["event=config_rejected", "customers[0].api_keys[1]"]).await;
    let mut shown = vm.log().join("\n");
    for page in ["/status", "/customers", "/members", "/endpoints", "/histograms"] {
        shown.push_str(&client::admin(vm.admin_address, page).await.to_string());
    }
    assert!(shown.contains("event=caller_unidentified"), "{shown}");
    for key in [KEY, OTHER_KEY] {
        assert!(!shown.contains(key), "{shown}");
    }
}

/// The platform is unavailable for longer than the lease. Guards against a VM that serves keys
/// which may have been taken away, and against one that doesn't recover.
#[tokio::test]
async fn without_a_lease_only_public_routes_are_served() {
    let (search, booking) = (Endpoint::answering("free").await, Endpoint::answering("done").await);
    let platform = Platform::start().await;
    platform.publish_config(keyed_config(&search, &booking));
    let settings = json!({"config_lease": {"max_age_s": 0.8}});
    let vm = DaemonProcess::start_with("vm-01", platform.address, settings).await;
    client::wait_until_serving(vm.admin_address).await;
    let status = |path: &'static str| {
        let sent = client::send(vm.caller_address, keyed(path, KEY));
        async { sent.await.unwrap().status().as_u16() }
    };
    assert_eq!((status("/bookings").await, status("/slots").await), (200, 200));
    platform.set_fault(PlatformFault::Unavailable);
    vm.wait_for_line(&["event=config_lease_lost"]).await;
    assert_eq!((status("/bookings").await, status("/slots").await), (503, 200));
    platform.set_fault(PlatformFault::None);
    vm.wait_for_line(&["event=config_lease_regained"]).await;
    assert_eq!((status("/bookings").await, status("/slots").await), (200, 200));
}

/// A VM that has just started holds the platform's first value back until peers have reported
/// whether they have a newer one. Guards against a lease that is missing once the value is active,
/// until the platform is read again.
#[tokio::test]
async fn a_first_value_that_was_held_back_is_confirmed_when_it_becomes_active() {
    let (search, booking) = (Endpoint::answering("free").await, Endpoint::answering("done").await);
    let platform = Platform::start().await;
    platform.publish_config(keyed_config(&search, &booking));
    let list = json!({"version": 2, "vms": [
        {"name": "vm-02", "data_centre": "oslo-1", "peer_address": "127.0.0.1:1",
         "caller_address": "127.0.0.1:2", "leaving": false}]});
    platform.publish_vms(list);
    let settings = json!({"config_lease": {"max_age_s": 60.0},
        "config_sync": {"watch_timeout_ms": 30_000, "first_value_grace_ms": 400}});
    let vm = DaemonProcess::start_with("vm-01", platform.address, settings).await;
    vm.wait_for_line(&["event=config_in_force"]).await;
    let answer = client::send(vm.caller_address, keyed("/bookings", KEY)).await.unwrap();
    assert_eq!(answer.status(), 200, "{answer:?}");
}
