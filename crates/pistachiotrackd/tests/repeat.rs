//! Retries, hedges and repeated requests: what is sent again and what is not.

mod testenv;

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use pistachiotrack_core::header;
use serde_json::json;
use testenv::{
    Deployment, client,
    endpoint::{Endpoint, read_head, read_to_end},
    platform::Platform,
    process::DaemonProcess,
};
use tokio::{io::AsyncWriteExt, sync::watch};

fn keyed_booking(repeat: bool) -> Request<Full<Bytes>> {
    let request = client::request(Method::POST, "/bookings", "slot 7");
    let request = client::with_header(request, header::IDEMPOTENCY_KEY, "clerk-4-slot-7");
    if repeat { client::with_header(request, header::REPEAT, "true") } else { request }
}

/// Guards against a booking that runs twice. The caller lost the first answer and sends the
/// booking again with the same key; the fleet must not handle it as a new one.
#[tokio::test]
async fn a_repeat_with_the_same_key_gets_the_first_answer() {
    let count = Arc::new(AtomicU32::new(0));
    let booking = Endpoint::start(move |_| {
        let number = count.fetch_add(1, Ordering::SeqCst);
        async move { Response::new(Full::from(format!("booking {number}"))) }
    })
    .await;
    let deployment = Deployment::start(&[], &[booking.address]).await;
    let first = client::send(deployment.address(), keyed_booking(false)).await.unwrap();
    let second = client::send(deployment.address(), keyed_booking(true)).await.unwrap();
    assert_eq!(first.body(), "booking 0");
    assert_eq!(second.body(), "booking 0");
    assert_eq!(second.status(), first.status());
    assert_eq!(booking.received().len(), 1);
}

/// Number of requests of which at least one certainly gets to either of two idle endpoints.
const MAX_DRAWS: usize = 100;

/// Guards against a lookup that waits for a slow endpoint while another one is idle. The
/// first attempt hangs, the hedge is answered, and the first attempt is cancelled.
#[tokio::test]
async fn a_hedge_answers_and_the_slow_attempt_is_cancelled() {
    let (hang, hanging) = watch::channel(false);
    let hung_lookups = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&hung_lookups);
    let serve = move |mut stream: tokio::net::TcpStream| {
        let (hanging, count) = (hanging.clone(), Arc::clone(&count));
        async move {
            while read_head(&mut stream).await {
                if *hanging.borrow() {
                    count.fetch_add(1, Ordering::SeqCst);
                    return read_to_end(&mut stream).await;
                }
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfree";
                stream.write_all(answer).await.unwrap();
            }
        }
    };
    let slow = Endpoint::serve(serve).await;
    let quick = Endpoint::answering("free").await;
    let deployment = Deployment::start(&[slow.address, quick.address], &[]).await;
    let mut caller = client::Connection::open(deployment.address()).await;
    for _ in 0..100 {
        assert_eq!(caller.send(client::get("/hedged")).await.unwrap().body(), "free");
    }
    assert!(slow.connections() > 0);
    hang.send_replace(true);
    // Which of two idle endpoints gets a lookup is drawn.
    let mut sent = 0;
    while sent < 6 || hung_lookups.load(Ordering::SeqCst) == 0 {
        assert!(sent < MAX_DRAWS, "the slow endpoint gets no lookup");
        sent += 1;
        assert_eq!(caller.send(client::get("/hedged")).await.unwrap().body(), "free");
    }
    slow.wait_closed(1).await;
}

/// Guards against requests that fail because an overloaded endpoint shed them. The endpoint
/// reports that it did not run the booking, so the fleet may send it elsewhere, exactly once.
#[tokio::test]
async fn a_shed_booking_is_sent_to_another_endpoint() {
    let full = Endpoint::start(|_| async {
        let response = Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header(header::NOT_RUN, "true");
        response.body(Full::from("full")).unwrap()
    })
    .await;
    let free = Endpoint::answering("booked").await;
    let deployment = Deployment::start(&[], &[full.address, free.address]).await;
    // Which of two idle endpoints gets a booking first is drawn.
    let mut sent = 0;
    while sent < 8 || full.received().is_empty() {
        assert!(sent < MAX_DRAWS, "the full endpoint gets no booking");
        sent += 1;
        let request = client::request(Method::POST, "/bookings", "slot 7");
        let booked = client::send(deployment.address(), request).await.unwrap();
        assert_eq!(booked.body(), "booked");
    }
    assert_eq!(free.received().len(), sent);
}

/// Guards against a booking that runs twice: the refusal of another request, which its ID tells, comes
/// where the answer is expected.
#[tokio::test]
async fn a_refusal_with_the_id_of_another_request_is_not_believed() {
    let booking = Endpoint::start(|request| async move {
        let id = match &request.headers()[header::REQUEST_ID] {
            id if request.body() == "slot 7" => id.clone(),
            _ => hyper::header::HeaderValue::from_static("another"),
        };
        let answer = Response::builder().status(503).header(header::NOT_RUN, "true");
        answer.header(header::REQUEST_ID, id).body(Full::default()).unwrap()
    })
    .await;
    let deployment = Deployment::start(&[], &[booking.address]).await;
    for (slot, outcome) in [("slot 7", "not-run"), ("slot 8", "unknown")] {
        let booked = client::request(Method::POST, "/bookings", slot);
        let refused = client::send(deployment.address(), booked).await.unwrap();
        assert_eq!(client::header_text(&refused, header::OUTCOME), Some(outcome));
    }
}

