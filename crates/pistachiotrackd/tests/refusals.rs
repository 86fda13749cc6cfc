//! Each reason for a refusal, and the log line that the refusal writes.
//!
//! Guards against a refusal that appears in no log: the entry VM returned the refusal of the
//! VM that owns the service unchanged, and neither VM logged it.

mod testenv;

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response};
use pistachiotrack_core::{header, refusal::Reason};
use serde_json::{Value, json};
use testenv::{
    client, config,
    crashing::{CRASHING_PATH, Runs, start_endpoints},
    endpoint::{Endpoint, read_head},
    fleet::unavailable_platform,
    platform::{Platform, PlatformFault},
    process::DaemonProcess,
};
use tokio::{
    sync::watch,
    task::{JoinHandle, JoinSet},
};

const VM: &str = "vm-01";
/// Time that an endpoint takes to answer a lookup.
const WORK_TIME: Duration = Duration::from_millis(200);

/// A daemon that refused a request, and its answer.
struct Refusal {
    vm: DaemonProcess,
    answer: Response<Bytes>,
    _platform: Option<Platform>,
}

fn booking_request() -> Request<Full<Bytes>> {
    client::request(Method::POST, "/bookings", "slot 7")
}

fn lookup_request(deadline_ms: &str) -> Request<Full<Bytes>> {
    client::with_header(client::get("/slots"), header::DEADLINE_MS, deadline_ms)
}

async fn start(config: Value) -> (Platform, DaemonProcess) {
    let platform = Platform::start().await;
    platform.publish_config(config);
    let vm = DaemonProcess::start(VM, platform.address).await;
    client::wait_until_serving(vm.admin_address).await;
    (platform, vm)
}

async fn refuse_with(config: Value, request: Request<Full<Bytes>>) -> Refusal {
    let (platform, vm) = start(config).await;
    let answer = client::send(vm.caller_address, request).await.unwrap();
    Refusal { vm, answer, _platform: Some(platform) }
}

/// Starts an endpoint that answers the first lookups after [`WORK_TIME`] and the others only
/// after it has been released.
async fn endpoint_blocking_after(first: usize) -> (Endpoint, watch::Sender<bool>) {
    let (release, released) = watch::channel(false);
    let (count, _) = watch::channel(0);
    let endpoint = Endpoint::start(move |_| {
        let mut released = released.clone();
        let mut number = 0;
        count.send_modify(|count| {
            number = *count;
            *count += 1;
        });
        async move {
            tokio::time::sleep(WORK_TIME).await;
            if number >= first {
                released.wait_for(|released| *released).await.unwrap();
            }
            Response::new(Full::from("free"))
        }
    })
    .await;
    (endpoint, release)
}

/// Returns a configuration with one endpoint for lookups, which has one slot.
fn one_slot_config(search: &Endpoint, queue_limit: u32) -> Value {
    let mut config = config(1, &[search.address], &[]);
    config["services"][0]["queue_limit"] = json!(queue_limit);
    config["services"][0]["endpoints"][0]["slots"] = json!(1);
    config
}

/// Sends a lookup that occupies the only slot, then further ones, and returns the first
/// refusal of those.
async fn refuse_behind_others(queue_limit: u32, answered: usize, deadlines_ms: &[&str]) -> Refusal {
    let (search, _release) = endpoint_blocking_after(answered).await;
    let (platform, vm) = start(one_slot_config(&search, queue_limit)).await;
    for _ in 0..answered {
        client::send(vm.caller_address, client::get("/slots")).await.unwrap();
    }
    let _blocked: JoinHandle<_> =
        tokio::spawn(client::send(vm.caller_address, client::get("/slots")));
    search.wait_received(answered + 1).await;
    let mut others = JoinSet::new();
    for deadline_ms in deadlines_ms {
        others.spawn(client::send(vm.caller_address, lookup_request(deadline_ms)));
        wait_for_requests(&vm, answered + 1 + others.len()).await;
    }
    let answer = others.join_next().await.unwrap().unwrap().unwrap();
    Refusal { vm, answer, _platform: Some(platform) }
}

async fn wait_for_requests(vm: &DaemonProcess, count: usize) {
    client::wait_for(vm.admin_address, "/status", |status| {
        let counters = status["counters"].as_array().unwrap();
        counters.contains(&json!({"name": "requests", "value": count}))
    })
    .await;
}

