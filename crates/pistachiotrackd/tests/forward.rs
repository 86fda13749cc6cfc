//! Requests that arrive at a VM that doesn't own their shard.

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
    malformed_answer::malformed_lines,
    network_path::NetworkPath,
    platform::Platform,
    process::DaemonProcess,
};
use tokio::sync::watch;

/// Names of the two VMs of every test.
const VMS: [&str; 2] = ["vm-01", "vm-02"];

/// Statuses that no final answer has.
const NO_FINAL_STATUSES: [&str; 10] =
    ["000", "099", "101", "600", "700", "999", "20", "2000", "2OO", "abc"];
/// Lookups that fill an endpoint's slots.
const LOOKUPS: usize = 4;

/// Two daemons in separate processes that are members of one fleet.
struct TwoVmFleet {
    _platform: Platform,
    vms: [DaemonProcess; 2],
}

impl TwoVmFleet {
    async fn start(search: &Endpoint, booking: &Endpoint) -> TwoVmFleet {
        TwoVmFleet::start_with_settings(search, booking, [json!({}), json!({})]).await
    }

    /// Starts both VMs with additional settings for each.
    async fn start_with_settings(
        search: &Endpoint,
        booking: &Endpoint,
        settings: [Value; 2],
    ) -> TwoVmFleet {
        TwoVmFleet::start_with_config(config(1, &[search.address], &[booking.address]), settings)
            .await
    }

    /// Starts both VMs with a configuration and additional settings for each.
    async fn start_with_config(config: Value, settings: [Value; 2]) -> TwoVmFleet {
        let platform = Platform::start().await;
        platform.publish_config(config);
        let [first, second] = settings;
        let vms = [
            DaemonProcess::start_with(VMS[0], platform.address, first).await,
            DaemonProcess::start_with(VMS[1], platform.address, second).await,
        ];
        let list: Vec<Value> = (0..2).map(|index| vms[index].vm_list_entry(VMS[index])).collect();
        platform.publish_vms(json!({"version": 2, "vms": list}));
        for vm in &vms {
            client::wait_for(vm.admin_address, "/status", |status| {
                status["live_vms"] == 2 && status["state"] == "serving"
            })
            .await;
        }
        TwoVmFleet { _platform: platform, vms }
    }

