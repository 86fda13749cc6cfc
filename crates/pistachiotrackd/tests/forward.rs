//! Requests that enter at a VM which doesn't own their shard.

mod testenv;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response};
use pistachiotrack_core::header;
use serde_json::{Value, json};
use testenv::{
    client, config,
    endpoint::{Endpoint, read_head},
    platform::Platform,
    process::DaemonProcess,
};
use tokio::sync::watch;

/// Names of the two VMs of every test.
const VMS: [&str; 2] = ["vm-01", "vm-02"];

/// Two daemons in processes of their own that know each other.
struct Pair {
    _platform: Platform,
    vms: [DaemonProcess; 2],
}

impl Pair {
    async fn start(search: &Endpoint, booking: &Endpoint) -> Pair {
        let platform = Platform::start().await;
        platform.publish_config(config(1, &[search.address], &[booking.address]));
        let vms = [
            DaemonProcess::start(VMS[0], platform.address).await,
            DaemonProcess::start(VMS[1], platform.address).await,
        ];
        let list: Vec<Value> = (0..2).map(|index| vms[index].listed(VMS[index])).collect();
        platform.publish_vms(json!({"version": 2, "vms": list}));
        for vm in &vms {
            client::wait_for(vm.admin_address, "/status", |status| {
                status["live_vms"] == 2 && status["state"] == "serving"
            })
            .await;
        }
        Pair { _platform: platform, vms }
    }

    /// Waits until both VMs agree who owns a service and returns the indexes of
    /// the owner and the other one.
    async fn owner(&self, service: &str) -> (usize, usize) {
        let shard = Value::from(format!("{service}/0"));
        let start = std::time::Instant::now();
        loop {
            assert!(start.elapsed() < client::HANG_LIMIT, "no agreed owner of {service}");
            let mut owns = Vec::new();
            for vm in &self.vms {
                let status = client::admin(vm.admin_address, "/status").await;
                owns.push(status["shards"].as_array().unwrap().contains(&shard));
            }
            match owns[..] {
                [true, false] => return (0, 1),
                [false, true] => return (1, 0),
                _ => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
            }
        }
    }

    async fn send(
        &self,
        vm: usize,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Bytes>> {
        client::send(self.vms[vm].caller_address, request).await
    }
}

fn book() -> Request<Full<Bytes>> {
    client::request(Method::POST, "/bookings", "slot 7")
}

/// An endpoint that keeps every request until it is released.
async fn held() -> (Endpoint, watch::Sender<bool>) {
    let (release, released) = watch::channel(false);
    let endpoint = Endpoint::start(move |_| {
        let mut released = released.clone();
        async move {
            released.wait_for(|released| *released).await.unwrap();
            Response::new(Full::from("done"))
        }
    })
    .await;
    (endpoint, release)
}

#[tokio::test]
async fn a_request_travels_one_hop_to_the_owner() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let pair = Pair::start(&search, &booking).await;
    let (owner, entry) = pair.owner("booking").await;
    for _ in 0..3 {
        let booked = pair.send(entry, book()).await.unwrap();
        assert_eq!(booked.body(), "booked");
        assert_eq!(client::field(&booked, header::OWNER), Some(VMS[owner]));
        assert_eq!(client::field(&booked, header::ENDPOINT), Some("booking-0"));
    }
    let received = booking.received();
    assert_eq!(received.len(), 3);
    for request in received {
        let id = request.headers()[header::REQUEST_ID].to_str().unwrap();
        assert!(id.starts_with(VMS[entry]), "{id}");
        assert!(!request.headers().contains_key(header::HOP));
        assert!(!request.headers().contains_key(header::ROUTE));
    }
}

/// A request circles between two VMs that each take the other for the owner,
/// as after a partition. One of them sends it on; the other, which doesn't own
/// the shard either, sends it back instead of serving it.
#[tokio::test]
async fn a_request_that_was_sent_on_is_not_sent_on_again() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let pair = Pair::start(&search, &booking).await;
    let (owner, other) = pair.owner("booking").await;
    let route = json!({"shard": {"service": "booking", "index": 0}, "customer": testenv::CUSTOMER,
                       "class": "standard", "idempotent": false, "hedge": false});
    let request = client::with(book(), header::HOP, VMS[owner]);
    let request = client::with(request, header::ROUTE, &route.to_string());
    let request = client::with(request, header::DEADLINE_MS, "3000");
    let booked = client::send(pair.vms[other].peer_address, request).await.unwrap();
    assert_eq!(booked.body(), "booked");
    assert_eq!(client::field(&booked, header::OWNER), Some(VMS[other]));
    assert_eq!(booking.received().len(), 1);
}