async fn refuse_without_config() -> Refusal {
    let limits = json!({"limits": {"first_config_wait_ms": 0}});
    let vm = DaemonProcess::start_with(VM, unavailable_platform().await, limits).await;
    let answer = client::send(vm.caller_address, client::get("/slots")).await.unwrap();
    Refusal { vm, answer, _platform: None }
}

/// Starts an endpoint that reads a request and closes the connection.
async fn closing_endpoint() -> Endpoint {
    Endpoint::serve(|mut stream| async move {
        read_head(&mut stream).await;
    })
    .await
}

async fn refuse_duplicate() -> Refusal {
    let booking = closing_endpoint().await;
    let (platform, vm) = start(config(1, &[], &[booking.address])).await;
    let keyed = || client::with_header(booking_request(), header::IDEMPOTENCY_KEY, "booking-7");
    client::send(vm.caller_address, keyed()).await.unwrap();
    let answer = client::send(vm.caller_address, keyed()).await.unwrap();
    Refusal { vm, answer, _platform: Some(platform) }
}

async fn refuse_after_pause() -> Refusal {
    let (platform, vm) = start(config(1, &[], &[])).await;
    vm.signal("STOP").await;
    let late = client::with_header(booking_request(), header::DEADLINE_MS, "300");
    let late = tokio::spawn(client::send(vm.caller_address, late));
    tokio::time::sleep(Duration::from_secs(1)).await;
    vm.signal("CONT").await;
    let answer = late.await.unwrap().unwrap();
    Refusal { vm, answer, _platform: Some(platform) }
}