    /// Waits until both VMs agree on the owner of a service and returns the
    /// indexes of the owner and of the other VM.
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

fn booking_request() -> Request<Full<Bytes>> {
    client::request(Method::POST, "/bookings", "slot 7")
}

/// Starts an endpoint that answers requests only after it has been released.
async fn blocking_endpoint() -> (Endpoint, watch::Sender<bool>) {
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
async fn a_request_is_forwarded_once_to_the_owner() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let fleet = TwoVmFleet::start(&search, &booking).await;
    let (owner, entry) = fleet.owner("booking").await;
    for _ in 0..3 {
        let booked = fleet.send(entry, booking_request()).await.unwrap();
        assert_eq!(booked.body(), "booked");
        assert_eq!(client::header_text(&booked, header::OWNER), Some(VMS[owner]));
        assert_eq!(client::header_text(&booked, header::ENDPOINT), Some("booking-0"));
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

/// Guards against a forwarding loop between two VMs that each take the other one for the
/// owner, as after a partition: the VM that receives a forwarded request for a shard that
/// it doesn't own must serve it.
#[tokio::test]
async fn a_forwarded_request_is_not_forwarded_again() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let fleet = TwoVmFleet::start(&search, &booking).await;
    let (owner, other) = fleet.owner("booking").await;
    let route = json!({"shard": {"service": "booking", "index": 0}, "customer": testenv::CUSTOMER,
                       "class": "standard", "idempotent": false, "hedge": false});
    let request = client::with_header(booking_request(), header::HOP, VMS[owner]);
    let request = client::with_header(request, header::ROUTE, &route.to_string());
    let request = client::with_header(request, header::DEADLINE_MS, "3000");
    let booked = client::send(fleet.vms[other].peer_address, request).await.unwrap();
    assert_eq!(booked.body(), "booked");
    assert_eq!(client::header_text(&booked, header::OWNER), Some(VMS[other]));
    assert_eq!(booking.received().len(), 1);
}

/// Guards against bookings that fail until the fleet has detected the failure of a VM. The
/// owner is killed; the entry VM still lists it as alive and can't connect to it.
#[tokio::test]
async fn a_booking_is_run_once_after_its_owner_crashed() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let mut fleet = TwoVmFleet::start(&search, &booking).await;
    let (owner, entry) = fleet.owner("booking").await;
    fleet.send(entry, booking_request()).await.unwrap();
    fleet.vms[owner].kill().await;
    let booked = fleet.send(entry, booking_request()).await.unwrap();
    assert_eq!(booked.body(), "booked");
    assert_eq!(client::header_text(&booked, header::OWNER), Some(VMS[entry]));
    assert_eq!(booking.received().len(), 2);
}

/// Guards against a booking that runs twice. The owner is killed after it has sent the
/// booking to an endpoint; the entry VM gets a broken connection and must not resend it.
#[tokio::test]
async fn a_booking_in_flight_at_a_crashed_owner_is_unknown_and_not_sent_again() {
    let search = Endpoint::answering("free slots").await;
    let (booking, _release) = blocking_endpoint().await;
    let mut fleet = TwoVmFleet::start(&search, &booking).await;
    let (owner, entry) = fleet.owner("booking").await;
    let caller = tokio::spawn(client::send(fleet.vms[entry].caller_address, booking_request()));
    booking.wait_received(1).await;
    fleet.vms[owner].kill().await;
    let refused = caller.await.unwrap().unwrap();
    assert_eq!(client::header_text(&refused, header::OUTCOME), Some("unknown"));
    assert_eq!(booking.received().len(), 1);
}

/// Guards against a lookup that is lost with its owner although any VM could retry it. The
/// owner is killed after it has sent the lookup to an endpoint.
#[tokio::test]
async fn a_lookup_in_flight_at_a_crashed_owner_is_answered() {
    let (search, release) = blocking_endpoint().await;
    let booking = Endpoint::answering("booked").await;
    let mut fleet = TwoVmFleet::start(&search, &booking).await;
    let (owner, entry) = fleet.owner("slot-search").await;
    let caller = tokio::spawn(client::send(fleet.vms[entry].caller_address, client::get("/slots")));
    search.wait_received(1).await;
    fleet.vms[owner].kill().await;
    release.send_replace(true);
    assert_eq!(caller.await.unwrap().unwrap().body(), "done");
}

/// Guards against a truncated answer that the caller takes for a complete one. The endpoint
/// breaks its answer to the owner off; the entry VM must not end it to the caller normally.
#[tokio::test]
async fn a_body_truncated_at_the_owner_is_an_error_for_the_caller() {
    let search = Endpoint::serve(|mut stream| async move {
        read_head(&mut stream).await;
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        tokio::io::AsyncWriteExt::write_all(&mut stream, head).await.unwrap();
    })
    .await;
    let booking = Endpoint::answering("booked").await;
    let fleet = TwoVmFleet::start(&search, &booking).await;
    let (_, entry) = fleet.owner("slot-search").await;
    fleet.send(entry, client::get("/slots")).await.unwrap_err();
}

/// Guards against a stopping VM that cuts off requests in flight. The process gets SIGTERM
/// while the endpoint works on a request.
#[tokio::test]
async fn sigterm_finishes_requests_in_flight_and_exits_with_0() {
    let search = Endpoint::answering("free slots").await;
    let (booking, release) = blocking_endpoint().await;
    let mut fleet = TwoVmFleet::start(&search, &booking).await;
    let (owner, _) = fleet.owner("booking").await;
    let caller = tokio::spawn(client::send(fleet.vms[owner].caller_address, booking_request()));
    booking.wait_received(1).await;
    fleet.vms[owner].signal("TERM").await;
    let address = fleet.vms[owner].caller_address;
    let start = std::time::Instant::now();
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        assert!(start.elapsed() < client::HANG_LIMIT, "{address} still accepts");
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    release.send_replace(true);
    assert_eq!(caller.await.unwrap().unwrap().body(), "done");
    assert_eq!(fleet.vms[owner].exit_code().await, Some(0));
}

/// Guards against lookups that fail at their deadline although both VMs and the endpoint
/// work. A network device between the VMs drops the state of their connections; the entry VM
/// writes to one of them and gets neither an answer nor an error.
#[tokio::test]
async fn a_lookup_on_a_silent_connection_between_vms_is_answered() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let paths = [NetworkPath::open().await, NetworkPath::open().await];
    let settings = paths.each_ref().map(|path| {
        json!({"peer_address": path.vm_address, "advertised_peer_address": path.address,
               "limits": {"lively_ms": 600_000, "idle_ms": 600_000}})
    });
    let fleet = TwoVmFleet::start_with_settings(&search, &booking, settings).await;
    let (owner, entry) = fleet.owner("slot-search").await;
    for _ in 0..3 {
        let found = fleet.send(entry, client::get("/slots")).await.unwrap();
        assert_eq!(client::header_text(&found, header::OWNER), Some(VMS[owner]));
    }
    paths[owner].drop_open_connections();
    let found = fleet.send(entry, client::get("/slots")).await.unwrap();
    assert_eq!(found.body(), "free slots");
    assert_eq!(client::header_text(&found, header::OWNER), Some(VMS[owner]));
    client::wait_for(fleet.vms[entry].admin_address, "/status", |status| {
        let counters = status["counters"].as_array().unwrap();
        counters.contains(&json!({"name": "forwarded_again", "value": 1}))
    })
    .await;
}