/// Bookings fail for as long as the fleet takes to notice that a VM is gone.
/// The owner's VM dies; the entry VM still believes in it and can't connect.
#[tokio::test]
async fn a_booking_is_run_once_although_its_owner_has_just_died() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let mut pair = Pair::start(&search, &booking).await;
    let (owner, entry) = pair.owner("booking").await;
    pair.send(entry, book()).await.unwrap();
    pair.vms[owner].kill().await;
    let booked = pair.send(entry, book()).await.unwrap();
    assert_eq!(booked.body(), "booked");
    assert_eq!(client::field(&booked, header::OWNER), Some(VMS[entry]));
    assert_eq!(booking.received().len(), 2);
}

/// A booking is doubled. The owner has sent it to an endpoint when its VM dies;
/// the entry VM sees a broken connection and sends the booking again.
#[tokio::test]
async fn a_booking_whose_owner_dies_under_it_is_unknown_and_not_sent_again() {
    let search = Endpoint::answering("free slots").await;
    let (booking, _release) = held().await;
    let mut pair = Pair::start(&search, &booking).await;
    let (owner, entry) = pair.owner("booking").await;
    let caller = tokio::spawn(client::send(pair.vms[entry].caller_address, book()));
    while booking.received().is_empty() {
        tokio::task::yield_now().await;
    }
    pair.vms[owner].kill().await;
    let refused = caller.await.unwrap().unwrap();
    assert_eq!(client::field(&refused, header::OUTCOME), Some("unknown"));
    assert_eq!(booking.received().len(), 1);
}

/// A lookup is lost together with the VM that worked on it, although any VM
/// could repeat it. The owner dies after it has sent the lookup on.
#[tokio::test]
async fn a_lookup_whose_owner_dies_under_it_is_answered() {
    let (search, release) = held().await;
    let booking = Endpoint::answering("booked").await;
    let mut pair = Pair::start(&search, &booking).await;
    let (owner, entry) = pair.owner("slot-search").await;
    let caller = tokio::spawn(client::send(pair.vms[entry].caller_address, client::get("/slots")));
    while search.received().is_empty() {
        tokio::task::yield_now().await;
    }
    pair.vms[owner].kill().await;
    release.send_replace(true);
    assert_eq!(caller.await.unwrap().unwrap().body(), "done");
}

/// A clerk sees half a roster and takes it for the whole. The endpoint cuts its
/// answer to the owner; the entry VM ends it to the caller as if it were whole.
#[tokio::test]
async fn a_body_cut_at_the_owner_is_an_error_for_the_caller() {
    let search = Endpoint::serve(|mut stream| async move {
        read_head(&mut stream).await;
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        tokio::io::AsyncWriteExt::write_all(&mut stream, head).await.unwrap();
    })
    .await;
    let booking = Endpoint::answering("booked").await;
    let pair = Pair::start(&search, &booking).await;
    let (_, entry) = pair.owner("slot-search").await;
    pair.send(entry, client::get("/slots")).await.unwrap_err();
}

/// A stopped VM cuts off a caller in the middle of its request. Its process is
/// asked to terminate while the endpoint works.
#[tokio::test]
async fn terminate_finishes_requests_in_flight_and_exits_with_0() {
    let search = Endpoint::answering("free slots").await;
    let (booking, release) = held().await;
    let mut pair = Pair::start(&search, &booking).await;
    let (owner, _) = pair.owner("booking").await;
    let caller = tokio::spawn(client::send(pair.vms[owner].caller_address, book()));
    while booking.received().is_empty() {
        tokio::task::yield_now().await;
    }
    pair.vms[owner].signal("TERM").await;
    let address = pair.vms[owner].caller_address;
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    release.send_replace(true);
    assert_eq!(caller.await.unwrap().unwrap().body(), "done");
    assert_eq!(pair.vms[owner].exit_code().await, Some(0));
}
