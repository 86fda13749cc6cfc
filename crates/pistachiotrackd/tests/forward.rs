//! Requests that enter at a VM which doesn't own their shard.

mod testenv;

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use pistachiotrack_core::header;
use serde_json::{Value, json};
use testenv::{
    client, config,
    endpoint::{Endpoint, read_head},
    path::Path,
    platform::Platform,
    process::DaemonProcess,
};
use tokio::sync::watch;

/// Names of the two VMs of every test.
const VMS: [&str; 2] = ["vm-01", "vm-02"];

/// Lookups that fill an endpoint's slots.
const LOOKUPS: usize = 4;

/// Two daemons in processes of their own that know each other.
struct Pair {
    _platform: Platform,
    vms: [DaemonProcess; 2],
}

impl Pair {
    async fn start(search: &Endpoint, booking: &Endpoint) -> Pair {
        Pair::start_with(search, booking, [json!({}), json!({})]).await
    }

    /// Starts the two with settings of their own.
    async fn start_with(search: &Endpoint, booking: &Endpoint, settings: [Value; 2]) -> Pair {
        Pair::start_by(config(1, &[search.address], &[booking.address]), settings).await
    }

    /// Starts the two with a configuration and settings of their own.
    async fn start_by(config: Value, settings: [Value; 2]) -> Pair {
        let platform = Platform::start().await;
        platform.publish_config(config);
        let [first, second] = settings;
        let vms = [
            DaemonProcess::start_with(VMS[0], platform.address, first).await,
            DaemonProcess::start_with(VMS[1], platform.address, second).await,
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
    booking.wait_received(1).await;
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
    search.wait_received(1).await;
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
    booking.wait_received(1).await;
    pair.vms[owner].signal("TERM").await;
    let address = pair.vms[owner].caller_address;
    let start = std::time::Instant::now();
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        assert!(start.elapsed() < client::HANG_LIMIT, "{address} still accepts");
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    release.send_replace(true);
    assert_eq!(caller.await.unwrap().unwrap().body(), "done");
    assert_eq!(pair.vms[owner].exit_code().await, Some(0));
}

/// Lookups fail at their deadline although both VMs and the endpoint are well.
/// Something between the VMs loses track of their connections; the entry VM
/// writes to one of them and waits.
#[tokio::test]
async fn a_lookup_on_a_silent_connection_between_vms_is_answered() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let paths = [Path::open().await, Path::open().await];
    let settings = paths.each_ref().map(|path| {
        json!({"peer_address": path.vm_address, "advertised_peer_address": path.address,
               "limits": {"lively_ms": 600_000, "idle_ms": 600_000}})
    });
    let pair = Pair::start_with(&search, &booking, settings).await;
    let (owner, entry) = pair.owner("slot-search").await;
    for _ in 0..3 {
        let found = pair.send(entry, client::get("/slots")).await.unwrap();
        assert_eq!(client::field(&found, header::OWNER), Some(VMS[owner]));
    }
    paths[owner].forget();
    let found = pair.send(entry, client::get("/slots")).await.unwrap();
    assert_eq!(found.body(), "free slots");
    assert_eq!(client::field(&found, header::OWNER), Some(VMS[owner]));
    client::wait_for(pair.vms[entry].admin_address, "/status", |status| {
        let counters = status["counters"].as_array().unwrap();
        counters.contains(&json!({"name": "forwarded_again", "value": 1}))
    })
    .await;
}

/// A lookup is answered "not run" while an endpoint works on it. It is long in coming, and
/// the entry VM sends it to the owner once more; the owner, whose queue has filled up since,
/// refuses the second copy at once; the entry VM passes the refusal on although the first
/// copy is at an endpoint. A caller that trusts it may count the lookup as never made.
#[tokio::test]
async fn a_lookup_that_an_endpoint_works_on_is_not_called_not_run() {
    let (search, release) = held().await;
    let booking = Endpoint::answering("booked").await;
    let mut config = config(1, &[search.address], &[booking.address]);
    config["services"][0]["queue_limit"] = json!(1);
    config["services"][0]["endpoints"][0]["slots"] = json!(1);
    let pair = Pair::start_by(config, [json!({}), json!({})]).await;
    let (owner, entry) = pair.owner("slot-search").await;
    let lookup = client::with(client::get("/slots"), header::DEADLINE_MS, "2000");
    let answer = tokio::spawn(client::send(pair.vms[entry].caller_address, lookup));
    while search.received().is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let others: Vec<_> = (0..4)
        .map(|_| tokio::spawn(client::send(pair.vms[owner].caller_address, client::get("/slots"))))
        .collect();
    let answer = answer.await.unwrap().unwrap();
    release.send_replace(true);
    for other in others {
        other.await.unwrap().unwrap();
    }
    assert_ne!(client::field(&answer, header::OUTCOME), Some("not-run"), "{answer:?}");
}

/// A lookup is answered "not run" while an endpoint works on it. The entry VM had sent it
/// to its owner when the path to that VM broke; it has no slot of its own left, refuses the
/// lookup at its deadline and forgets that it was sent on.
#[tokio::test]
async fn a_lookup_served_in_the_owners_place_is_not_called_not_run() {
    let (search, release) = held().await;
    let booking = Endpoint::answering("booked").await;
    let paths = [Path::open().await, Path::open().await];
    let settings = paths.each_ref().map(
        |path| json!({"peer_address": path.vm_address, "advertised_peer_address": path.address}),
    );
    let mut config = config(1, &[search.address], &[booking.address]);
    config["services"][0]["endpoints"][0]["slots"] = json!(LOOKUPS);
    let pair = Pair::start_by(config, settings).await;
    let (owner, entry) = pair.owner("slot-search").await;
    let lookup = || client::with(client::get("/slots"), header::DEADLINE_MS, "3000");
    let address = pair.vms[entry].caller_address;
    let answers: Vec<_> =
        (0..LOOKUPS).map(|_| tokio::spawn(client::send(address, lookup()))).collect();
    while search.received().len() < LOOKUPS {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    paths[owner].cut();
    for answer in answers {
        let answer = answer.await.unwrap().unwrap();
        assert_eq!(client::field(&answer, header::OUTCOME), Some("unknown"), "{answer:?}");
    }
    release.send_replace(true);
}

/// A caller complains of a refusal, and no log knows it. The VM that owns the service
/// refuses, and the VM that the booking came in at passes the refusal on.
#[tokio::test]
async fn a_refusal_that_is_passed_on_leaves_a_line_at_both_vms() {
    let search = Endpoint::answering("free slots").await;
    let pair = Pair::start_by(config(1, &[search.address], &[]), [json!({}), json!({})]).await;
    let (owner, entry) = pair.owner("booking").await;
    let refused = pair.send(entry, book()).await.unwrap();
    assert_eq!(client::field(&refused, header::OUTCOME), Some("not-run"));
    assert_eq!(client::field(&refused, header::REASON), Some("no-endpoint"));
    let id = client::field(&refused, header::REQUEST_ID).unwrap();
    let refusal = ["event=refused".to_owned(), format!(" request={id} ")];
    let decided_by = format!(" decided_by={} ", VMS[owner]);
    let [event, request] = refusal.each_ref().map(String::as_str);
    let sent = format!(" sent={}/not-run/", VMS[owner]);
    pair.vms[entry].wait_for_line(&[event, request, " to=caller ", &decided_by, &sent]).await;
    pair.vms[owner].wait_for_line(&[event, request, " to=vm ", &decided_by]).await;
}

/// A booking that came while its owner was paused is run after its caller has
/// given up. The owner wakes up and takes the time left for one that begins now.
#[tokio::test]
async fn a_booking_forwarded_to_a_paused_owner_is_refused_when_its_time_is_over() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let pair = Pair::start(&search, &booking).await;
    let (owner, entry) = pair.owner("booking").await;
    pair.vms[owner].signal("STOP").await;
    let late = client::with(book(), header::DEADLINE_MS, "400");
    let late = tokio::spawn(client::send(pair.vms[entry].caller_address, late));
    tokio::time::sleep(std::time::Duration::from_millis(800)).await;
    pair.vms[owner].signal("CONT").await;
    let refused = late.await.unwrap().unwrap();
    assert!(client::field(&refused, header::OUTCOME).is_some(), "{refused:?}");
    // A booking that the owner takes now shows that it has read the late one.
    let address = pair.vms[owner].caller_address;
    assert_eq!(client::send(address, book()).await.unwrap().body(), "booked");
    assert_eq!(booking.received().len(), 1);
}

/// A VM that stood in for an owner judges the endpoints for ever by the few
/// requests it once had. Connections to the owner break, the VM serves a lookup
/// itself and then has no more of them.
#[tokio::test]
async fn a_shard_served_in_the_owners_place_is_forgotten_when_unused() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let paths = [Path::open().await, Path::open().await];
    let settings = paths.each_ref().map(|path| {
        json!({"peer_address": path.vm_address, "advertised_peer_address": path.address,
               "limits": {"careful_idle_ms": 2_000}})
    });
    let pair = Pair::start_with(&search, &booking, settings).await;
    let (owner, entry) = pair.owner("slot-search").await;
    paths[owner].cut();
    let found = pair.send(entry, client::get("/slots")).await.unwrap();
    assert_eq!(found.body(), "free slots");
    assert_eq!(client::field(&found, header::OWNER), Some(VMS[entry]));
    let stands_in = |endpoints: &Value| {
        let endpoints = endpoints.as_array().unwrap();
        endpoints.iter().any(|one| one["service"] == "slot-search" && one["mode"] == "careful")
    };
    let admin = pair.vms[entry].admin_address;
    client::wait_for(admin, "/endpoints", stands_in).await;
    client::wait_for(admin, "/endpoints", |endpoints| !stands_in(endpoints)).await;
}