/// Guards against a lookup that runs twice because the connection between the VMs turns silent while
/// an endpoint works on it: the copy on a new connection gets the answer to the first.
#[tokio::test]
async fn a_lookup_is_run_once_when_its_connection_turns_silent() {
    let (search, release) = blocking_endpoint().await;
    let booking = Endpoint::answering("booked").await;
    let paths = [NetworkPath::open().await, NetworkPath::open().await];
    let settings = paths.each_ref().map(
        |path| json!({"peer_address": path.vm_address, "advertised_peer_address": path.address}),
    );
    let fleet = TwoVmFleet::start_with_settings(&search, &booking, settings).await;
    let (owner, entry) = fleet.owner("slot-search").await;
    let lookup = client::with_header(client::get("/slots"), header::DEADLINE_MS, "2000");
    let answer = tokio::spawn(client::send(fleet.vms[entry].caller_address, lookup));
    search.wait_received(1).await;
    paths[owner].drop_open_connections();
    client::wait_for(fleet.vms[owner].admin_address, "/status", |status| {
        let counters = status["counters"].as_array().unwrap();
        counters.contains(&json!({"name": "copies_joined", "value": 1}))
    })
    .await;
    release.send_replace(true);
    assert_eq!(answer.await.unwrap().unwrap().body(), "done");
    assert_eq!(search.received().len(), 1);
}

/// Two VMs behind paths that can replace their answers, and the endpoint of bookings.
struct VmsBehindPaths {
    fleet: TwoVmFleet,
    paths: [NetworkPath; 2],
    booking: Endpoint,
    /// The owner of each service and the other VM.
    search_vms: (usize, usize),
    booking_vms: (usize, usize),
}

impl VmsBehindPaths {
    async fn start() -> VmsBehindPaths {
        let search = Endpoint::answering("free slots").await;
        let booking = Endpoint::answering("booked").await;
        let paths = [NetworkPath::open().await, NetworkPath::open().await];
        let settings = paths.each_ref().map(
            |path| json!({"peer_address": path.vm_address, "advertised_peer_address": path.address}),
        );
        let fleet = TwoVmFleet::start_with_settings(&search, &booking, settings).await;
        let search_vms = fleet.owner("slot-search").await;
        let booking_vms = fleet.owner("booking").await;
        VmsBehindPaths { fleet, paths, booking, search_vms, booking_vms }
    }

