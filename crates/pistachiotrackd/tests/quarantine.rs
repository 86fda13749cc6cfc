//! Requests that crash the endpoints that run them.

mod testenv;

use std::time::{Duration, Instant};

use hyper::header::HOST;
use pistachiotrack_core::{header, quarantine::QuarantineSettings, refusal::Reason};
use serde_json::json;
use testenv::{
    client,
    crashing::{CRASHING_PATH, Runs, WORK_TIME, start_endpoints, start_endpoints_crashing},
    endpoint::{Endpoint, read_head},
    fleet::{Vm, bounded, send_periodically, start_dispatchers},
};

const VMS: usize = 3;
const ENDPOINTS: usize = 6;
/// Crashes after which a request counts as the cause.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Time after these crashes within which all VMs have to hold the request.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Runs that are allowed after that time.
const MAX_LATER_RUNS: usize = 3;

/// Returns a VM's records of requests that crash endpoints.
async fn quarantine_records(vm: &Vm) -> serde_json::Value {
    client::admin(vm.admin, "/quarantine").await
}

#[tokio::test]
async fn a_request_that_crashed_three_endpoints_is_rarely_sent_to_others() {
    bounded(async {
        let runs = Runs::default();
        let endpoints = start_endpoints(ENDPOINTS, &runs).await;
        let (_platform, vms) = start_dispatchers(VMS, &endpoints).await;
        let until = Instant::now() + PROPAGATION_TIME + Duration::from_secs(4);
        let (_, others) = tokio::join!(
            send_periodically(&vms, CRASHING_PATH, until),
            send_periodically(&vms, "/slots/other", until)
        );
        let runs = runs.lock().unwrap().clone();
        let propagated_at = runs[CRASHES_TO_QUARANTINE - 1] + WORK_TIME + PROPAGATION_TIME;
        let later = runs.iter().filter(|run| **run > propagated_at).count();
        assert!(later <= MAX_LATER_RUNS, "sent {later} times more, {} in all", runs.len());
        let failed = others.iter().filter(|(sent, status)| *sent > propagated_at && *status != 200);
        assert_eq!(failed.count(), 0, "other requests fail");
    })
    .await;
}

#[tokio::test]
async fn a_request_whose_connections_are_reset_is_not_suspected() {
    bounded(async {
        let mut endpoints = Vec::new();
        for _ in 0..ENDPOINTS {
            let resetting = Endpoint::serve(|mut stream| async move {
                read_head(&mut stream).await;
            });
            endpoints.push(resetting.await.address);
        }
        let (_platform, vms) = start_dispatchers(VMS, &endpoints).await;
        send_periodically(&vms, "/slots/other", Instant::now() + Duration::from_secs(2)).await;
        for vm in &vms {
            assert_eq!(quarantine_records(vm).await, json!([]));
        }
    })
    .await;
}

#[tokio::test]
async fn a_request_that_no_longer_crashes_endpoints_is_served_again() {
    bounded(async {
        let runs = Runs::default();
        let endpoints =
            start_endpoints_crashing(CRASHES_TO_QUARANTINE, &runs, CRASHES_TO_QUARANTINE).await;
        let (_platform, vms) = start_dispatchers(VMS, &endpoints).await;
        let trial = Duration::from_millis(QuarantineSettings::default().first_trial_ms);
        let answers =
            send_periodically(&vms, CRASHING_PATH, Instant::now() + trial + PROPAGATION_TIME).await;
        let refused = answers.iter().filter(|(_, status)| *status == 503).count();
        let (_, last) = answers.iter().max().unwrap();
        assert!(refused > 0 && *last == 200, "{refused} refused, last answer {last}");
        for vm in &vms {
            assert_eq!(quarantine_records(vm).await, json!([]));
        }
    })
    .await;
}

/// Sends a request with the VM's address as its host; returns the reason if it is refused.
async fn refusal_reason(vm: &Vm, path: &str) -> Option<String> {
    let request = client::with_header(client::get(path), HOST.as_str(), &vm.caller.to_string());
    let answer = client::send(vm.caller, request).await.ok()?;
    client::header_text(&answer, header::REASON).map(str::to_owned)
}

#[tokio::test]
async fn a_quarantined_request_is_held_at_all_vms_whatever_its_host_header() {
    bounded(async {
        let runs = Runs::default();
        let endpoints = start_endpoints(ENDPOINTS, &runs).await;
        let (_platform, vms) = start_dispatchers(VMS, &endpoints).await;
        let held = Some(Reason::CrashesEndpoints.as_str().to_owned());
        while refusal_reason(&vms[0], CRASHING_PATH).await != held {}
        tokio::time::sleep(PROPAGATION_TIME).await;
        for vm in &vms {
            assert_eq!(refusal_reason(vm, CRASHING_PATH).await, held, "at {}", vm.name);
        }
    })
    .await;
}
