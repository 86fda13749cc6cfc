//! Stops of a daemon process while requests are in flight.

mod testenv;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response};
use pistachiotrack_core::header;
use serde_json::{Value, json};
use testenv::{
    client, config,
    endpoint::{Endpoint, Received},
    fleet::{self, bounded, counter, unavailable_platform},
    platform::Platform,
    process::DaemonProcess,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

/// Grace of a stop, shorter than the time that bookings have.
const GRACE_S: f64 = 3.0;
/// Grace of a stop in which quick requests are taken: a busy machine may take seconds for them.
const LONG_GRACE_S: f64 = 12.0;
/// Timeout of bookings.
const BOOKING_TIMEOUT_MS: u64 = 60_000;

/// Names of the VMs of a fleet.
const VMS: [&str; 3] = ["vm-01", "vm-02", "vm-03"];

/// Starts an endpoint that answers bookings only once it has been released.
async fn blocked_endpoint() -> (Endpoint, watch::Sender<bool>) {
    let (release, released) = watch::channel(false);
    let endpoint = Endpoint::start(move |request| {
        let mut released = released.clone();
        async move {
            if request.method() == Method::POST {
                released.wait_for(|released| *released).await.unwrap();
            }
            Response::new(Full::new(Bytes::from_static(b"booked")))
        }
    })
    .await;
    (endpoint, release)
}

fn one_slot(endpoint: &Endpoint) -> Value {
    let mut config = config(1, &[], &[endpoint.address]);
    config["services"][1]["endpoints"][0]["slots"] = json!(1);
    config
}

async fn start(config: Value) -> (Platform, DaemonProcess) {
    start_with_grace(config, GRACE_S).await
}

async fn start_with_grace(mut config: Value, grace_s: f64) -> (Platform, DaemonProcess) {
    config["services"][1]["timeout_ms"] = json!(BOOKING_TIMEOUT_MS);
    let platform = Platform::start().await;
    platform.publish_config(config);
    let grace = json!({"stop_grace_s": grace_s});
    let vm = DaemonProcess::start_with("vm-01", platform.address, grace).await;
    client::wait_until_serving(vm.admin_address).await;
    (platform, vm)
}

fn booking(id: &'static str) -> Request<Full<Bytes>> {
    client::request(Method::POST, "/bookings", id)
}

fn keyed_booking() -> Request<Full<Bytes>> {
    client::with_header(booking("slot 7"), header::IDEMPOTENCY_KEY, "clerk-4")
}

/// Returns a duplicate of [`keyed_booking`] that says so.
fn repeated_booking() -> Request<Full<Bytes>> {
    client::with_header(keyed_booking(), header::REPEAT, "true")
}

fn outcome(answer: &Response<Bytes>) -> (Option<&str>, Option<&str>) {
    let text = |name| client::header_text(answer, name);
    (text(header::OUTCOME), text(header::REASON))
}

/// Guards against a request that ends with the process and appears in no log.
#[tokio::test]
async fn a_request_that_outlasts_the_grace_has_a_line_and_an_answer() {
    bounded(async {
        let (endpoint, _release) = blocked_endpoint().await;
        let (_platform, mut vm) = start(one_slot(&endpoint)).await;
        let answer = tokio::spawn(client::send(vm.caller_address, booking("slot 7")));
        endpoint.wait_received(1).await;
        vm.signal("TERM").await;
        let answer = answer.await.unwrap().unwrap();
        assert_eq!(outcome(&answer), (Some("unknown"), Some("stopping")));
        let id = client::header_text(&answer, header::REQUEST_ID).unwrap();
        let request = format!(" request={id} ");
        vm.wait_for_line(&["event=request_cut", &request, " at=endpoint/booking-0 "]).await;
        assert_eq!(vm.exit_code().await, Some(0));
    })
    .await;
}

/// Guards against a request that is still queued when a stop begins, and is sent to an endpoint though
/// it may be cut there.
#[tokio::test]
async fn a_queued_request_that_may_outlast_the_grace_is_refused_when_the_stop_begins() {
    bounded(async {
        let (endpoint, release) = blocked_endpoint().await;
        let (_platform, vm) = start(one_slot(&endpoint)).await;
        let first = tokio::spawn(client::send(vm.caller_address, booking("first")));
        endpoint.wait_received(1).await;
        let queued = tokio::spawn(client::send(vm.caller_address, booking("queued")));
        client::wait_for(vm.admin_address, "/status", |status| counter(status, "requests") == 2)
            .await;
        vm.signal("TERM").await;
        assert_eq!(outcome(&queued.await.unwrap().unwrap()), (Some("not-run"), Some("stopping")));
        release.send_replace(true);
        assert_eq!(first.await.unwrap().unwrap().body(), "booked");
        let bookings = endpoint.received();
        assert!(!bookings.iter().any(|request| request.body() == "queued"));
    })
    .await;
}

/// Number of bookings after which a VM knows how long they usually take.
const USUAL_BOOKINGS: usize = 40;

/// Starts an endpoint with slots for all usual bookings, and a VM that knows it. The endpoint answers a
/// request after the time that `work` returns for it.
async fn start_with_work(work: fn(&Received) -> Duration) -> (Endpoint, Platform, DaemonProcess) {
    let endpoint = Endpoint::start(move |request| async move {
        tokio::time::sleep(work(&request)).await;
        Response::new(Full::new(Bytes::from_static(b"booked")))
    })
    .await;
    let mut config = config(1, &[], &[endpoint.address]);
    config["services"][1]["endpoints"][0]["slots"] = json!(2 * USUAL_BOOKINGS);
    let quick = json!({"name": "quick", "when": {"path_prefix": "/quick"},
        "then": {"route": {"service": testenv::BOOKING, "idempotent": true}}});
    config["rules"].as_array_mut().unwrap().push(quick);
    let (platform, vm) = start_with_grace(config, LONG_GRACE_S).await;
    (endpoint, platform, vm)
}

/// Sends the usual number of requests at once, and waits for their answers.
async fn send_usual(vm: &DaemonProcess, request: impl Fn() -> Request<Full<Bytes>>) {
    let sent = (0..USUAL_BOOKINGS).map(|_| client::send(vm.caller_address, request()));
    for answer in futures_util::future::join_all(sent).await {
        assert_eq!(answer.unwrap().body(), "booked");
    }
}

/// Stops the VM, and returns the answer to the last booking.
async fn book_last(vm: &DaemonProcess) -> Response<Bytes> {
    vm.signal("TERM").await;
    vm.wait_for_line(&["event=leaving"]).await;
    client::send(vm.caller_address, booking("last")).await.unwrap()
}

/// Books a few times, stops the VM, and returns the answer to a booking during the stop.
async fn book_during_a_stop(work: fn(&Received) -> Duration) -> Response<Bytes> {
    let (_endpoint, _platform, vm) = start_with_work(work).await;
    send_usual(&vm, || booking("usual")).await;
    book_last(&vm).await
}

/// Work of the usual bookings.
const USUAL_WORK: Duration = Duration::from_millis(50);
/// Work of a booking that doesn't end within the grace.
const ENDLESS_WORK: Duration = Duration::from_secs(60);

/// Returns the usual work for usual bookings, and one that doesn't end within the grace for others.
fn usual_or_endless(request: &Received) -> Duration {
    if request.body() == "usual" { USUAL_WORK } else { ENDLESS_WORK }
}

/// Guards against a stop that refuses all that callers give more time than the grace, though it takes
/// far less.
#[tokio::test]
async fn a_booking_that_usually_ends_within_the_grace_is_taken_during_a_stop() {
    bounded(async {
        assert_eq!(book_during_a_stop(|_| USUAL_WORK).await.body(), "booked");
    })
    .await;
}

/// Guards against a booking that is taken during a stop though bookings usually take too long for it.
#[tokio::test]
async fn a_booking_that_usually_takes_too_long_is_not_taken_during_a_stop() {
    bounded(async {
        let answer = book_during_a_stop(|_| Duration::from_secs_f64(LONG_GRACE_S / 2.0)).await;
        assert_eq!(outcome(&answer), (Some("not-run"), Some("stopping")));
    })
    .await;
}

/// Guards against a connection that ends without an answer because its booking takes longer than such
/// bookings did.
#[tokio::test]
async fn a_booking_that_takes_longer_than_usual_is_answered_within_the_grace() {
    bounded(async {
        let answer = book_during_a_stop(usual_or_endless).await;
        assert_eq!(outcome(&answer).0, Some("unknown"));
    })
    .await;
}

/// Guards against bookings whose callers left early, and that count as if an endpoint had finished them as
/// quickly: the next one is cut.
#[tokio::test]
async fn bookings_whose_callers_leave_do_not_count_as_quick_ones() {
    bounded(async {
        let (endpoint, _platform, vm) = start_with_work(|_| ENDLESS_WORK).await;
        let sent: Vec<_> = (0..USUAL_BOOKINGS)
            .map(|_| tokio::spawn(client::send(vm.caller_address, booking("given up"))))
            .collect();
        endpoint.wait_received(USUAL_BOOKINGS).await;
        sent.iter().for_each(tokio::task::JoinHandle::abort);
        let all_gone = |status: &Value| counter(status, "callers_gone") == USUAL_BOOKINGS as u64;
        client::wait_for(vm.admin_address, "/status", all_gone).await;
        assert_eq!(outcome(&book_last(&vm).await), (Some("not-run"), Some("stopping")));
    })
    .await;
}

/// Guards against a booking that is sent to endpoints of which one hangs, because its earlier bookings ended
/// quickly and the one that hangs hasn't ended yet.
#[tokio::test]
async fn a_booking_that_hangs_counts_before_it_ends() {
    bounded(async {
        let (endpoint, _platform, vm) = start_with_work(usual_or_endless).await;
        send_usual(&vm, || booking("usual")).await;
        tokio::spawn(client::send(vm.caller_address, booking("hangs")));
        endpoint.wait_received(USUAL_BOOKINGS + 1).await;
        tokio::time::sleep(Duration::from_secs_f64(LONG_GRACE_S / 2.0)).await;
        assert_eq!(outcome(&book_last(&vm).await), (Some("not-run"), Some("stopping")));
    })
    .await;
}

/// Guards against a booking that is cut because quick lookups of the same service count as if they were
/// bookings.
#[tokio::test]
async fn quick_lookups_do_not_count_as_quick_bookings() {
    bounded(async {
        let work = |request: &Received| match *request.method() {
            Method::GET => USUAL_WORK,
            _ => ENDLESS_WORK,
        };
        let (_endpoint, _platform, vm) = start_with_work(work).await;
        send_usual(&vm, || client::get("/quick")).await;
        assert_eq!(outcome(&book_last(&vm).await), (Some("not-run"), Some("stopping")));
    })
    .await;
}

/// Guards against a booking that waits for an endpoint during a stop, and is sent because bookings were
/// quick when it came, though the one before it has taken long since.
#[tokio::test]
async fn a_queued_booking_is_not_sent_once_bookings_take_too_long() {
    bounded(async {
        let endpoint = Endpoint::start(|request| async move {
            if request.body() != "usual" {
                tokio::time::sleep(Duration::from_secs_f64(LONG_GRACE_S / 2.0)).await;
            }
            Response::new(Full::new(Bytes::from_static(b"booked")))
        })
        .await;
        let (_platform, vm) = start_with_grace(one_slot(&endpoint), LONG_GRACE_S).await;
        for _ in 0..USUAL_BOOKINGS {
            client::send(vm.caller_address, booking("usual")).await.unwrap();
        }
        vm.signal("TERM").await;
        vm.wait_for_line(&["event=leaving"]).await;
        let first = tokio::spawn(client::send(vm.caller_address, booking("first")));
        endpoint.wait_received(USUAL_BOOKINGS + 1).await;
        let queued = client::send(vm.caller_address, booking("queued")).await.unwrap();
        assert_eq!(outcome(&queued), (Some("not-run"), Some("stopping")));
        assert_eq!(first.await.unwrap().unwrap().body(), "booked");
        assert_eq!(endpoint.received().len(), USUAL_BOOKINGS + 1);
    })
    .await;
}

/// Guards against a VM that can't be stopped before it has a configuration, or cuts the requests that
/// wait for it.
#[tokio::test]
async fn a_vm_without_a_configuration_refuses_what_waits_and_stops() {
    bounded(async {
        let settings = json!({"stop_grace_s": GRACE_S, "limits": {"first_config_wait_ms": 1_500}});
        let platform = unavailable_platform().await;
        let mut vm = DaemonProcess::start_with("vm-01", platform, settings).await;
        let waiting = tokio::spawn(client::send(vm.caller_address, booking("slot 7")));
        client::wait_for(vm.admin_address, "/status", |status| counter(status, "requests") == 1)
            .await;
        vm.signal("TERM").await;
        assert_eq!(outcome(&waiting.await.unwrap().unwrap()), (Some("not-run"), Some("no-config")));
        assert_eq!(vm.exit_code().await, Some(0));
    })
    .await;
}

/// Guards against a request that waits for the first configuration of a VM that stops, and is answered as
/// possibly run at the end of the grace.
#[tokio::test]
async fn a_vm_without_a_configuration_refuses_what_waits_when_it_stops() {
    bounded(async {
        let settings = json!({"stop_grace_s": GRACE_S, "limits": {"first_config_wait_ms": 60_000}});
        let platform = unavailable_platform().await;
        let vm = DaemonProcess::start_with("vm-01", platform, settings).await;
        let booking = client::with_header(booking("slot 7"), header::DEADLINE_MS, "30000");
        let waiting = tokio::spawn(client::send(vm.caller_address, booking));
        client::wait_for(vm.admin_address, "/status", |status| counter(status, "requests") == 1)
            .await;
        vm.signal("TERM").await;
        assert_eq!(outcome(&waiting.await.unwrap().unwrap()), (Some("not-run"), Some("no-config")));
    })
    .await;
}

/// Guards against another signal than the usual one, or further ones, that cut what is at work.
#[tokio::test]
async fn a_stop_by_interrupt_and_further_signals_cut_nothing() {
    bounded(async {
        let (endpoint, release) = blocked_endpoint().await;
        // The listeners close long before the grace is over.
        let (_platform, mut vm) = start_with_grace(one_slot(&endpoint), LONG_GRACE_S).await;
        let answer = tokio::spawn(client::send(vm.caller_address, booking("slot 7")));
        endpoint.wait_received(1).await;
        for signal in ["INT", "HUP", "TERM", "INT", "HUP"] {
            vm.signal(signal).await;
        }
        vm.wait_for_line(&["event=listeners_closed"]).await;
        vm.signal("TERM").await;
        release.send_replace(true);
        assert_eq!(answer.await.unwrap().unwrap().body(), "booked");
        assert_eq!(vm.exit_code().await, Some(0));
    })
    .await;
}

/// Guards against a duplicate that waits for its original's answer, and is refused as not run when a stop
/// begins though the original is at an endpoint.
#[tokio::test]
async fn a_duplicate_that_waits_for_its_original_is_not_refused_as_not_run() {
    bounded(async {
        let (endpoint, _release) = blocked_endpoint().await;
        let (_platform, vm) = start(config(1, &[], &[endpoint.address])).await;
        let original = tokio::spawn(client::send(vm.caller_address, keyed_booking()));
        endpoint.wait_received(1).await;
        let duplicate = tokio::spawn(client::send(vm.caller_address, repeated_booking()));
        client::wait_for(vm.admin_address, "/status", |status| counter(status, "requests") == 2)
            .await;
        vm.signal("TERM").await;
        let duplicate = duplicate.await.unwrap().unwrap();
        assert_eq!(outcome(&duplicate).0, Some("unknown"), "{:?}", duplicate.headers());
        assert_eq!(endpoint.received().len(), 1);
        drop(original);
    })
    .await;
}

/// Guards against a duplicate that arrives during a stop, and is refused as not run though its original
/// is at an endpoint.
#[tokio::test]
async fn a_duplicate_that_arrives_during_a_stop_is_not_refused_as_not_run() {
    bounded(async {
        let (endpoint, _release) = blocked_endpoint().await;
        let (_platform, vm) = start(config(1, &[], &[endpoint.address])).await;
        let original = tokio::spawn(client::send(vm.caller_address, keyed_booking()));
        endpoint.wait_received(1).await;
        vm.signal("TERM").await;
        vm.wait_for_line(&["event=leaving"]).await;
        let duplicate = client::send(vm.caller_address, repeated_booking()).await.unwrap();
        assert_eq!(outcome(&duplicate).0, Some("unknown"), "{:?}", duplicate.headers());
        drop(original);
    })
    .await;
}

/// Begins a booking whose body doesn't arrive whole, with further header fields, and returns its
/// connection.
async fn half_a_booking(vm: SocketAddr, fields: &str) -> TcpStream {
    let mut caller = TcpStream::connect(vm).await.unwrap();
    let head = format!(
        "POST /bookings HTTP/1.1\r\nhost: fleet\r\n{}: {}\r\n{fields}content-length: 9\r\n\r\nslot",
        header::CUSTOMER,
        testenv::CUSTOMER
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    caller
}

/// Guards against a booking that was sent nowhere, and is answered as possibly run because its body was
/// still arriving at the end of the grace.
#[tokio::test]
async fn a_request_whose_body_is_still_arriving_is_refused_as_not_run() {
    bounded(async {
        let (endpoint, _release) = blocked_endpoint().await;
        let (_platform, vm) = start(config(1, &[], &[endpoint.address])).await;
        let mut caller = half_a_booking(vm.caller_address, "").await;
        client::wait_for(vm.admin_address, "/status", |status| counter(status, "requests") == 1)
            .await;
        vm.signal("TERM").await;
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.unwrap();
        assert!(answer.contains("pistachiotrack-outcome: not-run"), "{answer}");
        assert!(endpoint.received().is_empty());
    })
    .await;
}

/// Guards against a duplicate whose body is still arriving when a stop begins, and that is refused as not
/// run though its original is at an endpoint.
#[tokio::test]
async fn a_duplicate_whose_body_is_still_arriving_is_not_refused_as_not_run() {
    bounded(async {
        let (endpoint, _release) = blocked_endpoint().await;
        let (_platform, vm) = start(config(1, &[], &[endpoint.address])).await;
        let original = tokio::spawn(client::send(vm.caller_address, keyed_booking()));
        endpoint.wait_received(1).await;
        let key = format!("{}: clerk-4\r\n", header::IDEMPOTENCY_KEY);
        let mut duplicate = half_a_booking(vm.caller_address, &key).await;
        client::wait_for(vm.admin_address, "/status", |status| counter(status, "requests") == 2)
            .await;
        vm.signal("TERM").await;
        let mut answer = String::new();
        duplicate.read_to_string(&mut answer).await.unwrap();
        assert!(answer.contains("pistachiotrack-outcome: unknown"), "{answer}");
        drop(original);
    })
    .await;
}

/// Guards against a process that lags behind its own times at the end of a stop, and exits without the
/// refusals of what is still at work.
#[tokio::test]
async fn a_vm_that_lags_at_the_end_of_its_grace_still_answers() {
    bounded(async {
        let (endpoint, _release) = blocked_endpoint().await;
        let mut config = config(1, &[], &[endpoint.address]);
        config["services"][1]["timeout_ms"] = json!(10_000);
        let platform = Platform::start().await;
        platform.publish_config(config);
        let grace = json!({"stop_grace_s": 6.0, "limits": {"worker_threads": 1}});
        let vm = DaemonProcess::start_with("vm-01", platform.address, grace).await;
        client::wait_until_serving(vm.admin_address).await;
        let answer = tokio::spawn(client::send(vm.caller_address, booking("slot 7")));
        endpoint.wait_received(1).await;
        let began_at = Instant::now();
        vm.signal("TERM").await;
        tokio::time::sleep_until((began_at + Duration::from_millis(5_400)).into()).await;
        vm.signal("STOP").await;
        tokio::time::sleep_until((began_at + Duration::from_millis(5_800)).into()).await;
        vm.signal("CONT").await;
        let answer = answer.await.unwrap().expect("the booking has no answer");
        assert_eq!(outcome(&answer), (Some("unknown"), Some("stopping")));
    })
    .await;
}

/// Three VMs of which one owns the bookings' shard and stops, while its successor is halted and gets no
/// hand-over.
struct StoppingOwner {
    owner: DaemonProcess,
    other: DaemonProcess,
    _successor: DaemonProcess,
    _platform: Platform,
}

impl StoppingOwner {
    /// Starts the VMs, calls `before` with the owner's address and begins the stop.
    async fn start<F: Future<Output = ()>>(
        endpoint: &Endpoint,
        before: impl FnOnce(SocketAddr) -> F,
    ) -> StoppingOwner {
        let platform = Platform::start().await;
        platform.publish_config(config(1, &[], &[endpoint.address]));
        let settings = json!({"stop_grace_s": GRACE_S, "first_start": true});
        let mut vms = Vec::new();
        for name in VMS {
            vms.push(DaemonProcess::start_with(name, platform.address, settings.clone()).await);
        }
        let entries: Vec<Value> =
            vms.iter().zip(VMS).map(|(vm, name)| vm.vm_list_entry(name)).collect();
        fleet::publish_vm_list(&platform, 2, &entries);
        let admins: Vec<_> = vms.iter().map(|vm| vm.admin_address).collect();
        fleet::wait_until(|| fleet::has_converged(&admins)).await;
        let mut owner = None;
        for (index, admin) in admins.into_iter().enumerate() {
            if fleet::owns(&client::admin(admin, "/status").await, "booking/0") {
                owner = Some(index);
            }
        }
        let owner = vms.swap_remove(owner.unwrap());
        before(owner.caller_address).await;
        let [successor, other] = <[DaemonProcess; 2]>::try_from(vms).ok().unwrap();
        successor.signal("STOP").await;
        owner.signal("TERM").await;
        owner.wait_for_line(&["event=leaving"]).await;
        StoppingOwner { owner, other, _successor: successor, _platform: platform }
    }
}

/// Guards against a booking that runs twice: a VM serves the duplicate by itself since the stopping owner
/// refuses it as not run, though the original is at an endpoint and the successor holds no record yet.
#[tokio::test]
async fn a_duplicate_is_not_run_by_another_vm_while_the_stopping_owner_holds_its_record() {
    bounded(async {
        let (endpoint, _release) = blocked_endpoint().await;
        let vms = StoppingOwner::start(&endpoint, |owner| {
            tokio::spawn(client::send(owner, keyed_booking()));
            endpoint.wait_received(1)
        })
        .await;
        let duplicate = client::send(vms.other.caller_address, keyed_booking());
        // If it is sent to the endpoint, it has no answer.
        let _ = tokio::time::timeout(Duration::from_secs(1), duplicate).await;
        assert_eq!(endpoint.received().len(), 1);
    })
    .await;
}

/// Guards against a booking that is refused because it was forwarded to an owner that stops, though its
/// own VM can serve it.
#[tokio::test]
async fn a_booking_that_a_stopping_owner_does_not_take_is_served_by_its_entry_vm() {
    bounded(async {
        let endpoint = Endpoint::answering("booked").await;
        let vms = StoppingOwner::start(&endpoint, |_| std::future::ready(())).await;
        let answer = client::send(vms.other.caller_address, booking("slot 7")).await.unwrap();
        assert_eq!(answer.body(), "booked");
        vms.owner.wait_for_line(&["event=refused", " to=vm ", " reason=stopping "]).await;
    })
    .await;
}

/// Guards against a stop that begins after a long pause has ended, and is taken for one that has lasted as
/// long as the pause: all that is at work is cut at once.
#[tokio::test]
async fn a_stop_shortly_after_a_pause_leaves_its_requests_time() {
    bounded(async {
        let (endpoint, release) = blocked_endpoint().await;
        let (_platform, vm) = start(config(1, &[], &[endpoint.address])).await;
        vm.signal("STOP").await;
        tokio::time::sleep(Duration::from_secs_f64(GRACE_S)).await;
        vm.signal("CONT").await;
        vm.wait_for_line(&["event=paused"]).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let answer = tokio::spawn(client::send(vm.caller_address, booking("slot 7")));
        endpoint.wait_received(1).await;
        vm.signal("TERM").await;
        vm.wait_for_line(&["event=leaving"]).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        release.send_replace(true);
        assert_eq!(answer.await.unwrap().unwrap().body(), "booked", "{:#?}", vm.log());
    })
    .await;
}

/// Guards against a grace that is counted from the end of a pause in which the signal came.
#[tokio::test]
async fn a_signal_during_a_pause_counts_from_its_beginning() {
    bounded(async {
        let (endpoint, _release) = blocked_endpoint().await;
        let (_platform, vm) = start(config(1, &[], &[endpoint.address])).await;
        vm.signal("STOP").await;
        vm.signal("TERM").await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        vm.signal("CONT").await;
        let line = vm.wait_for_line(&["event=leaving"]).await;
        let since_stop = line.split_once(" since_stop_ms=").unwrap().1;
        let since_stop_ms: u64 = since_stop.split(' ').next().unwrap().parse().unwrap();
        assert!(since_stop_ms >= 1_000, "{line}");
    })
    .await;
}