    /// Sends a request to the VM `entry` while the owner's answers are replaced.
    async fn send(
        &self,
        (owner, entry): (usize, usize),
        request: Request<Full<Bytes>>,
        replace: impl Fn(&NetworkPath),
    ) -> Response<Bytes> {
        replace(&self.paths[owner]);
        let answer = self.fleet.send(entry, request).await.unwrap();
        self.paths[owner].replace_answer(None);
        answer
    }

    async fn find(&self, replace: impl Fn(&NetworkPath)) -> Response<Bytes> {
        self.send(self.search_vms, client::get("/slots"), replace).await
    }

    /// Checks that a booking whose answer is replaced is unknown and has run once.
    async fn check_booking(&self, replace: impl Fn(&NetworkPath), case: &str) {
        let before = self.booking.received().len();
        let refused = self.send(self.booking_vms, booking_request(), replace).await;
        assert_eq!(client::header_text(&refused, header::OUTCOME), Some("unknown"), "{case}");
        assert_eq!(refused.status(), StatusCode::BAD_GATEWAY, "{case}");
        assert_eq!(self.booking.received().len(), before + 1, "{case}");
    }
}

/// Guards against what is no answer of another VM and reaches the caller, and against a booking that is
/// sent again after it: its owner has had it run.
#[tokio::test]
async fn an_answer_of_the_owner_without_a_final_status_is_no_answer() {
    let vms = VmsBehindPaths::start().await;
    for status in NO_FINAL_STATUSES {
        let found = vms.find(|path| path.replace_status(Some(status))).await;
        assert_eq!((found.status().as_u16(), &found.body()[..]), (200, &b"free slots"[..]));
        vms.check_booking(|path| path.replace_status(Some(status)), status).await;
    }
}

/// Guards against a malformed answer of another VM that reaches the caller, and against a booking that is
/// sent again after it: its owner has had it run.
#[tokio::test]
async fn a_malformed_answer_of_the_owner_is_no_answer() {
    let vms = VmsBehindPaths::start().await;
    for answer in malformed_lines() {
        let found = vms.find(|path| path.replace_answer(Some(&answer))).await;
        // It is sent again while retries are earned.
        let is_found = found.status() == 200 && &found.body()[..] == b"free slots";
        let is_lost = client::header_text(&found, header::OUTCOME) == Some("unknown");
        assert!(is_found || found.status() == 502 && is_lost, "{answer}: {found:?}");
        vms.check_booking(|path| path.replace_answer(Some(&answer)), &answer.to_string()).await;
    }
}

/// Guards against a lookup that is refused as not run while an endpoint works on it. The
/// answer is slow, and the entry VM sends a second copy to the owner; the owner's queue is
/// full by then, and it refuses the second copy at once. The entry VM must not return that
/// refusal while the first copy is at an endpoint: a caller that relies on it may count the
/// lookup as never made.
#[tokio::test]
async fn a_lookup_running_at_an_endpoint_is_not_reported_as_not_run() {
    let (search, release) = blocking_endpoint().await;
    let booking = Endpoint::answering("booked").await;
    let mut config = config(1, &[search.address], &[booking.address]);
    config["services"][0]["queue_limit"] = json!(1);
    config["services"][0]["endpoints"][0]["slots"] = json!(1);
    let fleet = TwoVmFleet::start_with_config(config, [json!({}), json!({})]).await;
    let (owner, entry) = fleet.owner("slot-search").await;
    let lookup = client::with_header(client::get("/slots"), header::DEADLINE_MS, "2000");
    let answer = tokio::spawn(client::send(fleet.vms[entry].caller_address, lookup));
    while search.received().is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let others: Vec<_> = (0..4)
        .map(|_| tokio::spawn(client::send(fleet.vms[owner].caller_address, client::get("/slots"))))
        .collect();
    let answer = answer.await.unwrap().unwrap();
    release.send_replace(true);
    for other in others {
        other.await.unwrap().unwrap();
    }
    assert_ne!(client::header_text(&answer, header::OUTCOME), Some("not-run"), "{answer:?}");
}

