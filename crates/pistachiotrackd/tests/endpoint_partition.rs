//! VMs that reach no endpoint, while callers and other VMs reach them.

mod testenv;

use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::json;
use testenv::{
    BOOKING, SEARCH, client, config,
    endpoint::Endpoint,
    fleet::{Vm, bounded, send_periodically, start_dispatchers, start_with_config, wait_until},
};

/// Time after which a partition must not be noticeable for callers.
const DETECTION_LIMIT: Duration = Duration::from_secs(3);

async fn three_endpoints() -> [Endpoint; 3] {
    [
        Endpoint::answering("found").await,
        Endpoint::answering("found").await,
        Endpoint::answering("found").await,
    ]
}

/// Sends requests to `vms` until `until` and returns the fraction of those sent after `from` that
/// was served.
async fn served_fraction(vms: &[Vm], from: Instant, until: Instant) -> f64 {
    let answers = send_periodically(vms, "/slots/7", until).await;
    let counted: Vec<u16> =
        answers.into_iter().filter(|(sent, _)| *sent >= from).map(|(_, status)| status).collect();
    let served = counted.iter().filter(|status| **status == 200).count();
    served as f64 / counted.len() as f64
}

/// Guards against a VM that refuses its callers because it reaches no endpoint, while others do.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_a_vm_that_reaches_no_endpoint_are_served_by_another() {
    bounded(async {
        let [first, second, third] = three_endpoints().await;
        let endpoints = [&first, &second, &third];
        let addresses = endpoints.map(|endpoint| endpoint.address);
        let (_platform, vms) = start_dispatchers(4, &addresses).await;
        for vm in &vms[..3] {
            vm.set_paths_blocked(&endpoints, true);
        }
        let cut_at = Instant::now();
        let until = cut_at + DETECTION_LIMIT + Duration::from_secs(2);
        let served = served_fraction(&vms[..3], cut_at + DETECTION_LIMIT, until).await;
        assert!(served > 0.95, "{served:.2} of the requests were served");
    })
    .await;
}

/// Sets the state of the paths from a VM to all endpoints.
async fn set_paths(vm: &Vm, state: &str) {
    let path = format!("/faults/endpoint-paths/{state}");
    let response = client::send(vm.admin, client::request(Method::POST, &path, "")).await.unwrap();
    assert_eq!(response.status(), 200);
}

/// Guards against cuts that only show by connections that hang, or that leave open ones alive.
#[tokio::test(flavor = "multi_thread")]
async fn each_form_of_a_partition_is_bridged() {
    bounded(async {
        let [first, second, third] = three_endpoints().await;
        let addresses = [&first, &second, &third].map(|endpoint| endpoint.address);
        let (_platform, vms) = start_dispatchers(3, &addresses).await;
        for form in ["silent", "new-refused", "refused"] {
            for vm in &vms[..2] {
                set_paths(vm, form).await;
            }
            let cut_at = Instant::now();
            let until = cut_at + DETECTION_LIMIT + Duration::from_secs(2);
            let served = served_fraction(&vms[..2], cut_at + DETECTION_LIMIT, until).await;
            assert!(served > 0.95, "{form}: {served:.2} of the requests were served");
            for vm in &vms[..2] {
                set_paths(vm, "none").await;
            }
            tokio::time::sleep(Duration::from_secs(3)).await;
        }
    })
    .await;
}

/// Guards against VMs that don't find out that they reach no endpoint because nearly all VMs that they
/// ask are cut off as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_partition_of_all_vms_but_two_is_bridged() {
    bounded(async {
        let [first, second, third] = three_endpoints().await;
        let addresses = [&first, &second, &third].map(|endpoint| endpoint.address);
        let (_platform, vms) = start_dispatchers(16, &addresses).await;
        let cut_off = &vms[..14];
        for form in ["silent", "refused"] {
            for vm in cut_off {
                set_paths(vm, form).await;
            }
            let cut_at = Instant::now();
            let until = cut_at + DETECTION_LIMIT + Duration::from_secs(4);
            let served = served_fraction(cut_off, cut_at + DETECTION_LIMIT, until).await;
            assert!(served > 0.9, "{form}: {served:.2} of the requests were served");
            for vm in cut_off {
                set_paths(vm, "none").await;
            }
            tokio::time::sleep(Duration::from_secs(3)).await;
        }
    })
    .await;
}