/// A booking is answered 500 by an endpoint that was long known to be sick. The
/// owner that knew it is being stopped; the other VM hears that it leaves, owns the
/// service at once and takes bookings while the owner's hand-over is still on its
/// way over a slow path.
#[tokio::test]
async fn the_heir_of_a_stopping_owner_takes_no_booking_before_the_hand_over() {
    let well = Endpoint::answering("booked").await;
    let sick = Endpoint::start(|_| async {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
    .await;
    let paths = [Path::open().await, Path::open().await];
    let settings = paths.each_ref().map(
        |path| json!({"peer_address": path.vm_address, "advertised_peer_address": path.address}),
    );
    let mut pair = Pair::start_by(config(1, &[], &[well.address, sick.address]), settings).await;
    let (owner, heir) = pair.owner("booking").await;
    let owner_admin = pair.vms[owner].admin_address;
    while !is_ejected(owner_admin, "booking-1").await {
        pair.send(owner, book()).await.unwrap();
    }
    // The heir's connections to the owner exist before anything is held up.
    assert_eq!(pair.send(heir, book()).await.unwrap().status(), StatusCode::OK);

    paths[heir].hold(true);
    let before = paths[heir].connections();
    pair.vms[owner].signal("TERM").await;
    while paths[heir].connections() == before {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    for _ in 0..10 {
        assert_eq!(pair.send(heir, book()).await.unwrap().status(), StatusCode::OK);
    }
    paths[heir].hold(false);
    let heir_admin = pair.vms[heir].admin_address;
    client::wait_for(heir_admin, "/status", |status| {
        status["shards"].as_array().unwrap().contains(&json!("booking/0"))
    })
    .await;
    assert!(is_ejected(heir_admin, "booking-1").await);
    assert_eq!(pair.vms[owner].exit_code().await, Some(0));
}

async fn is_ejected(admin: SocketAddr, endpoint: &str) -> bool {
    let endpoints = client::admin(admin, "/endpoints").await;
    let mut endpoints = endpoints.as_array().unwrap().iter();
    endpoints.any(|one| one["endpoint"] == endpoint && one["state"] == "ejected")
}