/// Guards against a lookup that is refused as not run while an endpoint works on it. The
/// entry VM had forwarded it to its owner when the path to that VM broke. The entry VM has no
/// free slot of its own and refuses the lookup at its deadline; the refusal must account for
/// the forwarded copy.
#[tokio::test]
async fn a_lookup_served_by_the_entry_vm_is_not_reported_as_not_run() {
    let (search, release) = blocking_endpoint().await;
    let booking = Endpoint::answering("booked").await;
    let paths = [NetworkPath::open().await, NetworkPath::open().await];
    let settings = paths.each_ref().map(
        |path| json!({"peer_address": path.vm_address, "advertised_peer_address": path.address}),
    );
    let mut config = config(1, &[search.address], &[booking.address]);
    config["services"][0]["endpoints"][0]["slots"] = json!(LOOKUPS);
    let fleet = TwoVmFleet::start_with_config(config, settings).await;
    let (owner, entry) = fleet.owner("slot-search").await;
    let lookup = || client::with_header(client::get("/slots"), header::DEADLINE_MS, "3000");
    let address = fleet.vms[entry].caller_address;
    let answers: Vec<_> =
        (0..LOOKUPS).map(|_| tokio::spawn(client::send(address, lookup()))).collect();
    while search.received().len() < LOOKUPS {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    paths[owner].cut();
    for answer in answers {
        let answer = answer.await.unwrap().unwrap();
        assert_eq!(client::header_text(&answer, header::OUTCOME), Some("unknown"), "{answer:?}");
    }
    release.send_replace(true);
}

/// Guards against a refusal that appears in no log. The owner of the service refuses, and
/// the entry VM returns the refusal to the caller.
#[tokio::test]
async fn a_forwarded_refusal_is_logged_by_both_vms() {
    let search = Endpoint::answering("free slots").await;
    let fleet =
        TwoVmFleet::start_with_config(config(1, &[search.address], &[]), [json!({}), json!({})])
            .await;
    let (owner, entry) = fleet.owner("booking").await;
    let refused = fleet.send(entry, booking_request()).await.unwrap();
    assert_eq!(client::header_text(&refused, header::OUTCOME), Some("not-run"));
    assert_eq!(client::header_text(&refused, header::REASON), Some("no-endpoint"));
    let id = client::header_text(&refused, header::REQUEST_ID).unwrap();
    let refusal = ["event=refused".to_owned(), format!(" request={id} ")];
    let decided_by = format!(" decided_by={} ", VMS[owner]);
    let [event, request] = refusal.each_ref().map(String::as_str);
    let sent = format!(" sent={}/not-run/", VMS[owner]);
    fleet.vms[entry].wait_for_line(&[event, request, " to=caller ", &decided_by, &sent]).await;
    fleet.vms[owner].wait_for_line(&[event, request, " to=vm ", &decided_by]).await;
}

/// Guards against a booking that runs after its caller has given up. It arrives while its
/// owner is paused; after the pause the owner must not count the deadline from that moment.
#[tokio::test]
async fn a_booking_forwarded_to_a_paused_owner_is_refused_after_its_deadline() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let fleet = TwoVmFleet::start(&search, &booking).await;
    let (owner, entry) = fleet.owner("booking").await;
    fleet.vms[owner].signal("STOP").await;
    let late = client::with_header(booking_request(), header::DEADLINE_MS, "400");
    let late = tokio::spawn(client::send(fleet.vms[entry].caller_address, late));
    tokio::time::sleep(std::time::Duration::from_millis(800)).await;
    fleet.vms[owner].signal("CONT").await;
    let refused = late.await.unwrap().unwrap();
    assert!(client::header_text(&refused, header::OUTCOME).is_some(), "{refused:?}");
    // An answer to a later booking shows that the owner has read the late one.
    let address = fleet.vms[owner].caller_address;
    assert_eq!(client::send(address, booking_request()).await.unwrap().body(), "booked");
    assert_eq!(booking.received().len(), 1);
}