/// Guards against callers that are sent to a VM which reaches no endpoint, and against one that
/// stays without work when it reaches them again.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_is_named_to_callers_again_once_it_reaches_endpoints() {
    bounded(async {
        let [first, second, third] = three_endpoints().await;
        let endpoints = [&first, &second, &third];
        let addresses = endpoints.map(|endpoint| endpoint.address);
        let (_platform, vms) = start_dispatchers(4, &addresses).await;
        let (cut_off, other) = (&vms[0], &vms[1]);
        let is_named = || async { other.entries(SEARCH).await.contains(&cut_off.caller) };
        wait_until(is_named).await;
        cut_off.set_paths_blocked(&endpoints, true);
        let until = Instant::now() + DETECTION_LIMIT;
        served_fraction(&vms[..1], Instant::now(), until).await;
        assert!(!is_named().await);
        assert!(!cut_off.entries(SEARCH).await.contains(&cut_off.caller));

        cut_off.set_paths_blocked(&endpoints, false);
        wait_until(is_named).await;
        let handed_over = cut_off.counter("handed_over").await;
        let until = Instant::now() + Duration::from_secs(1);
        assert!(served_fraction(&vms[..1], Instant::now(), until).await > 0.95);
        assert_eq!(cut_off.counter("handed_over").await, handed_over);
    })
    .await;
}

/// Guards against VMs that hand their requests around because the endpoints are down for all.
#[tokio::test(flavor = "multi_thread")]
async fn no_vm_hands_requests_over_while_no_vm_reaches_an_endpoint() {
    bounded(async {
        let [first, second, third] = three_endpoints().await;
        let endpoints = [&first, &second, &third];
        let addresses = endpoints.map(|endpoint| endpoint.address);
        let (_platform, vms) = start_dispatchers(4, &addresses).await;
        for vm in &vms {
            vm.set_paths_blocked(&endpoints, true);
        }
        let until = Instant::now() + DETECTION_LIMIT;
        assert_eq!(served_fraction(&vms, Instant::now(), until).await, 0.0);
        for vm in &vms {
            assert_eq!(vm.counter("handed_over").await, 0);
        }
    })
    .await;
}

/// Guards against bookings that run twice, or are refused as not run and run, while a VM loses its
/// paths, hands requests over and gets its paths back.
#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_once_at_most_while_a_vm_loses_and_regains_its_paths() {
    bounded(async {
        let [first, second, third] = three_endpoints().await;
        let endpoints = [&first, &second, &third];
        let addresses = endpoints.map(|endpoint| endpoint.address);
        let mut config = config(1, &addresses[..1], &addresses[1..]);
        config["services"][1]["dispatchers_per_data_centre"] = json!(2);
        let (_platform, vms) = start_with_config(3, config).await;
        let mut served = Vec::new();
        for number in 0..160 {
            let vm = &vms[0];
            match number {
                30 | 110 => vm.set_paths_blocked(&endpoints, true),
                80 => vm.set_paths_blocked(&endpoints, false),
                _ => {}
            }
            let body = format!("{BOOKING} {number}");
            let request = client::request(Method::POST, "/bookings", body.clone());
            let response = client::send(vm.caller, request).await.unwrap();
            if response.status() == 200 {
                served.push(body);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let ran: Vec<String> = endpoints
            .iter()
            .flat_map(|endpoint| endpoint.received())
            .map(|request| String::from_utf8(request.body().to_vec()).unwrap())
            .filter(|body| body.starts_with(BOOKING))
            .collect();
        let mut once = ran.clone();
        once.sort();
        once.dedup();
        assert_eq!(once.len(), ran.len());
        assert!(served.iter().all(|body| once.contains(body)));
        assert!(served.len() > 120, "{} of 160 bookings were served", served.len());
        assert!(vms[0].counter("handed_over").await > 20);
    })
    .await;
}