async fn refuse_after_crashes() -> Refusal {
    let runs = Runs::default();
    let search = start_endpoints(3, &runs).await;
    let (platform, vm) = start(config(1, &search, &[])).await;
    let start = Instant::now();
    loop {
        let answer = client::send(vm.caller_address, client::get(CRASHING_PATH)).await.unwrap();
        let reason = client::header_text(&answer, header::REASON);
        let is_quarantined = reason == Some(Reason::CrashesEndpoints.as_str());
        if is_quarantined || start.elapsed() > client::HANG_LIMIT {
            return Refusal { vm, answer, _platform: Some(platform) };
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns a configuration that requires an API key.
fn keyed_config() -> Value {
    let mut config = config(1, &[], &[]);
    config["api_keys_required"] = json!(true);
    config["customers"][0]["api_keys"] = json!(["k-1"]);
    config
}

/// Returns the refusal of a VM that has not reached the platform for longer than its lease.
async fn refuse_without_lease() -> Refusal {
    let platform = Platform::start().await;
    platform.publish_config(keyed_config());
    let settings = json!({"config_lease": {"max_age_s": 0.8}});
    let vm = DaemonProcess::start_with(VM, platform.address, settings).await;
    client::wait_until_serving(vm.admin_address).await;
    let keyed = || client::with_header(client::get("/nowhere"), "authorization", "Bearer k-1");
    let confirmed = client::send(vm.caller_address, keyed()).await.unwrap();
    assert_eq!(client::header_text(&confirmed, header::REASON), Some(Reason::Rule.as_str()));
    platform.set_fault(PlatformFault::Unavailable);
    client::wait_for(vm.admin_address, "/status", |status| status["state"] == "unconfirmed").await;
    let keyed = client::with_header(client::get("/slots"), "authorization", "Bearer k-1");
    let answer = client::send(vm.caller_address, keyed).await.unwrap();
    Refusal { vm, answer, _platform: Some(platform) }
}

/// Returns the first refusal of a customer that is allowed a request now and then.
async fn refuse_beyond_limit() -> Refusal {
    let mut config = keyed_config();
    config["customers"][0]["rate_limit"] =
        json!({"requests_per_second": 0.1, "burst_requests": 1.0});
    let (platform, vm) = start(config).await;
    loop {
        let keyed = client::with_header(client::get("/slots"), "authorization", "Bearer k-1");
        let answer = client::send(vm.caller_address, keyed).await.unwrap();
        if answer.status() == 429 {
            assert!(answer.headers().contains_key(header::RETRY_AFTER_MS), "{answer:?}");
            return Refusal { vm, answer, _platform: Some(platform) };
        }
    }
}

/// Returns the refusal of a booking that may outlast the stop of its VM.
async fn refuse_while_stopping() -> Refusal {
    let booking = closing_endpoint().await;
    let platform = Platform::start().await;
    platform.publish_config(config(1, &[], &[booking.address]));
    let grace = json!({"stop_grace_s": 5});
    let vm = DaemonProcess::start_with(VM, platform.address, grace).await;
    client::wait_until_serving(vm.admin_address).await;
    vm.signal("TERM").await;
    vm.wait_for_line(&["event=leaving"]).await;
    let answer = client::send(vm.caller_address, booking_request()).await.unwrap();
    assert!(answer.headers().contains_key(header::RETRY_AFTER_MS), "{answer:?}");
    Refusal { vm, answer, _platform: Some(platform) }
}

/// Causes a refusal. The match has no default arm, so that a new reason doesn't compile
/// without one.
async fn refuse_for(reason: Reason) -> Refusal {
    match reason {
        Reason::QueueFull => refuse_behind_others(1, 0, &["3000", "3000"]).await,
        Reason::WaitTooLong => refuse_behind_others(9, 3, &["3000", "100"]).await,
        Reason::DeadlinePassed => refuse_behind_others(9, 0, &["200"]).await,
        Reason::Rule => refuse_with(config(1, &[], &[]), client::get("/nowhere")).await,
        Reason::NoConfig => refuse_without_config().await,
        Reason::NoEndpoint => refuse_with(config(1, &[], &[]), booking_request()).await,
        Reason::AnswerLost => {
            let booking = closing_endpoint().await;
            refuse_with(config(1, &[], &[booking.address]), booking_request()).await
        }
        Reason::NoRecord => {
            let repeat = client::with_header(booking_request(), header::REPEAT, "true");
            refuse_with(config(1, &[], &[]), repeat).await
        }
        Reason::Duplicate => refuse_duplicate().await,
        Reason::BadRequest => {
            let mut request = client::get("/slots");
            request.headers_mut().remove(header::CUSTOMER);
            refuse_with(config(1, &[], &[]), request).await
        }
        Reason::Paused => refuse_after_pause().await,
        Reason::CrashesEndpoints => refuse_after_crashes().await,
        Reason::ConfigUnconfirmed => refuse_without_lease().await,
        Reason::RateLimited => refuse_beyond_limit().await,
        Reason::Stopping => refuse_while_stopping().await,
        Reason::ApiKey => refuse_with(keyed_config(), client::get("/slots")).await,
    }
}

#[tokio::test]
async fn every_refusal_is_logged_with_its_decider_and_reason() {
    let mut refusals = JoinSet::new();
    for reason in Reason::ALL {
        refusals.spawn(async move { (reason, refuse_for(reason).await) });
    }
    while let Some(refusal) = refusals.join_next().await {
        let (reason, Refusal { vm, answer, .. }) = refusal.unwrap();
        assert_eq!(
            client::header_text(&answer, header::REASON),
            Some(reason.as_str()),
            "{answer:?}"
        );
        let id = client::header_text(&answer, header::REQUEST_ID).unwrap();
        let execution = client::header_text(&answer, header::OUTCOME).unwrap();
        let parts = [
            "event=refused".to_owned(),
            format!(" request={id} "),
            " to=caller ".to_owned(),
            format!(" decided_by={VM} "),
            format!(" execution={execution} "),
            format!(" reason={} ", reason.as_str()),
        ];
        vm.wait_for_line(&parts.each_ref().map(String::as_str)).await;
    }
}

/// Guards against a refusal whose log line doesn't show whether the booking had been sent to
/// an endpoint.
#[tokio::test]
async fn the_log_line_of_a_refusal_lists_attempts_and_their_endpoints() {
    let booking = closing_endpoint().await;
    let config = config(1, &[], &[booking.address]);
    let Refusal { vm, answer, .. } = refuse_with(config, booking_request()).await;
    let id = client::header_text(&answer, header::REQUEST_ID).unwrap();
    vm.wait_for_line(&["event=refused", &format!(" request={id} "), " sent=booking-0/unknown/"])
        .await;
}