/// Guards against a VM that keeps its estimates of endpoints from a few requests for ever.
/// Connections to the owner break, the entry VM serves one lookup itself and gets no more
/// of them.
#[tokio::test]
async fn the_state_of_a_shard_served_for_its_owner_is_dropped_when_unused() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let paths = [NetworkPath::open().await, NetworkPath::open().await];
    let settings = paths.each_ref().map(|path| {
        json!({"peer_address": path.vm_address, "advertised_peer_address": path.address,
               "limits": {"careful_idle_ms": 2_000}})
    });
    let fleet = TwoVmFleet::start_with_settings(&search, &booking, settings).await;
    let (owner, entry) = fleet.owner("slot-search").await;
    paths[owner].cut();
    let found = fleet.send(entry, client::get("/slots")).await.unwrap();
    assert_eq!(found.body(), "free slots");
    assert_eq!(client::header_text(&found, header::OWNER), Some(VMS[entry]));
    let serves_for_owner = |endpoints: &Value| {
        let endpoints = endpoints.as_array().unwrap();
        endpoints.iter().any(|one| one["service"] == "slot-search" && one["mode"] == "careful")
    };
    let admin = fleet.vms[entry].admin_address;
    client::wait_for(admin, "/endpoints", serves_for_owner).await;
    client::wait_for(admin, "/endpoints", |endpoints| !serves_for_owner(endpoints)).await;
}

/// Guards against a booking that is answered 500 by an endpoint which the former owner had
/// ejected. That owner stops; the other VM learns that it leaves and owns the service at
/// once, while the hand-over is still in transit on a slow path.
#[tokio::test]
async fn the_successor_of_a_stopping_owner_takes_no_booking_before_the_hand_over() {
    let healthy = Endpoint::answering("booked").await;
    let faulty = Endpoint::start(|_| async {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
    .await;
    let paths = [NetworkPath::open().await, NetworkPath::open().await];
    let settings = paths.each_ref().map(
        |path| json!({"peer_address": path.vm_address, "advertised_peer_address": path.address}),
    );
    let mut fleet =
        TwoVmFleet::start_with_config(config(1, &[], &[healthy.address, faulty.address]), settings)
            .await;
    let (owner, successor) = fleet.owner("booking").await;
    let owner_admin = fleet.vms[owner].admin_address;
    while !is_ejected(owner_admin, "booking-1").await {
        fleet.send(owner, booking_request()).await.unwrap();
    }
    // Opens the successor's connections to the owner before the path delays new ones.
    assert_eq!(fleet.send(successor, booking_request()).await.unwrap().status(), StatusCode::OK);

    paths[successor].hold(true);
    let before = paths[successor].connections();
    fleet.vms[owner].signal("TERM").await;
    while paths[successor].connections() == before {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    for _ in 0..10 {
        assert_eq!(
            fleet.send(successor, booking_request()).await.unwrap().status(),
            StatusCode::OK
        );
    }
    paths[successor].hold(false);
    let successor_admin = fleet.vms[successor].admin_address;
    client::wait_for(successor_admin, "/status", |status| {
        status["shards"].as_array().unwrap().contains(&json!("booking/0"))
    })
    .await;
    assert!(is_ejected(successor_admin, "booking-1").await);
    assert_eq!(fleet.vms[owner].exit_code().await, Some(0));
}

async fn is_ejected(admin: SocketAddr, endpoint: &str) -> bool {
    let endpoints = client::admin(admin, "/endpoints").await;
    let mut endpoints = endpoints.as_array().unwrap().iter();
    endpoints.any(|one| one["endpoint"] == endpoint && one["state"] == "ejected")
}
