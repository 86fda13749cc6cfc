//! Startup, shutdown and settings of the daemon.

mod testenv;

use std::{path::Path, time::Duration};

use http_body_util::Full;
use hyper::Response;
use pistachiotrack_core::header;
use pistachiotrackd::{
    daemon::Daemon,
    settings::{Hardware, Settings},
};
use serde_json::json;
use testenv::{
    Deployment, client, config,
    endpoint::Endpoint,
    fleet::{bounded, counter},
    platform::Platform,
    settings,
};
use tokio::sync::watch;

/// The daemon is stopped while an endpoint is still processing a request. If it
/// closed the caller's connection, requests would fail whenever a VM is replaced.
#[tokio::test]
async fn a_graceful_shutdown_finishes_requests_in_flight() {
    let (release, released) = watch::channel(false);
    let search = Endpoint::start(move |_| {
        let mut released = released.clone();
        async move {
            released.wait_for(|released| *released).await.unwrap();
            Response::new(Full::from("free slots"))
        }
    })
    .await;
    let deployment = Deployment::start(&[search.address], &[]).await;
    let address = deployment.address();
    let admin = deployment.daemon.admin_address();
    let caller = tokio::spawn(client::send(address, client::get("/slots")));
    client::wait_for(admin, "/status", |status| counter(status, "dispatches") == 1).await;
    let stop = tokio::spawn(deployment.daemon.stop());
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!stop.is_finished());
    release.send_replace(true);
    assert_eq!(caller.await.unwrap().unwrap().body(), "free slots");
    stop.await.unwrap();
}

#[tokio::test]
async fn without_a_configuration_requests_are_not_run() {
    let platform = Platform::start().await;
    let daemon = Daemon::start(settings("vm-01", platform.address, json!({}))).await.unwrap();
    let refused = client::send(daemon.caller_address(), client::get("/slots")).await.unwrap();
    assert_eq!(client::header_text(&refused, header::OUTCOME), Some("not-run"));
    assert_eq!(client::header_text(&refused, header::REASON), Some("no-config"));
}

/// All VMs restart, and a request arrives before the VM has read the configuration.
/// It must wait for the configuration, which takes a fraction of a second, instead
/// of being refused.
#[tokio::test]
async fn a_request_waits_for_the_first_configuration() {
    bounded(async {
        let platform = Platform::start().await;
        let limits = json!({"first_config_wait_ms": 60_000});
        let daemon = Daemon::start(settings("vm-01", platform.address, limits)).await.unwrap();
        let (caller, admin) = (daemon.caller_address(), daemon.admin_address());
        let waiting = tokio::spawn(client::send(caller, client::get("/slots")));
        client::wait_for(admin, "/status", |status| counter(status, "requests") == 1).await;
        let search = Endpoint::answering("free slots").await;
        platform.publish_config(config(1, &[search.address], &[]));
        assert_eq!(waiting.await.unwrap().unwrap().body(), "free slots");
    })
    .await;
}

#[test]
fn capacity_is_the_lower_of_cpu_and_bandwidth() {
    let capacity = |processor_share, processors, link_mbps| {
        Hardware { processor_share, processors, link_mbps }.capacity()
    };
    assert_eq!(capacity(0.2, 1.0, 1_000.0), 20);
    assert_eq!(capacity(0.5, 2.0, 10.0), 10);
    assert_eq!(capacity(0.001, 1.0, 1_000.0), 1);
    assert!(Hardware::default().capacity() >= 100);
}

#[test]
fn settings_errors_name_the_file_the_field_and_the_value() {
    let valid = json!({
        "vm": "vm-01", "data_centre": "oslo-1", "deployment": "timeliten",
        "caller_address": "127.0.0.1:9001", "peer_address": "127.0.0.1:9101",
        "admin_address": "127.0.0.1:9201", "platform_address": "127.0.0.1:9000"});
    let parse = |json: &serde_json::Value| {
        Settings::parse(Path::new("vm.json"), json.to_string().as_bytes())
    };
    parse(&valid).unwrap();
    let cases = [
        ("vm", json!("vm 1"), vec!["vm.json", "vm:", "\"vm 1\""]),
        ("peer_address", json!("oslo:1"), vec!["vm.json", "peer_address:"]),
        ("log_level", json!("loud"), vec!["vm.json", "log_level:", "\"loud\""]),
        ("colour", json!("red"), vec!["vm.json", "colour"]),
        ("stop_grace_s", json!(0), vec!["stop_grace_s: 0"]),
        ("stop_grace_s", json!(-3), vec!["stop_grace_s: -3"]),
        ("stop_grace_s", json!(1e17), vec!["stop_grace_s: 100000000000000000"]),
        ("limits", json!({"idle_ms": -4}), vec!["vm.json", "limits.idle_ms:", "-4"]),
        ("limits", json!({"header_count": 0}), vec!["limits.header_count:", "0"]),
        ("membership", json!({"seeds": []}), vec!["vm.json", "membership.seeds", "seeds"]),
        ("hardware", json!({"link_mbps": 0}), vec!["vm.json", "hardware.link_mbps: 0"]),
        ("hardware", json!({"processor_share": -0.2}), vec!["hardware.processor_share: -0.2"]),
        (
            "config_sync",
            json!({"answer_bytes_per_second": 0}),
            vec!["vm.json", "config_sync.answer_bytes_per_second: 0"],
        ),
        (
            "config_sync",
            json!({"assumed_fleet_vms": 9}),
            vec!["vm.json", "config_sync.assumed_fleet_vms"],
        ),
    ];
    for (field, value, parts) in cases {
        let mut settings = valid.clone();
        settings[field] = value;
        let error = parse(&settings).unwrap_err().to_string();
        for part in parts {
            assert!(error.contains(part), "{part:?} is not in {error:?}");
        }
    }
}