/// Guards against a lookup that fails on a pooled connection which the endpoint has just
/// closed. Nothing of the request was written to it yet.
#[tokio::test]
async fn a_connection_closed_while_idle_is_replaced() {
    let search = Endpoint::serve(|mut stream| async move {
        read_head(&mut stream).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfree";
        stream.write_all(answer).await.unwrap();
    })
    .await;
    let deployment = Deployment::start(&[search.address], &[]).await;
    for round in 1..=3 {
        let found = client::send(deployment.address(), client::get("/slots")).await.unwrap();
        assert_eq!(found.body(), "free");
        search.wait_closed(round).await;
    }
}

/// Guards against lookups that time out one after the other. A network device has dropped
/// the state of all connections that were open; requests on them get no answer, while new
/// connections work.
#[tokio::test]
async fn one_silent_connection_closes_the_other_idle_ones() {
    let (silence, silent) = watch::channel(false);
    let search = Endpoint::serve(move |mut stream| {
        let silent = silent.clone();
        let opened_silent = *silent.borrow();
        async move {
            while read_head(&mut stream).await {
                if *silent.borrow() && !opened_silent {
                    return read_to_end(&mut stream).await;
                }
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfree";
                stream.write_all(answer).await.unwrap();
            }
        }
    })
    .await;
    let limits = json!({"idle_ms": 600_000});
    let deployment = Deployment::start_with_limits(&[search.address], &[], limits).await;
    let lookup = || tokio::spawn(client::send(deployment.address(), client::get("/slots")));
    // A new owner uses all slots only after the takeover grace period.
    let start = std::time::Instant::now();
    while search.connections() < 2 {
        assert!(start.elapsed() < client::HANG_LIMIT, "only one connection was opened");
        let lookups = (lookup(), lookup());
        assert_eq!(lookups.0.await.unwrap().unwrap().body(), "free");
        assert_eq!(lookups.1.await.unwrap().unwrap().body(), "free");
    }
    silence.send_replace(true);
    let late = client::with_header(client::get("/slots"), header::DEADLINE_MS, "200");
    client::send(deployment.address(), late).await.unwrap();
    search.wait_closed(2).await;
    assert_eq!(lookup().await.unwrap().unwrap().body(), "free");
}

/// Guards against a booking that runs long after its caller has given up. The VM is paused
/// while the booking waits for a slot, and must count the pause towards the deadline.
#[tokio::test]
async fn a_booking_queued_during_a_pause_is_not_run() {
    let (release, released) = watch::channel(false);
    let booking = Endpoint::start(move |_| {
        let mut released = released.clone();
        async move {
            released.wait_for(|released| *released).await.unwrap();
            Response::new(Full::from("booked"))
        }
    })
    .await;
    let platform = Platform::start().await;
    platform.publish_config(testenv::config(1, &[], &[booking.address]));
    let vm = DaemonProcess::start("vm-01", platform.address).await;
    client::wait_until_serving(vm.admin_address).await;
    let booking_request = || client::request(Method::POST, "/bookings", "slot 7");
    let running: Vec<_> =
        (0..2).map(|_| tokio::spawn(client::send(vm.caller_address, booking_request()))).collect();
    booking.wait_received(2).await;
    let late = client::with_header(booking_request(), header::DEADLINE_MS, "300");
    let waiting = tokio::spawn(client::send(vm.caller_address, late));
    client::wait_for(vm.admin_address, "/status", |status| {
        let counters = status["counters"].as_array().unwrap();
        counters.contains(&json!({"name": "requests", "value": 3}))
    })
    .await;
    vm.signal("STOP").await;
    tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    release.send_replace(true);
    vm.signal("CONT").await;
    let refused = waiting.await.unwrap().unwrap();
    assert_eq!(client::header_text(&refused, header::OUTCOME), Some("not-run"));
    for answer in running {
        assert_eq!(answer.await.unwrap().unwrap().body(), "booked");
    }
    assert_eq!(booking.received().len(), 2);
}

/// Guards against a booking that runs after its caller has given up. It waits in the socket's
/// buffer while the VM is paused; the VM must not count its deadline from the moment at which
/// it reads the booking.
#[tokio::test]
async fn a_booking_received_during_a_pause_is_refused_after_its_deadline() {
    let booking = Endpoint::answering("booked").await;
    let platform = Platform::start().await;
    platform.publish_config(testenv::config(1, &[], &[booking.address]));
    let vm = DaemonProcess::start("vm-01", platform.address).await;
    client::wait_until_serving(vm.admin_address).await;
    let booking_request = |deadline_ms| {
        let request = client::request(Method::POST, "/bookings", "slot 7");
        client::with_header(request, header::DEADLINE_MS, deadline_ms)
    };
    let mut pooled = client::Connection::open(vm.caller_address).await;
    assert_eq!(pooled.send(booking_request("20000")).await.unwrap().body(), "booked");
    vm.signal("STOP").await;
    let address = vm.caller_address;
    let late = tokio::spawn(client::send(address, booking_request("300")));
    let late_on_pooled_request = booking_request("300");
    let late_on_pooled = tokio::spawn(async move { pooled.send(late_on_pooled_request).await });
    let in_time = tokio::spawn(client::send(address, booking_request("20000")));
    tokio::time::sleep(std::time::Duration::from_millis(1_000)).await;
    vm.signal("CONT").await;
    for late in [late, late_on_pooled] {
        let refused = late.await.unwrap().unwrap();
        assert_eq!(client::header_text(&refused, header::OUTCOME), Some("not-run"));
        assert_eq!(client::header_text(&refused, header::REASON), Some("paused"));
    }
    assert_eq!(in_time.await.unwrap().unwrap().body(), "booked");
    assert_eq!(booking.received().len(), 2);
}
