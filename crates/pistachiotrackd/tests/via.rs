//! Requests to an endpoint that the owner of their shard can't reach, while
//! other VMs do.

mod testenv;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response};
use pistachiotrack_core::header;
use pistachiotrackd::daemon::Daemon;
use serde_json::{Value, json};
use testenv::{
    client, config,
    endpoint::{Endpoint, read_head},
    listed,
    platform::Platform,
    process::DaemonProcess,
    settings,
};

/// Name of the VM that owns the bookings among these three.
const OWNER: &str = "vm-01";
const OTHERS: [&str; 2] = ["vm-02", "vm-03"];

/// An owner in the test's process, whose paths can be cut, and two other VMs in
/// processes of their own, which can be killed.
struct Trio {
    _platform: Platform,
    owner: Daemon,
    others: Vec<DaemonProcess>,
}

impl Trio {
    async fn start(booking: &[&Endpoint]) -> Trio {
        let platform = Platform::start().await;
        let addresses: Vec<_> = booking.iter().map(|endpoint| endpoint.address).collect();
        platform.publish_config(config(1, &[], &addresses));
        let owner = Daemon::start(settings(OWNER, platform.address, json!({}))).await.unwrap();
        let mut list = vec![listed(OWNER, owner.peer_address(), owner.caller_address())];
        let mut others = Vec::new();
        for name in OTHERS {
            let other = DaemonProcess::start(name, platform.address).await;
            list.push(other.listed(name));
            others.push(other);
        }
        platform.publish_vms(json!({"version": 2, "vms": list}));
        for admin in others.iter().map(|vm| vm.admin_address).chain([owner.admin_address()]) {
            client::wait_for(admin, "/status", |status| {
                status["live_vms"] == 3 && status["state"] == "serving"
            })
            .await;
        }
        let shard = Value::from("booking/0");
        client::wait_for(owner.admin_address(), "/status", |status| {
            status["shards"].as_array().is_some_and(|shards| shards.contains(&shard))
        })
        .await;
        Trio { _platform: platform, owner, others }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Response<Bytes> {
        client::send(self.owner.caller_address(), request).await.unwrap()
    }

    /// Books until one booking is answered, and returns that answer. Until the
    /// fleet knows of the cut, bookings are refused as not run.
    async fn book_until_answered(&self) -> Response<Bytes> {
        let start = std::time::Instant::now();
        loop {
            let response = self.send(book()).await;
            match client::field(&response, header::OUTCOME) {
                None => return response,
                outcome => assert_eq!(outcome, Some("not-run")),
            }
            assert!(start.elapsed() < client::HANG_LIMIT, "no booking is answered");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn book() -> Request<Full<Bytes>> {
    client::request(Method::POST, "/bookings", "slot 7")
}

/// All bookings fail although the only endpoint is well. The owner's path to it
/// is cut; any other VM reaches it. The bookings go through one of those, and
/// directly again when the path has healed.
#[tokio::test]
async fn bookings_go_through_another_vm_while_the_owners_path_is_cut() {
    let booking = Endpoint::answering("booked").await;
    let mut trio = Trio::start(&[&booking]).await;
    assert_eq!(trio.send(book()).await.body(), "booked");
    trio.owner.set_path_cut(booking.address, true);
    let mut answered = 1;
    for _ in 0..20 {
        let booked = trio.book_until_answered().await;
        answered += 1;
        assert_eq!(booked.body(), "booked");
        assert_eq!(client::field(&booked, header::ENDPOINT), Some("booking-0"));
        assert_eq!(client::field(&booked, header::OWNER), Some(OWNER));
        assert!(!booked.headers().contains_key(header::VIA_END));
    }
    assert_eq!(booking.received().len(), answered);
    for request in booking.received() {
        assert_eq!(request.body(), "slot 7");
        assert!(request.headers().contains_key(header::REQUEST_ID));
        assert!(request.headers().contains_key(header::DEADLINE_MS));
        assert!(!request.headers().contains_key(header::VIA));
        assert!(!request.headers().contains_key(header::HOP));
    }

    trio.owner.set_path_cut(booking.address, false);
    for other in &mut trio.others {
        other.kill().await;
    }
    assert_eq!(trio.book_until_answered().await.body(), "booked");
}

/// A booking is doubled. The witness has sent it to the endpoint when the
/// witness's VM dies; the owner sees a broken connection and must not send it
/// again, nor call it not run.
#[tokio::test]
async fn a_booking_whose_witness_dies_under_it_is_unknown_and_not_sent_again() {
    let (release, released) = tokio::sync::watch::channel(true);
    let booking = Endpoint::start(move |_| {
        let mut released = released.clone();
        async move {
            released.wait_for(|released| *released).await.unwrap();
            Response::new(Full::from("booked"))
        }
    })
    .await;
    let mut trio = Trio::start(&[&booking]).await;
    trio.owner.set_path_cut(booking.address, true);
    trio.book_until_answered().await;
    release.send_replace(false);
    let before = booking.received().len();
    let caller = tokio::spawn(client::send(trio.owner.caller_address(), book()));
    while booking.received().len() == before {
        tokio::task::yield_now().await;
    }
    for other in &mut trio.others {
        other.kill().await;
    }
    let refused = caller.await.unwrap().unwrap();
    assert_eq!(client::field(&refused, header::OUTCOME), Some("unknown"));
    assert_eq!(booking.received().len(), before + 1);
}

/// A booking is called not run although it may have run. The endpoint takes it
/// from the witness and closes the connection without an answer.
#[tokio::test]
async fn a_booking_that_the_endpoint_breaks_off_behind_the_witness_is_unknown() {
    let (sender, breaks) = tokio::sync::watch::channel(false);
    let booking = Endpoint::serve(move |mut stream| {
        let breaks = breaks.clone();
        async move {
            while read_head(&mut stream).await && !*breaks.borrow() {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nbooked";
                let mut body = [0; 6];
                tokio::io::AsyncReadExt::read_exact(&mut stream, &mut body).await.unwrap();
                tokio::io::AsyncWriteExt::write_all(&mut stream, answer).await.unwrap();
            }
        }
    })
    .await;
    let trio = Trio::start(&[&booking]).await;
    trio.owner.set_path_cut(booking.address, true);
    trio.book_until_answered().await;
    sender.send_replace(true);
    let refused = trio.send(book()).await;
    assert_eq!(client::field(&refused, header::OUTCOME), Some("unknown"));
}

/// A clerk takes half a roster for the whole. The endpoint cuts its answer to
/// the witness, which ends it towards the owner as if it were whole.
#[tokio::test]
async fn a_body_cut_behind_the_witness_is_an_error_for_the_caller() {
    let booking = Endpoint::serve(|mut stream| async move {
        read_head(&mut stream).await;
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        tokio::io::AsyncWriteExt::write_all(&mut stream, head).await.unwrap();
    })
    .await;
    let trio = Trio::start(&[&booking]).await;
    trio.owner.set_path_cut(booking.address, true);
    let start = std::time::Instant::now();
    loop {
        match client::send(trio.owner.caller_address(), book()).await {
            Err(_) => return,
            Ok(refused) => {
                assert_eq!(client::field(&refused, header::OUTCOME), Some("not-run"));
            }
        }
        assert!(start.elapsed() < client::HANG_LIMIT, "no booking gets through");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A caller that goes away leaves its booking at work behind the witness, and
/// the slot stays taken. The end of its connection must reach the endpoint.
#[tokio::test]
async fn a_cancellation_reaches_the_endpoint_behind_the_witness() {
    let (release, released) = tokio::sync::watch::channel(true);
    let booking = Endpoint::start(move |_| {
        let mut released = released.clone();
        async move {
            released.wait_for(|released| *released).await.unwrap();
            Response::new(Full::from("booked"))
        }
    })
    .await;
    let trio = Trio::start(&[&booking]).await;
    trio.owner.set_path_cut(booking.address, true);
    trio.book_until_answered().await;
    release.send_replace(false);
    let before = booking.received().len();
    let mut connection = client::Connection::open(trio.owner.caller_address()).await;
    let pending = connection.begin(book());
    let received = async {
        while booking.received().len() == before {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        _ = pending => panic!("the booking is answered"),
        () = received => {}
    }
    let open = booking.connections();
    connection.abort();
    booking.wait_closed(open).await;
}
